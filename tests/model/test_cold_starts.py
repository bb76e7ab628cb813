"""Every order of cuts, restarts, connections and sends keeps the bound."""

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
    """An entry VM: what it knows of the others, and what it has sent."""

    name: str
    part: int
    permits: cold_starts.Permits = attrs.field(factory=cold_starts.Permits)
    connecting: list = attrs.field(factory=list)
    started_ms: float = -10_000.0


@attrs.define
class Schedule:
    """One run; ``guards`` are taken out to see that they are needed."""

    draw: random.Random
    vms: list[Vm]
    dealt: bool = True
    remembers: bool = True
    counts_connecting: bool = True
    cut: bool = False
    sent_ms: list[float] = attrs.field(factory=list)

    def step(self, now_ms: float) -> None:
        """Let each entry VM do something, and perhaps a fault happen."""
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
        vm.started_ms = now_ms if self.remembers else -10_000.0

    def connect(self, vm: Vm, now_ms: float) -> None:
        """Begin requests as a burst does, as long as there are permits."""
        if now_ms - vm.started_ms < cold_starts.WINDOW_MS:
            return
        members = [
            other.name
            for other in self.vms
            if not self.cut or other.part == vm.part
        ]
        most = PERMITS
        if self.dealt:
            most = cold_starts.share_permits(vm.name, members, "e", PERMITS)
        while cold_starts.count_taken(vm.permits, "e", now_ms) < most:
            permit = cold_starts.take(vm.permits, "e")
            late_ms = self.draw.choice((0.0, 0.0, 40.0, 480.0, 3_000.0))
            vm.connecting.append((now_ms + late_ms, permit))
            if not self.counts_connecting:
                cold_starts.record_sent(permit, now_ms)

    def send(self, vm: Vm, now_ms: float) -> None:
        """Send what is connected by now; some connections fail."""
        for due in [each for each in vm.connecting if each[0] <= now_ms]:
            vm.connecting.remove(due)
            if self.draw.random() < 0.8:
                if self.counts_connecting:
                    cold_starts.record_sent(due[1], now_ms)
                self.sent_ms.append(now_ms)
            cold_starts.release(vm.permits, due[1])


def find_busiest(seed: int, vms: int, missing: str = "") -> int:
    """The most requests that the endpoint gets in any second."""
    draw = random.Random(seed)
    schedule = Schedule(draw, [Vm(f"vm-{n}", n % 2) for n in range(vms)])
    if missing:
        setattr(schedule, missing, False)
    for step in range(STEPS):
        schedule.step(step * STEP_MS)
    sent = schedule.sent_ms
    return max(
        sum(0.0 <= other - start <= cold_starts.WINDOW_MS for other in sent)
        for start in sent
    )


def test_cold_endpoint_never_gets_more_than_its_bound():
    """Entry VMs are cut in two, restart and connect late, in any order."""
    for seed in SEEDS:
        for vms in (1, 2, 18):
            assert find_busiest(seed, vms) <= BOUND, (seed, vms)


def test_each_guard_is_needed():
    """Without it some schedule gives an endpoint more than its bound."""
    for guard in ("dealt", "remembers", "counts_connecting"):
        busiest = max(find_busiest(seed, 18, missing=guard) for seed in SEEDS)
        assert busiest > BOUND, guard
