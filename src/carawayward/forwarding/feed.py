"""Follows one topic of the store: newest records first, then the tail."""

import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward import errors
from carawayward import events
from carawayward.forwarding import keyed_log
from carawayward import supervision

# A long poll on the tail ends after this at the latest even if nothing came,
# and so proves that nothing was missed up to when it was sent.
POLL_MS = 1_500.0
# So many long polls fit into a lease that rests on their proof: a proof is as
# old as its poll when it comes, and has to last until the next one comes, and
# a poll may fail and be made again.
POLLS_A_LEASE = 3.0
LEAST_POLL_MS = 100.0
# After a failed call. Short against the leases, so that an outage of the
# store is noticed to be over at once; long enough that a store which turns
# this entry VM away sees three calls a second of it.
RETRY_MS = 300.0


def find_poll_ms(lease_ms: float) -> float:
    """How long a poll may wait, so that its proof keeps a lease alive."""
    return max(LEAST_POLL_MS, min(POLL_MS, lease_ms / POLLS_A_LEASE))


@attrs.define(eq=False)
class TopicFeed:
    """Keeps a reader up to date with one topic.

    ``replace`` gets all newest records after a gap, ``apply`` each further
    record. ``prove`` is told the boot time at which the call was sent that
    showed the reader to be up to date. ``note_trouble`` is called at each
    failed call and at the first that succeeds again, ``note_failing`` at the
    first of each kind. ``find_wait`` says how long the next poll may wait, in
    ms.
    """

    name: str
    topic: keyed_log.KeyedLog
    clock: clock_module.Clock
    replace: typing.Callable[[list[keyed_log.Record]], None]
    apply: typing.Callable[[keyed_log.Record], None]
    prove: typing.Callable[[float], None] = lambda as_of_ms: None
    note_trouble: typing.Callable[[], None] = lambda: None
    find_wait: typing.Callable[[], float] = lambda: POLL_MS
    note_failing: typing.Callable[[bool], None] = lambda failing: None
    position: int | None = None
    failing: bool = False

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to follow."""
        nursery.start_soon(supervision.keep_running, self._follow, ())

    async def close(self) -> None:
        """Nothing to release; the nursery ends the task."""

    async def _follow(self) -> None:
        while True:
            sent_ms = self.clock.boot_ms()
            try:
                complete = await self._step()
            except keyed_log.HistoryLost:
                self.position = None
                continue
            except errors.PlatformUnavailable as fault:
                self._note_failure(fault)
                await self.clock.sleep(RETRY_MS)
                continue
            if self.failing:
                self.failing = False
                self.note_failing(False)
                events.log_event(events.Event.PLATFORM_BACK, topic=self.name)
            if complete:
                self.prove(sent_ms)

    async def _step(self) -> bool:
        """Make one call; whether everything there was has been read."""
        if self.position is None:
            batch = await self.topic.read_newest()
            self._note_answer()
            self.replace(batch.records)
        else:
            # A poll proves something only when it ends. The first after a
            # failure does not wait for news, or everything that rests on its
            # proof would stay refused for the length of a poll, 1.5 s.
            wait_ms = 0.0 if self.failing else self.find_wait()
            batch = await self.topic.read(self.position, wait_ms)
            self._note_answer()
            for record in batch.records:
                self.apply(record)
        self.position = batch.end
        return batch.complete

    def _note_answer(self) -> None:
        """Tell of the end of an outage before its records are taken in."""
        if self.failing:
            self.note_trouble()

    def _note_failure(self, fault: errors.PlatformUnavailable) -> None:
        self.note_trouble()
        if not self.failing:
            self.failing = True
            self.note_failing(True)
            events.log_event(
                events.Event.PLATFORM_DOWN, topic=self.name, detail=str(fault)
            )
