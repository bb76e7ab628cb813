"""Keeps the daemon's tasks going when one of them meets a fault."""

import typing

import attrs
import trio

from carawayward import events

RESTART_DELAY_S = 0.5

Task = typing.Callable[..., typing.Awaitable[typing.Any]]


@attrs.define
class Supervisor:
    """Stands in for a nursery; no task's fault ends its other tasks.

    In a plain nursery an exception that nobody expected, in any one task,
    would end the whole daemon and with it every request that it serves.

    Only tasks that begin while ``restarting`` is set are started again:
    these are the controllers' loops. A task that begins later does one
    thing once, such as a call that may not be repeated.
    """

    nursery: trio.Nursery
    restarting: bool = True

    def start_soon(
        self,
        function: Task,
        *arguments: typing.Any,
        name: object = None,
    ) -> None:
        """Start a task."""
        contain = run_with_restarts if self.restarting else run_once
        self.nursery.start_soon(
            contain, function, arguments, name=name or function
        )

    async def start(
        self,
        function: Task,
        *arguments: typing.Any,
        name: object = None,
    ) -> typing.Any:
        """Start a task and wait until it reports that it has started.

        A task that never started ends the daemon: an address that is taken
        must be seen at once.
        """
        return await self.nursery.start(function, *arguments, name=name)

    @property
    def cancel_scope(self) -> trio.CancelScope:
        """Ends all tasks."""
        return self.nursery.cancel_scope


async def run_with_restarts(function: Task, arguments: tuple) -> None:
    """Run a task, and again whenever it meets a fault."""
    while not await run_once(function, arguments):
        await trio.sleep(RESTART_DELAY_S)


async def run_once(function: Task, arguments: tuple) -> bool:
    """Run a task; whether it came to its end without a fault."""
    try:
        await function(*arguments)
        return True
    except (Exception, BaseExceptionGroup) as fault:
        _, rest = split_cancelled(fault)
        if rest is None:
            raise
        events.log_event(
            events.Event.FAULT,
            task=getattr(function, "__qualname__", str(function)),
            detail=describe_fault(rest),
        )
        return False


def split_cancelled(
    fault: BaseException,
) -> tuple[BaseException | None, BaseException | None]:
    """Split an exception into cancellations and all else."""
    if isinstance(fault, BaseExceptionGroup):
        return fault.split(trio.Cancelled)
    if isinstance(fault, trio.Cancelled):
        return fault, None
    return None, fault


def describe_fault(fault: BaseException) -> str:
    """Where an exception came from, without its text.

    The text of an exception may quote what a caller sent.
    """
    if isinstance(fault, BaseExceptionGroup):
        return "; ".join(describe_fault(each) for each in fault.exceptions)
    trace = fault.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    if trace is None:
        return type(fault).__name__
    code = trace.tb_frame.f_code
    return f"{type(fault).__name__} in {code.co_qualname}:{trace.tb_lineno}"
