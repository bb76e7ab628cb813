"""An entry VM while the platform's store fails, changes or forgets."""

import trio

from carawayward.forwarding import report_channels
from tests.common import forwarding
from tests.standins import backend

# Short, so that entries run out within a test.
HEARTBEAT_MS = 500


def make_desks(count=2):
    return [backend.Backend(f"desk-{number}") for number in range(count)]


def make_peer(name, last_seen_ms):
    return report_channels.Peer(name, ("127.0.0.1", 9), "x", last_seen_ms)


def test_nothing_is_known_before_the_first_configuration():
    """An entry VM starts before the operator has written anything.

    It is not ready and refuses with a time to come back; a 404 or 401 would
    be untrue, since the route and the key may come at any moment.
    """

    async def main():
        (desk,) = make_desks(1)
        async with forwarding.open_forwarding(desk) as made:
            made.store.topics["keyed.op"].newest.clear()
            await made.start_daemon_unready()
            answer = await made.call("GET", "/look/", daemon=1)
            ready = await made.check_readiness(1)
            assert (answer.status, ready) == (503, 503)
            assert float(answer.headers["retry-after"]) > 0
            made.store.put("keyed.op", "config", forwarding.make_config(2))
            await made.wait_for(
                lambda: made.daemons[1].board.state.value == "ready"
            )
            assert await made.check_readiness(1) == 200
            answer = await made.call("GET", "/look/", daemon=1)
            assert answer.status == 200

    trio.run(main)


def test_key_stops_working_when_it_is_taken_away():
    """The operator takes a key away; its holder goes on sending."""

    async def main():
        (desk,) = make_desks(1)
        async with forwarding.open_forwarding(desk) as made:
            assert (await made.call("GET", "/look/")).status == 200
            config = forwarding.make_config(2)
            config["tenants"][0]["apiKeys"] = []
            made.store.put("keyed.op", "config", config)
            await made.wait_for(lambda: made.find_table().revision == 2)
            assert (await made.call("GET", "/look/")).status == 401

    trio.run(main)


def test_keys_lapse_when_the_store_is_silent():
    """The store falls silent, so that a taken key would not be noticed.

    Before the bound is up requests with a key are refused, not run; those
    on anonymous routes go on. Once the store answers keys work again.
    """

    async def main():
        (desk,) = make_desks(1)
        async with forwarding.open_forwarding(
            desk, key_lease_ms=1_600
        ) as made:
            made.store.silent = True
            board, clock = made.daemon.board, made.daemon.clock
            await made.wait_for(lambda: not board.is_fresh(clock.boot_ms()))
            keyed = await made.call("GET", "/look/")
            unknown = await made.call("GET", "/look/", carawayward_key="x")
            no_route = await made.call("GET", "/nowhere/")
            anonymous = await made.call("GET", "/open/")
            assert [keyed.status, unknown.status, no_route.status] == [503] * 3
            assert float(keyed.headers["retry-after"]) > 0
            assert anonymous.status == 200
            made.store.silent = False
            await made.wait_for(lambda: board.is_fresh(clock.boot_ms()))
            assert (await made.call("GET", "/look/")).status == 200

    trio.run(main)


def test_stale_entry_vm_sends_callers_to_the_others():
    """An entry VM is cut off from the store, and summaries come 2 s late.

    The others serve. Cause: callers are told to come back when the store may
    have returned, over connections that lead to the same entry VM, though any
    other would have served them at once.
    """

    async def main():
        (desk,) = make_desks(1)
        async with forwarding.open_forwarding(
            desk, key_lease_ms=1_600
        ) as made:
            board, clock = made.daemon.board, made.daemon.clock
            peers = made.get_reporter().peers
            for name in ("vm-b", "vm-c"):
                peers[name] = make_peer(name, clock.now_ms())
            assert await made.check_readiness(0) == 200
            made.store.silent = True
            await made.wait_for(lambda: not board.is_fresh(clock.boot_ms()))
            answer = await made.call("GET", "/look/")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) < 0.1
            assert answer.headers["connection"] == "close"
            assert await made.check_readiness(0) == 503
            for peer in peers.values():
                peer.last_seen_ms, peer.stale = clock.now_ms(), True
            answer = await made.call("GET", "/look/")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) >= 1.0
            assert await made.check_readiness(0) == 200

    trio.run(main)


def test_callers_are_sent_away_before_keys_lapse():
    """A failure domain is cut off; for two seconds its callers are refused.

    A balancer moves callers two seconds after an entry VM says that it is not
    ready, and that was said only when the keys had lapsed. Until then those
    that are still here are served.
    """

    async def main():
        (desk,) = make_desks(1)
        async with forwarding.open_forwarding(
            desk, key_lease_ms=8_000
        ) as made:
            board, clock = made.daemon.board, made.daemon.clock
            peers = made.get_reporter().peers
            peers["vm-b"] = make_peer("vm-b", clock.now_ms())
            made.store.silent = True
            await made.wait_for(lambda: board.store_failing)
            assert board.is_fresh(clock.boot_ms())
            assert await made.check_readiness(0) == 503
            answer = await made.call("GET", "/look/")
            assert answer.status == 200
            assert answer.headers["connection"] == "close"
            made.store.silent = False
            await made.wait_for(lambda: not board.store_failing)
            assert await made.check_readiness(0) == 200

    trio.run(main)


def test_lease_is_checked_again_when_the_request_goes_out():
    """A request waits for its connection while the lease runs out.

    It goes to no other server either, and none is held to be out of reach.
    """

    async def main():
        desks = make_desks(3)
        async with forwarding.open_forwarding(*desks) as made:
            forwarder = made.daemon.app.forwarder
            forwarder.may_send = lambda work: False
            answer = await made.call("POST", "/log/")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) >= 1.0
            assert not any(desk.runs for desk in desks)
            assert not forwarder.fleet.list_quarantined()
            counted = made.daemon.app.metrics.counters
            assert counted["attempts", (("outcome", "withheld"),)] == 1.0

    trio.run(main)


def test_older_and_unreadable_configurations_change_nothing():
    """A half-written and an older configuration are in the topic.

    The one in force stays; nothing is ever taken back.
    """

    async def main():
        (desk,) = make_desks(1)
        async with forwarding.open_forwarding(desk) as made:
            made.store.put("keyed.op", "config", forwarding.make_config(5))
            await made.wait_for(lambda: made.find_table().revision == 5)
            for broken in (
                {"version": 6},
                {**forwarding.make_config(7), "routes": [{"name": 3}]},
                {**forwarding.make_config(8), "version": "8"},
                "text",
                {**forwarding.make_config(3), "routes": []},
            ):
                made.store.put("keyed.op", "config", broken)
            end = made.store.topic("keyed.op").end
            feed = made.find_controller(0)
            await made.wait_for(lambda: feed.position == end)
            assert made.find_table().revision == 5
            assert (await made.call("GET", "/look/")).status == 200

    trio.run(main)


def test_forgotten_history_is_made_up_by_the_newest_records():
    """The store drops its history while an entry VM is cut off from it."""

    async def main():
        desks = make_desks()
        async with forwarding.open_forwarding(*desks) as made:
            made.store.error_status = 503
            feed = made.find_controller(0)
            await made.wait_for(lambda: feed.failing)
            made.store.put("keyed.op", "config", forwarding.make_config(2))
            made.store.put("keyed.servers", "desk-0", None)
            for topic in ("keyed.op", "keyed.servers"):
                made.store.topic(topic).drop_history()
            made.store.error_status = 0
            board = made.daemon.board
            await made.wait_for(lambda: made.find_table().revision == 2)
            await made.wait_for(lambda: "desk-0" not in board.endpoints)
            for _ in range(3):
                assert (await made.call("POST", "/log/")).status == 200
        assert not desks[0].runs

    trio.run(main)


def test_leaving_server_gets_no_new_work():
    """A server says that it drains, another one's entry is taken out."""

    async def main():
        desks = make_desks(3)
        async with forwarding.open_forwarding(*desks) as made:
            made.register(desks[0], state="draining", sequence=2)
            made.store.put("keyed.servers", "desk-1", None)
            board = made.daemon.board
            await made.wait_for(lambda: board.endpoints["desk-0"].leaving)
            await made.wait_for(lambda: "desk-1" not in board.endpoints)
            for _ in range(6):
                assert (await made.call("POST", "/log/")).status == 200
        assert [len(desk.runs) for desk in desks] == [0, 0, 6]

    trio.run(main)


def test_leaving_server_is_noticed_though_the_store_wakes_no_poll():
    """The store drops its history just as a server says that it leaves.

    Polls that wait hear nothing of it. With polls of 5 s, requests reached
    the server 2.7 s after it had said so, where 2 s are allowed.
    """

    async def main():
        desks = make_desks()
        async with forwarding.open_forwarding(*desks) as made:
            await trio.sleep(0.2)
            made.store.delaying_polls = True
            made.register(desks[0], state="draining", sequence=2)
            made.store.topic("keyed.servers").drop_history()
            drain_s = made.daemon.board.bounds.drain_ms / 1000
            await trio.sleep(0.8 * drain_s)
            for _ in range(4):
                assert (await made.call("POST", "/log/")).status == 200
        assert not desks[0].runs

    trio.run(main)


def test_entries_that_lapse_while_the_store_is_away_are_waited_for():
    """The store is away, and the entries of living servers run out.

    Taken as gone at its return they would leave the pool empty; their
    servers write them again within two seconds. One that does not has gone.
    """

    async def main():
        desks = make_desks()
        async with forwarding.open_forwarding(
            *desks, heartbeat_ms=HEARTBEAT_MS
        ) as made:
            feed = made.find_controller(0)
            made.store.error_status = 503
            await made.wait_for(lambda: feed.failing)
            await trio.sleep(4 * HEARTBEAT_MS / 1000)
            for desk in desks:
                made.store.put("keyed.servers", desk.name, None)
            made.store.error_status = 0
            await made.wait_for(lambda: not feed.failing)
            assert (await made.call("POST", "/log/")).status == 200
            made.register(desks[0], sequence=2)
            board = made.daemon.board
            await made.wait_for(lambda: "desk-1" not in board.endpoints)
            assert "desk-0" in board.endpoints

    trio.run(main)


def test_unreadable_entry_names_no_server_and_spares_the_others():
    """Another program has written junk under some servers' names."""

    async def main():
        desks = make_desks(3)
        async with forwarding.open_forwarding(*desks) as made:
            made.register(desks[0], state="dancing")
            made.register(desks[1], address=17)
            made.store.put("keyed.servers", "ghost", {"service": "desk"})
            made.store.put("keyed.servers", "odd", "no object")
            board = made.daemon.board
            await made.wait_for(lambda: set(board.endpoints) == {"desk-2"})
            for _ in range(3):
                assert (await made.call("POST", "/log/")).status == 200
        assert len(desks[2].runs) == 3

    trio.run(main)


def test_entry_without_time_of_birth_is_used():
    """Older servers do not say when they started."""

    async def main():
        (desk,) = make_desks(1)
        async with forwarding.open_forwarding(desk) as made:
            made.register(desk, born=None, sequence=2)
            board = made.daemon.board
            await made.wait_for(lambda: board.endpoints["desk-0"].born is None)
            assert (await made.call("POST", "/log/")).status == 200

    trio.run(main)


def test_server_that_starts_again_under_its_name_is_another_one():
    """A server crashed three times in a row and was left out.

    It starts again under the same name and address; what was learned of
    the one before must not keep it out.
    """

    async def main():
        (desk,) = make_desks(1)
        async with forwarding.open_forwarding(desk) as made:
            fleet = made.daemon.app.forwarder.fleet
            assert (await made.call("POST", "/log/")).status == 200
            before = fleet.tracked["desk-0"].view
            made.register(desk, born=1_700_000_009_000, sequence=1)
            board = made.daemon.board
            await made.wait_for(
                lambda: board.endpoints["desk-0"].born == 1_700_000_009_000
            )
            assert (await made.call("POST", "/log/")).status == 200
            assert fleet.tracked["desk-0"].view is not before

    trio.run(main)


def test_stop_serves_what_it_took_and_turns_late_requests_away():
    """An entry VM is told to stop while a stream runs.

    It is not ready at once, tells callers to close, finishes the stream,
    and refuses what comes after the balancer had time to notice.
    """

    async def main():
        engine = backend.Backend(
            "engine-0",
            service="engines",
            engine=True,
            events=40,
            pause_ms=70.0,
        )
        desk = backend.Backend("desk-0")
        async with forwarding.open_forwarding(engine, desk) as made:
            bodies: list[bytes] = []
            late = []

            async def stream():
                bodies.append((await made.request_stream()).body)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(stream)
                await made.wait_for(lambda: bool(engine.runs))
                made.stops[0].set()
                await made.wait_for(
                    lambda: made.daemon.board.state.value == "leaving"
                )
                assert await made.check_readiness(0) == 503
                early = await made.call("GET", "/look/")
                await made.wait_for(lambda: made.daemon.board.refusing)
                late.append(await made.call("GET", "/look/"))
        assert early.status == 200
        assert early.headers["connection"] == "close"
        assert late[0].status == 503
        assert forwarding.read_numbers(bodies[0]) == list(range(1, 41))

    trio.run(main)
