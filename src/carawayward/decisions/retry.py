"""When to send a request again, and when to send it twice.

Load: an endpoint or a domain that fails many requests at once. Harm
prevented: a retry storm. A count per request multiplies the load by that
count just when there is least capacity; a budget fed by successes shrinks
as they do.
"""

import attrs

# Retries may add a tenth to the load of the successes; that covers one
# failing endpoint among ten.
RETRY_SHARE = 0.1
# Hedges are for the slowest few in a hundred.
HEDGE_SHARE = 0.05
# Saved up at most, so that a long good time does not pay for a storm, and
# given at the start and back over time, so that an idle system may retry.
MAX_TOKENS = 20.0
REFILL_PER_MS = 1.0 / 1_000.0
# A second run is worth its slot only when the first is slower than nearly
# all others; before anything is learned nothing is hedged.
HEDGE_FACTOR = 3.0
MIN_HEDGE_DELAY_MS = 50.0
EWMA_GAIN = 0.1


@attrs.define
class Budget:
    """Tokens that successes earn and second runs spend."""

    share: float = RETRY_SHARE
    tokens: float = MAX_TOKENS / 2
    refilled_ms: float = 0.0


@attrs.define
class TtftEstimate:
    """Learned time to the first text: a slow mean of the upper part."""

    high_ms: float | None = None


def record_success(budget: Budget) -> None:
    """Earn a share of a second run."""
    budget.tokens = min(MAX_TOKENS, budget.tokens + budget.share)


def spend(budget: Budget, now_ms: float) -> bool:
    """Take one second run out of the budget if it allows one."""
    elapsed = max(0.0, now_ms - budget.refilled_ms)
    budget.refilled_ms = now_ms
    budget.tokens = min(MAX_TOKENS, budget.tokens + elapsed * REFILL_PER_MS)
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True


def may_retry(sent: bool, repeatable: bool, reached_caller: bool) -> bool:
    """Whether another run could do harm, whatever the budget.

    Nothing that reached the caller may be taken back, and a call that may
    not be repeated must not be sent again once a byte has left.
    """
    return not reached_caller and (repeatable or not sent)


def record_ttft(times: TtftEstimate, took_ms: float) -> None:
    """Learn the time to the first text; rises fast, falls slowly."""
    if times.high_ms is None:
        times.high_ms = took_ms
        return
    gain = EWMA_GAIN if took_ms > times.high_ms else EWMA_GAIN / 10
    times.high_ms += gain * (took_ms - times.high_ms)


def compute_hedge_delay(times: TtftEstimate) -> float | None:
    """After how long without text a second run is worth it, in ms.

    Load: one hung or very slow endpoint among healthy ones. Harm
    prevented: its requests wait for the silence limit of many seconds.
    """
    if times.high_ms is None:
        return None
    return max(MIN_HEDGE_DELAY_MS, HEDGE_FACTOR * times.high_ms)
