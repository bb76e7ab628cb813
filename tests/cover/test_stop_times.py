"""When a stopping process replies and closes, and how slow it is."""

import math
import types
import typing

import hypothesis
from hypothesis import strategies
import trio
import trio.testing

from carawayward import clock as clock_module
from carawayward.decisions import planned_stop
from carawayward.forwarding import board as board_module
from carawayward.forwarding import drain as drain_module
from carawayward.forwarding import settings
from carawayward.forwarding import stop_deadline
from carawayward import slowdown

GRACE_MS = 8_000.0


def make_meter(clock, spans, waits_s=0.0, late_s=0.0):
    """A meter that has seen spans of running and of processor time, in s.

    It waits for events between them, and runs ``late_s`` after each wait.
    """
    meter = slowdown.SlowdownMeter(lambda: clock[0], lambda: clock[1])
    for running_s, processor_s in spans:
        meter.after_io_wait(max(0.0, waits_s - late_s))
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


def test_process_that_wakes_up_late_is_slow():
    """A late process with little to do was taken for one with its core."""
    spans = [(0.003, 0.003)] * 100
    assert make_meter([0.0, 0.0], spans, 0.08, 0.0).slowdown == 1.0
    assert make_meter([0.0, 0.0], spans, 0.08, 0.01).slowdown == 1.0
    assert make_meter([0.0, 0.0], spans, 0.08, 0.06).slowdown > 10


def test_single_pause_of_a_task_is_no_slowdown():
    """A freeze of a second closed the port of a process with its core."""
    spans = [(0.01, 0.01)] * 40 + [(1.0, 0.001)]
    assert make_meter([0.0, 0.0], spans).slowdown < 1.5
    clock = [0.0, 0.0]
    meter = make_meter(clock, spans[:-1])
    clock[0] += 1.0
    meter.after_io_wait(0.0)
    assert meter.slowdown < 1.5


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
    assert times.replies_due_ms <= times.begun_due_ms <= times.closed_ms
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


def test_replies_that_have_begun_are_not_cut_earlier_by_a_slow_process():
    """Streams were cut long before the kill since others were refused."""

    async def main():
        deadline = stop_deadline.StopDeadline()
        ended_s: dict[bool, float] = {}

        async def serve(begun):
            with deadline.limit(0.0) as scope:
                if begun:
                    deadline.record_begun(scope)
                await trio.sleep_forever()
            ended_s[begun] = trio.current_time() - began_s

        times = planned_stop.StopTimes.from_grace(GRACE_MS, 20.0, 100)
        async with trio.open_nursery() as nursery:
            began_s = trio.current_time()
            for begun in (False, True):
                nursery.start_soon(serve, begun)
            await trio.testing.wait_all_tasks_blocked()
            deadline.bring_forward(
                0.0, times.replies_due_ms, times.begun_due_ms
            )
        return ended_s

    ended_s = trio.run(
        main, clock=trio.testing.MockClock(autojump_threshold=0)
    )
    assert ended_s[False] < 4.5
    assert ended_s[True] * 1000 >= GRACE_MS * 5 / 6


def test_reply_that_begins_while_it_is_about_to_come_due_may_go_on():
    """Streams were cut halfway through the grace that had just begun."""

    async def main():
        deadline = stop_deadline.StopDeadline()
        times = planned_stop.StopTimes.from_grace(GRACE_MS, 20.0, 100)
        own_ms = times.begun_due_ms - 100.0
        begins_ms = times.replies_due_ms - 100.0
        ended_ms: list[float] = []

        def now_ms():
            return trio.current_time() * 1000 - began_ms

        async def serve(until_ms):
            with deadline.limit(0.0, until_ms) as scope:
                await trio.sleep(begins_ms / 1000)
                deadline.record_begun(scope)
                await trio.sleep_forever()
            ended_ms.append(now_ms())

        async with trio.open_nursery() as nursery:
            began_ms = trio.current_time() * 1000
            for until_ms in (math.inf, own_ms):
                nursery.start_soon(serve, until_ms)
            await trio.testing.wait_all_tasks_blocked()
            deadline.bring_forward(
                0.0, times.replies_due_ms, times.begun_due_ms
            )
        return [own_ms, times.begun_due_ms], ended_ms

    expected, ended = trio.run(
        main, clock=trio.testing.MockClock(autojump_threshold=0)
    )
    assert [round(each) for each in ended] == [round(e) for e in expected]


def test_starved_process_turns_away_whenever_its_wait_ends():
    """A wait that ended early had all that was queued read, then cut."""
    clock: typing.Any = types.SimpleNamespace(
        now_ms=lambda: trio.current_time() * 1000,
        sleep=lambda ms: trio.sleep(ms / 1000),
    )

    class Starved(trio.abc.Instrument):
        slowdown = 10.0

    async def main():
        board = board_module.ForwardingBoard(
            name="edge-0", failure_domain="north"
        )
        board.bounds = settings.Bounds(grace_ms=GRACE_MS)
        board.open_requests = 300
        callers: typing.Any = types.SimpleNamespace(
            count_waiting=lambda: 100, turns_away_queued=False
        )
        meter: typing.Any = Starved()
        drain = drain_module.Drain(board, clock, callers)
        drain.progress.listeners = [callers]
        drain.progress.meter = meter
        drain.progress.began_ms = clock.now_ms() - 2_000.0
        await drain.run()
        return callers.turns_away_queued

    clock_ = trio.testing.MockClock(autojump_threshold=0)
    assert trio.run(main, clock=clock_)
