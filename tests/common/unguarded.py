"""Runs the daemon with safety checks disabled.

Tests use it to show that they fail without a check. Usage:
``python -m tests.common.unguarded GUARD[,GUARD...] --settings FILE``. The
shipped code has no such switches.
"""

import os
import signal
import sys
import typing

from carawayward import blackboard
from carawayward.controllers import billing
from carawayward import daemon
from carawayward.decisions import cascade
from carawayward.gateway import dispatch
from carawayward.gateway import requests
from carawayward.protocol import claims
from carawayward.protocol import tickets
from carawayward import stopping


def pause_after_mark() -> None:
    """Stop the process between marking a right used and sending the call.

    This injects a fault rather than removing a guard.
    """
    mark_used = tickets.mark_used

    def mark_used_and_pause(*arguments: typing.Any) -> None:
        mark_used(*arguments)
        os.kill(os.getpid(), signal.SIGSTOP)

    replace(tickets, "mark_used", mark_used_and_pause)()


def ignore_leaving() -> None:
    """Treat leaving endpoints as staying."""
    initialize = blackboard.Endpoint.__init__

    def init_staying(self: typing.Any, **fields: typing.Any) -> None:
        initialize(self, **{**fields, "leaving": False})

    blackboard.Endpoint.__init__ = init_staying  # type: ignore[method-assign]


def ignore_pins() -> None:
    """Choose the current version for every request of a session."""
    choose = cascade.choose_version
    cascade.choose_version = lambda model, pins, *more: choose(
        model, {}, *more
    )


def allow_all() -> None:
    """Plan with every model, including those the customer may not use."""
    make_plan = cascade.make_plan
    cascade.make_plan = lambda task, models, allowed, pins: make_plan(
        task, models, frozenset(models), pins
    )


def replace(owner: object, name: str, value: object) -> typing.Callable:
    """Return a function that replaces an attribute with ``value``."""
    return lambda: setattr(owner, name, value)


async def return_at_once(
    *arguments: typing.Any, **keywords: typing.Any
) -> None:
    """Return without waiting; replaces a coroutine function that waits."""


async def keep_bill(self: billing.BillingController, bill: typing.Any) -> bool:
    """Keep a bill in this process only, but report it as safe."""
    self.waiting[bill.key] = bill
    return True


GUARDS: dict[str, typing.Callable[[], None]] = {
    "pause": pause_after_mark,
    "leaving": ignore_leaving,
    "pins": ignore_pins,
    "allowed": allow_all,
    "woken": replace(claims, "may_dispatch", lambda *times: True),
    "mark": replace(tickets, "decide", lambda *arguments: tickets.Run()),
    "recheck": replace(
        dispatch.Dispatcher, "_recheck", lambda self, step: None
    ),
    "settle": replace(billing.BillingController, "make_durable", keep_bill),
    "doubt": replace(requests, "may_be_retry", lambda request: False),
    "stop": replace(stopping.PlannedStop, "run", return_at_once),
}


def main() -> None:
    """Disable the named guards and run the daemon."""
    for name in sys.argv.pop(1).split(","):
        GUARDS[name]()
    daemon.main()


if __name__ == "__main__":
    main()
