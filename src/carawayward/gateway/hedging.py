"""Runs a request a second time when the first is silent for long.

Only for runs that may be repeated. Whichever gives text first is kept; the
other is cancelled, at which its engine frees what it holds.
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
    """Up to two runs of one request, of which one may reach the caller."""

    on_text: OnText
    winner: int | None = None
    scopes: list[trio.CancelScope] = attrs.field(factory=list)
    ends: dict[int, endpoints.RunEnd] = attrs.field(factory=dict)
    faults: dict[int, errors.EndpointError] = attrs.field(factory=dict)
    moved: trio.Event = attrs.field(factory=trio.Event)

    async def run(
        self,
        first: Runner,
        delay_ms: float | None,
        make_second: typing.Callable[[], Runner | None],
    ) -> tuple[int, endpoints.RunEnd]:
        """Return which run was kept and its end, or raise its fault."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._enter, first)
            if delay_ms is not None:
                with trio.move_on_after(delay_ms / 1000):
                    await self.moved.wait()
                second = None if self.moved.is_set() else make_second()
                if second is not None:
                    nursery.start_soon(self._enter, second)
        if self.winner is not None and self.winner in self.ends:
            return self.winner, self.ends[self.winner]
        raise self._find_fault()

    async def _enter(self, runner: Runner) -> None:
        index = len(self.scopes)
        scope = trio.CancelScope()
        self.scopes.append(scope)
        if self.winner is not None:
            # The first text came after this run was asked for and before
            # it began: nobody else would cancel it, and it would hold the
            # request until its deadline.
            scope.cancel()

        async def write(text: str) -> None:
            self._win(index)
            if self.winner != index:
                # Pieces of one read come without a checkpoint in between;
                # the cancelled run's must not get into the kept answer.
                await trio.sleep_forever()
            await self.on_text(text)

        with scope:
            try:
                self.ends[index] = await runner(write)
                self._win(index)
            except errors.EndpointError as fault:
                self.faults[index] = fault
                self.moved.set()

    def _win(self, index: int) -> None:
        """Keep this run, if none is kept yet, and cancel the others."""
        if self.winner is None:
            self.winner = index
            self.moved.set()
            for other, scope in enumerate(self.scopes):
                if other != index:
                    scope.cancel()

    def _find_fault(self) -> errors.EndpointError:
        """The kept run's fault, or the one that says the least is certain."""
        if self.winner is not None:
            return self.faults[self.winner]
        return max(self.faults.values(), key=lambda fault: fault.sent)
