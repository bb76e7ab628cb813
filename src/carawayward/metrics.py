"""Counters and histograms per customer and class of request, for statsd.

The number of names is bounded: names beyond the bound are counted under
``other``, so that a caller who makes up names cannot exhaust memory.
"""

import enum
import typing

import attrs
from hdrh import histogram as hdr
import statsd
import trio

from carawayward import clock as clock_module
from carawayward import settings as settings_module

# At two significant digits and 16 bits for each pair of buckets a histogram
# takes about 16 kB; 400 of them stay under 7 MB of the 64 MB reserved for
# control.
MAX_HISTOGRAMS = 400
MAX_COUNTERS = 400
SIGNIFICANT_DIGITS = 2
FLUSH_INTERVAL_MS = 10_000.0
OTHER = "other"


class Metric(enum.Enum):
    """A measured quantity: name, unit and largest value recorded."""

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
        """The unit of the values."""
        return str(self.value[1])

    @property
    def max_value(self) -> int:
        """The largest value recorded; larger ones are clamped to it."""
        return int(self.value[2])


Key = tuple[Metric, str, str]


@attrs.define
class Metrics:
    """All metrics of an entry VM since its start."""

    clock: clock_module.Clock
    histograms: dict[Key, hdr.HdrHistogram] = attrs.field(factory=dict)
    counters: dict[str, float] = attrs.field(factory=dict)

    def observe(
        self, metric: Metric, customer: str, kind: str, value: float
    ) -> None:
        """Record one value for a customer and a class of request."""
        histogram = self._get_histogram((metric, customer, kind))
        histogram.record_value(min(max(1, round(value)), metric.max_value))

    def count(self, name: str, amount: float = 1) -> None:
        """Add to a counter."""
        if name not in self.counters and len(self.counters) >= MAX_COUNTERS:
            name = OTHER
        self.counters[name] = self.counters.get(name, 0) + amount

    def watch(self, customer: str, kind: str) -> "AnswerWatch":
        """Start timing an answer."""
        return AnswerWatch(self, customer, kind, self.clock.now_ms())

    def _get_histogram(self, key: Key) -> hdr.HdrHistogram:
        found = self.histograms.get(key)
        if found is not None:
            return found
        metric = key[0]
        if len(self.histograms) >= MAX_HISTOGRAMS:
            key = (metric, OTHER, OTHER)
        return self.histograms.setdefault(
            key, hdr.HdrHistogram(1, metric.max_value, SIGNIFICANT_DIGITS)
        )


@attrs.define
class AnswerWatch:
    """Times the chunks of one answer."""

    metrics: Metrics
    customer: str
    kind: str
    began_ms: float
    last_ms: float | None = None

    def record_chunk(self) -> None:
        """Record that a chunk of the answer is being sent to the caller."""
        now_ms = self.metrics.clock.now_ms()
        if self.last_ms is None:
            self._observe(Metric.FIRST_TOKEN, now_ms - self.began_ms)
        else:
            self._observe(Metric.BETWEEN_TOKENS, now_ms - self.last_ms)
        self.last_ms = now_ms

    def record_end(self, outcome: str, plan: str, cost: float) -> None:
        """Record the outcome; only complete answers are timed."""
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
    """Summarize each histogram by percentiles, and include it encoded.

    The operators' tool merges the encoded histograms of all entry VMs.
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
    """Sends counters, gauges and percentiles to statsd in intervals."""

    metrics: Metrics
    address: str
    prefix: str
    collect_gauges: typing.Callable[[], dict[str, float]]
    _sent: dict[str, float] = attrs.field(factory=dict)
    _client: statsd.StatsClient | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Start sending if the settings name a statsd server."""
        if not self.address:
            return
        host, port = settings_module.split_address(self.address)
        self._client = statsd.StatsClient(host, port, prefix=self.prefix)
        nursery.start_soon(self._flush_periodically)

    async def close(self) -> None:
        """Send the remaining changes."""
        self.flush()

    async def _flush_periodically(self) -> None:
        while True:
            await self.metrics.clock.sleep(FLUSH_INTERVAL_MS)
            self.flush()

    def flush(self) -> None:
        """Send what has changed since the last flush, in few packets.

        If statsd is down, UDP loses these values and nothing else.
        """
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, total in list(self.metrics.counters.items()):
                increase = total - self._sent.get(name, 0)
                if increase:
                    pipe.incr(name, increase)
                    self._sent[name] = total
            for name, value in self.collect_gauges().items():
                pipe.gauge(name, value)
            for row in summarize(self.metrics):
                base = f"{row['metric']}.{row['customer']}.{row['class']}"
                for mark in ("p50", "p95", "p99"):
                    pipe.gauge(f"{base}.{mark}", row[mark])
