"""JSON over HTTP to the platform's services, built on httpcore."""

import contextlib
import json
import math
import os
import typing

import attrs
import httpcore
import trio

from carawayward import errors


@attrs.frozen
class Reply:
    """Status, headers and decoded body of a platform service's response."""

    status: int
    headers: dict[str, str]
    body: typing.Any


class TooLate(trio.TooSlowError):
    """A call was cancelled right before its first byte was sent."""


@attrs.define
class SentMark:
    """Records whether a byte of a request may have left this machine.

    httpcore reports each step of a call. Until it starts to write the
    headers, nothing can have reached the server. ``may_send`` is called at
    that point; if it returns False, the call fails with TooLate and nothing
    is sent. ``on_connect`` is called when the call opens a connection.
    """

    sent: bool = False
    on_connect: typing.Callable[[], None] | None = None
    may_send: typing.Callable[[], bool] = lambda: True

    def begin_sending(self) -> None:
        """Record that the request is about to be sent, if it may be."""
        if not self.may_send():
            raise TooLate()
        self.sent = True

    async def trace(self, name: str, info: dict) -> None:
        """Handle a trace event of httpcore."""
        if name.endswith("send_request_headers.started"):
            self.begin_sending()
        elif self.on_connect and name.endswith("connect_tcp.started"):
            self.on_connect()


def write_nonblocking(
    stream: trio.SocketStream, data: bytes | memoryview
) -> int:
    """Write as much as possible without blocking; return the byte count.

    A write through trio costs two scheduler cycles, although the socket
    buffer nearly always has room for all of it. When this returns 0, the
    caller writes through trio, which raises the error if there is one.
    """
    try:
        return os.write(stream.socket.fileno(), data)
    except OSError:
        return 0


def find_length(headers: typing.Iterable[tuple[bytes, bytes]]) -> int | None:
    """The declared length of a body, in bytes; None if there is none."""
    for name, value in headers:
        if name.lower() == b"content-length" and value.isdigit():
            return int(value)
    return None


async def drop_idle(pool: httpcore.AsyncConnectionPool) -> None:
    """Close a pool's idle connections.

    When one connection has gone silent for good, the idle connections to
    the same server usually have too; each would cost a call its timeout.
    """
    for connection in list(pool.connections):
        if connection.is_idle():
            await connection.aclose()


# More than any answer of a service, an endpoint or the store to a single call
# holds.
MAX_BODY_BYTES = 8 * 1_048_576
# A body that comes steadily may take longer than its call, as a long one on a
# busy link does: giving it up would only read it again from the start. One
# that comes more slowly than this is given up.
MIN_BODY_BYTES_PER_MS = 20.0

# A body in chunks of a few bytes would come steadily for minutes before it is
# too long.
MAX_BODY_CHUNKS = 32_768

# A chunk costs as much as so many of its bytes, however short it is.
CHUNK_OVERHEAD_BYTES = 64

# Called with the declared length of a body and its first bytes; the rest is
# not read if it raises.
CheckBody = typing.Callable[[int | None, bytes], None]


# Called with how many bytes of a body are kept; whether there is room.
Hold = typing.Callable[[int], bool]


class NoRoom(httpcore.RemoteProtocolError):
    """There is no room to keep the rest of a body."""


def hold_any(count: int) -> bool:
    """Have room for any body."""
    return True


def accept_body(length: int | None, begin: bytes) -> None:
    """Accept any body."""


async def read_body(
    response: httpcore.Response,
    received: bytearray,
    timeout: trio.CancelScope,
    timeout_ms: float,
    check: CheckBody = accept_body,
    hold: Hold = hold_any,
) -> None:
    """Read a body into ``received`` for as long as it comes steadily.

    Moves the deadline of ``timeout``, within which the head has come:
    ``timeout_ms`` may pass without a byte. Raises httpcore.RemoteProtocolError
    if the body is longer than ``MAX_BODY_BYTES`` or comes in too many chunks,
    NoRoom if ``hold`` has none.
    """
    began = trio.current_time()
    chunk_count = 0
    length = find_length(response.headers)
    chunks = typing.cast(typing.AsyncGenerator, response.aiter_stream())
    async with contextlib.aclosing(chunks):
        timeout.deadline = began + timeout_ms / 1000
        async for chunk in chunks:
            if not received and response.status == 200:
                check(length, chunk)
            received += chunk
            chunk_count += 1
            if len(received) > MAX_BODY_BYTES or chunk_count > MAX_BODY_CHUNKS:
                raise httpcore.RemoteProtocolError("body too long")
            if not hold(len(received)):
                raise NoRoom("no room for the body")
            expected_ms = len(received) / MIN_BODY_BYTES_PER_MS
            timeout.deadline = timeout_ms / 1000 + min(
                trio.current_time(), began + expected_ms / 1000
            )


async def request(
    pool: httpcore.AsyncConnectionPool | httpcore.AsyncHTTP11Connection,
    method: str,
    url: str,
    hold: Hold = hold_any,
    **options: typing.Any,
) -> httpcore.Response:
    """Make a call and read the whole response, which has a limited length.

    Raises httpcore.RemoteProtocolError if it is longer than
    ``MAX_BODY_BYTES``, or NoRoom; its connection is closed.
    """
    received = bytearray()
    async with pool.stream(method, url, **options) as response:
        await read_body(
            response, received, trio.CancelScope(), math.inf, hold=hold
        )
    whole = httpcore.Response(
        response.status, headers=response.headers, content=bytes(received)
    )
    whole.read()
    return whole


CALL_FAILURES = (
    httpcore.TimeoutException,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
    trio.TooSlowError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    OSError,
)


@attrs.define
class PlatformClient:
    """A pool of connections to one platform service.

    ``caller`` identifies this process in the service's logs.
    """

    service: str
    base_url: str
    caller: str = attrs.field(default="", kw_only=True)
    pool: httpcore.AsyncConnectionPool = attrs.field(
        factory=lambda: httpcore.AsyncConnectionPool(
            max_connections=8, keepalive_expiry=20.0
        )
    )

    async def call(
        self,
        method: str,
        path: str,
        body: object = None,
        timeout_ms: float = 5_000,
        may_send: typing.Callable[[], bool] = lambda: True,
    ) -> Reply:
        """Make one call; raise PlatformUnavailable if there is no response.

        The head has ``timeout_ms``; the body may take longer if it comes
        steadily. 429, 503 and other server errors also count as no response.
        """
        mark = SentMark(may_send=may_send)
        received = bytearray()
        content = None if body is None else json.dumps(body).encode()
        try:
            with trio.fail_after(timeout_ms / 1000) as timeout:
                async with self.pool.stream(
                    method,
                    self.base_url + path,
                    headers={
                        "Content-Type": "application/json",
                        "X-Caller": self.caller,
                    },
                    content=content,
                    extensions={"trace": mark.trace},
                ) as response:
                    await read_body(response, received, timeout, timeout_ms)
        except CALL_FAILURES as cause:
            if isinstance(cause, trio.TooSlowError):
                await drop_idle(self.pool)
            detail = f"no response ({type(cause).__name__})"
            raise errors.PlatformUnavailable(
                self.service, detail, sent=mark.sent
            ) from cause
        return self._read(response, bytes(received))

    def _read(self, response: httpcore.Response, content: bytes) -> Reply:
        headers = {
            name.decode().lower(): value.decode("latin-1")
            for name, value in response.headers
        }
        if response.status in (429, 503):
            delay_ms = int(float(headers.get("retry-after", "1")) * 1000)
            raise errors.PlatformUnavailable(
                self.service,
                f"status {response.status}",
                sent=False,
                retry_after_ms=delay_ms,
            )
        body = None
        # Deeply nested JSON raises RecursionError.
        with contextlib.suppress(ValueError, RecursionError):
            body = json.loads(content)
        if response.status >= 500 or (body is None and content):
            raise errors.PlatformUnavailable(
                self.service, f"status {response.status}"
            )
        return Reply(response.status, headers, body)

    async def close(self) -> None:
        """Close all connections."""
        await self.pool.aclose()
