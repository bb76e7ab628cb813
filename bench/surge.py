"""What one entry VM serves of a surge: ./build.sh bench surge

Most first tries go to one of several entry VM processes, each on a new
connection, at rising rates. That one gets a part of a core, so that it is the
bound. Measures what it serves, what it turns away, and how callers fare.
"""

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
from tests.soak import records
from tests.soak import traffic
from tests.standins import raw_http

ENTRY_VMS = 6
CORE_SHARE = 0.06
LOADS = (0.15, 0.3, 1.0, 3.0)
SETTLE_S, MEASURE_S, PAUSE_S = 4.0, 10.0, 6.0


@attrs.frozen
class Step:
    """What became of the calls of one rate; times in ms."""

    offered: int
    read: int
    served_there: int
    served: int
    calls: int
    times_ms: list[float]

    def __str__(self) -> str:
        return (
            f"offered {self.offered / MEASURE_S:.1f} a second: "
            f"read {self.read / MEASURE_S:.1f}, "
            f"served there {self.served_there / MEASURE_S:.1f}; "
            f"{self.served} of {self.calls} calls served, "
            f"p50 {statistics.median(self.times_ms):.0f} ms"
        )


def summarize(
    history: records.History, vm: str, from_ms: float, until_ms: float
) -> Step:
    """Sum up the calls that began in the given time."""
    tries = [
        sent
        for sent in history.sent.values()
        if from_ms <= sent.at_ms < until_ms
    ]
    there = [sent for sent in tries if sent.vm == vm and sent.first_try]
    read = [sent for sent in there if sent.request_id not in history.unread]
    answered = {
        sent.request_id
        for sent in tries
        if 200 <= history.statuses.get(sent.request_id, 0) < 300
    }
    return Step(
        offered=len(there),
        read=len(read),
        served_there=sum(sent.request_id in answered for sent in there),
        served=len({s.call for s in tries if s.request_id in answered}),
        calls=len({sent.call for sent in tries}),
        times_ms=[
            history.answered_ms[sent.request_id] - sent.at_ms
            for sent in tries
            if sent.request_id in answered
        ],
    )


async def play(folder: pathlib.Path, source: pathlib.Path) -> None:
    """Start the processes and print a line for each rate."""
    soak = deployment.Soak(
        seed=1, source=source, folder=folder, entry_vms=ENTRY_VMS
    )
    async with trio.open_nursery() as nursery:
        port = await nursery.start(raw_http.serve, soak.store.handle)
        soak.store.put("keyed.op", "config", traffic.make_config())
        soak.make_endpoints(random.Random(1))
        for endpoint in soak.fleet:
            endpoint.conduct = endpoints_module.Conduct()
            nursery.start_soon(endpoint.run)
        soak.make_vms(port)
        chosen = soak.vms[0]
        chosen.core_share = CORE_SHARE
        for vm in soak.vms:
            nursery.start_soon(vm.run)
        for vm in soak.vms:
            await vm.wait_until_ready()
        callers = callers_module.Callers(
            vms=soak.vms, history=soak.history, draw=random.Random(1)
        )
        await trio.sleep(deployment.WARM_UP_S)
        await callers.run(nursery)
        for load in LOADS:
            callers.load, callers.favoured = load, {"": [chosen]}
            await trio.sleep(SETTLE_S)
            from_ms = trio.current_time() * 1000
            await trio.sleep(MEASURE_S)
            until_ms = trio.current_time() * 1000
            callers.load, callers.favoured = LOADS[0], {}
            await trio.sleep(PAUSE_S)
            print(summarize(soak.history, chosen.name, from_ms, until_ms))
        nursery.cancel_scope.cancel()


def main(source: str = "src") -> None:
    """Print a line for each rate.

    Args:
        source: the folder with the sources of the entry VMs.
    """
    with tempfile.TemporaryDirectory() as folder:
        trio.run(play, pathlib.Path(folder), pathlib.Path(source).resolve())


if __name__ == "__main__":
    fire.Fire(main)
