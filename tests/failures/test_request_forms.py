"""Callers that send bodies in chunks."""

import random

from nose2.tools import params
import trio

from tests.common import forwarding
from tests.standins import backend

MAX_BODY_BYTES = 20_000
TRAILERS = b"x-trailer: 1\r\nhost: other\r\n"


def make_head(path, framing):
    return (
        f"POST {path} HTTP/1.1\r\nHost: {forwarding.HOST}\r\n"
        "Carawayward-Attempt-Id: 1\r\nCarawayward-Deadline-Ms: 4000\r\n"
        f"Carawayward-Key: {forwarding.KEY}\r\n{framing}\r\n\r\n"
    ).encode()


def cut(draw, body, trailers=b""):
    """Frame a body as chunks that end anywhere, some with extensions."""
    framed = []
    while body:
        size = draw.choice((1, 2, 7, 100, len(body)))
        piece, body = body[:size], body[size:]
        extension = draw.choice((b"", b";a=b", b';q="x"'))
        framed.append(b"%x%s\r\n%s\r\n" % (len(piece), extension, piece))
    return b"".join(framed) + b"0\r\n" + trailers + b"\r\n"


async def send(made, data, pause_s=0.0, daemon=0):
    """Send a request, half of it after a pause; return the status."""
    host, _, port = made.daemons[daemon].settings.listen.callers.partition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    async with stream:
        half = len(data) // 2
        await stream.send_all(data[:half])
        await trio.sleep(pause_s)
        await stream.send_all(data[half:])
        with trio.fail_after(forwarding.CALL_S):
            received = await stream.receive_some(1_000)
    return int(received.split(b" ", 2)[1])


def make_config():
    config = forwarding.make_config()
    config["limits"]["maxBodyBytes"] = MAX_BODY_BYTES
    return config


@params((1, False), (2, False), (3, True), (4, True))
def test_body_in_chunks_reaches_the_endpoint_like_one_with_a_length(
    seed, relayed
):
    """Guards against callers that send in chunks and are always refused."""
    draw = random.Random(seed)
    bodies = [
        draw.randbytes(draw.choice((0, 1, 3, 500, 9_000))) for _ in "12345"
    ]

    async def main():
        desk = backend.Backend("desk-0")
        engine = backend.Backend("engine-0", service="engines", engine=True)
        async with forwarding.open_forwarding(
            desk, engine, config=make_config(), daemons=2, separate=True
        ) as made:
            if relayed:
                made.cut_off(0)
            for path in ("/look/1?a=b", "/log/1", "/tip/1"):
                server = engine if path == "/tip/1" else desk
                for body in bodies:
                    server.runs.clear()
                    length = f"Content-Length: {len(body)}"
                    whole = make_head(path, length) + body
                    chunked = make_head(
                        path, "Transfer-Encoding: chunked"
                    ) + cut(draw, body, draw.choice((b"", TRAILERS)))
                    assert await send(made, whole) == 200
                    assert await send(made, chunked, 0.01) == 200
                    first, second = (run.request for run in server.runs)
                    assert first.body == second.body == body
                    assert first.target == second.target == path
                    assert describe(first) == describe(second)

    trio.run(main)


def describe(request):
    """The headers of a request, but for the time that is left."""
    varies = "carawayward-deadline-ms"
    return {n: v for n, v in request.headers.items() if n != varies}


def test_body_in_chunks_that_is_too_long_is_refused():
    """Guards against a body that is kept though no route would take it."""

    async def main():
        desk = backend.Backend("desk-0")
        async with forwarding.open_forwarding(
            desk, config=make_config()
        ) as made:
            head = make_head("/look/", "Transfer-Encoding: chunked")
            body = b"8000\r\n" + b"x" * 0x8000 + b"\r\n"
            assert await send(made, head + body) == 413
            assert not desk.runs

    trio.run(main)


def test_body_whose_chunks_stop_coming_is_given_up():
    """Guards against a caller that occupies a request for ever."""

    async def main():
        desk = backend.Backend("desk-0")
        config = make_config()
        config["limits"]["idleTimeoutMs"] = 300
        async with forwarding.open_forwarding(desk, config=config) as made:
            head = make_head("/look/", "Transfer-Encoding: chunked")
            assert await send(made, head + b"5\r\nab") == 408
            assert not desk.runs

    trio.run(main)


@params("/look/x?", "/look/x?a=b?", "/look/x", "/look/?", "/look/%3f?%20")
def test_target_and_method_reach_the_endpoint_as_they_came(target):
    """Guards against a request that an endpoint takes for another one."""

    async def main():
        desk = backend.Backend("desk-0")
        async with forwarding.open_forwarding(desk) as made:
            for method in ("POST", "post", "Purge"):
                head = make_head(target, "Content-Length: 0")
                data = head.replace(b"POST", method.encode(), 1)
                assert await send(made, data) == 200
                request = desk.runs[-1].request
                assert (request.method, request.target) == (method, target)

    trio.run(main)
