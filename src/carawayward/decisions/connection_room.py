"""Chooses the connection that makes room for a new one.

Load: more clients than there are descriptors, idle or slow. Prevented failure:
no client can connect, and none is left for endpoints and the store.
"""

import typing

import attrs

# Shorter waits are those of clients that behave.
MIN_WAITING_S = 1.0


@attrs.frozen
class Activity:
    """What a connection does.

    ``idle_s`` is how long it has carried no request, None if it carries one.
    Its client has been waited for since ``waiting_s``, to send the rest of a
    request or to accept more, and has moved ``moved_bytes`` since.
    """

    idle_s: float | None
    waiting_s: float = 0.0
    moved_bytes: int = 0


def order_to_close(activities: typing.Sequence[Activity]) -> list[int]:
    """Order the connections that may be closed by their index.

    The longest idle come first, then those whose clients move least.
    """
    idle = [
        (-each.idle_s, index)
        for index, each in enumerate(activities)
        if each.idle_s is not None
    ]
    waiting = [
        (each.moved_bytes / each.waiting_s, index)
        for index, each in enumerate(activities)
        if each.idle_s is None and each.waiting_s >= MIN_WAITING_S
    ]
    return [index for _, index in [*sorted(idle), *sorted(waiting)]]
