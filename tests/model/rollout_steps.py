"""Entry VMs that decide one roll-out, stepped through in every order.

The shipped coroutines run as they are; the store and the clock they wait for
give the word to a scheduler at each call. It plays every order of calls and,
up to FAULTS_MOST times, an answer that says nothing: the call was not done,
was done, or is done at any later moment if its condition still holds. An
entry VM that is frozen, cut off or killed at a step is one that is not given
the word again.

A state that was seen before is not gone on from. Bounds: two entry VMs,
ROUNDS rounds each, FAULTS_MOST faults.
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
FAULTS_MOST = 4
DURATION_MS = 10_000.0
ORDER = message_types.RolloutOrder(
    service="desk", version="v2", duration_ms=DURATION_MS
)

# One step: which entry VM gets the word, and how its call ends.
Step = tuple[str, str]
FAULTS = {"read": ("fails",), "append": ("fails", "lost", "late")}


@attrs.frozen
class Call:
    """A call that waits for the scheduler; it answers how it ends."""

    kind: str

    def __await__(self) -> typing.Generator["Call", str, str]:
        return (yield self)


@attrs.define
class Store:
    """The topic of statuses; ``checks`` is whether conditions are checked."""

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
        """The first late append arrives."""
        end, state = self.late.pop(0)
        try:
            self.write(end, state)
        except keyed_log.Conflict:
            return


class StillClock:
    """A clock that stands."""

    def now_ms(self) -> float:
        return 0.0

    def boot_ms(self) -> float:
        return 0.0


def decode(record: keyed_log.Record) -> message_types.RolloutStatus:
    state = message_types.RolloutState((record.value or b"").decode())
    return message_types.RolloutStatus("desk", "v2", state)


def encode(status: message_types.RolloutStatus) -> keyed_log.Record:
    return keyed_log.Record("desk", status.state.value.encode())


@attrs.define(eq=False)
class EntryVm:
    """An entry VM with what it believes of the version, and its rounds."""

    store: Store
    rounds: rollout_rounds.RolloutRounds
    rollout: rollout_state.Rollout
    running: typing.Coroutine | None = None
    waiting: str = ""
    begun: int = 0
    seen: tuple = ()

    def begin(self) -> None:
        """Begin the next round, if there is one."""
        self.running, self.waiting, self.seen = None, "", ()
        if self.begun == ROUNDS or not self.rollout.running:
            return
        self.begun += 1
        # Whose turn it is, and pauses after a failure, are left out: each
        # entry VM may write in every round.
        self.rounds.intents.clear()
        self.running = self.run_round()
        self.go_on(None)

    async def run_round(self) -> None:
        """What the feed of statuses reads, and then the round."""
        try:
            batch = await self.store.read_newest()
        except errors.PlatformUnavailable:
            return
        self.rounds.replace(batch.records)
        self.rounds.prove(0.0)
        self.rounds.get_end = lambda: batch.end
        await self.rounds._step(self.rollout)

    def go_on(self, answer: str | None) -> None:
        """Give it the word until its next call."""
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
    """An entry VM that is sure of a version, or not."""
    part, tally = BELIEFS[belief]
    clock: typing.Any = StillClock()
    board = board_module.ForwardingBoard(name=belief, failure_domain="north")
    chosen = rollouts.Rollouts(board, clock)
    rollout = rollout_state.Rollout(ORDER, -part * DURATION_MS)
    rollout.tallies["look"] = tally
    rollout.opened = belief == "good"
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
    """The store and the entry VMs after some steps."""

    store: Store
    vms: dict[str, EntryVm]
    faults: int = 0

    def take(self, step: Step) -> None:
        """Play one step."""
        who, how = step
        if who == "store":
            self.store.arrive()
            return
        vm = self.vms[who]
        self.faults += how != "well"
        if vm.waiting == "read":
            vm.seen += (len(self.store.statuses), how)
        vm.go_on(how)

    def list_steps(self) -> list[Step]:
        """Everything that may happen next."""
        steps = [("store", "arrives")] if self.store.late else []
        for name, vm in self.vms.items():
            if vm.running is None:
                continue
            steps.append((name, "well"))
            if self.faults < FAULTS_MOST:
                steps += [(name, how) for how in FAULTS[vm.waiting]]
        return steps

    def describe(self) -> typing.Hashable:
        """What tells this state from others."""
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
                    vm.rollout.reported,
                )
                for vm in self.vms.values()
            ),
        )

    def find_fault(self) -> str:
        """What is wrong with this state; empty if nothing is."""
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
    """The world after some steps."""
    store = Store(checks)
    vms = {name: make_entry_vm(name, store) for name in beliefs}
    world = World(store, vms)
    for vm in vms.values():
        vm.begin()
    for step in steps:
        world.take(step)
    return world


@attrs.define
class Found:
    """What goes wrong and the steps to it; what was seen on the way."""

    fault: str = ""
    steps: list[Step] = attrs.field(factory=list)
    states: int = 0
    written: set[message_types.RolloutState] = attrs.field(factory=set)


def explore(beliefs: typing.Sequence[str], checks: bool = True) -> Found:
    """Go through every state, up to the first that is wrong."""
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
