"""Tests of retries of forwarded requests, and of what limits them."""

from unittest import mock

import attrs
import trio

from carawayward import events
from tests.common import forwarding
from tests.standins import backend


def count_refusals(made, cause):
    return sum(
        count
        for (name, labels), count in made.daemon.app.metrics.counters.items()
        if name == "retries_refused" and dict(labels)["cause"] == cause
    )


def test_refused_retries_are_counted_by_cause():
    """Operators tell a spent budget from a route's limit of attempts."""

    async def main():
        desks = [backend.Backend(f"desk-{n}") for n in range(3)]
        for each in desks:
            each.always = backend.fail
        async with forwarding.open_forwarding(
            *desks, retry_slack=0.0, retry_ratio=0.5
        ) as made:
            for _ in range(10):
                await made.call("GET", "/look/1")
            for each in desks:
                each.always = backend.reset_after_run
            await made.call("POST", "/log/1")
            assert count_refusals(made, "attempts used up") == 4
            assert count_refusals(made, "retry budget spent") == 6
            assert count_refusals(made, "not repeatable") == 1

    trio.run(main)


def count_repeats(desks, requests):
    return sum(desk.arrivals for desk in desks) - requests


def test_entry_vms_that_cannot_join_do_not_each_take_the_whole_slack():
    """The store takes their records, and no answer reaches them."""

    async def main():
        desks = [backend.Backend(f"desk-{n}") for n in range(3)]
        for each in desks:
            each.always = backend.fail
        async with forwarding.open_forwarding(
            *desks, daemons=1, retry_slack=10.0, retry_ratio=0.0
        ) as made:
            made.store.dropping_append_answers = True
            for _ in range(3):
                await made.start_daemon_unready(
                    retry_slack=10.0, retry_ratio=0.0
                )
            await trio.sleep(1.0)
            for daemon in (1, 2, 3):
                for _ in range(10):
                    await made.call("GET", "/look/1", daemon=daemon)
            assert count_repeats(desks, 30) <= 10

    trio.run(main)


def test_bounds_that_are_reloaded_reach_the_retry_budget():
    """Operators tighten it while a service fails."""

    async def main():
        desks = [backend.Backend(f"desk-{n}") for n in range(3)]
        for each in desks:
            each.always = backend.fail
        async with forwarding.open_forwarding(*desks) as made:
            await made.call("GET", "/look/1")
            assert count_repeats(desks, 1) == 1
            bounds = attrs.evolve(
                made.daemon.board.bounds, retry_slack=0.0, retry_ratio=0.0
            )
            made.daemon.read_bounds = lambda: bounds
            made.daemon.reload()
            await made.call("GET", "/look/1")
            assert count_repeats(desks, 2) == 1

    trio.run(main)


def test_spent_budget_is_logged_once_a_second_and_measured():
    """Operators see how many entry VMs share it, and how much is used."""

    async def main():
        desks = [backend.Backend(f"desk-{n}") for n in range(3)]
        for each in desks:
            each.always = backend.fail
        async with forwarding.open_forwarding(
            *desks, retry_slack=3.0, retry_ratio=0.0
        ) as made:
            with mock.patch.object(events, "log_event") as log_event:
                for _ in range(8):
                    await made.call("GET", "/look/1")
            (logged,) = [
                call.kwargs
                for call in log_event.call_args_list
                if call.args == (events.Event.RETRY_BUDGET_SPENT,)
            ]
            assert logged["vms"] == 1
            assert logged["runs"] == 2
            gauges = made.daemon.app.forwarder.placer.collect_gauges()
            assert gauges['extra_runs{service="desk"}'] == 2
            assert 2 < gauges['extra_runs_allowed{service="desk"}'] < 3

    trio.run(main)
