"""Keeps the routing table and the roll-out orders of the blackboard."""

import typing

import attrs

from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import facts
from carawayward.forwarding import keyed_log
from carawayward.forwarding import table

Decoded = table.RoutingTable | facts.RolloutOrder | None


@attrs.define(eq=False)
class DeclarationReader:
    """Takes what operators wrote; the last good revision holds.

    ``decode`` returns None for a record that is nothing of ours and raises
    DeclarationError for one that cannot be used.
    """

    board: board_module.ForwardingBoard
    decode: typing.Callable[[keyed_log.Record], Decoded]

    def replace(self, records: list[keyed_log.Record]) -> None:
        """Take all newest records."""
        for record in records:
            self.apply(record)

    def apply(self, record: keyed_log.Record) -> None:
        """Take one record."""
        decoded = self.decode(record)
        if isinstance(decoded, table.RoutingTable):
            self._take_table(decoded)
        elif isinstance(decoded, facts.RolloutOrder):
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
