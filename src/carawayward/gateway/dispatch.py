"""Dispatches requests to endpoints.

A request is queued, placed on an endpoint and run there. If the endpoint
fails, the request is retried on another one or refused.
"""

import math

import attrs
import trio

from carawayward import blackboard as blackboard_module
from carawayward import clock as clock_module
from carawayward.controllers import suspects as suspects_module
from carawayward import deadlines
from carawayward.decisions import admission
from carawayward.decisions import placement
from carawayward.decisions import queueing
from carawayward.decisions import retry
from carawayward.decisions import suspicion
from carawayward import declaration
from carawayward import errors
from carawayward.gateway import endpoints as endpoints_module
from carawayward.gateway import fleet as fleet_module
from carawayward.gateway import queues as queues_module
from carawayward.gateway import requests
from carawayward.gateway import running
from carawayward import http_client as http
from carawayward import outcomes
from carawayward import settings as settings_module

RETRY_AFTER_MS = 1_000
MAX_ATTEMPTS = 3
SUSPECT_RETRY_DELAY_MS = 300.0
# A request that stays queued is refused this long before its latest start,
# so that the refusal ("not run") precedes the deadline, at which
# ``lifecycle`` ends the request with an unknown outcome.
REFUSAL_MARGIN_MS = 10.0
# The earlier steps of a cascade have already been paid for, so a later step
# is dispatched before the same customer's new requests.
LATER_STEP_PRIORITY = 1
# What a caller can do if no endpoint was free in time.
REMEDIES = {
    outcomes.Reason.DEADLINE: (
        "no endpoint was free in time; send it again with a later deadline"
    ),
    outcomes.Reason.LEAVING: (
        "this entry VM is stopping, and no endpoint was free in time; call "
        "another"
    ),
}


@attrs.define(eq=False)
class Dispatcher:
    """Places single engine runs and service calls on endpoints.

    Plans of several steps and billing are handled by ``lifecycle``.
    """

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    limits: settings_module.Limits
    endpoints: endpoints_module.EndpointClient
    suspects: suspects_module.SuspectsController
    fleet: fleet_module.Fleet
    queues: queues_module.DispatchQueues
    runs: running.RunExecutor

    @classmethod
    def from_config(
        cls,
        settings: settings_module.Settings,
        board: blackboard_module.Blackboard,
        clock: clock_module.Clock,
        endpoints: endpoints_module.EndpointClient,
        suspects: suspects_module.SuspectsController,
    ) -> "Dispatcher":
        """Create the dispatcher with its fleet, queues and executor."""
        fleet = fleet_module.Fleet(board)
        queues = queues_module.DispatchQueues(
            clock, fleet, settings.failure_domain, suspects
        )
        runs = running.RunExecutor(
            board, clock, endpoints, suspects, fleet, queues
        )
        return cls(
            board,
            clock,
            settings.limits,
            endpoints,
            suspects,
            fleet,
            queues,
            runs,
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the periodic sweep of the queues."""
        await self.queues.start(nursery)

    async def close(self) -> None:
        """Close the queues."""
        await self.queues.close()

    async def run_step(
        self,
        customer: declaration.Customer,
        request: requests.Completion,
        version: str,
        index: int,
        deadline: deadlines.Deadline,
        on_text: running.OnText,
        buffered: bool,
    ) -> running.StepResult | outcomes.Outcome:
        """Run one step of a plan.

        A ``buffered`` step passes its text to ``on_text`` in one piece, once
        the answer is complete.
        """
        step = running.StepRun(
            customer=customer,
            request=request,
            version=version,
            index=index,
            deadline=deadline,
            on_text=on_text,
            buffered=buffered,
            fingerprint=suspicion.make_fingerprint(
                customer.name, request.messages
            ),
            queue=self.queues.find(
                version, lambda endpoint: version in endpoint.versions
            ),
            may_have_started=index > 0,
        )
        for attempt in range(MAX_ATTEMPTS):
            waiter = await self._acquire(step, attempt)
            if not isinstance(waiter, queues_module.Waiter):
                return waiter
            assert waiter.view is not None
            if not self._still_serves(step, waiter.view):
                step.excluded |= {waiter.view.name}
                self.queues.release(waiter.view, waiter)
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
        step: running.StepRun,
        waiter: queues_module.Waiter,
        fault: errors.EndpointError,
    ) -> outcomes.Outcome | None:
        """Return the outcome of a failed attempt, or None to retry."""
        step.may_have_started |= fault.sent
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
        if reached and not retry.spend(step.queue.retry_budget, now_ms):
            return self._refuse_failed(step)
        if waiter.suspect and not fault.sent:
            # Another entry VM may just have crashed this endpoint with the
            # same request. Wait until its report of the crash has arrived,
            # so that a convicted request is not tried on one more endpoint.
            await self.clock.sleep(SUSPECT_RETRY_DELAY_MS)
        return None

    def _refuse_failed(self, step: running.StepRun) -> outcomes.Outcome:
        return step.refuse(
            outcomes.Reason.ENDPOINT_FAILED,
            "the endpoints that were tried failed; send it again",
            RETRY_AFTER_MS,
        )

    async def _acquire(
        self, step: running.StepRun, attempt: int
    ) -> queues_module.Waiter | outcomes.Outcome:
        """Wait for a slot, then check again that the step may still run.

        Returns the waiter that holds the slot, or the outcome of a refusal.
        """
        refusal = self._recheck(step)
        if refusal is not None:
            return refusal
        waiter = self._make_waiter(step)
        queue = step.queue
        self.queues.refresh_candidates(queue)
        if not queue.candidates.views:
            if attempt:
                return self._refuse_failed(step)
            return step.refuse(
                outcomes.Reason.NO_ENDPOINT,
                f"no endpoint runs {step.version} just now; come back",
                RETRY_AFTER_MS,
            )
        if step.excluded.issuperset(v.name for v in queue.candidates.views):
            # Every candidate has failed; waiting would only delay the
            # refusal.
            return self._refuse_failed(step)
        if attempt == 0 and step.index == 0:
            queue_limit = self._compute_queue_limit(step.customer)
            rejection = self.queues.admit(queue, waiter, queue_limit)
            if rejection is not None:
                return self._refuse_admission(step, rejection)
        if not await self.queues.wait(queue, waiter, is_retry=attempt > 0):
            return self._recheck(step) or step.refuse(
                step.deadline.reason,
                REMEDIES[step.deadline.reason],
                admission.estimate_service_ms(
                    queue.service_times, step.customer.name
                ),
            )
        refusal = self._recheck(step)
        if refusal is not None:
            assert waiter.view is not None
            self.queues.release(waiter.view, waiter)
            return refusal
        return waiter

    def _make_waiter(self, step: running.StepRun) -> queues_module.Waiter:
        service_times, customer = step.queue.service_times, step.customer.name
        work = admission.estimate_service_ms(service_times, customer)
        now_ms = self.clock.now_ms()

        def find_latest_start() -> float:
            latest_ms = admission.find_latest_start(
                service_times,
                customer,
                now_ms,
                step.deadline.own_ms,
                step.deadline.stop_ms,
            )
            return latest_ms - REFUSAL_MARGIN_MS

        item = queueing.WaitingRequest(
            customer=step.customer.name,
            weight=step.customer.weight,
            work=work,
            latest_start_ms=find_latest_start(),
            priority=LATER_STEP_PRIORITY if step.index else 0,
        )
        return queues_module.Waiter(
            item=item,
            key=placement.hash_key(running.find_cacheable_prefix(step)),
            fingerprint=step.fingerprint,
            excluded=step.excluded,
            deadline=step.deadline,
            find_latest_start=find_latest_start,
        )

    def _compute_queue_limit(self, customer: declaration.Customer) -> int:
        config = self.board.config
        customers = config.customers.values() if config else ()
        return admission.compute_queue_limit(
            self.limits.max_waiting,
            customer.weight,
            sum(other.weight for other in customers),
        )

    def _refuse_admission(
        self, step: running.StepRun, rejection: admission.Refusal
    ) -> outcomes.Outcome:
        if rejection.cause is admission.Cause.HOPELESS:
            if step.deadline.reason is outcomes.Reason.LEAVING:
                return step.refuse(
                    outcomes.Reason.LEAVING,
                    REMEDIES[outcomes.Reason.LEAVING],
                )
            return step.refuse(
                outcomes.Reason.DEADLINE,
                "the deadline is shorter than such an answer takes; give a "
                "later one",
            )
        return step.refuse(
            outcomes.Reason.OVERLOADED,
            "your requests exceed your share of what can be served; come "
            "back when told",
            rejection.retry_after_ms,
        )

    def _recheck(self, step: running.StepRun) -> outcomes.Outcome | None:
        """Refuse a step that is no longer allowed to run.

        Called right before dispatch: a version may have been withdrawn or
        the request convicted while it was queued.
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
            step.may_have_started |= self.suspects.may_have_run(
                step.fingerprint, key
            )
            return step.refuse(
                outcomes.Reason.CONVICTED,
                "this request crashed two endpoints; change it, or ask "
                "your operators to look at the engine",
                suspicion.RECORD_TTL_MS,
            )
        return None

    def _still_serves(
        self, step: running.StepRun, view: placement.EndpointView
    ) -> bool:
        """Whether the endpoint is staying and still serves the version."""
        endpoint = self.board.endpoints.get(view.name)
        if endpoint is None or endpoint.leaving:
            return False
        return step.version in endpoint.versions

    async def call_service(
        self,
        customer: declaration.Customer,
        call: requests.ServiceCall,
        operation: declaration.Operation,
        pool: str,
        deadline: deadlines.Deadline,
    ) -> outcomes.Outcome:
        """Call a plain service under the same limits as an engine.

        A call that is not repeatable is retried on another endpoint only if
        no byte of it can have been sent, and it is never hedged.
        """
        queue = self.queues.find(
            f"pool:{pool}", lambda endpoint: endpoint.pool == pool
        )
        excluded: frozenset[str] = frozenset()
        may_have_started = False
        for attempt in range(MAX_ATTEMPTS):
            waiter = await self._acquire_call(
                customer, call, queue, excluded, attempt, deadline
            )
            if isinstance(waiter, outcomes.NotRun):
                if may_have_started:
                    break
                return waiter
            try:
                with deadline.limit(self.clock):
                    return await self.runs.call(queue, waiter, call, operation)
                return outcomes.Unknown(
                    deadline.reason,
                    "this entry VM is stopping while it ran; look before you "
                    "send it again",
                )
            except errors.EndpointError as fault:
                may_have_started |= fault.sent
                excluded |= {fault.endpoint}
                if not self._may_call_again(queue, operation, fault):
                    break
        if may_have_started:
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
        queue: queues_module.DispatchQueue,
        operation: declaration.Operation,
        fault: errors.EndpointError,
    ) -> bool:
        if not retry.may_retry(fault.sent, operation.repeatable, False):
            return False
        if isinstance(fault.__cause__, http.NoRoom):
            # Another answer would be as long.
            return False
        if not fault.sent and fault.status is None:
            return True
        return retry.spend(queue.retry_budget, self.clock.now_ms())

    async def _acquire_call(
        self,
        customer: declaration.Customer,
        call: requests.ServiceCall,
        queue: queues_module.DispatchQueue,
        excluded: frozenset[str],
        attempt: int,
        deadline: deadlines.Deadline,
    ) -> queues_module.Waiter | outcomes.NotRun:
        """Wait for a slot for a service call, or return the refusal."""
        self.queues.refresh_candidates(queue)
        no_endpoint = outcomes.NotRun(
            outcomes.Reason.NO_ENDPOINT,
            f"no endpoint of {call.service} just now; come back",
            RETRY_AFTER_MS,
        )
        if not any(v.name not in excluded for v in queue.candidates.views):
            return no_endpoint
        wait_limit_ms = self.limits.service_timeout_ms
        if call.deadline_ms is not None:
            wait_limit_ms = min(wait_limit_ms, call.deadline_ms)
        item = queueing.WaitingRequest(
            customer=customer.name,
            weight=customer.weight,
            work=admission.estimate_service_ms(
                queue.service_times, customer.name
            ),
            latest_start_ms=self.clock.now_ms() + wait_limit_ms,
        )

        def find_latest_start() -> float:
            latest_ms = admission.find_latest_start(
                queue.service_times,
                customer.name,
                self.clock.now_ms(),
                math.inf,
                deadline.stop_ms,
            )
            return min(item.latest_start_ms, latest_ms)

        waiter = queues_module.Waiter(
            item=item,
            key=None,
            excluded=excluded,
            deadline=deadline,
            find_latest_start=find_latest_start,
        )
        if attempt == 0:
            queue_limit = self._compute_queue_limit(customer)
            rejection = self.queues.admit(queue, waiter, queue_limit)
            if rejection is not None:
                return outcomes.NotRun(
                    outcomes.Reason.OVERLOADED,
                    "your calls exceed your share; come back when told",
                    int(rejection.retry_after_ms or RETRY_AFTER_MS),
                )
        if not await self.queues.wait(queue, waiter, is_retry=attempt > 0):
            return outcomes.NotRun(
                deadline.reason,
                "no endpoint was free in time; send it again",
                RETRY_AFTER_MS,
            )
        assert waiter.view is not None
        endpoint = self.board.endpoints.get(waiter.view.name)
        if endpoint is None or endpoint.leaving:
            self.queues.release(waiter.view)
            return no_endpoint
        return waiter
