"""Clocks for tests."""

import trio

from carawayward import clock as clock_module


class TrioClock(clock_module.Clock):
    """The clock of trio, which a test may replace by one that jumps."""

    def now_ms(self) -> float:
        """The time in ms."""
        return trio.current_time() * 1000

    def boot_ms(self) -> float:
        """The time in ms."""
        return trio.current_time() * 1000
