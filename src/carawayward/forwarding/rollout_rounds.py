"""Runs roll-outs: reads and writes the statuses that operators see.

Decisions are recorded in these statuses. A write is conditional on there
having been no other since the statuses were read, so that of two entry VMs
that decide at the same time one sees the other's decision.
"""

import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.decisions import canary
from carawayward.decisions import turns
from carawayward import errors
from carawayward.forwarding import board as board_module
from carawayward.forwarding import keyed_log
from carawayward.forwarding import message_types
from carawayward.forwarding import rollout_state
from carawayward.forwarding import rollouts as rollouts_module
from carawayward import record_isolation
from carawayward import supervision

# After the store was restored from a backup, entry VMs that know no decision
# write none for this long: those that know a lost one write it again first.
RESTORE_DELAY_MS = 2_000.0
# How often the running roll-outs are processed.
ROUND_INTERVAL_MS = 200.0
# The same while a roll-out is at full traffic: little time is left then, and
# it has to be completed before its duration ends.
FULL_TRAFFIC_ROUND_INTERVAL_MS = 50.0


@attrs.define
class PendingWrite:
    """A status to write, and when this entry VM may write it.

    ``subject`` identifies the order and the status; times are in ms.
    """

    subject: str
    due_ms: float
    failures: int = 0


@attrs.define(eq=False)
class RolloutRounds:
    """Processes the running roll-outs in periodic rounds.

    Statuses come from a feed; ``get_end`` returns the position up to which it
    has read, None while it knows of unread records. ``list_members`` returns
    the names of all entry VMs. ``latest`` holds the latest status of each
    service, known to be current at ``as_of_ms`` on the boot clock.
    ``histories`` are those last stored of each service.
    ``restoring`` is set while the store, restored from a backup at
    ``era_began_ms``, may lack decisions. ``needed`` is set by each round.
    """

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    rollouts: rollouts_module.Rollouts
    statuses: keyed_log.KeyedLog
    decode_status: typing.Callable[
        [keyed_log.Record],
        message_types.RolloutStatus | message_types.ServiceHistory | None,
    ]
    encode_status: typing.Callable[
        [message_types.RolloutStatus | message_types.ServiceHistory],
        keyed_log.Record,
    ]
    list_members: typing.Callable[[], typing.Iterable[str]]
    get_end: typing.Callable[[], int | None] = lambda: None
    request_read: typing.Callable[[int], None] = lambda end: None
    latest: dict[str, message_types.RolloutStatus] = attrs.field(factory=dict)
    histories: dict[str, message_types.ServiceHistory] = attrs.field(
        factory=dict
    )
    pending_writes: dict[str, PendingWrite] = attrs.field(factory=dict)
    as_of_ms: float = board_module.NEVER
    restoring: bool = False
    era_began_ms: float = board_module.NEVER
    needed: trio.Event = attrs.field(factory=trio.Event)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the rounds."""
        nursery.start_soon(supervision.run_with_restarts, self._run_rounds, ())

    async def close(self) -> None:
        """Nothing to release; the nursery ends the task."""

    def is_needed(self) -> bool:
        """Whether statuses have to be read, since a roll-out is running."""
        return self.restoring or any(
            each.running for each in self.rollouts.rollouts.values()
        )

    def begin_era(self) -> None:
        """Handle a restore from a backup, which may lack statuses."""
        self.restoring = bool(self.rollouts.rollouts)
        self.era_began_ms = self.clock.boot_ms()
        self.board.notify_declared()

    def begin_listing(self) -> None:
        """Prepare for the statuses of another era, which follow."""
        self.begin_era()
        self.latest.clear()
        self.histories.clear()
        self.pending_writes.clear()
        for rollout in self.rollouts.rollouts.values():
            if rollout.running:
                rollout.stored_state = ""

    def replace(self, records: list[keyed_log.Record]) -> None:
        """Apply the latest status of every service."""
        for record in records:
            self.apply(record)

    def apply(self, record: keyed_log.Record) -> None:
        """Apply one status; one that cannot be used is ignored."""

        def decode_and_apply() -> None:
            decoded = self.decode_status(record)
            if isinstance(decoded, message_types.ServiceHistory):
                self.histories[decoded.service] = decoded
            elif decoded is not None:
                self._apply_status(decoded)
                self.latest[decoded.service] = decoded

        record_isolation.isolate(
            decode_and_apply, None, key=record.key, offset=record.offset
        )

    def mark_current(self, as_of_ms: float) -> None:
        """Record that the statuses were current at ``as_of_ms``."""
        self.as_of_ms = max(self.as_of_ms, as_of_ms)
        for service in self.rollouts.rollouts:
            self._apply_history(service)
        self.rollouts.statuses_read = True
        for rollout in self.rollouts.rollouts.values():
            self._update_freshness(rollout)

    async def wait_until_needed(self) -> None:
        """Wait until statuses have to be read; for a single caller."""
        if not self.is_needed():
            self.needed = trio.Event()
            await self.needed.wait()

    async def _run_rounds(self) -> None:
        while True:
            declared = self.board.declared
            self.rollouts.apply_orders()
            if not self.is_needed():
                await declared.wait()
                continue
            self.needed.set()
            for rollout in list(self.rollouts.rollouts.values()):
                if rollout.running or self.restoring:
                    # One that cannot be processed does not stop the others.
                    await supervision.run_once(self._step, (rollout,))
            self._end_restoring()
            await self.clock.sleep(self._get_round_interval_ms())

    def _get_round_interval_ms(self) -> float:
        at_full_traffic = any(
            each.running and each.at_full_traffic
            for each in self.rollouts.rollouts.values()
        )
        return (
            FULL_TRAFFIC_ROUND_INTERVAL_MS
            if at_full_traffic
            else ROUND_INTERVAL_MS
        )

    async def _step(self, rollout: rollout_state.Rollout) -> None:
        """Judge a roll-out by the known counts and write the decision."""
        status = self.latest.get(rollout.order.service)
        if status is not None:
            self._apply_status(status)
        self._apply_history(rollout.order.service)
        self._update_freshness(rollout)
        self.rollouts.count_started_streams(rollout)
        self.rollouts.judge(rollout)
        state = self._decide_state(rollout)
        end = self.get_end()
        if state is None or end is None or not rollout.status_known:
            return
        pending = self._schedule(rollout, state)
        if self.clock.now_ms() < pending.due_ms:
            return
        await self._write(rollout, state, end, pending)

    def _schedule(
        self, rollout: rollout_state.Rollout, state: message_types.RolloutState
    ) -> PendingWrite:
        """Schedule the write of ``state``, unless it is already scheduled."""
        service = rollout.order.service
        subject = f"{rollout.order}/{state.value}"
        pending = self.pending_writes.get(service)
        if pending is None or pending.subject != subject:
            now_ms = self.clock.now_ms()
            left_ms = (1.0 - rollout.compute_elapsed_part(now_ms)) * (
                rollout.order.duration_ms
            )
            turn_ms = turns.compute_turn_ms(
                self.board.name, self.list_members(), subject, left_ms
            )
            pending = PendingWrite(subject, now_ms + turn_ms)
            self.pending_writes[service] = pending
        return pending

    async def _write(
        self,
        rollout: rollout_state.Rollout,
        state: message_types.RolloutState,
        end: int,
        pending: PendingWrite,
    ) -> None:
        """Write a status, provided that the log still ends at ``end``."""
        order = rollout.order
        status = message_types.RolloutStatus(
            order.service, order.version, state
        )
        records = [self.encode_status(status)]
        history = self.rollouts.make_history(rollout)
        if history.says_anything() and history != self.histories.get(
            order.service
        ):
            records.append(self.encode_status(history))
        try:
            await self.statuses.append(records, end)
        except keyed_log.Conflict as fault:
            # Another entry VM wrote in between; the next round decides again.
            self.request_read(fault.end)
        except errors.PlatformUnavailable:
            # Outages are logged by the feeds.
            pending.failures += 1
            pending.due_ms = self.clock.now_ms() + turns.compute_backoff_ms(
                pending.failures, self.board.name
            )
        else:
            self.latest[order.service] = status
            self.histories[order.service] = history
            self.rollouts.apply_state(rollout, state)

    def _decide_state(
        self, rollout: rollout_state.Rollout
    ) -> message_types.RolloutState | None:
        """Decide which state to write; None for none."""
        if not rollout.running:
            return rollout.state if self._is_lost(rollout) else None
        if self.clock.boot_ms() - self.era_began_ms < RESTORE_DELAY_MS:
            return None
        now_ms = self.clock.now_ms()
        part = rollout.compute_elapsed_part(now_ms)
        if self.rollouts.is_return(rollout):
            return self._decide_return(rollout, now_ms)
        if rollout.verdict is canary.Verdict.BAD:
            return message_types.RolloutState.ROLLED_BACK
        since_full_traffic = rollout.sum_since_full_traffic()
        old_in_flight = rollout.count_old_in_flight(now_ms)
        may_complete = canary.may_complete(
            (1.0 - part) * rollout.order.duration_ms,
            rollout.verdict,
            self.rollouts.compute_share(rollout, now_ms),
            since_full_traffic.new,
            old_in_flight,
            self.rollouts.fits_exposure(rollout, now_ms, old_in_flight),
        )
        if may_complete and canary.is_proven(
            rollout.sum_tallies(), since_full_traffic
        ):
            return message_types.RolloutState.COMPLETED
        if part > 1.0:
            # There is too little evidence for the new version, while the old
            # one is known to work.
            return message_types.RolloutState.ROLLED_BACK
        if rollout.stored_state:
            return None
        return message_types.RolloutState.RUNNING

    def _decide_return(
        self, rollout: rollout_state.Rollout, now_ms: float
    ) -> message_types.RolloutState | None:
        """Decide a return to a stable version, which has no trial.

        Completion stops the old endpoints at once, so the new ones are given
        time to start.
        """
        if not rollout.stored_state:
            return message_types.RolloutState.RUNNING
        part = rollout.compute_elapsed_part(now_ms)
        left_ms = (1.0 - part) * rollout.order.duration_ms
        settled = part >= canary.TRIAL_PART and not (
            rollout.count_old_in_flight(now_ms)
        )
        if settled or left_ms <= canary.FORCED_COMPLETION_MS:
            return message_types.RolloutState.COMPLETED
        return None

    def _is_lost(self, rollout: rollout_state.Rollout) -> bool:
        """Whether the store lacks a decision that had taken effect.

        A decision that is in the store is never overwritten.
        """
        order = rollout.order
        status = self.latest.get(order.service)
        if status is None or status.version != order.version:
            return True
        return status.state is message_types.RolloutState.RUNNING

    def _end_restoring(self) -> None:
        """Clear ``restoring`` when the delay is over and nothing is lost."""
        if self.clock.boot_ms() - self.era_began_ms < RESTORE_DELAY_MS:
            return
        self.restoring = self.restoring and any(
            not each.running and self._is_lost(each)
            for each in self.rollouts.rollouts.values()
        )

    def _update_freshness(self, rollout: rollout_state.Rollout) -> None:
        """Record when the statuses were last known to be current."""
        age_ms = self.clock.boot_ms() - self.as_of_ms
        if age_ms < rollout_state.MAX_STATUS_AGE_MS:
            rollout.status_known = True
            read_ms = self.clock.now_ms() - age_ms
            rollout.status_read_ms = max(rollout.status_read_ms, read_ms)

    def _apply_history(self, service: str) -> None:
        """Adopt what the store says about the service's earlier roll-outs."""
        status = self.latest.get(service)
        if self.restoring and service in self.rollouts.histories:
            # It may be older than what is known here.
            status = None
        self.rollouts.merge_history(
            service, self.histories.get(service), status
        )

    def _apply_status(self, status: message_types.RolloutStatus) -> None:
        rollout = self.rollouts.rollouts.get(status.service)
        if rollout is None or rollout.order.version != status.version:
            return
        if rollout.running:
            self.rollouts.apply_state(rollout, status.state)
