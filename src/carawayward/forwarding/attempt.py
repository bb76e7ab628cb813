"""One attempt to send a forwarded request to one endpoint.

Each attempt opens a new connection. An idle one may be dead without notice,
or may hold bytes that an endpoint sent after an earlier response; a new one
costs a round trip and has neither problem.
"""

import contextlib
import typing

import attrs
import httpcore

from carawayward.forwarding import message_types
from carawayward.gateway import connections
from carawayward import http_client as http
from carawayward import time_slices

# A round trip between failure domains takes a few ms. A lost SYN is sent again
# only after a second; trying another endpoint is faster.
CONNECT_TIMEOUT_S = 0.5


@attrs.frozen(kw_only=True)
class ForwardedRequest:
    """A request as it is sent to an endpoint."""

    method: bytes
    target: bytes
    headers: message_types.Headers
    body: bytes


@attrs.frozen(kw_only=True)
class ResponseHead:
    """Status and headers of an endpoint's response."""

    status: int
    headers: message_types.Headers
    metadata: message_types.ResponseMetadata

    @property
    def succeeded(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


ReadResponse = typing.Callable[
    [int, message_types.Headers], message_types.ResponseMetadata
]


class AttemptFailed(Exception):
    """An attempt ended without a usable response.

    ``sent`` is False only if no byte of the request can have been sent.
    """

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.detail = detail
        self.sent = sent


class AttemptWithheld(Exception):
    """The request may no longer be sent; no byte of it has been."""


@attrs.define(eq=False)
class ResponseReader:
    """An endpoint's response, whose body is read as it arrives."""

    head: ResponseHead
    _response: httpcore.Response

    @property
    def time_slice(self) -> time_slices.TimeSlice:
        """The time slice of the task that reads the body."""
        return connections.get_time_slice(self._response)

    async def read_chunks(self) -> typing.AsyncGenerator[bytes, None]:
        """Read the body in chunks; raise AttemptFailed if it is truncated.

        Lets other tasks run now and then, however small the chunks are.
        """
        stream = typing.cast(typing.AsyncIterable, self._response.stream)
        time_slice = self.time_slice
        try:
            async for chunk in stream:
                yield chunk
                await time_slice.yield_if_over()
        except http.CALL_FAILURES as cause:
            raise AttemptFailed(type(cause).__name__, sent=True) from cause

    def limit_unread(self) -> None:
        """Have the kernel keep little of what is not read yet."""
        connections.limit_unread(self._response)


class AttemptConnection(httpcore.AsyncHTTP11Connection):
    """A connection that knows whether anything has been sent on it."""

    def __init__(
        self, origin: httpcore.Origin, stream: connections.EndpointStream
    ) -> None:
        super().__init__(origin, stream)
        self.endpoint_stream = stream

    def has_sent(self) -> bool:
        """Whether a byte may have left this machine."""
        return self.endpoint_stream.has_written


async def open_connection(
    address: str, silence_timeout_ms: int | None
) -> AttemptConnection:
    """Connect to an address; raise AttemptFailed if that fails.

    With ``silence_timeout_ms`` the kernel ends the connection after that time
    without any packet from the other side.
    """
    host, _, port = address.rpartition(":")
    backend = connections.EndpointBackend(silence_timeout_ms)
    try:
        stream = await backend.connect_tcp(host, int(port), CONNECT_TIMEOUT_S)
    except Exception as cause:
        # Whatever is wrong with an address, it is that of one endpoint.
        raise AttemptFailed(type(cause).__name__, sent=False) from cause
    assert isinstance(stream, connections.EndpointStream)
    stream.head_bytes_left = connections.MAX_HEAD_BYTES
    origin = httpcore.Origin(b"http", host.encode(), int(port))
    return AttemptConnection(origin, stream)


Connect = typing.Callable[
    [str, int | None], typing.Awaitable[AttemptConnection]
]


@contextlib.asynccontextmanager
async def open_attempt(
    address: str,
    forwarded: ForwardedRequest,
    request_id: str,
    read_response: ReadResponse,
    mark: http.SentMark,
    silence_timeout_ms: int | None = None,
    connect: Connect = open_connection,
) -> typing.AsyncIterator[ResponseReader]:
    """Send a request and wait for the status and headers of its response.

    Leaving the context, also by cancellation, closes the connection, which
    makes the endpoint drop the request. Raises AttemptFailed, or
    AttemptWithheld if ``mark.may_send`` does not allow the request to be sent.
    """
    host, _, port = address.rpartition(":")
    url = httpcore.URL(
        scheme=b"http",
        host=host.encode(),
        port=int(port),
        target=forwarded.target,
    )
    request = httpcore.Request(
        forwarded.method,
        url,
        headers=forwarded.headers,
        content=forwarded.body,
    )
    connection = await connect(address, silence_timeout_ms)
    try:
        try:
            mark.begin_sending()
            response = await connection.handle_async_request(request)
        except http.TooLate as cause:
            raise AttemptWithheld() from cause
        except Exception as cause:
            # A request that cannot be written is refused by h11 before
            # anything of it has been sent.
            mark.sent = mark.sent and connection.has_sent()
            detail = type(cause).__name__
            raise AttemptFailed(detail, sent=mark.sent) from cause
        connections.end_head(response)
        answer = read_response(response.status, list(response.headers))
        if answer.request_id and answer.request_id != request_id:
            raise AttemptFailed("response to another request", sent=True)
        head = ResponseHead(
            status=response.status,
            headers=list(response.headers),
            metadata=answer,
        )
        yield ResponseReader(head, response)
    finally:
        # Closing waits for nothing, so a cancelled task may do it.
        await connection.aclose()
