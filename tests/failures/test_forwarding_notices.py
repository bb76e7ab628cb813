"""Tests of what endpoints say of themselves in their responses."""

from unittest import mock

import trio

from carawayward.gateway import connections
from tests.common import forwarding
from tests.standins import backend

DRAIN_MS = 300


def make_desks(count=3):
    return [backend.Backend(f"desk-{number}") for number in range(count)]


async def call_until(made, condition, **headers):
    """Call until ``condition`` holds; returns the last answer."""
    with trio.fail_after(forwarding.START_S):
        while True:
            answer = await made.call("GET", "/look/", **headers)
            if condition():
                return answer


def test_endpoint_that_says_it_leaves_gets_no_requests_while_store_is_down():
    """The registry lists it as ready for as long as the store is down."""

    async def main():
        desks = make_desks()
        async with forwarding.open_forwarding(
            *desks, drain_ms=DRAIN_MS
        ) as made:
            made.store.silent = True
            desks[0].notices["server-leaving"] = "1"
            await call_until(made, lambda: desks[0].runs)
            await trio.sleep(DRAIN_MS / 1000)
            desks[0].runs.clear()
            for _ in range(24):
                assert (await made.call("POST", "/log/")).status == 200
            assert not desks[0].runs

    trio.run(main)


def test_leaving_endpoint_gets_no_requests_when_it_is_listed_as_ready_again():
    """Its entry expired in an outage of the store and was written again."""

    async def main():
        desks = make_desks()
        async with forwarding.open_forwarding(
            *desks, drain_ms=DRAIN_MS
        ) as made:
            desks[0].notices["server-leaving"] = "1"
            await call_until(made, lambda: desks[0].runs)
            made.store.put("keyed.servers", "desk-0", None)
            await made.wait_for(
                lambda: "desk-0" not in made.daemon.board.endpoints
            )
            made.register(desks[0], sequence=2)
            await made.wait_for(
                lambda: "desk-0" in made.daemon.board.endpoints
            )
            desks[0].runs.clear()
            for _ in range(24):
                assert (await made.call("POST", "/log/")).status == 200
            assert not desks[0].runs

    trio.run(main)


def test_endpoint_that_registers_anew_after_leaving_gets_requests_again():
    """A new process under the same name has not said that it leaves."""

    async def main():
        desks = make_desks(2)
        async with forwarding.open_forwarding(
            *desks, drain_ms=DRAIN_MS
        ) as made:
            desks[0].notices["server-leaving"] = "1"
            await call_until(made, lambda: desks[0].runs)
            desks[0].notices.clear()
            made.register(desks[0], born=1_800_000_000_000)
            desks[0].runs.clear()
            await call_until(made, lambda: desks[0].runs)

    trio.run(main)


REST_S = 3.0


async def ask_for_rest(desk, exchange):
    """Decline a request as an overloaded server does."""
    headers = {"carawayward-not-executed": "1", "retry-after": str(REST_S)}
    await exchange.answer(503, headers)


def test_endpoint_that_asks_for_rest_gets_no_requests_from_the_entry_vm():
    """Each request would cost it work, and the caller an attempt."""

    async def main():
        desks = make_desks()
        desks[0].always = ask_for_rest
        async with forwarding.open_forwarding(*desks) as made:
            await call_until(made, lambda: desks[0].arrivals)
            asked_s = trio.current_time()
            while trio.current_time() < asked_s + REST_S - 0.5:
                assert (await made.call("POST", "/log/")).status == 200
            assert desks[0].arrivals == 1
            desks[0].always = None
            await call_until(made, lambda: desks[0].runs)
            assert trio.current_time() >= asked_s + REST_S - 0.1

    trio.run(main)


def test_request_is_refused_at_once_while_all_endpoints_rest():
    """It would be passed from one resting endpoint to the next."""

    async def main():
        desks = make_desks()
        for desk in desks:
            desk.always = ask_for_rest
        async with forwarding.open_forwarding(*desks) as made:
            await call_until(
                made, lambda: all(desk.arrivals for desk in desks)
            )
            for _ in range(6):
                answer = await made.call("POST", "/log/")
                assert answer.status == 503
                assert 0.5 < float(answer.headers["retry-after"]) < 6.0
            assert [desk.arrivals for desk in desks] == [1, 1, 1]

    trio.run(main)


def test_request_goes_elsewhere_if_its_endpoint_rests_before_it_is_sent():
    """The endpoint asks for rest while a connection to it is made."""

    async def main():
        desks = make_desks()
        async with forwarding.open_forwarding(*desks) as made:
            notices = made.daemon.app.forwarder.fleet.notices

            def is_resting(entry):
                return entry.name == "desk-0"

            with mock.patch.object(
                type(notices), "is_resting", staticmethod(is_resting)
            ):
                for _ in range(12):
                    assert (await made.call("POST", "/log/")).status == 200
            assert not desks[0].arrivals
            outcomes = {
                dict(labels).get("outcome")
                for name, labels in made.daemon.app.metrics.counters
                if name == "attempts"
            }
            assert outcomes == {"diverted"}

    trio.run(main)


def test_request_whose_connection_waits_is_not_sent_to_a_resting_endpoint():
    """Another request has been declined with Retry-After meanwhile."""
    connect = connections.EndpointBackend.connect_tcp
    delays_s = [0.0, 0.3]

    async def connect_late(self, *args, **options):
        stream = await connect(self, *args, **options)
        await trio.sleep(delays_s.pop(0))
        return stream

    async def ask_for_rest(desk, exchange):
        await exchange.answer(
            503, {"carawayward-not-executed": "1", "retry-after": "3"}
        )

    async def main():
        desk = backend.Backend("desk-0", always=ask_for_rest)
        async with forwarding.open_forwarding(desk) as made:
            with mock.patch.object(
                connections.EndpointBackend, "connect_tcp", connect_late
            ):
                async with trio.open_nursery() as nursery:
                    for _ in range(2):
                        nursery.start_soon(made.call, "GET", "/look/1")
            assert not delays_s
            assert desk.arrivals == 1

    trio.run(main)


def test_caller_does_not_get_an_endpoints_notices_to_the_router():
    """A proxy behind the caller would take them for the router's own."""

    async def main():
        (desk,) = make_desks(1)
        engine = backend.Backend("engine-0", service="engines", engine=True)
        async with forwarding.open_forwarding(desk, engine) as made:
            for each in (desk, engine):
                each.notices = {"server-limit": "9", "server-leaving": "1"}
            desk.behaviours = [backend.fail]
            answers = [await made.call("POST", "/log/")]
            answers.append(await made.request_stream())
        assert [answer.status for answer in answers] == [500, 200]
        for answer in answers:
            assert "carawayward-server-seal" in answer.headers
            assert not {"server-limit", "server-leaving"} & set(answer.headers)

    trio.run(main)


def test_request_withheld_for_its_key_is_not_taken_for_a_diverted_one():
    """The lease on keys is renewed while the connection is being closed."""

    async def main():
        desks = make_desks()
        async with forwarding.open_forwarding(*desks) as made:
            answers = iter((False,))
            forwarder = made.daemon.app.forwarder
            forwarder.sender.may_send = lambda work: next(answers, True)
            assert (await made.call("POST", "/log/")).status == 503
            assert not any(desk.runs for desk in desks)
            assert (await made.call("POST", "/log/")).status == 200

    trio.run(main)


def test_endpoint_whose_address_another_process_has_gets_no_requests():
    """It crashed and its entry has not expired; the new process rests."""

    async def main():
        desk = backend.Backend("desk-0")
        async with forwarding.open_forwarding(desk) as made:
            desk.name = "desk-1"
            for _ in range(9):
                answer = await made.call("GET", "/look/1")
                assert answer.status == 503
            assert desk.arrivals == 1

    trio.run(main)


def test_endpoint_that_declines_a_request_as_misdirected_gets_others():
    """It does not run the model that a caller has named."""

    async def misdirect(desk, exchange):
        name = {"carawayward-instance-id": desk.name}
        await exchange.answer(421, name)

    async def main():
        desk = backend.Backend("desk-0")
        desk.behaviours = [misdirect]
        async with forwarding.open_forwarding(desk) as made:
            assert (await made.call("GET", "/look/1")).status == 503
            await trio.sleep(0.1)
            assert (await made.call("GET", "/look/1")).status == 200

    trio.run(main)
