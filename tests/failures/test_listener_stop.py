"""A stopping listener serves requests that were sent before the stop."""

import contextlib
import socket
import typing

import trio

from carawayward import closes
from carawayward import http_server
from carawayward import listening
from tests.common import listeners

REQUEST = b"GET / HTTP/1.1\r\nHost: circle.example\r\n\r\n"
CLOSING_REQUEST = REQUEST[:-2] + b"Connection: close\r\n\r\n"
# Connections that are open when the listener stops. trio schedules tasks in
# random order, so with this many at least one meets the unfavourable order.
CALLERS = 20
# More than a socket takes at once.
LARGE_BYTES = 8_000_000


async def open_callers(host: str, port: int) -> list[trio.SocketStream]:
    """Open connections and wait until the listener has accepted them."""
    callers = [await trio.open_tcp_stream(host, port) for _ in range(CALLERS)]
    await trio.sleep(0.05)
    return callers


async def read_status(caller: trio.SocketStream) -> bytes:
    """Read a status line; empty if the connection was closed."""
    try:
        with trio.fail_after(5):
            return (await caller.receive_some()).partition(b"\r\n")[0]
    except trio.BrokenResourceError:
        return b""


def test_request_that_arrives_as_the_listener_stops_is_answered():
    """A request in the socket buffer gets no response when its VM stops.

    It has been received but not read when the listener stops. Its connection
    looks idle, and idle connections are closed.
    """

    async def scenario(host: str, port: int, stop: trio.Event) -> None:
        callers = await open_callers(host, port)
        for caller in callers:
            caller.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            assert await caller.socket.send(REQUEST) == len(REQUEST)
        stop.set()
        for caller in callers:
            assert await read_status(caller) == b"HTTP/1.1 200 "

    listeners.run_beside_listener(scenario)


def test_connection_just_accepted_may_still_send_its_request():
    """A request is in transit when the listener stops and gets no response.

    Its connection was accepted just before the stop. It has carried no
    request so far, so it was closed as idle 0 ms after it had been opened.
    """

    async def scenario(host: str, port: int, stop: trio.Event) -> None:
        callers = await open_callers(host, port)
        stop.set()
        await trio.sleep(0.02)
        for caller in callers:
            await caller.send_all(REQUEST)
        for caller in callers:
            assert await read_status(caller) == b"HTTP/1.1 200 "

    listeners.run_beside_listener(scenario)


def test_idle_connections_do_not_hold_up_a_stop():
    """Idle connections keep a stopping entry VM running until it is killed.

    The wait for requests that may still be in transit must be bounded.
    """

    async def scenario(host: str, port: int, stop: trio.Event) -> None:
        callers = await open_callers(host, port)
        await trio.sleep(2 * http_server.IDLE_GRACE_S)
        stop.set()
        with trio.fail_after(http_server.IDLE_GRACE_S + 0.5):
            for caller in callers:
                assert await read_status(caller) == b""

    listeners.run_beside_listener(scenario)


def test_stop_counts_the_requests_that_it_closes_unread():
    """A stop closes connections under requests that no line mentions."""
    config = listeners.make_config()

    async def scenario(host: str, port: int, stop: trio.Event) -> None:
        callers = await open_callers(host, port)
        for caller in callers:
            await caller.send_all(REQUEST[:-2])
        await trio.sleep(0.05)
        stop.set()
        for caller in callers:
            assert await read_status(caller) == b""

    listeners.run_beside_listener(scenario, config=config)
    assert config.closes.closed[closes.CloseReason.UNREAD] == CALLERS


def test_connection_that_waits_to_be_accepted_is_served():
    """Connections in the accept queue are reset when the listener closes."""

    async def scenario(host: str, port: int, stop: trio.Event) -> None:
        stop.set()
        # Blocking calls, so that the listener's task cannot accept meanwhile.
        callers = [socket.create_connection((host, port)) for _ in range(9)]
        for caller in callers:
            caller.sendall(REQUEST)
        for caller in callers:
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(caller))
            assert await read_status(stream) == b"HTTP/1.1 200 "

    listeners.run_beside_listener(scenario)


async def answer_large_cancelled(
    scope: dict, receive: typing.Any, send: typing.Any
) -> None:
    """Send an answer in a scope that is cancelled as the body is sent."""
    body = bytes(LARGE_BYTES)
    length = str(len(body)).encode()
    with trio.CancelScope() as cancelled:
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [(b"content-length", length)],
            }
        )
        cancelled.cancel()
        await send(
            {"type": "http.response.body", "body": body, "more_body": True}
        )
        await send({"type": "http.response.body", "body": b""})


def test_answer_whose_task_is_cancelled_while_it_is_written_is_sent_whole():
    """The caller gets a part of an answer, or none to its next request.

    What the socket took at once was on the wire; the write of the rest
    waited for a lock and was cancelled there. After an answer that was
    written whole its connection was not read again.
    """

    async def scenario(host: str, port: int, stop: trio.Event) -> None:
        caller = await trio.open_tcp_stream(host, port)
        for request in (REQUEST, CLOSING_REQUEST):
            await caller.send_all(request)
            received = await caller.receive_some()
            head, _, body = received.partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 ")
            left = LARGE_BYTES - len(body)
            while left and (chunk := await caller.receive_some()):
                left -= len(chunk)
            assert left == 0
        stop.set()

    listeners.run_beside_listener(scenario, answer_large_cancelled)


async def answer_large(
    scope: dict, receive: typing.Any, send: typing.Any
) -> None:
    """Send a large answer in one message, the last of its request."""
    headers = [(b"content-length", str(LARGE_BYTES).encode())]
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    await send({"type": "http.response.body", "body": bytes(LARGE_BYTES)})


def count_received_late(
    config: listening.ListenerConfig, closing_s: float
) -> int:
    """Count the bytes of an answer that is read 0.5 s after a stop.

    Its connection has to be closed ``closing_s`` after the stop.
    """
    config.graceful_timeout = 0.1
    count = 0

    async def scenario(host: str, port: int, stop: trio.Event) -> None:
        nonlocal count
        caller = await trio.open_tcp_stream(host, port)
        await caller.send_all(REQUEST)
        await trio.sleep(0.1)
        config.closing_deadline_s = trio.current_time() + closing_s
        stop.set()
        await trio.sleep(0.5)
        received = await caller.receive_some()
        count = len(received.partition(b"\r\n\r\n")[2])
        with contextlib.suppress(trio.BrokenResourceError):
            while chunk := await caller.receive_some():
                count += len(chunk)

    listeners.run_beside_listener(scenario, answer_large, config=config)
    return count


def test_answer_that_is_being_written_is_sent_whole_in_a_stop():
    """The answer was cut once its request was over, before it was written."""
    config = listeners.make_config()
    assert count_received_late(config, 5.0) == LARGE_BYTES
    assert not config.closes.closed[closes.CloseReason.STOP]


def test_stop_counts_the_answers_that_it_cuts_while_they_are_written():
    """Callers get a part of an answer, and no line says that it was cut."""
    config = listeners.make_config()
    assert count_received_late(config, 0.2) < LARGE_BYTES
    assert config.closes.closed[closes.CloseReason.STOP] == 1
