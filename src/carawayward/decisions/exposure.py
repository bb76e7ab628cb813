"""How many answers an unproven version may give, and when it is halted.

Handles a version that turns bad during live traffic, on many entry VMs that
each see little of it, with ratings that arrive minutes late. Two limits work
together, and neither depends on the number of entry VMs:

- The budget bounds the number of answers not yet rated good. It is declared
  for each failure domain, so that domains cut off from each other cannot
  overspend together.
- The test runs on the merged counters of all entry VMs. Its statistic depends
  on the counts alone, so one entry VM with ninety ratings and ninety with one
  each halt at the same rating.
"""

import hashlib
import math
import typing

import attrs

from carawayward.decisions import evidence as evidence_module

# Probability, over a whole roll-out, of halting a version that is no worse
# than its baseline. Below the target of 1% to leave room for the error of the
# baseline's own bound.
FALSE_HALT_PROBABILITY = 0.005
# Probability that the baseline's rate of bad answers exceeds its bound.
BASELINE_MISS_PROBABILITY = 0.05
# The baseline's rate over a short window rests on few ratings; this many at
# its rate over the whole roll-out are added to them.
PRIOR_RATINGS = 60.0
# Alternative hypotheses: how much worse the version is, as a share of the
# distance from the baseline's rate of bad answers to all bad. The small ones
# detect a slow decline, the large ones a completely broken version.
ALTERNATIVES = (0.06, 0.15, 0.35, 0.65, 0.95)
# Budget returned for a good rating. A good version has as many bad answers as
# its baseline; if only what was spent were returned, those would use up its
# budget. With this much, a version with a fifth of bad ratings keeps going,
# and one with half of them bad still runs out of budget.
EARNED_PER_GOOD_RATING = 1.25
# An early stage concentrates its share on few entry VMs of a failure domain,
# each of which gives at most this part of its own traffic to the unproven
# version.
HOLDER_SHARE = 0.5


@attrs.frozen(slots=True)
class ExposureAccount:
    """One entry VM's account for one version; both numbers only grow."""

    spent: float = 0
    earned: float = 0

    @property
    def outstanding(self) -> float:
        """Answers not yet covered by good ratings."""
        return self.spent - self.earned


def spend(account: ExposureAccount, answers: int) -> ExposureAccount:
    """Record answers given, or expected from a session that was opened."""
    return attrs.evolve(account, spent=account.spent + answers)


def earn(
    account: ExposureAccount, answers: float = EARNED_PER_GOOD_RATING
) -> ExposureAccount:
    """Return budget for a good rating, never more than was spent."""
    earned = min(account.spent, account.earned + answers)
    return attrs.evolve(account, earned=earned)


def merge_accounts(
    one: ExposureAccount, other: ExposureAccount
) -> ExposureAccount:
    """Merge two copies of one account; idempotent and commutative."""
    return ExposureAccount(
        max(one.spent, other.spent), max(one.earned, other.earned)
    )


def compute_remaining_budget(
    budget: int,
    accounts: typing.Mapping[str, ExposureAccount],
    own: str,
    holders: int = 1,
    position: int = 0,
) -> float:
    """Number of answers that the holder at ``position`` may still give.

    ``accounts`` are those of the failure domain by incarnation, ``own`` is
    this entry VM's. Several holders spend concurrently, and their accounts are
    seconds old, so each holder has a fixed part of the budget; what others
    have spent reduces it only once the whole budget is nearly used up. When
    each holder could spend a part of the remainder instead, three holders
    spent twice the budget.
    """
    part = budget // holders + (1 if position < budget % holders else 0)
    left = budget - sum(each.outstanding for each in accounts.values())
    mine = accounts.get(own, ExposureAccount()).outstanding
    return max(0.0, min(part - mine, left))


def rank(name: str, subject: str) -> int:
    """Rendezvous hash of an entry VM for a subject."""
    digest = hashlib.blake2b(f"{subject}\0{name}".encode(), digest_size=8)
    return int.from_bytes(digest.digest())


def choose_holders(
    names: typing.Iterable[str], version: str, share: float, budget: int
) -> list[str]:
    """Entry VMs of a failure domain that may start an unproven version.

    Their number depends on the share, not on the size of the domain: at 1% of
    the traffic one holder serves up to fifty entry VMs. If every entry VM ran
    its own canary, the number of answers at risk would grow with their number.
    """
    ranked = sorted(names, key=lambda name: rank(name, version))
    count = math.ceil(share * len(ranked) / HOLDER_SHARE)
    return ranked[: max(1, min(len(ranked), count, budget))]


def is_assigned_to_canary(
    subject: str, version: str, share: float, members: int, holders: int
) -> bool:
    """Whether a session, or a request without one, goes to the canary.

    Decided by hash, so that a retry of the same opening gets the same result.
    """
    part = min(1.0, share * members / max(1, holders))
    return rank(subject, version) < part * 2.0**64


@attrs.frozen
class Group:
    """A part of the traffic that is tested separately.

    A version may be bad for one customer's tasks only, which could go
    unnoticed in the sum over all customers. Counts are by epoch; ``begun`` is
    the epoch in which the roll-out began.
    """

    name: str
    begun: int
    canary: dict[int, evidence_module.Count]
    baseline: dict[int, evidence_module.Count]


def compute_likelihood_ratio(
    canary: evidence_module.Count, expected_bad: float
) -> float:
    """How much likelier the counts are under "worse" than under "no worse".

    The mean of the likelihood ratios of all alternatives. Its expectation does
    not exceed 1 while the true rate of bad answers is at most
    ``expected_bad``.
    """
    expected_bad = min(max(expected_bad, 1e-4), 0.999)
    value = 0.0
    for alternative in ALTERNATIVES:
        rate = expected_bad + (1 - expected_bad) * alternative
        exponent = canary.bad * math.log(
            rate / expected_bad
        ) + canary.good * math.log((1 - rate) / (1 - expected_bad))
        value += math.exp(min(exponent, 500.0)) / len(ALTERNATIVES)
    return value


def compute_group_evidence(
    group: Group, tolerated: float, assumed_bad: float
) -> float:
    """The evidence against a version within one group.

    There is one test for each epoch in which the version may have turned bad,
    with weights that sum to at most 1, so that together they are one test. A
    single test over the whole roll-out would let a long good period outweigh a
    sudden fault. The baseline is taken over the same epochs, so ratings that
    become harsher for every version do not halt any.
    """
    prior = compute_prior(group.baseline, assumed_bad)
    value = 0.0
    canary, baseline = evidence_module.Count(), prior
    none = evidence_module.Count()
    for epoch in sorted({*group.canary, *group.baseline}, reverse=True):
        start = epoch - group.begun + 1
        if start < 1:
            break
        canary += group.canary.get(epoch, none)
        baseline += group.baseline.get(epoch, none)
        # A window that starts without a bad rating adds no more evidence than
        # the next one that does; skipping it causes no false halts.
        if epoch in group.canary and group.canary[epoch].bad:
            expected = compute_bad_bound(baseline) + tolerated
            value += compute_likelihood_ratio(canary, expected) / (
                start * (start + 1)
            )
    return value


def compute_prior(
    baseline: dict[int, evidence_module.Count], assumed_bad: float
) -> evidence_module.Count:
    """The baseline counts assumed before a window's own ratings."""
    known = sum(baseline.values(), evidence_module.Count())
    bad = (known.bad + assumed_bad * PRIOR_RATINGS) / (
        known.total + PRIOR_RATINGS
    )
    return evidence_module.Count(
        (1 - bad) * PRIOR_RATINGS, bad * PRIOR_RATINGS
    )


def compute_bad_bound(baseline: evidence_module.Count) -> float:
    """Upper bound of the baseline's rate of bad answers."""
    return evidence_module.compute_upper_bound(
        baseline.bad / baseline.total,
        baseline.total,
        BASELINE_MISS_PROBABILITY,
    )


def compute_version_evidence(
    groups: list[Group], tolerated: float, assumed_bad: float
) -> tuple[float, str]:
    """The evidence against a version, and the group that shows most of it.

    Halt when it reaches ``1 / FALSE_HALT_PROBABILITY``: by Ville's inequality
    a version that is no worse gets there with at most that probability,
    however often and whenever the test is evaluated. Half of the weight is on
    the first group (all traffic), the rest is split evenly among the others; a
    weighted mean of such tests is itself one, so testing many groups does not
    raise the false-halt rate.
    """
    total, worst, worst_value = 0.0, "", 0.0
    for index, group in enumerate(groups):
        only_group = len(groups) == 1
        weight = 1.0 if only_group else 0.5
        if index:
            weight = 0.5 / (len(groups) - 1)
        value = weight * compute_group_evidence(group, tolerated, assumed_bad)
        total += value
        if value > worst_value:
            worst, worst_value = group.name, value
    return total, worst


def is_halt_due(value: float) -> bool:
    """Whether the evidence against a version is sufficient to halt it."""
    return value >= 1 / FALSE_HALT_PROBABILITY
