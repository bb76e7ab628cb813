"""When this entry VM has to have replied to each request in hand."""

import contextlib
import math
import typing

import attrs
import trio


@attrs.define(eq=False)
class StopDeadline:
    """The end of a planned stop, as a deadline of each request.

    ``due_ms`` is when the replies have to be sent, on the monotonic clock;
    infinite before a stop. Requests that are served within ``limit`` are
    cancelled then, in time to get a reply.
    """

    due_ms: float = math.inf
    scopes: set[trio.CancelScope] = attrs.field(factory=set)

    def begin(self, now_ms: float, left_ms: float) -> None:
        """Have replies sent to all requests, also to those in hand."""
        self.bring_forward(now_ms, now_ms + left_ms)

    def bring_forward(self, now_ms: float, due_ms: float) -> None:
        """Have replies sent at ``due_ms``, unless they are due before."""
        if due_ms >= self.due_ms:
            return
        self.due_ms = due_ms
        due_s = trio.current_time() + (due_ms - now_ms) / 1000
        for scope in self.scopes:
            scope.deadline = min(scope.deadline, due_s)

    def is_earlier(self, deadline_ms: float) -> bool:
        """Whether replies are due before a request's own deadline."""
        return self.due_ms < deadline_ms

    @contextlib.contextmanager
    def limit(
        self, now_ms: float, deadline_ms: float = math.inf
    ) -> typing.Iterator[trio.CancelScope]:
        """Cancel the block at its own deadline or when replies are due."""
        left_ms = min(deadline_ms, self.due_ms) - now_ms
        with trio.move_on_after(max(0.0, left_ms) / 1000) as scope:
            self.scopes.add(scope)
            try:
                yield scope
            finally:
                self.scopes.discard(scope)
