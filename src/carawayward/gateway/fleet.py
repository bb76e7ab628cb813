"""What this entry VM knows of the endpoints, kept for placing work.

The blackboard says which endpoints there are and what they report; here
stands what this entry VM's own requests have taught it: limits, health and
what is in flight.
"""

import typing

import attrs

from carawayward import blackboard as blackboard_module
from carawayward.decisions import health
from carawayward.decisions import limits
from carawayward.decisions import placement
from carawayward import events

Serves = typing.Callable[[blackboard_module.Endpoint], bool]


@attrs.define(eq=False)
class Fleet:
    """Views of all endpoints, by name."""

    board: blackboard_module.Blackboard
    views: dict[str, placement.EndpointView] = attrs.field(factory=dict)
    seen: dict[str, blackboard_module.Endpoint] = attrs.field(factory=dict)
    unreachable: dict[str, float] = attrs.field(factory=dict)
    generation: int = 0
    entry_vms: int = 0

    def sync(self, now_ms: float) -> None:
        """Take over what the blackboard has learned since the last call.

        Endpoints are compared by identity, so that a call costs little
        when nothing changed; lists of candidates are made anew only when
        an endpoint came, left, moved or changed its versions.
        """
        self._count_entry_vms()
        changed = False
        for name, endpoint in self.board.endpoints.items():
            known = self.seen.get(name)
            if known is endpoint:
                continue
            changed |= self._take(known, endpoint, now_ms)
        gone = [n for n in self.seen if n not in self.board.endpoints]
        for name in gone:
            del self.seen[name]
            del self.views[name]
            self.unreachable.pop(name, None)
        if changed or gone:
            self.generation += 1

    def _count_entry_vms(self) -> None:
        """Adjust limits that nothing has been learned for yet.

        An entry VM that has just started knows no others; with a limit for
        one alone, many that start together would swamp the endpoints.
        """
        count = 1 + len(self.board.entry_vms)
        if count != self.entry_vms:
            self.entry_vms = count
            for view in self.views.values():
                if view.limit.base_ms is None:
                    view.limit.value = limits.compute_initial_limit(count)

    def _take(
        self,
        known: blackboard_module.Endpoint | None,
        endpoint: blackboard_module.Endpoint,
        now_ms: float,
    ) -> bool:
        name = endpoint.name
        self.seen[name] = endpoint
        if known is None or known.address != endpoint.address:
            self.views[name] = placement.EndpointView(
                name=name, failure_domain=endpoint.failure_domain
            )
            limits.restart(self.views[name].limit, self.entry_vms)
            self.unreachable.pop(name, None)
        view = self.views[name]
        fresh = known is None or known.reported_ms != endpoint.reported_ms
        if fresh and endpoint.reported_ms:
            placement.record_report(view, endpoint.reported_load)
        back = endpoint.reported_ms > self.unreachable.get(name, now_ms)
        if back:
            del self.unreachable[name]
            limits.restart(view.limit, self.entry_vms)
        return (
            back
            or known is None
            or known.address != endpoint.address
            or known.versions != endpoint.versions
            or known.leaving != endpoint.leaving
        )

    def find_candidates(self, serves: Serves) -> placement.Candidates:
        """The endpoints that serve something, reachable and not leaving."""
        return placement.Candidates.from_views(
            self.views[name]
            for name, endpoint in self.seen.items()
            if serves(endpoint)
            and not endpoint.leaving
            and name not in self.unreachable
        )

    def record_unreachable(
        self, view: placement.EndpointView, now_ms: float
    ) -> None:
        """Take an endpoint that refuses connections out until it reports.

        Nothing can be in flight on it, so this needs no floor: with all of
        a pool unreachable, callers are told so at once.
        """
        if view.name not in self.unreachable and view.name in self.seen:
            self.unreachable[view.name] = now_ms
            self.generation += 1

    def occupy(self, view: placement.EndpointView) -> None:
        """Count a request in flight."""
        view.in_flight += 1
        self.board.in_flight[view.name] = view.in_flight
        health.begin_probe(view.health)

    def vacate(self, view: placement.EndpointView) -> None:
        """Count a request out."""
        view.in_flight -= 1
        self.board.in_flight[view.name] = view.in_flight

    def record_success(
        self, view: placement.EndpointView, unit_ms: float
    ) -> None:
        """Learn from a whole answer."""
        limits.record_load_part(
            view.limit, view.in_flight, view.other_load, self.entry_vms
        )
        limits.record_answer(view.limit, unit_ms, view.in_flight)
        if health.record_success(view.health, unit_ms):
            limits.restart(view.limit, self.entry_vms)
            events.log_event(events.Event.ENDPOINT_BACK, endpoint=view.name)

    def record_failure(
        self,
        view: placement.EndpointView,
        candidates: placement.Candidates,
        now_ms: float,
        overload: bool,
    ) -> None:
        """Learn from a failure and leave the endpoint out if it is due."""
        health.record_failure(view.health)
        if overload:
            limits.record_overload(view.limit)
        self.judge(view, candidates, now_ms)

    def judge(
        self,
        view: placement.EndpointView,
        candidates: placement.Candidates,
        now_ms: float,
    ) -> None:
        """Eject an outlier."""
        pool = [other.health for other in candidates.views]
        if health.eject_if_outlier(view.health, pool, now_ms):
            events.log_event(
                events.Event.ENDPOINT_EJECTED,
                endpoint=view.name,
                for_ms=round(view.health.until_ms - now_ms),
            )
