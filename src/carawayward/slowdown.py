"""How much longer work takes than the processor time that it needs."""

import time
import typing

import attrs
import trio

# The factor rests on at most twice this time, so that it follows changes; with
# less work than the smallest part of it nothing is known.
WINDOW_S = 0.5
MIN_RUNNING_S = 0.25
# A loop that waits for events for a greater part of the time is not late,
# however small its share of a core is.
MIN_BUSY_PART = 0.5
# One turn counts for at most this much: a freeze or a call that blocks says
# nothing of the others.
MAX_TURN_S = 0.2
# The processor clock may stand still for short work.
MAX_SLOWDOWN = 30.0


@attrs.define(eq=False)
class SlowdownMeter(trio.abc.Instrument):
    """Measures it for the tasks of an event loop while it is installed.

    Other processes, a quota or a throttled machine make work take longer: the
    loop is late with everything, although each task looks short.
    """

    read_clock_s: typing.Callable[[], float] = time.monotonic
    read_processor_s: typing.Callable[[], float] = time.thread_time
    running_s: float = 0.0
    processor_s: float = 0.0
    waiting_s: float = 0.0
    _began: tuple[float, float] | None = None
    _ended_s: float | None = None

    def after_io_wait(self, timeout: float) -> None:
        """Record that tasks begin to run.

        From the end of ``timeout`` on a task was due, and the process did not
        run.
        """
        self._began = (self.read_clock_s(), self.read_processor_s())
        if self._ended_s is not None:
            waited_s = self._began[0] - self._ended_s
            late_s = max(0.0, waited_s - timeout)
            self.waiting_s += waited_s - late_s
            self.running_s += min(late_s, MAX_TURN_S)

    def before_io_wait(self, timeout: float) -> None:
        """Record that no task runs any more."""
        self._ended_s = self.read_clock_s()
        if self._began is None:
            return
        began_s, began_processor_s = self._began
        turn_s = self._ended_s - began_s
        part = min(1.0, MAX_TURN_S / max(turn_s, MAX_TURN_S))
        self.running_s += part * turn_s
        self.processor_s += part * (
            self.read_processor_s() - began_processor_s
        )
        if self.running_s + self.waiting_s > 2 * WINDOW_S:
            self.running_s /= 2
            self.processor_s /= 2
            self.waiting_s /= 2

    @property
    def slowdown(self) -> float:
        """Time per processor time; 1 if the loop is not busy or not slow."""
        busy_s = MIN_BUSY_PART * (self.running_s + self.waiting_s)
        if self.running_s < max(MIN_RUNNING_S, busy_s):
            return 1.0
        least_s = self.running_s / MAX_SLOWDOWN
        return max(1.0, self.running_s / max(least_s, self.processor_s))
