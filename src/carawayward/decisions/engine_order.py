"""The order in which an engine reads the prompts that wait for it.

When callers ask for more than engines can read, all would be late in the order
of arrival; in strict order of rank, the least urgent would starve although
most could be in time. So requests that can be in time are read in the order of
arrival. One that would be late gives way to them, further the less urgent its
rank is; only those of the most urgent rank are put before them instead.

Requests that an engine has already worked on for nothing come before new ones
of their class: an interrupted stream, or one whose first answer was dropped,
has cost an engine a prompt.
"""

import bisect
import math
import typing

from carawayward.decisions import engine_load
from carawayward.decisions import engine_room

# Ranks beyond this many levels share the last one.
MAX_LEVELS = 4
# Classes of urgency: the most urgent rank when it would be late, all that can
# be in time, and one for each other level.
FIRST_CLASS = 0
IN_TIME_CLASS = 1
MAX_CLASSES = MAX_LEVELS + 1
# Urgencies that a class has, so that requests within it can be ordered.
CLASS_SPAN = 2
# Memory of an engine for each of its places, in tokens: long prompts fit.
MIN_TOKENS_PER_PLACE = 32_768


def find_level(ranks: typing.Sequence[int], rank: int) -> int | None:
    """The level of a rank among ``ranks``, which ascend; 0 the most urgent.

    None if there is only one rank: then there is nothing to order.
    """
    if len(ranks) < 2:
        return None
    return min(bisect.bisect_left(ranks, rank), MAX_LEVELS - 1)


def holds_full_batch(slots: int, cache_tokens: int) -> bool:
    """Whether an engine's memory holds long prompts in all of its places.

    Where it does not, memory limits what runs at once, and urgent requests
    preempt others, whose streams pause and whose prompts are read again.
    """
    return cache_tokens >= MIN_TOKENS_PER_PLACE * slots


def choose_class(level: int, in_time: bool) -> int:
    """The class of urgency of a request.

    ``in_time`` says whether it is predicted to meet its latency target among
    the requests that can be in time.
    """
    if in_time:
        return IN_TIME_CLASS
    return level + 1 if level else FIRST_CLASS


def choose_urgency(urgency_class: int, run_before: bool) -> int:
    """The urgency that an engine is told, 0 the most urgent."""
    return CLASS_SPAN * urgency_class + (0 if run_before else CLASS_SPAN - 1)


def count_weight(
    choice: engine_load.Choice, room: engine_room.Room, urgency_class: int
) -> float:
    """The weighted tokens that an engine reads until a prompt of a class is.

    Those of ``choice`` are for a prompt that can be in time.
    """
    load = choice.load
    before = engine_load.count_before(load, urgency_class)
    streams = load.streams
    if engine_room.is_full(room, streams) and load.weight > 0.0:
        waiting = (streams - room.slots) * before / load.weight
        streams = room.slots + math.floor(waiting)
    ahead = engine_room.count_ahead(room, before, streams)
    return choice.weight - choice.ahead + ahead
