"""Forwarded requests of plain services, against servers that misbehave."""

import trio

from tests.common import forwarding
from tests.common import loopback
from tests.standins import backend


def make_desks(count=2):
    return [backend.Backend(f"desk-{number}") for number in range(count)]


def all_runs(desks):
    return [run for desk in desks for run in desk.runs]


def test_request_reaches_its_server_as_it_was_sent():
    """A caller sends a body and headers of its own, some of them forged.

    The server gets method, target, body and harmless headers unchanged, the
    customer's name in place of its key, and nothing that only the system
    may set.
    """

    async def main():
        (desk,) = make_desks(1)
        async with forwarding.open_forwarding(desk) as made:
            answer = await made.call(
                "POST",
                "/log/a%20b?x=1&y",
                b"parcel",
                x_mine="kept",
                carawayward_tenant="forged",
                carawayward_hold="forged",
                kv_from="1.2.3.4:5/x",
            )
        assert answer.status == 200
        assert answer.headers["carawayward-server-seal"] == "desk-0.seal"
        (run,) = desk.runs
        assert run.request.method == "POST"
        assert run.request.target == "/log/a%20b?x=1&y"
        assert run.request.body == b"parcel"
        got = run.request.headers
        assert got["x-mine"] == "kept"
        assert got["carawayward-tenant"] == "ikeja"
        assert got["carawayward-expect-instance"] == "desk-0"
        assert 0 < int(got["carawayward-deadline-ms"]) <= 2000
        assert not {"carawayward-key", "carawayward-hold", "kv-from"} & set(
            got
        )

    trio.run(main)


def test_refusals_of_our_own_say_why_and_reach_no_server():
    """Callers without a route, a key or an id are told so at once."""

    async def main():
        (desk,) = make_desks(1)
        async with forwarding.open_forwarding(desk) as made:
            statuses = [
                (await made.call("GET", "/nowhere/")).status,
                (await made.call("GET", "/look/", host="other")).status,
                (await made.call("GET", "/look/", carawayward_key="x")).status,
                (await made.call("GET", "/look/", carawayward_key="")).status,
                (
                    await made.call("GET", "/look/", carawayward_attempt_id="")
                ).status,
                (await made.call("POST", "/log/", bytes(200_000))).status,
            ]
            anonymous = await made.call("GET", "/open/", carawayward_key="")
        assert statuses == [404, 404, 401, 401, 400, 413]
        assert anonymous.status == 200
        assert len(desk.runs) == 1

    trio.run(main)


def test_declined_request_goes_to_another_server():
    """A full server says that it does not run a request that may run once.

    That is proof enough to ask another one; the caller sees one success.
    """

    async def main():
        desks = make_desks()
        for desk in desks:
            desk.behaviours = [backend.decline]
        async with forwarding.open_forwarding(*desks) as made:
            desks[1].behaviours = []
            for _ in range(4):
                assert (await made.call("POST", "/log/")).status == 200
        assert len(all_runs(desks)) == 4

    trio.run(main)


def test_request_that_all_decline_is_refused_with_a_time_to_come_back():
    """Both servers are full: the request has not run, and 503 says so."""

    async def main():
        desks = make_desks()
        for desk in desks:
            desk.always = backend.decline
        async with forwarding.open_forwarding(*desks) as made:
            answer = await made.call("POST", "/log/")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert not all_runs(desks)

    trio.run(main)


def check_unsafe_is_not_repeated(behaviour):
    async def main():
        desks = make_desks()
        for desk in desks:
            desk.always = behaviour
        async with forwarding.open_forwarding(*desks) as made:
            answer = await made.call("POST", "/log/")
        # Anything that says "not run" would have the caller send it again.
        assert answer.status not in (200, 408, 421, 429, 503)
        assert len(all_runs(desks)) == 1

    trio.run(main)


def test_log_whose_answer_is_lost_runs_once_and_is_not_called_not_run():
    """The server logs the parcel, then its connection is reset.

    A second run would log it twice; "not run" would have the caller do so.
    """
    check_unsafe_is_not_repeated(backend.lose_answer)


def test_log_with_junk_for_an_answer_runs_once():
    """The server runs the request and sends bytes that are no HTTP."""
    check_unsafe_is_not_repeated(backend.answer_junk)


def test_log_with_a_short_answer_runs_once():
    """The answer ends before its announced length."""
    check_unsafe_is_not_repeated(backend.answer_short)


def test_log_with_another_requests_answer_runs_once():
    """The answer names another request; it must not reach this caller."""
    check_unsafe_is_not_repeated(backend.answer_foreign)


def test_log_with_an_unsealed_success_runs_once():
    """A success without the server's mark is not the server's."""
    check_unsafe_is_not_repeated(backend.answer_unsealed)


def test_log_that_failed_with_503_is_not_called_not_run():
    """A server logs the parcel, then answers 503 without its word.

    Passed on, the caller reads "not run" and logs the parcel again.
    """
    check_unsafe_is_not_repeated(backend.fail_as_if_full)


def test_refused_callers_are_told_to_come_back_apart():
    """All servers are full, and many callers are refused at once.

    Told the same time, they would come back together.
    """

    async def main():
        (desk,) = make_desks(1)
        desk.always = backend.decline
        async with forwarding.open_forwarding(desk) as made:
            times = {
                (await made.call("POST", "/log/")).headers["retry-after"]
                for _ in range(12)
            }
        assert len(times) > 6
        assert all(0.7 < float(each) < 1.3 for each in times)

    trio.run(main)


def check_safe_is_asked_again(behaviour):
    async def main():
        desks = make_desks()
        async with forwarding.open_forwarding(*desks) as made:
            for desk in desks:
                desk.behaviours = [behaviour]
            first = desks[0], desks[1]
            answer = await made.call("GET", "/look/")
            assert answer.status in (200, 500, 502)
            statuses = [
                (await made.call("GET", "/look/")).status for _ in range(3)
            ]
        assert 200 in statuses
        assert sum(len(desk.runs) for desk in first) >= 3

    trio.run(main)


def test_lookup_is_asked_again_after_each_kind_of_bad_answer():
    """A lookup may run twice: a spoilt answer costs a try, not the caller."""
    for behaviour in (
        backend.lose_answer,
        backend.answer_junk,
        backend.answer_short,
        backend.answer_foreign,
        backend.answer_unsealed,
        backend.fail,
    ):
        check_safe_is_asked_again(behaviour)


def test_lookup_succeeds_when_only_the_first_answer_is_spoilt():
    """One server resets, the other is well: the caller sees a success."""

    async def main():
        desks = make_desks()
        async with forwarding.open_forwarding(*desks) as made:
            for desk in desks:
                desk.behaviours = [backend.lose_answer]
            await made.call("GET", "/look/")
            answer = await made.call("GET", "/look/")
        assert answer.status == 200
        assert answer.body.startswith(b"done by desk-")

    trio.run(main)


def test_bytes_behind_an_answer_reach_nobody():
    """A server sends two answers to one request.

    The second one lies on the connection when the next request comes; it
    must not be taken for that one's answer.
    """

    async def main():
        (desk,) = make_desks(1)
        desk.behaviours = [backend.answer_twice]
        async with forwarding.open_forwarding(desk) as made:
            first = await made.call("GET", "/look/")
            second = await made.call("GET", "/look/")
        assert first.body == b"first"
        assert second.body == b"done by desk-0"

    trio.run(main)


def test_answer_without_length_is_whole_when_its_connection_ends():
    """Some servers end an answer by closing, which HTTP/1.1 allows."""

    async def main():
        (desk,) = make_desks(1)
        desk.behaviours = [backend.answer_unframed]
        async with forwarding.open_forwarding(desk) as made:
            answer = await made.call("POST", "/log/")
        assert (answer.status, answer.body) == (200, b"all of it")

    trio.run(main)


def test_run_ends_when_its_caller_leaves():
    """A caller closes its connection while the server works.

    The server must see its own connection closed within half a second, or
    it works on for nobody.
    """

    async def main():
        (desk,) = make_desks(1)
        desk.behaviours = [backend.stay_silent]
        async with forwarding.open_forwarding(desk) as made:
            with trio.move_on_after(0.3):
                await made.call("POST", "/log/")
            await made.wait_for(lambda: bool(desk.runs))
            with trio.fail_after(0.5):
                while desk.runs[0].ended != "left":
                    await trio.sleep(0.01)

    trio.run(main)


def test_request_reaches_the_one_server_that_can_be_reached():
    """A zone is cut off; one of its own seven servers is left to it.

    Connections to the others are refused at once. Three of them were tried,
    and the request was refused, though the seventh had nothing to do. And
    each request after it tried the same ones again.
    """

    async def main():
        desks = make_desks(7)
        async with forwarding.open_forwarding(*desks) as made:
            for desk in desks[1:]:
                (port,) = loopback.find_free_ports(1)
                made.register(desk, address=f"127.0.0.1:{port}", sequence=2)
            endpoints = made.daemon.board.endpoints
            await made.wait_for(
                lambda: all(
                    endpoints[desk.name].address != desk.address
                    for desk in desks[1:]
                )
            )
            for _ in range(20):
                answer = await made.call("POST", "/log/")
                assert answer.status == 200
            counters = made.daemon.app.metrics.counters
            tried = sum(
                count
                for (name, labels), count in counters.items()
                if name == "attempts" and "unreached" in str(labels)
            )
        assert tried <= 12
        assert len(desks[0].runs) == 20

    trio.run(main)


def test_server_that_declines_everything_is_not_the_favourite():
    """One of three servers sheds all that it is sent.

    It is always idle, so that nearly every request went there first: 18 of 20
    needed a second run, the extra runs were used up, and callers were refused
    with two servers idle.
    """

    async def main():
        desks = make_desks(3)
        desks[0].always = backend.decline
        for desk in desks[1:]:
            desk.always = answer_slowly
        statuses: list[int] = []
        async with forwarding.open_forwarding(*desks, retry_slack=0) as made:

            async def send():
                answer = await made.call("POST", "/log/")
                statuses.append(answer.status)

            async with trio.open_nursery() as nursery:
                for _ in range(60):
                    nursery.start_soon(send)
                    await trio.sleep(0.02)
        assert statuses == [200] * 60
        assert desks[0].arrivals <= 20

    trio.run(main)


async def answer_slowly(server, exchange):
    """Work for a while, as a busy server does."""
    await trio.sleep(0.05)
    await backend.run_well(server, exchange)


def test_silent_server_costs_the_routes_time_and_no_more():
    """A server takes a request and never answers.

    The route's time limit ends the wait; as it may have run, the answer
    promises nothing.
    """

    async def main():
        (desk,) = make_desks(1)
        desk.behaviours = [backend.stay_silent]
        async with forwarding.open_forwarding(desk) as made:
            began = trio.current_time()
            answer = await made.call("POST", "/log/")
            took_s = trio.current_time() - began
        assert answer.status == 504
        assert took_s < 2.5

    trio.run(main)


def test_reused_address_turns_the_request_away():
    """A server has gone and another service has its address.

    The new process answers that it is not the expected one; nothing runs,
    and another server of the pool takes the request.
    """

    async def main():
        desks = make_desks()
        async with forwarding.open_forwarding(*desks) as made:
            other = backend.Backend("stranger")
            other.port = desks[0].port
            desks[0].name = "someone-else"
            for _ in range(3):
                assert (await made.call("POST", "/log/")).status == 200
        assert not desks[0].runs
        assert len(desks[1].runs) == 3

    trio.run(main)
