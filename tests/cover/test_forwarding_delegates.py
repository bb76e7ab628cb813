"""How soon a client learns of changes while a delegate reads the store."""

import random
import types
import typing

import attrs
import trio
import trio.testing

from carawayward.decisions import delegates
from carawayward import errors
from carawayward.forwarding import board as board_module
from carawayward.forwarding import call_causes
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
DELEGATE = delegates.choose_delegate(NAMES[0], NAMES)
(CLIENT,) = set(NAMES) - {DELEGATE}
# When the delegate loses the store at the earliest; polls last up to 1.5 s.
OUTAGE_START_S = 6.0
POLL_S = 1.5
ANSWER_S = 0.01
MAX_DELAY_S = 0.004


@attrs.define
class FakeTopic:
    """A topic with one record, and another one from each of ``written_s`` on.

    With ``removes_last`` the last record is a removal. From
    ``outage_start_s`` on calls and polls get no answer.
    """

    written_s: tuple[float, ...]
    outage_start_s: float = float("inf")
    removes_last: bool = False

    def _list(self):
        now_s = trio.current_time()
        count = 1 + sum(at_s <= now_s for at_s in self.written_s)
        return [self._make_record(offset) for offset in range(count)]

    def _make_record(self, offset):
        last = offset == len(self.written_s)
        value = None if last and self.removes_last else b"x"
        return keyed_log.Record("desk", value, offset)

    async def read_newest(self):
        await self._answer()
        return keyed_log.Batch(self._list(), len(self._list()))

    async def read(self, start, wait_ms, listing_bytes):
        until_s = trio.current_time() + wait_ms / 1000
        if start <= len(self.written_s):
            until_s = min(until_s, self.written_s[start - 1])
        if until_s >= self.outage_start_s:
            await trio.sleep(wait_ms / 1000)
        await trio.sleep_until(max(until_s, trio.current_time()))
        await self._answer()
        return keyed_log.Batch(self._list()[start:], len(self._list()))

    async def _answer(self):
        await trio.sleep(ANSWER_S)
        if trio.current_time() >= self.outage_start_s:
            await trio.sleep(store.CALL_TIMEOUT_MS / 1000)
            raise errors.PlatformUnavailable("store", "no answer")


@attrs.define
class FakeReporter:
    """Delivers datagrams between the entry VMs within ``MAX_DELAY_S``."""

    name: str
    others: dict[str, "FakeReporter"]
    nursery: trio.Nursery
    handlers: dict = attrs.field(factory=dict)
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))

    @property
    def joined(self):
        event = trio.Event()
        event.set()
        return event

    def list_delegate_candidates(self):
        return [name for name in NAMES if name != self.name]

    def list_domain_members(self, failure_domain):
        return NAMES

    def report_soon(self):
        """Load reports are not played."""

    def add_handler(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, name, data):
        self.nursery.start_soon(self._deliver, name, data)

    async def _deliver(self, name, data):
        await trio.sleep(MAX_DELAY_S * self.rng.random())
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


def make_vm(name, reporters, written_s, outage_start_s):
    """The feeds and controller of an entry VM, assembled as in the daemon."""
    clock = clocks.TrioClock()
    board = board_module.ForwardingBoard(name=name, failure_domain="north")
    reporter: typing.Any = reporters[name]
    freshness_controller = freshness.FreshnessController(
        board, clock, reporter
    )
    ports: typing.Any = types.SimpleNamespace(
        declarations=FakeTopic(written_s, outage_start_s),
        endpoints=FakeTopic(written_s, outage_start_s, removes_last=True),
        statuses=None,
        decode_declaration=decode_declaration,
        decode_endpoint=decode_endpoint,
    )
    own_settings = settings.ForwardingSettings(
        name=name,
        failure_domain="north",
        listen=settings.Listen(callers="", readiness="", peers=""),
        store=settings.Store(address=""),
    )
    rounds: typing.Any = types.SimpleNamespace(
        is_needed=lambda: False,
        wait_until_needed=trio.sleep_forever,
        replace=None,
        apply=None,
        mark_current=None,
        begin_era=None,
        begin_listing=None,
    )
    feeds = feeds_module.make_feeds(
        own_settings,
        board,
        clock,
        ports,
        freshness_controller,
        rounds,
        metrics.Metrics(),
    )
    return board, [*feeds, freshness_controller]


async def measure_delays(delegate_outage_start_s, written_s):
    """Measure how long after the last change the client applies it, in s.

    The change is a new routing table and the removal of an endpoint.
    """
    changed_s = written_s[-1]
    reporters: dict[str, FakeReporter] = {}
    boards = {}
    delays: dict[str, float] = {}
    async with trio.open_nursery() as nursery:
        for name in NAMES:
            reporters[name] = FakeReporter(name, reporters, nursery)
        for name in NAMES:
            outage_start_s = (
                delegate_outage_start_s if name == DELEGATE else float("inf")
            )
            board, controllers = make_vm(
                name, reporters, written_s, outage_start_s
            )
            boards[name] = board
            for each in controllers:
                await each.start(nursery)
        board = boards[CLIENT]
        while len(delays) < 2 and trio.current_time() < changed_s + 6.0:
            await trio.sleep(0.01)
            delay_s = trio.current_time() - changed_s
            if delay_s < 0.0:
                continue
            if board.table.revision == len(written_s) + 1:
                delays.setdefault("table", delay_s)
            if not board.endpoints:
                delays.setdefault("endpoint", delay_s)
        nursery.cancel_scope.cancel()
    return delays


def test_client_learns_of_change_when_its_delegate_has_lost_the_store():
    """Guards against clients that apply a change 2.5 s late.

    The store stops answering the delegate, whose poll fails only after 2.5 s.
    Until then the delegate keeps sending attestations from before, and its
    clients, which could read the store themselves, waited for it. A change at
    2.753 s was applied at 5.249 s, and requests at 5.041 s were handled by the
    old configuration.
    """
    limit_s = 0.9 * settings.Bounds().drain_ms / 1000
    for phase in range(6):
        outage_start_s = OUTAGE_START_S + phase * POLL_S / 6
        for step in range(26):
            changed_s = outage_start_s + 0.1 * step
            clock = trio.testing.MockClock(autojump_threshold=0)
            delays = trio.run(
                measure_delays, outage_start_s, (changed_s,), clock=clock
            )
            assert set(delays) == {"table", "endpoint"}, (
                outage_start_s,
                changed_s,
            )
            assert max(delays.values()) < limit_s, (
                outage_start_s,
                changed_s,
                delays,
            )


def test_client_learns_of_change_when_delegate_was_lost_after_changes():
    """Guards against requests to an endpoint that left 3 s before.

    The delegate lost the store right after it had read other changes.
    """
    limit_s = 0.95 * settings.Bounds().drain_ms / 1000
    for before_s in (0.01, 0.05, 0.15, 0.25, 0.6, 0.85):
        earlier_s = (
            OUTAGE_START_S - before_s - 0.05,
            OUTAGE_START_S - before_s,
        )
        for step in range(16):
            written_s = (*earlier_s, OUTAGE_START_S + 0.1 * step)
            clock = trio.testing.MockClock(autojump_threshold=0)
            delays = trio.run(
                measure_delays, OUTAGE_START_S, written_s, clock=clock
            )
            assert set(delays) == {"table", "endpoint"}, written_s
            assert max(delays.values()) < limit_s, (written_s, delays)


async def collect_call_causes(duration_s):
    """Return the causes of the client's store calls while nothing changes."""
    reporters: dict[str, FakeReporter] = {}
    causes: list[call_causes.Cause] = []
    async with trio.open_nursery() as nursery:
        for name in NAMES:
            reporters[name] = FakeReporter(name, reporters, nursery)
        for name in NAMES:
            _, controllers = make_vm(name, reporters, (1e9,), float("inf"))
            if name == CLIENT:
                controllers[0].count_call = causes.append
            for each in controllers:
                await each.start(nursery)
        await trio.sleep(duration_s)
        nursery.cancel_scope.cancel()
    return causes


def test_client_calls_the_store_only_at_startup():
    """Guards against clients that poll the store although a delegate does."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    causes = trio.run(collect_call_causes, 30.0, clock=clock)
    assert causes == [call_causes.Cause.START]
