"""Drains an entry VM that stops: the load balancer first, then requests."""

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


@attrs.define(eq=False)
class Drain:
    """A planned stop until its listeners are closed.

    Requests that cannot end in time get a reply that says so. Replies that
    are not read, and streams, are cut off before the process is killed. All
    times are brought forward while the process is short of processor time.

    ``callers`` is their listener; it accepts no connections any more once
    ``stop_accepting`` is set. All have to be closed at ``closed_s``, on
    trio's clock.
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
    closed_s: float = 0.0

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
        trio.lowlevel.add_instrument(self.meter)
        with trio.CancelScope() as waiting:
            removed_ms = self.began_ms + BALANCER_REMOVAL_MS
            while self.clock.now_ms() < removed_ms:
                self._follow_times(waiting)
                await self.clock.sleep(POLL_MS)
            self.board.refusing = True
            self.callers.start_draining()
            while self.board.open_requests or self.board.open_relays:
                self._follow_times(waiting)
                self._close_port_if_starved()
                await self.clock.sleep(POLL_MS)
        self.board.refusing = True
        self._follow_times(waiting)
        trio.lowlevel.remove_instrument(self.meter)
        self.stop_accepting.set()

    def _follow_times(self, waiting: trio.CancelScope) -> None:
        """Bring the times forward if the process has become slower."""
        assert self.began_ms is not None
        now_ms = self.clock.now_ms()
        began_s = trio.current_time() - (now_ms - self.began_ms) / 1000
        times = planned_stop.StopTimes.from_grace(
            self.board.bounds.grace_ms,
            self.meter.slowdown,
            self.board.open_requests
            + self.board.open_relays
            + self.callers.count_waiting(),
        )
        self.board.stop_deadline.bring_forward(
            now_ms, self.began_ms + times.replies_due_ms
        )
        cutoff_s = began_s + times.cutoff_ms / 1000
        waiting.deadline = min(waiting.deadline, cutoff_s)
        self.closed_s = began_s + times.closed_ms / 1000
        for each in self.listeners:
            each.closed_s = self.closed_s

    def _close_port_if_starved(self) -> None:
        slowdown = self.meter.slowdown
        if self.stop_accepting.is_set():
            return
        if not planned_stop.is_starved(slowdown):
            return
        events.log_event(
            events.Event.STOP_STARVED,
            slowdown=round(slowdown, 1),
            open=self.board.open_requests,
            waiting=self.callers.count_waiting(),
        )
        self.callers.late = True
        self.stop_accepting.set()
