"""Lets other tasks run while one handles bytes that have already arrived.

A task that always finds more to read never waits, so that nothing else runs
and its own time-outs cannot fire. Yielding after a number of bytes or reads
does not bound that time, since some bytes cost far more than others.
"""

import attrs
import trio

# How long a task handles received bytes before others run.
MAX_SLICE_MS = 2.0


@attrs.define(eq=False)
class TimeSlice:
    """Since when a task may have run without a wait, on trio's clock, in s."""

    began_s: float = attrs.field(factory=trio.current_time)

    def restart(self) -> None:
        """Record that other tasks have run."""
        self.began_s = trio.current_time()

    async def yield_if_over(self) -> None:
        """Let other tasks run if the slice is over."""
        if trio.current_time() - self.began_s >= MAX_SLICE_MS / 1000:
            await trio.lowlevel.checkpoint()
            self.restart()
