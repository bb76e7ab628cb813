"""Sends one attempt to an endpoint, directly or through a peer."""

import contextlib
import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.decisions import cold_starts
from carawayward.decisions import engine_order
from carawayward.forwarding import attempt as attempt_module
from carawayward.forwarding import attempt_timeouts
from carawayward.forwarding import fleet as fleet_module
from carawayward.forwarding import hops
from carawayward.forwarding import message_types
from carawayward.forwarding import placing
from carawayward.forwarding import relay_client
from carawayward.forwarding import relaying
from carawayward.forwarding import replies
from carawayward.forwarding import retries
from carawayward.forwarding import service_paths
from carawayward.forwarding import suspects as suspects_module
from carawayward.forwarding import work_items
from carawayward import http_client as http

# An endpoint's deadline is this much earlier than the caller's, so that a
# response just within it can still be relayed in time; for each hop.
RELAY_MARGIN_MS = 30.0


@attrs.define(eq=False)
class Sender:
    """Sends attempts and relays their responses.

    ``may_send`` is called right before the first byte of a request is sent. If
    it returns false, the request is withheld.
    """

    clock: clock_module.Clock
    dialect: message_types.Dialect
    placer: placing.Placer
    relay: relaying.Relay
    may_send: typing.Callable[[work_items.Work], bool]
    suspects: suspects_module.SuspectRequests
    paths: service_paths.ServicePaths
    relays: relay_client.RelayClient

    def make_sent_mark(
        self,
        work: work_items.Work,
        endpoint: fleet_module.TrackedEndpoint,
        permit: cold_starts.Permit | None,
    ) -> http.SentMark:
        """Make a mark that is asked right before the first byte is sent.

        It checks whether the request may run, by ``may_send`` too, and whether
        the endpoint has asked for rest while the connection was established,
        and records the permit as used.
        If the request is withheld, ``work.withheld`` says why.
        """

        def may_send() -> bool:
            work.withheld = None
            if not retries.may_run(work):
                work.withheld = work_items.Withheld("may have run")
            elif not self.may_send(work):
                work.withheld = work_items.Withheld("keys may be old")
            elif self.placer.fleet.notices.is_resting(endpoint.entry):
                work.withheld = work_items.Diverted("endpoint rests")
            if work.withheld is not None:
                return False
            self.placer.fleet.cold_starts.record_sent(permit)
            if not work.progress.relayed:
                self.paths.record_connected(work.service)
            return True

        return http.SentMark(may_send=may_send)

    async def send(
        self,
        work: work_items.Work,
        endpoint: fleet_module.TrackedEndpoint,
        mark: http.SentMark,
        reply: replies.Reply,
    ) -> work_items.Outcome:
        """Send the request to one endpoint and relay its response.

        Raises AttemptFailed, AttemptWithheld or EndpointUnusable if there is
        no response.
        """
        async with contextlib.AsyncExitStack() as stack:
            wait_s = self._compute_attempt_timeout_ms(work) / 1000
            with self._limit_wait(work, wait_s, reply.started) as waiting:
                answer = await stack.enter_async_context(
                    self._open_attempt(work, endpoint, mark)
                )
            if waiting.cancelled_caught:
                if not mark.sent:
                    return work_items.Unreached("connect attempt timed out")
                return work_items.Failed(
                    "no response before the attempt timeout", timed_out=True
                )
            self.placer.fleet.record_response(endpoint, answer.head.metadata)
            if not answer.head.metadata.declined:
                now_ms = self.clock.now_ms()
                work.progress.answer = work_items.AnswerProgress(
                    now_ms, now_ms
                )
                self.placer.fleet.record_accepted(endpoint)
                self.suspects.record_response(endpoint.entry)
            return await self.relay.relay_response(work, answer, reply)

    @contextlib.contextmanager
    def _limit_wait(
        self, work: work_items.Work, timeout_s: float, has_begun: bool
    ) -> typing.Iterator[trio.CancelScope]:
        """Limit the wait for the head of a response.

        A stream that ``has_begun`` is not given up without another run: its
        caller could get no other reply any more.
        """
        if not has_begun:
            with trio.move_on_after(timeout_s) as scope:
                yield scope
            return
        with self.relay.watch_begun(work) as wait:
            wait.due_s = trio.current_time() + timeout_s
            yield wait.scope

    def _open_attempt(
        self,
        work: work_items.Work,
        endpoint: fleet_module.TrackedEndpoint,
        mark: http.SentMark,
    ) -> typing.AsyncContextManager[attempt_module.ResponseReader]:
        """Send the request to an endpoint, by a peer if that is needed."""
        forwarded = self._make_forwarded_request(work, endpoint)
        if work.progress.relayed:
            return self.relays.open_attempt(
                work,
                endpoint.entry,
                forwarded,
                self.dialect.read_response,
                mark,
            )
        return attempt_module.open_attempt(
            endpoint.entry.address,
            forwarded,
            work.metadata.request_id,
            self.dialect.read_response,
            mark,
            attempt_timeouts.get_silence_timeout_ms(work.route),
        )

    def _compute_attempt_timeout_ms(self, work: work_items.Work) -> float:
        left_ms = work.deadline_ms - self.clock.now_ms()
        predicted_ms = self.placer.predict_ttft(work)
        return attempt_timeouts.compute_attempt_timeout_ms(
            work.route, left_ms, predicted_ms
        )

    def _make_forwarded_request(
        self, work: work_items.Work, endpoint: fleet_module.TrackedEndpoint
    ) -> attempt_module.ForwardedRequest:
        # What an endpoint cannot begin before this entry VM stops it declines,
        # so that another entry VM may send it again.
        due_ms = self.placer.fleet.board.stop_deadline.due_ms
        deadline_ms = min(work.deadline_ms, due_ms)
        left_ms = deadline_ms - self.clock.now_ms() - RELAY_MARGIN_MS
        if work.progress.relayed:
            left_ms -= RELAY_MARGIN_MS
        dispatch = message_types.DispatchMetadata(
            instance=endpoint.entry.name,
            remaining_ms=max(1.0, left_ms),
            customer=work.customer,
            model=work.model_name,
            last_event=work.last_event,
            urgency=self._choose_urgency(work),
        )
        headers = hops.select_request_headers(
            work.request.headers,
            work.request.body,
            self.dialect.end_to_end_headers,
        )
        return attempt_module.ForwardedRequest(
            method=work.request.method,
            target=work.request.target,
            headers=self.dialect.write_request(headers, dispatch),
            body=work.request.body,
        )

    def _choose_urgency(self, work: work_items.Work) -> int | None:
        """The urgency that an engine is told; None to leave it open."""
        if work.reading is None or work.reading.urgency_class is None:
            return None
        return engine_order.choose_urgency(
            work.reading.urgency_class,
            run_before=work.runs > 0 or work.last_event is not None,
        )
