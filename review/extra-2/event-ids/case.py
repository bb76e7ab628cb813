"""Servers number the events of their streams by tokens, two an event."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "standins-2"))

import rig as rig_module  # noqa: E402

CLIENTS = 8
EVENTS = 8
PAUSE_S = 0.1
TOKENS_AN_EVENT = 2
CALM_S = 4.0
AFTER_S = 2.0
# Kept connections that may be closed without an answer at any time.
MOST_CLOSED = 3


async def run(rig):
    """Return whether all streams in hand at a planned stop are completed."""
    await rig.start(
        [
            ("i-1", "desk"),
            ("e-1", "matcher"),
            ("e-2", "matcher"),
            ("e-3", "matcher"),
        ],
        vms=2,
    )
    step = TOKENS_AN_EVENT if rig_module.is_troubled() else 1
    numbers = range(step, step * EVENTS + 1, step)

    async def behave(server, message, reader, writer):
        last = int(message.get("last-event-id", "0"))
        rest = [number for number in numbers if number > last]
        await rig_module.stream(server, message, writer, rest, PAUSE_S)
        return True

    for server in rig.servers[1:]:
        server.behave = behave
    await asyncio.sleep(CALM_S)
    cut, ended, stopped = [], [], []

    async def use_connection(client):
        """Send a look-up, and then streams, on one connection."""
        vm = rig.vms[0]
        reader, writer = await asyncio.open_connection("127.0.0.1", vm.callers)
        attempt, headers = rig.make_headers()
        rig.record.write(f"client {client}: send {attempt} GET /look/2f")
        answer = await rig_module.exchange(
            reader, writer, "GET", "/look/2f", headers
        )
        if answer.status != 200 or ("connection", "close") in answer.headers:
            writer.close()
            return
        while True:
            attempt, headers = rig.make_headers(
                deadline_ms=25000,
                Carawayward_Model="m0",
                Carawayward_Token_Count="460,80",
                Carawayward_Prefix_Hash=f"5c1e07a2:350,{client:08x}:110",
            )
            rig.record.write(f"client {client}: send {attempt} POST /tip/2f")
            answer = await rig_module.exchange(
                reader, writer, "POST", "/tip/2f", headers, b"tip"
            )
            rig.record.write(
                f"client {client}: answer {attempt} {answer.status}"
                f" {answer.detail} {answer.body[-30:]!r}"
            )
            ran = any(
                message.get("carawayward-attempt-id") == attempt
                for server in rig.servers
                for message in server.runs
            )
            ended.append(attempt)
            if answer.status == 0 and ran:
                cut.append((attempt, time.monotonic()))
            closes = ("connection", "close") in answer.headers
            if answer.status == 0 or closes:
                writer.close()
                return

    async def follow(client):
        await asyncio.sleep(client * 0.2)
        while not stopped:
            try:
                await use_connection(client)
            except OSError:
                await asyncio.sleep(0.2)

    tasks = [asyncio.create_task(follow(n)) for n in range(CLIENTS)]
    await asyncio.sleep(3.0)
    rig.vms[0].send_signal(signal.SIGTERM)
    stopped.append(time.monotonic())
    await asyncio.sleep(AFTER_S)
    for task in tasks:
        task.cancel()
    planned = [attempt for attempt, at in cut if at >= stopped[0]]
    rig.record.write(
        f"{len(ended)} streams; {len(cut)} requests from kept connections were"
        f" passed on to a sound server and got no complete answer,"
        f" {len(planned)} of them after the SIGTERM"
    )
    if len(ended) < CLIENTS:
        raise rig_module.NotRun("too few streams")
    return not planned and len(cut) <= MOST_CLOSED


rig_module.main(FOLDER, run)
