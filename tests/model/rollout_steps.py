"""Model checker for entry VMs that decide one roll-out.

The production coroutines run unchanged; the store that they call yields to a
scheduler at each call, and the clock stands still. The scheduler explores
every order of calls and, up to MAX_FAULTS times, a call without an answer: it
was not executed, was executed, or is executed at any later moment if its
condition still holds. An entry VM that is frozen, cut off or killed at a step
is one that is never scheduled again.

States that were seen before are not explored again. Bounds: two entry VMs,
ROUNDS rounds each, MAX_FAULTS faults.
"""

import collections
import typing

import attrs

from carawayward.decisions import canary
from carawayward import errors
from carawayward.forwarding import board as board_module
from carawayward.forwarding import keyed_log
from carawayward.forwarding import message_types
from carawayward.forwarding import rollout_rounds
from carawayward.forwarding import rollout_state
from carawayward.forwarding import rollouts

ROUNDS = 5
MAX_FAULTS = 4
DURATION_MS = 10_000.0
ORDER = message_types.RolloutOrder(
    service="desk", version="v2", duration_ms=DURATION_MS
)

# One step: the entry VM that is scheduled, and the outcome of its call.
Step = tuple[str, str]
FAULTS = {"read": ("fails",), "append": ("fails", "lost", "late")}


@attrs.frozen
class Call:
    """A call that waits for the scheduler, which returns its outcome."""

    kind: str

    def __await__(self) -> typing.Generator["Call", str, str]:
        return (yield self)


@attrs.define
class Store:
    """The statuses topic; ``checks`` enables the conditions of appends."""

    checks: bool = True
    statuses: list[message_types.RolloutState] = attrs.field(factory=list)
    late: list[tuple[int | None, message_types.RolloutState]] = attrs.field(
        factory=list
    )

    async def read_newest(self) -> keyed_log.Batch:
        if await Call("read") == "fails":
            raise errors.PlatformUnavailable("statuses", "no answer")
        records = [
            keyed_log.Record("desk", state.value.encode())
            for state in self.statuses[-1:]
        ]
        return keyed_log.Batch(records, len(self.statuses))

    async def append(
        self, records: list[keyed_log.Record], end: int | None = None
    ) -> int:
        state = message_types.RolloutState((records[0].value or b"").decode())
        how = await Call("append")
        if how == "late":
            self.late.append((end, state))
        elif how != "fails":
            self.write(end, state)
        if how != "well":
            raise errors.PlatformUnavailable("statuses", "no answer")
        return len(self.statuses)

    def write(
        self, end: int | None, state: message_types.RolloutState
    ) -> None:
        if self.checks and end != len(self.statuses):
            raise keyed_log.Conflict(len(self.statuses))
        self.statuses.append(state)

    def arrive(self) -> None:
        """Apply the first delayed append."""
        end, state = self.late.pop(0)
        try:
            self.write(end, state)
        except keyed_log.Conflict:
            return


class FrozenClock:
    """A clock that stands still."""

    def now_ms(self) -> float:
        return 0.0

    def boot_ms(self) -> float:
        return 0.0


def decode(record: keyed_log.Record) -> message_types.RolloutStatus:
    state = message_types.RolloutState((record.value or b"").decode())
    return message_types.RolloutStatus("desk", "v2", state)


def encode(
    status: message_types.RolloutStatus | message_types.ServiceHistory,
) -> keyed_log.Record:
    if isinstance(status, message_types.ServiceHistory):
        return keyed_log.Record("history", b"")
    return keyed_log.Record("desk", status.state.value.encode())


@attrs.define(eq=False)
class EntryVm:
    """An entry VM with its verdict on the version, and its rounds."""

    store: Store
    rounds: rollout_rounds.RolloutRounds
    rollout: rollout_state.Rollout
    running: typing.Coroutine | None = None
    waiting: str = ""
    begun: int = 0
    seen: tuple = ()

    def begin(self) -> None:
        """Start the next round, if one is left."""
        self.running, self.waiting, self.seen = None, "", ()
        if self.begun == ROUNDS or not self.rollout.running:
            return
        self.begun += 1
        # Turns and back-off after failures are left out: each entry VM may
        # write in every round.
        self.rounds.pending_writes.clear()
        self.running = self.run_round()
        self.resume(None)

    async def run_round(self) -> None:
        """Read the statuses as the feed does, then run the round."""
        try:
            batch = await self.store.read_newest()
        except errors.PlatformUnavailable:
            return
        self.rounds.replace(batch.records)
        self.rounds.mark_current(0.0)
        self.rounds.get_end = lambda: batch.end
        await self.rounds._step(self.rollout)

    def resume(self, answer: str | None) -> None:
        """Run it until its next call."""
        assert self.running is not None
        try:
            call = self.running.send(answer)
        except StopIteration:
            self.begin()
            return
        self.waiting = call.kind


BELIEFS = {
    "good": (0.95, canary.Tally(new=40, old=40)),
    "bad": (0.95, canary.Tally(new=40, new_bad=30, old=40)),
    "unsure": (0.3, canary.Tally(new=2, old=40)),
}


def make_entry_vm(belief: str, store: Store) -> EntryVm:
    """An entry VM that believes the version good, bad, or neither."""
    part, tally = BELIEFS[belief]
    clock: typing.Any = FrozenClock()
    board = board_module.ForwardingBoard(name=belief, failure_domain="north")
    chosen = rollouts.Rollouts(board, clock)
    rollout = rollout_state.Rollout(ORDER, -part * DURATION_MS)
    rollout.tallies["look"] = tally
    rollout.at_full_traffic = belief == "good"
    chosen.rollouts["desk"] = rollout
    made = rollout_rounds.RolloutRounds(
        board,
        clock,
        chosen,
        typing.cast(typing.Any, store),
        decode,
        encode,
        lambda: [],
    )
    return EntryVm(store, made, rollout)


@attrs.define
class World:
    """The state of the store and the entry VMs."""

    store: Store
    vms: dict[str, EntryVm]
    faults: int = 0

    def play(self, step: Step) -> None:
        """Execute one step."""
        who, how = step
        if who == "store":
            self.store.arrive()
            return
        vm = self.vms[who]
        self.faults += how != "well"
        if vm.waiting == "read":
            vm.seen += (len(self.store.statuses), how)
        vm.resume(how)

    def list_steps(self) -> list[Step]:
        """All possible next steps."""
        steps = [("store", "arrives")] if self.store.late else []
        for name, vm in self.vms.items():
            if vm.running is None:
                continue
            steps.append((name, "well"))
            if self.faults < MAX_FAULTS:
                steps += [(name, how) for how in FAULTS[vm.waiting]]
        return steps

    def describe(self) -> typing.Hashable:
        """A key that identifies this state."""
        return (
            tuple(self.store.statuses),
            tuple(self.store.late),
            self.faults,
            tuple(
                (
                    vm.begun,
                    vm.waiting,
                    vm.seen,
                    vm.rollout.state,
                    vm.rollout.stored_state,
                )
                for vm in self.vms.values()
            ),
        )

    def find_fault(self) -> str:
        """The violated property of this state; empty if none is."""
        final = message_types.RolloutState.RUNNING
        for state in self.store.statuses:
            if (
                final is not message_types.RolloutState.RUNNING
                and state is not final
            ):
                return f"{state.value} was written over {final.value}"
            final = state
        for name, vm in self.vms.items():
            if not vm.rollout.running and vm.rollout.state is not final:
                return f"{name} believes {vm.rollout.state.value}"
        return ""


def replay(
    beliefs: typing.Sequence[str], steps: typing.Sequence[Step], checks: bool
) -> World:
    """The state after some steps."""
    store = Store(checks)
    vms = {name: make_entry_vm(name, store) for name in beliefs}
    world = World(store, vms)
    for vm in vms.values():
        vm.begin()
    for step in steps:
        world.play(step)
    return world


@attrs.define
class Found:
    """The first violation and the steps to it, and what was explored."""

    fault: str = ""
    steps: list[Step] = attrs.field(factory=list)
    states: int = 0
    written: set[message_types.RolloutState] = attrs.field(factory=set)


def explore(beliefs: typing.Sequence[str], checks: bool = True) -> Found:
    """Explore every state, up to the first violation."""
    found = Found()
    seen: set[typing.Hashable] = set()
    waiting: collections.deque[list[Step]] = collections.deque([[]])
    while waiting:
        steps = waiting.popleft()
        world = replay(beliefs, steps, checks)
        key = world.describe()
        if key in seen:
            continue
        seen.add(key)
        found.states += 1
        found.written.update(world.store.statuses)
        found.fault = world.find_fault()
        if found.fault:
            found.steps = steps
            break
        waiting += [[*steps, step] for step in world.list_steps()]
    return found
