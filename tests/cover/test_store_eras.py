"""Answers and positions of a store that is restored from backups."""

import typing

from hypothesis import given
from hypothesis import strategies
import trio

from carawayward import clock as clock_module
from carawayward import errors
from carawayward.forwarding import board as board_module
from carawayward.forwarding import keyed_log
from carawayward.forwarding import message_types
from carawayward.forwarding import positions
from carawayward.forwarding import registry
from carawayward.forwarding import store_outages
from carawayward.platform import store


def test_answer_is_rejected_unless_its_era_is_readable():
    """Guards against a lost history taken for the current one."""
    assert store.parse_era([(b"Content-Length", b"3")]) == 0
    assert store.parse_era([(b"Store-Era", b"7")]) == 7
    for value in (b"", b"-1", b"x", b"1.5", b"9" * 40, b"1,2"):
        try:
            store.parse_era([(b"store-era", value)])
        except errors.PlatformUnavailable:
            continue
        raise AssertionError(value)


def test_answer_of_a_former_era_is_rejected():
    """Guards against records of a lost history in a late answer."""
    platform_store = store.Store("127.0.0.1:1")
    for era in (0, 3, 3, 5):
        platform_store._record_era(era)
    for era in (4, 0):
        try:
            platform_store._record_era(era)
        except errors.PlatformUnavailable:
            continue
        raise AssertionError(era)
    assert platform_store.era == 5


def test_append_conditional_on_a_former_era_is_not_sent():
    """Guards against overwriting a decision that has not been read."""

    async def main():
        platform_store = store.Store("127.0.0.1:1", era=2)
        topic = store.KeyedTopic(platform_store, "keyed.status")
        former_position = positions.make_position(1, 5)
        try:
            await topic.append([keyed_log.Record("a", b"x")], former_position)
        except keyed_log.Conflict as fault:
            assert fault.end == positions.make_position(2, 0)
        else:
            raise AssertionError("the append was not rejected")

    trio.run(main)


def decode_endpoint(record):
    return message_types.EndpointEntry(
        name=record.key,
        service="desk",
        address=f"{record.key}:80",
        failure_domain="north",
    )


def test_held_endpoint_missing_from_the_next_backup_stays_out():
    """Guards against requests to an endpoint that ended long ago.

    It is in the first of two restored backups, and missing from the second.
    """
    clock: typing.Any = clock_module.ManualClock()
    board = board_module.ForwardingBoard(name="vm", failure_domain="north")
    reader = registry.RegistryReader(
        board=board,
        outages=store_outages.OutageTracker(clock),
        decode=decode_endpoint,
        heartbeat_ms=1_200.0,
        get_poll_wait_ms=lambda: 1_000.0,
    )
    kept, left = (keyed_log.Record(name, b"x") for name in ("a", "b"))
    reader.replace([kept, left])
    reader.mark_current(0.0)
    reader.apply(keyed_log.Record("b", None))
    for copy in ([kept, left], [kept]):
        reader.begin_era()
        reader.replace(copy)
        assert set(board.endpoints) == {"a"}
    for _ in range(10):
        clock.now += 1_000.0
        reader.mark_current(clock.now)
        assert set(board.endpoints) == {"a"}


@given(
    eras=strategies.tuples(*[strategies.integers(0, 2**20)] * 2),
    offsets=strategies.tuples(*[strategies.integers(0, 2**40 - 1)] * 2),
)
def test_positions_are_ordered_by_era_first(eras, offsets):
    """Guards against a position of a lost history compared as a later one."""
    one, other = (
        positions.make_position(era, offset)
        for era, offset in zip(eras, offsets, strict=True)
    )
    assert (one < other) == ((eras[0], offsets[0]) < (eras[1], offsets[1]))
    assert positions.get_era(one) == eras[0]
    assert positions.get_offset(one) == offsets[0]
