"""How long an endpoint is waited for before another one is asked."""

import attrs

from carawayward.forwarding import attempt_timeouts
from carawayward.forwarding import table

DIGEST = table.Route(
    name="digest",
    host="archive.example",
    path_prefix="/digest/",
    kind=table.RouteKind.STREAM,
    targets=(table.Target("engines"),),
    timeout_ms=25_000.0,
    target_ms=2_000.0,
    resumable=True,
)


def test_silent_engine_is_given_up_while_another_has_time():
    """An engine took a prompt and never answers; others are idle."""
    wait_ms = attempt_timeouts.compute_attempt_timeout_ms(
        DIGEST, 25_000.0, 300.0
    )
    assert wait_ms < 25_000.0 - DIGEST.target_ms


def test_engines_that_are_behind_are_waited_for():
    """All engines take seven seconds; a second one would too."""
    wait_ms = attempt_timeouts.compute_attempt_timeout_ms(
        DIGEST, 25_000.0, 7_000.0
    )
    assert wait_ms == attempt_timeouts.FOREVER_MS


def test_what_may_run_once_is_waited_for():
    """A transfer's server is slow; another must not run it too."""
    once = attrs.evolve(DIGEST, kind=table.RouteKind.ONCE)
    wait_ms = attempt_timeouts.compute_attempt_timeout_ms(once, 1_500.0, 0.0)
    assert wait_ms == attempt_timeouts.FOREVER_MS
    torn = attrs.evolve(DIGEST, resumable=False)
    wait_ms = attempt_timeouts.compute_attempt_timeout_ms(
        torn, 25_000.0, 300.0
    )
    assert wait_ms == attempt_timeouts.FOREVER_MS


def test_dead_connection_ends_before_the_wait_for_a_first_text():
    """An engine loses its power; without probes its digests hang for 15 s."""
    silence_ms = attempt_timeouts.find_silence_ms(DIGEST)
    assert silence_ms is not None
    assert silence_ms < attempt_timeouts.compute_attempt_timeout_ms(
        DIGEST, 25_000.0, 300.0
    )
    lookup = attrs.evolve(DIGEST, kind=table.RouteKind.IDEMPOTENT)
    assert attempt_timeouts.find_silence_ms(lookup) is None
