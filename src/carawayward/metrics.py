"""Histograms per customer and class, and counters, sent by statsd.

The number of names is bounded: whatever comes past the bound is counted
under ``other``, so that a caller who invents names cannot use up memory.
"""

import enum
import typing

import attrs
from hdrh import histogram as hdr
import statsd
import trio

from carawayward import clock as clock_module
from carawayward import settings as settings_module

# 16 bits a bucket pair at two significant digits is about 16 kB for each
# histogram; 400 of them stay under 7 MB of the 64 MB for control.
MAX_HISTOGRAMS = 400
MAX_COUNTERS = 400
SIGNIFICANT_DIGITS = 2
FLUSH_MS = 10_000.0
OTHER = "other"


class Metric(enum.Enum):
    """What is measured: name, unit and the largest value told apart."""

    LATENCY = ("latency", "ms", 600_000)
    FIRST_TOKEN = ("first_token", "ms", 600_000)
    BETWEEN_TOKENS = ("between_tokens", "ms", 60_000)
    QUEUE_WAIT = ("queue_wait", "ms", 600_000)
    COST = ("cost", "micro", 100_000_000)

    @property
    def label(self) -> str:
        """The metric's name."""
        return str(self.value[0])

    @property
    def unit(self) -> str:
        """The unit of its values."""
        return str(self.value[1])

    @property
    def highest(self) -> int:
        """The largest value that is told apart."""
        return int(self.value[2])


Key = tuple[Metric, str, str]


@attrs.define
class Metrics:
    """All measurements of one entry VM since its start."""

    clock: clock_module.Clock
    histograms: dict[Key, hdr.HdrHistogram] = attrs.field(factory=dict)
    counters: dict[str, float] = attrs.field(factory=dict)

    def observe(
        self, metric: Metric, customer: str, kind: str, value: float
    ) -> None:
        """Record one value for a customer and a class of request."""
        histogram = self._find((metric, customer, kind))
        histogram.record_value(min(max(1, round(value)), metric.highest))

    def count(self, name: str, amount: float = 1) -> None:
        """Add to a counter."""
        if name not in self.counters and len(self.counters) >= MAX_COUNTERS:
            name = OTHER
        self.counters[name] = self.counters.get(name, 0) + amount

    def watch(self, customer: str, kind: str) -> "AnswerWatch":
        """Time an answer from now on."""
        return AnswerWatch(self, customer, kind, self.clock.now_ms())

    def _find(self, key: Key) -> hdr.HdrHistogram:
        found = self.histograms.get(key)
        if found is not None:
            return found
        metric = key[0]
        if len(self.histograms) >= MAX_HISTOGRAMS:
            key = (metric, OTHER, OTHER)
        return self.histograms.setdefault(
            key, hdr.HdrHistogram(1, metric.highest, SIGNIFICANT_DIGITS)
        )


@attrs.define
class AnswerWatch:
    """Times one answer's pieces."""

    metrics: Metrics
    customer: str
    kind: str
    began_ms: float
    last_ms: float | None = None

    def record_chunk(self) -> None:
        """Note that a piece of the answer is on its way to the caller."""
        now_ms = self.metrics.clock.now_ms()
        if self.last_ms is None:
            self._observe(Metric.FIRST_TOKEN, now_ms - self.began_ms)
        else:
            self._observe(Metric.BETWEEN_TOKENS, now_ms - self.last_ms)
        self.last_ms = now_ms

    def record_end(self, outcome: str, plan: str, cost: float) -> None:
        """Note the outcome; refusals are counted, not timed."""
        self.metrics.count(f"outcomes.{outcome}")
        if outcome != "answered":
            self.metrics.count(f"{outcome}.{self.customer}")
            return
        if plan:
            self.metrics.count(f"plan.{plan}")
        self._observe(
            Metric.LATENCY, self.metrics.clock.now_ms() - self.began_ms
        )
        self._observe(Metric.COST, cost * 1e6)

    def _observe(self, metric: Metric, value: float) -> None:
        self.metrics.observe(metric, self.customer, self.kind, value)


def summarize(metrics: Metrics) -> list[dict[str, typing.Any]]:
    """Percentiles of each histogram, with the histogram itself encoded.

    The encoded form lets the operators' tool add up several entry VMs.
    """
    rows = []
    for (metric, customer, kind), histogram in metrics.histograms.items():
        rows.append(
            {
                "metric": metric.label,
                "unit": metric.unit,
                "customer": customer,
                "class": kind,
                "count": histogram.get_total_count(),
                "p50": histogram.get_value_at_percentile(50),
                "p95": histogram.get_value_at_percentile(95),
                "p99": histogram.get_value_at_percentile(99),
                "max": histogram.get_max_value(),
                "encoded": histogram.encode().decode(),
            }
        )
    return rows


@attrs.define
class MetricsController:
    """Sends counters and percentiles to statsd, grouped, at a fixed pace."""

    metrics: Metrics
    address: str
    prefix: str
    collect_gauges: typing.Callable[[], dict[str, float]]
    _sent: dict[str, float] = attrs.field(factory=dict)
    _client: statsd.StatsClient | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to send, if the settings name a statsd."""
        if not self.address:
            return
        host, port = settings_module.split_address(self.address)
        self._client = statsd.StatsClient(host, port, prefix=self.prefix)
        nursery.start_soon(self._flush_forever)

    async def close(self) -> None:
        """Send what is left."""
        self.flush()

    async def _flush_forever(self) -> None:
        while True:
            await self.metrics.clock.sleep(FLUSH_MS)
            self.flush()

    def flush(self) -> None:
        """Send everything that changed since the last time, in few packets.

        UDP to a statsd that is down loses the figures and nothing else.
        """
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, total in list(self.metrics.counters.items()):
                grown = total - self._sent.get(name, 0)
                if grown:
                    pipe.incr(name, grown)
                    self._sent[name] = total
            for name, value in self.collect_gauges().items():
                pipe.gauge(name, value)
            for row in summarize(self.metrics):
                base = f"{row['metric']}.{row['customer']}.{row['class']}"
                for mark in ("p50", "p95", "p99"):
                    pipe.gauge(f"{base}.{mark}", row[mark])
