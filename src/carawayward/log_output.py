"""Log lines to standard output that never hold up the process.

A reader that stalls fills the pipe, and a plain write would then block every
request. Lines wait in a bounded buffer; what does not fit is dropped, and
how much is told by the next line that gets through.
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

# A pipe that is ready takes at least this much without blocking (PIPE_BUF on
# Linux), so that no descriptor that others share has to be made non-blocking.
WRITE_BYTES = 4_096
# About one second of the busiest entry VM; 200 bytes a line, 0.4 MB.
MAX_LINES = 2_000
# Lines a second, in the long run and at once, of those that tell of normal
# work; warnings and errors have as much of their own, so that a flood of the
# one never hides the other.
LINES_A_SECOND = 200.0
BURST_LINES = 1_000.0


@attrs.define
class Allowance:
    """Lines that may still be written, refilled with time."""

    left: float = BURST_LINES
    seen_s: float | None = None

    def take(self, now_s: float) -> bool:
        """Whether one more line may be written now."""
        if self.seen_s is not None:
            refill = (now_s - self.seen_s) * LINES_A_SECOND
            self.left = min(BURST_LINES, self.left + refill)
        self.seen_s = now_s
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True


class BoundedHandler(logging.Handler):
    """Writes records to a descriptor as far as its reader keeps up."""

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
        self.usual = Allowance()
        self.urgent = Allowance()

    def emit(self, record: logging.LogRecord) -> None:
        """Take one record; drop it if there is no room."""
        urgent = record.levelno >= logging.WARNING
        allowance = self.urgent if urgent else self.usual
        full = len(self.lines) >= MAX_LINES
        if full or not allowance.take(self.read_clock_s()):
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

    def flush(self) -> None:
        """Write as much as the reader takes just now."""
        while (self.partial or self.lines) and self.is_ready():
            if not self.partial:
                self.partial = self._join()
            try:
                count = self.write(self.partial[:WRITE_BYTES])
            except OSError:
                # Nobody reads any more; there is nobody to tell.
                self.lines.clear()
                self.partial = b""
                return
            self.partial = self.partial[count:]

    def _join(self) -> bytes:
        """The next lines, as many as go into one write."""
        joined = b""
        if self.dropped:
            told = {"event": "lines_dropped", "count": self.dropped}
            joined = json.dumps(told).encode() + b"\n"
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
    """Send all log lines of the process to standard output, bounded."""
    descriptor = sys.stdout.fileno()
    handler = BoundedHandler(
        lambda data: os.write(descriptor, data), make_ready_check(descriptor)
    )
    absl_logging.set_verbosity(level)
    logger = absl_logging.get_absl_logger()
    logger.addHandler(handler)
    logger.propagate = False
    return handler
