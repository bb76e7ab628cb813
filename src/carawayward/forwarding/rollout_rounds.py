"""Carries roll-outs out: reads and writes the status that operators see.

What has been decided stands in that status. It is written on condition that
nothing was written since it was read, so that of two entry VMs that decide
at once one sees the other's decision.
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
from carawayward import supervision

# Entry VMs that know of no decision write none for so long after the store
# came back from a copy: those that know of one that was lost write it again.
RESTORE_MS = 2_000.0
# How often new orders are looked for, and roll-outs that run gone through.
TICK_MS = 200.0
# The same once everything goes to a new version: little time is left then,
# and it has to be completed before it is over.
OPENED_TICK_MS = 50.0


@attrs.define
class Intent:
    """A status that is to be written, and when this entry VM may write it.

    ``subject`` names order and status; times are in ms.
    """

    subject: str
    due_ms: float
    failures: int = 0


@attrs.define(eq=False)
class RolloutRounds:
    """Goes through the roll-outs that run.

    Statuses come from a feed; ``get_end`` is how far it has read, None while
    it knows of more. ``list_members`` gives the names of all entry VMs.
    ``latest`` holds the newest status of each service, which was the newest
    at ``as_of_ms`` on the boot clock. ``restoring`` is set while decisions may
    be missing in a store that came back from a copy at ``era_ms``.
    """

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    rollouts: rollouts_module.Rollouts
    statuses: keyed_log.KeyedLog
    decode_status: typing.Callable[
        [keyed_log.Record], message_types.RolloutStatus | None
    ]
    encode_status: typing.Callable[
        [message_types.RolloutStatus], keyed_log.Record
    ]
    list_members: typing.Callable[[], typing.Iterable[str]]
    get_end: typing.Callable[[], int | None] = lambda: None
    request_read: typing.Callable[[int], None] = lambda end: None
    latest: dict[str, message_types.RolloutStatus] = attrs.field(factory=dict)
    intents: dict[str, Intent] = attrs.field(factory=dict)
    as_of_ms: float = board_module.NEVER
    restoring: bool = False
    era_ms: float = board_module.NEVER

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to look for orders."""
        nursery.start_soon(supervision.keep_running, self._watch, ())

    async def close(self) -> None:
        """Nothing to release; the nursery ends the task."""

    def is_needed(self) -> bool:
        """Whether a roll-out is under way, so that statuses matter."""
        return self.restoring or any(
            each.running for each in self.rollouts.rollouts.values()
        )

    def begin_era(self) -> None:
        """The store came back from a copy, and may lack statuses."""
        self.restoring = bool(self.rollouts.rollouts)
        self.era_ms = self.clock.boot_ms()

    def begin_listing(self) -> None:
        """The statuses that come next are those of another era."""
        self.begin_era()
        self.latest.clear()
        self.intents.clear()
        for rollout in self.rollouts.rollouts.values():
            if rollout.running:
                rollout.reported = ""

    def replace(self, records: list[keyed_log.Record]) -> None:
        """Take all newest statuses."""
        for record in records:
            self.apply(record)

    def apply(self, record: keyed_log.Record) -> None:
        """Take one status."""
        status = self.decode_status(record)
        if status is not None:
            self.latest[status.service] = status
            self._take_status(status)

    def prove(self, as_of_ms: float) -> None:
        """Nothing followed the statuses at ``as_of_ms`` on the boot clock."""
        self.as_of_ms = max(self.as_of_ms, as_of_ms)
        for rollout in self.rollouts.rollouts.values():
            self._refresh(rollout)

    async def _watch(self) -> None:
        while True:
            self.rollouts.apply_orders()
            for rollout in list(self.rollouts.rollouts.values()):
                if rollout.running or self.restoring:
                    await self._step(rollout)
            self._end_restoring()
            await self.clock.sleep(self._find_tick_ms())

    def _find_tick_ms(self) -> float:
        opened = any(
            each.running and each.opened
            for each in self.rollouts.rollouts.values()
        )
        return OPENED_TICK_MS if opened else TICK_MS

    async def _step(self, rollout: rollout_state.Rollout) -> None:
        """Judge by what is known, and write what is decided."""
        status = self.latest.get(rollout.order.service)
        if status is not None:
            self._take_status(status)
        self._refresh(rollout)
        self.rollouts.count_streams(rollout)
        self.rollouts.judge(rollout)
        wanted = self._find_wanted(rollout)
        end = self.get_end()
        if wanted is None or end is None or not rollout.known:
            return
        intent = self._schedule(rollout, wanted)
        if self.clock.now_ms() < intent.due_ms:
            return
        await self._write(rollout, wanted, end, intent)

    def _schedule(
        self,
        rollout: rollout_state.Rollout,
        wanted: message_types.RolloutState,
    ) -> Intent:
        """When this entry VM is to write ``wanted``, if nobody else has."""
        service = rollout.order.service
        subject = f"{rollout.order}/{wanted.value}"
        intent = self.intents.get(service)
        if intent is None or intent.subject != subject:
            now_ms = self.clock.now_ms()
            left_ms = (1.0 - rollout.find_part(now_ms)) * (
                rollout.order.duration_ms
            )
            turn_ms = turns.compute_turn_ms(
                self.board.name, self.list_members(), subject, left_ms
            )
            intent = Intent(subject, now_ms + turn_ms)
            self.intents[service] = intent
        return intent

    async def _write(
        self,
        rollout: rollout_state.Rollout,
        wanted: message_types.RolloutState,
        end: int,
        intent: Intent,
    ) -> None:
        """Write a status unless something was written after ``end``."""
        order = rollout.order
        status = message_types.RolloutStatus(
            order.service, order.version, wanted
        )
        try:
            await self.statuses.append([self.encode_status(status)], end)
        except keyed_log.Conflict as fault:
            # Somebody else wrote in between; what, decides the next round.
            self.request_read(fault.end)
        except errors.PlatformUnavailable:
            # The feeds log outages.
            intent.failures += 1
            intent.due_ms = self.clock.now_ms() + turns.compute_backoff_ms(
                intent.failures, self.board.name
            )
        else:
            self.latest[order.service] = status
            self.rollouts.take_state(rollout, wanted)

    def _find_wanted(
        self, rollout: rollout_state.Rollout
    ) -> message_types.RolloutState | None:
        """The state to write, None if nothing is to be written."""
        if not rollout.running:
            return rollout.state if self._is_lost(rollout) else None
        if self.clock.boot_ms() - self.era_ms < RESTORE_MS:
            return None
        now_ms = self.clock.now_ms()
        part = rollout.find_part(now_ms)
        if rollout.verdict is canary.Verdict.BAD:
            return message_types.RolloutState.ROLLED_BACK
        under_load = rollout.sum_under_load()
        may_complete = canary.may_complete(
            (1.0 - part) * rollout.order.duration_ms,
            rollout.verdict,
            self.rollouts.find_share(rollout, now_ms),
            under_load.new,
            rollout.count_old_in_flight(now_ms),
        )
        if may_complete and canary.is_proven(
            rollout.sum_tallies(), under_load
        ):
            return message_types.RolloutState.COMPLETED
        if part > 1.0:
            # Too little speaks for the version; what was there is known.
            return message_types.RolloutState.ROLLED_BACK
        if rollout.reported:
            return None
        return message_types.RolloutState.RUNNING

    def _is_lost(self, rollout: rollout_state.Rollout) -> bool:
        """Whether the store lacks a decision that was in force.

        A decision that it has is never written over.
        """
        order = rollout.order
        status = self.latest.get(order.service)
        if status is None or status.version != order.version:
            return True
        return status.state is message_types.RolloutState.RUNNING

    def _end_restoring(self) -> None:
        """Stop once the time to restore is over and nothing is lost."""
        if self.clock.boot_ms() - self.era_ms < RESTORE_MS:
            return
        self.restoring = self.restoring and any(
            not each.running and self._is_lost(each)
            for each in self.rollouts.rollouts.values()
        )

    def _refresh(self, rollout: rollout_state.Rollout) -> None:
        """Note when the statuses were last known to be the newest."""
        age_ms = self.clock.boot_ms() - self.as_of_ms
        if age_ms < rollout_state.MAX_STATUS_AGE_MS:
            rollout.known = True
            read_ms = self.clock.now_ms() - age_ms
            rollout.read_ms = max(rollout.read_ms, read_ms)

    def _take_status(self, status: message_types.RolloutStatus) -> None:
        rollout = self.rollouts.rollouts.get(status.service)
        if rollout is None or rollout.order.version != status.version:
            return
        if rollout.running:
            self.rollouts.take_state(rollout, status.state)
