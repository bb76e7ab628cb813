"""When this entry VM has to have replied to each request in hand."""

import contextlib
import math
import typing

import attrs
import trio

HasBegun = typing.Callable[[], bool]


@attrs.define(eq=False)
class StopDeadline:
    """The end of a planned stop, as a deadline of each request.

    ``due_ms`` is when the replies have to be sent, on the monotonic clock;
    infinite before a stop. Requests that are served within ``limit`` are
    cancelled then, in time to get a reply.
    """

    due_ms: float = math.inf
    scopes: dict[trio.CancelScope, HasBegun] = attrs.field(factory=dict)

    @property
    def is_stopping(self) -> bool:
        """Whether the stop has begun."""
        return self.due_ms < math.inf

    def begin(self, now_ms: float, left_ms: float) -> None:
        """Have replies sent to all requests, also to those in hand."""
        self.bring_forward(now_ms, now_ms + left_ms)

    def bring_forward(
        self, now_ms: float, due_ms: float, begun_due_ms: float = -math.inf
    ) -> None:
        """Have replies sent at ``due_ms``, unless they are due before.

        Those that have begun may go on until ``begun_due_ms``.
        """
        if due_ms >= self.due_ms:
            return
        self.due_ms = due_ms
        for scope, has_begun in self.scopes.items():
            ends_ms = max(due_ms, begun_due_ms) if has_begun() else due_ms
            ends_s = trio.current_time() + (ends_ms - now_ms) / 1000
            scope.deadline = min(scope.deadline, ends_s)

    def is_earlier(self, deadline_ms: float) -> bool:
        """Whether replies are due before a request's own deadline."""
        return self.due_ms < deadline_ms

    @contextlib.contextmanager
    def limit(
        self,
        now_ms: float,
        deadline_ms: float = math.inf,
        has_begun: HasBegun = lambda: False,
    ) -> typing.Iterator[trio.CancelScope]:
        """Cancel the block at its own deadline or when replies are due.

        ``has_begun`` says whether its reply has.
        """
        left_ms = min(deadline_ms, self.due_ms) - now_ms
        with trio.move_on_after(max(0.0, left_ms) / 1000) as scope:
            self.scopes[scope] = has_begun
            try:
                yield scope
            finally:
                del self.scopes[scope]
