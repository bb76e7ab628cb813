"""An open connection between two entry VMs."""

import contextlib
import itertools
import typing

import attrs
import trio
from websockets import exceptions as ws_errors

from carawayward import errors
from carawayward import events
from carawayward.peers import messages
from carawayward.protocol import handshake
from carawayward import supervision

# Each side sends heartbeats so that an otherwise idle link shows that it
# works. A link on which nothing has arrived for SILENCE_TIMEOUT_S is closed
# and replaced: an established connection can go silent for good while new
# ones work. The timeout leaves room for three late heartbeats, since a busy
# entry VM is not a silent one. WebSocket pings do not help here: a ping
# waits for room to write before its timeout starts, and a silent connection
# is one that accepts no data.
HEARTBEAT_INTERVAL_S = 2.0
SILENCE_TIMEOUT_S = 7.0
HEARTBEAT = "link.alive"
# Messages that wait to be written. A peer that reads too slowly loses messages
# beyond these. All kinds of messages tolerate that: calls time out, and
# notifications are repeated.
MAX_QUEUED = 512
MAX_IN_SERVICE = 256

Serve = typing.Callable[
    ["Link", messages.Message], typing.Awaitable[typing.Any]
]


@attrs.define(eq=False)
class Link:
    """A connection to an authenticated peer.

    ``dialled`` is set on the side that dialled. ``heard`` is when the last
    message arrived and ``last_call_s`` when the last call was sent or
    received, both on trio's clock. ``on_close`` is called once, at the
    moment of closing; the task that runs the link ends later.
    """

    identity: handshake.Identity
    socket: typing.Any
    dialled: bool
    on_close: typing.Callable[["Link"], None] = attrs.field(
        default=lambda link: None
    )
    waiting: dict[int, trio.Event] = attrs.field(factory=dict)
    answers: dict[int, typing.Any] = attrs.field(factory=dict)
    closed: bool = False
    heard: float = attrs.field(factory=trio.current_time)
    last_call_s: float = attrs.field(factory=trio.current_time)
    _numbers: typing.Iterator[int] = attrs.field(
        factory=lambda: itertools.count(1)
    )
    _scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    _outgoing: trio.MemorySendChannel = attrs.field(init=False)
    _queue: trio.MemoryReceiveChannel = attrs.field(init=False)
    _in_service: int = 0

    def __attrs_post_init__(self) -> None:
        self._outgoing, self._queue = trio.open_memory_channel[
            messages.Message
        ](MAX_QUEUED)

    @property
    def peer(self) -> str:
        """The peer's name."""
        return self.identity.name

    @property
    def incarnation(self) -> str:
        """The peer's incarnation."""
        return self.identity.incarnation

    def send(self, message: messages.Message) -> None:
        """Queue one message or raise PeerUnavailable."""
        if self.closed:
            raise errors.PeerUnavailable(f"peer {self.peer}: link lost")
        try:
            self._outgoing.send_nowait(message)
        except trio.WouldBlock:
            raise errors.PeerUnavailable(
                f"peer {self.peer}: it reads too slowly, send queue full"
            ) from None

    async def call(
        self, kind: str, body: object, timeout_ms: float
    ) -> typing.Any:
        """Send a call and return its answer or raise PeerUnavailable."""
        number = next(self._numbers)
        event = self.waiting[number] = trio.Event()
        self.last_call_s = trio.current_time()
        try:
            self.send(messages.Message(kind, body, call=number))
            with trio.fail_after(timeout_ms / 1000):
                await event.wait()
        except trio.TooSlowError as cause:
            raise errors.PeerUnavailable(
                f"peer {self.peer}: no answer in {timeout_ms:.0f} ms"
            ) from cause
        finally:
            self.waiting.pop(number, None)
        if number not in self.answers:
            raise errors.PeerUnavailable(f"peer {self.peer}: link lost")
        return self.answers.pop(number)

    def close(self) -> None:
        """Close the link and wake all calls that wait for an answer."""
        if not self.closed:
            self.closed = True
            self.on_close(self)
        self._scope.cancel()
        for event in self.waiting.values():
            event.set()
        self.waiting.clear()

    async def run(self, serve: Serve) -> None:
        """Exchange messages until either side closes or goes silent."""
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write)
                    nursery.start_soon(self._send_heartbeats)
                    await self._read(serve, nursery)
                    nursery.cancel_scope.cancel()
        finally:
            self.close()
            # A closing handshake would wait for the peer, and a silent peer
            # must not keep the connection open.
            await trio.aclose_forcefully(self.socket.stream)

    async def _write(self) -> None:
        async for message in self._queue:
            with contextlib.suppress(ws_errors.ConnectionClosed, OSError):
                await self.socket.send(messages.encode(message))

    async def _send_heartbeats(self) -> None:
        while trio.current_time() - self.heard < SILENCE_TIMEOUT_S:
            with contextlib.suppress(errors.PeerUnavailable):
                self.send(messages.Message(HEARTBEAT, None))
            await trio.sleep(HEARTBEAT_INTERVAL_S)
        events.log_event(events.Event.PEER_SILENT, peer=self.peer)
        self.close()

    async def _read(self, serve: Serve, nursery: trio.Nursery) -> None:
        try:
            async for data in self.socket:
                self.heard = trio.current_time()
                message = messages.decode(data)
                if message.answer:
                    self._deliver_answer(message)
                elif message.kind != HEARTBEAT:
                    if message.call:
                        self.last_call_s = self.heard
                    await self._start_serving(serve, message, nursery)
        except messages.JunkMessage as fault:
            events.log_event(
                events.Event.PEER_REFUSED, peer=self.peer, detail=str(fault)
            )
        except (ws_errors.ConnectionClosed, OSError):
            pass
        code = self.socket.protocol.close_sent
        if code is not None and code.code == CLOSE_TOO_BIG:
            events.log_event(
                events.Event.PEER_REFUSED,
                peer=self.peer,
                detail="message exceeds the size limit",
            )

    async def _start_serving(
        self, serve: Serve, message: messages.Message, nursery: trio.Nursery
    ) -> None:
        # Back-pressure: do not read from a peer that sends faster than its
        # messages can be handled.
        while self._in_service >= MAX_IN_SERVICE:
            await trio.sleep(0.01)
        self._in_service += 1
        nursery.start_soon(self._serve, serve, message)

    async def _serve(self, serve: Serve, message: messages.Message) -> None:
        try:
            answer = await serve(self, message)
            if message.call:
                reply = messages.Message("answer", answer, answer=message.call)
                with contextlib.suppress(errors.PeerUnavailable):
                    self.send(reply)
        except (Exception, BaseExceptionGroup) as fault:
            # A message that cannot be handled, such as one from a peer of
            # another release or a faulty one, must not end the link for
            # other messages. If it is a call, it times out.
            _, rest = supervision.split_cancelled(fault)
            if rest is None:
                raise
            events.log_event(
                events.Event.FAULT,
                kind=message.kind[:40],
                peer=self.peer,
                detail=supervision.describe_fault(rest),
            )
        finally:
            self._in_service -= 1

    def _deliver_answer(self, message: messages.Message) -> None:
        """Pass an answer to the call that waits for it."""
        event = self.waiting.pop(message.answer, None)
        if event is not None:
            self.answers[message.answer] = message.body
            event.set()


CLOSE_TOO_BIG = 1009
