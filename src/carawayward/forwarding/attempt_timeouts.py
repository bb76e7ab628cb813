"""How long an attempt waits for an endpoint before another one is tried."""

from carawayward.forwarding import retries
from carawayward.forwarding import table

NO_TIMEOUT_MS = float("inf")
# A repeatable request waits for the head of a response for this many times the
# route's target before another endpoint is tried.
HEAD_TIMEOUT_TARGETS = 2.0
# Engines queue prompts: under load the first event takes seconds, and a retry
# processes the whole prompt again elsewhere, which adds to the load. So an
# attempt times out only after this share of the remaining time, and only if
# the rest is enough for another engine: the predicted time to the first token
# times the margin.
STREAM_HEAD_TIMEOUT_SHARE = 0.6
PREDICTION_MARGIN = 1.5
# The kernel's keep-alive probes find an engine that has lost power after this
# time. Without them its streams would hang until the timeout for the first
# token, which is several times as long.
SILENCE_TIMEOUT_MS = 3_000


def compute_attempt_timeout_ms(
    route: table.Route, left_ms: float, predicted_ms: float
) -> float:
    """How long to wait for the head of a response.

    ``left_ms`` is the time to the caller's deadline, ``predicted_ms`` the
    predicted time to the first token.
    """
    if not retries.may_repeat(route):
        return NO_TIMEOUT_MS
    if route.kind is table.RouteKind.STREAM:
        return _compute_stream_timeout_ms(route, left_ms, predicted_ms)
    return HEAD_TIMEOUT_TARGETS * route.target_ms


def compute_body_timeout_ms(route: table.Route) -> float:
    """How long to wait for a short body after the head of a response."""
    if not retries.may_repeat(route) or route.kind is table.RouteKind.STREAM:
        return NO_TIMEOUT_MS
    return HEAD_TIMEOUT_TARGETS * route.target_ms


def _compute_stream_timeout_ms(
    route: table.Route, left_ms: float, predicted_ms: float
) -> float:
    """How long to wait for the first token of a stream.

    There is no timeout if it would be shorter than the route's target, or if
    the time after it would not be enough for another engine, as when the
    engines' backlog is long. Otherwise the prompts would be processed again
    elsewhere, too late there as well, and the engines that were given up would
    be ejected.
    """
    wait_ms = STREAM_HEAD_TIMEOUT_SHARE * left_ms
    needed_ms = max(route.target_ms, PREDICTION_MARGIN * predicted_ms)
    if wait_ms < route.target_ms or left_ms - wait_ms < needed_ms:
        return NO_TIMEOUT_MS
    return wait_ms


def get_silence_timeout_ms(route: table.Route) -> int | None:
    """How long a connection may be dead before the kernel ends it.

    None for routes without streams: attempts on idempotent ones normally time
    out sooner than that.
    """
    return SILENCE_TIMEOUT_MS if route.kind is table.RouteKind.STREAM else None
