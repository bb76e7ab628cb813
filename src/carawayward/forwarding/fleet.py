"""What this entry VM has learned of each endpoint, kept for placing work."""

import random

import attrs

from carawayward import clock as clock_module
from carawayward.decisions import engine_load
from carawayward.decisions import health as health_module
from carawayward.decisions import limits
from carawayward.decisions import placement
from carawayward.decisions import quarantine as quarantine_module
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import cold_starts as cold_starts_module
from carawayward.forwarding import facts

# A connection that failed sooner was turned away by a machine that is there.
SILENT_CONNECT_MS = 400.0

Identity = tuple[str, int | None]


@attrs.frozen
class Want:
    """Which endpoints may serve: of a service, and of a version or not.

    ``version`` empty is any; with ``other`` set, any but this one. ``most``
    bounds to how many of the endpoints work goes, None for all.
    """

    service: str
    version: str = ""
    other: bool = False
    most: int | None = None


@attrs.define(eq=False, kw_only=True)
class Place:
    """An endpoint and what is known of its load and health."""

    entry: facts.EndpointEntry
    view: placement.EndpointView


@attrs.define(eq=False)
class Fleet:
    """Views of all listed endpoints.

    A view belongs to one start of an endpoint: what was learned of its
    caches and its health before a restart tells nothing of the next.
    """

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    draw: placement.Draw = random.randrange
    places: dict[str, Place] = attrs.field(factory=dict)
    pools: dict[Want, placement.Candidates] = attrs.field(factory=dict)
    generation: int = -1
    loads: engine_load.EngineLoads = attrs.field(
        factory=engine_load.EngineLoads
    )
    latency_models: dict[str, engine_load.LatencyModel] = attrs.field(
        factory=dict
    )
    quarantine: quarantine_module.Quarantine = attrs.field(
        factory=quarantine_module.Quarantine
    )
    reached_ms: dict[str, float] = attrs.field(factory=dict)
    cold_starts: cold_starts_module.ColdStarts = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.cold_starts = cold_starts_module.ColdStarts(
            self.board, self.clock
        )

    def find_memory(self, name: str) -> int:
        """How many tokens an engine's memory holds; 0 if it is unknown."""
        place = self.places.get(name)
        table = self.board.table
        if place is None or table is None:
            return 0
        service = table.services.get(place.entry.service)
        if service is None or service.engine is None:
            return 0
        return service.engine.cache_tokens

    def choose_engine(
        self,
        pool: placement.Candidates,
        prompt: engine_load.Prompt,
        excluded: frozenset[str],
        remote_weight: float = 0.0,
    ) -> engine_load.Choice | None:
        """The engine that would have a prompt read first, or None."""
        now_ms = self.clock.now_ms()
        return engine_load.choose(
            self.loads,
            [
                engine_load.Candidate(
                    view.name,
                    view.failure_domain == self.board.failure_domain,
                )
                for view in pool.views
                if placement.is_available(view, now_ms, excluded)
            ],
            prompt,
            now_ms,
            self.draw,
            remote_weight,
        )

    def get_latency_model(self, service: str) -> engine_load.LatencyModel:
        """How fast a service's engines read prompts."""
        return self.latency_models.setdefault(
            service, engine_load.LatencyModel()
        )

    def find_backlog_ms(
        self, service: str, pool: placement.Candidates
    ) -> float:
        """How far engines are behind with reading prompts, on average."""
        now_ms = self.clock.now_ms()
        names = [
            view.name
            for view in pool.views
            if health_module.accepts_request(
                view.health, now_ms, view.in_flight
            )
        ]
        weight = engine_load.compute_mean_weight(self.loads, names, now_ms)
        return weight * self.get_latency_model(service).token_ms

    def find_pool(self, want: Want) -> placement.Candidates:
        """The endpoints that may serve."""
        self._sync()
        pool = self.pools.get(want)
        if pool is None:
            views = self._list_views(want)
            pool = placement.Candidates.from_views(views)
            self.pools[want] = pool
        return pool

    def _list_views(self, want: Want) -> list[placement.EndpointView]:
        views = [
            place.view
            for place in self.places.values()
            if place.entry.service == want.service
            and not place.entry.leaving
            and place.entry.failure_domain not in self.board.evacuated
            and (
                not want.version
                or (place.entry.version == want.version) != want.other
            )
        ]
        if want.most is not None:
            # By rank, so that all entry VMs choose the same endpoints.
            views.sort(key=lambda view: placement.hash_key(view.name))
            views = views[: want.most]
        return views

    def choose(
        self,
        pool: placement.Candidates,
        key: int | None,
        excluded: frozenset[str],
    ) -> Place | None:
        """An endpoint with room, or None."""
        view = placement.choose(
            pool,
            key,
            self.board.failure_domain,
            self.clock.now_ms(),
            self.draw,
            excluded,
        )
        return self.places.get(view.name) if view is not None else None

    def occupy(self, place: Place) -> None:
        """Note that a request goes to an endpoint."""
        place.view.in_flight += 1
        health_module.begin_probe(place.view.health)
        quarantine_module.begin_try(
            self.quarantine, place.entry.name, self.clock.now_ms()
        )

    def vacate(self, place: Place) -> None:
        """Note that a request has left an endpoint."""
        place.view.in_flight -= 1

    def list_quarantined(self) -> frozenset[str]:
        """Endpoints that would not take work a moment ago."""
        now_ms = self.clock.now_ms()
        return quarantine_module.list_quarantined(self.quarantine, now_ms)

    def record_taken(self, place: Place) -> None:
        """An endpoint has taken a request."""
        quarantine_module.record_accepted(self.quarantine, place.entry.name)
        self.reached_ms[place.entry.failure_domain] = self.clock.now_ms()

    def record_unreached(self, place: Place, took_ms: float) -> None:
        """No connection to an endpoint came about, after so long.

        If nothing has come from its failure domain in all that time either,
        the domain may be cut off, and its other endpoints are passed over too.
        """
        name, now_ms = place.entry.name, self.clock.now_ms()
        quarantine_module.record_unreachable(self.quarantine, name, now_ms)
        domain = place.entry.failure_domain
        last_seen_ms = self.reached_ms.get(domain, float("-inf"))
        if (
            domain == self.board.failure_domain
            or took_ms < SILENT_CONNECT_MS
            or last_seen_ms > now_ms - took_ms
        ):
            return
        quarantine_module.record_domain_silent(
            self.quarantine,
            [
                each.entry.name
                for each in self.places.values()
                if each.entry.failure_domain == domain
            ],
            now_ms,
        )

    def record_declined(self, place: Place) -> None:
        """An endpoint would not run a request."""
        name, now_ms = place.entry.name, self.clock.now_ms()
        quarantine_module.record_declined(self.quarantine, name, now_ms)

    def record_success(self, place: Place, unit_ms: float) -> None:
        """Learn from a whole answer."""
        if health_module.record_success(place.view.health, unit_ms):
            events.log_event(
                events.Event.ENDPOINT_BACK, endpoint=place.entry.name
            )

    def record_failure(self, place: Place, cause: str) -> None:
        """Learn from a failure that the endpoint is to blame for."""
        health_module.record_failure(place.view.health)
        pool = self.find_pool(Want(place.entry.service))
        healths = [view.health for view in pool.views]
        if health_module.eject_if_outlier(
            place.view.health, healths, self.clock.now_ms()
        ):
            events.log_event(
                events.Event.ENDPOINT_EJECTED,
                endpoint=place.entry.name,
                cause=cause,
            )

    def _sync(self) -> None:
        """Take over what the registry has changed since the last call."""
        if self.generation == self.board.generation:
            return
        self.generation = self.board.generation
        self.pools.clear()
        kept = {}
        for name, entry in self.board.endpoints.items():
            place = self.places.get(name)
            if place is None or _identify(place.entry) != _identify(entry):
                place = Place(entry=entry, view=_make_view(entry))
                self.loads.cached.pop(name, None)
                quarantine_module.record_accepted(self.quarantine, name)
            place.entry = entry
            kept[name] = place
        self.places = kept
        engine_load.forget_engines(self.loads, kept)
        for name in self.quarantine.endpoints.keys() - kept.keys():
            quarantine_module.record_accepted(self.quarantine, name)


def _identify(entry: facts.EndpointEntry) -> Identity:
    return entry.address, entry.born


def _make_view(entry: facts.EndpointEntry) -> placement.EndpointView:
    """A view whose limit is what the endpoint says it can run at once."""
    return placement.EndpointView(
        name=entry.name,
        failure_domain=entry.failure_domain,
        limit=limits.Limit(value=float(max(1, entry.slots)), starting=False),
    )
