"""Delegated reads between the entry VMs of a failure domain."""

import trio

from carawayward import errors
from carawayward.forwarding import feeds
from tests.common import forwarding
from tests.standins import backend

TABLE, ENDPOINTS = 0, 1


class UnreachableTopic:
    """A topic whose calls all fail."""

    async def read_newest(self):
        raise errors.PlatformUnavailable("store", "cut off")

    async def read(self, start, wait_ms, listing_bytes):
        raise errors.PlatformUnavailable("store", "cut off")


def get_freshness_controller(deployment, daemon):
    return deployment.daemons[daemon].controllers[-1]


def has_delegate(deployment, daemon):
    return get_freshness_controller(deployment, daemon).has_delegate(
        feeds.DECLARATIONS
    )


async def wait_for_delegates(deployment):
    """Wait until all entry VMs but one have a delegate; return that one."""
    count = len(deployment.daemons)
    await deployment.wait_for(
        lambda: (
            sum(has_delegate(deployment, n) for n in range(count)) == count - 1
        )
    )
    await trio.sleep(1.6)
    (reader,) = [n for n in range(count) if not has_delegate(deployment, n)]
    return reader


def test_one_entry_vm_reads_the_store_for_its_failure_domain():
    """Guards against four entry VMs making four times the calls of one.

    The store rejects calls that ask for nothing new, and nothing had changed.
    """

    async def main():
        desk = backend.Backend("desk-0")
        async with forwarding.open_forwarding(desk, daemons=4) as deployment:
            await wait_for_delegates(deployment)
            deployment.store.calls = 0
            await trio.sleep(3.0)
            # One entry VM polls the table every 1.5 s and the endpoints every
            # 1.1 s; plus one call for each poll that was in progress.
            assert deployment.store.calls <= 2 + 3 + 2
            for number in range(4):
                answer = await deployment.call("GET", "/look/", daemon=number)
                assert answer.status == 200

    trio.run(main)


def test_changes_reach_clients_at_once():
    """Guards against the use of a revoked key and of a removed server.

    Two of the entry VMs do not read the store themselves.
    """

    async def main():
        desks = [backend.Backend(f"desk-{number}") for number in range(2)]
        async with forwarding.open_forwarding(*desks, daemons=3) as deployment:
            await wait_for_delegates(deployment)
            config = forwarding.make_config(2)
            config["tenants"][0]["apiKeys"] = []
            deployment.store.put("keyed.op", "config", config)
            deployment.store.put("keyed.servers", "desk-0", None)
            await trio.sleep(0.3)
            for number in range(3):
                board = deployment.daemons[number].board
                assert set(board.endpoints) == {"desk-1"}
                answer = await deployment.call("GET", "/look/", daemon=number)
                assert answer.status == 401

    trio.run(main)


def test_entry_vm_without_the_store_serves_by_its_delegates_attestations():
    """Guards against refusing callers although their keys are up to date.

    One entry VM cannot reach the store, but its delegate can. A revoked key is
    refused there as well, since the delegate passes on the new table.
    """

    async def main():
        desk = backend.Backend("desk-0")
        lease_ms = 1_600
        async with forwarding.open_forwarding(
            desk, daemons=3, key_lease_ms=lease_ms
        ) as deployment:
            reader = await wait_for_delegates(deployment)
            cut = (reader + 1) % 3
            feed = deployment.find_controller(TABLE, cut)
            feed.topic = UnreachableTopic()
            await trio.sleep(2.0 * lease_ms / 1000)
            assert await deployment.check_readiness(cut) == 200
            assert (
                await deployment.call("GET", "/look/", daemon=cut)
            ).status == 200
            config = forwarding.make_config(2)
            config["tenants"][0]["apiKeys"] = []
            deployment.store.put("keyed.op", "config", config)
            await trio.sleep(lease_ms / 1000)
            answer = await deployment.call("GET", "/look/", daemon=cut)
            assert answer.status == 401

    trio.run(main)


def test_keys_stay_valid_when_the_delegate_fails():
    """Guards against refusing callers after the delegate has failed.

    Its clients notice within a second that it does not answer, and read the
    store themselves until they have agreed on another delegate.
    """

    async def main():
        desk = backend.Backend("desk-0")
        async with forwarding.open_forwarding(
            desk, daemons=3, key_lease_ms=4_000
        ) as deployment:
            reader = await wait_for_delegates(deployment)
            await get_freshness_controller(deployment, reader).reporter.close()
            others = [n for n in range(3) if n != reader]
            for _ in range(60):
                await trio.sleep(0.1)
                for number in others:
                    daemon = deployment.daemons[number]
                    boot_ms = daemon.clock.boot_ms()
                    assert daemon.board.is_key_lease_valid(boot_ms)
                    assert not daemon.board.store_failing
            chosen = {
                get_freshness_controller(deployment, n).choice.delegate
                for n in others
            }
            names = {deployment.daemons[n].board.name for n in others}
            assert chosen - {""} <= names

    trio.run(main)
