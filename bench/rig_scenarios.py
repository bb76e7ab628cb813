"""Simulates the decisions under synthetic loads and measures the results."""

import random

import attrs

from bench import rig_node
from bench import rig_world
from carawayward.decisions import suspicion

DOMAINS = ("a", "b", "c", "d")
ENGINES = 10
NODES = 8
WARMUP_MS = 4_000.0
END_MS = 20_000.0
DRAIN_MS = 8_000.0
DEADLINE_MS = 3_000.0
MEAN_TOKENS = 50.0
SMALL_DEMAND_PART = 0.7
CUSTOMERS = [("large-0", 4.0), ("large-1", 4.0)] + [
    (f"small-{n}", 1.0) for n in range(8)
]
TOTAL_WEIGHT = sum(weight for _, weight in CUSTOMERS)


@attrs.frozen(kw_only=True)
class Scenario:
    """A synthetic load.

    ``load`` is demand over capacity. ``burst`` compresses the large
    customers' requests of each second by this factor; ``skew`` gives nine
    tenths of their demand to one of them. ``mixed`` makes one answer in ten
    about ten times as long. ``uneven`` sends half of the requests to one
    entry VM and spreads the rest. ``cut`` partitions one failure domain.
    ``comebacks`` is the share of refused callers that retry when told to;
    ``impatient`` callers retry failures unasked. ``urgent`` mixes short and
    long deadlines. ``faults`` has (fault, slowdown) by engine, in force
    during ``fault_ms``.
    """

    name: str
    load: float = 0.7
    burst: float = 1.0
    mixed: bool = False
    skew: bool = False
    prefixes: int = 0
    lag_ms: float = 1_000.0
    faults: dict[int, tuple[str, float]] = attrs.field(factory=dict)
    fault_ms: tuple[float, float] = (6_000.0, 1e9)
    crash_interval_ms: float = 0.0
    comebacks: float = 0.0
    impatient: bool = False
    urgent: bool = False
    nodes: int = NODES
    uneven: bool = False
    cut: bool = False
    seed: int = 1


@attrs.define(kw_only=True)
class Result:
    """The results of one policy under one load, as callers see them."""

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
    """A simulation of one policy under one load."""

    scenario: Scenario
    policy: rig_node.Policy
    loop: rig_world.Loop = attrs.field(factory=rig_world.Loop)
    jobs: list[rig_world.Job] = attrs.field(factory=list)
    warmup_jobs: list[rig_world.Job] = attrs.field(factory=list)
    engines: list[rig_world.Engine] = attrs.field(factory=list)
    nodes: list[rig_node.Node] = attrs.field(factory=list)
    arrivals: random.Random = attrs.field(factory=random.Random)
    prefixes: list[int] = attrs.field(factory=list)

    def run(self) -> Result:
        """Run the simulation and return its results."""
        self._build()
        self.loop.run(END_MS + DRAIN_MS)
        return self._report()

    def _build(self) -> None:
        scenario = self.scenario
        self.arrivals.seed(scenario.seed)
        self.engines = rig_world.make_engines(self.loop, ENGINES, DOMAINS)
        by_name = {engine.name: engine for engine in self.engines}
        suspects = suspicion.SuspectRecords()
        for number in range(scenario.nodes):
            self.nodes.append(
                rig_node.Node(
                    policy=self.policy,
                    loop=self.loop,
                    failure_domain=DOMAINS[number % len(DOMAINS)],
                    engines=by_name,
                    draw=random.Random(1_000 * scenario.seed + number),
                    ended=self._record_end,
                    suspects=suspects,
                    weights=TOTAL_WEIGHT,
                    entry_vms=scenario.nodes,
                    is_cut=self._is_cut,
                )
            )
        for customer, weight in CUSTOMERS:
            self._schedule_arrival(customer, weight)
        for index, (fault, slow) in scenario.faults.items():
            self._schedule_fault(self.engines[index], fault, slow)
        if scenario.crash_interval_ms:
            self.loop.at(WARMUP_MS, self._send_crashing_job)
        self.loop.at(0.0, self._report_loads)
        self.loop.at(WARMUP_MS, self._clear_counts)

    def _clear_counts(self) -> None:
        for engine in self.engines:
            engine.hits = engine.lookups = 0
            engine.load_time = 0.0

    def _schedule_fault(
        self, engine: rig_world.Engine, fault: str, slow: float
    ) -> None:
        begins, ends = self.scenario.fault_ms

        def begin() -> None:
            engine.fault, engine.slow = fault, slow

        def end() -> None:
            engine.fault, engine.slow = "", 1.0

        self.loop.at(begins, begin)
        self.loop.at(ends, end)

    def _compute_rate(self, customer: str, weight: float) -> float:
        """Compute a customer's requests per ms.

        Small customers demand less than their share of the capacity at any
        load; the large ones make up the rest of the demand.
        """
        capacity = rig_world.compute_capacity(ENGINES) / MEAN_TOKENS
        small = SMALL_DEMAND_PART * capacity / TOTAL_WEIGHT
        small *= min(1.0, self.scenario.load)
        if weight == 1.0:
            return small
        rest = self.scenario.load * capacity - 8 * small
        if not self.scenario.skew:
            return rest / 2
        return rest * (0.9 if customer == "large-0" else 0.1)

    def _schedule_arrival(self, customer: str, weight: float) -> None:
        rate = self._compute_rate(customer, weight)
        large = weight > 1.0
        burst = self.scenario.burst
        if burst > 1.0 and large:
            # All requests of a second arrive in its first part.
            phase = self.loop.now % 1_000.0
            if phase >= 1_000.0 / burst:
                wait = 1_000.0 - phase
                self.loop.at(
                    self.loop.now + wait,
                    lambda: self._schedule_arrival(customer, weight),
                )
                return
            rate *= burst
        pause = self.arrivals.expovariate(rate)

        def arrive() -> None:
            if self.loop.now < END_MS:
                self._send(self._make_job(customer, weight))
                self._schedule_arrival(customer, weight)

        self.loop.at(self.loop.now + pause, arrive)

    def _make_job(self, customer: str, weight: float) -> rig_world.Job:
        prefix = -1
        if self.scenario.prefixes:
            # A Pareto draw approximates Zipf's law of popularity.
            prefix = int(self.arrivals.paretovariate(0.6)) - 1
            prefix %= self.scenario.prefixes
        timeout_ms = DEADLINE_MS * (2.0 if self.scenario.mixed else 1.0)
        if self.scenario.urgent:
            timeout_ms *= self.arrivals.choice((0.4, 2.0))
        return rig_world.Job(
            customer=customer,
            weight=weight,
            tokens=rig_world.draw_tokens(self.arrivals, self.scenario.mixed),
            arrived=self.loop.now,
            deadline=self.loop.now + timeout_ms,
            prefix=prefix,
        )

    def _send(self, job: rig_world.Job) -> None:
        late = job.arrived >= WARMUP_MS
        if not job.crashes_engine:
            (self.jobs if late else self.warmup_jobs).append(job)
        if late and job.prefix >= 0:
            self.prefixes.append(job.prefix)
        nodes = self.nodes
        if self.scenario.uneven and self.arrivals.random() < 0.5:
            nodes = nodes[:1]
        self.arrivals.choice(nodes).submit(job)

    def _is_cut(self, node_domain: str, engine_domain: str) -> bool:
        """Whether a partition of the last domain separates the two."""
        if not self.scenario.cut or not 6_000 <= self.loop.now < 10_000:
            return False
        inside = (node_domain == DOMAINS[-1], engine_domain == DOMAINS[-1])
        return inside[0] != inside[1]

    def _send_crashing_job(self) -> None:
        job = self._make_job("small-0", 1.0)
        job.crashes_engine = True
        self._send(job)
        if self.loop.now < END_MS:
            pause = self.scenario.crash_interval_ms
            self.loop.at(self.loop.now + pause, self._send_crashing_job)

    def _record_end(self, job: rig_world.Job) -> None:
        if job.outcome == "answered" or job.crashes_engine:
            return
        again = attrs.evolve(job, outcome="", attempts=0, retry_after_ms=None)
        again.excluded = frozenset()
        draw = self.arrivals.random()
        if job.retry_after_ms is not None and draw < self.scenario.comebacks:
            if not job.is_retry:
                again.is_retry = True
                self.loop.at(
                    self.loop.now + job.retry_after_ms,
                    lambda: self._resend(again),
                )
        elif self.scenario.impatient and job.outcome != "dropped":
            self._retry_impatiently(job, again)

    def _retry_impatiently(
        self, job: rig_world.Job, again: rig_world.Job
    ) -> None:
        """Retry three quarters of the failures; late ones are not retried.

        Callers wait as long as they were told to, or else 20 ms.
        """
        if job.outcome != "late" and self.arrivals.random() < 0.75:
            pause = 20.0 if job.retry_after_ms is None else job.retry_after_ms
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
                    node.record_report(name, load)

        self.loop.at(self.loop.now + self.scenario.lag_ms, arrive)
        if self.loop.now < END_MS:
            pause = rig_world.REPORT_INTERVAL_MS
            self.loop.at(self.loop.now + pause, self._report_loads)

    def _report(self) -> Result:
        result = Result(scenario=self.scenario.name, policy=self.policy.name)
        fresh = [job for job in self.jobs if not job.is_retry]
        answered = [job for job in fresh if job.outcome == "answered"]
        result.in_time = len(answered) / len(fresh)
        result.small_in_time = compute_answered_share(
            [j for j in fresh if j.customer.startswith("small")]
        )
        # A late request counts with its deadline as the latency.
        times = sorted(
            job.ended - job.arrived
            for job in fresh
            if job.outcome in ("answered", "late")
        ) or [0.0]
        result.p50 = times[len(times) // 2]
        result.p99 = times[int(len(times) * 0.99)]
        span = END_MS - WARMUP_MS
        everything = self.warmup_jobs + self.jobs
        all_answered = [j for j in everything if j.outcome == "answered"]
        tokens = sum(
            job.tokens
            for job in all_answered
            if WARMUP_MS <= job.ended < END_MS
        )
        result.goodput = tokens / span / rig_world.compute_capacity(ENGINES)
        result.fairness = compute_fairness(all_answered)
        result.refused = sum(
            job.outcome in ("refused", "dropped") for job in fresh
        ) / len(fresh)
        back = [job for job in self.jobs if job.is_retry]
        if back:
            result.told_true = compute_answered_share(back)
        begun = sum(node.runs_started for node in self.nodes)
        result.wasted = 1.0 - len(all_answered) / max(1, begun)
        result.balance = compute_balance(self.engines)
        lookups = sum(engine.lookups for engine in self.engines)
        if lookups:
            hits = sum(engine.hits for engine in self.engines)
            best = compute_best_hits(self.prefixes, self.engines)
            result.hits = hits / lookups / best
        result.kills = sum(engine.crashes for engine in self.engines)
        return result


def compute_answered_share(jobs: list[rig_world.Job]) -> float:
    """Compute the share of jobs that were answered in time."""
    answered = sum(job.outcome == "answered" for job in jobs)
    return answered / max(1, len(jobs))


def compute_fairness(answered: list[rig_world.Job]) -> float:
    """Compute the ratio of the large customers' completed work, low to high.

    Both have the same weight and exceed their share at saturation, where 1
    is fair. The ratio is not meaningful where their demands differ.
    """
    work = {"large-0": 0.0, "large-1": 0.0}
    for job in answered:
        if job.customer in work:
            work[job.customer] += job.tokens
    low, high = sorted(work.values())
    return low / high if high else 1.0


def compute_balance(engines: list[rig_world.Engine]) -> float:
    """Compute the highest mean load of an engine over the mean of all."""
    loads = [engine.load_time for engine in engines]
    return max(loads) * len(loads) / max(1e-9, sum(loads))


def compute_best_hits(
    prefixes: list[int], engines: list[rig_world.Engine]
) -> float:
    """Compute the share of hits if all caches were a single LRU cache."""
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
    """Simulate one policy under one load; called by a process pool."""
    return Trial(*pair).run()
