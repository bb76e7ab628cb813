"""Tests of the timeouts of an attempt at an endpoint."""

import attrs

from carawayward.forwarding import attempt_timeouts
from carawayward.forwarding import table

STREAM_ROUTE = table.Route(
    name="digest",
    host="archive.example",
    path_prefix="/digest/",
    kind=table.RouteKind.STREAM,
    targets=(table.Target("engines"),),
    timeout_ms=25_000.0,
    target_ms=2_000.0,
    resumable=True,
)


def test_silent_engine_times_out_while_another_can_still_respond():
    """An engine accepts a prompt and never responds; others are idle."""
    wait_ms = attempt_timeouts.compute_attempt_timeout_ms(
        STREAM_ROUTE, 25_000.0, 300.0
    )
    assert wait_ms < 25_000.0 - STREAM_ROUTE.target_ms


def test_no_timeout_when_another_engine_would_be_too_late():
    """All engines need seven seconds; a retry would need them too."""
    wait_ms = attempt_timeouts.compute_attempt_timeout_ms(
        STREAM_ROUTE, 25_000.0, 7_000.0
    )
    assert wait_ms == attempt_timeouts.NO_TIMEOUT_MS


def test_no_timeout_for_requests_that_may_run_only_once():
    """A slow request that is not repeatable must not run elsewhere too."""
    once = attrs.evolve(STREAM_ROUTE, kind=table.RouteKind.ONCE)
    wait_ms = attempt_timeouts.compute_attempt_timeout_ms(once, 1_500.0, 0.0)
    assert wait_ms == attempt_timeouts.NO_TIMEOUT_MS
    not_resumable = attrs.evolve(STREAM_ROUTE, resumable=False)
    wait_ms = attempt_timeouts.compute_attempt_timeout_ms(
        not_resumable, 25_000.0, 300.0
    )
    assert wait_ms == attempt_timeouts.NO_TIMEOUT_MS


def test_dead_connection_ends_before_the_first_token_timeout():
    """An engine loses power; without probes its streams hang for 15 s."""
    silence_timeout_ms = attempt_timeouts.get_silence_timeout_ms(STREAM_ROUTE)
    assert silence_timeout_ms is not None
    assert silence_timeout_ms < attempt_timeouts.compute_attempt_timeout_ms(
        STREAM_ROUTE, 25_000.0, 300.0
    )
    lookup = attrs.evolve(STREAM_ROUTE, kind=table.RouteKind.IDEMPOTENT)
    assert attempt_timeouts.get_silence_timeout_ms(lookup) is None
