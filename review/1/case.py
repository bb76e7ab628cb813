"""An entry that cannot be read, then a planned release of a service."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import deployment as d  # noqa: E402

DRAIN_S, CONTACT_S = 3.0, 4.0
# How long a server goes on serving after the store has its report: drainMs
# and a little longer.
SERVING_S = DRAIN_S + 4.0
GAP_S = 1.5
SERVERS = 4
# What the record of the other writer holds: 2 kB that are no JSON.
UNREADABLE = b"[" * 2_000


async def case(record, temporary, started):
    store = d.Store()
    await store.start()
    await store.put("keyed.op", "config", d.make_config())

    async def add_server(number):
        server = d.Server(
            store, record, "dispatch-core", f"zone-{number % 2}"
        )
        await server.start()
        return server

    old = [await add_server(number) for number in range(SERVERS)]
    vms = await d.start_vms(store, record, temporary, started)
    clients = [
        d.Client(vm, record, path, kind)
        for vm in vms
        for path, kind in (("/look/", "safe"), ("/post/", "unsafe"))
    ]
    tasks = [asyncio.create_task(each.run()) for each in clients]
    await asyncio.sleep(6.0)
    if d.TROUBLE:
        record.note("another writer appends an entry that cannot be read")
        await store.put_raw("keyed.servers", "i-other", UNREADABLE)
    await asyncio.sleep(CONTACT_S + 1.0)
    record.note("release: each server is replaced, the new one starts first")
    new = []
    for number, server in enumerate(old):
        new.append(await add_server(number))
        await asyncio.sleep(GAP_S)
        await server.drain(SERVING_S)
    await asyncio.sleep(SERVING_S + 2.0)
    last_from = record.now()
    await asyncio.sleep(6.0)
    for task in tasks:
        task.cancel()
    return judge(record, clients, old, new, last_from)


def judge(record, clients, old, new, last_from):
    results = [each for client in clients for each in client.results]
    for what, since, until in (
        ("before the end of the release", 0.0, last_from),
        ("with the new servers alone", last_from, record.now()),
    ):
        sent = [each for each in results if since <= each.sent < until]
        served = sum(each.status.startswith("200") for each in sent)
        record.note(f"{what}: {served} of {len(sent)} requests served")
    late = 0
    for server in old:
        after = [at - server.drained_at for at, _ in server.runs]
        after = [each for each in after if each > DRAIN_S]
        late += len(after)
        record.note(
            f"{server.name}: {len(after)} requests later than drainMs after"
            " the acknowledgement"
        )
    record.note(f"new servers got {sum(len(s.runs) for s in new)} requests")
    record.note(f"DRAIN: {late} requests, none allowed")
    return late > 0


d.main(case, FOLDER)
