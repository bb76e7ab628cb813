"""Remembers what endpoints say of themselves in their responses.

An endpoint that leaves says so, also while it cannot reach the store; one that
declines a request may ask for a pause. One that has crashed says nothing, but
the process that has its address now declines its requests as misdirected. A
notice binds the entry VM that has read it, whatever the registry lists.
"""

import enum

import attrs

from carawayward import clock as clock_module
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import message_types

# A notice, or a limit, outlives the endpoint's registry entry for this long:
# entries of live endpoints expire during an outage of the store and are
# written again.
KEPT_MS = 60_000.0


class ProcessState(enum.Enum):
    """What is known of one process of an endpoint.

    It has ended if it is no longer listed, or if another process has answered
    at its address. One that is leaving ends as planned.
    """

    RUNNING = "running"
    LEAVING = "leaving"
    ENDED = "ended"


@attrs.define
class Notice:
    """What one process of an endpoint has said of itself.

    ``replaced`` is set if another process has answered at its address. The
    notice may be forgotten ``KEPT_MS`` after ``read_ms`` once the endpoint is
    not listed.
    """

    read_ms: float
    leaving: bool = False
    replaced: bool = False


@attrs.define(eq=False)
class EndpointNotices:
    """The notices that this entry VM has read, by the endpoint's process.

    Times are in ms on the boot clock, which goes on while the VM is suspended.
    """

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    notices: dict[message_types.Process, Notice] = attrs.field(factory=dict)

    def record_response(
        self,
        entry: message_types.EndpointEntry,
        metadata: message_types.ResponseMetadata,
    ) -> bool:
        """Record a response from an endpoint's address.

        Returns whether the endpoint is no longer to be used from now on.
        """
        if metadata.rest_ms > 0.0:
            self._record_rest(entry, metadata)
        replaced = metadata.instance not in ("", entry.name)
        if not metadata.leaving and not replaced:
            return False
        now_ms = self.clock.boot_ms()
        notice = self.notices.setdefault(entry.process, Notice(now_ms))
        notice.read_ms = now_ms
        was_ending = notice.leaving or notice.replaced
        if replaced and not notice.replaced:
            notice.replaced = True
            events.log_event(
                events.Event.ENDPOINT_REPLACED,
                endpoint=entry.name,
                request=metadata.request_id,
                found=metadata.instance,
            )
        if metadata.leaving and not notice.leaving:
            notice.leaving = True
            events.log_event(
                events.Event.ENDPOINT_LEAVES,
                endpoint=entry.name,
                request=metadata.request_id,
                listed_as_leaving=entry.leaving,
            )
        return not was_ending and (notice.leaving or notice.replaced)

    def is_ending(self, entry: message_types.EndpointEntry) -> bool:
        """Whether this process of an endpoint leaves or has been replaced."""
        notice = self.notices.get(entry.process)
        return notice is not None and (notice.leaving or notice.replaced)

    def find_state(self, entry: message_types.EndpointEntry) -> ProcessState:
        """Find out whether this process of an endpoint still runs."""
        notice = self.notices.get(entry.process)
        listed = self.board.endpoints.get(entry.name)
        if entry.leaving or (notice is not None and notice.leaving):
            return ProcessState.LEAVING
        if listed is None or listed.process != entry.process:
            return ProcessState.ENDED
        if notice is not None and notice.replaced:
            return ProcessState.ENDED
        return ProcessState.LEAVING if listed.leaving else ProcessState.RUNNING

    def is_resting(self, entry: message_types.EndpointEntry) -> bool:
        """Whether this process of an endpoint wants no request now."""
        return self.clock.boot_ms() < self._get_rest_end_ms(entry)

    def list_rests(self) -> dict[str, float]:
        """Return the resting endpoints, and how long each still rests."""
        if not self.board.resting_until:
            return {}
        now_ms = self.clock.boot_ms()
        rests_ms = {}
        for process, until_ms in list(self.board.resting_until.items()):
            if self.board.is_listed(process) and now_ms < until_ms:
                rests_ms[process[0]] = until_ms - now_ms
            elif process[0] in self.board.endpoints or now_ms >= until_ms:
                del self.board.resting_until[process]
        return rests_ms

    def drop_obsolete(self) -> None:
        """Forget processes that have been replaced or unlisted for long."""
        now_ms = self.clock.boot_ms()
        for process, notice in list(self.notices.items()):
            if self.board.is_listed(process):
                continue
            if (
                process[0] in self.board.endpoints
                or now_ms - notice.read_ms > KEPT_MS
            ):
                del self.notices[process]

    def _get_rest_end_ms(self, entry: message_types.EndpointEntry) -> float:
        return self.board.resting_until.get(entry.process, board_module.NEVER)

    def _record_rest(
        self,
        entry: message_types.EndpointEntry,
        metadata: message_types.ResponseMetadata,
    ) -> None:
        """Extend an endpoint's rest; a shorter one does not cut it."""
        until_ms = self.clock.boot_ms() + metadata.rest_ms
        if until_ms <= self._get_rest_end_ms(entry):
            return
        self.board.resting_until[entry.process] = until_ms
        events.log_event(
            events.Event.ENDPOINT_RESTS,
            endpoint=entry.name,
            request=metadata.request_id,
            rest_ms=round(metadata.rest_ms),
        )
