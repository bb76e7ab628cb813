"""Queued requests and hedged runs, without sockets."""

import attrs
import trio
import trio.testing

from carawayward import blackboard
from carawayward import clock
from carawayward.controllers import suspects as suspects_module
from carawayward.decisions import queueing
from carawayward import errors
from carawayward.gateway import endpoints
from carawayward.gateway import fleet as fleet_module
from carawayward.gateway import hedging
from carawayward.gateway import lanes as lanes_module
from carawayward.peers import hub

END = endpoints.RunEnd(
    length=1, input_tokens=1, output_tokens=1, confidence=1.0
)


@attrs.define
class NoLinks:
    """A hub without peers."""

    links: dict = attrs.field(factory=dict)


def make_lanes(*names, slots=1):
    board = blackboard.Blackboard(name="vm", failure_domain="a")
    for name in names:
        board.endpoints[name] = blackboard.Endpoint(
            name=name,
            pool="p",
            failure_domain="a",
            address="127.0.0.1:1",
            versions=frozenset({"v"}),
        )
    clocks = clock.Clock()
    links: hub.PeerHub = NoLinks()  # type: ignore[assignment]
    suspects = suspects_module.SuspectsController(board, clocks, links)
    fleet = fleet_module.Fleet(board)
    lanes = lanes_module.Lanes(clocks, fleet, "a", suspects)
    lane = lanes.find("v", lambda endpoint: "v" in endpoint.versions)
    for view in fleet.views.values():
        view.limit.value = float(slots)
    return lanes, lane


def make_waiter(lanes, patience_ms=2_000.0, **fields):
    item = queueing.WaitingRequest(
        customer="c",
        weight=1.0,
        work=100.0,
        latest_start_ms=lanes.clock.now_ms() + patience_ms,
    )
    return lanes_module.Waiter(item=item, key=None, **fields)


async def start_waiting(nursery, lanes, lane, waiter, got, aside=False):
    async def wait():
        got.append((waiter, await lanes.wait(lane, waiter, aside)))

    nursery.start_soon(wait)
    await trio.testing.wait_all_tasks_blocked()


def test_caller_that_leaves_the_queue_frees_its_place():
    async def main():
        lanes, lane = make_lanes("e1")
        first, second = make_waiter(lanes), make_waiter(lanes)
        assert await lanes.wait(lane, first, False)
        with trio.move_on_after(0.02):
            await lanes.wait(lane, second, False)
        assert lane.queue.count == 0
        lanes.release(first.view)
        assert lanes.fleet.views["e1"].in_flight == 0

    trio.run(main)


def test_slot_granted_as_its_caller_leaves_goes_to_the_next():
    async def main():
        lanes, lane = make_lanes("e1")
        first, second, third = (make_waiter(lanes) for _ in range(3))
        assert await lanes.wait(lane, first, False)
        got: list = []
        async with trio.open_nursery() as nursery:
            scope = trio.CancelScope()

            async def leave():
                with scope:
                    await lanes.wait(lane, second, False)

            nursery.start_soon(leave)
            await trio.testing.wait_all_tasks_blocked()
            await start_waiting(nursery, lanes, lane, third, got)
            scope.cancel()
            lanes.release(first.view)
        assert got == [(third, True)]
        assert lanes.fleet.views["e1"].in_flight == 1

    trio.run(main)


def test_request_whose_time_runs_out_in_the_queue_is_let_go():
    async def main():
        lanes, lane = make_lanes("e1")
        assert await lanes.wait(lane, make_waiter(lanes), False)
        late = make_waiter(lanes, patience_ms=20.0)
        assert not await lanes.wait(lane, late, False)
        assert lane.queue.count == 0

    trio.run(main)


def test_retry_goes_before_the_queue():
    async def main():
        lanes, lane = make_lanes("e1")
        first, queued, again = (make_waiter(lanes) for _ in range(3))
        assert await lanes.wait(lane, first, False)
        got: list = []
        async with trio.open_nursery() as nursery:
            await start_waiting(nursery, lanes, lane, queued, got)
            await start_waiting(nursery, lanes, lane, again, got, True)
            lanes.release(first.view)
            await trio.testing.wait_all_tasks_blocked()
            assert [waiter for waiter, _ in got] == [again]
            lanes.release(again.view)

    trio.run(main)


def test_convicted_request_in_the_queue_is_let_go_at_once():
    async def main():
        lanes, lane = make_lanes("e1")
        assert await lanes.wait(lane, make_waiter(lanes), False)
        waiter = make_waiter(lanes, fingerprint="f")
        got: list = []
        async with trio.open_nursery() as nursery:
            await start_waiting(nursery, lanes, lane, waiter, got)
            lanes.suspects.record_crash("f", "e8", "r")
            lanes.suspects.record_crash("f", "e9", "r")
            lanes.pump_all()
            with trio.fail_after(1):
                while not got:
                    await trio.sleep(0)
        assert got == [(waiter, False)]

    trio.run(main)


def test_leaving_endpoint_gets_no_queued_request():
    async def main():
        lanes, lane = make_lanes("e1", "e2", slots=8)
        board = lanes.fleet.board
        gone = attrs.evolve(board.endpoints["e1"], leaving=True)
        board.endpoints["e1"] = gone
        lanes.fleet.sync(0.0)
        for _ in range(8):
            waiter = make_waiter(lanes)
            assert await lanes.wait(lane, waiter, False)
            assert waiter.view.name == "e2"

    trio.run(main)


def make_runner(pauses, log, name, fails=False):
    async def run(on_text):
        try:
            for pause in pauses:
                await trio.sleep(pause)
                await on_text(name)
            if fails:
                raise errors.EndpointError(name, "broke", sent=True)
            return END
        except trio.Cancelled:
            log.append(f"{name} cancelled")
            raise

    return run


def race(first, second, delay_ms):
    texts = []

    async def main():
        async def take(text):
            texts.append(text)

        runner = hedging.Race(take)
        return await runner.run(first, delay_ms, lambda: second)

    return trio.run(main), texts


def test_silent_run_is_overtaken_and_cancelled():
    log: list[str] = []
    slow = make_runner([5.0], log, "slow")
    quick = make_runner([0.0, 0.0], log, "quick")
    (index, _), texts = race(slow, quick, 20.0)
    assert index == 1
    assert texts == ["quick", "quick"]
    assert log == ["slow cancelled"]


def test_run_that_has_given_text_is_not_run_twice():
    log: list[str] = []
    steady = make_runner([0.0, 0.05], log, "steady")
    (index, _), texts = race(steady, make_runner([0.0], log, "no"), 20.0)
    assert index == 0
    assert texts == ["steady", "steady"]
    assert log == []


def test_fault_of_the_kept_run_is_told_though_another_was_begun():
    log: list[str] = []
    slow = make_runner([5.0], log, "slow")
    broken = make_runner([0.0], log, "broken", fails=True)
    try:
        race(slow, broken, 20.0)
    except errors.EndpointError as fault:
        assert fault.endpoint == "broken"
        assert fault.sent
    else:
        raise AssertionError("the fault was lost")


def test_text_in_the_moment_of_the_hedge_leaves_no_run_behind():
    """A suggestion whose whole answer was there stays open for 20 s.

    The first run gives text just as the second is asked for. The second
    began after the others had been cancelled, and waited for ever for its
    own cancellation.
    """

    async def main():
        asked = trio.Event()

        async def first(on_text):
            await asked.wait()
            await on_text("first")
            return END

        def make_second():
            asked.set()
            return make_runner([0.0], [], "second")

        async def take(text):
            assert text in ("first", "second")

        with trio.fail_after(5):
            for _ in range(50):
                asked = trio.Event()
                await hedging.Race(take).run(first, 1.0, make_second)

    trio.run(main)
