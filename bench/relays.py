"""What a relay through a peer costs: ./build.sh bench relays

Calls a plain service through one of two entry VM processes, first directly,
then with that one cut off from the endpoints, so that the other one relays.
Measures the time to each response and the processor time of both processes.
"""

import os
import pathlib
import random
import statistics
import tempfile

import attrs
import fire
import trio

from tests.soak import callers as callers_module
from tests.soak import deployment
from tests.soak import endpoints as endpoints_module
from tests.soak import processes
from tests.soak import schedule
from tests.soak import traffic
from tests.standins import raw_http

CALLS = 400
WORK_MS = 5.0
UNSAFE = next(each for each in traffic.KINDS if each.route_kind == "unsafe")
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class Phase:
    """The times of a series of calls, and what each process used, in ms."""

    name: str
    served: int
    times_ms: list[float]
    cpu_ms: list[float]

    def __str__(self) -> str:
        calls = len(self.times_ms)
        quantiles = statistics.quantiles(self.times_ms, n=100)
        used = ", ".join(f"{each / calls:.2f}" for each in self.cpu_ms)
        return (
            f"{self.name}: {self.served} of {calls} served, "
            f"p50 {quantiles[49]:.1f} ms, p99 {quantiles[98]:.1f} ms, "
            f"processor time a call by process {used} ms"
        )


def read_cpu_ms(vm: processes.EntryVm) -> float:
    """Processor time that an entry VM's process has used."""
    assert vm.process is not None
    stat = pathlib.Path(f"/proc/{vm.process.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * 1000.0 / CLOCK_TICKS


async def play_phase(
    name: str, soak: deployment.Soak, callers: callers_module.Callers
) -> Phase:
    """Make calls one after the other at the first entry VM."""
    before_ms = [read_cpu_ms(vm) for vm in soak.vms]
    known = set(soak.history.statuses)
    times_ms = []
    for number in range(CALLS):
        began_s = trio.current_time()
        await callers.call(UNSAFE, f"{name}-{number}")
        times_ms.append((trio.current_time() - began_s) * 1000)
    statuses = [
        status
        for request_id, status in soak.history.statuses.items()
        if request_id not in known
    ]
    return Phase(
        name,
        sum(status == 200 for status in statuses),
        times_ms,
        [
            read_cpu_ms(vm) - each
            for vm, each in zip(soak.vms, before_ms, strict=True)
        ],
    )


async def play(folder: pathlib.Path) -> list[Phase]:
    """Start the processes and play both phases."""
    soak = deployment.Soak(
        seed=1,
        source=pathlib.Path("src").resolve(),
        folder=folder,
        entry_vms=2,
    )
    async with trio.open_nursery() as nursery:
        port = await nursery.start(raw_http.serve, soak.store.handle)
        soak.store.put("keyed.op", "config", traffic.make_config())
        soak.make_endpoints(random.Random(1))
        for endpoint in soak.fleet:
            endpoint.work_ms = WORK_MS
            endpoint.conduct = endpoints_module.Conduct()
            nursery.start_soon(endpoint.run)
        soak.make_vms(port)
        for vm in soak.vms:
            nursery.start_soon(vm.run)
        for vm in soak.vms:
            await vm.wait_until_ready()
        callers = callers_module.Callers(
            vms=soak.vms[:1], history=soak.history, draw=random.Random(1)
        )
        await trio.sleep(2.0)
        phases = [await play_phase("direct", soak, callers)]
        addresses = [f"127.0.0.1:{each.ports[0]}" for each in soak.fleet]
        soak.vms[0].partition(
            schedule.PartitionKind.REFUSED_AND_OPEN.new, addresses
        )
        await play_phase("warm-up", soak, callers)
        phases.append(await play_phase("relayed", soak, callers))
        nursery.cancel_scope.cancel()
    return phases


def main() -> None:
    """Print a line for each phase."""
    with tempfile.TemporaryDirectory() as folder:
        for phase in trio.run(play, pathlib.Path(folder)):
            print(phase)


if __name__ == "__main__":
    fire.Fire(main)
