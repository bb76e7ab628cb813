"""Keeps an entry VM registered in the topic for peer discovery.

If the store is restored from a backup that lacks this entry VM's record, entry
VMs that join later would never discover it. The record is therefore written
again after a restore.
"""

import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.decisions import placement
from carawayward import errors
from carawayward.forwarding import board as board_module
from carawayward.forwarding import call_causes
from carawayward.forwarding import keyed_log
from carawayward import supervision

RETRY_MS = 500.0
# A record older than this is contained in any backup that the store is
# restored from; backups are only a few seconds old.
MAX_BACKUP_AGE_MS = 60_000.0
# Entry VMs that notice a new era at the same time spread their writes over
# this period.
ERA_SPREAD_MS = 1_000.0


@attrs.define(eq=False)
class Registration:
    """The registration record of one entry VM.

    ``added_ms`` is when it was last written, in ms on the boot clock.
    ``count_call`` is called before each call to the store.
    """

    topic: keyed_log.KeyedLog
    clock: clock_module.Clock
    record: keyed_log.Record
    added_ms: float = board_module.NEVER
    count_call: typing.Callable[[call_causes.Cause], None] = lambda cause: None
    _era_begun: trio.Event = attrs.field(factory=trio.Event)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to watch for new eras of the store."""
        nursery.start_soon(
            supervision.run_with_restarts, self._follow_eras, ()
        )

    async def close(self) -> None:
        """Nothing to release; the nursery ends the task."""

    async def add(self) -> None:
        """Write the record, retrying until it succeeds."""
        while True:
            self.count_call(call_causes.Cause.WRITE)
            try:
                await self.topic.append([self.record])
                break
            except errors.PlatformUnavailable:
                await self.clock.sleep(RETRY_MS)
        self.added_ms = max(self.added_ms, self.clock.boot_ms())

    def begin_era(self) -> None:
        """Handle a restore of the store from a backup."""
        self._era_begun.set()

    async def _follow_eras(self) -> None:
        while True:
            await self._era_begun.wait()
            self._era_begun = trio.Event()
            age_ms = self.clock.boot_ms() - self.added_ms
            if age_ms >= MAX_BACKUP_AGE_MS:
                continue
            fraction = placement.hash_key(self.record.key) / 2.0**64
            await self.clock.sleep(fraction * ERA_SPREAD_MS)
            await self.add()
