"""Delegates whose clients are sent changes longer than a datagram."""

import functools
import random
import typing

import attrs
import trio
import trio.testing

from carawayward.decisions import delegates
from carawayward.forwarding import board as board_module
from carawayward.forwarding import feed
from carawayward.forwarding import freshness
from carawayward.forwarding import keyed_log
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import store_outages
from tests.common import clocks

NAMES = tuple(f"vm-{number}" for number in range(19))
DELEGATE = delegates.choose_delegate(NAMES[0], NAMES)
# The delegate of those that have lost the former.
SUBSTITUTE = delegates.choose_delegate(NAMES[0], set(NAMES) - {DELEGATE})
TOPIC = "declarations"
DELAY_S = 0.001
# The rate of each entry VM's link, and what waits there before it is dropped.
LINK_BYTES_PER_S = 5 * 125_000
LINK_QUEUE_BYTES = 64_000
# Compresses to about a third of its length.
VALUE = random.Random(3).randbytes(20_000).hex().encode()
CHANGED_S = 6.0
APPLY_S = 3.0
# A client sends three queries in this time, the last at the change.
THREE_QUERIES_S = 1.1
# What a client that reads the store waits for the whole record.
STORE_ANSWER_S = 5.0


@attrs.define
class OneKeyTopic:
    """A topic whose only key gets a long value at ``CHANGED_S``."""

    answer_s: float
    own_reads: int = 0

    async def read_newest(self):
        """List the short first value."""
        return keyed_log.Batch([keyed_log.Record("config", b"x", 0)], 1)

    async def read(self, start, wait_ms, listing_bytes):
        """Wait for the change, and for its bytes."""
        until_s = trio.current_time() + wait_ms / 1000
        if start > 1 or until_s < CHANGED_S:
            await trio.sleep_until(until_s)
            return keyed_log.Batch([], start)
        await trio.sleep_until(max(CHANGED_S, trio.current_time()))
        self.own_reads += 1
        await trio.sleep(self.answer_s)
        return keyed_log.Batch([keyed_log.Record("config", VALUE, 1)], 2)


@attrs.define
class LinkedReporter:
    """Delivers datagrams through a link that drops what it cannot queue."""

    name: str
    others: dict[str, "LinkedReporter"]
    nursery: trio.Nursery
    sent_bytes: int = 0
    dropped: int = 0
    busy_until_s: float = 0.0
    loss: float = 0.0
    losing: int = 0
    draw: random.Random = attrs.field(factory=lambda: random.Random(1))
    handlers: dict = attrs.field(factory=dict)
    joined: trio.Event = attrs.field(factory=trio.Event)

    def list_delegate_candidates(self):
        """List all other entry VMs."""
        return [name for name in NAMES if name != self.name]

    def add_handler(self, kind, handler):
        """Handle datagrams of a kind."""
        self.handlers[kind] = handler

    def send(self, name, data):
        """Send a datagram if the queue has room for it."""
        start_s = max(trio.current_time(), self.busy_until_s)
        queued = (start_s - trio.current_time()) * LINK_BYTES_PER_S
        lost = self.losing > 0 or self.draw.random() < self.loss
        self.losing -= self.losing > 0
        if queued + len(data) > LINK_QUEUE_BYTES or lost:
            self.dropped += 1
            return
        self.sent_bytes += len(data)
        self.busy_until_s = start_s + len(data) / LINK_BYTES_PER_S
        arrival_s = self.busy_until_s + DELAY_S
        self.nursery.start_soon(self._deliver, name, data, arrival_s)

    async def _deliver(self, name, data, arrival_s):
        await trio.sleep_until(arrival_s)
        fields = load_report_messages.decode(data)
        handler = self.others[name].handlers.get(fields[0])
        if handler is not None:
            handler(self.name, fields)


@attrs.define
class Domain:
    """The entry VMs of a failure domain, by name."""

    reporters: dict[str, LinkedReporter] = attrs.field(factory=dict)
    topics: dict[str, OneKeyTopic] = attrs.field(factory=dict)
    applied_s: dict[str, float] = attrs.field(factory=dict)

    def apply(self, name: str, record: keyed_log.Record) -> None:
        """Note when an entry VM applies the change."""
        if record.value == VALUE:
            self.applied_s.setdefault(name, trio.current_time())

    async def start(self, nursery: trio.Nursery, loss: float) -> None:
        """Start the feed and the freshness controller of each entry VM."""
        clock = clocks.TrioClock()
        for name in NAMES:
            self.reporters[name] = LinkedReporter(
                name, self.reporters, nursery, loss=loss
            )
            answer_s = 0.2 if name == DELEGATE else STORE_ANSWER_S
            self.topics[name] = OneKeyTopic(answer_s)
        for name, reporter in self.reporters.items():
            reporter.joined.set()
            controller = freshness.FreshnessController(
                board_module.ForwardingBoard(name=name, failure_domain="a"),
                clock,
                typing.cast(typing.Any, reporter),
            )
            followed = feed.TopicFeed(
                TOPIC,
                typing.cast(typing.Any, self.topics[name]),
                clock,
                store_outages.OutageTracker(clock),
                lambda records: None,
                functools.partial(self.apply, name),
                has_delegate=functools.partial(controller.has_delegate, TOPIC),
                push_updates=functools.partial(controller.push_updates, TOPIC),
                get_max_age=lambda: 10_000.0,
            )
            controller.add_topic(TOPIC, followed)
            await followed.start(nursery)
            await controller.start(nursery)


def play(loss: float = 0.0, losing: dict[str, int] | None = None) -> Domain:
    """Play the change; return the domain as it is at the end.

    The entry VMs in ``losing`` lose that many datagrams that they send, one
    after the other, from shortly before the change on.
    """
    domain = Domain()

    async def main():
        async with trio.open_nursery() as nursery:
            await domain.start(nursery, loss)
            await trio.sleep_until(CHANGED_S - THREE_QUERIES_S)
            for name, count in (losing or {}).items():
                domain.reporters[name].losing = count
            await trio.sleep_until(CHANGED_S + APPLY_S)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return domain


def test_clients_on_slow_links_get_a_long_change_in_time():
    """Guards against chunks that are all sent again until none gets through.

    The clients' own reads would take longer than the bound.
    """
    domain = play()
    assert set(domain.applied_s) == set(NAMES)
    assert sum(topic.own_reads for topic in domain.topics.values()) == 1


def test_lost_chunks_alone_are_sent_again():
    """Guards against a delegate whose link is full of chunks sent again."""
    domain = play(loss=0.05)
    assert set(domain.applied_s) == set(NAMES)
    useful = (len(NAMES) - 1) * len(VALUE) / 2
    assert domain.reporters[DELEGATE].sent_bytes <= 1.5 * useful


def test_client_that_lost_queries_in_a_row_gets_a_change_in_time():
    """Guards against a lost probe that keeps a client from its delegate.

    It has taken the delegate for failed shortly before the change. It is the
    next in line, and so reads the store itself, later than the bound.
    """
    domain = play(losing={SUBSTITUTE: delegates.MAX_UNANSWERED + 1})
    assert set(domain.applied_s) == set(NAMES)
