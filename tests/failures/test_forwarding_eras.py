"""The store comes back from a copy that lacks the last seconds."""

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


def list_revisions(made):
    """The revision in force at each entry VM."""
    return [d.board.table and d.board.table.revision for d in made.daemons]


def test_configuration_at_an_offset_given_out_again_is_taken():
    """An entry VM keeps the lost configuration for ever.

    Its position is the end of the new history as well, which holds another
    record there.
    """

    async def main():
        (desk,) = make_desks(1)
        async with forwarding.open_forwarding(desk, daemons=2, era=4) as made:
            made.store.save_copy()
            made.store.put("keyed.op", "config", forwarding.make_config(2))
            await made.wait_for(lambda: list_revisions(made) == [2, 2])
            made.store.restore_copy()
            made.store.put("keyed.op", "config", forwarding.make_config(3))
            await made.wait_for(lambda: list_revisions(made) == [3, 3])

    trio.run(main)


def list_endpoints(made):
    """The endpoints that get work at the first entry VM."""
    places = made.daemon.board.endpoints
    return sorted(e.name for e in places.values() if not e.leaving)


def test_endpoints_that_came_after_the_copy_are_kept_until_they_return():
    """A pool is empty after a return, though all its endpoints are well.

    One that does not write its entry again has left.
    """

    async def main():
        desks = make_desks(3)
        async with forwarding.open_forwarding(*desks) as made:
            made.store.put("keyed.servers", desks[1].name, None)
            made.store.put("keyed.servers", desks[2].name, None)
            await made.wait_for(lambda: list_endpoints(made) == ["desk-0"])
            made.store.save_copy()
            made.register(desks[1])
            made.register(desks[2])
            everybody = ["desk-0", "desk-1", "desk-2"]
            await made.wait_for(lambda: list_endpoints(made) == everybody)
            made.store.restore_copy()
            began = trio.current_time()
            while trio.current_time() - began < registry.RETURN_MS / 2000:
                assert list_endpoints(made) == everybody
                await trio.sleep(0.02)
            made.register(desks[1], sequence=2)
            rest = ["desk-0", "desk-1"]
            await made.wait_for(lambda: list_endpoints(made) == rest)
            late_ms = 1000.0 * (trio.current_time() - began)
            assert registry.RETURN_MS <= late_ms <= registry.RETURN_MS + 700.0

    trio.run(main)


def test_endpoint_that_left_after_the_copy_gets_no_work_again():
    """Work goes to endpoints that left, or leave, and may end any moment."""

    async def main():
        desks = make_desks(3)
        async with forwarding.open_forwarding(*desks) as made:
            made.store.save_copy()
            made.store.put("keyed.servers", desks[1].name, None)
            made.register(desks[2], state="draining", sequence=2)
            await made.wait_for(lambda: list_endpoints(made) == ["desk-0"])
            made.store.restore_copy()
            made.store.put("keyed.op", "config", forwarding.make_config(2))
            await made.wait_for(lambda: list_revisions(made) == [2])
            began = trio.current_time()
            while trio.current_time() - began < 2.0:
                assert list_endpoints(made) == ["desk-0"]
                await trio.sleep(0.02)
            made.register(desks[2], born=7, sequence=1)
            await made.wait_for(
                lambda: list_endpoints(made) == ["desk-0", "desk-2"]
            )

    trio.run(main)


def read_status(made):
    """The state of the roll-out of desks that operators read."""
    found = made.store.topic("keyed.status").newest.get("rollout/desk")
    return json.loads(found[1])["state"] if found else None


def decide(made, state):
    """Have all entry VMs follow a decision that one of them has written."""
    order = {"service": "desk", "target": "v2", "durationS": 20.0}
    made.store.put("keyed.op", "rollout/desk", order)
    status = {"state": state, "target": "v2"}
    made.store.put("keyed.status", "rollout/desk", status)


def list_states(made):
    """The state of the roll-out at each entry VM."""
    books = [d.controllers[3].rollouts.rollouts for d in made.daemons]
    return [book["desk"].state for book in books if "desk" in book]


async def lose_decision(made):
    """Have all entry VMs follow a decision that the store then loses."""
    made.store.save_copy()
    decide(made, "completed")
    decided = [message_types.RolloutState.COMPLETED] * len(made.daemons)
    await made.wait_for(lambda: list_states(made) == decided)
    made.store.restore_copy()


def test_decision_that_the_copy_lacks_is_written_again():
    """Operators see a roll-out under way whose old servers have stopped."""

    async def main():
        desks = make_desks(2)
        async with forwarding.open_forwarding(*desks, daemons=3) as made:
            await lose_decision(made)
            assert read_status(made) is None
            await made.wait_for(lambda: read_status(made) == "completed")
            assert (
                list_states(made) == [message_types.RolloutState.COMPLETED] * 3
            )
            topic = made.store.topic("keyed.status")
            await trio.sleep(1.5)
            assert len(topic.records) == 1

    trio.run(main)


def test_decision_in_the_store_is_not_written_over_after_a_return():
    """Two halves of the entry VMs write over each other's decisions."""

    async def main():
        desks = make_desks(2)
        async with forwarding.open_forwarding(*desks, daemons=2) as made:
            await lose_decision(made)
            status = {"state": "rolled_back", "target": "v2"}
            made.store.put("keyed.status", "rollout/desk", status)
            await trio.sleep(3.0)
            assert read_status(made) == "rolled_back"

    trio.run(main)


def test_order_of_the_copy_that_another_followed_begins_nothing():
    """A version that was replaced long ago is rolled out again."""

    async def main():
        desks = make_desks(2)
        async with forwarding.open_forwarding(*desks) as made:
            orders = made.daemon.board.orders
            order = {"service": "desk", "target": "v2", "durationS": 20.0}
            made.store.put("keyed.op", "rollout/desk", order)
            await made.wait_for(lambda: "desk" in orders)
            made.store.save_copy()
            order["target"] = "v3"
            made.store.put("keyed.op", "rollout/desk", order)
            await made.wait_for(lambda: orders["desk"].version == "v3")
            made.store.restore_copy()
            made.store.put("keyed.op", "config", forwarding.make_config(2))
            await made.wait_for(lambda: list_revisions(made) == [2])
            assert orders["desk"].version == "v3"

    trio.run(main)


def test_entry_vm_that_the_copy_lacks_is_met_by_those_that_join_later():
    """Two entry VMs never hear of each other's load, keys and roll-outs."""

    async def main():
        (desk,) = make_desks(1)
        async with forwarding.open_forwarding(desk, daemons=2) as made:
            members = made.store.topic("keyed.members")
            await made.wait_for(lambda: len(members.newest) == 2)
            made.store.save_copy()
            made.store.saved_topics["keyed.members"] = store.Topic()
            made.store.restore_copy()
            members = made.store.topic("keyed.members")
            await made.wait_for(lambda: len(members.newest) == 2)
            await trio.sleep(registration.ERA_SPREAD_MS / 1000)
            assert len(members.records) == 2

    trio.run(main)
