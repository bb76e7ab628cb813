"""Which endpoints are kept when entries go missing in an outage."""

import typing

import attrs
import trio
import trio.testing

from carawayward import clock as clock_module
from carawayward.decisions import lapses
from carawayward import errors
from carawayward.forwarding import board as board_module
from carawayward.forwarding import feed
from carawayward.forwarding import keyed_log
from carawayward.forwarding import message_types
from carawayward.forwarding import registry
from carawayward.forwarding import store_outages
from carawayward.platform import store

HEARTBEAT_S = 1.2
LEASE_S = 3 * HEARTBEAT_S
POLL_MS = 1_100.0
# When outages begin, and when observation of the endpoints ends.
OUTAGE_S = 6.0
END_S = 30.0
NAMES = [f"desk-{number}" for number in range(8)]
# The time users allow an entry VM to catch up after an outage.
CATCH_UP_S = 3.0


class TrioClock(clock_module.Clock):
    """A boot clock that follows trio's virtual time."""

    def boot_ms(self) -> float:
        """Return the virtual time in ms."""
        return trio.current_time() * 1000


@attrs.frozen
class WrittenRecord:
    """A record written at ``at_s``; it removes the key unless ``live``."""

    at_s: float
    name: str
    live: bool


@attrs.define
class FakeTopic:
    """A topic whose records are written at given times.

    From ``down_s`` until ``up_s`` calls get no answer, or are reset at once
    if ``resets`` is set.
    """

    records: list[WrittenRecord]
    down_s: float
    up_s: float
    resets: bool = False

    async def read_newest(self) -> keyed_log.Batch:
        """Return the newest record of every key."""
        await self._answer()
        newest = {}
        for offset, record in enumerate(self._list_written()):
            newest[record.name] = make_record(record, offset)
        found = [each for each in newest.values() if each.value is not None]
        return keyed_log.Batch(found, len(self._list_written()))

    async def read(
        self, start: int, wait_ms: float, listing_bytes: float = 0.0
    ) -> keyed_log.Batch:
        """Return records from ``start`` on; wait for one."""
        until_s = trio.current_time() + wait_ms / 1000
        if start < len(self.records):
            until_s = min(until_s, self.records[start].at_s)
        outage_start_s = max(self.down_s, trio.current_time())
        if outage_start_s < min(self.up_s, until_s):
            await trio.sleep_until(outage_start_s)
            if not self.resets:
                await trio.sleep(wait_ms / 1000)
        else:
            await trio.sleep_until(max(until_s, trio.current_time()))
        await self._answer()
        written = self._list_written()
        found = [
            make_record(record, offset)
            for offset, record in enumerate(written)
            if offset >= start
        ]
        return keyed_log.Batch(found, len(written))

    async def _answer(self) -> None:
        if self.down_s <= trio.current_time() < self.up_s:
            if not self.resets:
                await trio.sleep(store.CALL_TIMEOUT_MS / 1000)
            raise errors.PlatformUnavailable("store", "no answer")

    def _list_written(self) -> list[WrittenRecord]:
        now_s = trio.current_time()
        return [record for record in self.records if record.at_s <= now_s]


def make_record(written, offset):
    value = b"entry" if written.live else None
    return keyed_log.Record(written.name, value, offset)


def decode(record):
    return message_types.EndpointEntry(
        name=record.key,
        service="desk",
        address=f"{record.key}:80",
        failure_domain="north",
    )


def list_expiries(length_s):
    """List records of endpoints that live on while the store is down for all.

    Heartbeats are spread over their interval. An entry whose lease expires is
    removed, and written again at the first heartbeat after the recovery.
    """
    written = []
    for index, name in enumerate(NAMES):
        phase_s = HEARTBEAT_S * index / len(NAMES)
        heartbeats_s = [phase_s + HEARTBEAT_S * n for n in range(40)]
        up_s = OUTAGE_S + length_s
        last_renewal_s = max(s for s in heartbeats_s if s < OUTAGE_S)
        next_heartbeat_s = min(s for s in heartbeats_s if s >= up_s)
        if last_renewal_s + LEASE_S < next_heartbeat_s:
            written.append(
                WrittenRecord(last_renewal_s + LEASE_S, name, False)
            )
            written.append(WrittenRecord(next_heartbeat_s, name, True))
    return written


async def watch(written, length_s, phase_shift_s, resets=False):
    """Follow the registry with two feeds; return when names were dropped.

    The feeds start ``phase_shift_s`` apart, so that outages begin at
    different points of their polls.
    """
    clock = TrioClock()
    outages = store_outages.OutageTracker(clock)
    board = board_module.ForwardingBoard(name="vm", failure_domain="north")
    reader = registry.RegistryReader(
        board=board,
        outages=outages,
        decode=decode,
        heartbeat_ms=HEARTBEAT_S * 1000,
        get_poll_wait_ms=lambda: POLL_MS,
    )
    records = [WrittenRecord(0.0, name, True) for name in NAMES]
    records += sorted(written, key=lambda each: each.at_s)
    outage = (OUTAGE_S, OUTAGE_S + length_s, resets)

    def get_poll_wait():
        if not reader.missing:
            return POLL_MS
        return max(20.0, min(POLL_MS, reader.compute_renewal_wait_ms()))

    feeds = [
        feed.TopicFeed(
            "declarations",
            typing.cast(typing.Any, FakeTopic([], *outage)),
            clock,
            outages,
            lambda records: None,
            lambda record: None,
        ),
        feed.TopicFeed(
            "endpoints",
            typing.cast(typing.Any, FakeTopic(records, *outage)),
            clock,
            outages,
            reader.replace,
            reader.apply,
            reader.mark_current,
            get_poll_wait=get_poll_wait,
        ),
    ]
    dropped = {}
    known: set[str] = set()
    async with trio.open_nursery() as nursery:
        await trio.sleep(0.5)
        await feeds[1].start(nursery)
        await trio.sleep(phase_shift_s)
        await feeds[0].start(nursery)
        while trio.current_time() < END_S:
            await trio.sleep(0.01)
            present = set(board.endpoints)
            for name in known - present:
                dropped[name] = trio.current_time()
            known = present
        nursery.cancel_scope.cancel()
    return dropped


def run_watch(*case):
    """Run ``watch`` in virtual time."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(watch, *case, clock=clock)


def test_outage_of_the_store_drops_no_live_endpoint():
    """Guards against callers refused for 1 s after an outage of the store.

    Entries of live endpoints expire during the outage, some at its end and
    some right after it, and are written again with the next heartbeat. If they
    are dropped meanwhile, the pools are empty.
    """
    for length_s in (0.4, 2.0, 2.4, 2.7, 3.1, 3.6, 4.4, 5.2, 8.0, 12.0):
        written = list_expiries(length_s)
        for phase_shift_s in (0.0, 0.3, 0.7):
            for resets in (False, True):
                found = run_watch(written, length_s, phase_shift_s, resets)
                assert not found, (length_s, phase_shift_s, resets, found)


def test_endpoint_removed_in_an_outage_of_one_vm_is_dropped_at_recovery():
    """Guards against requests to an endpoint that left during an outage.

    Only this entry VM had lost the store. After an outage longer than any
    lease, the other entries that outlived it show that. After a shorter one
    the endpoint gets a grace period, and is dropped within the time to catch
    up.
    """
    for length_s in (0.4, 1.5, 2.5, 4.0, 6.0, 8.0, 12.0):
        up_s = OUTAGE_S + length_s
        for fraction in (0.05, 0.5, 0.95):
            removed_s = OUTAGE_S + fraction * length_s
            written = [
                WrittenRecord(removed_s, name, False) for name in NAMES[:3]
            ]
            for phase_shift_s in (0.0, 0.3, 0.7):
                found = run_watch(written, length_s, phase_shift_s)
                case = (length_s, fraction, phase_shift_s, found)
                assert set(found) == set(NAMES[:3]), case
                assert max(found.values()) <= up_s + CATCH_UP_S, case
                if length_s >= 8.0:
                    assert max(found.values()) <= up_s + 0.75, case


def test_endpoint_removed_after_a_failed_call_is_dropped_at_once():
    """Guards against requests sent for 2 s to an endpoint that has left.

    The store had reset a call shortly before. No entry can have expired in so
    short a time, so there is no grace period.
    """
    removed_s = OUTAGE_S + 0.6
    for phase_shift_s in (0.0, 0.3, 0.7, 1.0):
        written = [WrittenRecord(removed_s, NAMES[0], False)]
        found = run_watch(written, 0.3, phase_shift_s, True)
        assert set(found) == {NAMES[0]}
        assert found[NAMES[0]] <= removed_s + 0.1, (phase_shift_s, found)


def test_entries_expire_only_in_outages_longer_than_their_lease():
    """Guards against removed entries kept for seconds after one failed call.

    No lease can expire in so short a failure, so an entry that is missing
    afterwards has been removed.
    """
    assert lapses.is_too_short(2_000.0, 1_200.0)
    assert not lapses.is_too_short(2_300.0, 1_200.0)
    assert not lapses.were_renewed(3_600.0, 1_200.0, 7, 1)
    assert lapses.were_renewed(4_800.0, 1_200.0, 7, 1)
    assert not lapses.were_renewed(4_800.0, 1_200.0, 0, 8)


def test_entry_without_a_lease_is_no_evidence_for_the_others():
    """Guards against emptying all pools because one entry never expires.

    Another program wrote the entry without a lease, so that it outlived the
    outage.
    """
    assert not lapses.were_renewed(9_000.0, 1_200.0, 1, 8)


def make_reader(**addresses):
    """A reader of records whose entries have the given addresses."""
    clock = TrioClock()
    board = board_module.ForwardingBoard(name="vm", failure_domain="north")

    def decode_entry(record):
        name = record.key.replace("-", "_")
        return attrs.evolve(decode(record), address=addresses[name])

    return registry.RegistryReader(
        board=board,
        outages=store_outages.OutageTracker(clock),
        decode=decode_entry,
        heartbeat_ms=HEARTBEAT_S * 1000,
        get_poll_wait_ms=lambda: POLL_MS,
    )


def run_at_once(function):
    async def main():
        function()

    trio.run(main, clock=trio.testing.MockClock())


def test_crashed_endpoint_is_dropped_when_another_is_listed_at_its_address():
    """Requests for it would reach the new process until its entry expires."""

    def check():
        reader = make_reader(old="a:1", new="a:1", other="b:1")
        for offset, name in enumerate(("old", "other", "new")):
            reader.apply(keyed_log.Record(name, b"entry", offset))
        assert set(reader.board.endpoints) == {"new", "other"}
        reader.apply(keyed_log.Record("old", None, 3))
        reader.apply(keyed_log.Record("new", b"entry", 4))
        assert set(reader.board.endpoints) == {"new", "other"}

    run_at_once(check)


def test_newer_record_has_an_address_whatever_the_order_of_the_list():
    """The store lists the newest records by key, not by offset."""

    def check():
        reader = make_reader(
            a_old="a:1", a_new="a:1", z_old="b:1", b_new="b:1"
        )
        listed = [("a-new", 9), ("a-old", 2), ("b-new", 8), ("z-old", 1)]
        for records in (listed, list(reversed(listed)), listed):
            reader.replace(
                [keyed_log.Record(n, b"entry", at) for n, at in records]
            )
            assert set(reader.board.endpoints) == {"a-new", "b-new"}

    run_at_once(check)


def test_endpoint_that_moves_leaves_its_address_to_others():
    """An entry is written again with another address."""

    def check():
        addresses = {"first": "a:1", "second": "a:1"}
        reader = make_reader(**addresses)
        reader.apply(keyed_log.Record("first", b"entry", 0))
        reader.decode = lambda record: attrs.evolve(
            decode(record), address="c:1" if record.key == "first" else "a:1"
        )
        reader.apply(keyed_log.Record("first", b"entry", 1))
        reader.apply(keyed_log.Record("second", b"entry", 2))
        assert set(reader.board.endpoints) == {"first", "second"}

    run_at_once(check)


def test_address_goes_to_the_newer_record_after_a_restore_of_the_store():
    """Offsets are lower in the new era than those read before."""

    def check():
        reader = make_reader(old="a:1", new="a:1")
        reader.apply(keyed_log.Record("old", b"entry", 900))
        reader.begin_era()
        reader.apply(keyed_log.Record("new", b"entry", 510))
        assert "new" in reader.board.endpoints

    run_at_once(check)
