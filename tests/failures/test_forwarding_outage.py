"""Tests of endpoints that leave while an entry VM cannot reach the store."""

import trio

from tests.common import forwarding
from tests.standins import backend

# How long an entry VM may take to catch up, from the first call that reaches
# the store and is answered again.
CATCH_UP_S = 3.0
# Short, so that registry entries expire within a test.
HEARTBEAT_MS = 500


def make_desks(count):
    return [backend.Backend(f"desk-{number}") for number in range(count)]


async def return_after_call(made, topic):
    """Let the silent store respond again right after a call was lost.

    This is the worst moment: the entry VM waits for the response to that call
    until its timeout.
    """
    made.store.unanswered.clear()
    await made.wait_for(lambda: topic in made.store.unanswered)
    made.store.silent = False
    return trio.current_time()


def test_endpoint_removed_during_an_entry_vms_own_outage_gets_no_requests():
    """Requests are sent to a server long after its entry was removed.

    The store does not answer one entry VM, serves the others, and meanwhile a
    server's entry is removed. On reconnecting, the entry VM takes its own
    outage for one of the store, in which entries of live servers expire too.
    So it waits for the entry to return for 2.2 s after the last failed poll,
    and then for the end of a poll. The other entry VMs logged "entry removed"
    at 36.01 s, this one "missing since the store returned" at 48.74 s, though
    the store answered it from 45.0 s on; requests reached the server at 48.06
    and 48.62 s.
    """

    async def main():
        desks = make_desks(3)
        async with forwarding.open_forwarding(*desks) as made:
            made.store.silent = True
            feed = made.find_controller(1)
            await made.wait_for(lambda: feed.failing)
            made.store.put("keyed.servers", "desk-0", None)
            back_s = await return_after_call(made, "keyed.servers")
            await trio.sleep_until(back_s + CATCH_UP_S)
            desks[0].runs.clear()
            for _ in range(12):
                assert (await made.call("POST", "/log/")).status == 200
            assert not desks[0].runs

    trio.run(main)


def test_expired_endpoint_that_does_not_return_is_dropped_in_time():
    """A server that died in an outage of the store still gets requests.

    The store was down for all entry VMs, and all entries have expired. One
    server writes its entry again at once, the other has died. If the wait for
    its entry starts at the last failed poll, a second or more after the store
    answered another feed, and ends with a later poll, the server is dropped
    3.5 to 4.0 s after the store's return.
    """

    async def main():
        desks = make_desks(2)
        async with forwarding.open_forwarding(
            *desks, heartbeat_ms=HEARTBEAT_MS
        ) as made:
            made.store.silent = True
            feed = made.find_controller(1)
            await made.wait_for(lambda: feed.failing)
            for desk in desks:
                made.store.put("keyed.servers", desk.name, None)
            back_s = await return_after_call(made, "keyed.servers")
            made.register(desks[0], sequence=2)
            await trio.sleep_until(back_s + CATCH_UP_S)
            assert set(made.daemon.board.endpoints) == {"desk-0"}

    trio.run(main)
