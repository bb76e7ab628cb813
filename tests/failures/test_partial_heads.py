"""Answers that end in the middle of their head, or of a chunk's size."""

import contextlib
import json

import httpcore
from nose2.tools import params
import trio

from carawayward import blackboard
from carawayward.decisions import health
from carawayward import errors
from carawayward.forwarding import keyed_log
from carawayward.forwarding import positions
from carawayward.gateway import endpoints
from carawayward.gateway import streams
from carawayward import http_client
from carawayward.platform import store as store_client
from tests.common import cut_links
from tests.common import forwarding
from tests.standins import backend
from tests.standins import raw_http
from tests.standins import store as store_module

KINDS = ("closed", "reset", "half-closed")
# Longer than the answers of the stand-ins.
LONGEST_ANSWER = 700
STEP = 3


def make_link(kind: str, port: int) -> cut_links.CutLink:
    return cut_links.CutLink(
        port, resets=kind == "reset", half_closes=kind == "half-closed"
    )


async def put_link(made, kind, server):
    """Have the entry VMs reach a server through a link."""
    link = make_link(kind, server.port)
    port = await made.nursery.start(cut_links.serve, link)
    made.register(server, address=f"127.0.0.1:{port}", sequence=2)
    for each in made.daemons:
        await made.wait_for(
            lambda board=each.board: (
                board.endpoints[server.name].address == f"127.0.0.1:{port}"
            )
        )
    return link


@params(*KINDS)
def test_plain_answer_that_ends_in_its_head_is_none(kind):
    """Callers got a 200 with an empty or short body, framed as whole.

    One endpoint is cut after each STEP bytes, a sound one stands beside it.
    """

    async def main():
        cut, sound = backend.Backend("desk-0"), backend.Backend("desk-1")
        async with forwarding.open_forwarding(cut, sound) as made:
            link = await put_link(made, kind, cut)
            await made.call("GET", "/look/")
            for limit in range(1, 250, STEP):
                for method, path in (("GET", "/look/"), ("POST", "/log/")):
                    link.limits = [limit] * 2
                    # It would be ejected for the cuts before.
                    endpoint = made.daemon.app.forwarder.fleet.tracked[
                        cut.name
                    ]
                    endpoint.view.health = health.Health()
                    answer = await made.call(method, path)
                    whole = answer.body in (
                        b"done by desk-0",
                        b"done by desk-1",
                    )
                    assert whole or answer.status != 200, (limit, answer)
                    if method == "GET":
                        assert answer.status == 200, (limit, answer)
            assert link.cuts > 20

    trio.run(main)


@params(*KINDS)
def test_answer_of_a_peer_that_ends_in_its_head_is_none(kind):
    """A peer relays for an entry VM that has lost its path, and is cut off."""

    async def main():
        desk = backend.Backend("desk-0")
        async with forwarding.open_forwarding(
            desk, daemons=2, separate=True
        ) as made:
            _, port = made.daemons[1].settings.listen.peers.rsplit(":", 1)
            link = make_link(kind, int(port))
            port = await made.nursery.start(cut_links.serve, link)
            peers = made.get_reporter().peers
            await made.wait_for(lambda: "edge-1" in peers)
            peers["edge-1"].address = ("127.0.0.1", port)
            made.cut_off(0)
            whole = 0
            for limit in range(1, 400, 2 * STEP):
                for method, path in (("GET", "/look/"), ("POST", "/log/")):
                    link.limits = [limit] * 2
                    answer = await made.call(method, path)
                    is_whole = answer.body == b"done by desk-0"
                    assert is_whole or answer.status != 200, (limit, answer)
                    whole += is_whole
            assert link.cuts > 20 and whole

    trio.run(main)


@params(*KINDS)
def test_stream_that_is_cut_at_any_byte_and_resumed_is_whole(kind):
    """Events were lost or came twice where a chunk's size was cut.

    Both the first run and the one that resumes it are cut.
    """

    async def main():
        engines = [
            backend.Backend(f"engine-{number}", "engines", engine=True)
            for number in range(2)
        ]
        for engine in engines:
            engine.confidence = {"small": 99.0, "large": 99.0}
        async with forwarding.open_forwarding(*engines) as made:
            links = [await put_link(made, kind, each) for each in engines]
            whole = 0
            for limit in range(1, LONGEST_ANSWER, STEP):
                for link in links:
                    link.limits = [limit]
                answer = None
                # An unfinished answer is visibly truncated.
                with contextlib.suppress(httpcore.RemoteProtocolError):
                    answer = await made.request_stream()
                if answer is not None and answer.status == 200:
                    numbers = forwarding.read_numbers(answer.body)
                    assert numbers == [1, 2, 3, 4], (limit, answer.body)
                    whole += 1
            assert sum(link.cuts for link in links) > 100
            assert whole > 20

    trio.run(main)


async def call_through(kind, handle, call):
    """Make a call through a link that is cut after each STEP bytes in turn.

    Returns the results of the calls that did not fail.
    """
    found = []
    async with trio.open_nursery() as nursery:
        port = await nursery.start(raw_http.serve, handle)
        link = make_link(kind, port)
        port = await nursery.start(cut_links.serve, link)
        for limit in range(1, LONGEST_ANSWER, STEP):
            link.limits = [limit] * 3
            try:
                with trio.fail_after(5.0):
                    found.append(await call(f"127.0.0.1:{port}"))
            except (errors.EndpointError, errors.PlatformUnavailable):
                continue
        assert link.cuts > 20
        nursery.cancel_scope.cancel()
    return found


@params(*KINDS)
def test_answer_of_the_store_that_ends_in_its_head_is_none(kind):
    """A listing that is cut off must not hide records."""
    store = store_module.Store(era=1)
    store.put("keyed.servers", "a", {"state": "ready"})
    store.put("keyed.servers", "b", {"state": "draining"})

    async def read(address):
        client = store_client.Store(address)
        topic = store_client.KeyedTopic(client, "keyed.servers")
        try:
            batch = await topic.read_newest()
        finally:
            await client.close()
        return batch

    found = trio.run(call_through, kind, store.handle, read)
    assert found
    for batch in found:
        assert isinstance(batch, keyed_log.Batch) and (
            positions.get_offset(batch.end) == 2
        )
        assert [each.key for each in batch.records] == ["a", "b"]


@params(*KINDS)
def test_answer_to_the_callers_api_that_ends_in_its_head_is_none(kind):
    """Endpoints and services behind the callers' own API are cut off."""
    body = b'{"waiting": 0, "running": 1, "stage": "both", "models": []}'

    async def handle(exchange):
        await exchange.answer(200, {"content-type": "application/json"}, body)

    async def call_service(address):
        client = http_client.PlatformClient("log", f"http://{address}")
        answer = await client.call("GET", "/records", timeout_ms=3_000)
        return answer.body

    async def fetch_report(address):
        client = endpoints.EndpointClient(
            streams.SilenceLimits(connection_ms=1_000, engine_ms=1_000), 3_000
        )
        endpoint = blackboard.Endpoint(
            name="desk-1", pool="desk", failure_domain="north", address=address
        )
        return await client.fetch_report(endpoint)

    found = trio.run(call_through, kind, handle, call_service)
    assert found and all(each == json.loads(body) for each in found)
    reports = trio.run(call_through, kind, handle, fetch_report)
    assert all(each == reports[0] for each in reports)
