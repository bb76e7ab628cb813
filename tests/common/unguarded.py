"""Runs the daemon with guards taken away, to show what they guard against.

``python -m tests.common.unguarded GUARD[,GUARD...] --settings FILE``: the
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
    """No guard but a fault: stop the process between mark and send."""
    mark_used = tickets.mark_used

    def mark_and_pause(*words: typing.Any) -> None:
        mark_used(*words)
        os.kill(os.getpid(), signal.SIGSTOP)

    replace(tickets, "mark_used", mark_and_pause)()


def ignore_leaving() -> None:
    """Take a leaving endpoint for one that stays."""
    initialize = blackboard.Endpoint.__init__

    def stay(self: typing.Any, **fields: typing.Any) -> None:
        initialize(self, **{**fields, "leaving": False})

    blackboard.Endpoint.__init__ = stay  # type: ignore[method-assign]


def ignore_pins() -> None:
    """Choose the current version for every request of a session."""
    choose = cascade.choose_version
    cascade.choose_version = lambda model, pins, *more: choose(
        model, {}, *more
    )


def allow_all() -> None:
    """Plan with every model, whatever the customer may use."""
    make_plan = cascade.make_plan
    cascade.make_plan = lambda task, models, allowed, pins: make_plan(
        task, models, frozenset(models), pins
    )


def replace(owner: object, name: str, value: object) -> typing.Callable:
    """Something that puts another value in a guard's place."""
    return lambda: setattr(owner, name, value)


async def return_at_once(*words: typing.Any, **named: typing.Any) -> None:
    """In place of something that waits."""


async def keep_bill(self: billing.BillingController, bill: typing.Any) -> bool:
    """Keep a bill in this process alone, and say that it is safe."""
    self.waiting[bill.key] = bill
    return True


GUARDS: dict[str, typing.Callable[[], None]] = {
    "pause": pause_after_mark,
    "leaving": ignore_leaving,
    "pins": ignore_pins,
    "allowed": allow_all,
    "woken": replace(claims, "may_dispatch", lambda *times: True),
    "mark": replace(tickets, "present", lambda *words: tickets.Run()),
    "recheck": replace(
        dispatch.Dispatcher, "_recheck", lambda self, step: None
    ),
    "settle": replace(billing.BillingController, "make_durable", keep_bill),
    "doubt": replace(requests, "may_be_resend", lambda request: False),
    "stop": replace(stopping.PlannedStop, "run", return_at_once),
}


def main() -> None:
    """Take the named guards away and run the daemon."""
    for name in sys.argv.pop(1).split(","):
        GUARDS[name]()
    daemon.main()


if __name__ == "__main__":
    main()
