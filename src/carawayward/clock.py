"""Clocks; times in this project are in milliseconds unless named ``_s``."""

import time

import attrs
import trio


@attrs.frozen
class Clock:
    """The machine's clocks.

    ``now_ms`` is monotonic: use it to measure durations and for deadlines.
    ``wall_ms`` is comparable between machines, up to their clock skew: use
    it only for times that other machines have to evaluate.
    """

    def now_ms(self) -> float:
        """Milliseconds on a monotonic clock, valid on this machine only."""
        return time.monotonic() * 1000.0

    def boot_ms(self) -> float:
        """Milliseconds on a monotonic clock that includes suspension.

        Leases are measured on it: ``now_ms`` does not advance while the
        machine is suspended, so a lease would outlive its bound.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0

    def wall_ms(self) -> int:
        """Milliseconds since the epoch."""
        return time.time_ns() // 1_000_000

    async def sleep(self, duration_ms: float) -> None:
        """Suspend the calling task for ``duration_ms`` milliseconds."""
        await trio.sleep(duration_ms / 1000.0)


@attrs.define
class ManualClock:
    """A clock that is advanced explicitly, for tests and benchmarks."""

    now: float = 0.0
    wall_offset: int = 1_700_000_000_000

    def now_ms(self) -> float:
        """Return the time that was last set."""
        return self.now

    def boot_ms(self) -> float:
        """Return the time that was last set."""
        return self.now

    def wall_ms(self) -> int:
        """Return the time as a wall clock would show it."""
        return self.wall_offset + int(self.now)

    def advance(self, duration_ms: float) -> None:
        """Move the clock forward."""
        self.now += duration_ms
