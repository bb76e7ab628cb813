"""Tracks the load and health of all endpoints, for placement."""

import random

import attrs

from carawayward import clock as clock_module
from carawayward.decisions import engine_load
from carawayward.decisions import engine_pace
from carawayward.decisions import engine_room
from carawayward.decisions import engine_sampling
from carawayward.decisions import health as health_module
from carawayward.decisions import limits
from carawayward.decisions import placement
from carawayward.decisions import quarantine as quarantine_module
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import cold_starts as cold_starts_module
from carawayward.forwarding import message_types
from carawayward.forwarding import notices as notices_module
from carawayward.forwarding import plain_room as plain_room_module
from carawayward.forwarding import rate_limits as rate_limits_module

# A connection attempt that fails sooner was refused by a machine that is up.
MIN_SILENT_CONNECT_MS = 400.0


@attrs.frozen
class EndpointFilter:
    """Selects endpoints by service and version.

    An empty ``version`` selects all but those in ``excluded``.
    ``max_endpoints`` limits their number; None is no limit.
    """

    service: str
    version: str = ""
    excluded: frozenset[str] = frozenset()
    max_endpoints: int | None = None


@attrs.define(eq=False, kw_only=True)
class TrackedEndpoint:
    """A registry entry with the endpoint's load and health."""

    entry: message_types.EndpointEntry
    view: placement.EndpointView


@attrs.define(eq=False)
class Fleet:
    """The load and health of all endpoints in the registry.

    They are reset when an endpoint restarts: its earlier health and cache
    contents say nothing about the new process. ``last_reached_ms`` is, by
    failure domain, when an endpoint there last accepted a request.
    """

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    draw: placement.Draw = random.randrange
    tracked: dict[str, TrackedEndpoint] = attrs.field(factory=dict)
    pools: dict[EndpointFilter, placement.Candidates] = attrs.field(
        factory=dict
    )
    generation: int = -1
    loads: engine_load.EngineLoads = attrs.field(
        factory=engine_load.EngineLoads
    )
    latency_models: dict[str, engine_load.LatencyModel] = attrs.field(
        factory=dict
    )
    paces: engine_pace.Paces = attrs.field(factory=engine_pace.Paces)
    quarantine: quarantine_module.Quarantine = attrs.field(
        factory=quarantine_module.Quarantine
    )
    last_reached_ms: dict[str, float] = attrs.field(factory=dict)
    cold_starts: cold_starts_module.ColdStartLimiter = attrs.field(init=False)
    rate_limits: rate_limits_module.RequestLimiter = attrs.field(init=False)
    notices: notices_module.EndpointNotices = attrs.field(init=False)
    room: plain_room_module.PlainRoom = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.cold_starts = cold_starts_module.ColdStartLimiter(
            self.board, self.clock
        )
        self.rate_limits = rate_limits_module.RequestLimiter(
            self.board, self.clock
        )
        self.notices = notices_module.EndpointNotices(self.board, self.clock)
        self.room = plain_room_module.PlainRoom(self.board, self.clock)

    def find_cache_tokens(self, name: str) -> int:
        """Return an engine's cache size in tokens; 0 if it is unknown."""
        endpoint = self.tracked.get(name)
        table = self.board.table
        if endpoint is None or table is None:
            return 0
        service = table.services.get(endpoint.entry.service)
        if service is None or service.engine is None:
            return 0
        return service.engine.cache_tokens

    def find_endpoint(self, name: str) -> TrackedEndpoint | None:
        """Return an endpoint in the registry; None if it is not listed."""
        self._sync()
        return self.tracked.get(name)

    def may_use(self, endpoint: TrackedEndpoint) -> bool:
        """Whether an endpoint may get new requests of this entry VM now."""
        entry = endpoint.entry
        return self._is_in_use(entry) and not self.notices.is_resting(entry)

    def _is_in_use(self, entry: message_types.EndpointEntry) -> bool:
        return not (
            entry.leaving
            or self.notices.is_ending(entry)
            or entry.failure_domain in self.board.evacuated
        )

    def choose_engine(
        self,
        pool: placement.Candidates,
        prompt: engine_load.Prompt,
        excluded: frozenset[str],
        remote_weight: float = 0.0,
        room: engine_room.Room = engine_room.UNLIMITED,
    ) -> engine_load.Choice | None:
        """Choose the engine that would finish reading a prompt first."""
        now_ms = self.clock.now_ms()
        engine_load.expire_reports(self.loads, now_ms)
        engine_pace.expire(self.paces, now_ms)
        domain, paces = self.board.failure_domain, self.paces.known
        views = engine_sampling.choose_candidates(
            self.loads,
            (
                pool.by_domain.get(domain, []),
                pool.outside_domain.get(domain, pool.views),
            ),
            prompt,
            lambda view: placement.is_available(view, now_ms, excluded),
            self.draw,
        )
        return engine_load.choose(
            self.loads,
            [
                engine_load.Candidate(
                    view.name,
                    view.failure_domain == domain,
                    paces.get(view.name, 1.0),
                )
                for view in views
            ],
            prompt,
            now_ms,
            self.draw,
            remote_weight,
            room,
        )

    def get_latency_model(self, service: str) -> engine_load.LatencyModel:
        """Return the model of how fast a service's engines read prompts."""
        return self.latency_models.setdefault(
            service, engine_load.LatencyModel()
        )

    def find_backlog_ms(
        self, service: str, pool: placement.Candidates
    ) -> float:
        """Estimate the engines' mean backlog of unread prompts, in ms.

        Engines that rest or have reached a limit are no spare capacity.
        """
        now_ms = self.clock.now_ms()
        excluded = self._list_paused()
        names = [
            view.name
            for view in pool.views
            if view.name not in excluded
            and health_module.accepts_request(
                view.health, now_ms, view.in_flight
            )
        ]
        weight = engine_load.compute_mean_weight(
            self.loads, names, now_ms, self.paces.known
        )
        return weight * self.get_latency_model(service).token_ms

    def find_pool(
        self, endpoint_filter: EndpointFilter
    ) -> placement.Candidates:
        """Return the endpoints that a filter selects."""
        self._sync()
        pool = self.pools.get(endpoint_filter)
        if pool is None:
            views = self._list_views(endpoint_filter)
            pool = placement.Candidates.from_views(views)
            self.pools[endpoint_filter] = pool
        return pool

    def _list_views(
        self, endpoint_filter: EndpointFilter
    ) -> list[placement.EndpointView]:
        views = [
            endpoint.view
            for endpoint in self.tracked.values()
            if endpoint.entry.service == endpoint_filter.service
            and self._is_in_use(endpoint.entry)
            and endpoint_filter.version in ("", endpoint.entry.version)
            and endpoint.entry.version not in endpoint_filter.excluded
        ]
        if endpoint_filter.max_endpoints is not None:
            # In the order of a hash, so that all entry VMs choose the same.
            views.sort(key=lambda view: placement.hash_key(view.name))
            views = views[: endpoint_filter.max_endpoints]
        return views

    def choose(
        self,
        pool: placement.Candidates,
        key: int | None,
        excluded: frozenset[str],
    ) -> TrackedEndpoint | None:
        """Choose an endpoint with room for a request; None if all are full."""
        view = placement.choose(
            pool,
            key,
            self.board.failure_domain,
            self.clock.now_ms(),
            self.draw,
            excluded,
        )
        return self.tracked.get(view.name) if view is not None else None

    def begin_request(
        self, endpoint: TrackedEndpoint, customer: str = ""
    ) -> None:
        """Record that a request is about to be sent to an endpoint."""
        endpoint.view.in_flight += 1
        self.room.count(endpoint.entry, customer, 1)
        health_module.begin_probe(endpoint.view.health)
        quarantine_module.begin_try(
            self.quarantine, endpoint.entry.name, self.clock.now_ms()
        )

    def end_request(
        self, endpoint: TrackedEndpoint, customer: str = ""
    ) -> None:
        """Record that a request at an endpoint has ended."""
        endpoint.view.in_flight -= 1
        self.room.count(endpoint.entry, customer, -1)

    def list_quarantined(self) -> frozenset[str]:
        """Return endpoints that recently declined or could not be reached."""
        now_ms = self.clock.now_ms()
        return quarantine_module.list_quarantined(self.quarantine, now_ms)

    def record_accepted(self, endpoint: TrackedEndpoint) -> None:
        """Record that an endpoint has accepted a request."""
        quarantine_module.record_accepted(self.quarantine, endpoint.entry.name)
        self.last_reached_ms[endpoint.entry.failure_domain] = (
            self.clock.now_ms()
        )

    def record_response(
        self,
        endpoint: TrackedEndpoint,
        metadata: message_types.ResponseMetadata,
    ) -> None:
        """Record what an endpoint's response says about the endpoint."""
        self.rate_limits.record_response(endpoint.entry, metadata)
        if self.notices.record_response(endpoint.entry, metadata):
            self.pools.clear()

    def list_unavailable(self) -> frozenset[str]:
        """Return the endpoints that must not get a request now."""
        return self.cold_starts.list_exhausted() | self._list_paused()

    def _list_paused(self) -> frozenset[str]:
        """Return the endpoints that rest or have reached their limits."""
        rests = self.notices.list_rests()
        return self.rate_limits.list_exhausted() | rests.keys()

    def compute_wait_ms(self, service: str) -> float | None:
        """Return the time until an endpoint of a service takes a request.

        None unless all of them rest or have reached their limits.
        """
        rests_ms = self.notices.list_rests()
        limits_ms = self.rate_limits.list_waits()
        waits_ms = [
            max(rests_ms.get(view.name, 0.0), limits_ms.get(view.name, 0.0))
            for view in self.find_pool(EndpointFilter(service)).views
        ]
        return min(waits_ms, default=0.0) or None

    def record_unreachable(
        self, endpoint: TrackedEndpoint, took_ms: float
    ) -> None:
        """Record a failed connection attempt that took ``took_ms``.

        If it timed out in another failure domain, and no endpoint there has
        accepted a request in that time either, the domain may be partitioned,
        and all its endpoints are quarantined.
        """
        name, now_ms = endpoint.entry.name, self.clock.now_ms()
        quarantine_module.record_unreachable(self.quarantine, name, now_ms)
        domain = endpoint.entry.failure_domain
        last_seen_ms = self.last_reached_ms.get(domain, float("-inf"))
        if (
            domain == self.board.failure_domain
            or took_ms < MIN_SILENT_CONNECT_MS
            or last_seen_ms > now_ms - took_ms
        ):
            return
        quarantine_module.record_domain_silent(
            self.quarantine,
            [
                each.entry.name
                for each in self.tracked.values()
                if each.entry.failure_domain == domain
            ],
            now_ms,
        )

    def record_declined(self, endpoint: TrackedEndpoint) -> None:
        """Record that an endpoint has declined a request."""
        name, now_ms = endpoint.entry.name, self.clock.now_ms()
        quarantine_module.record_declined(self.quarantine, name, now_ms)

    def record_success(
        self, endpoint: TrackedEndpoint, unit_ms: float
    ) -> None:
        """Record a complete response, which took ``unit_ms``."""
        self.room.record_answer(endpoint.entry, unit_ms)
        if health_module.record_success(endpoint.view.health, unit_ms):
            events.log_event(
                events.Event.ENDPOINT_BACK, endpoint=endpoint.entry.name
            )

    def record_failure(self, endpoint: TrackedEndpoint, cause: str) -> None:
        """Record a failure of the endpoint; eject it if it is an outlier."""
        health_module.record_failure(endpoint.view.health)
        pool = self.find_pool(EndpointFilter(endpoint.entry.service))
        healths = [view.health for view in pool.views]
        if health_module.eject_if_outlier(
            endpoint.view.health, healths, self.clock.now_ms()
        ):
            events.log_event(
                events.Event.ENDPOINT_EJECTED,
                endpoint=endpoint.entry.name,
                cause=cause,
            )

    def _sync(self) -> None:
        """Apply the changes to the registry since the last call."""
        if self.generation == self.board.generation:
            return
        self.generation = self.board.generation
        self.pools.clear()
        self.notices.drop_obsolete()
        kept = {}
        for name, entry in self.board.endpoints.items():
            endpoint = self.tracked.get(name)
            if endpoint is None or endpoint.entry.process != entry.process:
                endpoint = TrackedEndpoint(entry=entry, view=_make_view(entry))
                self.loads.cached.pop(name, None)
                engine_pace.forget(self.paces, name)
                quarantine_module.record_accepted(self.quarantine, name)
            endpoint.entry = entry
            kept[name] = endpoint
        self.tracked = kept
        engine_load.forget_engines(self.loads, kept)
        engine_pace.forget_engines(self.paces, kept)
        for name in self.quarantine.endpoints.keys() - kept.keys():
            quarantine_module.record_accepted(self.quarantine, name)


def _make_view(entry: message_types.EndpointEntry) -> placement.EndpointView:
    """Make a view whose concurrency limit is the endpoint's slot count."""
    return placement.EndpointView(
        name=entry.name,
        failure_domain=entry.failure_domain,
        limit=limits.Limit(value=float(max(1, entry.slots)), starting=False),
    )
