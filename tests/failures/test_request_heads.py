"""Heads of requests that are long, or find no room."""

from nose2.tools import params
import trio

from carawayward import http_exchanges
from carawayward import listening
from tests.common import listeners

READ_S = 5.0
FIELD = b"a: b\r\n"
BEGIN = b"GET / HTTP/1.1\r\nhost: a\r\n"
LONGEST = listening.MIN_HEAD_BYTES // len(FIELD) - 10


def send_head(data: bytes, room: int | None = None) -> bytes:
    """Send some bytes to a listener; return what it answers."""
    received = b""

    async def scenario(host: str, port: int, stop: trio.Event) -> None:
        nonlocal received
        caller = await trio.open_tcp_stream(host, port)
        await caller.send_all(data)
        with trio.move_on_after(READ_S):
            received = bytes(await caller.receive_some())
        await caller.aclose()
        stop.set()

    listeners.run_beside_listener(scenario, buffered_bytes=room)
    return received


def test_longest_head_is_served():
    """Guards against a limit that clients within the limits meet."""
    received = send_head(BEGIN + FIELD * LONGEST + b"\r\n")
    assert received.startswith(b"HTTP/1.1 200 ")


@params(b"", b"\r\n")
def test_head_that_is_too_long_is_refused_before_it_is_parsed(end: bytes):
    """Guards against heads that take time and memory to be refused."""
    received = send_head(BEGIN + FIELD * 3 * LONGEST + end)
    assert received.startswith(b"HTTP/1.1 431 ")


def test_pipelined_head_that_is_too_long_is_refused():
    """Guards against a long head that hides behind a short one."""
    first = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
    received = send_head(first + BEGIN + FIELD * 3 * LONGEST)
    assert received.startswith(b"HTTP/1.1 200 ")


def test_head_without_room_is_refused_with_a_time_to_come_back():
    """Guards against heads that are parsed though memory has run out."""
    room = http_exchanges.FIELD_BYTES * LONGEST
    received = send_head(BEGIN + FIELD * LONGEST + b"\r\n", room)
    assert received.startswith(b"HTTP/1.1 503 ")
    assert b"\r\nretry-after: 1\r\n" in received
    assert received.endswith(b'"not_run": true}')
