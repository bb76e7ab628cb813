"""Metrics of forwarded requests, and the page that serves them.

The page is in the text format of Prometheus: one line per sample.
"""

import typing

import attrs
from hdrh import histogram as hdr

from carawayward.forwarding import board as board_module

# Range and precision of the latency histograms: two significant digits take
# 16 kB per histogram.
MAX_RECORDED_MS = 600_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0)
# Labels come from routes, models and causes. Series beyond these bounds are
# counted under ``other``, so that many routes cannot exhaust memory.
MAX_HISTOGRAMS = 40
MAX_COUNTERS = 400
OTHER = "other"
PREFIX = "carawayward_"

Labels = tuple[tuple[str, str], ...]
Series = tuple[str, Labels]


@attrs.define
class Metrics:
    """Counters and latency histograms since the process started."""

    counters: dict[Series, float] = attrs.field(factory=dict)
    latencies: dict[Series, hdr.HdrHistogram] = attrs.field(factory=dict)

    def count(self, name: str, **labels: str) -> None:
        """Increment a counter."""
        self.add(name, 1.0, **labels)

    def add(self, name: str, amount: float, **labels: str) -> None:
        """Add to a counter."""
        series = (name, tuple(sorted(labels.items())))
        if series not in self.counters and len(self.counters) >= MAX_COUNTERS:
            series = (name, (("label", OTHER),))
        self.counters[series] = self.counters.get(series, 0.0) + amount

    def observe(self, name: str, value_ms: float, **labels: str) -> None:
        """Record a latency in a histogram."""
        series = (name, tuple(sorted(labels.items())))
        histogram = self.latencies.get(series)
        if histogram is None:
            if len(self.latencies) >= MAX_HISTOGRAMS:
                series = (name, (("label", OTHER),))
            histogram = self.latencies.setdefault(
                series,
                hdr.HdrHistogram(1, MAX_RECORDED_MS, SIGNIFICANT_DIGITS),
            )
        histogram.record_value(min(max(1, round(value_ms)), MAX_RECORDED_MS))


def collect_gauges(
    board: board_module.ForwardingBoard, boot_ms: float
) -> dict[str, float]:
    """The current values of the gauges."""
    gauges: dict[str, float] = {
        "open_requests": board.open_requests,
        "body_bytes": board.body_room.kept_bytes,
        "endpoints": len(board.endpoints),
        "endpoints_cold": len(board.cold_reports),
        "endpoints_limited": len(board.limited),
        "endpoints_resting": sum(
            boot_ms < until_ms for until_ms in board.resting_until.values()
        ),
        "failure_domains_evacuated": len(board.evacuated),
        "ready": board.state is board_module.State.READY,
    }
    if board.table is not None:
        gauges["table_revision"] = board.table.revision
    age_ms = board.compute_table_age_ms(boot_ms)
    if age_ms is not None:
        gauges["table_age_ms"] = age_ms
    return gauges


def render_page(metrics: Metrics, gauges: typing.Mapping[str, float]) -> bytes:
    """Render all metrics as text."""
    lines = [f"{PREFIX}{name} {value:g}" for name, value in gauges.items()]
    for (name, labels), total in sorted(metrics.counters.items()):
        lines.append(f"{PREFIX}{name}_total{_format_labels(labels)} {total:g}")
    for (name, labels), histogram in sorted(
        metrics.latencies.items(), key=lambda item: item[0]
    ):
        for quantile in QUANTILES:
            quantile_labels = (*labels, ("quantile", f"{quantile / 100:g}"))
            value = histogram.get_value_at_percentile(quantile)
            lines.append(
                f"{PREFIX}{name}_ms{_format_labels(quantile_labels)} {value}"
            )
        count = histogram.get_total_count()
        lines.append(
            f"{PREFIX}{name}_ms_count{_format_labels(labels)} {count}"
        )
    return "\n".join(lines).encode() + b"\n"


def format_series(name: str, **labels: str) -> str:
    """Name one series of a gauge."""
    return name + _format_labels(tuple(sorted(labels.items())))


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ""
    pairs = ",".join(f'{name}="{value}"' for name, value in labels)
    return "{" + pairs + "}"
