"""Where a forwarded request goes: version, endpoint and model."""

import typing

import attrs

from carawayward import clock as clock_module
from carawayward.decisions import engine_load
from carawayward.decisions import escalation
from carawayward.decisions import placement
from carawayward.decisions import retry_budget
from carawayward import events
from carawayward.forwarding import facts
from carawayward.forwarding import fleet as fleet_module
from carawayward.forwarding import load_reports
from carawayward.forwarding import metrics as metrics_module
from carawayward.forwarding import rollout_state
from carawayward.forwarding import rollouts as rollouts_module
from carawayward.forwarding import work_items

# Escalations to a larger model leave this part of the extra runs to requests
# whose endpoint failed.
ESCALATION_RESERVE = 0.3


@attrs.define(eq=False)
class Placer:
    """Puts the decisions of placement together for one request at a time."""

    clock: clock_module.Clock
    fleet: fleet_module.Fleet
    rollouts: rollouts_module.Rollouts
    reporter: load_reports.LoadReporter
    metrics: metrics_module.Metrics
    make_budget: typing.Callable[[], retry_budget.RetryBudget]
    budgets: dict[str, retry_budget.RetryBudget] = attrs.field(factory=dict)

    def find_budget(self, service: str) -> retry_budget.RetryBudget:
        """The extra runs of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = self.make_budget()
        budget.vms = self.reporter.count_members()
        return budget

    def choose_model(self, work: work_items.Work) -> None:
        """Choose the model to begin with, where that is left to us."""
        if work.facts.model != facts.ANY_MODEL or not work.route.models:
            return
        may_escalate = (
            work.route.repeatable
            and work.route.max_attempts > 1
            and retry_budget.may_spend(
                self.find_budget(work.service),
                self.clock.now_ms(),
                ESCALATION_RESERVE,
            )
        )
        overload = (
            escalation.Overload()
            if may_escalate
            else self._compute_overload(work)
        )
        work.model = escalation.choose_first(
            len(work.route.models), may_escalate, overload
        )

    def _compute_overload(self, work: work_items.Work) -> escalation.Overload:
        """How much speaks against the largest model for a request."""
        prompt = work_items.make_prompt(work, work.route.models[-1])
        if prompt is None:
            return escalation.Overload()
        closed = self.fleet.cold_starts.list_closed()
        excluded = work.useless | closed | self.fleet.list_quarantined()
        for want in self._list_wants(work, self.rollouts.choose_version(work)):
            pool = self.fleet.find_pool(want)
            engine = self._choose_engine(work, pool, prompt, excluded)
            if engine is None:
                continue
            ttft_ms = engine_load.predict_ttft(
                self.fleet.get_latency_model(work.service), engine.weight
            )
            work.backlog_ms = self.fleet.find_backlog_ms(work.service, pool)
            shortest_ms = work.table.find_shortest_target(work.service)
            return escalation.compute_overload(
                work.backlog_ms / shortest_ms, ttft_ms / work.route.target_ms
            )
        return escalation.Overload(behind=1.0)

    def choose(
        self, work: work_items.Work, choice: rollout_state.VersionChoice | None
    ) -> fleet_module.Place | None:
        """Choose an endpoint: of the version wanted, else of the other."""
        wants = self._list_wants(work, choice)
        useless = work.useless | self.fleet.cold_starts.list_closed()
        tried = useless | work.failed_at
        quarantined = self.fleet.list_quarantined()
        for excluded in (tried | quarantined, tried, useless):
            for want in wants:
                place = self._place_among(work, want, excluded)
                if place is not None:
                    return place
        return None

    def _place_among(
        self,
        work: work_items.Work,
        want: fleet_module.Want,
        excluded: frozenset[str],
    ) -> fleet_module.Place | None:
        pool = self.fleet.find_pool(want)
        prompt = work_items.make_prompt(work)
        if prompt is None:
            return self.fleet.choose(pool, None, excluded)
        engine = self._choose_engine(work, pool, prompt, excluded)
        if engine is None:
            return None
        work.backlog = engine.weight
        work.waits = engine.ahead > 0.0
        return self.fleet.places.get(engine.name)

    def _choose_engine(
        self,
        work: work_items.Work,
        pool: placement.Candidates,
        prompt: engine_load.Prompt,
        excluded: frozenset[str],
    ) -> engine_load.Choice | None:
        remote_weight = engine_load.compute_remote_penalty(
            self.fleet.get_latency_model(work.service), work.route.target_ms
        )
        return self.fleet.choose_engine(pool, prompt, excluded, remote_weight)

    def _list_wants(
        self, work: work_items.Work, choice: rollout_state.VersionChoice | None
    ) -> list[fleet_module.Want]:
        if choice is None:
            return [fleet_module.Want(work.service)]
        version = choice.rollout.order.version
        new = fleet_module.Want(work.service, version)
        old = fleet_module.Want(work.service, version, other=True)
        if not choice.new:
            return [old] if choice.strict else [old, new]
        count = len(self.fleet.find_pool(new).views)
        most = self.rollouts.limit_endpoints(choice, count)
        return [attrs.evolve(new, most=most), old]

    def begin_reading(
        self, work: work_items.Work, place: fleet_module.Place
    ) -> work_items.Reading:
        """Count a prompt as outstanding at its engine."""
        prompt = work_items.make_prompt(work)
        reading = work_items.Reading(self.reporter, place.entry.name, 0.0)
        if prompt is not None:
            unread = engine_load.count_unread(
                self.reporter.loads, place.entry.name, prompt
            )
            reading.weight = unread * prompt.model_weight
            self.reporter.record_cached(place.entry.name, prompt.parts[:-1])
        work.reading = reading if prompt is not None else None
        reading.begin()
        return reading

    def predict_ttft(self, work: work_items.Work) -> float:
        """When the first text comes from where the work was placed, in ms.

        0 for what no engine reads.
        """
        if not work.backlog:
            return 0.0
        model = self.fleet.get_latency_model(work.service)
        return engine_load.predict_ttft(model, work.backlog)

    def observe_ttft(self, work: work_items.Work) -> None:
        """Learn from a prompt that its engine has read."""
        progress = work.progress
        progress.ttft_ms = took_ms = self.clock.now_ms() - progress.began_ms
        if work.reading is None:
            return
        work.reading.observe_ttft()
        predicted_ms = self.predict_ttft(work)
        progress.predicted_ms = predicted_ms
        events.log_event(
            events.Event.HEAD_READ,
            request=work.facts.request_id,
            endpoint=work.endpoint,
            model=work.model_name,
            predicted_ms=round(predicted_ms),
            took_ms=round(took_ms),
            backlog=round(work.backlog),
            behind_ms=round(work.backlog_ms),
            confidence=work.confidence,
        )
        if not self.rollouts.is_on_trial(work.service, progress.version):
            # A version that learned predictions follow would pass for good
            # however slow it is.
            model = self.fleet.get_latency_model(work.service)
            engine_load.observe_ttft(model, work.backlog, took_ms)
        self.metrics.observe("head", took_ms, model=work.model_name)

    def find_larger(self, work: work_items.Work) -> int | None:
        """The model to ask instead, before anything reached the caller."""
        if work.model is None:
            return None
        if work.runs + 1 >= work.route.max_attempts:
            return None
        budget = self.find_budget(work.service)
        if not retry_budget.may_spend(budget, self.clock.now_ms()):
            return None
        return escalation.choose_next(
            work.model,
            len(work.route.models),
            work.confidence,
            self._compute_overload(work),
        )
