"""Many answers of endpoints that never end, of several kinds at once.

Each test runs processes of entry VMs within the memory of the smallest
machines.
"""

import typing

from nose2.tools import params
import trio

from tests.common import crowds
from tests.standins import flood
from tests.standins import raw_http

CALLS = 40
MANY_CALLS = 200
FILLER = b"x" * 65_536
EVENTS = {"content-type": "text/event-stream"}
CHUNKED = {"transfer-encoding": "chunked"}
# The first bytes, or the status and headers of a sealed answer; the filler.
KINDS: dict[str, tuple[typing.Any, bytes]] = {
    "header": (b"HTTP/1.1 200 X\r\nname: ", FILLER),
    "interim": (b"", flood.repeat(b"HTTP/1.1 103 X\r\n\r\n")),
    "chunked": ((200, CHUNKED), flood.cut_into_chunks(FILLER, 65_536)),
    "close": ((200, {}), FILLER),
    "refusal": ((503, {}), FILLER),
    "event": ((200, EVENTS), FILLER),
}
PATHS = [f"/{route}/{k}" for k in KINDS for route in ("look", "log", "say")]


async def answer(backend, exchange):
    """Answer without end as the request's path says, or as usual."""
    kind = exchange.request.target.rpartition("/")[2]
    if kind not in KINDS:
        await crowds.answer(backend, exchange)
        return
    begin, filler = KINDS[kind]
    run = backend.begin(exchange)
    if not isinstance(begin, bytes):
        headers = {**backend.seal(exchange), **begin[1]}
        begin = raw_http.make_head(begin[0], headers)
    try:
        await exchange.stream.send_all(begin)
        while True:
            await exchange.stream.send_all(filler)
    finally:
        run.ended = "closed"


@params(("look", CALLS), ("log", CALLS), ("look", MANY_CALLS))
def test_each_caller_of_an_endless_body_gets_an_answer(route, calls):
    """Guards against connections that are closed for room with no answer."""

    async def main():
        first_lines = []
        async with crowds.open_site() as site:
            site.desk.always = answer

            async def call():
                client = await site.connect(small=False)
                assert client is not None
                path = f"/{route}/close"
                await client.send(site.make_head(path, "connection: close"))
                first_lines.append(await client.read_first_line())
                await client.read_slowly(10**9, 0.001)

            async with trio.open_nursery() as nursery:
                for _ in range(calls):
                    nursery.start_soon(call)
            await site.check()
        assert len(first_lines) == calls
        assert all(line.startswith("HTTP/1.1 ") for line in first_lines)

    trio.run(main)


@params(1, 2)
def test_answers_without_end_of_all_kinds_stay_within_memory(vms):
    """Guards against bytes that are kept of each, also through a peer."""

    async def main():
        async with crowds.open_site(vms=vms) as site:
            for each in site.running.backends.values():
                each.always = answer
            if vms > 1:
                site.vms[0].cut_off()
                assert await site.ask_ordinary() == 200

            async def call(path):
                client = await site.connect(small=False)
                assert client is not None
                await client.send(site.make_head(path, "connection: close"))
                await client.read_slowly(10**9, 0.001)

            async with trio.open_nursery() as nursery:
                for number in range(CALLS):
                    nursery.start_soon(call, PATHS[number % len(PATHS)])
                for _ in range(4):
                    assert await site.ask_ordinary() == 200
            for vm in range(vms):
                await site.check(vm=vm)
            runs = [r for b in site.running.backends.values() for r in b.runs]
            assert all(run.ended != "running" for run in runs)
            assert sum(run.ended == "closed" for run in runs) >= CALLS // 2

    trio.run(main)
