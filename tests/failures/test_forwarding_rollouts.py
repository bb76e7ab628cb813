"""Roll-outs of good and bad versions, ordered through the store."""

import json

import trio

from tests.common import forwarding
from tests.common import rollout_orders
from tests.standins import backend

# An order that is aged until it is nearly over, with ample time left to prove
# the version.
LONG_ORDER_S = 600.0
ELAPSED_PART = 0.9
PROOF_S = 40.0


async def call_and_close(deployment, daemon):
    """Call as a client that closes its connection after the answer."""
    host, _, port = deployment.daemons[
        daemon
    ].settings.listen.callers.partition(":")
    async with await trio.open_tcp_stream(host, int(port)) as stream:
        lines = [
            "POST /log/ HTTP/1.1",
            "content-length: 0",
            "connection: close",
        ]
        lines += [f"{n}: {v}" for n, v in deployment.make_headers()]
        await stream.send_all("\r\n".join([*lines, "", ""]).encode())
        await stream.receive_some(1)


def test_answers_count_though_their_connections_close():
    """A version that failed half of its requests was completed.

    Half of its callers asked for the connection to be closed. Cause: the
    server reports the closing while the end of the answer is sent. This was
    mistaken for a caller that had left, and cancelled the request just before
    its answer was counted, so only the other half was judged.
    """

    async def main():
        desks = rollout_orders.make_servers(always=backend.fail)
        async with forwarding.open_forwarding(*desks) as deployment:
            rollout_orders.order_rollout(deployment, 6.0)
            with trio.move_on_after(5.0):
                while rollout_orders.read_status(deployment) is None or (
                    rollout_orders.read_status(deployment)["state"]
                    == "in_progress"
                ):
                    async with trio.open_nursery() as nursery:
                        for _ in range(6):
                            nursery.start_soon(call_and_close, deployment, 0)
                    await trio.sleep(0.02)
            assert (
                rollout_orders.read_status(deployment)["state"]
                == "rolled_back"
            )

    trio.run(main)


def make_engines(events, head_ms):
    """Engines of two versions, of which the new one answers slowly."""
    return [
        backend.Backend(
            f"engine-{version}-{number}",
            service="engines",
            engine=True,
            version=version,
            events=events,
            head_ms=head_ms if version == "v2" else 20.0,
            pause_ms=150.0 if version == "v2" else 2.0,
        )
        for version in ("v1", "v2")
        for number in range(2)
    ]


def test_slow_version_is_rolled_back_before_its_answers_end():
    """Streams of the new version are many times slower and outlive the trial.

    Because only complete answers were judged, there was no evidence against
    the version. It was rolled back for lack of evidence when its time was
    over, and its callers had to wait until then.
    """

    async def main():
        engines = make_engines(events=100, head_ms=1_500.0)
        async with forwarding.open_forwarding(*engines) as deployment:
            order = {"service": "engines", "target": "v2", "durationS": 8.0}
            deployment.store.put("keyed.op", "rollout/engines", order)
            began, status = trio.current_time(), {"state": "none"}
            async with trio.open_nursery() as nursery:
                while trio.current_time() - began < 6.0:
                    for _ in range(4):
                        nursery.start_soon(deployment.request_stream)
                    await trio.sleep(0.05)
                    newest = deployment.store.topic("keyed.status").newest
                    if "rollout/engines" not in newest:
                        continue
                    status = json.loads(newest["rollout/engines"][1])
                    if status["state"] != "in_progress":
                        break
                nursery.cancel_scope.cancel()
            assert status["state"] == "rolled_back"

    trio.run(main)


def withdraw_new_version(deployment, desks):
    """Let the servers of the new version get no requests for now."""
    for desk in desks:
        if desk.version == "v2":
            deployment.register(desk, state="draining")


def count_serving(endpoints):
    """The number of listed endpoints that take requests."""
    return sum(not each.leaving for each in endpoints.values())


def test_session_that_began_before_the_order_stays_on_the_old_version():
    """A session is in progress when operators order a new version.

    When sessions were recorded only from the order on, the first request
    after it could go to the new version in the middle of the session.
    """

    async def main():
        desks = rollout_orders.make_servers()
        async with forwarding.open_forwarding(*desks) as deployment:
            names = [f"s-{number}" for number in range(60)]
            for desk in desks:
                if desk.version == "v2":
                    deployment.register(desk, state="draining")
            places = deployment.daemon.board.endpoints
            await deployment.wait_for(
                lambda: sum(not e.leaving for e in places.values()) == 2
            )
            for name in names:
                await deployment.call("GET", "/look/", session=name)
            for desk in desks:
                deployment.register(desk, state="ready", sequence=2)
            await deployment.wait_for(
                lambda: not any(e.leaving for e in places.values())
            )
            rollout_orders.order_rollout(deployment, 8.0)
            controller = deployment.find_controller(3)
            await deployment.wait_for(
                lambda: "desk" in controller.rollouts.rollouts
            )
            rollout = controller.rollouts.rollouts["desk"]
            await deployment.wait_for(lambda: rollout.status_known)
            began, checked = trio.current_time(), 0
            clock = deployment.daemon.clock
            while trio.current_time() - began < 2.5:
                for name in names:
                    answer = await deployment.call(
                        "GET", "/look/", session=name
                    )
                    if not rollout.is_early(clock.now_ms()):
                        # On a busy machine: sessions may move from now on.
                        break
                    assert answer.body.split(b"-")[1] == b"v1"
                    checked += 1
                    await deployment.call("GET", "/look/")
            assert checked >= len(names)

    trio.run(main)


def test_session_keeps_its_version_at_another_entry_vm():
    """Sessions of an entry VM that stops changed to the version on trial.

    The entry VM that got them next did not know that they began before the
    order, and drew their version anew.
    """

    async def main():
        desks = rollout_orders.make_servers()
        async with forwarding.open_forwarding(*desks, daemons=2) as deployment:
            names = [f"s-{number}" for number in range(60)]
            withdraw_new_version(deployment, desks)
            places = [each.board.endpoints for each in deployment.daemons]
            await deployment.wait_for(
                lambda: all(count_serving(each) == 2 for each in places)
            )
            for name in names:
                await deployment.call("GET", "/look/", session=name)
            for desk in desks:
                deployment.register(desk, state="ready", sequence=2)
            rollout_orders.order_rollout(deployment, 8.0)
            await trio.sleep(1.0)
            deployment.stops[0].set()
            await trio.sleep(0.5)
            versions = set()
            for name in names:
                answer = await deployment.call(
                    "GET", "/look/", daemon=1, session=name
                )
                versions.add(answer.body.split(b"-")[1])
            assert versions == {b"v1"}
            others = [f"t-{number}" for number in range(60)]
            for name in others:
                await deployment.call("GET", "/look/", daemon=1, session=name)
            assert rollout_orders.count_runs(desks, "v2") > 0

    trio.run(main)


def test_good_version_is_completed_in_time_and_has_all_traffic():
    """A good version gets few requests at first and is completed in time.

    It is reported as completed before the duration ends, once no request runs
    on the old version.
    """

    async def main():
        desks = rollout_orders.make_servers()
        async with forwarding.open_forwarding(*desks, daemons=2) as deployment:
            rollout_orders.order_rollout(deployment)
            # Open requests end after the decision; what counts is the time at
            # which operators can read it.
            with trio.fail_after(rollout_orders.ORDER_S):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        rollout_orders.send_until_decided, deployment
                    )
                    while not rollout_orders.is_decided(deployment):
                        await trio.sleep(0.005)
                    nursery.cancel_scope.cancel()
            assert rollout_orders.read_status(deployment) == {
                "state": "completed",
                "target": "v2",
            }
            old = rollout_orders.count_runs(desks, "v1")
            await trio.sleep(0.3)
            for daemon in (0, 1):
                await deployment.call("GET", "/look/", daemon=daemon)
            assert rollout_orders.count_runs(desks, "v1") == old

    trio.run(main)


def test_bad_version_is_rolled_back_and_met_by_few():
    """A new version that answers with failures is rolled back.

    Callers then get answers of the old version, and the new one gets no
    further request.
    """

    async def main():
        desks = rollout_orders.make_servers(always=backend.fail)
        async with forwarding.open_forwarding(*desks, daemons=2) as deployment:
            rollout_orders.order_rollout(deployment)
            sent = await rollout_orders.send_until_decided(deployment)
            assert rollout_orders.read_status(deployment) == {
                "state": "rolled_back",
                "target": "v2",
            }
            bad = rollout_orders.count_runs(desks, "v2")
            assert bad <= 0.15 * len(sent) + 30
            await trio.sleep(1.3)
            for daemon in (0, 1):
                for _ in range(10):
                    answer = await deployment.call(
                        "GET", "/look/", daemon=daemon
                    )
                    assert answer.status == 200
            assert rollout_orders.count_runs(desks, "v2") == bad

    trio.run(main)


def test_new_version_gets_nothing_without_an_order():
    """The servers of a rolled back version are still registered.

    An entry VM that starts then reads the status and sends them no requests.
    """

    async def main():
        desks = rollout_orders.make_servers()
        async with forwarding.open_forwarding(*desks) as deployment:
            status = {"state": "rolled_back", "target": "v2"}
            deployment.store.put("keyed.status", "rollout/desk", status)
            rollout_orders.order_rollout(deployment, 60.0)
            await deployment.start_daemon()
            for _ in range(40):
                await deployment.call("GET", "/look/", daemon=1)
                await trio.sleep(0.01)
        assert rollout_orders.count_runs(desks, "v2") == 0

    trio.run(main)


async def prepare_completion(deployment):
    """Order a roll-out that is almost over, with ample time for its proof."""
    rollout_orders.order_rollout(deployment, LONG_ORDER_S)
    controller = deployment.find_controller(3)
    await deployment.wait_for(lambda: "desk" in controller.rollouts.rollouts)
    rollout = controller.rollouts.rollouts["desk"]
    rollout.began_ms -= ELAPSED_PART * rollout.order.duration_ms
    return rollout


def test_completed_is_never_written_over_rolled_back():
    """Two entry VMs decide at the same moment, one that the version is bad.

    The append of the other is conditional on no write since its last read, so
    its "completed" fails and it adopts the rollback.
    """

    async def main():
        desks = rollout_orders.make_servers()
        async with forwarding.open_forwarding(*desks) as deployment:
            rollout = await prepare_completion(deployment)
            raced: list[bytes] = []

            async def race(call, exchange):
                body = exchange.request.body
                if call == "log-append" and b"completed" in body:
                    if not raced:
                        status = {"state": "rolled_back", "target": "v2"}
                        deployment.store.put(
                            "keyed.status", "rollout/desk", status
                        )
                    raced.append(body)
                return False

            deployment.store.override = race
            await rollout_orders.send_until_decided(deployment, PROOF_S)
            await deployment.wait_for(lambda: bool(raced))
            await deployment.wait_for(lambda: not rollout.running)
            assert rollout.state.value == "rolled back"
            assert (
                rollout_orders.read_status(deployment)["state"]
                == "rolled_back"
            )
            records = deployment.store.topic("keyed.status").records
            assert not [each for each in records if b"completed" in each]

    trio.run(main)


def test_session_stays_on_the_old_version_in_the_first_half():
    """A session continues while a version is on trial.

    In the first half of the roll-out it must stay on its first version.
    """

    async def main():
        desks = rollout_orders.make_servers()
        async with forwarding.open_forwarding(*desks) as deployment:
            names = [f"s-{number}" for number in range(40)]
            rollout_orders.order_rollout(deployment, 8.0)
            controller = deployment.find_controller(3)
            await deployment.wait_for(
                lambda: "desk" in controller.rollouts.rollouts
            )
            seen: dict[str, set[bytes]] = {name: set() for name in names}
            began = trio.current_time()
            while trio.current_time() - began < 3.0:
                for name in names:
                    answer = await deployment.call(
                        "GET", "/look/", session=name
                    )
                    seen[name].add(answer.body.split(b"-")[1])
                await trio.sleep(0.05)
        assert all(len(versions) == 1 for versions in seen.values())

    trio.run(main)
