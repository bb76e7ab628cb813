"""The load generator of the path benchmark; prints its results as JSON."""

import json
import re
import time

import attrs
import fire
import trio

AUTH = "Bearer demo-ikeja-families"
TASK = "hard-match"
VERSION = "matchmaker-2"


@attrs.define
class Timing:
    """The time to the first token and to the end of one answer."""

    first_ms: float
    whole_ms: float
    tokens: int
    pieces: int


def make_request(direct: bool, text: str, number: int) -> bytes:
    """Encode a request: to an engine if ``direct``, else to an entry VM."""
    messages = [{"role": "user", "content": text}]
    if direct:
        path = "/v1/runs"
        body = {
            "run_id": f"direct-{number}",
            "version": VERSION,
            "messages": messages,
            "max_tokens": 512,
            "stream": True,
        }
    else:
        path = "/v1/chat/completions"
        body = {"model": TASK, "messages": messages, "stream": True}
    data = json.dumps(body)
    return (
        f"POST {path} HTTP/1.1\r\nHost: a\r\nAuthorization: {AUTH}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(data)}\r\n\r\n{data}"
    ).encode()


async def measure_request(stream: trio.SocketStream, request: bytes) -> Timing:
    """Send a request and time its answer up to the end of the body."""
    began = time.perf_counter()
    await stream.send_all(request)
    first = 0.0
    pieces = 0
    tail = b""
    while not tail.endswith(b"0\r\n\r\n"):
        data = await stream.receive_some(262_144)
        if not data:
            raise RuntimeError(f"connection closed in the answer: {tail!r}")
        if not first and (b'"text"' in data or b'"content"' in data):
            first = time.perf_counter()
        pieces += data.count(b"data: ")
        tail = (tail + data)[-2_000:]
    ended = time.perf_counter()
    found = re.search(rb'"(?:completion|output)_tokens": (\d+)', tail)
    if found is None:
        raise RuntimeError(f"answer without a token count: {tail!r}")
    return Timing(
        (first - began) * 1000,
        (ended - began) * 1000,
        int(found.group(1)),
        pieces,
    )


async def connect(address: str) -> trio.SocketStream:
    """Open a connection."""
    host, _, port = address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


async def compare(
    engine: str, entry: str, count: int, gap_ms: float, text: str
) -> dict:
    """Alternate direct and routed requests over persistent connections.

    The first 20 timings of each kind are warm-up and left out.
    """
    streams = {True: await connect(engine), False: await connect(entry)}
    timings: dict[bool, list[Timing]] = {True: [], False: []}
    for number in range(2 * count):
        direct = number % 2 == 0
        request = make_request(direct, text, number)
        timings[direct].append(await measure_request(streams[direct], request))
        await trio.sleep(gap_ms / 1000)
    return {
        kind: [attrs.astuple(timing) for timing in timings[direct][20:]]
        for kind, direct in (("direct", True), ("routed", False))
    }


async def stream_many(entry: str, count: int, repeat: int, text: str) -> dict:
    """Read streams over ``count`` connections, ``repeat`` on each."""
    timings: list[Timing] = []
    began = time.perf_counter()

    async def read(number: int) -> None:
        stream = await connect(entry)
        for turn in range(repeat):
            request = make_request(False, text, number * repeat + turn)
            timings.append(await measure_request(stream, request))
        await stream.aclose()

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(read, number)
            if number % 50 == 49:
                await trio.sleep(0.1)
    return {
        "seconds": time.perf_counter() - began,
        "tokens": sum(timing.tokens for timing in timings),
        "pieces": sum(timing.pieces for timing in timings),
    }


def main(mode: str, **options: object) -> None:
    """Run ``compare`` or ``stream_many`` and print the result."""
    modes = {"compare": compare, "stream_many": stream_many}

    async def run() -> dict:
        return await modes[mode](**options)  # type: ignore[operator]

    print(json.dumps(trio.run(run)))


if __name__ == "__main__":
    fire.Fire(main)
