"""Counts the connections that a listener closes, by reason."""

import collections
import enum

import attrs
import trio

from carawayward import events

LOG_INTERVAL_S = 1.0


class CloseReason(enum.Enum):
    """Why a listener closes a caller's connection."""

    IDLE = "idle"
    STOP = "stop"
    # The listener has been stopped and bytes of a request were not parsed: it
    # has not been begun and its caller may send it again.
    UNREAD = "unread"
    # The caller has sent what is no HTTP.
    MALFORMED = "malformed"
    # The caller has accepted no data for too long.
    WRITE_TIMEOUT = "write_timeout"
    # The caller still reads long after its request's deadline.
    DEADLINE = "deadline"
    # No room was left for the bytes of all connections, and this one held the
    # most for the longest.
    BUFFERS = "buffers"
    # No descriptor was left for a new connection.
    DESCRIPTORS = "descriptors"
    # A reply was sent before the whole body of its request had come.
    EARLY_REPLY = "early_reply"
    # The application ended before its reply was complete.
    UNFINISHED_REPLY = "unfinished_reply"


# What the last log line of a request says if its connection was closed.
EXPLANATIONS = {
    CloseReason.IDLE: "idle connection closed",
    CloseReason.STOP: "leaving",
    CloseReason.UNREAD: "leaving",
    CloseReason.MALFORMED: "malformed request",
    CloseReason.WRITE_TIMEOUT: "caller does not read",
    CloseReason.DEADLINE: "caller reads past its deadline",
    CloseReason.BUFFERS: "no room for buffered bytes",
    CloseReason.DESCRIPTORS: "no descriptor for a new connection",
    CloseReason.EARLY_REPLY: "closed after an early reply",
    CloseReason.UNFINISHED_REPLY: "reply not finished",
}


@attrs.define(eq=False)
class CloseRecorder:
    """Counts closes, and logs those that end a request or are unusual.

    It logs at most once in ``LOG_INTERVAL_S``, and what is left at the end.
    ``unlogged`` has those that ended a request, ``turned_away`` the others
    for which there were too few descriptors.
    """

    closed: collections.Counter[CloseReason] = attrs.field(
        factory=collections.Counter
    )
    unlogged: collections.Counter[CloseReason] = attrs.field(
        factory=collections.Counter
    )
    turned_away: int = 0
    logged_s: float = float("-inf")

    def record(self, reason: CloseReason, ends_request: bool) -> None:
        """Record that a connection is being closed."""
        self.closed[reason] += 1
        if ends_request:
            self.unlogged[reason] += 1
        elif reason is CloseReason.DESCRIPTORS:
            self.turned_away += 1
        else:
            return
        if trio.current_time() - self.logged_s >= LOG_INTERVAL_S:
            self.log()

    def log(self) -> None:
        """Log how many connections were closed since the last time."""
        if self.unlogged:
            ended = {each.value: n for each, n in self.unlogged.items()}
            self.unlogged.clear()
            self.logged_s = trio.current_time()
            events.log_event(events.Event.REQUESTS_CUT, **ended)
        if self.turned_away:
            events.log_event(
                events.Event.DESCRIPTORS_SHORT, closed=self.turned_away
            )
            self.turned_away = 0
            self.logged_s = trio.current_time()
