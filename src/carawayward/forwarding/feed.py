"""Follows one topic of the store: newest records first, then the tail."""

import collections
import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.decisions import store_polls
from carawayward import errors
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import keyed_log
from carawayward.forwarding import store_contact
from carawayward import supervision

# As many records as a burst of changes brings between two questions.
TAIL_RECORDS = 64
# How often a feed that waits for another entry VM's word looks whether that
# one is still heard.
DELEGATE_CHECK_MS = 200.0


@attrs.define(eq=False)
class TopicFeed:
    """Keeps a reader up to date with one topic.

    ``replace`` gets all newest records after a gap, ``apply`` each further
    record. ``prove`` is told the boot time at which the call was sent that
    showed the reader to be up to date. ``contact`` is shared by all feeds.
    ``note_failing`` is called at the first failed call and at the first that
    succeeds again. ``get_poll_wait`` says how long the next poll may wait, in ms.

    While ``has_delegate`` says so another entry VM reads the store for this one,
    and ``confirm`` gets what it proves. The feed then calls only for news,
    or when what was proved last is older than ``get_max_age`` says.
    ``push_updates`` is called when records have come. The last ones are kept in
    ``tail``, for those who are a little behind. ``announced_position`` is the
    farthest that another entry VM has told of.
    """

    name: str
    topic: keyed_log.KeyedLog
    clock: clock_module.Clock
    contact: store_contact.StoreContact
    replace: typing.Callable[[list[keyed_log.Record]], None]
    apply: typing.Callable[[keyed_log.Record], None]
    prove: typing.Callable[[float], None] = lambda as_of_ms: None
    get_poll_wait: typing.Callable[[], float] = lambda: store_polls.POLL_MS
    note_failing: typing.Callable[[bool], None] = lambda failing: None
    has_delegate: typing.Callable[[], bool] = lambda: False
    get_max_age: typing.Callable[[], float] = lambda: store_polls.POLL_MS
    push_updates: typing.Callable[[], None] = lambda: None
    position: int | None = None
    proved_ms: float = board_module.NEVER
    announced_position: int = 0
    failing: bool = False
    tail: collections.deque[keyed_log.Record] = attrs.field(
        factory=lambda: collections.deque(maxlen=TAIL_RECORDS)
    )
    _delegating: bool = False
    _wakeup: trio.Event = attrs.field(factory=trio.Event)

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to follow."""
        nursery.start_soon(supervision.keep_running, self._follow, ())

    async def close(self) -> None:
        """Nothing to release; the nursery ends the task."""

    def describe(self) -> tuple[int, float] | None:
        """The position reached, and when nothing followed it; None if unsure.

        An entry VM that cannot reach the store, or has heard of news that it
        has not read, leaves it to others to tell of the topic: who delegated on
        it would take the old for the newest until its proof is too old.
        """
        if self.position is None or self.failing:
            return None
        if self.announced_position > self.position:
            return None
        return self.position, self.proved_ms

    def confirm(self, position: int, as_of_ms: float) -> None:
        """Nothing followed ``position`` in the store at ``as_of_ms``."""
        if self.position is None:
            return
        self.announced_position = max(self.announced_position, position)
        if position > self.position:
            self._wakeup.set()
        elif position == self.position and as_of_ms > self.proved_ms:
            # So long as nothing has changed, an entry VM that cannot reach
            # the store knows as much as one that can.
            self._note_well()
            self._prove(as_of_ms)

    def list_since(
        self, start: int
    ) -> typing.Iterator[tuple[str, bytes | None]]:
        """Keys and values of all records from ``start`` on, if kept."""
        if not self.tail or self.tail[0].offset > start:
            return
        for record in self.tail:
            if record.offset >= start:
                yield record.key, record.value

    def apply_entries(
        self, entries: typing.Iterable[tuple[str, bytes | None]]
    ) -> None:
        """Take records that another entry VM read, from the position on.

        Only while this one waits for its word: a call of its own that is
        under way would bring the same ones again, and older over newer.
        """
        if not self._delegating or self.position is None:
            return
        for key, value in entries:
            self._apply(keyed_log.Record(key, value, self.position))
            self.position += 1
        self.push_updates()

    async def _follow(self) -> None:
        while True:
            delegated = await self._wait_for_update()
            # What was proved is nearly too old where a neighbour has fallen
            # silent; a poll that waits would prove nothing for a second more.
            wait_ms = (
                0.0 if delegated or self.failing else self.get_poll_wait()
            )
            sent_ms = self.contact.note_call()
            try:
                batch = await self._read(wait_ms)
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
            self._note_well()
            if batch.complete:
                self._prove(sent_ms)
            if batch.records:
                self.push_updates()

    async def _wait_for_update(self) -> bool:
        """Wait while another entry VM reads; whether this one delegated on it."""
        delegated = False
        while self._may_delegate() and not self._wakeup.is_set():
            delegated = self._delegating = True
            left_ms = self.get_max_age() - self._find_age_ms()
            with trio.move_on_after(min(left_ms, DELEGATE_CHECK_MS) / 1000):
                await self._wakeup.wait()
        self._delegating = False
        self._wakeup = trio.Event()
        return delegated

    def _may_delegate(self) -> bool:
        if self.position is None or self.failing or not self.has_delegate():
            return False
        return self._find_age_ms() < self.get_max_age()

    def _find_age_ms(self) -> float:
        return self.clock.boot_ms() - self.proved_ms

    def _prove(self, as_of_ms: float) -> None:
        self.proved_ms = as_of_ms
        self.prove(as_of_ms)

    async def _read(self, wait_ms: float) -> keyed_log.Batch | None:
        """Make one call; None if it was given up at the store's return."""
        if not self.failing:
            return await self._call(wait_ms)
        with self.contact.give_up_at_return():
            # A poll proves something only when it ends. The first after a
            # failure does not wait for news, or everything that rests on its
            # proof would stay refused for the length of a poll, 1.5 s.
            return await self._call(wait_ms)
        return None

    async def _call(self, wait_ms: float) -> keyed_log.Batch:
        if self.position is None:
            return await self.topic.read_newest()
        return await self.topic.read(self.position, wait_ms)

    def _take(self, batch: keyed_log.Batch) -> None:
        if self.position is None:
            self.tail.clear()
            self.replace(batch.records)
        else:
            for record in batch.records:
                self._apply(record)
        self.position = batch.end

    def _apply(self, record: keyed_log.Record) -> None:
        self.tail.append(record)
        self.apply(record)

    def _note_well(self) -> None:
        if not self.failing:
            return
        self.failing = False
        self.note_failing(False)
        events.log_event(events.Event.PLATFORM_BACK, topic=self.name)

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
