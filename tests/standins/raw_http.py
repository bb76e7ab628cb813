"""A minimal HTTP/1.1 server for stand-ins that violate the protocol.

Responses are written byte by byte, which lets a test send malformed ones.
"""

import functools
import typing

import attrs
import h11
import trio

RECEIVE_BYTES = 65_536


@attrs.frozen(kw_only=True)
class Request:
    """A received request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@attrs.define(eq=False)
class Exchange:
    """A request with its connection, on which any bytes can be sent.

    ``fixed_headers`` are added to every complete answer.
    """

    request: Request
    stream: trio.SocketStream
    closed: trio.Event = attrs.field(factory=trio.Event)
    fixed_headers: dict[str, str] = attrs.field(factory=dict)

    async def answer(
        self,
        status: int,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> None:
        """Send a complete answer."""
        await self.stream.send_all(
            make_head(
                status,
                {
                    **self.fixed_headers,
                    **(headers or {}),
                    "content-length": str(len(body)),
                },
            )
            + body
        )

    async def begin_stream(self, headers: dict[str, str]) -> None:
        """Send the head of a chunked answer."""
        await self.stream.send_all(
            make_head(200, {**headers, "transfer-encoding": "chunked"})
        )

    async def send_chunk(self, data: bytes) -> None:
        """Send a chunk of a chunked answer; an empty one ends the body."""
        await self.stream.send_all(b"%x\r\n%s\r\n" % (len(data), data))

    async def reset(self) -> None:
        """Close the connection with a TCP reset."""
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        sock = self.stream.socket
        sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, linger)
        await trio.aclose_forcefully(self.stream)


Handler = typing.Callable[[Exchange], typing.Awaitable[None]]


def make_head(status: int, headers: dict[str, str]) -> bytes:
    """Encode the status line and the headers."""
    lines = [
        f"HTTP/1.1 {status} X",
        *(f"{n}: {v}" for n, v in headers.items()),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def read_request(
    parser: h11.Connection, stream: trio.SocketStream
) -> Request | None:
    """Read the next request of a connection; None at its end."""
    head: h11.Request | None = None
    body = b""
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await stream.receive_some(RECEIVE_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            assert head is not None
            return Request(
                method=head.method.decode(),
                target=head.target.decode(),
                headers={n.decode(): v.decode() for n, v in head.headers},
                body=body,
            )
        else:
            return None


async def serve_connection(
    handler: Handler, stream: trio.SocketStream
) -> None:
    """Handle the requests of one connection in sequence."""
    try:
        while True:
            # Each request needs a new parser: h11 does not see the answers,
            # which are written to the stream directly.
            parser = h11.Connection(h11.SERVER)
            request = await read_request(parser, stream)
            if request is None:
                break
            await handler(Exchange(request, stream))
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        pass
    except h11.RemoteProtocolError:
        pass
    finally:
        await trio.aclose_forcefully(stream)


async def serve(
    handler: Handler,
    port: int = 0,
    *,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve on loopback; report the port through ``task_status``."""
    listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
    task_status.started(listeners[0].socket.getsockname()[1])
    await trio.serve_listeners(
        functools.partial(serve_connection, handler), listeners
    )
