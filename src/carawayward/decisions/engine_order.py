"""The order in which an engine admits the requests that wait for a place.

When callers compete for too few places, urgent requests would wait in full
engines behind less urgent ones. So each request carries an urgency. Within a
rank, those come first that an engine has already worked on for nothing, and
those that have waited for long: an interrupted stream, or one whose first
answer was dropped, has cost a prompt, and its caller has waited.
"""

import bisect
import typing

# Ranks beyond this many levels share the last one.
MAX_LEVELS = 4
# Urgencies that a level has, so that requests within it can be ordered.
LEVEL_SPAN = 2


def find_level(ranks: typing.Sequence[int], rank: int) -> int | None:
    """The level of a rank among ``ranks``, which ascend; 0 the most urgent.

    None if there is only one rank: then there is nothing to order.
    """
    if len(ranks) < 2:
        return None
    return min(bisect.bisect_left(ranks, rank), MAX_LEVELS - 1)


def choose_urgency(level: int, run_before: bool, waited_part: float) -> int:
    """The urgency that an engine is told, 0 the most urgent.

    ``waited_part`` is the time that the caller has waited, as a part of its
    latency target. Aging makes a request equal to new ones of the next level
    at most: those above it have targets that they can still meet.
    """
    urgency = LEVEL_SPAN * level + LEVEL_SPAN - 1
    if run_before or waited_part >= 1.0:
        urgency -= 1
    if waited_part >= 2.0:
        urgency -= 1
    return max(0, urgency)
