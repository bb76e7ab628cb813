"""A burst on a route of several models whose streams can't be resumed."""

import asyncio
import collections
import contextlib
import itertools
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import deployment as d  # noqa: E402

MODELS = {"m0": 0.0073, "m1": 0.055, "m2": 0.11}
PROMPT_TOKENS = 4_000
READ_TOKENS_PER_MS = 36.7
# The engines read some 18 prompts of this length in a second.
USUAL_PER_S, BURST_X, BURST_S = 16.5, 1.7, 3.0
EVENTS, EVENT_S = 5, 0.03
# Three in five requests are too hard for the smallest model.
HARD_SHARE = 0.6


class Engine(d.Server):
    """A model server: reads prompts one after the other, then streams."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.reading = asyncio.Lock()

    async def run(self, attempt, target, headers, reader, writer):
        # It runs from its first token on; ``handle`` has noted its arrival.
        arrived = self.runs.pop()
        model = headers["carawayward-model"]
        closed = asyncio.create_task(reader.read(1))
        async with self.reading:
            tokens = PROMPT_TOKENS * MODELS[model] / MODELS["m2"]
            await asyncio.sleep(tokens / READ_TOKENS_PER_MS / 1000)
        if closed.done():
            return False
        self.runs.append((arrived[0], attempt))
        hard = attempt.endswith("h")
        confidence = 20 if hard and model != "m2" else 90
        self.record.note(
            f"first token of {attempt} at {self.name} by {model}, confidence"
            f" {confidence}",
            show=False,
        )
        head = {
            "Carawayward-Attempt-Id": attempt,
            "Carawayward-Server-Seal": f"seal.{self.name}",
            "Carawayward-Confidence": confidence,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(d.make_head(200, head))
        for number in range(1, EVENTS + 1):
            event = b"id: %d\ndata: token\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
            if closed.done():
                return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return False


def make_config():
    config = d.make_config()
    config["routes"].append(
        {
            "name": "r-dispute",
            "host": "trips.example",
            "pathPrefix": "/dispute/",
            "routeKind": "streaming",
            "timeoutMs": 10000,
            "targetLatencyMs": 2026,
            "priority": 0,
            "service": "assistant-models",
            "sizes": list(MODELS),
            "maxAttempts": 3,
            "anonymous": False,
            "affinity": True,
            "resumable": False,
            "gapTargetMs": 1000,
        }
    )
    config["services"].append(
        {
            "name": "assistant-models",
            "healthPath": "/healthz",
            "maxConnections": 850,
            "engine": {
                "slots": 64,
                "kvCapacityTokens": 472912,
                "models": [
                    {"name": name, "cost": cost}
                    for name, cost in MODELS.items()
                ],
            },
        }
    )
    return config


async def send(vm, record, attempt, results):
    """Send one request, which is not retried."""
    client = d.Client(
        vm,
        record,
        "/dispute/",
        "stream",
        deadline_ms=10000,
        headers=(
            "Carawayward-Model: *",
            f"Carawayward-Token-Count: {PROMPT_TOKENS},80",
            f"Carawayward-Prefix-Hash: {abs(hash(attempt)):x}:{PROMPT_TOKENS}",
        ),
    )
    reader, writer = await asyncio.open_connection("127.0.0.1", vm.callers)
    sent = record.now()
    result = await client.send(reader, writer, attempt)
    writer.close()
    record.note(f"{attempt} by {vm.name} sent {sent:.3f}: {result}", False)
    results[attempt] = result


async def case(record, temporary, started):
    draw = random.Random(1)
    store = d.Store()
    await store.start()
    await store.put("keyed.op", "config", make_config())
    engines = [
        Engine(store, record, "assistant-models", f"zone-{n % 2}", 64)
        for n in range(2)
    ]
    for server in engines:
        await server.start()
    vms = await d.start_vms(store, record, temporary, started)
    results, numbers, tasks = {}, itertools.count(), []

    async def press(per_s, seconds):
        until = record.now() + seconds
        while record.now() < until:
            kind = "h" if draw.random() < HARD_SHARE else "e"
            attempt = f"{next(numbers):016x}{kind}"
            vm = draw.choice(vms)
            tasks.append(
                asyncio.create_task(send(vm, record, attempt, results))
            )
            await asyncio.sleep(draw.uniform(0.8, 1.2) / per_s)

    await press(USUAL_PER_S, 12.0)
    if d.TROUBLE:
        record.note(f"burst: {BURST_X:g} times the usual requests")
    await press(USUAL_PER_S * (BURST_X if d.TROUBLE else 1.0), BURST_S)
    record.note("the usual again")
    await press(USUAL_PER_S, 8.0)
    with contextlib.suppress(Exception):
        await asyncio.wait(tasks, timeout=12.0)
    return judge(record, engines, results)


def judge(record, engines, results):
    runs = collections.Counter(
        attempt for engine in engines for _, attempt in engine.runs
    )
    record.note(f"answers: {dict(collections.Counter(results.values()))}")
    twice = [attempt for attempt, count in runs.items() if count > 1]
    record.note(
        f"TWICE: {len(twice)} of {len(runs)} requests that are not idempotent"
        " ran more than once, none may"
    )
    for attempt in twice[:5]:
        record.note(f"{attempt}: {runs[attempt]} runs")
    return bool(twice)


d.main(case, FOLDER)
