"""The callers' API as an ASGI application."""

import functools
import typing

import attrs
from starlette import applications
from starlette import exceptions as http_exceptions
from starlette import requests as http_requests
from starlette import responses
from starlette import routing

from carawayward import blackboard as blackboard_module
from carawayward import declaration
from carawayward import errors
from carawayward import events
from carawayward.gateway import completion_reply
from carawayward.gateway import lifecycle as lifecycle_module
from carawayward.gateway import lookups as lookups_module
from carawayward.gateway import middleware
from carawayward.gateway import once as once_module
from carawayward.gateway import replies
from carawayward.gateway import requests
from carawayward.gateway import sessions as sessions_module
from carawayward import outcomes
from carawayward.protocol import tokens

Handler = typing.Callable[
    ["CallersApi", http_requests.Request],
    typing.Awaitable[responses.Response],
]


def refuse_first(handle: Handler) -> Handler:
    """Answer at once while this entry VM takes no work.

    A handler without it would run on a node that is starting or leaving.
    """

    @functools.wraps(handle)
    async def refuse_or_handle(
        api: "CallersApi", request: http_requests.Request
    ) -> responses.Response:
        refusal = api.lifecycle.refuse_admission()
        if refusal is not None:
            return replies.make_failure(refusal, "")
        return await handle(api, request)

    return refuse_or_handle


@attrs.define
class CallersApi:
    """Handlers of the callers' API."""

    lifecycle: lifecycle_module.Lifecycle
    signer: tokens.Signer
    once: once_module.OnceGate
    sessions: sessions_module.Sessions
    lookups: lookups_module.Lookups

    @property
    def board(self) -> blackboard_module.Blackboard:
        """What this entry VM believes."""
        return self.lifecycle.board

    def build(self) -> middleware.RequestMiddleware:
        """Make the ASGI application."""
        route = routing.Route
        self.once.listen(self._run_service)
        self.sessions.listen()
        self.lookups.listen()
        inner = applications.Starlette(
            routes=[
                route("/healthz", self.show_live),
                route("/readyz", self.show_ready),
                route("/v1/chat/completions", self.complete, methods=["POST"]),
                route("/v1/sessions", self.open_session, methods=["POST"]),
                route("/v1/tickets", self.take_ticket, methods=["POST"]),
                route("/v1/requests/{key}", self.show_outcome),
                route(
                    "/v1/services/{service}/{operation}",
                    self.call_service,
                    methods=["POST"],
                ),
            ],
            exception_handlers={
                errors.BadRequest: handle_bad_request,
                errors.NotAuthenticated: handle_not_authenticated,
                errors.InvalidToken: _show_invalid_token,
                http_exceptions.HTTPException: _show_http_fault,
                Exception: _show_unexpected,
            },
        )
        return middleware.RequestMiddleware(inner, self.board)

    async def show_live(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Liveness: the process answers."""
        return responses.JSONResponse({"live": True, "name": self.board.name})

    @refuse_first
    async def show_ready(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Readiness, for the platform's balancer."""
        assert self.board.config is not None
        return responses.JSONResponse(
            {"ready": True, "revision": self.board.config.revision}
        )

    @refuse_first
    async def complete(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Answer a completion, streamed or whole."""
        customer = self._authenticate(request)
        limits = self.lifecycle.settings.limits
        data = await requests.read_json(request, limits)
        completion = requests.read_completion(request, data)
        pins: dict[str, str] = {}
        if completion.session:
            pins = await self.sessions.read_pins(completion.session, customer)
        self.lookups.begin(customer.name, completion.request_key)
        return completion_reply.CompletionReply(
            self.lifecycle, self.lookups.conclude, customer, completion, pins
        )

    @refuse_first
    async def open_session(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Pin the customer's models for a session and return its token."""
        customer = self._authenticate(request)
        session = self.sessions.open(customer)
        token = self.signer.sign(session)
        return responses.JSONResponse(
            {
                "session": session.session_id,
                "token": token,
                "versions": session.pins,
            },
            201,
            {"Carawayward-Session": token},
        )

    @refuse_first
    async def take_ticket(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Issue the right to run one request that may not be repeated."""
        customer = self._authenticate(request)
        ticket, expires_ms = self.once.issue(customer)
        return responses.JSONResponse(
            {"ticket": ticket, "expires_ms": expires_ms}, 201
        )

    async def show_outcome(
        self, request: http_requests.Request
    ) -> responses.Response:
        """What became of a request, as far as it can be found out."""
        if self.board.config is None:
            refusal = self.lifecycle.refuse_admission()
            assert refusal is not None
            return replies.make_failure(refusal, "")
        customer = self._authenticate(request)
        key = request.path_params["key"]
        found = await self.lookups.find(customer.name, key)
        if found is None:
            return replies.make_problem(
                404,
                "not known",
                "no entry VM that answers has seen the request; it may have "
                "run on one that is gone",
                outcome="not-known",
            )
        return responses.JSONResponse(found)

    async def call_service(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Call a plain service, at most once if it may not be repeated."""
        refusal = self.lifecycle.refuse_admission()
        if refusal is not None:
            if requests.may_be_retry(request):
                return replies.make_failure(doubt_refusal(refusal), "")
            return replies.make_failure(refusal, "")
        customer = self._authenticate(request)
        limits = self.lifecycle.settings.limits
        data = await requests.read_json(request, limits)
        call = requests.read_service_call(request, data)
        self.lookups.begin(customer.name, call.request_key)
        try:
            outcome = await self._run_service(customer, call)
        finally:
            self.lookups.end(customer.name, call.request_key)
        self.lookups.note(customer.name, call.request_key, outcome)
        if isinstance(outcome, outcomes.Answered):
            return responses.JSONResponse(
                outcome.text,
                headers={"Carawayward-Request": call.request_key},
            )
        return replies.make_failure(outcome, call.request_key)

    async def _run_service(
        self, customer: declaration.Customer, call: requests.ServiceCall
    ) -> outcomes.Outcome:
        config = self.board.config
        assert config is not None
        service = config.services.get(call.service)
        if service is None or service.name not in customer.services:
            return outcomes.NotRun(
                outcomes.Reason.NOT_ALLOWED,
                f"name one of your services: {', '.join(customer.services)}",
            )
        operation = next(
            (o for o in service.operations if o.name == call.operation), None
        )
        if operation is None:
            names = ", ".join(o.name for o in service.operations)
            return outcomes.NotRun(
                outcomes.Reason.NOT_ALLOWED, f"name one of: {names}"
            )
        if operation.repeatable:
            return await self.lifecycle.call_service(
                customer, call, operation, service.pool
            )
        return await self.once.run(customer, call, operation, service.pool)

    def _authenticate(
        self, request: http_requests.Request
    ) -> declaration.Customer:
        scheme, _, key = request.headers.get("Authorization", "").partition(
            " "
        )
        config = self.board.config
        assert config is not None
        digest = declaration.digest_key(key)
        customer = config.customers_by_digest.get(digest)
        if scheme.lower() != "bearer" or customer is None:
            raise errors.NotAuthenticated(
                'send "Authorization: Bearer KEY" with a key that the '
                "configuration in force knows"
            )
        return customer


def doubt_refusal(refusal: outcomes.NotRun) -> outcomes.Unknown:
    """What an early refusal says of a call that may have run elsewhere.

    This entry VM has not run it, but an attempt through another one may
    have; its caller would take "not run" for leave to send it anew.
    """
    return outcomes.Unknown(
        refusal.reason,
        f"{refusal.remedy}, under the same ticket or key; an earlier attempt "
        "may have run",
        refusal.retry_after_ms,
    )


async def handle_bad_request(
    request: http_requests.Request, fault: Exception
) -> responses.Response:
    assert isinstance(fault, errors.BadRequest)
    return replies.make_bad_request(fault)


async def handle_not_authenticated(
    request: http_requests.Request, fault: Exception
) -> responses.Response:
    """The reply to whoever did not prove who it is."""
    events.log_event(events.Event.REQUEST_UNPROVEN, what="key")
    return replies.make_problem(
        401, "not authenticated", str(fault), not_run=True
    )


async def _show_invalid_token(
    request: http_requests.Request, fault: Exception
) -> responses.Response:
    events.log_event(events.Event.REQUEST_UNPROVEN, what="token")
    return replies.make_problem(400, "invalid token", str(fault), not_run=True)


async def _show_http_fault(
    request: http_requests.Request, fault: Exception
) -> responses.Response:
    """An unknown path or method, in the form of all other refusals."""
    assert isinstance(fault, http_exceptions.HTTPException)
    reply = replies.make_problem(
        fault.status_code,
        fault.detail.lower(),
        "see docs/openapi.yaml for the paths and methods there are",
        not_run=True,
    )
    reply.headers.update(fault.headers or {})
    return reply


async def _show_unexpected(
    request: http_requests.Request, fault: Exception
) -> responses.Response:
    return middleware.make_internal_error()
