"""ASGI middleware around the APIs for callers and operators.

It counts open requests, so that a planned stop can wait until the last byte
of the last answer has been sent. It closes keep-alive connections while this
entry VM is leaving. It turns unexpected exceptions into a reply that does
not claim that the request was not run.
"""

import attrs
from starlette import responses
from starlette import types

from carawayward import blackboard as blackboard_module
from carawayward import buffers
from carawayward import caller_links
from carawayward import errors
from carawayward import events
from carawayward.gateway import replies
from carawayward import supervision

# Callers send little more than an API key and a session token or ticket.
MAX_HEADER_BYTES = 16_384
INTERNAL_ERROR_DETAIL = "an unexpected fault here; it may have run"


@attrs.define(eq=False)
class RequestMiddleware:
    """Wraps an ASGI application; ``open_requests`` are being served."""

    inner: types.ASGIApp
    board: blackboard_module.Blackboard
    open_requests: int = 0

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Serve one request; pass other ASGI scopes such as lifespan on."""
        if scope["type"] != "http":
            await self.inner(scope, receive, send)
            return
        exchange = _Exchange(self.board, send)
        self.open_requests += 1
        try:
            await self._serve(scope, receive, exchange)
        finally:
            self.open_requests -= 1
            link = caller_links.find_link(scope)
            for part in (buffers.Part.BODY, buffers.Part.ANSWER):
                link.share.hold(part, 0)

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
            await self._handle_exception(fault, scope, receive, exchange)

    async def _handle_exception(
        self,
        fault: BaseException,
        scope: types.Scope,
        receive: types.Receive,
        exchange: "_Exchange",
    ) -> None:
        """Log an exception and reply 500 if no reply has begun.

        Uncaught, it would reach the server's nursery and end other requests
        too. How far the request got is unknown, so the reply does not say
        "not run". Cancellations are raised again.
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
    """Sends one reply; ``started`` once its status has been sent."""

    board: blackboard_module.Blackboard
    _send: types.Send
    started: bool = False

    async def send(self, message: types.Message) -> None:
        """Send a message; add "Connection: close" while leaving."""
        if message["type"] == "http.response.start":
            self.started = True
            if self.board.state is blackboard_module.NodeState.LEAVING:
                close_header = (b"connection", b"close")
                message["headers"] = [*message["headers"], close_header]
        await self._send(message)


def make_internal_error() -> responses.JSONResponse:
    """Make the reply to a request that failed with an unexpected error."""
    return replies.make_problem(
        500, "unexpected fault", INTERNAL_ERROR_DETAIL, not_run=False
    )
