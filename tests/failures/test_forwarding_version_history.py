"""Versions of earlier roll-outs whose endpoints are still there."""

from nose2.tools import params
import trio

from tests.common import forwarding
from tests.common import rollout_orders
from tests.standins import backend


async def reject_version(deployment):
    """Order v2, whose servers fail, and send until it is rolled back."""
    rollout_orders.order_rollout(deployment, 6.0)
    await rollout_orders.send_until_decided(deployment, 6.0)
    assert rollout_orders.read_status(deployment)["state"] == "rolled_back"


async def count_bad_runs(deployment, desks, daemons):
    """Send for a second; return how many requests reach v2 and how many fail.

    The failures are those of requests that no server failed.
    """
    before, refused = rollout_orders.count_runs(desks, "v2"), 0
    for number in range(60):
        daemon = daemons[number % len(daemons)]
        answer = await deployment.call(
            "GET", "/look/", daemon=daemon, session=f"n-{number}"
        )
        refused += answer.status == 503
        await trio.sleep(0.015)
    return rollout_orders.count_runs(desks, "v2") - before, refused


def make_three_versions():
    """Servers of the versions v1 to v3, of which those of v2 fail."""
    third = [
        backend.Backend(f"desk-v3-{number}", version="v3")
        for number in range(2)
    ]
    return rollout_orders.make_servers(always=backend.fail) + third


@params(None, 1)
def test_rolled_back_version_gets_nothing_while_the_next_one_is_introduced(
    era,
):
    """It counted as the old version of the next order and got half of all.

    Neither an entry VM that saw the roll-back nor one that starts after the
    next order may use it.
    """

    async def main():
        desks = make_three_versions()
        async with forwarding.open_forwarding(
            *desks, daemons=2, era=era
        ) as deployment:
            await reject_version(deployment)
            rollout_orders.order_rollout(deployment, 6.0, "v3")
            found = await count_bad_runs(deployment, desks, [0, 1])
            assert found == (0, 0)
            await deployment.start_daemon()
            found = await count_bad_runs(deployment, desks, [2])
            assert found == (0, 0)

    trio.run(main)


def test_return_to_the_stable_version_has_no_trial():
    """Operators order the version that was in use before a bad one.

    The bad one counted as the old version of that order and got half of all.
    """

    async def main():
        desks = rollout_orders.make_servers(always=backend.fail)
        async with forwarding.open_forwarding(*desks, daemons=2) as deployment:
            await reject_version(deployment)
            rollout_orders.order_rollout(deployment, 4.0, "v1")
            assert await count_bad_runs(deployment, desks, [0, 1]) == (0, 0)
            await deployment.start_daemon()
            assert await count_bad_runs(deployment, desks, [2]) == (0, 0)
            await deployment.wait_for(
                lambda: rollout_orders.is_decided(deployment)
            )
            assert rollout_orders.read_status(deployment) == {
                "state": "completed",
                "target": "v1",
            }

    trio.run(main)


def test_version_whose_rollout_was_superseded_gets_nothing():
    """Operators order the next version before the first one is decided."""

    async def main():
        desks = make_three_versions()
        async with forwarding.open_forwarding(*desks, daemons=2) as deployment:
            rollout_orders.order_rollout(deployment, 6.0)
            await deployment.wait_for(
                lambda: rollout_orders.read_status(deployment)
            )
            rollout_orders.order_rollout(deployment, 6.0, "v3")
            await deployment.wait_for(
                lambda: (
                    rollout_orders.read_status(deployment)["target"] == "v3"
                )
            )
            assert await count_bad_runs(deployment, desks, [0, 1]) == (0, 0)
            await deployment.start_daemon()
            assert await count_bad_runs(deployment, desks, [2]) == (0, 0)

    trio.run(main)


def test_entry_vm_that_starts_without_statuses_uses_no_doubtful_version():
    """It does not know yet which of two versions was rolled back.

    It is not ready until it has read that, and refuses requests at once.
    """

    async def main():
        desks = make_three_versions()
        async with forwarding.open_forwarding(*desks, daemons=1) as deployment:
            await reject_version(deployment)
            rollout_orders.order_rollout(deployment, 30.0, "v3")
            await deployment.wait_for(
                lambda: (
                    rollout_orders.read_status(deployment)["target"] == "v3"
                )
            )

            async def lose_statuses(call, exchange):
                if "keyed.status" not in exchange.request.target:
                    return False
                await exchange.answer(503)
                return True

            deployment.store.override = lose_statuses
            daemon = await deployment.start_daemon_unready()
            await deployment.wait_for(lambda: len(daemon.board.endpoints) == 6)
            assert await deployment.check_readiness(1) == 503
            bad, refused = await count_bad_runs(deployment, desks, [1])
            assert bad == 0 and refused > 0
            deployment.store.override = None
            await deployment.wait_for(
                lambda: daemon.board.state.value == "ready"
            )
            assert await count_bad_runs(deployment, desks, [1]) == (0, 0)

    trio.run(main)
