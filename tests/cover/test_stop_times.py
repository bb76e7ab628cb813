"""When a stopping process replies and closes, and how slow it is."""

import types
import typing

import hypothesis
from hypothesis import strategies
import trio

from carawayward import clock as clock_module
from carawayward.decisions import planned_stop
from carawayward.forwarding import board as board_module
from carawayward.forwarding import drain as drain_module
from carawayward.forwarding import settings
from carawayward import slowdown

GRACE_MS = 8_000.0


def make_meter(clock, spans, waits_s=0.0):
    """A meter that has seen spans of running and of processor time, in s.

    It waits for events between them.
    """
    meter = slowdown.SlowdownMeter(lambda: clock[0], lambda: clock[1])
    for running_s, processor_s in spans:
        meter.after_io_wait(0.0)
        clock[0] += running_s
        clock[1] += processor_s
        meter.before_io_wait(0.0)
        clock[0] += waits_s
    return meter


def test_time_that_a_process_waits_for_events_does_not_slow_it_down():
    """An idle process was taken for one that is starved."""
    for waits_s in (0.0, 1.0):
        meter = make_meter([0.0, 0.0], [(0.01, 0.01)] * 50, waits_s)
        assert round(meter.slowdown, 3) == 1.0
    assert make_meter([0.0, 0.0], [(0.1, 0.0)] * 2).slowdown == 1.0


def test_small_share_of_a_core_with_little_to_do_is_in_time():
    """A small share of a core closed its port in each stop."""
    spans = [(0.02, 0.002)] * 100
    assert make_meter([0.0, 0.0], spans, 0.03).slowdown == 1.0
    assert round(make_meter([0.0, 0.0], spans, 0.01).slowdown) == 10


def test_single_pause_of_a_task_is_no_slowdown():
    """A freeze of a second closed the port of a process with its core."""
    spans = [(0.01, 0.01)] * 40 + [(1.0, 0.001)]
    assert make_meter([0.0, 0.0], spans).slowdown < 1.5


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


def find_due_ms(until_ms, is_slow):
    """When replies are due, known at a time of a stop; slow at some times."""
    board = board_module.ForwardingBoard(name="edge-0", failure_domain="north")
    board.bounds = settings.Bounds(grace_ms=GRACE_MS)
    board.open_requests = 60
    clock = clock_module.ManualClock()
    callers: typing.Any = types.SimpleNamespace(count_waiting=lambda: 0)
    drain = drain_module.Drain(board, typing.cast(typing.Any, clock), callers)
    progress = drain.progress
    progress.began_ms, progress.grace_ms = 0.0, GRACE_MS

    async def main():
        while clock.now < until_ms:
            meter = types.SimpleNamespace(
                slowdown=10.0 if is_slow(clock.now) else 1.0
            )
            progress.meter = typing.cast(typing.Any, meter)
            progress.update()
            clock.advance(drain_module.POLL_MS)

    trio.run(main)
    return board.stop_deadline.due_ms


def test_passing_slowdown_brings_nothing_forward():
    """A stall of a second had all streams cut halfway through the grace."""
    usual_ms = GRACE_MS - planned_stop.REPLIES_DUE_MS
    assert find_due_ms(7_000.0, lambda now: 500 < now < 1_500) == usual_ms
    assert find_due_ms(7_000.0, lambda now: 6_500 < now < 6_900) == usual_ms


def test_lasting_slowdown_brings_replies_forward_when_they_come_near():
    """Requests were cut since their replies were begun too late."""
    assert find_due_ms(5_000.0, lambda now: True) > 7_000.0
    assert find_due_ms(7_000.0, lambda now: True) < 7_000.0
