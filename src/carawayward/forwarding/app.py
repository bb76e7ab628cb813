"""The ASGI application that accepts requests on forwarded routes.

It reads the whole request, looks up its route and customer in the routing
table, and watches for a disconnect while the request is served.
"""

import contextlib
import typing

import attrs
import trio

from carawayward import buffers
from carawayward import caller_links
from carawayward import clock as clock_module
from carawayward import closes
from carawayward.decisions import placement
from carawayward import errors
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import body_room
from carawayward.forwarding import connection_shedding
from carawayward.forwarding import exchange
from carawayward.forwarding import message_types
from carawayward.forwarding import metrics as metrics_module
from carawayward.forwarding import readiness as readiness_module
from carawayward.forwarding import refusals
from carawayward.forwarding import replies
from carawayward.forwarding import table as table_module
from carawayward.forwarding import work_items
from carawayward import http_client as http
from carawayward import http_exchanges
from carawayward import http_server
from carawayward import supervision

Receive = typing.Callable[[], typing.Awaitable[dict]]
Send = typing.Callable[[dict], typing.Awaitable[None]]

# Retry-After while this entry VM has not read a routing table from the store.
NOT_READY_RETRY_MS = 500.0


class CallerLeft(Exception):
    """The caller closed its connection."""


class Refused(Exception):
    """A request that is refused by this entry VM and has not run."""

    def __init__(
        self, status: int, cause: str, retry_after_ms: float | None = None
    ) -> None:
        super().__init__(cause)
        self.status = status
        self.cause = cause
        self.retry_after_ms = retry_after_ms


@attrs.define(eq=False)
class AsgiReply:
    """A reply over ASGI.

    ``finished`` is set right before the end of the body is sent. If
    ``should_redirect_callers`` returns true when the reply starts, the reply
    closes the caller's connection. ``work`` is the request's, once that has
    been accepted. ``is_logged`` is set once the request's end is logged.
    ``link`` is to the caller's connection. ``record_start`` is called when the
    reply starts.
    """

    send_event: Send
    should_redirect_callers: typing.Callable[[], bool]
    link: caller_links.CallerLink
    record_start: typing.Callable[[], None] = lambda: None
    started: bool = False
    finished: bool = False
    work: work_items.Work | None = None
    is_logged: bool = False

    def hold(self, count: int) -> bool:
        """Account for ``count`` kept bytes of the response."""
        return self.link.share.hold(buffers.Part.ANSWER, count)

    def set_drop(self, drop: typing.Callable[[], None] | None) -> None:
        """Set what drops the kept response to make room."""
        self.link.share.drop_answer = drop

    def set_ready(self, ready: bool) -> None:
        """Set whether a whole response is about to be sent."""
        self.link.share.answer_ready = ready

    def expect_unread(self, count: int) -> None:
        """Account for ``count`` bytes more while a write waits."""
        self.link.unread_bytes = count

    def give_up(self) -> None:
        """Close the connection, as there is no room for the response."""
        self.link.abort(closes.CloseReason.BUFFERS)
        self.link.lost = True
        raise replies.ReplyLost()

    def release(self) -> None:
        """Hold nothing of a response any more."""
        self.set_drop(None)
        self.set_ready(False)
        self.hold(0)
        self.link.unread_bytes = 0

    async def start(self, status: int, headers: message_types.Headers) -> None:
        """Send status and headers."""
        self.started = True
        self.set_drop(None)
        self.set_ready(False)
        self.record_start()
        if self.should_redirect_callers():
            headers = [*headers, (b"connection", b"close")]
        await self.send_event(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [(name.lower(), value) for name, value in headers],
            }
        )

    async def send(self, chunk: bytes) -> None:
        """Send a chunk of the body."""
        await self._send_body(chunk, more=True)

    async def finish(self) -> None:
        """Send the end of the body."""
        self.finished = True
        await self._send_body(b"", more=False)

    async def _send_body(self, chunk: bytes, more: bool) -> None:
        try:
            await self.send_event(
                {
                    "type": "http.response.body",
                    "body": chunk,
                    "more_body": more,
                }
            )
        finally:
            # Also if the request has been cancelled meanwhile: the reply did
            # not end for that reason.
            if self.link.lost:
                raise replies.ReplyLost()


@attrs.define(eq=False)
class ForwardingApp:
    """The ASGI application behind the callers' listener."""

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    dialect: message_types.Dialect
    forwarder: exchange.Forwarder
    readiness: readiness_module.Readiness
    metrics: metrics_module.Metrics
    shedding: connection_shedding.ConnectionShedding

    async def run(self) -> None:
        """Watch the streams in hand until cancelled."""
        await self.forwarder.sender.relay.stalls.run()

    async def __call__(
        self, scope: dict, receive: Receive, send: Send
    ) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        link = caller_links.find_link(scope)
        reply = AsgiReply(send, self._should_redirect_callers, link)
        kept = body_room.KeptBody(self.board.body_room, link.share)
        self.board.open_requests += 1
        try:
            await self._serve(scope, receive, reply, kept)
        except Refused as refusal:
            reply.is_logged = True
            self._log_refusal(scope, refusal)
            with contextlib.suppress(replies.ReplyLost):
                await replies.refuse(
                    reply, refusal.status, refusal.retry_after_ms
                )
        except CallerLeft:
            cause = link.explain_loss("caller left")
            self._log_incomplete(scope, reply, cause)
        except (Exception, BaseExceptionGroup) as fault:
            _, rest = supervision.split_cancelled(fault)
            if rest is None:
                raise
            await self._end_with_fault(scope, reply, rest)
        finally:
            self._log_cut(scope, reply)
            kept.release()
            reply.release()
            self.board.open_requests -= 1

    def _should_redirect_callers(self) -> bool:
        return (
            self.readiness.should_redirect_callers()
            or self.shedding.should_redirect_callers()
        )

    async def _serve(
        self,
        scope: dict,
        receive: Receive,
        reply: AsgiReply,
        kept: body_room.KeptBody,
    ) -> None:
        waited_ms = find_age_ms(scope)
        began_ms = self.clock.now_ms() - waited_ms
        check_framing(scope["headers"])
        limits = self._find_limits()
        check_length(scope["headers"], limits.body_bytes, kept)
        with self.board.stop_deadline.limit(self.clock.now_ms()) as reading:
            body = await read_body(
                receive, limits.body_bytes, limits.idle_ms, kept
            )
        if reading.cancelled_caught:
            raise make_leaving_refusal()
        request = make_request(scope, body)
        work = reply.work = self._make_work(request, began_ms)
        work.waited_ms = waited_ms
        served = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cancel_on_disconnect, receive, reply, nursery)
            with contextlib.suppress(replies.ReplyLost):
                await self.forwarder.serve(work, reply)
                served = True
            nursery.cancel_scope.cancel()
        if not served:
            cause = reply.link.explain_loss("caller left")
            self.forwarder.record_caller_left(work, cause)

    async def _end_with_fault(
        self, scope: dict, reply: AsgiReply, fault: BaseException
    ) -> None:
        """End a request that an unexpected exception has ended.

        The caller is told truthfully whether it may have run. A reply that
        has begun stays unfinished, which shows that it is truncated.
        """
        self.metrics.count("faults", kind=type(fault).__name__)
        reply.is_logged = True
        work = reply.work
        may_have_run = work is not None and work.may_have_run
        events.log_event(
            events.Event.FAULT,
            task="request",
            request=self.dialect.find_id(scope["headers"]),
            may_have_run=may_have_run,
            detail=supervision.describe_fault(fault),
        )
        if reply.started:
            return
        with contextlib.suppress(replies.ReplyLost):
            if may_have_run:
                await replies.send_response(reply, 500, [], b"")
            else:
                await replies.refuse(
                    reply, 503, readiness_module.OTHER_VM_RETRY_MS
                )

    def _find_limits(self) -> table_module.CallerLimits:
        table = self.board.table
        return table.limits if table else table_module.CallerLimits()

    def _make_work(
        self, request: replies.CallerRequest, began_ms: float
    ) -> work_items.Work:
        """Look up the route and the customer; raise Refused if it fails."""
        table = self.board.table
        if table is None:
            raise Refused(503, "no routing table yet", NOT_READY_RETRY_MS)
        if self.board.refusing:
            raise make_leaving_refusal()
        try:
            metadata = self.dialect.read_request(request.headers)
        except errors.BadRequest as fault:
            raise Refused(fault.status, str(fault)) from fault
        route = table.find_route(request.host, request.path)
        if route is None:
            # A newer table than this one may have added the route.
            if not self.readiness.is_fresh():
                raise self._make_stale_refusal("table may be old")
            raise Refused(404, "no such route")
        customer = self._find_customer(table, route, metadata)
        wait_ms = route.timeout_ms
        if metadata.deadline_ms is not None:
            wait_ms = min(wait_ms, metadata.deadline_ms)
        return work_items.Work(
            request=request,
            metadata=metadata,
            route=route,
            service=choose_service(route, metadata),
            table=table,
            customer=customer.name if customer else "",
            rank=table.find_rank(route, customer),
            began_ms=began_ms,
            deadline_ms=began_ms + wait_ms,
            last_event=metadata.last_event,
        )

    def _find_customer(
        self,
        table: table_module.RoutingTable,
        route: table_module.Route,
        metadata: message_types.RequestMetadata,
    ) -> table_module.Customer | None:
        if not table.needs_key(route):
            return None
        if not self.readiness.is_fresh():
            raise self._make_stale_refusal("keys may be old")
        customer = table.customers_by_key.get(metadata.key)
        if customer is None:
            raise Refused(401, "unknown key")
        return customer

    def _make_stale_refusal(self, cause: str) -> Refused:
        """Make the refusal of a request that needs a current table."""
        return Refused(503, cause, self.readiness.compute_retry_after_ms())

    def _log_cut(self, scope: dict, reply: AsgiReply) -> None:
        """Log the end of a request that was cancelled with its connection."""
        if reply.is_logged:
            return
        if reply.work is None:
            cause = reply.link.explain_loss("connection closed")
            self._log_incomplete(scope, reply, cause)
        elif not reply.work.is_logged:
            self.forwarder.record_cut(reply.work, reply.link.closed_for)

    def _log_incomplete(
        self, scope: dict, reply: AsgiReply, cause: str
    ) -> None:
        reply.is_logged = True
        self.metrics.count("incomplete_requests", cause=cause)
        events.log_event(
            events.Event.REQUEST_INCOMPLETE,
            request=self.dialect.find_id(scope["headers"]),
            cause=cause,
        )

    def _log_refusal(self, scope: dict, refusal: Refused) -> None:
        self.metrics.count("refusals", cause=refusal.cause)
        events.log_event(
            events.Event.REQUEST_REFUSED,
            request=self.dialect.find_id(scope["headers"]),
            status=refusal.status,
            cause=refusal.cause,
            table_age_ms=self.board.compute_table_age_ms(self.clock.boot_ms()),
            revision=self.board.table.revision if self.board.table else 0,
        )


def make_reply(scope: dict, send: Send) -> AsgiReply:
    """Make the reply of an application that redirects no caller."""
    return AsgiReply(send, lambda: False, caller_links.find_link(scope))


def find_age_ms(scope: dict) -> float:
    """Return how long the request has waited to be read, in ms."""
    find = scope.get("state", {}).get(http_server.FIND_AGE_MS)
    return 0.0 if find is None else find()


def make_leaving_refusal() -> Refused:
    """Make the refusal of a request that another entry VM has to serve."""
    return Refused(503, refusals.LEAVING, readiness_module.OTHER_VM_RETRY_MS)


def choose_service(
    route: table_module.Route, metadata: message_types.RequestMetadata
) -> str:
    """Choose a service by hash, so that a session stays with one."""
    key = placement.hash_key(metadata.session or metadata.request_id)
    return route.choose_service(key / 2.0**64)


def check_framing(headers: message_types.Headers) -> None:
    """Refuse a request with ambiguous framing (request smuggling).

    If an endpoint sees the end of the request earlier than this entry VM, the
    rest of the body runs as a second request with the rights of this one.
    """
    names = [name.lower() for name, _ in headers]
    lengths = names.count(b"content-length")
    codings = names.count(b"transfer-encoding")
    if lengths + codings > 1 or names.count(b"host") != 1:
        raise Refused(400, "ambiguous framing or host")


def check_length(
    headers: message_types.Headers, max_bytes: int, kept: body_room.KeptBody
) -> None:
    """Refuse a request whose declared body is too long or finds no room.

    Its body would only be received in vain.
    """
    length = http.find_length(headers) or 0
    if length > max_bytes:
        raise Refused(413, "body too large")
    take_room(kept, length)


def take_room(kept: body_room.KeptBody, length: int) -> None:
    """Take room for a body; raise Refused if there is too little."""
    if not kept.grow(length):
        raise Refused(
            503, "no room for the body", readiness_module.OTHER_VM_RETRY_MS
        )


async def read_body(
    receive: Receive,
    max_bytes: int,
    idle_ms: float,
    kept: body_room.KeptBody,
) -> bytes:
    """Read the whole body of a request.

    Raises Refused if it is longer than ``max_bytes``, if no part of it comes
    for ``idle_ms``, or if there is no room to keep it.
    """
    body = bytearray()
    with trio.CancelScope() as waiting:
        while True:
            waiting.deadline = trio.current_time() + idle_ms / 1000
            message = await receive()
            if message["type"] == "http.disconnect":
                raise CallerLeft()
            body += message.get("body", b"")
            if len(body) > max_bytes:
                raise Refused(413, "body too large")
            take_room(kept, len(body))
            if not message.get("more_body", False):
                return bytes(body)
    raise Refused(408, "body too slow")


async def cancel_on_disconnect(
    receive: Receive, reply: AsgiReply, nursery: trio.Nursery
) -> None:
    """Cancel the request when the caller disconnects.

    A connection that closes after the whole response gives the same ASGI
    message as one closed before it. Cancelling then would log a request that
    was served as abandoned, and count it against its endpoint's version.
    """
    while (await receive())["type"] != "http.disconnect":
        pass
    if not reply.finished:
        nursery.cancel_scope.cancel()


def make_request(scope: dict, body: bytes) -> replies.CallerRequest:
    """Make the request that is forwarded, from its ASGI scope and body."""
    path: bytes = scope["raw_path"]
    query: bytes = scope["query_string"]
    target = scope.get("state", {}).get(http_exchanges.TARGET)
    if target is None:
        target = path + b"?" + query if query else path
    headers = list(scope["headers"])
    host = ""
    with contextlib.suppress(StopIteration):
        host = next(v for n, v in headers if n.lower() == b"host").decode(
            "latin-1"
        )
    return replies.CallerRequest(
        method=scope["method"].encode(),
        target=target,
        host=host.partition(":")[0],
        path=path.decode("latin-1"),
        headers=headers,
        body=body,
    )
