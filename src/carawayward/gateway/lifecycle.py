"""Runs a validated request: admission, planning, dispatch and billing."""

import typing

import attrs

from carawayward import blackboard as blackboard_module
from carawayward import clock as clock_module
from carawayward.controllers import billing as billing_module
from carawayward import deadlines as deadlines_module
from carawayward.decisions import cascade
from carawayward.decisions import evidence
from carawayward.decisions import session
from carawayward import declaration
from carawayward.gateway import dispatch
from carawayward.gateway import planning
from carawayward.gateway import requests
from carawayward.gateway import running
from carawayward import metrics as metrics_module
from carawayward import outcomes
from carawayward.protocol import billing
from carawayward import quality
from carawayward import settings as settings_module

RETRY_AFTER_MS = 1_000
BILL_ATTEMPTS = 20

OnText = typing.Callable[[str], typing.Awaitable[None]]


@attrs.define
class Lifecycle:
    """Runs requests; each one ends in exactly one outcome."""

    settings: settings_module.Settings
    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    dispatcher: dispatch.Dispatcher
    bills: billing_module.BillingController
    metrics: metrics_module.Metrics
    deadlines: deadlines_module.Deadlines = attrs.field(
        default=attrs.Factory(
            lambda self: deadlines_module.Deadlines(self.clock),
            takes_self=True,
        )
    )

    def refuse_admission(self) -> outcomes.NotRun | None:
        """Return a refusal if this entry VM accepts no new work now."""
        if self.board.state is blackboard_module.NodeState.LEAVING:
            return outcomes.NotRun(
                outcomes.Reason.LEAVING,
                "this entry VM is stopping; call another",
                100,
            )
        starting = self.board.state is blackboard_module.NodeState.STARTING
        if starting or self.board.config is None:
            return outcomes.NotRun(
                outcomes.Reason.NOT_READY,
                "this entry VM is starting; call another",
                RETRY_AFTER_MS,
            )
        if not self.bills.has_capacity():
            return outcomes.NotRun(
                outcomes.Reason.NOT_BILLABLE,
                "bills wait for the platform log; come back later",
                5 * RETRY_AFTER_MS,
            )
        return None

    async def complete(
        self,
        customer: declaration.Customer,
        request: requests.Completion,
        pins: dict[str, str],
        on_text: OnText,
    ) -> outcomes.Outcome:
        """Run a completion within its deadline and record its metrics."""
        watch = self.metrics.watch(customer.name, request.task)

        async def record_text(text: str) -> None:
            watch.record_chunk()
            await on_text(text)

        outcome = await self._complete(customer, request, pins, record_text)
        record_metrics(watch, outcome)
        return outcome

    async def _complete(
        self,
        customer: declaration.Customer,
        request: requests.Completion,
        pins: dict[str, str],
        on_text: OnText,
    ) -> outcomes.Outcome:
        config = self.board.config
        assert config is not None
        task = config.tasks.get(request.task)
        if task is None or task.name not in customer.tasks:
            return outcomes.NotRun(
                outcomes.Reason.NOT_ALLOWED,
                f"name one of your tasks: {', '.join(customer.tasks)}",
            )
        fresh = self.board.is_fresh(self.clock.now_ms())
        lost = session.find_unavailable_pin(task, config.models, pins, fresh)
        if lost is not None:
            return outcomes.NotRun(
                outcomes.Reason.VERSION_WITHDRAWN,
                f"the session is settled on {lost}, which may not serve it "
                "any more; open a new session",
            )
        deadline_ms = request.deadline_ms or task.deadline_ms
        deadline_ms = min(deadline_ms, self.settings.limits.max_deadline_ms)
        plan = planning.choose_plan(
            self.board, customer, task, request.request_key, pins, deadline_ms
        )
        if not plan.steps:
            return outcomes.NotRun(
                outcomes.Reason.VERSION_WITHDRAWN,
                "no version is left for this session; open a new one",
            )
        unstartable = session.find_unstartable_version(
            [step.version for step in plan.steps],
            pins,
            config.versions,
            fresh,
        )
        if unstartable is not None:
            planning.release(self.board, plan, [])
            return outcomes.NotRun(
                outcomes.Reason.NOT_READY,
                f"{unstartable} takes no new work here while this entry VM "
                "is cut off; call another one",
                RETRY_AFTER_MS,
            )
        self.board.running += 1
        try:
            with self.deadlines.begin(deadline_ms) as deadline:
                with deadline.limit(self.clock):
                    return await self._run_plan(
                        customer, request, plan, deadline, on_text
                    )
        finally:
            self.board.running -= 1
        if deadline.reason is outcomes.Reason.LEAVING:
            return outcomes.Unknown(
                outcomes.Reason.LEAVING,
                "this entry VM is stopping while it ran; it may be sent again",
            )
        return outcomes.Unknown(
            outcomes.Reason.DEADLINE,
            "the deadline passed while it ran; it may be sent again",
        )

    async def _run_plan(
        self,
        customer: declaration.Customer,
        request: requests.Completion,
        plan: planning.Plan,
        deadline: deadlines_module.Deadline,
        on_text: OnText,
    ) -> outcomes.Outcome:
        tried: list[str] = []
        try:
            return await self._run_steps(
                customer, request, plan.steps, deadline, on_text, tried
            )
        finally:
            planning.release(self.board, plan, tried)

    async def _run_steps(
        self,
        customer: declaration.Customer,
        request: requests.Completion,
        plan: list[cascade.Step],
        deadline: deadlines_module.Deadline,
        on_text: OnText,
        tried: list[str],
    ) -> outcomes.Outcome:
        cost = 0.0
        input_tokens = output_tokens = 0
        for index, step in enumerate(plan):
            tried.append(step.version)
            buffer: list[str] = []

            async def buffer_text(
                text: str, buffer: list[str] = buffer
            ) -> None:
                buffer.append(text)

            last = step.accept_at is None
            began_ms = self.clock.now_ms()
            result = await self.dispatcher.run_step(
                customer,
                request,
                step.version,
                index,
                deadline,
                on_text if last else buffer_text,
                buffered=not (last and request.stream),
            )
            if not isinstance(result, running.StepResult):
                return result
            end = result.end
            self._record_answer(
                customer, request, index, step.version, result, began_ms
            )
            cost += self._price(step.version, end.output_tokens)
            input_tokens += end.input_tokens
            output_tokens += end.output_tokens
            if not last and end.confidence < (step.accept_at or 0.0):
                continue
            if not last:
                for text in buffer:
                    await on_text(text)
            answer = outcomes.Answered(
                text=result.text,
                version=step.version,
                endpoint=result.endpoint,
                input_tokens=input_tokens,
                output_tokens=output_tokens,
                cost=cost,
                plan=tuple(tried),
            )
            return await self._bill(
                customer, request.request_key, answer, deadline
            )
        raise AssertionError("the last step of a plan must accept any answer")

    def _record_answer(
        self,
        customer: declaration.Customer,
        request: requests.Completion,
        index: int,
        version: str,
        done: running.StepResult,
        began_ms: float,
    ) -> None:
        """Offer a step's answer for rating and record its duration."""
        config = self.board.config
        task = config.tasks.get(request.task) if config else None
        planning.record_answer(
            self.board,
            quality.SampledAnswer(
                answer_id=f"{customer.name} {request.request_key} {index}",
                key=evidence.Key(
                    customer=customer.name,
                    task=request.task,
                    version=version,
                    band=evidence.find_band(done.end.confidence),
                    escalated=index > 0,
                ),
                answered_at_ms=self.clock.wall_ms(),
                messages=request.messages,
                text=done.text,
            ),
            task.rated_share if task else 0.0,
            self.clock.now_ms() - began_ms,
        )

    def _price(self, version: str, output_tokens: int) -> float:
        config = self.board.config
        declared = config.versions.get(version) if config else None
        return declared.cost * output_tokens / 1000 if declared else 0.0

    async def _bill(
        self,
        customer: declaration.Customer,
        request_key: str,
        answer: outcomes.Answered,
        deadline: deadlines_module.Deadline,
        attempts: int = 1,
    ) -> outcomes.Outcome:
        """Store the bill durably before the answer counts as complete.

        Otherwise a crash right after the end marker would leave an answer
        that is never billed. A bill that could not be settled in time still
        waits for the log, so the outcome then must not be "not run".
        """
        bill = billing.Bill(
            customer=customer.name,
            request_key=request_key,
            version=answer.version,
            input_tokens=answer.input_tokens,
            output_tokens=answer.output_tokens,
            cost=answer.cost,
            made_ms=self.clock.wall_ms(),
        )
        for _ in range(attempts):
            with deadline.limit(self.clock):
                if await self.bills.make_durable(bill):
                    return answer
        return outcomes.Interrupted(
            outcomes.Reason.NOT_BILLABLE,
            str(answer.text),
            "the answer was given, but its bill could not be made safe; "
            "look up the request before you send it again",
        )

    async def call_service(
        self,
        customer: declaration.Customer,
        call: requests.ServiceCall,
        operation: declaration.Operation,
        pool: str,
    ) -> outcomes.Outcome:
        """Call a service, bill the answer and record metrics."""
        watch = self.metrics.watch(customer.name, call.service)
        self.board.running += 1
        try:
            with self.deadlines.begin() as deadline:
                outcome = await self.dispatcher.call_service(
                    customer, call, operation, pool, deadline
                )
                if isinstance(outcome, outcomes.Answered):
                    # A non-repeatable run continues after its caller has
                    # stopped waiting, so its bill gets more attempts.
                    attempts = 1 if operation.repeatable else BILL_ATTEMPTS
                    outcome = await self._bill(
                        customer, call.request_key, outcome, deadline, attempts
                    )
            record_metrics(watch, outcome)
            return outcome
        finally:
            self.board.running -= 1


def record_metrics(
    watch: metrics_module.AnswerWatch, outcome: outcomes.Outcome
) -> None:
    """Record the metrics of a finished request."""
    match outcome:
        case outcomes.Answered(plan=plan, cost=cost):
            watch.record_end("answered", "+".join(plan), cost)
        case outcomes.NotRun():
            watch.record_end("not_run", "", 0.0)
        case outcomes.Unknown():
            watch.record_end("unknown", "", 0.0)
        case outcomes.Interrupted():
            watch.record_end("interrupted", "", 0.0)
