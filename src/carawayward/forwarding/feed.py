"""Follows one topic of the store: newest records first, then the tail."""

import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.decisions import store_polls
from carawayward import errors
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import change_log
from carawayward.forwarding import keyed_log
from carawayward.forwarding import store_contact
from carawayward import supervision

# How often a feed that waits for its delegate checks that it still has one.
DELEGATE_CHECK_MS = 200.0
# How often a feed that is not needed checks whether it is.
NEEDED_CHECK_MS = 200.0
# A feed that is behind its delegate for longer than this reads the store: a
# datagram with a change was lost, and the next query's answer was as well.
MAX_BEHIND_MS = 600.0


@attrs.define(eq=False)
class TopicFeed:
    """Keeps a reader up to date with one topic.

    ``replace`` gets all newest records after a gap, ``apply`` each further
    record. ``prove`` is told the boot time at which the call was sent that
    showed the reader to be up to date. ``contact`` is shared by all feeds.
    ``note_failing`` is called at the first failed call and at the first that
    succeeds again. ``get_poll_wait`` says how long the next poll may wait, in
    ms. Nothing is read while ``is_needed`` says that the topic is not.

    While ``has_delegate`` says so another entry VM reads the store for this
    one, ``confirm`` gets what it attests and ``apply_changes`` what it read.
    The feed then calls only if it cannot be brought up to date so, or when
    what was proved last is older than ``get_max_age`` says, in ms.
    ``push_updates`` is called when records have come. ``log`` keeps what can
    be passed on to others; ``announced_position`` is the farthest that
    another entry VM has reported, ``behind_since_ms`` since when it is ahead.
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
    is_needed: typing.Callable[[], bool] = lambda: True
    get_max_age: typing.Callable[[], float] = lambda: store_polls.POLL_MS
    push_updates: typing.Callable[[], None] = lambda: None
    position: int | None = None
    proved_ms: float = board_module.NEVER
    announced_position: int = 0
    behind_since_ms: float | None = None
    failing: bool = False
    log: change_log.ChangeLog = attrs.field(factory=change_log.ChangeLog)
    _delegating: bool = False
    _lost: bool = False
    _wakeup: trio.Event = attrs.field(factory=trio.Event)

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to follow."""
        nursery.start_soon(supervision.keep_running, self._follow, ())

    async def close(self) -> None:
        """Nothing to release; the nursery ends the task."""

    def describe(self) -> tuple[int, float] | None:
        """The position reached, and when nothing followed it; None if unsure.

        An entry VM that cannot reach the store, or knows of records that it
        has not read, reports nothing: its clients would take the old for the
        newest until the report is too old.
        """
        if self.position is None or self.failing or self._is_behind():
            return None
        if not self.is_needed():
            return None
        return self.position, self.proved_ms

    def get_position(self) -> int | None:
        """The position read; None where nothing was."""
        return self.position

    def get_known_end(self) -> int | None:
        """The end of the topic; None where that is not known just now."""
        return None if self.failing or self._is_behind() else self.position

    def confirm(self, position: int, as_of_ms: float) -> None:
        """Nothing followed ``position`` in the store at ``as_of_ms``."""
        if position == self.position and as_of_ms > self.proved_ms:
            # So long as nothing has changed, an entry VM that cannot reach
            # the store knows as much as one that can.
            self._note_well()
            self._prove(as_of_ms)

    def announce(self, position: int, served: bool) -> None:
        """The store goes on up to ``position``; read it unless ``served``."""
        self.announced_position = max(self.announced_position, position)
        if not self._is_behind():
            return
        if self.behind_since_ms is None:
            self.behind_since_ms = self.clock.boot_ms()
        if not served:
            self._wakeup.set()

    def list_since(self, start: int) -> list[change_log.Change] | None:
        """Changes from ``start`` on; None if some are not known."""
        return self.log.list_since(start)

    def apply_changes(
        self,
        start: int,
        reach: int,
        changed: typing.Sequence[change_log.Change],
    ) -> bool:
        """Take changes that another entry VM read, up to ``reach``.

        Only while this one waits for them: a call of its own that is under
        way would bring the same ones again, and older over newer.
        """
        if not self._delegating or self.position is None:
            return False
        if not start <= self.position < reach:
            return False
        for each in changed:
            if each.offset >= self.position:
                self._apply(
                    keyed_log.Record(each.key, each.value, each.offset)
                )
        self._move_to(reach)
        self.push_updates()
        return True

    async def _follow(self) -> None:
        while True:
            while not self.is_needed():
                await self.clock.sleep(NEEDED_CHECK_MS)
            delegated = await self._wait_for_update()
            # What was proved is nearly too old where a delegate has failed; a
            # poll that waits would prove nothing for a second more.
            wait_ms = (
                0.0 if delegated or self.failing else self.get_poll_wait()
            )
            sent_ms = self.contact.note_call()
            try:
                batch = await self._read(wait_ms)
            except keyed_log.HistoryLost:
                self.contact.note_answer()
                self._lost = True
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
        """Wait while another entry VM reads; whether one did."""
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
        if self.behind_since_ms is not None:
            behind_ms = self.clock.boot_ms() - self.behind_since_ms
            if behind_ms >= MAX_BEHIND_MS:
                return False
        return self._find_age_ms() < self.get_max_age()

    def _is_behind(self) -> bool:
        return (
            self.position is not None
            and self.announced_position > self.position
        )

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
        if self.position is None or self._lost:
            return await self.topic.read_newest()
        return await self.topic.read(self.position, wait_ms)

    def _take(self, batch: keyed_log.Batch) -> None:
        if self.position is None or self._lost:
            self._lost = False
            self.log.replace(batch.records, self.position, batch.end)
            self.replace(batch.records)
        else:
            for record in batch.records:
                self._apply(record)
        self._move_to(batch.end)

    def _move_to(self, position: int) -> None:
        self.position = position
        if not self._is_behind():
            self.behind_since_ms = None

    def _apply(self, record: keyed_log.Record) -> None:
        self.log.apply(record)
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
