"""Streams whose engines pause are not cut off before a stop has to."""

from nose2.tools import params
import trio

from carawayward.forwarding import relaying
from tests.common import stop_checks
from tests.common import stopping
from tests.standins import backend

GAP_TARGET_MS = 200
# Longer than what a stream may pause before it is resumed elsewhere.
PAUSE_S = 2.5 * relaying.GAP_TIMEOUT_TARGETS * GAP_TARGET_MS / 1000


@params(("/tip/1", 1), ("/tip/1", 3), ("/say/1", 1))
def test_stream_that_pauses_is_served_in_a_stop(path, runs):
    """Guards against streams closed unfinished while their engine works."""

    async def main():
        engines = [
            backend.Backend(
                f"engine-{number}",
                service="engines",
                engine=True,
                events=6,
                confidence={"small": 90.0},
                always=backend.pause_after(1, PAUSE_S),
            )
            for number in range(3)
        ]
        async with stopping.open_vms(
            *engines, gap_target_ms=GAP_TARGET_MS
        ) as (vm,):
            caller = await vm.send("POST", path, b"prompt")
            await stop_checks.wait_for_arrivals(vm, runs)
            vm.signal()
            (received,) = await stop_checks.read_all([caller])
            report = stop_checks.Report(vm)
            await vm.end()
            report.check_reply(caller, received, path, (200,), "delivered")
            await report.finish()
            assert sum(len(engine.runs) for engine in engines) == runs

    trio.run(main)
