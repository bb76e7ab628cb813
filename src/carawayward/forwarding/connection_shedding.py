"""Turns away new connections while only this entry VM is overloaded."""

import typing

import attrs

from carawayward import clock as clock_module
from carawayward.decisions import overload
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import load_reports
from carawayward.forwarding import metrics as metrics_module

EVENT_INTERVAL_MS = 1_000.0
# How long a count of overloaded peers is valid.
PEER_COUNT_TTL_MS = 100.0


@attrs.define(eq=False)
class ConnectionShedding:
    """The policy of the callers' listener; times in ms.

    ``peers`` is the number of peers heard of lately and ``peers_overloaded``
    that of those overloaded, as of ``counted_ms``. ``turned_away`` counts
    connections since the last event, which was logged at ``logged_ms``.
    """

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    reporter: load_reports.LoadReporter
    metrics: metrics_module.Metrics
    queue: overload.AcceptQueue = attrs.field(factory=overload.AcceptQueue)
    peers: int = 0
    peers_overloaded: int = 0
    counted_ms: float = board_module.NEVER
    turned_away: int = 0
    logged_ms: float = board_module.NEVER

    def count_turns(self) -> int:
        """How many turns of the event loop each connection takes."""
        return overload.count_turns(self.queue, self.clock.now_ms())

    def record_empty(self) -> None:
        """Record that no connection waits."""
        overload.record_empty(self.queue)

    def should_count(self) -> bool:
        """Record that one was accepted; whether to count those that wait."""
        now_ms = self.clock.now_ms()
        if not overload.record_accepted(self.queue, now_ms):
            return False
        if self._others_have_room(now_ms):
            return True
        self._record_too_long(now_ms)
        return False

    def should_turn_away(self, waiting: int) -> bool:
        """Whether to turn away the ``waiting`` connections."""
        now_ms = self.clock.now_ms()
        if not overload.is_too_long(self.queue, waiting, now_ms):
            return False
        self._record_too_long(now_ms)
        return True

    def record_turned_away(self, count: int) -> None:
        """Record how many connections were turned away."""
        overload.record_empty(self.queue)
        self.metrics.add("connections_turned_away", count)
        self.turned_away += count
        now_ms = self.clock.now_ms()
        if now_ms - self.logged_ms < EVENT_INTERVAL_MS:
            return
        events.log_event(
            events.Event.CONNECTIONS_TURNED_AWAY,
            connections=self.turned_away,
            open_requests=self.board.open_requests,
            peers=self.peers,
            peers_overloaded=self.peers_overloaded,
        )
        self.turned_away, self.logged_ms = 0, now_ms

    def should_redirect_callers(self) -> bool:
        """Whether callers should open their next connection elsewhere."""
        now_ms = self.clock.now_ms()
        return overload.is_overloaded(
            self.queue, now_ms
        ) and self._others_have_room(now_ms)

    def describe(self) -> int | None:
        """Describe the state for peers; None unless overloaded."""
        now_ms = self.clock.now_ms()
        return 1 if overload.is_overloaded(self.queue, now_ms) else None

    def merge(self, sender: str, value: typing.Any, ttl_ms: float) -> None:
        """Record that a peer is overloaded."""
        self.reporter.record_overload(sender.partition("/")[0])

    def _record_too_long(self, now_ms: float) -> None:
        was_overloaded = overload.is_overloaded(self.queue, now_ms)
        overload.record_too_long(self.queue, now_ms)
        if not was_overloaded:
            self.reporter.report_soon()

    def _others_have_room(self, now_ms: float) -> bool:
        if now_ms - self.counted_ms >= PEER_COUNT_TTL_MS:
            self.counted_ms = now_ms
            self.peers, self.peers_overloaded = (
                self.reporter.count_overloaded_peers()
            )
        return overload.others_have_room(self.peers, self.peers_overloaded)
