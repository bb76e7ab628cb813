"""Drains an entry VM that stops: the load balancer first, then requests."""

import attrs
import trio

from carawayward import clock as clock_module
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward import listening
from carawayward import stop_progress

# A load balancer that probes once a second and removes a target after two
# failed probes sends no new connections after this time.
BALANCER_REMOVAL_MS = 2_200.0
POLL_MS = 20.0


@attrs.define(eq=False)
class Drain:
    """A planned stop until its listeners are closed.

    Requests that cannot end in time get a reply that says so. Replies that
    are not read, and streams, are cut off before the process is killed.
    """

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    callers: listening.ListenerConfig
    progress: stop_progress.StopProgress = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.progress = stop_progress.StopProgress(
            self.clock, self.callers, self._count_open, self._bring_forward
        )

    def _count_open(self) -> int:
        return self.board.open_requests + self.board.open_relays

    def _bring_forward(self, due_ms: float, begun_due_ms: float) -> None:
        self.board.stop_deadline.bring_forward(
            self.clock.now_ms(), due_ms, begun_due_ms
        )

    async def run(self) -> None:
        """Wait until the listeners are to be closed."""
        self.board.state = board_module.State.LEAVING
        events.log_event(
            events.Event.NODE_LEAVING, open=self.board.open_requests
        )
        with self.progress.measure(self.board.bounds.grace_ms):
            await self._wait()
        self.board.refusing = True
        # The wait may also have ended before its last part.
        self.progress.close_port_if_starved(self.progress.update())
        self.progress.stop_accepting.set()

    async def _wait(self) -> None:
        """Wait for the load balancer, which sees this state from now on."""
        removed_ms = self.clock.now_ms() + BALANCER_REMOVAL_MS
        with trio.CancelScope() as waiting:
            while self.clock.now_ms() < removed_ms:
                self._update(waiting)
                await self.clock.sleep(POLL_MS)
            self.board.refusing = True
            self.callers.start_draining()
            while self._count_open():
                slowdown = self._update(waiting)
                self.progress.close_port_if_starved(slowdown)
                await self.clock.sleep(POLL_MS)

    def _update(self, waiting: trio.CancelScope) -> float:
        slowdown = self.progress.update()
        waiting.deadline = self.progress.cutoff_s
        return slowdown
