"""The platform's headers, read and written."""

import contextlib
import typing

from carawayward import errors
from carawayward.forwarding import message_types

REQUEST_ID = b"carawayward-attempt-id"
DEADLINE = b"carawayward-deadline-ms"
KEY = b"carawayward-key"
MODEL = b"carawayward-model"
# Tokens of the prompt, then the most tokens of the answer.
TOKENS = b"carawayward-token-count"
PREFIX = b"carawayward-prefix-hash"
SESSION = b"session"
LAST_EVENT = b"last-event-id"
SEAL = b"carawayward-server-seal"
DECLINED = b"carawayward-not-executed"
CONFIDENCE = b"carawayward-confidence"
INSTANCE = b"carawayward-expect-instance"
CUSTOMER = b"carawayward-tenant"
URGENCY = b"carawayward-request-priority"

# Only the system may set these; what a caller sends of them is dropped.
SYSTEM_HEADERS = frozenset(
    (
        KEY,
        DEADLINE,
        INSTANCE,
        CUSTOMER,
        URGENCY,
        b"carawayward-expect-version",
        b"carawayward-pin-ms",
        b"carawayward-hold",
        b"carawayward-kv-backup",
        b"kv-from",
        b"kv-fetch",
    )
)
MISDIRECTED = 421


def read_request(
    headers: message_types.Headers,
) -> message_types.RequestMetadata:
    """What a caller's headers say; raise BadRequest if they cannot be read."""
    found = {name.lower(): value for name, value in headers}
    request_id = _text(found, REQUEST_ID)
    if not request_id:
        raise errors.BadRequest(
            REQUEST_ID.decode(), "", "give each attempt an id"
        )
    tokens = _numbers(found, TOKENS)
    return message_types.RequestMetadata(
        request_id=request_id,
        deadline_ms=_number(found, DEADLINE),
        key=_text(found, KEY),
        session=_text(found, SESSION),
        model=_text(found, MODEL),
        prompt_tokens=int(tokens[0]) if tokens else 0,
        output_tokens=int(tokens[1]) if len(tokens) > 1 else 0,
        prompt=_read_prefix(_text(found, PREFIX)),
        last_event=_whole(found, LAST_EVENT),
    )


def find_id(headers: message_types.Headers) -> str:
    """A request's id, empty if it has none."""
    return _text({n.lower(): v for n, v in headers}, REQUEST_ID)


def write_request(
    headers: message_types.Headers, dispatch: message_types.DispatchMetadata
) -> message_types.Headers:
    """A caller's headers as they go to an endpoint."""
    replaced = set(SYSTEM_HEADERS)
    added: message_types.Headers = [
        (b"Carawayward-Deadline-Ms", b"%d" % dispatch.remaining_ms),
        (b"Carawayward-Expect-Instance", dispatch.instance.encode()),
    ]
    if dispatch.customer:
        added.append((b"Carawayward-Tenant", dispatch.customer.encode()))
    if dispatch.model:
        replaced.add(MODEL)
        added.append((b"Carawayward-Model", dispatch.model.encode()))
    if dispatch.last_event is not None:
        replaced.add(LAST_EVENT)
        added.append((b"Last-Event-Id", b"%d" % dispatch.last_event))
    if dispatch.urgency is not None:
        added.append(
            (b"Carawayward-Request-Priority", b"%d" % dispatch.urgency)
        )
    kept = [pair for pair in headers if pair[0].lower() not in replaced]
    return kept + added


def read_response(
    status: int, headers: message_types.Headers
) -> message_types.ResponseMetadata:
    """What an endpoint's headers say."""
    found = {name.lower(): value for name, value in headers}
    return message_types.ResponseMetadata(
        request_id=_text(found, REQUEST_ID),
        # A process that has taken over the address of another says so by
        # this status, and has not run the request.
        declined=DECLINED in found or status == MISDIRECTED,
        signed=SEAL in found,
        confidence=_number(found, CONFIDENCE),
    )


DIALECT = message_types.Dialect(
    find_id=find_id,
    read_request=read_request,
    write_request=write_request,
    read_response=read_response,
)


def _text(found: typing.Mapping[bytes, bytes], name: bytes) -> str:
    return found.get(name, b"").decode("latin-1").strip()


def _number(found: typing.Mapping[bytes, bytes], name: bytes) -> float | None:
    with contextlib.suppress(ValueError):
        value = float(_text(found, name))
        return value if value >= 0 else None
    return None


def _whole(found: typing.Mapping[bytes, bytes], name: bytes) -> int | None:
    text = _text(found, name)
    return int(text) if text.isdecimal() else None


def _numbers(found: typing.Mapping[bytes, bytes], name: bytes) -> list[float]:
    with contextlib.suppress(ValueError):
        text = _text(found, name)
        return [float(part) for part in text.split(",")] if text else []
    return []


def _read_prefix(text: str) -> tuple[message_types.PromptPart, ...]:
    """ID:TOKENS entries; one that cannot be read ends the list."""
    parts = []
    for entry in text.split(",") if text else ():
        name, _, tokens = entry.strip().partition(":")
        if not name or not tokens.isdecimal():
            break
        parts.append(message_types.PromptPart(name, int(tokens)))
    return tuple(parts)
