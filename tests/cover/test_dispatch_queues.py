"""Dispatch queues and hedged runs, without sockets."""

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
from carawayward.gateway import queues as queues_module
from carawayward.peers import hub

END = endpoints.RunEnd(
    length=1, input_tokens=1, output_tokens=1, confidence=1.0
)


@attrs.define
class NoLinks:
    """A hub without peers."""

    links: dict = attrs.field(factory=dict)


def make_queues(*names, slots=1):
    board = blackboard.Blackboard(name="vm", failure_domain="a")
    for name in names:
        board.endpoints[name] = blackboard.Endpoint(
            name=name,
            pool="p",
            failure_domain="a",
            address="127.0.0.1:1",
            versions=frozenset({"v"}),
        )
    real_clock = clock.Clock()
    links: hub.PeerHub = NoLinks()  # type: ignore[assignment]
    suspects = suspects_module.SuspectsController(board, real_clock, links)
    fleet = fleet_module.Fleet(board)
    queues = queues_module.DispatchQueues(real_clock, fleet, "a", suspects)
    queue = queues.find("v", lambda endpoint: "v" in endpoint.versions)
    for view in fleet.views.values():
        view.limit.value = float(slots)
    return queues, queue


def make_waiter(queues, wait_limit_ms=2_000.0, **fields):
    item = queueing.WaitingRequest(
        customer="c",
        weight=1.0,
        work=100.0,
        latest_start_ms=queues.clock.now_ms() + wait_limit_ms,
    )
    return queues_module.Waiter(item=item, key=None, **fields)


async def start_waiting(
    nursery, queues, queue, waiter, results, is_retry=False
):
    async def wait():
        results.append((waiter, await queues.wait(queue, waiter, is_retry)))

    nursery.start_soon(wait)
    await trio.testing.wait_all_tasks_blocked()


def test_caller_that_leaves_the_queue_frees_its_place():
    async def main():
        queues, queue = make_queues("e1")
        first, second = make_waiter(queues), make_waiter(queues)
        assert await queues.wait(queue, first, False)
        with trio.move_on_after(0.02):
            await queues.wait(queue, second, False)
        assert queue.fair_queue.count == 0
        queues.release(first.view)
        assert queues.fleet.views["e1"].in_flight == 0

    trio.run(main)


def test_slot_granted_as_its_caller_leaves_goes_to_the_next():
    async def main():
        queues, queue = make_queues("e1")
        first, second, third = (make_waiter(queues) for _ in range(3))
        assert await queues.wait(queue, first, False)
        results: list = []
        async with trio.open_nursery() as nursery:
            scope = trio.CancelScope()

            async def leave():
                with scope:
                    await queues.wait(queue, second, False)

            nursery.start_soon(leave)
            await trio.testing.wait_all_tasks_blocked()
            await start_waiting(nursery, queues, queue, third, results)
            scope.cancel()
            queues.release(first.view)
        assert results == [(third, True)]
        assert queues.fleet.views["e1"].in_flight == 1

    trio.run(main)


def test_request_leaves_the_queue_when_its_time_runs_out():
    async def main():
        queues, queue = make_queues("e1")
        assert await queues.wait(queue, make_waiter(queues), False)
        late = make_waiter(queues, wait_limit_ms=20.0)
        assert not await queues.wait(queue, late, False)
        assert queue.fair_queue.count == 0

    trio.run(main)


def test_retry_goes_before_the_queue():
    async def main():
        queues, queue = make_queues("e1")
        first, queued, retried = (make_waiter(queues) for _ in range(3))
        assert await queues.wait(queue, first, False)
        results: list = []
        async with trio.open_nursery() as nursery:
            await start_waiting(nursery, queues, queue, queued, results)
            await start_waiting(nursery, queues, queue, retried, results, True)
            queues.release(first.view)
            await trio.testing.wait_all_tasks_blocked()
            assert [waiter for waiter, _ in results] == [retried]
            queues.release(retried.view)

    trio.run(main)


def test_convicted_request_leaves_the_queue_at_once():
    async def main():
        queues, queue = make_queues("e1")
        assert await queues.wait(queue, make_waiter(queues), False)
        waiter = make_waiter(queues, fingerprint="f")
        results: list = []
        async with trio.open_nursery() as nursery:
            await start_waiting(nursery, queues, queue, waiter, results)
            queues.suspects.record_crash("f", "e8", "r")
            queues.suspects.record_crash("f", "e9", "r")
            queues.dispatch_all()
            with trio.fail_after(1):
                while not results:
                    await trio.sleep(0)
        assert results == [(waiter, False)]

    trio.run(main)


def test_leaving_endpoint_gets_no_queued_request():
    async def main():
        queues, queue = make_queues("e1", "e2", slots=8)
        board = queues.fleet.board
        gone = attrs.evolve(board.endpoints["e1"], leaving=True)
        board.endpoints["e1"] = gone
        queues.fleet.sync(0.0)
        for _ in range(8):
            waiter = make_waiter(queues)
            assert await queues.wait(queue, waiter, False)
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


def run_hedged(first, second, delay_ms):
    texts = []

    async def main():
        async def collect(text):
            texts.append(text)

        hedged_run = hedging.HedgedRun(collect)
        return await hedged_run.run(first, delay_ms, lambda: second)

    return trio.run(main), texts


def test_silent_run_is_replaced_by_its_hedge_and_cancelled():
    log: list[str] = []
    slow = make_runner([5.0], log, "slow")
    quick = make_runner([0.0, 0.0], log, "quick")
    (index, _), texts = run_hedged(slow, quick, 20.0)
    assert index == 1
    assert texts == ["quick", "quick"]
    assert log == ["slow cancelled"]


def test_run_that_has_given_text_is_not_hedged():
    log: list[str] = []
    steady = make_runner([0.0, 0.05], log, "steady")
    (index, _), texts = run_hedged(steady, make_runner([0.0], log, "no"), 20.0)
    assert index == 0
    assert texts == ["steady", "steady"]
    assert log == []


def test_failure_of_the_kept_run_is_raised_despite_another_run():
    log: list[str] = []
    slow = make_runner([5.0], log, "slow")
    broken = make_runner([0.0], log, "broken", fails=True)
    try:
        run_hedged(slow, broken, 20.0)
    except errors.EndpointError as fault:
        assert fault.endpoint == "broken"
        assert fault.sent
    else:
        raise AssertionError("the fault was lost")


def test_text_while_the_hedge_starts_leaves_no_run_behind():
    """A second run that starts late must not keep the request open.

    The first run gives text while the second is being created. The second
    run started after the other runs had been cancelled and waited forever
    for its own cancellation, so a complete answer stayed open for 20 s.
    """

    async def main():
        asked = trio.Event()

        async def first(on_text):
            await asked.wait()
            await on_text("first")
            return END

        def make_hedge():
            asked.set()
            return make_runner([0.0], [], "second")

        async def collect(text):
            assert text in ("first", "second")

        with trio.fail_after(5):
            for _ in range(50):
                asked = trio.Event()
                await hedging.HedgedRun(collect).run(first, 1.0, make_hedge)

    trio.run(main)
