"""The life of one forwarded request, from the caller's to its last byte."""

import contextlib
import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.decisions import cold_starts
from carawayward.decisions import retry_budget
from carawayward import events
from carawayward.forwarding import attempt as attempt_module
from carawayward.forwarding import attempt_timeouts
from carawayward.forwarding import facts
from carawayward.forwarding import fleet as fleet_module
from carawayward.forwarding import hops
from carawayward.forwarding import metrics as metrics_module
from carawayward.forwarding import placing
from carawayward.forwarding import relaying
from carawayward.forwarding import replies
from carawayward.forwarding import rollout_state
from carawayward.forwarding import rollouts as rollouts_module
from carawayward.forwarding import work_items
from carawayward import http_client as http

# A reply goes out this long before the time is up, so that it is with the
# caller when the time is up.
REPLY_MARGIN_MS = 20.0
# An endpoint is given less than the caller's own time by this much, so that
# what it still does in time can be passed on in time.
RELAY_MARGIN_MS = 30.0
# Endpoints that could not be reached are tried besides a route's own bound,
# which counts runs, for as long as this: silent ones cost the time to connect
# each, those that refuse a few ms. After it a caller does better to come back.
UNREACHED_MS = 1_500.0
# When to come back while nothing is known of when an endpoint will be free:
# registries tell of a new endpoint within about a second.
COME_BACK_MS = 1_000.0


# Outcomes by which the request is certain not to have run.
NOT_RUN = (work_items.Unreached, work_items.Withheld, work_items.Declined)


@attrs.define(eq=False)
class Forwarder:
    """Serves forwarded requests.

    ``may_send`` is asked at the instant before a request's first byte goes
    to an endpoint; ``compute_retry_after_ms`` is when a caller that it
    withheld should come back.
    """

    clock: clock_module.Clock
    dialect: facts.Dialect
    placer: placing.Placer
    relay: relaying.Relay
    may_send: typing.Callable[[work_items.Work], bool]
    compute_retry_after_ms: typing.Callable[[], float]
    metrics: metrics_module.Metrics

    @property
    def fleet(self) -> fleet_module.Fleet:
        """What is known of the endpoints."""
        return self.placer.fleet

    @property
    def rollouts(self) -> rollouts_module.Rollouts:
        """The roll-outs under way."""
        return self.placer.rollouts

    async def serve(self, work: work_items.Work, reply: replies.Reply) -> None:
        """Answer one request; the caller's leaving cancels this call."""
        now_ms = self.clock.now_ms()
        retry_budget.record_request(
            self.placer.find_budget(work.service), now_ms
        )
        self.placer.choose_model(work)
        left_ms = work.deadline_ms - now_ms - REPLY_MARGIN_MS
        with trio.move_on_after(max(0.0, left_ms) / 1000) as scope:
            await self._run(work, reply)
        if scope.cancelled_caught:
            await self._give_up(work, reply, "deadline")

    async def _run(self, work: work_items.Work, reply: replies.Reply) -> None:
        while True:
            choice = self.rollouts.choose_version(work)
            place = self.placer.choose(work, choice)
            if place is None:
                await self._give_up(work, reply, "no endpoint")
                return
            if self._is_hopeless(work):
                await self._give_up(
                    work, reply, "engines behind", self._find_return_ms(work)
                )
                return
            outcome = await self._attempt(work, place, choice, reply)
            if isinstance(outcome, work_items.Delivered):
                self._log_end(work, outcome.status, "delivered")
                return
            self._note(work, place, outcome)
            if isinstance(outcome, work_items.Withheld):
                # No other endpoint may have it either.
                come_back_ms = self.compute_retry_after_ms()
                await self._give_up(work, reply, outcome.cause, come_back_ms)
                return
            if not self._may_try_again(work, outcome):
                await self._give_up(work, reply, outcome.cause)
                return

    def _is_hopeless(self, work: work_items.Work) -> bool:
        """Whether an answer would begin only after the caller has gone.

        Load: engines are further behind than some callers wait. Harm
        prevented: these wait for nothing, and their prompts are read though
        nobody is there for the answer.

        An engine that has nothing else to read is always tried: if the model
        was learned wrong, only an answer can put it right.
        """
        if work.may_have_run or not work.waits:
            return False
        left_ms = work.deadline_ms - self.clock.now_ms()
        return self.placer.predict_ttft(work) > left_ms

    def _find_return_ms(self, work: work_items.Work) -> float:
        """When engines will have read enough to answer a request in time."""
        behind_ms = self.placer.predict_ttft(work) - work.route.target_ms
        return max(COME_BACK_MS, behind_ms)

    async def _attempt(
        self,
        work: work_items.Work,
        place: fleet_module.Place,
        choice: rollout_state.VersionChoice | None,
        reply: replies.Reply,
    ) -> work_items.Outcome:
        """Send the request to one endpoint and pass its answer on."""
        permit = self.fleet.cold_starts.take(place.entry)
        mark = self._make_mark(work, permit)
        work.mark = mark
        work.endpoint = place.entry.name
        began_ms = self.clock.now_ms()
        work.progress = work_items.Progress(
            began_ms, version=place.entry.version
        )
        run = self.rollouts.begin(choice, work, place.entry.version)
        self.fleet.occupy(place)
        reading = self.placer.begin_reading(work, place)
        try:
            outcome = await self._send(work, place, mark, reply)
        except attempt_module.AttemptWithheld:
            outcome = work_items.Withheld("keys may be old")
        except attempt_module.AttemptFailed as fault:
            if fault.sent:
                outcome = work_items.Failed(fault.detail)
            else:
                outcome = work_items.Unreached(fault.detail)
        finally:
            self.fleet.cold_starts.give_back(permit)
            self.fleet.vacate(place)
            reading.end()
            self.rollouts.end(run, work)
        if isinstance(outcome, NOT_RUN):
            work.mark = None
        if isinstance(outcome, work_items.Delivered):
            took_ms = self.clock.now_ms() - began_ms
            self.fleet.record_success(place, took_ms)
        return outcome

    def _make_mark(
        self, work: work_items.Work, permit: cold_starts.Permit | None
    ) -> http.SentMark:
        """A mark that uses the permit when the request goes out."""

        def may_send() -> bool:
            if not self.may_send(work):
                return False
            self.fleet.cold_starts.record_sent(permit)
            return True

        return http.SentMark(may_send=may_send)

    async def _send(
        self,
        work: work_items.Work,
        place: fleet_module.Place,
        mark: http.SentMark,
        reply: replies.Reply,
    ) -> work_items.Outcome:
        async with contextlib.AsyncExitStack() as stack:
            wait_ms = self._compute_attempt_timeout_ms(work)
            with trio.move_on_after(wait_ms / 1000) as waiting:
                answer = await stack.enter_async_context(
                    attempt_module.open_attempt(
                        place.entry.address,
                        self._make_forward(work, place),
                        work.facts.request_id,
                        self.dialect.read_answer,
                        mark,
                        attempt_timeouts.find_silence_ms(work.route),
                    )
                )
            if waiting.cancelled_caught:
                if not mark.sent:
                    return work_items.Unreached("no connection in time")
                return work_items.Failed("no answer in time")
            if not answer.head.facts.declined:
                self.fleet.record_taken(place)
            return await self.relay.pass_on(work, answer, reply)

    def _compute_attempt_timeout_ms(self, work: work_items.Work) -> float:
        left_ms = work.deadline_ms - self.clock.now_ms()
        predicted_ms = self.placer.predict_ttft(work)
        return attempt_timeouts.compute_attempt_timeout_ms(
            work.route, left_ms, predicted_ms
        )

    def _make_forward(
        self, work: work_items.Work, place: fleet_module.Place
    ) -> attempt_module.Forward:
        left_ms = work.deadline_ms - self.clock.now_ms() - RELAY_MARGIN_MS
        dispatch = facts.Dispatch(
            instance=place.entry.name,
            remaining_ms=max(1.0, left_ms),
            customer=work.customer,
            model=work.model_name,
            last_event=work.last_event,
        )
        headers = self.dialect.write_request(work.request.headers, dispatch)
        return attempt_module.Forward(
            method=work.request.method,
            target=work.request.target,
            headers=hops.drop_connection_headers(headers),
            body=work.request.body,
        )

    def _note(
        self,
        work: work_items.Work,
        place: fleet_module.Place,
        outcome: work_items.Unreached
        | work_items.Withheld
        | work_items.Declined
        | work_items.Unsure
        | work_items.Failed,
    ) -> None:
        """Learn from an attempt that brought no answer."""
        name = place.entry.name
        match outcome:
            case work_items.Unsure():
                work.runs += 1
                work.ran = True
                work.model = outcome.model
            case work_items.Unreached():
                work.useless |= {name}
                took_ms = self.clock.now_ms() - work.progress.began_ms
                self.fleet.record_unreached(place, took_ms)
                work.unreached_ms += took_ms
                self.fleet.record_failure(place, outcome.cause)
            case work_items.Declined():
                work.useless |= {name}
                self.fleet.record_declined(place)
                work.runs += 1
            case work_items.Failed():
                work.failed_at |= {name}
                work.runs += 1
                work.ran = True
                work.failure = outcome
                self.fleet.record_failure(place, outcome.cause)
        self.metrics.count("attempts", outcome=type(outcome).__name__.lower())
        events.log_event(
            events.Event.ATTEMPT_ENDED,
            request=work.facts.request_id,
            endpoint=name,
            outcome=type(outcome).__name__,
            cause=outcome.cause,
            runs=work.runs,
            last_event=work.last_event,
        )

    def _may_try_again(
        self, work: work_items.Work, outcome: work_items.Outcome
    ) -> bool:
        if isinstance(outcome, work_items.Unreached):
            return work.unreached_ms <= UNREACHED_MS
        if work.runs >= work.route.max_attempts:
            return False
        if (
            isinstance(outcome, work_items.Failed)
            and not work.route.repeatable
        ):
            return False
        budget, now_ms = (
            self.placer.find_budget(work.service),
            self.clock.now_ms(),
        )
        if not retry_budget.may_spend(budget, now_ms):
            return False
        retry_budget.spend(budget, now_ms)
        return True

    async def _give_up(
        self,
        work: work_items.Work,
        reply: replies.Reply,
        cause: str,
        come_back_ms: float = COME_BACK_MS,
    ) -> None:
        """Give the final answer of a request that has none of its own."""
        if reply.begun:
            # Not finishing the body shows the caller that it is broken off.
            self._log_end(work, 0, cause)
            return
        failure = work.failure
        if failure is not None and failure.head is not None:
            status = failure.head.status
            headers = hops.keep_headers(failure.head.headers)
            await replies.send_whole(reply, status, headers, failure.body)
        elif work.may_have_run:
            status = 504 if cause == "deadline" else 502
            await replies.send_whole(reply, status, [], b"")
        else:
            status = 503
            await replies.refuse(reply, status, come_back_ms)
        self._log_end(work, status, cause)

    def record_left(self, work: work_items.Work) -> None:
        """The caller has left before it had its whole answer."""
        self._log_end(work, 0, "caller left")

    def _log_end(self, work: work_items.Work, status: int, cause: str) -> None:
        took_ms = self.clock.now_ms() - work.began_ms
        self.metrics.count(
            "requests", route=work.route.name, status=str(status)
        )
        if 200 <= status < 300:
            self.metrics.observe("answer", took_ms, route=work.route.name)
        events.log_event(
            events.Event.REQUEST_FORWARDED,
            request=work.facts.request_id,
            route=work.route.name,
            status=status,
            cause=cause,
            endpoint=work.endpoint,
            model=work.model_name,
            confidence=work.confidence,
            runs=work.runs,
            took_ms=round(took_ms),
            revision=work.table.revision,
        )
