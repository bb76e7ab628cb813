"""Costs of bytes received from endpoints and peers, and their limits."""

import socket
from unittest import mock

import cbor2
import hypothesis
from hypothesis import strategies
import trio

from carawayward import clock as clock_module
from carawayward.decisions import engine_load
from carawayward.forwarding import board as board_module
from carawayward.forwarding import event_stream
from carawayward.forwarding import load_reports
from carawayward.forwarding import relay_messages
from carawayward.gateway import connections
from carawayward.gateway import streams
from carawayward import plain_cbor
from carawayward import time_slices

PIECES = strategies.lists(
    strategies.sampled_from(
        [
            b"\n",
            b"\r\n",
            b"id: 7",
            b"id",
            b"data: x",
            b":",
            b"x",
            b"id:" + b"9" * 99,
        ]
    ),
    max_size=24,
).map(b"".join)


def split_events(pieces):
    splitter = event_stream.EventSplitter()
    events = [event for piece in pieces for event in splitter.feed(piece)]
    return events, splitter


@hypothesis.given(PIECES, strategies.lists(strategies.integers(1, 9)))
def test_events_are_the_same_however_their_bytes_are_cut(raw, lengths):
    """Guards against bytes that are lost or change where a read ends."""
    pieces, begin = [], 0
    for length in [*lengths, len(raw)]:
        pieces.append(raw[begin : begin + length])
        begin += length
    whole, _ = split_events([raw])
    cut, splitter = split_events(pieces)
    assert b"".join(e.raw for e in cut) + bytes(splitter.pending) == raw
    # An empty line after an event may come later than the event.
    assert [(e.number, e.has_data) for e in cut if e.raw.strip()] == [
        (e.number, e.has_data) for e in whole if e.raw.strip()
    ]


@hypothesis.given(
    strategies.binary(max_size=40).map(lambda raw: raw.replace(b"x", b"\n")),
    strategies.lists(strategies.integers(1, 9)),
)
def test_lines_are_the_same_however_their_bytes_are_cut(raw, lengths):
    """Guards against bytes that are lost or change where a read ends."""
    splitter = streams.LineSplitter()
    lines, begin = [], 0
    for length in [*lengths, len(raw)]:
        lines += splitter.feed(raw[begin : begin + length])
        begin += length
    *expected, rest = raw.split(b"\n")
    assert lines == [line for line in expected if line]
    assert bytes(splitter.pending) == rest


def test_what_was_searched_is_not_searched_again():
    """Guards against a long event whose cost grows with its square."""
    splitter = event_stream.EventSplitter()
    for _ in range(100):
        splitter.feed(b"x" * 10)
        assert len(splitter.pending) - splitter.searched <= 3
    lines = streams.LineSplitter()
    for _ in range(100):
        lines.feed(b"x" * 10)
        assert lines.searched == len(lines.pending)


def test_event_id_that_is_too_long_counts_no_events():
    """Guards against a number that raises where it is converted."""
    event = event_stream.parse_event(b"id: " + b"9" * 5_000 + b"\n\n")
    assert event.number is None


def test_reader_that_always_finds_data_lets_other_tasks_run():
    """Guards against a connection that stops all other tasks.

    The clock passes half of a slice between any two reads.
    """
    passed_s = iter(range(10**6))
    step_s = time_slices.MAX_SLICE_MS / 2_000

    async def main():
        near, far = trio.socket.socketpair()
        far.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 262_144)
        sent = 0
        far_plain = socket.socket(fileno=far.detach())
        far_plain.setblocking(False)
        try:
            while True:
                sent += far_plain.send(b"x" * 4_096)
        except BlockingIOError:
            pass
        turns = 0

        async def count_turns():
            nonlocal turns
            while True:
                await trio.lowlevel.checkpoint()
                turns += 1

        reads = 0
        with mock.patch.object(
            time_slices.trio, "current_time", lambda: next(passed_s) * step_s
        ):
            stream = connections.EndpointStream(trio.SocketStream(near))
            stream.time_slice.restart()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(count_turns)
                while sent > 0:
                    sent -= len(await stream.read(65_536))
                    reads += 1
                nursery.cancel_scope.cancel()
        far_plain.close()
        assert reads > 20
        assert turns >= reads / 3

    trio.run(main)


def test_interim_heads_are_limited():
    """Guards against heads without end before an answer."""

    async def main():
        near, far = trio.socket.socketpair()
        stream = connections.EndpointStream(trio.SocketStream(near))
        stream.head_bytes_left = 10_000
        await far.send(b"x" * 9_000)
        for _ in range(3):
            await stream.read(65_536)
        await far.send(b"x" * 2_000)
        try:
            await stream.read(65_536)
        except connections.httpcore.RemoteProtocolError:
            return
        raise AssertionError("a head may be of any length")

    trio.run(main)


def is_refused(data):
    try:
        plain_cbor.loads(data)
    except cbor2.CBORDecodeError:
        return True
    return False


@hypothesis.given(
    strategies.integers(0, 70_000),
    strategies.sampled_from([b"\x01", b"\x611", b"\x411", b"\x82\x01\x01"]),
)
def test_tags_are_refused(tag, inner):
    """Guards against a few bytes that decode to patterns or huge numbers."""
    head = cbor2.dumps(cbor2.CBORTag(tag, 0))[:-1]
    assert is_refused(head + inner)
    assert is_refused(b"\x81" + head + inner)


def test_plain_values_are_decoded():
    """Numbers, texts, bytes, lists and maps have no tags."""
    value = [1, -5, 2.5, "x", b"x", None, True, {"a": [2**64 - 1]}]
    assert plain_cbor.loads(cbor2.dumps(value)) == value


FIELDS = ["e", 7, "s", "id", "", "", 500.0, None, b"GET", b"/", [[b"a", b"b"]]]


@hypothesis.given(
    strategies.integers(0, len(FIELDS) - 1),
    strategies.one_of(
        strategies.none(),
        strategies.integers(),
        strategies.floats(),
        strategies.text(max_size=3),
        strategies.binary(max_size=3),
        strategies.lists(strategies.integers(), max_size=2),
        strategies.just(10**9),
    ),
)
def test_relayed_request_with_a_field_of_another_type_is_refused(index, value):
    """Guards against a number that is taken for as many bytes."""
    fields = [*FIELDS]
    fields[index] = value
    encoded = cbor2.dumps(fields)
    data = relay_messages.FIELDS_LENGTH.pack(len(encoded)) + encoded + b"body"
    try:
        found = relay_messages.RelayedRequest.from_bytes(data)
    except relay_messages.DECODE_ERRORS:
        return
    assert type(found.forwarded.method) is bytes
    assert 0.0 <= found.remaining_ms <= relay_messages.MAX_TIME_MS
    assert found.forwarded.body == b"body"


def test_fields_of_a_relayed_request_are_limited():
    """Guards against fields as long as a body, which take long to decode."""
    for data in (
        b"",
        b"\x00\x00",
        b"\xff\xff\xff\xff\x81",
        relay_messages.FIELDS_LENGTH.pack(200_000) + b"\x01" * 200_000,
    ):
        try:
            relay_messages.RelayedRequest.from_bytes(data)
        except relay_messages.DECODE_ERRORS:
            continue
        raise AssertionError("it was decoded")


def test_datagram_that_raises_does_not_end_the_listening_task():
    """Guards against an entry VM that no longer hears its peers."""
    reporter = load_reports.LoadReporter(
        board_module.ForwardingBoard(name="vm", failure_domain="north"),
        clock_module.Clock(),
        mock.MagicMock(),
        "127.0.0.1:1",
        engine_load.EngineLoads(),
        lambda engine: 100_000,
    )
    handled = []

    def handle(peer, fields):
        handled.append(fields)
        raise RuntimeError()

    reporter.add_handler(99, handle)
    address = ("127.0.0.1", 9)
    reporter.directory.names_by_address[address] = "peer"
    for data in (
        cbor2.dumps([99, 1]),
        cbor2.dumps([[], 1]),
        cbor2.dumps([99, 10**400]),
        b"\xff",
        cbor2.dumps([load_reports.load_report_messages.VERSION] * 7),
    ):
        reporter._handle_datagram(data, address)
    assert handled == [[99, 1]]
