"""Records that are read back where the newest ones cannot be used."""

import typing

import attrs
import hypothesis
from hypothesis import strategies
import trio

from carawayward.forwarding import earlier_records
from carawayward.forwarding import keyed_log
from carawayward.forwarding import positions

ERA = 3


@attrs.define
class ShortReads:
    """A topic that has lost its first records, and reads a few at a time."""

    first: int
    end: int
    most: int

    async def read(self, start, wait_ms):
        """Read up to ``most`` records."""
        offset = positions.get_offset(start)
        if offset < self.first:
            raise keyed_log.HistoryLost(
                positions.make_position(ERA, self.first)
            )
        last = min(self.end, offset + self.most)
        records = [
            keyed_log.Record("k", b"", positions.make_position(ERA, each))
            for each in range(offset, last)
        ]
        return keyed_log.Batch(records, positions.make_position(ERA, last))


@hypothesis.given(
    strategies.integers(0, 900),
    strategies.integers(0, 900),
    strategies.integers(1, 200),
    strategies.sets(strategies.integers(0, 900)),
)
def test_newest_usable_record_is_found_however_far_back(
    first, end, most, usable
):
    """Guards against a start that waits for a record that is there."""
    first = min(first, end)
    offsets, calls = [], []

    def apply(record):
        offsets.append(positions.get_offset(record.offset))
        return offsets[-1] in usable

    topic: typing.Any = ShortReads(first, end, most)
    trio.run(
        earlier_records.read_back,
        topic,
        positions.make_position(ERA, end),
        apply,
        lambda: calls.append(1),
    )
    newest = max(usable & set(range(first, end)), default=first)
    assert offsets == list(range(end - 1, newest - 1, -1))
