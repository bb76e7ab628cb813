"""Invalid requests get a problem reply and are logged."""

import json
import logging as standard_logging
import string
import typing
from unittest import mock

from absl import logging
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import trio

from carawayward.protocol import tokens
from tests.common import asgi
from tests.common import deployment

COMPLETIONS = "/v1/chat/completions"
SERVICE = "/v1/services/swap-desk/log-swap"
GOOD = {
    "model": "hard-match",
    "messages": [{"role": "user", "content": "hello"}],
}
DAEMON = asgi.make_daemon(max_body_bytes=2_000, body_timeout_ms=200)
APP = DAEMON.api.build()
SECRET = "a-callers-own-words"


def send(
    body: object,
    path: str = COMPLETIONS,
    headers: typing.Sequence[tuple[bytes, bytes]] = (),
) -> asgi.Reply:
    """Post a body; anything other than bytes is encoded as JSON."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    request_headers = [asgi.AUTH, asgi.JSON, *headers]
    return asgi.call(APP, "POST", path, request_headers, [data])


def check_problem(reply: asgi.Reply, status: int) -> dict:
    """Check that a reply is a problem document that says "not run"."""
    assert reply.status == status, (reply.status, reply.body)
    assert reply.headers["content-type"] == "application/problem+json"
    problem = reply.json()
    assert problem["status"] == status
    assert problem["title"] and problem["detail"]
    assert problem["not_run"] is True
    return problem


class EventCapture:
    """Context manager that captures logged events."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def __enter__(self) -> "EventCapture":
        logger = logging.get_absl_logger()
        self.level = logger.level
        logger.setLevel("DEBUG")
        self.patch = mock.patch.object(logger, "handle", self.record)
        self.patch.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.patch.stop()
        logging.get_absl_logger().setLevel(self.level)

    def record(self, record: standard_logging.LogRecord) -> None:
        """Store one log line; replaces the logger's ``handle``."""
        self.lines.append(record.getMessage())

    def list_names(self) -> list[str]:
        """Return the names of the captured events."""
        return [json.loads(line)["name"] for line in self.lines]


def test_body_over_the_limit_is_refused_with_413():
    """A caller cannot exhaust an entry VM's memory with one body."""
    reply = send({**GOOD, "pad": "x" * 3_000})
    assert "2000" in check_problem(reply, 413)["detail"]


def test_slow_body_is_refused_with_408():
    """A caller cannot hold a connection open by sending a body slowly."""

    async def run() -> asgi.Reply:
        async def receive() -> typing.Any:
            await trio.sleep(0.05)
            return {"type": "http.request", "body": b" ", "more_body": True}

        sent: list[dict] = []

        async def record(message: typing.Any) -> None:
            sent.append(message)

        scope = {
            "type": "http",
            "method": "POST",
            "path": COMPLETIONS,
            "raw_path": COMPLETIONS.encode(),
            "query_string": b"",
            "headers": [asgi.AUTH],
        }
        with trio.fail_after(5):
            await APP(scope, receive, record)
        reply_headers = {k.decode(): v.decode() for k, v in sent[0]["headers"]}
        return asgi.Reply(sent[0]["status"], reply_headers, sent[1]["body"])

    check_problem(trio.run(run), 408)


def test_truncated_body_is_not_run():
    """A truncated body is rejected."""
    request_headers = [asgi.AUTH, asgi.JSON]
    reply = asgi.call(
        APP, "POST", COMPLETIONS, request_headers, [b'{"mod', None]
    )
    check_problem(reply, 400)


def test_body_other_than_a_json_object_is_refused():
    """These inputs are ones that JSON libraries accept or crash on."""
    for body in (
        b"\xff\xfe{}",
        b"",
        b"[]",
        b'"text"',
        b'{"model": NaN}',
        b'{"model": Infinity}',
        b"9" * 1_900,
        b"[" * 1_900,
        b'{"a":' * 300 + b"1" + b"}" * 300,
        b'{"model": "\\ud800"}',
        b'{"model": "hard-match"',
    ):
        check_problem(send(body), 400)
        check_problem(send(body, SERVICE), 400)


def test_fields_of_wrong_types_are_named():
    """The error detail names the invalid field."""
    for field, value in (
        ("model", 5),
        ("model", None),
        ("messages", {}),
        ("messages", []),
        ("messages", ["hello"]),
        ("messages", [{"role": "user", "content": 5}]),
        ("stream", "yes"),
        ("max_tokens", True),
        ("max_tokens", 0),
        ("max_tokens", 10**30),
        ("max_tokens", 1.5),
    ):
        problem = check_problem(send({**GOOD, field: value}), 400)
        assert field in problem["detail"]


def test_request_without_a_valid_key_is_refused():
    """An unknown key, no key, another scheme, and bytes that are not ASCII."""
    for header in (b"", b"Bearer", b"Bearer who", b"Basic x", b"\xff\xff"):
        for path in (COMPLETIONS, SERVICE, "/v1/sessions", "/v1/tickets"):
            request_headers = [(b"authorization", header)]
            reply = asgi.call(APP, "POST", path, request_headers, [b"{}"])
            check_problem(reply, 401)


def test_forged_foreign_or_expired_token_is_refused():
    """Session tokens and tickets need a valid signature and customer."""
    signer = tokens.Signer(tuple(deployment.KEYS["tokens"]))
    session = tokens.Session(
        session_id="s",
        customer="yaba-schools",
        pins={},
        revision=1,
        expires_ms=9_999_999_999_999,
    )
    forged = tokens.Signer(("another-key-0123456789",)).sign(session)
    for token in ("x.y", forged, signer.sign(session), "é.", "x" * 9_000):
        head = (b"carawayward-session", token.encode("latin-1"))
        check_problem(send(GOOD, headers=[head]), 400)
    for token in ("x", forged, signer.sign(session)):
        head = (b"carawayward-ticket", token.encode())
        check_problem(send({}, SERVICE, [head]), 400)


def test_expired_ticket_does_not_run():
    """Its first use may have been pruned, so "not run" cannot be said."""
    signer = tokens.Signer(tuple(deployment.KEYS["tokens"]))
    ticket = tokens.issue_ticket(
        "ikeja-families", "oduya-0", DAEMON.board.incarnation, 1
    )
    head = (b"carawayward-ticket", signer.sign(ticket).encode())
    reply = send({}, SERVICE, [head])
    assert reply.status == 504
    assert reply.json()["not_run"] is False


def test_huge_header_and_bad_key_are_refused():
    """The size of headers is limited, as is that of bodies."""
    check_problem(send(GOOD, headers=[(b"x-pad", b"x" * 20_000)]), 431)
    for key in (b"k" * 201, b"a\xffb", b"a\x01b"):
        head = (b"idempotency-key", key)
        check_problem(send(GOOD, headers=[head]), 400)


def test_unknown_path_and_method_get_a_problem_reply():
    """They get the same kind of reply as any other refusal."""
    check_problem(asgi.call(APP, "GET", "/v2/what"), 404)
    check_problem(asgi.call(APP, "GET", COMPLETIONS), 405)


def test_refusals_are_logged_without_request_content():
    """Refusals are logged without any content of the request."""
    with EventCapture() as capture:
        send({**GOOD, "messages": [SECRET]})
        send({**GOOD, SECRET: float("nan")})
        send(GOOD, headers=[(b"idempotency-key", b"\x01")])
        key = (b"authorization", f"Bearer {SECRET}".encode())
        asgi.call(APP, "POST", COMPLETIONS, [key], [b"{}"])
        head = (b"carawayward-session", f"{SECRET}.x".encode())
        send(GOOD, headers=[head])
    assert "request_bad" in capture.list_names()
    assert "request_unproven" in capture.list_names()
    assert SECRET not in "".join(capture.lines)


def test_unexpected_error_is_not_reported_as_not_run():
    """How far the request got is unknown, so "not run" may not be said.

    The exception is raised alone and in a group, as trio raises it. The
    application still serves requests afterwards.
    """
    daemon = asgi.make_daemon()
    app = daemon.api.build()
    faults = [
        RuntimeError(SECRET),
        ExceptionGroup("g", [ValueError(SECRET)]),
    ]
    for fault in faults:

        async def complete(*_: object, fault: Exception = fault) -> None:
            raise fault

        failing: typing.Any = _FailingLifecycle(daemon.api.lifecycle, complete)
        daemon.api.lifecycle = failing
        with EventCapture() as capture:
            body = [json.dumps(GOOD).encode()]
            request_headers = [asgi.AUTH, asgi.JSON]
            reply = asgi.call(app, "POST", COMPLETIONS, request_headers, body)
        assert reply.status == 500
        assert reply.json()["not_run"] is False
        assert "fault" in capture.list_names()
        assert SECRET not in "".join(capture.lines) + reply.body.decode()
    assert asgi.call(app, "GET", "/readyz").status == 200


class _FailingLifecycle:
    """Delegates to a Lifecycle, except for ``complete``."""

    def __init__(self, wrapped: typing.Any, complete: typing.Any) -> None:
        self.wrapped = getattr(wrapped, "wrapped", wrapped)
        self.complete = complete

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self.wrapped, name)


JSON_VALUES = strategies.recursive(
    strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(),
        strategies.floats(),
        strategies.text(max_size=8),
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=4),
        strategies.dictionaries(
            strategies.sampled_from(["role", "content", "model", "x"]),
            inner,
            max_size=4,
        ),
    ),
    max_leaves=8,
)
BODIES = strategies.one_of(
    strategies.binary(max_size=60),
    JSON_VALUES.map(lambda value: json.dumps(value).encode()),
    strategies.fixed_dictionaries(
        {},
        optional={
            "model": JSON_VALUES | strategies.just("hard-match"),
            "messages": JSON_VALUES | strategies.just(GOOD["messages"]),
            "stream": JSON_VALUES | strategies.booleans(),
            "max_tokens": JSON_VALUES | strategies.just(5),
        },
    ).map(lambda value: json.dumps(value).encode()),
)
HEADERS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [
                b"authorization",
                b"idempotency-key",
                b"carawayward-session",
                b"carawayward-ticket",
                b"carawayward-deadline-ms",
                b"content-type",
                b"content-length",
            ]
        ),
        strategies.binary(max_size=30)
        | strategies.sampled_from([asgi.AUTH[1], b"0", b"5", b"-1"]),
    ),
    max_size=4,
)
PATHS = strategies.one_of(
    strategies.sampled_from(
        [COMPLETIONS, SERVICE, "/v1/sessions", "/v1/tickets", "/v1/requests/a"]
    ),
    strategies.text(string.printable, max_size=20).map(lambda t: f"/{t}"),
    strategies.text(max_size=9).map(lambda t: f"/v1/services/{t}/{t}"),
)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(
    method=strategies.sampled_from(["GET", "POST", "PUT", "HEAD"]),
    path=PATHS,
    headers=HEADERS,
    body=strategies.lists(BODIES, max_size=3),
    has_valid_key=strategies.booleans(),
)
def test_no_input_causes_a_server_error(
    method, path, headers, body, has_valid_key
):
    """Any input gets a reply, and each refusal is a problem document."""
    request_headers = [asgi.AUTH, *headers] if has_valid_key else headers
    reply = asgi.call(APP, method, path, request_headers, [*body, b""])
    assert 200 <= reply.status < 600
    assert reply.status not in (500, 501)
    if reply.status >= 400 and method != "HEAD":
        problem = reply.json()
        assert problem["status"] == reply.status
        assert problem["title"] and problem["detail"]
