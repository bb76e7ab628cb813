"""When to send a request again, and when to send it twice.

Prevents retry storms when an endpoint or a failure domain fails many requests
at once. A retry count per request multiplies the load by that count just when
there is least capacity; a budget filled by successes shrinks as they do.
"""

import attrs

# Retries may add a tenth to the load of the successes, which covers one
# failing endpoint among ten.
RETRY_SHARE = 0.1
# Hedging is for the slowest few percent of requests.
HEDGE_SHARE = 0.05
# Cap on saved tokens, so that a long good period does not pay for a storm, and
# the refill over time, so that an idle system can retry. Half of the cap is
# available at the start.
MAX_TOKENS = 20.0
REFILL_PER_MS = 1.0 / 1_000.0
# A second run is worth its slot only when the first is slower than nearly all
# others; until a time is learned, nothing is hedged.
HEDGE_FACTOR = 3.0
MIN_HEDGE_DELAY_MS = 50.0
EWMA_GAIN = 0.1


@attrs.define
class Budget:
    """Tokens that successes add and second runs use up."""

    share: float = RETRY_SHARE
    tokens: float = MAX_TOKENS / 2
    refilled_ms: float = 0.0


@attrs.define
class TtftEstimate:
    """Estimated time to first token: a slow mean of the upper range."""

    high_ms: float | None = None


def record_success(budget: Budget) -> None:
    """Add a share of a token."""
    budget.tokens = min(MAX_TOKENS, budget.tokens + budget.share)


def spend(budget: Budget, now_ms: float) -> bool:
    """Take a token for a second run; return ``False`` if there is none."""
    elapsed = max(0.0, now_ms - budget.refilled_ms)
    budget.refilled_ms = now_ms
    budget.tokens = min(MAX_TOKENS, budget.tokens + elapsed * REFILL_PER_MS)
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True


def may_retry(sent: bool, repeatable: bool, reached_caller: bool) -> bool:
    """Whether another run is harmless, regardless of the budget.

    Nothing that reached the caller may be taken back, and a call that is not
    repeatable must not be sent again once a byte of it has been sent.
    """
    return not reached_caller and (repeatable or not sent)


def record_ttft(times: TtftEstimate, took_ms: float) -> None:
    """Update the estimate, which rises fast and falls slowly."""
    if times.high_ms is None:
        times.high_ms = took_ms
        return
    gain = EWMA_GAIN if took_ms > times.high_ms else EWMA_GAIN / 10
    times.high_ms += gain * (took_ms - times.high_ms)


def compute_hedge_delay(times: TtftEstimate) -> float | None:
    """Time without a first token after which a second run is worth it, in ms.

    Without hedging, requests on one hung or very slow endpoint among healthy
    ones would wait for the silence time-out of many seconds.
    """
    if times.high_ms is None:
        return None
    return max(MIN_HEDGE_DELAY_MS, HEDGE_FACTOR * times.high_ms)
