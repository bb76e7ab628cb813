"""Tests of quarantine by endpoint and by failure domain, without sockets."""

import typing
from unittest import mock

from carawayward import clock as clock_module
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import fleet as fleet_module
from carawayward.forwarding import message_types


def make_fleet():
    """Make three engines in each of two failure domains; "north" is local."""
    board = board_module.ForwardingBoard(name="vm", failure_domain="north")
    clock: typing.Any = clock_module.ManualClock(now=10_000.0)
    for number in range(6):
        name = f"engine-{number}"
        board.endpoints[name] = message_types.EndpointEntry(
            name=name,
            service="engines",
            address=f"10.0.0.{number}:80",
            failure_domain="south" if number < 3 else "north",
        )
    board.generation += 1
    fleet = fleet_module.Fleet(board, clock)
    fleet.find_pool(fleet_module.EndpointFilter("engines"))
    return fleet, clock


def fail(fleet, clock, name, took_ms):
    clock.advance(took_ms)
    fleet.record_unreachable(fleet.tracked[name], took_ms)


def test_partitioned_failure_domain_is_quarantined_as_a_whole():
    """Requests try the endpoints behind a partition one after the other.

    Packets are dropped, so each attempt takes half a second and callers wait
    1.5 s for the first token, if each endpoint is quarantined only after an
    attempt of its own.
    """
    fleet, clock = make_fleet()
    fail(fleet, clock, "engine-0", 500.0)
    assert fleet.list_quarantined() == {"engine-0", "engine-1", "engine-2"}
    clock.advance(400.0)
    assert not fleet.list_quarantined()


def test_dead_endpoint_does_not_quarantine_its_failure_domain():
    """One machine has lost power; others in its domain still respond."""
    fleet, clock = make_fleet()
    clock.advance(300.0)
    fleet.record_accepted(fleet.tracked["engine-1"])
    clock.advance(300.0)
    fleet.record_unreachable(fleet.tracked["engine-0"], 500.0)
    assert fleet.list_quarantined() == {"engine-0"}


def test_refused_connection_does_not_quarantine_its_failure_domain():
    """A process has ended; its machine refuses within milliseconds."""
    fleet, clock = make_fleet()
    fail(fleet, clock, "engine-0", 3.0)
    assert fleet.list_quarantined() == {"engine-0"}


def test_local_failure_domain_is_never_quarantined_as_a_whole():
    """No partition lies between here and it; only one engine is dead."""
    fleet, clock = make_fleet()
    fail(fleet, clock, "engine-4", 500.0)
    assert fleet.list_quarantined() == {"engine-4"}


def test_named_changed_and_lifted_request_limits_are_logged_once():
    """Only the endpoint's own response can lift its limit."""
    fleet, clock = make_fleet()
    endpoint = fleet.tracked["engine-0"]
    with mock.patch.object(events, "log_event") as log_event:
        for limit, signed in (
            (None, True),
            (2.0, True),
            (2.0, False),
            (None, False),
            (1.5, False),
            (None, True),
        ):
            clock.advance(1_000.0)
            fleet.record_response(
                endpoint,
                message_types.ResponseMetadata(
                    signed=signed, request_limit=limit
                ),
            )
    logged = [call.kwargs["per_s"] for call in log_event.call_args_list]
    assert logged == [2.0, 1.5, None]
