"""Tests of entry VMs that reach no endpoint while their peers do."""

import attrs
import trio

from carawayward import settings as settings_module
from tests.common import forwarding
from tests.standins import backend
from tests.standins import link as link_module

DESKS = 3
CALLS = 20


def make_desks():
    return [backend.Backend(f"desk-{number}") for number in range(DESKS)]


def make_engines():
    return [
        backend.Backend(
            f"engine-{number}",
            service="engines",
            engine=True,
            confidence={"small": 90.0, "large": 90.0},
        )
        for number in range(DESKS)
    ]


def count_runs(backends):
    return sum(len(each.runs) for each in backends)


def test_entry_vm_without_endpoints_serves_its_callers():
    """It alone is cut off from all endpoints; its peer reaches them."""

    async def main():
        desks = make_desks()
        async with forwarding.open_forwarding(
            *desks, *make_engines(), daemons=2, separate=True
        ) as made:
            made.cut_off(0)
            for _ in range(CALLS):
                assert (await made.call("GET", "/look/1")).status == 200
                assert (await made.call("POST", "/log/1")).status == 200
                assert (await made.request_stream()).status == 200
            assert count_runs(desks) == 2 * CALLS

    trio.run(main)


def answer_after(delay_s):
    async def behave(server, exchange):
        run = server.begin(exchange)
        await trio.sleep(delay_s)
        await exchange.answer(200, server.seal(exchange), b"done")
        run.ended = "ok"

    return behave


def test_runs_that_a_partition_breaks_off_are_no_crashes():
    """Connections are reset and refused though the endpoints run on."""

    async def main():
        desks = make_desks()
        for desk in desks:
            desk.always = answer_after(0.3)
        async with forwarding.open_forwarding(
            *desks, daemons=2, separate=True
        ) as made:
            statuses = []

            async def call(number):
                answer = await made.call("POST", f"/log/{number}")
                statuses.append(answer.status)

            async with trio.open_nursery() as nursery:
                for number in range(6):
                    nursery.start_soon(call, number)
                await trio.sleep(0.15)
                made.cut_off(0)
            assert statuses == [502] * 6
            for daemon in made.daemons:
                suspects = daemon.app.forwarder.suspects
                assert not suspects.records.crashes
                assert not suspects.crashed_ms

    trio.run(main)


def find_client(made, daemon=0):
    return made.daemons[daemon].app.forwarder.sender.relays


def count_relays(made):
    """Relays that were asked for, by the entry VM that sent them."""
    return [
        sum(
            count
            for (name, _), count in daemon.app.metrics.counters.items()
            if name == "relays"
        )
        for daemon in made.daemons
    ]


async def call_while(made, desks, act):
    """Make a call that may not be repeated; act once an endpoint runs it."""
    answers = []

    async def call():
        answers.append(await made.call("POST", "/log/1"))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call)
        await made.wait_for(lambda: count_runs(desks) == 1)
        act()
    return answers[0]


def test_no_request_is_relayed_while_endpoints_are_reached():
    """One endpoint fails, the others serve; peers get nothing to do."""

    async def main():
        desks = make_desks()
        async with forwarding.open_forwarding(
            *desks, daemons=2, separate=True
        ) as made:
            made.cut_off(0, ["desk-0"])
            for _ in range(CALLS):
                assert (await made.call("GET", "/look/1")).status == 200
            assert not find_client(made).paths.list_lost()
            assert count_relays(made) == [0, 0]

    trio.run(main)


def test_entry_vm_sends_requests_itself_once_its_path_is_back():
    """Its probes find the endpoints without a request."""

    async def main():
        async with forwarding.open_forwarding(
            *make_desks(), daemons=2, separate=True
        ) as made:
            made.cut_off(0)
            assert (await made.call("GET", "/look/1")).status == 200
            paths = find_client(made).paths
            assert paths.is_lost("desk")
            made.restore(0)
            await made.wait_for(lambda: not paths.is_lost("desk"))
            before = count_relays(made)
            assert (await made.call("GET", "/look/1")).status == 200
            assert count_relays(made) == before

    trio.run(main)


def test_request_is_refused_at_once_if_no_entry_vm_reaches_endpoints():
    """It is passed on at most once, and the refusal is true."""

    async def main():
        desks = make_desks()
        async with forwarding.open_forwarding(
            *desks, daemons=3, separate=True
        ) as made:
            for daemon in range(3):
                made.cut_off(daemon)
            for daemon in (0, 1, 2, 0, 1, 2):
                began_s = trio.current_time()
                answer = await made.call("POST", "/log/1", daemon=daemon)
                assert answer.status == 503
                assert float(answer.headers["retry-after"]) > 0.0
                assert trio.current_time() - began_s < 0.5
            assert count_runs(desks) == 0

    trio.run(main)


def test_peer_that_is_cut_off_too_is_passed_over():
    """Two of three are cut off; the third one serves for both."""

    async def main():
        desks = make_desks()
        async with forwarding.open_forwarding(
            *desks, daemons=3, separate=True
        ) as made:
            made.cut_off(0)
            made.cut_off(1)
            for daemon in (0, 1) * CALLS:
                answer = await made.call("POST", "/log/1", daemon=daemon)
                assert answer.status == 200
            assert count_runs(desks) == 2 * CALLS

    trio.run(main)


def test_relayed_request_that_breaks_off_is_not_run_again():
    """The endpoint resets the connection after it has run the request."""

    async def main():
        desks = make_desks()
        for desk in desks:
            desk.always = backend.reset_after_run
        async with forwarding.open_forwarding(
            *desks, daemons=3, separate=True
        ) as made:
            made.cut_off(0)
            assert (await made.call("POST", "/log/1")).status == 502
            assert count_runs(desks) == 1
            assert (await made.call("GET", "/look/1")).status == 502
            assert count_runs(desks) == 3

    trio.run(main)


async def put_link_before_peer(made, daemon=0, peer=1):
    """Let an entry VM reach a peer only through a link that can be cut."""
    name = f"edge-{peer}"
    _, port = settings_module.split_address(
        made.daemons[peer].settings.listen.peers
    )
    link = link_module.Link(port)
    port = await made.nursery.start(link_module.serve_link, link)
    peers = find_client(made, daemon).reporter.peers
    await made.wait_for(lambda: name in peers)
    peers[name].address = ("127.0.0.1", port)
    return link


def test_request_is_not_run_again_if_its_peer_ends():
    """The connection to the peer is reset after the request has run."""

    async def main():
        desks = make_desks()
        for desk in desks:
            desk.always = backend.stay_silent
        async with forwarding.open_forwarding(
            *desks, daemons=2, separate=True
        ) as made:
            link = await put_link_before_peer(made)
            made.cut_off(0)
            answer = await call_while(
                made, desks, lambda: link.set_mode("reset", 0.0)
            )
            assert answer.status == 502
            assert count_runs(desks) == 1

    trio.run(main)


def test_frozen_peer_does_not_get_a_request():
    """It accepts connections; the other peer serves instead."""

    async def main():
        desks = make_desks()
        async with forwarding.open_forwarding(
            *desks, daemons=3, separate=True
        ) as made:
            link = await put_link_before_peer(made)
            made.cut_off(0)
            link.set_mode("held", 0.0)
            for _ in range(CALLS):
                assert (await made.call("POST", "/log/1")).status == 200
            link.set_mode("open", 0.0)
            await trio.sleep(0.2)
            assert count_runs(desks) == CALLS

    trio.run(main)


def test_endpoint_notices_that_the_caller_of_a_relayed_request_left():
    """It would work in vain for a caller behind another entry VM."""

    async def main():
        desks = make_desks()
        for desk in desks:
            desk.always = backend.stay_silent
        async with forwarding.open_forwarding(
            *desks, daemons=2, separate=True
        ) as made:
            made.cut_off(0)
            with trio.move_on_after(1.0):
                await made.call("POST", "/log/1")
            (run,) = [run for desk in desks for run in desk.runs]
            with trio.fail_after(0.5):
                while run.ended != "left":
                    await trio.sleep(0.01)

    trio.run(main)


def test_stream_goes_on_through_a_peer_after_a_partition():
    """Its connection is reset midway; the caller gets each event once."""

    async def main():
        engines = [
            attrs.evolve(each, events=30, pause_ms=20.0)
            for each in make_engines()
        ]
        async with forwarding.open_forwarding(
            *engines, daemons=2, separate=True
        ) as made:
            answers = []

            async def request():
                answers.append(await made.request_stream())

            async with trio.open_nursery() as nursery:
                nursery.start_soon(request)
                await made.wait_for(lambda: count_runs(engines) == 1)
                await trio.sleep(0.2)
                made.cut_off(0)
            (answer,) = answers
            assert forwarding.read_numbers(answer.body) == list(range(1, 31))
            assert count_runs(engines) == 2

    trio.run(main)


def test_relayed_stream_that_breaks_off_is_resumed():
    """Its engine resets the connection to the peer midway."""

    async def main():
        engines = make_engines()
        once = [backend.break_after(2)]
        for engine in engines:
            engine.behaviours = once
        async with forwarding.open_forwarding(
            *engines, daemons=2, separate=True
        ) as made:
            made.cut_off(0)
            answer = await made.request_stream()
            assert forwarding.read_numbers(answer.body) == [1, 2, 3, 4]

    trio.run(main)


def test_peer_checks_keys_by_its_own_table_and_lease():
    """A key that was taken away must hold on every entry VM."""

    async def main():
        desks = make_desks()
        async with forwarding.open_forwarding(
            *desks, daemons=2, separate=True
        ) as made:
            made.cut_off(0)
            assert (await made.call("POST", "/log/1")).status == 200
            board = made.daemons[1].board
            table = made.find_table()
            board.table = attrs.evolve(table, customers_by_key={})
            assert (await made.call("POST", "/log/1")).status == 503
            assert (await made.call("GET", "/open/1")).status == 200
            board.table = table
            board.table_as_of_ms = float("-inf")
            assert (await made.call("POST", "/log/1")).status == 503
            assert count_runs(desks) == 2

    trio.run(main)


def test_peer_keeps_requests_from_endpoints_that_rest():
    """It knows of the rest, the entry VM that asks it does not."""

    async def main():
        desks = make_desks()
        async with forwarding.open_forwarding(
            *desks, daemons=2, separate=True
        ) as made:
            made.cut_off(0)
            board = made.daemons[1].board
            for name in ("desk-0", "desk-1"):
                process = board.endpoints[name].process
                board.resting_until[process] = float("inf")
            for _ in range(CALLS):
                assert (await made.call("POST", "/log/1")).status == 200
            assert [len(desk.runs) for desk in desks] == [0, 0, CALLS]

    trio.run(main)


def test_leaving_peer_finishes_what_it_relays():
    """A planned stop cuts off no request of another entry VM either."""

    async def main():
        desks = make_desks()
        for desk in desks:
            desk.always = answer_after(1.0)
        async with forwarding.open_forwarding(
            *desks, daemons=2, separate=True
        ) as made:
            made.cut_off(0)
            answer = await call_while(made, desks, made.stops[1].set)
            assert answer.status == 200
            assert (await made.call("POST", "/log/1")).status == 503
            assert count_runs(desks) == 1

    trio.run(main)


def test_relayed_request_that_crashes_endpoints_is_convicted():
    """The entry VM's own probes are not refused: its connections hang."""

    async def stay_unknown(address):
        return False

    async def main():
        bad = b"crashes what runs it"
        desks = [backend.Backend(f"desk-{number}") for number in range(9)]
        for desk in desks:
            desk.always = backend.crash_on(bad)
        async with forwarding.open_forwarding(
            *desks, daemons=2, separate=True
        ) as made:
            made.cut_off(0)
            assert (await made.call("GET", "/look/1")).status == 200
            suspects = made.daemon.app.forwarder.suspects
            suspects.probe = stay_unknown
            by_address = {
                made.paths[1, desk.name].address: desk for desk in desks
            }

            async def probe(address):
                # Links accept connections of endpoints that are down.
                return not by_address[address].scope.cancel_called

            made.daemons[1].relay_server.paths.probe = probe
            for _ in range(6):
                await made.call("POST", "/look/1", bad)
            crashes = [run for d in desks for run in d.runs]
            assert sum(run.ended == "crashed" for run in crashes) == 3
            assert (await made.call("GET", "/look/1")).status == 200

    trio.run(main)


def test_endpoint_that_is_left_is_tried_if_no_peer_relays():
    """Two of three are down everywhere, so that all paths count as lost."""

    async def main():
        desks = make_desks()
        async with forwarding.open_forwarding(
            *desks, daemons=2, separate=True
        ) as made:
            for daemon in (0, 1):
                made.cut_off(daemon, ["desk-0", "desk-1"])
                paths = find_client(made, daemon).paths
                entries = made.daemons[daemon].board.endpoints
                for name in ("desk-0", "desk-1"):
                    paths.record_unreached(entries[name], float("inf"))
                assert paths.is_lost("desk")
            for daemon in (0, 1):
                answer = await made.call("POST", "/log/1", daemon=daemon)
                assert answer.status == 200
            assert len(desks[2].runs) == 2

    trio.run(main)
