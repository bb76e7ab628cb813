"""Ends writes whose callers accept no data, by progress and not by length."""

import fcntl
import struct
import termios
import typing

import attrs
import trio

from carawayward import closes

# How often, in a write's time without progress, its progress is checked.
CHECKS_PER_TIMEOUT = 8
MAX_CHECK_INTERVAL_S = 1.0
# What the kernel fills in for the bytes that a peer has not acknowledged.
UNSENT_LENGTH = struct.Struct("i")


@attrs.define(eq=False)
class BlockedWrite:
    """A write that waits for its caller; times in s on trio's clock.

    ``count_unsent`` returns the written bytes that the caller's machine has
    not acknowledged; ``abort`` closes the connection. The write has to end by
    ``due_s``.
    """

    count_unsent: typing.Callable[[], int]
    abort: typing.Callable[[closes.CloseReason], None]
    began_s: float
    due_s: float
    progressed_s: float
    written: int = 0
    seen: tuple[int, int] = (0, 0)

    def count_accepted(self) -> int:
        """How many bytes the caller has accepted at least."""
        return max(0, self.written - self.count_unsent())

    def record_progress(self, now_s: float) -> None:
        """Record whether the caller has accepted anything since last time."""
        seen = (self.written, self.count_unsent())
        if seen != self.seen:
            self.seen, self.progressed_s = seen, now_s


@attrs.define(eq=False)
class WriteWatch:
    """The blocked writes of a listener.

    One without progress for ``timeout_s`` is ended, as is one that is not
    over ``timeout_s`` after the deadline of its request.
    """

    timeout_s: float
    writes: set[BlockedWrite] = attrs.field(factory=set)
    blocked: trio.Event = attrs.field(factory=trio.Event)

    def begin(
        self,
        count_unsent: typing.Callable[[], int],
        abort: typing.Callable[[closes.CloseReason], None],
        deadline_s: float,
    ) -> BlockedWrite:
        """Watch a write until it is ended."""
        now_s = trio.current_time()
        write = BlockedWrite(
            count_unsent,
            abort,
            began_s=now_s,
            due_s=max(deadline_s, now_s) + self.timeout_s,
            progressed_s=now_s,
        )
        self.writes.add(write)
        self.blocked.set()
        return write

    def end(self, write: BlockedWrite) -> None:
        """Stop watching a write."""
        self.writes.discard(write)

    async def run(self) -> None:
        """Check the writes until cancelled; do nothing while there are none.

        A time-out in each write could not tell whether its caller reads
        slowly or not at all: the kernel takes more only once much of what it
        has was read.
        """
        while True:
            if not self.writes:
                self.blocked = trio.Event()
                await self.blocked.wait()
            interval_s = self.timeout_s / CHECKS_PER_TIMEOUT
            await trio.sleep(min(interval_s, MAX_CHECK_INTERVAL_S))
            self._check(trio.current_time())

    def _check(self, now_s: float) -> None:
        for write in list(self.writes):
            write.record_progress(now_s)
            if now_s - write.progressed_s > self.timeout_s:
                write.abort(closes.CloseReason.WRITE_TIMEOUT)
            elif now_s > write.due_s:
                write.abort(closes.CloseReason.DEADLINE)


def count_unsent(descriptor: int) -> int:
    """How many written bytes a connection's peer has not acknowledged."""
    try:
        buffer = fcntl.ioctl(
            descriptor, termios.TIOCOUTQ, UNSENT_LENGTH.pack(0)
        )
    except (OSError, ValueError):
        # The connection has been closed meanwhile.
        return 0
    return int(UNSENT_LENGTH.unpack(buffer)[0])
