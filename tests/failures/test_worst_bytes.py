"""Endpoints that send costly bytes without end, as fast as they are read."""

import httpcore
from nose2.tools import params
import trio

from carawayward import blackboard
from carawayward import errors
from carawayward.forwarding import event_stream
from carawayward.gateway import endpoints
from carawayward.gateway import streams
from tests.common import forwarding
from tests.standins import backend
from tests.standins import flood

HEAD = f"HTTP/1.1 200 X\r\n{flood.SEAL_HEADER}\r\n".encode()
CHUNKED_HEAD = HEAD[:-2] + b"Transfer-Encoding: chunked\r\n\r\n"
NEWLINES = flood.repeat(b"\n")
COMMENTS = flood.repeat(b":\n\n")
SHORT_EVENTS = flood.repeat(b"id\n\n")
ONE_LINE = flood.repeat(b"x", 65_536)
INTERIM_HEADS = flood.repeat(b"HTTP/1.1 103 X\r\n\r\n")
TIMEOUT_MS = 1_000
# What requests beside it may be late by, as users measure it.
MARGIN_S = 0.5
CALLS = 40
FLOODS = 40


def make_config():
    """A configuration whose streams may neither be resumed nor escalated."""
    config = forwarding.make_config()
    for route in config["routes"]:
        engine = route["service"] == "engines"
        route["timeoutMs"] = 30_000 if engine else TIMEOUT_MS
        route |= {"resumable": False, "gapTargetMs": 10_000}
    return config


async def play(sender, path, floods=1):
    """Call an endpoint that floods its caller, and a sound one beside it.

    Returns how long each call of the sound one took, in s, and how long the
    flooded ones lasted.
    """
    desk = backend.Backend("desk-0")
    bad = backend.Backend("bad", service="engines", engine=True)
    took_s, lasted_s = [], []
    async with forwarding.open_forwarding(
        desk, bad, config=make_config()
    ) as made:
        made.register(bad, address=sender.address)
        known = made.daemon.board.endpoints
        await made.wait_for(lambda: known["bad"].address == sender.address)

        async def call_flooded():
            began_s = trio.current_time()
            try:
                await made.call(
                    "POST",
                    path,
                    carawayward_model="small",
                    carawayward_deadline_ms="30000",
                )
            except httpcore.ProtocolError:
                pass
            lasted_s.append(trio.current_time() - began_s)

        async with trio.open_nursery() as nursery:
            for _ in range(floods):
                nursery.start_soon(call_flooded)
            for _ in range(CALLS):
                began_s = trio.current_time()
                answer = await made.call("GET", "/look/")
                took_s.append(trio.current_time() - began_s)
                assert answer.status == 200
                await trio.sleep(0.02)
            await made.wait_for(lambda: len(lasted_s) == floods)
    return took_s, lasted_s


@params(
    (HEAD, NEWLINES),
    (HEAD, COMMENTS),
    (CHUNKED_HEAD, flood.cut_into_chunks(NEWLINES[:65_536], 1)),
    (CHUNKED_HEAD, flood.cut_into_chunks(ONE_LINE, 1)),
    (CHUNKED_HEAD, flood.cut_into_chunks(ONE_LINE, 16)),
    (b"", INTERIM_HEADS),
)
def test_bytes_without_end_delay_no_other_request(head, filler):
    """Guards against a stream that stops all other requests of its process.

    It is given up although bytes keep coming, since they bring no event.
    """
    sender = flood.Flood(head, filler)
    sender.start()
    try:
        took_s, lasted_s = trio.run(play, sender, "/tip/")
    finally:
        sender.close()
    assert max(took_s) < TIMEOUT_MS / 1000 + MARGIN_S
    assert lasted_s
    assert sender.closed.wait(MARGIN_S)


@params((HEAD, COMMENTS), (b"", INTERIM_HEADS))
def test_many_answers_without_end_delay_no_other_request(head, filler):
    """Guards against tasks that each take their time slice in each turn."""
    sender = flood.Flood(head, filler)
    sender.start()
    try:
        took_s, lasted_s = trio.run(play, sender, "/tip/", FLOODS)
    finally:
        sender.close()
    assert max(took_s) < TIMEOUT_MS / 1000 + MARGIN_S


def call_engine(filler):
    """Run a completion at an engine that sends filler without end."""
    sender = flood.Flood(b"HTTP/1.1 200 X\r\n\r\n", filler)
    sender.start()

    async def ignore(text):
        """Take the text."""

    async def main():
        async with trio.open_nursery() as nursery:
            client = endpoints.EndpointClient(
                streams.SilenceLimits(connection_ms=30_000, engine_ms=30_000),
                30_000.0,
            )
            await client.start(nursery)
            engine = blackboard.Endpoint(
                name="bad",
                address=sender.address,
                pool="engines",
                failure_domain="east",
            )
            run = streams.Run(
                run_id="r", version="v", messages=[], max_tokens=5
            )
            failed = False
            with trio.fail_after(10.0):
                try:
                    await client.run_engine(engine, run, ignore)
                except errors.EndpointError:
                    failed = True
            nursery.cancel_scope.cancel()
        return failed

    try:
        assert trio.run(main)
    finally:
        sender.close()


@params(
    NEWLINES,
    flood.repeat(b"data: {}\n"),
    flood.repeat(b'data: {"offset": -1, "text": "x"}\n'),
    b'data: {"text": "x"}\n',
    b'data: {"offset": "0", "text": "x"}\n',
    b'data: {"offset": 0, "text": 5}\n',
    b'data: {"end": true}\n',
    b"data: " + b'{"a":' * 2_000 + b"\n",
)
def test_run_whose_bytes_bring_no_token_fails(filler):
    """Guards against a completion that waits for ever or ends with a fault."""
    call_engine(filler)


def test_stream_of_short_events_is_given_up_by_what_they_cost():
    """Guards against 40 such streams that take all processor time for 10 s."""

    async def send_events(engine, exchange):
        engine.begin(exchange)
        await exchange.begin_stream(engine.seal(exchange))
        await exchange.send_chunk(backend.make_event(1))
        await exchange.send_chunk(SHORT_EVENTS)
        await exchange.send_chunk(b"")

    async def main():
        bad = backend.Backend("bad", service="engines", engine=True)
        bad.always = send_events
        async with forwarding.open_forwarding(
            bad, config=make_config()
        ) as made:
            try:
                await made.request_stream(carawayward_model="small")
            except httpcore.RemoteProtocolError:
                return
        raise AssertionError("all events were read")

    trio.run(main)


def test_stream_of_comments_alone_is_given_up():
    """Guards against a stream that is kept open without any event."""

    async def send_comments(engine, exchange):
        engine.begin(exchange)
        await exchange.begin_stream(engine.seal(exchange))
        await exchange.send_chunk(backend.make_event(1))
        while True:
            await exchange.send_chunk(b":\n\n")
            await trio.sleep(0.05)

    async def main():
        bad = backend.Backend("bad", service="engines", engine=True)
        bad.always = send_comments
        config = make_config()
        config["routes"][2] |= {"gapTargetMs": 200}
        async with forwarding.open_forwarding(bad, config=config) as made:
            began_s = trio.current_time()
            try:
                await made.request_stream(
                    carawayward_deadline_ms="30000",
                    carawayward_model="small",
                )
            except httpcore.RemoteProtocolError:
                return trio.current_time() - began_s
        raise AssertionError("the stream ended as if it were whole")

    assert trio.run(main) < 2.0


@params(NEWLINES, COMMENTS, flood.repeat(b"x\n\n"), flood.repeat(b"\r\n: x"))
def test_events_without_id_or_data_are_split_off_together(filler):
    """Guards against 1,365 events in each read, which hold up all others."""
    first, second = backend.make_event(1), backend.make_event(2)
    sent = first + filler + b"\n\n" + second
    splitter = event_stream.EventSplitter()
    found = splitter.feed(sent)
    assert [event.number for event in found] == [1, 2]
    assert b"".join(event.raw for event in found) == sent


def test_response_of_many_interim_heads_is_given_up_by_what_they_cost():
    """Guards against heads that take all processor time of their process."""

    async def send_heads(desk, exchange):
        desk.begin(exchange)
        await exchange.stream.send_all(INTERIM_HEADS[:18_000])
        await exchange.answer(200, desk.seal(exchange))

    async def main():
        desk = backend.Backend("desk-0", always=send_heads)
        async with forwarding.open_forwarding(desk) as made:
            return await made.call("GET", "/look/")

    assert trio.run(main).status == 502


def test_response_of_many_fields_is_relayed():
    """Guards against a sound head that counts as one without end."""

    async def send_fields(desk, exchange):
        desk.begin(exchange)
        fields = {f"name-{number}": "value" for number in range(200)}
        await exchange.answer(200, {**desk.seal(exchange), **fields})

    async def main():
        desk = backend.Backend("desk-0", always=send_fields)
        async with forwarding.open_forwarding(desk) as made:
            return await made.call("GET", "/look/")

    answer = trio.run(main)
    assert (answer.status, answer.headers["name-199"]) == (200, "value")
