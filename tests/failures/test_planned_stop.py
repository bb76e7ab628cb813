"""A planned stop of an entry VM ends no request without an answer."""

import functools

import trio

from tests.common import forwarding
from tests.common import stop_checks
from tests.common import stopping
from tests.soak import partitioned
from tests.standins import backend

# None of these says that a request has not run.
MAY_HAVE_RUN = (502, 504)
LARGE_BYTES = 4_000_000
SMALL_BUFFER = 16_384
SLOW_BUFFER = 131_072


def make_desk(name="desk-0", **changes):
    return backend.Backend(name, **changes)


def make_engine(name="engine-0", **changes):
    return backend.Backend(name, service="engines", engine=True, **changes)


def test_requests_that_endpoints_never_answer_get_a_reply():
    """They were cancelled at the end of the stop, without any answer."""

    async def main():
        desk = make_desk(always=backend.stay_silent)
        engine = make_engine(always=backend.stay_silent)
        statuses = {
            "/look/1": (502, 503, 504),
            "/log/1": MAY_HAVE_RUN,
            "/tip/1": (502, 503, 504),
            "/say/1": MAY_HAVE_RUN,
        }
        async with stopping.open_vms(desk, engine) as (vm,):
            callers = {
                path: await vm.send("POST", path, b"prompt")
                for path in statuses
            }
            await stop_checks.wait_for_arrivals(vm, len(statuses))
            await stop_checks.check_waiting(vm, callers, statuses)

    trio.run(main)


async def check_connecting(make_address, declined_s, **changes):
    """Stop an entry VM whose requests are declined, then wait to connect."""
    (host, port), sockets = make_address()
    over = trio.Event()
    desk = make_desk(
        always=stop_checks.act_on(over, backend.answer_not_executed)
    )
    try:
        async with stopping.open_vms(desk, **changes) as (vm,):
            callers = {
                path: await vm.send("GET", path)
                for path in ("/log/1", "/log/2")
            }
            await stop_checks.wait_for_arrivals(vm, len(callers))
            for number in (1, 2, 3):
                entry = desk.describe(address=f"{host}:{port}")
                vm.running.store.put("keyed.servers", f"no-{number}", entry)
            vm.signal()
            await vm.sleep_until(declined_s)
            over.set()
            statuses = dict.fromkeys(callers, (503,))
            await stop_checks.check_waiting(vm, callers, statuses, cause=None)
            assert not desk.runs
    finally:
        for each in sockets:
            each.close()


def test_requests_that_wait_for_a_connection_are_refused():
    """They are declined just before the waits end; other connections hang.

    Another attempt is begun, since there is time for the route's target.
    """
    trio.run(
        functools.partial(
            check_connecting,
            partitioned.make_hanging_address,
            stopping.DUE_S - 0.3,
            target_ms=100,
        )
    )


def test_requests_that_are_declined_as_the_waits_end_are_refused():
    """There is no time for another attempt."""
    trio.run(
        check_connecting,
        partitioned.make_hanging_address,
        stopping.DUE_S - 0.02,
    )


def answer_at(vm, after_s):
    """Answer a request at a time of the stop."""

    async def behave(server, exchange):
        await vm.sleep_until(after_s)
        await backend.answer_normally(server, exchange)

    return behave


def test_answers_that_come_as_the_waits_end_are_logged_as_sent():
    """A reply that was cancelled while it was sent was logged as unsent."""

    async def main():
        desks = [make_desk(f"desk-{number}") for number in range(8)]
        async with stopping.open_vms(*desks) as (vm,):
            behaviours = [
                answer_at(vm, stopping.DUE_S + 0.001 * (number - 20))
                for number in range(40)
            ]
            callers = {}
            for desk in desks:
                desk.behaviours = behaviours
            for number in range(len(behaviours)):
                callers[f"call {number}"] = await vm.send("POST", "/log/1")
                await stop_checks.wait_for_arrivals(vm, len(callers))
            statuses = dict.fromkeys(callers, (200, *MAY_HAVE_RUN))
            await stop_checks.check_waiting(vm, callers, statuses, cause=None)

    trio.run(main)


def test_requests_whose_connections_hang_early_in_a_stop_are_refused():
    """There is time for several attempts to connect."""
    trio.run(check_connecting, partitioned.make_hanging_address, 0.5)


def test_requests_whose_connections_are_refused_are_refused():
    """Nothing listens at the addresses of the other endpoints."""
    trio.run(check_connecting, partitioned.make_refusing_address, 1.0)


def test_requests_in_their_second_attempt_get_a_reply():
    """The first ended during the stop: declined, failed, or dropped.

    An endpoint never answers the second one.
    """

    async def main():
        first = trio.Event()
        once = [
            stop_checks.act_on(first, backend.answer_not_executed),
            stop_checks.act_on(first, backend.fail),
        ]
        desks = [
            make_desk(f"desk-{n}", behaviours=once, always=backend.stay_silent)
            for n in (0, 1)
        ]
        unsure = [stop_checks.act_on(first)]
        engines = [
            make_engine(
                f"engine-{n}",
                behaviours=unsure,
                always=backend.stay_silent,
                confidence={"small": 10.0},
            )
            for n in (0, 1)
        ]
        statuses = {
            "/log/1": MAY_HAVE_RUN,
            "/look/1": (500, 502, 503, 504),
            "/tip/1": (502, 503, 504),
        }
        async with stopping.open_vms(*desks, *engines) as (vm,):
            callers = {}
            for path in statuses:
                callers[path] = await vm.send("POST", path, b"prompt")
                await stop_checks.wait_for_arrivals(vm, len(callers))
            vm.signal()
            first.set()
            await stop_checks.wait_for_arrivals(vm, 2 * len(callers))
            await stop_checks.check_waiting(vm, callers, statuses)

    trio.run(main)


RELAYED = {"/look/1": (502, 503, 504), "/log/1": MAY_HAVE_RUN}


async def open_relayed(asking, desk):
    """Have requests wait that an entry VM can only send through a peer."""
    asking.cut_off()
    with trio.fail_after(stopping.START_S):
        while (
            await (await asking.send("GET", "/look/0")).read()
        ).status != 200:
            await trio.sleep(0.05)
    desk.always = backend.stay_silent
    before = desk.arrivals
    callers = {path: await asking.send("POST", path) for path in RELAYED}
    await stop_checks.wait_for_arrivals(asking, before + len(callers))
    return callers


def list_relayed(relaying, callers):
    """How many lines say how a relayed request ended, by path."""
    lines = relaying.list_events("request_relayed")
    return {
        path: sum(line["request"] == caller.request_id for line in lines)
        for path, caller in callers.items()
    }


def test_requests_that_a_peer_relays_get_a_reply_when_their_vm_stops():
    """The peer goes on; what it has sent for them is closed."""

    async def main():
        desk = make_desk()
        async with stopping.open_vms(desk, vms=2) as (asking, relaying):
            callers = await open_relayed(asking, desk)
            await stop_checks.check_waiting(asking, callers, RELAYED)
            await relaying.running.wait_for(
                lambda: set(list_relayed(relaying, callers).values()) == {1}
            )

    trio.run(main)


def test_requests_get_a_reply_when_the_peer_that_relays_them_stops():
    """Their own entry VM goes on."""

    async def main():
        desk = make_desk()
        async with stopping.open_vms(desk, vms=2) as (asking, relaying):
            callers = await open_relayed(asking, desk)
            relaying.signal()
            asking.signalled_s = relaying.signalled_s
            received = await stop_checks.read_all(callers.values())
            report = stop_checks.Report(relaying)
            lines = stop_checks.Report(asking)
            for (path, caller), each in zip(
                callers.items(), received, strict=True
            ):
                await asking.wait_for_ends(caller.request_id)
                lines.check_reply(caller, each, path, RELAYED[path], None)
                report.check(each.after_s < stopping.GRACE_S, f"{path}: late")
            await relaying.end()
            relayed = list_relayed(relaying, callers)
            report.check(set(relayed.values()) == {1}, f"relayed: {relayed}")
            report.problems += lines.problems
            report.ends += lines.ends
            await report.finish()

    trio.run(main)


def test_stop_of_the_peer_that_relays_is_no_crash_of_an_endpoint():
    """Guards against suspicion of sound requests, on all entry VMs.

    Their runs break off with the peer, while their own entry VM, which has
    lost its path and knows no other peer, is refused by the endpoint.
    """

    async def main():
        desk = make_desk()
        async with stopping.open_vms(desk, vms=2) as (asking, relaying):
            callers = await open_relayed(asking, desk)
            relaying.signal()
            await stop_checks.read_all(callers.values())
            for caller in callers.values():
                await asking.wait_for_ends(caller.request_id)
            crashed = asking.list_events("run_crashed")
            assert not crashed, crashed

    trio.run(main)


async def trickle(caller, piece):
    """Send a piece of a body now and then, for ever."""
    while True:
        await caller.send_bytes(piece)
        await trio.sleep(0.05)


CHUNKED = ("transfer-encoding", "chunked")
LENGTH = ("content-length", "100000")
BODIES = {
    "length": (LENGTH, b"x"),
    "chunks": (CHUNKED, b"1\r\nx\r\n"),
}


def test_requests_whose_bodies_never_end_are_refused():
    """Some of their callers still send when the waits end, some do not."""

    async def main():
        desk = make_desk()
        async with (
            stopping.open_vms(desk) as (vm,),
            trio.open_nursery() as nursery,
        ):
            callers = {}
            for place, (framing, piece) in BODIES.items():
                for sends in (True, False):
                    caller = await vm.open_caller()
                    head = caller.make_head("POST", "/log/1", framing)
                    await caller.send_bytes(head + piece)
                    callers[f"{place}, sending: {sends}"] = caller
                    if sends:
                        nursery.start_soon(trickle, caller, piece)
            await trio.sleep(0.2)
            await stop_checks.check_waiting(
                vm, callers, dict.fromkeys(callers, (503,))
            )
            assert not desk.runs
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_requests_whose_bodies_end_during_a_stop_are_answered():
    """One is still served, the other comes when new ones are refused."""

    async def main():
        hold = trio.Event()
        desk = make_desk(behaviours=[stop_checks.act_on(hold)])
        async with stopping.open_vms(desk) as (vm,):
            callers = {"held": await vm.send("POST", "/log/0")}
            await stop_checks.wait_for_arrivals(vm, 1)
            for place in ("served", "refused"):
                caller = callers[place] = await vm.open_caller()
                head = caller.make_head("POST", "/log/1", CHUNKED)
                await caller.send_bytes(head)
            vm.signal()
            await vm.sleep_until(0.3)
            await callers["served"].send_bytes(b"1\r\nx\r\n0\r\n\r\n")
            await vm.sleep_until(stopping.REFUSING_S + 0.2)
            await callers["refused"].send_bytes(b"1\r\nx\r\n0\r\n\r\n")
            hold.set()
            statuses = {"held": (200,), "served": (200,), "refused": (503,)}
            await stop_checks.check_waiting(vm, callers, statuses, cause=None)
            assert len(desk.runs) == 2

    trio.run(main)


async def answer_large(server, exchange):
    """Answer with a body that no buffer holds."""
    server.begin(exchange)
    await exchange.answer(200, server.seal(exchange), b"x" * LARGE_BYTES)


async def stream_large(server, exchange):
    """Stream large events as fast as they are taken."""
    server.begin(exchange)
    headers = {**server.seal(exchange), "content-type": "text/event-stream"}
    await exchange.begin_stream(headers)
    for number in range(1, 1_000):
        event = b"id: %d\ndata: %s\n\n" % (number, b"x" * 60_000)
        await exchange.send_chunk(event)


def test_answers_that_are_read_slowly_are_sent_whole():
    """A stop waits for callers that read, though the endpoint has ended."""

    async def main():
        desk = make_desk(always=answer_large)
        async with stopping.open_vms(desk) as (vm,):
            caller = await vm.open_caller(receive_buffer=SLOW_BUFFER)
            await caller.send("GET", "/look/1")
            await stop_checks.wait_for_arrivals(vm, 1)
            vm.signal()
            received = await caller.read(most=SLOW_BUFFER, pause_s=0.03)
            report = stop_checks.Report(vm)
            await vm.end()
            report.check_reply(caller, received, "slow", (200,), "delivered")
            report.check(len(received.body) == LARGE_BYTES, "body incomplete")
            await report.finish()

    trio.run(main)


def test_callers_that_read_nothing_do_not_hold_up_a_stop():
    """What they have is unfinished, and the log says so.

    A write to them is not cancelled; the process was killed instead.
    """

    async def main():
        desk = make_desk(always=answer_large)
        engine = make_engine(always=stream_large, confidence={"small": 90.0})
        async with stopping.open_vms(desk, engine) as (vm,):
            callers = {}
            for path in ("/look/1", "/log/1", "/tip/1"):
                caller = await vm.open_caller(receive_buffer=SMALL_BUFFER)
                await caller.send("POST", path)
                callers[path] = caller
            await stop_checks.wait_for_arrivals(vm, len(callers))
            await trio.sleep(0.5)
            vm.signal()
            await vm.end()
            report = stop_checks.Report(vm)
            for path, caller in callers.items():
                report.check_cut(caller, await caller.read(), path)
            await report.finish()

    trio.run(main)


def test_stream_that_would_outlast_a_stop_ends_unfinished():
    """Its caller can resume it elsewhere, and must not take it for whole."""

    async def main():
        engine = make_engine(
            events=100_000, pause_ms=20.0, confidence={"small": 90.0}
        )
        async with stopping.open_vms(engine) as (vm,):
            caller = await vm.send("POST", "/tip/1", b"prompt")
            await stop_checks.wait_for_arrivals(vm, 1)
            vm.signal()
            received = await caller.read()
            await vm.end()
            report = stop_checks.Report(vm)
            report.check_cut(caller, received, "stream")
            numbers = forwarding.read_numbers(received.body)
            report.check(bool(numbers), "no events")
            report.check(
                numbers == list(range(1, len(numbers) + 1)), "events missing"
            )
            report.check(received.after_s > stopping.REFUSING_S, "too early")
            await report.finish()

    trio.run(main)


async def open_kept(vm, count):
    """Connections on which a request has been answered."""
    callers = [await vm.open_caller() for _ in range(count)]
    for caller in callers:
        await caller.send("GET", "/look/0")
        assert (await caller.read()).status == 200
    return callers


async def has_ended(caller):
    """Whether its connection has been closed, with nothing sent on it."""
    with trio.move_on_after(0.01):
        assert not await caller.stream.receive_some()
        return True
    return False


async def send_at(caller, after_s):
    await caller.vm.sleep_until(after_s)
    await caller.send("GET", "/look/1")
    return await caller.read()


async def check_kept(times_s, holds, opened_s=None):
    """Send requests on kept connections at times of a stop.

    With ``holds`` another request is open until the waits end. A request is
    answered, or its connection is closed with the request unread. Those after
    ``opened_s`` are sent on new connections.
    """
    desk = make_desk()
    async with stopping.open_vms(desk) as (vm,):
        callers = await open_kept(vm, len(times_s))
        if holds:
            desk.behaviours = [backend.stay_silent]
            holder = await vm.send("GET", "/look/2")
            await stop_checks.wait_for_arrivals(vm, len(callers) + 1)
            assert holder.request_id
        vm.signal()
        received = [stopping.Received() for _ in callers]

        async def send(number):
            if opened_s is not None and times_s[number] > opened_s:
                await vm.sleep_until(times_s[number])
                callers[number] = await vm.open_caller()
            received[number] = await send_at(callers[number], times_s[number])

        async with trio.open_nursery() as nursery:
            for number in range(len(callers)):
                nursery.start_soon(send, number)
        await vm.end()
        report = stop_checks.Report(vm)
        report.record_steps()
        run = {r.request.headers[backend.ATTEMPT_ID_HEADER] for r in desk.runs}
        for caller, each, after_s in zip(
            callers, received, times_s, strict=True
        ):
            place = f"sent at {after_s:.2f} s"
            if each.complete:
                expected = 200 if caller.request_id in run else 503
                report.check_reply(caller, each, place, (expected,), None)
                continue
            lines = vm.list_ends(caller.request_id)
            report.check(not each.status, f"{place}: {each}")
            report.check(not lines, f"{place}: logged {lines}, not answered")
            report.check(caller.request_id not in run, f"{place}: ran")
        return report, received


def test_requests_are_served_on_kept_connections_then_refused_on_new():
    """New ones are served at first, later refused, never left unanswered."""

    async def main():
        times_s = [0.3, stopping.REFUSING_S + 0.2]
        report, received = await check_kept(times_s, True, stopping.REFUSING_S)
        statuses = [each.status for each in received]
        report.check(statuses == [200, 503], f"statuses: {statuses}")
        for each in received:
            closes = each.headers.get("connection") == "close"
            report.check(closes, f"{each}: connection is kept")
        await report.finish()

    trio.run(main)


def test_idle_connections_are_closed_once_callers_have_been_moved():
    """Callers kept them, and were refused instead of served elsewhere."""

    async def main():
        engine = make_engine(events=3, pause_ms=1_000.0)
        async with stopping.open_vms(make_desk(), engine) as (vm,):
            (idle,) = await open_kept(vm, 1)
            streaming = await vm.send("POST", "/tip/1", b"prompt")
            await stop_checks.wait_for_arrivals(vm, 2)
            vm.signal()
            await vm.sleep_until(stopping.REFUSING_S - 0.1)
            assert not await has_ended(idle)
            await vm.sleep_until(stopping.REFUSING_S + 0.3)
            assert await has_ended(idle)
            answer = await streaming.read()
            assert answer.complete and "connection" not in answer.headers
            await trio.sleep(0.3)
            assert await has_ended(streaming)
            await stop_checks.Report(vm).finish()

    trio.run(main)


def test_requests_that_come_as_the_listeners_close_are_answered_or_unread():
    """With and without another request that is still open then."""

    async def main():
        for holds in (True, False):
            closed_s = stopping.LEFT_S if holds else stopping.REFUSING_S
            times_s = [closed_s - 0.1 + 0.01 * n for n in range(50)]
            report, _ = await check_kept(times_s, holds)
            await report.finish()

    trio.run(main)
