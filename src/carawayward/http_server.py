"""Serves HTTP/1.1 with hypercorn and isolates connections from each other.

hypercorn's own server has four problems that its connection classes are
extended here to avoid:

- it runs all connections in one nursery, so that an unexpected exception on
  one of them ends them all;
- it switches to HTTP/2 and WebSocket when a caller asks for it;
- it keeps such a connection open without a bound if malformed data follows;
- it shields its writes from cancellation, so that a caller who accepts no
  data occupies a task until TCP times out.
"""

import contextlib
import functools
import json
import socket
import ssl
import struct
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

from carawayward import accept_queue
from carawayward import closes
from carawayward import events
from carawayward import http_client as http
from carawayward import listening
from carawayward import supervision

# Idle connections are closed at most this much too late.
IDLE_CHECK_INTERVAL_S = 0.25
CLOSE_CHECK_INTERVAL_S = 0.02
# How long connections without a request stay open after the listener has
# stopped accepting. A caller that has just connected or sent a request cannot
# know of the stop: when such connections were closed at once, one of 34 runs
# that replace all entry VMs left a request without an answer. Callers are a
# few ms away, and a busy process reads within tens of ms.
IDLE_GRACE_S = 0.1
# How long, and how much, is read and discarded after the last reply on a
# connection. A caller may still send the body of a request that was refused.
DISCARD_S = 2.0
MAX_DISCARDED_BYTES = 16 * 1_048_576
# The key of a request's state with a function that says how long ago, in ms,
# the kernel received the connection's last data.
FIND_AGE_MS = "find_age_ms"
# The key of a request's state with its target as received.
TARGET = "target"
# Where ``tcp_info`` has the time since the last data was received, in ms.
LAST_DATA_RECEIVED = struct.Struct("=52xI")


class Exchange(http_stream.HTTPStream):
    """One request and its response."""

    config: listening.ListenerConfig
    protocol: "Http1Protocol"

    async def app_send(
        self, message: hypercorn_typing.ASGISendEvent | None
    ) -> None:
        """Send one ASGI message of the application."""
        last = (
            message is not None
            and message["type"] == "http.response.body"
            and not message.get("more_body", False)
        )
        if not last:
            await super().app_send(message)
            return
        self.protocol.ending = True
        self.protocol.start_buffering()
        # If the end were cancelled after it has been written, the connection
        # would stay open but never read its next request.
        with trio.CancelScope(
            shield=True, relative_deadline=self.config.silence_ms / 1000
        ) as ending:
            try:
                await super().app_send(message)
            finally:
                self.protocol.ending = False
                await self.protocol.release()
        if ending.cancelled_caught:
            await self.protocol.send(hypercorn_events.Closed())


class Http1Protocol(h11_protocol.H11Protocol):
    """HTTP/1.1 only; a server is allowed to ignore "Upgrade".

    The head of a response is sent with its first chunk and the end with its
    last: each write is a system call, which costs more than everything else
    that a token takes. ``chunked`` says that the chunks of the current
    response are framed here, in one step instead of a dozen.
    """

    def __init__(self, *arguments: typing.Any) -> None:
        super().__init__(*arguments)
        self.chunked = False
        self.ending = False
        self.buffered: list[bytes] | None = None
        self.send_unbuffered = self.send
        self.send = self._send

    async def _send(self, event: hypercorn_events.Event) -> None:
        if isinstance(event, hypercorn_events.RawData):
            if self.buffered is not None:
                self.buffered.append(event.data)
                return
        else:
            await self.release()
        await self.send_unbuffered(event)

    def start_buffering(self) -> None:
        """Buffer what is sent until it is released."""
        if self.buffered is None:
            self.buffered = []

    async def release(self) -> None:
        """Send the buffered data in one write and stop buffering."""
        buffered, self.buffered = self.buffered, None
        if buffered:
            data = b"".join(buffered)
            await self.send_unbuffered(hypercorn_events.RawData(data=data))

    async def stream_send(
        self, event: hypercorn_protocol_events.Event
    ) -> None:
        """Send one event of a response."""
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
            if self._is_last():
                event.headers.append((b"connection", b"close"))
            self.chunked = self._will_chunk(event)
            self.start_buffering()
        await super().stream_send(event)

    def _is_last(self) -> bool:
        """Whether no request follows, as the listener has been stopped."""
        return (
            self.context.terminated.is_set()
            and not self.connection.trailing_data[0]
        )

    async def _maybe_recycle(self) -> None:
        """Prepare for the next request, or close if there can be none.

        A request that has been read is served after a stop, too. Unless a
        reply says otherwise the connection is closed when it is idle.
        """
        await self._close_stream()
        connection = self.connection
        assert isinstance(connection, h11.Connection)
        recycles = (
            connection.our_state is h11.DONE
            and connection.their_state is h11.DONE
        )
        if recycles:
            connection.start_next_cycle()
        await self.can_read.set()
        if recycles:
            await self.send(hypercorn_events.Updated(idle=True))
        else:
            await self.send(hypercorn_events.Closed())

    def _will_chunk(self, event: hypercorn_protocol_events.Response) -> bool:
        """Whether h11 will use chunked encoding; mirrors its own decision."""
        assert isinstance(self.connection, h11.Connection)
        sized = any(name == b"content-length" for name, _ in event.headers)
        version = self.connection.their_http_version or b"1.0"
        bodiless = event.status_code < 200 or event.status_code in (204, 304)
        return not sized and not bodiless and version >= b"1.1"

    async def _check_protocol(self, event: h11.Request) -> None:
        """Never switch to another protocol."""

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
                # Methods are case-sensitive (RFC 9110, 9.1).
                method=request.method.decode("ascii"),
                raw_path=request.target,
                state=self._make_state(request.target),
            )
        )
        self.keep_alive_requests += 1

    def _make_state(self, target: bytes) -> hypercorn_typing.ConnectionState:
        """The state of a request: the connection's, and its target.

        The path and the query of the scope do not say whether there was a
        question mark before an empty query.
        """
        return hypercorn_typing.ConnectionState(
            {**self.connection_state, TARGET: target}
        )

    async def _send_error_response(self, status_code: int) -> None:
        """Refuse invalid HTTP with a problem document like other refusals."""
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


class IdleTimer:
    """Records since when a connection has carried no request.

    It replaces a task that hypercorn starts and ends for each request; a
    single task checks the timers of all connections instead.
    """

    def __init__(self) -> None:
        self.since: float | None = None

    async def restart(self, task_group: object, action: object) -> None:
        """Record that the connection becomes idle."""
        self.since = trio.current_time()

    async def stop(self) -> None:
        """Record that the connection is no longer idle."""
        self.since = None


class Connection(tcp_server.TCPServer):
    """A caller's connection; ``open_connections`` is the set of all."""

    config: listening.ListenerConfig

    def __init__(
        self, open_connections: set["Connection"], *arguments: typing.Any
    ) -> None:
        super().__init__(*arguments)
        self.open_connections = open_connections
        self.idle = IdleTimer()
        self.idle_task = typing.cast(worker_context.TrioSingleTask, self.idle)
        self.exchanges: Http1Protocol | None = None
        self.waiting = trio.CancelScope()
        self.reading = trio.CancelScope()
        self.discarding = False

    async def run(self) -> None:
        """Serve the connection; an exception ends only this connection."""
        self.open_connections.add(self)
        try:
            await super().run()
        except trio.Cancelled:
            self._record_stop()
            raise
        except (Exception, BaseExceptionGroup) as fault:
            _, rest = supervision.split_cancelled(fault)
            if rest is None:
                self._record_stop()
                raise
            events.log_event(
                events.Event.FAULT,
                task="connection",
                detail=supervision.describe_fault(rest),
            )
        finally:
            self.open_connections.discard(self)
            await trio.aclose_forcefully(self.stream)

    def abort(self) -> None:
        """Close the connection if its task waits for bytes.

        A read that has already taken bytes from the socket cannot be
        cancelled any more; those bytes may be a whole request.
        """
        self.waiting.cancel()

    def has_unread(self) -> bool:
        """Whether the socket has received bytes that are not read yet.

        trio's sockets would wait for bytes, so this peeks through a socket
        of the standard library, detached before it can close the connection.
        """
        descriptor = self._get_socket().fileno()
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

    async def _finish(self) -> None:
        """Send the end of the connection, and discard what still comes.

        If a socket is closed while it has unread bytes, or gets some later,
        the kernel resets the connection, and the caller may lose the last
        reply (RFC 9112, 9.6).
        """
        async with self.send_lock:
            with contextlib.suppress(OSError):
                self._get_socket().shutdown(socket.SHUT_WR)
        if not self.discarding:
            self._record_end()
            self.discarding = True
            self.idle.since = None
            self.reading.deadline = trio.current_time() + DISCARD_S
        await self.protocol.handle(hypercorn_events.Closed())

    def _record_close(self, reason: closes.CloseReason) -> None:
        self.config.closes.record(reason, self.has_request())

    def _record_stop(self) -> None:
        if self.has_request():
            self._record_close(closes.CloseReason.STOP)

    def _record_end(self) -> None:
        """Record why no further request is read."""
        assert self.exchanges is not None
        h11_connection = self.exchanges.connection
        if h11_connection.their_state is h11.ERROR:
            self._record_close(closes.CloseReason.MALFORMED)
        elif h11_connection.our_state is h11.SEND_BODY:
            self.config.closes.record(
                closes.CloseReason.UNFINISHED_REPLY, ends_request=True
            )
        elif h11_connection.their_state is h11.SEND_BODY:
            self._record_close(closes.CloseReason.EARLY_REPLY)

    def has_request(self) -> bool:
        """Whether a request is in hand."""
        return self.exchanges is not None and self.exchanges.stream is not None

    def _update_idle(self, idle: bool) -> None:
        """Record whether the connection has become idle.

        If the protocol waited for a write before it said that it became
        idle, the next request may have been read meanwhile.
        """
        idle = idle and not self.discarding and not self.has_request()
        self.idle.since = trio.current_time() if idle else None

    def _get_socket(self) -> trio.socket.SocketType:
        stream: typing.Any = self.stream
        if isinstance(stream, trio.SSLStream):
            stream = stream.transport_stream
        return stream.socket

    async def _read_data(self) -> None:
        wrapper = self.protocol
        self.exchanges = wrapper.protocol = Http1Protocol(
            wrapper.app,
            wrapper.config,
            wrapper.context,
            wrapper.task_group,
            wrapper.state,
            wrapper.ssl,
            wrapper.client,
            wrapper.server,
            wrapper.send,
        )
        with self.reading:
            await self._read_requests()
            await self._discard_rest()
        await wrapper.handle(hypercorn_events.Closed())

    async def _read_requests(self) -> None:
        while not self.discarding:
            data = await self._receive()
            if data is None:
                return
            if not self.discarding:
                await self.protocol.handle(hypercorn_events.RawData(data))
            if not data:
                return

    async def _discard_rest(self) -> None:
        """Discard what the caller sends after the last reply."""
        left = MAX_DISCARDED_BYTES
        while self.discarding and left > 0:
            data = await self._receive()
            if not data:
                return
            left -= len(data)

    async def _receive(self) -> bytes | None:
        """Wait for bytes; None if the connection is broken or aborted."""
        while True:
            with trio.CancelScope() as self.waiting:
                try:
                    return bytes(
                        await self.stream.receive_some(tcp_server.MAX_RECV)
                    )
                except (trio.ClosedResourceError, trio.BrokenResourceError):
                    return None
            # Bytes may have arrived since the decision to abort.
            if not self.has_unread():
                self._record_close(closes.CloseReason.IDLE)
                return None

    async def protocol_send(self, event: hypercorn_events.Event) -> None:
        """Write with a time limit.

        Writes are shielded because a cancelled one would leave a partial
        message on the wire. A write that does not complete in time closes
        the connection, and with it ends the run that it belongs to.
        """
        if isinstance(event, hypercorn_events.Updated):
            self._update_idle(event.idle)
            return
        if not isinstance(event, hypercorn_events.RawData):
            await self._finish()
            return
        data = event.data
        if not self.send_lock.locked():
            if isinstance(self.stream, trio.SocketStream):
                data = data[http.write_nonblocking(self.stream, data) :]
            if not data:
                return
        try:
            # Waiting for the lock can be cancelled too, even for a free one.
            with trio.CancelScope(
                shield=True, relative_deadline=self.config.silence_ms / 1000
            ) as scope:
                async with self.send_lock:
                    await self.stream.send_all(data)
            if not scope.cancelled_caught:
                return
            self._record_close(closes.CloseReason.WRITE_TIMEOUT)
            await trio.aclose_forcefully(self.stream)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.BusyResourceError,
        ):
            pass
        await self.protocol.handle(hypercorn_events.Closed())


def find_age_ms(stream: trio.abc.Stream) -> float:
    """Return how long ago the last data arrived, read or not.

    A request may wait in the socket while the process is busy.
    """
    if isinstance(stream, trio.SSLStream):
        stream = stream.transport_stream
    if not isinstance(stream, trio.SocketStream):
        return 0.0
    try:
        info = stream.socket.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size
        )
    except OSError:
        # The caller has closed the connection.
        return 0.0
    if len(info) < LAST_DATA_RECEIVED.size:
        return 0.0
    return float(LAST_DATA_RECEIVED.unpack(info)[0])


async def serve(
    app: typing.Any, config: listening.ListenerConfig, stop: trio.Event
) -> None:
    """Serve until ``stop`` is set, then wait for open requests to finish."""
    try:
        await _serve(app, config, stop)
    finally:
        config.closes.log()


async def _serve(
    app: typing.Any, config: listening.ListenerConfig, stop: trio.Event
) -> None:
    context = worker_context.WorkerContext(None)
    open_connections: set[Connection] = set()
    asgi_app = hypercorn_utils.wrap_app(app, config.wsgi_max_body_size, "asgi")

    async def handle(stream: trio.abc.Stream) -> None:
        await Connection(
            open_connections,
            asgi_app,
            config,
            context,
            hypercorn_typing.ConnectionState(
                hypercorn_typing.LifespanState(
                    {FIND_AGE_MS: functools.partial(find_age_ms, stream)}
                )
            ),
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
            accepting.start_soon(keep_closing_idle, open_connections, config)
            await stop.wait()
            accepting.cancel_scope.cancel()
        for port in ports:
            for stream in port.close():
                connections.start_soon(handle, stream)
        await context.terminated.set()
        try:
            with trio.move_on_after(config.graceful_timeout):
                await trio.sleep(IDLE_GRACE_S)
                while open_connections:
                    close_idle(open_connections, 0.0)
                    await trio.sleep(CLOSE_CHECK_INTERVAL_S)
        finally:
            # A write that its caller does not read is shielded from
            # cancellation and would keep the process until it is killed.
            for connection in list(open_connections):
                connection.abort()
        connections.cancel_scope.cancel()


async def keep_closing_idle(
    connections: set[Connection], config: listening.ListenerConfig
) -> None:
    """Close idle connections when their time-out is over, for ever."""
    while True:
        wait_s = close_idle(connections, config.keep_alive_timeout)
        changed = config.changed
        with trio.move_on_after(max(IDLE_CHECK_INTERVAL_S, wait_s)):
            await changed.wait()


def close_idle(connections: set[Connection], timeout_s: float) -> float:
    """Close connections that have carried no request for a while.

    Returns how long it takes at least until another one has to be closed.

    A request counts only once its head is complete, so this also limits how
    long a caller may take to send a head. Connections with unread bytes stay
    open, since those may be a complete request; the bytes are about to be
    read, so this delays a stop only briefly.
    """
    now = trio.current_time()
    # A connection that becomes idle later has to be closed later than this.
    next_due = now + timeout_s
    for connection in connections:
        since = connection.idle.since
        if since is None:
            continue
        due = since + timeout_s
        if due > now:
            next_due = min(next_due, due)
        else:
            if not connection.has_unread():
                connection.abort()
            next_due = now
    return next_due - now


@attrs.frozen(eq=False)
class ListeningPort:
    """A listening socket, with TLS if ``tls`` is set."""

    queue: accept_queue.AcceptingListener
    tls: ssl.SSLContext | None = None

    @property
    def listener(self) -> trio.abc.Listener:
        """The listener to serve until the stop."""
        if self.tls is None:
            return self.queue
        return trio.SSLListener(self.queue, self.tls, https_compatible=True)

    def close(self) -> typing.Iterator[trio.abc.Stream]:
        """Close the socket; yield the connections that were still queued."""
        for stream in self.queue.drain():
            if self.tls is None:
                yield stream
                continue
            yield trio.SSLStream(
                stream, self.tls, server_side=True, https_compatible=True
            )


def make_ports(config: listening.ListenerConfig) -> list[ListeningPort]:
    """Listen on the configured addresses."""
    sockets = config.create_sockets()
    ports = []
    for plain in sockets.insecure_sockets + sockets.secure_sockets:
        plain.listen(config.backlog)
        tls = None
        if plain in sockets.secure_sockets:
            tls = config.create_ssl_context()
        queue = accept_queue.AcceptingListener(plain, config.accept_policy)
        ports.append(ListeningPort(queue, tls))
    return ports
