"""Clocks for tests."""

import trio

from carawayward import clock as clock_module


class TrioClock(clock_module.Clock):
    """Reads trio's clock, which a test may replace by a simulated one."""

    def now_ms(self) -> float:
        """Return trio's current time in ms."""
        return trio.current_time() * 1000

    def boot_ms(self) -> float:
        """Return trio's current time in ms."""
        return trio.current_time() * 1000
