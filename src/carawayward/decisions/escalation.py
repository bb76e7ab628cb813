"""Which of a route's models answers: the smallest that is sure enough.

Load: requests of which about half are easy, at a price of the largest model
some fifteen times that of the smallest, in money and in engine time. Harm
prevented: with the largest model alone a burst fills the engines' batches
with work that the smallest does as well; with the smallest alone the hard
half gets poor answers.

The smallest model begins. Its own opinion of its answer comes with the head
of the answer, before any text; if it is low the answer is dropped and the
largest model is asked. The models between are left out: a second drop costs
the caller another first token, and their range of difficulty is small.
"""

import attrs

# Models rate an answer that is just good enough at about 50 of 100, with an
# error of about 8. Two errors above, one accepted answer in fifty is poor.
MIN_CONFIDENCE = 62.0
# As engines fall behind, answers up to four errors under the mark are kept.
BACKLOG_ALLOWANCE = 32.0
# Where the larger model's answer would come late, answers are kept of which
# less than three in four are poor: half an error under the even chance, 50. A
# good answer is worth a third when it comes late, a poor one next to nothing.
LATENESS_ALLOWANCE = 17.0
# How far engines may be behind with reading prompts, as parts of the shortest
# target among the routes that they serve: up to the first that is no reason
# not to escalate, past the second nothing does. From the first on it is the
# least sure half of escalations that goes, of which few mend anything; up to
# the second first texts of the shortest target are still in time. Replayed at
# a third of the load that engines bear, under 0.03 of hard requests are held
# back; with 0.55 for the second it is 0.02 to 0.08.
LOW_BACKLOG = 0.2
HIGH_BACKLOG = 0.7
# Parts of the route's target: a larger model's first text that comes before
# the first is no reason not to escalate; after the second it would make a late
# answer out of one that is in time.
EARLY_TTFT = 0.3
LATE_TTFT = 0.9
# Up to this overload the largest model takes requests that could not escalate.
# Past it half of the answers, given in time, are better than all given late.
MAX_OVERLOAD_FOR_LARGEST = 0.5


@attrs.frozen
class Overload:
    """How much speaks against giving the largest model work, each 0 to 1.

    ``behind`` is about what it does to everybody else's answers, ``lateness``
    about the request's own.
    """

    behind: float = 0.0
    lateness: float = 0.0


def compute_overload(backlog_part: float, head_part: float) -> Overload:
    """What speaks against giving the largest model work.

    ``backlog_part`` is how far the engines are behind on average, as a part
    of the shortest target that they serve; ``head_part`` is when the largest
    model's first text would come, as a part of the route's target.
    """
    behind = (backlog_part - LOW_BACKLOG) / (HIGH_BACKLOG - LOW_BACKLOG)
    lateness = (head_part - EARLY_TTFT) / (LATE_TTFT - EARLY_TTFT)
    return Overload(
        behind=min(1.0, max(0.0, behind)),
        lateness=min(1.0, max(0.0, lateness)),
    )


def choose_first(models: int, may_escalate: bool, overload: Overload) -> int:
    """The model to begin with, as a place in the list, smallest first.

    Where a dropped answer could not be followed by another run, the largest
    model is the only one that meets the quality target.

    Load: engines crash, and so many requests need a second run that no extra
    runs are left. Harm prevented: the largest model for everybody takes over
    twice the reading of a cascade, just when a part of the engines is gone.
    """
    most = max(overload.behind, overload.lateness)
    if may_escalate or most >= MAX_OVERLOAD_FOR_LARGEST:
        return 0
    return models - 1


def choose_next(
    index: int,
    models: int,
    confidence: float | None,
    overload: Overload,
) -> int | None:
    """The model to ask next, or None to keep this answer.

    A model that gives no opinion is taken at its word. ``overload`` is what
    ``compute_overload`` gives.

    Load: more hard requests than the engines can read prompts for. Harm
    prevented: if all of them escalate, queues grow until every answer on every
    engine is late, the easy ones too. The more the engines are behind, the
    surer it has to be that the answer at hand is poor.
    """
    if confidence is None or index >= models - 1:
        return None
    if overload.behind >= 1.0:
        return None
    kept = (
        BACKLOG_ALLOWANCE * overload.behind
        + LATENESS_ALLOWANCE * overload.lateness
    )
    if confidence >= MIN_CONFIDENCE - kept:
        return None
    return models - 1
