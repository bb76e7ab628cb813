"""Tests of endpoints' request limits as one entry VM sees them, no I/O."""

import typing
from unittest import mock

from nose2.tools import params

from carawayward import clock as clock_module
from carawayward.decisions import rate_limits as decisions
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import message_types
from carawayward.forwarding import rate_limits

MEMBERS = [f"vm-{number}" for number in range(9)]
PER_S = 1.0


def make_entry(name="e-1", born=1):
    return message_types.EndpointEntry(
        name=name,
        service="desk",
        address="10.0.0.1:80",
        failure_domain="north",
        born=born,
    )


def make_limiter(own, members=MEMBERS, *entries):
    clock: typing.Any = clock_module.ManualClock(10_000.0)
    board = board_module.ForwardingBoard(name=own, failure_domain="north")
    for entry in entries or (make_entry(),):
        board.endpoints[entry.name] = entry
    names = {
        load_report_messages.hash_name(name): name for name in board.endpoints
    }
    limiter = rate_limits.RequestLimiter(
        board, clock, lambda: members, lambda: names, draw=lambda: 0.5
    )
    return limiter, clock


def name_limit(limiter, limit, entry=None, **changes):
    limiter.record_response(
        entry or make_entry(),
        message_types.ResponseMetadata(
            **{"signed": True, "request_limit": limit, **changes}
        ),
    )


def find_member(holder):
    return next(
        name
        for name in MEMBERS
        if decisions.compute_share(name, MEMBERS, "e-1", PER_S).holder
        is holder
    )


def exhaust(limiter):
    sent = 0
    while not limiter.list_exhausted() and sent < 100:
        limiter.acquire(make_entry())
        sent += 1
    return sent


def test_holder_sends_one_request_and_then_waits_for_its_share():
    limiter, clock = make_limiter(find_member(holder=True))
    assert exhaust(limiter) == 100
    name_limit(limiter, PER_S)
    assert exhaust(limiter) == 1
    assert limiter.board.limited == {make_entry().process}
    wait_ms = limiter.list_waits()["e-1"]
    assert 0.0 < wait_ms < 10_000.0
    clock.advance(wait_ms)
    assert exhaust(limiter) >= 1


def test_entry_vm_that_is_no_holder_skips_a_limited_endpoint():
    limiter, clock = make_limiter(find_member(holder=False))
    name_limit(limiter, PER_S)
    assert exhaust(limiter) == 0
    clock.advance(20_000.0)
    assert exhaust(limiter) == 0
    clock.advance(80_000.0)
    assert exhaust(limiter) == 1


def test_entry_vm_that_knows_no_others_does_not_take_the_whole_limit():
    """It has just started and cannot tell how many others send requests."""
    limiter, _ = make_limiter(MEMBERS[0], None)
    name_limit(limiter, PER_S)
    assert limiter.list_exhausted() == {"e-1"}


@params(
    {"signed": False},
    {"limit_malformed": True},
    {"entry": make_entry("e-2")},
    {"entry": make_entry(born=0)},
)
def test_limit_is_lifted_only_by_a_proper_response_of_the_same_process(
    changes,
):
    limiter, _ = make_limiter(find_member(holder=False))
    name_limit(limiter, PER_S)
    name_limit(limiter, None, **changes)
    assert limiter.list_exhausted() == {"e-1"}
    name_limit(limiter, None)
    assert not limiter.list_exhausted()
    assert not limiter.board.limited


def test_flapping_limit_allows_no_burst_at_each_return():
    """Each return of the limit would otherwise start a new bucket."""
    limiter, _ = make_limiter(find_member(holder=True))
    sent = 0
    for _ in range(10):
        name_limit(limiter, PER_S)
        sent += exhaust(limiter)
        name_limit(limiter, None)
    assert sent <= 2


def test_limit_outlives_an_entry_that_expires_in_an_outage_of_the_store():
    limiter, clock = make_limiter(find_member(holder=False))
    name_limit(limiter, PER_S)
    entry = limiter.board.endpoints.pop("e-1")
    clock.advance(5_000.0)
    limiter.list_exhausted()
    limiter.board.endpoints["e-1"] = entry
    assert limiter.list_exhausted() == {"e-1"}


def test_restarted_endpoint_has_no_limit():
    limiter, clock = make_limiter(find_member(holder=False))
    name_limit(limiter, PER_S)
    limiter.board.endpoints["e-1"] = make_entry(born=2)
    clock.advance(1_000.0)
    assert not limiter.list_exhausted()


def test_peers_learn_of_a_limit_and_of_its_end():
    """An entry VM that sends nothing never learns that a limit is over."""
    teller, _ = make_limiter(find_member(holder=True))
    learner, clock = make_limiter(find_member(holder=False))
    name_limit(teller, PER_S)
    learner.merge("vm", teller.describe(), 1_500.0)
    assert learner.list_exhausted() == {"e-1"}
    assert not learner.describe()
    for each in (teller, learner):
        each.clock.advance(100.0)
    old_report = teller.describe()
    name_limit(teller, None)
    learner.merge("vm", teller.describe(), 1_500.0)
    assert not learner.list_exhausted()
    learner.merge("vm", old_report, 1_500.0)
    assert not learner.list_exhausted()
    teller.clock.advance(rate_limits.REPORTED_MS)
    assert not teller.describe()


def test_new_entry_vms_change_the_shares_of_a_limit():
    members = [MEMBERS[0]]
    limiter, clock = make_limiter(MEMBERS[0], members)
    name_limit(limiter, PER_S)
    alone = limiter.endpoints[make_entry().process].share
    members += MEMBERS[1:]
    clock.advance(1_000.0)
    limiter.list_exhausted()
    shared = limiter.endpoints[make_entry().process].share
    assert shared.interval_ms > 2 * alone.interval_ms


def test_raised_limit_ends_the_wait_for_a_lower_one():
    limiter, clock = make_limiter(find_member(holder=True))
    name_limit(limiter, 0.1)
    assert exhaust(limiter) == 1
    name_limit(limiter, 10.0)
    clock.advance(2_000.0)
    assert exhaust(limiter) >= 1


def test_change_of_entry_vms_delays_no_request_by_all_limited_endpoints():
    """Each share ranks all entry VMs, which takes time when there are many."""
    members = list(MEMBERS)
    entries = [make_entry(f"e-{number}") for number in range(100)]
    limiter, clock = make_limiter(MEMBERS[0], members, *entries)
    for entry in entries:
        name_limit(limiter, PER_S, entry)
    members.append("vm-new")
    clock.advance(1_000.0)
    with mock.patch.object(
        decisions, "compute_share", wraps=decisions.compute_share
    ) as compute_share:
        limiter.list_exhausted()
        assert compute_share.call_count <= rate_limits.MAX_SHARES_AT_ONCE
        for _ in entries:
            limiter.list_exhausted()
        assert compute_share.call_count == len(entries)


def test_limit_named_right_after_a_change_of_entry_vms_updates_all_shares():
    """The change, once noticed for the new limit, was not noticed again."""
    members = [MEMBERS[0]]
    entries = [make_entry("e-1"), make_entry("e-2")]
    limiter, clock = make_limiter(MEMBERS[0], members, *entries)
    name_limit(limiter, PER_S, entries[0])
    alone = limiter.endpoints[make_entry().process].share
    members += MEMBERS[1:]
    name_limit(limiter, PER_S, entries[1])
    clock.advance(2_000.0)
    limiter.list_exhausted()
    assert (
        limiter.endpoints[make_entry().process].share.interval_ms
        > alone.interval_ms
    )


def test_limit_that_varies_from_response_to_response_is_logged_rarely():
    """A line for each response would fill the log of a busy entry VM."""
    limiter, clock = make_limiter(MEMBERS[0])
    with mock.patch.object(events, "log_event") as log_event:
        for number in range(200):
            name_limit(limiter, PER_S + number % 7 / 10.0)
            clock.advance(50.0)
        name_limit(limiter, None)
    assert limiter.endpoints[make_entry().process].per_s is None
    assert 2 <= log_event.call_count <= 14
    assert log_event.call_args.kwargs["per_s"] is None
