"""A drill: the store has a short outage and is restored from a backup.

Entry VMs, servers and callers continue meanwhile. After the backup a key was
revoked and a server removed. Both changes are lost, and written again some
time after the restore, as operators and servers do.
"""

import collections
import typing

import attrs
import trio

from tests.common import forwarding
from tests.standins import backend

ENTRY_VMS = 3
DESKS = 3
PAUSE_S = 0.05
# Time until a change is in force at all entry VMs.
SETTLE_S = 1.0
OBSERVATION_S = 2.0


@attrs.frozen(kw_only=True)
class Plan:
    """The times of a drill, in s.

    ``backup_age_s`` is the age of the backup, ``outage_s`` is how long the
    store answers nothing, and ``rewrite_delay_s`` how long after the restore
    the lost changes are written again. ``restores`` is how often the store is
    restored from the backup.
    """

    backup_age_s: float = 2.0
    outage_s: float = 1.0
    rewrite_delay_s: float = 0.5
    restores: int = 1


@attrs.define
class Outcome:
    """What callers and servers observed from the start of the outage on.

    ``statuses`` counts the responses to a valid key, ``revoked_statuses``
    those to the revoked key. ``removed_server_runs`` are runs on the removed
    server. ``calls`` counts calls to the store by cause, ``slowest_ms`` is
    the time of the slowest response to the valid key.
    """

    statuses: collections.Counter = attrs.field(factory=collections.Counter)
    revoked_statuses: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    removed_server_runs: int = 0
    calls: collections.Counter = attrs.field(factory=collections.Counter)
    slowest_ms: float = 0.0


def count_calls(deployment: forwarding.Forwarding) -> collections.Counter:
    """Count the calls of all entry VMs to the store by cause."""
    found: collections.Counter = collections.Counter()
    for each in deployment.daemons:
        for (name, labels), total in each.app.metrics.counters.items():
            if name == "store_calls":
                found[dict(labels)["cause"]] += round(total)
    return found


async def send_forever(
    deployment: forwarding.Forwarding, outcome: Outcome
) -> typing.NoReturn:
    """Send requests with both keys to all entry VMs in turn."""
    while True:
        for daemon in range(ENTRY_VMS):
            sent_s = trio.current_time()
            answer = await deployment.call("GET", "/look/", daemon=daemon)
            took_ms = 1000.0 * (trio.current_time() - sent_s)
            outcome.slowest_ms = max(outcome.slowest_ms, took_ms)
            outcome.statuses[answer.status] += 1
            answer = await deployment.call(
                "GET",
                "/look/",
                daemon=daemon,
                carawayward_key=forwarding.OTHER_KEY,
            )
            outcome.revoked_statuses[answer.status] += 1
            await trio.sleep(PAUSE_S)


def write_lost_changes(
    deployment: forwarding.Forwarding, left: backend.Backend
) -> None:
    """Revoke a key and remove a server."""
    config = forwarding.make_config(2)
    config["tenants"][1]["apiKeys"] = []
    deployment.store.put("keyed.op", "config", config)
    deployment.store.put("keyed.servers", left.name, None)


async def run_drill(plan: Plan) -> Outcome:
    """Run a drill; return what was observed during it."""
    desks = [backend.Backend(f"desk-{number}") for number in range(DESKS)]
    left = desks[0]
    outcome = Outcome()
    async with forwarding.open_forwarding(
        *desks, daemons=ENTRY_VMS, era=1
    ) as deployment:
        for number in range(ENTRY_VMS):
            await deployment.call("GET", "/look/", daemon=number)
        deployment.store.save_copy()
        write_lost_changes(deployment, left)
        await trio.sleep(max(SETTLE_S, plan.backup_age_s))
        calls, runs = count_calls(deployment), len(left.runs)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_forever, deployment, outcome)
            for _ in range(plan.restores):
                deployment.store.error_status = 503
                await trio.sleep(plan.outage_s)
                deployment.store.error_status = 0
                deployment.store.restore_copy()
            await trio.sleep(plan.rewrite_delay_s)
            write_lost_changes(deployment, left)
            await trio.sleep(OBSERVATION_S)
            nursery.cancel_scope.cancel()
        outcome.calls = count_calls(deployment) - calls
        outcome.removed_server_runs = len(left.runs) - runs
    return outcome
