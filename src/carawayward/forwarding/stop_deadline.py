"""When this entry VM has to have replied to each request in hand."""

import contextlib
import math
import typing

import attrs
import trio


@attrs.define(eq=False)
class LimitedRequest:
    """A request in hand; ``deadline_s`` is its own, on trio's clock.

    ``begun`` is set once a part of its reply may have been sent.
    """

    deadline_s: float
    begun: bool = False


@attrs.define(eq=False)
class StopDeadline:
    """The end of a planned stop, as a deadline of each request.

    ``due_ms`` is when the replies have to be sent, on the monotonic clock;
    infinite before a stop. Requests that are served within ``limit`` are
    cancelled then, in time to get a reply. Replies that have begun by then may
    go on until ``begun_due_ms``. ``ahead_s`` is how far trio's clock is ahead.
    """

    due_ms: float = math.inf
    begun_due_ms: float = math.inf
    ahead_s: float = 0.0
    requests: dict[trio.CancelScope, LimitedRequest] = attrs.field(
        factory=dict
    )

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
        self.begun_due_ms = max(due_ms, begun_due_ms)
        self.ahead_s = trio.current_time() - now_ms / 1000
        for scope, request in self.requests.items():
            self._set_deadline(scope, request)

    def record_begun(self, scope: trio.CancelScope) -> None:
        """Record that a part of a reply is sent; ``scope`` is by ``limit``."""
        request = self.requests.get(scope)
        if request is not None:
            request.begun = True
            self._set_deadline(scope, request)

    def _set_deadline(
        self, scope: trio.CancelScope, request: LimitedRequest
    ) -> None:
        ends_ms = self.begun_due_ms if request.begun else self.due_ms
        ends_s = ends_ms / 1000 + self.ahead_s
        scope.deadline = min(request.deadline_s, ends_s)

    def is_earlier(self, deadline_ms: float) -> bool:
        """Whether replies are due before a request's own deadline."""
        return self.due_ms < deadline_ms

    @contextlib.contextmanager
    def limit(
        self, now_ms: float, deadline_ms: float = math.inf
    ) -> typing.Iterator[trio.CancelScope]:
        """Cancel the block at its own deadline or when replies are due."""
        left_ms = min(deadline_ms, self.due_ms) - now_ms
        deadline_s = trio.current_time() + (deadline_ms - now_ms) / 1000
        with trio.move_on_after(max(0.0, left_ms) / 1000) as scope:
            self.requests[scope] = LimitedRequest(deadline_s)
            try:
                yield scope
            finally:
                del self.requests[scope]
