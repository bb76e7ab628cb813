"""Plain answers that there is no room to keep whole."""

import httpcore
from nose2.tools import params
import trio

from tests.common import forwarding
from tests.standins import backend
from tests.standins import raw_http

ANSWER = bytes(range(256)) * 4_096
MAX_BYTES = 100_000


def make_answer(framing: str, cut: bool) -> backend.Behaviour:
    """Make an answer that declares its length, is chunked, or neither."""

    async def answer(server, exchange):
        server.begin(exchange).ended = framing
        headers = server.seal(exchange)
        body = ANSWER[: len(ANSWER) // 2] if cut else ANSWER
        if framing == "chunked":
            await exchange.begin_stream(headers)
            await exchange.send_chunk(body)
            if not cut:
                await exchange.send_chunk(b"")
        else:
            if framing == "declared":
                headers["content-length"] = f"{len(ANSWER)}"
            head = raw_http.make_head(200, headers)
            await exchange.stream.send_all(head + body)
        if cut:
            await exchange.reset()
        await exchange.stream.aclose()

    return answer


@params(
    *[
        (framing, cut)
        for framing in ("declared", "chunked", "closed")
        for cut in (False, True)
    ]
)
def test_answer_without_room_is_relayed_as_it_comes(framing: str, cut: bool):
    """Guards against a long answer that is lost, or looks whole when cut."""

    async def main():
        desk = backend.Backend("desk-0", always=make_answer(framing, cut))
        async with forwarding.open_forwarding(desk) as made:
            made.daemon.board.buffers.max_bytes = MAX_BYTES
            try:
                answer = await made.call("GET", "/look/")
            except httpcore.RemoteProtocolError:
                answer = None
            # What its caller has a part of must not run again.
            assert len(desk.runs) == 1
            await made.wait_for(
                lambda: made.daemon.board.buffers.held_bytes == 0
            )
        assert (answer is None) == cut
        if answer is not None:
            assert (answer.status, answer.body) == (200, ANSWER)

    trio.run(main)


def test_failed_answer_without_room_is_retried():
    """Guards against a 500 that is relayed though a retry could succeed."""

    async def fail_at_length(server, exchange):
        server.begin(exchange).ended = "failed"
        await exchange.answer(500, server.seal(exchange), ANSWER)

    async def main():
        desks = [backend.Backend(f"desk-{n}") for n in range(2)]
        for each in desks:
            each.behaviours = [fail_at_length]
        async with forwarding.open_forwarding(*desks) as made:
            made.daemon.board.buffers.max_bytes = MAX_BYTES
            desks[1].behaviours.clear()
            statuses = {
                (await made.call("GET", "/look/")).status for _ in range(4)
            }
        assert statuses == {200}

    trio.run(main)


def test_answer_dropped_for_room_is_replaced_by_another_endpoints():
    """Guards against a connection that is closed before any answer."""

    async def hang(server, exchange):
        run = server.begin(exchange)
        head = raw_http.make_head(200, server.seal(exchange))
        try:
            await exchange.stream.send_all(head + ANSWER[:MAX_BYTES])
            await exchange.closed.wait()
        finally:
            run.ended = "closed"

    async def main():
        desks = [backend.Backend(f"desk-{n}") for n in range(2)]
        pending = [hang]

        async def answer(server, exchange):
            behave = pending.pop() if pending else backend.answer_normally
            await behave(server, exchange)

        for each in desks:
            each.always = answer
        async with forwarding.open_forwarding(*desks) as made:
            account = made.daemon.board.buffers

            async def drop():
                await made.wait_for(lambda: account.held_bytes >= MAX_BYTES)
                (share,) = account.holders
                share.give_up()

            made.nursery.start_soon(drop)
            answered = await made.call("GET", "/look/")
            await made.wait_for(lambda: account.held_bytes == 0)
        assert answered.status == 200

    trio.run(main)


def test_answer_that_is_too_large_is_not_held_until_the_caller_is_told():
    """Guards against a connection that is closed although a 502 is due."""

    async def main():
        desk = backend.Backend("desk-0")
        async with forwarding.open_forwarding(desk) as made:
            account = made.daemon.board.buffers

            async def flood(server, exchange):
                run = server.begin(exchange)
                head = raw_http.make_head(200, server.seal(exchange))
                try:
                    await exchange.stream.send_all(head)
                    while True:
                        await exchange.stream.send_all(ANSWER)
                finally:
                    run.ended = "closed"
                    for share in list(account.holders):
                        share.give_up()

            desk.always = flood
            answer = await made.call("POST", "/log/")
            await made.wait_for(lambda: account.held_bytes == 0)
        assert answer.status == 502

    trio.run(main)


def test_kept_failure_is_dropped_before_its_connection_is_closed():
    """Guards against a caller without an answer as a retry is under way."""

    async def fail_at_length(server, exchange):
        server.begin(exchange).ended = "failed"
        await exchange.answer(500, server.seal(exchange), ANSWER)

    async def main():
        desks = [backend.Backend(f"desk-{n}") for n in range(2)]
        pending = [fail_at_length]
        async with forwarding.open_forwarding(*desks) as made:
            account = made.daemon.board.buffers

            async def answer(server, exchange):
                if pending:
                    await pending.pop()(server, exchange)
                    return
                (share,) = account.holders
                share.give_up()
                await backend.answer_normally(server, exchange)

            for each in desks:
                each.always = answer
            answered = await made.call("GET", "/look/")
            await made.wait_for(lambda: account.held_bytes == 0)
        assert answered.status == 200

    trio.run(main)


def test_broken_answer_takes_no_room_while_another_endpoint_is_asked():
    """Guards against callers who get nothing for what is not kept any more."""

    async def main():
        asked_again, answered = trio.Event(), trio.Event()
        desks = [backend.Backend(f"desk-{n}") for n in range(2)]
        behaviours = [make_answer("declared", True)]

        async def answer(server, exchange):
            if behaviours:
                await behaviours.pop()(server, exchange)
                return
            asked_again.set()
            await answered.wait()
            await backend.answer_normally(server, exchange)

        for each in desks:
            each.always = answer
        async with forwarding.open_forwarding(*desks) as made:
            account = made.daemon.board.buffers
            held: list[int] = []

            async def check():
                await asked_again.wait()
                held.append(account.held_bytes)
                answered.set()

            made.nursery.start_soon(check)
            assert (await made.call("GET", "/look/")).status == 200
        assert held == [0]

    trio.run(main)
