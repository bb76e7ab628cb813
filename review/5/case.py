"""A bad version is rolled back, and the next one is ordered."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import rig as rig_module  # noqa: E402

RATE = 100.0
DURATION_S = 12.0
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.15, 30
# Seconds after an order.
NEW_SERVERS_S = 0.3
# Seconds after the roll-back of the first version.
NEXT_ORDER_S = 0.5
DRAIN_S = 6.0


async def run(rig):
    """Return whether the bad version got no more requests than it may."""
    names = ("i-1", "i-2", "i-3")
    await rig.start([(name, "desk") for name in names], vms=2)
    runs, tasks = [], []

    def serve_version(server, version):
        async def behave(_, message, reader, writer):
            attempt = message.get("carawayward-attempt-id")
            runs.append((time.monotonic(), attempt, version))
            await asyncio.sleep(0.03)
            # Half of the answers of v2 are failures.
            bad = version == "v2" and len(runs) % 2
            headers, body = server.seal(message), server.name.encode()
            status = "500 X" if bad else "200 OK"
            writer.write(
                rig_module.encode(f"HTTP/1.1 {status}", headers, body)
            )
            return True

        server.behave = behave
        server.entry.update(version=version, slots=64)

    async def start_version(version, first):
        started = []
        for number in range(first, first + 3):
            server = rig_module.Server(rig, f"i-{number}", "desk")
            serve_version(server, version)
            await server.start()
            started.append(server)
        rig.servers += started
        return started

    def order(version):
        value = {"service": "desk", "target": version, "durationS": DURATION_S}
        rig.store.put("keyed.op", "rollout/desk", value)
        rig.record.write(f"op/rollout/desk = {value}")
        return time.monotonic()

    async def wait_for_roll_back():
        while True:
            status = rig.store.topic("keyed.status").newest.get("rollout/desk")
            if status and b"rolled_back" in status[1]:
                rig.record.write(f"status/rollout/desk = {status[1]}")
                return
            await asyncio.sleep(0.02)

    async def send_forever():
        number = 0
        while True:
            number += 1
            sending = rig.send("POST", "/log/2f", b"parcel", vm=number % 2)
            tasks.append(asyncio.create_task(sending))
            await asyncio.sleep(1 / RATE)

    for server in rig.servers:
        serve_version(server, "v1")
        server.register()
    await asyncio.sleep(1.0)
    sender = asyncio.create_task(send_forever())
    await asyncio.sleep(4.0)
    ordered = order("v2")
    await asyncio.sleep(NEW_SERVERS_S)
    bad_servers = await start_version("v2", 4)
    await asyncio.wait_for(wait_for_roll_back(), DURATION_S)
    rolled_back = time.monotonic()
    await asyncio.sleep(NEXT_ORDER_S)
    if rig_module.is_troubled():
        order("v3")
        await asyncio.sleep(NEW_SERVERS_S)
        await start_version("v3", 7)
    await asyncio.sleep(rolled_back + DRAIN_S - time.monotonic())
    for server in bad_servers:
        server.entry["state"] = "draining"
        server.register()
    rig.record.write("the servers of v2 drain")
    await asyncio.sleep(ordered + DURATION_S - time.monotonic())
    sender.cancel()
    await asyncio.gather(*tasks)
    counted = [
        (at, version)
        for at, _, version in runs
        if ordered <= at <= ordered + DURATION_S
    ]
    bad = [at for at, version in counted if version == "v2"]
    later = sum(at > rolled_back + 0.5 for at in bad)
    allowed = EXPOSURE_SHARE * len(counted) + EXPOSURE_SLACK
    result = (
        f"{len(counted)} requests reached the service between the order of v2"
        f" and its deadline, {len(bad)} of them v2, {allowed:.0f} allowed;"
        f" {later} came over 0.5 s after v2 was rolled back"
    )
    rig.record.write(result)
    print(result)
    return len(bad) <= allowed


rig_module.main(FOLDER, run)
