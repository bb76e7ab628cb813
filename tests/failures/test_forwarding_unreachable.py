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
