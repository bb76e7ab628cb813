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

# Models rate an answer that is just good enough at about 50 of 100, with an
# error of about 8. Two errors above, one accepted answer in fifty is poor.
LEAST_CONFIDENCE = 62.0
# As the row grows, answers up to two errors under the mark are kept too.
SPREAD = 32.0
# Part of the route's target that a climb may spend in the row.
LONGEST_ROW = 0.7


def choose_first(models: int, may_climb: bool) -> int:
    """The model to begin with, as a place in the list, smallest first.

    Where a dropped answer could not be followed by another run, the largest
    model is the only one that meets the quality target.
    """
    return 0 if may_climb else models - 1


def find_next(
    index: int,
    models: int,
    confidence: float | None,
    head_ms: float,
    target_ms: float,
) -> int | None:
    """The model to ask next, or None to keep this answer.

    A model that gives no opinion is taken at its word. ``head_ms`` is how
    long the larger model's first text would take from now on,
    ``target_ms`` the route's target.

    Load: more hard requests than the engines can read prompts for. Harm
    prevented: if all of them climb, rows grow until every answer on every
    engine is late, the easy ones too. Those that are surely poor climb
    until half of the target is spent in the row, those that are probably
    good enough only while the row is short.
    """
    if confidence is None or index >= models - 1:
        return None
    room = 1.0 - head_ms / (LONGEST_ROW * target_ms)
    if room <= 0.0 or confidence >= LEAST_CONFIDENCE - SPREAD * (1.0 - room):
        return None
    return models - 1
