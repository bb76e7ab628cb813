"""A planned stop cuts off no request, or reports what it cut off."""

import concurrent.futures
import json
import signal
import time

import httpcore

from tests.common import deployment
from tests.common import streaming

STOP = {"unready_ms": 600, "deadline_ms": 20_000}


def read_events(running: deployment.Deployment, name: str) -> list[dict]:
    """Return the events that an entry VM has logged."""
    lines = (running.folder / f"{name}.out").read_text().splitlines()
    found = [line[line.index("{") :] for line in lines if '{"event"' in line]
    return [json.loads(line) for line in found]


def send_signal(vm: deployment.EntryProcess) -> None:
    """Send SIGTERM to an entry VM."""
    assert vm.process is not None
    vm.process.send_signal(signal.SIGTERM)


def test_planned_stop_finishes_streams_and_refuses_new_requests():
    """Replacing an entry VM must not truncate answers.

    Eight streams run, some of them read slowly, when the stop begins, and
    the load balancer still sends requests. Answers are truncated if the
    listeners close before the last byte of the last answer; requests fail
    if the port closes before the load balancer has noticed the stop.
    """
    # A new entry VM sends two requests to an engine until it has learned its
    # limit; with four engines all eight run at once.
    plan = streaming.make_plan(engines=4, stop=STOP)
    with deployment.Deployment(plan) as running:
        vm = running.entry_vms[0]
        texts = [f"stop {number} tokens=250" for number in range(8)]
        with (
            concurrent.futures.ThreadPoolExecutor(8) as pool,
            httpcore.ConnectionPool() as keep_alive,
        ):
            url = f"http://{vm.callers}/healthz"
            keep_alive.request("GET", url)
            answers = [
                pool.submit(streaming.ask, vm.callers, text, 0.01 * (n % 2))
                for n, text in enumerate(texts)
            ]
            assert streaming.wait_for(
                lambda: streaming.count_states(running, "running") == 8
            )
            send_signal(vm)
            time.sleep(0.2)
            refusal = deployment.call(
                "POST",
                vm.callers,
                "/v1/chat/completions",
                streaming.make_body("late"),
                streaming.AUTH,
            )
            assert refusal.status == 503
            assert refusal.json()["reason"] == "leaving"
            assert refusal.json()["not_run"] is True
            ready = deployment.call("GET", vm.callers, "/readyz")
            assert ready.status == 503
            last = keep_alive.request("GET", url)
            assert (b"connection", b"close") in [
                (name.lower(), value) for name, value in last.headers
            ]
            for text, answer in zip(texts, answers, strict=True):
                received = answer.result()
                assert received.end is not None, received
                assert received.text == streaming.make_expected(text, 250)
        assert vm.process is not None
        assert vm.process.wait(15) == 0
        event_names = [
            event["name"] for event in read_events(running, vm.name)
        ]
        assert "work_cut" not in event_names and "node_stopped" in event_names


def test_second_signal_ends_the_stop_and_reports_what_was_cut_off():
    """A second signal ends a planned stop early and reports what was cut off.

    A stream that takes minutes is running when the stop begins. An operator
    in a hurry needs a way to stop without waiting for it.
    """
    plan = streaming.make_plan(stop={"unready_ms": 100, "deadline_ms": 90_000})
    with deployment.Deployment(plan) as running:
        vm = running.entry_vms[0]
        with streaming.open_stream(vm.callers, "cut tokens=90000") as response:
            chunks = response.iter_stream()
            next(chunks)
            send_signal(vm)
            time.sleep(0.5)
            send_signal(vm)
            assert vm.process is not None
            assert vm.process.wait(10) == 1
        (cut,) = [
            event
            for event in read_events(running, vm.name)
            if event["name"] == "work_cut"
        ]
        assert cut["cause"] == "second signal"
        assert cut["running"] == 1 and cut["open"] == 1


def test_deadline_ends_a_stop_while_a_caller_reads_no_data():
    """A caller that stops reading must not prevent a planned stop.

    The caller has opened a long stream and reads no more, so the last byte
    of its answer can never be written. The wait for it ends at the deadline.
    """
    plan = streaming.make_plan(stop={"unready_ms": 100, "deadline_ms": 2_000})
    with deployment.Deployment(plan) as running:
        vm = running.entry_vms[0]
        for name in running.pools["matchers"]:
            running.switch(name, token_ms=0)
        text = "stuck tokens=200000"
        with streaming.open_stream(vm.callers, text) as response:
            chunks = response.iter_stream()
            next(chunks)
            time.sleep(2.0)
            send_signal(vm)
            assert vm.process is not None
            assert vm.process.wait(15) == 1
        (cut,) = [
            event
            for event in read_events(running, vm.name)
            if event["name"] == "work_cut"
        ]
        assert cut["cause"] == "deadline" and cut["open"] == 1
