"""Replicates bills to peers and appends them to the log."""

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

# Group commit: the log accepts several hundred appends a second from all entry
# VMs together. A replicated bill is not urgent, so each node's interval grows
# with the number of nodes, which keeps the sum at this rate.
APPENDS_PER_S = 100.0
GROUP_INTERVAL_MS = 200.0
MAX_GROUP_BILLS = 500
APPEND_TIMEOUT_MS = 3_000.0
RETRY_MS = 500.0
# An answer is held back at most this long for its bill to become durable. More
# would hold callers during an outage that may last hours; less would turn a
# slow append into an answer reported as incomplete.
DURABILITY_TIMEOUT_MS = 3_000.0
REPLICATION_RETRY_MS = 200.0
# A planned stop spends at most this long on appending or replicating its
# remaining bills.
CLOSE_TIMEOUT_MS = 5_000.0

Key = tuple[str, str]


@attrs.define
class BillingController:
    """Makes bills durable, at a peer or in the log, before answers end.

    ``waiting`` are the bills that are not known to be in the log yet.
    """

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    log: log_module.LogClient
    replicas: replicas_module.BillReplicas
    limit: int
    max_append_age_ms: int
    skew_ms: int
    waiting: dict[Key, billing.Bill] = attrs.field(factory=dict)
    reachable: bool = True
    append_count: int = 0
    _changed: trio.Event = attrs.field(factory=trio.Event)
    _bills_queued: trio.Event = attrs.field(factory=trio.Event)
    _append_requested: trio.Event = attrs.field(factory=trio.Event)
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
        """Make the controller with the limits in the settings."""
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
        """Start appending, and holding replicas for peers."""
        self._nursery = nursery
        self.replicas.listen(self._is_waiting)
        nursery.start_soon(self._append_groups)
        nursery.start_soon(self._adopt_orphaned)

    async def close(self) -> None:
        """Leave no bill behind: append it, or copy it to a peer that stays.

        Limited in time, so that a log outage cannot block a stop. A bill that
        exists nowhere else by then is written in full to the event log.
        """
        with trio.move_on_after(CLOSE_TIMEOUT_MS / 1000):
            while self.waiting:
                await self._try_append()
                if self.reachable:
                    continue
                unsafe = self.replicas.list_unreplicated(self.waiting)
                await self.replicas.replicate_many(unsafe)
                if not self.replicas.list_unreplicated(self.waiting):
                    break
                await self.clock.sleep(RETRY_MS)
        await self.replicas.request_adoption()
        for bill in self.replicas.list_unreplicated(self.waiting):
            events.log_event(
                events.Event.BILL_NOT_SAFE, bill=billing.encode(bill)
            )

    def has_capacity(self) -> bool:
        """Whether another request could be billed.

        Refusing a request is better than running it unbilled. There are two
        limits: memory, which fills during a long outage of the log, and the
        lack of any place for a replica, when neither the log nor a peer
        answers.
        """
        if len(self.waiting) + self.replicas.count_held() >= self.limit:
            return False
        return self.reachable or bool(self.replicas.choose_holders())

    @property
    def held(
        self,
    ) -> dict[replicas_module.PeerIncarnation, dict[Key, billing.Bill]]:
        """Replicas held here for peers."""
        return self.replicas.held

    async def make_durable(self, bill: billing.Bill) -> bool:
        """Make a bill survive the loss of this entry VM.

        Returns False if that takes longer than DURABILITY_TIMEOUT_MS. The bill
        then still waits for the log and may yet be charged, but the answer
        must not be reported as complete.
        """
        assert self._nursery is not None
        bill = self.waiting.setdefault(bill.key, bill)
        self._bills_queued.set()
        with trio.move_on_after(DURABILITY_TIMEOUT_MS / 1000):
            # A link to a peer may come up while this waits for the log.
            while not await self.replicas.replicate(bill, self._nursery):
                self._append_requested.set()
                with trio.move_on_after(REPLICATION_RETRY_MS / 1000):
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
        return max(GROUP_INTERVAL_MS, nodes * 1000 / APPENDS_PER_S)

    async def _append_groups(self) -> None:
        """Append one group per interval; sleep while nothing is waiting."""
        while True:
            if self.reachable and not self.waiting:
                await self._bills_queued.wait()
            self._bills_queued = trio.Event()
            with trio.move_on_after(self._interval_ms() / 1000):
                await self._append_requested.wait()
            self._append_requested = trio.Event()
            await self._try_append()
            if not self.reachable:
                await self.clock.sleep(RETRY_MS)

    async def _try_append(self) -> None:
        """Append one group, and record whether the log answers.

        After a lost answer the same bills are appended again, which is
        harmless: readers of the log count only the first copy.
        """
        self._drop_expired()
        group = list(self.waiting.values())[:MAX_GROUP_BILLS]
        if not group and self.reachable:
            return
        try:
            if group:
                await self.log.append(
                    STREAM,
                    [billing.encode(bill) for bill in group],
                    APPEND_TIMEOUT_MS,
                )
                self.append_count += 1
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
        self._notify_waiters()
        await self.replicas.release([bill.key for bill in group])

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _drop_expired(self) -> None:
        """Never append a bill whose first copy may already have left the log.

        Whoever reads the ledger would count it a second time. Such a bill has
        waited for half the log's retention; it is written to the event log,
        for the operator to enter by hand.
        """
        wall_ms = self.clock.wall_ms()
        for key, bill in list(self.waiting.items()):
            if not billing.may_append(
                bill, wall_ms, self.max_append_age_ms, self.skew_ms
            ):
                del self.waiting[key]
                events.log_event(
                    events.Event.BILL_TOO_OLD, bill=billing.encode(bill)
                )

    async def _adopt_orphaned(self) -> None:
        while True:
            await self.clock.sleep(replicas_module.CHECK_INTERVAL_MS)
            await self.replicas.drop_appended()
            adopted = self.replicas.adopt_orphans()
            if not adopted:
                continue
            events.log_event(events.Event.BILLS_ADOPTED, bills=len(adopted))
            for bill in adopted:
                self.waiting.setdefault(bill.key, bill)
            self._bills_queued.set()
            # Their owner is gone, so these may be the last copies.
            await self.replicas.replicate_many(adopted)
