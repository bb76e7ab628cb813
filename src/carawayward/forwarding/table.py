"""The routing table: routes, services, customers and callers' limits.

It is replaced as a whole by each newer revision, so that a request is judged
by one revision from start to end.
"""

import enum
import typing

import attrs


class RouteKind(enum.Enum):
    """What may be repeated on a route.

    ``IDEMPOTENT`` requests may run more than once, ``ONCE`` requests may
    not. A ``STREAM`` answers with events; it may be repeated only where the
    route is ``resumable``.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@attrs.frozen
class Target:
    """One service that a route sends work to, and its share of it."""

    service: str
    weight: float = 1.0


@attrs.frozen(kw_only=True)
class Route:
    """What callers may ask for under one host and path prefix.

    Times are in ms. ``models`` are the names between which the system may
    choose, smallest first; empty where the caller names the model.
    ``priority`` 0 is the most urgent.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_ms: float
    target_ms: float
    max_attempts: int = 1
    priority: int = 0
    anonymous: bool = False
    affinity: bool = False
    resumable: bool = False
    gap_target_ms: float | None = None
    models: tuple[str, ...] = ()

    def choose_service(self, draw: float) -> str:
        """The service for a draw from 0 to 1, by the targets' weights.

        A target without weight gets nothing, unless none has any.
        """
        left = draw * sum(target.weight for target in self.targets)
        for target in self.targets:
            left -= target.weight
            if left < 0.0 and target.weight:
                return target.service
        return self.targets[-1].service

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@attrs.frozen(kw_only=True)
class Engine:
    """A service's model engines: batch size, memory and models' prices.

    ``cache_tokens`` is the memory of one engine, in tokens; a model's cost
    is per 1,000 tokens generated.
    """

    slots: int
    cache_tokens: int
    costs: typing.Mapping[str, float] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Service:
    """A pool of endpoints that serve the same routes.

    An endpoint is cold for ``cold_start_ms`` after its start, and bears only
    ``cold_per_s`` requests a second then; None where nothing is said of that.
    """

    name: str
    health_path: str = ""
    max_connections: int | None = None
    engine: Engine | None = None
    cold_start_ms: float = 0.0
    cold_per_s: float | None = None


@attrs.frozen
class Customer:
    """Whose key a request carries; its priority goes before the route's."""

    name: str
    priority: int | None = None


@attrs.frozen(kw_only=True)
class CallerLimits:
    """What callers may send, and how long they may take; bytes and ms."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_ms: float = 3_000.0
    idle_ms: float = 15_000.0


@attrs.frozen(kw_only=True)
class RoutingTable:
    """One revision of everything that callers' requests are judged by."""

    revision: int
    routes: tuple[Route, ...]
    services: typing.Mapping[str, Service]
    customers_by_key: typing.Mapping[str, Customer]
    limits: CallerLimits
    keyed: bool
    _shortest_targets: dict[str, float] = attrs.field(init=False, eq=False)
    _by_host: dict[str, list[Route]] = attrs.field(init=False, eq=False)

    @_shortest_targets.default
    def _find_shortest_targets(self) -> dict[str, float]:
        """The shortest target in ms among the routes to each service."""
        found: dict[str, float] = {}
        for route in self.routes:
            if not route.target_ms:
                continue
            for target in route.targets:
                known = found.get(target.service, route.target_ms)
                found[target.service] = min(known, route.target_ms)
        return found

    @_by_host.default
    def _index(self) -> dict[str, list[Route]]:
        found: dict[str, list[Route]] = {}
        for route in self.routes:
            found.setdefault(route.host, []).append(route)
        for routes in found.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        return found

    def find_route(self, host: str, path: str) -> Route | None:
        """The route of ``host`` with the longest prefix of ``path``."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_shortest_target(self, service: str) -> float:
        """The shortest target in ms of the routes to a service.

        Infinite where no route has one.
        """
        return self._shortest_targets.get(service, float("inf"))

    def needs_key(self, route: Route) -> bool:
        """Whether a request on this route has to prove its customer."""
        return self.keyed and not route.anonymous
