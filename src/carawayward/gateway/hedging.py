"""Hedging: starts a second run when the first gives no text in time.

Only for runs that may be repeated. Whichever run gives text first is kept;
the other is cancelled, so that its engine frees the run's resources.
"""

import typing

import attrs
import trio

from carawayward import errors
from carawayward.gateway import endpoints

OnText = typing.Callable[[str], typing.Awaitable[None]]
Runner = typing.Callable[[OnText], typing.Awaitable[endpoints.RunEnd]]


@attrs.define(eq=False)
class HedgedRun:
    """Up to two runs of one request, of which only one reaches the caller."""

    on_text: OnText
    winner: int | None = None
    scopes: list[trio.CancelScope] = attrs.field(factory=list)
    ends: dict[int, endpoints.RunEnd] = attrs.field(factory=dict)
    faults: dict[int, errors.EndpointError] = attrs.field(factory=dict)
    settled: trio.Event = attrs.field(factory=trio.Event)

    async def run(
        self,
        first: Runner,
        delay_ms: float | None,
        make_hedge: typing.Callable[[], Runner | None],
    ) -> tuple[int, endpoints.RunEnd]:
        """Return the index and end of the run that was kept.

        The second run starts if the first has neither given text nor failed
        after ``delay_ms``; None means never. Raises EndpointError if the run
        that was kept failed, or if all of them failed.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_one, first)
            if delay_ms is not None:
                with trio.move_on_after(delay_ms / 1000):
                    await self.settled.wait()
                second = None if self.settled.is_set() else make_hedge()
                if second is not None:
                    nursery.start_soon(self._run_one, second)
        if self.winner is not None and self.winner in self.ends:
            return self.winner, self.ends[self.winner]
        raise self._find_fault()

    async def _run_one(self, runner: Runner) -> None:
        index = len(self.scopes)
        scope = trio.CancelScope()
        self.scopes.append(scope)
        if self.winner is not None:
            # The first run gave text after this run was created and before
            # its task began. Nothing else would cancel this run, and it
            # would keep the request open until its deadline.
            scope.cancel()

        async def write(text: str) -> None:
            self._keep(index)
            if self.winner != index:
                # This run has been cancelled, but pieces from one read
                # arrive without a checkpoint in between. They must not be
                # mixed into the answer that is kept.
                await trio.sleep_forever()
            await self.on_text(text)

        with scope:
            try:
                self.ends[index] = await runner(write)
                self._keep(index)
            except errors.EndpointError as fault:
                self.faults[index] = fault
                self.settled.set()

    def _keep(self, index: int) -> None:
        """Keep this run if none is kept yet, and cancel the others."""
        if self.winner is None:
            self.winner = index
            self.settled.set()
            for other, scope in enumerate(self.scopes):
                if other != index:
                    scope.cancel()

    def _find_fault(self) -> errors.EndpointError:
        """The kept run's fault; otherwise one after which it may have run."""
        if self.winner is not None:
            return self.faults[self.winner]
        return max(self.faults.values(), key=lambda fault: fault.sent)
