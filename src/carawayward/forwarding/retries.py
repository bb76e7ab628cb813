"""Decides whether another endpoint is tried after a failed attempt."""

import typing

from carawayward.forwarding import work_items

# Attempts that could not connect do not count towards a route's limit, which
# counts runs; they are limited by the time that they took together. A silent
# endpoint costs a whole connect timeout, one that refuses the connection a few
# ms. After this time the caller is told to retry.
MAX_UNREACHED_MS = 1_500.0


def claim_retry(
    work: work_items.Work,
    outcome: work_items.Undelivered,
    spend_budget: typing.Callable[[], bool],
) -> str:
    """Claim another attempt; return why there is none, else "".

    ``spend_budget`` is called for a further run and returns whether the retry
    budget allows it.
    """
    match outcome:
        case work_items.Withheld():
            return "withheld"
        case work_items.Diverted():
            return ""
        case work_items.Unreached():
            in_time = work.unreached_ms <= MAX_UNREACHED_MS
            return "" if in_time else "unreached for long"
        case work_items.Failed() if not work.route.repeatable:
            return "not repeatable"
    if work.runs >= work.route.max_attempts:
        return "attempts used up"
    return "" if spend_budget() else "retry budget spent"
