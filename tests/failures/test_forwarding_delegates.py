"""Entry VMs that read the store for each other."""

import trio

from carawayward import errors
from carawayward.forwarding import feeds
from tests.common import forwarding
from tests.standins import backend

TABLE, ENDPOINTS = 0, 1


class CutTopic:
    """A topic that this entry VM cannot reach."""

    async def read_newest(self):
        raise errors.PlatformUnavailable("store", "cut off")

    async def read(self, start, wait_ms):
        raise errors.PlatformUnavailable("store", "cut off")


def find_freshness(made, daemon):
    return made.daemons[daemon].controllers[-1]


def has_delegate(made, daemon):
    return find_freshness(made, daemon).has_delegate(feeds.DECLARATIONS)


async def wait_for_delegates(made):
    """Wait until all but one entry VM rely on another; return that one."""
    count = len(made.daemons)
    await made.wait_for(
        lambda: sum(has_delegate(made, n) for n in range(count)) == count - 1
    )
    await trio.sleep(1.6)
    (reader,) = [n for n in range(count) if not has_delegate(made, n)]
    return reader


def test_one_entry_vm_reads_the_store_for_its_failure_domain():
    """The store turns calls away that ask for nothing new.

    Four entry VMs made four times the calls of one, though nothing changed.
    """

    async def main():
        desk = backend.Backend("desk-0")
        async with forwarding.open_forwarding(desk, daemons=4) as made:
            await wait_for_delegates(made)
            made.store.calls = 0
            await trio.sleep(3.0)
            # One entry VM polls for the table every 1.5 s and for endpoints
            # every 1.1 s; one call more for each poll that was under way.
            assert made.store.calls <= 2 + 3 + 2
            for number in range(4):
                answer = await made.call("GET", "/look/", daemon=number)
                assert answer.status == 200

    trio.run(main)


def test_changes_reach_those_who_do_not_read_at_once():
    """A key that was taken away, and a server that left, are used on.

    The entry VM that serves them does not read the store itself.
    """

    async def main():
        desks = [backend.Backend(f"desk-{number}") for number in range(2)]
        async with forwarding.open_forwarding(*desks, daemons=3) as made:
            await wait_for_delegates(made)
            config = forwarding.make_config(2)
            config["tenants"][0]["apiKeys"] = []
            made.store.put("keyed.op", "config", config)
            made.store.put("keyed.servers", "desk-0", None)
            await trio.sleep(0.3)
            for number in range(3):
                board = made.daemons[number].board
                assert set(board.endpoints) == {"desk-1"}
                answer = await made.call("GET", "/look/", daemon=number)
                assert answer.status == 401

    trio.run(main)


def test_entry_vm_that_lost_the_store_serves_by_its_neighbours_proofs():
    """Callers are turned away though their keys are known to be the newest.

    One entry VM cannot reach the store, and its delegate can. Once a key is
    taken away it is unknown there as well, as the delegate passes tables on.
    """

    async def main():
        desk = backend.Backend("desk-0")
        lease_ms = 1_600
        async with forwarding.open_forwarding(
            desk, daemons=3, key_lease_ms=lease_ms
        ) as made:
            reader = await wait_for_delegates(made)
            cut = (reader + 1) % 3
            feed = made.find_controller(TABLE, cut)
            feed.topic = CutTopic()
            await trio.sleep(2.0 * lease_ms / 1000)
            assert await made.check_readiness(cut) == 200
            assert (await made.call("GET", "/look/", daemon=cut)).status == 200
            config = forwarding.make_config(2)
            config["tenants"][0]["apiKeys"] = []
            made.store.put("keyed.op", "config", config)
            await trio.sleep(lease_ms / 1000)
            answer = await made.call("GET", "/look/", daemon=cut)
            assert answer.status == 401

    trio.run(main)


def test_keys_stay_proved_when_the_reader_dies():
    """Callers are refused since the one that read for all has gone.

    Its neighbours notice within a second that it does not answer, and read
    for themselves until they have agreed on another.
    """

    async def main():
        desk = backend.Backend("desk-0")
        async with forwarding.open_forwarding(
            desk, daemons=3, key_lease_ms=4_000
        ) as made:
            reader = await wait_for_delegates(made)
            await find_freshness(made, reader).reporter.close()
            others = [n for n in range(3) if n != reader]
            for _ in range(60):
                await trio.sleep(0.1)
                for number in others:
                    daemon = made.daemons[number]
                    boot_ms = daemon.clock.boot_ms()
                    assert daemon.board.is_fresh(boot_ms)
                    assert not daemon.board.store_failing
            chosen = {find_freshness(made, n).choice.delegate for n in others}
            names = {made.daemons[n].board.name for n in others}
            assert chosen - {""} <= names

    trio.run(main)
