"""Tests of forwarded requests to plain servers that misbehave."""

import trio

from tests.common import forwarding
from tests.common import loopback
from tests.standins import backend


def make_desks(count=2):
    return [backend.Backend(f"desk-{number}") for number in range(count)]


def list_runs(desks):
    return [run for desk in desks for run in desk.runs]


def test_request_is_forwarded_unchanged_without_reserved_headers():
    """A caller sends a body and headers, some of them reserved.

    The server gets method, target, body and other headers unchanged, the
    customer's name in place of its key, and no reserved header of the caller.
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


def test_invalid_requests_are_refused_and_reach_no_server():
    """No route, no valid key, no id, or too large: each has its status."""

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
    """A full server declines a request that may run only once.

    It is then certain not to have run, so another server may be tried; the
    caller sees one success.
    """

    async def main():
        desks = make_desks()
        for desk in desks:
            desk.behaviours = [backend.decline]
        async with forwarding.open_forwarding(*desks) as made:
            desks[1].behaviours = []
            for _ in range(4):
                assert (await made.call("POST", "/log/")).status == 200
        assert len(list_runs(desks)) == 4

    trio.run(main)


def test_request_that_all_decline_is_refused_with_retry_after():
    """Both servers are full: 503 says that the request has not run."""

    async def main():
        desks = make_desks()
        for desk in desks:
            desk.always = backend.decline
        async with forwarding.open_forwarding(*desks) as made:
            answer = await made.call("POST", "/log/")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert not list_runs(desks)

    trio.run(main)


def check_unsafe_request_runs_once(behaviour):
    async def main():
        desks = make_desks()
        for desk in desks:
            desk.always = behaviour
        async with forwarding.open_forwarding(*desks) as made:
            answer = await made.call("POST", "/log/")
        # These statuses say that it has not run; the caller would retry.
        assert answer.status not in (200, 408, 421, 429, 503)
        assert len(list_runs(desks)) == 1

    trio.run(main)


def test_unsafe_request_whose_response_is_lost_runs_once():
    """The server runs the request, then its connection is reset.

    A retry would run it twice; a status for "has not run" would make the
    caller retry.
    """
    check_unsafe_request_runs_once(backend.lose_answer)


def test_unsafe_request_with_a_malformed_response_runs_once():
    """The server runs the request and sends bytes that are not HTTP."""
    check_unsafe_request_runs_once(backend.answer_junk)


def test_unsafe_request_with_a_truncated_response_runs_once():
    """The response is shorter than its Content-Length."""
    check_unsafe_request_runs_once(backend.answer_short)


def test_unsafe_request_with_another_requests_response_runs_once():
    """The response has another request's id; it must not be relayed."""
    check_unsafe_request_runs_once(backend.answer_foreign)


def test_unsafe_request_with_an_unsigned_success_runs_once():
    """A success without the server's signature does not come from it."""
    check_unsafe_request_runs_once(backend.answer_unsealed)


def test_unsafe_request_that_failed_with_503_is_not_reported_as_not_run():
    """A server runs the request, then responds with 503 but does not decline.

    If that were relayed, the caller would take it for not run and retry.
    """
    check_unsafe_request_runs_once(backend.fail_as_if_full)


def test_retry_after_differs_between_refused_callers():
    """All servers are full, and many callers are refused at once.

    With the same Retry-After they would all retry at the same moment.
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


def check_safe_request_is_retried(behaviour):
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


def test_safe_request_is_retried_after_each_kind_of_bad_response():
    """A safe request may run twice: a bad response costs one attempt only."""
    for behaviour in (
        backend.lose_answer,
        backend.answer_junk,
        backend.answer_short,
        backend.answer_foreign,
        backend.answer_unsealed,
        backend.fail,
    ):
        check_safe_request_is_retried(behaviour)


def test_safe_request_succeeds_when_only_the_first_response_is_bad():
    """One server resets the connection; the retry at the other succeeds."""

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


def test_bytes_after_a_response_are_discarded():
    """A server sends two responses to one request.

    If the connection were reused, the second one would be taken for the
    response to the next request.
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


def test_response_without_length_ends_with_its_connection():
    """Some servers end a response by closing, which HTTP/1.1 allows."""

    async def main():
        (desk,) = make_desks(1)
        desk.behaviours = [backend.answer_unframed]
        async with forwarding.open_forwarding(desk) as made:
            answer = await made.call("POST", "/log/")
        assert (answer.status, answer.body) == (200, b"all of it")

    trio.run(main)


def test_run_is_cancelled_when_its_caller_disconnects():
    """A caller closes its connection while the server runs its request.

    The server's connection must be closed within half a second, or the
    server goes on with a request that nobody waits for.
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


def test_request_reaches_the_only_reachable_server():
    """A failure domain is partitioned; it can reach one of seven servers.

    Connections to the others are refused at once. If they count towards the
    three attempts, a request is refused though the seventh server is idle; if
    they are not quarantined, each request tries them again.
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
            unreached_attempts = sum(
                count
                for (name, labels), count in counters.items()
                if name == "attempts" and "unreached" in str(labels)
            )
        assert unreached_attempts <= 12
        assert len(desks[0].runs) == 20

    trio.run(main)


def test_server_that_declines_everything_is_not_preferred():
    """One of three servers declines all requests.

    It always looks idle, so without a quarantine nearly every request goes
    there first: 18 of 20 needed a second run, the retry budget was used up,
    and callers were refused with two servers idle.
    """

    async def main():
        desks = make_desks(3)
        desks[0].always = backend.decline
        for desk in desks[1:]:
            desk.always = respond_slowly
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


async def respond_slowly(server, exchange):
    """Respond after a delay, as a busy server does."""
    await trio.sleep(0.05)
    await backend.run_well(server, exchange)


def test_silent_server_ends_in_504_at_the_routes_timeout():
    """A server accepts a request and never responds.

    The route's timeout ends the wait. As the request may have run, the status
    must not say that it has not.
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


def test_request_to_a_reused_address_is_declined():
    """A server has gone and another process has its address.

    The new process responds that it is not the expected instance; the request
    does not run there, and another server of the pool serves it.
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
