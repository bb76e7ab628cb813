"""Proofs taken from another entry VM, under any order of what can happen.

The shipped controllers of two entry VMs run over a store, a network and
clocks that a seeded schedule moves: records are written, polls begin and end,
questions and answers are lost, late, doubled and overtaken, either side
stands still or starts again. What one takes as proved must be so.
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
STEP_MS = 100.0
LATE_MS = 3_000.0


@attrs.define
class Node:
    """One entry VM: its clock runs apart from true time by ``skew_ms``."""

    name: str
    peer: str
    skew_ms: float
    world: "World"
    position: int = 0
    proved_ms: float = -1e9
    polled_ms: float | None = None
    handlers: dict = attrs.field(factory=dict)
    controller: typing.Any = None

    def start(self):
        """Start, or start again and know nothing of before."""
        self.handlers, self.polled_ms = {}, None
        self.position, self.proved_ms = len(self.world.written_ms), -1e9
        self.poll()
        self.end_poll()
        board = board_module.ForwardingBoard(
            name=self.name, failure_domain="north"
        )
        node: typing.Any = self
        self.controller = freshness.FreshnessController(board, node, node)
        self.controller.add_topic("keys", node)

    def boot_ms(self):
        return self.world.now_ms + self.skew_ms

    def add_handler(self, kind, handler):
        self.handlers[kind] = handler

    def list_delegate_candidates(self):
        return [self.peer]

    def send(self, name, data):
        self.world.under_way.append((self.world.now_ms, self.name, name, data))

    def describe(self):
        return attestation.Attestation(
            self.position, self.proved_ms, self.proved_ms
        )

    def get_position(self):
        return self.position

    def list_since(self, start):
        return [
            change_log.Change(offset, "key", b"%d" % offset)
            for offset in range(start, self.position)
        ]

    def apply_changes(self, start, reach, changed):
        if not start <= self.position < reach:
            return False
        offsets = {each.offset for each in changed}
        assert offsets >= set(range(self.position, reach))
        self.position = reach
        return True

    def announce(self, position, served):
        """Nothing: polls come by themselves."""

    def confirm(self, attested):
        if attested.position != self.position:
            return
        true_ms = attested.as_of_ms - self.skew_ms
        self.world.check(attested.position, true_ms)
        self.proved_ms = max(self.proved_ms, attested.as_of_ms)

    def poll(self):
        self.polled_ms = self.boot_ms()

    def end_poll(self):
        if self.polled_ms is not None:
            self.position = len(self.world.written_ms)
            self.proved_ms = self.polled_ms
            self.polled_ms = None

    def take_datagram(self, data):
        fields = load_report_messages.decode(data)
        self.handlers[fields[0]](self.peer, fields)


@attrs.define
class World:
    """True time in ms, when records were written, and what is under way."""

    draw: random.Random
    now_ms: float = 0.0
    written_ms: list[float] = attrs.field(factory=list)
    under_way: list = attrs.field(factory=list)
    nodes: dict[str, Node] = attrs.field(factory=dict)
    proofs: int = 0

    def check(self, position, true_ms):
        """Nothing may have followed ``position`` at ``true_ms``."""
        self.proofs += 1
        followed = sum(at_ms <= true_ms for at_ms in self.written_ms)
        assert followed <= position, (position, true_ms, self.written_ms)

    def step(self):
        """Do one of the things that can happen."""
        self.now_ms += self.draw.random() * STEP_MS
        node = self.nodes[self.draw.choice(("a", "b"))]
        event = self.draw.choice(
            ("write", "poll", "end", "ask", "ask", "deliver", "deliver")
            + ("deliver", "news", "lose", "double", "stand still", "restart")
        )
        match event:
            case "write":
                self.written_ms.append(self.now_ms)
            case "poll":
                node.poll()
            case "end":
                node.end_poll()
            case "ask":
                node.controller._query(node.peer)
            case "news":
                node.controller.push_updates("keys")
            case "stand still":
                self.now_ms += self.draw.random() * LATE_MS
            case "restart":
                if self.draw.random() < 0.2:
                    node.start()
            case _ if self.under_way:
                self._move(event)

    def _move(self, event):
        index = self.draw.randrange(len(self.under_way))
        if event == "double":
            self.under_way.append(self.under_way[index])
            return
        _, _, name, data = self.under_way.pop(index)
        if event == "deliver":
            self.nodes[name].take_datagram(data)


def play(seed):
    """Play one schedule; return how many proofs were taken."""
    draw = random.Random(seed)
    world = World(draw)
    for name, peer in (("a", "b"), ("b", "a")):
        skew_ms = draw.random() * 1e6
        world.nodes[name] = Node(name, peer, skew_ms, world)
    for node in world.nodes.values():
        node.start()
    for _ in range(STEPS):
        world.step()
    return world.proofs


def is_caught():
    """Whether some schedule shows a wrong proof."""
    for seed in range(SEEDS):
        try:
            play(seed)
        except AssertionError:
            return True
    return False


def test_no_schedule_proves_what_is_not_so():
    """A key that was taken away would work for longer than its lease."""
    assert sum(play(seed) for seed in range(SEEDS)) > SEEDS


def test_guards_are_seen_to_fail():
    """Each guard taken out lets some schedule prove what is not so."""
    ask = freshness.PendingQuery

    def take_arrival(peer, sent_ms):
        return ask(peer, sent_ms + LATE_MS)

    def forget_age(told):
        return [told.position, 0, 0, told.start, told.reach, [], True]

    with mock.patch.object(freshness, "PendingQuery", take_arrival):
        assert is_caught()
    with mock.patch.object(
        freshness_messages.TopicReport, "to_fields", forget_age
    ):
        assert is_caught()
