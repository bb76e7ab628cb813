"""Takes bills, places copies at buddies, and appends them to the log."""

import attrs
import trio

from carawayward import blackboard as blackboard_module
from carawayward import clock as clock_module
from carawayward.controllers import bill_replicas as replicas_module
from carawayward import errors
from carawayward import events
from carawayward.peers import hub as hub_module
from carawayward.protocol import billing
from carawayward.services import log as log_module
from carawayward import settings as settings_module

STREAM = "billing"

# Grouping: the log takes several hundred appends a second for all entry VMs
# together. A bill that buddies hold is in no hurry, so a node's interval
# grows with the number of nodes and the sum stays at this share.
APPENDS_A_SECOND = 100.0
GROUP_MS = 200.0
GROUP_MAX = 500
APPEND_TIMEOUT_MS = 3_000.0
RETRY_MS = 500.0
# An answer is held back at most this long for its bill to become safe. More
# would hold callers in an outage that may last hours; less would turn a slow
# append into an answer reported as not whole.
SETTLE_WAIT_MS = 3_000.0
PLACE_AGAIN_MS = 200.0
# A planned stop tries this long to leave no bill behind.
CLOSE_WAIT_MS = 5_000.0

Key = tuple[str, str]


@attrs.define
class BillingController:
    """Every bill is safe at a buddy or in the log before its answer ends."""

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    log: log_module.LogClient
    buddies: replicas_module.BillReplicas
    limit: int
    append_within_ms: int
    skew_ms: int
    waiting: dict[Key, billing.Bill] = attrs.field(factory=dict)
    reachable: bool = True
    appended: int = 0
    _changed: trio.Event = attrs.field(factory=trio.Event)
    _work: trio.Event = attrs.field(factory=trio.Event)
    _hurry: trio.Event = attrs.field(factory=trio.Event)
    _nursery: trio.Nursery | None = None

    @classmethod
    def from_config(
        cls,
        settings: settings_module.Settings,
        board: blackboard_module.Blackboard,
        clock: clock_module.Clock,
        log: log_module.LogClient,
        hub: hub_module.PeerHub,
    ) -> "BillingController":
        """Make the controller with the bounds of the settings."""
        limit = settings.limits.bills_buffered
        return cls(
            board,
            clock,
            log,
            replicas_module.BillReplicas(board, clock, hub, limit),
            limit,
            settings.agreed.log_retention_ms // 2,
            settings.agreed.clock_skew_ms,
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to append and to hold copies for peers."""
        self._nursery = nursery
        self.buddies.listen(self._is_waiting)
        nursery.start_soon(self._append_groups)
        nursery.start_soon(self._adopt_orphans)

    async def close(self) -> None:
        """Leave no bill behind: in the log, or at a peer that stays.

        Bounded, so that a log outage cannot make a stop hang; a bill that
        then is nowhere else goes into the log of events, whole.
        """
        with trio.move_on_after(CLOSE_WAIT_MS / 1000):
            while self.waiting:
                await self._try_append()
                if self.reachable:
                    continue
                unsafe = self.buddies.list_unsafe(self.waiting)
                await self.buddies.place_many(unsafe)
                if not self.buddies.list_unsafe(self.waiting):
                    break
                await self.clock.sleep(RETRY_MS)
        await self.buddies.ask_to_adopt()
        for bill in self.buddies.list_unsafe(self.waiting):
            events.log_event(
                events.Event.BILL_NOT_SAFE, bill=billing.encode(bill)
            )

    def has_capacity(self) -> bool:
        """Whether another request could be billed.

        Refused, not run, is better than run unbilled. Two bounds: memory,
        which fills during a long outage of the log; and the lack of any
        place for a copy, when neither the log nor a peer answers.
        """
        if len(self.waiting) + self.buddies.count_held() >= self.limit:
            return False
        return self.reachable or bool(self.buddies.choose())

    @property
    def held(self) -> dict[replicas_module.Owner, dict[Key, billing.Bill]]:
        """Copies held here for peers."""
        return self.buddies.held

    async def make_durable(self, bill: billing.Bill) -> bool:
        """Make a bill survive the loss of this entry VM.

        Returns False if that cannot be done in SETTLE_WAIT_MS. The bill
        goes on waiting for the log then, so it may still be made; the
        answer must not be reported as whole.
        """
        assert self._nursery is not None
        bill = self.waiting.setdefault(bill.key, bill)
        self._work.set()
        with trio.move_on_after(SETTLE_WAIT_MS / 1000):
            # A peer's link may come up while this waits for the log.
            while not await self.buddies.place(bill, self._nursery):
                self._hurry.set()
                with trio.move_on_after(PLACE_AGAIN_MS / 1000):
                    await self._changed.wait()
                if bill.key not in self.waiting:
                    return True
            return True
        events.log_event(
            events.Event.BILL_NOT_SAFE,
            customer=bill.customer,
            request=bill.request_key,
        )
        return False

    def _is_waiting(self, key: Key) -> bool:
        return key in self.waiting

    def _interval_ms(self) -> float:
        nodes = 1 + len(self.board.entry_vms)
        return max(GROUP_MS, nodes * 1000 / APPENDS_A_SECOND)

    async def _append_groups(self) -> None:
        """Append a group an interval; an idle node does not wake for it."""
        while True:
            if self.reachable and not self.waiting:
                await self._work.wait()
            self._work = trio.Event()
            with trio.move_on_after(self._interval_ms() / 1000):
                await self._hurry.wait()
            self._hurry = trio.Event()
            await self._try_append()
            if not self.reachable:
                await self.clock.sleep(RETRY_MS)

    async def _try_append(self) -> None:
        """Append one group; note whether the log answers.

        After a lost answer the same bills are appended again: the fold
        keeps the first copy, so that is harmless.
        """
        self._drop_too_old()
        group = list(self.waiting.values())[:GROUP_MAX]
        if not group and self.reachable:
            return
        try:
            if group:
                await self.log.append(
                    STREAM,
                    [billing.encode(bill) for bill in group],
                    APPEND_TIMEOUT_MS,
                )
                self.appended += 1
            else:
                await self.log.read(STREAM, 1, limit=1)
        except errors.PlatformUnavailable:
            if self.reachable:
                events.log_event(
                    events.Event.BILLS_WAITING, waiting=len(self.waiting)
                )
            self.reachable = False
            return
        self.reachable = True
        for bill in group:
            self.waiting.pop(bill.key, None)
        self._wake()
        await self.buddies.release([bill.key for bill in group])

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _drop_too_old(self) -> None:
        """Never append a bill whose first copy may have left the log.

        It would be counted again by whoever reads the ledger. Such a bill
        has waited for half the retention; it goes into the log of events,
        for the operator to enter by hand.
        """
        wall_ms = self.clock.wall_ms()
        for key, bill in list(self.waiting.items()):
            if not billing.may_append(
                bill, wall_ms, self.append_within_ms, self.skew_ms
            ):
                del self.waiting[key]
                events.log_event(
                    events.Event.BILL_TOO_OLD, bill=billing.encode(bill)
                )

    async def _adopt_orphans(self) -> None:
        while True:
            await self.clock.sleep(replicas_module.CHECK_INTERVAL_MS)
            await self.buddies.drop_settled()
            adopted = self.buddies.take_orphans()
            if not adopted:
                continue
            events.log_event(events.Event.BILLS_ADOPTED, bills=len(adopted))
            for bill in adopted:
                self.waiting.setdefault(bill.key, bill)
            self._work.set()
            # Their owner is gone, so these copies may be the last ones.
            await self.buddies.place_many(adopted)
