"""Crowds of clients that read long answers slowly or never.

Each test runs the process of an entry VM beside a small crowd, within the
memory of the smallest machines.
"""

import trio

from tests.common import crowds

READERS = 40
SLOW_BYTES_PER_S = 2_000
SLOW_PAUSE_S = 0.5
CROWD_S = 6.0
PIPELINED = 50
STEADY_BYTES_PER_S = 120_000


def play_readers(path, reads, requests=1):
    """Have a crowd ask for answers that it reads slowly or never."""

    async def main():
        async with crowds.open_site() as site:
            readers = await site.send_crowd(
                READERS,
                lambda: b"".join(
                    site.make_head(path) for _ in range(requests)
                ),
            )
            if reads:
                for each in readers:
                    site.nursery.start_soon(
                        each.read_slowly, SLOW_BYTES_PER_S, SLOW_PAUSE_S
                    )
            await trio.sleep(CROWD_S)
            await site.check()
            assert site.count_delivered() <= 1

    trio.run(main)


def test_long_answers_that_are_never_read_stay_within_memory():
    """Guards against an answer in memory for each client that never reads."""
    play_readers(crowds.LONG, reads=False)


def test_long_answers_that_are_read_slowly_stay_within_memory():
    """Guards against copies of an answer for each client that reads slowly."""
    play_readers(crowds.LONG, reads=True)


def test_long_answers_of_unrepeatable_requests_stay_within_memory():
    """Guards against whole answers in memory that no retry needs."""
    play_readers(crowds.ONCE_LONG, reads=True)


def test_pipelined_long_answers_stay_within_memory():
    """Guards against many answers in memory for one client."""
    play_readers(crowds.LONG, reads=False, requests=PIPELINED)


def test_streams_of_large_events_that_are_read_slowly_stay_within_memory():
    """Guards against copies of each event for clients that read slowly."""
    play_readers(crowds.LARGE_EVENTS, reads=True)


def test_streams_of_small_events_that_are_read_slowly_stay_within_memory():
    """Guards against events that pile up before a client that reads slowly."""
    play_readers(crowds.SMALL_EVENTS, reads=True)


def test_steady_slow_reader_alone_gets_all_of_a_long_answer():
    """Guards against a client that is cut off although it keeps reading."""

    async def main():
        async with crowds.open_site() as site:
            (client,) = await site.send_crowd(
                1, lambda: site.make_head(crowds.LONG, "connection: close")
            )
            await client.read_slowly(STEADY_BYTES_PER_S, 0.1)
            assert client.received > crowds.LONG_BYTES
            await site.check()

    trio.run(main)
