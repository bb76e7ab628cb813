"""Tests of entry VMs with unusual bounds."""

import trio

from tests.common import forwarding
from tests.standins import backend


def test_entry_vm_with_no_grace_stops_without_an_error():
    """The process would be killed at once, so it waits for no request."""

    async def main():
        desk = backend.Backend("desk-0")
        async with forwarding.open_forwarding(desk, grace_ms=0) as made:
            assert (await made.call("POST", "/log/")).status == 200
            made.stops[0].set()
            await made.wait_for(
                lambda: made.daemon.board.state.value == "leaving"
            )
            await trio.sleep(0.2)

    trio.run(main)


def test_entry_vm_with_bounds_of_zero_and_fractions_serves():
    """Bounds are those of the deployment, whatever they are."""

    async def main():
        desk = backend.Backend("desk-0")
        async with forwarding.open_forwarding(
            desk,
            drain_ms=0,
            apply_ms=0,
            rollback_ms=0,
            session_ms=0,
            evacuate_ms=0,
            retry_ratio=0.0,
            retry_slack=0.5,
            exposure_share=0.0,
            exposure_slack=1.5,
            key_lease_ms=4999.5,
        ) as made:
            for _ in range(4):
                assert (await made.call("POST", "/log/")).status == 200

    trio.run(main)
