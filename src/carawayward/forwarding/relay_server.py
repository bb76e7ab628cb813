"""Sends requests to endpoints on behalf of peers that cannot reach them.

The peer has chosen the endpoint and counts the attempt. This entry VM refuses
what it would not send for a caller of its own, and never passes a request on
to another entry VM.
"""

import contextlib
import functools
import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward import events
from carawayward.forwarding import app as app_module
from carawayward.forwarding import attempt as attempt_module
from carawayward.forwarding import board as board_module
from carawayward.forwarding import body_room
from carawayward.forwarding import fleet as fleet_module
from carawayward.forwarding import hops
from carawayward.forwarding import message_types
from carawayward.forwarding import metrics as metrics_module
from carawayward.forwarding import refusals
from carawayward.forwarding import relay_messages
from carawayward.forwarding import replies
from carawayward.forwarding import service_paths
from carawayward.forwarding import table as table_module
from carawayward import http_client as http
from carawayward import supervision

# Each takes two descriptors, and processor time from this entry VM's callers.
MAX_OPEN_RELAYS = 200

# The outcome in logs if the peer has closed its connection, as it does when it
# wants a larger model's answer or its caller has left.
ABANDONED = "abandoned"

Outcome = relay_messages.RelayOutcome


class Refusal(Exception):
    """A relayed request that is not sent; it has not run."""

    def __init__(self, outcome: Outcome, cause: str) -> None:
        super().__init__(cause)
        self.outcome = outcome
        self.cause = cause


@attrs.define(eq=False)
class RelayServer:
    """The ASGI application behind the listener for peers.

    ``list_peer_hosts`` returns the IP addresses of the known entry VMs, from
    which alone requests are accepted.
    """

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    dialect: message_types.Dialect
    fleet: fleet_module.Fleet
    paths: service_paths.ServicePaths
    metrics: metrics_module.Metrics
    list_peer_hosts: typing.Callable[[], typing.Collection[str]]

    async def __call__(
        self,
        scope: dict,
        receive: app_module.Receive,
        send: app_module.Send,
    ) -> None:
        """Serve one request of a peer."""
        if scope["type"] != "http":
            return
        with contextlib.suppress(app_module.CallerLeft, replies.ReplyLost):
            await self._answer(scope, receive, send)

    async def _answer(
        self,
        scope: dict,
        receive: app_module.Receive,
        send: app_module.Send,
    ) -> None:
        reply = app_module.make_reply(scope, send)
        host, _ = scope["client"] or ("", 0)
        if host not in self.list_peer_hosts():
            await replies.refuse(reply, 403, None)
        elif scope["method"] == "GET":
            # Answered by a process that runs: a connection alone is accepted
            # by the kernel for one that is frozen too.
            await replies.send_response(reply, 204, [], b"")
        else:
            serve = self._serve
            if scope["raw_path"] == relay_messages.PROBE_PATH:
                serve = self._serve_probe
            kept = body_room.KeptBody(self.board.body_room, reply.link.share)
            self.board.open_relays += 1
            try:
                await serve(receive, reply, kept)
            finally:
                kept.release()
                reply.release()
                self.board.open_relays -= 1

    async def _serve_probe(
        self,
        receive: app_module.Receive,
        reply: app_module.AsgiReply,
        kept: body_room.KeptBody,
    ) -> None:
        """Tell a peer whether an endpoint accepts connections from here."""
        try:
            body = await self._read_body(
                receive, relay_messages.MAX_FIELDS_BYTES, kept
            )
            asked = relay_messages.ProbeRequest.from_bytes(body)
        except app_module.Refused as fault:
            await replies.refuse(reply, fault.status, None)
            return
        except relay_messages.DECODE_ERRORS:
            await replies.refuse(reply, 400, None)
            return
        connects = None
        endpoint = self.fleet.find_endpoint(asked.endpoint)
        if (
            endpoint is not None
            and endpoint.entry.born == asked.born
            and not self.paths.is_lost(endpoint.entry.service)
        ):
            connects = await self.paths.probe(endpoint.entry.address)
        answer = relay_messages.encode_probe_reply(connects)
        await replies.send_response(reply, 200, [], answer)

    async def _serve(
        self,
        receive: app_module.Receive,
        reply: app_module.AsgiReply,
        kept: body_room.KeptBody,
    ) -> None:
        try:
            relayed = await self._read(receive, kept)
        except app_module.Refused as fault:
            await self._send_outcome(reply, Outcome.DECLINED, fault.cause)
            return
        outcome = None
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    app_module.cancel_on_disconnect, receive, reply, nursery
                )
                with contextlib.suppress(replies.ReplyLost):
                    outcome = await self._relay_in_time(relayed, reply)
                nursery.cancel_scope.cancel()
        finally:
            self._log_end(relayed, outcome)

    def _log_end(
        self,
        relayed: relay_messages.RelayedRequest,
        outcome: Outcome | None,
    ) -> None:
        name = outcome.name.lower() if outcome else ABANDONED
        self.metrics.count("relays", outcome=name)
        events.log_event(
            events.Event.REQUEST_RELAYED,
            request=relayed.request_id,
            endpoint=relayed.endpoint,
            outcome=name,
        )

    async def _read_body(
        self,
        receive: app_module.Receive,
        max_bytes: int,
        kept: body_room.KeptBody,
    ) -> bytes:
        table = self.board.table
        limits = table.limits if table else table_module.CallerLimits()
        with self.board.stop_deadline.limit(self.clock.now_ms()):
            return await app_module.read_body(
                receive, max_bytes, limits.idle_ms, kept
            )
        raise app_module.make_leaving_refusal()

    async def _read(
        self, receive: app_module.Receive, kept: body_room.KeptBody
    ) -> relay_messages.RelayedRequest:
        """Read a relayed request; raise Refused if it is malformed."""
        table = self.board.table
        if table is None:
            raise app_module.Refused(503, "no routing table yet")
        body = await self._read_body(
            receive,
            table.limits.body_bytes
            + relay_messages.FIELDS_LENGTH.size
            + relay_messages.MAX_FIELDS_BYTES,
            kept,
        )
        try:
            return relay_messages.RelayedRequest.from_bytes(body)
        except relay_messages.DECODE_ERRORS as fault:
            raise app_module.Refused(400, type(fault).__name__) from fault

    async def _relay_in_time(
        self,
        relayed: relay_messages.RelayedRequest,
        reply: app_module.AsgiReply,
    ) -> Outcome | None:
        """Relay a request until its deadline, or until this entry VM stops.

        In a stop the peer is told whether the request may have run.
        """
        mark, now_ms = http.SentMark(), self.clock.now_ms()
        deadline_ms = now_ms + relayed.remaining_ms
        stop_deadline = self.board.stop_deadline
        with stop_deadline.limit(now_ms, deadline_ms) as scope:
            reply.record_start = functools.partial(
                stop_deadline.record_begun, scope
            )
            return await self._relay(relayed, reply, mark)
        if reply.started or not stop_deadline.is_earlier(deadline_ms):
            return None
        outcome = Outcome.BROKEN if mark.sent else Outcome.DECLINED
        await self._send_outcome(reply, outcome, refusals.LEAVING)
        return outcome

    async def _relay(
        self,
        relayed: relay_messages.RelayedRequest,
        reply: app_module.AsgiReply,
        mark: http.SentMark,
    ) -> Outcome:
        """Send a request to its endpoint and relay the response."""
        began_ms = self.clock.now_ms()
        try:
            endpoint = self._find_endpoint(relayed)
            mark.may_send = self._make_check(relayed, endpoint)
            async with attempt_module.open_attempt(
                endpoint.entry.address,
                relayed.forwarded,
                relayed.request_id,
                self.dialect.read_response,
                mark,
                relayed.silence_ms,
            ) as answer:
                self.fleet.record_response(endpoint, answer.head.metadata)
                await _relay_response(answer, reply)
            return Outcome.RELAYED
        except replies.ReplyLost:
            raise
        except Refusal as refusal:
            outcome, cause = refusal.outcome, refusal.cause
        except attempt_module.AttemptWithheld:
            outcome, cause = Outcome.DECLINED, "may no longer be sent"
        except attempt_module.AttemptFailed as fault:
            outcome, cause = Outcome.BROKEN, fault.detail
            if not fault.sent:
                outcome = self._record_unreached(endpoint, began_ms)
        except Exception as fault:
            outcome = Outcome.BROKEN if mark.sent else Outcome.DECLINED
            cause = type(fault).__name__
            self.metrics.count("faults", kind=cause)
            events.log_event(
                events.Event.FAULT,
                task="relay",
                request=relayed.request_id,
                may_have_run=mark.sent,
                detail=supervision.describe_fault(fault),
            )
        if not reply.started:
            await self._send_outcome(reply, outcome, cause)
        return outcome

    def _record_unreached(
        self, endpoint: fleet_module.TrackedEndpoint, began_ms: float
    ) -> Outcome:
        """Record a failed connection attempt, and say what it shows."""
        self.paths.record_unreached(endpoint.entry, began_ms)
        if self.paths.is_lost(endpoint.entry.service):
            return Outcome.UNAVAILABLE
        return Outcome.UNREACHED

    def _find_endpoint(
        self, relayed: relay_messages.RelayedRequest
    ) -> fleet_module.TrackedEndpoint:
        """Find the endpoint; raise Refusal if it may not get the request."""
        if self.board.state is not board_module.State.READY:
            raise Refusal(Outcome.UNAVAILABLE, "not ready")
        if self.board.open_relays > MAX_OPEN_RELAYS:
            raise Refusal(Outcome.UNAVAILABLE, "no room")
        if self.paths.is_lost(relayed.service):
            raise Refusal(Outcome.UNAVAILABLE, "endpoints unreachable")
        if not self._accepts_key(relayed):
            raise Refusal(Outcome.DECLINED, "key cannot be verified")
        endpoint = self.fleet.find_endpoint(relayed.endpoint)
        if endpoint is None or endpoint.entry.born != relayed.born:
            raise Refusal(Outcome.DECLINED, "endpoint unknown")
        if not self.fleet.may_use(endpoint):
            raise Refusal(Outcome.UNUSABLE, "endpoint leaves or rests")
        return endpoint

    def _accepts_key(self, relayed: relay_messages.RelayedRequest) -> bool:
        """Whether a request's key is valid by this entry VM's own table."""
        table = self.board.table
        if not relayed.customer:
            return True
        if table is None or not self._is_lease_valid():
            return False
        customer = table.customers_by_key.get(relayed.key)
        return customer is not None and customer.name == relayed.customer

    def _is_lease_valid(self) -> bool:
        return self.board.is_key_lease_valid(self.clock.boot_ms())

    def _make_check(
        self,
        relayed: relay_messages.RelayedRequest,
        endpoint: fleet_module.TrackedEndpoint,
    ) -> typing.Callable[[], bool]:
        """Make the check that is called right before the first byte."""

        def may_send() -> bool:
            self.paths.record_connected(relayed.service)
            return self._accepts_key(relayed) and self.fleet.may_use(endpoint)

        return may_send

    async def _send_outcome(
        self, reply: app_module.AsgiReply, outcome: Outcome, cause: str
    ) -> None:
        headers = [
            (hops.RELAY_OUTCOME_HEADER, outcome.value),
            (hops.RELAY_CAUSE_HEADER, cause.encode()),
        ]
        await replies.send_response(reply, 503, headers, b"")


async def _relay_response(
    answer: attempt_module.ResponseReader, reply: app_module.AsgiReply
) -> None:
    """Relay an endpoint's response; an unfinished reply shows a break."""
    headers = hops.select_response_headers(answer.head.headers, frozenset())
    headers.append((hops.RELAY_OUTCOME_HEADER, Outcome.RELAYED.value))
    await reply.start(answer.head.status, headers)
    async for chunk in answer.read_chunks():
        await reply.send(chunk)
    await reply.finish()
