"""Requests that crash endpoints, and endpoints that hang.

Tested with real processes.
"""

import concurrent.futures
import time

import attrs

from tests.common import deployment

CRASH_MARK = "crash-me"
SMALL = attrs.evolve(
    deployment.ODUYA,
    without_rollouts=True,
    entry_vms=4,
    pools=(
        deployment.Pool(
            name="matchers", count=6, versions=("sorter-3", "matchmaker-2")
        ),
    ),
)
AUTH = {"Authorization": "Bearer demo-ikeja-families"}
CONVICTED = "convicted"


def ask(vm, text, key="", deadline_ms=20_000, stream=False):
    headers = {**AUTH, "Carawayward-Deadline-Ms": str(deadline_ms)}
    if key:
        headers["Idempotency-Key"] = key
    body = {
        "model": "hard-match",
        "messages": [{"role": "user", "content": text}],
        "stream": stream,
    }
    return deployment.call(
        "POST", vm.callers, "/v1/chat/completions", body, headers
    )


def list_crashed(running):
    return [
        name
        for name in running.pools["matchers"]
        if running.processes[name].poll() is not None
    ]


def enable_crashes(running):
    for name in running.pools["matchers"]:
        running.set_faults(name, crash_mark=CRASH_MARK)


def wait_until_convicted(vm, text):
    """Wait up to 10 s for a conviction, which takes ms to reach peers."""
    deadline = time.monotonic() + 10
    while time.monotonic() < deadline:
        reply = ask(vm, text)
        if reply.json().get("reason") == CONVICTED:
            return reply
        time.sleep(0.1)
    raise AssertionError(f"{vm.name} does not know the conviction")


def test_crashing_request_resent_to_every_entry_vm_crashes_at_most_two():
    """A caller resends a request that crashes every engine that runs it.

    The load balancer passes each resend to another entry VM. Unless entry
    VMs share what they know of crashes, each resend crashes one more
    engine until none is left.
    """
    with deployment.Deployment(SMALL) as running:
        enable_crashes(running)
        text = f"match {CRASH_MARK}"
        first = ask(running.entry_vms[0], text, key="the-first")
        assert first.status == 504
        assert first.json()["not_run"] is False
        for vm in running.entry_vms:
            reply = wait_until_convicted(vm, text)
            assert reply.status == 422
            assert reply.json()["not_run"] is True
        again = ask(running.entry_vms[1], text, key="the-first")
        assert again.json()["not_run"] is False
        assert len(list_crashed(running)) <= 2
        for vm in running.entry_vms:
            assert ask(vm, "match something else").status == 200


def test_crashing_request_sent_to_all_entry_vms_at_once_crashes_two():
    """The same crashing request arrives at all four entry VMs at once.

    All of them run it before any has seen it crash an engine. If each chose
    the engines by itself, each would crash others; the hash ring sends all
    first runs to one engine and all trial runs to another.
    """
    with deployment.Deployment(SMALL) as running:
        enable_crashes(running)
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            replies = list(
                pool.map(
                    lambda vm: ask(vm, f"match {CRASH_MARK}"),
                    running.entry_vms,
                )
            )
        assert all(reply.status != 200 for reply in replies)
        assert len(list_crashed(running)) <= 2
        for vm in running.entry_vms:
            assert (
                wait_until_convicted(vm, f"match {CRASH_MARK}").status == 422
            )


def test_other_requests_on_a_crashed_engine_are_answered_and_cleared():
    """Harmless requests run on an engine that another request crashes.

    Their connections break together with that of the crashing request. They
    are retried as suspects and answered late, and sending the same messages
    again works.
    """
    with deployment.Deployment(SMALL) as running:
        enable_crashes(running)
        texts = [f"match {number}" for number in range(60)]
        vms = running.entry_vms
        with concurrent.futures.ThreadPoolExecutor(61) as pool:
            others = [
                pool.submit(ask, vms[i % 4], text)
                for i, text in enumerate(texts)
            ]
            crashing = pool.submit(ask, vms[0], f"match {CRASH_MARK}")
            replies = [future.result() for future in others]
        assert crashing.result().status != 200
        bad = [reply.json() for reply in replies if reply.status != 200]
        assert bad == []
        assert len(list_crashed(running)) <= 2
        assert ask(vms[1], texts[0]).status == 200


def test_one_hung_engine_delays_few_requests_and_fails_none():
    """One engine of six accepts requests and never answers.

    Its requests would wait for the silence limit of many seconds. Hedged
    runs on other engines answer them, and the hung engine is soon ejected.
    """
    with deployment.Deployment(SMALL) as running:
        vm = running.entry_vms[0]
        for number in range(30):
            assert ask(vm, f"warm {number}").status == 200
        running.set_faults("matchers-0", silent=True)
        took = []
        for number in range(60):
            began = time.monotonic()
            assert ask(vm, f"match {number}").status == 200
            took.append(time.monotonic() - began)
        assert max(took) < 10.0
