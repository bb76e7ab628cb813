"""Stops and reloads of entry VMs by an operator, alone and in series."""

import typing

import trio

from tests.soak import processes
from tests.soak import schedule

# Between two stops of a rolling restart.
MIN_GAP_S, MAX_GAP_S = 0.5, 3.0
RELOADS, RELOAD_GAP_S = 4, 0.2
# A setting that bears on nothing that callers of the soak send.
CHANGED_SESSION_MS = 6_000.0


async def apply(
    vms: typing.Sequence[processes.EntryVm], fault: schedule.ScheduledFault
) -> None:
    """Stop or reload entry VMs as a fault says."""
    vm = vms[fault.target % len(vms)]
    match fault.fault:
        case schedule.Fault.VM_STOPPED:
            await vm.stop()
        case schedule.Fault.ROLLING_STOP:
            await stop_in_turn(vms, fault)
        case schedule.Fault.VM_RELOADED:
            await reload_repeatedly(vm, fault.strength)


async def stop_in_turn(
    vms: typing.Sequence[processes.EntryVm], fault: schedule.ScheduledFault
) -> None:
    """Stop all entry VMs, one or two at a time, with a gap between."""
    pairs, share = divmod(fault.strength * 2.0, 1.0)
    width = 1 + int(pairs)
    first = fault.target % len(vms)
    in_turn = [*vms[first:], *vms[:first]]
    async with trio.open_nursery() as nursery:
        for number in range(0, len(in_turn), width):
            for vm in in_turn[number : number + width]:
                nursery.start_soon(vm.stop)
            await trio.sleep(MIN_GAP_S + (MAX_GAP_S - MIN_GAP_S) * share)


async def reload_repeatedly(vm: processes.EntryVm, strength: float) -> None:
    """Reload several times, every other time with changed settings."""
    for number in range(1 + int(strength * RELOADS)):
        if number % 2:
            changed = vm.session_ms == processes.SESSION_MS
            vm.session_ms = (
                CHANGED_SESSION_MS if changed else processes.SESSION_MS
            )
            vm.write_settings()
        vm.reload()
        await trio.sleep(RELOAD_GAP_S)
