"""Takes proofs of what the store holds from entry VMs that read it.

An entry VM that asks knows when it sent its question. The answer was written
after that, and says how long before its writing nothing newer was in the
store. So a proof is as of the question's sending less the age told, with no
clock in common: an answer that is late, or an entry VM that stood still
meanwhile, only makes it older.

What is proved is that nothing followed a position of the log. Whoever is at
that position takes the proof; whoever is behind it reads the store at once.
"""

import collections
import secrets
import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.decisions import delegates
from carawayward.decisions import store_polls
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import freshness_messages
from carawayward.forwarding import hints as hints_module
from carawayward import supervision

# Two questions in a row without an answer: one lost datagram makes nobody read
# for itself, and a reader that has gone is noticed within a second.
DELEGATE_TIMEOUT_MS = 2.5 * store_polls.QUERY_MS
# Questions that may still be answered; more than fit into DELEGATE_TIMEOUT_MS.
MAX_PENDING_QUERIES = 8


Entries = tuple[freshness_messages.Entry, ...]
Listing = typing.Callable[[int], typing.Iterable[freshness_messages.Entry]]


@attrs.frozen
class Topic:
    """A topic of the store whose proofs are exchanged.

    ``describe`` gives the position up to which all was read, and the boot
    time in ms at which nothing followed; None if that is not known here.
    ``take`` gets the same of another entry VM's. Topics whose records are
    short have them told: ``list_since`` gives those kept from a place on, and
    ``apply_entries`` gets the first of those that follow the own place.
    """

    describe: typing.Callable[[], tuple[int, float] | None]
    take: typing.Callable[[int, float], None]
    list_since: Listing | None = None
    apply_entries: typing.Callable[[Entries], None] | None = None


@attrs.frozen
class PendingQuery:
    """A question that may still be answered, on the boot clock in ms."""

    peer: str
    sent_ms: float
    positions: typing.Mapping[str, int] = attrs.field(factory=dict)


@attrs.define(eq=False)
class FreshnessController:
    """Asks a reader for proofs, and answers those who ask.

    ``answered_ms`` is when the last question was sent of which the answer told
    of a topic, by the topic's name.
    """

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    hints: hints_module.HintsController
    topics: dict[str, Topic] = attrs.field(factory=dict)
    pending: collections.OrderedDict[int, PendingQuery] = attrs.field(
        factory=collections.OrderedDict
    )
    clients: dict[str, freshness_messages.Query] = attrs.field(factory=dict)
    answered_ms: dict[str, float] = attrs.field(factory=dict)
    delegate: str = ""
    _number: int = attrs.field(factory=lambda: secrets.randbits(32))

    def __attrs_post_init__(self) -> None:
        self.hints.add_handler(freshness_messages.QUERY, self._on_query)
        self.hints.add_handler(freshness_messages.REPORT, self._on_report)

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to ask."""
        nursery.start_soon(supervision.keep_running, self._query_forever, ())

    async def close(self) -> None:
        """Nothing to release; the nursery ends the task."""

    def add_topic(self, name: str, topic: Topic) -> None:
        """Exchange proofs of a topic."""
        self.topics[name] = topic

    def has_delegate(self, name: str) -> bool:
        """Whether another entry VM reads a topic for this one just now.

        A reader that tells of one topic may be behind on another: it has heard
        of news that it cannot read.
        """
        answered_ms = self.answered_ms.get(name, board_module.NEVER)
        return self.clock.boot_ms() - answered_ms < DELEGATE_TIMEOUT_MS

    def push_updates(self) -> None:
        """A topic has grown; tell those who rely on this entry VM."""
        for name, ask in list(self.clients.items()):
            self._send_report(name, ask)

    async def _query_forever(self) -> None:
        while True:
            self._choose_delegate()
            if self.delegate:
                self._query(self.delegate)
            await self.clock.sleep(store_polls.QUERY_MS)

    def _choose_delegate(self) -> None:
        own = self.board.name
        names = {own, *self.hints.list_near()}
        chosen = delegates.choose_delegate(own, names)
        reader = "" if chosen == own else chosen
        if reader == self.delegate:
            return
        self.delegate = reader
        self.answered_ms.clear()
        events.log_event(events.Event.DELEGATE_CHOSEN, reader=reader or own)

    def _query(self, reader: str) -> None:
        self._number += 1
        now_ms = self.clock.boot_ms()
        positions = {
            name: known[0]
            for name, topic in self.topics.items()
            if topic.list_since and (known := topic.describe()) is not None
        }
        self.pending[self._number] = PendingQuery(reader, now_ms, positions)
        while len(self.pending) > MAX_PENDING_QUERIES:
            self.pending.popitem(last=False)
        ask = freshness_messages.Query(self._number, positions)
        self.hints.send(reader, ask.to_bytes())

    def _on_query(self, peer: str, fields: list) -> None:
        ask = freshness_messages.Query.from_fields(fields)
        self.clients[peer] = ask
        self._send_report(peer, ask)

    def _send_report(self, peer: str, ask: freshness_messages.Query) -> None:
        """Tell a peer what is known here; nothing where that is doubtful."""
        now_ms = self.clock.boot_ms()
        told = {}
        for name, topic in self.topics.items():
            known = topic.describe()
            if known is not None:
                position, as_of_ms = known
                age_ms = max(0.0, now_ms - as_of_ms)
                entries = self._list_entries(topic, ask.positions.get(name))
                told[name] = freshness_messages.TopicReport(
                    position, age_ms, entries
                )
        if told:
            proof = freshness_messages.FreshnessReport(ask.number, told)
            self.hints.send(peer, proof.to_bytes())

    def _list_entries(self, topic: Topic, start: int | None) -> Entries:
        if topic.list_since is None or start is None:
            return ()
        return freshness_messages.choose_first(topic.list_since(start))

    def _on_report(self, peer: str, fields: list) -> None:
        proof = freshness_messages.FreshnessReport.from_fields(fields)
        asked = self.pending.get(proof.number)
        if asked is None or asked.peer != peer or peer != self.delegate:
            return
        behind = False
        for name, told in proof.topics.items():
            topic = self.topics.get(name)
            if topic is not None:
                answered_ms = self.answered_ms.get(name, asked.sent_ms)
                self.answered_ms[name] = max(answered_ms, asked.sent_ms)
                behind |= self._merge_topic(name, topic, told, asked)
        if behind:
            self._query(peer)

    def _merge_topic(
        self,
        name: str,
        topic: Topic,
        told: freshness_messages.TopicReport,
        asked: PendingQuery,
    ) -> bool:
        """Take what is told of a topic; whether more of it is to be told."""
        if self._take_entries(topic, told, asked.positions.get(name)):
            return True
        topic.take(told.position, asked.sent_ms - told.age_ms)
        return False

    def _take_entries(
        self,
        topic: Topic,
        told: freshness_messages.TopicReport,
        start: int | None,
    ) -> bool:
        """Take records from ``start`` on; whether more follow these.

        Only where they were of use: to ask again for records that cannot be
        taken just now would bring them again at once, and without end.
        """
        known = topic.describe()
        if topic.apply_entries is None or known is None or start is None:
            return False
        # News is told again until the next question, so that some of the
        # first records may have been taken already.
        topic.apply_entries(told.entries[max(0, known[0] - start) :])
        now = topic.describe()
        return now is not None and known[0] < now[0] < told.position
