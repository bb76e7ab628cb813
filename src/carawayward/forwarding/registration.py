"""Keeps an entry VM in the topic in which entry VMs find each other.

Failure prevented: the store comes back from a copy that lacks this entry VM,
and whoever joins later never meets it.
"""

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.decisions import placement
from carawayward import errors
from carawayward.forwarding import board as board_module
from carawayward.forwarding import keyed_log
from carawayward import supervision

RETRY_MS = 500.0
# Whoever joined longer ago than this is in any copy that the store comes back
# from; copies are some seconds old.
COPY_AGE_MS = 60_000.0
# Entry VMs that all meet a new era at once write within this time.
ERA_SPREAD_MS = 1_000.0


@attrs.define(eq=False)
class Registration:
    """The record of one entry VM; times in ms on the boot clock."""

    topic: keyed_log.KeyedLog
    clock: clock_module.Clock
    record: keyed_log.Record
    added_ms: float = board_module.NEVER
    _era: trio.Event = attrs.field(factory=trio.Event)

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to follow the store's eras."""
        nursery.start_soon(
            supervision.run_with_restarts, self._follow_eras, ()
        )

    async def close(self) -> None:
        """Nothing to release; the nursery ends the task."""

    async def add(self) -> None:
        """Write the record, as often as it takes."""
        while True:
            try:
                await self.topic.append([self.record])
                break
            except errors.PlatformUnavailable:
                await self.clock.sleep(RETRY_MS)
        self.added_ms = max(self.added_ms, self.clock.boot_ms())

    def begin_era(self) -> None:
        """The store came back from a copy."""
        self._era.set()

    async def _follow_eras(self) -> None:
        while True:
            await self._era.wait()
            self._era = trio.Event()
            age_ms = self.clock.boot_ms() - self.added_ms
            if age_ms >= COPY_AGE_MS:
                continue
            part = placement.hash_key(self.record.key) / 2.0**64
            await self.clock.sleep(part * ERA_SPREAD_MS)
            await self.add()
