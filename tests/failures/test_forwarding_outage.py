"""Endpoints that leave while an entry VM cannot reach the store."""

import trio

from tests.common import forwarding
from tests.standins import backend

# From then on a call of the store has reached it in both directions for as
# long as the users allow an entry VM to catch up.
CATCH_UP_S = 3.0
# Short, so that entries run out within a test.
HEARTBEAT_MS = 500


def make_desks(count):
    return [backend.Backend(f"desk-{number}") for number in range(count)]


async def return_after_call(made, topic):
    """Let the silent store answer again just after a call was lost.

    This is the worst moment: the entry VM waits for an answer to that call,
    which does not come, for as long as it waits for any.
    """
    made.store.unanswered.clear()
    await made.wait_for(lambda: topic in made.store.unanswered)
    made.store.silent = False
    return trio.current_time()


def test_endpoint_that_left_during_an_own_outage_gets_nothing():
    """Callers' requests are sent to a server long after it has left.

    The store leaves one entry VM without an answer and serves the others.
    Meanwhile a server's entry is removed. The entry VM reaches the store
    again, finds the entry missing, and takes its own outage for one of the
    store, in which entries of living servers lapse as well. So it waits for
    this one to come back, 2.2 s from when its last poll of the outage has
    failed, and then for the end of a poll. The other entry VMs logged
    "entry removed" at 36.01 s, this one "missing since the store returned"
    at 48.74 s, where the store had answered it again from 45.0 s on;
    requests reached the server at 48.06 and 48.62 s.
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


def test_lapsed_endpoint_that_stays_away_is_dropped_in_time():
    """A server that died in an outage of the store is still sent work.

    The store was away for all, and all entries have run out. One server
    writes its entry again at once, the other has gone. Its entry was waited
    for from when the last poll of the outage had failed, a second and more
    after the store had answered another feed, and dropped at the end of a
    later poll: 3.5 to 4.0 s after the return.
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
