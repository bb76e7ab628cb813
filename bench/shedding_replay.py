"""Replays too much load on a service's engines, in virtual time.

The engines are one queue that is read at a constant rate. Entry VMs know its
length as of some time ago, and the demand at their peers by reports, which go
to a few peers at a time and may be late or lost.
"""

import collections
import heapq
import random
import typing

import attrs

from carawayward.decisions import demand as demand_module
from carawayward.decisions import load_shedding

TICK_MS = 10.0
REPORT_MS = 400.0
PEERS_PER_REPORT = 16
MIN_TTL_MS, MAX_TTL_MS = 3_000.0, 10_000.0
REFRESH_MS = 250.0
IDLE_TTFT_MS = 100.0
# Weights of the customers: three large ones and 21 small ones.
CUSTOMERS = (6.0, 4.0, 3.0, *([1.0] * 21))
FIRST_SMALL = 3


@attrs.frozen
class Kind:
    """Requests of one rank; ``rate`` is a second, times are in ms."""

    name: str
    rank: int
    weight: float
    rate: float
    target_ms: float
    deadline_ms: float


KINDS = (
    Kind("urgent", 1, 2_890.0, 96.7, 1_045.0, 6_268.0),
    Kind("usual", 4, 1_110.0, 50.7, 1_026.0, 12_314.0),
    Kind("patient", 6, 3_720.0, 125.0, 4_063.0, 10_158.0),
)
USUAL_WEIGHT = sum(kind.weight * kind.rate for kind in KINDS)


@attrs.frozen(kw_only=True)
class Load:
    """One load: demand as multiples of the usual, and what goes wrong.

    ``room`` is what the engines read as a multiple of the usual demand.
    ``kinds`` and ``customers`` are multiplied by the given factors between
    ``begin_ms`` and ``end_ms``. ``flood`` is the part of all requests that
    reaches one entry VM. At ``restart_ms`` all entry VMs lose their state; at
    ``cut_ms`` reports between the halves cease. ``policy`` is "shares",
    "none" or "bound"; the last knows everything at once.
    """

    vms: int = 76
    room: float = 1.1
    kinds: typing.Mapping[str, float] = attrs.field(factory=dict)
    customers: typing.Mapping[int, float] = attrs.field(factory=dict)
    begin_ms: float = 4_000.0
    end_ms: float = 9_000.0
    total_ms: float = 14_000.0
    flood: float = 0.0
    lost: float = 0.0
    delay_ms: float = 50.0
    lag_ms: float = 500.0
    restart_ms: float = float("inf")
    cut_ms: float = float("inf")
    # What an entry VM takes the engines to read, over what they do read.
    rate_error: float = 1.0
    policy: str = "shares"
    seed: int = 1


@attrs.define(eq=False)
class Vm:
    """The state of one entry VM."""

    draw: typing.Callable[[], float]
    demand: demand_module.Demand = attrs.field(factory=demand_module.Demand)
    gate: load_shedding.Gate = attrs.field(factory=load_shedding.Gate)
    credits: load_shedding.Credits = attrs.field(init=False)
    waits: load_shedding.Waits = attrs.field(factory=load_shedding.Waits)
    heard_ms: dict[int, float] = attrs.field(factory=dict)
    updated_ms: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        self.credits = load_shedding.Credits(self.draw)


@attrs.define
class Result:
    """Callers by kind or customer, and whether they were in time or refused.

    ``backlogs_ms`` is by tick, ``refused_ms`` when requests were refused.
    """

    counts: dict[str, collections.Counter] = attrs.field(
        factory=lambda: collections.defaultdict(collections.Counter)
    )
    backlogs_ms: list[float] = attrs.field(factory=list)
    refused_ms: list[float] = attrs.field(factory=list)

    def count(self, kind: Kind, customer: int, outcome: str) -> None:
        """Count a caller's last attempt."""
        size = "large" if customer < FIRST_SMALL else "small"
        for label in (kind.name, size, f"customer {customer}", "all"):
            self.counts[label][outcome] += 1

    def find_part(self, label: str, outcome: str = "in time") -> float:
        """The part of the callers with an outcome."""
        counts = self.counts[label]
        return counts[outcome] / max(1, sum(counts.values()))


@attrs.define(eq=False)
class Replay:
    """One run of a load."""

    load: Load
    source: random.Random = attrs.field(init=False)
    vms: list[Vm] = attrs.field(init=False)
    rate: float = attrs.field(init=False)
    backlog: float = 0.0
    history_ms: list[float] = attrs.field(factory=list)
    returning: list = attrs.field(factory=list)
    first_tokens: list = attrs.field(factory=list)
    reports: list = attrs.field(factory=list)
    result: Result = attrs.field(factory=Result)
    order: int = 0

    def __attrs_post_init__(self) -> None:
        self.source = random.Random(self.load.seed)
        count = 1 if self.load.policy == "bound" else self.load.vms
        self.vms = [Vm(self.source.random) for _ in range(count)]
        self.rate = USUAL_WEIGHT * self.load.room

    def run(self) -> Result:
        """Play the load from start to end."""
        rotation = [self.source.randrange(1 << 16) for _ in self.vms]
        phases = [self.source.uniform(0.0, REPORT_MS) for _ in self.vms]
        now_ms = 0.0
        while now_ms < self.load.total_ms:
            if now_ms - TICK_MS < self.load.restart_ms <= now_ms:
                self.vms = [Vm(self.source.random) for _ in self.vms]
            self.backlog -= self.rate * TICK_MS / 1000.0
            self.backlog = max(0.0, self.backlog)
            self.history_ms.append(self.backlog / self.rate * 1000.0)
            self._arrive(now_ms)
            for index, phase in enumerate(phases):
                if phase <= now_ms:
                    phases[index] += REPORT_MS
                    rotation[index] += PEERS_PER_REPORT
                    self._report(index, rotation[index], now_ms)
            self._deliver(now_ms)
            now_ms += TICK_MS
        self.result.backlogs_ms = self.history_ms
        return self.result

    def _arrive(self, now_ms: float) -> None:
        busy = self.load.begin_ms <= now_ms < self.load.end_ms
        for kind in KINDS:
            weights = [
                weight * (self.load.customers.get(index, 1.0) if busy else 1.0)
                for index, weight in enumerate(CUSTOMERS)
            ]
            factor = sum(weights) / sum(CUSTOMERS)
            factor *= self.load.kinds.get(kind.name, 1.0) if busy else 1.0
            expected = kind.rate * factor * TICK_MS / 1000.0
            for _ in range(_draw_poisson(self.source, expected)):
                (customer,) = self.source.choices(
                    range(len(CUSTOMERS)), weights
                )
                self._offer(kind, customer, now_ms, False)
        while self.returning and self.returning[0][0] <= now_ms:
            _, _, kind, customer = heapq.heappop(self.returning)
            self._offer(kind, customer, now_ms, True)

    def _offer(
        self, kind: Kind, customer: int, now_ms: float, returned: bool
    ) -> None:
        flooded = self.source.random() < self.load.flood
        index = 0 if flooded else self.source.randrange(len(self.vms))
        vm = self.vms[index]
        key = (kind.rank, customer + 1)
        demand_module.record_request(vm.demand, key, kind.weight, now_ms)
        ttft_ms = self.backlog / self.rate * 1000.0 + IDLE_TTFT_MS
        retry_after_ms = load_shedding.MIN_RETRY_AFTER_MS
        let_in = ttft_ms <= kind.deadline_ms
        if let_in and self.load.policy != "none":
            gate = self._update(vm, now_ms)
            share = gate.shares.get(key)
            let_in = load_shedding.claim(
                vm.credits, kind.name, share, returned
            )
            if not let_in and gate.engines is not None:
                place = KINDS.index(kind) / (len(KINDS) - 1)
                retry_after_ms = load_shedding.compute_retry_after_ms(
                    gate.engines, share, place, vm.draw()
                )
        if not let_in:
            self.result.refused_ms.append(now_ms)
        if let_in:
            self.backlog += kind.weight
            self.order += 1
            heapq.heappush(
                self.first_tokens,
                (now_ms + ttft_ms, self.order, index, ttft_ms - IDLE_TTFT_MS),
            )
            in_time = ttft_ms <= kind.target_ms
            self.result.count(kind, customer, "in time" if in_time else "late")
        elif returned:
            self.result.count(kind, customer, "refused")
        else:
            self.order += 1
            at_ms = now_ms + retry_after_ms * self.source.uniform(0.75, 1.25)
            heapq.heappush(self.returning, (at_ms, self.order, kind, customer))

    def _update(self, vm: Vm, now_ms: float) -> load_shedding.Gate:
        if now_ms - vm.updated_ms < REFRESH_MS:
            return vm.gate
        vm.updated_ms = now_ms
        known, lag_ms = 1.0, 0.0
        if self.load.policy == "shares":
            heard = sum(
                now_ms - at_ms < self._find_ttl_ms()
                for at_ms in vm.heard_ms.values()
            )
            known = (1 + heard) / self.load.vms
            lag_ms = self.load.lag_ms
        ticks = 1 + int(lag_ms / TICK_MS)
        seen_ms = self.history_ms[max(-len(self.history_ms), -ticks)]
        backlog_ms = load_shedding.estimate_backlog_ms(
            vm.waits, seen_ms * known / self.load.rate_error, now_ms
        )
        engines = load_shedding.Engines(
            self.rate * self.load.rate_error,
            backlog_ms,
            min(kind.target_ms for kind in KINDS),
            known,
        )
        totals = demand_module.compute_totals(vm.demand, now_ms)
        load_shedding.update(vm.gate, totals, engines)
        return vm.gate

    def _find_ttl_ms(self) -> float:
        rotations = max(1.0, (self.load.vms - 1) / PEERS_PER_REPORT)
        return min(MAX_TTL_MS, max(MIN_TTL_MS, 2.5 * REPORT_MS * rotations))

    def _report(self, index: int, rotation: int, now_ms: float) -> None:
        vm, count = self.vms[index], len(self.vms)
        rates = demand_module.describe(vm.demand, now_ms)
        for step in range(min(PEERS_PER_REPORT, count - 1)):
            other = (index + 1 + (rotation + step) % (count - 1)) % count
            cut = now_ms >= self.load.cut_ms and (index - other) % 2
            if cut or self.source.random() < self.load.lost:
                continue
            self.order += 1
            due_ms = now_ms + self.load.delay_ms
            heapq.heappush(
                self.reports, (due_ms, self.order, index, other, rates)
            )

    def _deliver(self, now_ms: float) -> None:
        while self.first_tokens and self.first_tokens[0][0] <= now_ms:
            _, _, index, wait_ms = heapq.heappop(self.first_tokens)
            waits = self.vms[index].waits
            load_shedding.record_wait(waits, wait_ms, now_ms)
        while self.reports and self.reports[0][0] <= now_ms:
            _, _, sender, other, rates = heapq.heappop(self.reports)
            vm = self.vms[other]
            vm.heard_ms[sender] = now_ms
            expires_ms = now_ms + self._find_ttl_ms()
            demand_module.merge_report(
                vm.demand, str(sender), rates, self.rate, expires_ms
            )


def _draw_poisson(source: random.Random, expected: float) -> int:
    """Draw the number of arrivals in a tick."""
    count, at = 0, source.expovariate(1.0)
    while at < expected:
        count += 1
        at += source.expovariate(1.0)
    return count


def play(**load: typing.Any) -> Result:
    """Play one load."""
    return Replay(Load(**load)).run()
