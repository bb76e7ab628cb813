"""When a stopping process replies and closes, and how slow it is."""

import hypothesis
from hypothesis import strategies

from carawayward.decisions import planned_stop
from carawayward import slowdown

GRACE_MS = 8_000.0


def make_meter(clock, spans):
    """A meter that has seen spans of running and of processor time, in s."""
    meter = slowdown.SlowdownMeter(lambda: clock[0], lambda: clock[1])
    for running_s, processor_s in spans:
        meter.after_io_wait(0.0)
        clock[0] += running_s
        clock[1] += processor_s
        meter.before_io_wait(0.0)
        clock[0] += 1.0
    return meter


def test_time_that_a_process_waits_for_events_does_not_slow_it_down():
    """An idle process was taken for one that is starved."""
    meter = make_meter([0.0, 0.0], [(0.01, 0.01)] * 50)
    assert round(meter.slowdown, 3) == 1.0
    assert make_meter([0.0, 0.0], [(0.001, 0.0)]).slowdown == 1.0


def test_slowdown_follows_the_last_second_of_work():
    """A process that starved once was taken for one that still does."""
    clock = [0.0, 0.0]
    meter = make_meter(clock, [(0.1, 0.01)] * 20)
    assert round(meter.slowdown) == 10
    for _ in range(100):
        meter.after_io_wait(0.0)
        clock[0] += 0.1
        clock[1] += 0.1
        meter.before_io_wait(0.0)
    assert meter.slowdown < 1.1


@hypothesis.given(
    strategies.floats(0.0, 60_000.0),
    strategies.floats(1.0, 30.0),
    strategies.integers(0, 5_000),
)
def test_slower_processes_reply_no_later_and_leave_time_to_end(
    grace_ms, slow, count
):
    """A stop that is short of processor time ended after its grace."""
    usual = planned_stop.StopTimes.from_grace(grace_ms)
    times = planned_stop.StopTimes.from_grace(grace_ms, slow, count)
    assert 0.0 <= times.replies_due_ms <= times.cutoff_ms <= grace_ms
    assert times.cutoff_ms <= times.closed_ms <= grace_ms
    assert times.replies_due_ms <= usual.replies_due_ms
    assert times.closed_ms <= usual.closed_ms


def test_few_requests_of_a_process_with_its_core_wait_as_long_as_before():
    """Streams were cut earlier although nothing slows the process down."""
    times = planned_stop.StopTimes.from_grace(GRACE_MS, 1.5, 60)
    assert times == planned_stop.StopTimes.from_grace(GRACE_MS)
