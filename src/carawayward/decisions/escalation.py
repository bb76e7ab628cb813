"""Which of a route's models answers: the smallest that is confident enough.

About half of the requests are easy, and the largest model costs some fifteen
times as much as the smallest, in money and in engine time. With the largest
model alone, a burst fills the engines' batches with work that the smallest
model does as well; with the smallest alone, the hard half gets poor answers.

The smallest model starts. Its confidence comes with the head of the answer,
before any text; if it is low, the answer is dropped and the largest model is
asked. The models in between are skipped: a second drop would cost the caller
another time to first token, and the range of difficulty that they serve is
small.
"""

import attrs

# Models rate an answer that is just good enough at about 50 of 100, with an
# error of about 8. Two errors above that, one accepted answer in fifty is
# poor.
MIN_CONFIDENCE = 62.0
# How far the confidence required falls as engines fall behind: up to four
# errors.
BACKLOG_ALLOWANCE = 32.0
# How far it falls if the larger model's answer would come late. This accepts
# answers of which less than three in four are poor, half an error below the
# even chance at 50. A late good answer is worth a third of one in time, a late
# poor one almost nothing.
LATENESS_ALLOWANCE = 17.0
# Backlog of prompts to read, as parts of the shortest latency target among the
# routes that the engines serve. Up to the first, escalation is not restricted;
# past the second, nothing escalates. From the first on, the least certain half
# of the escalations is dropped, few of which would improve an answer; up to
# the second, first tokens of the shortest target are still in time. In a
# replay at a third of the load that the engines can bear, under 0.03 of the
# hard requests are kept from escalating; with 0.55 for the second it is 0.02
# to 0.08.
LOW_BACKLOG = 0.2
HIGH_BACKLOG = 0.7
# Time to first token of the larger model, as parts of the route's target. If
# it comes before the first, lateness does not restrict escalation; after the
# second, escalating would make a late answer out of one in time.
EARLY_TTFT = 0.3
LATE_TTFT = 0.9
# Up to this overload the largest model takes requests that could not escalate
# later. Above it, having half of the answers good and in time is better than
# having all of them late.
MAX_OVERLOAD_FOR_LARGEST = 0.5


@attrs.frozen
class Overload:
    """Reasons against giving the largest model more work, each 0 to 1.

    ``behind`` is the effect on all other requests' answers, ``lateness`` the
    effect on the request's own answer.
    """

    behind: float = 0.0
    lateness: float = 0.0


def compute_overload(backlog_part: float, ttft_part: float) -> Overload:
    """The reasons against giving the largest model more work.

    ``backlog_part`` is the engines' mean backlog as a part of the shortest
    latency target that they serve; ``ttft_part`` is the larger model's time to
    first token as a part of the route's target.
    """
    behind = (backlog_part - LOW_BACKLOG) / (HIGH_BACKLOG - LOW_BACKLOG)
    lateness = (ttft_part - EARLY_TTFT) / (LATE_TTFT - EARLY_TTFT)
    return Overload(
        behind=min(1.0, max(0.0, behind)),
        lateness=min(1.0, max(0.0, lateness)),
    )


def choose_first(models: int, may_escalate: bool, overload: Overload) -> int:
    """The model to start with, as an index into the list, smallest first.

    If a dropped answer could not be followed by another run, only the largest
    model meets the quality target.

    When engines crash, so many requests need a second run that no extra runs
    are left. Sending them all to the largest model would need more than twice
    the prompt reading of a cascade, just when part of the engines is gone;
    above ``MAX_OVERLOAD_FOR_LARGEST`` the smallest model starts instead.
    """
    overload_max = max(overload.behind, overload.lateness)
    if may_escalate or overload_max >= MAX_OVERLOAD_FOR_LARGEST:
        return 0
    return models - 1


def choose_next(
    index: int,
    models: int,
    confidence: float | None,
    overload: Overload,
) -> int | None:
    """The index of the model to ask next, or ``None`` to keep this answer.

    An answer without a confidence is accepted. ``overload`` is the result of
    ``compute_overload``.

    With more hard requests than the engines can read prompts for, escalating
    all of them would grow the queues until every answer on every engine is
    late, including the easy ones. The further the engines are behind, the
    lower the confidence has to be for an answer to be dropped.
    """
    if confidence is None or index >= models - 1:
        return None
    if overload.behind >= 1.0:
        return None
    allowance = (
        BACKLOG_ALLOWANCE * overload.behind
        + LATENESS_ALLOWANCE * overload.lateness
    )
    if confidence >= MIN_CONFIDENCE - allowance:
        return None
    return models - 1
