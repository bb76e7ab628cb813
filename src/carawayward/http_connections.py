"""One connection of a caller: reading, writing, and how it ends."""

import contextlib
import math
import select
import socket
import typing

import h11
from hypercorn import events as hypercorn_events
from hypercorn.trio import tcp_server
from hypercorn.trio import worker_context
import trio

from carawayward import accept_queue
from carawayward import buffers
from carawayward import caller_links
from carawayward import closes
from carawayward.decisions import connection_room
from carawayward import events
from carawayward import http_client as http
from carawayward import http_exchanges
from carawayward import listening
from carawayward import supervision
from carawayward import write_progress

# How long, and how much, is read and discarded after the last reply on a
# connection. A caller may still send the body of a request that was refused.
DISCARD_S = 2.0
MAX_DISCARDED_BYTES = 16 * 1_048_576
# What is written at once while a caller reads slowly: over TLS that much is
# copied to be encrypted.
MAX_WRITE_BYTES = 65_536
# What is read at once of a head. All connections may read before any of them
# can be closed.
MAX_HEAD_READ_BYTES = 8_192
# What is read of a connection behind the request in hand. The end of a caller
# that sends more than the kernel takes is received once that has been read.
MAX_READ_AHEAD_BYTES = 1_048_576
# How long that waits for the rest of a TLS record.
READ_AHEAD_S = 0.01


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
        self.exchanges: http_exchanges.Http1Protocol | None = None
        self.waiting = trio.CancelScope()
        self.reading = trio.CancelScope()
        self.discarding = False
        self.closing = False
        self.closing_for = closes.CloseReason.IDLE
        self.opened_s = self.received_s = trio.current_time()
        self.finished_s = math.inf
        self.write: write_progress.BlockedWrite | None = None
        self.link = caller_links.CallerLink(
            buffers.BufferShare(
                self.config.buffers,
                lambda: self.abort(closes.CloseReason.BUFFERS),
            ),
            self.abort,
        )
        self.state[caller_links.LINK] = self.link

    async def run(self) -> None:
        """Serve the connection; an exception ends only this connection."""
        self.open_connections.add(self)
        try:
            if self._make_room():
                await super().run()
            else:
                self.abort(closes.CloseReason.DESCRIPTORS)
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
            if self.exchanges is not None:
                self.exchanges.drop_received()
            self.link.share.end()
            await trio.aclose_forcefully(self.stream)

    def _make_room(self) -> bool:
        """Close another connection if there are too many; False if none."""
        most = self.config.max_connections
        if len(self.open_connections) <= most:
            return True
        others = [
            each
            for each in self.open_connections
            if each is not self and not each.closing
        ]
        if len(others) < most:
            return True
        now_s = trio.current_time()
        activities = [each.describe(now_s) for each in others]
        return any(
            others[index].make_way()
            for index in connection_room.order_to_close(activities)
        )

    def close_if_waiting(self) -> None:
        """Close the connection if its task waits for bytes.

        A read that has already taken bytes from the socket cannot be
        cancelled any more; those bytes may be a whole request.
        """
        self.waiting.cancel()

    def describe(self, now_s: float) -> connection_room.Activity:
        """Describe what it does."""
        if self.discarding:
            return connection_room.Activity(now_s - self.finished_s)
        if self.exchanges is None:
            return connection_room.Activity(now_s - self.opened_s)
        if self.idle.since is not None:
            return connection_room.Activity(now_s - self.idle.since)
        if self.write is not None:
            return connection_room.Activity(
                None, now_s - self.write.began_s, self.write.count_accepted()
            )
        if self.exchanges.connection.their_state is h11.SEND_BODY:
            return connection_room.Activity(None, now_s - self.received_s)
        return connection_room.Activity(None)

    def make_way(self) -> bool:
        """Close the connection for a new one, unless a request has come.

        An idle one is closed without a reset, which its client's next request
        would cross.
        """
        if self.idle.since is not None:
            if self.has_unread():
                return False
            self.closing_for = closes.CloseReason.DESCRIPTORS
            self.close_if_waiting()
        else:
            self.abort(closes.CloseReason.DESCRIPTORS)
        self.closing = True
        return True

    def close_forcefully(self) -> None:
        """Close the socket, under a write of another task too."""
        if self.is_writing() and not self.has_request():
            self.config.closes.record(
                closes.CloseReason.STOP, ends_request=True
            )
        self._get_socket().close()

    def abort(self, reason: closes.CloseReason) -> None:
        """Reset the connection, whatever its tasks are waiting for.

        A close alone would leave the rest of a reply with the kernel.
        """
        if self.link.closed_for is not None:
            return
        self.link.closed_for = reason
        self.closing = True
        self._record_close(reason)
        socket_ = self._get_socket()
        # Fails if the caller has closed the connection.
        with contextlib.suppress(OSError):
            socket_.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, accept_queue.NO_LINGER
            )
        socket_.close()
        # It may wait for a request in hand rather than for bytes.
        self.reading.cancel()

    def has_unread(self) -> bool:
        """Whether bytes were received that are not handled yet."""
        if self.exchanges is not None and self.exchanges.read_ahead:
            return True
        return self._has_unread_in_kernel()

    def _has_unread_in_kernel(self) -> bool:
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

    def has_hung_up(self) -> bool:
        """Whether the caller has closed or reset the connection.

        A caller that closes without a reset cannot be told from one that only
        has nothing more to send. Both have left, as they have with nothing
        sent behind their request, when the end is read.
        """
        descriptor = self._get_socket().fileno()
        if descriptor < 0:
            return True
        poll = select.poll()
        poll.register(descriptor, select.POLLRDHUP)
        return bool(poll.poll(0))

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
            self.finished_s = trio.current_time()
            self.reading.deadline = self.finished_s + DISCARD_S
        await self.protocol.handle(hypercorn_events.Closed())

    def _record_close(self, reason: closes.CloseReason) -> None:
        self.config.closes.record(reason, self.has_request())

    def _record_stop(self) -> None:
        if self.has_request():
            self._record_close(closes.CloseReason.STOP)
        elif self.has_unread() or self.has_partial_head():
            self.config.closes.record(
                closes.CloseReason.UNREAD, ends_request=True
            )

    def _record_end(self) -> None:
        """Record why no further request is read."""
        assert self.exchanges is not None
        h11_connection = self.exchanges.connection
        if self.exchanges.refused_for is not None:
            self._record_close(self.exchanges.refused_for)
        elif h11_connection.their_state is h11.ERROR:
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

    def is_writing(self) -> bool:
        """Whether a reply waits to be written; its request may be over."""
        return self.write is not None

    def is_new(self) -> bool:
        """Whether it has carried no request yet."""
        return self.exchanges is None or not self.exchanges.keep_alive_requests

    def _is_stopping(self) -> bool:
        return self.context.terminated.is_set()

    def has_partial_head(self) -> bool:
        """Whether bytes were received that are no whole head yet."""
        return (
            self.exchanges is not None
            and not self.discarding
            and bool(self.exchanges.connection.trailing_data[0])
        )

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
        self.exchanges = wrapper.protocol = http_exchanges.Http1Protocol(
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
        self.exchanges.has_hung_up = self.has_hung_up
        self.exchanges.receive_ahead = self._receive_ahead
        with self.reading:
            await self._read_requests()
            await self._discard_rest()
        await wrapper.handle(hypercorn_events.Closed())

    async def _read_requests(self) -> None:
        assert self.exchanges is not None
        while not self.discarding:
            data = await self._receive()
            if data is None:
                return
            if not self.discarding:
                self.exchanges.add_received(data)
                at_end = not data
                # It would be kept for as long as a request takes.
                del data
                await self.exchanges.handle_received()
                if at_end:
                    return

    async def _discard_rest(self) -> None:
        """Discard what the caller sends after the last reply."""
        left = MAX_DISCARDED_BYTES
        while self.discarding and left > 0:
            count = len(await self._receive() or b"")
            if not count:
                return
            left -= count

    async def _receive_ahead(self) -> None:
        """Read what a caller has sent behind the request in hand.

        The kernel receives its end only behind bytes that it has room for.
        Not in a stop, in which all requests that have been read are served.
        """
        assert self.exchanges is not None
        share = self.link.share
        held = share.held.get(buffers.Part.READ_AHEAD, 0)
        while self._has_unread_in_kernel() and not self._is_stopping():
            room = min(
                MAX_READ_AHEAD_BYTES - held, share.account.count_spare()
            )
            if room <= 0:
                return
            data = b""
            with (
                trio.move_on_after(READ_AHEAD_S),
                contextlib.suppress(
                    trio.ClosedResourceError, trio.BrokenResourceError
                ),
            ):
                data = bytes(
                    await self.stream.receive_some(
                        min(room, tcp_server.MAX_RECV)
                    )
                )
            if not data:
                return
            self._record_received(data)
            self.exchanges.read_ahead.append(data)
            held += len(data)
            share.hold(buffers.Part.READ_AHEAD, held)

    async def _take_read_ahead(self) -> bytes:
        """Take the first bytes that were read ahead; empty if none."""
        assert self.exchanges is not None
        if not self.exchanges.read_ahead:
            return b""
        await trio.lowlevel.checkpoint()
        data = self.exchanges.read_ahead.popleft()
        held = self.link.share.held.get(buffers.Part.READ_AHEAD, 0)
        self.link.share.hold(buffers.Part.READ_AHEAD, held - len(data))
        return data

    def _record_received(self, data: bytes | bytearray) -> None:
        self.link.share.moved_bytes += len(data)
        self.received_s = trio.current_time()

    async def _receive(self) -> bytes | None:
        """Wait for bytes; None if the connection is broken or idle."""
        taken = await self._take_read_ahead()
        if taken:
            return taken
        while True:
            with trio.CancelScope() as self.waiting:
                try:
                    data = await self.stream.receive_some(
                        tcp_server.MAX_RECV
                        if self.has_request()
                        else MAX_HEAD_READ_BYTES
                    )
                    self._record_received(data)
                    return bytes(data)
                except (trio.ClosedResourceError, trio.BrokenResourceError):
                    return None
            # Bytes may have arrived since the decision to close.
            if not self.has_unread():
                if self.has_partial_head() and self._is_stopping():
                    self._record_stop()
                else:
                    self._record_close(self.closing_for)
                return None
            self.closing = False

    async def protocol_send(self, event: hypercorn_events.Event) -> None:
        """Write, for as long as the caller accepts data."""
        if isinstance(event, hypercorn_events.Updated):
            self._update_idle(event.idle)
            return
        if not isinstance(event, hypercorn_events.RawData):
            await self._finish()
            return
        data = memoryview(event.data)
        if not self.send_lock.locked():
            if isinstance(self.stream, trio.SocketStream):
                count = http.write_nonblocking(self.stream, data)
                self.link.share.moved_bytes += count
                data = data[count:]
            if not data:
                return
        if not await self._write_rest(data):
            self.link.lost = True
            await self.protocol.handle(hypercorn_events.Closed())

    async def _write_rest(self, data: memoryview) -> bool:
        """Write what the socket did not take at once; False if it fails.

        This is shielded because a cancelled write would leave a partial
        message on the wire. One whose caller accepts nothing is aborted, and
        with it ends the run that it belongs to.
        """
        if not self._hold_unwritten(len(data)):
            self.abort(closes.CloseReason.BUFFERS)
            return False
        self.write = write = self.config.writes.begin(
            lambda: write_progress.count_unsent(self._get_socket().fileno()),
            self.abort,
            trio.current_effective_deadline(),
        )
        try:
            # Waiting for the lock can be cancelled too, even for a free one.
            with trio.CancelScope(shield=True):
                async with self.send_lock:
                    while data:
                        chunk = data[:MAX_WRITE_BYTES]
                        await self.stream.send_all(chunk)
                        data = data[MAX_WRITE_BYTES:]
                        write.written += len(chunk)
                        self.link.share.moved_bytes += len(chunk)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.BusyResourceError,
        ):
            return False
        finally:
            self.config.writes.end(write)
            self.write = None
            self.link.share.hold(buffers.Part.WRITE, 0)
        return True

    def _hold_unwritten(self, count: int) -> bool:
        """Account for what waits to be written, unless the answer holds it."""
        count += self.link.unread_bytes
        held = self.link.share.held.get(buffers.Part.ANSWER, 0)
        return self.link.share.hold(buffers.Part.WRITE, max(0, count - held))
