"""TCP relay between processes, with which tests inject network faults.

Each link listens on a port of its own and is named "FROM>TO". Modes:

- ``open`` forwards bytes, each after ``delay_ms``.
- ``held`` forwards nothing and drops nothing, like a network partition: the
  bytes sent meanwhile are delivered when the link is opened again.
- ``stale`` stops the existing connections for good without closing them;
  new connections work.
- ``reset`` closes the connections and refuses new ones.

The control port takes one JSON line, ``{"links": [...], "mode": ...,
"delay_ms": ...}``, and answers with one line.
"""

import contextlib
import functools
import json
import socket
import struct
import typing

import attrs
import fire
import trio

CHUNK = 65_536
# A link with a rate passes on smaller pieces, so that bytes come steadily.
PACED_CHUNK = 8_192
# Has the kernel reset a connection when it is closed.
LINGER_NONE = struct.pack("ii", 1, 0)


@attrs.define(eq=False)
class Connection:
    """A relayed connection; a stale one never forwards a byte again.

    ``source`` is the IP address that it comes from.
    """

    source: str = ""
    cancel_scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    stale: bool = False


@attrs.define(eq=False)
class Link:
    """The connections from one process to another, and their mode.

    With ``passes_resets`` a connection is reset if the target refuses or
    resets it; else it is closed. All connections together pass on
    ``bytes_per_s`` at most; ``passed`` counts what they have.
    """

    target: int
    passes_resets: bool = False
    mode: str = "open"
    delay_ms: float = 0.0
    changed: trio.Event = attrs.field(factory=trio.Event)
    connections: set[Connection] = attrs.field(factory=set)
    held_sources: set[str] = attrs.field(factory=set)
    bytes_per_s: float = float("inf")
    passed: int = 0
    _busy_until: float = 0.0

    def hold(self, source: str) -> None:
        """Forward nothing more of the connections from an address."""
        self.held_sources.add(source)

    def release(self, source: str) -> None:
        """Deliver what was held of the connections from an address."""
        self.held_sources.discard(source)
        self.changed.set()
        self.changed = trio.Event()

    def reset(self, source: str) -> None:
        """Close the connections from an address."""
        for connection in self.connections:
            if connection.source == source:
                connection.cancel_scope.cancel()

    def set_mode(self, mode: str, delay_ms: float) -> None:
        """Set the mode and wake all tasks that wait for a change."""
        self.delay_ms = delay_ms
        for connection in self.connections:
            if mode == "stale":
                connection.stale = True
            if mode == "reset":
                connection.cancel_scope.cancel()
        self.mode = "open" if mode == "stale" else mode
        self.changed.set()
        self.changed = trio.Event()

    @property
    def chunk(self) -> int:
        """How many bytes to pass on at once."""
        return CHUNK if self.bytes_per_s == float("inf") else PACED_CHUNK

    async def wait_for_rate(self, size: int) -> None:
        """Wait until ``size`` bytes have passed at the rate of the link."""
        self.passed += size
        if self.bytes_per_s == float("inf"):
            return
        start = max(self._busy_until, trio.current_time())
        self._busy_until = start + size / self.bytes_per_s
        await trio.sleep_until(self._busy_until)

    async def wait_until_passing(self, connection: Connection) -> None:
        """Wait until the connection may forward bytes."""
        while (
            connection.stale
            or self.mode == "held"
            or connection.source in self.held_sources
        ):
            await self.changed.wait()


async def forward(
    link: Link,
    connection: Connection,
    source: trio.SocketStream,
    sink: trio.SocketStream,
) -> None:
    """Forward bytes in one direction, and then the end of the stream."""
    while True:
        data = await source.receive_some(link.chunk)
        await link.wait_until_passing(connection)
        await link.wait_for_rate(len(data))
        if link.delay_ms:
            await trio.sleep(link.delay_ms / 1000)
        if not data:
            await sink.send_eof()
            return
        await sink.send_all(data)


async def relay(link: Link, inbound: trio.SocketStream) -> None:
    """Relay one connection until both directions have ended."""
    connection = Connection(source=inbound.socket.getpeername()[0])
    link.connections.add(connection)
    outbound = None
    try:
        with connection.cancel_scope:
            if link.mode == "reset":
                return
            await link.wait_until_passing(connection)
            try:
                outbound = await trio.open_tcp_stream("127.0.0.1", link.target)
            except OSError:
                _pass_reset(link, inbound)
                return
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    forward_until_failure, link, connection, inbound, outbound
                )
                nursery.start_soon(
                    forward_until_failure, link, connection, outbound, inbound
                )
    finally:
        link.connections.discard(connection)
        for stream in (inbound, outbound):
            if stream is not None:
                await trio.aclose_forcefully(stream)


async def forward_until_failure(
    link: Link,
    connection: Connection,
    source: trio.SocketStream,
    sink: trio.SocketStream,
) -> None:
    """Forward in one direction; end the connection if either end fails."""
    try:
        await forward(link, connection, source, sink)
    except trio.BrokenResourceError:
        for each in (source, sink):
            _pass_reset(link, each)
        connection.cancel_scope.cancel()
    except trio.ClosedResourceError:
        connection.cancel_scope.cancel()


def _pass_reset(link: Link, stream: trio.SocketStream) -> None:
    """Have a connection be reset, not closed, if the link passes resets."""
    if link.passes_resets:
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE
        )


async def serve_link(
    link: Link,
    port: int = 0,
    *,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Relay the connections of a port until cancelled; 0 takes a free one."""
    listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
    task_status.started(listeners[0].socket.getsockname()[1])
    handler = functools.partial(relay, link)
    await trio.serve_listeners(handler, listeners)


async def control(links: dict[str, Link], stream: trio.SocketStream) -> None:
    """Execute one command line from the control port."""
    line = b""
    while not line.endswith(b"\n"):
        line += await stream.receive_some(CHUNK)
    command: dict[str, typing.Any] = json.loads(line)
    for name in command["links"]:
        links[name].set_mode(command["mode"], command.get("delay_ms", 0.0))
    await stream.send_all(b"done\n")
    await stream.aclose()


async def serve(port: int, ports: dict[str, list[int]]) -> None:
    """Serve the control port and all links."""
    links = {name: Link(target) for name, (_, target) in ports.items()}
    async with trio.open_nursery() as nursery:
        for name, (listen, _) in ports.items():
            handler = functools.partial(relay, links[name])
            nursery.start_soon(
                functools.partial(
                    trio.serve_tcp, handler, listen, host="127.0.0.1"
                )
            )
        await trio.serve_tcp(
            functools.partial(control, links), port, host="127.0.0.1"
        )


def main(port: int, file: str) -> None:
    """Relay the links of a JSON file.

    Args:
        port: the control port.
        file: maps each link's name to its [listening, target] ports.
    """
    with open(file) as opened, contextlib.suppress(KeyboardInterrupt):
        trio.run(serve, port, json.load(opened))


if __name__ == "__main__":
    fire.Fire(main)
