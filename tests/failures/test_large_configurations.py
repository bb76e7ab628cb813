"""Large configurations over links that other traffic leaves little room on."""

import functools
import json
import random
import typing

import attrs
import trio

from carawayward.decisions import store_polls
from carawayward.forwarding import feed
from carawayward.forwarding import keyed_log
from carawayward.forwarding import store_outages
from carawayward import http_client
from carawayward.platform import records
from carawayward.platform import store as store_client
from tests.common import clocks
from tests.common import forwarding
from tests.standins import link as link_module
from tests.standins import raw_http
from tests.standins import store as store_module

TOPIC = "keyed.op"
# Time within which a configuration has to be in force.
APPLY_S = 3.0
MBIT = 125_000


def make_large_config(version: int, routes: int) -> dict:
    """A configuration with many routes, whose names are all different."""
    draw = random.Random(7)
    return forwarding.make_config(
        version,
        routes=[
            {
                **forwarding.SAFE,
                "name": f"route-{number}",
                "host": forwarding.HOST,
                "pathPrefix": f"/{draw.getrandbits(64):x}/",
                "timeoutMs": 2_000,
                "targetLatencyMs": 300,
                "priority": 1,
                "description": "x" * 80,
            }
            for number in range(routes)
        ],
    )


@attrs.define(eq=False)
class Reader:
    """Follows the operators' topic over a link; notes when revisions come."""

    link: link_module.Link
    in_force_s: dict[int, float] = attrs.field(factory=dict)

    def apply(self, record: keyed_log.Record) -> bool:
        """Decode a record as an entry VM does; False if it is unusable."""
        decoded: typing.Any = records.decode_declaration(record)
        if decoded is not None:
            self.in_force_s[decoded.revision] = trio.current_time()
        return decoded is not None

    def replace(self, listed: list[keyed_log.Record]) -> bool:
        """Decode all records of a listing; False if one is unusable."""
        return all([self.apply(record) for record in listed])

    async def wait_for(self, revision: int, seconds: float) -> bool:
        """Wait until a revision is in force; False if it takes longer."""
        with trio.move_on_after(seconds):
            while revision not in self.in_force_s:
                await trio.sleep(0.01)
        return revision in self.in_force_s


def run_reader(
    scenario: typing.Callable[
        [store_module.Store, Reader], typing.Awaitable[None]
    ],
    bytes_per_s: float,
    config: dict,
) -> None:
    """Run a scenario with a reader that has a link of the given rate."""

    async def main():
        store = store_module.Store()
        store.put(TOPIC, records.CONFIG_KEY, config)
        async with trio.open_nursery() as nursery:
            port = await nursery.start(raw_http.serve, store.handle)
            link = link_module.Link(port, bytes_per_s=bytes_per_s)
            port = await nursery.start(link_module.serve_link, link)
            reader = Reader(link)
            clock = clocks.TrioClock()
            client = store_client.Store(f"127.0.0.1:{port}")
            followed = feed.TopicFeed(
                "declarations",
                store_client.KeyedTopic(client, TOPIC),
                clock,
                store_outages.OutageTracker(clock),
                reader.replace,
                reader.apply,
                get_poll_wait=functools.partial(
                    store_polls.compute_table_poll_ms, 4_500.0, 3_000.0
                ),
            )
            await followed.start(nursery)
            await scenario(store, reader)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_configuration_that_takes_longer_than_a_second_is_listed():
    """Guards against entry VMs that never get a configuration."""

    async def scenario(store, reader):
        assert await reader.wait_for(1, 4.0)

    run_reader(scenario, 3 * MBIT, make_large_config(1, 1_400))


def test_change_of_a_large_configuration_is_in_force_in_time():
    """Guards against a change whose answer is thrown away after a second."""

    async def scenario(store, reader):
        assert await reader.wait_for(1, 4.0)
        reader.link.bytes_per_s = 2 * MBIT
        # Most of the time of a poll has passed when the change comes.
        await trio.sleep(1.3)
        store.put(TOPIC, records.CONFIG_KEY, make_large_config(2, 1_400))
        assert await reader.wait_for(2, APPLY_S)

    run_reader(scenario, 100 * MBIT, make_large_config(1, 4))


def play_storm(routes: int, bytes_per_s: float) -> None:
    """Write versions in quick succession; the last is in force in time."""

    async def scenario(store, reader):
        assert await reader.wait_for(1, 4.0)
        for version in range(2, 32):
            store.put(
                TOPIC, records.CONFIG_KEY, make_large_config(version, routes)
            )
            await trio.sleep(0.1)
        assert await reader.wait_for(31, APPLY_S)

    run_reader(scenario, bytes_per_s, make_large_config(1, routes))


def test_superseded_configurations_delay_the_last_one_little():
    """Guards against a reader that reads all versions one by one."""
    play_storm(1_400, 9 * MBIT)


def test_superseded_configurations_longer_than_an_answer_are_skipped():
    """Guards against versions read one by one as each fills an answer."""
    play_storm(3_600, 24 * MBIT)


def test_configuration_before_an_unusable_one_is_not_skipped():
    """Guards against a list that has only the record that cannot be used."""

    async def scenario(store, reader):
        assert await reader.wait_for(1, 4.0)
        for version in (2, 3):
            store.put(
                TOPIC, records.CONFIG_KEY, make_large_config(version, 1_400)
            )
        broken = {**make_large_config(4, 1_400), "services": [{}]}
        store.put(TOPIC, records.CONFIG_KEY, broken)
        assert await reader.wait_for(3, APPLY_S)

    run_reader(scenario, 9 * MBIT, make_large_config(1, 1_400))


def test_long_answer_of_a_platform_service_may_take_longer_than_a_call():
    """Guards against a document that a slow link never brings in time."""

    async def handle(exchange):
        await exchange.answer(200, body=b'"' + b"x" * 400_000 + b'"')

    async def main():
        async with trio.open_nursery() as nursery:
            port = await nursery.start(raw_http.serve, handle)
            link = link_module.Link(port, bytes_per_s=3 * MBIT)
            port = await nursery.start(link_module.serve_link, link)
            client = http_client.PlatformClient(
                "log", f"http://127.0.0.1:{port}"
            )
            reply = await client.call("GET", "/records", timeout_ms=500)
            assert len(reply.body) == 400_000
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_large_configuration_is_as_long_as_those_seen():
    """Guards against tests that pass as their configurations are short."""
    size = len(json.dumps(make_large_config(1, 1_400)))
    assert 350_000 <= size <= 460_000
