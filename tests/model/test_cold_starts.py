"""Random partitions, restarts, connections and sends keep the bound."""

import random

import attrs

from carawayward.decisions import cold_starts

BOUND = 5.3 * 1.5 + 5.0
PERMITS = cold_starts.compute_permits(5.3, 1.5, 5.0)
STEP_MS = 20.0
STEPS = 400
SEEDS = range(30)


@attrs.define(eq=False)
class Vm:
    """An entry VM: its side of a partition, its permits and connections."""

    name: str
    part: int
    permits: cold_starts.Permits = attrs.field(factory=cold_starts.Permits)
    connecting: list = attrs.field(factory=list)
    started_ms: float = -10_000.0


@attrs.define
class Schedule:
    """One run; its guards can be disabled to show that they are needed."""

    draw: random.Random
    vms: list[Vm]
    assigned: bool = True
    remembers_start: bool = True
    counts_connecting: bool = True
    cut: bool = False
    sent_ms: list[float] = attrs.field(factory=list)

    def step(self, now_ms: float) -> None:
        """Let each entry VM act, possibly after a fault."""
        if self.draw.random() < 0.01:
            self.cut = not self.cut
        for vm in self.vms:
            if self.draw.random() < 0.002:
                self.restart(vm, now_ms)
            self.connect(vm, now_ms)
            self.send(vm, now_ms)

    def restart(self, vm: Vm, now_ms: float) -> None:
        vm.connecting.clear()
        vm.permits = cold_starts.Permits()
        vm.started_ms = now_ms if self.remembers_start else -10_000.0

    def connect(self, vm: Vm, now_ms: float) -> None:
        """Start requests in a burst, as long as there are permits."""
        if now_ms - vm.started_ms < cold_starts.WINDOW_MS:
            return
        members = [
            other.name
            for other in self.vms
            if not self.cut or other.part == vm.part
        ]
        limit = PERMITS
        if self.assigned:
            limit = cold_starts.share_permits(vm.name, members, "e", PERMITS)
        while cold_starts.count_taken(vm.permits, "e", now_ms) < limit:
            permit = cold_starts.take(vm.permits, "e")
            late_ms = self.draw.choice((0.0, 0.0, 40.0, 480.0, 3_000.0))
            vm.connecting.append((now_ms + late_ms, permit))
            if not self.counts_connecting:
                cold_starts.record_sent(permit, now_ms)

    def send(self, vm: Vm, now_ms: float) -> None:
        """Send on established connections; some connections fail."""
        for due in [each for each in vm.connecting if each[0] <= now_ms]:
            vm.connecting.remove(due)
            if self.draw.random() < 0.8:
                if self.counts_connecting:
                    cold_starts.record_sent(due[1], now_ms)
                self.sent_ms.append(now_ms)
            cold_starts.release(vm.permits, due[1])


def find_busiest(seed: int, vms: int, disabled_guard: str = "") -> int:
    """The largest number of requests that the endpoint gets in any second."""
    draw = random.Random(seed)
    schedule = Schedule(draw, [Vm(f"vm-{n}", n % 2) for n in range(vms)])
    if disabled_guard:
        setattr(schedule, disabled_guard, False)
    for step in range(STEPS):
        schedule.step(step * STEP_MS)
    sent = schedule.sent_ms
    return max(
        sum(0.0 <= other - start <= cold_starts.WINDOW_MS for other in sent)
        for start in sent
    )


def test_cold_endpoint_never_gets_more_than_its_bound():
    """Entry VMs are partitioned, restart and connect late, in random order."""
    for seed in SEEDS:
        for vms in (1, 2, 18):
            assert find_busiest(seed, vms) <= BOUND, (seed, vms)


def test_each_guard_is_needed():
    """Without it, some schedule gives an endpoint more than its bound."""
    for guard in ("assigned", "remembers_start", "counts_connecting"):
        busiest = max(
            find_busiest(seed, 18, disabled_guard=guard) for seed in SEEDS
        )
        assert busiest > BOUND, guard
