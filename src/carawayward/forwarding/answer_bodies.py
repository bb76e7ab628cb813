"""Reads the body of an endpoint's plain response ahead of its caller."""

import io
import math
import typing

import attrs
import trio

from carawayward.forwarding import attempt as attempt_module
from carawayward import http_client as http

# This limits the memory of each response.
MAX_BODY_BYTES = 4_194_304
# What is read of any response before its caller has to take it.
MIN_AHEAD_BYTES = 65_536
# A long body may take longer than the attempt timeout if it comes as fast as
# this.
MIN_BODY_BYTES_PER_MS = 1_000.0

# Called with how many bytes are to be kept; returns whether there is room.
Hold = typing.Callable[[int], bool]


@attrs.define(eq=False)
class AnswerBody:
    """The body of a response; ``length`` bytes have been read of it.

    One that declares no length may have no end: it has ``timeout_ms`` in
    ``read_ahead``, and what its bytes take on a slow link.
    """

    chunks: typing.AsyncIterator[bytes]
    declared: int | None
    timeout_ms: float = math.inf
    length: int = 0
    complete: bool = False

    @classmethod
    def from_response(
        cls,
        head: attempt_module.ResponseHead,
        chunks: typing.AsyncIterator[bytes],
        timeout_ms: float,
    ) -> "AnswerBody":
        """Check the declared length; raise AttemptFailed if too large."""
        declared = http.find_length(head.headers)
        if declared is not None:
            check_length(declared)
            timeout_ms = math.inf
        return cls(chunks, declared, timeout_ms)

    async def read_ahead(self, hold: Hold) -> bytes:
        """Read the whole body, or as much as there is room for.

        The endpoint is done sooner, and one that is truncated can be retried.
        Raises AttemptFailed if it is truncated, too large or too slow.
        """
        kept = io.BytesIO()
        room = MIN_AHEAD_BYTES
        if self.declared is not None and self.declared > room:
            if hold(self.declared):
                room = MAX_BODY_BYTES
        began = trio.current_time()
        with trio.move_on_after(self.timeout_ms / 1000) as timeout:
            async for chunk in self._read():
                kept.write(chunk)
                if self.length >= room:
                    if self.declared is not None or not hold(2 * room):
                        return kept.getvalue()
                    room *= 2
                expected_ms = self.length / MIN_BODY_BYTES_PER_MS
                timeout.deadline = (
                    began + (self.timeout_ms + expected_ms) / 1000
                )
            self.complete = True
        if timeout.cancelled_caught:
            raise attempt_module.AttemptFailed("body too slow", sent=True)
        # The buffer itself, without a copy.
        return kept.getvalue()

    async def read_rest(self) -> typing.AsyncIterator[bytes]:
        """Read what follows, as fast as it is taken."""
        async for chunk in self._read():
            yield chunk
        self.complete = True

    async def _read(self) -> typing.AsyncIterator[bytes]:
        async for chunk in self.chunks:
            self.length += len(chunk)
            check_length(self.length)
            yield chunk


def check_length(length: int) -> None:
    """Raise AttemptFailed if a body is longer than any may be."""
    if length > MAX_BODY_BYTES:
        raise attempt_module.AttemptFailed("body too large", sent=True)
