"""Decides whether a request may run, and whether another endpoint is tried."""

import typing

from carawayward.forwarding import table
from carawayward.forwarding import work_items

# Attempts that could not connect do not count towards a route's limit, which
# counts runs; they are limited by the time that they took together. A silent
# endpoint costs a whole connect timeout, one that refuses the connection a few
# ms. After this time the caller is told to retry.
MAX_UNREACHED_MS = 1_500.0


def may_repeat(route: table.Route) -> bool:
    """Whether a request that may have run may run again.

    Anything that leads to another run, such as dropping an answer to ask a
    larger model, is begun only if this allows it.
    """
    if route.kind is table.RouteKind.STREAM:
        return route.resumable
    return route.kind is table.RouteKind.IDEMPOTENT


def may_run(work: work_items.Work) -> bool:
    """Whether a request may be sent to an endpoint or to a peer.

    Checked right before the first byte of each attempt, so that no way to
    another run gets around it.
    """
    return not work.may_have_run or may_repeat(work.route)


def is_last_run(work: work_items.Work) -> bool:
    """Whether the current run of a request is the last that it may have."""
    return (
        not may_repeat(work.route) or work.runs + 1 >= work.route.max_attempts
    )


def claim_retry(
    work: work_items.Work,
    outcome: work_items.Undelivered,
    spend_budget: typing.Callable[[], bool],
) -> str:
    """Claim another attempt; return why there is none, else "".

    The outcome has been recorded in ``work``. ``spend_budget`` is called for a
    further run and returns whether the retry budget allows it.
    """
    if not may_run(work):
        return "not repeatable"
    if work.is_partly_sent:
        return "partly sent"
    match outcome:
        case work_items.Withheld():
            return "withheld"
        case work_items.Diverted():
            return ""
        case work_items.Unreached():
            in_time = work.unreached_ms <= MAX_UNREACHED_MS
            return "" if in_time else "unreached for long"
    if work.runs >= work.route.max_attempts:
        return "attempts used up"
    return "" if spend_budget() else "retry budget spent"
