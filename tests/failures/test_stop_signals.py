"""Signals to an entry VM that starts or stops already."""

import pathlib
import signal
import time

import trio

from tests.common import deployment
from tests.common import loopback
from tests.common import stop_checks
from tests.common import stopping
from tests.common import streaming
from tests.standins import backend


def test_more_signals_during_a_stop_change_nothing():
    """A second SIGTERM, and SIGHUP, neither end it sooner nor in disorder."""

    async def main():
        answered = trio.Event()
        desk = backend.Backend("desk-0", always=stop_checks.act_on(answered))
        async with stopping.open_vms(desk) as (vm,):
            callers = {"/log/1": await vm.send("POST", "/log/1")}
            await stop_checks.wait_for_arrivals(vm, 1)
            for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP):
                vm.signal(number)
                await trio.sleep(0.2)
            answered.set()
            statuses = {"/log/1": (200,)}
            await stop_checks.check_waiting(
                vm, callers, statuses, cause="delivered"
            )

    trio.run(main)


def test_signals_until_the_end_of_a_stop_do_not_kill_the_process():
    """One that came as it exited ended it with the signal's own code."""

    async def main():
        async with stopping.open_vms(backend.Backend("desk-0")) as (vm,):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(vm.end)
                while vm.process.returncode is None:
                    vm.signal()
                    vm.signal(signal.SIGHUP)
                    await trio.sleep(0.002)
            await stop_checks.Report(vm).finish()

    trio.run(main)


def test_signals_until_the_end_do_not_kill_the_process_of_the_callers_api():
    """One that came as it exited ended it with the signal's own code."""
    with deployment.Deployment(streaming.make_plan(engines=1)) as running:
        vm = running.entry_vms[0]
        process = vm.process
        assert process is not None
        while process.poll() is None:
            process.send_signal(signal.SIGTERM)
            time.sleep(0.002)
        output = (running.folder / f"{vm.name}.out").read_text()
    # The second signal cut the stop short.
    assert process.returncode == 1, process.returncode
    assert output.count('"node_stopped"') == 1, output


def handles(process, number):
    """Whether a process has a handler for a signal."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    caught = status.partition("SigCgt:")[2].split()[0]
    return bool(int(caught, 16) >> (number - 1) & 1)


async def stop_early(condition):
    """Stop an entry VM once a condition of its process holds."""
    async with stopping.open_vms(backend.Backend("desk-0"), ready=False) as (
        vm,
    ):
        await vm.running.wait_for(lambda: condition(vm.process))
        vm.signal()
        code, after_s = await vm.end()
        assert after_s < stopping.GRACE_S
        return code, vm.list_events()


def test_process_that_is_stopped_while_it_imports_ends_at_once():
    """It has no handler yet and has read no request."""
    code, events = trio.run(
        stop_early, lambda process: handles(process, signal.SIGHUP)
    )
    assert code in (0, -signal.SIGTERM), code
    assert not events


def test_process_that_is_stopped_while_it_starts_ends_in_order():
    """It has a handler for the signal, but is not ready."""
    code, events = trio.run(
        stop_early, lambda process: handles(process, signal.SIGTERM)
    )
    assert code == 0, events
    assert events[-1]["name"] == "node_stopped", events


def test_requests_at_a_process_that_never_became_ready_are_refused():
    """It has read no routing table when it is stopped."""

    async def main():
        async with stopping.open_vms(
            backend.Backend("desk-0"), failing_store=True
        ) as (vm,):
            await trio.to_thread.run_sync(
                loopback.wait_until_listening, f"127.0.0.1:{vm.ports[0]}"
            )
            callers = {"before": await vm.send("GET", "/look/1")}
            vm.signal()
            callers["after"] = await vm.send("GET", "/look/1")
            statuses = dict.fromkeys(callers, (503,))
            await stop_checks.check_waiting(vm, callers, statuses, cause=None)

    trio.run(main)
