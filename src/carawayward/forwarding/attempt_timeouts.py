"""How long to wait for an endpoint before another one is asked."""

from carawayward.forwarding import table

FOREVER_MS = float("inf")
# A repeatable request waits for the head of an answer no longer than so many
# times the route's target before another endpoint is asked.
HEAD_TARGETS = 2.0
# Engines queue: under load the first event takes seconds, and to give it up
# has the whole prompt read again elsewhere, which makes the load worse. So
# only what would otherwise fail is given up, and only while there is time
# left for another engine, with so many times what engines take just now.
STREAM_HEAD_PART = 0.6
HEAD_MARGIN = 1.5
# An engine that has lost its power says nothing more on a connection; the
# kernel's probes find that out after this. The wait for a first text, several
# times as long, would else be the first to end.
SILENCE_MS = 3_000


def compute_attempt_timeout_ms(
    route: table.Route, left_ms: float, predicted_ms: float
) -> float:
    """How long to wait for the head of an answer.

    ``left_ms`` is the caller's time that is left, ``predicted_ms`` what an
    engine is likely to take.
    """
    if not route.repeatable:
        return FOREVER_MS
    if route.kind is table.RouteKind.STREAM:
        return _compute_stream_timeout_ms(route, left_ms, predicted_ms)
    return HEAD_TARGETS * route.target_ms


def _compute_stream_timeout_ms(
    route: table.Route, left_ms: float, predicted_ms: float
) -> float:
    """How long to wait for the first text of a stream.

    Load: engines are so far behind that first tokens take as long as this
    wait. Failure prevented: the prompts are read once more elsewhere, too late
    there as well, and the engines given up are ejected.
    """
    wait_ms = STREAM_HEAD_PART * left_ms
    needed_ms = max(route.target_ms, HEAD_MARGIN * predicted_ms)
    if wait_ms < route.target_ms or left_ms - wait_ms < needed_ms:
        return FOREVER_MS
    return wait_ms


def find_silence_ms(route: table.Route) -> int | None:
    """How long a connection may be dead before the kernel ends it.

    None where an answer is given up sooner than that.
    """
    return SILENCE_MS if route.kind is table.RouteKind.STREAM else None
