"""A configuration adds a route; its clients send their bodies in chunks."""

import asyncio
import collections
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from standins import deployment as d  # noqa: E402

APPLY_S, CONTACT_S = 3.0, 4.0
BODY = b'{"trip": "1204", "note": "two bags"}'
MIN_REQUESTS = 20


def add_route(config):
    """The next version: one more unsafe route to the same service."""
    added = {
        **config["routes"][1],
        "name": "r-report",
        "pathPrefix": "/report/",
    }
    return {**config, "version": 9, "routes": [*config["routes"], added]}


async def case(record, temporary, started):
    store = d.Store()
    await store.start()
    config = d.make_config()
    await store.put("keyed.op", "config", config)
    servers = [
        d.Server(store, record, "dispatch-core", f"zone-{n % 2}")
        for n in range(4)
    ]
    for server in servers:
        await server.start()
    vms = await d.start_vms(store, record, temporary, started)
    first = [
        d.Client(vm, record, path, kind, body=BODY)
        for vm in vms
        for path, kind in (("/look/", "safe"), ("/post/", "unsafe"))
    ]
    tasks = [asyncio.create_task(each.run()) for each in first]
    await asyncio.sleep(5.0)
    await store.put("keyed.op", "config", add_route(config))
    record.note("store acknowledged the configuration with one more route")
    await asyncio.sleep(APPLY_S + CONTACT_S)
    framing = "in chunks" if d.TROUBLE else "with a length"
    record.note(f"clients of the added route send their bodies {framing}")
    added = [
        d.Client(
            vm, record, "/report/", "added", body=BODY, chunked=d.TROUBLE
        )
        for vm in vms
    ]
    since = record.now()
    tasks += [asyncio.create_task(each.run()) for each in added]
    await asyncio.sleep(10.0)
    for task in tasks:
        task.cancel()
    shares = {}
    for name, clients in (("first", first), ("added", added)):
        results = [
            r.status for c in clients for r in c.results if r.sent >= since
        ]
        counts = collections.Counter(results)
        served = sum(each.startswith("200") for each in results)
        shares[name] = served / max(1, len(results))
        record.note(
            f"{name} routes: {served} of {len(results)} requests served,"
            f" {dict(counts)}"
        )
        if len(results) < MIN_REQUESTS:
            raise RuntimeError("too few requests")
    ran = {attempt for server in servers for _, attempt in server.runs}
    arrived = sum(r.attempt in ran for c in added for r in c.results)
    record.note(f"{arrived} requests of the added route reached a server")
    record.note(
        "CONFIG: the added route is served"
        f" {shares['added'] / shares['first']:.2f} times as often as the"
        " first ones, at least 0.25 is owed"
    )
    return shares["added"] < shares["first"] / 4


d.main(case, FOLDER)
