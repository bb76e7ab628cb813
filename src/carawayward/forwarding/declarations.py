"""Keeps the routing table and the roll-out orders of the blackboard."""

import typing

import attrs

from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import facts
from carawayward.forwarding import keyed_log
from carawayward.forwarding import table

# Orders that others have followed and that are remembered.
MAX_SUPERSEDED = 100

Decoded = table.RoutingTable | facts.RolloutOrder | None


@attrs.define(eq=False)
class DeclarationReader:
    """Takes what operators wrote; the last good revision holds.

    ``decode`` returns None for a record that is nothing of ours and raises
    DeclarationError for one that cannot be used.
    """

    board: board_module.ForwardingBoard
    decode: typing.Callable[[keyed_log.Record], Decoded]
    superseded: list[facts.RolloutOrder] = attrs.field(factory=list)
    _copied: bool = False

    def begin_era(self) -> None:
        """The records that come next are those of a copy of the store."""
        self._copied = True

    def replace(self, records: list[keyed_log.Record]) -> None:
        """Take all newest records."""
        copied, self._copied = self._copied, False
        for record in records:
            decoded = self.decode(record)
            # An order of the copy that another one has followed since would
            # begin a roll-out anew that was over.
            if not copied or decoded not in self.superseded:
                self._take(decoded)

    def apply(self, record: keyed_log.Record) -> None:
        """Take one record."""
        self._take(self.decode(record))

    def _take(self, decoded: Decoded) -> None:
        if isinstance(decoded, table.RoutingTable):
            self._take_table(decoded)
        elif isinstance(decoded, facts.RolloutOrder):
            known = self.board.orders.get(decoded.service)
            if known is not None and known != decoded:
                self.superseded.append(known)
                del self.superseded[:-MAX_SUPERSEDED]
            if decoded in self.superseded:
                self.superseded.remove(decoded)
            self.board.orders[decoded.service] = decoded
            events.log_event(
                events.Event.ROLLOUT_ORDERED,
                service=decoded.service,
                version=decoded.version,
                duration_ms=decoded.duration_ms,
            )

    def prove(self, as_of_ms: float) -> None:
        """Note that the table was the newest at ``as_of_ms``."""
        if self.board.table is not None:
            self.board.table_as_of_ms = as_of_ms

    def _take_table(self, decoded: table.RoutingTable) -> None:
        """Put a newer table into force; an older one never comes back."""
        known = self.board.table
        if known is not None and decoded.revision <= known.revision:
            return
        self.board.table = decoded
        events.log_event(
            events.Event.CONFIG_IN_FORCE,
            revision=decoded.revision,
            routes=len(decoded.routes),
        )
