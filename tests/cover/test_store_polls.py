"""Durations of polls and maximum ages of proofs, against every bound."""

from nose2.tools import params

from carawayward.decisions import delegates
from carawayward.decisions import lapses
from carawayward.decisions import store_polls
from carawayward.forwarding import board as board_module
from carawayward.forwarding import feed
from carawayward.forwarding import freshness
from carawayward.forwarding import settings


def test_maximum_age_of_a_proof_fits_into_its_bound():
    """The delegate dies just after its last answer, before a change.

    An endpoint that then leaves has to be known within the drain time, and
    keys have to be proved again before their lease expires, by a store that
    takes as long as a slow one does.
    """
    slow_ms = 700.0
    noticed_ms = freshness.DELEGATE_TIMEOUT_MS + feed.DELEGATE_CHECK_MS
    bounds = settings.Bounds()
    assert noticed_ms + slow_ms <= bounds.drain_ms
    for lease_ms in range(4_000, 20_000, 500):
        usable_ms = lease_ms - board_module.KEY_LEASE_MARGIN_MS
        poll_ms = store_polls.compute_table_poll_ms(usable_ms, bounds.apply_ms)
        own_ms = store_polls.OWN_READ_PART * usable_ms
        # A live delegate's reports are recent enough, so clients do not read
        # the store themselves.
        assert store_polls.compute_max_report_age(poll_ms) <= own_ms
        assert own_ms + slow_ms <= usable_ms
    for bound_ms in range(1_500, 10_000, 500):
        for part in (store_polls.APPLY_PART, store_polls.DRAIN_PART):
            # The delegate lost the store just after it had sent a poll.
            poll_ms = part * bound_ms
            known_ms = store_polls.compute_max_report_age(poll_ms) - poll_ms
            assert known_ms < bound_ms


def test_delegate_that_lost_the_store_after_a_change_is_noticed_in_time():
    """Its reports are still fresh, and an endpoint leaves just then."""
    for bound_ms in range(2_000, 10_000, 500):
        for part in (store_polls.APPLY_PART, store_polls.DRAIN_PART):
            known_ms = (
                store_polls.MIN_CALL_GAP_MS
                + part * bound_ms
                + store_polls.OVERDUE_MS
            )
            assert known_ms <= 0.9 * bound_ms
    for heartbeat_ms in (1_000.0, 1_200.0, 2_000.0, 5_000.0):
        for drain_ms in range(1_000, 6_000, 500):
            poll_ms = store_polls.compute_registry_poll_ms(
                drain_ms, lapses.SAFE_HEARTBEATS * heartbeat_ms
            )
            gap_ms = poll_ms + store_polls.OVERDUE_MS
            assert lapses.is_too_short(gap_ms, heartbeat_ms)


def test_delegate_that_dies_does_not_look_like_an_outage_of_the_store():
    """Otherwise an endpoint that left meanwhile is kept and sent work."""
    for drain_ms in range(1_000, 6_000, 500):
        for heartbeat_ms in (1_000.0, 1_200.0, 2_000.0, 5_000.0):
            poll_ms = store_polls.compute_registry_poll_ms(
                drain_ms, lapses.SAFE_HEARTBEATS * heartbeat_ms
            )
            proof_ms = store_polls.compute_max_report_age(poll_ms)
            read_after_ms = proof_ms - poll_ms + 100.0
            assert lapses.is_too_short(read_after_ms, heartbeat_ms)
            assert poll_ms <= store_polls.DRAIN_PART * drain_ms
    assert store_polls.compute_registry_poll_ms(2_000, 2_100) == 1_100.0


def test_reports_of_a_delegate_are_fresh_enough_for_short_leases():
    """Otherwise an entry VM without the store rejects callers now and then."""
    for lease_ms in range(1_000, 8_000, 100):
        poll_ms = store_polls.compute_table_poll_ms(lease_ms, 4_000.0)
        oldest_ms = store_polls.compute_max_report_age(poll_ms)
        assert oldest_ms <= store_polls.OWN_READ_PART * lease_ms + 1e-6


def test_polls_are_never_so_short_that_they_flood_the_store():
    """A deployment's bounds may be near 0."""
    for bound_ms in (0.0, 0.5, 10.0):
        for gap_ms in (0.0, 4_000.0):
            registry_ms = store_polls.compute_registry_poll_ms(
                bound_ms, gap_ms
            )
            assert registry_ms >= store_polls.MIN_POLL_MS
        table_ms = store_polls.compute_table_poll_ms(bound_ms, bound_ms)
        assert table_ms >= store_polls.MIN_POLL_MS


def test_endpoints_that_renew_are_read_in_few_calls():
    """74 endpoints renewed one after the other: five calls a second.

    What the bounds rest on stays: when the next call ends, that it does not
    look like an outage, and that clients keep their delegate in the gap.
    """
    for heartbeat_ms in (1_000.0, 1_200.0, 2_000.0, 5_000.0):
        safe_ms = lapses.SAFE_HEARTBEATS * heartbeat_ms
        for drain_ms in range(100, 6_000, 100):
            poll_ms = store_polls.compute_registry_poll_ms(drain_ms, safe_ms)
            gap_ms = store_polls.compute_registry_gap_ms(poll_ms, heartbeat_ms)
            wait_ms = store_polls.compute_wait_after_gap_ms(poll_ms, gap_ms)
            end_ms = store_polls.MIN_CALL_GAP_MS + poll_ms
            assert gap_ms >= store_polls.MIN_CALL_GAP_MS
            assert gap_ms + wait_ms <= end_ms + 1e-6
            assert lapses.is_too_short(gap_ms + wait_ms, heartbeat_ms)
            if gap_ms > store_polls.MIN_CALL_GAP_MS:
                assert wait_ms >= store_polls.MIN_REGISTRY_POLL_MS - 1e-6
                assert gap_ms < heartbeat_ms
                oldest_ms = store_polls.compute_max_report_age(poll_ms)
                assert end_ms + store_polls.OVERDUE_MS <= oldest_ms
    for drain_ms, wanted_ms in ((2_000, 600.0), (3_000, 600.0)):
        poll_ms = store_polls.compute_registry_poll_ms(drain_ms, 2_100.0)
        gap_ms = store_polls.compute_registry_gap_ms(poll_ms, 1_200.0)
        assert abs(gap_ms - wanted_ms) < 1e-6


@params((25, 3), (137, 3), (8, 3))
def test_calls_in_an_outage_do_not_grow_with_all_entry_vms(size, domains):
    """76 and 410 entry VMs made 250 and 1,370 calls a second.

    In each failure domain some call as often as before, also while none of
    them reaches the store, and an entry VM that knows no other does.
    """
    names = [f"vm-{number}" for number in range(size)]
    retries = [store_polls.compute_retry_ms(name, names) for name in names]
    calls = domains * sum(1000.0 / each for each in retries)
    readers = retries.count(store_polls.RETRY_MS)
    assert readers == -(-size // delegates.MAX_CLIENTS_PER_DELEGATE)
    assert calls <= 0.5 * domains * size * 1000.0 / store_polls.RETRY_MS
    assert store_polls.compute_retry_ms("vm-0", []) == store_polls.RETRY_MS
