"""Discovery of entry VMs, and the load reports that they exchange."""

import socket
import typing

import attrs
import cbor2
import trio

from carawayward import clock as clock_module
from carawayward.decisions import engine_load
from carawayward.forwarding import board as board_module
from carawayward.forwarding import keyed_log
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import load_reports
from carawayward.forwarding import message_types
from carawayward.forwarding import report_channels


@attrs.define
class InMemoryTopic:
    """A topic in memory; each call first yields to other tasks."""

    records: dict[str, keyed_log.Record] = attrs.field(factory=dict)

    async def read_newest(self):
        await trio.sleep(0.001)
        return keyed_log.Batch(list(self.records.values()), len(self.records))

    async def append(self, records, end=None):
        await trio.sleep(0.001)
        self.records |= {record.key: record for record in records}
        return len(self.records)


def make_board(name):
    board = board_module.ForwardingBoard(name=name, failure_domain="north")
    for engine in ("engine", *(f"engine-{number}" for number in range(6))):
        board.endpoints[engine] = message_types.EndpointEntry(
            name=engine,
            service="engines",
            address="127.0.0.1:1",
            failure_domain="north",
        )
    board.generation += 1
    return board


def make_reporter(name, members, port=0):
    return load_reports.LoadReporter(
        make_board(name),
        clock_module.Clock(),
        members,
        f"127.0.0.1:{port or 1}",
        engine_load.EngineLoads(),
        lambda engine: 100_000,
    )


def test_entry_vms_that_start_together_find_each_other():
    """Entry VMs that start within a tenth of a second discover each other.

    When each read the topic before adding itself, all found it empty and never
    exchanged their counts of a roll-out; a bad version was completed.
    """

    async def main():
        members = InMemoryTopic()
        reporters = [make_reporter(f"vm-{n}", members) for n in range(5)]
        async with trio.open_nursery() as nursery:
            for each in reporters:
                nursery.start_soon(each._join)
        for one in reporters:
            for other in reporters:
                if one is other:
                    continue
                assert (
                    other.board.name in one.peers
                    or one.board.name in other.peers
                )

    trio.run(main)


def encode_report(reporter):
    return reporter._encode_report(reporter.channels[0])


def write(reporter, **changes):
    """A report that introduces its sender; ``f1`` replaces field 1."""
    for channel in reporter.channels:
        channel.introduced_at_ms = board_module.NEVER
    fields = cbor2.loads(encode_report(reporter))
    for index, value in changes.items():
        fields[int(index[1:])] = value
    return cbor2.dumps(fields)


def test_report_carries_loads_parts_and_topics():
    """A prompt sent by one entry VM is known to the other at once."""
    one, other = (make_reporter(f"vm-{n}", InMemoryTopic()) for n in range(2))
    received = []
    one.add_topic(
        "news", load_reports.Topic(lambda: {"a": 1}, lambda t, v, ttl: None)
    )
    other.add_topic(
        "news", load_reports.Topic(dict, lambda t, v, ttl: received.append(v))
    )
    one.record_load("engine", engine_load.Load(5_000.0, 1))
    one.record_cached("engine", [(1, 800)])
    other._handle_datagram(encode_report(one))
    assert other.loads.peers["vm-0"].loads["engine"].weight == 5_000.0
    assert other.loads.cached["engine"].parts == {1: 800}
    assert received == [{"a": 1}]


def test_datagram_that_arrives_out_of_order_is_dropped():
    """A report that arrives after a newer one is dropped."""
    one, other = (make_reporter(f"vm-{n}", InMemoryTopic()) for n in range(2))
    other._handle_datagram(encode_report(one))
    one.record_load("engine", engine_load.Load(5_000.0, 1))
    old = encode_report(one)
    one.record_load("engine", engine_load.Load(-5_000.0, -1))
    other._handle_datagram(encode_report(one))
    other._handle_datagram(old)
    assert not other.loads.peers["vm-0"].loads


def test_restarted_peer_is_believed_from_its_first_datagram():
    """A restarted peer numbers its reports from the start again."""
    one, other = (make_reporter(f"vm-{n}", InMemoryTopic()) for n in range(2))
    for _ in range(9):
        other._handle_datagram(encode_report(one))
    again = make_reporter("vm-0", InMemoryTopic())
    again.record_load("engine", engine_load.Load(100.0, 1))
    other._handle_datagram(encode_report(again))
    assert other.loads.peers["vm-0"].loads["engine"].streams == 1


def test_reports_are_dropped_until_their_sender_has_introduced_itself():
    """A datagram arrives from a peer that started before this entry VM.

    It is dropped until the peer introduces itself, after a second at the most.
    """
    one, other = (make_reporter(f"vm-{n}", InMemoryTopic()) for n in range(2))
    one.record_load("engine", engine_load.Load(100.0, 1))
    encode_report(one)
    other._handle_datagram(encode_report(one))
    assert not other.peers
    other._handle_datagram(write(one))
    other._handle_datagram(encode_report(one))
    assert other.loads.peers["vm-0"].loads["engine"].streams == 1


def test_late_datagram_of_a_former_incarnation_is_dropped():
    """An entry VM restarts after a kill, and an old datagram is delayed.

    It carries the former incarnation's number and a high sequence number.
    Attributed to the current incarnation, it made the reports of that one
    look out of order.
    """
    one, other = (make_reporter(f"vm-{n}", InMemoryTopic()) for n in range(2))
    other._handle_datagram(write(one))
    for _ in range(20):
        late = encode_report(one)
    again = make_reporter("vm-0", InMemoryTopic())
    other._handle_datagram(write(again))
    other._handle_datagram(late)
    again.record_load("engine", engine_load.Load(100.0, 1))
    other._handle_datagram(encode_report(again))
    assert other.loads.peers["vm-0"].loads["engine"].streams == 1


def test_engine_that_is_not_listed_here_is_left_out():
    """A peer already knows a new engine that this entry VM does not."""
    one, other = (make_reporter(f"vm-{n}", InMemoryTopic()) for n in range(2))
    one.record_load("engine-9", engine_load.Load(100.0, 1))
    one.record_cached("engine-9", [(1, 800)])
    other._handle_datagram(encode_report(one))
    assert not other.loads.peers["vm-0"].loads
    assert not other.loads.cached


def test_malformed_datagrams_are_dropped():
    """Datagrams of unrelated programs reach the port."""
    one, other = (make_reporter(f"vm-{n}", InMemoryTopic()) for n in range(2))
    for data in (
        b"",
        b"\xff\xff",
        cbor2.dumps(17),
        cbor2.dumps([load_report_messages.VERSION]),
        cbor2.dumps([load_report_messages.VERSION + 1, "x"]),
        write(one, f1=["vm-0", "x", "nowhere", "north"]),
        write(one, f1=["vm-0"]),
        write(one, f2="first"),
        write(one, f4={7: "much"}),
        write(one, f5=[[7, 1]]),
        write(one, f6=3),
    ):
        other._handle_datagram(data)
    assert not other.loads.peers


def count_sent_bytes(reporter, channel, seconds):
    """The bytes that a channel would send at ten prompts a second."""
    now_ms, sent_bytes = 0.0, 0
    while now_ms < seconds * 1000:
        for number in range(int(now_ms / 100), int(now_ms / 100) + 3):
            reporter.record_cached(f"engine-{number % 6}", [(number, 5_000)])
            reporter.record_load(
                f"engine-{number % 6}", engine_load.Load(5_000.0, 1)
            )
        peers = channel.choose_peers(reporter.peers.values())
        size = len(reporter._encode_report(channel)) * len(peers)
        sent_bytes += size
        now_ms += channel.compute_pause_ms(size)
    return sent_bytes


def test_reports_to_other_failure_domains_keep_to_a_byte_budget():
    """Nine entry VMs under load each sent 56 KB of reports a second.

    Most of that crossed between failure domains, where traffic is billed.
    Cause: each prompt was reported three times to every peer, 30 ms apart.
    """
    reporter = make_reporter("vm-0", InMemoryTopic())
    for number in range(8):
        domain = "north" if number < 2 else "south"
        sender = load_report_messages.Sender(
            f"vm-{number + 1}", "x", f"127.0.0.1:{number + 2}", domain
        )
        reporter._add_peer(sender)
    local, remote = reporter.channels
    assert len(local.choose_peers(reporter.peers.values())) == 2
    assert len(remote.choose_peers(reporter.peers.values())) == 6
    assert local.compute_pause_ms(10_000) == report_channels.MIN_PAUSE_MS
    assert (
        count_sent_bytes(reporter, remote, 10)
        < 11 * report_channels.REMOTE_BYTES_PER_SECOND
    )


def test_entry_vms_of_a_failure_domain_are_known_after_joining():
    """Before it has read the members, an entry VM would list only itself."""
    reporter = make_reporter("vm-0", InMemoryTopic())
    assert reporter.list_domain_members("north") is None
    reporter.joined.set()
    for name, domain in (("vm-1", "north"), ("vm-2", "south")):
        reporter._add_peer(
            load_report_messages.Sender(name, "x", "127.0.0.1:9", domain)
        )
    assert reporter.list_domain_members("north") == ["vm-1", "vm-0"]
    assert reporter.list_domain_members("south") == ["vm-2"]
    assert set(reporter.list_domain_members("east")) == {
        "vm-0",
        "vm-1",
        "vm-2",
    }


@attrs.define
class Sender:
    """A socket that records what is sent."""

    sent: list[tuple[bytes, tuple[str, int]]] = attrs.field(factory=list)

    def sendto(self, data, address):
        self.sent.append((data, address))


def test_entry_vm_that_joins_is_known_to_its_whole_domain_at_once():
    """A new entry VM sends a report to its whole failure domain at once.

    Delegates that the rotation reached late dropped its queries until then.
    """

    async def main():
        members = InMemoryTopic()
        reporters = [
            make_reporter(f"vm-{n}", members, n) for n in range(1, 41)
        ]
        for each in reporters:
            each._send_socket = typing.cast(typing.Any, Sender())
            await each._join()
        newest = reporters[-1]
        assert len(newest._send_socket.sent) == 39
        for other, (data, address) in zip(
            reporters, newest._send_socket.sent, strict=False
        ):
            other._handle_datagram(data, address)
            assert newest.board.name in other.peers

    trio.run(main)


def test_end_of_a_stream_alone_sends_no_report():
    """Reporting it at once would use up the budget for control traffic."""
    reporter = make_reporter("vm-0", InMemoryTopic())
    changed = [channel.changed for channel in reporter.channels]
    reporter.record_load("engine", engine_load.Load(5_000.0, 1))
    assert all(event.is_set() for event in changed)
    for channel in reporter.channels:
        channel.changed = trio.Event()
    reporter.record_load("engine", engine_load.Load(-5_000.0, 0))
    assert all(channel.changed.is_set() for channel in reporter.channels)
    for channel in reporter.channels:
        channel.changed = trio.Event()
    reporter.record_load("engine", engine_load.Load(0.0, -1))
    assert not any(channel.changed.is_set() for channel in reporter.channels)
    assert not reporter.loads.own


def test_datagrams_that_wait_are_handled_in_few_turns():
    """A busy entry VM took the reports of its delegate for late."""

    async def main():
        reporter = make_reporter("vm-0", InMemoryTopic())
        handled = []
        reporter.add_handler(99, lambda peer, fields: handled.append(fields))
        sent = [[99, number] for number in range(48)]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.bind(("127.0.0.1", 0))
            address = "{}:{}".format(*sender.getsockname())
            reporter._add_peer(
                load_report_messages.Sender("vm-1", "x", address, "north")
            )
            async with trio.open_nursery() as nursery:
                await reporter.start(nursery)
                for fields in sent:
                    sender.sendto(
                        cbor2.dumps(fields), reporter._socket.getsockname()
                    )
                for _ in range(6):
                    await trio.lowlevel.checkpoint()
                assert handled == sent
                nursery.cancel_scope.cancel()
        await reporter.close()

    trio.run(main)
