"""Serves one forwarded request: attempts, retries and the final reply."""

import functools
import typing

import attrs

from carawayward import clock as clock_module
from carawayward import closes
from carawayward.decisions import retry_budget
from carawayward import events
from carawayward.forwarding import admission as admission_module
from carawayward.forwarding import attempt as attempt_module
from carawayward.forwarding import fleet as fleet_module
from carawayward.forwarding import message_types
from carawayward.forwarding import metrics as metrics_module
from carawayward.forwarding import placing
from carawayward.forwarding import readiness as readiness_module
from carawayward.forwarding import refusals
from carawayward.forwarding import relay_client
from carawayward.forwarding import relaying
from carawayward.forwarding import replies
from carawayward.forwarding import retries
from carawayward.forwarding import rollout_state
from carawayward.forwarding import rollouts as rollouts_module
from carawayward.forwarding import sending
from carawayward.forwarding import stop_deadline as stop_deadline_module
from carawayward.forwarding import suspects as suspects_module
from carawayward.forwarding import work_items

# A reply is sent this long before the caller's deadline, so that it arrives
# in time.
REPLY_MARGIN_MS = 20.0


@attrs.define(eq=False)
class Forwarder:
    """Serves forwarded requests.

    ``compute_retry_after_ms`` is the Retry-After of a request that the
    ``sender`` has withheld.
    """

    clock: clock_module.Clock
    dialect: message_types.Dialect
    placer: placing.Placer
    sender: sending.Sender
    compute_retry_after_ms: typing.Callable[[], float]
    metrics: metrics_module.Metrics
    suspects: suspects_module.SuspectRequests
    admission: admission_module.Admission

    @property
    def fleet(self) -> fleet_module.Fleet:
        """The known endpoints."""
        return self.placer.fleet

    @property
    def stop_deadline(self) -> stop_deadline_module.StopDeadline:
        """When all replies have to be sent."""
        return self.fleet.board.stop_deadline

    @property
    def rollouts(self) -> rollouts_module.Rollouts:
        """The current roll-outs."""
        return self.placer.rollouts

    async def serve(self, work: work_items.Work, reply: replies.Reply) -> None:
        """Serve one request; cancelled when the caller disconnects."""
        now_ms = self.clock.now_ms()
        refusal = self.admission.check(work)
        if refusal is not None and not self.suspects.is_convicted(work):
            await self._send_final_failure(
                work, reply, refusal.cause, refusal.retry_after_ms
            )
            return
        retry_budget.record_request(
            self.placer.find_budget(work.service), now_ms
        )
        self.placer.choose_model(work)
        deadline_ms = work.deadline_ms - REPLY_MARGIN_MS
        with self.stop_deadline.limit(now_ms, deadline_ms) as scope:
            reply.record_start = functools.partial(
                self.stop_deadline.record_begun, scope
            )
            await self._run_attempts(work, reply)
        if not scope.cancelled_caught:
            return
        if self.stop_deadline.is_earlier(deadline_ms):
            await self._send_leaving(work, reply)
        else:
            await self._send_final_failure(work, reply, "deadline")

    async def _run_attempts(
        self, work: work_items.Work, reply: replies.Reply
    ) -> None:
        while True:
            if self.suspects.is_convicted(work):
                await self._send_final_failure(
                    work,
                    reply,
                    "crashes endpoints",
                    self.suspects.compute_retry_after_ms(work),
                )
                return
            choice = self.rollouts.choose_version(work)
            if choice is not None:
                work.version_reason = choice.reason.value
            endpoint = self.placer.choose(work, choice)
            if endpoint is None:
                cause = refusals.explain_shortage(self.fleet, work.service)
                await self._send_final_failure(work, reply, cause)
                return
            # A stream that has begun cannot be refused any more.
            if not reply.started and not self.placer.may_begin(work):
                await self._send_leaving(work, reply)
                return
            if self._would_miss_deadline(work):
                await self._send_final_failure(
                    work,
                    reply,
                    "engines behind",
                    self._estimate_retry_after_ms(work),
                )
                return
            wait_ms = self._find_room_wait_ms(work, endpoint)
            if wait_ms is not None:
                await self._send_final_failure(
                    work, reply, "endpoints full", wait_ms
                )
                return
            outcome = await self._try_endpoint(work, endpoint, choice, reply)
            if isinstance(outcome, work_items.Answered):
                # Only now, as a caller may take long: the endpoint is free.
                await replies.send_response(
                    reply, outcome.status, outcome.headers, outcome.body
                )
                outcome = work_items.Delivered(outcome.status)
            if isinstance(outcome, work_items.Delivered):
                if outcome.status < 300:
                    self.suspects.record_answer(work)
                self._log_end(work, outcome.status, "delivered")
                return
            keep_failure(work, outcome, reply)
            if isinstance(outcome, work_items.Failed):
                await self._record_unanswered_run(work, endpoint, outcome)
            self._record_outcome(work, endpoint, outcome, reply.started)
            refusal = self._claim_retry(work, outcome)
            self._log_attempt(work, endpoint, outcome, refusal)
            if isinstance(outcome, work_items.Withheld):
                # The request may not be sent to any other endpoint either.
                retry_after_ms = self.compute_retry_after_ms()
                await self._send_final_failure(
                    work, reply, outcome.cause, retry_after_ms
                )
                return
            if refusal:
                await self._send_final_failure(work, reply, outcome.cause)
                return

    def _would_miss_deadline(self, work: work_items.Work) -> bool:
        """Whether the first token is predicted after the deadline.

        When the engines' backlog is longer than a caller waits, the caller
        would wait for nothing, and an engine would process a prompt whose
        caller has gone.

        An engine without other queued prompts is always tried: if the latency
        model is wrong, only a response can correct it.
        """
        if work.may_have_run or not work.is_queued:
            return False
        left_ms = work.deadline_ms - self.clock.now_ms()
        return self.placer.predict_ttft(work) > left_ms

    def _estimate_retry_after_ms(self, work: work_items.Work) -> float:
        """Estimate the time until the backlog is within the target."""
        behind_ms = self.placer.predict_ttft(work) - work.route.target_ms
        return max(refusals.DEFAULT_RETRY_AFTER_MS, behind_ms)

    def _find_room_wait_ms(
        self, work: work_items.Work, endpoint: fleet_module.TrackedEndpoint
    ) -> float | None:
        """Return when to come back if all plain endpoints are too full.

        None for a request that may have run: it is sent, since its caller
        could not be told that it has not.
        """
        if work.may_have_run:
            return None
        left_ms = work.deadline_ms - self.clock.now_ms() - REPLY_MARGIN_MS
        wait_ms = self.placer.plain.find_wait_ms(work, endpoint, left_ms)
        if wait_ms is not None:
            self.metrics.count(
                "room_refusals", service=work.service, rank=str(work.rank)
            )
        return wait_ms

    async def _try_endpoint(
        self,
        work: work_items.Work,
        endpoint: fleet_module.TrackedEndpoint,
        choice: rollout_state.VersionChoice | None,
        reply: replies.Reply,
    ) -> work_items.Outcome:
        """Send the request to one endpoint and relay its response."""
        permit = self.fleet.cold_starts.acquire(endpoint.entry)
        self.fleet.rate_limits.acquire(endpoint.entry)
        mark = self.sender.make_sent_mark(work, endpoint, permit)
        work.mark = mark
        work.is_retry_claimed = False
        work.endpoint = endpoint.entry.name
        began_ms = self.clock.now_ms()
        work.progress = work_items.Progress(
            began_ms,
            relayed=self._needs_relay(work),
            version=endpoint.entry.version,
        )
        run = self.rollouts.begin(choice, work, endpoint.entry.version)
        self.fleet.begin_request(endpoint, work.customer)
        reading = self.placer.begin_reading(work, endpoint)
        self.admission.record_reading(work, reading.weight)
        reading.on_first_token = functools.partial(
            self.admission.record_first_token, work
        )
        try:
            outcome = await self.sender.send(work, endpoint, mark, reply)
        except attempt_module.AttemptWithheld:
            assert work.withheld is not None
            outcome = work.withheld
        except relay_client.EndpointUnusable as fault:
            outcome = work_items.Diverted(str(fault))
        except attempt_module.AttemptFailed as fault:
            if fault.sent:
                outcome = work_items.Failed(fault.detail, broke_off=True)
            else:
                no_peer = isinstance(fault, relay_client.NoPeer)
                outcome = work_items.Unreached(fault.detail, no_peer)
        finally:
            self.fleet.cold_starts.release(permit)
            self.fleet.end_request(endpoint, work.customer)
            reading.end()
            self.rollouts.end(run, work)
        if isinstance(outcome, work_items.NOT_RUN_OUTCOMES):
            work.mark = None
        if isinstance(outcome, (work_items.Answered, work_items.Delivered)):
            took_ms = self.clock.now_ms() - began_ms
            self.fleet.record_success(endpoint, took_ms)
        return outcome

    async def _record_unanswered_run(
        self,
        work: work_items.Work,
        endpoint: fleet_module.TrackedEndpoint,
        outcome: work_items.Failed,
    ) -> None:
        """Record a run without a response: it may have crashed its endpoint.

        If it broke off, finds out whether the endpoint is down.
        """
        entry, ended_ms = endpoint.entry, self.clock.now_ms()
        run_ms = ended_ms - work.progress.began_ms
        if outcome.timed_out:
            self.suspects.record_abandoned_run(work, entry, run_ms)
        elif outcome.broke_off and await self.suspects.record_broken_run(
            work, entry, run_ms
        ):
            took_ms = self.clock.now_ms() - ended_ms
            self.fleet.record_unreachable(endpoint, took_ms)

    def _record_outcome(
        self,
        work: work_items.Work,
        endpoint: fleet_module.TrackedEndpoint,
        outcome: work_items.Undelivered,
        has_begun: bool,
    ) -> None:
        """Record an attempt whose response was not delivered.

        A stream that ``has_begun`` is not run by endpoints that decline it,
        and without another one its caller would get it unfinished.
        """
        name = endpoint.entry.name
        if not isinstance(outcome, work_items.NOT_RUN_OUTCOMES):
            work.earlier_may_have_run = True
        match outcome:
            case work_items.Unsure():
                work.runs += 1
                work.model = outcome.model
            case work_items.Unreached():
                self._record_unreached(work, endpoint, outcome)
            case work_items.Diverted():
                work.unusable |= {name}
            case work_items.Declined():
                work.unusable |= {name}
                self.fleet.record_declined(endpoint)
                if not has_begun:
                    work.runs += 1
            case work_items.Dropped():
                work.failed_endpoints |= {name}
                work.runs += 1
            case work_items.Failed():
                work.failed_endpoints |= {name}
                work.runs += 1
                self.fleet.record_failure(endpoint, outcome.cause)
        self.metrics.count("attempts", outcome=type(outcome).__name__.lower())

    def _needs_relay(self, work: work_items.Work) -> bool:
        """Whether a peer has to send the request, and may do so."""
        return not work.no_peer and self.sender.relays.is_needed(work.service)

    def _record_unreached(
        self,
        work: work_items.Work,
        endpoint: fleet_module.TrackedEndpoint,
        outcome: work_items.Unreached,
    ) -> None:
        """Record that no connection to an endpoint was established.

        If this entry VM has lost its path to the service and a peer may reach
        it, that says nothing of the endpoints.
        """
        name, began_ms = endpoint.entry.name, work.progress.began_ms
        took_ms = self.clock.now_ms() - began_ms
        work.unreached_ms += took_ms
        if outcome.no_peer:
            # It says nothing of the endpoint, which may be the one of several
            # that this entry VM reaches.
            work.no_peer = True
            return
        work.unusable |= {name}
        if not work.progress.relayed:
            self.sender.paths.record_unreached(endpoint.entry, began_ms)
            work.unconnected |= {name}
            if self._needs_relay(work):
                work.unusable -= work.unconnected
                return
        self.fleet.record_unreachable(endpoint, took_ms)
        self.fleet.record_failure(endpoint, outcome.cause)

    def _log_attempt(
        self,
        work: work_items.Work,
        endpoint: fleet_module.TrackedEndpoint,
        outcome: work_items.Undelivered,
        refusal: str,
    ) -> None:
        """Log an attempt, and why no other one follows; empty if one does."""
        if refusal:
            self.metrics.count(
                "retries_refused", service=work.service, cause=refusal
            )
        events.log_event(
            events.Event.ATTEMPT_ENDED,
            request=work.metadata.request_id,
            route=work.route.name,
            endpoint=endpoint.entry.name,
            outcome=type(outcome).__name__,
            cause=outcome.cause,
            runs=work.runs,
            last_event=work.last_event,
            no_retry=refusal or None,
            content=work.fingerprint
            if isinstance(outcome, work_items.Failed)
            else None,
        )

    def _claim_retry(
        self, work: work_items.Work, outcome: work_items.Undelivered
    ) -> str:
        """Claim another attempt; return why there is none, else ""."""
        return retries.claim_retry(
            work,
            outcome,
            lambda: (
                work.is_retry_claimed or self.placer.spend_budget(work.service)
            ),
        )

    async def _send_leaving(
        self, work: work_items.Work, reply: replies.Reply
    ) -> None:
        """Send the final reply to a request that would outlast this process.

        It is for another entry VM if it has not run.
        """
        self.metrics.count(
            "stopped_requests", may_have_run=str(work.may_have_run).lower()
        )
        await self._send_final_failure(
            work,
            reply,
            refusals.LEAVING,
            readiness_module.OTHER_VM_RETRY_MS,
        )

    async def _send_final_failure(
        self,
        work: work_items.Work,
        reply: replies.Reply,
        cause: str,
        retry_after_ms: float | None = None,
    ) -> None:
        """Send the final reply to a request whose attempts have failed.

        Without ``retry_after_ms`` the caller is told when the first endpoint
        takes a request again.
        """
        if retry_after_ms is None:
            retry_after_ms = refusals.compute_retry_after_ms(
                self.fleet, work.service
            )
        status = await refusals.send_final_failure(
            work, reply, cause, retry_after_ms, self.dialect.internal_headers
        )
        self._log_end(work, status, cause)

    def record_caller_left(self, work: work_items.Work, cause: str) -> None:
        """Log that the connection ended before the whole response."""
        self._log_end(work, 0, cause)

    def record_cut(
        self, work: work_items.Work, reason: closes.CloseReason | None
    ) -> None:
        """Log that a request was cancelled before its response was whole.

        ``reason`` is why its connection was closed.
        """
        stopped = self.stop_deadline.due_ms <= self.clock.now_ms()
        cause = refusals.LEAVING if stopped else "cut"
        if reason is not None:
            cause = closes.EXPLANATIONS[reason]
        self._log_end(work, 0, cause)

    def _log_end(self, work: work_items.Work, status: int, cause: str) -> None:
        work.is_logged = True
        took_ms = self.clock.now_ms() - work.began_ms
        self.metrics.count(
            "requests", route=work.route.name, status=str(status)
        )
        if status == 0:
            self.metrics.count("unfinished_replies", cause=cause)
        if 200 <= status < 300:
            self.metrics.observe("answer", took_ms, route=work.route.name)
        self.metrics.observe("request_wait", work.waited_ms)
        events.log_event(
            events.Event.REQUEST_FORWARDED,
            request=work.metadata.request_id,
            route=work.route.name,
            status=status,
            cause=cause,
            endpoint=work.endpoint,
            version=work.progress.version,
            version_reason=work.version_reason,
            session=work.session_digest,
            model=work.model_name,
            confidence=work.confidence,
            runs=work.runs,
            took_ms=round(took_ms),
            waited_ms=round(work.waited_ms),
            revision=work.table.revision,
        )


def keep_failure(
    work: work_items.Work,
    outcome: work_items.Undelivered,
    reply: replies.Reply,
) -> None:
    """Keep no response but the last failure's, which may be dropped.

    The caller gets that one if no further attempt succeeds. Bytes that are
    held longer than they are needed have the connection closed for room.
    """
    match outcome:
        case work_items.Failed():
            work.failure = outcome
        case work_items.Dropped():
            work.failure = None
    reply.hold(work.count_kept_bytes())
    relaying.make_failure_droppable(work, reply)
