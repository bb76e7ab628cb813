"""Each entry VM's share of a limit on an endpoint's requests a second.

An overloaded endpoint may accept only a few requests a second. If each entry
VM kept to such a limit by itself, the endpoint would get a multiple of it.

The limit holds for all entry VMs together without any messages between them. A
few of them, selected by rendezvous hashing, share nearly all of it; each of
the others sends a request so rarely that together they use a small part, which
is enough to find out that the limit has changed. An equal share for all would
allow as many requests at once as there are entry VMs.
"""

import heapq
import typing

import attrs

from carawayward.decisions import cold_starts

# Together the holders may send this many requests at once, and as many more as
# the limit allows in this time. There are no more holders than that, so that
# each may send one.
BURST_REQUESTS = 3.0
BURST_MS = 1_000.0
# Part of the limit that is left to the entry VMs that are no holders.
PROBE_PART = 0.1
# Limits are clamped to this range, in requests a second: with a limit of 0 no
# response would ever say that it has been lifted.
MIN_PER_S = 0.1
MAX_PER_S = 1_000_000.0


@attrs.frozen
class Share:
    """What one entry VM may send to an endpoint.

    One request every ``interval_ms`` on average, and ``burst``, 1 or more, at
    once.
    """

    interval_ms: float
    burst: float = 1.0
    holder: bool = True


@attrs.define
class Bucket:
    """What one entry VM has sent, as a leaky bucket (GCRA).

    If requests are sent exactly at the rate of the share, the next one is due
    at ``due_ms``.
    """

    due_ms: float


def clamp(per_s: float) -> float:
    """Return a limit within the range that can be applied."""
    return min(MAX_PER_S, max(MIN_PER_S, per_s))


def compute_share(
    own: str, members: typing.Collection[str], endpoint: str, per_s: float
) -> Share:
    """Return the share of ``own`` in an endpoint's limit.

    ``members`` are all known entry VMs, including ``own``.
    """
    per_ms = clamp(per_s) / 1000.0
    burst = BURST_REQUESTS + per_ms * BURST_MS
    holders = heapq.nsmallest(
        int(min(burst, len(members))),
        members,
        key=lambda name: cold_starts.hash_rank(endpoint, name),
    )
    others = len(members) - len(holders)
    if own not in holders:
        return Share(max(1, others) / (PROBE_PART * per_ms), holder=False)
    part = 1.0 - PROBE_PART if others else 1.0
    return Share(len(holders) / (part * per_ms), burst / len(holders))


def make_bucket(share: Share, now_ms: float, draw: float) -> Bucket:
    """Return the bucket of an entry VM that has just learned of the limit.

    A holder may send one request at once. Each of the others waits for a part
    of its interval, given by ``draw`` between 0 and 1, since many may learn of
    the limit at the same moment.
    """
    if share.holder:
        return Bucket(now_ms + (share.burst - 1.0) * share.interval_ms)
    return Bucket(now_ms + (0.5 + draw) * share.interval_ms)


def adapt(bucket: Bucket, share: Share, now_ms: float) -> None:
    """Shorten a wait that rests on a smaller share."""
    bucket.due_ms = min(
        bucket.due_ms, now_ms + (share.burst + 0.5) * share.interval_ms
    )


def compute_wait_ms(bucket: Bucket, share: Share, now_ms: float) -> float:
    """Return the time until a request may be sent; 0 if it may be now."""
    early_ms = (share.burst - 1.0) * share.interval_ms
    return max(0.0, bucket.due_ms - early_ms - now_ms)


def take(bucket: Bucket, share: Share, now_ms: float) -> None:
    """Count a request that is about to be sent."""
    bucket.due_ms = max(bucket.due_ms, now_ms) + share.interval_ms
