"""Which endpoint runs a request.

This entry VM knows its own requests in flight on an endpoint exactly, and
everyone else's from the endpoint's reports, late. Endpoints are chosen by this
entry VM's own requests and by latency. Reports only bound how many requests
affinity may concentrate on one endpoint; choosing by them was tried and
removed, since entry VMs that act on the same late report all move at once.
"""

import bisect
import functools
import hashlib
import typing

import attrs

from carawayward.decisions import health as health_module
from carawayward.decisions import limits

Draw = typing.Callable[[int], int]

# An endpoint may have this factor times the mean load, counted with one more
# request, before requests with its prefixes go to the next on the ring. A
# lower bound loses cache hits, a higher one lets a popular prefix overload one
# endpoint. With late reports, 1.05 keeps the busiest endpoint under 1.25 of
# the mean.
LOAD_BOUND = 1.05
# Number of endpoints on the ring that are tried before affinity is given up.
RING_WALK = 3
# Points of an endpoint on the ring: with 64 the shares of the key space differ
# by an eighth, with one by several times.
RING_POINTS = 64
# Number of endpoints whose points are cached: twice the largest number of
# endpoints aimed for.
MAX_POINTS_CACHED = 2_048
# Smoothing of reports: lasting load (an endpoint that others use more) shows,
# fluctuation between reports does not.
REPORT_GAIN = 0.03
# A request leaves its failure domain only if the best local endpoint is this
# much busier: the network path to another domain costs milliseconds, a queue
# costs more.
SPILL_FACTOR = 1.5
# A failing endpoint must look busy, not idle, since it frees its slots
# quickly.
FAILURE_WEIGHT = 10.0


@attrs.define(eq=False, kw_only=True)
class EndpointView:
    """What one entry VM knows about one endpoint."""

    name: str
    failure_domain: str
    in_flight: int = 0
    other_load: float = 0.0
    limit: limits.Limit = attrs.field(factory=limits.Limit)
    health: health_module.Health = attrs.field(factory=health_module.Health)


@attrs.define(eq=False)
class Candidates:
    """The endpoints that can serve one version, or one pool's calls.

    Rebuilt only when membership changes. A decision reads nothing else, so its
    cost does not grow with endpoints that cannot serve the request. ``mean``
    and ``pool_ms`` are recomputed every few decisions.
    """

    views: list[EndpointView]
    by_domain: dict[str, list[EndpointView]]
    outside_domain: dict[str, list[EndpointView]]
    ring: list[tuple[int, EndpointView]]
    points: list[int]
    mean: float = 0.0
    pool_ms: float | None = None
    decisions: int = 0

    @classmethod
    def from_views(cls, views: typing.Iterable[EndpointView]) -> "Candidates":
        """Index the endpoints that can serve."""
        known = sorted(views, key=lambda view: view.name)
        by_domain: dict[str, list[EndpointView]] = {}
        for view in known:
            by_domain.setdefault(view.failure_domain, []).append(view)
        outside_domain = {
            domain: [v for v in known if v.failure_domain != domain]
            for domain in by_domain
        }
        ring = sorted(
            (
                (point, view)
                for view in known
                for point in find_points(view.name)
            ),
            key=lambda point_and_view: point_and_view[0],
        )
        points = [point_and_view[0] for point_and_view in ring]
        return cls(known, by_domain, outside_domain, ring, points)


def hash_key(text: str) -> int:
    """A hash that is the same on every entry VM and in every release."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


@functools.lru_cache(maxsize=MAX_POINTS_CACHED)
def find_points(name: str) -> tuple[int, ...]:
    """An endpoint's points on the ring.

    Hashing is most of the cost of building the ring. The points are cached
    because rings are rebuilt just when an endpoint has gone, when a delay of
    milliseconds for all requests would hurt most.
    """
    return tuple(hash_key(f"{name}#{point}") for point in range(RING_POINTS))


def record_report(view: EndpointView, load: float) -> None:
    """Update the view from an endpoint's report of its total load."""
    others = max(0.0, load - view.in_flight)
    view.other_load += REPORT_GAIN * (others - view.other_load)


def compute_cost(view: EndpointView, pool_ms: float | None) -> float:
    """How long a request would take there, up to a common factor.

    Accounts for slow endpoints and for those that fail fast; both look idle to
    a policy that only counts requests.
    """
    health = view.health
    slowness = 1.0
    if pool_ms and health.unit_ms is not None:
        slowness = max(1.0, health.unit_ms / pool_ms)
    failing = 1.0 + FAILURE_WEIGHT * (1.0 - health.success)
    return (1.0 + view.in_flight) * slowness * failing


def is_available(
    view: EndpointView, now_ms: float, excluded: frozenset[str]
) -> bool:
    """Whether the endpoint can take one more request now."""
    return (
        limits.has_room(view.limit, view.in_flight)
        and health_module.accepts_request(view.health, now_ms, view.in_flight)
        and view.name not in excluded
    )


def choose(
    candidates: Candidates,
    key: int | None,
    failure_domain: str,
    now_ms: float,
    draw: Draw,
    excluded: frozenset[str] = frozenset(),
) -> EndpointView | None:
    """Choose an endpoint with room, or return ``None``.

    An ejected endpoint that is due for a probe comes first, then the endpoints
    of the request's prefix on the ring, within the load bound: computing the
    prefix again elsewhere costs more than the path to another failure domain.
    Otherwise the better of two local endpoints is chosen, or the better of two
    from other domains if the local ones are much busier.
    """
    if not candidates.views:
        return None
    refresh_means(candidates)
    probe = _find_probe(candidates, now_ms, excluded)
    if probe is not None:
        return probe
    if key is not None:
        affine = find_affine_endpoint(candidates, key, now_ms, excluded)
        if affine is not None:
            return affine
    return choose_of_two(candidates, failure_domain, now_ms, draw, excluded)


def find_affine_endpoint(
    candidates: Candidates, key: int, now_ms: float, excluded: frozenset[str]
) -> EndpointView | None:
    """The first endpoint on the ring that can take a prefix's request.

    It must be available, not degraded and under the load bound. Under skewed
    demand one prefix is requested far more often than the rest. Spreading its
    requests over all endpoints loses cache hits; sending all of them to one
    endpoint overloads it.
    """
    max_load = LOAD_BOUND * (candidates.mean + 1.0)
    for view in walk_ring(candidates, key, RING_WALK):
        if (
            is_available(view, now_ms, excluded)
            and view.in_flight + view.other_load + 1.0 <= max_load
            and not _is_degraded(view, candidates.pool_ms)
        ):
            return view
    return None


def walk_ring(
    candidates: Candidates, key: int, max_endpoints: int
) -> typing.Iterator[EndpointView]:
    """Distinct endpoints in ring order, starting from a key."""
    seen: set[str] = set()
    start = bisect.bisect(candidates.points, key)
    for step in range(len(candidates.ring)):
        view = candidates.ring[(start + step) % len(candidates.ring)][1]
        if view.name not in seen:
            seen.add(view.name)
            yield view
            if len(seen) >= max_endpoints:
                return


def choose_of_two(
    candidates: Candidates,
    failure_domain: str,
    now_ms: float,
    draw: Draw,
    excluded: frozenset[str],
) -> EndpointView | None:
    """The better of two local endpoints, or of two others if that pays.

    Uses two random choices instead of the least loaded endpoint, since entry
    VMs that decide on the same late reports would all choose the same one.
    """
    local_views = candidates.by_domain.get(failure_domain, [])
    other_views = candidates.outside_domain.get(
        failure_domain, candidates.views
    )
    local = _draw_best(local_views, candidates, now_ms, draw, excluded)
    other = _draw_best(other_views, candidates, now_ms, draw, excluded)
    if local is None or other is None:
        found = local or other
        return found[1] if found is not None else None
    return other[1] if local[0] > SPILL_FACTOR * other[0] else local[1]


def _draw_best(
    views: list[EndpointView],
    candidates: Candidates,
    now_ms: float,
    draw: Draw,
    excluded: frozenset[str],
) -> tuple[float, EndpointView] | None:
    """The better of an endpoint in rotation and one drawn at random.

    The rotation spreads work evenly while all endpoints are healthy; the
    others are considered only if neither of the two has room.
    """
    if not views:
        return None
    first = views[candidates.decisions % len(views)]
    second = views[draw(len(views))]
    best: tuple[float, EndpointView] | None = None
    for view in (first, second):
        if is_available(view, now_ms, excluded):
            cost = compute_cost(view, candidates.pool_ms)
            if best is None or cost < best[0]:
                best = (cost, view)
    if best is not None:
        return best
    available = [
        view for view in views if is_available(view, now_ms, excluded)
    ]
    if not available:
        return None
    view = available[draw(len(available))]
    return compute_cost(view, candidates.pool_ms), view


# Number of decisions between updates of the means. An update over 100
# endpoints costs some 20 microseconds, about one per decision when shared by
# sixteen.
REFRESH_EVERY = 16


def refresh_means(candidates: Candidates) -> None:
    """Recompute the means every few decisions."""
    if candidates.decisions % REFRESH_EVERY == 0:
        views = candidates.views
        total = sum(view.in_flight + view.other_load for view in views)
        candidates.mean = total / len(views)
        candidates.pool_ms = health_module.compute_pool_unit_ms(
            view.health for view in views
        )
    candidates.decisions += 1


def _find_probe(
    candidates: Candidates, now_ms: float, excluded: frozenset[str]
) -> EndpointView | None:
    """An ejected endpoint that is due for a probe, or ``None``.

    Its cost would keep it from ever being chosen otherwise.
    """
    if candidates.decisions % REFRESH_EVERY != 1:
        return None
    for view in candidates.views:
        if (
            view.health.state is not health_module.State.ACTIVE
            and is_available(view, now_ms, excluded)
        ):
            return view
    return None


def _is_degraded(view: EndpointView, pool_ms: float | None) -> bool:
    """Whether affinity should not keep work at this endpoint."""
    health = view.health
    if health.success < 0.8:
        return True
    if health.unit_ms is None or pool_ms is None:
        return False
    return health.unit_ms > 2.0 * pool_ms
