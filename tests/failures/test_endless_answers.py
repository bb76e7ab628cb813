"""Endpoints and services whose answers never end, in a head or a body."""

import tracemalloc
import typing

import trio

from carawayward import blackboard
from carawayward import errors
from carawayward.gateway import endpoints
from carawayward.gateway import streams
from carawayward import http_client
from carawayward.platform import store as store_client
from tests.common import forwarding
from tests.standins import backend
from tests.standins import raw_http

FILLER = b"x" * 8_192
PAUSE_S = 0.05
# As much as an answer may hold, and what the process needs besides.
MAX_MEMORY_BYTES = 32 * 1_048_576


async def send_endlessly(
    exchange: raw_http.Exchange, head: bytes, pause_s: float = PAUSE_S
) -> None:
    """Send a head and then filler until the other side closes."""
    await exchange.stream.send_all(head)
    while True:
        await exchange.stream.send_all(FILLER)
        await trio.sleep(pause_s)


def make_endless(make_head, pause_s=PAUSE_S):
    """An endpoint's answer that never ends, and when it was closed, in s."""
    closed_s: list[float] = []

    async def answer(server, exchange):
        began_s = trio.current_time()
        run = server.begin(exchange)
        try:
            await send_endlessly(
                exchange, make_head(server, exchange), pause_s
            )
        finally:
            closed_s.append(trio.current_time() - began_s)
            run.ended = "closed"

    return answer, closed_s


def make_sealed_head(server, exchange, **headers):
    names = {name.replace("_", "-"): v for name, v in headers.items()}
    return raw_http.make_head(200, {**server.seal(exchange), **names})


def call_beside(behaviour, path, method="GET"):
    """Call once; one of two desks answers without end the first time."""

    async def main():
        desks = [backend.Backend(f"desk-{number}") for number in range(2)]
        pending = [behaviour]

        async def answer_once(server, exchange):
            if pending:
                await pending.pop()(server, exchange)
            else:
                await backend.answer_normally(server, exchange)

        for desk in desks:
            desk.always = answer_once
        async with forwarding.open_forwarding(*desks) as made:
            began_s = trio.current_time()
            answer = await made.call(method, path)
            return answer, trio.current_time() - began_s

    return trio.run(main)


def test_plain_body_without_end_is_given_up_for_another_endpoint():
    """Guards against a caller held until the route's time, and a 504."""
    answer, seconds = call_beside(
        make_endless(
            lambda server, exchange: make_sealed_head(server, exchange)
        )[0],
        "/look/1",
    )
    assert answer.status == 200
    assert seconds < 1.5


def test_plain_body_that_declares_too_much_is_given_up_at_once():
    """Guards against megabytes that are read before they are refused."""
    behaviour, closed_s = make_endless(
        lambda server, exchange: make_sealed_head(
            server, exchange, content_length="999999999"
        )
    )
    answer, seconds = call_beside(behaviour, "/look/1")
    assert answer.status == 200
    assert seconds < 0.5 and closed_s[0] < 0.5


def test_body_without_end_of_an_unsafe_request_frees_its_slot():
    """Guards against an endpoint that is read from after the route's time."""
    behaviour, closed_s = make_endless(
        lambda server, exchange: make_sealed_head(server, exchange)
    )
    answer, seconds = call_beside(behaviour, "/log/1", "POST")
    assert answer.status in (502, 504)
    assert seconds < 2.6 and closed_s[0] < 2.6


def test_heads_without_end_are_given_up_for_another_endpoint():
    """Guards against a slot held by garbage, lines or interim responses."""
    heads = (
        b"garbage",
        b"HTTP/1.1 200 OK\r\nname: ",
        b"HTTP/1.1 100 Continue\r\n\r\n" * 400,
    )
    for head in heads:
        behaviour, closed_s = make_endless(lambda *_, head=head: head)
        answer, seconds = call_beside(behaviour, "/look/1")
        assert answer.status == 200, head
        assert seconds < 1.5 and closed_s[0] < 1.5, head


def play_stream(filler: bytes):
    """Request a stream of which an engine sends an event, then filler."""

    async def main():
        engines = [
            backend.Backend(f"engine-{number}", "engines", engine=True)
            for number in range(2)
        ]
        pending = [None]
        closed_s = []

        async def begin(server, exchange):
            if not pending:
                await backend.answer_normally(server, exchange)
                return
            pending.pop()
            began_s = trio.current_time()
            run = server.begin(exchange)
            try:
                await exchange.begin_stream(
                    {
                        **server.seal(exchange),
                        "content-type": "text/event-stream",
                        "carawayward-confidence": "95",
                    }
                )
                await exchange.send_chunk(backend.make_event(1))
                while True:
                    await exchange.send_chunk(filler)
                    await trio.sleep(PAUSE_S)
            finally:
                closed_s.append(trio.current_time() - began_s)
                run.ended = "closed"

        for engine in engines:
            engine.always = begin
        async with forwarding.open_forwarding(*engines) as made:
            began_s = trio.current_time()
            answer = await made.request_stream()
            seconds = trio.current_time() - began_s
        return answer, seconds, closed_s

    return trio.run(main)


def test_stream_of_bytes_without_an_event_is_resumed_elsewhere():
    """Guards against filler that counts as a sign of life of the stream."""
    for filler in (b"filler " * 20, b": comment\n\n"):
        answer, seconds, closed_s = play_stream(filler)
        assert forwarding.read_numbers(answer.body) == [1, 2, 3, 4], filler
        assert seconds < 3.5 and closed_s[0] < 3.5, filler


def run_before_endless_server(
    call: typing.Callable, filler: bytes = 100 * FILLER, **headers: str
) -> None:
    """Run a call to a server whose body never ends; it has to fail."""

    async def handle(exchange):
        await exchange.stream.send_all(raw_http.make_head(200, headers))
        while True:
            await exchange.stream.send_all(filler)

    async def main():
        async with trio.open_nursery() as nursery:
            port = await nursery.start(raw_http.serve, handle)
            tracemalloc.start()
            try:
                with trio.fail_after(4.0):
                    await call(f"127.0.0.1:{port}")
            except (errors.EndpointError, errors.PlatformUnavailable):
                _, peak = tracemalloc.get_traced_memory()
                assert peak < MAX_MEMORY_BYTES, peak
            else:
                raise AssertionError("an answer without end was taken")
            finally:
                tracemalloc.stop()
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_report_of_an_endpoint_without_end_takes_little_memory():
    """Guards against memory filled through the callers' API."""

    async def call(address):
        client = endpoints.EndpointClient(
            streams.SilenceLimits(connection_ms=1_000, engine_ms=1_000), 3_000
        )
        endpoint = blackboard.Endpoint(
            name="desk-1", pool="desk", failure_domain="north", address=address
        )
        await client.fetch_report(endpoint)

    run_before_endless_server(call)


def test_answer_of_a_platform_service_without_end_takes_little_memory():
    """Guards against memory filled by a service of the platform."""

    async def call(address):
        client = http_client.PlatformClient("log", f"http://{address}")
        await client.call("GET", "/records", timeout_ms=3_000)

    run_before_endless_server(call)


def test_answer_of_the_store_without_end_takes_little_memory():
    """Guards against memory filled by the store."""

    async def call(address):
        await store_client.Store(address).call("GET", "/api/log-read")

    run_before_endless_server(call)


def test_answer_of_the_store_in_the_smallest_chunks_is_given_up():
    """Guards against a topic that is not followed while such an answer lasts.

    Its bytes come steadily, and it takes long until they are too many.
    """

    async def call(address):
        await store_client.Store(address).call("GET", "/api/log-read")

    run_before_endless_server(
        call, 10_000 * b"1\r\nx\r\n", **{"transfer-encoding": "chunked"}
    )


def test_body_of_short_lines_behind_a_head_is_none_of_it():
    """Guards against a sound answer that is given up for a head too long."""
    events = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 251))

    async def send_at_once(server, exchange):
        run = server.begin(exchange)
        if exchange.request.target.startswith("/tip"):
            headers = {"content-type": "text/event-stream"}
            body = events
        else:
            headers, body = {}, 1_500 * b"1\n"
        headers |= {**server.seal(exchange), "content-length": f"{len(body)}"}
        await exchange.stream.send_all(raw_http.make_head(200, headers) + body)
        run.ended = "ok"

    async def main():
        desk = backend.Backend("desk-0", always=send_at_once)
        engine = backend.Backend(
            "engine-0", service="engines", engine=True, always=send_at_once
        )
        async with forwarding.open_forwarding(desk, engine) as made:
            answer = await made.call("GET", "/look/")
            assert (answer.status, answer.body) == (200, 1_500 * b"1\n")
            stream = await made.request_stream()
            assert (stream.status, stream.body) == (200, events)
        assert len(desk.runs) == len(engine.runs) == 1

    trio.run(main)
