"""What an entry VM counts and times of forwarded requests, and its page.

The page is in the text format that Prometheus reads: one line a figure.
"""

import typing

import attrs
from hdrh import histogram as hdr

from carawayward.forwarding import board as board_module

# Milliseconds that are told apart, and how exactly: two digits take 16 kB a
# histogram.
HIGHEST_MS = 600_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0)
# Names come from routes, models and causes; whatever is past these bounds is
# counted under ``other``, so that many routes cannot use up the memory.
MAX_HISTOGRAMS = 40
MAX_COUNTERS = 400
OTHER = "other"
PREFIX = "carawayward_"

Labels = tuple[tuple[str, str], ...]
Series = tuple[str, Labels]


@attrs.define
class Metrics:
    """Counters and latencies since the process started."""

    counters: dict[Series, float] = attrs.field(factory=dict)
    latencies: dict[Series, hdr.HdrHistogram] = attrs.field(factory=dict)

    def count(self, name: str, **labels: str) -> None:
        """Add one to a counter."""
        series = (name, tuple(sorted(labels.items())))
        if series not in self.counters and len(self.counters) >= MAX_COUNTERS:
            series = (name, (("label", OTHER),))
        self.counters[series] = self.counters.get(series, 0.0) + 1.0

    def observe(self, name: str, value_ms: float, **labels: str) -> None:
        """Add a time to a histogram."""
        series = (name, tuple(sorted(labels.items())))
        found = self.latencies.get(series)
        if found is None:
            if len(self.latencies) >= MAX_HISTOGRAMS:
                series = (name, (("label", OTHER),))
            found = self.latencies.setdefault(
                series,
                hdr.HdrHistogram(1, HIGHEST_MS, SIGNIFICANT_DIGITS),
            )
        found.record_value(min(max(1, round(value_ms)), HIGHEST_MS))


def collect_gauges(
    board: board_module.ForwardingBoard, boot_ms: float
) -> dict[str, float]:
    """Figures that rise and fall."""
    gauges: dict[str, float] = {
        "open_requests": board.open_requests,
        "endpoints": len(board.endpoints),
        "endpoints_cold": len(board.cold_reports),
        "failure_domains_evacuated": len(board.evacuated),
        "ready": board.state is board_module.State.READY,
    }
    if board.table is not None:
        gauges["table_revision"] = board.table.revision
        gauges["table_age_ms"] = round(boot_ms - board.table_as_of_ms)
    return gauges


def render_page(metrics: Metrics, gauges: typing.Mapping[str, float]) -> bytes:
    """All figures as text."""
    lines = [f"{PREFIX}{name} {value:g}" for name, value in gauges.items()]
    for (name, labels), total in sorted(metrics.counters.items()):
        lines.append(f"{PREFIX}{name}_total{_join(labels)} {total:g}")
    for (name, labels), histogram in sorted(
        metrics.latencies.items(), key=lambda item: item[0]
    ):
        for quantile in QUANTILES:
            marked = (*labels, ("quantile", f"{quantile / 100:g}"))
            value = histogram.get_value_at_percentile(quantile)
            lines.append(f"{PREFIX}{name}_ms{_join(marked)} {value}")
        count = histogram.get_total_count()
        lines.append(f"{PREFIX}{name}_ms_count{_join(labels)} {count}")
    return "\n".join(lines).encode() + b"\n"


def _join(labels: Labels) -> str:
    if not labels:
        return ""
    pairs = ",".join(f'{name}="{value}"' for name, value in labels)
    return "{" + pairs + "}"
