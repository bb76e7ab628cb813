"""Connection pools, one for each endpoint.

httpcore scans all connections of a pool on each request. With one common
pool that scan would cover every open connection of the entry VM; with a
pool for each endpoint it covers only that endpoint's connections.
"""

import ipaddress
import os
import select
import socket
import ssl
import typing

import attrs
import httpcore
import trio

from carawayward import http_client as http
from carawayward import listening
from carawayward import time_slices

MAX_CONNECTIONS = 2_000
MAX_IDLE = 50
IDLE_EXPIRY_S = 15.0
# What is read at once. All of it may have to be parsed before the reader can
# let other tasks run.
MAX_READ_BYTES = 4_096
MAX_UNWRITTEN_BYTES = 65_536
# What a connection for one request may receive before the end of a response's
# head.
MAX_HEAD_BYTES = 131_072
# A line of a head takes as long to parse as so many bytes of a long one. An
# interim response has two lines and may have 18 bytes.
HEAD_LINE_OVERHEAD_BYTES = 256
# What the kernel may receive of a response that is read as slowly as its
# caller reads it. The kernel doubles it for what packets take besides.
UNREAD_BYTES = 65_536
# Unused pools are closed when a pool is added and there are more than this.
PRUNE_ABOVE = 64


@attrs.define(eq=False)
class Reading:
    """Links a connection to the run that is being read from it.

    ``flush`` is awaited when all received data has been read and the
    connection is about to wait for more. ``waiting_since`` is when that
    wait began, on trio's clock; cancelling ``scope`` ends it.
    """

    flush: typing.Callable[[], typing.Awaitable[None]]
    scope: trio.CancelScope
    waiting_since: float | None = None


class EndpointStream(httpcore.AsyncNetworkStream):
    """A connection that tells its reader when no more data is available.

    httpcore reads again once it has parsed everything it had. Only then are
    the tokens that arrived together passed on, in one piece. Silence is
    detected by one task that watches all waiting streams, since a timeout
    for each read would cost as much as the read itself.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.reading: Reading | None = None
        self.time_slice = time_slices.TimeSlice()
        self.head_bytes_left: int | None = None
        self.has_written = False
        self.unwritten = b""
        self.drained = False

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Read the available data, or wait for some.

        Raises httpcore.RemoteProtocolError if there is more than the head of
        a response may have, with the interim ones before it.
        """
        self._check_head()
        max_bytes = min(max_bytes, MAX_READ_BYTES)
        if self.unwritten:
            await self._send_unwritten(timeout)
        if self.reading is None:
            if timeout is None:
                return await self._receive(max_bytes)
            with trio.move_on_after(timeout):
                return await self._receive(max_bytes)
            raise httpcore.ReadTimeout()
        if self.drained:
            return await self._wait(self.reading, max_bytes)
        try:
            data = os.read(self.stream.socket.fileno(), max_bytes)
        except BlockingIOError:
            return await self._wait(self.reading, max_bytes)
        await self._record_read(data, max_bytes)
        return data

    async def _record_read(self, data: bytes, max_bytes: int) -> None:
        """Record a read that may have found data without a wait.

        Its lines count from the next read on: only that shows that this one
        does not end the head, with lines of the body behind it.
        """
        self.drained = len(data) < max_bytes
        if self.head_bytes_left is not None:
            self.head_bytes_left -= len(data)
            self._check_head()
            lines = data.count(b"\n")
            self.head_bytes_left -= lines * HEAD_LINE_OVERHEAD_BYTES
        await self.time_slice.yield_if_over()

    def _check_head(self) -> None:
        if self.head_bytes_left is not None and self.head_bytes_left < 0:
            raise httpcore.RemoteProtocolError("head too long")

    async def _receive(self, max_bytes: int) -> bytes:
        """Read what has arrived, or wait for it."""
        while True:
            descriptor = self.stream.socket.fileno()
            if self.drained:
                await trio.lowlevel.wait_readable(descriptor)
                self.time_slice.restart()
            try:
                data = os.read(descriptor, max_bytes)
            except BlockingIOError:
                self.drained = True
                continue
            await self._record_read(data, max_bytes)
            return data

    async def _wait(self, reading: Reading, max_bytes: int) -> bytes:
        await reading.flush()
        reading.waiting_since = trio.current_time()
        try:
            await trio.lowlevel.wait_readable(self.stream.socket.fileno())
        finally:
            reading.waiting_since = None
        self.time_slice.restart()
        data = os.read(self.stream.socket.fileno(), max_bytes)
        # A short read emptied the socket buffer. Reading again at once
        # would waste one system call on each token.
        self.drained = len(data) < max_bytes
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Queue ``buffer`` to be written, at the latest by the next read.

        httpcore writes head and body separately; this sends them together.
        """
        if len(buffer) >= MAX_UNWRITTEN_BYTES:
            # A long body is not copied.
            if self.unwritten:
                await self._send_unwritten(timeout)
            self.unwritten = buffer
        else:
            self.unwritten += buffer
        if len(self.unwritten) >= MAX_UNWRITTEN_BYTES:
            await self._send_unwritten(timeout)

    async def _send_unwritten(self, timeout: float | None) -> None:
        data, self.unwritten = memoryview(self.unwritten), b""
        self.has_written = True
        data = data[http.write_nonblocking(self.stream, data) :]
        if not data:
            return
        with trio.move_on_after(timeout or float("inf")):
            await self.stream.send_all(data)
            return
        raise httpcore.WriteTimeout()

    async def aclose(self) -> None:
        """Close at once, without a graceful shutdown."""
        self.stream.socket.close()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Refuse, since endpoints are called without TLS."""
        raise httpcore.UnsupportedProtocol("endpoints are called without TLS")

    def get_extra_info(self, info: str) -> typing.Any:
        """Answer httpcore's check for idle connections closed by the peer.

        Other information is not available.
        """
        if info != "is_readable":
            return None
        descriptor = self.stream.socket.fileno()
        if descriptor < 0:
            return True
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return bool(poll.poll(0))


def get_time_slice(response: httpcore.Response) -> time_slices.TimeSlice:
    """The time slice of the task that reads a response.

    The connection restarts it when it has waited for data.
    """
    stream = response.extensions.get("network_stream")
    if isinstance(stream, EndpointStream):
        return stream.time_slice
    return time_slices.TimeSlice()


def end_head(response: httpcore.Response) -> None:
    """Record that the head of a response is complete."""
    stream = response.extensions.get("network_stream")
    if isinstance(stream, EndpointStream):
        stream.head_bytes_left = None


def limit_unread(response: httpcore.Response) -> None:
    """Have the kernel receive little of a response that is not read."""
    stream = response.extensions.get("network_stream")
    if isinstance(stream, EndpointStream):
        stream.stream.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BYTES
        )


async def open_stream(host: str, port: int) -> trio.SocketStream:
    """Connect; for an IP address without the tasks that resolve a name."""
    try:
        version = ipaddress.ip_address(host).version
    except ValueError:
        return await trio.open_tcp_stream(host, port)
    family = socket.AF_INET if version == 4 else socket.AF_INET6
    connecting = trio.socket.socket(family, socket.SOCK_STREAM)
    try:
        await connecting.connect((host, port))
    except BaseException:
        connecting.close()
        raise
    return trio.SocketStream(connecting)


class EndpointBackend(httpcore.AsyncNetworkBackend):
    """Opens connections to endpoints.

    With ``silence_ms`` the kernel closes a connection whose peer has not
    answered for about that long, even if nothing is being sent on it.
    """

    def __init__(self, silence_ms: int | None = None) -> None:
        self.silence_ms = silence_ms

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: typing.Iterable | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connect within ``timeout`` seconds."""
        with trio.move_on_after(timeout or float("inf")):
            try:
                stream = await open_stream(host, port)
            except OSError as cause:
                raise httpcore.ConnectError(type(cause).__name__) from cause
            if self.silence_ms is not None:
                for option in listening.make_socket_options(self.silence_ms):
                    stream.setsockopt(*option)
            return EndpointStream(stream)
        raise httpcore.ConnectTimeout()

    async def sleep(self, seconds: float) -> None:
        """Wait."""
        await trio.sleep(seconds)


def make_pool(
    max_connections: int, max_idle: int, silence_ms: int | None = None
) -> httpcore.AsyncConnectionPool:
    """Create a pool of connections to endpoints."""
    return httpcore.AsyncConnectionPool(
        max_connections=max_connections,
        max_keepalive_connections=max_idle,
        keepalive_expiry=IDLE_EXPIRY_S,
        network_backend=EndpointBackend(silence_ms),
    )


def make_single_use_pool() -> httpcore.AsyncConnectionPool:
    """Create a pool for one exchange, which opens its own connection."""
    return make_pool(1, 0)


@attrs.define
class EndpointPools:
    """The connection pools, by endpoint address."""

    pools: dict[str, httpcore.AsyncConnectionPool] = attrs.field(factory=dict)

    async def get(self, address: str) -> httpcore.AsyncConnectionPool:
        """Return the endpoint's pool, creating it if needed."""
        pool = self.pools.get(address)
        if pool is None:
            if len(self.pools) > PRUNE_ABOVE:
                await self._close_unused()
            pool = make_pool(MAX_CONNECTIONS, MAX_IDLE)
            self.pools[address] = pool
        return pool

    async def drop_idle(self, address: str) -> None:
        """Close an endpoint's idle connections after one has gone silent."""
        pool = self.pools.get(address)
        if pool is not None:
            await http.drop_idle(pool)

    async def _close_unused(self) -> None:
        unused = [
            address
            for address, pool in self.pools.items()
            if all(connection.has_expired() for connection in pool.connections)
        ]
        for address in unused:
            await self.pools.pop(address).aclose()

    async def close(self) -> None:
        """Close all connections."""
        for pool in list(self.pools.values()):
            await pool.aclose()
        self.pools.clear()
