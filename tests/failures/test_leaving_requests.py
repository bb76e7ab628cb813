"""What callers get of an entry VM that stops before their requests end."""

import socket
from unittest import mock

from nose2.tools import params
import trio

from carawayward.decisions import planned_stop
from carawayward import events
from tests.common import forwarding
from tests.standins import backend

GRACE_MS = 1_200.0
DUE_MS = planned_stop.StopTimes.from_grace(GRACE_MS).replies_due_ms
LONG_ROUTES = [
    {**route, "timeoutMs": 9_000, "targetLatencyMs": 150}
    for route in forwarding.make_config()["routes"]
]
DEADLINE = "9000"


def make_engine(**changes):
    return backend.Backend("engine-0", "engines", engine=True, **changes)


def play(scenario, *backends, **config):
    """Run a scenario beside one entry VM with a short grace period."""

    async def main():
        async with forwarding.open_forwarding(
            *backends,
            config=forwarding.make_config(**{"routes": LONG_ROUTES} | config),
            grace_ms=GRACE_MS,
        ) as made:
            return await scenario(made)

    return trio.run(main)


def get_stop(made):
    return made.daemon.board.stop_deadline


async def stop_while_calling(made, desk, path):
    """Make a call, stop the entry VM once the endpoint has the request."""
    answers = []

    async def call():
        if path == "/tip/":
            answer = await made.request_stream(
                carawayward_deadline_ms=DEADLINE
            )
        else:
            answer = await made.call(
                "POST", path, carawayward_deadline_ms=DEADLINE
            )
        answers.append(answer)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call)
        await made.wait_for(lambda: desk.arrivals == 1)
        made.stops[0].set()
    return answers[0]


@params("/look/", "/log/", "/tip/")
def test_request_that_waits_at_an_endpoint_is_answered_before_a_stop(path):
    """Guards against a stop that closes connections without a reply."""
    waiting = make_engine() if path == "/tip/" else backend.Backend("desk-0")
    waiting.always = backend.stay_silent

    async def scenario(made):
        return await stop_while_calling(made, waiting, path)

    answer = play(scenario, waiting)
    # It may have run, so the answer must not promise that it has not.
    assert answer.status == 502


def test_request_whose_body_is_still_sent_is_refused_before_a_stop():
    """Guards against a stop that closes connections without a reply."""

    async def scenario(made):
        host, _, port = made.daemon.settings.listen.callers.partition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        lines = "".join(f"{n}: {v}\r\n" for n, v in made.make_headers())
        head = f"POST /log/ HTTP/1.1\r\n{lines}content-length: 9\r\n\r\nhalf"
        await stream.send_all(head.encode())
        await made.wait_for(lambda: made.daemon.board.open_requests == 1)
        made.stops[0].set()
        return await stream.receive_some()

    reply = play(scenario, backend.Backend("desk-0"))
    assert reply.startswith(b"HTTP/1.1 503 ")
    assert b"\r\nretry-after: " in reply


def test_stream_that_would_outlast_a_stop_is_refused_at_once():
    """Guards against answers that are begun and then cut off by a stop."""
    engine = make_engine()

    async def scenario(made):
        model = made.daemon.app.forwarder.fleet.get_latency_model("engines")
        model.held_ms, model.held_seen = DUE_MS, 1_000
        get_stop(made).begin(made.daemon.clock.now_ms(), DUE_MS)
        began = trio.current_time()
        answer = await made.request_stream(carawayward_deadline_ms=DEADLINE)
        return answer, (trio.current_time() - began) * 1000

    answer, took_ms = play(scenario, engine)
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0.0
    assert engine.arrivals == 0
    assert took_ms < DUE_MS


def test_request_without_time_for_its_target_is_refused_at_once():
    """Guards against a run whose outcome is unknown at the end of a stop."""
    desk = backend.Backend("desk-0")

    async def scenario(made):
        get_stop(made).begin(made.daemon.clock.now_ms(), 100.0)
        return await made.call(
            "POST", "/log/", carawayward_deadline_ms=DEADLINE
        )

    answer = play(scenario, desk)
    assert (answer.status, desk.arrivals) == (503, 0)


def test_larger_model_is_not_asked_if_a_stop_would_cut_its_answer():
    """Guards against an answer that is dropped for one that cannot end."""
    engine = make_engine(confidence={"small": 20.0, "large": 95.0})

    async def scenario(made):
        placer = made.daemon.app.forwarder.placer
        may_begin = placer.may_begin

        def begin_stop(work):
            begun = may_begin(work)
            model = placer.fleet.get_latency_model("engines")
            model.held_ms, model.held_seen = DUE_MS, 1_000
            get_stop(made).begin(made.daemon.clock.now_ms(), DUE_MS)
            return begun

        with mock.patch.object(type(placer), "may_begin", wraps=begin_stop):
            return await made.request_stream(carawayward_deadline_ms=DEADLINE)

    answer = play(scenario, engine)
    assert answer.status == 200
    assert len(engine.runs) == 1


def test_stream_that_pauses_is_kept_if_a_stop_would_cut_another_run():
    """Guards against a stream closed unfinished while its engine works."""
    engine = make_engine()
    routes = [{**route, "gapTargetMs": 50} for route in LONG_ROUTES]

    async def scenario(made):
        pause = backend.pause_after(1, 0.3)

        async def stop_and_pause(_, exchange):
            model = made.daemon.app.forwarder.fleet.get_latency_model(
                "engines"
            )
            model.held_ms, model.held_seen = DUE_MS, 1_000
            get_stop(made).begin(made.daemon.clock.now_ms(), DUE_MS)
            await pause(engine, exchange)

        engine.always = stop_and_pause
        return await made.request_stream(carawayward_deadline_ms=DEADLINE)

    answer = play(scenario, engine, routes=routes)
    assert forwarding.read_numbers(answer.body) == [1, 2, 3, 4]
    assert len(engine.runs) == 1


def test_stream_that_breaks_off_in_a_stop_is_resumed():
    """Guards against a stream closed unfinished long before replies are due.

    As a new request, it would be for another entry VM.
    """
    engine = make_engine()

    async def scenario(made):
        break_off = backend.break_after(2)

        async def stop_and_break_off(_, exchange):
            model = made.daemon.app.forwarder.fleet.get_latency_model(
                "engines"
            )
            model.held_ms, model.held_seen = DUE_MS, 1_000
            get_stop(made).begin(made.daemon.clock.now_ms(), DUE_MS)
            await break_off(engine, exchange)

        engine.behaviours = [stop_and_break_off]
        return await made.request_stream(carawayward_deadline_ms=DEADLINE)

    answer = play(scenario, engine)
    assert forwarding.read_numbers(answer.body) == [1, 2, 3, 4]


def test_endpoint_is_given_no_more_time_than_is_left_before_a_stop():
    """Guards against runs that begin after their entry VM has ended."""
    desk = backend.Backend("desk-0")

    async def scenario(made):
        get_stop(made).begin(made.daemon.clock.now_ms(), DUE_MS)
        await made.call("POST", "/log/", carawayward_deadline_ms=DEADLINE)

    play(scenario, desk)
    headers = desk.runs[0].request.headers
    assert 0.0 < float(headers["carawayward-deadline-ms"]) < DUE_MS


def test_request_that_an_endpoint_declines_in_a_stop_is_not_in_doubt():
    """Guards against an unknown outcome where the endpoint has said it."""
    desk = backend.Backend("desk-0")

    async def decline_in_time(_, exchange):
        headers = exchange.request.headers
        await trio.sleep(float(headers["carawayward-deadline-ms"]) / 1000)
        await backend.answer_not_executed(desk, exchange)

    desk.always = decline_in_time

    async def scenario(made):
        get_stop(made).begin(made.daemon.clock.now_ms(), DUE_MS)
        return await made.call(
            "POST", "/log/", carawayward_deadline_ms=DEADLINE
        )

    answer = play(scenario, desk)
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0.0


def test_caller_that_does_not_read_does_not_hold_up_a_stop():
    """Guards against a process that has to be killed, with all it holds."""
    desk = backend.Backend("desk-0")

    async def answer_at_length(_, exchange):
        run = desk.begin(exchange)
        await exchange.answer(200, desk.seal(exchange), bytes(4_000_000))
        run.ended = "ok"

    desk.always = answer_at_length
    ended = []

    def record(event, **fields):
        if event is events.Event.NODE_STOPPED:
            ended.append(trio.current_time())

    async def scenario(made):
        host, _, port = made.daemon.settings.listen.callers.partition(":")
        plain = trio.socket.socket()
        plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        await plain.connect((host, int(port)))
        stream = trio.SocketStream(plain)
        lines = "".join(f"{n}: {v}\r\n" for n, v in made.make_headers())
        await stream.send_all(f"GET /look/ HTTP/1.1\r\n{lines}\r\n".encode())
        await made.wait_for(lambda: [run.ended for run in desk.runs] == ["ok"])
        began = trio.current_time()
        made.stops[0].set()
        with mock.patch.object(events, "log_event", record):
            await made.wait_for(lambda: bool(ended))
        return (ended[0] - began) * 1000

    assert play(scenario, desk) < GRACE_MS
