"""Follows one topic of the store: newest records first, then the tail."""

import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward import errors
from carawayward import events
from carawayward.forwarding import keyed_log
from carawayward.forwarding import store_contact
from carawayward import supervision

# A long poll on the tail ends after this at the latest even if nothing came,
# and so proves that nothing was missed up to when it was sent.
POLL_MS = 1_500.0
# So many long polls fit into a lease that rests on their proof: a proof is as
# old as its poll when it comes, and has to last until the next one comes, and
# a poll may fail and be made again.
POLLS_A_LEASE = 3.0
LEAST_POLL_MS = 100.0


def find_poll_ms(lease_ms: float) -> float:
    """How long a poll may wait, so that its proof keeps a lease alive."""
    return max(LEAST_POLL_MS, min(POLL_MS, lease_ms / POLLS_A_LEASE))


@attrs.define(eq=False)
class TopicFeed:
    """Keeps a reader up to date with one topic.

    ``replace`` gets all newest records after a gap, ``apply`` each further
    record. ``prove`` is told the boot time at which the call was sent that
    showed the reader to be up to date. ``contact`` is shared by all feeds.
    ``note_failing`` is called at the first failed call and at the first that
    succeeds again. ``find_wait`` says how long the next poll may wait, in ms.
    """

    name: str
    topic: keyed_log.KeyedLog
    clock: clock_module.Clock
    contact: store_contact.StoreContact
    replace: typing.Callable[[list[keyed_log.Record]], None]
    apply: typing.Callable[[keyed_log.Record], None]
    prove: typing.Callable[[float], None] = lambda as_of_ms: None
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
            sent_ms = self.contact.note_call()
            try:
                batch = await self._read()
            except keyed_log.HistoryLost:
                self.contact.note_answer()
                self.position = None
                continue
            except errors.PlatformUnavailable as fault:
                self._note_failure(sent_ms, fault)
                await self.contact.pause()
                continue
            if batch is None:
                continue
            # Told before the records are taken in: what is missing among
            # them may have lapsed in the outage that ends with them.
            self.contact.note_answer()
            self._take(batch)
            if self.failing:
                self.failing = False
                self.note_failing(False)
                events.log_event(events.Event.PLATFORM_BACK, topic=self.name)
            if batch.complete:
                self.prove(sent_ms)

    async def _read(self) -> keyed_log.Batch | None:
        """Make one call; None if it was given up at the store's return."""
        if not self.failing:
            return await self._call(self.find_wait())
        with self.contact.give_up_at_return():
            # A poll proves something only when it ends. The first after a
            # failure does not wait for news, or everything that rests on its
            # proof would stay refused for the length of a poll, 1.5 s.
            return await self._call(0.0)
        return None

    async def _call(self, wait_ms: float) -> keyed_log.Batch:
        if self.position is None:
            return await self.topic.read_newest()
        return await self.topic.read(self.position, wait_ms)

    def _take(self, batch: keyed_log.Batch) -> None:
        if self.position is None:
            self.replace(batch.records)
        else:
            for record in batch.records:
                self.apply(record)
        self.position = batch.end

    def _note_failure(
        self, sent_ms: float, fault: errors.PlatformUnavailable
    ) -> None:
        self.contact.note_failure(sent_ms)
        if not self.failing:
            self.failing = True
            self.note_failing(True)
            events.log_event(
                events.Event.PLATFORM_DOWN, topic=self.name, detail=str(fault)
            )
