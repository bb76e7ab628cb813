"""How long a configuration may be trusted without news."""

from carawayward import declaration
from carawayward.protocol import freshness

State = declaration.VersionState
CutOff = declaration.CutOff


def make_version(
    state: State, when_cut_off: CutOff = CutOff.DEFAULT
) -> declaration.Version:
    """A version in a state."""
    return declaration.Version(
        name="v", cost=1.0, state=state, when_cut_off=when_cut_off
    )


def test_nodes_that_vouch_for_each_other_grow_stale_together():
    """A domain is cut off; its nodes go on asking each other.

    Nobody has read the log since. Whatever the round of vouches, no proof
    may become younger than the last read, or the domain would go on with a
    roll-out that was halted long ago.
    """
    proofs = [100.0, freshness.NEVER, freshness.NEVER]
    for now in range(101, 200):
        asker, asked = now % 3, (now + 1) % 3
        vouch = freshness.Attestation(
            revision=1, age_ms=now + 5 - proofs[asked]
        )
        proofs[asker] = freshness.apply_attestation(
            proofs[asker], now, 1, vouch
        )
    assert max(proofs) == 100.0
    assert not freshness.is_fresh(max(proofs), 150.0, 50.0)
    assert freshness.is_fresh(max(proofs), 149.9, 50.0)


def test_vouch_for_an_unknown_revision_proves_nothing():
    vouch = freshness.Attestation(revision=7, age_ms=0.0)
    assert freshness.apply_attestation(1.0, 50.0, 6, vouch) == 1.0
    assert freshness.apply_attestation(1.0, 50.0, 7, vouch) == 50.0


def test_negative_age_is_not_believed():
    vouch = freshness.Attestation(revision=1, age_ms=-1_000.0)
    assert freshness.apply_attestation(1.0, 50.0, 1, vouch) == 1.0


def test_read_counts_from_when_it_was_sent():
    assert freshness.apply_read(10.0, 40.0) == 40.0
    assert freshness.apply_read(50.0, 40.0) == 50.0


def test_cut_off_node_freezes_roll_outs_and_goes_on_with_the_rest():
    canary, active = make_version(State.CANARY), make_version(State.ACTIVE)
    assert freshness.may_start(canary, True)
    assert not freshness.may_start(canary, False)
    assert freshness.may_continue(canary, False)
    assert freshness.may_start(active, False)


def test_version_says_what_a_cut_off_node_does_with_it():
    canary = make_version(State.CANARY, CutOff.SERVE)
    stopped = make_version(State.ACTIVE, CutOff.STOP)
    settled = make_version(State.ACTIVE, CutOff.SETTLED_ONLY)
    assert freshness.may_start(canary, False)
    assert not freshness.may_start(stopped, False)
    assert not freshness.may_continue(stopped, False)
    assert freshness.may_continue(stopped, True)
    assert not freshness.may_start(settled, False)
    assert freshness.may_continue(settled, False)


def test_withdrawn_takes_nothing_and_draining_nothing_new():
    withdrawn = make_version(State.WITHDRAWN, CutOff.SERVE)
    draining = make_version(State.DRAINING, CutOff.SERVE)
    for fresh in (True, False):
        assert not freshness.may_start(withdrawn, fresh)
        assert not freshness.may_continue(withdrawn, fresh)
        assert not freshness.may_start(draining, fresh)
        assert freshness.may_continue(draining, fresh)


def test_vouches_keep_a_node_fresh_whatever_the_lease():
    """The log answers all nodes but one, which lives by its peers' vouches.

    With a lease of 4 s and a question each 2 s it lapsed now and then: a
    vouch was up to 2.7 s old when it was asked for and 4.7 s before the
    next. The intervals have to leave room for one question that is lost.
    """
    for lease_ms in (500, 1_000, 4_000, 4_500, 12_000, 60_000, 600_000):
        wait_ms = freshness.compute_poll_wait_ms(lease_ms)
        interval_ms = freshness.compute_query_interval_ms(lease_ms)
        oldest_when_asked_ms = 2 * wait_ms
        assert oldest_when_asked_ms + 2 * interval_ms < lease_ms
