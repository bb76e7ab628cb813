"""What is believed of endpoints whose entries go missing in an outage."""

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
from carawayward.forwarding import store_contact
from carawayward.platform import store

HEARTBEAT_S = 1.2
LEASE_S = 3 * HEARTBEAT_S
POLL_MS = 1_100.0
# When outages begin, and until when endpoints are watched.
OUTAGE_S = 6.0
END_S = 30.0
NAMES = [f"desk-{number}" for number in range(8)]
# As long as the users allow an entry VM to catch up after an outage.
CATCH_UP_S = 3.0


class TrioClock(clock_module.Clock):
    """The clock of trio's tests."""

    def boot_ms(self) -> float:
        """The time in ms."""
        return trio.current_time() * 1000


@attrs.frozen
class Written:
    """A record and when the store has it; ``live`` False removes the key."""

    at_s: float
    name: str
    live: bool


@attrs.define
class Topic:
    """A topic whose records come at set times.

    It leaves calls without an answer from ``down_s`` until ``up_s``, or
    resets them at once if it ``resets``.
    """

    records: list[Written]
    down_s: float
    up_s: float
    resets: bool = False

    async def read_newest(self) -> keyed_log.Batch:
        """The newest record of every key."""
        await self._answer()
        newest = {}
        for offset, record in enumerate(self._list_written()):
            newest[record.name] = make_record(record, offset)
        found = [each for each in newest.values() if each.value is not None]
        return keyed_log.Batch(found, len(self._list_written()))

    async def read(self, start: int, wait_ms: float) -> keyed_log.Batch:
        """Records from ``start`` on; waits for one."""
        until_s = trio.current_time() + wait_ms / 1000
        if start < len(self.records):
            until_s = min(until_s, self.records[start].at_s)
        begins_s = max(self.down_s, trio.current_time())
        if begins_s < min(self.up_s, until_s):
            await trio.sleep_until(begins_s)
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

    def _list_written(self) -> list[Written]:
        now_s = trio.current_time()
        return [record for record in self.records if record.at_s <= now_s]


def make_record(written, offset):
    value = b"entry" if written.live else None
    return keyed_log.Record(written.name, value, offset)


def decode(record):
    return message_types.EndpointEntry(
        name=record.key,
        service="desk",
        address="127.0.0.1:1",
        failure_domain="north",
    )


def list_lapses(length_s):
    """All endpoints live on while the store is down for everybody.

    Each renews at its own moments; an entry whose time is up is removed, and
    written again at the endpoint's next heartbeat after the return.
    """
    written = []
    for index, name in enumerate(NAMES):
        phase_s = HEARTBEAT_S * index / len(NAMES)
        beats = [phase_s + HEARTBEAT_S * n for n in range(40)]
        up_s = OUTAGE_S + length_s
        renewed_s = max(s for s in beats if s < OUTAGE_S)
        next_s = min(s for s in beats if s >= up_s)
        if renewed_s + LEASE_S < next_s:
            written.append(Written(renewed_s + LEASE_S, name, False))
            written.append(Written(next_s, name, True))
    return written


async def watch(written, length_s, offset_s, resets=False):
    """Follow the registry with two feeds; return when names were dropped.

    The polls begin ``offset_s`` after the topic, so that outages meet them
    at any moment.
    """
    clock = TrioClock()
    contact = store_contact.StoreContact(clock)
    board = board_module.ForwardingBoard(name="vm", failure_domain="north")
    reader = registry.RegistryReader(
        board=board,
        contact=contact,
        decode=decode,
        heartbeat_ms=HEARTBEAT_S * 1000,
        find_poll_ms=lambda: POLL_MS,
    )
    records = [Written(0.0, name, True) for name in NAMES]
    records += sorted(written, key=lambda each: each.at_s)
    outage = (OUTAGE_S, OUTAGE_S + length_s, resets)

    def find_wait():
        if not reader.missing:
            return POLL_MS
        return max(20.0, min(POLL_MS, reader.find_settled_in_ms()))

    feeds = [
        feed.TopicFeed(
            "declarations",
            typing.cast(typing.Any, Topic([], *outage)),
            clock,
            contact,
            lambda records: None,
            lambda record: None,
        ),
        feed.TopicFeed(
            "endpoints",
            typing.cast(typing.Any, Topic(records, *outage)),
            clock,
            contact,
            reader.replace,
            reader.apply,
            reader.prove,
            get_poll_wait=find_wait,
        ),
    ]
    dropped = {}
    known: set[str] = set()
    async with trio.open_nursery() as nursery:
        await trio.sleep(0.5)
        await feeds[1].start(nursery)
        await trio.sleep(offset_s)
        await feeds[0].start(nursery)
        while trio.current_time() < END_S:
            await trio.sleep(0.01)
            present = set(board.endpoints)
            for name in known - present:
                dropped[name] = trio.current_time()
            known = present
        nursery.cancel_scope.cancel()
    return dropped


def follow(*case):
    """Run ``watch`` in virtual time."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(watch, *case, clock=clock)


def test_outage_of_the_store_takes_no_living_endpoint_away():
    """Callers are refused for a second after an outage of the store.

    Entries of living endpoints have run out in it, some at its end and some
    right after it, and are written again with the next heartbeat. Dropped
    meanwhile, they leave the pools empty.
    """
    for length_s in (0.4, 2.0, 2.4, 2.7, 3.1, 3.6, 4.4, 5.2, 8.0, 12.0):
        written = list_lapses(length_s)
        for offset_s in (0.0, 0.3, 0.7):
            for resets in (False, True):
                found = follow(written, length_s, offset_s, resets)
                assert not found, (length_s, offset_s, resets, found)


def test_endpoint_that_leaves_in_an_own_outage_is_dropped_at_the_return():
    """Requests go on to an endpoint that left while the store was lost.

    The store served everybody else. That the other entries outlived an
    outage longer than any lease shows it; after a shorter one the endpoint
    is waited for, and dropped within the time there is to catch up.
    """
    for length_s in (0.4, 1.5, 2.5, 4.0, 6.0, 8.0, 12.0):
        up_s = OUTAGE_S + length_s
        for part in (0.05, 0.5, 0.95):
            left_s = OUTAGE_S + part * length_s
            written = [Written(left_s, name, False) for name in NAMES[:3]]
            for offset_s in (0.0, 0.3, 0.7):
                found = follow(written, length_s, offset_s)
                case = (length_s, part, offset_s, found)
                assert set(found) == set(NAMES[:3]), case
                assert max(found.values()) <= up_s + CATCH_UP_S, case
                if length_s >= 8.0:
                    assert max(found.values()) <= up_s + 0.75, case


def test_endpoint_that_leaves_after_a_failed_call_is_dropped_at_once():
    """Requests go on for two seconds to an endpoint that has left.

    The store had reset a call shortly before. No entry can have run out in
    so short a time, so there is nothing to wait for.
    """
    left_s = OUTAGE_S + 0.6
    for offset_s in (0.0, 0.3, 0.7, 1.0):
        written = [Written(left_s, NAMES[0], False)]
        found = follow(written, 0.3, offset_s, True)
        assert set(found) == {NAMES[0]}
        assert found[NAMES[0]] <= left_s + 0.1, (offset_s, found)


def test_lapses_need_an_outage_of_their_length():
    """A short failure of one call holds a removed entry back for seconds.

    No lease can run out in it, so what is missing after it was taken out.
    """
    assert lapses.is_too_short(2_000.0, 1_200.0)
    assert not lapses.is_too_short(2_300.0, 1_200.0)
    assert not lapses.were_renewed(3_600.0, 1_200.0, 7, 1)
    assert lapses.were_renewed(4_800.0, 1_200.0, 7, 1)
    assert not lapses.were_renewed(4_800.0, 1_200.0, 0, 8)


def test_entry_without_a_lease_does_not_speak_for_the_others():
    """All pools are emptied since one entry has outlived the outage.

    Another program wrote it, and it never runs out.
    """
    assert not lapses.were_renewed(9_000.0, 1_200.0, 1, 8)
