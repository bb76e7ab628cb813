"""Drains an entry VM that stops: the load balancer first, then requests."""

import collections
import signal

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.decisions import planned_stop
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward import listening
from carawayward import slowdown as slowdown_module

# A load balancer that probes once a second and removes a target after two
# failed probes sends no new connections after this time.
BALANCER_REMOVAL_MS = 2_200.0
POLL_MS = 20.0
# The process is as slow as it has been at least for this long.
STEADY_MS = 500.0
# Times are brought forward only when they come this near, by what is known
# then. A poll may be late by as much.
NEAR_MS = 500.0


@attrs.define(eq=False)
class Drain:
    """A planned stop until its listeners are closed.

    Requests that cannot end in time get a reply that says so. Replies that
    are not read, and streams, are cut off before the process is killed. All
    times are brought forward while the process is short of processor time.

    ``callers`` is their listener; it accepts no connections any more once
    ``stop_accepting`` is set. All have to be closed at
    ``closing_deadline_s``, on trio's clock. ``recent_slowdowns`` are those of
    the last polls, with their times in ms.
    """

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    callers: listening.ListenerConfig
    listeners: list[listening.ListenerConfig] = attrs.field(factory=list)
    stop_accepting: trio.Event = attrs.field(factory=trio.Event)
    meter: slowdown_module.SlowdownMeter = attrs.field(
        factory=slowdown_module.SlowdownMeter
    )
    began_ms: float | None = None
    closing_deadline_s: float = 0.0
    grace_ms: float = 0.0
    recent_slowdowns: collections.deque[tuple[float, float]] = attrs.field(
        factory=collections.deque
    )

    def record_signal(self, number: int) -> None:
        """Record when the stop begins, by the signal that requests it."""
        if number != signal.SIGHUP and self.began_ms is None:
            self.began_ms = self.clock.now_ms()

    async def run(self) -> None:
        """Wait until the listeners are to be closed."""
        if self.began_ms is None:
            self.began_ms = self.clock.now_ms()
        self.board.state = board_module.State.LEAVING
        events.log_event(
            events.Event.NODE_LEAVING, open=self.board.open_requests
        )
        self.grace_ms = self.board.bounds.grace_ms
        trio.lowlevel.add_instrument(self.meter)
        try:
            await self._wait()
        finally:
            trio.lowlevel.remove_instrument(self.meter)
        self.board.refusing = True
        # The wait may also have ended before its last part.
        slowdown = self._find_slowdown(self.clock.now_ms())
        if planned_stop.is_starved(slowdown):
            self._close_port(slowdown)
        self.stop_accepting.set()

    async def _wait(self) -> None:
        """Wait for the load balancer, which sees this state from now on."""
        removed_ms = self.clock.now_ms() + BALANCER_REMOVAL_MS
        with trio.CancelScope() as waiting:
            while self.clock.now_ms() < removed_ms:
                self._follow_times(waiting)
                await self.clock.sleep(POLL_MS)
            self.board.refusing = True
            self.callers.start_draining()
            while self.board.open_requests or self.board.open_relays:
                slowdown = self._follow_times(waiting)
                if planned_stop.is_starved(slowdown):
                    self._close_port(slowdown)
                await self.clock.sleep(POLL_MS)

    def _follow_times(self, waiting: trio.CancelScope) -> float:
        """Bring near times forward by how slow the process is; return that."""
        assert self.began_ms is not None
        now_ms = self.clock.now_ms()
        slowdown = self._find_slowdown(now_ms)
        times = planned_stop.StopTimes.from_grace(
            self.grace_ms,
            slowdown,
            self.board.open_requests
            + self.board.open_relays
            + self.callers.count_waiting(),
        )
        usual = planned_stop.StopTimes.from_grace(self.grace_ms)
        due_ms = self.began_ms + times.replies_due_ms
        if due_ms > now_ms + NEAR_MS:
            due_ms = self.began_ms + usual.replies_due_ms
        self.board.stop_deadline.bring_forward(
            now_ms, due_ms, self.began_ms + times.begun_due_ms
        )
        began_s = trio.current_time() - (now_ms - self.began_ms) / 1000
        waiting.deadline = began_s + times.cutoff_ms / 1000
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

    def _close_port(self, slowdown: float) -> None:
        if self.stop_accepting.is_set():
            return
        events.log_event(
            events.Event.STOP_STARVED,
            slowdown=round(slowdown, 1),
            open=self.board.open_requests,
            waiting=self.callers.count_waiting(),
        )
        self.callers.turns_away_queued = True
        self.stop_accepting.set()
