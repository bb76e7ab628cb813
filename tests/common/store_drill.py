"""A drill: the store is away for a moment and comes back from a copy.

Entry VMs, servers and callers go on meanwhile. After the copy a key was taken
away and a server left; both are lost, and written again some time after the
return, as operators and servers do.
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
# Until a change is in force at all entry VMs.
SETTLED_S = 1.0
SERVED_S = 2.0


@attrs.frozen(kw_only=True)
class Plan:
    """Times of a drill, in s.

    ``copied_s`` is how old the copy is, ``away_s`` for how long the store
    answers nothing, ``written_s`` how long after its return what it lost is
    written again. ``returns`` is how often it comes back from the copy.
    """

    copied_s: float = 2.0
    away_s: float = 1.0
    written_s: float = 0.5
    returns: int = 1


@attrs.define
class Outcome:
    """What callers and servers saw from the time at which the store left.

    ``statuses`` are those of a key in force, ``revoked`` those of the key that
    was taken away; ``left_runs`` are runs on the server that had left.
    ``calls`` are those of the store by cause, ``slowest_ms`` is the slowest
    answer.
    """

    statuses: collections.Counter = attrs.field(factory=collections.Counter)
    revoked: collections.Counter = attrs.field(factory=collections.Counter)
    left_runs: int = 0
    calls: collections.Counter = attrs.field(factory=collections.Counter)
    slowest_ms: float = 0.0


def list_calls(made: forwarding.Forwarding) -> collections.Counter:
    """Calls of all entry VMs to the store, by cause."""
    found: collections.Counter = collections.Counter()
    for each in made.daemons:
        for (name, labels), total in each.app.metrics.counters.items():
            if name == "store_calls":
                found[dict(labels)["cause"]] += round(total)
    return found


async def send_forever(
    made: forwarding.Forwarding, outcome: Outcome
) -> typing.NoReturn:
    """Send requests of both keys to all entry VMs in turn."""
    while True:
        for daemon in range(ENTRY_VMS):
            began = trio.current_time()
            answer = await made.call("GET", "/look/", daemon=daemon)
            took_ms = 1000.0 * (trio.current_time() - began)
            outcome.slowest_ms = max(outcome.slowest_ms, took_ms)
            outcome.statuses[answer.status] += 1
            answer = await made.call(
                "GET",
                "/look/",
                daemon=daemon,
                carawayward_key=forwarding.OTHER_KEY,
            )
            outcome.revoked[answer.status] += 1
            await trio.sleep(PAUSE_S)


def write_lost(made: forwarding.Forwarding, left: backend.Backend) -> None:
    """Take a key away, and a server from the list."""
    config = forwarding.make_config(2)
    config["tenants"][1]["apiKeys"] = []
    made.store.put("keyed.op", "config", config)
    made.store.put("keyed.servers", left.name, None)


async def play(plan: Plan) -> Outcome:
    """Play a drill; return what was seen from its beginning."""
    desks = [backend.Backend(f"desk-{number}") for number in range(DESKS)]
    left = desks[0]
    outcome = Outcome()
    async with forwarding.open_forwarding(
        *desks, daemons=ENTRY_VMS, era=1
    ) as made:
        for number in range(ENTRY_VMS):
            await made.call("GET", "/look/", daemon=number)
        made.store.save_copy()
        write_lost(made, left)
        await trio.sleep(max(SETTLED_S, plan.copied_s))
        calls, runs = list_calls(made), len(left.runs)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_forever, made, outcome)
            for _ in range(plan.returns):
                made.store.error_status = 503
                await trio.sleep(plan.away_s)
                made.store.error_status = 0
                made.store.restore_copy()
            await trio.sleep(plan.written_s)
            write_lost(made, left)
            await trio.sleep(SERVED_S)
            nursery.cancel_scope.cancel()
        outcome.calls = list_calls(made) - calls
        outcome.left_runs = len(left.runs) - runs
    return outcome
