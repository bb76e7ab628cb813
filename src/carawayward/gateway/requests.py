"""Parses and validates callers' requests."""

import json
import secrets
import typing

import attrs
from starlette import requests as http_requests

from carawayward import buffers
from carawayward import caller_links
from carawayward import deadlines as deadlines_module
from carawayward import errors
from carawayward import http_client as http
from carawayward import settings as settings_module

MAX_KEY_LENGTH = 200
MAX_TOKENS = 32_768
MAX_MESSAGES = 1_000
MAX_NESTING = 32
# The bytes of a body, their text, the values in it, and what an endpoint gets.
COPIES = 4
# The bytes of an answer, their text and the values in it.
ANSWER_COPIES = 3


@attrs.frozen(kw_only=True)
class Completion:
    """A validated request for a completion."""

    request_key: str
    task: str
    messages: list[dict]
    stream: bool
    max_tokens: int
    session: str
    deadline_ms: int | None


@attrs.frozen(kw_only=True)
class ServiceCall:
    """A validated call of a service.

    ``made_ms`` is when the caller made its own key, ``arrived_ms`` when the
    call reached the first entry VM (both wall clock). ``hold`` accounts for
    what is kept of the answer. ``may_send`` is called
    right before the first byte of a non-repeatable call is sent.
    """

    request_key: str
    service: str
    operation: str
    body: typing.Any
    ticket: str
    made_ms: int | None = None
    first_attempt: bool = False
    deadline_ms: int | None = None
    arrived_ms: int | None = None
    hold: http.Hold = attrs.field(default=http.hold_any, eq=False, repr=False)
    may_send: typing.Callable[[], bool] = attrs.field(
        default=lambda: True, eq=False, repr=False
    )


async def read_json(
    request: http_requests.Request,
    limits: settings_module.Limits,
    deadlines: deadlines_module.Deadlines,
) -> dict:
    """Read a JSON object, limited in size, time and nesting depth.

    Raises NoRoom if there is none to keep it.
    """
    body = bytearray()
    share = caller_links.find_link(request.scope).share
    try:
        with deadlines.limit(limits.body_timeout_ms) as scope:
            async for chunk in request.stream():
                body += chunk
                if len(body) > limits.max_body_bytes:
                    raise errors.BadRequest(
                        "body",
                        f"more than {limits.max_body_bytes} bytes",
                        "send a smaller one",
                        status=413,
                    )
                if not share.hold(buffers.Part.BODY, COPIES * len(body)):
                    raise errors.NoRoom()
    except http_requests.ClientDisconnect:
        raise errors.BadRequest(
            "body", "cut off", "send the whole body"
        ) from None
    if scope.cancelled_caught:
        raise errors.BadRequest(
            "body", "too slow", "send the body without pauses", status=408
        )
    return parse_json(body)


def parse_json(body: bytes | bytearray) -> dict:
    """Parse a JSON object; raise BadRequest for anything else."""
    try:
        data = json.loads(body.decode(), parse_constant=_reject_constant)
        # A lone surrogate cannot be encoded in UTF-8; reject it here rather
        # than fail wherever the text is encoded later.
        if b"\\ud" in body.lower():
            json.dumps(data, ensure_ascii=False).encode()
    except (ValueError, RecursionError):
        raise errors.BadRequest(
            "body", "not JSON", "send a JSON object in UTF-8"
        ) from None
    if not isinstance(data, dict):
        raise errors.BadRequest(
            "body", type(data).__name__, "send a JSON object"
        )
    validate_depth(data)
    return data


def _reject_constant(name: str) -> typing.NoReturn:
    raise ValueError(f"{name} is not JSON")


def validate_depth(data: object) -> None:
    """Reject deeply nested objects and lists.

    Code that traverses such a value recursively would exhaust the stack.
    """
    level: list[object] = [data]
    for _ in range(MAX_NESTING):
        level = [
            inner
            for value in level
            for inner in (
                value.values()
                if isinstance(value, dict)
                else value
                if isinstance(value, list)
                else ()
            )
            if isinstance(inner, (dict, list))
        ]
        if not level:
            return
    raise errors.BadRequest(
        "body", "deep nesting", f"nest at most {MAX_NESTING} levels"
    )


def read_request_key(request: http_requests.Request) -> str:
    """Return the caller's key for this request, or a random one."""
    key = request.headers.get("Idempotency-Key", "")
    printable = key.isascii() and key.isprintable()
    if len(key) > MAX_KEY_LENGTH or not printable:
        raise errors.BadRequest(
            "Idempotency-Key",
            f"{len(key)} characters",
            f"use at most {MAX_KEY_LENGTH} printable ASCII characters",
        )
    return key or f"req-{secrets.token_hex(12)}"


def read_service_call(
    request: http_requests.Request, data: dict
) -> ServiceCall:
    """Build a service call from the path, body and validated headers."""
    made_ms = read_key_made_at(request)
    if made_ms is not None and not request.headers.get("Idempotency-Key"):
        raise errors.BadRequest(
            "Idempotency-Key",
            "nothing",
            "send the key that Carawayward-Key-Made-At speaks of",
        )
    return ServiceCall(
        request_key=read_request_key(request),
        service=request.path_params["service"],
        operation=request.path_params["operation"],
        body=data,
        ticket=request.headers.get("Carawayward-Ticket", ""),
        made_ms=made_ms,
        first_attempt=request.headers.get("Carawayward-Attempt") == "1",
        deadline_ms=read_deadline(request),
    )


def may_be_retry(request: http_requests.Request) -> bool:
    """Whether an earlier attempt of an at-most-once call may have run.

    A caller rules that out by stating that this is its first attempt.
    """
    has_ticket_or_key = any(
        request.headers.get(name)
        for name in ("Carawayward-Ticket", "Carawayward-Key-Made-At")
    )
    return (
        has_ticket_or_key and request.headers.get("Carawayward-Attempt") != "1"
    )


def read_key_made_at(request: http_requests.Request) -> int | None:
    """Return when the caller made its key, in ms since the epoch, if given."""
    text = request.headers.get("Carawayward-Key-Made-At")
    if text is None:
        return None
    if not text.isdecimal() or len(text) > 15:
        raise errors.BadRequest(
            "Carawayward-Key-Made-At",
            text[:40],
            "send milliseconds since the epoch",
        )
    return int(text)


def read_completion(request: http_requests.Request, data: dict) -> Completion:
    """Validate a completion's body and headers."""
    return Completion(
        request_key=read_request_key(request),
        task=validate_type("model", data.get("model"), str),
        messages=validate_messages(data.get("messages")),
        stream=validate_type("stream", data.get("stream", False), bool),
        max_tokens=validate_range(
            "max_tokens", data.get("max_tokens", 512), 1, MAX_TOKENS
        ),
        session=request.headers.get("Carawayward-Session", ""),
        deadline_ms=read_deadline(request),
    )


def read_deadline(request: http_requests.Request) -> int | None:
    """Return the caller's deadline in milliseconds from now, if given."""
    text = request.headers.get("Carawayward-Deadline-Ms")
    if text is None:
        return None
    if not text.isdecimal() or not 0 < int(text[:12]):
        raise errors.BadRequest(
            "Carawayward-Deadline-Ms", text[:40], "send milliseconds above 0"
        )
    return int(text[:12])


def validate_messages(messages: object) -> list[dict]:
    """Validate the messages of a conversation."""
    if not isinstance(messages, list) or not messages:
        raise errors.BadRequest(
            "messages", type(messages).__name__, "send a list of messages"
        )
    if len(messages) > MAX_MESSAGES:
        raise errors.BadRequest(
            "messages", len(messages), f"send at most {MAX_MESSAGES}"
        )
    for index, message in enumerate(messages):
        well_formed = (
            isinstance(message, dict)
            and isinstance(message.get("role"), str)
            and isinstance(message.get("content"), str)
        )
        if not well_formed:
            raise errors.BadRequest(
                f"messages[{index}]",
                "a malformed message",
                'send an object with the texts "role" and "content"',
            )
    return messages


def validate_type(field: str, value: object, kind: type) -> typing.Any:
    """Validate the type of a field."""
    if not isinstance(value, kind):
        raise errors.BadRequest(
            field, type(value).__name__, f"send a {kind.__name__}"
        )
    return value


def validate_range(
    field: str, value: object, minimum: int, maximum: int
) -> int:
    """Validate an integer and its bounds."""
    if type(value) is not int or not minimum <= value <= maximum:
        raise errors.BadRequest(
            field,
            str(value)[:40],
            f"send a whole number from {minimum} to {maximum}",
        )
    return value
