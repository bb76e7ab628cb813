"""Runs requests on chosen endpoints and records the results.

Latency, failures and crashes feed the decisions about later requests.
"""

import typing

import attrs
import trio

from carawayward import blackboard as blackboard_module
from carawayward import clock as clock_module
from carawayward.controllers import suspects as suspects_module
from carawayward import deadlines
from carawayward.decisions import admission
from carawayward.decisions import placement
from carawayward.decisions import retry
from carawayward import declaration
from carawayward import errors
from carawayward import events
from carawayward.gateway import endpoints as endpoints_module
from carawayward.gateway import fleet as fleet_module
from carawayward.gateway import hedging
from carawayward.gateway import queues as queues_module
from carawayward.gateway import requests
from carawayward import http_client as http
from carawayward import outcomes

# The fixed cost of an answer before its first token, in tokens. Without it
# a very short answer would make its endpoint look many times slower than
# others, since latency is compared per token.
BASE_COST_TOKENS = 16
# An answer is not used to measure its endpoint if writing to the caller
# took more than this share of its time.
MAX_CALLER_BLOCKED_SHARE = 0.1

OnText = typing.Callable[[str], typing.Awaitable[None]]


@attrs.frozen
class StepResult:
    """The result of a completed step of a plan."""

    text: str
    endpoint: str
    end: endpoints_module.RunEnd


@attrs.define(eq=False, kw_only=True)
class StepRun:
    """The state of one step of a plan while it is queued and run.

    ``may_have_started`` is set once an engine may have begun to work on the
    request; from then on a refusal must not say "not run". A ``buffered``
    step passes its text on only when the answer is complete, so a run that
    breaks off can be started again: nothing has reached the caller.
    ``excluded`` names the endpoints that are not tried again.
    """

    customer: declaration.Customer
    request: requests.Completion
    version: str
    index: int
    deadline: deadlines.Deadline
    on_text: OnText
    buffered: bool
    fingerprint: str
    queue: queues_module.DispatchQueue
    may_have_started: bool = False
    excluded: frozenset[str] = frozenset()
    parts: list[str] = attrs.field(factory=list)
    runs: int = 0

    async def collect(self, text: str) -> None:
        """Keep a piece of the answer; pass it on unless buffered."""
        self.parts.append(text)
        if not self.buffered:
            await self.on_text(text)

    def refuse(
        self,
        reason: outcomes.Reason,
        remedy: str,
        retry_after_ms: float | None = None,
    ) -> outcomes.Outcome:
        """Refuse with "not run" only if no engine may have started."""
        if self.may_have_started:
            return outcomes.Unknown(reason, remedy)
        after = None if retry_after_ms is None else int(retry_after_ms)
        return outcomes.NotRun(reason, remedy, after)


def find_cacheable_prefix(step: StepRun) -> str:
    """The part of a prompt that the engine's prefix cache is likely to hold.

    The opening messages stay the same throughout a conversation. Including
    later messages, which change with each turn, would send every turn to a
    different endpoint.
    """
    messages = step.request.messages
    count = 2 if messages[0]["role"] == "system" else 1
    opening = "\n".join(m["content"] for m in messages[:count])
    return f"{step.customer.name}\n{step.version}\n{opening}"


@attrs.define(eq=False)
class Watch:
    """Measures the streaming of one run's text to the caller."""

    clock: clock_module.Clock
    queue: queues_module.DispatchQueue
    on_text: OnText
    began_ms: float
    caller_blocked_ms: float = 0.0
    chunks: int = 0

    async def write(self, text: str) -> None:
        """Pass a piece on; record the time to the first one."""
        now_ms = self.clock.now_ms()
        self.chunks += 1
        if self.chunks == 1:
            ttft_ms = now_ms - self.began_ms
            retry.record_ttft(self.queue.ttft, ttft_ms)
        await self.on_text(text)
        self.caller_blocked_ms += self.clock.now_ms() - now_ms


@attrs.define(eq=False)
class RunExecutor:
    """Carries out single engine runs and service calls."""

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    endpoints: endpoints_module.EndpointClient
    suspects: suspects_module.SuspectsController
    fleet: fleet_module.Fleet
    queues: queues_module.DispatchQueues

    async def run(
        self, step: StepRun, waiter: queues_module.Waiter
    ) -> StepResult:
        """Run on the waiter's endpoint, with a hedge if it stays silent."""
        assert waiter.view is not None
        views = [waiter.view]
        queue = step.queue

        def make_hedge() -> hedging.Runner | None:
            view = self._choose_hedge_view(step, views[0])
            if view is None:
                return None
            views.append(view)
            return self._make_runner(step, view, None)

        hedged_run = hedging.HedgedRun(step.collect)
        delay_ms = None
        if not waiter.suspect:
            delay_ms = retry.compute_hedge_delay(queue.ttft)
        runner = self._make_runner(step, views[0], waiter)
        index, end = await hedged_run.run(runner, delay_ms, make_hedge)
        if index and not hedged_run.faults:
            # The first run was silent and has been cancelled. Unless that
            # is recorded as a failure, its endpoint looks idle and keeps
            # attracting requests.
            self.fleet.record_failure(
                views[0], queue.candidates, self.clock.now_ms(), False
            )
        self.suspects.record_answer(step.fingerprint)
        retry.record_success(queue.retry_budget)
        retry.record_success(queue.hedge_budget)
        text = "".join(step.parts)
        if step.buffered:
            await step.on_text(text)
        return StepResult(text, views[index].name, end)

    def _choose_hedge_view(
        self, step: StepRun, first: placement.EndpointView
    ) -> placement.EndpointView | None:
        """Take a slot on another endpoint for a hedge, if the budget allows.

        No hedge is started while requests are queued: the slot is more
        useful for a first run.
        """
        now_ms = self.clock.now_ms()
        queue = step.queue
        if queue.waiting:
            return None
        view = placement.choose(
            queue.candidates,
            None,
            self.board.failure_domain,
            now_ms,
            self.queues.draw,
            step.excluded | {first.name},
        )
        if view is None or not retry.spend(queue.hedge_budget, now_ms):
            return None
        events.log_event(events.Event.REQUEST_HEDGED, endpoint=first.name)
        self.fleet.begin_request(view)
        return view

    def _make_runner(
        self,
        step: StepRun,
        view: placement.EndpointView,
        waiter: queues_module.Waiter | None,
    ) -> hedging.Runner:
        """Return a function that runs on a taken slot and then frees it."""
        request = step.request
        run = endpoints_module.Run(
            run_id=f"{request.request_key}.{step.index}.{step.runs}",
            version=step.version,
            messages=request.messages,
            max_tokens=request.max_tokens,
        )
        step.runs += 1
        began_ms = self.clock.now_ms()

        async def runner(on_text: OnText) -> endpoints_module.RunEnd:
            watch = Watch(self.clock, step.queue, on_text, began_ms)
            try:
                endpoint = self.board.endpoints[view.name]
                end = await self.endpoints.run_engine(
                    endpoint, run, watch.write
                )
                self._record_answer(step.queue, waiter, view, watch, end)
                return end
            except trio.Cancelled:
                now_ms = self.clock.now_ms()
                if now_ms >= step.deadline.ends_ms:
                    self._record_service_time(
                        step.queue, waiter, now_ms - began_ms
                    )
                raise
            except errors.EndpointError as fault:
                await self._handle_run_failure(step, view, fault)
                raise
            finally:
                self.queues.release(view, waiter)

        return runner

    def _record_answer(
        self,
        queue: queues_module.DispatchQueue,
        waiter: queues_module.Waiter | None,
        view: placement.EndpointView,
        watch: "Watch",
        end: endpoints_module.RunEnd,
    ) -> None:
        """Record the endpoint's latency from a complete answer.

        A caller that reads slowly delays the engine; counting that time
        could eject an endpoint that is healthy.
        """
        now_ms = self.clock.now_ms()
        took_ms = now_ms - watch.began_ms
        self._record_service_time(queue, waiter, took_ms)
        if watch.caller_blocked_ms > MAX_CALLER_BLOCKED_SHARE * took_ms:
            return
        unit_ms = took_ms / (end.output_tokens + BASE_COST_TOKENS)
        self.fleet.record_success(view, unit_ms)
        self.fleet.eject_if_outlier(view, queue.candidates, now_ms)

    def _record_service_time(
        self,
        queue: queues_module.DispatchQueue,
        waiter: queues_module.Waiter | None,
        took_ms: float,
    ) -> None:
        if waiter is not None:
            customer = waiter.item.customer
            admission.record_service_time(
                queue.service_times, customer, took_ms
            )

    async def _handle_run_failure(
        self,
        step: StepRun,
        view: placement.EndpointView,
        fault: errors.EndpointError,
    ) -> None:
        """Record a failed run, and find out whether the endpoint crashed.

        A run that breaks off on an endpoint that then refuses connections
        has crashed it, or was in flight when another request did. Silence
        does not count as a crash: a network partition looks the same.
        """
        self._record_endpoint_fault(step.queue, view, fault)
        if not fault.sent or fault.silent or fault.status is not None:
            return
        self.suspects.suspend_runs(step.fingerprint)
        try:
            if await self._has_crashed(view):
                events.log_event(
                    events.Event.ENDPOINT_CRASHED, endpoint=view.name
                )
                self.fleet.record_unreachable(view, self.clock.now_ms())
                self.suspects.record_crash(
                    step.fingerprint, view.name, step.request.request_key
                )
        finally:
            self.suspects.resume_runs(step.fingerprint)

    async def _has_crashed(self, view: placement.EndpointView) -> bool:
        endpoint = self.board.endpoints.get(view.name)
        if endpoint is None:
            return False
        try:
            await self.endpoints.fetch_report(endpoint)
        except errors.EndpointError as fault:
            return not fault.silent and fault.status is None
        return False

    def _record_endpoint_fault(
        self,
        queue: queues_module.DispatchQueue,
        view: placement.EndpointView,
        fault: errors.EndpointError,
    ) -> None:
        if isinstance(fault.__cause__, (http.TooLate, http.NoRoom)):
            # The call was stopped on this side, before its first byte or
            # within the answer; the endpoint is not at fault.
            return
        events.log_event(
            events.Event.ENDPOINT_FAILED,
            endpoint=view.name,
            detail=str(fault),
        )
        now_ms = self.clock.now_ms()
        if not fault.sent and fault.status is None:
            self.fleet.record_unreachable(view, now_ms)
        overload = fault.silent or fault.status == 503
        self.fleet.record_failure(view, queue.candidates, now_ms, overload)

    async def call(
        self,
        queue: queues_module.DispatchQueue,
        waiter: queues_module.Waiter,
        call: requests.ServiceCall,
        operation: declaration.Operation,
    ) -> outcomes.Answered:
        """Call a plain service on the waiter's slot, then free the slot."""
        view = waiter.view
        assert view is not None
        began_ms = self.clock.now_ms()
        try:
            body = await self.endpoints.call_service(
                self.board.endpoints[view.name],
                operation.name,
                call.body,
                operation.repeatable,
                call.may_send,
                call.hold,
            )
        except errors.EndpointError as fault:
            self._record_endpoint_fault(queue, view, fault)
            raise
        finally:
            self.queues.release(view)
        took_ms = self.clock.now_ms() - began_ms
        self.fleet.record_success(view, took_ms)
        self.fleet.eject_if_outlier(view, queue.candidates, began_ms)
        self._record_service_time(queue, waiter, took_ms)
        retry.record_success(queue.retry_budget)
        return outcomes.Answered(
            text=body, version=call.service, endpoint=view.name
        )
