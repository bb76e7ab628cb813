"""Gives up streams whose endpoints pause, if others may go on with them."""

import contextlib
import math
import typing

import attrs
import trio

# How often the time-outs are checked.
CHECK_INTERVAL_S = 0.05
# How often it is checked whether another endpoint may go on with a stream
# whose time-out is over.
RECHECK_INTERVAL_S = 0.25


@attrs.define(eq=False)
class Wait:
    """Waits for an endpoint, which cancelling ``scope`` ends.

    ``may_give_up`` is asked once the current one has lasted until ``due_s``,
    on trio's clock; infinite while there is none.
    """

    scope: trio.CancelScope
    may_give_up: typing.Callable[[], bool]
    due_s: float = math.inf


@attrs.define(eq=False)
class StallWatch:
    """The streams that are given up if their endpoints pause for too long.

    A deadline of the scope could not be taken back: when it is over, whether
    another run may follow decides, which changes while the stream lasts.
    """

    waits: set[Wait] = attrs.field(factory=set)
    begun: trio.Event = attrs.field(factory=trio.Event)

    @contextlib.contextmanager
    def watch(
        self, may_give_up: typing.Callable[[], bool]
    ) -> typing.Iterator[Wait]:
        """Cancel the block when one of its waits is given up."""
        with trio.CancelScope() as scope:
            wait = Wait(scope, may_give_up)
            self.waits.add(wait)
            self.begun.set()
            try:
                yield wait
            finally:
                self.waits.remove(wait)

    async def run(self) -> None:
        """Check the waits until cancelled; do nothing while there are none."""
        while True:
            if not self.waits:
                self.begun = trio.Event()
                await self.begun.wait()
            await trio.sleep(CHECK_INTERVAL_S)
            self._check(trio.current_time())

    def _check(self, now_s: float) -> None:
        for wait in list(self.waits):
            if now_s < wait.due_s:
                continue
            if wait.may_give_up():
                wait.due_s = math.inf
                wait.scope.cancel()
            else:
                wait.due_s = now_s + RECHECK_INTERVAL_S
