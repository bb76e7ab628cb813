"""Runs the daemon without concurrency limits, for the path benchmark.

The limits start low and adapt, so that a sudden load is refused at first.
The benchmark measures the cost per request and not when requests are
refused.
"""

from carawayward import daemon
from carawayward.decisions import limits


def has_room(limit: limits.Limit, in_flight: int) -> bool:
    """Admit every request."""
    return True


limits.has_room = has_room

if __name__ == "__main__":
    daemon.main()
