"""HTTP representations of outcomes and errors."""

import hashlib
import json
import typing

from starlette import responses

from carawayward import errors
from carawayward import events
from carawayward import outcomes

SSE_HEADERS = (
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
)

_STATUS_BY_REASON = {
    outcomes.Reason.OVERLOADED: 429,
    outcomes.Reason.NOT_ALLOWED: 403,
    outcomes.Reason.VERSION_WITHDRAWN: 409,
    outcomes.Reason.KEY_EXPIRED: 409,
    outcomes.Reason.CONVICTED: 422,
}


def make_problem(
    status: int,
    title: str,
    detail: str,
    retry_after_ms: int | None = None,
    **extra: typing.Any,
) -> responses.JSONResponse:
    """Make an error response in the format of RFC 9457."""
    body = {"title": title, "status": status, "detail": detail, **extra}
    headers = {}
    if retry_after_ms is not None:
        body["retry_after_ms"] = retry_after_ms
        headers["Retry-After"] = str(max(0, -(-retry_after_ms // 1000)))
    return responses.JSONResponse(
        body, status, headers, media_type="application/problem+json"
    )


def make_bad_request(fault: errors.BadRequest) -> responses.JSONResponse:
    """Log a malformed request and make the reply to it."""
    events.log_event(
        events.Event.REQUEST_BAD, field=fault.field, status=fault.status
    )
    return make_problem(fault.status, "bad request", str(fault), not_run=True)


def describe(outcome: outcomes.Outcome) -> dict:
    """Convert an outcome to plain values, for look-ups and peers."""
    match outcome:
        case outcomes.Answered():
            return {
                "outcome": "answered",
                "text": outcome.text,
                "version": outcome.version,
                "endpoint": outcome.endpoint,
                "input_tokens": outcome.input_tokens,
                "output_tokens": outcome.output_tokens,
                "cost": outcome.cost,
                "plan": list(outcome.plan),
            }
        case outcomes.NotRun():
            return {
                "outcome": "not-run",
                "reason": str(outcome.reason),
                "remedy": outcome.remedy,
                "retry_after_ms": outcome.retry_after_ms,
            }
        case outcomes.Unknown():
            return {
                "outcome": "unknown",
                "reason": str(outcome.reason),
                "remedy": outcome.remedy,
                "retry_after_ms": outcome.retry_after_ms,
            }
        case outcomes.Interrupted():
            return {
                "outcome": "interrupted",
                "reason": str(outcome.reason),
                "remedy": outcome.remedy,
                "length": len(outcome.partial),
            }


def restore(data: dict) -> outcomes.Outcome:
    """Convert the result of ``describe`` back to an outcome.

    The text of an interrupted answer is not sent between peers; blanks of
    the same length take its place.
    """
    fields = {k: v for k, v in data.items() if k != "outcome"}
    if "reason" in fields:
        fields["reason"] = outcomes.Reason(fields["reason"])
    match data["outcome"]:
        case "answered":
            fields["plan"] = tuple(fields["plan"])
            return outcomes.Answered(**fields)
        case "not-run":
            return outcomes.NotRun(**fields)
        case "unknown":
            return outcomes.Unknown(**fields)
        case "interrupted":
            partial = " " * fields.pop("length")
            return outcomes.Interrupted(partial=partial, **fields)
    raise ValueError(f"not an outcome: {data['outcome']!r}")


def make_failure(
    outcome: outcomes.Outcome, request_key: str
) -> responses.JSONResponse:
    """Make the reply for any outcome other than a complete answer."""
    match outcome:
        case outcomes.NotRun(reason, remedy, retry_after_ms):
            return make_problem(
                _STATUS_BY_REASON.get(reason, 503),
                "not run",
                remedy,
                retry_after_ms,
                reason=str(reason),
                not_run=True,
                request=request_key,
            )
        case outcomes.Unknown(reason, remedy, retry_after_ms):
            return make_problem(
                504,
                "unknown",
                remedy,
                retry_after_ms,
                reason=str(reason),
                not_run=False,
                request=request_key,
            )
        case outcomes.Interrupted(reason, _, remedy):
            return make_problem(
                502,
                "interrupted",
                remedy,
                reason=str(reason),
                not_run=False,
                request=request_key,
            )
    raise AssertionError("a complete answer is not a failure")


def make_completion(
    answer: outcomes.Answered, request_key: str
) -> responses.JSONResponse:
    """Make an unstreamed answer in the usual chat completions format."""
    return responses.JSONResponse(
        {
            "id": request_key,
            "object": "chat.completion",
            "model": answer.version,
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": answer.text},
                    "finish_reason": "stop",
                }
            ],
            "usage": make_usage(answer),
            "carawayward": {
                "plan": list(answer.plan),
                "cost": answer.cost,
                "digest": digest_text(answer.text),
            },
        },
        headers={"Carawayward-Request": request_key},
    )


def make_usage(answer: outcomes.Answered) -> dict:
    """Make the token counts of the usual chat completions format."""
    return {
        "prompt_tokens": answer.input_tokens,
        "completion_tokens": answer.output_tokens,
        "total_tokens": answer.input_tokens + answer.output_tokens,
    }


def encode_text(text: str) -> bytes:
    """Encode text that may hold lone surrogates.

    An engine may split a character between two tokens.
    """
    return text.encode("utf-8", "surrogatepass")


def digest_text(text: str) -> str:
    """Return the SHA-256 of an answer's text in hexadecimal."""
    return hashlib.sha256(encode_text(text)).hexdigest()


def make_chunk_encoder(request_key: str) -> typing.Callable[[str], bytes]:
    """Return a function that encodes the chunks of one streamed answer.

    Everything but the text is the same in each chunk and is encoded once.
    """
    body = {
        "id": request_key,
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": ""}}],
    }
    before, _, after = f"data: {json.dumps(body)}\n\n".rpartition('""')

    def encode(text: str) -> bytes:
        return f"{before}{json.dumps(text)}{after}".encode()

    return encode


def encode_end(request_key: str, answer: outcomes.Answered) -> bytes:
    """Encode the end marker; a stream without it is incomplete."""
    body = {
        "id": request_key,
        "object": "chat.completion.chunk",
        "model": answer.version,
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": make_usage(answer),
        "carawayward": {
            "end": True,
            "length": len(answer.text),
            "digest": digest_text(answer.text),
            "plan": list(answer.plan),
            "cost": answer.cost,
        },
    }
    return f"data: {json.dumps(body)}\n\ndata: [DONE]\n\n".encode()


def encode_failure(request_key: str, outcome: outcomes.Outcome) -> bytes:
    """Encode the error event that ends an incomplete stream."""
    body = {"id": request_key, "error": describe(outcome)}
    return f"event: error\ndata: {json.dumps(body)}\n\n".encode()
