"""When an entry VM that is overloaded turns away new connections.

Answers a balancer that hands most new connections to few entry VMs, each of
which serves only what its event loop can. Prevents requests that wait unread
until their callers give up, although other entry VMs have room.

A queue that empties from time to time only smooths bursts; one that stays
is a sign of overload.
"""

import math

import attrs

# How long the queue may go without being empty, and how long the last of those
# that wait may have to wait, before they are turned away.
MAX_STANDING_MS = 250.0
# The same while the entry VM turns connections away, so that a queue does not
# build up again and again.
MAX_STANDING_OVERLOADED_MS = 50.0
# The entry VM counts as overloaded for this long after the last time at which
# it had too long a queue.
OVERLOADED_MS = 1_000.0
# Turns of the event loop for each connection. With more of them fewer requests
# share the event loop, and each takes less time, while as many are served.
TURNS = 1
TURNS_OVERLOADED = 4
# Part of the entry VMs heard of lately that may be overloaded as well.
MAX_OVERLOADED_PART = 0.5


@attrs.define
class AcceptQueue:
    """The connections that wait to be accepted; times in ms.

    ``standing_since_ms`` is since when the queue has not been empty, None if
    it was when last checked; ``accepted`` is how many were accepted since. The
    queue was last too long at ``too_long_ms``.
    """

    standing_since_ms: float | None = None
    accepted: int = 0
    too_long_ms: float = -math.inf


def record_empty(queue: AcceptQueue) -> None:
    """Record that no connection waits."""
    queue.standing_since_ms = None


def record_accepted(queue: AcceptQueue, now_ms: float) -> bool:
    """Record that one of the connections that waited was accepted.

    Returns whether the queue has not been empty for too long.
    """
    if queue.standing_since_ms is None:
        queue.standing_since_ms, queue.accepted = now_ms, 0
    queue.accepted += 1
    return now_ms - queue.standing_since_ms >= get_limit_ms(queue, now_ms)


def is_too_long(queue: AcceptQueue, waiting: int, now_ms: float) -> bool:
    """Whether the last of ``waiting`` connections would wait for too long.

    A burst that is nearly accepted would not, even if the queue stands.
    """
    if queue.standing_since_ms is None:
        return False
    pace_ms = (now_ms - queue.standing_since_ms) / max(1, queue.accepted)
    return waiting * pace_ms >= get_limit_ms(queue, now_ms)


def record_too_long(queue: AcceptQueue, now_ms: float) -> None:
    """Record that the queue is too long."""
    queue.too_long_ms = now_ms


def get_limit_ms(queue: AcceptQueue, now_ms: float) -> float:
    """How long connections may wait."""
    if is_overloaded(queue, now_ms):
        return MAX_STANDING_OVERLOADED_MS
    return MAX_STANDING_MS


def is_overloaded(queue: AcceptQueue, now_ms: float) -> bool:
    """Whether the queue has been too long lately."""
    return now_ms - queue.too_long_ms < OVERLOADED_MS


def count_turns(queue: AcceptQueue, now_ms: float) -> int:
    """How many turns of the event loop each connection takes."""
    return TURNS_OVERLOADED if is_overloaded(queue, now_ms) else TURNS


def others_have_room(recent: int, overloaded: int) -> bool:
    """Whether connections that are turned away will be served elsewhere.

    ``recent`` is the number of other entry VMs heard of lately, ``overloaded``
    that of those which said that they are overloaded. If most are, a caller
    that is turned away has used up a try for nothing.
    """
    return overloaded < MAX_OVERLOADED_PART * recent
