"""Reads the stream of roll-outs, and takes over what peers have read."""

import attrs

from carawayward import clock as clock_module
from carawayward.decisions import rollout as decisions
from carawayward.services import log as log_module

STREAM = "rollouts"
NOTHING = decisions.RolloutLog(known=False)


@attrs.define
class RolloutReader:
    """The fold of the stream as far as this entry VM has it.

    ``proof_ms`` is when the last read that was answered was asked for: all
    that was in the log by then is in the fold.
    """

    clock: clock_module.Clock
    log: log_module.LogClient
    state: decisions.RolloutLog = NOTHING
    begun: bool = False
    proof_ms: float = float("-inf")
    snapshot_ms: int = 0

    async def read_once(self, wait_ms: int) -> None:
        """Fold what has come; waits for news once the tail is reached."""
        asked_ms = self.clock.now_ms()
        offset = self.state.read_to + 1
        batch = await self.log.read(
            STREAM, offset, wait_ms if self.begun else 0
        )
        state = self.state
        if not self.begun or batch.oldest > state.read_to + 1:
            # Records that nobody here has folded are gone. A fold taken
            # over from a peer reaches further and stays.
            if not state.known or batch.oldest > state.read_to + 1:
                state = decisions.start_reading(batch.oldest)
            self.begun = True
        for item in batch.records:
            record = decisions.decode(item.data)
            if record is None:
                continue
            state = decisions.apply_record(
                state, item.offset, item.at_ms, record
            )
            if isinstance(record, decisions.Snapshot):
                self.snapshot_ms = item.at_ms
        self.state = state
        self.proof_ms = max(self.proof_ms, asked_ms)

    def take_fold(
        self, read_to: int, progress: dict[str, decisions.Progress]
    ) -> None:
        """Take over a peer's fold if it reaches further.

        A fold is a function of the log up to ``read_to``; of two the one
        that has read further holds all that the other does.
        """
        if self.state.known and read_to <= self.state.read_to:
            return
        if read_to < self.state.read_to:
            return
        self.state = decisions.RolloutLog(
            known=True, read_to=read_to, progress=progress
        )
