"""The routing table: routes, services, customers and callers' limits.

Each newer revision replaces it as a whole, so that every request is handled by
a single revision from start to end.
"""

import enum
import typing

import attrs

# Ranks of requests: what is more urgent goes first where room is short.
MOST_URGENT = 0
LEAST_URGENT = 9
DEFAULT_RANK = 5


class RouteKind(enum.Enum):
    """Whether the requests of a route may be retried.

    ``IDEMPOTENT`` requests may run more than once, ``ONCE`` requests may
    not. A ``STREAM`` responds with an event stream; it may be retried only if
    the route is ``resumable``.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@attrs.frozen
class Target:
    """A service to which a route sends requests, and its relative weight."""

    service: str
    weight: float = 1.0


@attrs.frozen(kw_only=True)
class Route:
    """The rules for requests under one host and path prefix.

    Times are in ms; ``target_ms`` is the latency target and
    ``gap_target_ms`` that for the time between events. ``models`` are the
    names between which the system may choose, smallest first; empty if the
    caller names the model. ``priority`` is the rank of its requests, 0 the
    most urgent; None if none is declared.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_ms: float
    target_ms: float
    max_attempts: int = 1
    priority: int | None = None
    anonymous: bool = False
    affinity: bool = False
    resumable: bool = False
    gap_target_ms: float | None = None
    models: tuple[str, ...] = ()

    def choose_service(self, draw: float) -> str:
        """Choose a service by the targets' weights.

        ``draw`` is a random number from 0 to 1. A target with weight 0 gets
        no requests unless all weights are 0, when the last one is chosen.
        """
        left = draw * sum(target.weight for target in self.targets)
        for target in self.targets:
            left -= target.weight
            if left < 0.0 and target.weight:
                return target.service
        return self.targets[-1].service


@attrs.frozen(kw_only=True)
class Engine:
    """A service's model engines: batch size, cache and cost of each model.

    ``slots`` is the batch size and ``cache_tokens`` the capacity of the
    key-value cache of one engine, in tokens. ``costs`` are by model, per
    1,000 generated tokens.
    """

    slots: int
    cache_tokens: int
    costs: typing.Mapping[str, float] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Service:
    """A pool of endpoints that serve the same routes.

    An endpoint is cold for ``cold_start_ms`` after its start. While cold it
    handles only ``cold_per_s`` requests per second; if that is None, endpoints
    are not treated as cold.
    """

    name: str
    health_path: str = ""
    max_connections: int | None = None
    engine: Engine | None = None
    cold_start_ms: float = 0.0
    cold_per_s: float | None = None


@attrs.frozen
class Customer:
    """The customer of a key; its priority overrides the route's."""

    name: str
    priority: int | None = None


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limits on size, in bytes, and duration, in ms, of callers' requests."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_ms: float = 3_000.0
    idle_ms: float = 15_000.0


@attrs.frozen(kw_only=True)
class RoutingTable:
    """One revision of the configuration for handling callers' requests.

    With ``keyed`` set, requests need a key except on anonymous routes.
    """

    revision: int
    routes: tuple[Route, ...]
    services: typing.Mapping[str, Service]
    customers_by_key: typing.Mapping[str, Customer]
    limits: CallerLimits
    keyed: bool
    _shortest_targets: dict[str, float] = attrs.field(init=False, eq=False)
    _ranks: dict[str, tuple[int, ...]] = attrs.field(init=False, eq=False)
    _patient_targets: dict[str, float] = attrs.field(init=False, eq=False)
    _routes_by_host: dict[str, dict[str, Route]] = attrs.field(
        init=False, eq=False
    )
    _prefix_lengths: dict[str, list[int]] = attrs.field(init=False, eq=False)

    @_shortest_targets.default
    def _find_shortest_targets(self) -> dict[str, float]:
        """Return the shortest latency target among each service's routes."""
        found: dict[str, float] = {}
        for route in self.routes:
            if not route.target_ms:
                continue
            for target in route.targets:
                known = found.get(target.service, route.target_ms)
                found[target.service] = min(known, route.target_ms)
        return found

    @_ranks.default
    def _list_ranks(self) -> dict[str, tuple[int, ...]]:
        """Return the ranks that requests to each service may have."""
        customers = {
            customer.priority
            for customer in self.customers_by_key.values()
            if customer.priority is not None
        }
        found: dict[str, set[int]] = {}
        for route in self.routes:
            for target in route.targets:
                ranks = found.setdefault(target.service, set(customers))
                ranks.add(self.find_rank(route, None))
        return {name: tuple(sorted(ranks)) for name, ranks in found.items()}

    @_patient_targets.default
    def _find_patient_targets(self) -> dict[str, float]:
        """Return each service's shortest target of its least urgent routes."""
        found: dict[str, tuple[int, float]] = {}
        for route in self.routes:
            if not route.target_ms:
                continue
            # A higher rank is less urgent.
            own = (self.find_rank(route, None), -route.target_ms)
            for target in route.targets:
                known = found.get(target.service, own)
                found[target.service] = max(known, own)
        return {service: -target for service, (_, target) in found.items()}

    def find_patient_target(self, service: str) -> float:
        """Return the shortest latency target of the least urgent routes.

        In ms, of the routes to a service; infinite if none has a target.
        """
        return self._patient_targets.get(service, float("inf"))

    @_routes_by_host.default
    def _index_routes(self) -> dict[str, dict[str, Route]]:
        found: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            found.setdefault(route.host, {}).setdefault(
                route.path_prefix, route
            )
        return found

    @_prefix_lengths.default
    def _list_prefix_lengths(self) -> dict[str, list[int]]:
        """Return the lengths of each host's prefixes, the longest first."""
        return {
            host: sorted(set(map(len, routes)), reverse=True)
            for host, routes in self._routes_by_host.items()
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest matching prefix."""
        routes = self._routes_by_host.get(host, {})
        for length in self._prefix_lengths.get(host, ()):
            route = routes.get(path[:length])
            if route is not None:
                return route
        return None

    def find_shortest_target(self, service: str) -> float:
        """Return the shortest latency target of the routes to a service.

        In ms; infinite if none of the routes has a target.
        """
        return self._shortest_targets.get(service, float("inf"))

    def find_rank(self, route: Route, customer: Customer | None) -> int:
        """Return the rank of a request: its customer's, else its route's."""
        if customer is not None and customer.priority is not None:
            return customer.priority
        return DEFAULT_RANK if route.priority is None else route.priority

    def list_ranks(self, service: str) -> tuple[int, ...]:
        """Return the ranks of requests to a service, the most urgent first."""
        return self._ranks.get(service, ())

    def needs_key(self, route: Route) -> bool:
        """Whether a request on this route has to carry a customer's key."""
        return self.keyed and not route.anonymous
