"""One attempt of a forwarded request at one endpoint.

Each attempt has a connection of its own. An idle one may have gone silent
for good, or may hold what an endpoint sent behind an earlier answer; a new
one costs a round trip and can do neither.
"""

import contextlib
import typing

import attrs
import httpcore
import trio

from carawayward.forwarding import message_types
from carawayward.gateway import connections
from carawayward import http_client as http

# Links between failure domains take a few ms; a SYN that was lost is sent
# again after a second, and by then another endpoint has answered.
CONNECT_S = 0.5


@attrs.frozen(kw_only=True)
class Forward:
    """A request as it goes to an endpoint."""

    method: bytes
    target: bytes
    headers: message_types.Headers
    body: bytes


@attrs.frozen(kw_only=True)
class Head:
    """Status and headers of an endpoint's answer."""

    status: int
    headers: message_types.Headers
    metadata: message_types.ResponseMetadata

    @property
    def succeeded(self) -> bool:
        """Whether the status says that the request was carried out."""
        return 200 <= self.status < 300


class AttemptFailed(Exception):
    """No usable answer came.

    ``sent`` is False only when no byte of the request can have left.
    """

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.detail = detail
        self.sent = sent


class AttemptWithheld(Exception):
    """The request may no longer go out; no byte of it has."""


@attrs.define(eq=False)
class Attempt:
    """An answer that is being read."""

    head: Head
    _response: httpcore.Response

    async def read_pieces(self) -> typing.AsyncGenerator[bytes, None]:
        """The body, piece by piece; raises AttemptFailed if it breaks off."""
        stream = typing.cast(typing.AsyncIterable, self._response.stream)
        try:
            async for piece in stream:
                yield piece
        except http.CALL_FAILURES as cause:
            raise AttemptFailed(type(cause).__name__, sent=True) from cause

    async def read_body(self, most: int) -> bytes:
        """The whole body; raises AttemptFailed if it is not whole."""
        body = bytearray()
        async with contextlib.aclosing(self.read_pieces()) as pieces:
            async for piece in pieces:
                body += piece
                if len(body) > most:
                    raise AttemptFailed("body too large", sent=True)
        return bytes(body)


@contextlib.asynccontextmanager
async def open_attempt(
    address: str,
    forward: Forward,
    request_id: str,
    read_response: typing.Callable[
        [int, message_types.Headers], message_types.ResponseMetadata
    ],
    mark: http.SentMark,
    silence_ms: int | None = None,
) -> typing.AsyncIterator[Attempt]:
    """Send a request and wait for the head of its answer.

    Leaving the context, by cancellation too, closes the connection, which
    makes the endpoint drop the request. With ``silence_ms`` the connection
    ends when the other side's kernel has been silent for so long. Raises
    AttemptFailed, and AttemptWithheld where ``mark`` says that the request may
    not go out.
    """
    host, _, port = address.rpartition(":")
    url = httpcore.URL(
        scheme=b"http",
        host=host.encode(),
        port=int(port),
        target=forward.target,
    )
    connection = httpcore.AsyncHTTPConnection(
        origin=url.origin,
        network_backend=connections.EndpointBackend(silence_ms),
    )
    request = httpcore.Request(
        forward.method,
        url,
        headers=forward.headers,
        content=forward.body,
        extensions={
            "trace": mark.trace,
            "timeout": {"connect": CONNECT_S},
        },
    )
    try:
        try:
            response = await connection.handle_async_request(request)
        except http.TooLate as cause:
            raise AttemptWithheld() from cause
        except http.CALL_FAILURES as cause:
            detail = type(cause).__name__
            raise AttemptFailed(detail, sent=mark.sent) from cause
        answer = read_response(response.status, list(response.headers))
        if answer.request_id and answer.request_id != request_id:
            raise AttemptFailed("another request's answer", sent=True)
        head = Head(
            status=response.status,
            headers=list(response.headers),
            metadata=answer,
        )
        yield Attempt(head, response)
    finally:
        with trio.CancelScope(shield=True):
            await connection.aclose()
