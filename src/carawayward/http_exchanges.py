"""Requests and responses of one HTTP/1.1 connection, with hypercorn."""

import collections
import json
import re
import typing

import h11
from hypercorn import events as hypercorn_events
from hypercorn.protocol import events as hypercorn_protocol_events
from hypercorn.protocol import h11 as h11_protocol
from hypercorn.protocol import http_stream
from hypercorn import typing as hypercorn_typing
import trio

from carawayward import buffers
from carawayward import caller_links
from carawayward import closes
from carawayward import events
from carawayward import listening

# States in which nothing of a response has been sent.
ANSWERABLE_STATES = frozenset((h11.IDLE, h11.SEND_RESPONSE))
# Shorter heads are not accounted for.
MAX_UNCOUNTED_HEAD_BYTES = 4_096
HEAD_END = re.compile(rb"\n\r?\n")
# What a field of a head takes in memory besides its bytes, which are there
# twice while it is parsed.
FIELD_BYTES = 256
COPIES = 2
NO_ROOM_RETRY_S = 1
# The key of a request's state with its target as received.
TARGET = "target"
# How long the end of a reply may take besides its writes. An application that
# does not read its request could block it for ever.
REPLY_END_S = 0.5
# How often it is checked whether a caller has left that has sent more requests
# than the one in hand.
HANGUP_CHECK_S = 0.1
# Larger parts of a reply are written by themselves rather than copied.
MAX_JOINED_BYTES = 16_384


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
            shield=True, relative_deadline=REPLY_END_S
        ) as ending:
            try:
                await super().app_send(message)
            finally:
                self.protocol.ending = False
                await self.protocol.release()
        if ending.cancelled_caught:
            with trio.CancelScope(shield=True):
                await self.protocol.send(hypercorn_events.Closed())


class Http1Protocol(h11_protocol.H11Protocol):
    """HTTP/1.1 only; a server is allowed to ignore "Upgrade".

    The head of a response is sent with its first chunk and the end with its
    last: each write is a system call, which costs more than everything else
    that a token takes. ``chunked`` says that the chunks of the current
    response are framed here, in one step instead of a dozen. ``read_ahead``
    is what was received behind a request in hand and is not parsed yet;
    ``receive_ahead`` adds to it.
    """

    def __init__(self, *arguments: typing.Any) -> None:
        super().__init__(*arguments)
        self.chunked = False
        self.ending = False
        self.buffered: list[bytes] | None = None
        self.send_unbuffered = self.send
        self.send = self._send
        self.ended = False
        self.refused_for: closes.CloseReason | None = None
        state = typing.cast(dict, self.connection_state)
        link: caller_links.CallerLink = state[caller_links.LINK]
        self.share = link.share
        self.has_hung_up: typing.Callable[[], bool] = lambda: False
        self.read_ahead: collections.deque[bytes] = collections.deque()
        self.receive_ahead: typing.Callable[[], typing.Awaitable[None]] = (
            trio.lowlevel.checkpoint
        )

    async def _send(self, event: hypercorn_events.Event) -> None:
        if isinstance(event, hypercorn_events.RawData):
            if self.buffered is not None:
                self.buffered.append(event.data)
                return
        else:
            await self.release()
        await self.send_unbuffered(event)

    async def handle(self, event: hypercorn_events.Event) -> None:
        """Handle the end of the connection."""
        await super().handle(event)
        if isinstance(event, hypercorn_events.Closed):
            self.ended = True
            # The reader may wait for the end of a request to read the next.
            await self.can_read.set()

    def add_received(self, data: bytes) -> None:
        """Add received bytes to those that are not handled yet."""
        self.connection.receive_data(data)

    async def handle_received(self) -> None:
        """Handle what has been received; wait while a request is in hand.

        Requests that are received behind it are dropped if the connection
        ends meanwhile.
        """
        while not self.ended:
            if self.connection.they_are_waiting_for_100_continue:
                await self._send_h11_event(
                    h11.InformationalResponse(
                        status_code=100,
                        headers=self.config.response_headers("h11"),
                    )
                )
            status = self._check_head()
            if status:
                await self._refuse_head(status)
                return
            try:
                event = self.connection.next_event()
            except h11.RemoteProtocolError as error:
                if self.connection.our_state in ANSWERABLE_STATES:
                    await self._send_error_response(error.error_status_hint)
                await self.send(hypercorn_events.Closed())
                return
            if event is h11.PAUSED:
                await self._wait_for_reply()
            elif isinstance(event, h11.Request):
                await self.send(hypercorn_events.Updated(idle=False))
                await self._create_stream(event)
            elif event is h11.NEED_DATA or self.stream is None:
                return
            elif isinstance(event, h11.ConnectionClosed):
                return
            elif isinstance(event, h11.Data):
                await self.stream.handle(
                    hypercorn_protocol_events.Body(
                        stream_id=h11_protocol.STREAM_ID, data=event.data
                    )
                )
            elif isinstance(event, h11.EndOfMessage):
                await self.stream.handle(
                    hypercorn_protocol_events.EndBody(
                        stream_id=h11_protocol.STREAM_ID
                    )
                )

    async def _wait_for_reply(self) -> None:
        """Wait for the end of the request in hand, or of the connection.

        What was received behind the request hides that its caller has left,
        and what the kernel has no room for keeps it from being received.
        """
        await self.can_read.clear()
        while not self.ended:
            with trio.move_on_after(HANGUP_CHECK_S) as waiting:
                await self.can_read.wait()
            if waiting.cancelled_caught:
                await self.receive_ahead()
            if self.has_hung_up():
                await self.handle(hypercorn_events.Closed())
            if not waiting.cancelled_caught:
                return

    def drop_received(self) -> None:
        """Free the bytes that were received and not parsed.

        References in a circle would keep them until the next collection.
        """
        self.read_ahead.clear()
        self.share.hold(buffers.Part.READ_AHEAD, 0)
        if self.connection.trailing_data[0]:
            self.connection = h11.Connection(h11.SERVER)

    def _check_head(self) -> int:
        """Check a head before it is parsed, and account for it.

        Parsing takes time and many times the memory of its bytes. Returns the
        status to refuse it with, or 0.
        """
        if self.connection.their_state is not h11.IDLE:
            return 0
        received, _ = self.connection.trailing_data
        if len(received) <= MAX_UNCOUNTED_HEAD_BYTES:
            return 0
        limit = self.config.h11_max_incomplete_size
        end = HEAD_END.search(received, 0, limit)
        length = end.end() if end else len(received)
        fields = received.count(b"\n", 0, length)
        has_room = self.share.hold(
            buffers.Part.HEAD, COPIES * length + fields * FIELD_BYTES
        )
        if end is None and length >= limit:
            return 431
        return 0 if has_room else 503

    async def _refuse_head(self, status: int) -> None:
        """Refuse a request whose head is too long or finds no room."""
        self.refused_for = (
            closes.CloseReason.MALFORMED
            if status == 431
            else closes.CloseReason.BUFFERS
        )
        await self._send_error_response(status)
        await self.send(hypercorn_events.Closed())
        self.drop_received()

    def start_buffering(self) -> None:
        """Buffer what is sent until it is released."""
        if self.buffered is None:
            self.buffered = []

    async def release(self) -> None:
        """Send the buffered data in one write and stop buffering."""
        buffered, self.buffered = self.buffered, None
        for data in join_small(buffered or []):
            await self.send_unbuffered(hypercorn_events.RawData(data=data))

    async def stream_send(
        self, event: hypercorn_protocol_events.Event
    ) -> None:
        """Send one event of a response."""
        if type(event) is hypercorn_protocol_events.Body:
            if self.chunked:
                size = b"%x\r\n" % len(event.data)
                for data in join_small([size, event.data, b"\r\n"]):
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
            and not self.read_ahead
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
            self.share.hold(buffers.Part.HEAD, 0)
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
        detail = "this is no HTTP/1.1 request, or its head is too large"
        if status_code == 503:
            detail = "there is no room for the request"
        problem = {
            "title": "bad request" if status_code < 500 else "overloaded",
            "status": status_code,
            "detail": detail,
            "not_run": True,
        }
        body = json.dumps(problem).encode()
        headers = [
            (b"content-type", b"application/problem+json"),
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
            *self.config.response_headers("h11"),
        ]
        if status_code == 503:
            headers.append((b"retry-after", b"%d" % NO_ROOM_RETRY_S))
        await self._send_h11_event(
            h11.Response(status_code=status_code, headers=headers)
        )
        await self._send_h11_event(h11.Data(data=body))
        await self._send_h11_event(h11.EndOfMessage())


def join_small(parts: list[bytes]) -> list[bytes]:
    """Join the parts of a message, but none that is large."""
    if sum(map(len, parts)) <= MAX_JOINED_BYTES:
        return [b"".join(parts)] if parts else []
    joined: list[bytes] = []
    small: list[bytes] = []
    for part in parts:
        if len(part) <= MAX_JOINED_BYTES:
            small.append(part)
            continue
        if small:
            joined.append(b"".join(small))
        joined.append(part)
        small = []
    if small:
        joined.append(b"".join(small))
    return joined
