"""Tests of endpoints that limit the requests of all entry VMs together."""

import trio

from tests.common import forwarding
from tests.standins import backend

PER_S = 1.0
WINDOW_S = 4.0
# In any window an endpoint may get this factor times its limit, and these
# requests more, from entry VMs that relayed its limit at least this long ago.
OVERSHOOT = 1.5
SLACK = 5.0
NOTICE_S = 0.5
ENTRY_VMS = 3
CALLS_PER_S = 40


def make_desks():
    return [backend.Backend(f"desk-{number}") for number in range(2)]


async def call_all(made, seconds):
    """Call the entry VMs in turn; returns the statuses of all answers."""
    statuses = []

    async def call(daemon):
        answer = await made.call("GET", "/look/", daemon=daemon)
        statuses.append(answer.status)

    async with trio.open_nursery() as nursery:
        for number in range(int(seconds * CALLS_PER_S)):
            nursery.start_soon(call, number % ENTRY_VMS)
            await trio.sleep(1 / CALLS_PER_S)
    return statuses


def count_most_in_window(times_s):
    return max(
        sum(start_s <= each < start_s + WINDOW_S for each in times_s)
        for start_s in times_s
    )


def test_entry_vms_together_keep_to_the_request_limit_of_an_endpoint():
    """An endpoint in need names its limit and gets as many as before."""

    async def main():
        desks = make_desks()
        async with forwarding.open_forwarding(
            *desks, daemons=ENTRY_VMS
        ) as made:
            desks[0].notices["server-limit"] = str(PER_S)
            told_s = trio.current_time() + 3 * NOTICE_S
            await call_all(made, 3 * NOTICE_S)
            statuses = await call_all(made, 2 * WINDOW_S)
        assert statuses == [200] * len(statuses)
        arrived_s = [each for each in desks[0].arrived_s if each > told_s]
        assert len(arrived_s) > PER_S * WINDOW_S / 2
        allowed = OVERSHOOT * PER_S * WINDOW_S + SLACK
        most = count_most_in_window(arrived_s)
        assert most <= allowed, f"{most} requests in {WINDOW_S} s"

    trio.run(main)


def test_request_is_refused_at_once_while_all_endpoints_are_limited():
    """Waiting for an endpoint would take the caller's time for nothing."""

    async def main():
        (desk, _) = make_desks()
        desk.notices["server-limit"] = "0.5"
        async with forwarding.open_forwarding(desk) as made:
            answers: list[forwarding.Answer] = []
            while not answers or answers[-1].status == 200:
                answers.append(await made.call("POST", "/log/"))
            began_s = trio.current_time()
            answer = await made.call("POST", "/log/")
            took_s = trio.current_time() - began_s
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0.0
        assert took_s < NOTICE_S
        assert len(desk.runs) == len(answers) - 1

    trio.run(main)


def test_all_entry_vms_use_an_endpoint_again_once_its_limit_is_lifted():
    """An entry VM that sends nothing gets no response without a limit."""

    async def main():
        desks = make_desks()
        async with forwarding.open_forwarding(
            *desks, daemons=ENTRY_VMS
        ) as made:
            desks[0].notices["server-limit"] = str(PER_S)
            await call_all(made, WINDOW_S)
            desks[0].notices.clear()
            await call_all(made, WINDOW_S / 2)
            await made.wait_for(
                lambda: not any(each.board.limited for each in made.daemons)
            )

    trio.run(main)
