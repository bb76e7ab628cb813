"""A caller's request and the port through which it is answered."""

import random
import typing

import attrs

from carawayward.forwarding import message_types

# Times to come back differ by so much between callers refused together.
COME_BACK_SPREAD = (0.75, 1.25)


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A whole request as it came in."""

    method: bytes
    target: bytes
    host: str
    path: str
    headers: message_types.Headers
    body: bytes


class Reply(typing.Protocol):
    """How an answer goes out; a reply that is not finished is broken off.

    ``begun`` tells whether anything has reached the caller.
    """

    begun: bool

    async def begin(self, status: int, headers: message_types.Headers) -> None:
        """Send status and headers."""

    async def send(self, piece: bytes) -> None:
        """Send a piece of the body."""

    async def finish(self) -> None:
        """Send the end of the body, which makes the answer whole."""


async def send_response(
    reply: Reply, status: int, headers: message_types.Headers, body: bytes
) -> None:
    """Send an answer in one go."""
    length = str(len(body)).encode()
    kept = [pair for pair in headers if pair[0].lower() != b"content-length"]
    await reply.begin(status, [*kept, (b"content-length", length)])
    if body:
        await reply.send(body)
    await reply.finish()


async def refuse(
    reply: Reply, status: int, come_back_ms: float | None
) -> None:
    """Refuse a request that has not run.

    Callers that are refused together are told times apart, or they would
    all come back at the same moment and be refused together again.
    """
    headers: message_types.Headers = []
    if come_back_ms is not None:
        come_back_ms *= random.uniform(*COME_BACK_SPREAD)
        headers.append((b"retry-after", b"%.3f" % (come_back_ms / 1000)))
    await send_response(reply, status, headers, b"")
