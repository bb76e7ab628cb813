"""Crowds of clients that keep an entry VM's descriptors.

Each test runs the process of an entry VM that may have few descriptors.
"""

import trio

from tests.common import crowds

DESCRIPTORS = 400
# A tenth is kept back for endpoints, the store, peers and files.
MAX_DESCRIPTORS = 360
CROWD = 500
CROWD_S = 4.0
SLOW_BYTES_PER_S = 2_000
SLOW_PAUSE_S = 0.5


def play(make_bytes, reads=False):
    """Have a crowd connect that takes more descriptors than there are."""

    async def main():
        async with crowds.open_site(descriptors=DESCRIPTORS) as site:
            clients = await site.send_crowd(CROWD, lambda: make_bytes(site))
            if reads:
                for each in clients:
                    site.nursery.start_soon(
                        each.read_slowly, SLOW_BYTES_PER_S, SLOW_PAUSE_S
                    )
            await trio.sleep(CROWD_S)
            await site.check(max_descriptors=MAX_DESCRIPTORS)

    trio.run(main)


def test_idle_connections_leave_descriptors_for_others():
    """Guards against idle clients with which no other one can connect."""
    play(lambda site: b"")


def test_heads_without_end_leave_descriptors_for_others():
    """Guards against unfinished heads with which no client can connect."""
    play(lambda site: site.make_head(crowds.SHORT)[:-2])


def test_slow_streams_leave_descriptors_for_others():
    """Guards against slow streams with which no other client can connect."""
    play(lambda site: site.make_head(crowds.SMALL_EVENTS), reads=True)
