"""Parses and writes the platform's headers."""

import contextlib
import math
import time
import typing

from carawayward import errors
from carawayward.forwarding import message_types

REQUEST_ID = b"carawayward-attempt-id"
DEADLINE = b"carawayward-deadline-ms"
KEY = b"carawayward-key"
MODEL = b"carawayward-model"
# Tokens of the prompt, then the maximum number of tokens of the answer.
TOKEN_COUNT = b"carawayward-token-count"
PREFIX_HASH = b"carawayward-prefix-hash"
SESSION = b"session"
LAST_EVENT = b"last-event-id"
SERVER_SEAL = b"carawayward-server-seal"
NOT_EXECUTED = b"carawayward-not-executed"
CONFIDENCE = b"carawayward-confidence"
SERVER_LIMIT = b"server-limit"
SERVER_LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
INSTANCE = b"carawayward-instance-id"
EXPECT_INSTANCE = b"carawayward-expect-instance"
CUSTOMER = b"carawayward-tenant"
REQUEST_PRIORITY = b"carawayward-request-priority"

# Only the system may set these; they are removed from callers' requests.
SYSTEM_HEADERS = frozenset(
    (
        KEY,
        DEADLINE,
        EXPECT_INSTANCE,
        CUSTOMER,
        REQUEST_PRIORITY,
        b"carawayward-expect-version",
        b"carawayward-pin-ms",
        b"carawayward-hold",
        b"carawayward-kv-backup",
        b"kv-from",
        b"kv-fetch",
    )
)
MISDIRECTED = 421
# Larger than any number in a header; floats represent all whole numbers below
# it, and texts of as many digits are quickly converted.
MAX_VALUE = 2.0**53
MAX_DIGITS = 15
# Statuses with which an endpoint may ask for a pause.
OVERLOADED = frozenset((429, 503))


def read_request(
    headers: message_types.Headers,
) -> message_types.RequestMetadata:
    """Parse a caller's headers; raise BadRequest if the id is missing."""
    values = {name.lower(): value for name, value in headers}
    request_id = _get_text(values, REQUEST_ID)
    if not request_id:
        raise errors.BadRequest(
            REQUEST_ID.decode(), "", "give each attempt an id"
        )
    tokens = _get_numbers(values, TOKEN_COUNT)
    return message_types.RequestMetadata(
        request_id=request_id,
        deadline_ms=_get_number(values, DEADLINE),
        key=_get_text(values, KEY),
        session=_get_text(values, SESSION),
        model=_get_text(values, MODEL),
        prompt_tokens=int(tokens[0]) if tokens else 0,
        output_tokens=int(tokens[1]) if len(tokens) > 1 else 0,
        prompt=_parse_prefix(_get_text(values, PREFIX_HASH)),
        last_event=_get_integer(values, LAST_EVENT),
    )


def find_id(headers: message_types.Headers) -> str:
    """The id of a request; empty if it has none."""
    return _get_text({n.lower(): v for n, v in headers}, REQUEST_ID)


def write_request(
    headers: message_types.Headers, dispatch: message_types.DispatchMetadata
) -> message_types.Headers:
    """The headers of a request as sent to an endpoint."""
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
    """Parse an endpoint's headers."""
    values = {name.lower(): value for name, value in headers}
    request_id = _get_text(values, REQUEST_ID)
    if status == MISDIRECTED:
        # A process that has taken over the address of another does not run
        # the request, and nothing that it says is about the other.
        return message_types.ResponseMetadata(
            request_id=request_id,
            declined=True,
            instance=_get_text(values, INSTANCE),
        )
    request_limit = _get_lowest(headers, SERVER_LIMIT)
    return message_types.ResponseMetadata(
        request_id=request_id,
        declined=NOT_EXECUTED in values,
        signed=SERVER_SEAL in values,
        confidence=_get_number(values, CONFIDENCE),
        request_limit=request_limit,
        limit_malformed=request_limit is None and SERVER_LIMIT in values,
        leaving=_get_text(values, SERVER_LEAVING) == "1",
        rest_ms=_parse_delay_ms(_get_text(values, RETRY_AFTER))
        if status in OVERLOADED
        else 0.0,
    )


DIALECT = message_types.Dialect(
    find_id=find_id,
    read_request=read_request,
    write_request=write_request,
    read_response=read_response,
    internal_headers=frozenset((SERVER_LIMIT, SERVER_LEAVING)),
    end_to_end_headers=frozenset(
        (REQUEST_ID, MODEL, TOKEN_COUNT, PREFIX_HASH, SESSION, LAST_EVENT)
    ),
)


def _get_text(values: typing.Mapping[bytes, bytes], name: bytes) -> str:
    return values.get(name, b"").decode("latin-1").strip()


def _get_number(
    values: typing.Mapping[bytes, bytes], name: bytes
) -> float | None:
    with contextlib.suppress(ValueError):
        value = float(_get_text(values, name))
        return value if 0.0 <= value < math.inf else None
    return None


def _get_lowest(headers: message_types.Headers, name: bytes) -> float | None:
    """The lowest of a repeated header's numbers; None if it has none."""
    numbers = [
        _get_number({name: value}, name)
        for each, value in headers
        if each.lower() == name
    ]
    return min((each for each in numbers if each is not None), default=None)


def _parse_delay_ms(text: str) -> float:
    """The delay of a Retry-After header (RFC 9110, 10.2.3), in ms.

    It is a number of seconds or a date; 0 for anything else.
    """
    try:
        delay_s = float(text)
    except ValueError:
        # Few endpoints send a date, and this module is slow to import.
        import email.utils

        try:
            date = email.utils.parsedate_to_datetime(text)
            delay_s = date.timestamp() - time.time()
        except (ValueError, TypeError, OverflowError):
            return 0.0
    return delay_s * 1000.0 if 0.0 < delay_s < MAX_VALUE else 0.0


def _get_integer(
    values: typing.Mapping[bytes, bytes], name: bytes
) -> int | None:
    return _parse_integer(_get_text(values, name))


def _parse_integer(text: str) -> int | None:
    """A whole number; None for anything else, or if it is far too large."""
    if not text.isdecimal() or len(text) > MAX_DIGITS:
        return None
    return int(text)


def _get_numbers(
    values: typing.Mapping[bytes, bytes], name: bytes
) -> list[float]:
    with contextlib.suppress(ValueError):
        text = _get_text(values, name)
        numbers = [float(part) for part in text.split(",")] if text else []
        if all(0.0 <= number < MAX_VALUE for number in numbers):
            return numbers
    return []


def _parse_prefix(text: str) -> tuple[message_types.PromptPart, ...]:
    """Parse ID:TOKENS entries, up to the first malformed one."""
    parts = []
    for entry in text.split(",") if text else ():
        name, _, digits = entry.strip().partition(":")
        tokens = _parse_integer(digits)
        if not name or tokens is None:
            break
        parts.append(message_types.PromptPart(name, tokens))
    return tuple(parts)
