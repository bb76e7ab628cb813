"""The outermost layer of the callers' API.

It counts the requests that are open, so that a planned stop can wait for
the last byte of the last answer; it has callers leave their kept-alive
connections while this entry VM leaves; and it turns what nobody expected
into an answer that promises nothing.
"""

import attrs
from starlette import responses
from starlette import types

from carawayward import blackboard as blackboard_module
from carawayward import errors
from carawayward import events
from carawayward.gateway import replies
from carawayward import supervision

# Callers' headers hold a key, a session token or ticket and little else.
MAX_HEADER_BYTES = 16_384
UNEXPECTED = "an unexpected fault here; it may have run"


@attrs.define(eq=False)
class RequestMiddleware:
    """An ASGI application around the callers' API."""

    inner: types.ASGIApp
    board: blackboard_module.Blackboard
    open_requests: int = 0

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Serve one request, or the server's own start and stop."""
        if scope["type"] != "http":
            await self.inner(scope, receive, send)
            return
        exchange = _Exchange(self.board, send)
        self.open_requests += 1
        try:
            await self._serve(scope, receive, exchange)
        finally:
            self.open_requests -= 1

    async def _serve(
        self, scope: types.Scope, receive: types.Receive, exchange: "_Exchange"
    ) -> None:
        size = sum(len(n) + len(v) for n, v in scope["headers"])
        if size > MAX_HEADER_BYTES:
            fault = errors.BadRequest(
                "headers",
                f"{size} bytes",
                f"send at most {MAX_HEADER_BYTES}",
                status=431,
            )
            reply = replies.make_bad_request(fault)
            await reply(scope, receive, exchange.send)
            return
        try:
            await self.inner(scope, receive, exchange.send)
        except (Exception, BaseExceptionGroup) as fault:
            await self._contain(fault, scope, receive, exchange)

    async def _contain(
        self,
        fault: BaseException,
        scope: types.Scope,
        receive: types.Receive,
        exchange: "_Exchange",
    ) -> None:
        """Keep one request's fault from ending the connection's siblings.

        Uncaught, it would reach the server's nursery. Nothing is known of
        how far the request came, so the answer does not say "not run". A
        cancellation goes on to where it belongs.
        """
        cancelled, rest = supervision.split_cancelled(fault)
        if rest is None or cancelled is not None:
            raise fault
        events.log_event(
            events.Event.FAULT,
            kind=type(rest).__name__,
            detail=supervision.describe_fault(rest),
        )
        if not exchange.started:
            reply = make_internal_error()
            await reply(scope, receive, exchange.send)


@attrs.define(eq=False)
class _Exchange:
    """One reply on its way out."""

    board: blackboard_module.Blackboard
    _send: types.Send
    started: bool = False

    async def send(self, message: types.Message) -> None:
        """Pass a message on; mark the last reply of a connection."""
        if message["type"] == "http.response.start":
            self.started = True
            if self.board.state is blackboard_module.NodeState.LEAVING:
                closing = (b"connection", b"close")
                message["headers"] = [*message["headers"], closing]
        await self._send(message)


def make_internal_error() -> responses.JSONResponse:
    """The reply to a request that met an unexpected fault."""
    return replies.make_problem(
        500, "unexpected fault", UNEXPECTED, not_run=False
    )
