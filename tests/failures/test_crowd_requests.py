"""Crowds of clients that send heads without end, or requests and leave."""

import contextlib

import trio

from tests.common import crowds
from tests.standins import backend as backend_module
from tests.standins import raw_http

HEADS, HEAD_BYTES = 1_200, 60_000
FIELD_HEADS, FIELDS = 300, 7_000
PIPELINERS, PIPELINED = 40, 2_000
CROWD_S = 4.0
# A client's close has reached the entry VM and its endpoints by then.
LEFT_S = 0.5
# Requests that may reach endpoints later than that.
A_FEW = 3
# An endpoint's requests wait for a place unless their caller has gone. With
# the callers that have gone, a wait would be longer than an attempt.
PLACES, RUN_S = 8, 0.3
SHORTLY_PIPELINED = 50
# Some 500 kB: more than an entry VM's kernel takes of a connection.
LONG_PIPELINED = 1_700
STAY_S = 0.3
ORDINARY, ORDINARY_EVERY_S = 28, 0.2


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


def answer_in_turn() -> backend_module.Behaviour:
    """Answer a few requests at a time; drop those whose callers have gone."""
    places = trio.CapacityLimiter(PLACES)

    async def behave(
        backend: backend_module.Backend, exchange: raw_http.Exchange
    ) -> None:
        async def answer() -> None:
            async with places:
                await trio.sleep(RUN_S)
                with contextlib.suppress(trio.BrokenResourceError):
                    await crowds.answer(backend, exchange)
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(answer)
            with contextlib.suppress(trio.BrokenResourceError):
                await exchange.stream.receive_some(1)
            nursery.cancel_scope.cancel()

    return behave


async def keep_sending_crowds(site: crowds.Site, pipelined: int) -> None:
    """Have one crowd after another pipeline requests and leave."""
    while True:
        clients = await site.send_crowd(
            PIPELINERS,
            lambda: b"".join(
                site.make_head(crowds.SHORT) for _ in range(pipelined)
            ),
        )
        await trio.sleep(STAY_S)
        for each in clients:
            await trio.aclose_forcefully(each.stream)


def test_ordinary_requests_are_served_beside_pipelining_clients_that_leave():
    """Guards against runs for clients that have gone in place of others."""
    check_ordinary_requests(SHORTLY_PIPELINED)


def test_ordinary_requests_are_served_beside_clients_that_pipeline_much():
    """Guards against clients whose close stays behind what is not read."""
    check_ordinary_requests(LONG_PIPELINED)


def check_ordinary_requests(pipelined: int) -> None:
    """Check ordinary requests beside clients that pipeline and leave."""

    async def main():
        statuses = []
        async with crowds.open_site() as site:
            site.desk.always = answer_in_turn()

            async def ask() -> None:
                statuses.append(await site.ask_ordinary())

            site.nursery.start_soon(keep_sending_crowds, site, pipelined)
            async with trio.open_nursery() as nursery:
                for _ in range(ORDINARY):
                    await trio.sleep(ORDINARY_EVERY_S)
                    nursery.start_soon(ask)
            assert statuses == [200] * ORDINARY, statuses

    trio.run(main)
