"""The times of a planned stop, by how slow the process is meanwhile."""

import collections
import contextlib
import signal
import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.decisions import planned_stop
from carawayward import events
from carawayward import listening
from carawayward import slowdown as slowdown_module

# The process is as slow as it has been at least for this long.
STEADY_MS = 500.0
# Times are brought forward only when they come this near, by what is known
# then. A poll may be late by as much.
NEAR_MS = 500.0


@attrs.define(eq=False)
class StopProgress:
    """The times of a stop, counted from the signal that requests it.

    All are brought forward while the process is short of processor time.
    ``count_open`` counts the requests to be replied to, ``bring_forward`` has
    the replies to them due at a time in ms, and those that have begun by
    another; ``reserve`` is kept for the end.

    ``callers`` is their listener; it accepts no connections any more once
    ``stop_accepting`` is set, which has to be at ``cutoff_s``. All of
    ``listeners`` are closed at ``closing_deadline_s``; both on trio's clock.
    ``recent_slowdowns`` are those of the last polls, with their times in ms.
    """

    clock: clock_module.Clock
    callers: listening.ListenerConfig
    count_open: typing.Callable[[], int]
    bring_forward: typing.Callable[[float, float], None]
    reserve: planned_stop.Reserve = planned_stop.Reserve()
    listeners: list[listening.ListenerConfig] = attrs.field(factory=list)
    stop_accepting: trio.Event = attrs.field(factory=trio.Event)
    meter: slowdown_module.SlowdownMeter = attrs.field(
        factory=slowdown_module.SlowdownMeter
    )
    began_ms: float | None = None
    grace_ms: float = 0.0
    cutoff_s: float = 0.0
    closing_deadline_s: float = 0.0
    recent_slowdowns: collections.deque[tuple[float, float]] = attrs.field(
        factory=collections.deque
    )

    def record_signal(self, number: int) -> None:
        """Record when the stop begins, by the signal that requests it."""
        if number != signal.SIGHUP and self.began_ms is None:
            self.began_ms = self.clock.now_ms()

    @contextlib.contextmanager
    def measure(self, grace_ms: float) -> typing.Iterator[None]:
        """Begin to stop within ``grace_ms``, and measure the slowdown."""
        if self.began_ms is None:
            self.began_ms = self.clock.now_ms()
        self.grace_ms = grace_ms
        trio.lowlevel.add_instrument(self.meter)
        try:
            yield
        finally:
            trio.lowlevel.remove_instrument(self.meter)

    def end_within(self, left_ms: float) -> None:
        """End the stop in ``left_ms``, unless it ends before."""
        assert self.began_ms is not None
        grace_ms = self.clock.now_ms() + left_ms - self.began_ms
        self.grace_ms = min(self.grace_ms, grace_ms)

    def update(self) -> float:
        """Bring near times forward by the slowdown; return that."""
        assert self.began_ms is not None
        now_ms = self.clock.now_ms()
        slowdown = self._find_slowdown(now_ms)
        times = planned_stop.StopTimes.from_grace(
            self.grace_ms,
            slowdown,
            self.count_open() + self.callers.count_waiting(),
            self.reserve,
        )
        usual = planned_stop.StopTimes.from_grace(
            self.grace_ms, reserve=self.reserve
        )
        due_ms = self.began_ms + times.replies_due_ms
        if due_ms > now_ms + NEAR_MS:
            due_ms = self.began_ms + usual.replies_due_ms
        self.bring_forward(due_ms, self.began_ms + times.begun_due_ms)
        began_s = trio.current_time() - (now_ms - self.began_ms) / 1000
        self.cutoff_s = began_s + times.cutoff_ms / 1000
        self.closing_deadline_s = began_s + times.closed_ms / 1000
        for each in self.listeners:
            each.closing_deadline_s = self.closing_deadline_s
        return slowdown

    def _find_slowdown(self, now_ms: float) -> float:
        """The least slowdown for a while, 1 if it is not known as long."""
        recent = self.recent_slowdowns
        recent.append((now_ms, self.meter.slowdown))
        while len(recent) > 1 and recent[1][0] <= now_ms - STEADY_MS:
            recent.popleft()
        if recent[0][0] > now_ms - STEADY_MS:
            return 1.0
        return min(slowdown for _, slowdown in recent)

    def close_port_if_starved(self, slowdown: float) -> None:
        """Stop accepting connections that would be refused too late."""
        if self.stop_accepting.is_set():
            return
        if not planned_stop.is_starved(slowdown):
            return
        events.log_event(
            events.Event.STOP_STARVED,
            slowdown=round(slowdown, 1),
            open=self.count_open(),
            waiting=self.callers.count_waiting(),
        )
        self.callers.turns_away_queued = True
        self.stop_accepting.set()
