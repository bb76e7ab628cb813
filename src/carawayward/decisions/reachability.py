"""Decides whether this entry VM has lost its own path to a service.

Under a partition of one entry VM all its connections to endpoints fail while
the endpoints serve its peers. Taking them for failed would refuse every
request that callers send to this entry VM.
"""

import attrs

# One endpoint that refuses connections or is silent has failed itself.
MIN_UNREACHED_ENDPOINTS = 2


@attrs.define
class Reachability:
    """What connection attempts have shown of one service's endpoints.

    Times are in ms. ``unreached`` holds the endpoints that no connection could
    be established to since one was last established to any of them.
    """

    reached_ms: float = float("-inf")
    unreached: set[str] = attrs.field(factory=set)
    lost: bool = False


def record_connected(state: Reachability, now_ms: float) -> bool:
    """Record an established connection; return whether ``lost`` changed."""
    was_lost, state.lost = state.lost, False
    state.reached_ms = now_ms
    state.unreached.clear()
    return was_lost


def record_unreached(
    state: Reachability, name: str, began_ms: float, endpoints: int
) -> bool:
    """Record a failed connection attempt; return whether ``lost`` changed.

    ``endpoints`` is how many endpoints the service has. An attempt that began
    before the last established connection says nothing about the path now.
    """
    if began_ms < state.reached_ms:
        return False
    state.unreached.add(name)
    needed = max(1, min(MIN_UNREACHED_ENDPOINTS, endpoints))
    if state.lost or len(state.unreached) < needed:
        return False
    state.lost = True
    return True
