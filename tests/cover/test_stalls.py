"""Streams that pause are given up only if others may go on with them."""

import math

import trio
import trio.testing

from carawayward.forwarding import stalls

TIMEOUT_S = 1.0


def wait_for_stream(answer_s: float, may_follow_s: float) -> float:
    """Wait for a stream whose next event takes ``answer_s``.

    Another run may follow from ``may_follow_s`` on. Returns when it is given
    up, infinity if it is not.
    """
    watch = stalls.StallWatch()

    async def main() -> float:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch.run)
            began_s = trio.current_time()
            allowed_s = began_s + may_follow_s
            with watch.watch(lambda: trio.current_time() >= allowed_s) as wait:
                wait.due_s = began_s + TIMEOUT_S
                await trio.sleep(answer_s)
            assert not watch.waits
            ended_s = trio.current_time() - began_s
            nursery.cancel_scope.cancel()
        return ended_s if wait.scope.cancelled_caught else math.inf

    clock = trio.testing.MockClock(autojump_threshold=0.0)
    return trio.run(main, clock=clock)


def test_stream_that_pauses_is_given_up_when_its_time_is_over():
    """Guards against callers that wait for an endpoint that hangs."""
    ended_s = wait_for_stream(9.0, may_follow_s=0.0)
    assert TIMEOUT_S <= ended_s <= TIMEOUT_S + stalls.CHECK_INTERVAL_S


def test_stream_that_pauses_is_given_up_as_soon_as_another_run_may_follow():
    """Guards against a time-out that is asked for only once."""
    ended_s = wait_for_stream(9.0, may_follow_s=3.0)
    latest_s = 3.0 + stalls.RECHECK_INTERVAL_S + stalls.CHECK_INTERVAL_S
    assert 3.0 <= ended_s <= latest_s


def test_stream_that_pauses_is_waited_for_if_no_other_run_may_follow():
    """Guards against streams that are closed while their endpoint works."""
    assert wait_for_stream(9.0, may_follow_s=10.0) == math.inf
