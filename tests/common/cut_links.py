"""A link that ends a server's answer after some of its bytes."""

import struct
import typing

import attrs
import trio

RECEIVE_BYTES = 65_536
# How long a half-closed connection is kept for its client to close it.
CLIENT_CLOSES_S = 1.0
# Linger of no time: closing sends a reset.
RESET_LINGER = struct.pack("ii", 1, 0)


@attrs.define(eq=False)
class CutLink:
    """Forwards connections to ``port``, and cuts the answers.

    Each connection takes the next of ``limits``: how many bytes of the answer
    pass before it is cut, by a reset if ``resets`` is set, else by the end of
    both directions, or of the answer alone if ``half_closes`` is set. None
    lets all pass, as do connections beyond the last limit.
    """

    port: int
    limits: list[int | None] = attrs.field(factory=list)
    resets: bool = False
    half_closes: bool = False
    cuts: int = 0

    async def relay(self, inbound: trio.SocketStream) -> None:
        """Forward one connection."""
        limit = self.limits.pop(0) if self.limits else None
        server = await trio.open_tcp_stream("127.0.0.1", self.port)
        ended = trio.Event()
        async with server, inbound, trio.open_nursery() as nursery:
            nursery.start_soon(_forward, inbound, server, ended)
            try:
                await self._forward_answer(server, inbound, limit, ended)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                # The client was the first to close.
                pass
            nursery.cancel_scope.cancel()

    async def _forward_answer(
        self,
        server: trio.SocketStream,
        inbound: trio.SocketStream,
        limit: int | None,
        ended: trio.Event,
    ) -> None:
        left = limit
        while data := await server.receive_some(RECEIVE_BYTES):
            if left is None:
                await inbound.send_all(data)
                continue
            await inbound.send_all(data[:left])
            left -= len(data)
            if left <= 0:
                await self._cut(inbound, ended)
                return

    async def _cut(
        self, inbound: trio.SocketStream, ended: trio.Event
    ) -> None:
        self.cuts += 1
        if self.resets:
            inbound.socket.setsockopt(
                trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, RESET_LINGER
            )
        elif self.half_closes:
            await inbound.send_eof()
            with trio.move_on_after(CLIENT_CLOSES_S):
                await ended.wait()


async def _forward(
    source: trio.SocketStream,
    target: trio.SocketStream,
    ended: trio.Event,
) -> None:
    try:
        while data := await source.receive_some(RECEIVE_BYTES):
            await target.send_all(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return
    finally:
        ended.set()


async def serve(
    link: CutLink,
    *,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a link on a free port, which is the task's status."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    await trio.serve_listeners(
        link.relay,
        listeners,
        task_status=typing.cast(typing.Any, _Started(task_status, port)),
    )


@attrs.frozen
class _Started:
    """Reports a port as the status of a task that serves listeners."""

    task_status: trio.TaskStatus[int]
    port: int

    def started(self, listeners: object) -> None:
        """Report the port once the listeners are served."""
        self.task_status.started(self.port)
