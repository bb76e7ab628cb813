"""Tests of requests that crash the endpoints that run them."""

import trio

from tests.common import forwarding
from tests.standins import backend

BAD = b"crashes what runs it"
PATH = "/look/1"
# Reports of a crash reach the other entry VMs within this time.
REPORT_S = 1.0


def make_desks(count, behaviour=None):
    desks = [backend.Backend(f"desk-{number}") for number in range(count)]
    for each in desks:
        each.always = behaviour or backend.crash_on(BAD)
    return desks


def count_crashes(desks):
    return sum(run.ended == "crashed" for d in desks for run in d.runs)


async def send_bad(made, daemon, times):
    """Send the same request several times; return the last answer."""
    for _ in range(times):
        answer = await made.call("POST", PATH, BAD, daemon)
    return answer


def test_request_that_crashes_endpoints_is_refused_by_all_entry_vms():
    """Its caller sends it again, through one entry VM after the other."""

    async def main():
        desks = make_desks(9)
        async with forwarding.open_forwarding(*desks, daemons=3) as made:
            assert (await send_bad(made, 0, 2)).status in (502, 503)
            await trio.sleep(REPORT_S)
            for daemon in (0, 1, 2):
                answer = await send_bad(made, daemon, 2)
                assert answer.status == 503
                assert float(answer.headers["retry-after"]) > 1.0
            assert count_crashes(desks) == 3
            assert (await made.call("POST", PATH, b"good")).status == 200

    trio.run(main)


def test_request_that_crashes_endpoints_behind_proxies_is_refused():
    """Their addresses accept connections while they are down."""

    async def main():
        desks = make_desks(9)
        async with forwarding.open_forwarding(
            *desks, daemons=3, proxied=True
        ) as made:
            assert (await send_bad(made, 0, 2)).status == 502
            crashes = count_crashes(desks)
            assert crashes == 4
            for each in desks:
                if each.runs:
                    made.store.put("keyed.servers", each.name, None)
            await trio.sleep(REPORT_S)
            for daemon in (0, 1, 2):
                assert (await send_bad(made, daemon, 2)).status == 503
            assert count_crashes(desks) == crashes
            assert (await made.call("POST", PATH, b"good")).status == 200

    trio.run(main)


def test_request_that_crashes_endpoints_after_its_attempts_is_refused():
    """Each attempt is given up before its endpoint crashes."""

    async def main():
        desks = make_desks(9, backend.crash_late(1.0))
        async with forwarding.open_forwarding(*desks, daemons=2) as made:
            await send_bad(made, 0, 2)
            crashed = [each for each in desks if each.runs]
            assert len(crashed) == 4
            await trio.sleep(1.0)
            for each in crashed:
                made.store.put("keyed.servers", each.name, None)
            await trio.sleep(REPORT_S)
            for daemon in (0, 1):
                assert (await send_bad(made, daemon, 2)).status == 503
            assert count_crashes(desks) == 4

    trio.run(main)


def test_entry_vm_that_starts_later_refuses_a_request_that_crashes_endpoints():
    """It was restarted, and the request comes to it next."""

    async def main():
        desks = make_desks(9)
        async with forwarding.open_forwarding(*desks, daemons=2) as made:
            await send_bad(made, 0, 2)
            await made.start_daemon_unready()
            await trio.sleep(2 * REPORT_S)
            assert (await send_bad(made, 2, 2)).status == 503
            assert count_crashes(desks) == 3

    trio.run(main)


def test_requests_in_flight_on_crashed_endpoints_are_served_again():
    """Another request crashes three endpoints that run harmless ones."""

    async def main():
        desks = make_desks(6)
        async with forwarding.open_forwarding(*desks, daemons=2) as made:
            answers = []

            async def call(number):
                body = b"harmless %d" % number
                for _ in range(3):
                    answers.append(await made.call("POST", PATH, body))

            async with trio.open_nursery() as nursery:
                for number in range(20):
                    nursery.start_soon(call, number)
                await send_bad(made, 0, 2)
            await trio.sleep(REPORT_S)
            for number in range(20):
                for daemon in (0, 1):
                    body = b"harmless %d" % number
                    answer = await made.call("POST", PATH, body, daemon)
                    assert answer.status == 200

    trio.run(main)


def test_request_whose_connections_are_reset_is_no_suspect():
    """Connections break off, but the endpoints still listen."""

    async def main():
        desks = make_desks(9, backend.reset_after_run)
        async with forwarding.open_forwarding(*desks) as made:
            await send_bad(made, 0, 4)
            for each in desks:
                each.always = None
            assert (await send_bad(made, 0, 1)).status == 200

    trio.run(main)


def test_answer_clears_a_request_that_was_in_flight_at_crashes():
    """A popular request is in flight whenever an endpoint crashes."""

    async def main():
        desks = make_desks(9)
        async with forwarding.open_forwarding(*desks) as made:
            for first in range(0, 8, 2):
                crashes = count_crashes(desks)
                pair = desks[first : first + 2]
                for each in pair:
                    each.always = backend.crash
                while count_crashes(desks) == crashes:
                    await made.call("POST", PATH, b"popular")
                # One that stays armed would add a third crash before the
                # next answer.
                for each in pair:
                    each.always = None
                answer = await made.call("POST", PATH, b"popular")
                assert answer.status == 200
            assert count_crashes(desks) >= 4

    trio.run(main)


def test_refused_request_stays_refused_after_a_restart_of_all_entry_vms():
    """None of the new processes has seen it crash an endpoint."""

    async def main():
        desks = make_desks(9)
        async with forwarding.open_forwarding(
            *desks, daemons=2, grace_ms=700.0
        ) as made:
            await send_bad(made, 0, 2)
            await trio.sleep(REPORT_S)
            for stop in made.stops:
                stop.set()
            await trio.sleep(REPORT_S)
            await made.start_daemon_unready()
            await made.wait_for(
                lambda: made.daemons[2].board.state.value == "ready"
            )
            assert (await send_bad(made, 2, 3)).status == 503
            assert count_crashes(desks) == 3

    trio.run(main)
