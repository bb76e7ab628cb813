"""Keeps requests away from endpoints that are cold."""

import typing

import attrs

from carawayward import clock as clock_module
from carawayward.decisions import cold_starts
from carawayward.forwarding import board as board_module
from carawayward.forwarding import facts
from carawayward.forwarding import table as table_module

# Lists the entry VMs of a failure domain, or all of them where it has none;
# None while they are not known.
ListMembers = typing.Callable[[str], typing.Collection[str] | None]


def list_no_members(failure_domain: str) -> None:
    """Stand in while nobody has looked for other entry VMs."""


@attrs.define(eq=False)
class ColdStarts:
    """What this entry VM may send to endpoints that are cold.

    Times are in ms on the boot clock: what was sent before a suspension is
    as old as it is for the endpoint.
    """

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    list_members: ListMembers = list_no_members
    permits: cold_starts.Permits = attrs.field(factory=cold_starts.Permits)
    started_ms: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.started_ms = self.clock.boot_ms()

    def list_closed(self) -> frozenset[str]:
        """Cold endpoints that must not get a request from here just now."""
        if not self.board.cold_reports or self.board.table is None:
            return frozenset()
        return frozenset(
            name
            for name, most in self._list_cold()
            if cold_starts.count_taken(
                self.permits, name, self.clock.boot_ms()
            )
            >= most
        )

    def take(self, entry: facts.EndpointEntry) -> cold_starts.Permit | None:
        """Take a permit for a request to an endpoint; None if it is warm."""
        if entry.name not in self.board.cold_reports:
            return None
        return cold_starts.take(self.permits, entry.name)

    def record_sent(self, permit: cold_starts.Permit | None) -> None:
        """Note that a request goes out."""
        if permit is not None:
            cold_starts.record_sent(permit, self.clock.boot_ms())

    def give_back(self, permit: cold_starts.Permit | None) -> None:
        """Note that a request is over."""
        if permit is not None:
            cold_starts.release(self.permits, permit)

    def _list_cold(self) -> typing.Iterator[tuple[str, int]]:
        """The cold endpoints, and how many permits are held for each."""
        now_ms = self.clock.boot_ms()
        for name, report in list(self.board.cold_reports.items()):
            most = self._find_most(name, report, now_ms)
            if most is None:
                del self.board.cold_reports[name]
            else:
                yield name, most

    def _find_service(
        self, name: str
    ) -> tuple[facts.EndpointEntry | None, table_module.Service | None]:
        """An endpoint's entry, and what the routing table says of its pool."""
        entry, table = self.board.endpoints.get(name), self.board.table
        if entry is None or table is None:
            return entry, None
        return entry, table.services.get(entry.service)

    def _find_most(
        self, name: str, report: board_module.ColdReport, now_ms: float
    ) -> int | None:
        """How many permits are held for an endpoint; None if it is warm."""
        entry, service = self._find_service(name)
        if entry is None or service is None or service.cold_per_s is None:
            return None
        cold_ms = report.remaining_ms
        if cold_ms is None:
            cold_ms = service.cold_start_ms
        if now_ms - report.at_ms >= min(cold_ms, cold_starts.MAX_COLD_MS):
            return None
        if now_ms - self.started_ms < cold_starts.WINDOW_MS:
            # What the process before this one has sent is not known.
            return 0
        members = self.list_members(entry.failure_domain)
        if members is None:
            return 0
        bounds = self.board.bounds
        permits = cold_starts.compute_permits(
            service.cold_per_s, bounds.cold_overshoot, bounds.cold_slack
        )
        return cold_starts.share_permits(
            self.board.name, members, name, permits
        )
