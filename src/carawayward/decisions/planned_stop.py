"""What an entry VM that is about to stop still begins, and until when.

While an entry VM stops, its load balancer still sends it connections, callers
use those that are open, and the requests in hand ask for further attempts. One
that cannot end before the process does would be cut off, after it has taken an
endpoint's time. Another entry VM can serve it, so it is refused at once.

A process that is short of processor time replies, closes and ends slowly. It
begins to do so earlier, and accepts no connections that it would be late to
refuse.
"""

import attrs

# All replies are begun this long before the process would be killed, and cut
# off ``CUTOFF_MS`` before, so that it closes its connections and ends itself.
REPLIES_DUE_MS = 700.0
CUTOFF_MS = 600.0
# Connections are closed at the latest this long before it would be killed.
CLOSED_MS = 300.0
# Processor time of the reply to a request in hand, of closing the listeners,
# and of ending the process.
REPLY_PROCESSOR_MS = 2.0
CLOSING_PROCESSOR_MS = 100.0
ENDING_PROCESSOR_MS = 60.0
# At most this part of the grace is kept for replies and the end.
MAX_CLOSING_PART = 0.5
# A reply that has begun cannot become a refusal any more. However slow the
# process is, it may go on for this part of the grace.
BEGUN_PART = 5 / 6
# From here on a process cannot refuse connections as fast as they come.
STARVED_SLOWDOWN = 4.0
# Answers may take this many times the mean time.
DURATION_MARGIN = 1.5


@attrs.frozen
class Reserve:
    """What a process that is not slow keeps at the end of its grace, in ms.

    The replies are due, and the connections closed, as long before the end.
    """

    replies_due_ms: float = REPLIES_DUE_MS
    closed_ms: float = CLOSED_MS


@attrs.frozen
class StopTimes:
    """The times of a planned stop, in ms from its beginning.

    Replies that have begun end by ``begun_due_ms``, others by
    ``replies_due_ms``.
    """

    replies_due_ms: float
    begun_due_ms: float
    cutoff_ms: float
    closed_ms: float

    @classmethod
    def from_grace(
        cls,
        grace_ms: float,
        slowdown: float = 1.0,
        open_requests: int = 0,
        reserve: Reserve = Reserve(),
    ) -> "StopTimes":
        """Compute the times of a process that is killed after ``grace_ms``.

        Its work takes ``slowdown`` times its processor time, and
        ``open_requests`` are to be replied to.
        """
        most_ms = MAX_CLOSING_PART * grace_ms
        replying_ms = open_requests * REPLY_PROCESSOR_MS
        needed_ms = slowdown * (replying_ms + CLOSING_PROCESSOR_MS)
        due_ms = max(reserve.replies_due_ms, min(needed_ms, most_ms))
        ending_ms = slowdown * ENDING_PROCESSOR_MS
        closed_ms = max(reserve.closed_ms, min(ending_ms, most_ms / 2))
        margin_ms = REPLIES_DUE_MS - CUTOFF_MS
        cutoff_ms = max(closed_ms, due_ms - margin_ms)
        begun_ms = max((1.0 - BEGUN_PART) * grace_ms, closed_ms + margin_ms)
        return cls(
            max(0.0, grace_ms - due_ms),
            max(0.0, grace_ms - min(due_ms, begun_ms)),
            max(0.0, grace_ms - cutoff_ms),
            max(0.0, grace_ms - closed_ms),
        )


def is_starved(slowdown: float) -> bool:
    """Whether a stopping process should accept no connections any more.

    Callers whose connections are refused by the kernel go elsewhere at once;
    those that are accepted late wait for a refusal.
    """
    return slowdown >= STARVED_SLOWDOWN


def may_begin(left_ms: float, wait_ms: float, answer_ms: float) -> bool:
    """Whether an attempt is begun ``left_ms`` before the replies are due.

    ``wait_ms`` is the predicted time to the first part of the answer,
    ``answer_ms`` the mean time that an answer takes from then on.
    """
    return wait_ms + DURATION_MARGIN * answer_ms <= left_ms
