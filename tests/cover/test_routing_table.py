"""Look-ups in a routing table, however many routes it has."""

import attrs
import hypothesis
from hypothesis import strategies

from carawayward.forwarding import table

HOSTS = ("a.example", "b.example")
SERVICES = ("matcher", "desk")
paths = strategies.lists(strategies.sampled_from("xyz"), max_size=4).map(
    lambda parts: "/" + "".join(f"{part}/" for part in parts)
)
routes = strategies.lists(
    strategies.builds(
        table.Route,
        name=strategies.just("route"),
        host=strategies.sampled_from(HOSTS),
        path_prefix=paths,
        kind=strategies.just(table.RouteKind.ONCE),
        targets=strategies.lists(
            strategies.builds(table.Target, strategies.sampled_from(SERVICES)),
            min_size=1,
            max_size=2,
        ).map(tuple),
        timeout_ms=strategies.just(1_000.0),
        target_ms=strategies.sampled_from((0.0, 100.0, 200.0)),
        priority=strategies.sampled_from((None, 0, 5, 9)),
    ),
    max_size=12,
)


def make_table(listed):
    return table.RoutingTable(
        revision=1,
        routes=tuple(listed),
        services={},
        customers_by_key={},
        limits=table.CallerLimits(),
        keyed=False,
    )


@hypothesis.given(
    routes, strategies.sampled_from(HOSTS), paths, strategies.text("xyz/")
)
def test_route_is_the_first_of_the_longest_prefix(listed, host, path, rest):
    """Guards against an index that finds another route than a search."""
    matching = [
        route
        for route in listed
        if route.host == host and (path + rest).startswith(route.path_prefix)
    ]
    expected = max(
        matching, key=lambda route: len(route.path_prefix), default=None
    )
    assert make_table(listed).find_route(host, path + rest) is expected


@hypothesis.given(routes, strategies.sampled_from(SERVICES))
def test_patient_target_is_that_of_the_least_urgent_routes(listed, service):
    """Guards against an index that finds another target than a search."""
    found = make_table(listed)
    serving = [
        (found.find_rank(route, None), route.target_ms)
        for route in listed
        if route.target_ms
        and any(target.service == service for target in route.targets)
    ]
    least_urgent = max((rank for rank, _ in serving), default=0)
    expected = min(
        (target for rank, target in serving if rank == least_urgent),
        default=float("inf"),
    )
    assert found.find_patient_target(service) == expected


class CountedRoutes(tuple):
    """Routes that count how often all of them are gone through."""

    searches = 0

    def __iter__(self):
        """Count a search."""
        CountedRoutes.searches += 1
        return super().__iter__()


class CountedPath(str):
    """A path that counts how often it is compared with a prefix."""

    comparisons = 0

    def startswith(self, *prefix):
        """Count a comparison."""
        CountedPath.comparisons += 1
        return super().startswith(*prefix)


def test_lookups_do_not_grow_with_the_number_of_routes():
    """Guards against requests that take ms longer with many idle routes."""
    listed = CountedRoutes(
        table.Route(
            name=f"route-{number}",
            host=HOSTS[0],
            path_prefix=f"/{number:06}/",
            kind=table.RouteKind.ONCE,
            targets=(table.Target(SERVICES[0]),),
            timeout_ms=1_000.0,
            target_ms=100.0,
        )
        for number in range(3_000)
    )
    found = attrs.evolve(make_table([]), routes=listed)
    CountedRoutes.searches = CountedPath.comparisons = 0
    route = found.find_route(HOSTS[0], CountedPath("/002999/match"))
    assert route is not None and route.name == "route-2999"
    assert found.find_patient_target(SERVICES[0]) == 100.0
    assert CountedRoutes.searches == CountedPath.comparisons == 0
