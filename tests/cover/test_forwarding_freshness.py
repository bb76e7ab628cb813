"""Delegated reads, from queries to reports, changes and chunks."""

import random
import typing
import zlib

import attrs
import cbor2
import trio

from carawayward import clock as clock_module
from carawayward.decisions import delegates
from carawayward import errors
from carawayward.forwarding import attestation
from carawayward.forwarding import board as board_module
from carawayward.forwarding import change_log
from carawayward.forwarding import feed
from carawayward.forwarding import freshness
from carawayward.forwarding import freshness_messages
from carawayward.forwarding import keyed_log
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import message_types
from carawayward.forwarding import rollout_rounds
from carawayward.forwarding import rollouts


@attrs.define
class FakeReporter:
    """Lists the peers of a failure domain, and records what is sent."""

    peers: list[str]
    sent: list[tuple[str, bytes]] = attrs.field(factory=list)
    handlers: dict = attrs.field(factory=dict)

    def list_delegate_candidates(self):
        return self.peers

    def add_handler(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, name, data):
        self.sent.append((name, data))


@attrs.define
class FakeFeed:
    """A topic without changes; records the positions it is notified of."""

    position: int = 7
    as_of_ms: float = 0.0
    confirmed: list[tuple[int, float]] = attrs.field(factory=list)
    announced: list[int] = attrs.field(factory=list)

    def get_attestation(self):
        return attestation.Attestation(
            self.position, self.as_of_ms, self.as_of_ms
        )

    def get_position(self):
        return self.position

    def list_since(self, start):
        return None

    def apply_changes(self, start, end, changed):
        return False

    def confirm(self, attested):
        if attested.position == self.position:
            self.confirmed.append((attested.position, attested.as_of_ms))

    def notify_position(self, position, served):
        self.announced.append(position)

    def notify_progress(self):
        """Parts of a long change are not recorded."""


def make_controller(name, peers):
    clock: typing.Any = clock_module.ManualClock(now=10_000.0)
    reporter: typing.Any = FakeReporter(peers)
    made = freshness.FreshnessController(
        board_module.ForwardingBoard(name=name, failure_domain="north"),
        clock,
        reporter,
    )
    topic = FakeFeed()
    made.add_topic("keys", typing.cast(typing.Any, topic))
    return made, clock, topic


def deliver(made, peer, data):
    fields = load_report_messages.decode(data)
    made.reporter.handlers[fields[0]](peer, fields)


def send_query(made):
    """Make a controller query its delegate; return its name and the bytes."""
    made._query_delegates()
    return made.reporter.sent[-1]


def make_pair():
    """Make two entry VMs, the first of which queries the second."""
    first, second = sorted(
        ("vm-a", "vm-b"),
        key=lambda name: (
            delegates.choose_delegate(name, ["vm-a", "vm-b"]) == name
        ),
    )
    return make_controller(first, [second]), make_controller(second, [first])


def test_entry_vms_agree_on_delegates():
    """Guards against store calls that grow with the size of a domain."""
    for count in (1, 2, 3, 16, 17, 24, 82):
        names = [f"vm-{number}" for number in range(count)]
        chosen = [delegates.choose_delegate(name, names) for name in names]
        reading = set(chosen)
        assert len(reading) <= -(-count // delegates.MAX_CLIENTS_PER_DELEGATE)
        assert all(
            delegates.choose_delegate(name, names) == name for name in reading
        )
        max_clients = max(chosen.count(name) for name in reading)
        assert max_clients <= 2.5 * delegates.MAX_CLIENTS_PER_DELEGATE


def test_entry_vms_with_wide_links_are_delegates_first():
    """Guards against long changes sent to all clients over a narrow link."""
    names = [f"vm-{number}" for number in range(40)]
    for wide in (["vm-7"], ["vm-7", "vm-30"], ["vm-1", "vm-2", "vm-3"]):
        chosen = {
            delegates.choose_delegate(each, names, wide) for each in names
        }
        assert len(chosen) == 2
        assert len(chosen & set(wide)) == min(2, len(wide))


def test_entry_vms_learn_whose_links_are_wide():
    """Guards against a delegate by hash although a wide link is known."""
    (client, _, _), (delegate, _, _) = make_pair()
    assert client.choice.choose([delegate.board.name]) == delegate.board.name
    client.board.link_mbps = 100.0
    client._query_delegates()
    assert client.choice.delegate == client.board.name
    delegate.wide_links.merge(
        f"{client.board.name}/1", client.wide_links.describe(), 1_000.0
    )
    delegate._query_delegates()
    assert delegate.choice.delegate == client.board.name


def test_attestation_is_as_of_the_sending_of_the_query():
    """Guards against keys that are trusted for longer than allowed.

    The report was in transit for two seconds. It holds as of the sending of
    the query, minus the age in the report.
    """
    (client, clock, topic), (reader, reader_clock, reader_topic) = make_pair()
    name, query = send_query(client)
    assert name == reader.board.name
    reader_clock.advance(500.0)
    reader_topic.as_of_ms = reader_clock.now - 1_200.0
    deliver(reader, client.board.name, query)
    _, answer = reader.reporter.sent[-1]
    clock.advance(2_000.0)
    deliver(client, reader.board.name, answer)
    ((position, as_of_ms),) = topic.confirmed
    assert position == 7
    assert as_of_ms <= 10_000.0 - 1_200.0


def test_changes_are_pushed_at_once_to_clients():
    """Guards against a revoked key that works until the next query."""
    (client, clock, topic), (reader, _, reader_topic) = make_pair()
    _, query = send_query(client)
    deliver(reader, client.board.name, query)
    reader_topic.position = 8
    sent = len(reader.reporter.sent)
    reader.push_updates("keys")
    ((name, answer),) = reader.reporter.sent[sent:]
    assert name == client.board.name
    deliver(client, reader.board.name, answer)
    assert topic.announced == [8]


def test_reports_that_answer_no_pending_query_are_ignored():
    """Guards against keys trusted because of a forged or misdirected report.

    Covers an unknown query number, another sender, and an expired query.
    """
    (client, clock, topic), (reader, _, _) = make_pair()
    _, query = send_query(client)
    number = freshness_messages.Query.from_fields(cbor2.loads(query)).number
    reports = {"keys": freshness_messages.TopicReport(7, 0.0, 0.0, 7, 7)}
    wrong_number = freshness_messages.FreshnessReport(
        number + 1, reports
    ).to_bytes()
    deliver(client, reader.board.name, wrong_number)
    right_number = freshness_messages.FreshnessReport(
        number, reports
    ).to_bytes()
    deliver(client, "vm-c", right_number)
    assert not topic.confirmed
    assert not client.has_delegate("keys")
    for _ in range(freshness.MAX_PENDING_QUERIES + 1):
        client._query(reader.board.name)
    deliver(client, reader.board.name, right_number)
    assert not topic.confirmed


def test_malformed_reports_are_rejected():
    """Guards against reports with missing or mistyped fields, or age < 0."""
    (client, clock, topic), (reader, _, _) = make_pair()
    _, query = send_query(client)
    number = cbor2.loads(query)[1]
    for fields in (
        [freshness_messages.REPORT],
        [freshness_messages.REPORT, number],
        [
            freshness_messages.REPORT,
            number,
            {"keys": [7, -5_000, 7, 7, [], True]},
        ],
        [
            freshness_messages.REPORT,
            number,
            {"keys": [7, 0.5, 7, 7, [], True]},
        ],
        [
            freshness_messages.REPORT,
            number,
            {"keys": [True, 0, 7, 7, [], True]},
        ],
        [
            freshness_messages.REPORT,
            number,
            {"keys": [7, 0, 6, 7, [[6, "key"]], True]},
        ],
        [
            freshness_messages.REPORT,
            number,
            {"keys": [7, 0, 6, 7, [[6, "key", "text"]], True]},
        ],
        [
            freshness_messages.REPORT,
            number,
            {"keys": [7, 0, 6, 7, [[6, 3, b"value"]], True]},
        ],
        [freshness_messages.REPORT, number, {"keys": 3}],
        [freshness_messages.REPORT, number, 4],
        [freshness_messages.REPORT, "x", {}],
    ):
        try:
            deliver(client, reader.board.name, cbor2.dumps(fields))
        except load_report_messages.DECODE_ERRORS:
            continue
        raise AssertionError(fields)
    assert not topic.confirmed


def test_silent_delegate_is_not_relied_on():
    """Guards against reliance on a delegate that no longer answers."""
    (client, clock, _), (reader, _, _) = make_pair()
    _, query = send_query(client)
    deliver(reader, client.board.name, query)
    deliver(client, reader.board.name, reader.reporter.sent[-1][1])
    assert client.has_delegate("keys")
    clock.advance(freshness.DELEGATE_TIMEOUT_MS)
    assert not client.has_delegate("keys")


@attrs.define
class FakeStatusTopic:
    """The topic of statuses; counts the attempts to append."""

    written: list[keyed_log.Record] = attrs.field(factory=list)
    calls: int = 0
    down: bool = False

    async def append(self, records, end=None):
        self.calls += 1
        if self.down:
            raise errors.PlatformUnavailable("statuses", "down")
        if end != len(self.written):
            raise keyed_log.Conflict(len(self.written))
        self.written += records
        return len(self.written)


def make_rounds(name, names, statuses):
    """Make the rounds of one running roll-out on one of several entry VMs."""
    clock: typing.Any = clock_module.ManualClock(now=10_000.0)
    board = board_module.ForwardingBoard(name=name, failure_domain="north")
    board.orders["desk"] = message_types.RolloutOrder(
        service="desk", version="v2", duration_ms=60_000.0
    )
    chosen = rollouts.Rollouts(board, clock)
    chosen.apply_orders()
    made = rollout_rounds.RolloutRounds(
        board,
        clock,
        chosen,
        statuses,
        lambda record: message_types.RolloutStatus(
            "desk", "v2", message_types.RolloutState.RUNNING
        ),
        lambda status: keyed_log.Record("desk", b"running"),
        lambda: names,
    )
    made.get_end = lambda: 0
    made.as_of_ms = clock.now
    return made, clock, chosen.rollouts["desk"]


def play_rounds(statuses, latency_ms, alive=lambda number: True):
    """Let 195 entry VMs see an order at once.

    Returns when they learn of the status that one of them wrote.
    """
    names = [f"vm-{number}" for number in range(195)]
    instances = [
        make_rounds(name, names, statuses)
        for number, name in enumerate(names)
        if alive(number)
    ]
    learned_ms = None

    async def main():
        nonlocal learned_ms
        for tick in range(60):
            now_ms = 10_000.0 + 100.0 * tick
            for made, clock, rollout in instances:
                clock.now = made.as_of_ms = now_ms
                if learned_ms is not None and now_ms >= learned_ms:
                    made.replace(statuses.written)
                    made.get_end = lambda: len(statuses.written)
                await made._step(rollout)
            if learned_ms is None and statuses.written:
                learned_ms = now_ms + latency_ms

    trio.run(main)
    return learned_ms


def test_status_is_written_by_few_of_many_entry_vms():
    """Guards against 195 writes of a status at once, all but one in vain."""
    statuses = FakeStatusTopic()
    learned_ms = play_rounds(typing.cast(typing.Any, statuses), 300.0)
    assert learned_ms is not None and learned_ms <= 11_000.0
    assert len(statuses.written) == 1
    assert statuses.calls <= 4


def test_status_is_written_when_many_entry_vms_are_down():
    """Guards against a status never written as the VM in turn is down."""
    for gone in range(3):
        statuses = FakeStatusTopic()
        learned_ms = play_rounds(
            typing.cast(typing.Any, statuses),
            300.0,
            alive=lambda number, gone=gone: number % 3 == gone,
        )
        assert learned_ms is not None and learned_ms <= 12_000.0
        assert statuses.calls <= 30


def test_entry_vms_do_not_write_in_step_while_the_store_is_down():
    """Guards against 195 VMs calling a failed store more than once a second.

    The limit is six calls of each in six seconds.
    """
    statuses = FakeStatusTopic(down=True)
    play_rounds(typing.cast(typing.Any, statuses), 300.0)
    assert statuses.calls <= 195 * 6


@attrs.define
class FakeTopic:
    """A topic followed through changes, which ``log`` keeps.

    While ``busy`` it cannot apply changes. ``is_confirmed`` is set once its
    position was confirmed, ``read`` once it would have to read the store.
    """

    log: change_log.ChangeLog = attrs.field(factory=change_log.ChangeLog)
    position: int = 0
    busy: bool = False
    is_confirmed: bool = False
    read: bool = False

    def get_attestation(self):
        return attestation.Attestation(self.position, 0.0, 0.0)

    def get_position(self):
        return self.position

    def list_since(self, start):
        return self.log.list_since(start)

    def write(self, key, value):
        self.log.apply(keyed_log.Record(key, value, self.position))
        self.position += 1

    def apply_changes(self, start, end, changed):
        if self.busy or not start <= self.position < end:
            return False
        for each in changed:
            if each.offset >= self.position:
                self.log.apply(
                    keyed_log.Record(each.key, each.value, each.offset)
                )
        self.position = end
        return True

    def confirm(self, attested):
        self.is_confirmed |= attested.position == self.position

    def notify_position(self, position, served):
        self.read |= not served

    def notify_progress(self):
        """Parts of a long change are not recorded."""


def make_topic_pair():
    """Make a pair of entry VMs with empty topics; return both."""
    pair = make_pair()
    topics = []
    for made, _, _ in pair:
        topic = FakeTopic()
        made.add_topic("endpoints", typing.cast(typing.Any, topic))
        topics.append(topic)
    return pair, topics


def exchange(client, reader, lose=lambda: False):
    """Deliver datagrams until no more are sent; ``lose`` drops some."""
    for _ in range(300):
        if not client.reporter.sent and not reader.reporter.sent:
            return
        for one, other in ((client, reader), (reader, client)):
            sent, one.reporter.sent[:] = list(one.reporter.sent), []
            for _, data in sent:
                assert len(data) <= 1_400
                if not lose():
                    deliver(other, one.board.name, data)
        client.clock.advance(5.0)
    raise AssertionError("the entry VMs never stop sending datagrams")


def test_changes_come_with_the_report():
    """Guards against a call of each entry VM for each changed endpoint."""
    ((client, _, _), (delegate, _, _)), (mine, theirs) = make_topic_pair()
    for number in range(20):
        theirs.write(f"desk-{number}", b"x" * 300)
    theirs.write("desk-0", None)
    send_query(client)
    exchange(client, delegate)
    for _ in range(8):
        client.clock.advance(freshness.CATCH_UP_RETRY_MS)
        client._query_delegates()
        exchange(client, delegate)
    assert mine.log.newest == theirs.log.newest
    assert mine.position == theirs.position
    assert mine.is_confirmed and not mine.read


def test_burst_of_registrations_is_followed_without_the_store():
    """Guards against store reads as 162 endpoints register in a burst."""
    ((client, _, _), (delegate, _, _)), (mine, theirs) = make_topic_pair()
    send_query(client)
    exchange(client, delegate)
    for number in range(162):
        theirs.write(f"desk-{number}", b"x" * 300)
        delegate.push_updates("endpoints")
        exchange(client, delegate)
    assert mine.log.newest == theirs.log.newest
    assert not mine.read


def test_lost_updates_are_recovered_by_the_next():
    """Guards against store reads when 10% of a burst's datagrams are lost."""
    draw = random.Random(7)
    ((client, _, _), (delegate, _, _)), (mine, theirs) = make_topic_pair()
    send_query(client)
    exchange(client, delegate)
    for number in range(162):
        theirs.write(f"desk-{number}", b"x" * 300)
        delegate.push_updates("endpoints")
        exchange(client, delegate, lambda: draw.random() < 0.1)
        client.clock.advance(20.0)
    for _ in range(12):
        client.clock.advance(400.0)
        client._query_delegates()
        exchange(client, delegate)
    assert mine.log.newest == theirs.log.newest
    assert not mine.read


def test_change_that_is_received_twice_is_applied_once():
    """Guards against a removed endpoint listed again by a late duplicate."""
    ((client, _, _), (delegate, _, _)), (mine, theirs) = make_topic_pair()
    send_query(client)
    exchange(client, delegate)
    for value in (b"ready", None):
        theirs.write("desk-0", value)
        delegate.push_updates("endpoints")
        last_datagram = delegate.reporter.sent[-1]
        exchange(client, delegate)
        deliver(client, delegate.board.name, last_datagram[1])
    assert not mine.log.newest and mine.position == 2
    assert not mine.read


def test_changes_that_cannot_be_applied_are_not_queried_for_again():
    """Guards against two entry VMs exchanging datagrams without end."""
    ((client, _, _), (delegate, _, _)), (mine, theirs) = make_topic_pair()
    for number in range(20):
        theirs.write(f"desk-{number}", b"x" * 300)
    mine.busy = True
    send_query(client)
    exchange(client, delegate)
    assert not mine.log.newest


def test_table_longer_than_a_datagram_is_sent_in_chunks():
    """Guards against a call of each entry VM for each long table."""
    draw = random.Random(3)
    table = draw.randbytes(9_000)
    ((client, _, _), (delegate, _, _)), (mine, theirs) = make_topic_pair()
    theirs.write("table", table)
    theirs.write("order", b"v2")
    send_query(client)
    exchange(client, delegate)
    assert mine.log.newest["table"].value == table
    assert mine.log.newest["order"].value == b"v2"
    assert mine.is_confirmed and not mine.read


def test_lost_chunks_are_sent_again_after_the_next_query():
    """Guards against a long table never received when datagrams are lost.

    Of each exchange, 30% of the datagrams are lost.
    """
    draw = random.Random(5)
    table = draw.randbytes(9_000)
    ((client, _, _), (delegate, _, _)), (mine, theirs) = make_topic_pair()
    send_query(client)
    exchange(client, delegate)
    theirs.write("table", table)
    delegate.push_updates("endpoints")
    exchange(client, delegate, lambda: draw.random() < 0.3)
    for _ in range(6):
        client.clock.advance(200.0)
        client._request_lost_chunks()
        exchange(client, delegate, lambda: draw.random() < 0.3)
        client.clock.advance(200.0)
        client._query_delegates()
        exchange(client, delegate, lambda: draw.random() < 0.3)
    assert mine.log.newest["table"].value == table
    assert not mine.read


def test_chunk_that_cannot_be_applied_yet_ends_no_transfer():
    """Guards against a transfer begun anew for each change that follows.

    The delegate takes the changes that it has pushed for known.
    """
    ((client, _, _), (delegate, _, _)), (mine, theirs) = make_topic_pair()
    send_query(client)
    exchange(client, delegate)
    for key in ("first", "second"):
        theirs.write(key, random.Random(key).randbytes(9_000))
        delegate.push_updates("endpoints")
        sent = [cbor2.loads(data) for _, data in delegate.reporter.sent]
        delegate.reporter.sent.clear()
        for fields in sent:
            if fields[0] == freshness_messages.CHUNK:
                deliver(client, delegate.board.name, cbor2.dumps(fields))
    transfer = client.fetcher.transfers["endpoints"]
    assert (transfer.start, len(transfer.parts)) == (0, 2)
    exchange(client, delegate)
    assert set(mine.log.newest) == {"first", "second"}


def test_chunks_that_do_not_match_are_rejected():
    """Guards against a corrupt table joined from chunks of two tables."""
    ((client, _, _), (delegate, _, _)), (mine, theirs) = make_topic_pair()
    theirs.write("table", random.Random(3).randbytes(3_000))
    _, query = send_query(client)
    deliver(delegate, client.board.name, query)
    request = freshness_messages.ChunkRequest(
        cbor2.loads(query)[1], "endpoints", 0, 0, (0, 1, 2)
    )
    deliver(delegate, client.board.name, request.to_bytes())
    sent = [cbor2.loads(data) for _, data in delegate.reporter.sent]
    chunks = [f for f in sent if f[0] == freshness_messages.CHUNK]
    assert len(chunks) > 2
    chunks[-1][-1] = chunks[-1][-1][:-1] + b"!"
    try:
        for fields in chunks:
            deliver(client, delegate.board.name, cbor2.dumps(fields))
    except load_report_messages.DECODE_ERRORS:
        assert mine.position == 0
        return
    raise AssertionError("a corrupt table was applied")


def make_renewals(count, random_bytes):
    """Entries of endpoints that differ little, or not at all alike."""
    draw = random.Random(4)
    value = b"service address failure domain version state " * 4
    return [
        change_log.Change(
            number,
            f"endpoint-{number}",
            draw.randbytes(200) if random_bytes else value + draw.randbytes(8),
        )
        for number in range(count)
    ]


def test_renewals_of_many_endpoints_fit_into_few_datagrams():
    """A delegate sent five times as much, up to half of a slow link."""
    datagrams = 0
    listed = make_renewals(74, random_bytes=False)
    while listed:
        chosen = freshness_messages.select_fitting(listed)
        listed = listed[len(chosen) :]
        report = freshness_messages.TopicReport(
            74, 1.0, 1.0, chosen[0].offset, chosen[-1].offset + 1, chosen
        )
        data = cbor2.dumps(report.to_fields())
        assert len(data) <= freshness_messages.MAX_CHANGES_BYTES + 50
        read = freshness_messages.TopicReport.from_fields(cbor2.loads(data))
        assert read.changes == chosen
        datagrams += 1
    assert datagrams <= 5


def test_changes_that_cannot_be_packed_fit_into_datagrams():
    """A datagram beyond the frame is lost if any part of it is."""
    listed = make_renewals(20, random_bytes=True)
    chosen = freshness_messages.select_fitting(listed)
    report = freshness_messages.TopicReport(20, 1.0, 1.0, 0, 5, chosen)
    assert 1 < len(chosen) < 6
    assert (
        len(cbor2.dumps(report.to_fields()))
        <= freshness_messages.MAX_CHANGES_BYTES + 150
    )


def test_unreadable_packed_changes_are_rejected():
    """A corrupt or huge datagram must not be applied in part."""
    huge = zlib.compress(cbor2.dumps([[1, "a", bytes(1_000_000)]]))
    whole = zlib.compress(cbor2.dumps([[1, "a", b"b"]]))
    for packed in (huge, whole[:-3], b"", b"?", zlib.compress(b"\xff")):
        fields = [5, 1, 1, 0, 5, packed, True]
        try:
            freshness_messages.TopicReport.from_fields(fields)
        except load_report_messages.DECODE_ERRORS:
            continue
        raise AssertionError(f"accepted: {packed[:9]!r}")


def test_record_too_long_for_datagrams_is_read_from_the_store():
    """Guards against a table too long for chunks that is never applied."""
    max_bytes = (
        freshness_messages.MAX_CHUNKS * freshness_messages.MAX_CHANGES_BYTES
    )
    ((client, _, _), (delegate, _, _)), (mine, theirs) = make_topic_pair()
    theirs.write("table", random.Random(3).randbytes(max_bytes + 1))
    send_query(client)
    exchange(client, delegate)
    assert mine.read and not mine.log.newest


def test_client_that_is_too_far_behind_reads_the_store():
    """Guards against missed removals from before the delegate's start."""
    ((client, _, _), (delegate, _, _)), (mine, theirs) = make_topic_pair()
    theirs.log.replace([keyed_log.Record("desk-1", b"x", 4)], None, 9)
    theirs.position = 9
    mine.position = 6
    send_query(client)
    exchange(client, delegate)
    assert mine.read


def test_clients_are_served_after_the_store_lost_its_history():
    """Guards against a full read by each client after a loss of history."""
    log = change_log.ChangeLog()
    log.replace([keyed_log.Record("a", b"1", 3)], None, 5)
    log.apply(keyed_log.Record("b", b"1", 5))
    log.replace([keyed_log.Record("c", b"1", 8)], 6, 9)
    found = log.list_since(5)
    assert found is not None
    assert {(each.key, each.value) for each in found} == {
        ("a", None),
        ("b", None),
        ("c", b"1"),
    }
    assert log.list_since(4) is None


def test_superseded_changes_are_omitted():
    """Guards against links saturated by ten tables in three seconds."""
    log = change_log.ChangeLog()
    for offset in range(10):
        log.apply(keyed_log.Record("table", b"%d" % offset, offset))
    assert log.list_since(2) == [change_log.Change(9, "table", b"9")]


def test_discarded_removals_raise_the_floor():
    """Guards against clients that miss removals and keep the endpoints."""
    log = change_log.ChangeLog()
    for offset in range(change_log.MAX_REMOVED + 5):
        log.apply(keyed_log.Record(f"desk-{offset}", None, offset))
    assert log.list_since(4) is None
    found = log.list_since(5)
    assert found is not None and len(found) == change_log.MAX_REMOVED


def test_many_changes_at_once_reach_clients_within_milliseconds():
    """Guards against full reads as 80 endpoints register at once."""
    ((client, clock, _), (delegate, _, _)), (mine, theirs) = make_topic_pair()
    send_query(client)
    exchange(client, delegate)
    began_ms = clock.now
    for number in range(80):
        theirs.write(f"desk-{number}", b"x" * 300)
    delegate.push_updates("endpoints")
    exchange(client, delegate)
    assert mine.log.newest == theirs.log.newest
    assert not mine.read
    assert clock.now - began_ms < 0.5 * feed.MAX_BEHIND_MS
