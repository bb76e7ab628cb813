"""Proofs of what the store holds, taken from another entry VM."""

import random
import typing

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
class Reporter:
    """Entry VMs of one failure domain; what is sent is kept."""

    near: list[str]
    sent: list[tuple[str, bytes]] = attrs.field(factory=list)
    handlers: dict = attrs.field(factory=dict)

    def list_delegate_candidates(self):
        return self.near

    def add_handler(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, name, data):
        self.sent.append((name, data))


@attrs.define
class Feed:
    """A topic's position, what was attested of it, and its changes."""

    position: int = 7
    as_of_ms: float = 0.0
    taken: list[tuple[int, float]] = attrs.field(factory=list)
    announced: list[int] = attrs.field(factory=list)

    def describe(self):
        return attestation.Attestation(
            self.position, self.as_of_ms, self.as_of_ms
        )

    def get_position(self):
        return self.position

    def list_since(self, start):
        return None

    def apply_changes(self, start, reach, changed):
        return False

    def confirm(self, attested):
        if attested.position == self.position:
            self.taken.append((attested.position, attested.as_of_ms))

    def announce(self, position, served):
        self.announced.append(position)


def make_controller(name, near):
    clock: typing.Any = clock_module.ManualClock(now=10_000.0)
    reporter: typing.Any = Reporter(near)
    made = freshness.FreshnessController(
        board_module.ForwardingBoard(name=name, failure_domain="north"),
        clock,
        reporter,
    )
    topic = Feed()
    made.add_topic("keys", typing.cast(typing.Any, topic))
    return made, clock, topic


def deliver(made, peer, data):
    fields = load_report_messages.decode(data)
    made.reporter.handlers[fields[0]](peer, fields)


def ask_once(made):
    """Have a controller ask its reader; return the reader and the bytes."""
    made._query_delegates()
    return made.reporter.sent[-1]


def make_pair():
    """Two entry VMs, the first of which asks the second."""
    first, second = sorted(
        ("vm-a", "vm-b"),
        key=lambda name: (
            delegates.choose_delegate(name, ["vm-a", "vm-b"]) == name
        ),
    )
    return make_controller(first, [second]), make_controller(second, [first])


def test_entry_vms_choose_readers_alike():
    """Calls to the store do not grow with the entry VMs of a domain."""
    for count in (1, 2, 3, 16, 17, 24, 82):
        names = [f"vm-{number}" for number in range(count)]
        chosen = [delegates.choose_delegate(name, names) for name in names]
        reading = set(chosen)
        assert len(reading) <= -(-count // delegates.MAX_CLIENTS_PER_DELEGATE)
        assert all(
            delegates.choose_delegate(name, names) == name for name in reading
        )
        most = max(chosen.count(name) for name in reading)
        assert most <= 2.5 * delegates.MAX_CLIENTS_PER_DELEGATE


def test_proof_is_as_of_the_question():
    """An entry VM trusts its keys for longer than it may.

    The answer to its question was on the way for two seconds. What it proves
    is as old as the question, and the age that the reader told on top.
    """
    (asker, clock, topic), (reader, reader_clock, known) = make_pair()
    name, question = ask_once(asker)
    assert name == reader.board.name
    reader_clock.advance(500.0)
    known.as_of_ms = reader_clock.now - 1_200.0
    deliver(reader, asker.board.name, question)
    _, answer = reader.reporter.sent[-1]
    clock.advance(2_000.0)
    deliver(asker, reader.board.name, answer)
    ((position, as_of_ms),) = topic.taken
    assert position == 7
    assert as_of_ms <= 10_000.0 - 1_200.0


def test_news_is_told_at_once_to_those_who_ask():
    """A key that was taken away works on until the next question."""
    (asker, clock, topic), (reader, _, known) = make_pair()
    _, question = ask_once(asker)
    deliver(reader, asker.board.name, question)
    known.position = 8
    sent = len(reader.reporter.sent)
    reader.push_updates("keys")
    ((name, answer),) = reader.reporter.sent[sent:]
    assert name == asker.board.name
    deliver(asker, reader.board.name, answer)
    assert topic.announced == [8]


def test_answers_that_nobody_asked_for_prove_nothing():
    """An answer to a former start, another's, or one that was made up.

    Each would have an entry VM believe that its keys are the newest.
    """
    (asker, clock, topic), (reader, _, _) = make_pair()
    _, question = ask_once(asker)
    number = freshness_messages.Query.from_fields(cbor2.loads(question)).number
    told = {"keys": freshness_messages.TopicReport(7, 0.0, 0.0, 7, 7)}
    wrong = freshness_messages.FreshnessReport(number + 1, told).to_bytes()
    deliver(asker, reader.board.name, wrong)
    right = freshness_messages.FreshnessReport(number, told).to_bytes()
    deliver(asker, "vm-c", right)
    assert not topic.taken
    assert not asker.has_delegate("keys")
    for _ in range(freshness.MAX_PENDING_QUERIES + 1):
        asker._query(reader.board.name)
    deliver(asker, reader.board.name, right)
    assert not topic.taken


def test_unreadable_proofs_are_refused():
    """Bytes of another program, or an age in the future."""
    (asker, clock, topic), (reader, _, _) = make_pair()
    _, question = ask_once(asker)
    number = cbor2.loads(question)[1]
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
            deliver(asker, reader.board.name, cbor2.dumps(fields))
        except load_report_messages.DECODE_ERRORS:
            continue
        raise AssertionError(fields)
    assert not topic.taken


def test_silent_reader_is_not_relied_on():
    """The reader is gone, and its word is still taken for the newest."""
    (asker, clock, _), (reader, _, _) = make_pair()
    _, question = ask_once(asker)
    deliver(reader, asker.board.name, question)
    deliver(asker, reader.board.name, reader.reporter.sent[-1][1])
    assert asker.has_delegate("keys")
    clock.advance(freshness.DELEGATE_TIMEOUT_MS)
    assert not asker.has_delegate("keys")


@attrs.define
class Statuses:
    """The topic of statuses; what is appended is written at its end."""

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
    """Rounds of one roll-out that runs, on an entry VM among others."""
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
    """195 entry VMs see an order at once; returns when it is written."""
    names = [f"vm-{number}" for number in range(195)]
    played = [
        make_rounds(name, names, statuses)
        for number, name in enumerate(names)
        if alive(number)
    ]
    known_ms = None

    async def main():
        nonlocal known_ms
        for tick in range(60):
            now_ms = 10_000.0 + 100.0 * tick
            for made, clock, rollout in played:
                clock.now = made.as_of_ms = now_ms
                if known_ms is not None and now_ms >= known_ms:
                    made.replace(statuses.written)
                    made.get_end = lambda: len(statuses.written)
                await made._step(rollout)
            if known_ms is None and statuses.written:
                known_ms = now_ms + latency_ms

    trio.run(main)
    return known_ms


def test_status_is_written_by_few_of_many_entry_vms():
    """All 195 write a roll-out's status at once, and one write succeeds."""
    statuses = Statuses()
    known_ms = play_rounds(typing.cast(typing.Any, statuses), 300.0)
    assert known_ms is not None and known_ms <= 11_000.0
    assert len(statuses.written) == 1
    assert statuses.calls <= 4


def test_status_is_written_though_many_entry_vms_have_gone():
    """The one whose turn it is has died, and no status is ever written."""
    for gone in range(3):
        statuses = Statuses()
        known_ms = play_rounds(
            typing.cast(typing.Any, statuses),
            300.0,
            alive=lambda number, gone=gone: number % 3 == gone,
        )
        assert known_ms is not None and known_ms <= 12_000.0
        assert statuses.calls <= 30


def test_entry_vms_do_not_write_in_step_while_the_store_is_down():
    """Each of 195 calls a store that is down more than once a second."""
    statuses = Statuses(down=True)
    play_rounds(typing.cast(typing.Any, statuses), 300.0)
    assert statuses.calls <= 195 * 6


@attrs.define
class Registry:
    """A topic that is followed by changes; ``log`` has what is known of it.

    While ``busy`` a call of its own is under way, and it takes none. ``read``
    is set where it would have to read the store.
    """

    log: change_log.ChangeLog = attrs.field(factory=change_log.ChangeLog)
    position: int = 0
    busy: bool = False
    proved: bool = False
    read: bool = False

    def describe(self):
        return attestation.Attestation(self.position, 0.0, 0.0)

    def get_position(self):
        return self.position

    def list_since(self, start):
        return self.log.list_since(start)

    def write(self, key, value):
        self.log.apply(keyed_log.Record(key, value, self.position))
        self.position += 1

    def apply_changes(self, start, reach, changed):
        if self.busy or not start <= self.position < reach:
            return False
        for each in changed:
            if each.offset >= self.position:
                self.log.apply(
                    keyed_log.Record(each.key, each.value, each.offset)
                )
        self.position = reach
        return True

    def confirm(self, attested):
        self.proved |= attested.position == self.position

    def announce(self, position, served):
        self.read |= not served


def make_registries():
    """A pair of entry VMs that know nothing yet, and their topics."""
    pair = make_pair()
    topics = []
    for made, _, _ in pair:
        topic = Registry()
        made.add_topic("endpoints", typing.cast(typing.Any, topic))
        topics.append(topic)
    return pair, topics


def exchange(asker, reader, lose=lambda: False):
    """Deliver all that is sent until nothing more is."""
    for _ in range(300):
        if not asker.reporter.sent and not reader.reporter.sent:
            return
        for one, other in ((asker, reader), (reader, asker)):
            sent, one.reporter.sent[:] = list(one.reporter.sent), []
            for _, data in sent:
                assert len(data) <= 1_400
                if not lose():
                    deliver(other, one.board.name, data)
        asker.clock.advance(5.0)
    raise AssertionError("they never stop")


def test_changes_come_with_the_report():
    """Each endpoint that comes or goes costs a call of each entry VM."""
    ((client, _, _), (delegate, _, _)), (mine, theirs) = make_registries()
    for number in range(20):
        theirs.write(f"desk-{number}", b"x" * 300)
    theirs.write("desk-0", None)
    ask_once(client)
    exchange(client, delegate)
    for _ in range(8):
        client.clock.advance(freshness.CATCH_UP_PAUSE_MS)
        client._query_delegates()
        exchange(client, delegate)
    assert mine.log.newest == theirs.log.newest
    assert mine.position == theirs.position
    assert mine.proved and not mine.read


def test_burst_of_registrations_is_followed_without_the_store():
    """162 endpoints register between two queries; all VMs read the store."""
    ((client, _, _), (delegate, _, _)), (mine, theirs) = make_registries()
    ask_once(client)
    exchange(client, delegate)
    for number in range(162):
        theirs.write(f"desk-{number}", b"x" * 300)
        delegate.push_updates("endpoints")
        exchange(client, delegate)
    assert mine.log.newest == theirs.log.newest
    assert not mine.read


def test_lost_updates_are_made_good_by_the_next():
    """A tenth of the datagrams of a burst are lost; all VMs read the store."""
    draw = random.Random(7)
    ((client, _, _), (delegate, _, _)), (mine, theirs) = make_registries()
    ask_once(client)
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


def test_change_that_is_pushed_twice_is_taken_once():
    """An endpoint that has left comes back: an old change was taken anew."""
    ((client, _, _), (delegate, _, _)), (mine, theirs) = make_registries()
    ask_once(client)
    exchange(client, delegate)
    for value in (b"ready", None):
        theirs.write("desk-0", value)
        delegate.push_updates("endpoints")
        twice = delegate.reporter.sent[-1]
        exchange(client, delegate)
        deliver(client, delegate.board.name, twice[1])
    assert not mine.log.newest and mine.position == 2
    assert not mine.read


def test_changes_that_cannot_be_taken_are_not_queried_for_again():
    """Two entry VMs send each other datagrams as fast as they can."""
    ((client, _, _), (delegate, _, _)), (mine, theirs) = make_registries()
    for number in range(20):
        theirs.write(f"desk-{number}", b"x" * 300)
    mine.busy = True
    ask_once(client)
    exchange(client, delegate)
    assert not mine.log.newest


def test_table_of_many_datagrams_comes_in_chunks():
    """Each change of a long table costs a call of each entry VM."""
    draw = random.Random(3)
    long = draw.randbytes(9_000)
    ((client, _, _), (delegate, _, _)), (mine, theirs) = make_registries()
    theirs.write("table", long)
    theirs.write("order", b"v2")
    ask_once(client)
    exchange(client, delegate)
    assert mine.log.newest["table"].value == long
    assert mine.log.newest["order"].value == b"v2"
    assert mine.proved and not mine.read


def test_lost_chunks_come_with_the_next_query():
    """A third of a long table's datagrams are lost, and it is never known."""
    draw = random.Random(5)
    long = draw.randbytes(9_000)
    ((client, _, _), (delegate, _, _)), (mine, theirs) = make_registries()
    ask_once(client)
    exchange(client, delegate)
    theirs.write("table", long)
    delegate.push_updates("endpoints")
    exchange(client, delegate, lambda: draw.random() < 0.3)
    for _ in range(6):
        client.clock.advance(400.0)
        client._query_delegates()
        exchange(client, delegate, lambda: draw.random() < 0.3)
    assert mine.log.newest["table"].value == long
    assert not mine.read


def test_chunks_that_do_not_fit_are_refused():
    """Chunks of two tables are joined, and routes go astray."""
    ((client, _, _), (delegate, _, _)), (mine, theirs) = make_registries()
    theirs.write("table", random.Random(3).randbytes(3_000))
    _, question = ask_once(client)
    deliver(delegate, client.board.name, question)
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
    raise AssertionError("a damaged table was taken")


def test_record_too_long_for_datagrams_is_read_from_the_store():
    """A table that fits no row of datagrams is never in force."""
    most = freshness_messages.MAX_CHUNKS * freshness_messages.MAX_CHANGES_BYTES
    ((client, _, _), (delegate, _, _)), (mine, theirs) = make_registries()
    theirs.write("table", random.Random(3).randbytes(most + 1))
    ask_once(client)
    exchange(client, delegate)
    assert mine.read and not mine.log.newest


def test_client_that_is_too_far_behind_reads_the_store():
    """Removals from before the delegate's start are not known to it."""
    ((client, _, _), (delegate, _, _)), (mine, theirs) = make_registries()
    theirs.log.replace([keyed_log.Record("desk-1", b"x", 4)], None, 9)
    theirs.position = 9
    mine.position = 6
    ask_once(client)
    exchange(client, delegate)
    assert mine.read


def test_history_that_is_lost_leaves_clients_served():
    """The store drops its history, and each entry VM lists all endpoints."""
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


def test_superseded_changes_are_left_out():
    """Ten tables in three seconds fill the links of an entry VM."""
    log = change_log.ChangeLog()
    for offset in range(10):
        log.apply(keyed_log.Record("table", b"%d" % offset, offset))
    assert log.list_since(2) == [change_log.Change(9, "table", b"9")]


def test_removals_that_are_forgotten_raise_the_floor():
    """A client behind them would keep endpoints that have left."""
    log = change_log.ChangeLog()
    for offset in range(change_log.MAX_REMOVED + 5):
        log.apply(keyed_log.Record(f"desk-{offset}", None, offset))
    assert log.list_since(4) is None
    found = log.list_since(5)
    assert found is not None and len(found) == change_log.MAX_REMOVED


def test_many_changes_at_once_are_brought_within_milliseconds():
    """80 endpoints of a new version register at once; all VMs list them."""
    ((client, clock, _), (delegate, _, _)), (mine, theirs) = make_registries()
    ask_once(client)
    exchange(client, delegate)
    began_ms = clock.now
    for number in range(80):
        theirs.write(f"desk-{number}", b"x" * 300)
    delegate.push_updates("endpoints")
    exchange(client, delegate)
    assert mine.log.newest == theirs.log.newest
    assert not mine.read
    assert clock.now - began_ms < 0.5 * feed.MAX_BEHIND_MS
