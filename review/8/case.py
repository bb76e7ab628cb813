"""Sessions move to another machine in the first half of a roll-out."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import rig as rig_module  # noqa: E402

SESSIONS = 600
PERIOD_S = 3.5
SESSION_S = 5.0
DURATION_S = 24.0
# Seconds since the order of the roll-out.
NEW_SERVERS_S = 0.5
STOP_S = 2.5
MOST_SWITCHED = 3
EVENTS = 4


class Platform:
    """Sends connections to the entry VMs that are in rotation."""

    def __init__(self, rig):
        self.rig = rig
        self.misses = [0 for _ in rig.vms]

    async def probe(self):
        """Ask once a second who is ready; two misses take a VM out."""
        while True:
            for number, vm in enumerate(self.rig.vms):
                ready = await vm.is_ready()
                self.misses[number] = 0 if ready else self.misses[number] + 1
            await asyncio.sleep(1.0)

    def choose(self, client):
        """Choose the entry VM of a client's next connection."""
        count = len(self.misses)
        order = [(client + step) % count for step in range(count)]
        return next((n for n in order if self.misses[n] < 2), order[0])


async def run(rig):
    """Return whether no more than a few requests changed their version."""
    await rig.start([("i-1", "matcher"), ("i-2", "matcher")], vms=2)
    platform = Platform(rig)
    tasks = [asyncio.create_task(platform.probe())]
    ids = {}

    async def follow(session):
        await asyncio.sleep(PERIOD_S * session / SESSIONS)
        while True:
            began = time.monotonic()
            vm = platform.choose(session)
            prompt = f"5c1e07a2:350,{session:08x}:110"
            sending = rig.send(
                "POST",
                "/tip/2f",
                b"tip",
                vm=vm,
                deadline_ms=25000,
                Session=f"session-{session}",
                Carawayward_Model="m0",
                Carawayward_Token_Count="460,80",
                Carawayward_Prefix_Hash=prompt,
            )
            ids[f"{rig.ids + 1:016x}"] = (session, vm)
            await sending
            left = began + PERIOD_S - time.monotonic()
            await asyncio.sleep(max(0.0, left))

    runs = []

    def note(server):
        async def behave(_, message, reader, writer):
            attempt = message.get("carawayward-attempt-id")
            runs.append((time.monotonic(), attempt, server.entry["version"]))
            last = int(message.get("last-event-id", "0"))
            await rig_module.stream(
                server, message, writer, range(last + 1, EVENTS + 1)
            )
            return True

        server.behave = behave

    for server in rig.servers:
        server.entry.update(version="v1", slots=64)
        note(server)
        server.register()
    tasks += [asyncio.create_task(follow(n)) for n in range(SESSIONS)]
    await asyncio.sleep(2 * PERIOD_S)
    order = {"service": "matcher", "target": "v2", "durationS": DURATION_S}
    rig.store.put("keyed.op", "rollout/matcher", order)
    ordered = time.monotonic()
    rig.record.write(f"op/rollout/matcher = {order}")
    await asyncio.sleep(NEW_SERVERS_S)
    for name in ("i-3", "i-4"):
        server = rig_module.Server(
            rig, name, "matcher", version="v2", slots=64
        )
        note(server)
        await server.start()
        rig.servers.append(server)
    await asyncio.sleep(STOP_S - NEW_SERVERS_S)
    if rig_module.is_troubled():
        rig.vms[0].send_signal(signal.SIGTERM)
    await asyncio.sleep(ordered + DURATION_S / 2 - time.monotonic())
    for task in tasks:
        task.cancel()
    status = rig.store.topic("keyed.status").newest.get("rollout/matcher")
    rig.record.write(f"status at the end: {status}")
    last, switched = {}, []
    for at, attempt, version in runs:
        session, vm = ids[attempt]
        before = last.get(session)
        last[session] = (at, version)
        if before is None or at - before[0] >= SESSION_S:
            continue
        if version != before[1]:
            switched.append((session, vm, before[1], version))
            rig.record.write(
                f"session-{session}: {attempt} from edge-ikeja-{vm + 1} ran"
                f" on {version}, {at - before[0]:.2f} s after one on"
                f" {before[1]}, {at - ordered:.2f} s after the order"
            )
    on_new = sum(version == "v2" for _, _, version in runs)
    rig.record.write(
        f"{len(runs)} runs, {on_new} on v2; {len(switched)} requests ran on"
        " another version than the one before in their session"
    )
    print(len(runs), on_new, len(switched))
    if status and b"rolled_back" in status[1]:
        raise rig_module.NotRun("the good version was rolled back")
    return len(switched) <= MOST_SWITCHED


rig_module.main(FOLDER, run)
