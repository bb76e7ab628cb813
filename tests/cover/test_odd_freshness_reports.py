"""Reports of delegates whose positions or changes are odd."""

import base64
import json
import struct
import types
import typing
import urllib.parse

import attrs
import cbor2
import hypothesis
from hypothesis import strategies
import trio
import trio.testing

from carawayward.forwarding import attestation
from carawayward.forwarding import board as board_module
from carawayward.forwarding import feed
from carawayward.forwarding import freshness
from carawayward.forwarding import freshness_messages
from carawayward.forwarding import keyed_log
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import positions
from carawayward.forwarding import store_outages
from carawayward.platform import store
from tests.common import clocks

TOPIC = "keys"
ERA_END = positions.OFFSETS_PER_ERA
# A client calls the store after less than this if its delegate is silent.
SETTLE_S = 12.0
MANY: strategies.SearchStrategy[typing.Any] = strategies.sampled_from(
    [0, 1, 2, 3, 4, 5, 9, 1_000, ERA_END - 1, ERA_END, ERA_END + 3]
    + [2**60, 2**63, 2**64 - 1, -1, None, True, 1.5, "x", b"x", []]
)
CHANGES = strategies.lists(
    strategies.tuples(MANY, strategies.sampled_from("ab"), strategies.none())
    | MANY,
    max_size=2,
)


@attrs.define
class FakeStore:
    """The answers of a store with one topic; all of its records are new."""

    written: list[keyed_log.Record] = attrs.field(factory=list)
    era: int = 0
    calls: int = 0

    def write(self, value: bytes) -> None:
        """Append a record."""
        offset = len(self.written)
        self.written.append(keyed_log.Record("a", value, offset))

    async def call(self, method, path, **options):
        """Answer a read or a list."""
        self.calls += 1
        query = dict(urllib.parse.parse_qsl(path.partition("?")[2]))
        if "log-newest" in path:
            content = self._list()
        else:
            start = int(query["from"])
            if start >= len(self.written):
                await trio.sleep(int(query["waitMs"]) / 1000)
            content = struct.pack(">QQ", len(self.written), 0)
            content += b"".join(map(store.encode_record, self.written[start:]))
        await trio.sleep(0.001)
        return store.Answer(200, content, self.era)

    def _list(self) -> bytes:
        items = [
            {
                "key": each.key,
                "value": base64.b64encode(each.value or b"").decode(),
                "offset": each.offset,
            }
            for each in self.written[-1:]
        ]
        body = {"items": items, "hasMore": False, "end": len(self.written)}
        return json.dumps(body).encode()


@attrs.define
class FakeReporter:
    """One peer, which is the delegate; ``queries`` are sent to it."""

    handlers: dict = attrs.field(factory=dict)
    queries: list[int] = attrs.field(factory=list)
    joined: trio.Event = attrs.field(factory=trio.Event)

    def list_delegate_candidates(self):
        return ["peer"]

    def add_handler(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, name, data):
        fields = cbor2.loads(data)
        if fields[0] == freshness_messages.QUERY:
            self.queries.append(fields[1])

    def deliver(self, *fields):
        """Receive a datagram of the delegate, as the load reporter does."""
        try:
            decoded = load_report_messages.decode(cbor2.dumps(fields))
            self.handlers[fields[0]]("peer", decoded)
        except Exception:
            return


async def follow(received, check):
    """Run a feed whose delegate has sent something, then check it."""
    clock = clocks.TrioClock()
    log = FakeStore()
    for value in (b"1", b"2", b"3"):
        log.write(value)
    reporter: typing.Any = FakeReporter()
    reporter.joined.set()
    controller = freshness.FreshnessController(
        board_module.ForwardingBoard(name="vm", failure_domain="north"),
        clock,
        reporter,
    )
    applied: list[bytes | None] = []

    def replace(records):
        applied.extend(each.value for each in records)

    fake: typing.Any = types.SimpleNamespace(call=log.call, era=0)
    followed = feed.TopicFeed(
        TOPIC,
        store.KeyedTopic(fake, "keyed.op"),
        clock,
        store_outages.OutageTracker(clock),
        replace,
        lambda record: applied.append(record.value),
        has_delegate=lambda: controller.has_delegate(TOPIC),
    )
    controller.add_topic(TOPIC, followed)
    async with trio.open_nursery() as nursery:
        await followed.start(nursery)
        await trio.sleep(1.0)
        assert followed.position == 3
        controller._query("peer")
        number = reporter.queries[-1]
        for kind, *fields in received:
            reporter.deliver(kind, number, *fields)
        await trio.sleep(SETTLE_S)
        log.write(b"4")
        await trio.sleep(SETTLE_S)
        assert applied[-1] == b"4"
        assert followed.position == 4
        check(followed, log)
        nursery.cancel_scope.cancel()


def run(received, check=lambda followed, log: None):
    trio.run(
        follow,
        received,
        check,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )


def check_attests(followed, log):
    """Check that it attests to others, and calls the store as usual."""
    assert isinstance(followed.get_attestation(), attestation.Attestation)
    assert followed.get_known_end() == 4
    assert log.calls < 8 * SETTLE_S


def make_report(position, start, end, changes=(), served=True):
    topics = {TOPIC: [position, 1, 1_000, start, end, [*changes], served]}
    return freshness_messages.REPORT, topics


def test_position_beyond_the_topic_is_refuted_by_the_store():
    """Guards against an entry VM that takes itself for behind for ever."""
    for position in (9, ERA_END, 2**63):
        for served in (True, False):
            report = make_report(position, 3, 3, served=served)
            run([report], check_attests)


def test_changes_beyond_the_topic_do_not_end_its_reading():
    """Guards against an entry VM that follows a topic no more."""
    for end in (9, ERA_END, 2**63):
        run([make_report(end, 3, end)], check_attests)


@hypothesis.settings(max_examples=200, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.builds(
            make_report, MANY, MANY, MANY, CHANGES, strategies.booleans()
        )
        | strategies.tuples(
            strategies.just(freshness_messages.CHUNK),
            strategies.just(TOPIC),
            MANY,
            MANY,
            strategies.just("b"),
            MANY,
            MANY,
            strategies.sampled_from([b"", b"x", "x", None]),
        )
        | strategies.tuples(
            strategies.sampled_from(
                [
                    freshness_messages.QUERY,
                    freshness_messages.CHUNK_REQUEST,
                    freshness_messages.REPORT,
                ]
            ),
            MANY,
            MANY,
            MANY,
            MANY,
        ),
        max_size=4,
    )
)
def test_topic_is_followed_whatever_a_delegate_sends(received):
    """Guards against odd reports and chunks that hide later records."""
    run(received)
