"""Servers of a service become brittle under the usual load."""

import asyncio
import collections
import itertools
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from standins import deployment as d  # noqa: E402

SERVERS, SLOTS, WORK_MS = 4, 6, 300.0
# They bear 80 a second.
USUAL_PER_S = 60.0
TARGET_MS = 800
WAITING, WAITING_BRITTLE = 18, 1
BRITTLE_N, DOWN_S, CONTACT_S, BRITTLE_S = 5, 4.0, 4.0, 20.0
# Many users come at once, for a while.
BURST_X, BURST_S = 1.7, 3.0


class Desk(d.Server):
    """A server with places and a queue; ``brittle`` ones fall over."""

    brittle_since = None
    down = False

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.slots_free = asyncio.Semaphore(SLOTS)
        self.inside = 0
        self.rejected = collections.deque()
        self.open = set()
        self.falls = 0

    async def handle(self, method, target, headers, body, reader, writer):
        if self.down:
            writer.transport.abort()
            return False
        self.open.add(writer)
        try:
            return await super().handle(
                method, target, headers, body, reader, writer
            )
        finally:
            self.open.discard(writer)

    async def run(self, attempt, target, headers, reader, writer):
        arrived = self.runs.pop()
        extra = {"Carawayward-Attempt-Id": attempt}
        waiting = WAITING
        if self.brittle_since is not None:
            extra["Server-Brittle"] = BRITTLE_N
            if time.monotonic() - self.brittle_since > CONTACT_S:
                waiting = WAITING_BRITTLE
        if self.inside >= SLOTS + waiting:
            self.reject()
            if not self.down:
                writer.write(
                    d.make_answer(
                        503, extra | {"Carawayward-Not-Executed": 1}
                    )
                )
            return not self.down
        self.inside += 1
        try:
            async with self.slots_free:
                self.runs.append(arrived)
                await asyncio.sleep(WORK_MS / 1000)
        finally:
            self.inside -= 1
        sealed = extra | {"Carawayward-Server-Seal": f"seal.{self.name}"}
        writer.write(d.make_answer(200, sealed, b"x" * 800))
        return True

    def reject(self):
        """Count what is turned away for want of room; fall if too much."""
        now = time.monotonic()
        self.rejected.append(now)
        while self.rejected[0] < now - 1.0:
            self.rejected.popleft()
        fragile = (
            self.brittle_since is not None
            and now - self.brittle_since > CONTACT_S
        )
        if fragile and len(self.rejected) > BRITTLE_N:
            self.down = True
            self.falls += 1
            self.record.note(
                f"{self.name} falls over, with {self.inside} requests inside"
            )
            for writer in list(self.open):
                writer.transport.abort()
            self.returning = asyncio.create_task(self.come_back())

    async def come_back(self):
        """Be back after some seconds, as a new incarnation."""
        self.beats.cancel()
        self.server.close()
        await asyncio.sleep(DOWN_S)
        await self.store.put("keyed.servers", self.name, None)
        self.name = f"{self.name}b"
        self.rejected.clear()
        self.server, self.port = await d.serve_http(self.handle)
        self.down = False
        await self.write_entry()
        self.beats = asyncio.create_task(self.beat())


async def send(vm, record, kind, attempt, results):
    path = {"safe": "/look/", "unsafe": "/post/"}[kind]
    client = d.Client(vm, record, path, kind)
    try:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", vm.callers
        )
    except OSError:
        results.append("refused")
        return
    sent = record.now()
    result = await client.send(reader, writer, attempt)
    writer.close()
    record.note(f"{attempt} by {vm.name} sent {sent:.3f}: {result}", False)
    results.append(result)


async def case(record, temporary, started):
    draw = random.Random(1)
    store = d.Store()
    await store.start()
    config = d.make_config()
    for route in config["routes"]:
        route["targetLatencyMs"] = TARGET_MS
    await store.put("keyed.op", "config", config)
    desks = [
        Desk(store, record, "dispatch-core", f"zone-{n % 2}", SLOTS, WORK_MS)
        for n in range(SERVERS)
    ]
    for desk in desks:
        await desk.start()
    vms = await d.start_vms(store, record, temporary, started)
    numbers, tasks, calm, brittle = itertools.count(), [], [], []

    async def press(seconds, results, x=1.0):
        until = record.now() + seconds
        while record.now() < until:
            kind = draw.choice(("safe", "unsafe"))
            attempt = f"{kind}-{next(numbers):012x}"
            tasks.append(
                asyncio.create_task(
                    send(draw.choice(vms), record, kind, attempt, results)
                )
            )
            await asyncio.sleep(draw.uniform(0.5, 1.5) / USUAL_PER_S / x)

    await press(12.0, calm)
    if d.TROUBLE:
        record.note(f"all servers say Server-Brittle: {BRITTLE_N}")
        for desk in desks:
            desk.brittle_since = time.monotonic()
    await press(CONTACT_S + 2.0, brittle)
    await press(BURST_S, brittle, BURST_X if d.TROUBLE else 1.0)
    await press(BRITTLE_S - CONTACT_S - 2.0 - BURST_S, brittle)
    await asyncio.wait(tasks, timeout=3.0)
    record.note(f"before: {dict(collections.Counter(calm))}")
    record.note(f"brittle: {dict(collections.Counter(brittle))}")
    falls = sum(desk.falls for desk in desks)
    allowed = 2 + 0.1 * SERVERS
    record.note(f"LIMIT: {falls} falls, {allowed:g} allowed")
    return falls > allowed


d.main(case, FOLDER)
