"""Entry VMs whose topics hold records that cannot be read."""

import json
import typing

import cbor2
from nose2.tools import params
import trio

from tests.common import forwarding
from tests.standins import backend

KEYS = {
    "keyed.op": ("config-copy", "rollout/other", "config"),
    "keyed.servers": ("i-other", "i-\x00other"),
    "keyed.status": ("rollout/other",),
    "keyed.members": ("edge-other",),
    "keyed.convictions": ("ab", "part-ab"),
}
# Nested too deeply, no number that fits into a float, no text, no fields.
VALUES = (
    b"[" * 2_000,
    json.dumps({"durationS": 10**400, "slots": 10**400}).encode(),
    b"\xff",
    b"5",
    cbor2.dumps(["x", "y", "127.0..1:1", "north"]),
    cbor2.dumps([5, ["x"], [b"x"]]),
)


def put_unreadable(deployment):
    """Write each unreadable value to each topic."""
    for topic, keys in KEYS.items():
        for key in keys:
            for value in VALUES:
                raw = bytes((len(key),)) + key.encode() + value
                deployment.store.topic(topic).append(raw)


def list_known(deployment, daemon):
    """The endpoints that an entry VM knows, and whether they leave."""
    found = deployment.daemons[daemon].board.endpoints
    return {name: entry.leaving for name, entry in found.items()}


async def check_follows(deployment, daemons):
    """Check that entry VMs notice a drain, an addition and a configuration."""
    name = f"desk-{len(deployment.backends)}"
    added = backend.Backend(name)
    deployment.backends[name] = added
    added.port = await deployment.nursery.start(added.serve)
    deployment.register(added)
    first = deployment.backends["desk-0"]
    deployment.register(first, state="draining")
    revision = deployment.find_table().revision + 1
    deployment.store.put(
        "keyed.op", "config", forwarding.make_config(revision)
    )
    for daemon in daemons:
        await deployment.wait_for(
            lambda daemon=daemon: (
                list_known(deployment, daemon) == {"desk-0": True, name: False}
            )
        )
        board = deployment.daemons[daemon].board
        await deployment.wait_for(
            lambda board=board: board.table.revision == revision
        )
        answer = await deployment.call("GET", "/look/", daemon=daemon)
        assert answer.status == 200


@params("read on", "listed")
def test_unreadable_records_do_not_hide_the_others(order):
    """Guards against drained endpoints that go on getting requests.

    The entry VM that reads the store and the one that relies on it both learn
    of what is written after the unreadable records.
    """

    async def main():
        desk = backend.Backend("desk-0")
        async with forwarding.open_forwarding(desk) as deployment:
            if order == "read on":
                await deployment.start_daemon()
            put_unreadable(deployment)
            # Written again, since the unreadable ones have its key.
            deployment.store.put(
                "keyed.op", "config", forwarding.make_config(2)
            )
            if order == "listed":
                daemon = await deployment.start_daemon_unready()
                await deployment.wait_for(
                    lambda: daemon.board.state.value == "ready"
                )
            await check_follows(deployment, (0, 1))

    trio.run(main)


def test_members_and_convictions_are_read_past_unreadable_records():
    """Guards against an entry VM that never finds its peers after a start."""

    async def main():
        desk = backend.Backend("desk-0")
        async with forwarding.open_forwarding(desk, daemons=2) as deployment:
            put_unreadable(deployment)
            deployment.store.put(
                "keyed.op", "config", forwarding.make_config(2)
            )
            started = await deployment.start_daemon_unready()
            reporter: typing.Any = started.app.readiness.reporter
            await deployment.wait_for(lambda: len(reporter.peers) == 2)
            await deployment.wait_for(
                lambda: started.board.state.value == "ready"
            )

    trio.run(main)
