"""A model server whose answers never end, beside calm traffic."""

import asyncio
import contextlib
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import deployment as d  # noqa: E402

TIMEOUT_S, SLACK_S = 1.0, 0.5
# Clients wait for longer than the operator wants them kept waiting.
DEADLINE_MS = 4000
TROUBLE_S = 6.0
FILLER = b"\n" * 65_536
MIN_UNANSWERED = 8
MODEL_HEADERS = (
    "Carawayward-Model: m1",
    "Carawayward-Token-Count: 1460,80",
    "Carawayward-Prefix-Hash: 5c1e07a2:800,91bd3f06:660",
)


class Engine(d.Server):
    """A model server; one in trouble sends bytes until the caller closes."""

    in_trouble = False

    async def run(self, attempt, target, headers, reader, writer):
        sealed = {
            "Carawayward-Attempt-Id": attempt,
            "Carawayward-Server-Seal": f"seal.{self.name}",
            "Content-Type": "text/event-stream",
        }
        if self.in_trouble:
            writer.write(d.make_head(200, sealed))
            began, sent = self.record.now(), 0
            try:
                while True:
                    writer.write(FILLER)
                    await writer.drain()
                    sent += len(FILLER)
            finally:
                took = self.record.now() - began
                self.record.note(
                    f"{attempt}: the caller closed after {took:.1f} s and"
                    f" {sent} bytes that are no answer"
                )
        chunked = {**sealed, "Transfer-Encoding": "chunked"}
        writer.write(d.make_head(200, chunked))
        for number in range(1, 6):
            event = b"id: %d\ndata: token\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b"0\r\n\r\n")
        return True


def make_config():
    config = d.make_config()
    for route in config["routes"]:
        route["timeoutMs"] = 1000 * TIMEOUT_S
    config["routes"].append(
        {
            "name": "r-letter",
            "host": "trips.example",
            "pathPrefix": "/letter/",
            "routeKind": "streaming",
            "timeoutMs": 10000,
            "targetLatencyMs": 3044,
            "priority": 0,
            "service": "assistant-models",
            "maxAttempts": 3,
            "anonymous": False,
            "affinity": True,
            "resumable": True,
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
                "models": [{"name": "m1", "cost": 0.0073}],
            },
        }
    )
    return config


async def question_readiness(vm, record):
    """Question an entry VM once a second, as the platform does."""
    while True:
        if not await vm.is_ready():
            record.note(f"{vm.name} is not ready, or silent for a second")
        await asyncio.sleep(1.0)


async def case(record, temporary, started):
    store = d.Store()
    await store.start()
    await store.put("keyed.op", "config", make_config())
    desks = [
        d.Server(store, record, "dispatch-core", f"zone-{n % 2}")
        for n in range(4)
    ]
    engines = [
        Engine(store, record, "assistant-models", f"zone-{n % 2}", 64)
        for n in range(4)
    ]
    for server in desks + engines:
        await server.start()
    vms = await d.start_vms(store, record, temporary, started)
    plain = [
        d.Client(vm, record, path, kind, 0.2, DEADLINE_MS)
        for vm in vms
        for path, kind in 8 * (("/look/", "safe"), ("/post/", "unsafe"))
    ]
    letters = [
        d.Client(vm, record, "/letter/", "letter", 0.5, 10000, MODEL_HEADERS)
        for vm in vms
        for _ in range(2)
    ]
    tasks = [asyncio.create_task(each.run()) for each in plain + letters]
    tasks += [
        asyncio.create_task(question_readiness(vm, record)) for vm in vms
    ]
    await asyncio.sleep(8.0)
    if d.TROUBLE:
        record.note(f"{engines[0].name} is in trouble")
        engines[0].in_trouble = True
    await asyncio.sleep(TROUBLE_S)
    engines[0].in_trouble = False
    await asyncio.sleep(10.0)
    for task in tasks:
        task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.gather(*tasks)
    return judge(record, plain, letters)


def judge(record, plain, letters):
    for name, clients in (("plain", plain), ("stream", letters)):
        counts = {}
        for result in (r for client in clients for r in client.results):
            counts[result.status] = counts.get(result.status, 0) + 1
        record.note(f"{name} requests by answer: {counts}")
    over = [
        result
        for client in plain
        for result in client.results
        if result.took > TIMEOUT_S
    ]
    unanswered = [r for r in over if r.took > TIMEOUT_S + SLACK_S]
    longest = max((r.took for c in plain for r in c.results), default=0.0)
    record.note(
        f"CONFIG: {len(over)} plain requests were unanswered at timeoutMs,"
        f" {len(unanswered)} of them half a second later as well; the longest"
        f" took {longest:.1f} s"
    )
    return (
        len(unanswered) >= MIN_UNANSWERED
        and len(unanswered) > len(over) / 2
    )


d.main(case, FOLDER)
