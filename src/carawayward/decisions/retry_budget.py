"""How many runs beyond the first of each request a service may get.

When part of a pool fails or sheds load, many requests want a second run at
once, on top of the runs that escalate to a larger model. Unbounded, second
runs would use up what is left of the pool.

The bound holds for all entry VMs together without communication: each keeps to
the ratio of its own requests and to its part of the slack. A process does not
know what the one before it on the same VM has spent, so it has no part of the
slack until that has left the window.

A run counts in every window that it is in, and these end up to a window after
it. The requests of a window are those that came in it, in the one before or in
the one half a window before, whichever are most. If traffic falls after a
burst, later windows have fewer requests than the one that ends now, so each
run has to fit into all of them, as if no request came any more.
"""

import bisect
import collections
import itertools
import typing

import attrs

# The window is divided into slices, so that old counts expire one at a time.
SLICES = 40
# Margin for requests that arrive at an entry VM after the window in which
# their callers sent them.
HEADROOM = 0.97
# The windows whose requests may count, by how many windows earlier they end.
REQUEST_WINDOWS = (0.0, 0.5, 1.0)
# Windows that end within this share of the window are checked together.
STEP = 1.0 / 20.0
STEPS = round(1.0 / STEP)
# The same windows, by how many steps earlier they end.
REQUEST_STEPS = [round(part / STEP) for part in REQUEST_WINDOWS]
# A run reaches its endpoint up to this long after it was counted: establishing
# the connection takes time.
MAX_ARRIVAL_LAG_MS = 500.0


@attrs.define
class Slice:
    """What was counted in one slice of the window, from ``start_ms`` on."""

    start_ms: float
    requests: int = 0
    extra_runs: int = 0


@attrs.define
class RetryBudget:
    """Counts of one service in a sliding window; times in ms.

    ``vms`` is the number of entry VMs among which the slack is split, None
    while it is unknown. ``started_ms`` is when this process started; a
    former one on the same VM may have spent something until then.
    """

    window_ms: float = 10_000.0
    ratio: float = 0.9
    slack: float = 58.0
    vms: int | None = 16
    started_ms: float = float("-inf")
    slices: collections.deque[Slice] = attrs.field(factory=collections.deque)


def record_request(runs: RetryBudget, now_ms: float) -> None:
    """Count a caller's request."""
    _find_slice(runs, now_ms).requests += 1


@attrs.frozen
class Usage:
    """The extra runs of a window, and how many it may have."""

    runs: int
    allowed: float


def compute_usage(runs: RetryBudget, now_ms: float) -> Usage:
    """Compute how much of the budget is used in the fullest window to come."""
    _find_slice(runs, now_ms)
    starts = [each.start_ms for each in runs.slices]
    extra_runs = _accumulate(each.extra_runs for each in runs.slices)
    slack = _compute_slack(runs, now_ms)
    step_ms = STEP * runs.window_ms
    length_ms = runs.window_ms / SLICES
    requests = _count_requests(runs, now_ms, starts)
    usages = []
    for step in range(STEPS + 1):
        end_ms = now_ms + step * step_ms
        begin_ms = end_ms - runs.window_ms - MAX_ARRIVAL_LAG_MS - length_ms
        spent = extra_runs[-1] - extra_runs[bisect.bisect(starts, begin_ms)]
        most = max([requests[step - back] for back in REQUEST_STEPS])
        allowed = HEADROOM * (runs.ratio * most + slack)
        usages.append((allowed - spent, spent, allowed))
    _, spent, allowed = min(usages)
    return Usage(runs=spent, allowed=allowed)


def _count_requests(
    runs: RetryBudget, now_ms: float, starts: list[float]
) -> dict[int, int]:
    """The requests of the windows, by how many steps from now they end."""
    sums = _accumulate(each.requests for each in runs.slices)
    step_ms = STEP * runs.window_ms
    length_ms = runs.window_ms / SLICES
    counts = {}
    for step in range(-max(REQUEST_STEPS), STEPS + 1):
        until_ms = now_ms + step * step_ms
        from_ms = until_ms - runs.window_ms + step_ms
        first = bisect.bisect_left(starts, from_ms)
        last = len(starts)
        if step < 0:
            last = bisect.bisect_right(starts, until_ms - length_ms)
        counts[step] = sums[max(first, last)] - sums[first]
    return counts


def _accumulate(counts: typing.Iterable[int]) -> list[int]:
    """The sums of the first 0, 1, 2 ... counts."""
    return list(itertools.accumulate(counts, initial=0))


def may_spend(runs: RetryBudget, now_ms: float, reserve: float = 0.0) -> bool:
    """Whether one more run fits; ``reserve`` is a part kept for other uses."""
    usage = compute_usage(runs, now_ms)
    return usage.runs + 1 <= usage.allowed * (1.0 - reserve)


def _compute_slack(runs: RetryBudget, now_ms: float) -> float:
    """The part of the slack that this entry VM may use."""
    hold_ms = runs.window_ms + MAX_ARRIVAL_LAG_MS
    if runs.vms is None or now_ms - runs.started_ms < hold_ms:
        return 0.0
    return runs.slack / max(1, runs.vms)


def spend(runs: RetryBudget, now_ms: float) -> None:
    """Count a run beyond a request's first."""
    _find_slice(runs, now_ms).extra_runs += 1


def try_to_spend(runs: RetryBudget, now_ms: float) -> bool:
    """Count a run beyond a request's first if it fits."""
    fits = may_spend(runs, now_ms)
    if fits:
        spend(runs, now_ms)
    return fits


def _find_slice(runs: RetryBudget, now_ms: float) -> Slice:
    """Return the current slice; drop those that can no longer count."""
    length_ms = runs.window_ms / SLICES
    oldest_ms = now_ms - (1.0 + REQUEST_WINDOWS[-1]) * runs.window_ms
    while runs.slices and runs.slices[0].start_ms + length_ms < oldest_ms:
        runs.slices.popleft()
    if not runs.slices or now_ms - runs.slices[-1].start_ms >= length_ms:
        runs.slices.append(Slice(now_ms))
    return runs.slices[-1]
