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
from carawayward.decisions import readers
from carawayward.decisions import store_polls
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import hints as hints_module
from carawayward.forwarding import proof_messages
from carawayward import supervision

# Two questions in a row without an answer: one lost datagram makes nobody read
# for itself, and a reader that has gone is noticed within a second.
SILENT_MS = 2.5 * store_polls.ASK_MS
# Questions that may still be answered; more than fit into SILENT_MS.
ASKS_KEPT = 8


Entries = tuple[proof_messages.Entry, ...]
Listing = typing.Callable[[int], typing.Iterable[proof_messages.Entry]]


@attrs.frozen
class Topic:
    """A topic of the store whose proofs are exchanged.

    ``describe`` gives the position up to which all was read, and the boot
    time in ms at which nothing followed; None if that is not known here.
    ``take`` gets the same of another entry VM's. Topics whose records are
    short have them told: ``list_since`` gives those kept from a place on, and
    ``take_entries`` gets the first of those that follow the own place.
    """

    describe: typing.Callable[[], tuple[int, float] | None]
    take: typing.Callable[[int, float], None]
    list_since: Listing | None = None
    take_entries: typing.Callable[[Entries], None] | None = None


@attrs.frozen
class Asked:
    """A question that may still be answered, on the boot clock in ms."""

    peer: str
    sent_ms: float
    positions: typing.Mapping[str, int] = attrs.field(factory=dict)


@attrs.define(eq=False)
class ProofsController:
    """Asks a reader for proofs, and answers those who ask.

    ``answered_ms`` is when the last question was sent of which the answer told
    of a topic, by the topic's name.
    """

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    hints: hints_module.HintsController
    topics: dict[str, Topic] = attrs.field(factory=dict)
    asked: collections.OrderedDict[int, Asked] = attrs.field(
        factory=collections.OrderedDict
    )
    askers: dict[str, proof_messages.Ask] = attrs.field(factory=dict)
    answered_ms: dict[str, float] = attrs.field(factory=dict)
    reader: str = ""
    _number: int = attrs.field(factory=lambda: secrets.randbits(32))

    def __attrs_post_init__(self) -> None:
        self.hints.add_handler(proof_messages.ASK, self._take_ask)
        self.hints.add_handler(proof_messages.PROOF, self._take_proof)

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to ask."""
        nursery.start_soon(supervision.keep_running, self._ask_forever, ())

    async def close(self) -> None:
        """Nothing to release; the nursery ends the task."""

    def add_topic(self, name: str, topic: Topic) -> None:
        """Exchange proofs of a topic."""
        self.topics[name] = topic

    def relies(self, name: str) -> bool:
        """Whether another entry VM reads a topic for this one just now.

        A reader that tells of one topic may be behind on another: it has heard
        of news that it cannot read.
        """
        answered_ms = self.answered_ms.get(name, board_module.NEVER)
        return self.clock.boot_ms() - answered_ms < SILENT_MS

    def tell_news(self) -> None:
        """A topic has grown; tell those who rely on this entry VM."""
        for name, ask in list(self.askers.items()):
            self._answer(name, ask)

    async def _ask_forever(self) -> None:
        while True:
            self._choose_reader()
            if self.reader:
                self._ask(self.reader)
            await self.clock.sleep(store_polls.ASK_MS)

    def _choose_reader(self) -> None:
        own = self.board.name
        names = {own, *self.hints.list_near()}
        chosen = readers.choose_reader(own, names)
        reader = "" if chosen == own else chosen
        if reader == self.reader:
            return
        self.reader = reader
        self.answered_ms.clear()
        events.log_event(events.Event.READER_CHOSEN, reader=reader or own)

    def _ask(self, reader: str) -> None:
        self._number += 1
        now_ms = self.clock.boot_ms()
        positions = {
            name: known[0]
            for name, topic in self.topics.items()
            if topic.list_since and (known := topic.describe()) is not None
        }
        self.asked[self._number] = Asked(reader, now_ms, positions)
        while len(self.asked) > ASKS_KEPT:
            self.asked.popitem(last=False)
        ask = proof_messages.Ask(self._number, positions)
        self.hints.send(reader, ask.to_bytes())

    def _take_ask(self, peer: str, fields: list) -> None:
        ask = proof_messages.Ask.from_fields(fields)
        self.askers[peer] = ask
        self._answer(peer, ask)

    def _answer(self, peer: str, ask: proof_messages.Ask) -> None:
        """Tell a peer what is known here; nothing where that is doubtful."""
        now_ms = self.clock.boot_ms()
        told = {}
        for name, topic in self.topics.items():
            known = topic.describe()
            if known is not None:
                position, as_of_ms = known
                age_ms = max(0.0, now_ms - as_of_ms)
                entries = self._list_entries(topic, ask.positions.get(name))
                told[name] = proof_messages.Told(position, age_ms, entries)
        if told:
            proof = proof_messages.Proof(ask.number, told)
            self.hints.send(peer, proof.to_bytes())

    def _list_entries(self, topic: Topic, start: int | None) -> Entries:
        if topic.list_since is None or start is None:
            return ()
        return proof_messages.choose_first(topic.list_since(start))

    def _take_proof(self, peer: str, fields: list) -> None:
        proof = proof_messages.Proof.from_fields(fields)
        asked = self.asked.get(proof.number)
        if asked is None or asked.peer != peer or peer != self.reader:
            return
        behind = False
        for name, told in proof.topics.items():
            topic = self.topics.get(name)
            if topic is not None:
                answered_ms = self.answered_ms.get(name, asked.sent_ms)
                self.answered_ms[name] = max(answered_ms, asked.sent_ms)
                behind |= self._take_told(name, topic, told, asked)
        if behind:
            self._ask(peer)

    def _take_told(
        self,
        name: str,
        topic: Topic,
        told: proof_messages.Told,
        asked: Asked,
    ) -> bool:
        """Take what is told of a topic; whether more of it is to be told."""
        if self._take_entries(topic, told, asked.positions.get(name)):
            return True
        topic.take(told.position, asked.sent_ms - told.age_ms)
        return False

    def _take_entries(
        self, topic: Topic, told: proof_messages.Told, start: int | None
    ) -> bool:
        """Take records from ``start`` on; whether more follow these.

        Only where they were of use: to ask again for records that cannot be
        taken just now would bring them again at once, and without end.
        """
        known = topic.describe()
        if topic.take_entries is None or known is None or start is None:
            return False
        # News is told again until the next question, so that some of the
        # first records may have been taken already.
        topic.take_entries(told.entries[max(0, known[0] - start) :])
        now = topic.describe()
        return now is not None and known[0] < now[0] < told.position
