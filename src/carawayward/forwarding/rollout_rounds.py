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
from carawayward.decisions import placement
from carawayward import errors
from carawayward.forwarding import board as board_module
from carawayward.forwarding import facts
from carawayward.forwarding import keyed_log
from carawayward.forwarding import rollout_state
from carawayward.forwarding import rollouts as rollouts_module
from carawayward import supervision

# How often new orders are looked for, and roll-outs that run gone through.
TICK_MS = 200.0
# How often the status is read while a roll-out runs, to see what others have
# decided. They tell of a halt at once; this is for whoever hears no peers.
READ_MS = 1_800.0
# The same where another entry VM reads it for this one: its own proof, one
# question and a tick more. Below rollout_state.STALE_MS.
DELEGATED_READ_MS = 2_800.0
# Entry VMs act on a decision one after the other, so that mostly one does.
TURN_MS = 60.0
MOST_TURNS = 6


@attrs.define(eq=False)
class RolloutRounds:
    """Goes through the roll-outs that run.

    ``end`` is how far all statuses were read, and ``as_of_ms`` when nothing
    followed, on the boot clock. While ``has_delegate`` says so another entry VM
    reads them for this one, and ``confirm`` gets what it proves.
    """

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    rollouts: rollouts_module.Rollouts
    statuses: keyed_log.KeyedLog
    decode_status: typing.Callable[
        [keyed_log.Record], facts.RolloutStatus | None
    ]
    encode_status: typing.Callable[[facts.RolloutStatus], keyed_log.Record]
    has_delegate: typing.Callable[[], bool] = lambda: False
    end: int | None = None
    as_of_ms: float = board_module.NEVER

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to look for orders."""
        nursery.start_soon(supervision.keep_running, self._watch, ())

    async def close(self) -> None:
        """Nothing to release; the nursery ends the task."""

    async def _watch(self) -> None:
        while True:
            self.rollouts.take_orders()
            for rollout in list(self.rollouts.rollouts.values()):
                if rollout.running:
                    await self._step(rollout)
            await self.clock.sleep(TICK_MS)

    async def _step(self, rollout: rollout_state.Rollout) -> None:
        """Read the status if it is time, and write what is decided."""
        self.rollouts.count_slow_runs(rollout)
        self.rollouts.judge(rollout)
        if not self._is_due(rollout) and self._find_wanted(rollout) is None:
            return
        try:
            await self._read_statuses()
            if self._find_wanted(rollout) is not None:
                await self._decide(rollout)
        except errors.PlatformUnavailable:
            # The feeds log outages; a later round tries again.
            return
        except keyed_log.Conflict:
            # Somebody else wrote in between; the next round reads it.
            return

    async def _decide(self, rollout: rollout_state.Rollout) -> None:
        """Write the status that the counts ask for, if it is not there."""
        turn = placement.hash_key(f"{self.board.name}/{rollout.order}")
        await self.clock.sleep(TURN_MS * (turn % MOST_TURNS))
        end = await self._read_statuses()
        wanted = self._find_wanted(rollout)
        if wanted is None:
            return
        order = rollout.order
        status = facts.RolloutStatus(order.service, order.version, wanted)
        await self.statuses.append([self.encode_status(status)], end)
        self.rollouts.take_state(rollout, wanted)

    def _find_wanted(
        self, rollout: rollout_state.Rollout
    ) -> facts.RolloutState | None:
        """The state to write, None if nothing is to be written."""
        if not rollout.running:
            return None
        now_ms = self.clock.now_ms()
        part = rollout.find_part(now_ms)
        if rollout.verdict is canary.Verdict.BAD:
            return facts.RolloutState.ROLLED_BACK
        if canary.may_complete(
            (1.0 - part) * rollout.order.duration_ms,
            rollout.verdict,
            self.rollouts.find_share(rollout, now_ms),
            rollout.count_answers() - rollout.answers_at_opening,
            rollout.count_old_in_flight(now_ms),
        ):
            return facts.RolloutState.COMPLETED
        if part > 1.0:
            # Nothing speaks for the version; what was there is known.
            return facts.RolloutState.ROLLED_BACK
        if rollout.told:
            return None
        return facts.RolloutState.RUNNING

    def describe(self) -> tuple[int, float] | None:
        """How far all statuses were read, and when nothing followed.

        None where that is not known, or news of more has come.
        """
        if self.end is None or self.as_of_ms == board_module.NEVER:
            return None
        return self.end, self.as_of_ms

    def confirm(self, end: int, as_of_ms: float) -> None:
        """Nothing followed ``end`` in the store at ``as_of_ms``."""
        if self.end is None or end < self.end:
            return
        if end > self.end:
            self.as_of_ms = board_module.NEVER
            return
        self.as_of_ms = max(self.as_of_ms, as_of_ms)
        age_ms = self.clock.boot_ms() - as_of_ms
        read_ms = self.clock.now_ms() - age_ms
        for rollout in self.rollouts.rollouts.values():
            if rollout.known:
                rollout.read_ms = max(rollout.read_ms, read_ms)

    def _is_due(self, rollout: rollout_state.Rollout) -> bool:
        """Whether the status has to be read before anything is decided."""
        if not rollout.known or self.as_of_ms == board_module.NEVER:
            return True
        age_ms = self.clock.now_ms() - rollout.read_ms
        return age_ms >= (
            DELEGATED_READ_MS if self.has_delegate() else READ_MS
        )

    async def _read_statuses(self) -> int:
        """Take the statuses that stand in the store; return the log's end."""
        sent_ms = self.clock.boot_ms()
        batch = await self.statuses.read_newest()
        for record in batch.records:
            status = self.decode_status(record)
            if status is not None:
                self._take_status(status)
        for rollout in self.rollouts.rollouts.values():
            rollout.known = True
            rollout.read_ms = self.clock.now_ms()
        self.end, self.as_of_ms = batch.end, sent_ms
        return batch.end

    def _take_status(self, status: facts.RolloutStatus) -> None:
        rollout = self.rollouts.rollouts.get(status.service)
        if rollout is None or rollout.order.version != status.version:
            return
        if rollout.running:
            self.rollouts.take_state(rollout, status.state)
