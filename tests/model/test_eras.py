"""Delegated reads of a store that is restored from backups.

The production feeds and controllers of three entry VMs run in virtual time on
a simulated store and network with seeded faults: keys are written and removed,
the store is restored from a backup some seconds old, entry VMs lose the store
for a while, and datagrams are lost. Whatever a feed reports as current must be
so, and after the last fault all entry VMs must converge to the store's state.
"""

import functools
import random
import typing
from unittest import mock

import attrs
import trio
import trio.testing

from carawayward import errors
from carawayward.forwarding import board as board_module
from carawayward.forwarding import feed
from carawayward.forwarding import freshness
from carawayward.forwarding import keyed_log
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import positions
from carawayward.forwarding import store_outages
from tests.common import clocks

NAMES = ("vm-a", "vm-b", "vm-c")
SEEDS = 60
FAULTS_S = 12.0
# Time to converge after the last fault.
SETTLE_S = 3.0
POLL_MS = 1_000.0
MAX_DELAY_S = 0.003
TOPIC = "keys"


@attrs.define
class Data:
    """What the store holds: records by offset."""

    records: list[tuple[str, bytes | None]] = attrs.field(factory=list)

    def list_newest(self) -> dict[str, tuple[int, bytes]]:
        found: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(self.records):
            if value is None:
                found.pop(key, None)
            else:
                found[key] = (offset, value)
        return found


@attrs.define(eq=False)
class FakeStore:
    """A store with eras; ``ends`` lists its end positions and since when."""

    data: Data = attrs.field(factory=Data)
    era: int = 0
    write_count: int = 0
    copy: Data = attrs.field(factory=Data)
    changed: trio.Event = attrs.field(factory=trio.Event)
    ends: list[tuple[float, int]] = attrs.field(factory=list)

    def write(self, key: str, removed: bool) -> None:
        self.write_count += 1
        value = None if removed else b"%d" % self.write_count
        self.data.records.append((key, value))
        self.record_change()

    def save_copy(self) -> None:
        self.copy = Data(list(self.data.records))

    def restore_copy(self) -> None:
        self.data = Data(list(self.copy.records))
        self.era += 1
        self.record_change()

    def record_change(self) -> None:
        end = self.make_position(len(self.data.records))
        self.ends.append((trio.current_time() * 1000, end))
        self.changed.set()
        self.changed = trio.Event()

    def make_position(self, offset: int) -> int:
        return self.era * positions.OFFSETS_PER_ERA + offset

    def find_end(self, at_ms: float) -> int:
        """Return the end position at a given time."""
        return max((e for t, e in self.ends if t <= at_ms), default=0)


@attrs.define(eq=False)
class FakeTopic:
    """One entry VM's access to the store; no answers while ``cut``."""

    store: FakeStore
    cut: bool = False

    async def read_newest(self) -> keyed_log.Batch:
        await self.delay()
        records = [
            keyed_log.Record(key, value, self.make_position(offset))
            for key, (offset, value) in self.store.data.list_newest().items()
        ]
        end = self.make_position(len(self.store.data.records))
        await self.delay()
        return keyed_log.Batch(records, end)

    async def read(
        self, start: int, wait_ms: float, listing_bytes: float = 0.0
    ) -> keyed_log.Batch:
        await self.delay()
        offset, era = positions.get_offset(start), self.store.era
        with trio.move_on_after(wait_ms / 1000):
            while (
                self.store.era == era
                and len(self.store.data.records) == offset
            ):
                await self.store.changed.wait()
        if self.store.era != era:
            raise errors.PlatformUnavailable("store", "reset")
        if positions.get_era(start) != positions.get_era(
            self.make_position(0)
        ):
            raise keyed_log.EraChanged()
        if offset > len(self.store.data.records):
            raise keyed_log.HistoryLost()
        records = [
            keyed_log.Record(key, value, start + index)
            for index, (key, value) in enumerate(
                self.store.data.records[offset:]
            )
        ]
        await self.delay()
        return keyed_log.Batch(records, start + len(records))

    async def append(
        self,
        records: typing.Sequence[keyed_log.Record],
        end: int | None = None,
    ) -> int:
        raise AssertionError("only the schedule writes to the store")

    def make_position(self, offset: int) -> int:
        return positions.make_position(self.store.era, offset)

    async def delay(self) -> None:
        await trio.sleep(MAX_DELAY_S)
        if self.cut:
            await trio.sleep(1.0)
            raise errors.PlatformUnavailable("store", "no answer")


@attrs.define(eq=False)
class EntryVm:
    """One entry VM: its feed, and the records it has applied."""

    name: str
    simulation: "Simulation"
    topic: FakeTopic
    known: dict[str, bytes | None] = attrs.field(factory=dict)
    handlers: dict = attrs.field(factory=dict)
    feed: typing.Any = None
    joined: trio.Event = attrs.field(factory=trio.Event)

    async def start(self, nursery: trio.Nursery) -> None:
        self.joined.set()
        clock = clocks.TrioClock()
        board = board_module.ForwardingBoard(
            name=self.name, failure_domain="north"
        )
        reporter: typing.Any = self
        controller = freshness.FreshnessController(board, clock, reporter)
        self.feed = feed.TopicFeed(
            TOPIC,
            self.topic,
            clock,
            store_outages.OutageTracker(clock),
            self.replace,
            self.apply,
            self.mark_current,
            get_poll_wait=lambda: POLL_MS,
            has_delegate=functools.partial(controller.has_delegate, TOPIC),
            get_max_age=lambda: 2.5 * POLL_MS,
            push_updates=functools.partial(controller.push_updates, TOPIC),
        )
        controller.add_topic(TOPIC, self.feed)
        await self.feed.start(nursery)
        await controller.start(nursery)

    def list_delegate_candidates(self) -> list[str]:
        return [name for name in NAMES if name != self.name]

    def add_handler(self, kind: int, handler: typing.Any) -> None:
        self.handlers[kind] = handler

    def send(self, name: str, data: bytes) -> None:
        self.simulation.send(self.name, name, data)

    def replace(self, records: list[keyed_log.Record]) -> None:
        self.known = {each.key: each.value for each in records}

    def apply(self, record: keyed_log.Record) -> None:
        if record.value is None:
            self.known.pop(record.key, None)
        else:
            self.known[record.key] = record.value

    def mark_current(self, as_of_ms: float) -> None:
        """Check that the position was the end of the log at that time."""
        end = self.simulation.store.find_end(as_of_ms)
        if end > self.feed.position:
            # An exception raised here would only restart the feed's task.
            self.simulation.violations.append(
                (as_of_ms, end, self.feed.position)
            )


@attrs.define(eq=False)
class Simulation:
    """The store, the entry VMs and the datagrams between them."""

    rng: random.Random
    nursery: trio.Nursery
    store: FakeStore = attrs.field(factory=FakeStore)
    vms: dict[str, EntryVm] = attrs.field(factory=dict)
    lost: float = 0.0
    violations: list[tuple] = attrs.field(factory=list)

    def send(self, sender: str, name: str, data: bytes) -> None:
        if self.rng.random() >= self.lost:
            self.nursery.start_soon(self.deliver, sender, name, data)

    async def deliver(self, sender: str, name: str, data: bytes) -> None:
        await trio.sleep(MAX_DELAY_S * self.rng.random())
        fields = load_report_messages.decode(data)
        self.vms[name].handlers[fields[0]](sender, fields)

    def perform_event(self) -> None:
        """Perform one random event."""
        match self.rng.choice(
            ("write",) * 6 + ("copy", "copy", "restore", "cut", "heal")
        ):
            case "write":
                key = f"key-{self.rng.randrange(4)}"
                self.store.write(key, self.rng.random() < 0.3)
            case "copy":
                self.store.save_copy()
            case "restore":
                self.store.restore_copy()
            case "cut":
                self.rng.choice(list(self.vms.values())).topic.cut = True
            case "heal":
                for vm in self.vms.values():
                    vm.topic.cut = False


async def run_schedule(seed: int) -> list:
    """Run one schedule; return violations during it and at its end."""
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        simulation = Simulation(rng, nursery, lost=rng.choice((0.0, 0.05)))
        simulation.store.record_change()
        for name in NAMES:
            vm = EntryVm(name, simulation, FakeTopic(simulation.store))
            simulation.vms[name] = vm
        for vm in simulation.vms.values():
            await vm.start(nursery)
        while trio.current_time() < FAULTS_S:
            await trio.sleep(rng.choice((0.01, 0.1, 0.5)) * rng.random())
            simulation.perform_event()
        simulation.lost = 0.0
        for vm in simulation.vms.values():
            vm.topic.cut = False
        await trio.sleep(SETTLE_S)
        newest = {
            key: value
            for key, (_, value) in simulation.store.data.list_newest().items()
        }
        nursery.cancel_scope.cancel()
    outdated = [v.known for v in simulation.vms.values() if v.known != newest]
    return simulation.violations + outdated


def run_in_virtual_time(seed: int) -> list:
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(run_schedule, seed, clock=clock)


def is_violation_found() -> bool:
    """Whether some schedule shows a violation."""
    return any(run_in_virtual_time(seed) for seed in range(SEEDS))


def test_entry_vms_converge_after_the_store_was_restored():
    """Guards against lost keys that still work, and new ones unknown."""
    for seed in range(SEEDS):
        assert not run_in_virtual_time(seed), seed


def test_schedules_detect_removed_guards_of_eras():
    """Without each guard, some schedule shows a violation."""

    def omit_era(era: int, offset: int) -> int:
        return offset

    def ignore_eras(one: int, other: int) -> bool:
        return True

    with mock.patch.object(positions, "make_position", omit_era):
        assert is_violation_found()
    with mock.patch.object(positions, "is_same_era", ignore_eras):
        assert is_violation_found()
