"""Failing delegates in failure domains of 8, 40 and 100 entry VMs."""

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
SETTLE_S = 3.0
# Within this time after the failure of a delegate, its clients read the store
# themselves or have another delegate.
DETECTION_S = 1.2
DELAY_S = 0.0005


@attrs.define
class FakeTopic:
    """A topic that never changes and was always just read."""

    def get_attestation(self):
        now_ms = trio.current_time() * 1000
        return attestation.Attestation(7, now_ms, now_ms)

    def get_position(self):
        return 7

    def list_since(self, start):
        return []

    def apply_changes(self, start, end, changed):
        return False

    def confirm(self, attested):
        """Ignore the attestation."""

    def notify_position(self, position, served):
        raise AssertionError("the topic never changes")

    def notify_progress(self):
        """Parts of a long change are not recorded."""


@attrs.define
class Network:
    """Delivers datagrams in a failure domain; ``lost`` is the lost share."""

    nursery: trio.Nursery
    rng: random.Random
    lost: float = 0.0
    failed: set[str] = attrs.field(factory=set)
    nodes: dict[str, "Node"] = attrs.field(factory=dict)
    datagrams: int = 0

    def send(self, sender: str, name: str, data: bytes) -> None:
        self.datagrams += 1
        if not self.failed & {sender, name} and self.rng.random() >= self.lost:
            self.nursery.start_soon(self._deliver, sender, name, data)

    async def _deliver(self, sender: str, name: str, data: bytes) -> None:
        await trio.sleep(DELAY_S)
        if name not in self.failed:
            fields = load_report_messages.decode(data)
            self.nodes[name].handlers[fields[0]](sender, fields)


@attrs.define(eq=False)
class Node:
    """One entry VM: stands in for its load reporter, and has a controller."""

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
    """Start a failure domain's entry VMs within 0.5 s; wait to settle."""
    for number in range(size):
        node = Node(f"vm-{number}", network)
        board = board_module.ForwardingBoard(
            name=node.name, failure_domain="north"
        )
        node.controller = freshness.FreshnessController(
            board, clocks.TrioClock(), typing.cast(typing.Any, node)
        )
        node.controller.add_topic(TOPIC, FakeTopic())
        network.nodes[node.name] = node
    for node in network.nodes.values():
        await node.controller.start(network.nursery)
        await trio.sleep(0.5 / size)
    await trio.sleep(SETTLE_S)


def list_clients(network: Network) -> list[Node]:
    return [
        node
        for node in network.nodes.values()
        if node.controller.choice.delegate != node.name
    ]


def run_scenario(scenario, size: int, lost: float = 0.0) -> None:
    """Run a scenario on a failure domain that has settled."""

    async def main():
        async with trio.open_nursery() as nursery:
            network = Network(nursery, random.Random(size), lost)
            await start_domain(network, size)
            await scenario(network)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_domain_settles_on_few_delegates():
    """Guards against unstable delegates, with all VMs reading the store."""
    for size in SIZES:

        async def scenario(network, size=size):
            chosen = {
                node.controller.choice.delegate
                for node in network.nodes.values()
            }
            max_delegates = -(-size // delegates.MAX_CLIENTS_PER_DELEGATE)
            assert len(chosen) == max_delegates
            assert all(
                node.controller.has_delegate(TOPIC)
                for node in list_clients(network)
            )

        run_scenario(scenario, size)


def test_failed_delegate_is_noticed_as_soon_in_large_domains():
    """Guards against slower detection of a failure, the larger the domain."""
    for size in SIZES:

        async def scenario(network):
            clients = list_clients(network)
            failed_delegate = clients[0].controller.choice.delegate
            network.failed.add(failed_delegate)
            await trio.sleep(DETECTION_S)
            for node in clients:
                served = node.controller.has_delegate(TOPIC)
                assert (
                    not served
                    or node.controller.choice.answering != failed_delegate
                )
            await trio.sleep(DETECTION_S)
            for node in list_clients(network):
                if node.name != failed_delegate:
                    controller = node.controller
                    assert controller.choice.delegate != failed_delegate
                    # The new delegate may not know its role yet.
                    assert (
                        controller.has_delegate(TOPIC)
                        or controller.list_clients()
                    )

        run_scenario(scenario, size)


def test_recovered_delegate_is_preferred_again_without_a_gap():
    """Guards against store reads while clients return to a delegate.

    The delegate was cut off for six seconds.
    """

    async def scenario(network):
        clients = list_clients(network)
        failed_delegate = clients[0].controller.choice.delegate
        its_clients = [
            n
            for n in clients
            if n.controller.choice.delegate == failed_delegate
        ]
        network.failed.add(failed_delegate)
        await trio.sleep(6.0)
        network.failed.discard(failed_delegate)
        for _ in range(60):
            await trio.sleep(0.05)
            assert all(
                node.controller.has_delegate(TOPIC)
                for node in its_clients
                if node.controller.choice.delegate != node.name
            )
        assert all(
            n.controller.choice.delegate == failed_delegate
            for n in its_clients
        )

    run_scenario(scenario, 40)


def test_lost_datagrams_rarely_leave_clients_without_a_delegate():
    """Guards against store reads because links lose 2% of the datagrams."""

    async def scenario(network):
        checks = without_delegate = 0
        for _ in range(120):
            await trio.sleep(0.5)
            clients = list_clients(network)
            checks += len(clients)
            without_delegate += sum(
                not node.controller.has_delegate(TOPIC) for node in clients
            )
        assert without_delegate <= 0.01 * checks

    run_scenario(scenario, 40, lost=0.02)


def test_datagrams_per_entry_vm_do_not_grow_with_its_domain():
    """Guards against traffic that grows with the domain's size.

    If all entry VMs probed each other, this would use up the bandwidth that
    each may spend on control.
    """
    counts = []
    for size in SIZES:

        async def scenario(network, size=size):
            network.datagrams = 0
            await trio.sleep(20.0)
            counts.append(network.datagrams / size)

        run_scenario(scenario, size)
    assert max(counts) <= 1.2 * min(counts)
