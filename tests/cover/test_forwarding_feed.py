"""A topic's reader during and after an outage of the store."""

import itertools
import typing

import attrs
import trio
import trio.testing

from carawayward import clock as clock_module
from carawayward.decisions import store_polls
from carawayward import errors
from carawayward.forwarding import attestation
from carawayward.forwarding import change_log
from carawayward.forwarding import feed
from carawayward.forwarding import keyed_log
from carawayward.forwarding import store_contact
from carawayward.platform import store
from tests.common import clocks


@attrs.define
class Topic:
    """A topic without news; a poll on it waits for as long as it may.

    While ``down`` calls fail; while ``silent`` they fail when their time is
    up, and ``lost_s`` notes when they were sent. Times in ms, and in s where
    the name says so, of the test's clock.
    """

    down: bool = False
    silent: bool = False
    waits: list[float] = attrs.field(factory=list)
    lost_s: list[float] = attrs.field(factory=list)

    async def read_newest(self) -> keyed_log.Batch:
        """Nothing is in it."""
        await self._meet_trouble()
        return keyed_log.Batch([], 0)

    async def _meet_trouble(self) -> None:
        if self.down:
            raise errors.PlatformUnavailable("store", "down")
        if self.silent:
            self.lost_s.append(trio.current_time())
            await trio.sleep(store.CALL_TIMEOUT_MS / 1000)
            raise errors.PlatformUnavailable("store", "no answer")

    async def read(self, start: int, wait_ms: float) -> keyed_log.Batch:
        """Nothing new comes."""
        await self._meet_trouble()
        self.waits.append(wait_ms)
        await trio.sleep(wait_ms / 1000)
        return keyed_log.Batch([], start)


def make_contact(clock):
    return store_contact.StoreContact(clock)


def make_feed(name, topic, contact, prove=lambda as_of_ms: None):
    return feed.TopicFeed(
        name,
        topic,
        contact.clock,
        contact,
        lambda records: None,
        lambda record: None,
        prove,
    )


def test_first_poll_after_an_outage_does_not_wait():
    """Requests are refused for 1.4 s after the store is back.

    The entry VM reaches the store again and polls for news. Cause: keys are
    proved by a poll's end, and without news it ends when its wait does.
    """
    proved = []

    async def main():
        topic: typing.Any = Topic()
        reader = make_feed(
            "keys",
            topic,
            make_contact(clocks.TrioClock()),
            lambda as_of_ms: proved.append(trio.current_time()),
        )
        async with trio.open_nursery() as nursery:
            await reader.start(nursery)
            await trio.sleep(4.0)
            topic.down = True
            await trio.sleep(5.1)
            topic.down = False
            back_s = trio.current_time()
            proved.clear()
            await trio.sleep(2 * store_contact.RETRY_MS / 1000)
            assert (
                proved
                and proved[0] <= back_s + 1.1 * store_contact.RETRY_MS / 1000
            )
            assert topic.waits[-1] == store_polls.MAX_POLL_MS
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_feeds_take_turns_at_a_silent_store():
    """Requests are refused for a second after the store is back.

    All feeds lost their calls to a silent store at the same moment and waited
    for answers that were not to come. Taking turns, one of them calls at
    least every 0.7 s, and its answer has the others call at once.
    """
    longest_s = 0.001 + (store.CALL_TIMEOUT_MS - store_contact.RETRY_MS) / 1000

    async def main():
        topic: typing.Any = Topic()
        contact = make_contact(clocks.TrioClock())
        proved: list[float] = []
        feeds = [
            make_feed(
                name,
                topic,
                contact,
                lambda as_of_ms: proved.append(trio.current_time()),
            )
            for name in ("declarations", "endpoints")
        ]
        async with trio.open_nursery() as nursery:
            for each in feeds:
                await each.start(nursery)
            await trio.sleep(4.0)
            topic.silent = True
            await trio.sleep(8.0)
            began_s = topic.lost_s[2]
            calls_s = [at_s for at_s in topic.lost_s if at_s >= began_s]
            gaps_s = [b - a for a, b in itertools.pairwise(calls_s)]
            assert max(gaps_s) <= longest_s
            await trio.sleep(calls_s[-1] + 0.9 - trio.current_time())
            topic.silent = False
            proved.clear()
            back_s = trio.current_time()
            await trio.sleep(longest_s)
            assert len(proved) >= len(feeds)
            assert max(proved[:2]) <= back_s + longest_s
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_call_lost_in_an_outage_does_not_prolong_it():
    """Feeds that reach the store hold their calls back for its sake.

    The store answers one feed again while the other still waits for the
    answer to a call that was lost; when its time is up it fails, which looks
    like a second outage right after the first.
    """
    clock: typing.Any = clock_module.ManualClock()
    contact = make_contact(clock)
    clock.now = 100.0
    contact.record_failure(contact.record_call())
    clock.now = 400.0
    lost_ms = contact.record_call()
    clock.now = 900.0
    contact.record_call()
    contact.record_answer()
    clock.now = 1_400.0
    contact.record_failure(lost_ms)
    assert not contact.out
    assert contact.back_ms == 900.0
    assert contact.find_shortest_ms() == 0.0
    contact.record_failure(contact.record_call())
    assert contact.out


def test_feed_that_is_behind_tells_nothing():
    """A configuration is in force three seconds late on an entry VM."""
    contact = make_contact(typing.cast(typing.Any, clock_module.ManualClock()))
    topic: typing.Any = Topic()
    reader = make_feed("declarations", topic, contact)
    reader.position = 5
    known = attestation.Attestation(5, 100.0, 700.0)
    reader.confirm(known)
    assert reader.describe() == known
    reader.announce(6, served=True)
    assert reader.describe() is None
    reader.position = 6
    assert reader.describe() == attestation.Attestation(6, 100.0, 700.0)


def test_attestation_without_a_newer_call_leaves_the_due_time():
    """A delegate that lost the store passes for one that reaches it."""
    contact = make_contact(typing.cast(typing.Any, clock_module.ManualClock()))
    topic: typing.Any = Topic()
    reader = make_feed("endpoints", topic, contact)
    reader.position = 5
    reader.confirm(attestation.Attestation(5, 100.0, 700.0))
    reader.confirm(attestation.Attestation(5, 100.0, 690.0))
    assert reader.due_ms == 700.0
    reader.confirm(attestation.Attestation(5, 90.0, 800.0))
    assert reader.describe() == attestation.Attestation(5, 100.0, 800.0)
    reader.confirm(attestation.Attestation(5, 110.0, 9e9))
    assert reader.due_ms == store_polls.MAX_POLL_MS


@attrs.define
class BurstTopic:
    """A topic that grows by a record each ``gap_s``; counts its calls."""

    gap_s: float
    calls: int = 0

    def _count(self) -> int:
        return int(trio.current_time() / self.gap_s)

    async def read_newest(self) -> keyed_log.Batch:
        """Nothing is in it yet."""
        return keyed_log.Batch([], 0)

    async def read(self, start: int, wait_ms: float) -> keyed_log.Batch:
        """What has come, or the next."""
        self.calls += 1
        if self._count() <= start:
            await trio.sleep_until((start + 1) * self.gap_s + 1e-6)
        end = self._count()
        records = [
            keyed_log.Record(f"desk-{offset}", b"x", offset)
            for offset in range(start, end)
        ]
        return keyed_log.Batch(records, end)


def test_burst_of_records_is_read_in_few_calls():
    """162 endpoints register one by one, and each costs a call a delegate."""

    async def main():
        topic = BurstTopic(0.05)
        reader = make_feed(
            "endpoints",
            typing.cast(typing.Any, topic),
            make_contact(clocks.TrioClock()),
        )
        async with trio.open_nursery() as nursery:
            await reader.start(nursery)
            await trio.sleep(162 * 0.05)
            nursery.cancel_scope.cancel()
        assert reader.position is not None and reader.position >= 155
        assert topic.calls <= 162 * 0.05 * 1000 / feed.MIN_CALL_GAP_MS + 1

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_last_record_is_passed_on_though_nothing_more_is_needed():
    """Clients learn seconds late that a roll-out has been decided.

    Its status ends the need for statuses on the delegate that reads it.
    """
    contact = make_contact(typing.cast(typing.Any, clock_module.ManualClock()))
    reader = make_feed("statuses", typing.cast(typing.Any, Topic()), contact)
    applied: list[keyed_log.Record] = []
    pushed = []
    reader.apply = applied.append
    reader.is_needed = lambda: not applied
    reader.push_updates = lambda: pushed.append(reader.describe())
    reader.position = 4
    reader._delegating = True
    change = change_log.Change(4, "desk", b"completed")
    assert reader.apply_changes(4, 5, (change,))
    (attested,) = pushed
    assert attested.position == 5
    assert reader.list_since(4) == [change]


@attrs.define
class SlowTopic:
    """A topic of which calls see ``records`` and answer ``late_s`` after."""

    records: list[keyed_log.Record] = attrs.field(factory=list)
    late_s: float = 0.0

    async def read_newest(self) -> keyed_log.Batch:
        """All that is there when the call comes."""
        found, end = list(self.records), len(self.records)
        await trio.sleep(self.late_s)
        return keyed_log.Batch(found, end)

    async def read(self, start: int, wait_ms: float) -> keyed_log.Batch:
        """What is there when the call comes; nothing further is waited for."""
        found, end = self.records[start:], len(self.records)
        await trio.sleep(max(self.late_s, wait_ms / 1000))
        return keyed_log.Batch(found, max(start, end))


def make_record(offset, value):
    return keyed_log.Record("desk", value, offset)


def test_changes_are_taken_while_an_own_call_gets_no_answer():
    """Work goes to an endpoint that left, though the delegate tells so.

    The answer that comes after all is older, and takes nothing back.
    """
    known: list[tuple[int, bytes | None]] = []

    async def main():
        topic = SlowTopic([make_record(0, b"a")])
        contact = make_contact(clocks.TrioClock())
        reader = make_feed(
            "endpoints", typing.cast(typing.Any, topic), contact
        )
        reader.apply = lambda each: known.append((each.offset, each.value))
        async with trio.open_nursery() as nursery:
            await reader.start(nursery)
            await trio.sleep(0.1)
            topic.records.append(make_record(1, b"b"))
            topic.late_s = 5.0
            await trio.sleep(store_polls.MAX_POLL_MS / 1000 + 1.0)
            change = change_log.Change(2, "desk", None)
            assert reader.apply_changes(1, 3, (change,))
            assert known[-1] == (2, None)
            await trio.sleep(6.0)
            assert reader.position == 3
            assert known == [(2, None)]
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
