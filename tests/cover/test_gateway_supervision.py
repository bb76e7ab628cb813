"""Exceptions do not end the daemon; only controllers are restarted."""

import typing

import trio

from carawayward import supervision


def run_supervised(
    scenario: typing.Callable[
        [supervision.Supervisor], typing.Awaitable[None]
    ],
) -> None:
    """Run a scenario with a supervisor in a new trio loop."""

    async def run() -> None:
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                await scenario(supervision.Supervisor(nursery))
                nursery.cancel_scope.cancel()

    trio.run(run)


def test_loop_that_meets_a_fault_goes_on():
    """A controller that stops silently would go unnoticed for long."""
    rounds = 0

    async def loop() -> None:
        nonlocal rounds
        rounds += 1
        if rounds == 1:
            raise ExceptionGroup("g", [KeyError("x")])
        await trio.sleep_forever()

    async def scenario(supervisor: supervision.Supervisor) -> None:
        supervisor.start_soon(loop)
        while rounds < 2:
            await trio.sleep(0.01)

    run_supervised(scenario)


def test_task_that_begins_later_is_never_begun_again():
    """A task that must run only once is not restarted after a failure."""
    runs = 0

    async def run_call(words: str) -> None:
        nonlocal runs
        runs += 1
        raise RuntimeError(words)

    async def scenario(supervisor: supervision.Supervisor) -> None:
        supervisor.restarting = False
        supervisor.start_soon(run_call, "x")
        await trio.sleep(3 * supervision.RESTART_DELAY_S)
        assert runs == 1

    run_supervised(scenario)
