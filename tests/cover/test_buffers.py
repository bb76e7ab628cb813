"""The account of buffered bytes, and the choice of what is closed."""

import functools

import hypothesis
from hypothesis import strategies

from carawayward import buffers
from carawayward.decisions import buffer_shedding
from carawayward.decisions import resource_limits

MAX_BYTES = 1_000_000
HOLDINGS = strategies.builds(
    buffer_shedding.Holding,
    held_bytes=strategies.integers(0, MAX_BYTES),
    moved_bytes=strategies.integers(0, 10 * MAX_BYTES),
    age_s=strategies.floats(0.0, 1_000.0),
)
STEPS = strategies.tuples(
    strategies.integers(0, 4),
    strategies.sampled_from(buffers.Part),
    strategies.integers(0, MAX_BYTES),
    strategies.floats(0.0, 5.0),
)


@hypothesis.given(
    strategies.lists(STEPS, max_size=40),
    strategies.sets(strategies.integers(0, 4)),
)
def test_account_never_holds_more_than_its_bound(steps, unsent):
    """Guards against a process that is killed for its memory."""
    now_s = 0.0
    account = buffers.BufferAccount(MAX_BYTES, read_clock=lambda: now_s)
    closed: list[buffers.BufferShare] = []
    dropped: list[int] = []
    shares = [buffers.BufferShare(account) for _ in range(5)]
    for index, share in enumerate(shares):
        share.close = functools.partial(closed.append, share)
        if index in unsent:
            share.drop_answer = functools.partial(dropped.append, index)
    most = MAX_BYTES * (1.0 + buffers.SMALL_ROOM_SHARE)
    for index, part, count, pause_s in steps:
        now_s += pause_s
        share = shares[index]
        before = share.held_bytes
        held = share.hold(part, count)
        assert share.held.get(part, 0) == count or not held
        assert held or share.held_bytes == before
        assert 0 <= account.held_bytes <= most
        assert share not in closed or share.closing
    assert len(set(map(id, closed))) == len(closed)
    assert len(closed) + len(dropped) == account.closed
    for share in shares:
        share.end()
    assert account.held_bytes == 0 and not account.holders


def test_no_answer_is_dropped_whose_request_holds_the_bytes():
    """Guards against answers that are dropped without making any room."""
    now_s = 0.0
    account = buffers.BufferAccount(MAX_BYTES, read_clock=lambda: now_s)
    dropped: list[int] = []
    shares = [buffers.BufferShare(account) for _ in range(13)]
    for index, share in enumerate(shares[1:]):
        share.drop_answer = functools.partial(dropped.append, index)
        assert share.hold(buffers.Part.BODY, buffers.SMALL_BYTES)
    now_s = 100.0
    assert shares[0].hold(buffers.Part.ANSWER, MAX_BYTES // 2)
    assert account.held_bytes <= MAX_BYTES
    assert not dropped


@hypothesis.given(
    strategies.lists(HOLDINGS, max_size=8),
    HOLDINGS,
    strategies.integers(1, 3 * MAX_BYTES),
)
def test_only_those_that_cost_more_are_closed(holdings, requester, wanted):
    """Guards against clients that behave and are closed for others."""
    chosen = buffer_shedding.choose_to_close(holdings, requester, wanted)
    if chosen is None:
        return
    limit = buffer_shedding.compute_cost(requester)
    costs = [buffer_shedding.compute_cost(holdings[n]) for n in chosen]
    assert all(cost > limit for cost in costs)
    assert costs == sorted(costs, reverse=True)
    freed = [holdings[n].held_bytes for n in chosen]
    assert sum(freed) >= wanted > sum(freed[:-1])


def test_slow_reader_is_closed_before_a_fast_one():
    """Guards against a long answer that is cut although it is being read."""
    slow = buffer_shedding.Holding(3_000_000, 20_000, 10.0)
    fast = buffer_shedding.Holding(3_000_000, 5_000_000, 10.0)
    fresh = buffer_shedding.Holding(3_000_000, 0, 0.0)
    chosen = buffer_shedding.choose_to_close([fast, slow], fresh, 3_000_000)
    assert chosen == [1]


def test_lone_connection_closes_nothing():
    """Guards against a client that is closed though none is short of room."""
    account = buffers.BufferAccount(MAX_BYTES, read_clock=lambda: 0.0)
    share = buffers.BufferShare(account)
    assert share.hold(buffers.Part.ANSWER, MAX_BYTES)
    assert not share.hold(buffers.Part.WRITE, MAX_BYTES)
    assert not share.closing and account.closed == 0


@hypothesis.given(strategies.integers(64, 1_000_000))
def test_descriptors_are_left_for_endpoints_and_peers(descriptors):
    """Guards against callers that take the descriptors of all other uses."""
    limits = resource_limits.divide_descriptors(descriptors)
    used = 2 * limits.callers + 2 * limits.peers
    assert used <= descriptors * (1.0 - resource_limits.RESERVED_SHARE) + 4
