"""What an entry VM learns of endpoints, without sockets."""

import typing

from carawayward import clock as clock_module
from carawayward.forwarding import board as board_module
from carawayward.forwarding import fleet as fleet_module
from carawayward.forwarding import message_types


def make_fleet():
    """Three engines in each of two failure domains; ours is "north"."""
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
    fleet.find_pool(fleet_module.Want("engines"))
    return fleet, clock


def fail(fleet, clock, name, took_ms):
    clock.advance(took_ms)
    fleet.record_unreached(fleet.places[name], took_ms)


def test_cut_failure_domain_is_passed_over_as_a_whole():
    """Requests try one endpoint behind a cut after the other.

    The cut drops packets, so that each try costs half a second and callers
    wait 1.5 s for their first text. Cause: each endpoint had to be found out
    of reach by itself, though nothing came from any of them.
    """
    fleet, clock = make_fleet()
    fail(fleet, clock, "engine-0", 500.0)
    assert fleet.list_quarantined() == {"engine-0", "engine-1", "engine-2"}
    clock.advance(400.0)
    assert not fleet.list_quarantined()


def test_dead_endpoint_does_not_take_its_failure_domain_along():
    """One machine has lost power; others of its domain go on answering."""
    fleet, clock = make_fleet()
    clock.advance(300.0)
    fleet.record_taken(fleet.places["engine-1"])
    clock.advance(300.0)
    fleet.record_unreached(fleet.places["engine-0"], 500.0)
    assert fleet.list_quarantined() == {"engine-0"}


def test_connection_that_is_refused_says_nothing_of_the_domain():
    """A process has ended; its machine says so within milliseconds."""
    fleet, clock = make_fleet()
    fail(fleet, clock, "engine-0", 3.0)
    assert fleet.list_quarantined() == {"engine-0"}


def test_own_failure_domain_is_never_passed_over_as_a_whole():
    """What is here is reached over no cut; one engine is just dark."""
    fleet, clock = make_fleet()
    fail(fleet, clock, "engine-4", 500.0)
    assert fleet.list_quarantined() == {"engine-4"}
