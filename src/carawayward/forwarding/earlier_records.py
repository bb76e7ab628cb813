"""Reads back from the end of a topic.

A listing has only the newest record of each key. If that cannot be used, the
one before it is in force wherever it was read in time, but is not listed.
"""

import typing

from carawayward.forwarding import keyed_log
from carawayward.forwarding import positions

# Records that the first call reads back; each further one reads back this many
# times as many.
FIRST_RECORDS = 64
GROWTH = 8


async def read_back(
    topic: keyed_log.KeyedLog,
    end: int,
    apply: typing.Callable[[keyed_log.Record], bool],
    count_call: typing.Callable[[], None],
) -> None:
    """Apply the records before ``end``, newest first, until one is usable.

    ``apply`` returns whether it is. Raises PlatformUnavailable, and
    HistoryLost if records expire meanwhile or the era changes.
    """
    stop, length = end, FIRST_RECORDS
    while positions.get_offset(stop) > 0:
        start = stop - min(length, positions.get_offset(stop))
        try:
            records = await _read_range(topic, start, stop, count_call)
        except keyed_log.HistoryLost as lost:
            if lost.first is None or lost.first >= stop:
                return
            start = lost.first
            records = await _read_range(topic, start, stop, count_call)
        if any(map(apply, reversed(records))):
            return
        stop, length = start, length * GROWTH


async def _read_range(
    topic: keyed_log.KeyedLog,
    start: int,
    stop: int,
    count_call: typing.Callable[[], None],
) -> list[keyed_log.Record]:
    """Read the records from ``start`` up to ``stop``."""
    found: list[keyed_log.Record] = []
    while start < stop:
        count_call()
        batch = await topic.read(start, 0.0)
        if not batch.records:
            break
        found += [each for each in batch.records if each.offset < stop]
        start = batch.end
    return found
