"""Isolates the daemon's tasks from each other's exceptions."""

import typing

import attrs
import trio

from carawayward import events

RESTART_DELAY_S = 0.5

Task = typing.Callable[..., typing.Awaitable[typing.Any]]


@attrs.define
class Supervisor:
    """A nursery in which an exception of one task does not end the others.

    In a plain nursery an unexpected exception in any task would end the
    whole daemon and with it all requests that it serves.

    Only tasks that are started while ``restarting`` is set are restarted:
    these are the controllers' loops. Tasks started later run only once, for
    example a call that must not be repeated.
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
        run = run_with_restarts if self.restarting else run_once
        self.nursery.start_soon(
            run, function, arguments, name=name or function
        )

    async def start(
        self,
        function: Task,
        *arguments: typing.Any,
        name: object = None,
    ) -> typing.Any:
        """Start a task and wait until it reports that it has started.

        A task that fails to start ends the daemon, so that an address in
        use is noticed at once.
        """
        return await self.nursery.start(function, *arguments, name=name)

    @property
    def cancel_scope(self) -> trio.CancelScope:
        """The scope that cancels all tasks."""
        return self.nursery.cancel_scope


async def run_with_restarts(function: Task, arguments: tuple) -> None:
    """Run a task and restart it whenever it raises an exception."""
    while not await run_once(function, arguments):
        await trio.sleep(RESTART_DELAY_S)


async def run_once(function: Task, arguments: tuple) -> bool:
    """Run a task; return whether it ended without an exception."""
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
    """Split an exception into cancellations and everything else."""
    if isinstance(fault, BaseExceptionGroup):
        return fault.split(trio.Cancelled)
    if isinstance(fault, trio.Cancelled):
        return fault, None
    return None, fault


def describe_fault(fault: BaseException) -> str:
    """Describe an exception by its type and origin, without its message.

    The message may quote data that a caller sent.
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
