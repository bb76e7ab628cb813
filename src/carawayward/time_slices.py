"""Lets other tasks run while one handles bytes that have already arrived.

A task that always finds more to read never waits, so that nothing else runs
and its own time-outs cannot fire. Yielding after a number of bytes or reads
does not bound that time, since some bytes cost far more than others.
"""

import attrs
import trio

# How long a task handles received bytes before others run.
MAX_SLICE_MS = 2.0
# How many tasks whose slices are over run between two turns of all others. If
# each of them ran, others would wait for as many slices as there are.
MAX_BUSY_TASKS = 3

_busy_tasks: trio.lowlevel.RunVar[trio.Semaphore] = trio.lowlevel.RunVar(
    "busy_tasks"
)


def _get_busy_tasks() -> trio.Semaphore:
    """The places of the tasks whose slices are over, first come first served.

    They belong to one run of the event loop.
    """
    try:
        return _busy_tasks.get()
    except LookupError:
        places = trio.Semaphore(MAX_BUSY_TASKS)
        _busy_tasks.set(places)
        return places


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
            async with _get_busy_tasks():
                # The place is given back after a turn of all other tasks.
                await trio.lowlevel.checkpoint()
            self.restart()
