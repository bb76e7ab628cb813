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
from carawayward.forwarding import message_types
from carawayward.forwarding import registry
from carawayward.forwarding import rollout_rounds
from carawayward.forwarding import store_outages
from carawayward.forwarding import table
from carawayward.platform import records
from carawayward.platform import store as store_module
from carawayward.services import log as log_module
from tests.common import clocks
from tests.common import forwarding

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
ODD_NUMBERS = strategies.sampled_from(
    [10**400, -1, 0, float("nan"), float("inf"), -float("inf"), 2**63, True]
)
ANY_JSON = strategies.recursive(
    strategies.none()
    | strategies.integers()
    | strategies.floats()
    | ODD_NUMBERS
    | strategies.text(max_size=6)
    | strategies.sampled_from(
        ["127.0..1:80", "[::1:80", "a\x00:80", "x\r\ny: z", "\ud800", "1:2:3"]
        + ["x" * 300]
    ),
    lambda inner: (
        strategies.lists(inner, max_size=2)
        | strategies.dictionaries(strategies.text(max_size=3), inner)
    ),
    max_leaves=4,
)


def make_entry(key, **changes):
    entry = {
        "service": "desk",
        "address": f"127.0.0.1:{1 + KEYS.index(key)}",
        "zone": "north",
        "state": "ready",
    }
    return json.dumps({**entry, **changes}).encode()


@strategies.composite
def draw_record(draw):
    """A key, and a value that is valid, a removal, odd, or raises."""
    key = draw(strategies.sampled_from(KEYS))
    field = draw(strategies.sampled_from(["service", "address", "slots"]))
    value = draw(
        strategies.sampled_from([None, make_entry(key), NESTED])
        | strategies.binary(max_size=8)
        | strategies.builds(
            lambda odd: make_entry(key, **{field: odd}), ANY_JSON
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


def assert_typed(value, expected):
    """Assert that a decoded value has the type that its class declares."""
    origin, arguments = typing.get_origin(expected), typing.get_args(expected)
    if origin is typing.Union or origin is types.UnionType:
        assert any(is_typed(value, each) for each in arguments), value
    elif origin is tuple:
        assert type(value) is tuple
        for each in value:
            assert_typed(each, arguments[0])
    elif origin is not None:
        for key, each in value.items():
            assert_typed(key, arguments[0])
            assert_typed(each, arguments[1])
    elif attrs.has(expected):
        assert type(value) is expected
        hints = typing.get_type_hints(expected)
        for field in attrs.fields(expected):
            if field.init:
                assert_typed(getattr(value, field.name), hints[field.name])
    else:
        assert type(value) is expected, (value, expected)
        if expected is str:
            value.encode()
        if expected is float:
            assert 0.0 <= value < float("inf")


def is_typed(value, expected):
    try:
        assert_typed(value, expected)
    except AssertionError:
        return False
    return True


CONFIG = forwarding.make_config()
PATHS = (
    [("tenants", 0, name) for name in ("name", "apiKeys", "priority")]
    + [("routes", 2, name) for name in CONFIG["routes"][2]]
    + [("routes", 2, "split"), ("routes", 2, "unknown")]
    + [("services", 1, name) for name in CONFIG["services"][1]]
    + [("services", 1, name) for name in ("coldStartS", "coldPerS")]
    + [("services", 1, "engine", name) for name in forwarding.ENGINE]
    + [("services", 1, "engine", "models", 0, n) for n in ("name", "cost")]
    + [("limits", name) for name in CONFIG["limits"]]
    + [(name,) for name in CONFIG]
)


@hypothesis.settings(max_examples=300)
@hypothesis.given(strategies.sampled_from(PATHS), ANY_JSON)
def test_decoded_configuration_has_the_types_that_its_users_expect(
    path, value
):
    """Guards against a value that only raises where it is used."""
    config = json.loads(json.dumps(CONFIG))
    parent = config
    for name in path[:-1]:
        parent = parent[name]
    parent[path[-1]] = value
    record = keyed_log.Record("config", json.dumps(config).encode(), 7)
    found = records.decode_declaration(record)
    if found is not None:
        assert_typed(found, table.RoutingTable)


@hypothesis.settings(max_examples=300)
@hypothesis.given(
    strategies.sampled_from(
        ["service", "target", "durationS", "state", "slots", "address"]
        + ["zone", "version", "born", "coldRemainingMs"]
    ),
    ANY_JSON,
)
def test_decoded_entry_order_and_status_have_the_expected_types(field, value):
    """Guards against a value that only raises where it is used."""
    order = {"service": "desk", "target": "v2", "durationS": 5}
    status = {"state": "completed", "target": "v2"}
    entry = json.loads(make_entry("a"))
    for kind, decode, key, body in (
        (
            message_types.EndpointEntry,
            records.decode_endpoint,
            "a",
            entry,
        ),
        (
            message_types.RolloutOrder,
            records.decode_declaration,
            "rollout/desk",
            order,
        ),
        (
            message_types.RolloutStatus,
            records.decode_status,
            "rollout/desk",
            status,
        ),
    ):
        raw = json.dumps({**body, field: value}).encode()
        found = decode(keyed_log.Record(key, raw, 7))
        if found is not None:
            assert_typed(found, kind)


def test_names_that_cannot_be_sent_in_a_header_name_no_endpoint():
    """Guards against a failure of each request that is sent to an endpoint."""
    for key in ("", " a", "a\r\nx: y", "a\x00", "\x7f"):
        record = keyed_log.Record(key, make_entry("a"), 7)
        assert records.decode_endpoint(record) is None


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
    config = json.dumps(CONFIG).encode()
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


@hypothesis.given(
    strategies.text() | strategies.sampled_from(["\ud800", "x" * 300])
)
def test_status_of_any_order_can_be_written(service):
    """Guards against roll-outs that all stand still at a foreign order."""
    body = {"service": service, "target": "v2", "durationS": 5}
    record = keyed_log.Record("rollout/x", json.dumps(body).encode(), 7)
    order = records.decode_declaration(record)
    if order is not None:
        assert isinstance(order, message_types.RolloutOrder)
        state = message_types.RolloutState.RUNNING
        status = message_types.RolloutStatus(order.service, "v2", state)
        store_module.encode_record(records.encode_status(status))


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
