"""Feeds of topics during and after outages of the store."""

import itertools
import typing

import attrs
from nose2.tools import params
import trio
import trio.testing

from carawayward import clock as clock_module
from carawayward.decisions import store_polls
from carawayward import errors
from carawayward.forwarding import attestation
from carawayward.forwarding import call_causes
from carawayward.forwarding import change_log
from carawayward.forwarding import feed
from carawayward.forwarding import keyed_log
from carawayward.forwarding import store_outages
from carawayward.platform import store
from tests.common import clocks


@attrs.define
class FakeTopic:
    """An empty topic; polls on it wait for as long as they may.

    While ``down`` calls fail at once; while ``silent`` they time out, and
    ``lost_calls_s`` records when they were sent, in s. ``waits`` are the
    waits of the polls that succeeded, in ms.
    """

    down: bool = False
    silent: bool = False
    waits: list[float] = attrs.field(factory=list)
    lost_calls_s: list[float] = attrs.field(factory=list)

    async def read_newest(self) -> keyed_log.Batch:
        """Return no records."""
        await self._fail_if_unavailable()
        return keyed_log.Batch([], 0)

    async def _fail_if_unavailable(self) -> None:
        if self.down:
            raise errors.PlatformUnavailable("store", "down")
        if self.silent:
            self.lost_calls_s.append(trio.current_time())
            await trio.sleep(store.CALL_TIMEOUT_MS / 1000)
            raise errors.PlatformUnavailable("store", "no answer")

    async def read(
        self, start: int, wait_ms: float, listing_bytes: float = 0.0
    ) -> keyed_log.Batch:
        """Return no records after the full wait."""
        await self._fail_if_unavailable()
        self.waits.append(wait_ms)
        await trio.sleep(wait_ms / 1000)
        return keyed_log.Batch([], start)


def make_outages(clock):
    return store_outages.OutageTracker(clock)


def make_feed(
    name, topic, outages, mark_current=lambda as_of_ms: None, **changes
):
    return feed.TopicFeed(
        name,
        topic,
        outages.clock,
        outages,
        lambda records: None,
        lambda record: None,
        mark_current,
        **changes,
    )


def test_first_poll_after_an_outage_does_not_wait():
    """Guards against requests refused for 1.4 s after the store recovers.

    A poll confirms the keys only when it ends, and without new records it
    ends only after its full wait.
    """
    confirmed_s = []

    async def main():
        topic: typing.Any = FakeTopic()
        reader = make_feed(
            "keys",
            topic,
            make_outages(clocks.TrioClock()),
            lambda as_of_ms: confirmed_s.append(trio.current_time()),
        )
        async with trio.open_nursery() as nursery:
            await reader.start(nursery)
            await trio.sleep(4.0)
            topic.down = True
            await trio.sleep(5.1)
            topic.down = False
            recovered_s = trio.current_time()
            confirmed_s.clear()
            await trio.sleep(2 * store_polls.RETRY_MS / 1000)
            assert (
                confirmed_s
                and confirmed_s[0]
                <= recovered_s + 1.1 * store_polls.RETRY_MS / 1000
            )
            assert topic.waits[-1] == store_polls.MAX_POLL_MS
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_feeds_take_turns_at_a_silent_store():
    """Guards against requests refused for 1 s after the store recovers.

    All feeds had sent calls to a silent store at the same time and waited for
    answers that never came. If they take turns, one of them calls at least
    every 0.7 s, and its answer makes the others call at once.
    """
    longest_gap_s = (
        0.001 + (store.CALL_TIMEOUT_MS - store_polls.RETRY_MS) / 1000
    )

    async def main():
        topic: typing.Any = FakeTopic()
        outages = make_outages(clocks.TrioClock())
        confirmed_s: list[float] = []
        feeds = [
            make_feed(
                name,
                topic,
                outages,
                lambda as_of_ms: confirmed_s.append(trio.current_time()),
            )
            for name in ("declarations", "endpoints")
        ]
        async with trio.open_nursery() as nursery:
            for each in feeds:
                await each.start(nursery)
            await trio.sleep(4.0)
            topic.silent = True
            await trio.sleep(8.0)
            outage_start_s = topic.lost_calls_s[2]
            calls_s = [
                at_s for at_s in topic.lost_calls_s if at_s >= outage_start_s
            ]
            gaps_s = [b - a for a, b in itertools.pairwise(calls_s)]
            assert max(gaps_s) <= longest_gap_s
            await trio.sleep(calls_s[-1] + 0.9 - trio.current_time())
            topic.silent = False
            confirmed_s.clear()
            recovered_s = trio.current_time()
            await trio.sleep(longest_gap_s)
            assert len(confirmed_s) >= len(feeds)
            assert max(confirmed_s[:2]) <= recovered_s + longest_gap_s
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_call_lost_in_an_outage_does_not_prolong_it():
    """Guards against a second outage recorded right after the first.

    The store answers one feed again while another still waits for the answer
    to a call that was lost in the outage. When that call times out, feeds that
    can reach the store would delay their calls.
    """
    clock: typing.Any = clock_module.ManualClock()
    outages = make_outages(clock)
    clock.now = 100.0
    outages.record_failure(outages.record_call())
    clock.now = 400.0
    lost_ms = outages.record_call()
    clock.now = 900.0
    outages.record_call()
    outages.record_answer()
    clock.now = 1_400.0
    outages.record_failure(lost_ms)
    assert not outages.in_outage
    assert outages.recovered_ms == 900.0
    assert outages.compute_min_duration_ms() == 0.0
    outages.record_failure(outages.record_call())
    assert outages.in_outage


def test_feed_that_is_behind_attests_nothing():
    """Guards against a configuration applied 3 s late by a client.

    A feed that knows of records it has not read must not attest its position.
    """
    outages = make_outages(typing.cast(typing.Any, clock_module.ManualClock()))
    topic: typing.Any = FakeTopic()
    reader = make_feed("declarations", topic, outages)
    reader.position = 5
    attested = attestation.Attestation(5, 100.0, 700.0)
    reader.confirm(attested)
    assert reader.get_attestation() == attested
    reader.notify_position(6, served=True)
    assert reader.get_attestation() is None
    reader.position = 6
    assert reader.get_attestation() == attestation.Attestation(6, 100.0, 700.0)


def test_attestation_without_a_newer_call_leaves_the_due_time():
    """Guards against a delegate not recognized as having lost the store."""
    outages = make_outages(typing.cast(typing.Any, clock_module.ManualClock()))
    topic: typing.Any = FakeTopic()
    reader = make_feed("endpoints", topic, outages)
    reader.position = 5
    reader.confirm(attestation.Attestation(5, 100.0, 700.0))
    reader.confirm(attestation.Attestation(5, 100.0, 690.0))
    assert reader.due_ms == 700.0
    reader.confirm(attestation.Attestation(5, 90.0, 800.0))
    assert reader.get_attestation() == attestation.Attestation(5, 100.0, 800.0)
    reader.confirm(attestation.Attestation(5, 110.0, 9e9))
    assert reader.due_ms == store_polls.MAX_POLL_MS


@attrs.define
class BurstTopic:
    """A topic with a new record every ``gap_s``; counts calls to ``read``."""

    gap_s: float
    calls: int = 0
    waits_ms: list[float] = attrs.field(factory=list)

    def _count(self) -> int:
        return int(trio.current_time() / self.gap_s)

    async def read_newest(self) -> keyed_log.Batch:
        """Return no records; the topic is still empty."""
        return keyed_log.Batch([], 0)

    async def read(
        self, start: int, wait_ms: float, listing_bytes: float = 0.0
    ) -> keyed_log.Batch:
        """Return the records from ``start`` on, or wait for the next."""
        self.calls += 1
        self.waits_ms.append(wait_ms)
        if self._count() <= start:
            await trio.sleep_until((start + 1) * self.gap_s + 1e-6)
        end = self._count()
        records = [
            keyed_log.Record(f"desk-{offset}", b"x", offset)
            for offset in range(start, end)
        ]
        return keyed_log.Batch(records, end)


def test_burst_of_records_is_read_in_few_calls():
    """Guards against one call per endpoint when 162 register in a row."""

    async def main():
        topic = BurstTopic(0.05)
        reader = make_feed(
            "endpoints",
            typing.cast(typing.Any, topic),
            make_outages(clocks.TrioClock()),
        )
        async with trio.open_nursery() as nursery:
            await reader.start(nursery)
            await trio.sleep(162 * 0.05)
            nursery.cancel_scope.cancel()
        assert reader.position is not None and reader.position >= 155
        assert (
            topic.calls <= 162 * 0.05 * 1000 / store_polls.MIN_CALL_GAP_MS + 1
        )

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def run_with_gap(gap_ms, check):
    """Follow a topic with a new record each 16 ms, for 3 s."""

    async def main():
        topic = BurstTopic(0.016)
        reader = make_feed(
            "endpoints",
            typing.cast(typing.Any, topic),
            make_outages(clocks.TrioClock()),
            get_poll_wait=lambda: 1_100.0,
            get_call_gap=lambda: gap_ms,
        )
        async with trio.open_nursery() as nursery:
            await reader.start(nursery)
            await trio.sleep(3.0)
            await check(reader, topic)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_poll_after_a_long_gap_ends_as_after_a_short_one():
    """A store that is lost in the gap would be noticed later."""

    async def check(reader, topic):
        assert topic.calls <= 6
        assert topic.waits_ms[1:] == [700.0] * (topic.calls - 1)
        # The report of a delegate is overdue when its next call is.
        now_ms = reader.clock.boot_ms()
        assert reader.due_ms - now_ms >= 700.0 - 1e-6
        assert reader.due_ms - now_ms <= 1_300.0

    run_with_gap(600.0, check)


def test_gap_ends_when_others_know_of_unread_records():
    """Its clients would read the store, as it can attest nothing."""

    async def check(reader, topic):
        calls = topic.calls
        reader.notify_position(reader.position + 1, served=False)
        await trio.sleep(0.02)
        assert topic.calls == calls + 1
        assert reader.get_attestation() is not None

    run_with_gap(2_000.0, check)


def test_gap_ends_when_another_feed_finds_a_restored_store():
    """Endpoints that the backup lacks were kept for longer."""

    async def check(reader, topic):
        calls = topic.calls
        reader.end_gap()
        await trio.sleep(0.02)
        assert topic.calls == calls + 1

    run_with_gap(2_000.0, check)


def test_client_that_was_busy_takes_what_has_arrived_before_it_calls():
    """All clients that had no processor for some seconds called the store."""

    async def main():
        topic: typing.Any = FakeTopic()
        reader = make_feed("keys", topic, make_outages(clocks.TrioClock()))
        reader.has_delegate = lambda: True
        calls: list[call_causes.Cause] = []
        reader.count_call = calls.append

        async def confirm():
            while True:
                await trio.sleep(0.4)
                now_ms = reader.clock.boot_ms()
                reader.confirm(
                    attestation.Attestation(
                        reader.position, now_ms, now_ms + 1_000.0
                    )
                )

        async with trio.open_nursery() as nursery:
            await reader.start(nursery)
            nursery.start_soon(confirm)
            for _ in range(20):
                await trio.sleep(1.0)
                clock.jump(8.0)
            nursery.cancel_scope.cancel()
        assert calls == [call_causes.Cause.START]

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)


def test_last_record_is_passed_on_when_the_topic_is_no_longer_needed():
    """Guards against clients that learn seconds late of a roll-out's end.

    Once the delegate has read the final status, it no longer needs the topic.
    """
    outages = make_outages(typing.cast(typing.Any, clock_module.ManualClock()))
    reader = make_feed(
        "statuses", typing.cast(typing.Any, FakeTopic()), outages
    )
    applied: list[keyed_log.Record] = []
    pushed = []
    reader.apply = applied.append
    reader.is_needed = lambda: not applied
    reader.push_updates = lambda: pushed.append(reader.get_attestation())
    reader.position = 4
    reader._delegating = True
    change = change_log.Change(4, "desk", b"completed")
    assert reader.apply_changes(4, 5, (change,))
    (attested,) = pushed
    assert attested.position == 5
    assert reader.list_since(4) == [change]


def test_lost_delegate_is_replaced_when_the_feed_is_told():
    """A feed asked to read for others would wait for its own delegate."""

    async def main():
        topic = FakeTopic()
        reader = make_feed(
            "keys",
            typing.cast(typing.Any, topic),
            make_outages(clocks.TrioClock()),
        )
        delegated = True
        reader.has_delegate = lambda: delegated
        reader.compute_delegate_left_ms = lambda: float("inf")
        async with trio.open_nursery() as nursery:
            await reader.start(nursery)
            await trio.sleep(0.05)
            delegated = False
            reader.check_delegate()
            await trio.sleep(0.01)
            assert reader.due_ms > reader.clock.boot_ms()
            assert not reader._delegating
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@attrs.define
class SlowTopic:
    """A topic whose calls return ``records`` as of ``latency_s`` before."""

    records: list[keyed_log.Record] = attrs.field(factory=list)
    latency_s: float = 0.0

    async def read_newest(self) -> keyed_log.Batch:
        """Return all records present when the call arrives."""
        found, end = list(self.records), len(self.records)
        await trio.sleep(self.latency_s)
        return keyed_log.Batch(found, end)

    async def read(
        self, start: int, wait_ms: float, listing_bytes: float = 0.0
    ) -> keyed_log.Batch:
        """Return records present when the call arrives, after the wait."""
        found, end = self.records[start:], len(self.records)
        await trio.sleep(max(self.latency_s, wait_ms / 1000))
        return keyed_log.Batch(found, max(start, end))


def make_record(offset, value):
    return keyed_log.Record("desk", value, offset)


def test_changes_are_applied_while_a_call_gets_no_answer():
    """Guards against requests to an endpoint whose removal was received.

    The delegate's change has to be applied while a call to the store is
    pending, and the late, older answer must not undo it.
    """
    applied: list[tuple[int, bytes | None]] = []

    async def main():
        topic = SlowTopic([make_record(0, b"a")])
        outages = make_outages(clocks.TrioClock())
        reader = make_feed(
            "endpoints", typing.cast(typing.Any, topic), outages
        )
        reader.apply = lambda each: applied.append((each.offset, each.value))
        async with trio.open_nursery() as nursery:
            await reader.start(nursery)
            await trio.sleep(0.1)
            topic.records.append(make_record(1, b"b"))
            topic.latency_s = 5.0
            await trio.sleep(store_polls.MAX_POLL_MS / 1000 + 1.0)
            change = change_log.Change(2, "desk", None)
            assert reader.apply_changes(1, 3, (change,))
            assert applied[-1] == (2, None)
            await trio.sleep(6.0)
            assert reader.position == 3
            assert applied == [(2, None)]
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def send_none_of_more() -> keyed_log.Batch:
    """Say that records exist, and send none."""
    return keyed_log.Batch([], 0, complete=False)


async def lose_history() -> keyed_log.Batch:
    """Say that the records have expired."""
    raise keyed_log.HistoryLost()


async def end_early() -> keyed_log.Batch:
    """End a poll at once without a record."""
    return keyed_log.Batch([], 0)


@params(send_none_of_more, lose_history, end_early)
def test_store_that_answers_at_once_without_records_gets_few_calls(answer):
    """Guards against 2,000 calls in a second to a faulty store."""
    calls = 0

    class FaultyTopic(FakeTopic):
        """A topic whose calls end after 1 ms without a record."""

        async def read_newest(self) -> keyed_log.Batch:
            nonlocal calls
            calls += 1
            await trio.sleep(0.001)
            return keyed_log.Batch([], 0)

        async def read(
            self, start: int, wait_ms: float, listing_bytes: float = 0.0
        ) -> keyed_log.Batch:
            nonlocal calls
            calls += 1
            await trio.sleep(0.001)
            return await answer()

    async def main():
        outages = make_outages(clocks.TrioClock())
        reader = make_feed("keys", FaultyTopic(), outages)
        with trio.move_on_after(2.0):
            async with trio.open_nursery() as nursery:
                await reader.start(nursery)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    most = 2_000.0 / store_polls.MIN_CALL_GAP_MS + feed.MAX_QUICK_CALLS + 1
    assert 5 < calls <= most, calls
