"""The store is restored from a backup that lacks the last seconds."""

import json

import trio

from carawayward.forwarding import message_types
from carawayward.forwarding import registration
from carawayward.forwarding import registry
from tests.common import forwarding
from tests.standins import backend
from tests.standins import store


def make_desks(count):
    return [backend.Backend(f"desk-{number}") for number in range(count)]


def list_revisions(deployment):
    """List the revision in force at each entry VM."""
    return [
        d.board.table and d.board.table.revision for d in deployment.daemons
    ]


def test_configuration_at_a_reused_offset_is_applied():
    """Guards against an entry VM that keeps a lost configuration for ever.

    The offset that it has read up to is the end of the new history as well,
    although the record before it is a different one.
    """

    async def main():
        (desk,) = make_desks(1)
        async with forwarding.open_forwarding(
            desk, daemons=2, era=4
        ) as deployment:
            deployment.store.save_copy()
            deployment.store.put(
                "keyed.op", "config", forwarding.make_config(2)
            )
            await deployment.wait_for(
                lambda: list_revisions(deployment) == [2, 2]
            )
            deployment.store.restore_copy()
            deployment.store.put(
                "keyed.op", "config", forwarding.make_config(3)
            )
            await deployment.wait_for(
                lambda: list_revisions(deployment) == [3, 3]
            )

    trio.run(main)


def list_endpoints(deployment):
    """List the endpoints that get requests at the first entry VM."""
    endpoints = deployment.daemon.board.endpoints
    return sorted(e.name for e in endpoints.values() if not e.leaving)


def test_endpoints_missing_from_the_backup_get_a_grace_period():
    """Guards against a pool emptied by a restore although its endpoints live.

    An endpoint that does not write its entry again is dropped after the grace
    period.
    """

    async def main():
        desks = make_desks(3)
        async with forwarding.open_forwarding(*desks) as deployment:
            deployment.store.put("keyed.servers", desks[1].name, None)
            deployment.store.put("keyed.servers", desks[2].name, None)
            await deployment.wait_for(
                lambda: list_endpoints(deployment) == ["desk-0"]
            )
            deployment.store.save_copy()
            deployment.register(desks[1])
            deployment.register(desks[2])
            all_names = ["desk-0", "desk-1", "desk-2"]
            await deployment.wait_for(
                lambda: list_endpoints(deployment) == all_names
            )
            deployment.store.restore_copy()
            restored_s = trio.current_time()
            while (
                trio.current_time() - restored_s
                < registry.RENEWAL_GRACE_MS / 2000
            ):
                assert list_endpoints(deployment) == all_names
                await trio.sleep(0.02)
            deployment.register(desks[1], sequence=2)
            remaining = ["desk-0", "desk-1"]
            await deployment.wait_for(
                lambda: list_endpoints(deployment) == remaining
            )
            delay_ms = 1000.0 * (trio.current_time() - restored_s)
            assert (
                registry.RENEWAL_GRACE_MS
                <= delay_ms
                <= registry.RENEWAL_GRACE_MS + 700.0
            ), delay_ms

    trio.run(main)


def test_endpoint_that_left_after_the_backup_gets_no_requests():
    """Guards against requests to endpoints that have left or are leaving."""

    async def main():
        desks = make_desks(3)
        async with forwarding.open_forwarding(*desks) as deployment:
            deployment.store.save_copy()
            deployment.store.put("keyed.servers", desks[1].name, None)
            deployment.register(desks[2], state="draining", sequence=2)
            await deployment.wait_for(
                lambda: list_endpoints(deployment) == ["desk-0"]
            )
            deployment.store.restore_copy()
            deployment.store.put(
                "keyed.op", "config", forwarding.make_config(2)
            )
            await deployment.wait_for(
                lambda: list_revisions(deployment) == [2]
            )
            restored_s = trio.current_time()
            while trio.current_time() - restored_s < 2.0:
                assert list_endpoints(deployment) == ["desk-0"]
                await trio.sleep(0.02)
            deployment.register(desks[2], born=7, sequence=1)
            await deployment.wait_for(
                lambda: list_endpoints(deployment) == ["desk-0", "desk-2"]
            )

    trio.run(main)


def read_status(deployment):
    """Return the state of the roll-out of desks as operators see it."""
    found = deployment.store.topic("keyed.status").newest.get("rollout/desk")
    return json.loads(found[1])["state"] if found else None


def write_decision(deployment, state):
    """Write an order and the decision that an entry VM would write."""
    order = {"service": "desk", "target": "v2", "durationS": 20.0}
    deployment.store.put("keyed.op", "rollout/desk", order)
    status = {"state": state, "target": "v2"}
    deployment.store.put("keyed.status", "rollout/desk", status)


def list_states(deployment):
    """List the state of the roll-out at each entry VM."""
    rollouts_by_daemon = [
        d.controllers[3].rollouts.rollouts for d in deployment.daemons
    ]
    return [
        rollouts_by_service["desk"].state
        for rollouts_by_service in rollouts_by_daemon
        if "desk" in rollouts_by_service
    ]


async def lose_decision(deployment):
    """Make all entry VMs apply a decision that the store then loses."""
    deployment.store.save_copy()
    write_decision(deployment, "completed")
    decided = [message_types.RolloutState.COMPLETED] * len(deployment.daemons)
    await deployment.wait_for(lambda: list_states(deployment) == decided)
    deployment.store.restore_copy()


def test_decision_missing_from_the_backup_is_written_again():
    """Guards against a completed roll-out that operators see as running."""

    async def main():
        desks = make_desks(2)
        async with forwarding.open_forwarding(*desks, daemons=3) as deployment:
            await lose_decision(deployment)
            assert read_status(deployment) is None
            await deployment.wait_for(
                lambda: read_status(deployment) == "completed"
            )
            assert (
                list_states(deployment)
                == [message_types.RolloutState.COMPLETED] * 3
            )
            topic = deployment.store.topic("keyed.status")
            await trio.sleep(1.5)
            keys = [raw[1 : 1 + raw[0]] for raw in topic.records]
            assert keys == [b"rollout/desk", b"versions/desk"]

    trio.run(main)


def test_decision_in_the_store_is_not_overwritten_after_a_restore():
    """Guards against entry VMs that overwrite each other's decisions."""

    async def main():
        desks = make_desks(2)
        async with forwarding.open_forwarding(*desks, daemons=2) as deployment:
            await lose_decision(deployment)
            status = {"state": "rolled_back", "target": "v2"}
            deployment.store.put("keyed.status", "rollout/desk", status)
            await trio.sleep(3.0)
            assert read_status(deployment) == "rolled_back"

    trio.run(main)


def test_superseded_order_in_the_backup_starts_no_rollout():
    """Guards against rolling out a version that was replaced before."""

    async def main():
        desks = make_desks(2)
        async with forwarding.open_forwarding(*desks) as deployment:
            orders = deployment.daemon.board.orders
            order = {"service": "desk", "target": "v2", "durationS": 20.0}
            deployment.store.put("keyed.op", "rollout/desk", order)
            await deployment.wait_for(lambda: "desk" in orders)
            deployment.store.save_copy()
            order["target"] = "v3"
            deployment.store.put("keyed.op", "rollout/desk", order)
            await deployment.wait_for(lambda: orders["desk"].version == "v3")
            deployment.store.restore_copy()
            deployment.store.put(
                "keyed.op", "config", forwarding.make_config(2)
            )
            await deployment.wait_for(
                lambda: list_revisions(deployment) == [2]
            )
            assert orders["desk"].version == "v3"

    trio.run(main)


def test_entry_vm_missing_from_the_backup_registers_again():
    """Guards against entry VMs that never exchange load, keys and roll-outs.

    Entry VMs that join after the restore would not discover one whose record
    is missing from the backup.
    """

    async def main():
        (desk,) = make_desks(1)
        async with forwarding.open_forwarding(desk, daemons=2) as deployment:
            members = deployment.store.topic("keyed.members")
            await deployment.wait_for(lambda: len(members.newest) == 2)
            deployment.store.save_copy()
            deployment.store.saved_topics["keyed.members"] = store.Topic()
            deployment.store.restore_copy()
            members = deployment.store.topic("keyed.members")
            await deployment.wait_for(lambda: len(members.newest) == 2)
            await trio.sleep(registration.ERA_SPREAD_MS / 1000)
            assert len(members.records) == 2

    trio.run(main)
