"""Requests that are sent while entry VMs stop have an answer or are unread.

Callers keep some connections and open others until the processes have ended.
"""

import signal

from nose2.tools import params
import trio

from tests.common import stop_checks
from tests.common import stop_traffic
from tests.common import stopping
from tests.standins import backend

# Some answers are due after the stop.
DELAYS_S = (0.05, 0.3, 2.0, 0.1, 9.0)
BEFORE_S = 1.0


def make_servers():
    behave = stop_traffic.answer_after(*DELAYS_S)
    desks = [backend.Backend(f"desk-{n}", always=behave) for n in range(3)]
    engine = backend.Backend(
        "engine-0",
        service="engines",
        engine=True,
        events=20,
        pause_ms=50.0,
        confidence={"small": 90.0},
    )
    return [*desks, engine]


async def check_stop(vms, stop, stopped):
    """Send requests to entry VMs beside ``stop``, which stops some of them."""
    traffic = [stop_traffic.Traffic(vm) for vm in vms]
    reports = [stop_checks.Report(vm) for vm in vms]
    over = trio.Event()

    async with trio.open_nursery() as nursery:
        for each in traffic:
            nursery.start_soon(each.run, over.is_set)
        await trio.sleep(BEFORE_S)
        await stop()
        for vm in stopped:
            code, after_s = await vm.end()
            report = reports[vms.index(vm)]
            report.check(code == 0, f"process ended with {code}")
            report.check(after_s < stopping.GRACE_S, f"ended at {after_s:.2f}")
        over.set()
    for each, report in zip(traffic, reports, strict=True):
        if each.vm not in stopped:
            # It logs the end of a request after its caller has the answer.
            await each.vm.wait_for_ends(
                *(
                    one.caller.request_id
                    for one in each.sent
                    if one.received.status
                )
            )
        each.check(report)
        ends = each.count_ends()
        assert not report.problems, "\n".join([*report.problems, str(ends)])
        assert any(" 200" in end for end in ends), ends


async def lose_paths(vm):
    """Have an entry VM send its requests through a peer."""
    vm.cut_off()
    for method, path in stop_traffic.KINDS:
        with trio.fail_after(stopping.START_S):
            while (
                await (await vm.send(method, path, b"prompt")).read()
            ).status != 200:
                await trio.sleep(0.05)


@params(
    ((0,), 0.0),
    ((1,), 0.0),
    ((0, 1), 0.0),
    ((0, 1), 0.5),
    ((1, 0), 0.5),
)
def test_requests_that_a_peer_relays_are_answered_when_a_side_stops(
    order, pause_s
):
    """Guards against relayed requests that end with the stop of either VM."""

    async def main():
        servers = make_servers()
        behave = servers[0].always
        for desk in servers[:3]:
            desk.always = None
        async with stopping.open_vms(*servers, vms=2) as vms:
            await lose_paths(vms[0])
            for desk in servers[:3]:
                desk.always = behave
            stopped = [vms[number] for number in order]

            async def stop():
                for vm in stopped:
                    vm.signal()
                    await trio.sleep(pause_s)

            await check_stop(vms, stop, stopped)
            assert vms[1].list_events("request_relayed")

    trio.run(main)


async def change_configuration(vm):
    """Add and remove routes and change the idle limit beside a stop."""
    for version, (after_s, more, removed, idle_ms) in enumerate(
        (
            (0.0, 290, (), 15_000),
            (0.5, 290, (), 200),
            (1.2, 0, ("say",), 15_000),
            (2.3, 290, ("look", "tip"), 50),
            (stopping.DUE_S - 0.1, 0, (), 200),
        ),
        start=2,
    ):
        await vm.sleep_until(after_s)
        config = {**stopping.make_config(), "version": version}
        routes = [r for r in config["routes"] if r["name"] not in removed]
        config["routes"] = routes + [
            {**routes[0], "name": f"more-{n}", "pathPrefix": f"/more-{n}/"}
            for n in range(more)
        ]
        config["limits"]["idleTimeoutMs"] = idle_ms
        vm.running.store.put("keyed.op", "config", config)


async def send_signals(vm, *steps):
    """Send signals at times after the first."""
    for after_s, number in steps:
        if after_s:
            await vm.sleep_until(after_s)
        vm.signal(number)


TERM, HUP = signal.SIGTERM, signal.SIGHUP


@params(
    ((0.0, TERM), (0.05, TERM)),
    ((0.0, TERM), (1.0, signal.SIGINT), (stopping.DUE_S, TERM)),
    (
        (0.0, HUP),
        (0.0, TERM),
        (0.0, HUP),
        (stopping.REFUSING_S, HUP),
        (stopping.DUE_S, HUP),
    ),
)
def test_signals_and_changes_beside_a_stop_lose_no_request(*steps):
    """Guards against a stop that one of them cuts short or restarts."""

    async def main():
        async with stopping.open_vms(*make_servers()) as (vm,):

            async def stop():
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(change_configuration, vm)
                    await send_signals(vm, *steps)

            await check_stop([vm], stop, [vm])

    trio.run(main)


def test_entry_vms_that_stop_one_after_the_other_lose_no_request():
    """Guards against requests lost where a whole failure domain stops."""

    async def main():
        async with stopping.open_vms(*make_servers(), vms=3) as vms:

            async def stop():
                for vm in vms:
                    vm.signal()
                    await trio.sleep(1.0)

            await check_stop(vms, stop, vms)

    trio.run(main)


def test_entry_vm_that_stops_twice_beside_its_callers_loses_no_request():
    """Guards against requests lost between a process and the next one."""

    async def main():
        async with stopping.open_vms(*make_servers()) as (vm,):

            async def stop():
                vm.signal()
                code, after_s = await vm.end()
                assert (code, after_s < stopping.GRACE_S) == (0, True), after_s
                await vm.start()
                with trio.fail_after(stopping.START_S):
                    while len(vm.list_events("node_ready")) < 2:
                        await trio.sleep(0.02)
                await trio.sleep(BEFORE_S)
                vm.signalled_s = float("inf")
                vm.signal()

            await check_stop([vm], stop, [vm])

    trio.run(main)
