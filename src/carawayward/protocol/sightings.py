"""State of an endpoint, merged from the list, probes and peers.

Each source may be wrong or late, so they are merged by what each can prove:

- ``leaving`` is sticky: the list, the endpoint itself or a peer may report
  it first, and a source that does not report it cannot clear it, since it
  may not have learned of it yet. An endpoint counts as restarted only if it
  failed this node's own probes and then answers one as not leaving, while
  the list agrees;
- an endpoint in the list is retained; one that is missing from the list is
  not removed while it still answers, since the list lags and may be wrong;
- without any list, recent observations of peers are enough to add one.
"""

import attrs

from carawayward.protocol import freshness
from carawayward.protocol import membership

# An unlisted endpoint is retained for this long after its last answer to any
# node.
UNLISTED_RETENTION_MS = 10_000.0
# Consecutive failed probes after which a leaving endpoint that answers as not
# leaving counts as restarted.
MIN_FAILED_PROBES = 2


@attrs.frozen(kw_only=True)
class ObservedEndpoint:
    """State of one endpoint; times are on this node's monotonic clock.

    ``leaving_seen_ms`` is when it was last observed as leaving,
    ``restarted_ms`` when it last counted as restarted, ``answered_ms`` when
    it last answered a probe of this node or of a peer, ``probed_ms`` when it
    last answered this node. ``failed_probes`` counts this node's probes
    without an answer since then.
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
    """Merge an entry of the list; a new address means a new endpoint."""
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
    return _mark_leaving(known, now_ms) if leaving else known


def mark_unlisted(known: ObservedEndpoint) -> ObservedEndpoint:
    """Record that a list was read that does not contain the endpoint."""
    return attrs.evolve(known, listed=False, listed_leaving=False)


def merge_report(
    known: ObservedEndpoint,
    versions: frozenset[str],
    load: float,
    leaving: bool,
    now_ms: float,
) -> ObservedEndpoint:
    """Merge the endpoint's answer to a probe of this node."""
    restarted = (
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
    if restarted:
        return attrs.evolve(known, leaving=False, restarted_ms=now_ms)
    return _mark_leaving(known, now_ms) if leaving else known


def record_failed_probe(known: ObservedEndpoint) -> ObservedEndpoint:
    """Record that a probe of this node got no answer."""
    return attrs.evolve(known, failed_probes=known.failed_probes + 1)


def merge_observation(
    known: ObservedEndpoint | None,
    observation: membership.EndpointObservation,
    now_ms: float,
) -> ObservedEndpoint:
    """Merge an observation that a peer made or received from another."""
    seen_ms = now_ms - observation.age_ms
    if known is None:
        known = ObservedEndpoint(
            name=observation.name,
            pool=observation.pool,
            failure_domain=observation.failure_domain,
            address=observation.address,
        )
    if known.address != observation.address:
        return known
    if observation.leaving:
        if seen_ms <= known.restarted_ms:
            return known
        known = _mark_leaving(known, max(seen_ms, known.leaving_seen_ms))
    if observation.leaving or seen_ms <= known.answered_ms:
        return known
    return attrs.evolve(
        known,
        versions=frozenset(observation.versions),
        load=observation.load,
        answered_ms=seen_ms,
    )


def _mark_leaving(known: ObservedEndpoint, seen_ms: float) -> ObservedEndpoint:
    return attrs.evolve(known, leaving=True, leaving_seen_ms=seen_ms)


def is_retained(known: ObservedEndpoint, now_ms: float) -> bool:
    """Whether the endpoint is listed or was observed recently."""
    if known.listed:
        return True
    last_seen_ms = max(known.answered_ms, known.leaving_seen_ms)
    return now_ms - last_seen_ms <= UNLISTED_RETENTION_MS


def make_observation(
    known: ObservedEndpoint, now_ms: float
) -> membership.EndpointObservation | None:
    """The observation to send to peers; None if nobody has seen the endpoint.

    For a leaving endpoint, the age is that of the observation that it is
    leaving, so that it cannot override a later restart of the endpoint.
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
