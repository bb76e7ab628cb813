"""How many requests a cold endpoint gets.

Load: endpoints start while their pool is busy. They have nothing to do yet, so
that every entry VM would choose them at the same moment. Failure prevented: an
endpoint that is cold crashes when it gets more than a few requests a second.

The bound holds for all entry VMs together without a message between them. A
few of them, found by rendezvous hashing, may send to an endpoint while it is
cold; each has a fixed number of permits, and the others pass it over.
"""

import functools
import typing

import attrs

from carawayward.decisions import placement

# The span for which requests are counted, in ms, and a little for timers.
WINDOW_MS = 1_000.0
TIMER_SLACK_MS = 50.0
# Entry VMs that may send to the same cold endpoint.
MAX_HOLDERS = 3
# Part of the bound that is dealt out. Entry VMs that are cut in two halves
# each find holders of their own.
ASSIGNED_PART = 0.5
# Ranks that are kept: hashing them is most of what sharing permits costs.
MAX_RANKS_KEPT = 4_096
# No endpoint is taken to be cold for longer, whatever its entry says.
MAX_COLD_MS = 60_000.0


def compute_permits(per_s: float, overshoot: float, slack: float) -> int:
    """How many requests a cold endpoint may get in any second, together."""
    return int(ASSIGNED_PART * (per_s * overshoot + slack))


@functools.lru_cache(maxsize=MAX_RANKS_KEPT)
def hash_rank(endpoint: str, vm: str) -> int:
    """The place of an entry VM among those that may hold permits."""
    return placement.hash_key(f"{endpoint}/{vm}")


def share_permits(
    own: str, members: typing.Iterable[str], endpoint: str, permits: int
) -> int:
    """How many of an endpoint's permits ``own``, one of them or not, holds."""
    ranked = sorted(members, key=lambda name: hash_rank(endpoint, name))
    holders = ranked[: min(MAX_HOLDERS, permits)]
    if own not in holders:
        return 0
    each, rest = divmod(permits, len(holders))
    return each + (holders.index(own) < rest)


@attrs.define(eq=False)
class Permit:
    """Permission to send one request; counts until ``expires_ms``.

    It does not expire before the request has been sent: a connection may
    take long to come about.
    """

    endpoint: str
    expires_ms: float = float("inf")


@attrs.define
class Permits:
    """The permits that one entry VM has taken, by endpoint."""

    taken: dict[str, list[Permit]] = attrs.field(factory=dict)


def count_taken(permits: Permits, endpoint: str, now_ms: float) -> int:
    """How many permits for an endpoint have not expired."""
    held = permits.taken.get(endpoint)
    if held is None:
        return 0
    held[:] = [each for each in held if now_ms < each.expires_ms]
    if not held:
        del permits.taken[endpoint]
    return len(held)


def take(permits: Permits, endpoint: str) -> Permit:
    """Take a permit for a request that is about to be sent."""
    permit = Permit(endpoint)
    permits.taken.setdefault(endpoint, []).append(permit)
    return permit


def record_sent(permit: Permit, now_ms: float) -> None:
    """The request goes out; it counts for one window from now on."""
    permit.expires_ms = now_ms + WINDOW_MS + TIMER_SLACK_MS


def release(permits: Permits, permit: Permit) -> None:
    """The request is over; a permit that it did not use is free at once."""
    if permit.expires_ms == float("inf"):
        permits.taken[permit.endpoint].remove(permit)
