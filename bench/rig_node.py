"""Simulated entry VMs, with the product's decisions or a baseline's."""

import random
import typing

import attrs

from bench import rig_world
from carawayward.decisions import admission
from carawayward.decisions import health
from carawayward.decisions import limits
from carawayward.decisions import placement
from carawayward.decisions import queueing
from carawayward.decisions import retry
from carawayward.decisions import suspicion

MAX_ATTEMPTS = 3
QUEUE_LIMIT = 400
BASE_COST_TOKENS = 16.0
WALL_MS = 1_700_000_000_000


@attrs.frozen
class Policy:
    """The decisions that entry VMs use.

    ``chooser`` is the name of a baseline or "own" for the product's; ``off``
    names parts of the product's decisions that are switched off.
    """

    name: str
    chooser: str = "own"
    off: frozenset[str] = frozenset()

    def has(self, part: str) -> bool:
        """Whether the product's decisions are used and a part is on."""
        return self.chooser == "own" and part not in self.off


@attrs.define(eq=False)
class Waiting:
    """A queued job with its item in the queue."""

    job: rig_world.Job
    item: queueing.WaitingRequest


@attrs.define(eq=False, kw_only=True)
class Node:
    """A simulated entry VM."""

    policy: Policy
    loop: rig_world.Loop
    failure_domain: str
    engines: dict[str, rig_world.Engine]
    draw: random.Random
    ended: typing.Callable[[rig_world.Job], None]
    suspects: suspicion.SuspectRecords
    weights: float
    entry_vms: int
    is_cut: typing.Callable[[str, str], bool]
    reported_loads: dict[str, float] = attrs.field(factory=dict)
    views: dict[str, placement.EndpointView] = attrs.field(factory=dict)
    candidates: placement.Candidates = attrs.field(init=False)
    queue: queueing.FairQueue = attrs.field(factory=queueing.FairQueue)
    service_times: admission.ServiceTimes = attrs.field(
        factory=admission.ServiceTimes
    )
    retry_schedule: admission.RetrySchedule = attrs.field(
        factory=admission.RetrySchedule
    )
    retries: retry.Budget = attrs.field(factory=retry.Budget)
    hedges: retry.Budget = attrs.field(
        factory=lambda: retry.Budget(retry.HEDGE_SHARE)
    )
    ttft_estimate: retry.TtftEstimate = attrs.field(factory=retry.TtftEstimate)
    retrying: list[rig_world.Job] = attrs.field(factory=list)
    round_robin_index: int = 0
    runs_started: int = 0
    live: dict[rig_world.Job, list[rig_world.Run]] = attrs.field(factory=dict)
    items: dict[rig_world.Job, queueing.WaitingRequest] = attrs.field(
        factory=dict
    )

    def __attrs_post_init__(self) -> None:
        for engine in self.engines.values():
            view = placement.EndpointView(
                name=engine.name, failure_domain=engine.failure_domain
            )
            limits.restart(view.limit, self.entry_vms)
            if not self.policy.has("limits"):
                view.limit.value = limits.MAX_LIMIT
            self.views[engine.name] = view
        self.candidates = placement.Candidates.from_views(self.views.values())

    def record_report(self, name: str, load: float) -> None:
        """Record an endpoint's load report.

        Baselines use the reported load minus their own runs directly.
        """
        view = self.views[name]
        self.reported_loads[name] = max(0.0, load - view.in_flight)
        if self.policy.has("reports"):
            placement.record_report(view, load)

    def submit(self, job: rig_world.Job) -> None:
        """Accept a caller's request: start, queue or refuse it."""
        self.loop.at(job.deadline, lambda: self._expire(job))
        if self.policy.chooser != "own":
            self._start(job, self._choose_baseline(job))
            return
        if self._refuse_if_convicted(job):
            return
        name = job.customer if self.policy.has("fairness") else "all"
        work = admission.estimate_service_ms(self.service_times, job.customer)
        latest = job.deadline
        if self.policy.has("hopeless"):
            latest = admission.find_latest_start(
                self.service_times, job.customer, self.loop.now, job.deadline
            )
        item = queueing.WaitingRequest(
            customer=name,
            weight=job.weight if self.policy.has("fairness") else 1.0,
            work=work,
            latest_start_ms=latest,
        )
        if self.policy.has("refusal"):
            refusal = self._decide(item)
            if refusal is not None:
                self._finish(job, "refused", refusal.retry_after_ms)
                return
        if not self.policy.has("deadlines"):
            item.latest_start_ms = 0.0
        item.payload = job
        self.items[job] = item
        queueing.push(self.queue, item)
        if not self.policy.has("credit"):
            flow = self.queue.flows[name]
            flow.tag = max(flow.tag, self.queue.virtual)
        if self.policy.has("hopeless"):
            self.loop.at(latest, lambda: self._drop_overdue(job))
        self.start_waiting()

    def _decide(
        self, item: queueing.WaitingRequest
    ) -> admission.Refusal | None:
        slots = sum(view.limit.value for view in self.views.values())
        retry_schedule = self.retry_schedule
        if not self.policy.has("promises"):
            retry_schedule = admission.RetrySchedule()
        weights = self.weights if self.policy.has("fairness") else 1.0
        places = admission.compute_queue_limit(
            QUEUE_LIMIT, item.weight, weights
        )
        return admission.check_admission(
            self.queue, item, self.loop.now, slots, places, retry_schedule
        )

    def _refuse_if_convicted(self, job: rig_world.Job) -> bool:
        wall_ms = WALL_MS + int(self.loop.now)
        convicted = (
            job.crashes_engine
            and self.policy.has("suspects")
            and suspicion.is_convicted(self.suspects, "killer", wall_ms)
        )
        if convicted:
            self._finish(job, "convicted")
        return convicted

    def start_waiting(self) -> None:
        """Start as many waiting jobs as possible, retries first."""
        for job in [job for job in self.retrying if not job.outcome]:
            view = self._choose_own(job, frozenset())
            if view is not None:
                self.retrying.remove(job)
                self._start(job, view)
        self.retrying = [job for job in self.retrying if not job.outcome]
        while self.queue.count:
            for item in queueing.list_heads(self.queue):
                view = self._choose_own(item.payload, frozenset())
                if view is not None:
                    queueing.take(self.queue, item)
                    self._start(item.payload, view)
                    break
            else:
                return

    def _choose_own(
        self, job: rig_world.Job, excluded: frozenset[str]
    ) -> placement.EndpointView | None:
        key = None
        if job.prefix >= 0 and self.policy.has("affinity"):
            key = placement.hash_key(f"prefix {job.prefix}")
        home = self.failure_domain if self.policy.has("local") else ""
        if key is not None and not self.policy.has("bound"):
            view = self._choose_unbounded(key, job.excluded | excluded)
            if view is not None:
                return view
        choose = placement.choose
        if not self.policy.has("two choices"):
            choose = choose_lowest_cost
        return choose(
            self.candidates,
            key,
            home,
            self.loop.now,
            self.draw.randrange,
            job.excluded | excluded,
        )

    def _choose_unbounded(
        self, key: int, excluded: frozenset[str]
    ) -> placement.EndpointView | None:
        """Choose the ring's first available endpoint, whatever its load."""
        most = placement.RING_WALK
        for view in placement.walk_ring(self.candidates, key, most):
            if placement.is_available(view, self.loop.now, excluded):
                return view
        return None

    def _choose_baseline(self, job: rig_world.Job) -> placement.EndpointView:
        views = [
            view
            for view in self.candidates.views
            if view.name not in job.excluded
        ] or self.candidates.views
        self.round_robin_index += 1
        if self.policy.chooser == "round robin":
            return views[self.round_robin_index % len(views)]
        if self.policy.chooser == "two choices":
            views = self.draw.choices(views, k=2)
        elif self.policy.chooser == "random":
            views = self.draw.choices(views)
        return min(
            views,
            key=lambda v: (
                v.in_flight + self.reported_loads.get(v.name, 0.0),
                v.name,
            ),
        )

    def _start(self, job: rig_world.Job, view: placement.EndpointView) -> None:
        view.in_flight += 1
        if self.policy.has("ejection"):
            health.begin_probe(view.health)
        job.attempts += 1
        self.runs_started += 1
        engine = self.engines[view.name]
        run = rig_world.Run(
            job, engine, self._end, self._record_first, self.loop.now
        )
        self.live.setdefault(job, []).append(run)
        if not self.is_cut(self.failure_domain, engine.failure_domain):
            engine.begin(run)
        delay = retry.compute_hedge_delay(self.ttft_estimate)
        first = len(self.live.get(job, ())) == 1
        if self.policy.has("hedging") and delay is not None and first:
            self.loop.at(self.loop.now + delay, lambda: self._hedge(job, run))

    def _record_first(self, run: rig_world.Run) -> None:
        """Record a run's first token; cancel the other runs of its job."""
        took = self.loop.now - run.began
        retry.record_ttft(self.ttft_estimate, took)
        self._stop_others(run.job, run)

    def _hedge(self, job: rig_world.Job, first: rig_world.Run) -> None:
        if first.has_text or not first.live or self.queue.count:
            return
        view = self._choose_own(job, frozenset([first.engine.name]))
        if view is not None and retry.spend(self.hedges, self.loop.now):
            self._start(job, view)

    def _end(self, run: rig_world.Run, how: str) -> None:
        job, view = run.job, self.views[run.engine.name]
        self._remove_run(run)
        if how == "answered":
            self._record_answer(run, view)
            if not job.outcome:
                self._stop_others(job, run)
                self._finish(job, "answered")
        else:
            self._record_failure(run, view, how)
            if not job.outcome and not self.live.get(job):
                self._retry(job, view.name, how)
        self.start_waiting()

    def _record_answer(
        self, run: rig_world.Run, view: placement.EndpointView
    ) -> None:
        took = self.loop.now - run.began
        unit = took / (run.job.tokens + BASE_COST_TOKENS)
        if self.policy.has("limits"):
            if self.policy.has("part"):
                others = view.other_load
                limits.record_load_part(
                    view.limit, view.in_flight + 1, others, self.entry_vms
                )
            limits.record_answer(view.limit, unit, view.in_flight + 1)
        if self.policy.has("ejection"):
            if health.record_success(view.health, unit) and self.policy.has(
                "limits"
            ):
                limits.restart(view.limit, self.entry_vms)
            self._eject_if_outlier(view)
        admission.record_service_time(
            self.service_times, run.job.customer, took
        )
        retry.record_success(self.retries)
        retry.record_success(self.hedges)

    def _record_failure(
        self, run: rig_world.Run, view: placement.EndpointView, how: str
    ) -> None:
        if how == "crashed" and run.job.crashes_engine:
            crash = suspicion.Crash(
                "killer", view.name, WALL_MS + int(self.loop.now), "r"
            )
            suspicion.record_crash(self.suspects, crash)
        if self.policy.has("ejection"):
            health.record_failure(view.health)
            self._eject_if_outlier(view)

    def _eject_if_outlier(self, view: placement.EndpointView) -> None:
        pool = [other.health for other in self.candidates.views]
        health.eject_if_outlier(view.health, pool, self.loop.now)

    def _retry(self, job: rig_world.Job, failed: str, how: str) -> None:
        job.excluded |= {failed}
        if self._refuse_if_convicted(job):
            return
        spent = job.attempts >= MAX_ATTEMPTS
        if not spent and self.policy.has("budget") and how != "unsent":
            spent = not retry.spend(self.retries, self.loop.now)
        if spent:
            self._finish(job, "failed")
            return
        if self.policy.chooser != "own":
            self._start(job, self._choose_baseline(job))
            return
        self.retrying.append(job)
        self.start_waiting()

    def _remove_run(self, run: rig_world.Run) -> None:
        self.views[run.engine.name].in_flight -= 1
        live = self.live[run.job]
        live.remove(run)
        if not live:
            del self.live[run.job]

    def _stop_others(
        self, job: rig_world.Job, winner: rig_world.Run | None
    ) -> None:
        for run in list(self.live.get(job, ())):
            if run is winner:
                continue
            run.engine.cancel(run)
            self._remove_run(run)
            if self.policy.has("ejection"):
                view = self.views[run.engine.name]
                health.record_failure(view.health)
                self._eject_if_outlier(view)

    def _drop_overdue(self, job: rig_world.Job) -> None:
        item = self.items.get(job)
        if item is not None and item.waiting:
            queueing.remove(self.queue, item)
            self._finish(job, "dropped")

    def _expire(self, job: rig_world.Job) -> None:
        """End a request at its caller's deadline, in whatever state it is."""
        if job.outcome:
            return
        item = self.items.get(job)
        if item is not None and item.waiting:
            queueing.remove(self.queue, item)
        for run in self.live.get(job, ()):
            took = self.loop.now - run.began
            admission.record_service_time(
                self.service_times, job.customer, took
            )
        self._stop_others(job, None)
        self._finish(job, "late")
        self.start_waiting()

    def _finish(
        self,
        job: rig_world.Job,
        outcome: str,
        retry_after_ms: float | None = None,
    ) -> None:
        job.outcome = outcome
        job.ended = self.loop.now
        job.retry_after_ms = retry_after_ms
        self.items.pop(job, None)
        self.ended(job)


def choose_lowest_cost(
    candidates: placement.Candidates,
    key: int | None,
    failure_domain: str,
    now_ms: float,
    draw: placement.Draw,
    excluded: frozenset[str] = frozenset(),
) -> placement.EndpointView | None:
    """Place by the lowest cost of all endpoints, without two choices."""
    placement.refresh_means(candidates)
    if key is not None:
        home = placement.find_affine_endpoint(
            candidates, key, now_ms, excluded
        )
        if home is not None:
            return home
    open_views = [
        view
        for view in candidates.views
        if placement.is_available(view, now_ms, excluded)
    ]
    return min(
        open_views,
        key=lambda view: placement.compute_cost(view, candidates.pool_ms),
        default=None,
    )
