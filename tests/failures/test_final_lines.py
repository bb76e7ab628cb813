"""Each request that an entry VM has read ends in exactly one log line."""

import collections
import typing
from unittest import mock

from nose2.tools import params
import trio
import trio.testing

from carawayward import events
from tests.common import forwarding
from tests.standins import backend

FINAL = {
    events.Event.REQUEST_FORWARDED,
    events.Event.REQUEST_REFUSED,
    events.Event.REQUEST_INCOMPLETE,
    events.Event.FAULT,
}
Scenario = typing.Callable[[forwarding.Forwarding], typing.Awaitable[None]]


async def wait_silently(desk: backend.Backend, exchange: typing.Any) -> None:
    """Begin to work and never answer."""
    desk.begin(exchange)
    await trio.sleep_forever()


async def send_request(
    made: forwarding.Forwarding, body: bytes, length: int
) -> trio.SocketStream:
    """Send a request with some of its body; return the open connection."""
    address = made.daemon.settings.listen.callers
    host, _, port = address.partition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    headers = [*made.make_headers(), ("content-length", str(length))]
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    await stream.send_all(
        f"POST /log/ HTTP/1.1\r\n{lines}\r\n".encode() + body
    )
    return stream


async def get_answer(made: forwarding.Forwarding) -> None:
    assert (await made.call("POST", "/look/")).status == 200


async def get_refusal(made: forwarding.Forwarding) -> None:
    assert (await made.call("POST", "/nowhere/")).status == 404


async def leave_before_the_body_is_whole(
    made: forwarding.Forwarding,
) -> None:
    stream = await send_request(made, b"half", 8)
    await made.wait_for(lambda: made.daemon.board.open_requests == 1)
    await stream.aclose()
    await made.wait_for(lambda: made.daemon.board.open_requests == 0)


async def leave_before_the_answer(made: forwarding.Forwarding) -> None:
    desk = made.backends["desk-0"]
    desk.always = wait_silently
    stream = await send_request(made, b"whole", 5)
    await made.wait_for(lambda: bool(desk.runs))
    await stream.aclose()
    await made.wait_for(lambda: made.daemon.board.open_requests == 0)


async def wait_until_the_vm_stops(made: forwarding.Forwarding) -> None:
    desk = made.backends["desk-0"]
    desk.always = wait_silently
    stream = await send_request(made, b"whole", 5)
    await made.wait_for(lambda: bool(desk.runs))
    made.stops[0].set()
    await made.wait_for(lambda: made.daemon.board.open_requests == 0)
    await stream.aclose()


async def send_slowly_until_the_vm_stops(
    made: forwarding.Forwarding,
) -> None:
    stream = await send_request(made, b"half", 8)
    await made.wait_for(lambda: made.daemon.board.open_requests == 1)
    made.stops[0].set()
    await made.wait_for(lambda: made.daemon.board.open_requests == 0)
    await stream.aclose()


@params(
    get_answer,
    get_refusal,
    leave_before_the_body_is_whole,
    leave_before_the_answer,
    wait_until_the_vm_stops,
    send_slowly_until_the_vm_stops,
)
def test_each_request_that_was_read_ends_in_one_line(scenario: Scenario):
    """Guards against requests that end without a trace in the log."""
    lines: collections.Counter[str] = collections.Counter()

    def record(event: events.Event, **fields: typing.Any) -> None:
        if event in FINAL:
            lines[fields["request"]] += 1

    async def main():
        desk = backend.Backend("desk-0")
        async with forwarding.open_forwarding(desk, grace_ms=700.0) as made:
            with mock.patch.object(events, "log_event", record):
                await scenario(made)
                await trio.testing.wait_all_tasks_blocked(0.05)
        assert lines == {f"{made.ids:016x}": 1}

    trio.run(main)
