"""Crowds whose requests are relayed by another entry VM."""

import trio

from tests.common import crowds

READERS = 40
SLOW_BYTES_PER_S = 2_000
SLOW_PAUSE_S = 0.5
CROWD_S = 8.0


def play_readers(path):
    """Have a crowd read answers slowly that come through a peer."""

    async def main():
        async with crowds.open_site(vms=2) as site:
            site.vms[0].cut_off()
            assert await site.ask_ordinary() == 200
            readers = await site.send_crowd(
                READERS, lambda: site.make_head(path)
            )
            for each in readers:
                site.nursery.start_soon(
                    each.read_slowly, SLOW_BYTES_PER_S, SLOW_PAUSE_S
                )
            await trio.sleep(CROWD_S)
            await site.check(vm=0)
            await site.check(vm=1)

    trio.run(main)


def test_long_answers_through_a_peer_stay_within_memory():
    """Guards against answers kept in memory by both entry VMs."""
    play_readers(crowds.LONG)


def test_streams_of_large_events_through_a_peer_stay_within_memory():
    """Guards against events kept in memory by both entry VMs."""
    play_readers(crowds.LARGE_EVENTS)
