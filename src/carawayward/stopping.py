"""A planned stop, which lets open requests finish."""

import os
import threading
import typing

import attrs
import trio

from carawayward import blackboard as blackboard_module
from carawayward import clock as clock_module
from carawayward import deadlines as deadlines_module
from carawayward.decisions import planned_stop
from carawayward import events
from carawayward import listening
from carawayward import settings as settings_module
from carawayward import stop_progress
from carawayward import supervision

POLL_INTERVAL_MS = 20.0
BALANCER_STAGE = "waiting for the load balancer"
# The end of a stop in which no request may wait any more: the replies are
# written and the controllers hand over their state, for which the links to
# peers alone take 0.5 s. At most a part of the whole, so that a short stop
# also leaves time for requests.
CLOSING_MS = 2_000.0
MAX_CLOSING_PART = 0.25
# The part of that time at whose end connections are closed.
MAX_CLOSED_PART = 0.25
CUT_EXIT_CODE = 1
# A stop that was cut short is forced to end this long before the process would
# be killed, and at the latest after a while.
FORCED_EXIT_MS = 100.0
FORCED_EXIT_DELAY_S = 2.0


class Closable(typing.Protocol):
    """A component that is closed at the end of a stop."""

    async def close(self) -> None:
        """Complete or hand over work that must not be lost."""


@attrs.define
class PlannedStop:
    """The steps of a planned stop; ``stage`` names the current one.

    ``count_open`` counts requests whose response is not completely written.
    ``deadlines`` are those of all requests in hand; ``cut_off`` records the
    end of those that are not over when the stop ends. ``callers`` is their
    listener; ``stop_serving`` closes all others. ``cut`` is set if the stop
    ended a request or a task.
    """

    settings: settings_module.Settings
    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    controllers: typing.Sequence[Closable]
    count_open: typing.Callable[[], int]
    deadlines: deadlines_module.Deadlines
    cut_off: typing.Callable[[], None]
    callers: listening.ListenerConfig
    progress: stop_progress.StopProgress = attrs.field(init=False)
    stop_serving: trio.Event = attrs.field(factory=trio.Event)
    stage: str = "not begun"
    cut: bool = False

    def __attrs_post_init__(self) -> None:
        self.progress = stop_progress.StopProgress(
            self.clock,
            self.callers,
            lambda: max(self.board.running, self.count_open()),
            lambda due_ms, begun_due_ms: self.deadlines.bring_forward(due_ms),
            make_reserve(self.settings.stop.deadline_ms),
        )

    async def run(self, signals: typing.AsyncIterator[int]) -> None:
        """Stop; a second signal or the deadline cuts the stop short.

        First the VM reports that it is not ready, and waits until the load
        balancer has removed it: a request that still arrives is answered
        ("not run, leaving") instead of meeting a closed port. Then running
        requests finish, and then the listeners close. A request that cannot
        finish in time runs out of it shortly before, and is answered so. All
        times count from the signal that requests the stop.
        """
        self.board.state = blackboard_module.NodeState.LEAVING
        events.log_event(
            events.Event.NODE_LEAVING,
            running=self.board.running,
            open=self.count_open(),
        )
        with (
            self.progress.measure(self.settings.stop.deadline_ms),
            trio.CancelScope() as scope,
        ):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._follow_times, scope)
                nursery.start_soon(self._end_on_signal, signals)
                await self._run_stages()
                nursery.cancel_scope.cancel()
        if self.stage != "left":
            self._report_cut("deadline")
            self.cut_off()
        self.progress.close_port_if_starved(self.progress.update())
        self.progress.stop_accepting.set()
        self.stop_serving.set()

    async def _follow_times(self, scope: trio.CancelScope) -> None:
        """Bring the end forward while the process is slow, for ever."""
        while True:
            slowdown = self.progress.update()
            scope.deadline = self.progress.closing_deadline_s
            if trio.current_time() >= self.progress.cutoff_s:
                self.progress.stop_accepting.set()
            if self.stage != BALANCER_STAGE:
                self.progress.close_port_if_starved(slowdown)
            await self.clock.sleep(POLL_INTERVAL_MS)

    async def _end_on_signal(self, signals: typing.AsyncIterator[int]) -> None:
        """Let all requests run out of time at a second signal."""
        await anext(signals)
        self._report_cut("second signal")
        self.deadlines.bring_forward(self.clock.now_ms())
        self.progress.end_within(
            compute_closing_ms(self.settings.stop.deadline_ms)
        )

    def find_left_s(self) -> float:
        """How long the process may still take to end."""
        assert self.progress.began_ms is not None
        ends_ms = self.progress.began_ms + self.progress.grace_ms
        return max(0.0, ends_ms - self.clock.now_ms()) / 1000

    def _report_cut(self, cause: str) -> None:
        """Log that requests or tasks are ended, once for each stop."""
        if self.cut:
            return
        self.cut = True
        events.log_event(
            events.Event.WORK_CUT,
            cause=cause,
            stage=self.stage,
            running=self.board.running,
            open=self.count_open(),
            ended=self.board.ended_by_stop,
        )

    async def _run_stages(self) -> None:
        self.stage = BALANCER_STAGE
        with self.deadlines.limit(self.settings.stop.unready_ms):
            await trio.sleep_forever()
        self.stage = "finishing requests"
        while self.board.running or self.count_open():
            await self.clock.sleep(POLL_INTERVAL_MS)
        if self.board.ended_by_stop:
            self._report_cut("deadline")
        self.progress.stop_accepting.set()
        self.stop_serving.set()
        for controller in reversed(self.controllers):
            self.stage = f"closing {type(controller).__name__}"
            try:
                await controller.close()
            except Exception as fault:
                # A failing controller must not keep the others from handing
                # over their state.
                events.log_event(
                    events.Event.FAULT,
                    task=self.stage,
                    detail=supervision.describe_fault(fault),
                )
        self.stage = "left"


def compute_closing_ms(deadline_ms: float) -> float:
    """How long before the end of a stop its requests run out of time."""
    return min(CLOSING_MS, MAX_CLOSING_PART * deadline_ms)


def make_reserve(deadline_ms: float) -> planned_stop.Reserve:
    """What is kept of a stop for replies, controllers and the end."""
    closing_ms = compute_closing_ms(deadline_ms)
    closed_ms = min(planned_stop.CLOSED_MS, MAX_CLOSED_PART * closing_ms)
    return planned_stop.Reserve(closing_ms, closed_ms)


def force_exit_later(left_s: float) -> None:
    """End the process soon if a stop that was cut short does not end it.

    It would be killed in ``left_s``.

    The HTTP library shields its writes from cancellation, so a caller who
    accepts no data could keep the process alive until TCP times out.
    """
    delay_s = min(FORCED_EXIT_DELAY_S, left_s - FORCED_EXIT_MS / 1000)
    timer = threading.Timer(max(0.0, delay_s), os._exit, (CUT_EXIT_CODE,))
    timer.daemon = True
    timer.start()
