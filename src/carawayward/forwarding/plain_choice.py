"""Chooses endpoints of plain services, and refuses what finds no room."""

import typing

import attrs

from carawayward.decisions import health as health_module
from carawayward.decisions import placement
from carawayward.decisions import plain_room
from carawayward.forwarding import fleet as fleet_module
from carawayward.forwarding import plain_room as plain_room_module
from carawayward.forwarding import work_items

SPREAD_REFRESH_MS = 250.0


@attrs.frozen(eq=False)
class KnownSpread:
    """How requests are spread over a pool, as of a time in ms."""

    pool: placement.Candidates
    as_of_ms: float
    spread: plain_room.Spread


@attrs.define(eq=False)
class PlainChooser:
    """Applies the decisions on plain services' room to one request at a time.

    Until peers have reported requests in flight, and for services that
    ``PlainRoom`` does not cover, it chooses as ``Fleet`` does and refuses
    nothing. ``spreads`` is by service.
    """

    fleet: fleet_module.Fleet
    spreads: dict[str, KnownSpread] = attrs.field(factory=dict)

    @property
    def room(self) -> plain_room_module.PlainRoom:
        """What is in flight at plain endpoints."""
        return self.fleet.room

    def choose(
        self, pool: placement.Candidates, excluded: frozenset[str]
    ) -> fleet_module.TrackedEndpoint | None:
        """Choose an endpoint with room for a request; None if all are full."""
        fleet = self.fleet
        endpoint = fleet.choose(pool, None, excluded)
        if endpoint is None or not self.room.covers(endpoint.entry.service):
            return endpoint
        spread = self._find_spread(pool, endpoint.entry.service)
        name = plain_room.choose_remote(spread, fleet.draw)
        remote = fleet.tracked.get(name or "")
        if remote is not None and placement.is_available(
            remote.view, fleet.clock.now_ms(), excluded
        ):
            endpoint = remote
        if plain_room.leaves_slow(spread, endpoint.entry.name, fleet.draw):
            others = excluded | spread.kept.keys()
            endpoint = fleet.choose(pool, None, others) or endpoint
        return endpoint

    def _find_spread(
        self, pool: placement.Candidates, service: str
    ) -> plain_room.Spread:
        """Return how a service's requests are spread, computed now and then.

        All endpoints of the pool are looked at.
        """
        now_ms = self.fleet.clock.now_ms()
        known = self.spreads.get(service)
        if (
            known is None
            or known.pool is not pool
            or now_ms - known.as_of_ms >= SPREAD_REFRESH_MS
        ):
            spread = plain_room.compute_spread(
                self._list_rooms(pool.views, self.fleet.list_quarantined()),
                self.room.find_demand(service),
                self.fleet.board.failure_domain,
            )
            known = KnownSpread(pool, now_ms, spread)
            self.spreads[service] = known
        return known.spread

    def find_wait_ms(
        self,
        work: work_items.Work,
        endpoint: fleet_module.TrackedEndpoint,
        left_ms: float,
    ) -> float | None:
        """Return when to come back if no endpoint answers in time.

        None if the request is to be sent. ``endpoint`` is the chosen one.
        """
        if not self.is_full(endpoint):
            return None
        service = work.service
        pool = self.fleet.find_pool(fleet_module.EndpointFilter(service))
        unusable = work.unusable | self.fleet.list_unavailable()
        views = plain_room.draw_some(pool.views, self.fleet.draw)
        claim = plain_room.Claim(
            left_ms=left_ms,
            target_ms=work.route.target_ms,
            rank=work.rank,
            ranks=self.room.list_ranks(service),
            above_share=self.room.is_above_share(work.customer),
            age_ms=self.room.compute_age_ms(),
            seen_ms=self.room.find_seen_ms(service, left_ms),
        )
        rooms = self._list_rooms(views, unusable)
        return plain_room.compute_refusal_ms(rooms, claim, self.fleet.draw)

    def is_full(self, endpoint: fleet_module.TrackedEndpoint) -> bool:
        """Whether a request at a plain endpoint would wait."""
        # Probes are sent under load too.
        return (
            endpoint.view.health.state is health_module.State.ACTIVE
            and self.room.covers(endpoint.entry.service)
            and self.room.is_full(endpoint.entry)
        )

    def _list_rooms(
        self,
        views: typing.Sequence[placement.EndpointView],
        excluded: frozenset[str],
    ) -> list[plain_room.Room]:
        """The room at the endpoints that take requests."""
        now_ms = self.fleet.clock.now_ms()
        return self.room.find_rooms(
            [
                self.fleet.tracked[view.name].entry
                for view in views
                if view.health.state is health_module.State.ACTIVE
                and placement.is_available(view, now_ms, excluded)
            ]
        )
