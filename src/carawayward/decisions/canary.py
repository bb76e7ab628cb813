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

# How many requests a version is tried by, and between which shares of the
# sessions that may lie: enough to find a version of which half of one route's
# answers are bad, and far fewer than deployments let meet a bad one.
TRIAL_REQUESTS = 28.0
MIN_SHARE = 0.03
MAX_SHARE = 0.4
# Part of what may meet a bad version that its trial may use.
TRIAL_EXPOSURE = 0.4
# Part of the time given for which a version is tried at the least; what
# turns bad late has shown it by then.
TRIAL_PART = 0.5
# Part of what may meet a bad version that is used: entry VMs' counts are a
# moment old, and those that see a halt late send a few more.
EXPOSURE_PART = 0.85
# So long before the time is up a roll-out is reported as completed, though
# something still runs on the old version; the store takes some ms, and entry
# VMs take turns.
FORCED_COMPLETION_MS = 1_000.0
# While everything goes to the new version a roll-out waits for so many of its
# answers before it is reported as completed, as long as this much time is
# left: what is bad only under full load or turns bad late shows here, and
# once the old version's endpoints have stopped there is no way back.
COMPLETION_ANSWERS = 40
COMPLETION_WAIT_MS = 1_800.0
# Without so many it is not completed at all: whoever keeps the old version
# may order the roll-out again, and a bad version without an old one stays.
MIN_COMPLETION_ANSWERS = 5
# A version is completed when its answers are this many times likelier from
# one that fails as seldom as the old version than from a bad one, of which
# BAD_RATE_INCREASE more of the answers fail. That holds for each route with
# ROUTE_PART of the answers or more: a version may be bad on one route only.
LIKELIHOOD_RATIO = 4.0
BAD_RATE_INCREASE = 0.4
MAX_RATE = 0.95
ROUTE_PART = 0.1
# Requests beyond the expected number that are allowed for, in standard
# deviations of a Poisson count.
SURGE_DEVIATIONS = 2.5
# Answers without which nothing can be said.
MIN_ANSWERS = 8
MIN_BAD_ANSWERS = 3
# How much worse than the old version a share of bad answers has to be.
MIN_RATE_INCREASE = 0.12
DEVIATIONS = 3.5
# An answer that took this many times the mean of its kind on the old version
# counts as bad: versions that are "several times slower" are, while batching
# and cold caches stay under it.
SLOW_FACTOR = 4.0
# Shorter times are never slow: callers don't notice them, and a few ms are
# what a busy machine adds.
MIN_SLOW_MS = 20.0

# A first token is slow that took this many times the prediction, and this
# long. Engines that are new keep no prompts and have to read whole ones.
TTFT_SLOW_FACTOR = 2.5
TTFT_SLOW_MS = 500.0
# Answers of an old version from which on a time counts as usual, and how
# much each changes what is.
MIN_BASELINE_ANSWERS = 3
BASELINE_GAIN = 0.1


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


@attrs.define
class LatencyBaseline:
    """The usual time of one kind of answer on the old version, in ms."""

    mean_ms: float = 0.0
    answers: int = 0

    def record_answer(self, answer_ms: float) -> None:
        """Take a good answer of the old version."""
        gain = BASELINE_GAIN if self.answers else 1.0
        self.mean_ms += gain * (answer_ms - self.mean_ms)
        self.answers += 1

    def is_slow(self, answer_ms: float) -> bool:
        """Whether an answer took several times the usual."""
        return self.answers >= MIN_BASELINE_ANSWERS and answer_ms > max(
            MIN_SLOW_MS, SLOW_FACTOR * self.mean_ms
        )


def is_ttft_slow(took_ms: float, predicted_ms: float) -> bool:
    """Whether a prompt's first token came far later than predicted."""
    return took_ms > TTFT_SLOW_MS and took_ms > TTFT_SLOW_FACTOR * predicted_ms


def compute_baseline_rate(tally: Tally) -> float:
    """The part of the old version's answers that are bad, never 0."""
    return (tally.old_bad + 0.5) / (tally.old + 5.0)


def is_worse(tally: Tally) -> bool:
    """Whether the new version fails clearly more often than the old."""
    if tally.new_bad < MIN_BAD_ANSWERS:
        return False
    expected = compute_baseline_rate(tally)
    rate = tally.new_bad / tally.new
    spread = math.sqrt(tally.new * expected * (1.0 - expected))
    surplus = tally.new_bad - tally.new * expected
    return (
        rate > expected + MIN_RATE_INCREASE and surplus > DEVIATIONS * spread
    )


def judge(by_route: typing.Mapping[str, Tally]) -> Verdict:
    """Judge by each route alone and by all together.

    A version that is bad on one route only would drown in the sum.
    """
    total = sum(by_route.values(), Tally())
    if is_worse(total) or any(is_worse(each) for each in by_route.values()):
        return Verdict.BAD
    return Verdict.GOOD if total.new >= MIN_ANSWERS else Verdict.UNKNOWN


def is_proven(by_route: typing.Mapping[str, Tally], under_load: Tally) -> bool:
    """Whether the answers speak for a version, not just not against it.

    On each route, since one that nobody took in the trial shows nothing of a
    version that is bad there; and ``under_load``, since everything goes to
    the new version.
    """
    if not is_likely_good(under_load):
        return False
    least = ROUTE_PART * sum(each.new + each.old for each in by_route.values())
    return all(
        is_likely_good(each)
        for each in by_route.values()
        if each.new + each.old >= least
    )


def is_likely_good(tally: Tally) -> bool:
    """Whether the answers are much likelier from a good than a bad version."""
    usual = compute_baseline_rate(tally)
    bad = min(MAX_RATE, usual + BAD_RATE_INCREASE)
    good_answers = tally.new - tally.new_bad
    log_ratio = good_answers * math.log((1.0 - usual) / (1.0 - bad))
    log_ratio += tally.new_bad * math.log(usual / bad)
    return log_ratio >= math.log(LIKELIHOOD_RATIO)


@attrs.frozen(kw_only=True)
class Exposure:
    """How many requests may meet a bad version, and have met the new one.

    ``share`` of all requests within the time given, and ``slack`` more;
    ``sent`` went to either version so far, ``sent_new`` to the new one.
    """

    share: float
    slack: float
    sent: int = 0
    sent_new: int = 0


def compute_share(part: float, verdict: Verdict, exposure: Exposure) -> float:
    """The share of sessions for the new version at a part of the time.

    A version may be bad only under a load that no trial brings about. So
    everything goes over to it as late as possible: when all that is still to
    come may meet it even if it turns out to be bad then.
    """
    if verdict is Verdict.BAD:
        return 0.0
    if part <= 0.0 or not exposure.sent:
        return MIN_SHARE
    total = exposure.sent / part
    allowed = exposure.share * total + exposure.slack
    if verdict is Verdict.GOOD and part >= TRIAL_PART:
        to_come = total * max(0.0, 1.0 - part)
        if exposure.sent_new + to_come <= EXPOSURE_PART * allowed:
            return 1.0
    wanted = min(TRIAL_REQUESTS, TRIAL_EXPOSURE * allowed)
    return min(MAX_SHARE, max(MIN_SHARE, wanted / total))


def may_start_session(
    part: float, duration_ms: float, exposure: Exposure
) -> bool:
    """Whether a further session may begin on the version all go over to.

    Arrivals vary: more requests than expected may come between the opening
    and the end, and all of them would meet a version that turns out bad.
    Sessions that have begun stay where they are, and in the last
    ``FORCED_COMPLETION_MS`` there is no way back, so that time is kept free.
    """
    left_ms = duration_ms * (1.0 - part)
    if part <= 0.0 or left_ms <= FORCED_COMPLETION_MS:
        return True
    total = exposure.sent / part
    allowed = exposure.share * total + exposure.slack
    last = total * FORCED_COMPLETION_MS / duration_ms
    surge = SURGE_DEVIATIONS * math.sqrt(last)
    return exposure.sent_new + last + surge <= allowed


def may_complete(
    left_ms: float,
    verdict: Verdict,
    share: float,
    answers: int,
    old_in_flight: int,
) -> bool:
    """Whether the roll-out may be reported as completed.

    ``answers`` are those of the new version since everything goes there. The
    old version's endpoints stop at once then, so that whatever still runs
    there is cut off; streams go on elsewhere where they may.
    """
    if verdict is not Verdict.GOOD or share < 1.0:
        return False
    if answers < MIN_COMPLETION_ANSWERS:
        return False
    if left_ms <= FORCED_COMPLETION_MS:
        return True
    settled = answers >= COMPLETION_ANSWERS or left_ms <= COMPLETION_WAIT_MS
    return settled and old_in_flight == 0


def count_trial_endpoints(endpoints: int, share: float) -> int:
    """On how many of a version's endpoints a share of the work goes."""
    return max(1, min(endpoints, math.ceil(endpoints * share)))
