"""Follows one topic of the store, with its own calls or through a delegate."""

import contextlib
import functools
import math
import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.decisions import store_polls
from carawayward import errors
from carawayward import events
from carawayward.forwarding import attestation
from carawayward.forwarding import board as board_module
from carawayward.forwarding import call_causes
from carawayward.forwarding import change_log
from carawayward.forwarding import earlier_records
from carawayward.forwarding import keyed_log
from carawayward.forwarding import metrics as metrics_module
from carawayward.forwarding import positions
from carawayward.forwarding import store_outages
from carawayward import supervision

# How often a feed that relies on a delegate checks that it still has one, if
# it is not known how long the delegate's last answer holds.
DELEGATE_CHECK_MS = 200.0
# Turns of other tasks before a feed takes a report for late.
TURNS_BEFORE_CALL = 3
# A feed that is behind its delegate and receives no changes for longer than
# this reads the store: both the datagram with the change and the answer to the
# next query were lost.
MAX_BEHIND_MS = 600.0
# The same while parts of a long change arrive: a whole record read from the
# store takes as long again.
MAX_FETCH_MS = 1_200.0
# Calls in a row that may bring no records, each sooner than the least gap
# between calls, before the gap is kept. A history that is lost needs two.
MAX_QUICK_CALLS = 2


@attrs.define(eq=False)
class TopicFeed:
    """Keeps a reader up to date with one topic.

    ``replace`` receives the newest record of every key at the start and after
    a gap, ``apply`` further records; it returns False for one that cannot be
    used, which then does not supersede the one before. ``replace`` returns
    False if any of its records cannot be used. ``mark_current``
    receives the boot time up to which the reader is known to be up to date:
    when the call that showed it was sent. ``outages`` is shared by all feeds.
    ``record_failing`` is called with True after the first failed call, and
    with False after the first one that succeeds again. ``get_poll_wait``
    returns how long the next poll may wait, in ms, and ``get_call_gap`` how
    long after the start of a call that returned records the next one begins.
    Nothing is read unless ``is_needed`` returns true; ``wait_until_needed``
    returns when it may do so again.

    While ``has_delegate`` returns true, another entry VM reads the store on
    behalf of this one; ``confirm`` receives its attestations and
    ``apply_changes`` the records that it read. The feed then calls the store
    only if the delegate cannot bring it up to date, if ``current_as_of_ms``,
    the time up to which the topic is known, is more than ``get_max_age`` ms
    ago, or if no newer confirmation has arrived ``store_polls.OVERDUE_MS``
    after ``due_ms``. ``compute_delegate_left_ms`` returns how long the
    delegate's last answer holds; what ends it sooner calls
    ``check_delegate``.

    ``push_updates`` is called when records have arrived. ``log`` keeps the
    changes that can be passed on to others. ``latest_known_position`` is the
    highest position that another entry VM has reported; ``behind_since_ms``
    is since when this feed has been behind it, and ``progress_ms`` when a part
    of the missing records arrived last.

    If ``needs_earlier`` returns true after the first listing, earlier records
    are passed to ``apply_earlier``, the newest first, until it returns true.

    ``begin_era`` is called before ``replace`` if the store was restored from
    a backup: missing records may be written again, and the records present
    may be older than those already known.
    """

    name: str
    topic: keyed_log.KeyedLog
    clock: clock_module.Clock
    outages: store_outages.OutageTracker
    replace: typing.Callable[[list[keyed_log.Record]], bool | None]
    apply: typing.Callable[[keyed_log.Record], bool | None]
    mark_current: typing.Callable[[float], None] = lambda as_of_ms: None
    get_poll_wait: typing.Callable[[], float] = lambda: store_polls.MAX_POLL_MS
    get_call_gap: typing.Callable[[], float] = lambda: (
        store_polls.MIN_CALL_GAP_MS
    )
    record_failing: typing.Callable[[bool], None] = lambda failing: None
    has_delegate: typing.Callable[[], bool] = lambda: False
    compute_delegate_left_ms: typing.Callable[[], float] = lambda: (
        DELEGATE_CHECK_MS
    )
    is_needed: typing.Callable[[], bool] = lambda: True
    wait_until_needed: typing.Callable[[], typing.Awaitable[None]] = (
        trio.sleep_forever
    )
    get_max_age: typing.Callable[[], float] = lambda: store_polls.MAX_POLL_MS
    push_updates: typing.Callable[[], None] = lambda: None
    count_call: typing.Callable[[call_causes.Cause], None] = lambda cause: None
    begin_era: typing.Callable[[], None] = lambda: None
    needs_earlier: typing.Callable[[], bool] = lambda: False
    apply_earlier: typing.Callable[[keyed_log.Record], bool] = lambda record: (
        True
    )
    position: int | None = None
    current_as_of_ms: float = board_module.NEVER
    due_ms: float = board_module.NEVER
    latest_known_position: int = 0
    behind_since_ms: float | None = None
    progress_ms: float = board_module.NEVER
    failing: bool = False
    log: change_log.ChangeLog = attrs.field(factory=change_log.ChangeLog)
    _delegating: bool = False
    _gap_ms: float = 0.0
    _in_gap: bool = False
    _sent_ms: float = board_module.NEVER
    _quick_calls: int = 0
    _relist_cause: call_causes.Cause | None = None
    _read_all_until: int = 0
    _wakeup: trio.Event = attrs.field(factory=trio.Event)
    _delegate_wait: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to follow the topic."""
        nursery.start_soon(supervision.run_with_restarts, self._follow, ())

    async def close(self) -> None:
        """Nothing to release; the nursery ends the task."""

    def get_attestation(self) -> attestation.Attestation | None:
        """Return what this entry VM can attest; None if it is not certain.

        An entry VM that cannot reach the store, or that knows of records it
        has not read, attests nothing: its clients would take old records for
        the newest until the report gets too old.
        """
        if self.position is None or self.failing or self._is_behind():
            return None
        return attestation.Attestation(
            self.position, self.current_as_of_ms, self.due_ms
        )

    def get_position(self) -> int | None:
        """Return the position read up to; None before the first read."""
        return self.position

    def get_known_end(self) -> int | None:
        """Return the end of the topic; None if it is currently unknown."""
        return None if self.failing or self._is_behind() else self.position

    def collect_gauges(self) -> dict[str, float]:
        """How far the topic has been read."""
        offset = positions.get_offset(self.position or 0)
        return {
            metrics_module.format_series(
                "topic_position", topic=self.name
            ): float(offset)
        }

    def confirm(self, attested: attestation.Attestation) -> None:
        """Accept another entry VM's attestation.

        Its times have been converted to this entry VM's boot clock.
        """
        if attested.position != self.position:
            return
        latest_ms = self.clock.boot_ms() + self.get_poll_wait()
        due_ms = min(attested.due_ms, latest_ms)
        if (
            attested.as_of_ms <= self.current_as_of_ms
            and due_ms <= self.due_ms
        ):
            return
        self.due_ms = max(self.due_ms, due_ms)
        if attested.as_of_ms > self.current_as_of_ms:
            # As long as nothing has changed, an entry VM that cannot reach
            # the store has the same information as one that can.
            self._record_success()
        self._mark_current(max(attested.as_of_ms, self.current_as_of_ms))

    def notify_position(self, position: int, served: bool) -> None:
        """Record that the topic extends to ``position``.

        Reads the store unless the missing records are ``served``, that is
        sent by the delegate.
        """
        self.latest_known_position = max(self.latest_known_position, position)
        if not self._is_behind():
            return
        if self.behind_since_ms is None:
            self.behind_since_ms = self.clock.boot_ms()
        if not served:
            self._wakeup.set()

    def notify_progress(self) -> None:
        """Record that a part of the missing records has arrived."""
        self.progress_ms = self.clock.boot_ms()
        # Reports cannot confirm anything until the records are complete.
        self.due_ms = max(self.due_ms, self.progress_ms)

    def check_delegate(self) -> None:
        """Check soon whether there is still a delegate."""
        self._delegate_wait.cancel()

    def end_gap(self) -> None:
        """Call the store now if this feed waits between two of its calls."""
        if self._in_gap:
            self._wakeup.set()

    def list_since(self, start: int) -> list[change_log.Change] | None:
        """List changes from ``start`` on; None if some are not known."""
        return self.log.list_since(start)

    def apply_changes(
        self,
        start: int,
        end: int,
        changed: typing.Sequence[change_log.Change],
    ) -> bool:
        """Apply changes from ``start`` to ``end`` read by another entry VM.

        Returns whether they were applied. This may happen while a call of
        this entry VM is in progress; records of its result that are before
        the position are ignored then.
        """
        if self.position is None or not start <= self.position < end:
            return False
        position = self.position
        with self._advancing_to(end):
            for each in changed:
                if each.offset >= position:
                    self._apply(
                        keyed_log.Record(each.key, each.value, each.offset)
                    )
        self.push_updates()
        # The changes may be of a kind that only a read of the store settles.
        self.check_delegate()
        return True

    async def _follow(self) -> None:
        while True:
            while not self.is_needed():
                await self.wait_until_needed()
            cause = await self._wait_for_cause()
            await self._limit_quick_calls()
            self.count_call(cause)
            wait_ms = self._take_wait(cause)
            sent_ms = self._sent_ms = self.outages.record_call()
            self.due_ms = sent_ms + wait_ms
            position, known = self.position, self.latest_known_position
            try:
                batch = await self._read(wait_ms)
            except keyed_log.EraChanged:
                self.outages.record_answer()
                self._relist_cause = call_causes.Cause.ERA_CHANGED
                continue
            except keyed_log.HistoryLost:
                self.outages.record_answer()
                self._relist_cause = call_causes.Cause.HISTORY_LOST
                continue
            except keyed_log.ListingShorter:
                self.outages.record_answer()
                self._relist_cause = call_causes.Cause.SUPERSEDED
                continue
            except errors.PlatformUnavailable as fault:
                self._record_failure(sent_ms, fault)
                await self.outages.wait_before_retry()
                continue
            if batch is None:
                continue
            # Recorded before the records are applied: entries missing from
            # them may have expired in the outage that this answer ends.
            self.outages.record_answer()
            if batch.complete and batch.end < known:
                self._reject_known_position(known, batch.end)
            applied = self._apply_batch(batch, position)
            if cause is call_causes.Cause.START and self.needs_earlier():
                if not await self._try_read_earlier(batch.end, sent_ms):
                    continue
            self._record_success()
            if not applied:
                continue
            if batch.complete:
                self._mark_current(max(sent_ms, self.current_as_of_ms))
            if cause is not call_causes.Cause.POLL:
                # The result counts as confirmed for the length of a poll:
                # within that time a working delegate has read as much.
                self.due_ms = sent_ms + self.get_poll_wait()
            if batch.records:
                self._quick_calls = 0
                self.push_updates()
                await self._wait_between_calls(sent_ms)

    async def _limit_quick_calls(self) -> None:
        """Keep the gap after calls that ended soon and brought no records.

        The store may say again and again that records exist, or that they
        have been lost, and send none.
        """
        gap_ms = store_polls.MIN_CALL_GAP_MS
        remaining_ms = self._sent_ms + gap_ms - self.clock.boot_ms()
        if remaining_ms <= 0.0:
            self._quick_calls = 0
            return
        self._quick_calls += 1
        if self._quick_calls > MAX_QUICK_CALLS:
            await trio.sleep(remaining_ms / 1000)

    async def _try_read_earlier(self, end: int, sent_ms: float) -> bool:
        """Read back from ``end``; if it fails, have the topic listed again."""
        try:
            await earlier_records.read_back(
                self.topic,
                end,
                self.apply_earlier,
                functools.partial(self.count_call, call_causes.Cause.START),
            )
            return True
        except keyed_log.HistoryLost:
            self.outages.record_answer()
        except errors.PlatformUnavailable as fault:
            self._record_failure(sent_ms, fault)
            await self.outages.wait_before_retry()
        self.position = None
        return False

    def _take_wait(self, cause: call_causes.Cause) -> float:
        """How long the next call may wait, after the last gap.

        Only a poll waits for records: in all other cases the last confirmation
        is almost too old, and is renewed only when the call ends.
        """
        gap_ms, self._gap_ms = self._gap_ms, 0.0
        if cause is not call_causes.Cause.POLL:
            return 0.0
        return store_polls.compute_wait_after_gap_ms(
            self.get_poll_wait(), gap_ms
        )

    async def _wait_between_calls(self, sent_ms: float) -> None:
        """Wait for further records of a burst, unless others are known."""
        self._gap_ms = self.get_call_gap()
        # A delegate whose call is overdue seems to have lost the store.
        wait_ms = store_polls.compute_wait_after_gap_ms(
            self.get_poll_wait(), self._gap_ms
        )
        self.due_ms = max(self.due_ms, sent_ms + self._gap_ms + wait_ms)
        remaining_ms = sent_ms + self._gap_ms - self.clock.boot_ms()
        if remaining_ms <= 0.0 or self._is_behind():
            return
        self._wakeup = trio.Event()
        self._in_gap = True
        with trio.move_on_after(remaining_ms / 1000):
            await self._wakeup.wait()
        self._in_gap = False

    async def _wait_for_cause(self) -> call_causes.Cause:
        """Wait while a delegate reads; return why this feed has to call.

        Returns ``POLL`` without waiting if the feed goes on reading by itself.
        """
        if self.position is None:
            return call_causes.Cause.START
        if self._relist_cause is not None:
            return self._relist_cause
        if self.failing:
            return call_causes.Cause.RETRY
        if not self._is_behind():
            self._wakeup = trio.Event()
        while (cause := await self._confirm_cause()) is None:
            self._delegating = True
            remaining_ms = min(
                self.get_max_age() - self._compute_age_ms(),
                store_polls.OVERDUE_MS - self._compute_overdue_ms(),
                self.compute_delegate_left_ms(),
                self._compute_behind_left_ms(),
            )
            with trio.move_on_after(max(0.0, remaining_ms) / 1000) as wait:
                self._delegate_wait = wait
                await self._wakeup.wait()
            if self._wakeup.is_set():
                cause = call_causes.Cause.NOT_SERVED
                break
        if not self._delegating:
            return call_causes.Cause.POLL
        self._delegating = False
        return cause

    async def _confirm_cause(self) -> call_causes.Cause | None:
        """Return why the delegate is insufficient, also after other tasks.

        Clients that were busy would call the store for reports that wait.
        """
        for _ in range(TURNS_BEFORE_CALL if self._delegating else 0):
            if self._find_cause() is None:
                return None
            await trio.lowlevel.checkpoint()
        return self._find_cause()

    def _find_cause(self) -> call_causes.Cause | None:
        """Return why the delegate is insufficient; None if it suffices."""
        if not self.has_delegate():
            return call_causes.Cause.DELEGATE_LOST
        if self._compute_behind_left_ms() <= 0.0:
            return call_causes.Cause.BEHIND
        if self._compute_age_ms() >= self.get_max_age():
            return call_causes.Cause.REPORT_OLD
        if self._compute_overdue_ms() >= store_polls.OVERDUE_MS:
            # The delegate still attests what it read before it lost the store.
            return call_causes.Cause.REPORT_OVERDUE
        return None

    def _is_behind(self) -> bool:
        return (
            self.position is not None
            and self.latest_known_position > self.position
        )

    def _compute_behind_left_ms(self) -> float:
        """How long this feed may still be behind its delegate."""
        if self.behind_since_ms is None:
            # It may get behind meanwhile.
            return MAX_BEHIND_MS
        end_ms = min(
            max(self.behind_since_ms, self.progress_ms) + MAX_BEHIND_MS,
            self.behind_since_ms + MAX_FETCH_MS,
        )
        return end_ms - self.clock.boot_ms()

    def _compute_age_ms(self) -> float:
        return self.clock.boot_ms() - self.current_as_of_ms

    def _compute_overdue_ms(self) -> float:
        return self.clock.boot_ms() - self.due_ms

    def _mark_current(self, as_of_ms: float) -> None:
        self.current_as_of_ms = as_of_ms
        self.mark_current(as_of_ms)

    async def _read(self, wait_ms: float) -> keyed_log.Batch | None:
        """Make one call; None if it was cancelled as the store recovered."""
        if not self.failing:
            return await self._call(wait_ms)
        with self.outages.cancel_on_recovery():
            # A call after a failure does not wait for records (``wait_ms`` is
            # 0). A poll confirms that nothing changed only when it ends, so
            # requests that depend on the confirmation would be refused for the
            # length of a poll, 1.5 s.
            return await self._call(wait_ms)
        return None

    async def _call(self, wait_ms: float) -> keyed_log.Batch:
        if self.position is None or self._relist_cause is not None:
            return await self.topic.read_newest()
        listing_bytes = self.log.estimate_listing_bytes()
        if self.position < self._read_all_until:
            listing_bytes = math.inf
        return await self.topic.read(self.position, wait_ms, listing_bytes)

    def _reject_known_position(self, known: int, end: int) -> None:
        """Forget a reported position that the topic does not extend to.

        ``end`` is its end according to a call sent after the report.
        """
        if self.latest_known_position == known:
            self.latest_known_position = end
            events.log_event(
                events.Event.POSITION_REFUSED,
                topic=self.name,
                position=known,
                end=end,
            )

    def _apply_batch(
        self, batch: keyed_log.Batch, asked: int | None = None
    ) -> bool:
        """Apply the result of a call unless a delegate's changes are newer.

        ``asked`` is the position at which it was sent. If the topic ends
        before that, another entry VM has reported a position that it does not
        have, and a list replaces whatever was read up to there.
        Returns False if it shows nothing of the records up to its end.
        """
        before, lost = self.position, self._relist_cause
        self._relist_cause = None
        if before is not None and batch.end < before:
            if lost is None or asked is None or batch.end >= asked:
                return True
        if before is None or lost is not None:
            superseded = lost is call_causes.Cause.SUPERSEDED
            return self._replace(batch, superseded)
        with self._advancing_to(batch.end):
            self._apply_newest(
                [each for each in batch.records if each.offset >= before]
            )
        return True

    def _replace(self, batch: keyed_log.Batch, superseded: bool) -> bool:
        """Replace all records by the newest of every key.

        Returns False if the records between are needed after all: a list made
        because they are ``superseded`` has one that cannot be used, and lacks
        the one before it.
        """
        before = self.position
        if before is not None and not positions.is_same_era(before, batch.end):
            superseded = False
            self.begin_era()
        with self._advancing_to(batch.end):
            usable = self.replace(batch.records) is not False
            if usable or not superseded:
                self.log.replace(batch.records, before, batch.end)
                return True
        assert before is not None
        self._set_position(before)
        self._read_all_until = batch.end
        return False

    @contextlib.contextmanager
    def _advancing_to(self, position: int) -> typing.Iterator[None]:
        """Set the position at the end of the block, whatever it raises.

        A restarted task would otherwise be given the same records again, and
        stand still at them for as long as they are kept.
        """
        try:
            yield
        finally:
            self._set_position(position)

    def _set_position(self, position: int) -> None:
        self.position = position
        behind = self._is_behind()
        self.behind_since_ms = self.clock.boot_ms() if behind else None

    def _apply_newest(self, records: list[keyed_log.Record]) -> None:
        """Apply the newest record of each key that can be used.

        Each takes time to decode; a reader that is behind may have many.
        """
        by_key: dict[str, list[keyed_log.Record]] = {}
        for record in records:
            by_key.setdefault(record.key, []).append(record)
        applied = []
        for same_key in by_key.values():
            for record in reversed(same_key):
                if self.apply(record) is not False:
                    applied.append(record)
                    break
        for record in sorted(applied, key=lambda each: each.offset):
            self.log.apply(record)

    def _apply(self, record: keyed_log.Record) -> None:
        if self.apply(record) is not False:
            self.log.apply(record)

    def _record_success(self) -> None:
        if not self.failing:
            return
        self.failing = False
        self.record_failing(False)
        events.log_event(events.Event.PLATFORM_BACK, topic=self.name)

    def _record_failure(
        self, sent_ms: float, fault: errors.PlatformUnavailable
    ) -> None:
        self.outages.record_failure(sent_ms)
        if not self.failing:
            self.failing = True
            self.record_failing(True)
            events.log_event(
                events.Event.PLATFORM_DOWN, topic=self.name, detail=str(fault)
            )
