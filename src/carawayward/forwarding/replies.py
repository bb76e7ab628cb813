"""A caller's request, and the interface for replying to it."""

import random
import typing

import attrs

from carawayward.forwarding import message_types

# Range of the random factor on Retry-After, so that callers that are refused
# together do not retry together.
RETRY_AFTER_JITTER = (0.75, 1.25)


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A complete request as the caller sent it."""

    method: bytes
    target: bytes
    host: str
    path: str
    headers: message_types.Headers
    body: bytes


class ReplyLost(Exception):
    """The caller's connection has ended, and with it the reply."""


class Reply(typing.Protocol):
    """Interface for replying to a caller; sending raises ReplyLost.

    A reply that is not finished reaches the caller truncated. ``started``
    says whether anything has been sent to the caller; ``record_start`` is
    called before that.
    """

    started: bool
    record_start: typing.Callable[[], None]

    def hold(self, count: int) -> bool:
        """Account for ``count`` kept bytes of the response.

        False if there is no room for more.
        """

    def set_drop(self, drop: typing.Callable[[], None] | None) -> None:
        """Set what drops the kept response to make room, if that may be.

        Otherwise the connection is closed.
        """

    def set_ready(self, ready: bool) -> None:
        """Set whether a whole response is about to be sent."""

    def expect_unread(self, count: int) -> None:
        """Account for ``count`` bytes more while a write waits."""

    def give_up(self) -> None:
        """Close the connection, as there is no room for the response."""

    async def start(self, status: int, headers: message_types.Headers) -> None:
        """Send status and headers."""

    async def send(self, chunk: bytes) -> None:
        """Send a chunk of the body."""

    async def finish(self) -> None:
        """Send the end of the body, which completes the reply."""


async def send_response(
    reply: Reply, status: int, headers: message_types.Headers, body: bytes
) -> None:
    """Send a whole reply."""
    length = str(len(body)).encode()
    kept = [pair for pair in headers if pair[0].lower() != b"content-length"]
    await reply.start(status, [*kept, (b"content-length", length)])
    if body:
        await reply.send(body)
    await reply.finish()


async def refuse(
    reply: Reply, status: int, retry_after_ms: float | None
) -> None:
    """Refuse a request that has not run.

    Retry-After has a random factor: callers that are refused together would
    otherwise all retry at the same moment and be refused together again.
    """
    headers: message_types.Headers = []
    if retry_after_ms is not None:
        retry_after_ms *= random.uniform(*RETRY_AFTER_JITTER)
        headers.append((b"retry-after", b"%.3f" % (retry_after_ms / 1000)))
    await send_response(reply, status, headers, b"")
