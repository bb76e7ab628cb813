"""Answers whose callers accept them slowly, or no more."""

import socket
import typing
from unittest import mock

from nose2.tools import params
import trio

from carawayward import events
from tests.common import forwarding
from tests.standins import backend

TIMEOUT_S = 0.5
ANSWER_BYTES = 3_000_000
PAUSE_S = 0.05


async def answer_at_length(server, exchange):
    """Answer with more than the kernel's buffers hold."""
    server.begin(exchange).ended = "ok"
    await exchange.answer(200, server.seal(exchange), b"x" * ANSWER_BYTES)


async def ask(
    made: forwarding.Forwarding, deadline_ms: int
) -> trio.SocketStream:
    """Ask for a long answer, with a small window."""
    address = made.daemon.settings.listen.callers
    host, _, port = address.partition(":")
    connection = trio.socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    await connection.connect((host, int(port)))
    headers = made.make_headers(carawayward_deadline_ms=f"{deadline_ms}")
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    stream = trio.SocketStream(connection)
    await stream.send_all(f"GET /look/ HTTP/1.1\r\n{lines}\r\n".encode())
    return stream


@params(
    (0, 60_000, "caller does not read"),
    (2_000, 300, "caller reads past its deadline"),
)
def test_last_line_says_why_an_answer_was_cut(
    read_bytes: int, deadline_ms: int, cause: str
):
    """Guards against a cut answer that the log calls delivered."""
    ends: list[dict] = []

    def record(event: events.Event, **fields: typing.Any) -> None:
        if event is events.Event.REQUEST_FORWARDED:
            ends.append(fields)

    async def main():
        desk = backend.Backend("desk-0", always=answer_at_length)
        async with forwarding.open_forwarding(desk) as made:
            made.daemon.callers.writes.timeout_s = TIMEOUT_S
            with mock.patch.object(events, "log_event", record):
                stream = await ask(made, deadline_ms)
                with trio.move_on_after(forwarding.CALL_S):
                    while not ends:
                        if read_bytes:
                            await stream.receive_some(read_bytes)
                        await trio.sleep(PAUSE_S)
        found = [(each["status"], each["cause"]) for each in ends]
        assert found == [(0, cause)]

    trio.run(main)
