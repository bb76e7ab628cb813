"""Requests that meet an unexpected exception, and what their callers get."""

from unittest import mock

import attrs
from nose2.tools import params
import trio

from carawayward import events
from carawayward.forwarding import relaying
from tests.common import forwarding
from tests.standins import backend

DIGITS = "9" * 5_000


class UnforeseenError(Exception):
    """An exception that nothing expects."""


def fail(*arguments, **names):
    raise UnforeseenError()


def play(owner, name, path="/log/"):
    """Make a call while a method raises; return the answer and what is logged.

    Also returns how often the endpoint ran, and the counter of faults.
    """
    logged = []

    async def main():
        desk = backend.Backend("desk-0")
        async with forwarding.open_forwarding(desk) as made:
            target = owner(made)
            with mock.patch.object(target, name, fail):
                with mock.patch.object(
                    events,
                    "log_event",
                    lambda event, **fields: logged.append((event, fields)),
                ):
                    answer = await made.call("POST", path)
            counters = made.daemon.app.metrics.counters
            faults = sum(
                count for (n, _), count in counters.items() if n == "faults"
            )
            return answer, len(desk.runs), faults

    answer, runs, faults = trio.run(main)
    found = [fields for event, fields in logged if event is events.Event.FAULT]
    return answer, runs, faults, found


def get_placer(made):
    return type(made.daemon.app.forwarder.placer)


def test_fault_before_a_run_is_answered_as_not_run_and_logged():
    """Guards against a silent 500 for a request that has not run."""
    answer, runs, faults, logged = play(get_placer, "choose")
    assert (answer.status, runs, faults) == (503, 0, 1)
    assert float(answer.headers["retry-after"]) > 0.0
    assert logged[0]["request"]
    assert logged[0]["may_have_run"] is False
    assert "UnforeseenError" in logged[0]["detail"]


def test_fault_after_a_run_promises_nothing_and_is_logged():
    """Guards against a refusal that says that a request has not run."""
    answer, runs, faults, logged = play(
        lambda made: relaying.Relay, "relay_response"
    )
    assert (answer.status, runs, faults) == (500, 1, 1)
    assert logged[0]["may_have_run"] is True


@params(
    {"carawayward_token_count": "inf,1"},
    {"carawayward_token_count": "nan,1e999"},
    {"carawayward_token_count": f"{DIGITS},1"},
    {"carawayward_prefix_hash": f"aa:{DIGITS}"},
    {"carawayward_deadline_ms": "inf"},
    {"last_event_id": DIGITS},
)
def test_headers_of_any_size_are_ignored_or_read(headers):
    """Guards against 500 for a number that cannot be converted."""

    async def main():
        desk = backend.Backend("desk-0")
        async with forwarding.open_forwarding(desk) as made:
            answer = await made.call("POST", "/look/", **headers)
            assert answer.status == 200

    trio.run(main)


@params(
    {"carawayward-confidence": "inf"},
    {"retry-after": DIGITS},
    {"retry-after": "Mon, 01 Jan 0001 00:00:00 -9999"},
    {"server-limit": DIGITS},
    {"server-limit": "-inf"},
)
def test_headers_of_endpoints_do_no_harm(headers):
    """Guards against 500 for what an endpoint says of itself."""

    async def main():
        desk = backend.Backend("desk-0", notices=headers)

        async def refuse(server, exchange):
            names = {"carawayward-not-executed": "1", **headers}
            await exchange.answer(503, names)

        desk.behaviours = [refuse]
        async with forwarding.open_forwarding(desk) as made:
            answer = await made.call("POST", "/look/")
            assert answer.status in (200, 503)

    trio.run(main)


@params("127.0..1:8080", "name.example:80", "127.0.0.1\x00:80", "[::1:80")
def test_address_that_cannot_be_connected_to_is_a_failed_attempt(address):
    """Guards against 500, and against an endpoint that is never ejected."""

    async def main():
        desk = backend.Backend("desk-0")
        async with forwarding.open_forwarding(desk) as made:
            board = made.daemon.board
            board.endpoints["desk-0"] = attrs.evolve(
                board.endpoints["desk-0"], address=address
            )
            board.generation += 1
            answer = await made.call("POST", "/log/")
            assert answer.status == 503
            counters = made.daemon.app.metrics.counters
            assert ("attempts", (("outcome", "unreached"),)) in counters

    trio.run(main)
