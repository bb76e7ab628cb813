"""Sends work to endpoints: queue, choose, run, try another, or refuse."""

import attrs
import trio

from carawayward import blackboard as blackboard_module
from carawayward import clock as clock_module
from carawayward.controllers import suspects as suspects_module
from carawayward.decisions import admission
from carawayward.decisions import placement
from carawayward.decisions import queueing
from carawayward.decisions import retry
from carawayward.decisions import suspicion
from carawayward import declaration
from carawayward import errors
from carawayward.gateway import endpoints as endpoints_module
from carawayward.gateway import fleet as fleet_module
from carawayward.gateway import lanes as lanes_module
from carawayward.gateway import requests
from carawayward.gateway import running
from carawayward import outcomes
from carawayward import settings as settings_module

RETRY_AFTER_MS = 1_000
MAX_ATTEMPTS = 3
TRIAL_PAUSE_MS = 300.0
# A refusal must leave before the border gives up on the request itself.
REFUSAL_MARGIN_MS = 10.0
# A later step of a cascade has already cost a run: it goes before its
# customer's new requests.
STEP_PRIORITY = 1


@attrs.define(eq=False)
class Dispatcher:
    """Places single runs and calls; knows nothing of plans or bills."""

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    limits: settings_module.Limits
    endpoints: endpoints_module.EndpointClient
    suspects: suspects_module.SuspectsController
    fleet: fleet_module.Fleet
    lanes: lanes_module.Lanes
    runs: running.Runs

    @classmethod
    def from_config(
        cls,
        settings: settings_module.Settings,
        board: blackboard_module.Blackboard,
        clock: clock_module.Clock,
        endpoints: endpoints_module.EndpointClient,
        suspects: suspects_module.SuspectsController,
    ) -> "Dispatcher":
        """Put the parts together."""
        fleet = fleet_module.Fleet(board)
        lanes = lanes_module.Lanes(
            clock, fleet, settings.failure_domain, suspects
        )
        runs = running.Runs(board, clock, endpoints, suspects, fleet, lanes)
        return cls(
            board,
            clock,
            settings.limits,
            endpoints,
            suspects,
            fleet,
            lanes,
            runs,
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to look at the queues now and then."""
        await self.lanes.start(nursery)

    async def close(self) -> None:
        """Nothing to release."""
        await self.lanes.close()

    async def run_step(
        self,
        customer: declaration.Customer,
        request: requests.Completion,
        version: str,
        index: int,
        deadline_ms: float,
        on_text: running.OnText,
        buffered: bool,
    ) -> running.StepDone | outcomes.Outcome:
        """Run one step of a plan.

        ``deadline_ms`` is on the own clock; a ``buffered`` step hands its
        text to ``on_text`` in one piece, once it is whole.
        """
        step = running.Step(
            customer=customer,
            request=request,
            version=version,
            index=index,
            deadline_ms=deadline_ms,
            on_text=on_text,
            buffered=buffered,
            fingerprint=suspicion.make_fingerprint(
                customer.name, request.messages
            ),
            lane=self.lanes.find(
                version, lambda endpoint: version in endpoint.versions
            ),
            ran=index > 0,
        )
        for attempt in range(MAX_ATTEMPTS):
            waiter = await self._acquire(step, attempt)
            if not isinstance(waiter, lanes_module.Waiter):
                return waiter
            assert waiter.view is not None
            if not self._still_serves(step, waiter.view):
                step.excluded |= {waiter.view.name}
                self.lanes.release(waiter.view, waiter)
                continue
            try:
                return await self.runs.run(step, waiter)
            except errors.EndpointError as fault:
                outcome = await self._end_or_retry(step, waiter, fault)
                if outcome is not None:
                    return outcome
        return self._refuse_failed(step)

    async def _end_or_retry(
        self,
        step: running.Step,
        waiter: lanes_module.Waiter,
        fault: errors.EndpointError,
    ) -> outcomes.Outcome | None:
        """Judge a failed attempt; None means try another endpoint."""
        step.ran |= fault.sent
        step.excluded |= {fault.endpoint}
        if step.buffered:
            step.parts.clear()
        if step.parts:
            return outcomes.Interrupted(
                outcomes.Reason.ENDPOINT_FAILED,
                "".join(step.parts),
                "the answer broke off; send the request again",
            )
        reached = fault.sent or fault.status is not None
        now_ms = self.clock.now_ms()
        if reached and not retry.spend(step.lane.retries, now_ms):
            return self._refuse_failed(step)
        if waiter.suspect and not fault.sent:
            # Another entry VM's trial may just have crashed the endpoint;
            # its conviction must arrive before this one tries the next.
            await self.clock.sleep(TRIAL_PAUSE_MS)
        return None

    def _refuse_failed(self, step: running.Step) -> outcomes.Outcome:
        return step.refuse(
            outcomes.Reason.ENDPOINT_FAILED,
            "the endpoints that were tried failed; send it again",
            RETRY_AFTER_MS,
        )

    async def _acquire(
        self, step: running.Step, attempt: int
    ) -> lanes_module.Waiter | outcomes.Outcome:
        """Wait for an endpoint and check once more before it is used."""
        refusal = self._recheck(step)
        if refusal is not None:
            return refusal
        waiter = self._make_waiter(step)
        lane = step.lane
        self.lanes.refresh(lane)
        if not lane.candidates.views:
            if attempt:
                return self._refuse_failed(step)
            return step.refuse(
                outcomes.Reason.NO_ENDPOINT,
                f"no endpoint runs {step.version} just now; come back",
                RETRY_AFTER_MS,
            )
        if step.excluded.issuperset(v.name for v in lane.candidates.views):
            # All have been tried; waiting would only hold the caller.
            return self._refuse_failed(step)
        if attempt == 0 and step.index == 0:
            places = self._share_places(step.customer)
            early = self.lanes.admit(lane, waiter, places)
            if early is not None:
                return self._refuse_early(step, early)
        if not await self.lanes.wait(lane, waiter, aside=attempt > 0):
            return self._recheck(step) or step.refuse(
                outcomes.Reason.DEADLINE,
                "no endpoint was free in time; send it again with a later "
                "deadline",
                admission.estimate_service_ms(lane.times, step.customer.name),
            )
        refusal = self._recheck(step)
        if refusal is not None:
            assert waiter.view is not None
            self.lanes.release(waiter.view, waiter)
            return refusal
        return waiter

    def _make_waiter(self, step: running.Step) -> lanes_module.Waiter:
        times, customer = step.lane.times, step.customer.name
        work = admission.estimate_service_ms(times, customer)
        latest_ms = admission.find_latest_start(
            times, customer, self.clock.now_ms(), step.deadline_ms
        )
        item = queueing.WaitingRequest(
            customer=step.customer.name,
            weight=step.customer.weight,
            work=work,
            latest_start_ms=latest_ms - REFUSAL_MARGIN_MS,
            priority=STEP_PRIORITY if step.index else 0,
        )
        return lanes_module.Waiter(
            item=item,
            key=placement.hash_key(running.find_prefix(step)),
            fingerprint=step.fingerprint,
            excluded=step.excluded,
        )

    def _share_places(self, customer: declaration.Customer) -> int:
        config = self.board.config
        known = config.customers.values() if config else ()
        return admission.compute_queue_limit(
            self.limits.max_waiting,
            customer.weight,
            sum(other.weight for other in known),
        )

    def _refuse_early(
        self, step: running.Step, early: admission.Refusal
    ) -> outcomes.Outcome:
        if early.cause is admission.Cause.HOPELESS:
            return step.refuse(
                outcomes.Reason.DEADLINE,
                "the deadline is shorter than such an answer takes; give a "
                "later one",
            )
        return step.refuse(
            outcomes.Reason.OVERLOADED,
            "your requests exceed your share of what can be served; come "
            "back when told",
            early.retry_after_ms,
        )

    def _recheck(self, step: running.Step) -> outcomes.Outcome | None:
        """Check at the dispatch instant what may have changed while queued.

        A withdrawal or a conviction that arrives while a request waits
        must hold for it.
        """
        config = self.board.config
        declared = config.versions.get(step.version) if config else None
        withdrawn = declaration.VersionState.WITHDRAWN
        halted = step.version in self.board.quality.halted
        if declared is None or declared.state is withdrawn or halted:
            return step.refuse(
                outcomes.Reason.VERSION_WITHDRAWN,
                f"{step.version} was withdrawn; send the request again, in "
                "a new session if it had one",
                0,
            )
        if self.suspects.is_convicted(step.fingerprint):
            key = step.request.request_key
            step.ran |= self.suspects.may_have_run(step.fingerprint, key)
            return step.refuse(
                outcomes.Reason.CONVICTED,
                "this request crashed two endpoints; change it, or ask "
                "your operators to look at the engine",
                suspicion.RECORD_TTL_MS,
            )
        return None

    def _still_serves(
        self, step: running.Step, view: placement.EndpointView
    ) -> bool:
        """Whether the endpoint has not left or dropped the version."""
        known = self.board.endpoints.get(view.name)
        if known is None or known.leaving:
            return False
        return step.version in known.versions

    async def call_service(
        self,
        customer: declaration.Customer,
        call: requests.ServiceCall,
        operation: declaration.Operation,
        pool: str,
    ) -> outcomes.Outcome:
        """Call a plain service under the same limits as an engine.

        A call that may not be repeated is tried elsewhere only as long as
        no byte of it can have left, and is never sent twice at once.
        """
        lane = self.lanes.find(
            f"pool:{pool}", lambda endpoint: endpoint.pool == pool
        )
        excluded: frozenset[str] = frozenset()
        ran = False
        for attempt in range(MAX_ATTEMPTS):
            waiter = await self._acquire_call(
                customer, call, lane, excluded, attempt
            )
            if isinstance(waiter, outcomes.NotRun):
                if ran:
                    break
                return waiter
            try:
                return await self.runs.call(lane, waiter, call, operation)
            except errors.EndpointError as fault:
                ran |= fault.sent
                excluded |= {fault.endpoint}
                if not self._may_call_again(lane, operation, fault):
                    break
        if ran:
            return outcomes.Unknown(
                outcomes.Reason.ENDPOINT_SILENT,
                "it may have run; look before you send it again",
            )
        return outcomes.NotRun(
            outcomes.Reason.ENDPOINT_FAILED,
            "the endpoint could not be reached; send it again",
            RETRY_AFTER_MS,
        )

    def _may_call_again(
        self,
        lane: lanes_module.Lane,
        operation: declaration.Operation,
        fault: errors.EndpointError,
    ) -> bool:
        if not retry.may_retry(fault.sent, operation.repeatable, False):
            return False
        if not fault.sent and fault.status is None:
            return True
        return retry.spend(lane.retries, self.clock.now_ms())

    async def _acquire_call(
        self,
        customer: declaration.Customer,
        call: requests.ServiceCall,
        lane: lanes_module.Lane,
        excluded: frozenset[str],
        attempt: int,
    ) -> lanes_module.Waiter | outcomes.NotRun:
        self.lanes.refresh(lane)
        missing = outcomes.NotRun(
            outcomes.Reason.NO_ENDPOINT,
            f"no endpoint of {call.service} just now; come back",
            RETRY_AFTER_MS,
        )
        if not any(v.name not in excluded for v in lane.candidates.views):
            return missing
        patience_ms = self.limits.service_timeout_ms
        if call.deadline_ms is not None:
            patience_ms = min(patience_ms, call.deadline_ms)
        item = queueing.WaitingRequest(
            customer=customer.name,
            weight=customer.weight,
            work=admission.estimate_service_ms(lane.times, customer.name),
            latest_start_ms=self.clock.now_ms() + patience_ms,
        )
        waiter = lanes_module.Waiter(item=item, key=None, excluded=excluded)
        if attempt == 0:
            places = self._share_places(customer)
            early = self.lanes.admit(lane, waiter, places)
            if early is not None:
                return outcomes.NotRun(
                    outcomes.Reason.OVERLOADED,
                    "your calls exceed your share; come back when told",
                    int(early.retry_after_ms or RETRY_AFTER_MS),
                )
        if not await self.lanes.wait(lane, waiter, aside=attempt > 0):
            return outcomes.NotRun(
                outcomes.Reason.DEADLINE,
                "no endpoint was free in time; send it again",
                RETRY_AFTER_MS,
            )
        assert waiter.view is not None
        known = self.board.endpoints.get(waiter.view.name)
        if known is None or known.leaving:
            self.lanes.release(waiter.view)
            return missing
        return waiter
