"""Crowds of clients that send heads without end, or requests and leave."""

import trio

from tests.common import crowds

HEADS, HEAD_BYTES = 1_200, 60_000
FIELD_HEADS, FIELDS = 300, 7_000
PIPELINERS, PIPELINED = 40, 2_000
CROWD_S = 4.0
# A client's close has reached the entry VM and its endpoints by then.
LEFT_S = 0.5
# Requests that may reach endpoints later than that.
A_FEW = 3


def test_heads_without_end_stay_within_memory():
    """Guards against a buffer for each head that does not end."""

    async def main():
        async with crowds.open_site() as site:
            await site.send_crowd(
                HEADS,
                lambda: (
                    site.make_head(crowds.SHORT)[:-2]
                    + b"x: "
                    + b"x" * HEAD_BYTES
                ),
            )
            await trio.sleep(CROWD_S)
            await site.check()

    trio.run(main)


def test_heads_of_many_fields_stay_within_memory():
    """Guards against heads that take much more memory than their bytes."""

    async def main():
        fields = b"a: b\r\n" * FIELDS
        async with crowds.open_site() as site:
            await site.send_crowd(
                FIELD_HEADS,
                lambda: site.make_head(crowds.SHORT)[:-2] + fields + b"\r\n",
            )
            await trio.sleep(CROWD_S)
            await site.check()

    trio.run(main)


def test_pipelined_requests_of_clients_that_have_left_do_not_run():
    """Guards against requests that run although their client has gone."""

    async def main():
        async with crowds.open_site() as site:
            await site.send_crowd(
                PIPELINERS,
                lambda: b"".join(
                    site.make_head(crowds.SHORT) for _ in range(PIPELINED)
                ),
            )
            await trio.sleep(1.0)
            for each in site.clients:
                await trio.aclose_forcefully(each.stream)
            await trio.sleep(LEFT_S)
            arrivals = site.desk.arrivals
            await trio.sleep(1.0)
            assert site.desk.arrivals - arrivals <= A_FEW
            await site.check()

    trio.run(main)
