"""What a node makes of an endpoint, from the list, probes and peers.

Each source may be wrong or late, so they are merged by what each can prove:

- ``leaving`` only grows: the list, the endpoint itself or a peer may say it
  first, and none can take it back, since another may not have heard yet.
  Only an endpoint that was silent to this node's own probes and then answers
  that it stays, while the list agrees, counts as started anew;
- presence in the list keeps an endpoint; absence does not remove one that
  still answers, since the list lags and may be wrong;
- with no list at all, what peers have seen lately is enough to know it.
"""

import attrs

from carawayward.protocol import freshness
from carawayward.protocol import membership

# An unlisted endpoint is kept for this long after it last answered anybody.
UNLISTED_RETENTION_MS = 10_000.0
MIN_FAILED_PROBES = 2


@attrs.frozen(kw_only=True)
class ObservedEndpoint:
    """One endpoint; instants are on this node's monotonic clock.

    ``leaving_seen_ms`` is when leaving was last observed, ``restarted_ms``
    when the endpoint counted as started anew, ``answered_ms`` when it last
    answered a probe, of this node or of a peer.
    """

    name: str
    pool: str
    failure_domain: str
    address: str
    listed: bool = False
    listed_leaving: bool = False
    leaving: bool = False
    leaving_seen_ms: float = freshness.NEVER
    restarted_ms: float = freshness.NEVER
    answered_ms: float = freshness.NEVER
    probed_ms: float = freshness.NEVER
    failed_probes: int = 0
    versions: frozenset[str] = frozenset()
    load: float = 0.0


def merge_listed(
    known: ObservedEndpoint | None,
    name: str,
    pool: str,
    failure_domain: str,
    address: str,
    leaving: bool,
    now_ms: float,
) -> ObservedEndpoint:
    """Merge a line of the list; another address is another endpoint."""
    if known is None or known.address != address:
        known = ObservedEndpoint(
            name=name,
            pool=pool,
            failure_domain=failure_domain,
            address=address,
        )
    known = attrs.evolve(
        known,
        pool=pool,
        failure_domain=failure_domain,
        listed=True,
        listed_leaving=leaving,
    )
    return _leave(known, now_ms) if leaving else known


def mark_unlisted(known: ObservedEndpoint) -> ObservedEndpoint:
    """The list was read and does not hold this endpoint."""
    return attrs.evolve(known, listed=False, listed_leaving=False)


def merge_report(
    known: ObservedEndpoint,
    versions: frozenset[str],
    load: float,
    leaving: bool,
    now_ms: float,
) -> ObservedEndpoint:
    """Merge an endpoint's own answer to a probe."""
    renewed = (
        known.leaving
        and not leaving
        and not known.listed_leaving
        and known.failed_probes >= MIN_FAILED_PROBES
    )
    known = attrs.evolve(
        known,
        versions=versions,
        load=load,
        answered_ms=now_ms,
        probed_ms=now_ms,
        failed_probes=0,
    )
    if renewed:
        return attrs.evolve(known, leaving=False, restarted_ms=now_ms)
    return _leave(known, now_ms) if leaving else known


def record_failed_probe(known: ObservedEndpoint) -> ObservedEndpoint:
    """A probe of this node got no answer."""
    return attrs.evolve(known, failed_probes=known.failed_probes + 1)


def merge_observation(
    known: ObservedEndpoint | None,
    fact: membership.EndpointObservation,
    now_ms: float,
) -> ObservedEndpoint:
    """Merge what a peer saw, or heard of, ``age_ms`` ago."""
    seen_ms = now_ms - fact.age_ms
    if known is None:
        known = ObservedEndpoint(
            name=fact.name,
            pool=fact.pool,
            failure_domain=fact.failure_domain,
            address=fact.address,
        )
    if known.address != fact.address:
        return known
    if fact.leaving:
        if seen_ms <= known.restarted_ms:
            return known
        known = _leave(known, max(seen_ms, known.leaving_seen_ms))
    if fact.leaving or seen_ms <= known.answered_ms:
        return known
    return attrs.evolve(
        known,
        versions=frozenset(fact.versions),
        load=fact.load,
        answered_ms=seen_ms,
    )


def _leave(known: ObservedEndpoint, seen_ms: float) -> ObservedEndpoint:
    return attrs.evolve(known, leaving=True, leaving_seen_ms=seen_ms)


def is_retained(known: ObservedEndpoint, now_ms: float) -> bool:
    """Whether the endpoint is still worth knowing."""
    if known.listed:
        return True
    newest = max(known.answered_ms, known.leaving_seen_ms)
    return now_ms - newest <= UNLISTED_RETENTION_MS


def make_observation(
    known: ObservedEndpoint, now_ms: float
) -> membership.EndpointObservation | None:
    """What to tell peers; None if nobody has seen the endpoint.

    A leaving fact carries the age of that observation, so that it cannot
    overrule a later start of the endpoint.
    """
    seen_ms = known.leaving_seen_ms if known.leaving else known.answered_ms
    if seen_ms == freshness.NEVER:
        return None
    return membership.EndpointObservation(
        name=known.name,
        address=known.address,
        pool=known.pool,
        failure_domain=known.failure_domain,
        versions=tuple(sorted(known.versions)),
        load=known.load,
        leaving=known.leaving,
        age_ms=max(0.0, now_ms - seen_ms),
    )
