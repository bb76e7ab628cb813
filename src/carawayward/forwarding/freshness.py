"""Delegated reads: what one entry VM reads in the store serves its domain.

A client knows when it sent its query. The report was written after that, and
says how long before its writing nothing newer was in the store. So what it
attests is as of the query's sending less the age in the report, with no clock
in common: a report that is late, or a delegate that stood still meanwhile,
only makes it older. The report also says when the delegate's next call ends;
a delegate that has lost the store goes on to report, and shows it by that.

What is attested is that nothing followed a position of the log. A client at
that position is up to date; one behind it gets the changes with the report,
or in chunks where a record is longer than a datagram, or reads the store.
"""

import collections
import functools
import secrets
import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.decisions import delegates
from carawayward.decisions import store_polls
from carawayward import events
from carawayward.forwarding import attestation
from carawayward.forwarding import board as board_module
from carawayward.forwarding import change_log
from carawayward.forwarding import freshness_messages
from carawayward.forwarding import load_reports
from carawayward import supervision

# Two queries in a row without an answer: after one lost datagram nobody reads
# for itself, and a delegate that has gone is noticed within a second.
DELEGATE_TIMEOUT_MS = 2.5 * store_polls.QUERY_MS
# Queries that may still be answered; more than fit into the timeout.
MAX_PENDING_QUERIES = 12
# Who has queried within this time counts as a client.
CLIENT_TTL_MS = 3.0 * store_polls.QUERY_MS
# A client that is behind waits so long for the answer to a query for what
# follows before it sends another.
CATCH_UP_PAUSE_MS = 50.0
# Datagrams of one update to a client; what follows it queries for.
MAX_REPORTS_PER_UPDATE = 8
# Long records of which chunks are kept until the others have come.
MAX_ASSEMBLIES = 4


class Followed(typing.Protocol):
    """A topic whose reads are delegated; times in ms on the boot clock."""

    def describe(self) -> attestation.Attestation | None:
        """What is known of the topic; None if unsure."""

    def get_position(self) -> int | None:
        """The position read; None where nothing was."""

    def list_since(self, start: int) -> list[change_log.Change] | None:
        """Changes from a position on; None if some are not known."""

    def apply_changes(
        self,
        start: int,
        reach: int,
        changed: typing.Sequence[change_log.Change],
    ) -> bool:
        """Take what leads from ``start`` to ``reach``; whether it did."""

    def confirm(self, attested: attestation.Attestation) -> None:
        """Take what another entry VM attests, on the clock of this one."""

    def announce(self, position: int, served: bool) -> None:
        """The topic goes up to ``position``; whether the rest will come."""


@attrs.frozen
class PendingQuery:
    """A query that may still be answered, on the boot clock in ms."""

    peer: str
    sent_ms: float


@attrs.frozen
class CatchUp:
    """The last query of a client that is behind, sent at ``position``."""

    number: int
    sent_ms: float
    position: int


@attrs.define
class Client:
    """An entry VM that reads through this one.

    ``positions`` are how far it was served, from its last query on.
    """

    number: int
    queried_ms: float
    positions: dict[str, int]


@attrs.define(eq=False)
class FreshnessController:
    """Queries a delegate, and answers its own clients.

    ``answered_ms`` is when the last query was sent whose answer reported on
    a topic, by the topic's name.
    """

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    reporter: load_reports.LoadReporter
    topics: dict[str, Followed] = attrs.field(factory=dict)
    pending: collections.OrderedDict[int, PendingQuery] = attrs.field(
        factory=collections.OrderedDict
    )
    clients: dict[str, Client] = attrs.field(factory=dict)
    answered_ms: dict[str, float] = attrs.field(factory=dict)
    choice: delegates.DelegateChoice = attrs.field(init=False)
    started_ms: float = board_module.NEVER
    catch_ups: dict[str, CatchUp] = attrs.field(factory=dict)
    assemblies: collections.OrderedDict[
        tuple[str, int, int], dict[int, bytes]
    ] = attrs.field(factory=collections.OrderedDict)
    _number: int = attrs.field(factory=lambda: secrets.randbits(32))

    def __attrs_post_init__(self) -> None:
        self.choice = delegates.DelegateChoice(self.board.name)
        for kind, handler in (
            (freshness_messages.QUERY, self._on_query),
            (freshness_messages.REPORT, self._on_report),
            (freshness_messages.CHUNK, self._on_chunk),
        ):
            self.reporter.add_handler(kind, handler)

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to query."""
        self.started_ms = self.clock.boot_ms()
        nursery.start_soon(
            supervision.run_with_restarts, self._query_forever, ()
        )

    async def close(self) -> None:
        """Nothing to release; the nursery ends the task."""

    def add_topic(self, name: str, topic: Followed) -> None:
        """Delegate the reads of a topic."""
        self.topics[name] = topic

    def has_delegate(self, name: str) -> bool:
        """Whether another entry VM reads a topic for this one just now.

        A delegate may report on one topic and be behind on another. Whoever
        has clients reads for itself: two that query each other would both
        wait for what neither reads.
        """
        answered_ms = self.answered_ms.get(name, board_module.NEVER)
        if self.choice.delegate != self.board.name:
            # At its start an entry VM has just listed all topics, and its
            # delegate is about to answer.
            answered_ms = max(answered_ms, self.started_ms)
        if self.clock.boot_ms() - answered_ms >= DELEGATE_TIMEOUT_MS:
            return False
        return not self.list_clients()

    def list_clients(self) -> dict[str, Client]:
        """Entry VMs that read through this one just now."""
        oldest_ms = self.clock.boot_ms() - CLIENT_TTL_MS
        for name, client in list(self.clients.items()):
            if client.queried_ms < oldest_ms:
                del self.clients[name]
        return self.clients

    def push_updates(self, name: str) -> None:
        """A topic has grown; send its changes to all clients."""
        position = self.topics[name].get_position()
        for peer, client in list(self.list_clients().items()):
            for _ in range(MAX_REPORTS_PER_UPDATE):
                before = client.positions.get(name)
                self._send_report(peer, client, (name,))
                if client.positions.get(name) in (before, position):
                    break

    async def _query_forever(self) -> None:
        # Peers that are not known yet cannot be chosen.
        with trio.move_on_after(DELEGATE_TIMEOUT_MS / 1000):
            await self.reporter.joined.wait()
        while True:
            self._query_delegates()
            await self.clock.sleep(store_polls.QUERY_MS)

    def _query_delegates(self) -> None:
        before = self.choice.delegate
        delegate = self.choice.choose(self.reporter.list_delegate_candidates())
        if delegate != before:
            events.log_event(events.Event.DELEGATE_CHOSEN, reader=delegate)
        for peer in self.choice.list_targets(self.clock.boot_ms()):
            self._query(peer)

    def _query(self, peer: str) -> None:
        self._number += 1
        self.pending[self._number] = PendingQuery(peer, self.clock.boot_ms())
        while len(self.pending) > MAX_PENDING_QUERIES:
            self.pending.popitem(last=False)
        positions = {
            name: position
            for name, topic in self.topics.items()
            if (position := topic.get_position()) is not None
        }
        query = freshness_messages.Query(self._number, positions)
        self.reporter.send(peer, query.to_bytes())

    def _on_query(self, peer: str, fields: list) -> None:
        query = freshness_messages.Query.from_fields(fields)
        client = Client(
            query.number, self.clock.boot_ms(), dict(query.positions)
        )
        self.clients[peer] = client
        self._send_report(peer, client, tuple(self.topics))

    def _send_report(
        self, peer: str, client: Client, names: typing.Iterable[str]
    ) -> None:
        """Report what is known here; nothing where that is doubtful."""
        reports = {}
        for name in names:
            known = self.topics[name].describe()
            if known is not None:
                reports[name] = self._make_report(peer, client, name, known)
        if reports:
            report = freshness_messages.FreshnessReport(client.number, reports)
            self.reporter.send(peer, report.to_bytes())

    def _make_report(
        self,
        peer: str,
        client: Client,
        name: str,
        known: attestation.Attestation,
    ) -> freshness_messages.TopicReport:
        """Report on a topic; a change too long for it goes out in chunks."""
        position, now_ms = known.position, self.clock.boot_ms()
        make = functools.partial(
            freshness_messages.TopicReport,
            position,
            max(0.0, now_ms - known.as_of_ms),
            known.due_ms - now_ms,
        )
        start = client.positions.get(name)
        if start is None or start >= position:
            return make(position, position)
        listed = self.topics[name].list_since(start)
        if listed is None:
            return make(start, start, served=False)
        chosen = freshness_messages.choose_first(listed)
        reach = position
        if len(chosen) < len(listed):
            reach = chosen[-1].offset + 1 if chosen else start
        if listed and not chosen:
            served = self._send_chunks(peer, client, name, start, listed[0])
            client.positions[name] = listed[0].offset + 1
            return make(start, start, served=served)
        client.positions[name] = reach
        return make(start, reach, chosen)

    def _send_chunks(
        self,
        peer: str,
        client: Client,
        name: str,
        start: int,
        change: change_log.Change,
    ) -> bool:
        chunks = freshness_messages.split_change(
            client.number, name, start, change
        )
        for chunk in chunks:
            self.reporter.send(peer, chunk.to_bytes())
        return bool(chunks)

    def _on_report(self, peer: str, fields: list) -> None:
        report = freshness_messages.FreshnessReport.from_fields(fields)
        query = self._find_query(report.number, peer)
        if query is None:
            return
        self.choice.record_answer(peer)
        for name, each in report.topics.items():
            topic = self.topics.get(name)
            if topic is not None:
                answered_ms = self.answered_ms.get(name, query.sent_ms)
                self.answered_ms[name] = max(answered_ms, query.sent_ms)
                self._merge_topic(name, each, report.number, query)

    def _find_query(self, number: int, peer: str) -> PendingQuery | None:
        """The query that a datagram answers; None if there is none."""
        query = self.pending.get(number)
        return query if query is not None and query.peer == peer else None

    def _merge_topic(
        self,
        name: str,
        report: freshness_messages.TopicReport,
        number: int,
        query: PendingQuery,
    ) -> None:
        """Take a report; catch up where it is ahead of what is known here."""
        topic = self.topics[name]
        before = topic.get_position()
        if before is None:
            return
        if report.reach > before:
            topic.apply_changes(report.start, report.reach, report.changes)
        after = topic.get_position()
        if after is not None and after < report.position:
            topic.announce(report.position, report.served)
            self._catch_up(
                name, query.peer, number, after, report.start > before
            )
            return
        topic.confirm(
            attestation.Attestation(
                report.position,
                query.sent_ms - report.age_ms,
                query.sent_ms + report.due_in_ms,
            )
        )

    def _catch_up(
        self, name: str, peer: str, answered: int, position: int, gap: bool
    ) -> None:
        """Query for changes that follow, or after a gap for those lost.

        One query at a time, and only after progress: a client that cannot
        take changes just now would get them again and again.
        """
        now_ms = self.clock.boot_ms()
        last = self.catch_ups.get(name)
        if last is not None:
            waited = now_ms - last.sent_ms >= CATCH_UP_PAUSE_MS
            if last.number != answered and not waited:
                return
            if position <= last.position and not (gap and waited):
                return
        self._query(peer)
        self.catch_ups[name] = CatchUp(self._number, now_ms, position)

    def _on_chunk(self, peer: str, fields: list) -> None:
        chunk = freshness_messages.Chunk.from_fields(fields)
        topic = self.topics.get(chunk.topic)
        if topic is None or self._find_query(chunk.number, peer) is None:
            return
        position = topic.get_position()
        if position is None or position > chunk.offset:
            return
        key = (chunk.topic, chunk.offset, chunk.count)
        parts = self.assemblies.setdefault(key, {})
        parts[chunk.index] = chunk.data
        if len(parts) < chunk.count:
            while len(self.assemblies) > MAX_ASSEMBLIES:
                self.assemblies.popitem(last=False)
            return
        del self.assemblies[key]
        value = freshness_messages.join_chunks(
            [parts[index] for index in range(chunk.count)]
        )
        change = change_log.Change(chunk.offset, chunk.key, value)
        if topic.apply_changes(chunk.start, chunk.offset + 1, (change,)):
            # The report that came with the chunks is of the place before.
            self._query(peer)
