"""What an entry VM that is about to stop still begins, and until when.

While an entry VM stops, its load balancer still sends it connections, callers
use those that are open, and the requests in hand ask for further attempts. One
that cannot end before the process does would be cut off, after it has taken an
endpoint's time. Another entry VM can serve it, so it is refused at once.
"""

import attrs

# All replies are begun this long before the process would be killed, and cut
# off ``CUTOFF_MS`` before, so that it closes its connections and ends itself.
REPLIES_DUE_MS = 700.0
CUTOFF_MS = 600.0
# Answers may take this many times the mean time.
DURATION_MARGIN = 1.5


@attrs.frozen
class StopTimes:
    """The times of a planned stop, in ms from its beginning."""

    replies_due_ms: float
    cutoff_ms: float

    @classmethod
    def from_grace(cls, grace_ms: float) -> "StopTimes":
        """Compute the times of a process that is killed after ``grace_ms``."""
        return cls(
            max(0.0, grace_ms - REPLIES_DUE_MS),
            max(0.0, grace_ms - CUTOFF_MS),
        )


def may_begin(left_ms: float, wait_ms: float, answer_ms: float) -> bool:
    """Whether an attempt is begun ``left_ms`` before the replies are due.

    ``wait_ms`` is the predicted time to the first part of the answer,
    ``answer_ms`` the mean time that an answer takes from then on.
    """
    return wait_ms + DURATION_MARGIN * answer_ms <= left_ms
