"""Callers' requests, checked once at the border."""

import json
import secrets
import typing

import attrs
from starlette import requests as http_requests
import trio

from carawayward import errors
from carawayward import settings as settings_module

MAX_KEY_LENGTH = 200
MAX_TOKENS = 32_768
MAX_MESSAGES = 1_000
MAX_DEPTH = 32


@attrs.frozen(kw_only=True)
class Completion:
    """A checked request for a completion."""

    request_key: str
    task: str
    messages: list[dict]
    stream: bool
    max_tokens: int
    session: str
    deadline_ms: int | None


@attrs.frozen(kw_only=True)
class ServiceCall:
    """A checked call of a plain service.

    ``made_ms`` is when the caller made its own key, ``arrived_ms`` when the
    call reached the first entry VM (wall clocks).
    ``may_send`` is asked right before the first byte of a call that may not
    be repeated.
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
    may_send: typing.Callable[[], bool] = attrs.field(
        default=lambda: True, eq=False, repr=False
    )


async def read_json(
    request: http_requests.Request, limits: settings_module.Limits
) -> dict:
    """Read a JSON object within bounds of size, time and depth."""
    body = bytearray()
    try:
        with trio.fail_after(limits.body_timeout_ms / 1000):
            async for chunk in request.stream():
                body += chunk
                if len(body) > limits.max_body_bytes:
                    raise errors.BadRequest(
                        "body",
                        f"more than {limits.max_body_bytes} bytes",
                        "send a smaller one",
                        status=413,
                    )
    except trio.TooSlowError:
        raise errors.BadRequest(
            "body", "too slow", "send the body without pauses", status=408
        ) from None
    except http_requests.ClientDisconnect:
        raise errors.BadRequest(
            "body", "cut off", "send the whole body"
        ) from None
    return parse_json(body)


def parse_json(body: bytes | bytearray) -> dict:
    """Parse a JSON object; what is no such thing raises BadRequest."""
    try:
        data = json.loads(body.decode(), parse_constant=_refuse_constant)
        # Text with half a surrogate pair has no UTF-8, so that whatever
        # encodes it later would fail.
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
    check_depth(data)
    return data


def _refuse_constant(name: str) -> typing.NoReturn:
    raise ValueError(f"{name} is not JSON")


def check_depth(data: object) -> None:
    """Check how deep objects and lists stand in one another.

    Whatever walks such a value by recursion would run out of stack.
    """
    level: list[object] = [data]
    for _ in range(MAX_DEPTH):
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
        "body", "deep nesting", f"nest at most {MAX_DEPTH} levels"
    )


def read_key(request: http_requests.Request) -> str:
    """The caller's key for this request, or a fresh one."""
    key = request.headers.get("Idempotency-Key", "")
    plain = key.isascii() and key.isprintable()
    if len(key) > MAX_KEY_LENGTH or not plain:
        raise errors.BadRequest(
            "Idempotency-Key",
            f"{len(key)} characters",
            f"use at most {MAX_KEY_LENGTH} printable ASCII characters",
        )
    return key or f"req-{secrets.token_hex(12)}"


def read_service_call(
    request: http_requests.Request, data: dict
) -> ServiceCall:
    """Check a service call's headers."""
    made_ms = read_made_at(request)
    if made_ms is not None and not request.headers.get("Idempotency-Key"):
        raise errors.BadRequest(
            "Idempotency-Key",
            "nothing",
            "send the key that Carawayward-Key-Made-At speaks of",
        )
    return ServiceCall(
        request_key=read_key(request),
        service=request.path_params["service"],
        operation=request.path_params["operation"],
        body=data,
        ticket=request.headers.get("Carawayward-Ticket", ""),
        made_ms=made_ms,
        first_attempt=request.headers.get("Carawayward-Attempt") == "1",
        deadline_ms=read_deadline(request),
    )


def may_be_retry(request: http_requests.Request) -> bool:
    """Whether an earlier attempt of a once-only call may have run.

    A caller that states its first attempt rules that out.
    """
    named = any(
        request.headers.get(name)
        for name in ("Carawayward-Ticket", "Carawayward-Key-Made-At")
    )
    return named and request.headers.get("Carawayward-Attempt") != "1"


def read_made_at(request: http_requests.Request) -> int | None:
    """When the caller made its key, in ms since the epoch, if it says so."""
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
    """Check a completion's body and headers."""
    return Completion(
        request_key=read_key(request),
        task=check_kind("model", data.get("model"), str),
        messages=check_messages(data.get("messages")),
        stream=check_kind("stream", data.get("stream", False), bool),
        max_tokens=check_range(
            "max_tokens", data.get("max_tokens", 512), 1, MAX_TOKENS
        ),
        session=request.headers.get("Carawayward-Session", ""),
        deadline_ms=read_deadline(request),
    )


def read_deadline(request: http_requests.Request) -> int | None:
    """The caller's deadline in milliseconds from now, if it gave one."""
    text = request.headers.get("Carawayward-Deadline-Ms")
    if text is None:
        return None
    if not text.isdecimal() or not 0 < int(text[:12]):
        raise errors.BadRequest(
            "Carawayward-Deadline-Ms", text[:40], "send milliseconds above 0"
        )
    return int(text[:12])


def check_messages(messages: object) -> list[dict]:
    """Check a conversation."""
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


def check_kind(field: str, value: object, kind: type) -> typing.Any:
    """Check the type of a field."""
    if not isinstance(value, kind):
        raise errors.BadRequest(
            field, type(value).__name__, f"send a {kind.__name__}"
        )
    return value


def check_range(field: str, value: object, least: int, most: int) -> int:
    """Check a whole number's bounds."""
    if type(value) is not int or not least <= value <= most:
        raise errors.BadRequest(
            field,
            str(value)[:40],
            f"send a whole number from {least} to {most}",
        )
    return value
