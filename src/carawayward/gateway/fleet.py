"""This entry VM's view of the endpoints, used to place requests.

The blackboard holds which endpoints exist and what they report. The fleet
adds what this entry VM has learned from its own requests: concurrency
limits, health, and the number of requests in flight.
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
    """Views of all endpoints, by name.

    ``synced`` holds the blackboard's endpoints as of the last ``sync``, and
    ``generation`` changes whenever the sets of candidates may have changed.
    """

    board: blackboard_module.Blackboard
    views: dict[str, placement.EndpointView] = attrs.field(factory=dict)
    synced: dict[str, blackboard_module.Endpoint] = attrs.field(factory=dict)
    unreachable_since: dict[str, float] = attrs.field(factory=dict)
    generation: int = 0
    entry_vms: int = 0

    def sync(self, now_ms: float) -> None:
        """Update the views from the blackboard.

        Endpoints are compared by identity, so a call is cheap when nothing
        has changed. ``generation`` is increased, so that the lists of
        candidates are rebuilt, only if an endpoint was added or removed, is
        reachable again, or changed its address, versions or leaving state.
        """
        self._adjust_initial_limits()
        changed = False
        for name, endpoint in self.board.endpoints.items():
            previous = self.synced.get(name)
            if previous is endpoint:
                continue
            changed |= self._update_view(previous, endpoint, now_ms)
        gone = [n for n in self.synced if n not in self.board.endpoints]
        for name in gone:
            del self.synced[name]
            del self.views[name]
            self.unreachable_since.pop(name, None)
        if changed or gone:
            self.generation += 1

    def _adjust_initial_limits(self) -> None:
        """Fit limits that were not learned yet to the number of entry VMs.

        An entry VM that has just started knows of no others. If all kept
        the limit for a single entry VM, many that start at the same time
        would overload the endpoints.
        """
        count = 1 + len(self.board.entry_vms)
        if count != self.entry_vms:
            self.entry_vms = count
            for view in self.views.values():
                if view.limit.base_ms is None:
                    view.limit.value = limits.compute_initial_limit(count)

    def _update_view(
        self,
        previous: blackboard_module.Endpoint | None,
        endpoint: blackboard_module.Endpoint,
        now_ms: float,
    ) -> bool:
        """Update one view; return whether candidates may have changed."""
        name = endpoint.name
        self.synced[name] = endpoint
        if previous is None or previous.address != endpoint.address:
            self.views[name] = placement.EndpointView(
                name=name, failure_domain=endpoint.failure_domain
            )
            limits.restart(self.views[name].limit, self.entry_vms)
            self.unreachable_since.pop(name, None)
        view = self.views[name]
        fresh = (
            previous is None or previous.reported_ms != endpoint.reported_ms
        )
        if fresh and endpoint.reported_ms:
            placement.record_report(view, endpoint.reported_load)
        back = endpoint.reported_ms > self.unreachable_since.get(name, now_ms)
        if back:
            del self.unreachable_since[name]
            limits.restart(view.limit, self.entry_vms)
        return (
            back
            or previous is None
            or previous.address != endpoint.address
            or previous.versions != endpoint.versions
            or previous.leaving != endpoint.leaving
        )

    def find_candidates(self, serves: Serves) -> placement.Candidates:
        """The endpoints accepted by ``serves``, reachable and not leaving."""
        return placement.Candidates.from_views(
            self.views[name]
            for name, endpoint in self.synced.items()
            if serves(endpoint)
            and not endpoint.leaving
            and name not in self.unreachable_since
        )

    def record_unreachable(
        self, view: placement.EndpointView, now_ms: float
    ) -> None:
        """Exclude an endpoint that refuses connections until it reports.

        Unlike ejection, this may exclude a whole pool: nothing can be in
        flight on an endpoint that refuses connections, and with all of a
        pool unreachable callers are refused at once.
        """
        if (
            view.name not in self.unreachable_since
            and view.name in self.synced
        ):
            self.unreachable_since[view.name] = now_ms
            self.generation += 1

    def begin_request(self, view: placement.EndpointView) -> None:
        """Count a request as in flight."""
        view.in_flight += 1
        self.board.in_flight[view.name] = view.in_flight
        health.begin_probe(view.health)

    def end_request(self, view: placement.EndpointView) -> None:
        """Count a request as no longer in flight."""
        view.in_flight -= 1
        self.board.in_flight[view.name] = view.in_flight

    def record_success(
        self, view: placement.EndpointView, unit_ms: float
    ) -> None:
        """Record the time per unit of work of a complete answer."""
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
        """Record a failure, and eject the endpoint if it is an outlier.

        ``overload`` failures also lower the concurrency limit.
        """
        health.record_failure(view.health)
        if overload:
            limits.record_overload(view.limit)
        self.eject_if_outlier(view, candidates, now_ms)

    def eject_if_outlier(
        self,
        view: placement.EndpointView,
        candidates: placement.Candidates,
        now_ms: float,
    ) -> None:
        """Eject the endpoint if its health stands out from its pool's."""
        pool = [other.health for other in candidates.views]
        if health.eject_if_outlier(view.health, pool, now_ms):
            events.log_event(
                events.Event.ENDPOINT_EJECTED,
                endpoint=view.name,
                for_ms=round(view.health.until_ms - now_ms),
            )
