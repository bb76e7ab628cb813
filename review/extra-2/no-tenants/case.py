"""The only tenant is removed, and its key with it."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "standins-2"))

import rig as rig_module  # noqa: E402

REVOKE_S = 5.0
NEVER_HELD = "neverheldneverheldnv"


async def run(rig):
    """Return whether no request with the revoked or an unknown key ran."""
    tenants = [{"name": "hule930", "apiKeys": [rig_module.KEY], "priority": 1}]
    await rig.start(
        [("i-1", "desk"), ("i-2", "desk")],
        vms=2,
        config=rig_module.make_config(7, tenants=tenants),
    )
    _, answer = await rig.send("POST", "/log/2f", b"parcel")
    if answer.status != 200:
        raise rig_module.NotRun("the key was not accepted at first")
    # Without the disruption the tenant stays and has no key any more.
    tenants[0]["apiKeys"] = []
    if rig_module.is_troubled():
        tenants = []
    rig.store.put(
        "keyed.op", "config", rig_module.make_config(8, tenants=tenants)
    )
    rig.record.write(f"version 8 with tenants {tenants} is acknowledged")
    acknowledged = time.monotonic()
    await asyncio.sleep(REVOKE_S + 0.5)
    late = []
    for key in (rig_module.KEY, NEVER_HELD):
        for vm in (0, 1):
            attempt, _ = await rig.send(
                "POST", "/log/2f", b"parcel", vm=vm, key=key
            )
            late.append(attempt)
    ran = [
        message.get("carawayward-attempt-id")
        for server in rig.servers
        for message in server.runs
    ]
    wrong = [attempt for attempt in late if attempt in ran]
    rig.record.write(
        f"{len(wrong)} of {len(late)} requests with the revoked or an unknown"
        f" key ran, {time.monotonic() - acknowledged:.1f} s after that"
    )
    return not wrong


rig_module.main(FOLDER, run)
