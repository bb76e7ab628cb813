"""How many runs beyond the first of each request a service may get.

When part of a pool fails or sheds load, many requests want a second run at
once, on top of the runs that escalate to a larger model. Unbounded, second
runs would use up what is left of the pool.

The bound holds for all entry VMs together without communication: each keeps to
the ratio of its own requests and to its part of the slack.
"""

import collections

import attrs

# The window is divided into slices, so that old counts expire one at a time.
SLICES = 20
# Margin below the bound, since what another entry VM counts a moment earlier
# or later falls into a different window.
HEADROOM = 0.85


@attrs.define
class RetryBudget:
    """Counts of one service in a sliding window; times in ms.

    ``vms`` is the number of entry VMs among which the slack is split.
    """

    window_ms: float = 10_000.0
    ratio: float = 0.9
    slack: float = 58.0
    vms: int = 16
    slices: collections.deque[list[float]] = attrs.field(
        factory=collections.deque
    )


def record_request(runs: RetryBudget, now_ms: float) -> None:
    """Count a caller's request."""
    _find_slice(runs, now_ms)[1] += 1


def may_spend(runs: RetryBudget, now_ms: float, reserve: float = 0.0) -> bool:
    """Whether one more run fits; ``reserve`` is a part kept for other uses."""
    _find_slice(runs, now_ms)
    requests = sum(each[1] for each in runs.slices)
    extra = sum(each[2] for each in runs.slices)
    max_extra = HEADROOM * (
        runs.ratio * requests + runs.slack / max(1, runs.vms)
    )
    return extra + 1 <= max_extra * (1.0 - reserve)


def spend(runs: RetryBudget, now_ms: float) -> None:
    """Count a run beyond a request's first."""
    _find_slice(runs, now_ms)[2] += 1


def try_to_spend(runs: RetryBudget, now_ms: float) -> bool:
    """Count a run beyond a request's first if it fits."""
    fits = may_spend(runs, now_ms)
    if fits:
        spend(runs, now_ms)
    return fits


def _find_slice(runs: RetryBudget, now_ms: float) -> list[float]:
    """The current slice: its start, requests, extra runs."""
    oldest = now_ms - runs.window_ms
    while runs.slices and runs.slices[0][0] < oldest:
        runs.slices.popleft()
    length = runs.window_ms / SLICES
    if not runs.slices or now_ms - runs.slices[-1][0] >= length:
        runs.slices.append([now_ms, 0, 0])
    return runs.slices[-1]
