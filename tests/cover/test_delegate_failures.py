"""Delegates that fail, in failure domains of 8, 40 and 100 entry VMs."""

import random
import typing

import attrs
import trio
import trio.testing

from carawayward.decisions import delegates
from carawayward.forwarding import attestation
from carawayward.forwarding import board as board_module
from carawayward.forwarding import freshness
from carawayward.forwarding import load_report_messages
from tests.common import clocks

TOPIC = "keys"
SIZES = (8, 40, 100)
SETTLED_S = 3.0
# Within this time of a failure whoever relied on it reads for itself, or has
# another delegate.
DETECTED_S = 1.2
WAY_S = 0.0005


@attrs.define
class Topic:
    """A topic in which nothing changes, always just read."""

    def describe(self):
        now_ms = trio.current_time() * 1000
        return attestation.Attestation(7, now_ms, now_ms)

    def get_position(self):
        return 7

    def list_since(self, start):
        return []

    def apply_changes(self, start, reach, changed):
        return False

    def confirm(self, attested):
        """Nothing is done with it."""

    def announce(self, position, served):
        raise AssertionError("nothing changes")


@attrs.define
class Network:
    """Datagrams of a failure domain; ``lost`` is the share that is lost."""

    nursery: trio.Nursery
    draw: random.Random
    lost: float = 0.0
    failed: set[str] = attrs.field(factory=set)
    nodes: dict[str, "Node"] = attrs.field(factory=dict)
    datagrams: int = 0

    def send(self, sender: str, name: str, data: bytes) -> None:
        self.datagrams += 1
        if (
            not self.failed & {sender, name}
            and self.draw.random() >= self.lost
        ):
            self.nursery.start_soon(self._deliver, sender, name, data)

    async def _deliver(self, sender: str, name: str, data: bytes) -> None:
        await trio.sleep(WAY_S)
        if name not in self.failed:
            fields = load_report_messages.decode(data)
            self.nodes[name].handlers[fields[0]](sender, fields)


@attrs.define(eq=False)
class Node:
    """The load reporter of one entry VM, and its controller."""

    name: str
    network: Network
    handlers: dict = attrs.field(factory=dict)
    controller: typing.Any = None

    @property
    def joined(self):
        event = trio.Event()
        event.set()
        return event

    def list_delegate_candidates(self):
        return [name for name in self.network.nodes if name != self.name]

    def add_handler(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, name, data):
        self.network.send(self.name, name, data)


async def start_domain(network: Network, size: int) -> None:
    """Start a failure domain's entry VMs within half a second."""
    for number in range(size):
        node = Node(f"vm-{number}", network)
        board = board_module.ForwardingBoard(
            name=node.name, failure_domain="north"
        )
        node.controller = freshness.FreshnessController(
            board, clocks.TrioClock(), typing.cast(typing.Any, node)
        )
        node.controller.add_topic(TOPIC, Topic())
        network.nodes[node.name] = node
    for node in network.nodes.values():
        await node.controller.start(network.nursery)
        await trio.sleep(0.5 / size)
    await trio.sleep(SETTLED_S)


def list_clients(network: Network) -> list[Node]:
    return [
        node
        for node in network.nodes.values()
        if node.controller.choice.delegate != node.name
    ]


def play(scenario, size: int, lost: float = 0.0) -> None:
    """Run a scenario on a failure domain that has settled."""

    async def main():
        async with trio.open_nursery() as nursery:
            network = Network(nursery, random.Random(size), lost)
            await start_domain(network, size)
            await scenario(network)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_domain_settles_on_one_delegate_for_sixteen():
    """Delegates change for ever, and all entry VMs read the store."""
    for size in SIZES:

        async def scenario(network, size=size):
            chosen = {
                node.controller.choice.delegate
                for node in network.nodes.values()
            }
            most = -(-size // delegates.MAX_CLIENTS_PER_DELEGATE)
            assert len(chosen) == most
            assert all(
                node.controller.has_delegate(TOPIC)
                for node in list_clients(network)
            )

        play(scenario, size)


def test_death_of_a_delegate_is_noticed_as_soon_in_large_domains():
    """Clients trust a delegate that died for longer, the more peers it had."""
    for size in SIZES:

        async def scenario(network):
            clients = list_clients(network)
            dead = clients[0].controller.choice.delegate
            network.failed.add(dead)
            await trio.sleep(DETECTED_S)
            for node in clients:
                served = node.controller.has_delegate(TOPIC)
                assert not served or node.controller.choice.answering != dead
            await trio.sleep(DETECTED_S)
            for node in list_clients(network):
                if node.name != dead:
                    controller = node.controller
                    assert controller.choice.delegate != dead
                    # The next delegate need not have noticed that it is one.
                    assert (
                        controller.has_delegate(TOPIC)
                        or controller.list_clients()
                    )

        play(scenario, size)


def test_delegate_that_comes_back_is_preferred_again_without_a_gap():
    """A cut ends, and clients read the store while they change back."""

    async def scenario(network):
        clients = list_clients(network)
        dead = clients[0].controller.choice.delegate
        own = [n for n in clients if n.controller.choice.delegate == dead]
        network.failed.add(dead)
        await trio.sleep(6.0)
        network.failed.discard(dead)
        for _ in range(60):
            await trio.sleep(0.05)
            assert all(
                node.controller.has_delegate(TOPIC)
                for node in own
                if node.controller.choice.delegate != node.name
            )
        assert all(n.controller.choice.delegate == dead for n in own)

    play(scenario, 40)


def test_lost_datagrams_pass_no_delegate_over_for_long():
    """Links lose a fiftieth of the datagrams, and all read the store."""

    async def scenario(network):
        checks = without = 0
        for _ in range(120):
            await trio.sleep(0.5)
            clients = list_clients(network)
            checks += len(clients)
            without += sum(
                not node.controller.has_delegate(TOPIC) for node in clients
            )
        assert without <= 0.01 * checks

    play(scenario, 40, lost=0.02)


def test_datagrams_of_an_entry_vm_do_not_grow_with_its_domain():
    """Probes of all by all take what an entry VM may spend on control."""
    counts = []
    for size in SIZES:

        async def scenario(network, size=size):
            network.datagrams = 0
            await trio.sleep(20.0)
            counts.append(network.datagrams / size)

        play(scenario, size)
    assert max(counts) <= 1.2 * min(counts)
