"""How many requests a cold endpoint gets.

Endpoints start while their pool is busy. A new endpoint is idle, so every
entry VM would choose it at the same moment, and an endpoint that is still cold
crashes if it gets more than a few requests a second.

The limit holds for all entry VMs together without any messages between them. A
few of them, selected by rendezvous hashing, may send to an endpoint while it
is cold, each with a fixed number of permits; the others skip it.
"""

import functools
import typing

import attrs

from carawayward.decisions import placement

# Length of the window in which requests are counted, in ms, and an allowance
# for late timers.
WINDOW_MS = 1_000.0
TIMER_SLACK_MS = 50.0
# Number of entry VMs that may send to the same cold endpoint.
MAX_HOLDERS = 3
# Part of the limit that is assigned. If a network partition splits the entry
# VMs in two, each side selects its own holders.
ASSIGNED_PART = 0.5
# Number of cached ranks; hashing them is most of the cost of sharing permits.
MAX_RANKS_KEPT = 4_096
# An endpoint is never treated as cold for longer, whatever its entry says.
MAX_COLD_MS = 60_000.0


def compute_permits(per_s: float, overshoot: float, slack: float) -> int:
    """Requests a cold endpoint may get in any second, from all entry VMs."""
    return int(ASSIGNED_PART * (per_s * overshoot + slack))


@functools.lru_cache(maxsize=MAX_RANKS_KEPT)
def hash_rank(endpoint: str, vm: str) -> int:
    """Rendezvous rank of an entry VM for an endpoint; the lowest win."""
    return placement.hash_key(f"{endpoint}/{vm}")


def share_permits(
    own: str, members: typing.Iterable[str], endpoint: str, permits: int
) -> int:
    """How many of an endpoint's permits ``own`` holds, 0 if not a holder."""
    ranked = sorted(members, key=lambda name: hash_rank(endpoint, name))
    holders = ranked[: min(MAX_HOLDERS, permits)]
    if own not in holders:
        return 0
    each, remainder = divmod(permits, len(holders))
    return each + (holders.index(own) < remainder)


@attrs.define(eq=False)
class Permit:
    """Permission to send one request; counts until ``expires_ms``.

    It does not expire before the request has been sent, since a connection may
    take a long time to be established.
    """

    endpoint: str
    expires_ms: float = float("inf")


@attrs.define
class Permits:
    """The permits that one entry VM has taken, by endpoint."""

    taken: dict[str, list[Permit]] = attrs.field(factory=dict)


def count_taken(permits: Permits, endpoint: str, now_ms: float) -> int:
    """Number of unexpired permits for an endpoint."""
    permits_taken = permits.taken.get(endpoint)
    if permits_taken is None:
        return 0
    permits_taken[:] = [
        each for each in permits_taken if now_ms < each.expires_ms
    ]
    if not permits_taken:
        del permits.taken[endpoint]
    return len(permits_taken)


def take(permits: Permits, endpoint: str) -> Permit:
    """Take a permit for a request that is about to be sent."""
    permit = Permit(endpoint)
    permits.taken.setdefault(endpoint, []).append(permit)
    return permit


def record_sent(permit: Permit, now_ms: float) -> None:
    """Start the permit's window: the request is being sent now."""
    permit.expires_ms = now_ms + WINDOW_MS + TIMER_SLACK_MS


def release(permits: Permits, permit: Permit) -> None:
    """Return a finished request's permit, unless the request was sent."""
    if permit.expires_ms == float("inf"):
        permits.taken[permit.endpoint].remove(permit)
