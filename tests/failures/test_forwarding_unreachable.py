"""Tests of entry VMs that reach no endpoint while their peers do."""

import trio

from tests.common import forwarding
from tests.standins import backend

DESKS = 3
CALLS = 20


def make_desks():
    return [backend.Backend(f"desk-{number}") for number in range(DESKS)]


def make_engines():
    return [
        backend.Backend(
            f"engine-{number}",
            service="engines",
            engine=True,
            confidence={"small": 90.0, "large": 90.0},
        )
        for number in range(DESKS)
    ]


def count_runs(backends):
    return sum(len(each.runs) for each in backends)


def test_entry_vm_without_endpoints_serves_its_callers():
    """It alone is cut off from all endpoints; its peer reaches them."""

    async def main():
        desks = make_desks()
        async with forwarding.open_forwarding(
            *desks, *make_engines(), daemons=2, separate=True
        ) as made:
            made.cut_off(0)
            for _ in range(CALLS):
                assert (await made.call("GET", "/look/1")).status == 200
                assert (await made.call("POST", "/log/1")).status == 200
                assert (await made.request_stream()).status == 200
            assert count_runs(desks) == 2 * CALLS

    trio.run(main)


def answer_after(delay_s):
    async def behave(server, exchange):
        run = server.begin(exchange)
        await trio.sleep(delay_s)
        await exchange.answer(200, server.seal(exchange), b"done")
        run.ended = "ok"

    return behave


def test_runs_that_a_partition_breaks_off_are_no_crashes():
    """Connections are reset and refused though the endpoints run on."""

    async def main():
        desks = make_desks()
        for desk in desks:
            desk.always = answer_after(0.3)
        async with forwarding.open_forwarding(
            *desks, daemons=2, separate=True
        ) as made:
            statuses = []

            async def call(number):
                answer = await made.call("POST", f"/log/{number}")
                statuses.append(answer.status)

            async with trio.open_nursery() as nursery:
                for number in range(6):
                    nursery.start_soon(call, number)
                await trio.sleep(0.15)
                made.cut_off(0)
            assert statuses == [502] * 6
            for daemon in made.daemons:
                suspects = daemon.app.forwarder.suspects
                assert not suspects.records.crashes
                assert not suspects.crashed_ms

    trio.run(main)
