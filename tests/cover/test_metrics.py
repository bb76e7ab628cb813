"""Metrics are bounded in number and counted exactly."""

import socket

from carawayward import clock
from carawayward import metrics


def make_metrics() -> tuple[metrics.Metrics, clock.ManualClock]:
    """Create metrics on a manual clock."""
    manual = clock.ManualClock()
    return metrics.Metrics(manual), manual  # type: ignore[arg-type]


def get_row(recorded: metrics.Metrics, label: str) -> dict:
    """Return the summary's row of a metric."""
    rows = metrics.summarize(recorded)
    (row,) = [row for row in rows if row["metric"] == label]
    return row


def test_first_and_following_pieces_are_timed_apart():
    """A slow first token must not be averaged with the later fast ones."""
    recorded, manual = make_metrics()
    watch = recorded.watch("ikeja-families", "hard-match")
    for wait_ms in (300, 10, 10):
        manual.advance(wait_ms)
        watch.record_chunk()
    watch.record_end("answered", "matchmaker-2", 0.5)
    assert 295 <= get_row(recorded, "first_token")["p50"] <= 305
    assert get_row(recorded, "between_tokens")["count"] == 2
    assert get_row(recorded, "latency")["max"] >= 315


def test_number_of_names_is_bounded():
    """Names beyond the limit are counted under a single name."""
    recorded, _ = make_metrics()
    for number in range(metrics.MAX_HISTOGRAMS + 50):
        recorded.observe(metrics.Metric.LATENCY, f"c{number}", "t", 5)
    for number in range(metrics.MAX_COUNTERS + 50):
        recorded.count(f"n{number}")
    assert len(recorded.histograms) == metrics.MAX_HISTOGRAMS + 1
    assert len(recorded.counters) == metrics.MAX_COUNTERS + 1
    assert recorded.counters[metrics.OTHER] == 50


def test_statsd_gets_counters_as_differences():
    """Totals sent as increments would be counted repeatedly."""
    recorded, _ = make_metrics()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(5)
        port = receiver.getsockname()[1]
        controller = metrics.MetricsController(
            recorded, f"127.0.0.1:{port}", "n", lambda: {"running": 3}
        )
        controller._client = metrics.statsd.StatsClient(
            "127.0.0.1", port, prefix="n"
        )
        for _ in range(2):
            recorded.count("outcomes.answered", 2)
            controller.flush()
            lines = receiver.recv(4096).decode().splitlines()
            assert "n.outcomes.answered:2|c" in lines
            assert "n.running:3|g" in lines
