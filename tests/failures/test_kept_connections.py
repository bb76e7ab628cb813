"""Requests on connections that are used again are answered."""

import contextlib
import socket
import typing
from unittest import mock

import trio
import trio.testing

from carawayward import events
from carawayward import http_connections
from carawayward import http_server
from tests.common import listeners

FIRST = b"GET /first HTTP/1.1\r\nHost: circle.example\r\n\r\n"
SECOND = b"GET /second HTTP/1.1\r\nHost: circle.example\r\n\r\n"
OK = b"HTTP/1.1 200 "
READ_S = 5.0
# More than the buffers of both sockets hold together.
LARGE_BODY = bytes(8 * 1_048_576)
LARGE = (
    b"POST /large HTTP/1.1\r\nHost: circle.example\r\n"
    b"Content-Length: %d\r\n\r\n" % len(LARGE_BODY)
)


class HeldApp:
    """Answers at once, except for one path."""

    def __init__(self, held_path: str) -> None:
        self.held_path = held_path
        self.has_begun = trio.Event()
        self.held = 0
        self.may_answer = trio.Event()

    async def __call__(
        self, scope: dict, receive: typing.Any, send: typing.Any
    ) -> None:
        """Answer with 200 and the path."""
        if scope["path"] == self.held_path:
            self.held += 1
            self.has_begun.set()
            await self.may_answer.wait()
        path = scope["path"].encode()
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [(b"content-length", b"%d" % len(path))],
            }
        )
        await send({"type": "http.response.body", "body": path})


async def read_replies(caller: trio.SocketStream, end: bytes) -> bytes:
    """Read until a body ends with ``end``, or until the connection ends."""
    received = b""
    with (
        trio.move_on_after(READ_S),
        contextlib.suppress(trio.BrokenResourceError),
    ):
        while not received.endswith(end):
            data = await caller.receive_some()
            if not data:
                break
            received += data
    return received


def test_request_read_while_the_last_reply_is_written_is_not_idle():
    """A request gets no answer because its connection is recorded as idle.

    The end of the reply before it waits for room in the socket's buffer, so
    the connection becomes idle later than the request is read.
    """
    app = HeldApp("/second")

    async def run() -> None:
        async with listeners.open_held_connection(app) as held:
            held.stream.may_return.set()
            await held.caller.send_all(FIRST + SECOND)
            await app.has_begun.wait()
            held.stream.may_write.set()
            assert OK in await read_replies(held.caller, b"/first")
            await trio.testing.wait_all_tasks_blocked()
            http_server.close_idle(held.open_connections, 0.0)
            await trio.testing.wait_all_tasks_blocked()
            app.may_answer.set()
            assert OK in await read_replies(held.caller, b"/second")

    trio.run(run)


def test_request_taken_from_the_socket_is_not_idle():
    """A request gets no answer because it is neither unread nor parsed yet.

    A read of trio passes a checkpoint after it has taken the bytes.
    """

    async def run() -> None:
        app = HeldApp("")
        async with listeners.open_held_connection(app) as held:
            held.stream.may_write.set()
            await held.caller.send_all(FIRST)
            await held.stream.has_read.wait()
            http_server.close_idle(held.open_connections, 0.0)
            held.stream.may_return.set()
            assert OK in await read_replies(held.caller, b"/first")

    trio.run(run)


def test_request_that_arrives_as_its_connection_is_closed_is_answered():
    """A request is lost between the check for unread bytes and the close."""

    async def run() -> None:
        app = HeldApp("")
        async with listeners.open_held_connection(app) as held:
            held.stream.may_write.set()
            held.stream.may_return.set()
            await trio.testing.wait_all_tasks_blocked()
            http_server.close_idle(held.open_connections, 0.0)
            # Without a checkpoint, so that no task closes it meanwhile.
            with socket.socket(fileno=held.caller.socket.fileno()) as calling:
                calling.sendall(FIRST)
                calling.detach()
            assert OK in await read_replies(held.caller, b"/first")

    trio.run(run)


def send_all_then_read(port: int) -> bytes:
    """Send a request with a large body as a plain client does."""
    with socket.create_connection(("127.0.0.1", port)) as calling:
        calling.settimeout(READ_S)
        calling.sendall(LARGE + LARGE_BODY)
        received = b""
        while data := calling.recv(65_536):
            received += data
    return received


async def refuse(scope: dict, receive: typing.Any, send: typing.Any) -> None:
    """Refuse without reading the body."""
    await send({"type": "http.response.start", "status": 413, "headers": []})
    await send({"type": "http.response.body", "body": b"too large"})


def test_refusal_reaches_a_caller_that_still_sends_its_body():
    """A refusal is lost because its connection is closed with unread bytes.

    The kernel then resets the connection, and the caller's next write fails
    before it reads the reply.
    """

    async def scenario(host: str, port: int, stop: trio.Event) -> None:
        reply = await trio.to_thread.run_sync(send_all_then_read, port)
        assert reply.startswith(b"HTTP/1.1 413 ")
        assert b"too large" in reply
        stop.set()

    listeners.run_beside_listener(scenario, refuse)


def test_refusal_reaches_a_caller_that_still_sends_as_the_listener_stops():
    """A refusal is lost because a stop closes what it takes for idle."""

    async def scenario(host: str, port: int, stop: trio.Event) -> None:
        caller = await trio.open_tcp_stream(host, port)
        await caller.send_all(LARGE)
        assert b"413" in await read_replies(caller, b"0\r\n\r\n")
        stop.set()
        await trio.sleep(2 * http_server.IDLE_GRACE_S)
        await caller.send_all(LARGE_BODY)
        await caller.send_eof()
        assert await caller.receive_some() == b""

    listeners.run_beside_listener(scenario, refuse)


def test_refused_caller_that_never_closes_is_closed():
    """Refused callers hold connections without a bound.

    What they still send is read, so nothing else would end them.
    """

    async def scenario(host: str, port: int, stop: trio.Event) -> None:
        caller = await trio.open_tcp_stream(host, port)
        await caller.send_all(LARGE)
        assert b"413" in await read_replies(caller, b"0\r\n\r\n")
        with trio.fail_after(http_connections.DISCARD_S + READ_S):
            with contextlib.suppress(trio.BrokenResourceError):
                while True:
                    await caller.send_all(b"more")
                    await trio.sleep(0.01)
        stop.set()

    listeners.run_beside_listener(scenario, refuse)


def test_request_read_before_a_stop_is_answered_though_another_is_in_hand():
    """A request that was read gets no answer after the stop of a listener.

    It is read while the reply before it is not complete. The connection was
    closed after that reply, and a task waited for it until the stop ended.
    """
    app = HeldApp("/first")

    async def scenario(host: str, port: int, stop: trio.Event) -> None:
        caller = await trio.open_tcp_stream(host, port)
        await caller.send_all(FIRST + SECOND)
        await app.has_begun.wait()
        stop.set()
        await trio.sleep(2 * http_server.IDLE_GRACE_S)
        app.may_answer.set()
        replies = await read_replies(caller, b"/second")
        assert replies.count(OK) == 2
        assert await caller.receive_some() == b""

    listeners.run_beside_listener(scenario, app)


def test_reply_that_begins_after_a_stop_says_that_its_connection_closes():
    """A caller that always has a next request holds up a stop."""
    app = HeldApp("/first")

    async def scenario(host: str, port: int, stop: trio.Event) -> None:
        caller = await trio.open_tcp_stream(host, port)
        await caller.send_all(FIRST)
        await app.has_begun.wait()
        stop.set()
        await trio.testing.wait_all_tasks_blocked()
        app.may_answer.set()
        reply = await read_replies(caller, b"/first")
        assert b"\r\nconnection: close\r\n" in reply.lower()
        assert await caller.receive_some() == b""

    listeners.run_beside_listener(scenario, app)


def test_stop_that_ends_requests_logs_how_many():
    """Requests that a stop ends leave no trace."""
    lines: list[dict] = []

    def record(event: events.Event, **fields: typing.Any) -> None:
        lines.append({"event": event, **fields})

    app = HeldApp("/first")

    async def scenario(host: str, port: int, stop: trio.Event) -> None:
        callers = [await trio.open_tcp_stream(host, port) for _ in range(3)]
        for caller in callers:
            await caller.send_all(FIRST)
        while app.held < len(callers):
            await trio.sleep(0.005)
        stop.set()
        for caller in callers:
            assert await read_replies(caller, b"/first") == b""

    with mock.patch.object(events, "log_event", record):
        listeners.run_beside_listener(scenario, app)
    cuts = [e for e in lines if e["event"] is events.Event.REQUESTS_CUT]
    assert sum(each["stop"] for each in cuts) == 3
    assert len(cuts) <= 2


def test_request_after_a_reply_that_was_cancelled_at_its_end_is_answered():
    """A request waits for ever behind a reply that its caller has whole.

    The task of the reply is cancelled once the body is sent, as by its
    deadline, and its connection is never prepared for another request.
    """

    async def answer(scope: dict, receive: typing.Any, send: typing.Any):
        length = [(b"content-length", b"2")]
        start = {"type": "http.response.start", "status": 200}
        await send({**start, "headers": length})
        with trio.CancelScope() as task:
            body = {"type": "http.response.body", "body": b"ok"}
            await send({**body, "more_body": True})
            task.cancel()
            await send({"type": "http.response.body", "body": b""})

    async def scenario(host: str, port: int, stop: trio.Event) -> None:
        async with await trio.open_tcp_stream(host, port) as caller:
            for path in (b"/first", b"/second"):
                await caller.send_all(
                    b"GET %b HTTP/1.1\r\nHost: a.example\r\n\r\n" % path
                )
                reply = b""
                with trio.fail_after(5):
                    while not reply.endswith(b"\r\n\r\nok"):
                        reply += await caller.receive_some()
                        assert reply
        stop.set()

    listeners.run_beside_listener(scenario, answer)


def test_application_that_does_not_read_does_not_hold_up_a_stop():
    """The end of its reply waits for room to say that the exchange is over."""

    async def answer(scope: dict, receive: typing.Any, send: typing.Any):
        await trio.sleep(0.3)
        with trio.CancelScope() as task:
            task.cancel()
            await listeners.answer(scope, receive, send)

    async def scenario(host: str, port: int, stop: trio.Event) -> None:
        async with await trio.open_tcp_stream(host, port) as caller:
            await caller.send_all(
                b"POST / HTTP/1.1\r\nHost: a.example\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\na\r\n" * 50
            )
            assert OK in await caller.receive_some()
            assert await caller.receive_some() == b""
            stop.set()

    listeners.run_beside_listener(scenario, answer)
