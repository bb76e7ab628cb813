"""Measures what the worst bytes of endpoints, callers and peers cost.

``./build.sh bench worst_bytes`` has an endpoint, a caller or a peer send each
of them as fast as they are read, for some seconds or until the connection is
closed. For each it shows how long the process ran no other task at most, the
processor time, the bytes that were sent, and after how long they ended.
"""

import contextlib
import functools
import pathlib
import socket
import time
import typing

import attrs
import cbor2
import trio

from carawayward import blackboard
from carawayward.gateway import endpoints
from carawayward.gateway import streams
from carawayward.peers import hub
from carawayward.peers import messages
from tests.common import forwarding
from tests.standins import backend as backend_module
from tests.standins import flood

SECONDS = 4.0
TICK_S = 0.001
MAX_BODY_BYTES = 8_000_000
RESULTS = pathlib.Path("bench/results/worst_bytes.md")

STREAM_HEAD = f"HTTP/1.1 200 X\r\n{flood.SEAL_HEADER}".encode()
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


# By name: what an endpoint sends after its head, over and over.
STREAMS = {
    "newlines": flood.repeat(b"\n"),
    "carriage returns": flood.repeat(b"\r"),
    "comments": flood.repeat(b":\n\n"),
    "empty fields": flood.repeat(b"x\n\n"),
    "one line": flood.repeat(b"x"),
    "one event of many lines": flood.repeat(b"data:\n"),
    "zero bytes": flood.repeat(b"\x00"),
}
CHUNKED_STREAMS = {
    "newlines, chunks of 1": flood.cut_into_chunks(
        flood.repeat(b"\n")[:65_536], 1
    ),
    "comments, chunks of 3": flood.cut_into_chunks(
        flood.repeat(b":\n\n")[:65_536], 3
    ),
    "one line, chunks of 1": flood.cut_into_chunks(
        flood.repeat(b"x")[:65_536], 1
    ),
    "one line, chunks of 16": flood.cut_into_chunks(
        flood.repeat(b"x")[:262_144], 16
    ),
}
# Sent in place of a head.
HEADS = {
    "informational heads": flood.repeat(b"HTTP/1.1 103 X\r\n\r\n"),
    "a head of short lines": b"HTTP/1.1 200 X\r\n" + flood.repeat(b"a:\r\n"),
    "a head of one line": b"HTTP/1.1 200 X\r\na: " + flood.repeat(b"x"),
}
LINES = {
    "newlines": flood.repeat(b"\n"),
    "empty objects": flood.repeat(b"data: {}\n"),
    "one line": flood.repeat(b"x"),
    "nested objects": b"data: " + b'{"a":' * 40_000 + b"\n",
}


@attrs.define
class Measurement:
    """What bytes cost."""

    stall_ms: float = 0.0
    cpu_s: float = 0.0
    sent_mb: float = 0.0
    ended_s: float = 0.0

    def format(self, name: str) -> str:
        """A line of the table."""
        ended = "-" if self.ended_s >= SECONDS else f"{self.ended_s:.2f}"
        return (
            f"| {name} | {self.stall_ms:.0f} | {self.cpu_s:.2f} |"
            f" {self.sent_mb:.1f} | {ended} |"
        )


async def watch_turns(found: Measurement) -> None:
    """Record for how long no other task has run."""
    before = time.monotonic()
    while True:
        await trio.sleep(TICK_S)
        now = time.monotonic()
        found.stall_ms = max(found.stall_ms, (now - before) * 1000)
        before = now


async def measure(
    send: typing.Callable[[], typing.Awaitable[None]],
) -> Measurement:
    """Measure while ``send`` runs, for a limited time.

    However it ends: what is measured is what it cost.
    """
    found = Measurement()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch_turns, found)
        await trio.sleep(0.1)
        found.stall_ms = 0.0
        began_s, began_cpu_s = time.monotonic(), time.thread_time()
        with contextlib.suppress(Exception), trio.move_on_after(SECONDS):
            await send()
        found.ended_s = time.monotonic() - began_s
        found.cpu_s = time.thread_time() - began_cpu_s
        # The watch has to see the last turn.
        await trio.sleep(10 * TICK_S)
        nursery.cancel_scope.cancel()
    return found


def make_config() -> dict:
    """A configuration without retries or repeats."""
    config = forwarding.make_config()
    for route in config["routes"]:
        route |= {"timeoutMs": 60_000, "maxAttempts": 1, "resumable": False}
    config["limits"]["maxBodyBytes"] = MAX_BODY_BYTES
    return config


async def measure_forwarded(
    path: str, head: bytes, block: bytes
) -> Measurement:
    """Measure an endpoint behind a forwarded route."""
    sender = flood.Flood(head, block)
    sender.start()
    engine = path == "/tip/"
    desk = backend_module.Backend(
        "bad", service="engines" if engine else "desk", engine=engine
    )
    async with forwarding.open_forwarding(desk, config=make_config()) as made:
        made.register(desk, address=sender.address)
        board = made.daemon.board
        await made.wait_for(
            lambda: board.endpoints["bad"].address == sender.address
        )

        async def send() -> None:
            await made.call(
                "POST",
                path,
                carawayward_model="small" if engine else "",
                carawayward_deadline_ms="60000",
            )

        found = await measure(send)
    sender.close()
    found.sent_mb = sender.sent / 1e6
    return found


async def measure_called(block: bytes) -> Measurement:
    """Measure an engine behind the callers' API."""
    sender = flood.Flood(b"HTTP/1.1 200 X\r\n\r\n", block)
    sender.start()
    engine = blackboard.Endpoint(
        name="bad",
        address=sender.address,
        pool="engines",
        failure_domain="east",
    )
    async with trio.open_nursery() as nursery:
        client = endpoints.EndpointClient(
            silence_limits=streams.SilenceLimits(
                connection_ms=60_000, engine_ms=60_000
            ),
            service_timeout_ms=60_000.0,
        )
        await client.start(nursery)
        run = streams.Run(run_id="r", version="v", messages=[], max_tokens=5)

        async def ignore(text: str) -> None:
            """Take no text."""

        async def send() -> None:
            await client.run_engine(engine, run, ignore)

        found = await measure(send)
        nursery.cancel_scope.cancel()
    sender.close()
    found.sent_mb = sender.sent / 1e6
    return found


async def measure_caller(content: bytes) -> Measurement:
    """Measure a caller that sends a request byte by byte."""
    desk = backend_module.Backend("desk-0")
    async with forwarding.open_forwarding(desk, config=make_config()) as made:
        host, _, port = made.daemon.settings.listen.callers.partition(":")

        def send_all() -> None:
            with socket.create_connection((host, int(port))) as connection:
                connection.settimeout(SECONDS)
                try:
                    connection.sendall(content)
                    connection.recv(1)
                except OSError:
                    return

        found = await measure(
            functools.partial(
                trio.to_thread.run_sync, send_all, abandon_on_cancel=True
            )
        )
    found.sent_mb = len(content) / 1e6
    return found


async def measure_decoding(
    decode: typing.Callable[[bytes], object], content: bytes
) -> Measurement:
    """Measure the decoding of a message."""

    async def send() -> None:
        decode(content)

    found = await measure(send)
    found.sent_mb = len(content) / 1e6
    return found


def make_caller_head(length: str) -> bytes:
    """The head of a caller's request."""
    return (
        f"POST /look/ HTTP/1.1\r\nHost: {forwarding.HOST}\r\n"
        "Carawayward-Attempt-Id: 1\r\nCarawayward-Deadline-Ms: 60000\r\n"
        f"Carawayward-Key: {forwarding.KEY}\r\n{length}\r\n\r\n"
    ).encode()


def list_cases() -> dict[str, typing.Callable[[], typing.Awaitable]]:
    """All cases, by name."""
    cases: dict[str, typing.Callable[[], typing.Awaitable]] = {}
    for name, block in STREAMS.items():
        cases[f"stream: {name}"] = functools.partial(
            measure_forwarded, "/tip/", STREAM_HEAD + b"\r\n", block
        )
    for name, block in CHUNKED_STREAMS.items():
        cases[f"stream: {name}"] = functools.partial(
            measure_forwarded, "/tip/", STREAM_HEAD + CHUNKED, block
        )
        cases[f"plain: {name}"] = functools.partial(
            measure_forwarded, "/look/", STREAM_HEAD + CHUNKED, block
        )
    for name, block in HEADS.items():
        cases[f"plain: {name}"] = functools.partial(
            measure_forwarded, "/look/", b"", block
        )
    for name, block in LINES.items():
        cases[f"API: {name}"] = functools.partial(measure_called, block)
    chunked = make_caller_head("Transfer-Encoding: chunked")
    cases["caller: body in chunks of 1"] = functools.partial(
        measure_caller,
        chunked + flood.cut_into_chunks(b"x" * 500_000, 1) + b"0\r\n\r\n",
    )
    cases["caller: pipelined requests"] = functools.partial(
        measure_caller, make_caller_head("Content-Length: 0") * 500
    )
    cases["caller: a head of short lines"] = functools.partial(
        measure_caller, b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 100_000
    )
    size = hub.MAX_MESSAGE_BYTES
    regex = b"\xd8\x23\x7a" + size.to_bytes(4, "big")
    for name, content in (
        ("numbers", cbor2.dumps([1] * size)),
        ("a pattern", regex + b"a|" * (size // 2)),
        ("a mail", b"\xd8\x24" + regex[2:] + b"a:b\n" * (size // 4)),
    ):
        cases[f"peer: message of {name}"] = functools.partial(
            measure_decoding, messages.decode, content
        )
    return cases


def main(*names: str) -> None:
    """Measure all cases, or those whose names contain one of ``names``."""
    lines = [
        "| bytes | longest turn, ms | processor, s | MB | ended after, s |",
        "|---|---|---|---|---|",
    ]
    print(*lines, sep="\n")
    for name, run in list_cases().items():
        if names and not any(each in name for each in names):
            continue
        lines.append(trio.run(run).format(name))
        print(lines[-1], flush=True)
    if not names:
        text = (__doc__ or "").split("\n", 2)[2].strip()
        RESULTS.write_text(
            f"# The worst bytes\n\n{text}\n\n" + "\n".join(lines) + "\n"
        )


if __name__ == "__main__":
    from absl import logging
    import fire

    logging.set_verbosity(logging.FATAL)
    fire.Fire(main)
