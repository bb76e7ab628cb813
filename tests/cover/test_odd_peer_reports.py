"""Load reports of peers whose values are odd."""

import contextlib
import math
import typing
from unittest import mock

import attrs
import cbor2
import hypothesis
from hypothesis import strategies

from carawayward import clock as clock_module
from carawayward.decisions import engine_load
from carawayward.forwarding import assembly
from carawayward.forwarding import board as board_module
from carawayward.forwarding import keyed_log
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import message_types
from carawayward.forwarding import report_values
from carawayward.forwarding import rollout_state
from carawayward.forwarding import rollouts
from carawayward.forwarding import settings as settings_module

ENGINE = "e-0"
NUMBER = load_report_messages.hash_name(ENGINE)
FIRST = load_report_messages.Sender("p", "i", "127.0.0.1:9", "north")
THIRD = load_report_messages.Sender("r", "i", "127.0.0.1:11", "north")
OTHER = load_report_messages.Sender("q", "i", "127.0.0.1:10", "north")
ODD: strategies.SearchStrategy[typing.Any] = strategies.sampled_from(
    [
        0,
        math.nan,
        math.inf,
        -math.inf,
        -1,
        -0.5,
        0.4,
        1e308,
        2**64 - 1,
        -(2**64),
    ]
    + [None, True, "x", b"x", [], {}, [[[[]]]], [1, 2, 3], {1: 1}]
)
# The topics of all controllers, and values of some.
TOPICS = (
    *("limits", "in_flight", "wide_link", "rollouts", "paces"),
    *("paths", "prompts", "suspects", "demand", "overload", "sessions"),
)
GOOD_TOPICS = {"limits": [[NUMBER, 5.0, 0]], "paths": [7]}


def make_reporter():
    """The load reporter of an entry VM that knows one engine."""
    board = board_module.ForwardingBoard(name="vm", failure_domain="north")
    board.endpoints[ENGINE] = message_types.EndpointEntry(
        name=ENGINE,
        service="engines",
        address="127.0.0.1:5",
        failure_domain="north",
    )
    listen = settings_module.Listen(
        callers="127.0.0.1:1", readiness="127.0.0.1:2", peers="127.0.0.1:3"
    )
    settings = settings_module.ForwardingSettings(
        name="vm",
        failure_domain="north",
        listen=listen,
        store=settings_module.Store(address="127.0.0.1:4"),
        plain_room=True,
    )
    parts = assembly.make_placement(
        settings, board, clock_module.Clock(), mock.MagicMock()
    )
    parts.reporter.joined.set()
    return parts.reporter, parts.placer.fleet


def report(reporter, sender, sequence, loads=None, topics=None):
    """Receive a load report."""
    fields: list[typing.Any] = [
        load_report_messages.VERSION,
        list(attrs.astuple(sender)),
        sequence,
        False,
        loads or {},
        [],
        topics or {},
    ]
    reporter._handle_datagram(cbor2.dumps(fields))


@hypothesis.given(ODD, ODD, ODD)
def test_odd_load_leaves_nothing_once_it_is_replaced(weight, streams, urgent):
    """Guards against sums of the peers' work that stay no number."""
    reporter, _ = make_reporter()
    report(reporter, THIRD, 1, {NUMBER: [30, 1, 30]})
    for sender in (FIRST, OTHER):
        report(reporter, sender, 1, {NUMBER: [weight, streams, urgent]})
    report(reporter, OTHER, 2, {NUMBER: [50, 1, 50]})
    report(reporter, FIRST, 2, {NUMBER: [70, 2, 70]})
    total = engine_load.get_load(reporter.loads, ENGINE)
    assert total == engine_load.Load(150.0, 4, (150.0,))
    engine_load.expire_reports(reporter.loads, math.inf)
    assert not reporter.loads.peer_totals


def test_reports_of_no_load_expire():
    """Guards against requests that fail while two such reports expire."""
    reporter, _ = make_reporter()
    for sender in (FIRST, OTHER):
        report(reporter, sender, 1, {NUMBER: [0, 0]})
    engine_load.expire_reports(reporter.loads, math.inf)
    assert not reporter.loads.peers


@hypothesis.given(strategies.sampled_from(TOPICS), ODD)
def test_topic_that_cannot_be_merged_hides_no_other(topic, odd):
    """Guards against a peer that is taken for gone for one odd value."""
    reporter, fleet = make_reporter()
    topics = {each: GOOD_TOPICS[each] for each in GOOD_TOPICS if each != topic}
    report(reporter, FIRST, 1, {NUMBER: [100, 1]}, {topic: odd, **topics})
    assert reporter.peers["p"].sequence == 1
    assert engine_load.get_load(reporter.loads, ENGINE).weight == 100.0
    if topic != "limits":
        (limited,) = fleet.rate_limits.endpoints.values()
        assert limited.per_s == 5.0


@hypothesis.given(ODD, ODD)
def test_odd_limit_does_not_outlast_the_next(per_s, age_ms):
    """Guards against a limit whose age makes it the newest for ever."""
    reporter, fleet = make_reporter()
    limits = fleet.rate_limits
    report(reporter, FIRST, 1, topics={"limits": [[NUMBER, per_s, age_ms]]})
    for limited in limits.endpoints.values():
        assert limited.per_s is None or 0.0 <= limited.per_s < math.inf
    report(reporter, FIRST, 2, topics={"limits": [[NUMBER, 7.0, 0]]})
    (limited,) = limits.endpoints.values()
    assert limited.per_s == 7.0


@hypothesis.given(ODD)
def test_odd_sequence_does_not_hide_later_reports(sequence):
    """Guards against a number above those of all later reports."""
    reporter, _ = make_reporter()
    report(reporter, FIRST, sequence, {NUMBER: [100, 1]})
    report(reporter, FIRST, 3, {NUMBER: [70, 1]})
    assert engine_load.get_load(reporter.loads, ENGINE).weight == 70.0


@hypothesis.given(strategies.lists(ODD, min_size=4, max_size=4))
def test_odd_counts_of_a_rollout_are_dropped(odd):
    """Guards against a roll-out that seems to be over, or to be safe."""
    age_ms, in_flight, sent, tally = odd
    clock: typing.Any = clock_module.ManualClock()
    board = board_module.ForwardingBoard(name="vm", failure_domain="north")
    found = rollouts.Rollouts(board, clock)
    order = message_types.RolloutOrder(
        service="engines", version="v2", duration_ms=10_000.0
    )
    state = rollout_state.Rollout(order=order, began_ms=0.0)
    found.rollouts["engines"] = state
    counts = {"tip": [tally, 0, 0, 0]}
    value = ["engines", "v2", age_ms, in_flight, False, [sent, 0], counts]
    with contextlib.suppress(TypeError, ValueError, LookupError):
        found.merge("p/i", [value], 1_000.0)
    assert math.isfinite(state.began_ms)
    for each in state.peer_counts.values():
        found_counts = [each.old_in_flight, each.sent, each.tallies["tip"].new]
        assert all(0 <= n <= report_values.MAX_VALUE for n in found_counts)


SUSPECT = [b"\x01", [[7, 0]], 0]
PROMPTS = [[[b"\x01", [b"\x02"], [[7, 0]]]], [[[b"\x02"], [[7, 0]]]], []]


@hypothesis.given(
    strategies.sampled_from([("suspects", [SUSPECT]), ("prompts", PROMPTS)]),
    strategies.data(),
)
def test_odd_crash_is_neither_large_nor_in_the_future(topic, data):
    """Guards against a number that is taken for as many bytes.

    Also against a request that is refused for as long as its crashes seem new.
    """
    name, good = topic
    path = data.draw(strategies.sampled_from([*list_places(good)]))
    value = put_in(good, path, data.draw(ODD | strategies.just(100_000)))
    reporter, _ = make_reporter()
    now_ms = reporter.clock.boot_ms()
    merge = reporter.topics[name].merge
    with contextlib.suppress(TypeError, ValueError, LookupError):
        merge("p/i", value, 1_000.0)
    records = merge.__self__.records
    if name == "suspects":
        names = [*records.crashes]
        seen = [c.seen_ms for each in records.crashes.values() for c in each]
    else:
        names = [*records.prompts, *records.by_part]
        crashed = [*records.prompts.values(), *records.by_part.values()]
        seen = [at_ms for each in crashed for at_ms in each.crashes.values()]
    assert all(len(each) < 1_000 for each in names)
    assert all(each <= now_ms + 60_000 for each in seen)


def list_places(value, path=()):
    """The paths to all values in nested lists."""
    yield path
    for index, each in enumerate(value if isinstance(value, list) else ()):
        yield from list_places(each, (*path, index))


def put_in(value, path, new):
    """Nested lists with another value at a path."""
    if not path:
        return new
    copy = list(value)
    copy[path[0]] = put_in(copy[path[0]], path[1:], new)
    return copy


def test_member_without_a_name_is_not_taken_for_unknown_senders():
    """Guards against the work of strangers at a peer that does not exist."""
    reporter, _ = make_reporter()
    nameless = attrs.evolve(FIRST, name="")
    reporter._add_peer_from_record(keyed_log.Record("m", nameless.to_bytes()))
    fields = [load_report_messages.VERSION, 99, 1, False, {NUMBER: [100, 1]}]
    reporter._handle_datagram(cbor2.dumps([*fields, [], {}]))
    assert not reporter.peers
    assert not reporter.loads.peer_totals
