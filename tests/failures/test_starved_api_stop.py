"""A planned stop of the callers' API that is short of processor time."""

import trio

from tests.common import deployment
from tests.common import streaming
from tests.failures import test_api_stop_traffic
from tests.failures import test_stop_answers

STOP = test_api_stop_traffic.STOP
CORE_SHARE = 0.08
GAP_S = 0.02
ENGINES = ("matchers-0", "matchers-1")
SERVICE = "swap-desk-0"
LATE_MS = 1_500
# A bill may not become durable in time.
REPLIES = (*test_api_stop_traffic.REPLIES, 502)
# How long a call may wait for what is known when it is sent.
REFUSAL_S = 1.0


def find_begun(running):
    """The keys of the calls that have reached an endpoint."""
    return {
        run["run_id"].partition(".")[0]
        for name in ENGINES
        for run in running.fetch_runs(name)
    } | {run["body"]["text"] for run in running.fetch_runs(SERVICE)}


def list_problems(calls, events, begun):
    """What is wrong with how the calls of a stop ended."""
    lines = {event.get("request") for event in events}
    problems = []
    for key, reply in calls.ended.items():
        place = f"{key} sent {calls.sent_s[key]:+.2f} s"
        if reply is None and key in lines | begun:
            problems.append(f"{place}: read, but not answered")
        if reply is not None and reply.status not in REPLIES:
            problems.append(f"{place}: {reply.status} {reply.content!r}")
        late = calls.sent_s[key] > STOP["unready_ms"] / 1000
        if late and calls.waited_s[key] > REFUSAL_S:
            problems.append(f"{place}: waited {calls.waited_s[key]:.2f} s")
    for event in events:
        if event["name"] == "requests_cut" and "stop" in event:
            problems.append(f"read, but not answered: {event}")
    return problems


def test_starved_api_answers_the_calls_that_it_has_read_and_ends_in_time():
    """It accepted late, cut 0.5 s later and ended after its deadline."""
    plan = streaming.make_plan(stop=STOP)
    with deployment.Deployment(plan, core_share=CORE_SHARE) as running:
        vm = running.entry_vms[0]
        for name in (*ENGINES, SERVICE):
            running.set_faults(name, late_ms=LATE_MS)
        calls = trio.run(
            test_api_stop_traffic.stop_beside_calls, vm, None, (), GAP_S
        )
        events = test_stop_answers.read_events(running, vm.name)
        begun = find_begun(running)
    problems = list_problems(calls, events, begun)
    if calls.took_s >= STOP["deadline_ms"] / 1000:
        problems.append(f"ended {calls.took_s:.2f} s after the signal")
    assert not problems, problems
