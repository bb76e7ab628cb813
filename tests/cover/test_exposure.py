"""Budgets bound unproven answers; the halt test has few false alarms."""

import random

import hypothesis
from hypothesis import strategies

from carawayward.decisions import evidence
from carawayward.decisions import exposure

accounts = strategies.builds(
    exposure.ExposureAccount,
    strategies.integers(0, 20),
    strategies.integers(0, 20),
)


@hypothesis.settings(derandomize=True, max_examples=100)
@hypothesis.given(accounts, accounts, accounts)
def test_accounts_merge_in_any_order(one, two, three):
    """Copies of an account reach a peer late, twice and out of order."""
    merge = exposure.merge_accounts
    assert merge(one, two) == merge(two, one)
    assert merge(merge(one, two), three) == merge(one, merge(two, three))
    assert merge(one, one) == one


def test_good_ratings_return_at_most_what_was_spent():
    """A long good period must not save up budget for bad answers."""
    account = exposure.spend(exposure.ExposureAccount(), 3)
    for _ in range(10):
        account = exposure.earn(account)
    assert account.outstanding == 0
    assert exposure.compute_remaining_budget(8, {"a": account}, "a") == 8


def test_all_holders_together_never_exceed_the_budget():
    """Holders that spend concurrently on old copies do not overspend."""
    for budget in range(12):
        for holders in range(1, 12):
            assert spend_all(budget, holders) == budget


def spend_all(budget: int, holders: int) -> int:
    """Answers given by holders that never receive each other's accounts."""
    given = 0
    for position in range(holders):
        own = exposure.ExposureAccount()
        while (
            exposure.compute_remaining_budget(
                budget, {"me": own}, "me", holders, position
            )
            >= 1
        ):
            own = exposure.spend(own, 1)
            given += 1
    return given


def test_version_with_half_bad_answers_runs_out_of_budget():
    """Good ratings of a bad version must not keep it running for long."""
    own, given = exposure.ExposureAccount(), 0
    while exposure.compute_remaining_budget(12, {"a": own}, "a") >= 1:
        own = exposure.spend(own, 1)
        given += 1
        if given % 2:
            own = exposure.earn(own)
    assert given <= 40


def test_number_of_holders_depends_on_the_share_not_the_domain():
    """One in a hundred sessions needs no more holders on 80 entry VMs."""
    names = [f"oduya-{number}" for number in range(40)]
    assert len(exposure.choose_holders(names, "sorter-4", 0.01, 9)) == 1
    assert len(exposure.choose_holders(names, "sorter-4", 0.5, 90)) == 40
    assert len(exposure.choose_holders(names, "sorter-4", 0.5, 9)) == 9
    left = [n for n in names if n != "oduya-3"]
    chosen = exposure.choose_holders(names, "sorter-4", 0.1, 90)
    again = exposure.choose_holders(left, "sorter-4", 0.1, 90)
    assert set(again) >= set(chosen) - {"oduya-3"}


def test_canary_gets_its_share_of_all_sessions():
    """The few holders take more of theirs to reach the overall share."""
    taken = sum(
        exposure.is_assigned_to_canary(f"session-{n}", "sorter-4", 0.05, 8, 1)
        for n in range(8_000)
    )
    assert 0.36 < taken / 8_000 < 0.44


def count_until_halt(draw, bad_from: int, rate: float, limit: int) -> int:
    """Ratings of the canary until it is halted; 0 if it is not.

    There are five ratings an epoch; the baseline's rate of bad answers is 5%.
    """
    canary: dict[int, evidence.Count] = {}
    baseline: dict[int, evidence.Count] = {}
    for number in range(limit):
        epoch = 7 + number // 5
        bad = draw.random() < (rate if number >= bad_from else 0.05)
        one = evidence.Count(0, 1) if bad else evidence.Count(1, 0)
        canary[epoch] = canary.get(epoch, evidence.Count()) + one
        baseline.setdefault(epoch, evidence.Count(19, 1))
        group = exposure.Group("all", 7, canary, baseline)
        value, _ = exposure.compute_version_evidence([group], 0.02, 0.1)
        if exposure.is_halt_due(value):
            return number + 1
    return 0


def test_broken_version_is_halted_after_a_few_ratings():
    """Every answer is bad from the start."""
    assert 0 < count_until_halt(random.Random(1), 0, 1.0, 40) <= 6


def test_version_that_breaks_after_a_long_good_period_is_halted_soon():
    """300 good answers must not outweigh the bad ones that follow."""
    halted = count_until_halt(random.Random(2), 300, 1.0, 400)
    assert 300 < halted <= 320


def test_version_that_declines_to_a_quarter_bad_is_halted():
    """Five times as many bad answers as the baseline, no more."""
    assert 0 < count_until_halt(random.Random(3), 50, 0.25, 400) <= 300


def test_version_that_is_no_worse_is_rarely_halted():
    """100 seeded roll-outs; the chance of one false halt is under half."""
    halted = sum(
        count_until_halt(random.Random(seed), 999, 0.05, 150) > 0
        for seed in range(100)
    )
    assert halted == 0


def test_version_bad_for_one_customer_only_is_halted_and_named():
    """A tenth of the traffic is all bad: 10% in the sum shows little."""
    good = {7: evidence.Count(60, 3)}
    groups = [
        exposure.Group("all", 7, {7: evidence.Count(60, 9)}, good),
        *(
            exposure.Group(f"c{n}", 7, {7: evidence.Count(6, 0)}, good)
            for n in range(9)
        ),
        exposure.Group("delta-hosts", 7, {7: evidence.Count(0, 7)}, good),
    ]
    value, worst = exposure.compute_version_evidence(groups, 0.02, 0.1)
    assert exposure.is_halt_due(value)
    assert worst == "delta-hosts"


def test_ratings_that_become_harsher_for_every_version_halt_none():
    """The ratings service starts to rate a third of all answers bad."""
    canary = {e: evidence.Count(19, 1) for e in range(7, 27)}
    baseline = {e: evidence.Count(190, 10) for e in range(7, 27)}
    canary |= {e: evidence.Count(13, 7) for e in range(27, 37)}
    baseline |= {e: evidence.Count(130, 70) for e in range(27, 37)}
    group = exposure.Group("all", 7, canary, baseline)
    value, _ = exposure.compute_version_evidence([group], 0.02, 0.1)
    assert not exposure.is_halt_due(value)
