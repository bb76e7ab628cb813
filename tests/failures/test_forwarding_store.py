"""An entry VM while the platform's store fails, changes or loses history."""

import trio

from carawayward.forwarding import report_channels
from tests.common import forwarding
from tests.standins import backend

# Short, so that entries expire within a test.
HEARTBEAT_MS = 500


def make_desks(count=2):
    return [backend.Backend(f"desk-{number}") for number in range(count)]


def make_peer(name, last_seen_ms):
    return report_channels.Peer(name, ("127.0.0.1", 9), "x", last_seen_ms)


def test_requests_are_refused_before_the_first_configuration():
    """Guards against a wrong refusal before the operator's first write.

    The entry VM has to be not ready and refuse with a retry-after. A 404 or
    401 would be wrong, since the route and the key may be added at any moment.
    """

    async def main():
        (desk,) = make_desks(1)
        async with forwarding.open_forwarding(desk) as deployment:
            deployment.store.topics["keyed.op"].newest.clear()
            await deployment.start_daemon_unready()
            answer = await deployment.call("GET", "/look/", daemon=1)
            ready = await deployment.check_readiness(1)
            assert (answer.status, ready) == (503, 503)
            assert float(answer.headers["retry-after"]) > 0
            deployment.store.put(
                "keyed.op", "config", forwarding.make_config(2)
            )
            await deployment.wait_for(
                lambda: deployment.daemons[1].board.state.value == "ready"
            )
            assert await deployment.check_readiness(1) == 200
            answer = await deployment.call("GET", "/look/", daemon=1)
            assert answer.status == 200

    trio.run(main)


def test_revoked_key_stops_working():
    """Guards against a revoked key whose requests are still served."""

    async def main():
        (desk,) = make_desks(1)
        async with forwarding.open_forwarding(desk) as deployment:
            assert (await deployment.call("GET", "/look/")).status == 200
            config = forwarding.make_config(2)
            config["tenants"][0]["apiKeys"] = []
            deployment.store.put("keyed.op", "config", config)
            await deployment.wait_for(
                lambda: deployment.find_table().revision == 2
            )
            assert (await deployment.call("GET", "/look/")).status == 401

    trio.run(main)


def test_keys_expire_when_the_store_is_silent():
    """Guards against a revoked key that works while the store is silent.

    Before the bound is reached, requests with a key are refused and not run;
    those on anonymous routes are still served. Keys work again as soon as the
    store answers.
    """

    async def main():
        (desk,) = make_desks(1)
        async with forwarding.open_forwarding(
            desk, key_lease_ms=1_600
        ) as deployment:
            deployment.store.silent = True
            board, clock = deployment.daemon.board, deployment.daemon.clock
            await deployment.wait_for(
                lambda: not board.is_key_lease_valid(clock.boot_ms())
            )
            keyed = await deployment.call("GET", "/look/")
            unknown = await deployment.call(
                "GET", "/look/", carawayward_key="x"
            )
            no_route = await deployment.call("GET", "/nowhere/")
            anonymous = await deployment.call("GET", "/open/")
            assert [keyed.status, unknown.status, no_route.status] == [503] * 3
            assert float(keyed.headers["retry-after"]) > 0
            assert anonymous.status == 200
            deployment.store.silent = False
            await deployment.wait_for(
                lambda: board.is_key_lease_valid(clock.boot_ms())
            )
            assert (await deployment.call("GET", "/look/")).status == 200

    trio.run(main)


def test_stale_entry_vm_redirects_callers_to_other_vms():
    """Guards against summaries 2 s late when one entry VM lost the store.

    The other entry VMs still serve. Callers were told to retry when the store
    might have recovered, over connections that lead to the same entry VM,
    although any other would have served them at once.
    """

    async def main():
        (desk,) = make_desks(1)
        async with forwarding.open_forwarding(
            desk, key_lease_ms=1_600
        ) as deployment:
            board, clock = deployment.daemon.board, deployment.daemon.clock
            peers = deployment.get_reporter().peers
            for name in ("vm-b", "vm-c"):
                peers[name] = make_peer(name, clock.now_ms())
            assert await deployment.check_readiness(0) == 200
            deployment.store.silent = True
            await deployment.wait_for(
                lambda: not board.is_key_lease_valid(clock.boot_ms())
            )
            answer = await deployment.call("GET", "/look/")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) < 0.1
            assert answer.headers["connection"] == "close"
            assert await deployment.check_readiness(0) == 503
            for peer in peers.values():
                peer.last_seen_ms, peer.stale = clock.now_ms(), True
            answer = await deployment.call("GET", "/look/")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) >= 1.0
            assert await deployment.check_readiness(0) == 200

    trio.run(main)


def test_callers_are_redirected_before_keys_expire():
    """Guards against callers refused for 2 s as a failure domain is cut off.

    A load balancer moves callers two seconds after an entry VM reports that it
    is not ready, which was reported only when the keys had expired. Until then
    the remaining callers are served.
    """

    async def main():
        (desk,) = make_desks(1)
        async with forwarding.open_forwarding(
            desk, key_lease_ms=8_000
        ) as deployment:
            board, clock = deployment.daemon.board, deployment.daemon.clock
            peers = deployment.get_reporter().peers
            peers["vm-b"] = make_peer("vm-b", clock.now_ms())
            deployment.store.silent = True
            await deployment.wait_for(lambda: board.store_failing)
            assert board.is_key_lease_valid(clock.boot_ms())
            assert await deployment.check_readiness(0) == 503
            answer = await deployment.call("GET", "/look/")
            assert answer.status == 200
            assert answer.headers["connection"] == "close"
            deployment.store.silent = False
            await deployment.wait_for(lambda: not board.store_failing)
            assert await deployment.check_readiness(0) == 200

    trio.run(main)


def test_lease_is_checked_again_when_the_request_is_sent():
    """Guards against a request sent after the lease on its key has expired.

    The lease expires while the request waits for its connection. The request
    is not sent to another server either, and no server counts as unreachable.
    """

    async def main():
        desks = make_desks(3)
        async with forwarding.open_forwarding(*desks) as deployment:
            forwarder = deployment.daemon.app.forwarder
            forwarder.sender.may_send = lambda work: False
            answer = await deployment.call("POST", "/log/")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) >= 1.0
            assert not any(desk.runs for desk in desks)
            assert not forwarder.fleet.list_quarantined()
            counted = deployment.daemon.app.metrics.counters
            assert counted["attempts", (("outcome", "withheld"),)] == 1.0

    trio.run(main)


def test_older_and_unreadable_configurations_are_ignored():
    """Guards against an incomplete or older configuration put into force.

    The configuration in force stays, and is never replaced by an older one.
    """

    async def main():
        (desk,) = make_desks(1)
        async with forwarding.open_forwarding(desk) as deployment:
            deployment.store.put(
                "keyed.op", "config", forwarding.make_config(5)
            )
            await deployment.wait_for(
                lambda: deployment.find_table().revision == 5
            )
            feed = deployment.find_controller(0)
            for broken in (
                {"version": 6},
                {**forwarding.make_config(7), "routes": [{"name": 3}]},
                {**forwarding.make_config(8), "version": "8"},
                {**forwarding.make_config(9), "services": [{}]},
                {**forwarding.make_config(9), "limits": {"maxBodyBytes": ""}},
                "text",
                {**forwarding.make_config(3), "routes": []},
            ):
                deployment.store.put("keyed.op", "config", broken)
                end = deployment.store.topic("keyed.op").end
                while feed.position != end:
                    await trio.sleep(0.01)
                assert deployment.find_table().revision == 5
            assert (await deployment.call("GET", "/look/")).status == 200

    trio.run(main)


def test_configuration_before_an_unreadable_one_is_put_into_force():
    """Guards against a configuration skipped for one that cannot be used.

    Both are read at once.
    """

    async def main():
        (desk,) = make_desks(1)
        async with forwarding.open_forwarding(desk) as deployment:
            deployment.store.put(
                "keyed.op", "config", forwarding.make_config(5)
            )
            deployment.store.put("keyed.op", "config", {"version": 6})
            feed = deployment.find_controller(0)
            end = deployment.store.topic("keyed.op").end
            await deployment.wait_for(lambda: feed.position == end)
            assert deployment.find_table().revision == 5

    trio.run(main)


def test_discarded_history_is_recovered_from_the_newest_records():
    """Guards against missed changes when the store discards its history.

    The entry VM is cut off from the store meanwhile.
    """

    async def main():
        desks = make_desks()
        async with forwarding.open_forwarding(*desks) as deployment:
            deployment.store.error_status = 503
            feed = deployment.find_controller(0)
            await deployment.wait_for(lambda: feed.failing)
            deployment.store.put(
                "keyed.op", "config", forwarding.make_config(2)
            )
            deployment.store.put("keyed.servers", "desk-0", None)
            for topic in ("keyed.op", "keyed.servers"):
                deployment.store.topic(topic).drop_history()
            deployment.store.error_status = 0
            board = deployment.daemon.board
            await deployment.wait_for(
                lambda: deployment.find_table().revision == 2
            )
            await deployment.wait_for(lambda: "desk-0" not in board.endpoints)
            for _ in range(3):
                assert (await deployment.call("POST", "/log/")).status == 200
        assert not desks[0].runs

    trio.run(main)


def test_leaving_server_gets_no_new_requests():
    """Guards against requests to a draining server and to a removed one."""

    async def main():
        desks = make_desks(3)
        async with forwarding.open_forwarding(*desks) as deployment:
            deployment.register(desks[0], state="draining", sequence=2)
            deployment.store.put("keyed.servers", "desk-1", None)
            board = deployment.daemon.board
            await deployment.wait_for(
                lambda: board.endpoints["desk-0"].leaving
            )
            await deployment.wait_for(lambda: "desk-1" not in board.endpoints)
            for _ in range(6):
                assert (await deployment.call("POST", "/log/")).status == 200
        assert [len(desk.runs) for desk in desks] == [0, 0, 6]

    trio.run(main)


def test_leaving_server_is_noticed_when_the_store_wakes_no_poll():
    """Guards against late detection of a leaving server.

    The store discards its history just as the server announces that it leaves,
    and waiting polls are not woken. With polls of 5 s, requests reached the
    server 2.7 s after the announcement, where 2 s are allowed.
    """

    async def main():
        desks = make_desks()
        async with forwarding.open_forwarding(*desks) as deployment:
            await trio.sleep(0.2)
            deployment.store.delaying_polls = True
            deployment.register(desks[0], state="draining", sequence=2)
            deployment.store.topic("keyed.servers").drop_history()
            drain_s = deployment.daemon.board.bounds.drain_ms / 1000
            await trio.sleep(0.8 * drain_s)
            for _ in range(4):
                assert (await deployment.call("POST", "/log/")).status == 200
        assert not desks[0].runs

    trio.run(main)


def test_entries_that_expire_in_an_outage_get_a_grace_period():
    """Guards against an empty pool after an outage of the store.

    Entries of live servers expire in the outage and are written again within
    two seconds of the recovery. An entry that is not has to be dropped.
    """

    async def main():
        desks = make_desks()
        async with forwarding.open_forwarding(
            *desks, heartbeat_ms=HEARTBEAT_MS
        ) as deployment:
            feed = deployment.find_controller(0)
            deployment.store.error_status = 503
            await deployment.wait_for(lambda: feed.failing)
            await trio.sleep(4 * HEARTBEAT_MS / 1000)
            for desk in desks:
                deployment.store.put("keyed.servers", desk.name, None)
            deployment.store.error_status = 0
            await deployment.wait_for(lambda: not feed.failing)
            assert (await deployment.call("POST", "/log/")).status == 200
            deployment.register(desks[0], sequence=2)
            board = deployment.daemon.board
            await deployment.wait_for(lambda: "desk-1" not in board.endpoints)
            assert "desk-0" in board.endpoints

    trio.run(main)


def test_unreadable_entries_are_ignored_and_others_kept():
    """Guards against junk records affecting the entries of other servers."""

    async def main():
        desks = make_desks(3)
        async with forwarding.open_forwarding(*desks) as deployment:
            deployment.register(desks[0], state="dancing")
            deployment.register(desks[1], address=17)
            deployment.store.put("keyed.servers", "ghost", {"service": "desk"})
            deployment.store.put("keyed.servers", "odd", "no object")
            board = deployment.daemon.board
            await deployment.wait_for(
                lambda: set(board.endpoints) == {"desk-2"}
            )
            for _ in range(3):
                assert (await deployment.call("POST", "/log/")).status == 200
        assert len(desks[2].runs) == 3

    trio.run(main)


def test_entry_without_start_time_is_used():
    """Guards against ignoring older servers, which omit their start time."""

    async def main():
        (desk,) = make_desks(1)
        async with forwarding.open_forwarding(desk) as deployment:
            deployment.register(desk, born=None, sequence=2)
            board = deployment.daemon.board
            await deployment.wait_for(
                lambda: board.endpoints["desk-0"].born is None
            )
            assert (await deployment.call("POST", "/log/")).status == 200

    trio.run(main)


def test_restarted_server_starts_with_a_clean_record():
    """Guards against excluding a restarted server for its former crashes.

    It starts again under the same name and address after three crashes.
    """

    async def main():
        (desk,) = make_desks(1)
        async with forwarding.open_forwarding(desk) as deployment:
            fleet = deployment.daemon.app.forwarder.fleet
            assert (await deployment.call("POST", "/log/")).status == 200
            before = fleet.tracked["desk-0"].view
            deployment.register(desk, born=1_700_000_009_000, sequence=1)
            board = deployment.daemon.board
            await deployment.wait_for(
                lambda: board.endpoints["desk-0"].born == 1_700_000_009_000
            )
            assert (await deployment.call("POST", "/log/")).status == 200
            assert fleet.tracked["desk-0"].view is not before

    trio.run(main)


def test_shutdown_finishes_accepted_requests_and_refuses_late_ones():
    """Guards against a stream that is cut off as its entry VM shuts down.

    The entry VM reports at once that it is not ready, asks callers to close
    their connections, finishes the stream, and refuses requests that arrive
    after the load balancer had time to notice.
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
        async with forwarding.open_forwarding(engine, desk) as deployment:
            bodies: list[bytes] = []
            late = []

            async def stream():
                bodies.append((await deployment.request_stream()).body)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(stream)
                await deployment.wait_for(lambda: bool(engine.runs))
                deployment.stops[0].set()
                await deployment.wait_for(
                    lambda: deployment.daemon.board.state.value == "leaving"
                )
                assert await deployment.check_readiness(0) == 503
                early_answer = await deployment.call("GET", "/look/")
                await deployment.wait_for(
                    lambda: deployment.daemon.board.refusing
                )
                late.append(await deployment.call("GET", "/look/"))
        assert early_answer.status == 200
        assert early_answer.headers["connection"] == "close"
        assert late[0].status == 503
        assert forwarding.read_numbers(bodies[0]) == list(range(1, 41))

    trio.run(main)


def test_configuration_without_any_tenant_allows_no_key():
    """Operators remove the last tenant; keys became optional by that."""

    async def main():
        desk = backend.Backend("desk-0")
        async with forwarding.open_forwarding(desk) as made:
            assert (await made.call("GET", "/look/")).status == 200
            config = forwarding.make_config(2, tenants=[])
            made.store.put("keyed.op", "config", config)
            await made.wait_for(lambda: made.find_table().revision == 2)
            for key in (forwarding.KEY, "never-held", ""):
                answer = await made.call("GET", "/look/", carawayward_key=key)
                assert answer.status == 401
            answer = await made.call("GET", "/open/", carawayward_key="")
            assert answer.status == 200
            config = forwarding.make_config(3)
            del config["tenants"]
            made.store.put("keyed.op", "config", config)
            await made.wait_for(lambda: made.find_table().revision == 3)
            answer = await made.call("GET", "/look/", carawayward_key="")
            assert answer.status == 200

    trio.run(main)
