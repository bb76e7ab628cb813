"""Tests of plain endpoints that are full or do not answer, on loopback."""

import contextlib
import socket
import time

import trio

from carawayward.forwarding import load_report_messages
from tests.common import forwarding
from tests.standins import backend

TIMEOUT_S = 0.8
# A request held a quarter of a second longer is late in any case.
MAX_HELD_S = 0.25
# By then the changed addresses of endpoints have been read.
REGISTRY_READ_S = 1.0
# By then the reports of peers are in use.
REFRESHED_S = 0.3


def make_config():
    config = forwarding.make_config()
    for route in config["routes"]:
        route["timeoutMs"] = 1000 * TIMEOUT_S
    return config


async def call_log(made):
    """Return the answer to a request that may run once, and its time in s."""
    began = trio.current_time()
    answer = await made.call("POST", "/log/")
    return answer, trio.current_time() - began


def test_request_that_finds_no_room_is_refused_before_it_is_sent():
    """All places and queues are taken by requests of other entry VMs.

    The request may run only once. It must not be sent and then refused, nor
    wait in a queue until its caller has given up.
    """

    async def main():
        desk = backend.Backend("desk-0")
        async with forwarding.open_forwarding(
            desk, config=make_config()
        ) as made:
            assert (await made.call("POST", "/log/")).status == 200
            fleet = made.daemon.app.forwarder.placer.fleet
            number = load_report_messages.hash_name("desk-0")
            value = [{number: 4_000}, {}, {}, {number: 400}]
            fleet.room.merge("vm-9/a", value, 3_000.0)
            await trio.sleep(REFRESHED_S)
            answer, took_s = await call_log(made)
            runs = len(desk.runs)
            fleet.room.merge("vm-9/a", [{}, {}, {}, {}], 3_000.0)
            served = await made.call("POST", "/log/")
        assert answer.status == 503
        assert 0.0 < float(answer.headers["retry-after"]) < 5.0
        assert took_s < TIMEOUT_S / 4
        assert runs == 1
        assert served.status == 200

    trio.run(main)


def test_answer_that_never_comes_ends_at_the_routes_timeout():
    """An endpoint goes silent, before or after the head of its answer."""

    async def send_head(server, exchange):
        await exchange.begin_stream(server.seal(exchange))
        await trio.sleep_forever()

    async def main():
        for behaviour in (backend.stay_silent, send_head):
            desk = backend.Backend("desk-0", always=behaviour)
            async with forwarding.open_forwarding(
                desk, config=make_config()
            ) as made:
                answer, took_s = await call_log(made)
            assert answer.status == 504
            assert took_s < TIMEOUT_S + MAX_HELD_S

    trio.run(main)


def test_connections_that_hang_do_not_hold_a_request_past_its_timeout():
    """Endpoints accept no connection: their queues of new ones are full."""

    async def main():
        with contextlib.ExitStack() as stack:
            desks = [backend.Backend(f"desk-{each}") for each in range(3)]
            async with forwarding.open_forwarding(
                *desks, config=make_config()
            ) as made:
                for desk in desks:
                    listener = stack.enter_context(socket.socket())
                    listener.bind(("127.0.0.1", 0))
                    listener.listen(0)
                    for _ in range(2):
                        other = stack.enter_context(socket.socket())
                        other.setblocking(False)
                        other.connect_ex(listener.getsockname())
                    desk.port = listener.getsockname()[1]
                    made.register(desk, sequence=2)
                await trio.sleep(REGISTRY_READ_S)
                answer, took_s = await call_log(made)
        assert answer.status == 503
        assert took_s < TIMEOUT_S + MAX_HELD_S

    trio.run(main)


def test_time_that_a_request_waits_to_be_read_counts_towards_its_timeout():
    """An entry VM is busy for most of the timeout when a request arrives.

    The time that it has waited in the socket is over for its caller.
    """

    async def main():
        desk = backend.Backend("desk-0", always=backend.stay_silent)
        async with forwarding.open_forwarding(
            desk, config=make_config()
        ) as made:
            host, _, port = made.daemon.settings.listen.callers.rpartition(":")
            stream = await trio.open_tcp_stream(host, int(port))
            head = b"POST /log/ HTTP/1.1\r\ncontent-length: 0\r\n"
            for name, value in made.make_headers():
                head += f"{name}: {value}\r\n".encode()
            await trio.sleep(0.1)
            began = trio.current_time()
            await stream.send_all(head + b"\r\n")
            time.sleep(0.75 * TIMEOUT_S)
            answer = await stream.receive_some(100)
            took_s = trio.current_time() - began
        assert answer.startswith(b"HTTP/1.1 50")
        assert took_s < TIMEOUT_S + MAX_HELD_S

    trio.run(main)
