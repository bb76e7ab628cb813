"""Tests of how long a node trusts its configuration without a read."""

from carawayward import declaration
from carawayward.protocol import freshness

State = declaration.VersionState
CutOff = declaration.CutOff


def make_version(
    state: State, when_cut_off: CutOff = CutOff.DEFAULT
) -> declaration.Version:
    """Make a version in the given state."""
    return declaration.Version(
        name="v", cost=1.0, state=state, when_cut_off=when_cut_off
    )


def test_attestations_between_cut_off_nodes_do_not_renew_freshness():
    """A domain is partitioned from the log; its nodes query each other.

    No node has read the log since. No sequence of attestations may make a
    node's configuration current as of a time after the last read, or the
    domain would continue a roll-out that was halted long ago.
    """
    current_as_of = [100.0, freshness.NEVER, freshness.NEVER]
    for now in range(101, 200):
        querier, queried = now % 3, (now + 1) % 3
        attestation = freshness.Attestation(
            revision=1, age_ms=now + 5 - current_as_of[queried]
        )
        current_as_of[querier] = freshness.apply_attestation(
            current_as_of[querier], now, 1, attestation
        )
    assert max(current_as_of) == 100.0
    assert not freshness.is_fresh(max(current_as_of), 150.0, 50.0)
    assert freshness.is_fresh(max(current_as_of), 149.9, 50.0)


def test_attestation_of_an_unknown_revision_proves_nothing():
    attestation = freshness.Attestation(revision=7, age_ms=0.0)
    assert freshness.apply_attestation(1.0, 50.0, 6, attestation) == 1.0
    assert freshness.apply_attestation(1.0, 50.0, 7, attestation) == 50.0


def test_attestation_with_a_negative_age_is_ignored():
    attestation = freshness.Attestation(revision=1, age_ms=-1_000.0)
    assert freshness.apply_attestation(1.0, 50.0, 1, attestation) == 1.0


def test_read_counts_from_when_it_was_sent():
    assert freshness.apply_read(10.0, 40.0) == 40.0
    assert freshness.apply_read(50.0, 40.0) == 50.0


def test_cut_off_node_freezes_roll_outs_and_keeps_serving():
    canary, active = make_version(State.CANARY), make_version(State.ACTIVE)
    assert freshness.may_start(canary, True)
    assert not freshness.may_start(canary, False)
    assert freshness.may_continue(canary, False)
    assert freshness.may_start(active, False)


def test_version_declares_how_a_cut_off_node_serves_it():
    canary = make_version(State.CANARY, CutOff.SERVE)
    stopped = make_version(State.ACTIVE, CutOff.STOP)
    settled_only = make_version(State.ACTIVE, CutOff.SETTLED_ONLY)
    assert freshness.may_start(canary, False)
    assert not freshness.may_start(stopped, False)
    assert not freshness.may_continue(stopped, False)
    assert freshness.may_continue(stopped, True)
    assert not freshness.may_start(settled_only, False)
    assert freshness.may_continue(settled_only, False)


def test_withdrawn_version_gets_no_work_and_draining_no_new_work():
    withdrawn = make_version(State.WITHDRAWN, CutOff.SERVE)
    draining = make_version(State.DRAINING, CutOff.SERVE)
    for fresh in (True, False):
        assert not freshness.may_start(withdrawn, fresh)
        assert not freshness.may_continue(withdrawn, fresh)
        assert not freshness.may_start(draining, fresh)
        assert freshness.may_continue(draining, fresh)


def test_attestations_keep_a_node_fresh_for_any_lease():
    """One node cannot read the log and depends on its peers' attestations.

    With a lease of 4 s and a query every 2 s, its lease expired now and
    then: an attestation was up to 2.7 s old when it was requested, and 4.7 s
    old before the next. The intervals have to allow for one lost query.
    """
    for lease_ms in (500, 1_000, 4_000, 4_500, 12_000, 60_000, 600_000):
        wait_ms = freshness.compute_poll_wait_ms(lease_ms)
        interval_ms = freshness.compute_query_interval_ms(lease_ms)
        oldest_when_asked_ms = 2 * wait_ms
        assert oldest_when_asked_ms + 2 * interval_ms < lease_ms
