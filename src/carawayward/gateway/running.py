"""Runs a request on the endpoint chosen for it, and learns from it."""

import typing

import attrs
import trio

from carawayward import blackboard as blackboard_module
from carawayward import clock as clock_module
from carawayward.controllers import suspects as suspects_module
from carawayward.decisions import admission
from carawayward.decisions import placement
from carawayward.decisions import retry
from carawayward import declaration
from carawayward import errors
from carawayward import events
from carawayward.gateway import endpoints as endpoints_module
from carawayward.gateway import fleet as fleet_module
from carawayward.gateway import hedging
from carawayward.gateway import lanes as lanes_module
from carawayward.gateway import requests
from carawayward import http_client as http
from carawayward import outcomes

# What an answer costs before its first token, in tokens: without it a very
# short answer would make its endpoint look many times slower than others.
UNIT_BASE = 16
# An answer whose caller held it up for more of its time teaches nothing.
MOST_HELD_UP = 0.1

OnText = typing.Callable[[str], typing.Awaitable[None]]


@attrs.frozen
class StepDone:
    """One finished step of a plan."""

    text: str
    endpoint: str
    end: endpoints_module.RunEnd


@attrs.define(eq=False, kw_only=True)
class Step:
    """One step on its way; ``ran`` once a byte of the request has left.

    A ``buffered`` step passes its text on only when it is whole, so that a
    run that breaks off may start anew: nothing has reached the caller.
    """

    customer: declaration.Customer
    request: requests.Completion
    version: str
    index: int
    deadline_ms: float
    on_text: OnText
    buffered: bool
    fingerprint: str
    lane: lanes_module.Lane
    ran: bool = False
    excluded: frozenset[str] = frozenset()
    parts: list[str] = attrs.field(factory=list)
    runs: int = 0

    async def collect(self, text: str) -> None:
        """Pass a piece of the answer on and keep it."""
        self.parts.append(text)
        if not self.buffered:
            await self.on_text(text)

    def refuse(
        self,
        reason: outcomes.Reason,
        remedy: str,
        retry_after_ms: float | None = None,
    ) -> outcomes.Outcome:
        """Refuse truthfully: "not run" only if nothing has left."""
        if self.ran:
            return outcomes.Unknown(reason, remedy)
        after = None if retry_after_ms is None else int(retry_after_ms)
        return outcomes.NotRun(reason, remedy, after)


def find_prefix(step: Step) -> str:
    """What the engine's prefix cache can be expected to know again.

    The opening messages stay the same through a conversation; the later
    ones change with each turn and would send every turn elsewhere.
    """
    messages = step.request.messages
    count = 2 if messages[0]["role"] == "system" else 1
    opening = "\n".join(m["content"] for m in messages[:count])
    return f"{step.customer.name}\n{step.version}\n{opening}"


@attrs.define(eq=False)
class Watch:
    """Measures one run's text on its way to the caller."""

    clock: clock_module.Clock
    lane: lanes_module.Lane
    on_text: OnText
    began_ms: float
    held_up_ms: float = 0.0
    pieces: int = 0

    async def write(self, text: str) -> None:
        """Pass a piece on; learn when the first comes."""
        now_ms = self.clock.now_ms()
        self.pieces += 1
        if self.pieces == 1:
            first_ms = now_ms - self.began_ms
            retry.record_ttft(self.lane.first_text, first_ms)
        await self.on_text(text)
        self.held_up_ms += self.clock.now_ms() - now_ms


@attrs.define(eq=False)
class Runs:
    """Carries out single runs and calls."""

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    endpoints: endpoints_module.EndpointClient
    suspects: suspects_module.SuspectsController
    fleet: fleet_module.Fleet
    lanes: lanes_module.Lanes

    async def run(self, step: Step, waiter: lanes_module.Waiter) -> StepDone:
        """Run on the endpoint that was chosen, hedged if that may help."""
        assert waiter.view is not None
        views = [waiter.view]
        lane = step.lane

        def make_second() -> hedging.Runner | None:
            view = self._choose_second(step, views[0])
            if view is None:
                return None
            views.append(view)
            return self._make_runner(step, view, None)

        race = hedging.Race(step.collect)
        delay_ms = None
        if not waiter.suspect:
            delay_ms = retry.compute_hedge_delay(lane.first_text)
        runner = self._make_runner(step, views[0], waiter)
        index, end = await race.run(runner, delay_ms, make_second)
        if index and not race.faults:
            # The silent first run was cancelled: without this its endpoint
            # would look idle and go on drawing requests.
            self.fleet.record_failure(
                views[0], lane.candidates, self.clock.now_ms(), False
            )
        self.suspects.record_answer(step.fingerprint)
        retry.record_success(lane.retries)
        retry.record_success(lane.hedges)
        text = "".join(step.parts)
        if step.buffered:
            await step.on_text(text)
        return StepDone(text, views[index].name, end)

    def _choose_second(
        self, step: Step, first: placement.EndpointView
    ) -> placement.EndpointView | None:
        """Take a free slot elsewhere for a hedge, if the budget allows.

        Never while others wait: a slot does more for a first run.
        """
        now_ms = self.clock.now_ms()
        lane = step.lane
        if lane.waiting:
            return None
        view = placement.choose(
            lane.candidates,
            None,
            self.board.failure_domain,
            now_ms,
            self.lanes.draw,
            step.excluded | {first.name},
        )
        if view is None or not retry.spend(lane.hedges, now_ms):
            return None
        events.log_event(events.Event.REQUEST_HEDGED, endpoint=first.name)
        self.fleet.occupy(view)
        return view

    def _make_runner(
        self,
        step: Step,
        view: placement.EndpointView,
        waiter: lanes_module.Waiter | None,
    ) -> hedging.Runner:
        """A run on a slot that is already taken; it frees the slot."""
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
            watch = Watch(self.clock, step.lane, on_text, began_ms)
            try:
                endpoint = self.board.endpoints[view.name]
                end = await self.endpoints.run_engine(
                    endpoint, run, watch.write
                )
                self._record_answer(step.lane, waiter, view, watch, end)
                return end
            except trio.Cancelled:
                now_ms = self.clock.now_ms()
                if now_ms >= step.deadline_ms:
                    self._record_work(step.lane, waiter, now_ms - began_ms)
                raise
            except errors.EndpointError as fault:
                await self._record_failure(step, view, fault)
                raise
            finally:
                self.lanes.release(view, waiter)

        return runner

    def _record_answer(
        self,
        lane: lanes_module.Lane,
        waiter: lanes_module.Waiter | None,
        view: placement.EndpointView,
        watch: "Watch",
        end: endpoints_module.RunEnd,
    ) -> None:
        """Learn from a whole answer how fast its endpoint is.

        A caller that reads slowly holds up the engine; that says nothing
        about the endpoint, which would be left out for it.
        """
        now_ms = self.clock.now_ms()
        took_ms = now_ms - watch.began_ms
        self._record_work(lane, waiter, took_ms)
        if watch.held_up_ms > MOST_HELD_UP * took_ms:
            return
        unit_ms = took_ms / (end.output_tokens + UNIT_BASE)
        self.fleet.record_success(view, unit_ms)
        self.fleet.judge(view, lane.candidates, now_ms)

    def _record_work(
        self,
        lane: lanes_module.Lane,
        waiter: lanes_module.Waiter | None,
        took_ms: float,
    ) -> None:
        if waiter is not None:
            customer = waiter.item.customer
            admission.record_service_time(lane.times, customer, took_ms)

    async def _record_failure(
        self,
        step: Step,
        view: placement.EndpointView,
        fault: errors.EndpointError,
    ) -> None:
        """Learn from a failed run, and look whether it was a crash.

        A run that breaks off on an endpoint that then refuses connections
        has crashed it, or was in flight when another did. Silence is no
        crash: cut-off networks look the same.
        """
        self._record_fault(step.lane, view, fault)
        if not fault.sent or fault.silent or fault.status is not None:
            return
        self.suspects.begin_judging(step.fingerprint)
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
            self.suspects.end_judging(step.fingerprint)

    async def _has_crashed(self, view: placement.EndpointView) -> bool:
        endpoint = self.board.endpoints.get(view.name)
        if endpoint is None:
            return False
        try:
            await self.endpoints.fetch_report(endpoint)
        except errors.EndpointError as fault:
            return not fault.silent and fault.status is None
        return False

    def _record_fault(
        self,
        lane: lanes_module.Lane,
        view: placement.EndpointView,
        fault: errors.EndpointError,
    ) -> None:
        if isinstance(fault.__cause__, http.TooLate):
            # The call itself was stopped; the endpoint is not to blame.
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
        self.fleet.record_failure(view, lane.candidates, now_ms, overload)

    async def call(
        self,
        lane: lanes_module.Lane,
        waiter: lanes_module.Waiter,
        call: requests.ServiceCall,
        operation: declaration.Operation,
    ) -> outcomes.Answered:
        """Call a plain service on a slot that is taken, and free it."""
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
            )
        except errors.EndpointError as fault:
            self._record_fault(lane, view, fault)
            raise
        finally:
            self.lanes.release(view)
        took_ms = self.clock.now_ms() - began_ms
        self.fleet.record_success(view, took_ms)
        self.fleet.judge(view, lane.candidates, began_ms)
        self._record_work(lane, waiter, took_ms)
        retry.record_success(lane.retries)
        return outcomes.Answered(
            text=body, version=call.service, endpoint=view.name
        )
