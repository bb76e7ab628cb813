"""Limits the requests sent to endpoints in their cold start."""

import typing

import attrs

from carawayward import clock as clock_module
from carawayward.decisions import cold_starts
from carawayward.forwarding import board as board_module
from carawayward.forwarding import message_types
from carawayward.forwarding import table as table_module

# Lists the entry VMs of a failure domain, or all of them if it has none; None
# while they are unknown.
ListMembers = typing.Callable[[str], typing.Collection[str] | None]


def list_unknown_members(failure_domain: str) -> None:
    """Return None: the other entry VMs are unknown."""


@attrs.define(eq=False)
class ColdStartLimiter:
    """Limits what this entry VM sends to cold endpoints.

    Times are in ms on the boot clock, which goes on while the VM is suspended,
    as the endpoint's clock does.
    """

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    list_members: ListMembers = list_unknown_members
    permits: cold_starts.Permits = attrs.field(factory=cold_starts.Permits)
    started_ms: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.started_ms = self.clock.boot_ms()

    def list_exhausted(self) -> frozenset[str]:
        """Return the cold endpoints whose permits are all in use."""
        if not self.board.cold_reports or self.board.table is None:
            return frozenset()
        return frozenset(
            name
            for name, max_permits in self._list_cold()
            if cold_starts.count_taken(
                self.permits, name, self.clock.boot_ms()
            )
            >= max_permits
        )

    def acquire(
        self, entry: message_types.EndpointEntry
    ) -> cold_starts.Permit | None:
        """Acquire a permit to send a request; None if the endpoint is warm."""
        if entry.name not in self.board.cold_reports:
            return None
        return cold_starts.take(self.permits, entry.name)

    def record_sent(self, permit: cold_starts.Permit | None) -> None:
        """Record that the request of a permit is being sent."""
        if permit is not None:
            cold_starts.record_sent(permit, self.clock.boot_ms())

    def release(self, permit: cold_starts.Permit | None) -> None:
        """Release the permit of a request that has ended."""
        if permit is not None:
            cold_starts.release(self.permits, permit)

    def _list_cold(self) -> typing.Iterator[tuple[str, int]]:
        """List the cold endpoints, each with this entry VM's permits.

        Removes the reports of endpoints that have become warm.
        """
        now_ms = self.clock.boot_ms()
        for name, report in list(self.board.cold_reports.items()):
            max_permits = self._find_max_permits(name, report, now_ms)
            if max_permits is None:
                del self.board.cold_reports[name]
            else:
                yield name, max_permits

    def _find_service(
        self, name: str
    ) -> tuple[
        message_types.EndpointEntry | None, table_module.Service | None
    ]:
        """Look up an endpoint's registry entry and its service."""
        entry, table = self.board.endpoints.get(name), self.board.table
        if entry is None or table is None:
            return entry, None
        return entry, table.services.get(entry.service)

    def _find_max_permits(
        self, name: str, report: board_module.ColdReport, now_ms: float
    ) -> int | None:
        """Return this entry VM's permits for an endpoint; None if warm."""
        entry, service = self._find_service(name)
        if entry is None or service is None or service.cold_per_s is None:
            return None
        cold_ms = report.remaining_ms
        if cold_ms is None:
            cold_ms = service.cold_start_ms
        if now_ms - report.at_ms >= min(cold_ms, cold_starts.MAX_COLD_MS):
            return None
        if now_ms - self.started_ms < cold_starts.WINDOW_MS:
            # What an earlier process sent within the window is unknown.
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
