"""Chooses the endpoint and model for a forwarded request."""

import attrs

from carawayward import clock as clock_module
from carawayward.decisions import engine_load
from carawayward.decisions import engine_order
from carawayward.decisions import engine_room
from carawayward.decisions import escalation
from carawayward.decisions import placement
from carawayward.decisions import planned_stop
from carawayward.decisions import quarantine as quarantine_module
from carawayward.decisions import retry_budget
from carawayward import events
from carawayward.forwarding import engine_paces
from carawayward.forwarding import fleet as fleet_module
from carawayward.forwarding import load_reports
from carawayward.forwarding import message_types
from carawayward.forwarding import metrics as metrics_module
from carawayward.forwarding import plain_choice
from carawayward.forwarding import retries
from carawayward.forwarding import rollout_state
from carawayward.forwarding import rollouts as rollouts_module
from carawayward.forwarding import work_items

# Share of the retry budget that is left to requests whose endpoint failed. The
# first model is chosen in the expectation of an escalation to a larger one
# only if more than this is unused.
ESCALATION_RESERVE = 0.3
BUDGET_LOG_INTERVAL_MS = 1_000.0


@attrs.define(eq=False)
class Placer:
    """Applies the placement decisions to one request at a time.

    ``started_ms`` is when this process started.
    """

    clock: clock_module.Clock
    fleet: fleet_module.Fleet
    rollouts: rollouts_module.Rollouts
    reporter: load_reports.LoadReporter
    metrics: metrics_module.Metrics
    started_ms: float
    paces: engine_paces.EnginePaces = attrs.field(init=False)
    budgets: dict[str, retry_budget.RetryBudget] = attrs.field(factory=dict)
    budget_logged_ms: dict[str, float] = attrs.field(factory=dict)
    plain: plain_choice.PlainChooser = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.plain = plain_choice.PlainChooser(self.fleet)
        self.paces = engine_paces.EnginePaces(
            self.clock, self.fleet.paces, self.reporter.get_engine_names
        )

    def find_budget(self, service: str) -> retry_budget.RetryBudget:
        """Return the retry budget of a service, by the current bounds."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = retry_budget.RetryBudget(started_ms=self.started_ms)
            self.budgets[service] = budget
        bounds = self.fleet.board.bounds
        budget.window_ms = bounds.retry_window_ms
        budget.ratio = bounds.retry_ratio
        budget.slack = bounds.retry_slack
        budget.vms = self.reporter.count_possible_members()
        return budget

    def spend_budget(self, service: str) -> bool:
        """Count a run beyond a request's first, if the budget allows it.

        If not, logs it once in a while.
        """
        budget, now_ms = self.find_budget(service), self.clock.now_ms()
        if retry_budget.try_to_spend(budget, now_ms):
            return True
        last_ms = self.budget_logged_ms.get(service, float("-inf"))
        if now_ms - last_ms >= BUDGET_LOG_INTERVAL_MS:
            self.budget_logged_ms[service] = now_ms
            usage = retry_budget.compute_usage(budget, now_ms)
            events.log_event(
                events.Event.RETRY_BUDGET_SPENT,
                service=service,
                runs=usage.runs,
                allowed=round(usage.allowed, 1),
                vms=budget.vms,
            )
        return False

    def collect_gauges(self) -> dict[str, float]:
        """The extra runs of each service, and the unusual engines' paces."""
        gauges = {
            metrics_module.format_series("engine_pace", endpoint=name): pace
            for name, pace in self.fleet.paces.known.items()
        }
        for service in self.budgets:
            usage = retry_budget.compute_usage(
                self.find_budget(service), self.clock.now_ms()
            )
            for name, value in (
                ("extra_runs", usage.runs),
                ("extra_runs_allowed", usage.allowed),
            ):
                series = metrics_module.format_series(name, service=service)
                gauges[series] = value
        return gauges

    def choose_model(self, work: work_items.Work) -> None:
        """Choose the first model to ask, if the caller leaves it open."""
        if (
            work.metadata.model != message_types.ANY_MODEL
            or not work.route.models
        ):
            return
        may_escalate = (
            retries.may_repeat(work.route)
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
        """Compute the load that is a reason against using the largest model.

        Also records the engines' mean backlog in ``work`` for the log.
        """
        prompt = work_items.make_prompt(work, work.route.models[-1])
        if prompt is None:
            return escalation.Overload()
        unavailable = self.fleet.list_unavailable()
        excluded = work.unusable | unavailable | self.fleet.list_quarantined()
        for endpoint_filter in self._list_filters(
            work, self.rollouts.choose_version(work)
        ):
            pool = self.fleet.find_pool(endpoint_filter)
            engine = self._choose_engine(work, pool, prompt, excluded)
            if engine is None:
                continue
            ttft_ms = engine_load.predict_ttft(
                self.fleet.get_latency_model(work.service),
                self._order(work, engine)[1],
                engine.pace,
            )
            if not self._may_answer(work, ttft_ms, engine.pace):
                break
            work.backlog_ms = self.fleet.find_backlog_ms(work.service, pool)
            shortest_ms = work.table.find_shortest_target(work.service)
            return escalation.compute_overload(
                work.backlog_ms / shortest_ms, ttft_ms / work.route.target_ms
            )
        return escalation.Overload(behind=1.0)

    def choose(
        self, work: work_items.Work, choice: rollout_state.VersionChoice | None
    ) -> fleet_module.TrackedEndpoint | None:
        """Choose an endpoint, preferably of the version of ``choice``.

        Endpoints that are quarantined or have failed this request are chosen
        only if there is no other of either version.
        """
        endpoint_filters = self._list_filters(work, choice)
        unusable = work.unusable | self.fleet.list_unavailable()
        tried = unusable | work.failed_endpoints
        quarantined = self.fleet.list_quarantined()
        for excluded in (tried | quarantined, tried, unusable):
            for endpoint_filter in endpoint_filters:
                endpoint = self._choose_among(work, endpoint_filter, excluded)
                if endpoint is not None:
                    return endpoint
        return None

    def _choose_among(
        self,
        work: work_items.Work,
        endpoint_filter: fleet_module.EndpointFilter,
        excluded: frozenset[str],
    ) -> fleet_module.TrackedEndpoint | None:
        pool = self.fleet.find_pool(endpoint_filter)
        prompt = work_items.make_prompt(work)
        if prompt is None:
            return self.plain.choose(pool, excluded)
        engine = self._choose_engine(work, pool, prompt, excluded)
        if engine is None:
            return None
        work.urgency_class, work.backlog = self._order(work, engine)
        work.is_queued = engine.ahead > 0.0
        work.pace = engine.pace
        work.is_engine_full = engine.is_full
        return self.fleet.tracked.get(engine.name)

    def _choose_engine(
        self,
        work: work_items.Work,
        pool: placement.Candidates,
        prompt: engine_load.Prompt,
        excluded: frozenset[str],
    ) -> engine_load.Choice | None:
        model = self.fleet.get_latency_model(work.service)
        remote_weight = engine_load.compute_remote_penalty(
            model, work.route.target_ms
        )
        return self.fleet.choose_engine(
            pool, prompt, excluded, remote_weight, self._make_room(work)
        )

    def _make_room(self, work: work_items.Work) -> engine_room.Room:
        service = work.table.services[work.service]
        engine, slots = service.engine, 0
        # Otherwise the memory limits what runs at once, before the places do.
        if engine is not None and engine_order.holds_full_batch(
            engine.slots, engine.cache_tokens
        ):
            slots = engine.slots
        model = self.fleet.get_latency_model(work.service)
        return engine_room.Room.from_times(
            slots, model.base_ms, model.held_ms, model.token_ms
        )

    def _order(
        self, work: work_items.Work, engine: engine_load.Choice
    ) -> tuple[int | None, float]:
        """The class of urgency at an engine, and what that reads first.

        The latter is in weighted tokens, up to the request's first token.
        """
        level = work_items.find_level(work)
        if level is None:
            return None, engine.weight
        model = self.fleet.get_latency_model(work.service)
        ttft_ms = engine_load.predict_ttft(model, engine.weight, engine.pace)
        target_ms = work.began_ms + work.route.target_ms
        in_time = ttft_ms <= target_ms - self.clock.now_ms()
        urgency_class = engine_order.choose_class(level, in_time)
        weight = engine_order.count_weight(
            engine, self._make_room(work), urgency_class
        )
        return urgency_class, weight

    def _list_filters(
        self, work: work_items.Work, choice: rollout_state.VersionChoice | None
    ) -> list[fleet_module.EndpointFilter]:
        if choice is None:
            return [fleet_module.EndpointFilter(work.service)]
        version = choice.rollout.order.version
        new = fleet_module.EndpointFilter(work.service, version)
        unusable = self.rollouts.list_unusable(choice.rollout)
        old = fleet_module.EndpointFilter(
            work.service, excluded=unusable | {version}
        )
        if not choice.new and not self._is_certain(old):
            return []
        count = len(self.fleet.find_pool(new).views)
        has_old = bool(self.fleet.find_pool(old).views)
        if not choice.new:
            strict = choice.strict or (
                choice.keeps_session and self._is_reachable(old)
            )
            filters = [old] if strict else [old, new]
        else:
            max_endpoints = self.rollouts.limit_endpoints(choice, count)
            limited = attrs.evolve(new, max_endpoints=max_endpoints)
            filters = (
                [limited, new, old] if choice.keeps_session else [limited, old]
            )
        if count or has_old:
            return filters
        # Their roll-outs may have been completed: the end of one is known some
        # time after the next order.
        return [
            fleet_module.EndpointFilter(work.service, each)
            for each in self.rollouts.list_undecided(work.service)
        ]

    def _is_reachable(self, old: fleet_module.EndpointFilter) -> bool:
        """Whether any endpoint that a filter selects is up, full or not."""
        quarantine = self.fleet.quarantine
        return any(
            not quarantine_module.is_unreachable(quarantine, view.name)
            for view in self.fleet.find_pool(old).views
        )

    def _is_certain(self, old: fleet_module.EndpointFilter) -> bool:
        """Whether all endpoints that a filter selects are of old versions.

        Until a process that starts knows how the earlier roll-outs ended, one
        of several versions may have been rolled back.
        """
        if self.rollouts.is_history_known(old.service):
            return True
        tracked = self.fleet.tracked
        views = self.fleet.find_pool(old).views
        return len({tracked[view.name].entry.version for view in views}) <= 1

    def begin_reading(
        self, work: work_items.Work, endpoint: fleet_module.TrackedEndpoint
    ) -> work_items.Reading:
        """Add a prompt to its engine's outstanding load."""
        prompt = work_items.make_prompt(work)
        reading = work_items.Reading(self.reporter, endpoint.entry.name, 0.0)
        if prompt is not None:
            unread = engine_load.count_unread(
                self.reporter.loads, endpoint.entry.name, prompt
            )
            reading.weight = unread * prompt.model_weight
            reading.urgency_class = work.urgency_class
            model = self.fleet.get_latency_model(work.service)
            reading.read_ms = reading.weight * model.token_ms
            reading.pace = work.pace
            version = endpoint.entry.version
            if not self.rollouts.is_on_trial(work.service, version):
                reading.model = model
            self.reporter.record_cached(endpoint.entry.name, prompt.parts[:-1])
        work.reading = reading if prompt is not None else None
        reading.begin()
        return reading

    def predict_ttft(self, work: work_items.Work) -> float:
        """Predict the time to the first token at the chosen engine, in ms.

        0 if the request does not go to an engine.
        """
        if not work.backlog:
            return 0.0
        model = self.fleet.get_latency_model(work.service)
        return engine_load.predict_ttft(model, work.backlog, work.pace)

    def may_begin(self, work: work_items.Work) -> bool:
        """Whether an attempt at the chosen endpoint may end before a stop."""
        if work.backlog:
            return self._may_answer(work, self.predict_ttft(work), work.pace)
        return planned_stop.may_begin(
            self._find_left_ms(), work.route.target_ms, 0.0
        )

    def claim_retry(self, work: work_items.Work) -> bool:
        """Claim another run of a stream that has begun.

        Without one its caller would get it unfinished. In a stop that is also
        how it ends if the other endpoint declines it or takes too long.
        """
        stops = self.fleet.board.stop_deadline.is_stopping
        if stops or retries.is_last_run(work):
            return False
        work.is_retry_claimed = self.spend_budget(work.service)
        return work.is_retry_claimed

    def _may_answer(
        self, work: work_items.Work, ttft_ms: float, pace: float
    ) -> bool:
        """Whether an engine's answer is expected to end before a stop."""
        held_ms = self.fleet.get_latency_model(work.service).held_ms
        return planned_stop.may_begin(
            self._find_left_ms(), ttft_ms, held_ms * pace
        )

    def _find_left_ms(self) -> float:
        """How long it is until all replies have to be sent."""
        return self.fleet.board.stop_deadline.due_ms - self.clock.now_ms()

    def observe_ttft(self, work: work_items.Work) -> None:
        """Record the time to the first token and update the latency model."""
        progress = work.progress
        progress.ttft_ms = took_ms = self.clock.now_ms() - progress.began_ms
        if work.reading is None:
            return
        work.reading.observe_ttft()
        predicted_ms = self.predict_ttft(work)
        # Versions are judged at the pace of the service: by its own, the
        # engine of a slow version would seem to be in time.
        progress.predicted_ms = predicted_ms / work.pace
        events.log_event(
            events.Event.HEAD_READ,
            request=work.metadata.request_id,
            endpoint=work.endpoint,
            model=work.model_name,
            predicted_ms=round(predicted_ms),
            took_ms=round(took_ms),
            backlog=round(work.backlog),
            behind_ms=round(work.backlog_ms),
            confidence=work.confidence,
        )
        if not self.rollouts.is_on_trial(work.service, progress.version):
            self._learn_latency(work, took_ms)
        self.metrics.observe("head", took_ms, model=work.model_name)

    def _learn_latency(self, work: work_items.Work, took_ms: float) -> None:
        """Teach the latency model and the engine's pace.

        A version on trial is judged by the predictions. If they followed its
        latency, it would pass however slow it is. How long a prompt has waited
        for a place says little about the engine's pace.
        """
        model = self.fleet.get_latency_model(work.service)
        usual_ms = engine_load.predict_ttft(model, work.backlog)
        if not work.is_engine_full:
            self.paces.observe(work.service, work.endpoint, took_ms, usual_ms)
        engine_load.observe_ttft(model, work.backlog, took_ms / work.pace)

    def find_larger_model(self, work: work_items.Work) -> int | None:
        """Return the larger model to ask instead; None to keep the answer."""
        if work.model is None or retries.is_last_run(work):
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
