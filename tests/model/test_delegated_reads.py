"""Attestations of another entry VM under randomly scheduled events.

The production controllers of two entry VMs run over a simulated store, network
and clocks, driven by a seeded schedule: records are written, polls begin and
end, queries and reports are lost, delayed, duplicated and reordered, and
either side is suspended or restarted. Every attestation that is accepted must
be true.
"""

import random
import typing
from unittest import mock

import attrs

from carawayward.forwarding import attestation
from carawayward.forwarding import board as board_module
from carawayward.forwarding import change_log
from carawayward.forwarding import freshness
from carawayward.forwarding import freshness_messages
from carawayward.forwarding import load_report_messages

SEEDS = 1_500
STEPS = 60
MAX_STEP_MS = 100.0
MAX_SUSPENSION_MS = 3_000.0


@attrs.define
class Node:
    """One entry VM, whose clock is ``skew_ms`` ahead of true time."""

    name: str
    peer: str
    skew_ms: float
    simulation: "Simulation"
    position: int = 0
    current_as_of_ms: float = -1e9
    poll_sent_ms: float | None = None
    handlers: dict = attrs.field(factory=dict)
    controller: typing.Any = None

    def start(self):
        """Start, or restart without any former state."""
        self.handlers, self.poll_sent_ms = {}, None
        self.position, self.current_as_of_ms = (
            len(self.simulation.written_ms),
            -1e9,
        )
        self.poll()
        self.end_poll()
        board = board_module.ForwardingBoard(
            name=self.name, failure_domain="north"
        )
        node: typing.Any = self
        self.controller = freshness.FreshnessController(board, node, node)
        self.controller.add_topic("keys", node)

    def boot_ms(self):
        return self.simulation.now_ms + self.skew_ms

    def add_handler(self, kind, handler):
        self.handlers[kind] = handler

    def list_delegate_candidates(self):
        return [self.peer]

    def send(self, name, data):
        self.simulation.in_transit.append(
            (self.simulation.now_ms, self.name, name, data)
        )

    def get_attestation(self):
        return attestation.Attestation(
            self.position, self.current_as_of_ms, self.current_as_of_ms
        )

    def get_position(self):
        return self.position

    def list_since(self, start):
        return [
            change_log.Change(offset, "key", b"%d" % offset)
            for offset in range(start, self.position)
        ]

    def apply_changes(self, start, end, changed):
        if not start <= self.position < end:
            return False
        offsets = {each.offset for each in changed}
        assert offsets >= set(range(self.position, end))
        self.position = end
        return True

    def notify_position(self, position, served):
        """Ignore it: the schedule decides when to poll."""

    def notify_progress(self):
        """Parts of a long change are not recorded."""

    def confirm(self, attested):
        if attested.position != self.position:
            return
        true_ms = attested.as_of_ms - self.skew_ms
        self.simulation.check(attested.position, true_ms)
        self.current_as_of_ms = max(self.current_as_of_ms, attested.as_of_ms)

    def poll(self):
        self.poll_sent_ms = self.boot_ms()

    def end_poll(self):
        if self.poll_sent_ms is not None:
            self.position = len(self.simulation.written_ms)
            self.current_as_of_ms = self.poll_sent_ms
            self.poll_sent_ms = None

    def receive(self, data):
        fields = load_report_messages.decode(data)
        self.handlers[fields[0]](self.peer, fields)


@attrs.define
class Simulation:
    """True time in ms, times of writes, and datagrams in transit."""

    rng: random.Random
    now_ms: float = 0.0
    written_ms: list[float] = attrs.field(factory=list)
    in_transit: list = attrs.field(factory=list)
    nodes: dict[str, Node] = attrs.field(factory=dict)
    confirmations: int = 0

    def check(self, position, true_ms):
        """Assert that ``position`` was the end of the log at ``true_ms``."""
        self.confirmations += 1
        written = sum(at_ms <= true_ms for at_ms in self.written_ms)
        assert written <= position, (position, true_ms, self.written_ms)

    def step(self):
        """Perform one random event."""
        self.now_ms += self.rng.random() * MAX_STEP_MS
        node = self.nodes[self.rng.choice(("a", "b"))]
        event = self.rng.choice(
            ("write", "poll", "end", "query", "query", "deliver", "deliver")
            + ("deliver", "push", "lose", "duplicate", "suspend", "restart")
        )
        match event:
            case "write":
                self.written_ms.append(self.now_ms)
            case "poll":
                node.poll()
            case "end":
                node.end_poll()
            case "query":
                node.controller._query(node.peer)
            case "push":
                node.controller.push_updates("keys")
            case "suspend":
                self.now_ms += self.rng.random() * MAX_SUSPENSION_MS
            case "restart":
                if self.rng.random() < 0.2:
                    node.start()
            case _ if self.in_transit:
                self._move(event)

    def _move(self, event):
        index = self.rng.randrange(len(self.in_transit))
        if event == "duplicate":
            self.in_transit.append(self.in_transit[index])
            return
        _, _, name, data = self.in_transit.pop(index)
        if event == "deliver":
            self.nodes[name].receive(data)


def run_schedule(seed):
    """Run one schedule; return how many attestations were accepted."""
    rng = random.Random(seed)
    simulation = Simulation(rng)
    for name, peer in (("a", "b"), ("b", "a")):
        skew_ms = rng.random() * 1e6
        simulation.nodes[name] = Node(name, peer, skew_ms, simulation)
    for node in simulation.nodes.values():
        node.start()
    for _ in range(STEPS):
        simulation.step()
    return simulation.confirmations


def is_violation_found():
    """Whether some schedule accepts an attestation that is not true."""
    for seed in range(SEEDS):
        try:
            run_schedule(seed)
        except AssertionError:
            return True
    return False


def test_no_schedule_confirms_a_stale_position():
    """Guards against a revoked key that works for longer than its lease."""
    assert sum(run_schedule(seed) for seed in range(SEEDS)) > SEEDS


def test_schedules_detect_removed_guards():
    """Without each guard, some schedule accepts a false attestation."""
    make_query = freshness.PendingQuery

    def use_arrival_time(peer, sent_ms):
        return make_query(peer, sent_ms + MAX_SUSPENSION_MS)

    def omit_age(report):
        return [report.position, 0, 0, report.start, report.end, [], True]

    with mock.patch.object(freshness, "PendingQuery", use_arrival_time):
        assert is_violation_found()
    with mock.patch.object(
        freshness_messages.TopicReport, "to_fields", omit_age
    ):
        assert is_violation_found()
