"""Many callers that send large bodies at once."""

from unittest import mock

import hypothesis
from hypothesis import strategies
import trio

from carawayward import buffers
from carawayward.forwarding import body_room
from tests.common import forwarding
from tests.standins import backend

LARGE = body_room.SMALL_BODY_BYTES + 1


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 5),
            strategies.integers(-1, 2 * body_room.MAX_BODY_BYTES),
        ),
        max_size=30,
    )
)
def test_kept_bodies_never_take_more_than_their_room(steps):
    """Guards against a process that is killed for its memory."""
    room = body_room.BodyRoom()
    account = buffers.BufferAccount(1 << 40, read_clock=lambda: 0.0)
    kept = [
        body_room.KeptBody(room, buffers.BufferShare(account))
        for _ in range(6)
    ]
    most = body_room.MAX_BODY_BYTES + body_room.SMALL_BODY_ROOM_BYTES
    for index, length in steps:
        if length < 0:
            kept[index].release()
        elif kept[index].grow(length):
            assert kept[index].taken_bytes >= length
        assert 0 <= room.kept_bytes <= most
        assert account.held_bytes == body_room.COPIES * room.kept_bytes
    for each in kept:
        each.release()
    assert room.kept_bytes == 0


def test_large_body_without_room_is_refused_and_small_requests_go_on():
    """Guards against memory that grows with the number of large bodies."""

    async def main():
        desk = backend.Backend("desk-0")
        release = trio.Event()

        async def wait(server, exchange):
            await release.wait()
            await backend.answer_normally(server, exchange)

        desk.behaviours = [wait]
        config = forwarding.make_config()
        config["routes"][1]["timeoutMs"] = 10_000
        async with forwarding.open_forwarding(desk, config=config) as made:
            board = made.daemon.board
            statuses = []

            async def call(length):
                answer = await made.call(
                    "POST",
                    "/log/",
                    b"x" * length,
                    carawayward_deadline_ms="10000",
                )
                statuses.append(answer.status)
                return answer

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call, LARGE)
                await made.wait_for(
                    lambda: len(desk.runs) == 0 and desk.arrivals == 1
                )
                assert board.body_room.kept_bytes == LARGE
                refused = await call(LARGE)
                assert refused.status == 503
                assert float(refused.headers["retry-after"]) > 0.0
                assert (await call(100)).status == 200
                assert desk.arrivals == 2
                release.set()
            assert (await call(LARGE)).status == 200
            assert statuses == [503, 200, 200, 200]
            assert board.body_room.kept_bytes == 0

    with mock.patch.object(body_room, "MAX_BODY_BYTES", 3 * LARGE // 2):
        trio.run(main)


def test_declared_length_that_is_too_long_is_refused_before_it_comes():
    """Guards against a body that is received only to be refused."""

    async def main():
        desk = backend.Backend("desk-0")
        async with forwarding.open_forwarding(desk) as made:
            host, _, port = made.daemon.settings.listen.callers.partition(":")
            stream = await trio.open_tcp_stream(host, int(port))
            async with stream:
                await stream.send_all(
                    f"POST /look/ HTTP/1.1\r\nHost: {forwarding.HOST}\r\n"
                    "Content-Length: 1000000\r\n\r\n".encode()
                )
                with trio.fail_after(forwarding.CALL_S):
                    received = await stream.receive_some(100)
            assert received.startswith(b"HTTP/1.1 413")

    trio.run(main)
