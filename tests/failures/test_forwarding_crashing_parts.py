"""Tests of parts of prompts that crash the endpoints that answer them."""

import trio

from carawayward.decisions import prompt_crashes
from tests.common import forwarding
from tests.standins import backend

BAD = "bad0"
# Reports of a crash reach the other entry VMs within this time.
REPORT_S = 1.0


async def crash_on_part(engine, exchange):
    """Crash when the answer to a prompt with the part begins."""
    prompt = exchange.request.headers["carawayward-prefix-hash"]
    if f"{BAD}:" in prompt:
        headers = engine.seal(exchange)
        await exchange.begin_stream(headers)
        await backend.crash(engine, exchange)
    await backend.answer_normally(engine, exchange)


def make_engines(count):
    engines = [
        backend.Backend(f"engine-{n}", service="engines", engine=True)
        for n in range(count)
    ]
    for each in engines:
        each.always = crash_on_part
    return engines


def count_crashes(engines):
    return sum(run.ended == "crashed" for e in engines for run in e.runs)


async def send(made, number, part, daemon=0):
    """Send a request that is like no other; ``part`` is in its prompt."""
    prompt = f"aa:800,{part}:50,bb:60,{number:x}:200"
    return await made.call(
        "POST",
        f"/tip/{number}",
        b"%d" % number,
        daemon,
        carawayward_model="*",
        carawayward_token_count="1110,50",
        carawayward_prefix_hash=prompt,
    )


async def send_until_refused(made, first, daemons):
    """Send requests with the part until all entry VMs refuse them."""
    for number in range(first, first + 10):
        answers = [
            await send(made, 100 * number + each, BAD, each)
            for each in daemons
        ]
        if {each.status for each in answers} == {503}:
            return answers
    raise AssertionError("requests with the part are not refused")


def test_part_of_prompts_that_crashes_endpoints_is_refused_by_all_entry_vms():
    """Its requests come through one entry VM after the other."""

    async def main():
        engines = make_engines(12)
        async with forwarding.open_forwarding(*engines, daemons=3) as made:
            for number in range(2):
                await send(made, number, BAD)
            await trio.sleep(REPORT_S)
            answers = await send_until_refused(made, 1, (0, 1, 2))
            for answer in answers:
                assert float(answer.headers["retry-after"]) > 1.0
            crashes = count_crashes(engines)
            assert crashes <= 8
            for daemon in range(3):
                for number in range(3):
                    answer = await send(made, 5_000 + number, BAD, daemon)
                    assert answer.status == 503
                    answer = await send(made, 6_000 + number, "ca", daemon)
                    assert answer.status == 200
            assert count_crashes(engines) == crashes

    trio.run(main)


def test_sound_requests_without_an_answer_before_are_served_beside_the_part():
    """Only those with all other parts of the prompts come beside it."""

    async def main():
        engines = make_engines(12)
        async with forwarding.open_forwarding(*engines, daemons=2) as made:
            for number in range(2):
                await send(made, number, BAD)
            await send_until_refused(made, 1, (0, 1))
            for daemon in range(2):
                prompt = f"aa:800,bb:60,{daemon:x}:200"
                answer = await made.request_stream(
                    daemon, carawayward_prefix_hash=prompt
                )
                assert answer.status == 200

    trio.run(main)


def test_refused_part_stays_refused_after_a_restart_of_all_entry_vms():
    """None of the new processes has seen it crash an endpoint."""

    async def main():
        engines = make_engines(12)
        async with forwarding.open_forwarding(
            *engines, daemons=2, grace_ms=700.0
        ) as made:
            for number in range(2):
                await send(made, number, BAD)
            await send_until_refused(made, 1, (0, 1))
            crashes = count_crashes(engines)
            await trio.sleep(REPORT_S)
            for stop in made.stops:
                stop.set()
            await trio.sleep(REPORT_S)
            await made.start_daemon_unready()
            await made.wait_for(
                lambda: made.daemons[2].board.state.value == "ready"
            )
            assert (await send(made, 9_000, BAD, 2)).status == 503
            assert (await send(made, 9_001, "ca", 2)).status == 200
            assert count_crashes(engines) == crashes

    trio.run(main)


def test_entry_vm_that_starts_without_the_store_refuses_the_part():
    """It learns what is refused from its peers alone."""

    async def main():
        engines = make_engines(12)
        async with forwarding.open_forwarding(*engines, daemons=2) as made:
            for number in range(2):
                await send(made, number, BAD)
            await send_until_refused(made, 1, (0, 1))
            crashes = count_crashes(engines)
            await made.start_daemon()
            parts = made.daemons[2].app.forwarder.suspects.parts
            parts.records = prompt_crashes.PartRecords()
            parts.convicted.clear()
            await trio.sleep(2 * REPORT_S)
            assert (await send(made, 9_000, BAD, 2)).status == 503
            assert count_crashes(engines) == crashes

    trio.run(main)
