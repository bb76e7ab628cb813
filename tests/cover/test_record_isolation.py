"""Records that cannot be decoded or used, among others that can."""

import json
import struct
import types
import typing
from unittest import mock

import attrs
import cbor2
import hypothesis
from hypothesis import strategies
import trio
import trio.testing

from carawayward import clock as clock_module
from carawayward.controllers import configuration
from carawayward.controllers import rollout_reader
from carawayward.forwarding import board as board_module
from carawayward.forwarding import change_log
from carawayward.forwarding import conviction_log
from carawayward.forwarding import declarations
from carawayward.forwarding import feed
from carawayward.forwarding import freshness_messages
from carawayward.forwarding import keyed_log
from carawayward.forwarding import registry
from carawayward.forwarding import rollout_rounds
from carawayward.forwarding import store_outages
from carawayward.platform import records
from carawayward.platform import store as store_module
from carawayward.services import log as log_module
from tests.common import clocks
from tests.common import forwarding
from tests.common import odd_json

KEYS = ("a", "b", "c")
RAISING = b"raise:"


class UnforeseenError(Exception):
    """An exception that no list of types contains."""


KINDS: list[type[Exception]] = [
    UnforeseenError,
    RecursionError,
    MemoryError,
    AssertionError,
    StopIteration,
    OverflowError,
    UnicodeError,
    KeyError,
    trio.BrokenResourceError,
]
NESTED = b"[" * 2_000


def make_entry(key, **changes):
    entry = {
        "service": "desk",
        "address": f"127.0.0.1:{1 + KEYS.index(key)}",
        "zone": "north",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
    }
    return json.dumps({**entry, **changes}).encode()


@strategies.composite
def draw_record(draw):
    """A key, and a value that is valid, a removal, odd, or raises."""
    key = draw(strategies.sampled_from(KEYS))
    field = draw(
        strategies.sampled_from(
            ["service", "address", "slots", "state", "zone", "version"]
            + ["born", "coldRemainingMs", "sequence", "heartbeatMs"]
        )
    )
    value = draw(
        strategies.sampled_from([None, make_entry(key), NESTED])
        | strategies.binary(max_size=8)
        | strategies.builds(
            lambda odd: make_entry(key, **{field: odd}), odd_json.ANY_JSON
        )
        | strategies.builds(
            lambda kind: RAISING + str(kind).encode(),
            strategies.integers(0, len(KINDS) - 1),
        )
    )
    return key, value or None


def raise_or_decode(record):
    if record.value is not None and record.value.startswith(RAISING):
        raise KINDS[int(record.value.removeprefix(RAISING))]()
    return records.decode_endpoint(record)


def make_reader():
    clock = clocks.TrioClock()
    outages = store_outages.OutageTracker(clock)
    reader = registry.RegistryReader(
        board=board_module.ForwardingBoard(name="vm", failure_domain="north"),
        outages=outages,
        decode=raise_or_decode,
        heartbeat_ms=1_200.0,
        get_poll_wait_ms=lambda: 1_000.0,
    )
    return reader, outages


@attrs.define
class ListTopic:
    """A topic of which a part is listed, and the rest read on."""

    written: list[keyed_log.Record]
    listed: int

    async def read_newest(self):
        """List the newest record of each key."""
        newest = {each.key: each for each in self.written[: self.listed]}
        found = [each for each in newest.values() if each.value is not None]
        return keyed_log.Batch(found, self.listed)

    async def read(self, start, wait_ms, listing_bytes):
        """Read one more record, or wait."""
        if start == len(self.written):
            await trio.sleep(wait_ms / 1000)
        return keyed_log.Batch(
            self.written[start : start + 1],
            min(start + 1, len(self.written)),
        )


async def read_all(topic, reader, outages, changes=()):
    """Follow a topic to its end, then apply a delegate's changes."""
    followed = feed.TopicFeed(
        "endpoints",
        topic,
        outages.clock,
        outages,
        reader.replace,
        reader.apply,
        reader.mark_current,
    )
    async with trio.open_nursery() as nursery:
        await followed.start(nursery)
        await trio.sleep(20.0)
        for change in changes:
            start, end = change.offset, change.offset + 1
            report = freshness_messages.FreshnessReport(
                1,
                {
                    "endpoints": freshness_messages.TopicReport(
                        end, 0, 0, start, end, (change,)
                    )
                },
            )
            decoded = freshness_messages.FreshnessReport.from_fields(
                cbor2.loads(report.to_bytes())
            )
            assert followed.apply_changes(
                start, end, decoded.topics["endpoints"].changes
            )
        nursery.cancel_scope.cancel()
    return followed


def list_expected(written):
    """The endpoints that the newest records describe."""
    newest = {each.key: each for each in written}
    found = {}
    for key, each in newest.items():
        raises = each.value is None or each.value.startswith(RAISING)
        entry = None if raises else records.decode_endpoint(each)
        if entry is not None:
            found[key] = entry.service
    return found


@hypothesis.settings(max_examples=150, deadline=None)
@hypothesis.given(
    strategies.lists(draw_record(), max_size=9),
    strategies.integers(0, 9),
    strategies.integers(0, 9),
)
def test_unusable_record_hides_no_other_however_it_is_read(
    drawn, listed, delegated
):
    """Guards against endpoints that are not updated after a foreign record.

    Whether the records are listed, read on or passed on by a delegate, the
    endpoints are those of the newest records that can be used.
    """
    written = [
        keyed_log.Record(key, value, offset)
        for offset, (key, value) in enumerate(drawn)
    ]
    end = max(0, len(written) - delegated)
    topic: typing.Any = ListTopic(written[:end], min(listed, end))
    reader, outages = make_reader()
    changes = [
        change_log.Change(each.offset, each.key, each.value)
        for each in written[end:]
    ]

    async def main():
        followed = await read_all(topic, reader, outages, changes)
        assert followed.position == len(written)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    found = {n: e.service for n, e in reader.board.endpoints.items()}
    assert found == list_expected(written)


def test_reader_that_raises_does_not_stop_its_feed():
    """Guards against a feed that is restarted at records that end it."""

    async def main():
        written = [keyed_log.Record("a", b"x", n) for n in range(4)]
        topic: typing.Any = ListTopic(written, 2)
        outages = store_outages.OutageTracker(clocks.TrioClock())
        applied = []

        def fail(records):
            raise UnforeseenError()

        def apply(record):
            applied.append(record.offset)
            if record.offset == 2:
                raise UnforeseenError()

        reader = types.SimpleNamespace(
            replace=fail, apply=apply, mark_current=lambda as_of_ms: None
        )
        followed = await read_all(topic, reader, outages)
        assert followed.position == 4
        assert applied == [2, 3]

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@hypothesis.given(
    strategies.binary(max_size=12), strategies.binary(max_size=4)
)
def test_any_bytes_of_the_store_are_records(raw, rest):
    """Guards against a record's framing that stops the reading of a topic."""
    content = struct.pack(">I", len(raw)) + raw + rest
    for each in store_module.split_records(content):
        record = store_module.decode_record(each, 3)
        record.key.encode()
        assert record.offset == 3


def test_malformed_items_of_a_listing_are_left_out():
    """Guards against a listing that fails for one of its items."""
    good = {"key": "a", "value": "eA==", "offset": 3}
    odd = [5, None, {}, {**good, "value": 5}, {**good, "key": None}]
    odd += [{**good, "offset": None}, {**good, "value": "e"}]
    items = [*odd, good, {**good, "key": "\ud800"}]
    items += odd[:1]

    async def main():
        store = store_module.Store("127.0.0.1:1")

        async def call(*arguments, **options):
            body = {"items": items, "hasMore": False, "end": 9}
            return store_module.Answer(200, json.dumps(body).encode(), 0)

        fake: typing.Any = types.SimpleNamespace(call=call, era=store.era)
        batch = await store_module.KeyedTopic(fake, "keyed.op").read_newest()
        assert [each.key for each in batch.records] == ["a", "?"]
        assert batch.end == 9

    trio.run(main)


def test_listing_goes_on_after_any_key():
    """Guards against keys that end a page and break the next one's address."""
    paths = []

    async def call(method, path, **options):
        paths.append(path)
        item = {"key": "a&b #%\r\n\ud800", "value": "eA==", "offset": 3}
        more = len(paths) == 1
        body = {"items": [item], "hasMore": more, "end": 9}
        return store_module.Answer(200, json.dumps(body).encode(), 0)

    fake: typing.Any = types.SimpleNamespace(call=call, era=0)
    trio.run(store_module.KeyedTopic(fake, "keyed.op").read_newest)
    assert paths[1].endswith("&after=a%26b%20%23%25%0D%0A%3F")


def test_unusable_declarations_and_statuses_do_not_hide_others():
    """Guards against an order that is not seen after a foreign record."""
    board = board_module.ForwardingBoard(name="vm", failure_domain="north")

    def decode(record):
        if record.value == b"!":
            raise UnforeseenError()
        return records.decode_declaration(record)

    order = json.dumps({"service": "x", "target": "v", "durationS": 1})
    config = forwarding.dump(forwarding.make_config())
    reader = declarations.DeclarationReader(board, decode)
    written = [
        keyed_log.Record("config", config, 0),
        keyed_log.Record("rollout/y", b"!", 1),
        keyed_log.Record("rollout/z", NESTED, 2),
        keyed_log.Record("rollout/x", order.encode(), 3),
    ]
    assert reader.replace(written) is False
    assert board.table is not None
    assert list(board.orders) == ["x"]
    assert [reader.apply(each) for each in written] == [
        True,
        False,
        False,
        True,
    ]


def test_status_that_cannot_be_applied_is_ignored():
    """Guards against roll-outs that stand still at a foreign status."""

    def decode(record):
        if record.value == b"!":
            raise UnforeseenError()
        return records.decode_status(record)

    fake: typing.Any = types.SimpleNamespace(rollouts={})
    rounds = rollout_rounds.RolloutRounds(
        typing.cast(typing.Any, None),
        clock_module.Clock(),
        fake,
        typing.cast(typing.Any, None),
        decode,
        records.encode_status,
        lambda: (),
    )
    done = json.dumps({"state": "completed", "target": "v"}).encode()
    rounds.replace(
        [
            keyed_log.Record("rollout/y", b"!", 1),
            keyed_log.Record("rollout/z", NESTED, 2),
            keyed_log.Record("rollout/x", done, 3),
        ]
    )
    assert list(rounds.latest) == ["x"]


def test_rollout_that_cannot_be_processed_does_not_stop_the_others():
    """Guards against a roll-out that stands still for another's fault."""
    stepped = []

    async def step(rounds, rollout):
        stepped.append(rollout.order)
        if rollout.order == "a":
            raise UnforeseenError()

    running = {
        name: types.SimpleNamespace(
            order=name, running=True, at_full_traffic=False
        )
        for name in ("a", "b")
    }
    fake: typing.Any = types.SimpleNamespace(
        rollouts=running, apply_orders=lambda: None
    )
    rounds = rollout_rounds.RolloutRounds(
        board_module.ForwardingBoard(name="vm", failure_domain="north"),
        clocks.TrioClock(),
        fake,
        typing.cast(typing.Any, None),
        records.decode_status,
        records.encode_status,
        lambda: (),
    )

    async def main():
        with mock.patch.object(rollout_rounds.RolloutRounds, "_step", step):
            with trio.move_on_after(0.5):
                await rounds._run_rounds()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert stepped[:4] == ["a", "b", "a", "b"]


def test_conviction_that_cannot_be_used_hides_no_other():
    """Guards against convictions that are neither read nor written."""
    applied = []

    def add_crash(content, endpoint, age_ms):
        if content == "bb":
            raise UnforeseenError()
        applied.append(content)

    suspects: typing.Any = types.SimpleNamespace(add_crash=add_crash)
    clock = clock_module.Clock()

    def make(content):
        return conviction_log.Conviction(
            clock.wall_ms(), ("1",), content=content
        ).to_record()

    huge = keyed_log.Record("cc", b"\x82\x18\x05\x81\xc4\x82\x1a\x7f\xff\xff")
    written = [
        keyed_log.Record("aa", NESTED),
        huge,
        make("bb"),
        make("dd"),
    ]

    async def read_newest():
        return keyed_log.Batch(written, 4)

    topic: typing.Any = types.SimpleNamespace(read_newest=read_newest)
    log = conviction_log.ConvictionLog(topic, clock, suspects)
    trio.run(log._read)
    assert applied == ["dd"]


def make_log(data):
    async def read(stream, offset, wait_ms=0, limit=500):
        items = [
            log_module.LogRecord(n + 1, 5, each) for n, each in enumerate(data)
        ]
        rest = [each for each in items if each.offset >= offset][:limit]
        return log_module.Batch(rest, len(items) + 1, 1)

    return typing.cast(typing.Any, types.SimpleNamespace(read=read))


ODD_ROLLOUTS = [
    {"kind": "advance", "rollout": [], "base": 0, "stage": 0, "node": "n"},
    {"kind": "advance", "rollout": "r", "base": 0, "stage": "0", "node": "n"},
    {"kind": "halt", "rollout": "r", "generation": None, "node": 1},
    {"kind": "snapshot", "as_of": "x", "progress": {}},
    {"kind": "snapshot", "as_of": 1, "progress": {"r": {"stage": "x"}}},
    {"kind": []},
    "x",
]


def test_unusable_rollout_records_are_passed():
    """Guards against a reader that reads the same records over and over."""
    advance = {"kind": "advance", "rollout": "r", "base": 0, "stage": 0}
    data = [*ODD_ROLLOUTS, {**advance, "node": "n", "evidence": ""}, "x"]
    reader = rollout_reader.RolloutReader(clock_module.Clock(), make_log(data))
    trio.run(reader.read_once, 0)
    assert reader.state.read_to == len(data)
    assert reader.state.progress["r"].stage == 0


def test_unusable_configuration_records_are_passed():
    """Guards against a configuration that no longer changes."""
    odd = [
        {
            "kind": "snapshot",
            "revision": 1,
            "document": {"a": 1},
            "digest": "",
            "as_of": "x",
        },
        {
            "kind": "publish",
            "publish_id": 1,
            "base_revision": 0,
            "document": {},
            "digest": None,
            "operator": [],
        },
        {"kind": "publish", "document": {}},
        5,
    ]
    board: typing.Any = types.SimpleNamespace(lease_ms=9_000.0)
    controller = configuration.ConfigurationController(
        board,
        clock_module.Clock(),
        make_log(odd),
        typing.cast(typing.Any, None),
    )
    board.current_as_of_ms = -1.0
    trio.run(controller._read_once)
    assert controller.state is not None
    assert controller.state.read_to == len(odd)
    assert controller.state.revision == 0


def test_conviction_of_the_future_is_removed():
    """Guards against a request that is refused after each restart."""
    clock = clock_module.Clock()
    record = conviction_log.Conviction(
        clock.wall_ms() + 2**50, ("1",), content="aa"
    ).to_record()
    removed = []

    async def read_newest():
        return keyed_log.Batch([record], 1)

    async def append(records):
        removed.extend(records)

    topic: typing.Any = types.SimpleNamespace(
        read_newest=read_newest, append=append
    )
    applied: typing.Any = types.SimpleNamespace(add_crash=None)
    log = conviction_log.ConvictionLog(topic, clock, applied)
    trio.run(log._read)
    assert removed == [keyed_log.Record("aa", None)]
