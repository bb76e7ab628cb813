"""Entry VMs of the rig: the daemon's decisions, or a baseline's."""

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
PLACES = 400
UNIT_BASE = 16.0
WALL_MS = 1_700_000_000_000


@attrs.frozen
class Policy:
    """``chooser`` names a baseline or is "own"; ``off`` names parts."""

    name: str
    chooser: str = "own"
    off: frozenset[str] = frozenset()

    def has(self, part: str) -> bool:
        """Whether a part of the own policy is on."""
        return self.chooser == "own" and part not in self.off


@attrs.define(eq=False)
class Waiting:
    """A queued job with what its item needs."""

    job: rig_world.Job
    item: queueing.WaitingRequest


@attrs.define(eq=False, kw_only=True)
class Node:
    """One entry VM."""

    policy: Policy
    loop: rig_world.Loop
    failure_domain: str
    engines: dict[str, rig_world.Engine]
    draw: random.Random
    ended: typing.Callable[[rig_world.Job], None]
    book: suspicion.SuspectRecords
    weights: float
    entry_vms: int
    is_cut: typing.Callable[[str, str], bool]
    raw: dict[str, float] = attrs.field(factory=dict)
    views: dict[str, placement.EndpointView] = attrs.field(factory=dict)
    candidates: placement.Candidates = attrs.field(init=False)
    queue: queueing.FairQueue = attrs.field(factory=queueing.FairQueue)
    times: admission.ServiceTimes = attrs.field(factory=admission.ServiceTimes)
    promises: admission.RetrySchedule = attrs.field(
        factory=admission.RetrySchedule
    )
    retries: retry.Budget = attrs.field(factory=retry.Budget)
    hedges: retry.Budget = attrs.field(
        factory=lambda: retry.Budget(retry.HEDGE_SHARE)
    )
    first_times: retry.TtftEstimate = attrs.field(factory=retry.TtftEstimate)
    side: list[rig_world.Job] = attrs.field(factory=list)
    turn: int = 0
    runs_begun: int = 0
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

    def take_report(self, name: str, load: float) -> None:
        """Take an endpoint's report; baselines believe it as it is."""
        view = self.views[name]
        self.raw[name] = max(0.0, load - view.in_flight)
        if self.policy.has("reports"):
            placement.record_report(view, load)

    def submit(self, job: rig_world.Job) -> None:
        """Take a caller's request."""
        self.loop.at(job.deadline, lambda: self._expire(job))
        if self.policy.chooser != "own":
            self._start(job, self._choose_baseline(job))
            return
        if self._refuse_convicted(job):
            return
        name = job.customer if self.policy.has("fairness") else "all"
        work = admission.estimate_service_ms(self.times, job.customer)
        latest = job.deadline
        if self.policy.has("hopeless"):
            latest = admission.find_latest_start(
                self.times, job.customer, self.loop.now, job.deadline
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
            self.loop.at(latest, lambda: self._drop_hopeless(job))
        self.pump()

    def _decide(
        self, item: queueing.WaitingRequest
    ) -> admission.Refusal | None:
        slots = sum(view.limit.value for view in self.views.values())
        promises = self.promises
        if not self.policy.has("promises"):
            promises = admission.RetrySchedule()
        weights = self.weights if self.policy.has("fairness") else 1.0
        places = admission.compute_queue_limit(PLACES, item.weight, weights)
        return admission.check_admission(
            self.queue, item, self.loop.now, slots, places, promises
        )

    def _refuse_convicted(self, job: rig_world.Job) -> bool:
        wall_ms = WALL_MS + int(self.loop.now)
        guilty = (
            job.killer
            and self.policy.has("suspects")
            and suspicion.is_convicted(self.book, "killer", wall_ms)
        )
        if guilty:
            self._finish(job, "convicted")
        return guilty

    def pump(self) -> None:
        """Start what can be started, what is tried again first."""
        for job in [job for job in self.side if not job.outcome]:
            view = self._choose_own(job, frozenset())
            if view is not None:
                self.side.remove(job)
                self._start(job, view)
        self.side = [job for job in self.side if not job.outcome]
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
            view = self._find_unbounded(key, job.excluded | excluded)
            if view is not None:
                return view
        choose = placement.choose
        if not self.policy.has("two choices"):
            choose = choose_least
        return choose(
            self.candidates,
            key,
            home,
            self.loop.now,
            self.draw.randrange,
            job.excluded | excluded,
        )

    def _find_unbounded(
        self, key: int, excluded: frozenset[str]
    ) -> placement.EndpointView | None:
        """The ring's first open endpoint, however busy."""
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
        self.turn += 1
        if self.policy.chooser == "round robin":
            return views[self.turn % len(views)]
        if self.policy.chooser == "two choices":
            views = self.draw.choices(views, k=2)
        elif self.policy.chooser == "random":
            views = self.draw.choices(views)
        return min(
            views,
            key=lambda v: (v.in_flight + self.raw.get(v.name, 0.0), v.name),
        )

    def _start(self, job: rig_world.Job, view: placement.EndpointView) -> None:
        view.in_flight += 1
        if self.policy.has("ejection"):
            health.begin_probe(view.health)
        job.attempts += 1
        self.runs_begun += 1
        engine = self.engines[view.name]
        run = rig_world.Run(
            job, engine, self._end, self._record_first, self.loop.now
        )
        self.live.setdefault(job, []).append(run)
        if not self.is_cut(self.failure_domain, engine.failure_domain):
            engine.begin(run)
        delay = retry.compute_hedge_delay(self.first_times)
        first = len(self.live.get(job, ())) == 1
        if self.policy.has("hedging") and delay is not None and first:
            self.loop.at(self.loop.now + delay, lambda: self._hedge(job, run))

    def _record_first(self, run: rig_world.Run) -> None:
        """The first text of a run: it is kept and the others cancelled."""
        took = self.loop.now - run.began
        retry.record_ttft(self.first_times, took)
        self._stop_others(run.job, run)

    def _hedge(self, job: rig_world.Job, first: rig_world.Run) -> None:
        if first.has_text or not first.live or self.queue.count:
            return
        view = self._choose_own(job, frozenset([first.engine.name]))
        if view is not None and retry.spend(self.hedges, self.loop.now):
            self._start(job, view)

    def _end(self, run: rig_world.Run, how: str) -> None:
        job, view = run.job, self.views[run.engine.name]
        self._vacate(run)
        if how == "answered":
            self._record_answer(run, view)
            if not job.outcome:
                self._stop_others(job, run)
                self._finish(job, "answered")
        else:
            self._record_failure(run, view, how)
            if not job.outcome and not self.live.get(job):
                self._retry(job, view.name, how)
        self.pump()

    def _record_answer(
        self, run: rig_world.Run, view: placement.EndpointView
    ) -> None:
        took = self.loop.now - run.began
        unit = took / (run.job.tokens + UNIT_BASE)
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
            self._judge(view)
        admission.record_service_time(self.times, run.job.customer, took)
        retry.record_success(self.retries)
        retry.record_success(self.hedges)

    def _record_failure(
        self, run: rig_world.Run, view: placement.EndpointView, how: str
    ) -> None:
        if how == "crashed" and run.job.killer:
            crash = suspicion.Crash(
                "killer", view.name, WALL_MS + int(self.loop.now), "r"
            )
            suspicion.record_crash(self.book, crash)
        if self.policy.has("ejection"):
            health.record_failure(view.health)
            self._judge(view)

    def _judge(self, view: placement.EndpointView) -> None:
        pool = [other.health for other in self.candidates.views]
        health.eject_if_outlier(view.health, pool, self.loop.now)

    def _retry(self, job: rig_world.Job, failed: str, how: str) -> None:
        job.excluded |= {failed}
        if self._refuse_convicted(job):
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
        self.side.append(job)
        self.pump()

    def _vacate(self, run: rig_world.Run) -> None:
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
            self._vacate(run)
            if self.policy.has("ejection"):
                view = self.views[run.engine.name]
                health.record_failure(view.health)
                self._judge(view)

    def _drop_hopeless(self, job: rig_world.Job) -> None:
        item = self.items.get(job)
        if item is not None and item.waiting:
            queueing.remove(self.queue, item)
            self._finish(job, "dropped")

    def _expire(self, job: rig_world.Job) -> None:
        """The caller's deadline: the request ends, whatever it does."""
        if job.outcome:
            return
        item = self.items.get(job)
        if item is not None and item.waiting:
            queueing.remove(self.queue, item)
        for run in self.live.get(job, ()):
            took = self.loop.now - run.began
            admission.record_service_time(self.times, job.customer, took)
        self._stop_others(job, None)
        self._finish(job, "late")
        self.pump()

    def _finish(
        self, job: rig_world.Job, outcome: str, told_ms: float | None = None
    ) -> None:
        job.outcome = outcome
        job.ended = self.loop.now
        job.told_ms = told_ms
        self.items.pop(job, None)
        self.ended(job)


def choose_least(
    candidates: placement.Candidates,
    key: int | None,
    failure_domain: str,
    now_ms: float,
    draw: placement.Draw,
    excluded: frozenset[str] = frozenset(),
) -> placement.EndpointView | None:
    """Own placement without two choices: the lowest score of all."""
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
