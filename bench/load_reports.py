"""Measures the traffic of load reports: ``./build.sh bench load_reports``.

Entry VMs in one process exchange load reports by datagrams on loopback, idle
and with prompts at each of them. The bytes sent by one of them are counted,
without the network's headers.
"""

import pathlib
import random
import socket
import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.decisions import engine_load
from carawayward.forwarding import board as board_module
from carawayward.forwarding import keyed_log
from carawayward.forwarding import load_reports
from tests.common import loopback

# Numbers of entry VMs, up to and beyond the peers that one datagram goes to.
SIZES = (3, 9, 17, 33)
PROMPTS_A_SECOND = 10.0
HEAD_MS = 300.0
STREAM_MS = 2_000.0
ENGINES = 18
PARTS = 2
DOMAINS = 3
SETTLE_S = 2.0
MEASURED_S = 5.0
RESULTS = pathlib.Path("bench/results/load_reports.md")


@attrs.define
class InMemoryTopic:
    """The members topic, in memory."""

    records: dict[str, keyed_log.Record] = attrs.field(factory=dict)

    async def read_newest(self) -> keyed_log.Batch:
        """All members added so far."""
        return keyed_log.Batch(list(self.records.values()), len(self.records))

    async def read(
        self, start: int, wait_ms: float, listing_bytes: float = 0.0
    ) -> keyed_log.Batch:
        """No records; waits for none."""
        return keyed_log.Batch([], len(self.records))

    async def append(
        self,
        records: typing.Sequence[keyed_log.Record],
        end: int | None = None,
    ) -> int:
        """Add members' records."""
        self.records |= {record.key: record for record in records}
        return len(self.records)


@attrs.define
class CountingSocket:
    """A socket that counts the bytes sent."""

    socket: socket.socket
    sent_bytes: int = 0

    def sendto(self, data: bytes, address: tuple[str, int]) -> int:
        """Send the datagram and count its bytes."""
        self.sent_bytes += len(data)
        return self.socket.sendto(data, address)


def make_reporters(count: int) -> list[load_reports.LoadReporter]:
    """Reporters that discover each other through one topic."""
    members = InMemoryTopic()
    return [
        load_reports.LoadReporter(
            board_module.ForwardingBoard(
                name=f"vm-{port}", failure_domain=f"domain-{number % DOMAINS}"
            ),
            clock_module.Clock(),
            members,
            f"127.0.0.1:{port}",
            engine_load.EngineLoads(),
            lambda engine: 600_000,
        )
        for number, port in enumerate(loopback.find_free_ports(count))
    ]


async def serve_prompts(
    reporter: load_reports.LoadReporter, seed: int
) -> None:
    """Start prompts at random moments, as callers send them."""
    draw = random.Random(seed)
    async with trio.open_nursery() as nursery:
        while True:
            await trio.sleep(draw.expovariate(PROMPTS_A_SECOND))
            nursery.start_soon(serve_prompt, reporter, draw)


async def serve_prompt(
    reporter: load_reports.LoadReporter, draw: random.Random
) -> None:
    """Report a prompt, outstanding until its head, and then its stream."""
    engine = f"i-{draw.randrange(ENGINES):010x}"
    parts = [(draw.getrandbits(64), 4_000) for _ in range(PARTS)]
    reporter.record_cached(engine, parts)
    reporter.record_load(engine, engine_load.Load(8_000.0, 1))
    await trio.sleep(HEAD_MS / 1000)
    reporter.record_load(engine, engine_load.Load(-8_000.0, 0))
    await trio.sleep(STREAM_MS / 1000)
    reporter.record_load(engine, engine_load.Load(0.0, -1))


async def count_bytes(count: int, busy: bool) -> float:
    """The bytes a second that one of ``count`` entry VMs sends."""
    reporters = make_reporters(count)
    async with trio.open_nursery() as nursery:
        for each in reporters:
            await each.start(nursery)
        assert reporters[0]._send_socket is not None
        counting = CountingSocket(reporters[0]._send_socket)
        reporters[0]._send_socket = typing.cast(typing.Any, counting)
        if busy:
            for seed, each in enumerate(reporters):
                nursery.start_soon(serve_prompts, each, seed)
        await trio.sleep(SETTLE_S)
        before = counting.sent_bytes
        await trio.sleep(MEASURED_S)
        sent = counting.sent_bytes - before
        nursery.cancel_scope.cancel()
    for each in reporters:
        await each.close()
    return sent / MEASURED_S


def main() -> None:
    """Measure each number of entry VMs and write the table."""
    rows = [
        (
            count,
            trio.run(count_bytes, count, False),
            trio.run(count_bytes, count, True),
        )
        for count in SIZES
    ]
    lines = [
        "| entry VMs | idle, B/s | with prompts, B/s |",
        "|---|---|---|",
        *(f"| {n} | {idle:.0f} | {busy:.0f} |" for n, idle, busy in rows),
    ]
    table = "\n".join(lines)
    print(table)
    RESULTS.write_text(
        "# What load reports cost\n\n`./build.sh bench load_reports`: sent by "
        f"one entry VM; {PROMPTS_A_SECOND:g} prompts a second at each, "
        f"{ENGINES} engines, {MEASURED_S:g} s each.\n\n{table}\n"
    )


if __name__ == "__main__":
    main()
