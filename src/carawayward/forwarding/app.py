"""The callers' side of forwarded routes: an ASGI application.

It reads the whole request, judges it by the routing table, and watches for
the caller leaving while the request is served.
"""

import contextlib
import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.decisions import placement
from carawayward import errors
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import exchange
from carawayward.forwarding import facts
from carawayward.forwarding import metrics as metrics_module
from carawayward.forwarding import readiness as readiness_module
from carawayward.forwarding import replies
from carawayward.forwarding import table as table_module
from carawayward.forwarding import work_items

Receive = typing.Callable[[], typing.Awaitable[dict]]
Send = typing.Callable[[dict], typing.Awaitable[None]]

# Refusals that pass by themselves once this entry VM has read the store.
NOT_READY_MS = 500.0


class CallerLeft(Exception):
    """The caller closed its connection."""


class Refused(Exception):
    """A request that gets a status of our own, and has not run."""

    def __init__(
        self, status: int, cause: str, come_back_ms: float | None = None
    ) -> None:
        super().__init__(cause)
        self.status = status
        self.cause = cause
        self.come_back_ms = come_back_ms


@attrs.define(eq=False)
class AsgiReply:
    """A reply over ASGI; ``finished`` once its end has been handed over.

    ``redirects_callers`` says whether the caller's connection is to end with
    it.
    """

    send_event: Send
    redirects_callers: typing.Callable[[], bool]
    begun: bool = False
    finished: bool = False

    async def begin(self, status: int, headers: facts.Headers) -> None:
        """Send status and headers."""
        self.begun = True
        if self.redirects_callers():
            headers = [*headers, (b"connection", b"close")]
        await self.send_event(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [(name.lower(), value) for name, value in headers],
            }
        )

    async def send(self, piece: bytes) -> None:
        """Send a piece of the body."""
        await self._send_body(piece, more=True)

    async def finish(self) -> None:
        """Send the end of the body."""
        self.finished = True
        await self._send_body(b"", more=False)

    async def _send_body(self, piece: bytes, more: bool) -> None:
        await self.send_event(
            {"type": "http.response.body", "body": piece, "more_body": more}
        )


@attrs.define(eq=False)
class ForwardingApp:
    """The ASGI application behind the callers' listener."""

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    dialect: facts.Dialect
    forwarder: exchange.Forwarder
    readiness: readiness_module.Readiness
    metrics: metrics_module.Metrics

    async def __call__(
        self, scope: dict, receive: Receive, send: Send
    ) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        reply = AsgiReply(send, self.readiness.redirects_callers)
        self.board.open_requests += 1
        try:
            await self._serve(scope, receive, reply)
        except Refused as refusal:
            self._log_refusal(scope, refusal)
            await replies.refuse(reply, refusal.status, refusal.come_back_ms)
        except CallerLeft:
            pass
        finally:
            self.board.open_requests -= 1

    async def _serve(
        self, scope: dict, receive: Receive, reply: AsgiReply
    ) -> None:
        began_ms = self.clock.now_ms()
        check_framing(scope["headers"])
        limits = self._find_limits()
        body = await read_body(receive, limits.body_bytes)
        request = make_request(scope, body)
        work = self._judge(request, began_ms)
        served = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cancel_on_leaving, receive, reply, nursery)
            await self.forwarder.serve(work, reply)
            served = True
            nursery.cancel_scope.cancel()
        if not served:
            self.forwarder.record_left(work)

    def _find_limits(self) -> table_module.CallerLimits:
        table = self.board.table
        return table.limits if table else table_module.CallerLimits()

    def _judge(
        self, request: replies.CallerRequest, began_ms: float
    ) -> work_items.Work:
        """Find route and customer; raise Refused."""
        table = self.board.table
        if table is None:
            raise Refused(503, "no routing table yet", NOT_READY_MS)
        if self.board.refusing:
            raise Refused(503, "leaving", readiness_module.ELSEWHERE_MS)
        try:
            known = self.dialect.read_request(request.headers)
        except errors.BadRequest as fault:
            raise Refused(fault.status, str(fault)) from fault
        route = table.find_route(request.host, request.path)
        if route is None:
            # A table that may be out of date cannot say that there is no
            # such route: a newer one may have added it.
            if not self.readiness.is_fresh():
                raise self._refuse_stale("table may be old")
            raise Refused(404, "no such route")
        customer = self._find_customer(table, route, known)
        wait_ms = route.timeout_ms
        if known.deadline_ms is not None:
            wait_ms = min(wait_ms, known.deadline_ms)
        return work_items.Work(
            request=request,
            facts=known,
            route=route,
            service=choose_service(route, known),
            table=table,
            customer=customer,
            began_ms=began_ms,
            deadline_ms=began_ms + wait_ms,
            last_event=known.last_event,
        )

    def _find_customer(
        self,
        table: table_module.RoutingTable,
        route: table_module.Route,
        known: facts.RequestFacts,
    ) -> str:
        if not table.needs_key(route):
            return ""
        if not self.readiness.is_fresh():
            raise self._refuse_stale("keys may be old")
        customer = table.customers_by_key.get(known.key)
        if customer is None:
            raise Refused(401, "unknown key")
        return customer.name

    def _refuse_stale(self, cause: str) -> Refused:
        """Refuse what a proof of the table would be needed for."""
        return Refused(503, cause, self.readiness.compute_retry_after_ms())

    def _log_refusal(self, scope: dict, refusal: Refused) -> None:
        self.metrics.count("refusals", cause=refusal.cause)
        events.log_event(
            events.Event.REQUEST_REFUSED,
            request=self.dialect.find_id(scope["headers"]),
            status=refusal.status,
            cause=refusal.cause,
            table_age_ms=round(
                self.clock.boot_ms() - self.board.table_as_of_ms
            )
            if self.board.table
            else None,
            revision=self.board.table.revision if self.board.table else 0,
        )


def choose_service(
    route: table_module.Route, known: facts.RequestFacts
) -> str:
    """The service for a request; a session stays with one."""
    key = placement.hash_key(known.session or known.request_id)
    return route.choose_service(key / 2.0**64)


def check_framing(headers: facts.Headers) -> None:
    """Refuse a request whose end two readers may see in two places.

    A second request hidden behind the end that an endpoint sees would run
    with the rights of this one.
    """
    names = [name.lower() for name, _ in headers]
    lengths = names.count(b"content-length")
    codings = names.count(b"transfer-encoding")
    if lengths + codings > 1 or names.count(b"host") != 1:
        raise Refused(400, "ambiguous framing or host")


async def read_body(receive: Receive, most: int) -> bytes:
    """The whole body of a request."""
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerLeft()
        body += message.get("body", b"")
        if len(body) > most:
            raise Refused(413, "body too large")
        if not message.get("more_body", False):
            return bytes(body)


async def cancel_on_leaving(
    receive: Receive, reply: AsgiReply, nursery: trio.Nursery
) -> None:
    """Cancel what the caller no longer waits for.

    A connection that closes after its answer says the same as one that is
    left. Cancelled then, a request that was served would be written down,
    and held against its endpoint's version, as if it had not been.
    """
    while (await receive())["type"] != "http.disconnect":
        pass
    if not reply.finished:
        nursery.cancel_scope.cancel()


def make_request(scope: dict, body: bytes) -> replies.CallerRequest:
    """The request as the endpoint is to get it."""
    path: bytes = scope["raw_path"]
    query: bytes = scope["query_string"]
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
