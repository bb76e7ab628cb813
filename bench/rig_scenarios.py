"""The loads that the decisions are put through, and what callers saw."""

import random

import attrs

from bench import rig_node
from bench import rig_world
from carawayward.decisions import suspicion

DOMAINS = ("a", "b", "c", "d")
ENGINES = 10
NODES = 8
WARM_MS = 4_000.0
END_MS = 20_000.0
DRAIN_MS = 8_000.0
DEADLINE_MS = 3_000.0
MEAN_TOKENS = 50.0
SMALL_OF_SHARE = 0.7
CUSTOMERS = [("large-0", 4.0), ("large-1", 4.0)] + [
    (f"small-{n}", 1.0) for n in range(8)
]
WEIGHTS = sum(weight for _, weight in CUSTOMERS)


@attrs.frozen(kw_only=True)
class Scenario:
    """A load. ``load`` is demand over capacity; ``faults`` by engine."""

    name: str
    load: float = 0.7
    burst: float = 1.0
    mixed: bool = False
    skew: bool = False
    prefixes: int = 0
    lag_ms: float = 1_000.0
    faults: dict[int, tuple[str, float]] = attrs.field(factory=dict)
    fault_ms: tuple[float, float] = (6_000.0, 1e9)
    killer_every_ms: float = 0.0
    comebacks: float = 0.0
    impatient: bool = False
    urgent: bool = False
    nodes: int = NODES
    uneven: bool = False
    cut: bool = False
    seed: int = 1


@attrs.define(kw_only=True)
class Result:
    """What callers saw of one policy under one load."""

    scenario: str
    policy: str
    in_time: float = 0.0
    small_in_time: float = 0.0
    p50: float = 0.0
    p99: float = 0.0
    goodput: float = 0.0
    fairness: float = 0.0
    refused: float = 0.0
    told_true: float | None = None
    wasted: float = 0.0
    balance: float = 0.0
    hits: float | None = None
    kills: int = 0


@attrs.define(eq=False)
class Trial:
    """One policy under one load."""

    scenario: Scenario
    policy: rig_node.Policy
    loop: rig_world.Loop = attrs.field(factory=rig_world.Loop)
    jobs: list[rig_world.Job] = attrs.field(factory=list)
    early: list[rig_world.Job] = attrs.field(factory=list)
    engines: list[rig_world.Engine] = attrs.field(factory=list)
    nodes: list[rig_node.Node] = attrs.field(factory=list)
    arrivals: random.Random = attrs.field(factory=random.Random)
    prefixes: list[int] = attrs.field(factory=list)

    def run(self) -> Result:
        """Let the load come and go, and look at the outcome."""
        self._build()
        self.loop.run(END_MS + DRAIN_MS)
        return self._report()

    def _build(self) -> None:
        scenario = self.scenario
        self.arrivals.seed(scenario.seed)
        self.engines = rig_world.make_engines(self.loop, ENGINES, DOMAINS)
        by_name = {engine.name: engine for engine in self.engines}
        book = suspicion.SuspectRecords()
        for number in range(scenario.nodes):
            self.nodes.append(
                rig_node.Node(
                    policy=self.policy,
                    loop=self.loop,
                    failure_domain=DOMAINS[number % len(DOMAINS)],
                    engines=by_name,
                    draw=random.Random(1_000 * scenario.seed + number),
                    ended=self._record_end,
                    book=book,
                    weights=WEIGHTS,
                    entry_vms=scenario.nodes,
                    is_cut=self._is_cut,
                )
            )
        for customer, weight in CUSTOMERS:
            self._arrive_next(customer, weight)
        for index, (fault, slow) in scenario.faults.items():
            self._plan_fault(self.engines[index], fault, slow)
        if scenario.killer_every_ms:
            self.loop.at(WARM_MS, self._send_killer)
        self.loop.at(0.0, self._report_loads)
        self.loop.at(WARM_MS, self._clear_counts)

    def _clear_counts(self) -> None:
        for engine in self.engines:
            engine.hits = engine.lookups = 0
            engine.load_time = 0.0

    def _plan_fault(
        self, engine: rig_world.Engine, fault: str, slow: float
    ) -> None:
        begins, ends = self.scenario.fault_ms

        def begin() -> None:
            engine.fault, engine.slow = fault, slow

        def end() -> None:
            engine.fault, engine.slow = "", 1.0

        self.loop.at(begins, begin)
        self.loop.at(ends, end)

    def _rate_of(self, customer: str, weight: float) -> float:
        """A customer's requests per ms.

        Small ones ask for less than their share of the capacity, whatever
        the load; the large ones for all the rest.
        """
        capacity = rig_world.find_capacity(ENGINES) / MEAN_TOKENS
        small = SMALL_OF_SHARE * capacity / WEIGHTS
        small *= min(1.0, self.scenario.load)
        if weight == 1.0:
            return small
        rest = self.scenario.load * capacity - 8 * small
        if not self.scenario.skew:
            return rest / 2
        return rest * (0.9 if customer == "large-0" else 0.1)

    def _arrive_next(self, customer: str, weight: float) -> None:
        rate = self._rate_of(customer, weight)
        large = weight > 1.0
        burst = self.scenario.burst
        if burst > 1.0 and large:
            # All of a second's requests in its first part.
            phase = self.loop.now % 1_000.0
            if phase >= 1_000.0 / burst:
                wait = 1_000.0 - phase
                self.loop.at(
                    self.loop.now + wait,
                    lambda: self._arrive_next(customer, weight),
                )
                return
            rate *= burst
        pause = self.arrivals.expovariate(rate)

        def arrive() -> None:
            if self.loop.now < END_MS:
                self._send(self._make_job(customer, weight))
                self._arrive_next(customer, weight)

        self.loop.at(self.loop.now + pause, arrive)

    def _make_job(self, customer: str, weight: float) -> rig_world.Job:
        prefix = -1
        if self.scenario.prefixes:
            # Popularity falls as in Zipf's law, by a Pareto draw.
            prefix = int(self.arrivals.paretovariate(0.6)) - 1
            prefix %= self.scenario.prefixes
        patience = DEADLINE_MS * (2.0 if self.scenario.mixed else 1.0)
        if self.scenario.urgent:
            patience *= self.arrivals.choice((0.4, 2.0))
        return rig_world.Job(
            customer=customer,
            weight=weight,
            tokens=rig_world.draw_tokens(self.arrivals, self.scenario.mixed),
            arrived=self.loop.now,
            deadline=self.loop.now + patience,
            prefix=prefix,
        )

    def _send(self, job: rig_world.Job) -> None:
        late = job.arrived >= WARM_MS
        if not job.killer:
            (self.jobs if late else self.early).append(job)
        if late and job.prefix >= 0:
            self.prefixes.append(job.prefix)
        nodes = self.nodes
        if self.scenario.uneven and self.arrivals.random() < 0.5:
            nodes = nodes[:1]
        self.arrivals.choice(nodes).submit(job)

    def _is_cut(self, node_domain: str, engine_domain: str) -> bool:
        """Whether the last failure domain is cut off from the others."""
        if not self.scenario.cut or not 6_000 <= self.loop.now < 10_000:
            return False
        inside = (node_domain == DOMAINS[-1], engine_domain == DOMAINS[-1])
        return inside[0] != inside[1]

    def _send_killer(self) -> None:
        job = self._make_job("small-0", 1.0)
        job.killer = True
        self._send(job)
        if self.loop.now < END_MS:
            pause = self.scenario.killer_every_ms
            self.loop.at(self.loop.now + pause, self._send_killer)

    def _record_end(self, job: rig_world.Job) -> None:
        if job.outcome == "answered" or job.killer:
            return
        again = attrs.evolve(job, outcome="", attempts=0, told_ms=None)
        again.excluded = frozenset()
        draw = self.arrivals.random()
        if job.told_ms is not None and draw < self.scenario.comebacks:
            if not job.comeback:
                again.comeback = True
                self.loop.at(
                    self.loop.now + job.told_ms, lambda: self._resend(again)
                )
        elif self.scenario.impatient and job.outcome != "dropped":
            self._storm(job, again)

    def _storm(self, job: rig_world.Job, again: rig_world.Job) -> None:
        """An impatient caller sends a failed request again at once."""
        if job.outcome != "late" and self.arrivals.random() < 0.75:
            pause = 20.0 if job.told_ms is None else job.told_ms
            self.loop.at(self.loop.now + pause, lambda: self._resend(again))

    def _resend(self, job: rig_world.Job) -> None:
        job.arrived = self.loop.now
        job.deadline = self.loop.now + DEADLINE_MS
        if job.arrived < END_MS:
            self._send(job)

    def _report_loads(self) -> None:
        loads = [float(len(engine.runs)) for engine in self.engines]
        reports = [
            (engine.name, load)
            for engine, load in zip(self.engines, loads, strict=True)
            if engine.fault != "down"
        ]

        def arrive() -> None:
            for node in self.nodes:
                for name, load in reports:
                    node.take_report(name, load)

        self.loop.at(self.loop.now + self.scenario.lag_ms, arrive)
        if self.loop.now < END_MS:
            pause = rig_world.REPORT_EVERY_MS
            self.loop.at(self.loop.now + pause, self._report_loads)

    def _report(self) -> Result:
        result = Result(scenario=self.scenario.name, policy=self.policy.name)
        fresh = [job for job in self.jobs if not job.comeback]
        answered = [job for job in fresh if job.outcome == "answered"]
        result.in_time = len(answered) / len(fresh)
        result.small_in_time = find_share(
            [j for j in fresh if j.customer.startswith("small")]
        )
        # Late ones count with the time at which their callers gave up.
        times = sorted(
            job.ended - job.arrived
            for job in fresh
            if job.outcome in ("answered", "late")
        ) or [0.0]
        result.p50 = times[len(times) // 2]
        result.p99 = times[int(len(times) * 0.99)]
        span = END_MS - WARM_MS
        everything = self.early + self.jobs
        all_answered = [j for j in everything if j.outcome == "answered"]
        tokens = sum(
            job.tokens for job in all_answered if WARM_MS <= job.ended < END_MS
        )
        result.goodput = tokens / span / rig_world.find_capacity(ENGINES)
        result.fairness = find_fairness(all_answered)
        result.refused = sum(
            job.outcome in ("refused", "dropped") for job in fresh
        ) / len(fresh)
        back = [job for job in self.jobs if job.comeback]
        if back:
            result.told_true = find_share(back)
        begun = sum(node.runs_begun for node in self.nodes)
        result.wasted = 1.0 - len(all_answered) / max(1, begun)
        result.balance = find_balance(self.engines)
        lookups = sum(engine.lookups for engine in self.engines)
        if lookups:
            hits = sum(engine.hits for engine in self.engines)
            best = find_best_hits(self.prefixes, self.engines)
            result.hits = hits / lookups / best
        result.kills = sum(engine.crashes for engine in self.engines)
        return result


def find_share(jobs: list[rig_world.Job]) -> float:
    """The share of jobs that were answered in time."""
    answered = sum(job.outcome == "answered" for job in jobs)
    return answered / max(1, len(jobs))


def find_fairness(answered: list[rig_world.Job]) -> float:
    """The lower of the large customers' work over the higher.

    Both have the same weight and ask for more than there is, so 1 is fair
    at saturation; where demand differs it says nothing.
    """
    work = {"large-0": 0.0, "large-1": 0.0}
    for job in answered:
        if job.customer in work:
            work[job.customer] += job.tokens
    low, high = sorted(work.values())
    return low / high if high else 1.0


def find_balance(engines: list[rig_world.Engine]) -> float:
    """The most loaded engine's mean load over the mean of all."""
    loads = [engine.load_time for engine in engines]
    return max(loads) * len(loads) / max(1e-9, sum(loads))


def find_best_hits(
    prefixes: list[int], engines: list[rig_world.Engine]
) -> float:
    """The share of hits if all caches were one."""
    size = sum(engine.cache_size for engine in engines)
    cache: dict[int, None] = {}
    hits = 0
    for prefix in prefixes:
        hits += prefix in cache
        cache.pop(prefix, None)
        cache[prefix] = None
        if len(cache) > size:
            del cache[next(iter(cache))]
    return hits / max(1, len(prefixes))


def run_trial(
    pair: tuple[Scenario, rig_node.Policy],
) -> Result:
    """One policy under one load; for a pool of workers."""
    return Trial(*pair).run()
