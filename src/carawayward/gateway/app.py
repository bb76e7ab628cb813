"""The HTTP API for callers, as an ASGI application."""

import functools
import typing

import attrs
from starlette import applications
from starlette import exceptions as http_exceptions
from starlette import requests as http_requests
from starlette import responses
from starlette import routing

from carawayward import blackboard as blackboard_module
from carawayward import buffers
from carawayward import caller_links
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
from carawayward import supervision

NO_ROOM_RETRY_MS = 1_000
CANCELLED_CALL = outcomes.Unknown(
    outcomes.Reason.CALLER_LEFT,
    "the caller left while it ran; look before you send it again",
)

Handler = typing.Callable[
    ["CallersApi", http_requests.Request],
    typing.Awaitable[responses.Response],
]


def require_admission(handle: Handler) -> Handler:
    """Reject requests while this entry VM accepts no work.

    An undecorated handler also runs while the node is starting or leaving.
    """

    @functools.wraps(handle)
    async def check_and_handle(
        api: "CallersApi", request: http_requests.Request
    ) -> responses.Response:
        refusal = api.lifecycle.refuse_admission()
        if refusal is not None:
            return make_early_refusal(refusal)
        return await handle(api, request)

    return check_and_handle


@attrs.define
class CallersApi:
    """Request handlers of the callers' API."""

    lifecycle: lifecycle_module.Lifecycle
    signer: tokens.Signer
    once: once_module.OnceGate
    sessions: sessions_module.Sessions
    lookups: lookups_module.Lookups

    @property
    def board(self) -> blackboard_module.Blackboard:
        """This entry VM's view of the deployment."""
        return self.lifecycle.board

    def build(self) -> middleware.RequestMiddleware:
        """Register the peer handlers and return the ASGI application."""
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
                route("/v1/tickets", self.issue_ticket, methods=["POST"]),
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
                errors.NoRoom: _handle_no_room,
                errors.InvalidToken: _handle_invalid_token,
                http_exceptions.HTTPException: _handle_http_exception,
                Exception: _handle_unexpected,
            },
        )
        return middleware.RequestMiddleware(inner, self.board)

    async def show_live(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Liveness check: succeeds whenever the process can answer."""
        return responses.JSONResponse({"live": True, "name": self.board.name})

    async def show_ready(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Readiness check for the platform's load balancer."""
        refusal = self.lifecycle.refuse_admission()
        if refusal is not None:
            # Checks are too frequent for a line in the log each.
            return replies.make_failure(refusal, "")
        assert self.board.config is not None
        return responses.JSONResponse(
            {"ready": True, "revision": self.board.config.revision}
        )

    @require_admission
    async def complete(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Run a completion; the answer is streamed if so requested."""
        customer = self._authenticate(request)
        data = await requests.read_json(
            request, self.lifecycle.settings.limits, self.lifecycle.deadlines
        )
        completion = requests.read_completion(request, data)
        pins: dict[str, str] = {}
        if completion.session:
            pins = await self.sessions.read_pins(completion.session, customer)
        self.lookups.begin(customer.name, completion.request_key)
        return completion_reply.CompletionReply(
            self.lifecycle,
            self.lookups.end_with_outcome,
            customer,
            completion,
            pins,
        )

    @require_admission
    async def open_session(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Open a session pinned to current versions; return its token."""
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

    @require_admission
    async def issue_ticket(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Issue a ticket: permission to run one non-repeatable request."""
        customer = self._authenticate(request)
        ticket, expires_ms = self.once.issue(customer)
        return responses.JSONResponse(
            {"ticket": ticket, "expires_ms": expires_ms}, 201
        )

    async def show_outcome(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Return the outcome of a request, as far as it is known."""
        if self.board.config is None:
            refusal = self.lifecycle.refuse_admission()
            assert refusal is not None
            return make_early_refusal(refusal)
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
        """Call a service; at most once if the operation is not repeatable.

        An early refusal does not say "not run" if the call may be a retry.
        """
        refusal = self.lifecycle.refuse_admission()
        if refusal is not None:
            if requests.may_be_retry(request):
                return make_early_refusal(make_uncertain_refusal(refusal))
            return make_early_refusal(refusal)
        customer = self._authenticate(request)
        data = await requests.read_json(
            request, self.lifecycle.settings.limits, self.lifecycle.deadlines
        )
        share = caller_links.find_link(request.scope).share
        call = attrs.evolve(
            requests.read_service_call(request, data),
            hold=functools.partial(hold_answer, share),
        )
        self.lookups.begin(customer.name, call.request_key)
        try:
            outcome = await self._run_service(customer, call)
        except BaseException as fault:
            # Tasks that are cancelled together raise a group.
            cancelled, _ = supervision.split_cancelled(fault)
            if cancelled is None:
                # It is logged and answered by its handler.
                self.lookups.end(customer.name, call.request_key)
            else:
                self.lookups.end_with_outcome(
                    customer.name, call.request_key, CANCELLED_CALL
                )
            raise
        self.lookups.end_with_outcome(customer.name, call.request_key, outcome)
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


def hold_answer(share: buffers.BufferShare, length: int) -> bool:
    """Account for what is kept of an answer; False if there is no room."""
    return share.hold(buffers.Part.ANSWER, requests.ANSWER_COPIES * length)


def make_early_refusal(
    refusal: outcomes.NotRun | outcomes.Unknown,
) -> responses.Response:
    """Log and answer a request that is refused before it is read."""
    event = events.Event.REQUEST_REFUSED
    if isinstance(refusal, outcomes.Unknown):
        event = events.Event.REQUEST_UNKNOWN
    events.log_event(event, reason=refusal.reason)
    return replies.make_failure(refusal, "")


def make_uncertain_refusal(refusal: outcomes.NotRun) -> outcomes.Unknown:
    """Turn an early refusal of a possible retry into an unknown outcome.

    This entry VM has not run the call, but an earlier attempt through
    another one may have. A caller that is told "not run" may send the call
    again under a new ticket or key, which could run it twice.
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
    """Reply to a malformed request."""
    assert isinstance(fault, errors.BadRequest)
    return replies.make_bad_request(fault)


async def handle_not_authenticated(
    request: http_requests.Request, fault: Exception
) -> responses.Response:
    """Reply 401 to a request without a valid key."""
    events.log_event(events.Event.REQUEST_UNPROVEN, what="key")
    return replies.make_problem(
        401, "not authenticated", str(fault), not_run=True
    )


async def _handle_no_room(
    request: http_requests.Request, fault: Exception
) -> responses.Response:
    """Refuse a request that has not been read; an earlier one may have."""
    refusal = outcomes.NotRun(
        outcomes.Reason.OVERLOADED, "send it again later", NO_ROOM_RETRY_MS
    )
    if requests.may_be_retry(request):
        return make_early_refusal(make_uncertain_refusal(refusal))
    return make_early_refusal(refusal)


async def _handle_invalid_token(
    request: http_requests.Request, fault: Exception
) -> responses.Response:
    events.log_event(events.Event.REQUEST_UNPROVEN, what="token")
    return replies.make_problem(400, "invalid token", str(fault), not_run=True)


async def _handle_http_exception(
    request: http_requests.Request, fault: Exception
) -> responses.Response:
    """Report an unknown path or method as an RFC 9457 problem."""
    assert isinstance(fault, http_exceptions.HTTPException)
    reply = replies.make_problem(
        fault.status_code,
        fault.detail.lower(),
        "see docs/openapi.yaml for the paths and methods there are",
        not_run=True,
    )
    reply.headers.update(fault.headers or {})
    return reply


async def _handle_unexpected(
    request: http_requests.Request, fault: Exception
) -> responses.Response:
    return middleware.make_internal_error()
