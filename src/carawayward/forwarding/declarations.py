"""Applies operators' declarations: routing table, roll-outs, evacuations."""

import typing

import attrs

from carawayward import clock as clock_module
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import keyed_log
from carawayward.forwarding import message_types
from carawayward.forwarding import table
from carawayward import record_isolation

# Number of superseded orders that are kept.
MAX_SUPERSEDED = 100
# After the store is restored from a backup that lacks a declaration, the
# declaration is written again within this time.
REWRITE_GRACE_MS = 2_000.0

Decoded = (
    table.RoutingTable
    | message_types.RolloutOrder
    | message_types.Evacuation
    | None
)


@attrs.define(eq=False)
class DeclarationReader:
    """Applies the records that operators wrote to the blackboard.

    The last valid revision stays in force. ``decode`` returns None for a
    record of another kind or one that cannot be used.

    ``superseded`` are roll-out orders that a later one has replaced.
    ``missing_since_ms`` holds, by failure domain, when an evacuation was
    found missing after a restore of the store, in ms on the boot clock.
    ``unusable`` are the keys whose newest record could not be used when all
    were listed.
    """

    board: board_module.ForwardingBoard
    decode: typing.Callable[[keyed_log.Record], Decoded]
    clock: clock_module.Clock = attrs.field(factory=clock_module.Clock)
    superseded: list[message_types.RolloutOrder] = attrs.field(factory=list)
    missing_since_ms: dict[str, float] = attrs.field(factory=dict)
    unusable: set[str] = attrs.field(factory=set)
    _restored: bool = False

    def begin_era(self) -> None:
        """Expect the next records to come from a restored backup."""
        self._restored = True

    def replace(self, records: list[keyed_log.Record]) -> bool:
        """Apply the newest record of every key.

        Returns False if one of them cannot be used.
        """
        restored, self._restored = self._restored, False
        self.unusable.clear()
        missing = set(self.board.evacuated)
        for record in records:
            decoded = self._decode_and_apply(record, restored)
            if decoded is None and record.value is not None:
                self.unusable.add(record.key)
            if isinstance(decoded, message_types.Evacuation):
                missing.discard(decoded.failure_domain)
        for failure_domain in missing:
            if restored:
                now_ms = self.clock.boot_ms()
                self.missing_since_ms.setdefault(failure_domain, now_ms)
            elif failure_domain not in self.missing_since_ms:
                self._lift(failure_domain)
        return not self.unusable

    def apply(self, record: keyed_log.Record) -> bool:
        """Apply one record; return False if it cannot be used."""
        decoded = self._decode_and_apply(record)
        return decoded is not None or record.value is None

    def needs_earlier(self) -> bool:
        """Whether a routing table may be hidden by an unusable record."""
        return self.board.table is None and bool(self.unusable)

    def apply_earlier(self, record: keyed_log.Record) -> bool:
        """Put an earlier routing table into force; return whether it is one.

        Other records are ignored: what they declared may have ended.
        """

        def apply_table() -> bool:
            if record.key not in self.unusable:
                return False
            decoded = self.decode(record)
            if not isinstance(decoded, table.RoutingTable):
                return False
            self._apply_table(decoded)
            return True

        return record_isolation.isolate(
            apply_table, False, key=record.key, offset=record.offset
        )

    def _decode_and_apply(
        self, record: keyed_log.Record, restored: bool = False
    ) -> Decoded:
        """Apply one record and return its contents; None if it is unusable."""

        def decode_and_apply() -> Decoded:
            decoded = self.decode(record)
            # An order in a backup that has been superseded since would start
            # a finished roll-out again.
            if not restored or decoded not in self.superseded:
                self._apply_decoded(decoded)
            return decoded

        return record_isolation.isolate(
            decode_and_apply, None, key=record.key, offset=record.offset
        )

    def _evacuate(self, failure_domain: str) -> None:
        self.missing_since_ms.pop(failure_domain, None)
        if failure_domain in self.board.evacuated:
            return
        self.board.evacuated.add(failure_domain)
        self.board.generation += 1
        events.log_event(
            events.Event.DOMAIN_EVACUATED, failure_domain=failure_domain
        )

    def _lift(self, failure_domain: str) -> None:
        self.missing_since_ms.pop(failure_domain, None)
        if failure_domain not in self.board.evacuated:
            return
        self.board.evacuated.discard(failure_domain)
        self.board.generation += 1
        # Endpoints were idle during the evacuation and may have become cold.
        report = board_module.ColdReport(self.clock.boot_ms(), None)
        for name, entry in self.board.endpoints.items():
            if entry.failure_domain == failure_domain:
                self.board.cold_reports[name] = report
        events.log_event(
            events.Event.DOMAIN_RETURNED, failure_domain=failure_domain
        )

    def _apply_decoded(self, decoded: Decoded) -> None:
        if isinstance(decoded, table.RoutingTable):
            self._apply_table(decoded)
        elif isinstance(decoded, message_types.Evacuation):
            if decoded.lifted:
                self._lift(decoded.failure_domain)
            else:
                self._evacuate(decoded.failure_domain)
        elif isinstance(decoded, message_types.RolloutOrder):
            known = self.board.orders.get(decoded.service)
            if known is not None and known != decoded:
                self.superseded.append(known)
                del self.superseded[:-MAX_SUPERSEDED]
            if decoded in self.superseded:
                self.superseded.remove(decoded)
            if self.board.table_as_of_ms == board_module.NEVER:
                self.board.orders_at_start.add(decoded.service)
            self.board.orders[decoded.service] = decoded
            self.board.notify_declared()
            events.log_event(
                events.Event.ROLLOUT_ORDERED,
                service=decoded.service,
                version=decoded.version,
                duration_ms=decoded.duration_ms,
            )

    def mark_current(self, as_of_ms: float) -> None:
        """Record that all declarations were up to date at ``as_of_ms``."""
        for failure_domain, at_ms in list(self.missing_since_ms.items()):
            if as_of_ms >= at_ms + REWRITE_GRACE_MS:
                self._lift(failure_domain)
        # Also before the first table: all that precedes it is known by then.
        self.board.table_as_of_ms = as_of_ms

    def _apply_table(self, decoded: table.RoutingTable) -> None:
        """Put a newer table into force; never revert to an older one."""
        known = self.board.table
        if known is not None and decoded.revision <= known.revision:
            return
        self.board.table = decoded
        self.board.notify_declared()
        events.log_event(
            events.Event.CONFIG_IN_FORCE,
            revision=decoded.revision,
            routes=len(decoded.routes),
        )
