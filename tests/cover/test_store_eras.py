"""Answers and positions of a store that comes back from copies."""

from hypothesis import given
from hypothesis import strategies
import trio

from carawayward import errors
from carawayward.forwarding import keyed_log
from carawayward.forwarding import positions
from carawayward.platform import store


def test_era_is_read_from_each_answer_or_it_counts_for_nothing():
    """An entry VM takes a lost history for the newest."""
    assert store.read_era([(b"Content-Length", b"3")]) == 0
    assert store.read_era([(b"Store-Era", b"7")]) == 7
    for value in (b"", b"-1", b"x", b"1.5", b"9" * 40, b"1,2"):
        try:
            store.read_era([(b"store-era", value)])
        except errors.PlatformUnavailable:
            continue
        raise AssertionError(value)


def test_answer_of_a_former_era_is_no_answer():
    """A part of the store lags; what it says has been lost."""
    made = store.Store("127.0.0.1:1")
    for era in (0, 3, 3, 5):
        made._record_era(era)
    for era in (4, 0):
        try:
            made._record_era(era)
        except errors.PlatformUnavailable:
            continue
        raise AssertionError(era)
    assert made.era == 5


def test_condition_of_a_former_era_is_not_sent():
    """A decision is written over one that this entry VM has not read."""

    async def main():
        made = store.Store("127.0.0.1:1", era=2)
        topic = store.KeyedTopic(made, "keyed.status")
        former = positions.make_position(1, 5)
        try:
            await topic.append([keyed_log.Record("a", b"x")], former)
        except keyed_log.Conflict as fault:
            assert fault.end == positions.make_position(2, 0)
        else:
            raise AssertionError("sent")

    trio.run(main)


@given(
    eras=strategies.tuples(*[strategies.integers(0, 2**20)] * 2),
    offsets=strategies.tuples(*[strategies.integers(0, 2**40 - 1)] * 2),
)
def test_positions_are_ordered_by_era_first(eras, offsets):
    """A position of a lost history is taken for a later one."""
    one, other = (
        positions.make_position(era, offset)
        for era, offset in zip(eras, offsets, strict=True)
    )
    assert (one < other) == ((eras[0], offsets[0]) < (eras[1], offsets[1]))
    assert positions.get_era(one) == eras[0]
    assert positions.get_offset(one) == offsets[0]
