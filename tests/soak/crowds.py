"""Crowds of clients that do not behave, beside those that do."""

import contextlib
import enum
import itertools
import pathlib
import socket
import typing

import attrs
import trio

from tests.common import crowds
from tests.soak import processes
from tests.soak import records
from tests.soak import traffic
from tests.standins import raw_http

SIZE = 120
# Requests with it in their target are answered at length, and not judged.
MARK = "/crowd-"
ANSWER_BYTES = 2_000_000
EVENT_BYTES = 200_000
HEAD_BYTES = 30_000
FIELDS = 3_000
PIPELINED = 200
SLOW_BYTES, SLOW_PAUSE_S = 1_000, 0.5
RECEIVE_BUFFER_BYTES = 16_384
MEASURE_S = 0.25


class Habit(enum.Enum):
    """What the clients of a crowd do."""

    IDLE = "connect and send nothing"
    HEADS = "send heads without end"
    FIELDS = "send heads of many fields"
    UNREAD = "never read long answers"
    SLOW = "read long answers slowly"
    SLOW_STREAMS = "read streams of long events slowly"
    PIPELINED = "send many requests without reading, and leave"


def make_head(number: int, habit: Habit) -> bytes:
    """The head of one request of a crowd."""
    streams = habit is Habit.SLOW_STREAMS
    (kind,) = [
        kind
        for kind in traffic.KINDS
        if kind.name == ("quick-tip" if streams else "handover-ok")
    ]
    lines = [
        f"GET /{kind.name}{MARK}{number} HTTP/1.1",
        f"Host: {traffic.HOST}",
        f"Carawayward-Key: {traffic.KEY}",
        f"Carawayward-Attempt-Id: {number:016x}",
        "Carawayward-Deadline-Ms: 20000",
    ]
    if streams:
        lines += [
            "Carawayward-Model: *",
            "Carawayward-Token-Count: 1000,50",
            f"Carawayward-Prefix-Hash: {number:x}:1000",
        ]
    return "\r\n".join([*lines, "", ""]).encode()


def make_bytes(ids: typing.Iterator[int], habit: Habit) -> bytes:
    """What one client of a crowd sends."""
    if habit is Habit.IDLE:
        return b""
    if habit is Habit.PIPELINED:
        heads = (make_head(next(ids), habit) for _ in range(PIPELINED))
        return b"".join(heads)
    head = make_head(next(ids), habit)
    if habit is Habit.HEADS:
        return head[:-2] + b"x: " + b"x" * HEAD_BYTES
    if habit is Habit.FIELDS:
        return head[:-2] + b"a: b\r\n" * FIELDS + b"\r\n"
    return head


async def run_client(
    vm: processes.EntryVm, data: bytes, habit: Habit, for_s: float
) -> None:
    """Misbehave on one connection until the entry VM closes it.

    Clients with pipelined requests leave after ``for_s``.
    """
    connection = trio.socket.socket()
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    stream = trio.SocketStream(connection)
    with contextlib.suppress(
        OSError, trio.BrokenResourceError, trio.ClosedResourceError
    ):
        async with stream:
            await connection.connect(("127.0.0.1", vm.ports[0]))
            await stream.send_all(data)
            if habit is Habit.PIPELINED:
                await trio.sleep(for_s)
            elif habit in (Habit.SLOW, Habit.SLOW_STREAMS):
                while await stream.receive_some(SLOW_BYTES):
                    await trio.sleep(SLOW_PAUSE_S)
            else:
                while vm.process is not None and (
                    vm.process.returncode is None
                ):
                    await trio.sleep(SLOW_PAUSE_S)


@attrs.define(eq=False)
class Crowds:
    """The crowds of a run, and the most memory of each process of it."""

    nursery: trio.Nursery
    history: records.History
    ids: typing.Iterator[int] = attrs.field(
        factory=lambda: itertools.count(10**12)
    )

    def begin(self, vm: processes.EntryVm, target: int, for_ms: float) -> None:
        """Have a crowd go to one entry VM; it stays until that has ended."""
        habits = list(Habit)
        habit = habits[target % len(habits)]
        for _ in range(SIZE):
            data = make_bytes(self.ids, habit)
            self.nursery.start_soon(run_client, vm, data, habit, for_ms / 1000)

    async def keep_measuring(self, vms: list[processes.EntryVm]) -> None:
        """Record the peak of each process's resident memory."""
        while True:
            for vm in vms:
                record, process = vm.record, vm.process
                if record is None or process is None:
                    continue
                # The process may have ended.
                with contextlib.suppress(OSError, IndexError):
                    status = pathlib.Path(
                        f"/proc/{process.pid}/status"
                    ).read_text()
                    peak_kb = status.partition("VmHWM:")[2].split()[0]
                    record.peak_bytes = int(peak_kb) * 1_024
            await trio.sleep(MEASURE_S)


def check_memory(
    history: records.History, bounds: records.Bounds
) -> list[str]:
    """Each process stays within the memory of the smallest machines."""
    return [
        f"{each.vm}.{each.start} took {each.peak_bytes} bytes"
        for each in history.processes
        if each.peak_bytes >= crowds.MEMORY_BYTES
    ]


async def answer(exchange: raw_http.Exchange, headers: dict) -> None:
    """Answer a request of a crowd at length."""
    if "last-event-id" in exchange.request.headers or (
        exchange.request.target.startswith("/quick-tip")
    ):
        await exchange.begin_stream(
            {**headers, "content-type": "text/event-stream"}
        )
        for number in itertools.count(1):
            data = b"x" * EVENT_BYTES
            await exchange.send_chunk(b"id: %d\ndata: %s\n\n" % (number, data))
    await exchange.answer(200, headers, b"x" * ANSWER_BYTES)
