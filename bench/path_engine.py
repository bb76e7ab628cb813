"""A cheap engine stand-in, so that the entry VM dominates the measurement.

It implements only the HTTP that the benchmark needs. The last message of a
request controls the answer: "tokens=N gap_ms=G burst=B" sends N tokens, B
per chunk, with G milliseconds between chunks.
"""

import functools
import json
import re

import fire
import trio

TOKEN = " token"
HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


def make_response(body: dict) -> bytes:
    """Encode a complete response with a JSON body."""
    text = json.dumps(body).encode()
    size = len(text)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (size, text)


def make_chunk(data: bytes) -> bytes:
    """Encode one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def encode_tokens(first: int, count: int) -> bytes:
    """Encode ``count`` tokens as events."""
    return b"".join(
        b'data: {"offset": %d, "text": "%s"}\n\n' % (index, TOKEN.encode())
        for index in range(first, first + count)
    )


async def read_request(
    stream: trio.SocketStream, rest: bytes
) -> tuple[bytes, bytes, bytes] | None:
    """Read a request: its head, its body and the bytes after it.

    ``rest`` has the bytes already received. Returns None at the end.
    """
    while b"\r\n\r\n" not in rest:
        data = await stream.receive_some(65_536)
        if not data:
            return None
        rest += data
    head, _, rest = rest.partition(b"\r\n\r\n")
    found = re.search(rb"(?i)content-length: *(\d+)", head)
    length = int(found.group(1)) if found else 0
    while len(rest) < length:
        rest += await stream.receive_some(65_536)
    return head, rest[:length], rest[length:]


async def run(stream: trio.SocketStream, body: bytes) -> None:
    """Stream one run."""
    text = json.loads(body)["messages"][-1]["content"]
    wanted = dict(re.findall(r"(\w+)=(\d+)", text))
    count, burst = int(wanted["tokens"]), int(wanted.get("burst", 1))
    gap_s = int(wanted.get("gap_ms", 0)) / 1000
    await stream.send_all(HEAD)
    due = trio.current_time()
    for first in range(0, count, burst):
        chunk = encode_tokens(first, min(burst, count - first))
        await stream.send_all(make_chunk(chunk))
        if gap_s:
            due += gap_s
            await trio.sleep_until(due)
    end = {
        "end": True,
        "length": count * len(TOKEN),
        "input_tokens": 1,
        "output_tokens": count,
        "confidence": 0.99,
    }
    last = b"data: %s\n\n" % json.dumps(end).encode()
    await stream.send_all(make_chunk(last) + b"0\r\n\r\n")


async def serve(stream: trio.SocketStream, versions: list[str]) -> None:
    """Serve one connection."""
    rest = b""
    report = {"versions": versions, "load": 0, "leaving": False}
    try:
        while request := await read_request(stream, rest):
            head, body, rest = request
            if head.startswith(b"POST /v1/runs"):
                await run(stream, body)
            else:
                await stream.send_all(make_response(report))
    except trio.BrokenResourceError:
        return
    finally:
        await trio.aclose_forcefully(stream)


def main(port: int, versions: str, **_: object) -> None:
    """Serve on a loopback port; ``versions`` is comma-separated."""
    names = str(versions).split(",")
    handler = functools.partial(serve, versions=names)
    trio.run(
        functools.partial(trio.serve_tcp, handler, port, host="127.0.0.1")
    )


if __name__ == "__main__":
    fire.Fire(main)
