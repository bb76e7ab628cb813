"""Whether this entry VM reaches the store, by the calls of all its feeds."""

import contextlib
import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.forwarding import board as board_module

# Between two calls to a store that does not answer, whichever feeds make
# them. Short against the leases, so that an outage is noticed to be over at
# once; long enough that a store which turns this entry VM away sees three
# calls a second of it.
RETRY_MS = 300.0
# After a failure without another call for longer than this the store may have
# been back meanwhile.
UNTRIED_MS = 2_000.0


@attrs.define(eq=False)
class OutageTracker:
    """The outages of the store as this entry VM sees them.

    Times are in ms on the boot clock. An outage lasts from the first failed
    call to the first answer to any feed; ``out`` says that one is under way.
    """

    clock: clock_module.Clock
    out: bool = False
    back_ms: float = board_module.NEVER
    sent_ms: float = board_module.NEVER
    _noticed_ms: float = 0.0
    _last_lost_ms: float = 0.0
    _failed_ms: float = 0.0
    _waiting: set[trio.CancelScope] = attrs.field(factory=set)

    def record_call(self) -> float:
        """A call is about to be sent; returns the time."""
        self.sent_ms = self.clock.boot_ms()
        return self.sent_ms

    def record_failure(self, sent_ms: float) -> None:
        """The call that was sent then has failed.

        A call from before the return may fail a second after it, when its
        time is up; that is no further outage.
        """
        if sent_ms < self.back_ms:
            return
        now_ms = self.clock.boot_ms()
        if not self.out or sent_ms - self._failed_ms > UNTRIED_MS:
            self.out = True
            self._noticed_ms = now_ms
        self._last_lost_ms = sent_ms
        self._failed_ms = now_ms

    def record_answer(self) -> None:
        """The store has answered a call.

        Other feeds may wait for an answer that was lost in the outage, or for
        their next try; they are called off, to try again at once.
        """
        if not self.out:
            return
        self.out = False
        self.back_ms = self.clock.boot_ms()
        for scope in list(self._waiting):
            scope.cancel()

    def find_shortest_ms(self) -> float:
        """How long the last outage lasted at least.

        That is from when a call had failed to when the last that was to fail
        was sent.
        """
        return max(0.0, self._last_lost_ms - self._noticed_ms)

    async def pause(self) -> None:
        """Wait until the next call may be made after one that failed.

        Feeds take turns: if all their calls were sent together and lost, the
        return would be noticed only when the time of all of them is up.
        """
        while True:
            left_ms = self.sent_ms + RETRY_MS - self.clock.boot_ms()
            if left_ms <= 0.0 or not self.out:
                return
            with self.give_up_at_return():
                await self.clock.sleep(left_ms)

    @contextlib.contextmanager
    def give_up_at_return(self) -> typing.Iterator[trio.CancelScope]:
        """Cancel what runs inside when another feed gets an answer."""
        with trio.CancelScope() as scope:
            self._waiting.add(scope)
            try:
                yield scope
            finally:
                self._waiting.discard(scope)
