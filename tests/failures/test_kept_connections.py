"""Requests on connections that are used again are answered."""

import contextlib
import typing

import trio
import trio.testing

from carawayward import http_server
from tests.common import listeners

FIRST = b"GET /first HTTP/1.1\r\nHost: circle.example\r\n\r\n"
SECOND = b"GET /second HTTP/1.1\r\nHost: circle.example\r\n\r\n"
OK = b"HTTP/1.1 200 "
READ_S = 5.0


class HeldApp:
    """Answers at once, except for one path."""

    def __init__(self, held_path: str) -> None:
        self.held_path = held_path
        self.has_begun = trio.Event()
        self.may_answer = trio.Event()

    async def __call__(
        self, scope: dict, receive: typing.Any, send: typing.Any
    ) -> None:
        """Answer with 200 and the path."""
        if scope["path"] == self.held_path:
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
