"""One clock type; every time in this project is in milliseconds."""

import time

import attrs
import trio


@attrs.frozen
class Clock:
    """The machine's clocks.

    ``now_ms`` never steps back and is for measuring and for deadlines;
    ``wall_ms`` is shared between machines, up to their clock skew, and is
    only for what other machines have to judge.
    """

    def now_ms(self) -> float:
        """Milliseconds on a monotonic clock with no meaning elsewhere."""
        return time.monotonic() * 1000.0

    def boot_ms(self) -> float:
        """Milliseconds on a monotonic clock that counts suspension.

        Leases are measured on it: ``now_ms`` stands still while a machine
        is suspended, so that a lease would outlive its bound.
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
    """A clock that moves only when told to, for tests and rigs."""

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
