"""Delegated reads: one entry VM reads the store for its failure domain.

A client knows when it sent its query. The delegate writes its report after
that, and the report contains how old its information was at that time. The
attestation therefore holds as of the time the query was sent, minus the age in
the report. No common clock is needed: if the report is delayed or the delegate
is suspended meanwhile, the attestation only appears older than it is. The
report also contains when the delegate's current call to the store ends; a
delegate that has lost the store goes on sending reports, and is recognized by
that time.

An attestation says that the log has no records from a position on. A client at
that position is up to date. A client behind it receives the changes with the
report, or in chunks if a record is longer than a datagram, or reads the store.
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
from carawayward.forwarding import chunk_transfer
from carawayward.forwarding import freshness_messages
from carawayward.forwarding import load_reports
from carawayward.forwarding import wide_links as wide_links_module
from carawayward import supervision

# Two consecutive queries without an answer. A single lost datagram does not
# make clients read the store, and the loss of a delegate is noticed within a
# second.
DELEGATE_TIMEOUT_MS = 2.5 * store_polls.QUERY_MS
# Number of queries kept for their answers; more than are sent within the
# timeout.
MAX_PENDING_QUERIES = 64
# An entry VM that has sent a query within this time counts as a client.
CLIENT_TTL_MS = 3.0 * store_polls.QUERY_MS
# How long a client that is behind waits for the answer to a query for further
# changes before it sends another.
CATCH_UP_RETRY_MS = 50.0
# Datagrams per update pushed to a client; the client queries for the rest.
MAX_REPORTS_PER_UPDATE = 8


class DelegatedTopic(typing.Protocol):
    """A topic whose reads are delegated; times in ms on the boot clock."""

    def get_attestation(self) -> attestation.Attestation | None:
        """Return what is known of the topic; None if it is not certain."""

    def get_position(self) -> int | None:
        """Return the position read up to; None before the first read."""

    def list_since(self, start: int) -> list[change_log.Change] | None:
        """List changes from a position on; None if some are not known."""

    def apply_changes(
        self,
        start: int,
        end: int,
        changed: typing.Sequence[change_log.Change],
    ) -> bool:
        """Apply changes from ``start`` to ``end``; return whether it did."""

    def confirm(self, attested: attestation.Attestation) -> None:
        """Accept another entry VM's attestation.

        Its times have been converted to this entry VM's boot clock.
        """

    def notify_position(self, position: int, served: bool) -> None:
        """Record that the topic extends to ``position``.

        ``served`` says whether the delegate will send the missing records.
        """

    def notify_progress(self) -> None:
        """Record that a part of the missing records has arrived."""


@attrs.frozen
class PendingQuery:
    """A query that may still be answered; in ms on the boot clock."""

    peer: str
    sent_ms: float


@attrs.frozen
class CatchUpQuery:
    """The last query for further changes, sent when at ``position``."""

    number: int
    sent_ms: float
    position: int


@attrs.define
class Client:
    """An entry VM for which this one reads the store.

    ``number`` is that of its last query. ``positions`` are how far it has
    been sent changes since then, by topic.
    """

    number: int
    queried_ms: float
    positions: dict[str, int]


@attrs.define(eq=False)
class FreshnessController:
    """Queries a delegate and answers the queries of its own clients.

    ``answered_ms`` is, by topic, when the last query was sent whose answer
    contained a report on the topic. ``on_new_client`` is called when an
    entry VM becomes a client. ``fetching`` is set while a change is being
    fetched in chunks.
    """

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    reporter: load_reports.LoadReporter
    topics: dict[str, DelegatedTopic] = attrs.field(factory=dict)
    pending_queries: collections.OrderedDict[int, PendingQuery] = attrs.field(
        factory=collections.OrderedDict
    )
    clients: dict[str, Client] = attrs.field(factory=dict)
    answered_ms: dict[str, float] = attrs.field(factory=dict)
    choice: delegates.DelegateChoice = attrs.field(init=False)
    wide_links: wide_links_module.WideLinks = attrs.field(init=False)
    started_ms: float = board_module.NEVER
    catch_up_queries: dict[str, CatchUpQuery] = attrs.field(factory=dict)
    fetcher: chunk_transfer.ChunkFetcher = attrs.field(
        factory=chunk_transfer.ChunkFetcher
    )
    fetching: trio.Event = attrs.field(factory=trio.Event)
    on_new_client: list[typing.Callable[[], None]] = attrs.field(factory=list)
    _last_number: int = attrs.field(factory=lambda: secrets.randbits(32))

    def __attrs_post_init__(self) -> None:
        self.choice = delegates.DelegateChoice(self.board.name)
        self.wide_links = wide_links_module.WideLinks(self.board)
        for kind, handler in (
            (freshness_messages.QUERY, self._on_query),
            (freshness_messages.REPORT, self._on_report),
            (freshness_messages.CHUNK, self._on_chunk),
            (freshness_messages.CHUNK_REQUEST, self._on_chunk_request),
        ):
            self.reporter.add_handler(kind, handler)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to query the delegate."""
        self.started_ms = self.clock.boot_ms()
        for task in (self._query_forever, self._retry_transfers):
            nursery.start_soon(supervision.run_with_restarts, task, ())

    async def close(self) -> None:
        """Nothing to release; the nursery ends the task."""

    def add_topic(self, name: str, topic: DelegatedTopic) -> None:
        """Delegate the reads of a topic."""
        self.topics[name] = topic

    def has_delegate(self, name: str) -> bool:
        """Whether another entry VM currently reads a topic for this one.

        A delegate may report on one topic and be behind on another. An entry
        VM that has clients reads for itself: two that query each other would
        both wait for records that neither of them reads.
        """
        left_ms = self.compute_delegate_left_ms(name)
        return left_ms > 0.0 and not self.list_clients()

    def compute_delegate_left_ms(self, name: str) -> float:
        """How long the last answer on a topic still holds, in ms."""
        answered_ms = self.answered_ms.get(name, board_module.NEVER)
        if self.choice.delegate != self.board.name:
            # At startup an entry VM has just listed all topics, and its
            # delegate is about to answer.
            answered_ms = max(answered_ms, self.started_ms)
        return answered_ms + DELEGATE_TIMEOUT_MS - self.clock.boot_ms()

    def list_clients(self) -> dict[str, Client]:
        """Return the entry VMs that currently read through this one."""
        oldest_ms = self.clock.boot_ms() - CLIENT_TTL_MS
        for name, client in list(self.clients.items()):
            if client.queried_ms < oldest_ms:
                del self.clients[name]
        return self.clients

    def push_updates(self, name: str) -> None:
        """Send the new changes of a topic to all clients."""
        position = self.topics[name].get_position()
        for peer, client in list(self.list_clients().items()):
            for _ in range(MAX_REPORTS_PER_UPDATE):
                before = client.positions.get(name)
                self._push_first_chunks(peer, client, name)
                self._send_report(peer, client, (name,))
                if client.positions.get(name) in (before, position):
                    break

    async def _query_forever(self) -> None:
        # A delegate can only be chosen once peers are known.
        with trio.move_on_after(DELEGATE_TIMEOUT_MS / 1000):
            await self.reporter.joined.wait()
        while True:
            self._query_delegates()
            await self.clock.sleep(store_polls.QUERY_MS)

    async def _retry_transfers(self) -> None:
        while True:
            await self.fetching.wait()
            await self.clock.sleep(chunk_transfer.RETRY_MS / 2.0)
            self._request_lost_chunks()
            if not self.fetcher.is_active(self.clock.boot_ms()):
                self.fetching = trio.Event()

    def _request_lost_chunks(self) -> None:
        positions = {
            name: topic.get_position() for name, topic in self.topics.items()
        }
        retries = self.fetcher.list_retries(positions, self.clock.boot_ms())
        for peer, request in retries:
            self._request_chunks(peer, request)

    def _query_delegates(self) -> None:
        before = self.choice.delegate
        delegate = self.choice.choose(
            self.reporter.list_delegate_candidates(),
            self.wide_links.list_names(),
        )
        if delegate != before:
            events.log_event(events.Event.DELEGATE_CHOSEN, reader=delegate)
        for peer in self.choice.list_targets(self.clock.boot_ms()):
            self._query(peer)
        self._request_lost_chunks()

    def _query(self, peer: str) -> None:
        positions = {
            name: position
            for name, topic in self.topics.items()
            if (position := topic.get_position()) is not None
        }
        query = freshness_messages.Query(
            self._add_pending_query(peer), positions
        )
        self.reporter.send(peer, query.to_bytes())

    def _request_chunks(
        self, peer: str, request: freshness_messages.ChunkRequest
    ) -> None:
        request = attrs.evolve(request, number=self._add_pending_query(peer))
        self.reporter.send(peer, request.to_bytes())

    def _add_pending_query(self, peer: str) -> int:
        """Return the number of a query that is about to be sent."""
        self._last_number += 1
        self.pending_queries[self._last_number] = PendingQuery(
            peer, self.clock.boot_ms()
        )
        while len(self.pending_queries) > MAX_PENDING_QUERIES:
            self.pending_queries.popitem(last=False)
        return self._last_number

    def _on_query(self, peer: str, fields: list) -> None:
        query = freshness_messages.Query.from_fields(fields)
        client = Client(
            query.number, self.clock.boot_ms(), dict(query.positions)
        )
        new = peer not in self.list_clients()
        self.clients[peer] = client
        if new:
            for notify in self.on_new_client:
                notify()
        self._send_report(peer, client, tuple(self.topics))

    def _send_report(
        self, peer: str, client: Client, names: typing.Iterable[str]
    ) -> None:
        """Send a report on the topics that can be attested."""
        reports = {}
        for name in names:
            known = self.topics[name].get_attestation()
            # Not known to be current before the first read is complete.
            if known is not None and known.as_of_ms > board_module.NEVER:
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
        """Make the report on a topic.

        Records the position up to which the client has been sent changes. A
        change that is too long for a report is left to be requested in chunks.
        """
        position, now_ms = known.position, self.clock.boot_ms()
        make_report = functools.partial(
            freshness_messages.TopicReport,
            position,
            max(0.0, now_ms - known.as_of_ms),
            known.due_ms - now_ms,
        )
        start = client.positions.get(name)
        if start is None or start >= position:
            return make_report(position, position)
        listed = self.topics[name].list_since(start)
        if listed is None:
            return make_report(start, start, served=False)
        chosen = freshness_messages.select_fitting(listed)
        end = position
        if len(chosen) < len(listed):
            end = chosen[-1].offset + 1 if chosen else start
        if listed and not chosen:
            served = freshness_messages.may_split(listed[0])
            client.positions[name] = listed[0].offset + 1
            return make_report(start, start, served=served)
        client.positions[name] = end
        return make_report(start, end, chosen)

    def _push_first_chunks(self, peer: str, client: Client, name: str) -> None:
        """Send the first chunks of the next change if it is a long one."""
        start = client.positions.get(name)
        topic = self.topics[name]
        if start is None or topic.get_attestation() is None:
            return
        listed = topic.list_since(start)
        if listed and not freshness_messages.select_fitting(listed):
            request = freshness_messages.ChunkRequest(
                client.number, name, start, None, ()
            )
            self._send_chunks(peer, request, listed)

    def _on_chunk_request(self, peer: str, fields: list) -> None:
        request = freshness_messages.ChunkRequest.from_fields(fields)
        topic = self.topics.get(request.topic)
        if topic is not None:
            listed = topic.list_since(request.start)
            self._send_chunks(peer, request, listed)

    def _send_chunks(
        self,
        peer: str,
        request: freshness_messages.ChunkRequest,
        listed: list[change_log.Change] | None,
    ) -> None:
        for chunk in chunk_transfer.select_chunks(request, listed):
            self.reporter.send(peer, chunk.to_bytes())

    def _on_report(self, peer: str, fields: list) -> None:
        report = freshness_messages.FreshnessReport.from_fields(fields)
        query = self._find_pending_query(report.number, peer)
        if query is None:
            return
        self.choice.record_answer(peer)
        for name, each in report.topics.items():
            topic = self.topics.get(name)
            if topic is not None:
                answered_ms = self.answered_ms.get(name, query.sent_ms)
                self.answered_ms[name] = max(answered_ms, query.sent_ms)
                self._apply_topic_report(name, each, report.number, query)

    def _find_pending_query(
        self, number: int, peer: str
    ) -> PendingQuery | None:
        """Return the query that a datagram answers; None if there is none."""
        query = self.pending_queries.get(number)
        return query if query is not None and query.peer == peer else None

    def _apply_topic_report(
        self,
        name: str,
        report: freshness_messages.TopicReport,
        number: int,
        query: PendingQuery,
    ) -> None:
        """Apply a report; catch up if it is ahead of what is known here."""
        topic = self.topics[name]
        before = topic.get_position()
        if before is None:
            return
        if report.end > before:
            topic.apply_changes(report.start, report.end, report.changes)
        after = topic.get_position()
        if after is not None and after < report.position:
            topic.notify_position(report.position, report.served)
            if report.served and report.start == report.end == after:
                self._fetch_chunks(name, query.peer, after)
                return
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
        """Query for further changes, or after a gap for the lost ones.

        Only one query at a time, and only after progress: otherwise a client
        that temporarily cannot apply changes would get them over and over.
        """
        now_ms = self.clock.boot_ms()
        last = self.catch_up_queries.get(name)
        if last is not None:
            waited = now_ms - last.sent_ms >= CATCH_UP_RETRY_MS
            if last.number != answered and not waited:
                return
            if position <= last.position and not (gap and waited):
                return
        self._query(peer)
        self.catch_up_queries[name] = CatchUpQuery(
            self._last_number, now_ms, position
        )

    def _on_chunk(self, peer: str, fields: list) -> None:
        chunk = freshness_messages.Chunk.from_fields(fields)
        topic = self.topics.get(chunk.topic)
        if (
            topic is None
            or self._find_pending_query(chunk.number, peer) is None
        ):
            return
        position = topic.get_position()
        if position is None or not chunk.start <= position <= chunk.offset:
            return
        topic.notify_progress()
        self.fetching.set()
        match self.fetcher.receive(peer, chunk, self.clock.boot_ms()):
            case freshness_messages.ChunkRequest() as request:
                self._request_chunks(peer, request)
            case change_log.Change() as change:
                end = change.offset + 1
                if topic.apply_changes(chunk.start, end, (change,)):
                    # The last report covers changes up to the former position
                    # only; request one for the new position.
                    self._query(peer)

    def _fetch_chunks(self, name: str, peer: str, position: int) -> None:
        """Request the chunks of the change that follows ``position``."""
        now_ms = self.clock.boot_ms()
        request = self.fetcher.request(peer, name, position, now_ms)
        self.fetching.set()
        if request is not None:
            self._request_chunks(peer, request)
