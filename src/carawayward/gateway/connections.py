"""Pools of connections to endpoints, one pool an endpoint.

One pool for all would cost each request a walk over every open connection
of the entry VM; with a pool an endpoint the walk is over that endpoint's.
"""

import os
import select
import ssl
import typing

import attrs
import httpcore
import trio

from carawayward import http_client as http
from carawayward import listening

MAX_CONNECTIONS = 2_000
MAX_IDLE = 50
IDLE_EXPIRY_S = 15.0
# A stream that always has more to read yields to other tasks this often.
READS_IN_A_ROW = 16
MAX_UNWRITTEN = 65_536
# Pools are looked through for unused ones when their number passes this.
TIDY_ABOVE = 64


@attrs.define(eq=False)
class Reading:
    """What a connection does for the run that is read from it.

    ``flush`` is awaited when all that has arrived was read and nothing more
    is there yet. ``waiting_since`` is when the wait for more began, on
    trio's clock, and ``scope`` ends it.
    """

    flush: typing.Callable[[], typing.Awaitable[None]]
    scope: trio.CancelScope
    waiting_since: float | None = None


class EndpointStream(httpcore.AsyncNetworkStream):
    """A connection whose reader knows when nothing more has arrived.

    httpcore reads when it has parsed all that it had. At that moment, and
    not before, the tokens that came together are handed on together. Silence
    is found by one watch over all waiting streams, since a timeout of its
    own for each read costs as much as the read.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.reading: Reading | None = None
        self.streak = 0
        self.unwritten = b""
        self.drained = False

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Read what is there, or wait for some."""
        if self.unwritten:
            await self._write_out(timeout)
        if self.reading is None:
            with trio.move_on_after(timeout or float("inf")):
                return await self.stream.receive_some(max_bytes)
            raise httpcore.ReadTimeout()
        if self.drained:
            return await self._wait(self.reading, max_bytes)
        try:
            data = os.read(self.stream.socket.fileno(), max_bytes)
        except BlockingIOError:
            return await self._wait(self.reading, max_bytes)
        self.drained = len(data) < max_bytes
        self.streak += 1
        if self.streak % READS_IN_A_ROW == 0:
            await trio.lowlevel.checkpoint()
        return data

    async def _wait(self, reading: Reading, max_bytes: int) -> bytes:
        await reading.flush()
        reading.waiting_since = trio.current_time()
        try:
            await trio.lowlevel.wait_readable(self.stream.socket.fileno())
        finally:
            reading.waiting_since = None
        data = os.read(self.stream.socket.fileno(), max_bytes)
        # A short read took all that there was; trying again at once would
        # be a call of the system for nothing with each token.
        self.drained = len(data) < max_bytes
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write ``buffer``, at the latest before the next read.

        httpcore writes head and body apart; they go out together.
        """
        self.unwritten += buffer
        if len(self.unwritten) >= MAX_UNWRITTEN:
            await self._write_out(timeout)

    async def _write_out(self, timeout: float | None) -> None:
        data, self.unwritten = self.unwritten, b""
        data = data[http.write_now(self.stream, data) :]
        if not data:
            return
        with trio.move_on_after(timeout or float("inf")):
            await self.stream.send_all(data)
            return
        raise httpcore.WriteTimeout()

    async def aclose(self) -> None:
        """Close at once; there is nothing to say goodbye to."""
        await trio.aclose_forcefully(self.stream)

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Endpoints are called without TLS."""
        raise httpcore.UnsupportedProtocol("endpoints are called without TLS")

    def get_extra_info(self, info: str) -> typing.Any:
        """Tell httpcore whether an idle connection was closed over there."""
        if info != "is_readable":
            return None
        descriptor = self.stream.socket.fileno()
        if descriptor < 0:
            return True
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return bool(poll.poll(0))


class EndpointBackend(httpcore.AsyncNetworkBackend):
    """Makes connections to endpoints.

    With ``silence_ms`` the kernel ends a connection whose other side has
    not answered it for about so long, though nothing is being sent.
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
                stream = await trio.open_tcp_stream(host, port)
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
    """A pool of connections to endpoints."""
    return httpcore.AsyncConnectionPool(
        max_connections=max_connections,
        max_keepalive_connections=max_idle,
        keepalive_expiry=IDLE_EXPIRY_S,
        network_backend=EndpointBackend(silence_ms),
    )


def make_single_use_pool() -> httpcore.AsyncConnectionPool:
    """A pool for one exchange, which begins on a connection of its own."""
    return make_pool(1, 0)


@attrs.define
class EndpointPools:
    """The pools by address."""

    pools: dict[str, httpcore.AsyncConnectionPool] = attrs.field(factory=dict)

    async def get(self, address: str) -> httpcore.AsyncConnectionPool:
        """The endpoint's pool."""
        pool = self.pools.get(address)
        if pool is None:
            if len(self.pools) > TIDY_ABOVE:
                await self._tidy()
            pool = make_pool(MAX_CONNECTIONS, MAX_IDLE)
            self.pools[address] = pool
        return pool

    async def drop_idle(self, address: str) -> None:
        """Close an endpoint's idle connections after one went silent."""
        pool = self.pools.get(address)
        if pool is not None:
            await http.drop_idle(pool)

    async def _tidy(self) -> None:
        unused = [
            address
            for address, pool in self.pools.items()
            if all(each.has_expired() for each in pool.connections)
        ]
        for address in unused:
            await self.pools.pop(address).aclose()

    async def close(self) -> None:
        """Close all connections."""
        for pool in list(self.pools.values()):
            await pool.aclose()
        self.pools.clear()
