"""Entry VMs find each other and tell each other what they know."""

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
class Members:
    """A topic in memory; each call gives other tasks a turn first."""

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


def make_controller(name, members, port=0):
    return load_reports.LoadReporter(
        make_board(name),
        clock_module.Clock(),
        members,
        f"127.0.0.1:{port or 1}",
        engine_load.EngineLoads(),
        lambda engine: 100_000,
    )


def test_entry_vms_that_start_together_find_each_other():
    """All entry VMs of a deployment start within a tenth of a second.

    Each read the topic before it added itself, found it empty, and none
    ever told another of its roll-out's counts; a bad version was completed.
    """

    async def main():
        members = Members()
        made = [make_controller(f"vm-{n}", members) for n in range(5)]
        async with trio.open_nursery() as nursery:
            for each in made:
                nursery.start_soon(each._join)
        for one in made:
            for other in made:
                if one is other:
                    continue
                assert (
                    other.board.name in one.peers
                    or one.board.name in other.peers
                )

    trio.run(main)


def write_datagram(controller):
    return controller._write(controller.channels[0])


def write(controller, **changes):
    for channel in controller.channels:
        channel.introduced_ms = board_module.NEVER
    fields = cbor2.loads(write_datagram(controller))
    for index, value in changes.items():
        fields[int(index[1:])] = value
    return cbor2.dumps(fields)


def test_datagram_brings_loads_parts_and_what_others_add():
    """One entry VM sends a prompt; the other knows of it at once."""
    one, other = (make_controller(f"vm-{n}", Members()) for n in range(2))
    told = []
    one.add_topic(
        "news", load_reports.Topic(lambda: {"a": 1}, lambda t, v, ttl: None)
    )
    other.add_topic(
        "news", load_reports.Topic(dict, lambda t, v, ttl: told.append(v))
    )
    one.record_load("engine", engine_load.Load(5_000.0, 1))
    one.record_cached("engine", [(1, 800)])
    other._take(write_datagram(one))
    assert other.loads.peers["vm-0"].loads["engine"].weight == 5_000.0
    assert other.loads.cached["engine"].parts == {1: 800}
    assert told == [{"a": 1}]


def test_datagram_that_was_overtaken_changes_nothing():
    """The network delivers an old word after a newer one."""
    one, other = (make_controller(f"vm-{n}", Members()) for n in range(2))
    other._take(write_datagram(one))
    one.record_load("engine", engine_load.Load(5_000.0, 1))
    old = write_datagram(one)
    one.record_load("engine", engine_load.Load(-5_000.0, -1))
    other._take(write_datagram(one))
    other._take(old)
    assert not other.loads.peers["vm-0"].loads


def test_restarted_peer_is_believed_from_its_first_datagram():
    """A peer starts again under its name; its numbers begin anew."""
    one, other = (make_controller(f"vm-{n}", Members()) for n in range(2))
    for _ in range(9):
        other._take(write_datagram(one))
    again = make_controller("vm-0", Members())
    again.record_load("engine", engine_load.Load(100.0, 1))
    other._take(write_datagram(again))
    assert other.loads.peers["vm-0"].loads["engine"].streams == 1


def test_entry_vm_that_has_not_said_its_name_is_not_heard():
    """A datagram comes from one that started before this one did.

    Nothing is made of it until it gives its name, a second later at the most.
    """
    one, other = (make_controller(f"vm-{n}", Members()) for n in range(2))
    one.record_load("engine", engine_load.Load(100.0, 1))
    write_datagram(one)
    other._take(write_datagram(one))
    assert not other.peers
    other._take(write(one))
    other._take(write_datagram(one))
    assert other.loads.peers["vm-0"].loads["engine"].streams == 1


def test_late_datagram_of_a_former_start_is_not_the_present_ones():
    """An entry VM is killed and starts again; an old datagram comes late.

    It bears the former start's number and a high sequence number. Taken for
    the present start's, it made all that this one told look overtaken.
    """
    one, other = (make_controller(f"vm-{n}", Members()) for n in range(2))
    other._take(write(one))
    for _ in range(20):
        late = write_datagram(one)
    again = make_controller("vm-0", Members())
    other._take(write(again))
    other._take(late)
    again.record_load("engine", engine_load.Load(100.0, 1))
    other._take(write_datagram(again))
    assert other.loads.peers["vm-0"].loads["engine"].streams == 1


def test_engine_that_is_not_listed_here_is_left_out():
    """A peer has read of a new engine in the registry, this one has not."""
    one, other = (make_controller(f"vm-{n}", Members()) for n in range(2))
    one.record_load("engine-9", engine_load.Load(100.0, 1))
    one.record_cached("engine-9", [(1, 800)])
    other._take(write_datagram(one))
    assert not other.loads.peers["vm-0"].loads
    assert not other.loads.cached


def test_junk_is_dropped():
    """Something else on the network sends datagrams to the port."""
    one, other = (make_controller(f"vm-{n}", Members()) for n in range(2))
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
        other._take(data)
    assert not other.loads.peers


def tell_prompts(made, channel, seconds):
    """Bytes that a channel would send for ten prompts a second."""
    now_ms, sent_bytes = 0.0, 0
    while now_ms < seconds * 1000:
        for number in range(int(now_ms / 100), int(now_ms / 100) + 3):
            made.record_cached(f"engine-{number % 6}", [(number, 5_000)])
            made.record_load(
                f"engine-{number % 6}", engine_load.Load(5_000.0, 1)
            )
        told = channel.choose_peers(made.peers.values())
        size = len(made._write(channel)) * len(told)
        sent_bytes += size
        now_ms += channel.find_pause_ms(size)
    return sent_bytes


def test_other_failure_domains_are_told_within_a_budget():
    """Nine entry VMs under load told each other 56 KB a second each.

    Most of it crossed between failure domains, where bytes are paid for.
    Cause: each prompt was told three times to everybody, 30 ms apart.
    """
    made = make_controller("vm-0", Members())
    for number in range(8):
        domain = "north" if number < 2 else "south"
        sender = load_report_messages.Sender(
            f"vm-{number + 1}", "x", f"127.0.0.1:{number + 2}", domain
        )
        made._add_peer(sender)
    near, far = made.channels
    assert len(near.choose_peers(made.peers.values())) == 2
    assert len(far.choose_peers(made.peers.values())) == 6
    assert near.find_pause_ms(10_000) == report_channels.MIN_PAUSE_MS
    assert (
        tell_prompts(made, far, 10)
        < 11 * report_channels.REMOTE_BYTES_PER_SECOND
    )


def test_entry_vms_of_a_failure_domain_are_known_after_joining():
    """One that has not read who the others are takes itself for all."""
    made = make_controller("vm-0", Members())
    assert made.list_domain_members("north") is None
    made.joined.set()
    for name, domain in (("vm-1", "north"), ("vm-2", "south")):
        made._add_peer(
            load_report_messages.Sender(name, "x", "127.0.0.1:9", domain)
        )
    assert made.list_domain_members("north") == ["vm-1", "vm-0"]
    assert made.list_domain_members("south") == ["vm-2"]
    assert set(made.list_domain_members("east")) == {"vm-0", "vm-1", "vm-2"}


@attrs.define
class Sender:
    """A socket that keeps what is sent."""

    sent: list[tuple[bytes, tuple[str, int]]] = attrs.field(factory=list)

    def sendto(self, data, address):
        self.sent.append((data, address))


def test_entry_vm_that_joins_is_known_to_its_whole_domain_at_once():
    """Its queries are dropped by delegates whose turn for a report is late."""

    async def main():
        members = Members()
        made = [make_controller(f"vm-{n}", members, n) for n in range(1, 41)]
        for each in made:
            each._sender = typing.cast(typing.Any, Sender())
            await each._join()
        newest = made[-1]
        assert len(newest._sender.sent) == 39
        for other, (data, address) in zip(
            made, newest._sender.sent, strict=False
        ):
            other._take(data, address)
            assert newest.board.name in other.peers

    trio.run(main)


def test_end_of_a_stream_alone_sends_no_report():
    """Reports take up what an entry VM may spend on control."""
    made = make_controller("vm-0", Members())
    changed = [channel.changed for channel in made.channels]
    made.record_load("engine", engine_load.Load(5_000.0, 1))
    assert all(event.is_set() for event in changed)
    for channel in made.channels:
        channel.changed = trio.Event()
    made.record_load("engine", engine_load.Load(-5_000.0, 0))
    assert all(channel.changed.is_set() for channel in made.channels)
    for channel in made.channels:
        channel.changed = trio.Event()
    made.record_load("engine", engine_load.Load(0.0, -1))
    assert not any(channel.changed.is_set() for channel in made.channels)
    assert not made.loads.own
