"""Deadlines of the requests in hand, which a planned stop brings forward.

A request that runs out of time is answered by the code that waits for it,
which knows how far it has come. A stop that cancelled the request instead
would leave its caller without any answer.
"""

import contextlib
import math
import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward import outcomes

FindTime = typing.Callable[[], float]


@attrs.define(eq=False)
class Deadline:
    """When a request must have an outcome, in ms on the monotonic clock.

    ``own_ms`` is the caller's or the configuration's, ``stop_ms`` that of a
    planned stop. ``updates`` adapt the waits that the deadline limits.
    """

    own_ms: float = math.inf
    stop_ms: float = math.inf
    updates: list[typing.Callable[[], None]] = attrs.field(factory=list)

    @property
    def ends_ms(self) -> float:
        """The earlier of both."""
        return min(self.own_ms, self.stop_ms)

    @property
    def reason(self) -> outcomes.Reason:
        """Why the request ends at this time."""
        if self.stop_ms < self.own_ms:
            return outcomes.Reason.LEAVING
        return outcomes.Reason.DEADLINE

    def bring_forward(self, stop_ms: float) -> None:
        """Let a planned stop end the request at ``stop_ms`` at the latest."""
        self.stop_ms = min(self.stop_ms, stop_ms)
        for update in list(self.updates):
            update()

    @contextlib.contextmanager
    def limit(
        self, clock: clock_module.Clock, find_end_ms: FindTime | None = None
    ) -> typing.Iterator[trio.CancelScope]:
        """Cancel a block at the deadline, or at an earlier time.

        That time is computed again when the deadline is brought forward.
        """
        scope = trio.CancelScope()

        def update() -> None:
            ends_ms = find_end_ms() if find_end_ms else self.ends_ms
            left_ms = max(0.0, ends_ms - clock.now_ms())
            scope.deadline = trio.current_time() + left_ms / 1000

        update()
        self.updates.append(update)
        try:
            with scope:
                yield scope
        finally:
            self.updates.remove(update)


@attrs.define(eq=False)
class Deadlines:
    """The deadlines of all requests in hand."""

    clock: clock_module.Clock
    stop_ms: float = math.inf
    in_hand: set[Deadline] = attrs.field(factory=set)

    @contextlib.contextmanager
    def begin(self, timeout_ms: float = math.inf) -> typing.Iterator[Deadline]:
        """Give a request a deadline for as long as it is in hand."""
        own_ms = self.clock.now_ms() + timeout_ms
        deadline = Deadline(own_ms, self.stop_ms)
        self.in_hand.add(deadline)
        try:
            yield deadline
        finally:
            self.in_hand.discard(deadline)

    @contextlib.contextmanager
    def limit(
        self, timeout_ms: float = math.inf
    ) -> typing.Iterator[trio.CancelScope]:
        """Cancel a block after a time, or when a stop ends all requests."""
        with self.begin(timeout_ms) as deadline:
            with deadline.limit(self.clock) as scope:
                yield scope

    def bring_forward(self, stop_ms: float) -> None:
        """End all requests, also future ones, at ``stop_ms`` at the latest."""
        if stop_ms >= self.stop_ms:
            return
        self.stop_ms = stop_ms
        for deadline in list(self.in_hand):
            deadline.bring_forward(self.stop_ms)
