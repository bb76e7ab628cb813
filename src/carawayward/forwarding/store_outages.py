"""Tracks outages of the store from the results of all feeds' calls."""

import contextlib
import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.decisions import store_polls
from carawayward.forwarding import board as board_module

# If no call was sent for longer than this after a failure, the store may have
# recovered in between, and the next failure counts as a new outage.
MAX_UNOBSERVED_MS = 2_000.0


@attrs.define(eq=False)
class OutageTracker:
    """The outages of the store as observed by this entry VM.

    An outage lasts from the first failed call to the first answer that any
    feed receives; ``in_outage`` is set meanwhile, and ``recovered_ms`` is
    when the last one ended. ``get_retry_ms`` returns the interval between two
    calls during an outage. Times are in ms on the boot clock.
    """

    clock: clock_module.Clock
    get_retry_ms: typing.Callable[[], float] = lambda: store_polls.RETRY_MS
    in_outage: bool = False
    recovered_ms: float = board_module.NEVER
    last_call_ms: float = board_module.NEVER
    _first_failure_ms: float = 0.0
    _last_failed_call_ms: float = 0.0
    _last_failure_ms: float = 0.0
    _pending_waits: set[trio.CancelScope] = attrs.field(factory=set)

    def record_call(self) -> float:
        """Record that a call is about to be sent; return the current time."""
        self.last_call_ms = self.clock.boot_ms()
        return self.last_call_ms

    def record_failure(self, sent_ms: float) -> None:
        """Record that the call sent at ``sent_ms`` has failed.

        A call sent before the store recovered may time out up to a second
        after the recovery; that is not a new outage.
        """
        if sent_ms < self.recovered_ms:
            return
        now_ms = self.clock.boot_ms()
        if (
            not self.in_outage
            or sent_ms - self._last_failure_ms > MAX_UNOBSERVED_MS
        ):
            self.in_outage = True
            self._first_failure_ms = now_ms
        self._last_failed_call_ms = sent_ms
        self._last_failure_ms = now_ms

    def record_answer(self) -> None:
        """Record that the store has answered a call.

        Other feeds may still be waiting for an answer that was lost in the
        outage, or for their next attempt. These waits are cancelled, so that
        the feeds retry at once.
        """
        if not self.in_outage:
            return
        self.in_outage = False
        self.recovered_ms = self.clock.boot_ms()
        for scope in list(self._pending_waits):
            scope.cancel()

    def compute_min_duration_ms(self) -> float:
        """Return the minimum duration of the last outage.

        It spans from when the first call had failed to when the last call
        that failed was sent.
        """
        return max(0.0, self._last_failed_call_ms - self._first_failure_ms)

    async def wait_before_retry(self) -> None:
        """Wait until the next call may be made after a failed one.

        Feeds take turns: if all of them sent their calls at the same time and
        these were lost, recovery would be noticed only after they time out.
        """
        while True:
            next_call_ms = self.last_call_ms + self.get_retry_ms()
            remaining_ms = next_call_ms - self.clock.boot_ms()
            if remaining_ms <= 0.0 or not self.in_outage:
                return
            with self.cancel_on_recovery():
                await self.clock.sleep(remaining_ms)

    @contextlib.contextmanager
    def cancel_on_recovery(self) -> typing.Iterator[trio.CancelScope]:
        """Cancel the enclosed wait when another feed receives an answer."""
        with trio.CancelScope() as scope:
            self._pending_waits.add(scope)
            try:
                yield scope
            finally:
                self._pending_waits.discard(scope)
