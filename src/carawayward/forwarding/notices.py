"""Remembers what endpoints say of themselves in their responses.

The registry says it too, but not while an endpoint cannot reach the store. A
notice binds the entry VM that has relayed it, whatever the registry lists.
"""

import attrs

from carawayward import clock as clock_module
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import message_types

# A notice outlives the endpoint's registry entry for this long: entries of
# live endpoints expire during an outage of the store and are written again.
KEPT_MS = 60_000.0


@attrs.define
class Departure:
    """An endpoint's notice that it leaves, last repeated at ``at_ms``.

    ``address`` and ``born`` tell its process from a later one of that name.
    """

    address: str
    born: int | None
    at_ms: float


@attrs.define(eq=False)
class EndpointNotices:
    """The notices that this entry VM has read.

    Times are in ms on the boot clock, which goes on while the VM is suspended.
    """

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    departures: dict[str, Departure] = attrs.field(factory=dict)

    def record_response(
        self,
        entry: message_types.EndpointEntry,
        metadata: message_types.ResponseMetadata,
    ) -> bool:
        """Record an endpoint's response; return whether it begins to leave."""
        if metadata.rest_ms > 0.0:
            events.log_event(
                events.Event.ENDPOINT_RESTS,
                endpoint=entry.name,
                request=metadata.request_id,
                rest_ms=round(metadata.rest_ms),
            )
        if not metadata.leaving:
            return False
        known = self.is_leaving(entry)
        self.departures[entry.name] = Departure(
            entry.address, entry.born, self.clock.boot_ms()
        )
        if known:
            return False
        events.log_event(
            events.Event.ENDPOINT_LEAVES,
            endpoint=entry.name,
            request=metadata.request_id,
            listed_as_leaving=entry.leaving,
        )
        return True

    def is_leaving(self, entry: message_types.EndpointEntry) -> bool:
        """Whether this process of an endpoint has said that it leaves."""
        departure = self.departures.get(entry.name)
        return departure is not None and (
            departure.address,
            departure.born,
        ) == (entry.address, entry.born)

    def drop_obsolete(self) -> None:
        """Forget processes that have been replaced or unlisted for long."""
        now_ms = self.clock.boot_ms()
        for name, departure in list(self.departures.items()):
            entry = self.board.endpoints.get(name)
            if entry is None:
                obsolete = now_ms - departure.at_ms > KEPT_MS
            else:
                obsolete = not self.is_leaving(entry)
            if obsolete:
                del self.departures[name]
