"""Follows one topic of the store, by its own calls or by a delegate's."""

import enum
import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.decisions import store_polls
from carawayward import errors
from carawayward import events
from carawayward.forwarding import attestation
from carawayward.forwarding import board as board_module
from carawayward.forwarding import change_log
from carawayward.forwarding import keyed_log
from carawayward.forwarding import positions
from carawayward.forwarding import store_contact
from carawayward import supervision

# How often a feed that waits for its delegate checks that it still has one.
DELEGATE_CHECK_MS = 200.0
# How often a feed that is not needed checks whether it is.
NEEDED_CHECK_MS = 200.0
# A poll that brought records is followed by the next no sooner than this. Each
# of a burst of records would otherwise cost a call of its own.
MIN_CALL_GAP_MS = 200.0
# A feed that is behind its delegate and gets no change for longer than this
# reads the store: a datagram with a change was lost, and the next query's
# answer was as well.
MAX_BEHIND_MS = 600.0


class Cause(enum.StrEnum):
    """Why a feed calls the store."""

    START = "start"
    POLL = "poll"
    RETRY = "retry"
    HISTORY_LOST = "history lost"
    ERA_CHANGED = "era changed"
    DELEGATE_LOST = "delegate lost"
    REPORT_OLD = "report old"
    REPORT_OVERDUE = "report overdue"
    BEHIND = "behind"
    NOT_SERVED = "not served"


@attrs.define(eq=False)
class TopicFeed:
    """Keeps a reader up to date with one topic.

    ``replace`` gets all newest records after a gap, ``apply`` each further
    record. ``prove`` gets the boot time at which the call was sent that
    showed the reader to be up to date. ``contact`` is shared by all feeds.
    ``record_failing`` is called at the first failed call and at the first that
    succeeds again. ``get_poll_wait`` says how long the next poll may wait, in
    ms. Nothing is read while ``is_needed`` says that the topic is not.

    While ``has_delegate`` says so another entry VM reads the store for this
    one, ``confirm`` gets what it attests and ``apply_changes`` what it read.
    The feed then calls only if it cannot be brought up to date so, when what
    was proved last is older than ``get_max_age`` says, in ms, or when it was
    to be shown anew by ``due_ms`` and was not.
    ``push_updates`` is called when records have come. ``log`` keeps what can
    be passed on to others; ``announced_position`` is the farthest that
    another entry VM has reported, ``behind_since_ms`` since when it is ahead.

    ``begin_era`` is called before ``replace`` where the records are those of
    a store that came back from a copy: what is missing may be written again,
    and what is there may be older than what is known.
    """

    name: str
    topic: keyed_log.KeyedLog
    clock: clock_module.Clock
    contact: store_contact.StoreContact
    replace: typing.Callable[[list[keyed_log.Record]], None]
    apply: typing.Callable[[keyed_log.Record], None]
    prove: typing.Callable[[float], None] = lambda as_of_ms: None
    get_poll_wait: typing.Callable[[], float] = lambda: store_polls.MAX_POLL_MS
    record_failing: typing.Callable[[bool], None] = lambda failing: None
    has_delegate: typing.Callable[[], bool] = lambda: False
    is_needed: typing.Callable[[], bool] = lambda: True
    get_max_age: typing.Callable[[], float] = lambda: store_polls.MAX_POLL_MS
    push_updates: typing.Callable[[], None] = lambda: None
    count_call: typing.Callable[[Cause], None] = lambda cause: None
    begin_era: typing.Callable[[], None] = lambda: None
    position: int | None = None
    proved_ms: float = board_module.NEVER
    due_ms: float = board_module.NEVER
    announced_position: int = 0
    behind_since_ms: float | None = None
    failing: bool = False
    log: change_log.ChangeLog = attrs.field(factory=change_log.ChangeLog)
    _delegating: bool = False
    _lost: Cause | None = None
    _wakeup: trio.Event = attrs.field(factory=trio.Event)

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to follow."""
        nursery.start_soon(supervision.run_with_restarts, self._follow, ())

    async def close(self) -> None:
        """Nothing to release; the nursery ends the task."""

    def describe(self) -> attestation.Attestation | None:
        """What this entry VM can attest; None if unsure.

        An entry VM that cannot reach the store, or knows of records that it
        has not read, reports nothing: its clients would take the old for the
        newest until the report is too old.
        """
        if self.position is None or self.failing or self._is_behind():
            return None
        return attestation.Attestation(
            self.position, self.proved_ms, self.due_ms
        )

    def get_position(self) -> int | None:
        """The position read; None where nothing was."""
        return self.position

    def get_known_end(self) -> int | None:
        """The end of the topic; None where that is not known just now."""
        return None if self.failing or self._is_behind() else self.position

    def confirm(self, attested: attestation.Attestation) -> None:
        """Take what another entry VM attests, on the clock of this one."""
        if attested.position != self.position:
            return
        latest_ms = self.clock.boot_ms() + self.get_poll_wait()
        due_ms = min(attested.due_ms, latest_ms)
        if attested.as_of_ms <= self.proved_ms and due_ms <= self.due_ms:
            return
        self.due_ms = max(self.due_ms, due_ms)
        if attested.as_of_ms > self.proved_ms:
            # So long as nothing has changed, an entry VM that cannot reach
            # the store knows as much as one that can.
            self._record_well()
        self._prove(max(attested.as_of_ms, self.proved_ms))

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

        Also while a call of this one is under way: what it brings that is
        older than the position is left out.
        """
        if self.position is None or not start <= self.position < reach:
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
            cause = await self._wait_for_cause()
            self.count_call(cause)
            # Only a poll waits for records. What was proved is nearly too old
            # in all other cases, and proved anew only when the call ends.
            wait_ms = self.get_poll_wait() if cause is Cause.POLL else 0.0
            sent_ms = self.contact.record_call()
            self.due_ms = sent_ms + wait_ms
            try:
                batch = await self._read(wait_ms)
            except keyed_log.EraChanged:
                self.contact.record_answer()
                self._lost = Cause.ERA_CHANGED
                continue
            except keyed_log.HistoryLost:
                self.contact.record_answer()
                self._lost = Cause.HISTORY_LOST
                continue
            except errors.PlatformUnavailable as fault:
                self._record_failure(sent_ms, fault)
                await self.contact.pause()
                continue
            if batch is None:
                continue
            # Recorded before the records are applied: what is missing among
            # them may have expired in the outage that ends with them.
            self.contact.record_answer()
            self._take(batch)
            self._record_well()
            if batch.complete:
                self._prove(max(sent_ms, self.proved_ms))
            if cause is not Cause.POLL:
                # Lasts as long as a poll, in which a delegate that is well has
                # read as much.
                self.due_ms = sent_ms + self.get_poll_wait()
            if batch.records:
                self.push_updates()
                await self._pace(sent_ms)

    async def _pace(self, sent_ms: float) -> None:
        """Let further records of a burst come before the next call."""
        left_ms = sent_ms + MIN_CALL_GAP_MS - self.clock.boot_ms()
        if left_ms > 0.0 and not self._is_behind():
            await self.clock.sleep(left_ms)

    async def _wait_for_cause(self) -> Cause:
        """Wait while another entry VM reads; why this one has to call."""
        if self.position is None:
            return Cause.START
        if self._lost is not None:
            return self._lost
        if self.failing:
            return Cause.RETRY
        if not self._is_behind():
            self._wakeup = trio.Event()
        while (cause := self._find_cause()) is None:
            self._delegating = True
            left_ms = min(
                self.get_max_age() - self._find_age_ms(),
                store_polls.OVERDUE_MS - self._find_overdue_ms(),
            )
            with trio.move_on_after(min(left_ms, DELEGATE_CHECK_MS) / 1000):
                await self._wakeup.wait()
            if self._wakeup.is_set():
                cause = Cause.NOT_SERVED
                break
        if not self._delegating:
            return Cause.POLL
        self._delegating = False
        return cause

    def _find_cause(self) -> Cause | None:
        """Why the delegate does not serve just now; None if it does."""
        if not self.has_delegate():
            return Cause.DELEGATE_LOST
        if self.behind_since_ms is not None:
            behind_ms = self.clock.boot_ms() - self.behind_since_ms
            if behind_ms >= MAX_BEHIND_MS:
                return Cause.BEHIND
        if self._find_age_ms() >= self.get_max_age():
            return Cause.REPORT_OLD
        if self._find_overdue_ms() >= store_polls.OVERDUE_MS:
            # The delegate attests what it proved before it lost the store.
            return Cause.REPORT_OVERDUE
        return None

    def _is_behind(self) -> bool:
        return (
            self.position is not None
            and self.announced_position > self.position
        )

    def _find_age_ms(self) -> float:
        return self.clock.boot_ms() - self.proved_ms

    def _find_overdue_ms(self) -> float:
        return self.clock.boot_ms() - self.due_ms

    def _prove(self, as_of_ms: float) -> None:
        self.proved_ms = as_of_ms
        self.prove(as_of_ms)

    async def _read(self, wait_ms: float) -> keyed_log.Batch | None:
        """Make one call; None if it was given up at the store's return."""
        if not self.failing:
            return await self._call(wait_ms)
        with self.contact.give_up_at_return():
            # A poll proves something only when it ends. The first after a
            # failure does not wait, or everything that rests on its
            # proof would stay refused for the length of a poll, 1.5 s.
            return await self._call(wait_ms)
        return None

    async def _call(self, wait_ms: float) -> keyed_log.Batch:
        if self.position is None or self._lost is not None:
            return await self.topic.read_newest()
        return await self.topic.read(self.position, wait_ms)

    def _take(self, batch: keyed_log.Batch) -> None:
        """Take what a call brought, unless a delegate's changes are newer."""
        before, lost = self.position, self._lost
        self._lost = None
        if before is not None and batch.end < before:
            return
        if before is None or lost is not None:
            self._replace(batch)
        else:
            for record in batch.records:
                if record.offset >= before:
                    self._apply(record)
        self._move_to(batch.end)

    def _replace(self, batch: keyed_log.Batch) -> None:
        """Take a list of all newest records."""
        before = self.position
        if before is not None and not positions.is_same_era(before, batch.end):
            self.begin_era()
        self.log.replace(batch.records, before, batch.end)
        self.replace(batch.records)

    def _move_to(self, position: int) -> None:
        self.position = position
        behind = self._is_behind()
        self.behind_since_ms = self.clock.boot_ms() if behind else None

    def _apply(self, record: keyed_log.Record) -> None:
        self.log.apply(record)
        self.apply(record)

    def _record_well(self) -> None:
        if not self.failing:
            return
        self.failing = False
        self.record_failing(False)
        events.log_event(events.Event.PLATFORM_BACK, topic=self.name)

    def _record_failure(
        self, sent_ms: float, fault: errors.PlatformUnavailable
    ) -> None:
        self.contact.record_failure(sent_ms)
        if not self.failing:
            self.failing = True
            self.record_failing(True)
            events.log_event(
                events.Event.PLATFORM_DOWN, topic=self.name, detail=str(fault)
            )
