"""Maintains the blackboard's endpoints from the records of the registry."""

import typing

import attrs

from carawayward.decisions import lapses
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import keyed_log
from carawayward.forwarding import message_types
from carawayward.forwarding import store_outages
from carawayward import record_isolation

# Live endpoints that could not renew their entries during an outage of the
# store have written them again within about two seconds of its recovery.
RENEWAL_GRACE_MS = 2_000.0
# A poll without records that is answered no later than this after its wait
# does not count as an outage.
POLL_SLACK_MS = 200.0
# How long removals are remembered; longer than any backup of the store is old.
REMOVAL_TTL_MS = 60_000.0

Decode = typing.Callable[
    [keyed_log.Record], message_types.EndpointEntry | None
]


@attrs.frozen
class FirstRead:
    """The offset of an endpoint's record, and when it was first read."""

    offset: int
    at_ms: float


@attrs.frozen
class Removal:
    """When an endpoint was removed, and the start time of its process."""

    at_ms: float
    born: int | None


@attrs.frozen
class AddressHolder:
    """The endpoint whose process has an address, by its latest record."""

    name: str
    offset: int


@attrs.frozen
class HeldRecord:
    """A record of an endpoint that had left, held back until ``until_ms``."""

    record: keyed_log.Record
    until_ms: float


@attrs.define(eq=False, kw_only=True)
class RegistryReader:
    """Applies registry records to the blackboard.

    During an outage of the store endpoints cannot renew their entries, so
    entries of live endpoints expire. Entries found missing right after an
    outage are therefore kept for a grace period in which they can be written
    again; removing them at once would empty whole pools. If the remaining
    entries show that endpoints could reach the store all the time, only this
    entry VM was cut off, and the missing entries are removed.

    A store that was restored from a backup lists endpoints that have left
    since the backup, and lacks those that were added. Missing entries get the
    same grace period as after an outage. Entries of endpoints that had left
    are held back, and used only if they outlive any lease.

    An endpoint that has crashed stays listed until its entry expires. If
    another one is listed with the same address meanwhile, its process is gone.

    Times are in ms on the boot clock. ``last_read_ms`` is when all records
    were last read. ``renewed_by_ms`` is the end of the grace period, by which
    entries that expired in an outage have been renewed. ``get_poll_wait_ms``
    returns how long a poll waits for records.
    """

    board: board_module.ForwardingBoard
    outages: store_outages.OutageTracker
    decode: Decode
    heartbeat_ms: float
    get_poll_wait_ms: typing.Callable[[], float]
    missing: set[str] = attrs.field(factory=set)
    first_reads: dict[str, FirstRead] = attrs.field(factory=dict)
    last_read_ms: float | None = None
    renewed_by_ms: float = board_module.NEVER
    removals: dict[str, Removal] = attrs.field(factory=dict)
    holders: dict[str, AddressHolder] = attrs.field(factory=dict)
    held_records: dict[str, HeldRecord] = attrs.field(factory=dict)
    _restored: bool = False

    def begin_era(self) -> None:
        """Expect the next records to come from a restored backup."""
        self.renewed_by_ms = self.outages.clock.boot_ms() + RENEWAL_GRACE_MS
        self._restored = True
        # Offsets of different eras cannot be compared.
        self.holders.clear()

    def replace(self, records: list[keyed_log.Record]) -> None:
        """Apply the newest record of every key; other entries are missing."""
        present = {record.key for record in records}
        for name in self.held_records.keys() - present:
            del self.held_records[name]
        restored, self._restored = self._restored, False
        for record in records:
            self._apply_or_drop(
                self._apply_restored if restored else self._apply_record,
                record,
            )
        for name in list(self.board.endpoints):
            if name not in present:
                self._handle_missing(name)
        self.board.endpoints_known = True

    def apply(self, record: keyed_log.Record) -> None:
        """Apply one record."""
        self._apply_or_drop(self._apply_record, record)

    def _apply_or_drop(
        self,
        apply: typing.Callable[[keyed_log.Record], None],
        record: keyed_log.Record,
    ) -> None:
        """Apply a record; one that cannot be used names no endpoint."""

        def try_apply() -> bool:
            apply(record)
            return True

        if not record_isolation.isolate(
            try_apply, False, key=record.key, offset=record.offset
        ):
            self._drop(record.key, "unusable entry")

    def _apply_restored(self, record: keyed_log.Record) -> None:
        """Apply a record that a restored backup lists."""
        if self._was_removed(record):
            self._hold(record)
        else:
            self._apply_record(record)

    def _apply_record(self, record: keyed_log.Record) -> None:
        self.held_records.pop(record.key, None)
        if record.value is None:
            self._handle_missing(record.key)
            return
        entry = self.decode(record)
        if entry is None:
            # An unreadable entry does not describe a usable endpoint.
            self._drop(record.key, "unreadable entry")
            return
        if not self._claim_address(entry, record.offset):
            return
        self.missing.discard(entry.name)
        self._record_first_read(record)
        known = self.board.endpoints.get(entry.name)
        self._record_cold_report(entry, known)
        if known == entry:
            return
        self.board.endpoints[entry.name] = entry
        self.board.generation += 1
        if known is None or known.leaving != entry.leaving:
            events.log_event(
                events.Event.ENDPOINT_LISTED,
                endpoint=entry.name,
                service=entry.service,
                address=entry.address,
                version=entry.version,
                leaving=entry.leaving,
            )

    def _claim_address(
        self, entry: message_types.EndpointEntry, offset: int
    ) -> bool:
        """Drop the entry of a former process at the address of an endpoint.

        Returns False if the endpoint itself is the former one: the other
        record is newer, and a process that has ended writes none.
        """
        holder = self.holders.get(entry.address)
        if holder is not None and holder.name != entry.name:
            if offset < holder.offset:
                self._drop(entry.name, "address taken over")
                return False
            self._drop(holder.name, "address taken over")
        self._release_address(entry.name)
        self.holders[entry.address] = AddressHolder(entry.name, offset)
        return True

    def _release_address(self, name: str) -> None:
        """Forget at which address an endpoint was listed."""
        known = self.board.endpoints.get(name)
        holder = self.holders.get(known.address) if known else None
        if known and holder and holder.name == name:
            del self.holders[known.address]

    def _record_cold_report(
        self,
        entry: message_types.EndpointEntry,
        known: message_types.EndpointEntry | None,
    ) -> None:
        """Record how long an endpoint stays cold.

        If the entry does not say, a new process may be cold, and the report
        on a process that is already known is kept.
        """
        if entry.cold_ms is None and known is not None:
            if (known.address, known.born) == (entry.address, entry.born):
                return
        if entry.cold_ms == 0.0:
            self.board.cold_reports.pop(entry.name, None)
            return
        self.board.cold_reports[entry.name] = board_module.ColdReport(
            self.outages.clock.boot_ms(), entry.cold_ms
        )

    def mark_current(self, as_of_ms: float) -> None:
        """Record that all records have been read.

        Applies the held records that are due, and drops the missing entries
        once their grace period is over.
        """
        now_ms = self.outages.clock.boot_ms()
        for each in list(self.held_records.values()):
            if now_ms >= each.until_ms:
                self.apply(each.record)
        if self.last_read_ms is not None and self._may_have_expired():
            self._end_outage(self.last_read_ms, now_ms)
        elif now_ms >= self.renewed_by_ms:
            self._drop_missing("missing since the store returned")
        self.last_read_ms = now_ms

    def compute_renewal_wait_ms(self) -> float:
        """Return the time left to renew entries that expired in an outage."""
        return self.renewed_by_ms - self.outages.clock.boot_ms()

    def _may_have_expired(self) -> bool:
        """Whether entries can have expired since all were last read."""
        if self.last_read_ms is None:
            return False
        gap_ms = self.outages.clock.boot_ms() - self.last_read_ms
        if gap_ms <= self.get_poll_wait_ms() + POLL_SLACK_MS:
            return False
        return not lapses.is_too_short(gap_ms, self.heartbeat_ms)

    def _end_outage(self, last_read_ms: float, now_ms: float) -> None:
        """Evaluate the missing entries after an outage of the store.

        ``last_read_ms`` is when the store was last read before it. This is
        done only at the time of recovery. Entries that expire one by one
        after it must not be evaluated like this: when the first ones expire,
        most of the others are still unchanged, as if they had been renewed.
        """
        self.renewed_by_ms = now_ms + RENEWAL_GRACE_MS
        unchanged = sum(
            first_read.at_ms <= last_read_ms
            for name, first_read in self.first_reads.items()
            if name not in self.missing
        )
        if lapses.were_renewed(
            self.outages.compute_min_duration_ms(),
            self.heartbeat_ms,
            unchanged,
            len(self.missing),
        ):
            self._drop_missing("entry removed during an outage")

    def _was_removed(self, record: keyed_log.Record) -> bool:
        """Whether a backup's record is of an endpoint that has left since."""
        entry = self.decode(record)
        if entry is None or entry.leaving:
            return False
        known = self.board.endpoints.get(entry.name)
        if known is not None and known.leaving:
            return known.born == entry.born
        removal = self.removals.get(entry.name)
        if removal is None or removal.born != entry.born:
            return False
        age_ms = self.outages.clock.boot_ms() - removal.at_ms
        return age_ms < REMOVAL_TTL_MS

    def _hold(self, record: keyed_log.Record) -> None:
        """Hold a record back until its entry has outlived any lease."""
        lease_ms = lapses.LEASE_HEARTBEATS * self.heartbeat_ms
        until_ms = self.outages.clock.boot_ms() + lease_ms
        self.held_records[record.key] = HeldRecord(record, until_ms)
        events.log_event(events.Event.ENDPOINT_HELD, endpoint=record.key)

    def _record_removal(self, name: str, born: int | None) -> None:
        now_ms = self.outages.clock.boot_ms()
        self.removals.pop(name, None)
        self.removals[name] = Removal(now_ms, born)
        for each, removal in list(self.removals.items()):
            if now_ms - removal.at_ms < REMOVAL_TTL_MS:
                break
            del self.removals[each]

    def _record_first_read(self, record: keyed_log.Record) -> None:
        """Record when a record was first read; it may be read repeatedly."""
        known = self.first_reads.get(record.key)
        if known is None or known.offset != record.offset:
            now_ms = self.outages.clock.boot_ms()
            self.first_reads[record.key] = FirstRead(record.offset, now_ms)

    def _handle_missing(self, name: str) -> None:
        """Drop an entry, or keep it if it may have expired in an outage."""
        renewal_wait_ms = self.compute_renewal_wait_ms()
        if renewal_wait_ms <= 0.0 and not self._may_have_expired():
            self._drop(name, "entry removed")
            return
        if name in self.missing or name not in self.board.endpoints:
            return
        self.missing.add(name)
        events.log_event(
            events.Event.ENDPOINT_MISSING,
            endpoint=name,
            outage_ms=round(self.outages.compute_min_duration_ms()),
            listed=len(self.board.endpoints),
        )

    def _drop_missing(self, cause: str) -> None:
        for name in list(self.missing):
            self._drop(name, cause)

    def _drop(self, name: str, cause: str) -> None:
        self.missing.discard(name)
        self.first_reads.pop(name, None)
        self.board.cold_reports.pop(name, None)
        self._release_address(name)
        known = self.board.endpoints.pop(name, None)
        if known is None:
            return
        self._record_removal(name, known.born)
        self.board.generation += 1
        events.log_event(
            events.Event.ENDPOINT_UNLISTED, endpoint=name, cause=cause
        )
