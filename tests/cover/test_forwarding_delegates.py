"""What an entry VM knows while a neighbour reads the store for it."""

import random
import types
import typing

import attrs
import trio
import trio.testing

from carawayward.decisions import delegates
from carawayward import errors
from carawayward.forwarding import board as board_module
from carawayward.forwarding import feed
from carawayward.forwarding import feeds as feeds_module
from carawayward.forwarding import freshness
from carawayward.forwarding import keyed_log
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import message_types
from carawayward.forwarding import metrics
from carawayward.forwarding import settings
from carawayward.forwarding import table
from carawayward.platform import store
from tests.common import clocks

NAMES = ("vm-a", "vm-b")
READER = delegates.choose_delegate(NAMES[0], NAMES)
(ASKER,) = set(NAMES) - {READER}
# When the reader loses the store at the earliest; polls last up to 1.5 s.
LOST_S = 6.0
POLL_S = 1.5
ANSWER_S = 0.01
WAY_S = 0.004


@attrs.define
class Topic:
    """A topic with one record, and another at each of ``written_s``.

    The last one is removed where ``removes_last``. From ``lost_s`` on calls
    and polls are left without an answer.
    """

    written_s: tuple[float, ...]
    lost_s: float = float("inf")
    removes_last: bool = False

    def _list(self):
        now_s = trio.current_time()
        count = 1 + sum(at_s <= now_s for at_s in self.written_s)
        return [self._make(offset) for offset in range(count)]

    def _make(self, offset):
        last = offset == len(self.written_s)
        value = None if last and self.removes_last else b"x"
        return keyed_log.Record("desk", value, offset)

    async def read_newest(self):
        await self._answer()
        return keyed_log.Batch(self._list(), len(self._list()))

    async def read(self, start, wait_ms):
        until_s = trio.current_time() + wait_ms / 1000
        if start <= len(self.written_s):
            until_s = min(until_s, self.written_s[start - 1])
        if until_s >= self.lost_s:
            await trio.sleep(wait_ms / 1000)
        await trio.sleep_until(max(until_s, trio.current_time()))
        await self._answer()
        return keyed_log.Batch(self._list()[start:], len(self._list()))

    async def _answer(self):
        await trio.sleep(ANSWER_S)
        if trio.current_time() >= self.lost_s:
            await trio.sleep(store.CALL_TIMEOUT_MS / 1000)
            raise errors.PlatformUnavailable("store", "no answer")


@attrs.define
class Wire:
    """Datagrams between the two entry VMs; each takes up to ``WAY_S``."""

    name: str
    others: dict[str, "Wire"]
    nursery: trio.Nursery
    handlers: dict = attrs.field(factory=dict)
    draw: random.Random = attrs.field(factory=lambda: random.Random(1))

    @property
    def joined(self):
        event = trio.Event()
        event.set()
        return event

    def list_delegate_candidates(self):
        return [name for name in NAMES if name != self.name]

    def add_handler(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, name, data):
        self.nursery.start_soon(self._deliver, name, data)

    async def _deliver(self, name, data):
        await trio.sleep(WAY_S * self.draw.random())
        fields = load_report_messages.decode(data)
        self.others[name].handlers[fields[0]](self.name, fields)


def decode_declaration(record):
    return table.RoutingTable(
        revision=record.offset + 1,
        routes=(),
        services={},
        customers_by_key={},
        keyed=True,
        limits=table.CallerLimits(
            header_bytes=1, body_bytes=1, header_ms=1, idle_ms=1
        ),
    )


def decode_endpoint(record):
    return message_types.EndpointEntry(
        name=record.key,
        service="desk",
        address="127.0.0.1:1",
        failure_domain="north",
    )


def make_vm(name, wires, written_s, lost_s):
    """The feeds and proofs of an entry VM, wired as the daemon does."""
    clock = clocks.TrioClock()
    board = board_module.ForwardingBoard(name=name, failure_domain="north")
    wire: typing.Any = wires[name]
    exchanged = freshness.FreshnessController(board, clock, wire)
    ports: typing.Any = types.SimpleNamespace(
        declarations=Topic(written_s, lost_s),
        endpoints=Topic(written_s, lost_s, removes_last=True),
        statuses=None,
        decode_declaration=decode_declaration,
        decode_endpoint=decode_endpoint,
    )
    own = settings.ForwardingSettings(
        name=name,
        failure_domain="north",
        listen=settings.Listen(callers="", readiness="", peers=""),
        store=settings.Store(address=""),
    )
    rounds: typing.Any = types.SimpleNamespace(
        is_needed=lambda: False,
        replace=None,
        apply=None,
        prove=None,
        begin_era=None,
        begin_listing=None,
    )
    feeds = feeds_module.make_feeds(
        own, board, clock, ports, exchanged, rounds, metrics.Metrics()
    )
    return board, [*feeds, exchanged]


async def find_delays(reader_lost_s, written_s):
    """How long after the last change the client knows it, in s.

    It changes the routing table, and an endpoint leaves.
    """
    changed_s = written_s[-1]
    wires: dict[str, Wire] = {}
    boards = {}
    delays: dict[str, float] = {}
    async with trio.open_nursery() as nursery:
        for name in NAMES:
            wires[name] = Wire(name, wires, nursery)
        for name in NAMES:
            lost_s = reader_lost_s if name == READER else float("inf")
            board, controllers = make_vm(name, wires, written_s, lost_s)
            boards[name] = board
            for each in controllers:
                await each.start(nursery)
        board = boards[ASKER]
        while len(delays) < 2 and trio.current_time() < changed_s + 6.0:
            await trio.sleep(0.01)
            late_s = trio.current_time() - changed_s
            if late_s < 0.0:
                continue
            if board.table.revision == len(written_s) + 1:
                delays.setdefault("table", late_s)
            if not board.endpoints:
                delays.setdefault("endpoint", late_s)
        nursery.cancel_scope.cancel()
    return delays


def test_change_is_known_in_time_though_the_reader_has_lost_the_store():
    """An old configuration is in force 2.5 s after it was changed.

    The store falls silent to the entry VM that reads for its neighbours. Its
    poll has two and a half seconds until it counts as failed; until then it
    goes on telling what it had proved before, and the neighbours, whom the
    store would serve, wait for its word. The change was at 2.753 s; they had
    it at 5.249 s, and requests at 5.041 s met the old one.
    """
    most_s = 0.9 * settings.Bounds().drain_ms / 1000
    for phase in range(6):
        lost_s = LOST_S + phase * POLL_S / 6
        for step in range(26):
            changed_s = lost_s + 0.1 * step
            clock = trio.testing.MockClock(autojump_threshold=0)
            delays = trio.run(find_delays, lost_s, (changed_s,), clock=clock)
            assert set(delays) == {"table", "endpoint"}, (lost_s, changed_s)
            assert max(delays.values()) < most_s, (lost_s, changed_s, delays)


def test_change_is_known_in_time_though_the_reader_was_lost_after_others():
    """Work goes on to an endpoint that left three seconds before.

    The delegate had just read other changes when it lost the store.
    """
    most_s = 0.95 * settings.Bounds().drain_ms / 1000
    for before_s in (0.01, 0.05, 0.15, 0.25, 0.6, 0.85):
        others_s = (LOST_S - before_s - 0.05, LOST_S - before_s)
        for step in range(16):
            written_s = (*others_s, LOST_S + 0.1 * step)
            clock = trio.testing.MockClock(autojump_threshold=0)
            delays = trio.run(find_delays, LOST_S, written_s, clock=clock)
            assert set(delays) == {"table", "endpoint"}, written_s
            assert max(delays.values()) < most_s, (written_s, delays)


async def count_causes(quiet_s):
    """The calls of the client by cause, while nothing changes."""
    wires: dict[str, Wire] = {}
    causes: list[feed.Cause] = []
    async with trio.open_nursery() as nursery:
        for name in NAMES:
            wires[name] = Wire(name, wires, nursery)
        for name in NAMES:
            _, controllers = make_vm(name, wires, (1e9,), float("inf"))
            if name == ASKER:
                controllers[0].count_call = causes.append
            for each in controllers:
                await each.start(nursery)
        await trio.sleep(quiet_s)
        nursery.cancel_scope.cancel()
    return causes


def test_client_calls_the_store_at_its_start_only():
    """Each entry VM polls the store though its delegate does."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    causes = trio.run(count_causes, 30.0, clock=clock)
    assert causes == [feed.Cause.START]
