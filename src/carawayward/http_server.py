"""Serves HTTP/1.1 by hypercorn, one connection's faults apart from others.

hypercorn's own server runs all connections in one nursery, so that what
nobody expected on one of them would end them all; it goes over to HTTP/2
and WebSocket when a caller asks for it, and holds such a connection without
a bound when what follows is junk; and it shields its writes, so that a
caller who takes no data holds a task until TCP gives up. Its connection
classes are taken here, with these four things put right.
"""

import functools
import json
import socket
import ssl
import typing

import attrs
import h11
from hypercorn import events as hypercorn_events
from hypercorn.protocol import events as hypercorn_protocol_events
from hypercorn.protocol import h11 as h11_protocol
from hypercorn.protocol import http_stream
from hypercorn.trio import tcp_server
from hypercorn.trio import worker_context
from hypercorn import typing as hypercorn_typing
from hypercorn import utils as hypercorn_utils
import trio

from carawayward import events
from carawayward import http_client as http
from carawayward import listening
from carawayward import supervision

IDLE_CHECK_S = 0.25
CLOSE_CHECK_S = 0.02
# How long connections without a request stay open once the listener takes no
# further ones. A caller that connected or sent a moment before cannot know of
# the stop: closed at once, one of 34 runs in which all entry VMs are replaced
# left a request without an answer. Callers are some ms away, and a busy
# process reads within tens.
IDLE_GRACE_S = 0.1


class Exchange(http_stream.HTTPStream):
    """One request and its reply."""

    protocol: "Http1Protocol"

    async def app_send(
        self, message: hypercorn_typing.ASGISendEvent | None
    ) -> None:
        """Send one message of the application."""
        last = (
            message is not None
            and message["type"] == "http.response.body"
            and not message.get("more_body", False)
        )
        if not last:
            await super().app_send(message)
            return
        self.protocol.ending = True
        self.protocol.hold()
        try:
            await super().app_send(message)
        finally:
            self.protocol.ending = False
            await self.protocol.release()


class Http1Protocol(h11_protocol.H11Protocol):
    """HTTP/1.1 and nothing else; a server may ignore "Upgrade".

    The head of a reply goes out with its first piece, and the end of a
    reply with its last: each write is a call of the system, which costs
    more than all else that a token needs. ``chunked`` says that the pieces
    of the present reply are framed here, in one step instead of a dozen.
    """

    def __init__(self, *arguments: typing.Any) -> None:
        super().__init__(*arguments)
        self.chunked = False
        self.ending = False
        self.held: list[bytes] | None = None
        self.pass_on = self.send
        self.send = self._send

    async def _send(self, event: hypercorn_events.Event) -> None:
        if isinstance(event, hypercorn_events.RawData):
            if self.held is not None:
                self.held.append(event.data)
                return
        else:
            await self.release()
        await self.pass_on(event)

    def hold(self) -> None:
        """Keep what is sent until it is released."""
        if self.held is None:
            self.held = []

    async def release(self) -> None:
        """Write what was kept, in one piece."""
        held, self.held = self.held, None
        if held:
            data = b"".join(held)
            await self.pass_on(hypercorn_events.RawData(data=data))

    async def stream_send(
        self, event: hypercorn_protocol_events.Event
    ) -> None:
        """Send one event of a reply."""
        if type(event) is hypercorn_protocol_events.Body:
            if self.chunked:
                size = b"%x\r\n" % len(event.data)
                data = size + event.data + b"\r\n"
                await self.send(hypercorn_events.RawData(data=data))
            else:
                await super().stream_send(event)
            if not self.ending:
                await self.release()
            return
        if type(event) is hypercorn_protocol_events.Response:
            self.chunked = self._will_chunk(event)
            self.hold()
        await super().stream_send(event)

    def _will_chunk(self, event: hypercorn_protocol_events.Response) -> bool:
        """Whether h11 frames this reply in chunks, as it then decides."""
        assert isinstance(self.connection, h11.Connection)
        sized = any(name == b"content-length" for name, _ in event.headers)
        version = self.connection.their_http_version or b"1.0"
        bodiless = event.status_code < 200 or event.status_code in (204, 304)
        return not sized and not bodiless and version >= b"1.1"

    async def _check_protocol(self, event: h11.Request) -> None:
        """Go over to no other protocol."""

    async def _create_stream(self, request: h11.Request) -> None:
        stream = Exchange(
            self.app,
            self.config,
            self.context,
            self.task_group,
            self.ssl,
            self.client,
            self.server,
            self.stream_send,
            h11_protocol.STREAM_ID,
        )
        stream.protocol = self
        self.stream = stream
        await stream.handle(
            hypercorn_protocol_events.Request(
                stream_id=h11_protocol.STREAM_ID,
                headers=list(request.headers),
                http_version=request.http_version.decode(),
                method=request.method.decode("ascii").upper(),
                raw_path=request.target,
                state=self.connection_state,
            )
        )
        self.keep_alive_requests += 1

    async def _send_error_response(self, status_code: int) -> None:
        """Refuse what is no HTTP in the form of all other refusals."""
        events.log_event(
            events.Event.REQUEST_BAD, field="http", status=status_code
        )
        problem = {
            "title": "bad request",
            "status": status_code,
            "detail": "this is no HTTP/1.1 request, or its head is too large",
            "not_run": True,
        }
        body = json.dumps(problem).encode()
        headers = [
            (b"content-type", b"application/problem+json"),
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
            *self.config.response_headers("h11"),
        ]
        await self._send_h11_event(
            h11.Response(status_code=status_code, headers=headers)
        )
        await self._send_h11_event(h11.Data(data=body))
        await self._send_h11_event(h11.EndOfMessage())


class IdleMark:
    """Notes since when a connection has carried no request.

    It stands where hypercorn starts and ends a task for each request; one
    task looks at all marks instead.
    """

    def __init__(self) -> None:
        self.since: float | None = None

    async def restart(self, task_group: object, action: object) -> None:
        """Begin to be idle."""
        self.since = trio.current_time()

    async def stop(self) -> None:
        """Be idle no longer."""
        self.since = None


class Connection(tcp_server.TCPServer):
    """One caller's connection; ``open_connections`` are all there are."""

    config: listening.ListenerConfig

    def __init__(
        self, open_connections: set["Connection"], *arguments: typing.Any
    ) -> None:
        super().__init__(*arguments)
        self.open_connections = open_connections
        self.idle = IdleMark()
        self.idle_task = typing.cast(worker_context.TrioSingleTask, self.idle)

    async def run(self) -> None:
        """Serve the connection; a fault ends this connection alone."""
        self.open_connections.add(self)
        try:
            await super().run()
        except (Exception, BaseExceptionGroup) as fault:
            _, rest = supervision.split_cancelled(fault)
            if rest is None:
                raise
            events.log_event(
                events.Event.FAULT,
                task="connection",
                detail=supervision.describe_fault(rest),
            )
        finally:
            self.open_connections.discard(self)
            await trio.aclose_forcefully(self.stream)

    def end_idle(self) -> None:
        """Close the connection, at once and from outside its task.

        Its task, which waits for a request, finds it closed and ends.
        """
        self._find_socket().close()

    def has_unread(self) -> bool:
        """Whether bytes of the caller wait to be read.

        trio's sockets wait for bytes, so this looks by one of the standard
        library's, which is detached before it could close the connection.
        """
        descriptor = self._find_socket().fileno()
        if descriptor < 0:
            return False
        plain = socket.socket(fileno=descriptor)
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return bool(plain.recv(1, flags))
        except OSError:
            return False
        finally:
            plain.detach()

    def _find_socket(self) -> trio.socket.SocketType:
        stream: typing.Any = self.stream
        if isinstance(stream, trio.SSLStream):
            stream = stream.transport_stream
        return stream.socket

    async def _read_data(self) -> None:
        made = self.protocol
        made.protocol = Http1Protocol(
            made.app,
            made.config,
            made.context,
            made.task_group,
            made.state,
            made.ssl,
            made.client,
            made.server,
            made.send,
        )
        await super()._read_data()

    async def protocol_send(self, event: hypercorn_events.Event) -> None:
        """Write within a bound.

        A write that is cancelled halfway would leave half a message on the
        wire, hence the shield; one that is not taken in time ends the
        connection, and with it the run that it was for.
        """
        if not isinstance(event, hypercorn_events.RawData):
            await super().protocol_send(event)
            return
        data = event.data
        if not self.send_lock.locked():
            if isinstance(self.stream, trio.SocketStream):
                data = data[http.write_nonblocking(self.stream, data) :]
            if not data:
                return
        async with self.send_lock:
            try:
                with trio.CancelScope(
                    shield=True,
                    relative_deadline=self.config.silence_ms / 1000,
                ) as scope:
                    await self.stream.send_all(data)
                if not scope.cancelled_caught:
                    return
                await trio.aclose_forcefully(self.stream)
            except (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
                trio.BusyResourceError,
            ):
                pass
        await self.protocol.handle(hypercorn_events.Closed())


async def serve(
    app: typing.Any, config: listening.ListenerConfig, stop: trio.Event
) -> None:
    """Serve until ``stop`` is set, then let open requests finish."""
    context = worker_context.WorkerContext(None)
    open_connections: set[Connection] = set()
    wrapped = hypercorn_utils.wrap_app(app, config.wsgi_max_body_size, "asgi")

    async def handle(stream: trio.abc.Stream) -> None:
        await Connection(
            open_connections,
            wrapped,
            config,
            context,
            hypercorn_typing.ConnectionState({}),
            stream,
        )

    ports = make_ports(config)
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                functools.partial(
                    trio.serve_listeners,
                    handle,
                    [port.listener for port in ports],
                    handler_nursery=connections,
                )
            )
            while not stop.is_set():
                close_idle(open_connections, config.keep_alive_timeout)
                with trio.move_on_after(IDLE_CHECK_S):
                    await stop.wait()
            accepting.cancel_scope.cancel()
        for port in ports:
            for stream in port.close():
                connections.start_soon(handle, stream)
        await context.terminated.set()
        with trio.move_on_after(config.graceful_timeout):
            await trio.sleep(IDLE_GRACE_S)
            while open_connections:
                close_idle(open_connections, 0.0)
                await trio.sleep(CLOSE_CHECK_S)
        connections.cancel_scope.cancel()


def close_idle(connections: set[Connection], timeout_s: float) -> None:
    """Have connections end that have carried no request for a while.

    A request whose head has not come whole is none yet, so this also bounds
    how long a head may dribble. Bytes that nobody has read yet may be a whole
    request, which would be lost with the connection; they are read at once,
    so that this holds up nothing.
    """
    oldest = trio.current_time() - timeout_s
    for connection in connections:
        since = connection.idle.since
        if since is None or since > oldest or connection.has_unread():
            continue
        connection.end_idle()


class QueueListener(trio.abc.Listener[trio.SocketStream]):
    """Accepts connections; ``aclose`` leaves its socket open.

    Closing a listening socket resets the connections that the kernel has
    accepted and the process has not, and with them requests that their
    callers have sent. ``drain`` takes these, then closes the socket.
    """

    def __init__(self, listening_socket: socket.socket) -> None:
        self.listening_socket = listening_socket
        self.inner = trio.SocketListener(
            trio.socket.from_stdlib_socket(listening_socket)
        )

    async def accept(self) -> trio.SocketStream:
        """Wait for the next connection."""
        return await self.inner.accept()

    async def aclose(self) -> None:
        """Leave the socket to ``drain``."""
        await trio.lowlevel.checkpoint()

    def drain(self) -> typing.Iterator[trio.SocketStream]:
        """Accept the connections that wait, then close the socket."""
        with self.listening_socket:
            while True:
                try:
                    accepted, _ = self.listening_socket.accept()
                except BlockingIOError:
                    return
                except OSError as fault:
                    events.log_event(
                        events.Event.FAULT,
                        task="closing a listener",
                        detail=supervision.describe_fault(fault),
                    )
                    return
                yield trio.SocketStream(
                    trio.socket.from_stdlib_socket(accepted)
                )


@attrs.frozen(eq=False)
class Port:
    """One listening address, with TLS if there is a context for it."""

    queue: QueueListener
    tls: ssl.SSLContext | None = None

    @property
    def listener(self) -> trio.abc.Listener:
        """What is served until the stop."""
        if self.tls is None:
            return self.queue
        return trio.SSLListener(self.queue, self.tls, https_compatible=True)

    def close(self) -> typing.Iterator[trio.abc.Stream]:
        """Close the address; yields the connections that still waited."""
        for stream in self.queue.drain():
            if self.tls is None:
                yield stream
                continue
            yield trio.SSLStream(
                stream, self.tls, server_side=True, https_compatible=True
            )


def make_ports(config: listening.ListenerConfig) -> list[Port]:
    """Listen on the configured addresses."""
    sockets = config.create_sockets()
    ports = []
    for plain in sockets.insecure_sockets + sockets.secure_sockets:
        plain.listen(config.backlog)
        tls = None
        if plain in sockets.secure_sockets:
            tls = config.create_ssl_context()
        ports.append(Port(QueueListener(plain), tls))
    return ports
