"""How far a new version is let in, and whether it is good.

Load: a version that fails or slows a part of its answers, at once, after
some seconds, on one route only, or only under load. Harm prevented: callers
that meet it. A small share of the sessions tries it, on so few of its
endpoints that each of these is as busy as it would be with all the traffic;
otherwise what fails under load would show only once everybody is there.
"""

import enum
import math
import typing

import attrs

# Of the sessions while the version is on trial. Half of what deployments
# allow to meet a bad version, so that entry VMs which see the halt late do
# not use up the rest.
TRIAL_SHARE = 0.08
# Part of the time given after which a version that shows nothing bad is let
# in further; what turns bad late has shown it by then.
TRIAL_PART = 0.5
# Steps by which it is let in: part of the time, share of the sessions. Each
# lasts long enough for all entry VMs' counts to come round once.
STEPS = ((0.5, 0.25), (0.58, 0.5), (0.66, 1.0))
# From this part of the time on the roll-out may be reported as completed;
# from the second one it is, though some entry VM has not said that it has
# no work left on the old version.
COMPLETE_PART = 0.74
FORCED_PART = 0.9
# Answers without which nothing can be said.
LEAST_ANSWERS = 8
LEAST_BAD = 3
# How much worse than the old version a share of bad answers has to be.
WORSE = 0.12
DEVIATIONS = 2.5
# An answer that took this many times the mean of its kind on the old version
# counts as bad: versions that are "several times slower" are, while batching
# and cold caches stay under it.
SLOW_FACTOR = 4.0


class Verdict(enum.Enum):
    """What the answers so far say of a version."""

    UNKNOWN = "unknown"
    GOOD = "good"
    BAD = "bad"


@attrs.frozen
class Tally:
    """Answers of the new and of the old version on one route."""

    new: int = 0
    new_bad: int = 0
    old: int = 0
    old_bad: int = 0

    def __add__(self, other: "Tally") -> "Tally":
        return Tally(
            self.new + other.new,
            self.new_bad + other.new_bad,
            self.old + other.old,
            self.old_bad + other.old_bad,
        )


def is_worse(tally: Tally) -> bool:
    """Whether the new version fails clearly more often than the old."""
    if tally.new_bad < LEAST_BAD:
        return False
    expected = (tally.old_bad + 0.5) / (tally.old + 5.0)
    rate = tally.new_bad / tally.new
    spread = math.sqrt(tally.new * expected * (1.0 - expected))
    surplus = tally.new_bad - tally.new * expected
    return rate > expected + WORSE and surplus > DEVIATIONS * spread


def judge(by_route: typing.Mapping[str, Tally]) -> Verdict:
    """Judge by each route alone and by all together.

    A version that is bad on one route only would drown in the sum.
    """
    total = sum(by_route.values(), Tally())
    if is_worse(total) or any(is_worse(each) for each in by_route.values()):
        return Verdict.BAD
    return Verdict.GOOD if total.new >= LEAST_ANSWERS else Verdict.UNKNOWN


def find_share(part: float, verdict: Verdict) -> float:
    """The share of sessions for the new version at a part of the time."""
    if verdict is Verdict.BAD:
        return 0.0
    share = TRIAL_SHARE
    if verdict is Verdict.GOOD:
        for begin, step in STEPS:
            if part >= begin:
                share = step
    return share


def may_complete(part: float, verdict: Verdict, old_in_flight: int) -> bool:
    """Whether the roll-out may be reported as completed.

    The old version's endpoints stop at once then, so that whatever still
    runs there would be cut off.
    """
    if verdict is not Verdict.GOOD or part < COMPLETE_PART:
        return False
    return old_in_flight == 0 or part >= FORCED_PART


def count_trial_endpoints(endpoints: int, share: float) -> int:
    """On how many of a version's endpoints a share of the work goes."""
    return max(1, min(endpoints, math.ceil(endpoints * share)))
