"""Reads the roll-out stream, and adopts state that peers have read."""

import functools

import attrs

from carawayward import clock as clock_module
from carawayward.decisions import rollout as decisions
from carawayward import record_isolation
from carawayward.services import log as log_module

STREAM = "rollouts"
UNKNOWN_STATE = decisions.RolloutLog(known=False)


@attrs.define
class RolloutReader:
    """The state of the roll-out stream as far as this entry VM has read it.

    All that was in the log by ``current_as_of_ms``, when the last answered
    read was sent, is in the state.
    """

    clock: clock_module.Clock
    log: log_module.LogClient
    state: decisions.RolloutLog = UNKNOWN_STATE
    started: bool = False
    current_as_of_ms: float = float("-inf")
    snapshot_ms: int = 0

    async def read_once(self, wait_ms: int) -> None:
        """Apply new records; wait for more once the tail is reached."""
        sent_ms = self.clock.now_ms()
        offset = self.state.read_to + 1
        batch = await self.log.read(
            STREAM, offset, wait_ms if self.started else 0
        )
        state = self.state
        if not self.started or batch.oldest > state.read_to + 1:
            # Records that this entry VM has not read have been dropped. State
            # adopted from a peer that has read further is kept.
            if not state.known or batch.oldest > state.read_to + 1:
                state = decisions.start_reading(batch.oldest)
            self.started = True
        for item in batch.records:
            state = record_isolation.isolate(
                functools.partial(self._apply_item, state, item),
                decisions.skip_record(state, item.offset),
                stream=STREAM,
                offset=item.offset,
            )
        self.state = state
        self.current_as_of_ms = max(self.current_as_of_ms, sent_ms)

    def _apply_item(
        self, state: decisions.RolloutLog, item: log_module.LogRecord
    ) -> decisions.RolloutLog:
        record = decisions.decode(item.data)
        if record is None:
            return decisions.skip_record(state, item.offset)
        after = decisions.apply_record(state, item.offset, item.at_ms, record)
        if isinstance(record, decisions.Snapshot):
            self.snapshot_ms = item.at_ms
        return after

    def adopt_peer_state(
        self, read_to: int, progress: dict[str, decisions.Progress]
    ) -> None:
        """Adopt a peer's state if it has read further.

        The state is a function of the log up to ``read_to``, so the one that
        has read further includes all that the other does.
        """
        if self.state.known and read_to <= self.state.read_to:
            return
        if read_to < self.state.read_to:
            return
        self.state = decisions.RolloutLog(
            known=True, read_to=read_to, progress=progress
        )
