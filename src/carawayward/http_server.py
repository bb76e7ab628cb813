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

import functools
import math
import socket
import ssl
import struct
import typing

import attrs
from hypercorn.trio import worker_context
from hypercorn import typing as hypercorn_typing
from hypercorn import utils as hypercorn_utils
import trio

from carawayward import accept_queue
from carawayward import http_connections
from carawayward import listening

# Idle connections are closed at most this much too late.
IDLE_CHECK_INTERVAL_S = 0.25
CLOSE_CHECK_INTERVAL_S = 0.02
DRAIN_CHECK_INTERVAL_S = 0.05
# How long connections without a request stay open after the listener has
# stopped accepting. A caller that has just connected or sent a request cannot
# know of the stop: when such connections were closed at once, one of 34 runs
# that replace all entry VMs left a request without an answer. Callers are a
# few ms away, and a busy process reads within tens of ms.
IDLE_GRACE_S = 0.1
# How long a new connection stays open before its first request comes, while
# idle ones are closed: its caller may be far away.
NEW_GRACE_S = 0.5
# The key of a request's state with a function that says how long ago, in ms,
# the kernel received the connection's last data.
FIND_AGE_MS = "find_age_ms"
# Where ``tcp_info`` has the time since the last data was received, in ms.
LAST_DATA_RECEIVED = struct.Struct("=52xI")


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
    open_connections: set[http_connections.Connection] = set()
    asgi_app = hypercorn_utils.wrap_app(app, config.wsgi_max_body_size, "asgi")

    async def handle(stream: trio.abc.Stream) -> None:
        await http_connections.Connection(
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
            connections.start_soon(config.writes.run)
            await stop.wait()
            accepting.cancel_scope.cancel()
        for port in ports:
            if config.turns_away_queued:
                port.queue.turn_away(config.count_waiting())
                continue
            for stream in port.close():
                connections.start_soon(handle, stream)
        await context.terminated.set()
        try:
            await finish_requests(open_connections, config)
        finally:
            connections.cancel_scope.cancel()
            # A write that its caller does not read is shielded from
            # cancellation and would keep the process until it is killed.
            for connection in list(open_connections):
                connection.close_forcefully()


async def finish_requests(
    connections: set[http_connections.Connection],
    config: listening.ListenerConfig,
) -> None:
    """Let requests finish, and close idle connections, in a stop.

    A busy process reads what it has accepted late. It is not cut short while
    requests are unanswered, only other connections are.
    """
    usual_s = trio.current_time() + config.graceful_timeout
    await trio.sleep(IDLE_GRACE_S)
    while connections:
        now_s = trio.current_time()
        if now_s >= max(usual_s, config.closing_deadline_s):
            return
        if now_s >= usual_s and not any(map(needs_reply, connections)):
            return
        # Heads that have begun to come may be whole in time.
        head_timeout_s = math.inf if now_s < usual_s else 0.0
        close_idle(connections, 0.0, head_timeout_s)
        await trio.sleep(CLOSE_CHECK_INTERVAL_S)


def needs_reply(connection: http_connections.Connection) -> bool:
    """Whether a request has been received whose reply is not written.

    A request is over before the end of its reply is written, which takes
    turns of the event loop over TLS, and longer with a slow caller.
    """
    return (
        connection.has_request()
        or connection.is_writing()
        or connection.has_unread()
    )


async def keep_closing_idle(
    connections: set[http_connections.Connection],
    config: listening.ListenerConfig,
) -> None:
    """Close idle connections when their time-out is over, for ever."""
    while True:
        timeout_s = config.keep_alive_timeout
        if config.draining:
            close_idle(connections, IDLE_GRACE_S, timeout_s)
            wait_s = DRAIN_CHECK_INTERVAL_S
        else:
            wait_s = close_idle(connections, timeout_s)
            wait_s = max(IDLE_CHECK_INTERVAL_S, wait_s)
        changed = config.changed
        with trio.move_on_after(wait_s):
            await changed.wait()


def close_idle(
    connections: set[http_connections.Connection],
    timeout_s: float,
    head_timeout_s: float = 0.0,
) -> float:
    """Close connections that have carried no request for a while.

    Those that have sent a part of a head have ``head_timeout_s``, if that is
    more. Returns how long it takes at least until another one has to be
    closed.

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
        if connection.has_partial_head():
            due = since + max(timeout_s, head_timeout_s)
        elif head_timeout_s and connection.is_new():
            due = since + max(timeout_s, NEW_GRACE_S)
        if due > now:
            next_due = min(next_due, due)
        else:
            if not connection.has_unread():
                connection.close_if_waiting()
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
