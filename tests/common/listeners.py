"""Listeners and single connections of the product, for tests."""

import contextlib
import socket
import typing

import attrs
from hypercorn.trio import worker_context
from hypercorn import typing as hypercorn_typing
from hypercorn import utils as hypercorn_utils
import trio

from carawayward import http_connections
from carawayward import http_server
from carawayward import listening
from carawayward import settings
from tests.common import loopback

GRACEFUL_MS = 2_000
SCENARIO_S = 20.0

App = typing.Any
Scenario = typing.Callable[[str, int, trio.Event], typing.Awaitable[None]]


async def answer(scope: dict, receive: typing.Any, send: typing.Any) -> None:
    """Answer with an empty 200."""
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b""})


def make_config(address: str = "127.0.0.1:0") -> listening.ListenerConfig:
    """The configuration of a listener without TLS."""
    return listening.make_config(address, settings.Limits(), None, GRACEFUL_MS)


def run_beside_listener(
    scenario: Scenario,
    app: App = answer,
    buffered_bytes: int | None = None,
    config: listening.ListenerConfig | None = None,
) -> None:
    """Run a scenario with a listener that it can stop."""
    config = config or make_config()

    async def run() -> None:
        (port,) = loopback.find_free_ports(1)
        address = f"127.0.0.1:{port}"
        config.bind = [address]
        if buffered_bytes is not None:
            config.buffers.max_bytes = buffered_bytes
        stop = trio.Event()
        with trio.fail_after(SCENARIO_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(http_server.serve, app, config, stop)
                await trio.to_thread.run_sync(
                    loopback.wait_until_listening, address
                )
                await scenario("127.0.0.1", port, stop)

    trio.run(run)


@attrs.define(eq=False)
class HeldStream:
    """A connection whose reads and writes wait for events of a test.

    A read that is held has taken its bytes from the socket, like a read of
    trio that passes its last checkpoint; it can't be cancelled any more.
    """

    inner: trio.SocketStream
    may_write: trio.Event = attrs.field(factory=trio.Event)
    may_return: trio.Event = attrs.field(factory=trio.Event)
    has_read: trio.Event = attrs.field(factory=trio.Event)

    @property
    def socket(self) -> trio.socket.SocketType:
        """The connection's socket."""
        return self.inner.socket

    async def receive_some(self, max_bytes: int) -> bytes:
        """Read, then wait until the bytes may be returned."""
        data = await self.inner.receive_some(max_bytes)
        self.has_read.set()
        with trio.CancelScope(shield=True):
            await self.may_return.wait()
        return bytes(data)

    async def send_all(self, data: bytes) -> None:
        """Wait until writes are allowed, then write."""
        await self.may_write.wait()
        await self.inner.send_all(data)

    async def send_eof(self) -> None:
        """Close the direction in which the server sends."""
        await self.inner.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        await self.inner.aclose()


@attrs.define(eq=False)
class HeldConnection:
    """A server's connection, and its caller."""

    stream: HeldStream
    caller: trio.SocketStream
    open_connections: set[http_connections.Connection]


@contextlib.asynccontextmanager
async def open_held_connection(
    app: App,
) -> typing.AsyncIterator[HeldConnection]:
    """Serve one connection, whose reads and writes the test releases."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        calling = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    held = HeldConnection(
        HeldStream(
            trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
        ),
        trio.SocketStream(trio.socket.from_stdlib_socket(calling)),
        set(),
    )
    config = make_config()
    connection = http_connections.Connection(
        held.open_connections,
        hypercorn_utils.wrap_app(app, config.wsgi_max_body_size, "asgi"),
        config,
        worker_context.WorkerContext(None),
        hypercorn_typing.ConnectionState(hypercorn_typing.LifespanState({})),
        held.stream,
    )
    with trio.fail_after(SCENARIO_S):
        async with held.caller, trio.open_nursery() as nursery:
            nursery.start_soon(connection.run)
            yield held
            nursery.cancel_scope.cancel()
