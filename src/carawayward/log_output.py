"""Writes log lines to standard output without ever blocking the process.

When the reader of a pipe stalls, the pipe fills up and a plain write would
block all requests. Lines therefore wait in a bounded buffer. Lines that do
not fit are dropped, and the next line written says how many.
"""

import collections
import json
import logging
import os
import select
import sys
import time
import typing

from absl import logging as absl_logging
import attrs
import trio

# A pipe that is ready accepts at least this much without blocking (PIPE_BUF on
# Linux), so a descriptor shared with other processes need not be made
# non-blocking.
WRITE_BYTES = 4_096
# About one second of output of the busiest entry VM; 0.4 MB at 200 bytes a
# line.
MAX_LINES = 2_000
# Sustained rate and burst of lines below the level of warnings. Warnings and
# errors have a token bucket of their own with the same limits, so that a flood
# of one kind never hides the other.
LINES_PER_S = 200.0
BURST_LINES = 1_000.0
# How often lines are offered again to a reader that is slow.
RETRY_S = 0.1


@attrs.define
class TokenBucket:
    """Limits the rate of log lines; refilled over time."""

    left: float = BURST_LINES
    refilled_s: float | None = None

    def try_take(self, now_s: float) -> bool:
        """Take a token; return False if there is none."""
        if self.refilled_s is not None:
            refill = (now_s - self.refilled_s) * LINES_PER_S
            self.left = min(BURST_LINES, self.left + refill)
        self.refilled_s = now_s
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True


class BoundedHandler(logging.Handler):
    """Writes records to a descriptor as fast as its reader accepts them."""

    def __init__(
        self,
        write: typing.Callable[[bytes], int],
        is_ready: typing.Callable[[], bool],
        read_clock_s: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self.write = write
        self.is_ready = is_ready
        self.read_clock_s = read_clock_s
        self.lines: collections.deque[bytes] = collections.deque()
        self.partial = b""
        self.dropped = 0
        self.normal = TokenBucket()
        self.urgent = TokenBucket()
        self.waiting = trio.Event()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one record; drop it if the queue or its rate limit is full."""
        urgent = record.levelno >= logging.WARNING
        bucket = self.urgent if urgent else self.normal
        full = len(self.lines) >= MAX_LINES
        if full or not bucket.try_take(self.read_clock_s()):
            self.dropped += 1
            return
        at_ms = int(record.created * 1000)
        message = record.getMessage()
        if message.startswith("{"):
            line = f'{{"at_ms": {at_ms}, {message[1:]}'
        else:
            line = json.dumps({"at_ms": at_ms, "text": message})
        self.lines.append(line.encode() + b"\n")
        self.flush()
        if self.partial or self.lines:
            self.waiting.set()

    async def write_waiting(self) -> None:
        """Write the lines for which the reader was not ready, for ever."""
        while True:
            await self.waiting.wait()
            self.waiting = trio.Event()
            while self.partial or self.lines:
                await trio.sleep(RETRY_S)
                self.flush()

    def flush(self) -> None:
        """Write as much as the reader accepts without blocking."""
        while (self.partial or self.lines) and self.is_ready():
            if not self.partial:
                self.partial = self._join_lines()
            try:
                count = self.write(self.partial[:WRITE_BYTES])
            except OSError:
                # The reader is gone, so there is no one to log the error to.
                self.lines.clear()
                self.partial = b""
                return
            self.partial = self.partial[count:]

    def _join_lines(self) -> bytes:
        """Join the next lines, as many as fit into one write."""
        joined = b""
        if self.dropped:
            notice = {"event": "lines_dropped", "count": self.dropped}
            joined = json.dumps(notice).encode() + b"\n"
            self.dropped = 0
        while self.lines and len(joined) + len(self.lines[0]) <= WRITE_BYTES:
            joined += self.lines.popleft()
        return joined or self.lines.popleft()


def make_ready_check(descriptor: int) -> typing.Callable[[], bool]:
    """Whether a write of ``WRITE_BYTES`` to a descriptor will not block."""
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return lambda: bool(poll.poll(0))


def install(level: str) -> BoundedHandler:
    """Route all log lines of the process through a BoundedHandler."""
    descriptor = sys.stdout.fileno()
    handler = BoundedHandler(
        lambda data: os.write(descriptor, data), make_ready_check(descriptor)
    )
    absl_logging.set_verbosity(level)
    logger = absl_logging.get_absl_logger()
    logger.addHandler(handler)
    logger.propagate = False
    return handler
