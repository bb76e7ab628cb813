"""Entry VMs find each other and tell each other what they know."""

import attrs
import cbor2
import trio

from carawayward import clock as clock_module
from carawayward.decisions import engine_load
from carawayward.forwarding import board as board_module
from carawayward.forwarding import hints
from carawayward.forwarding import keyed_log


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


def make_controller(name, members, port=0):
    return hints.HintsController(
        board_module.ForwardingBoard(name=name, failure_domain="north"),
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
                nursery.start_soon(each._find_peers)
        for one in made:
            for other in made:
                if one is other:
                    continue
                assert (
                    other.board.name in one.peers
                    or one.board.name in other.peers
                )

    trio.run(main)


def write(controller, **changes):
    fields = cbor2.loads(controller._write())
    for index, value in changes.items():
        fields[int(index[1:])] = value
    return cbor2.dumps(fields)


def test_datagram_brings_loads_parts_and_what_others_add():
    """One entry VM sends a prompt; the other knows of it at once."""
    one, other = (make_controller(f"vm-{n}", Members()) for n in range(2))
    told = []
    one.add_topic("news", hints.Topic(lambda: {"a": 1}, lambda t, v: None))
    other.add_topic("news", hints.Topic(dict, lambda t, v: told.append(v)))
    one.add_load("engine", engine_load.Load(5_000.0, 1))
    one.add_cached("engine", [(1, 800)])
    other._take(one._write())
    assert other.loads.peers["vm-0"].loads["engine"].weight == 5_000.0
    assert other.loads.cached["engine"].parts == {1: 800}
    assert told == [{"a": 1}]


def test_datagram_that_was_overtaken_changes_nothing():
    """The network delivers an old word after a newer one."""
    one, other = (make_controller(f"vm-{n}", Members()) for n in range(2))
    one.add_load("engine", engine_load.Load(5_000.0, 1))
    old = one._write()
    one.add_load("engine", engine_load.Load(-5_000.0, -1))
    other._take(one._write())
    other._take(old)
    assert not other.loads.peers["vm-0"].loads


def test_restarted_peer_is_believed_from_its_first_datagram():
    """A peer starts again under its name; its numbers begin anew."""
    one, other = (make_controller(f"vm-{n}", Members()) for n in range(2))
    for _ in range(9):
        other._take(one._write())
    again = make_controller("vm-0", Members())
    again.add_load("engine", engine_load.Load(100.0, 1))
    other._take(again._write())
    assert other.loads.peers["vm-0"].loads["engine"].streams == 1


def test_junk_is_dropped():
    """Something else on the network sends datagrams to the port."""
    one, other = (make_controller(f"vm-{n}", Members()) for n in range(2))
    for data in (
        b"",
        b"\xff\xff",
        cbor2.dumps(17),
        cbor2.dumps([hints.VERSION]),
        cbor2.dumps([hints.VERSION + 1, "x"]),
        write(one, f6={"engine": "much"}),
        write(one, f7=[["engine", 1]]),
        write(one, f3="nowhere"),
        write(one, f8=3),
    ):
        other._take(data)
    assert not other.loads.peers
