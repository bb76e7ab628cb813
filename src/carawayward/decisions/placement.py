"""Which endpoint runs a request.

What is known of an endpoint's load: this entry VM's own requests in flight,
exactly; everybody else's from the endpoint's reports, late. The own part
and latency choose between endpoints. Reports only bound how much affinity
may heap onto one: choosing by them was tried and taken out, since entry VMs
that act on the same late report all move at once.
"""

import bisect
import functools
import hashlib
import typing

import attrs

from carawayward.decisions import health as health_module
from carawayward.decisions import limits

Draw = typing.Callable[[int], int]

# An endpoint may hold this much of the mean load, and as much of one request
# more, before requests with its prefixes go to the next on the ring. Lower
# loses cache hits, higher lets a popular prefix overload one endpoint: with
# late reports 1.05 here keeps the busiest under 1.25 of the mean.
LOAD_BOUND = 1.05
# How many places of the ring are looked at before affinity is given up.
RING_WALK = 3
# Points of an endpoint on the ring: with 64 the shares of the key space
# differ by an eighth, with one by several times.
RING_POINTS = 64
# Endpoints whose points are kept: twice the most that is aimed at.
MAX_POINTS_CACHED = 2_048
# Reports are smoothed: what lasts (an endpoint that others use more) shows,
# what swings from one report to the next does not.
REPORT_GAIN = 0.03
# A request leaves its failure domain only if the best local endpoint is so
# much busier: the way to another domain costs milliseconds, a queue more.
SPILL_FACTOR = 1.5
# A failing endpoint must look busy, not idle: it empties its slots fast.
FAILURE_WEIGHT = 10.0


@attrs.define(eq=False, kw_only=True)
class EndpointView:
    """What one entry VM knows of one endpoint."""

    name: str
    failure_domain: str
    in_flight: int = 0
    other_load: float = 0.0
    limit: limits.Limit = attrs.field(factory=limits.Limit)
    health: health_module.Health = attrs.field(factory=health_module.Health)


@attrs.define(eq=False)
class Candidates:
    """The endpoints that can serve one version, or one pool's calls.

    Made anew only when membership changes; a decision looks at nothing
    else, so that its cost does not grow with endpoints that cannot serve.
    ``mean`` is refreshed every few decisions rather than in each.
    """

    views: list[EndpointView]
    by_domain: dict[str, list[EndpointView]]
    elsewhere: dict[str, list[EndpointView]]
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
        elsewhere = {
            domain: [v for v in known if v.failure_domain != domain]
            for domain in by_domain
        }
        ring = sorted(
            (
                (point, view)
                for view in known
                for point in find_points(view.name)
            ),
            key=lambda place: place[0],
        )
        points = [place[0] for place in ring]
        return cls(known, by_domain, elsewhere, ring, points)


def hash_key(text: str) -> int:
    """A hash that is the same on every entry VM and in every release."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


@functools.lru_cache(maxsize=MAX_POINTS_CACHED)
def find_points(name: str) -> tuple[int, ...]:
    """An endpoint's places on the ring; hashing them is most of its cost.

    Kept, since the lists are made anew just when an endpoint has gone, which
    is no moment to hold up everything for milliseconds.
    """
    return tuple(hash_key(f"{name}#{point}") for point in range(RING_POINTS))


def record_report(view: EndpointView, load: float) -> None:
    """Take an endpoint's report of its whole load."""
    others = max(0.0, load - view.in_flight)
    view.other_load += REPORT_GAIN * (others - view.other_load)


def compute_cost(view: EndpointView, pool_ms: float | None) -> float:
    """How long a request would take there, up to a common factor.

    Load: one slow endpoint, or one that fails fast, among healthy ones.
    Harm prevented: both look idle to a policy that counts requests only.
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
    """Whether the endpoint takes one more request just now."""
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
    """Choose an endpoint with room, or None.

    First the prefix's own endpoints on the ring, within the load bound:
    running the prefix again elsewhere costs more than the way to another
    failure domain. Then the better of two drawn from the local domain, and
    of two from everywhere when those are much busier.
    """
    if not candidates.views:
        return None
    refresh_means(candidates)
    probe = _find_probe(candidates, now_ms, excluded)
    if probe is not None:
        return probe
    if key is not None:
        home = find_affine_endpoint(candidates, key, now_ms, excluded)
        if home is not None:
            return home
    return choose_of_two(candidates, failure_domain, now_ms, draw, excluded)


def find_affine_endpoint(
    candidates: Candidates, key: int, now_ms: float, excluded: frozenset[str]
) -> EndpointView | None:
    """The first endpoint on the ring with room under the load bound.

    Load: skewed demand, in which one prefix is asked for far more often
    than the rest. Harm prevented: cache misses when its requests are spread
    over all endpoints, overload of one when they are not.
    """
    most = LOAD_BOUND * (candidates.mean + 1.0)
    for view in walk_ring(candidates, key, RING_WALK):
        if (
            is_available(view, now_ms, excluded)
            and view.in_flight + view.other_load + 1.0 <= most
            and not _is_degraded(view, candidates.pool_ms)
        ):
            return view
    return None


def walk_ring(
    candidates: Candidates, key: int, most: int
) -> typing.Iterator[EndpointView]:
    """Distinct endpoints in the ring's order from a key."""
    seen: set[str] = set()
    start = bisect.bisect(candidates.points, key)
    for step in range(len(candidates.ring)):
        view = candidates.ring[(start + step) % len(candidates.ring)][1]
        if view.name not in seen:
            seen.add(view.name)
            yield view
            if len(seen) >= most:
                return


def choose_of_two(
    candidates: Candidates,
    failure_domain: str,
    now_ms: float,
    draw: Draw,
    excluded: frozenset[str],
) -> EndpointView | None:
    """The better of two local endpoints, or of two others if that pays.

    Two choices rather than the least loaded of all: entry VMs that decide
    on the same late reports would all take the same one.
    """
    local_views = candidates.by_domain.get(failure_domain, [])
    other_views = candidates.elsewhere.get(failure_domain, candidates.views)
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
    """The better of one in rotation and one drawn.

    The rotation spreads work evenly while nothing is wrong; all are looked
    at only if neither of the two had room.
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
    have_room = [
        view for view in views if is_available(view, now_ms, excluded)
    ]
    if not have_room:
        return None
    view = have_room[draw(len(have_room))]
    return compute_cost(view, candidates.pool_ms), view


# Every how many decisions the means are taken anew. Over 100 endpoints it
# costs some 20 microseconds, which shared by sixteen is one.
REFRESH_EVERY = 16


def refresh_means(candidates: Candidates) -> None:
    """Take the means anew every few decisions."""
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
    """An ejected endpoint whose time is up gets the next request.

    Its score would keep it from ever being chosen.
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
    """Whether affinity should not hold work at this endpoint."""
    health = view.health
    if health.success < 0.8:
        return True
    if health.unit_ms is None or pool_ms is None:
        return False
    return health.unit_ms > 2.0 * pool_ms
