"""Requests that may run once, at endpoints with faults and through peers."""

import random
from unittest import mock

import httpcore
from nose2.tools import params
import trio

from carawayward.decisions import escalation
from carawayward.forwarding import placing
from tests.common import forwarding
from tests.standins import backend

ONCE_STREAM = {
    **forwarding.STREAM,
    "name": "once",
    "pathPrefix": "/once/",
    "resumable": False,
}
# By path prefix, whether a request may run more than once.
PATHS = {"/look/": True, "/log/": False, "/tip/": True, "/once/": False}
CALLS = 60
DEADLINE_MS = "1500"
PLAIN_BEHAVIOURS = (
    backend.answer_normally,
    backend.answer_not_executed,
    backend.fail,
    backend.answer_unmarked_503,
    backend.reset_after_run,
    backend.answer_other_request,
    backend.answer_malformed,
    backend.answer_truncated,
    backend.answer_unsealed,
    backend.stay_silent,
)
STREAM_BEHAVIOURS = (
    *PLAIN_BEHAVIOURS,
    backend.break_after(0),
    backend.break_after(2),
    backend.break_after(1, cut_within_event=True),
    backend.stream_unframed(2, "reset"),
    backend.stream_unframed(1, "within event"),
)


def make_config():
    config = forwarding.make_config()
    shared = config["routes"][2]
    config["routes"].append({**shared, **ONCE_STREAM})
    for route in config["routes"]:
        route["timeoutMs"] = 1_000
        route["maxAttempts"] = 3
    return config


def make_backends(draw):
    made = [backend.Backend(f"desk-{number}") for number in range(3)]
    for number in range(3):
        made.append(
            backend.Backend(
                f"engine-{number}",
                service="engines",
                engine=True,
                confidence={"small": 20.0, "large": 95.0},
            )
        )
    for each in made:
        behaviours = STREAM_BEHAVIOURS if each.engine else PLAIN_BEHAVIOURS

        async def behave(server, exchange, behaviours=behaviours):
            normal = draw.random() < 0.4
            chosen = draw.choice(behaviours)
            await (backend.answer_normally if normal else chosen)(
                server, exchange
            )

        each.always = behave
    return made


async def call(made, draw, number, answers):
    prefix = draw.choice(sorted(PATHS))
    path = f"{prefix}{number}"
    try:
        answer = await made.call(
            "POST",
            path,
            b"prompt",
            carawayward_model="*",
            carawayward_token_count="1000,50",
            carawayward_prefix_hash=f"aa:800,{number:x}:200",
            carawayward_deadline_ms=DEADLINE_MS,
        )
    except httpcore.RemoteProtocolError:
        # An answer that broke off after its head.
        answers[path] = 0
    else:
        answers[path] = answer.status


async def play(seed, relayed):
    """Make calls while engines seem to be behind; return answers and runs."""
    draw = random.Random(seed)
    backends = make_backends(draw)
    answers: dict[str, int] = {}
    runs: dict[str, int] = {}
    async with forwarding.open_forwarding(
        *backends, config=make_config(), daemons=2, separate=True
    ) as made:
        if relayed:
            made.cut_off(0)
        async with trio.open_nursery() as nursery:
            for number in range(CALLS):
                nursery.start_soon(call, made, draw, number, answers)
                await trio.sleep(0.02)
    for each in backends:
        for run in each.runs:
            target = run.request.target
            runs[target] = runs.get(target, 0) + 1
    return answers, runs


@params((1, False), (2, False), (3, True), (4, True))
def test_requests_that_may_not_be_repeated_run_once(seed, relayed):
    """Guards against a second run under load, after any outcome.

    Engines are so far behind that requests begin with the smallest model,
    whose confidence is low, and not so far that none is asked again.
    """
    overload = escalation.Overload(escalation.MAX_OVERLOAD_FOR_LARGEST)
    with mock.patch.object(
        placing.Placer, "_compute_overload", lambda placer, work: overload
    ):
        answers, runs = trio.run(play, seed, relayed)
    assert set(answers.values()) > {200}
    twice = {
        path: count
        for path, count in runs.items()
        if count > 1 and not PATHS[f"/{path.split('/')[1]}/"]
    }
    assert not twice
    untrue = [
        p for p, status in answers.items() if status == 503 and p in runs
    ]
    assert not untrue
    assert any(count > 1 for count in runs.values())
