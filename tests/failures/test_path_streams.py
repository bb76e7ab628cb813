"""Streamed answers are complete, or end with an error."""

import socket
import threading

from tests.common import deployment
from tests.common import streaming

LIMITS = {"link_silence_ms": 400, "engine_silence_ms": 3_000}


def start(entry_vms: int = 1) -> deployment.Deployment:
    """Create a small deployment with short silence limits."""
    return deployment.Deployment(streaming.make_plan(entry_vms, limits=LIMITS))


def switch_engines(running: deployment.Deployment, **faults: object) -> None:
    """Switch faults on all engines."""
    for name in running.pools["matchers"]:
        running.set_faults(name, **faults)


def count_runs(running: deployment.Deployment) -> int:
    """Count the runs that all engines have begun."""
    return sum(len(running.fetch_runs(n)) for n in running.pools["matchers"])


def test_broken_stream_is_resumed_from_the_same_run():
    """A broken engine connection must not cut off an answer.

    The connection between entry VM and engine breaks after 9 tokens; the
    engine still has the run. A caller that has received a part can be given
    only the rest of the same run, so reading it must resume.
    """
    with start() as running:
        switch_engines(running, break_after=9, break_times=1)
        answer = streaming.ask(running.entry_vms[0].callers, "break")
        assert answer.text == streaming.make_expected("break")
        assert answer.end is not None
        assert answer.end["length"] == len(answer.text)
        assert count_runs(running) == 1


def test_stream_on_silent_connection_is_resumed_over_a_new_one():
    """A silent engine connection must not stall an answer.

    After 6 tokens the engine's connection goes silent while new ones work,
    as when a device between the two ends loses track of the connection.
    """
    with start() as running:
        switch_engines(running, silent_after=6, silent_times=1)
        answer = streaming.ask(running.entry_vms[0].callers, "silence")
        assert answer.text == streaming.make_expected("silence")
        assert count_runs(running) == 1


def test_start_lost_on_a_silent_idle_connection_is_sent_again():
    """A start request on a dead idle connection is sent again soon.

    The request goes out on an idle connection that has gone silent, so the
    engine never receives it, and neither end knows that the connection is
    dead. Unless the repeatable request is sent again before the engine
    itself counts as silent, the answer comes after half a minute instead of
    a second.
    """
    with start() as running:
        switch_engines(running, mute_posts=1)
        answer = streaming.ask(running.entry_vms[0].callers, "mute")
        assert answer.text == streaming.make_expected("mute")
        assert count_runs(running) == 1


def test_lost_run_is_reported_as_interrupted_once_text_was_delivered():
    """Half an answer must not look complete.

    The stream breaks and the engine has forgotten the run. Another run
    would give a different text, so the rest of this one is lost; the stream
    must end with an error and without an end marker.
    """
    with start() as running:
        switch_engines(running, break_after=5, forget=True)
        answer = streaming.ask(running.entry_vms[0].callers, "lost")
        assert answer.end is None
        assert answer.error is not None
        assert answer.error["outcome"] == "interrupted"
        assert streaming.make_expected("lost").startswith(answer.text)


def test_run_that_failed_before_any_text_restarts_elsewhere():
    """A run that is lost before its first token is started elsewhere.

    One engine accepts a run and drops it. Nothing has reached the caller,
    so the repeatable request must be retried on the idle engine instead of
    being refused.
    """
    with start() as running:
        running.set_faults("matchers-0", break_after=0, forget=True)
        for number in range(4):
            text = f"anew {number}"
            answer = streaming.ask(running.entry_vms[0].callers, text)
            assert answer.text == streaming.make_expected(text)


def test_vanished_caller_frees_the_engine_streamed_or_not():
    """A caller that disconnects must have its run cancelled.

    Callers close their connections during long answers. An engine continues
    a run that nobody reads unless it is told to stop, which slows down the
    answers of all other callers.
    """
    with start() as running:
        address = running.entry_vms[0].callers
        with streaming.open_stream(address, "gone tokens=4000") as response:
            next(response.iter_stream())
        host, port = address.split(":")
        body = deployment.json.dumps(
            streaming.make_body("gone too tokens=4000", stream=False)
        ).encode()
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: {streaming.AUTH['Authorization']}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        with socket.create_connection((host, int(port))) as raw:
            raw.sendall(head.encode() + body)
            assert streaming.wait_for(lambda: count_runs(running) == 2)
        assert streaming.wait_for(
            lambda: streaming.count_states(running, "cancelled") == 2
        )


def test_slow_reader_slows_the_engine_down():
    """Back pressure from a slow caller must reach the engine.

    A caller opens a long stream and stops reading. Text that is read from
    the engine faster than the caller accepts it has to be buffered, so a
    burst of long answers would exhaust the entry VM's memory.
    """
    with start() as running:
        switch_engines(running, keep_ms=60_000)
        address = running.entry_vms[0].callers
        with streaming.open_stream(address, "slow tokens=400000") as response:
            pieces = response.iter_stream()
            next(pieces)
            token_count = [0]

            def has_stalled() -> bool:
                before, token_count[0] = token_count[0], count_tokens(running)
                return before == token_count[0] > 0

            for name in running.pools["matchers"]:
                running.set_faults(name, token_ms=0)
            assert streaming.wait_for(has_stalled, 30.0)
            assert streaming.count_states(running, "running") == 1
            assert token_count[0] < 400_000
            assert next(pieces)


def count_tokens(running: deployment.Deployment) -> int:
    """Count the tokens generated by all engines, after a pause of 1 s."""
    threading.Event().wait(1.0)
    return sum(
        run["made"]
        for name in running.pools["matchers"]
        for run in deployment.call(
            "GET", running.addresses[name], "/kept"
        ).json()
    )
