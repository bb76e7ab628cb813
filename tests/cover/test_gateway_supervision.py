"""Exceptions do not end the daemon; only controllers are restarted."""

import typing

import trio

from carawayward import outcomes
from carawayward import supervision
from tests.common import asgi


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


def test_call_whose_tasks_are_cancelled_together_is_over():
    """It stayed counted as running, and look-ups said so for ever."""

    class Dispatcher:
        async def call_service(self, *arguments: typing.Any) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.sleep_forever)
                await trio.sleep_forever()

    daemon = asgi.make_daemon()
    lookups = daemon.api.lookups
    daemon.api.lifecycle.dispatcher = typing.cast(typing.Any, Dispatcher())

    async def run() -> None:
        with trio.move_on_after(0.2):
            await asgi.exchange(
                daemon.api.build(),
                "POST",
                "/v1/services/swap-desk/look-up-parcel",
                (asgi.AUTH, asgi.JSON, (b"idempotency-key", b"key-0")),
                (b'{"text": "x"}',),
            )

    trio.run(run)
    assert not lookups.running
    (outcome,) = lookups.recent_outcomes.values()
    assert isinstance(outcome, outcomes.Unknown)
    assert outcome.reason is outcomes.Reason.CALLER_LEFT
