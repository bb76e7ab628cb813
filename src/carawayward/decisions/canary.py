"""How much traffic a new version gets, and whether it is healthy.

Limits how many callers meet a version that fails or is slow for part of its
answers, whether at once, after some seconds, on one route only or only under
load. A small share of the sessions tries the version, on so few of its
endpoints that each of them is as busy as it would be with all the traffic;
otherwise failures under load would show only once all traffic had moved.
"""

import enum
import math
import typing

import attrs

# Number of requests in a trial, and the bounds on the share of sessions that
# they may take: enough to detect a version of which half of one route's
# answers are bad, and far fewer than deployments allow to meet a bad version.
TRIAL_REQUESTS = 28.0
MIN_SHARE = 0.03
MAX_SHARE = 0.4
# Part of the exposure budget that the trial may use.
TRIAL_EXPOSURE = 0.4
# Minimum duration of the trial, as a part of the roll-out's duration; a fault
# that appears late has shown by then.
TRIAL_PART = 0.5
# Part of the exposure budget that is used. Entry VMs' counts are slightly old,
# and those that learn of a halt late send a few more requests.
EXPOSURE_PART = 0.85
# Part of the runs on the old version that are taken to last until completion,
# when full traffic begins to go to the new one.
OLD_RUNS_LEFT_PART = 0.75
# A roll-out is reported as completed this long before its duration ends, even
# if requests still run on the old version: the store takes some ms, and entry
# VMs write in turn.
FORCED_COMPLETION_MS = 1_000.0
# Once all traffic goes to the new version, completion waits for this many of
# its answers while more than this much time is left. Faults that appear only
# under full load or late show here, and once the old version's endpoints have
# stopped there is no way back.
COMPLETION_ANSWERS = 40
COMPLETION_WAIT_MS = 1_800.0
# With fewer answers the roll-out is not completed at all. It can then be
# ordered again, whereas after completion there is no old version to return to
# if the new one is bad.
MIN_COMPLETION_ANSWERS = 5
# A version is likely good when its answers are this many times likelier from a
# version with the old version's failure rate than from a bad one, whose
# failure rate is BAD_RATE_INCREASE higher, but at most MAX_RATE. ``is_proven``
# requires this on each route that has at least ROUTE_PART of the answers,
# since a version may be bad on one route only.
LIKELIHOOD_RATIO = 4.0
BAD_RATE_INCREASE = 0.4
MAX_RATE = 0.95
ROUTE_PART = 0.1
# Allowance for more requests than expected, in standard deviations of a
# Poisson count.
SURGE_DEVIATIONS = 2.5
# With fewer answers a version is not judged good, and with fewer bad answers
# it is not judged bad.
MIN_ANSWERS = 8
MIN_BAD_ANSWERS = 3
# How far above the old version's rate of bad answers the new one's must be,
# absolutely and in standard deviations.
MIN_RATE_INCREASE = 0.12
DEVIATIONS = 3.5
# An answer that took this many times the old version's mean for its kind
# counts as bad. Versions that are "several times slower" exceed it, whereas
# batching and cold caches stay below.
SLOW_FACTOR = 4.0
# Shorter times never count as slow: callers do not notice them, and a busy
# machine adds a few ms.
MIN_SLOW_MS = 20.0

# A first token is slow if it took this many times the prediction, and at least
# this long. New engines have no cached prompts and have to read whole ones.
TTFT_SLOW_FACTOR = 2.5
TTFT_SLOW_MS = 500.0
# Answers of the old version needed for a latency baseline, and the weight of
# each further one.
MIN_BASELINE_ANSWERS = 3
BASELINE_GAIN = 0.1


class Verdict(enum.Enum):
    """What the answers so far show about a version."""

    UNKNOWN = "unknown"
    GOOD = "good"
    BAD = "bad"


@attrs.frozen
class Tally:
    """Answers of the new and the old version on one route."""

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


@attrs.define
class LatencyBaseline:
    """Mean time of one kind of answer on the old version, in ms."""

    mean_ms: float = 0.0
    answers: int = 0

    def record_answer(self, answer_ms: float) -> None:
        """Add a good answer of the old version."""
        gain = BASELINE_GAIN if self.answers else 1.0
        self.mean_ms += gain * (answer_ms - self.mean_ms)
        self.answers += 1

    def is_slow(self, answer_ms: float) -> bool:
        """Whether an answer took several times the baseline."""
        return self.answers >= MIN_BASELINE_ANSWERS and answer_ms > max(
            MIN_SLOW_MS, SLOW_FACTOR * self.mean_ms
        )


def is_ttft_slow(took_ms: float, predicted_ms: float) -> bool:
    """Whether a prompt's first token came much later than predicted."""
    return took_ms > TTFT_SLOW_MS and took_ms > TTFT_SLOW_FACTOR * predicted_ms


def compute_baseline_rate(tally: Tally) -> float:
    """Estimated rate of bad answers of the old version, never 0."""
    return (tally.old_bad + 0.5) / (tally.old + 5.0)


def is_worse(tally: Tally) -> bool:
    """Whether the new version fails significantly more often than the old."""
    if tally.new_bad < MIN_BAD_ANSWERS:
        return False
    expected = compute_baseline_rate(tally)
    rate = tally.new_bad / tally.new
    deviation = math.sqrt(tally.new * expected * (1.0 - expected))
    excess = tally.new_bad - tally.new * expected
    return (
        rate > expected + MIN_RATE_INCREASE and excess > DEVIATIONS * deviation
    )


def judge(by_route: typing.Mapping[str, Tally]) -> Verdict:
    """Judge each route alone and all routes together.

    A version that is bad on one route only could go unnoticed in the sum.
    """
    total = sum(by_route.values(), Tally())
    if is_worse(total) or any(is_worse(each) for each in by_route.values()):
        return Verdict.BAD
    return Verdict.GOOD if total.new >= MIN_ANSWERS else Verdict.UNKNOWN


def is_proven(by_route: typing.Mapping[str, Tally], under_load: Tally) -> bool:
    """Whether there is positive evidence that a version is good.

    Required on each route, since a route without answers in the trial shows
    nothing about a version that is bad there, and for ``under_load``, the
    answers since all traffic goes to the new version.
    """
    if not is_likely_good(under_load):
        return False
    min_total = ROUTE_PART * sum(
        each.new + each.old for each in by_route.values()
    )
    return all(
        is_likely_good(each)
        for each in by_route.values()
        if each.new + each.old >= min_total
    )


def is_likely_good(tally: Tally) -> bool:
    """Whether the answers are much likelier from a good than a bad version."""
    baseline = compute_baseline_rate(tally)
    bad = min(MAX_RATE, baseline + BAD_RATE_INCREASE)
    good_answers = tally.new - tally.new_bad
    log_ratio = good_answers * math.log((1.0 - baseline) / (1.0 - bad))
    log_ratio += tally.new_bad * math.log(baseline / bad)
    return log_ratio >= math.log(LIKELIHOOD_RATIO)


@attrs.frozen(kw_only=True)
class Exposure:
    """How many requests may meet a bad version, and how many met the new one.

    The limit is ``share`` of all requests during the roll-out plus ``slack``.
    ``sent`` counts requests to either version so far, ``sent_new`` those to
    the new one. ``old_in_flight`` are running on the old version and are sent
    to the new one if it is completed before they end.
    """

    share: float
    slack: float
    sent: int = 0
    sent_new: int = 0
    old_in_flight: int = 0


def compute_share(part: float, verdict: Verdict, exposure: Exposure) -> float:
    """Share of sessions for the new version after ``part`` of the duration.

    A version may be bad only under a load that no trial produces. All traffic
    therefore moves as late as possible: when the requests still to come fit
    into the exposure budget even if the version then turns out to be bad.
    """
    if verdict is Verdict.BAD:
        return 0.0
    if part <= 0.0 or not exposure.sent:
        return MIN_SHARE
    total = exposure.sent / part
    allowed = exposure.share * total + exposure.slack
    if verdict is Verdict.GOOD and part >= TRIAL_PART:
        to_come = total * max(0.0, 1.0 - part)
        to_come += OLD_RUNS_LEFT_PART * exposure.old_in_flight
        if exposure.sent_new + to_come <= EXPOSURE_PART * allowed:
            return 1.0
    wanted = min(TRIAL_REQUESTS, TRIAL_EXPOSURE * allowed)
    return min(MAX_SHARE, max(MIN_SHARE, wanted / total))


def fits_exposure(part: float, duration_ms: float, exposure: Exposure) -> bool:
    """Whether all traffic may go to the new version during its last stretch.

    That is the time for which completion is forced, or what is left of it.
    On completion the old version's endpoints stop at once, and what ran there
    is sent to the new version as well. The version may turn out bad, and there
    is no way back by then. Arrivals vary, so more requests than expected may
    come.
    """
    if part <= 0.0:
        return True
    left_ms = max(0.0, duration_ms * (1.0 - part))
    total = exposure.sent / part
    allowed = exposure.share * total + exposure.slack
    last = total * min(left_ms, FORCED_COMPLETION_MS) / duration_ms
    surge = SURGE_DEVIATIONS * math.sqrt(last)
    met = exposure.sent_new + exposure.old_in_flight
    return met + last + surge <= allowed


def may_complete(
    left_ms: float,
    verdict: Verdict,
    share: float,
    answers: int,
    old_in_flight: int,
    fits: bool = True,
) -> bool:
    """Whether the roll-out may be reported as completed.

    ``answers`` counts the new version's answers since all traffic goes to it,
    ``fits`` is the result of ``fits_exposure``. On completion the old
    version's endpoints stop at once, which cuts off whatever still runs there;
    streams resume elsewhere where they can.
    """
    if verdict is not Verdict.GOOD or share < 1.0 or not fits:
        return False
    if answers < MIN_COMPLETION_ANSWERS:
        return False
    if left_ms <= FORCED_COMPLETION_MS:
        return True
    settled = answers >= COMPLETION_ANSWERS or left_ms <= COMPLETION_WAIT_MS
    return settled and old_in_flight == 0


def count_trial_endpoints(endpoints: int, share: float) -> int:
    """Number of a version's endpoints that get ``share`` of the work."""
    return max(1, min(endpoints, math.ceil(endpoints * share)))
