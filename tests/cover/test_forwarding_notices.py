"""Tests of notices that endpoints give in their responses, without sockets."""

import typing

import hypothesis
from hypothesis import strategies

from carawayward import clock as clock_module
from carawayward.forwarding import board as board_module
from carawayward.forwarding import fleet as fleet_module
from carawayward.forwarding import message_types
from carawayward.forwarding import notices as notices_module

DESKS = fleet_module.EndpointFilter("desk")
NAMES = ("desk-0", "desk-1", "desk-2")


def make_entry(name, born=0):
    return message_types.EndpointEntry(
        name=name,
        service="desk",
        address="10.0.0.1:80",
        failure_domain="north",
        born=born,
    )


def make_fleet():
    clock: typing.Any = clock_module.ManualClock(10_000.0)
    board = board_module.ForwardingBoard(name="vm", failure_domain="north")
    fleet = fleet_module.Fleet(board, clock)
    for name in NAMES:
        list_endpoint(fleet, make_entry(name))
    return fleet, clock


def list_endpoint(fleet, entry):
    fleet.board.endpoints[entry.name] = entry
    fleet.board.generation += 1


def unlist_endpoint(fleet, name):
    fleet.board.endpoints.pop(name, None)
    fleet.board.generation += 1


def list_usable(fleet):
    listed = {view.name for view in fleet.find_pool(DESKS).views}
    return listed - fleet.list_unavailable()


def respond(fleet, entry, **said):
    """Record a response of an endpoint to an earlier request."""
    endpoint = fleet_module.TrackedEndpoint(
        entry=entry, view=fleet_module._make_view(entry)
    )
    fleet.record_response(endpoint, message_types.ResponseMetadata(**said))


def test_shorter_rest_does_not_cut_a_longer_one():
    """Responses to concurrent requests arrive in any order."""
    fleet, clock = make_fleet()
    respond(fleet, make_entry("desk-0"), rest_ms=3_000.0)
    respond(fleet, make_entry("desk-0"), rest_ms=500.0)
    clock.advance(2_900.0)
    assert "desk-0" not in list_usable(fleet)
    respond(fleet, make_entry("desk-0"), rest_ms=500.0)
    clock.advance(200.0)
    assert "desk-0" not in list_usable(fleet)
    clock.advance(400.0)
    assert "desk-0" in list_usable(fleet)


def test_late_response_of_an_earlier_process_does_not_bind_the_next_one():
    """A response may arrive after the endpoint has been started again."""
    fleet, _ = make_fleet()
    list_endpoint(fleet, make_entry("desk-0", born=1))
    respond(fleet, make_entry("desk-0"), leaving=True, rest_ms=60_000.0)
    assert "desk-0" in list_usable(fleet)
    respond(fleet, make_entry("desk-0", born=1), leaving=True)
    respond(fleet, make_entry("desk-0"), leaving=True)
    assert "desk-0" not in list_usable(fleet)


def test_wait_for_endpoints_is_known_only_if_all_of_them_rest():
    fleet, _ = make_fleet()
    for name, rest_ms in zip(NAMES, (900.0, 700.0, 800.0), strict=True):
        assert fleet.compute_wait_ms("desk") is None
        respond(fleet, make_entry(name), rest_ms=rest_ms)
    assert fleet.compute_wait_ms("desk") == 700.0
    assert fleet.compute_wait_ms("engines") is None


def test_notices_of_endpoints_that_are_gone_are_forgotten():
    """Endpoints come and go for as long as an entry VM runs."""
    fleet, clock = make_fleet()
    respond(fleet, make_entry("desk-0"), leaving=True)
    unlist_endpoint(fleet, "desk-0")
    clock.advance(notices_module.KEPT_MS + 1.0)
    unlist_endpoint(fleet, "desk-1")
    list_usable(fleet)
    assert not fleet.notices.notices


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(NAMES),
        strategies.sampled_from(
            ("rest", "leave", "late", "expire", "list", "start")
        ),
        strategies.sampled_from((10.0, 400.0, 2_500.0)),
    ),
    max_size=40,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(STEPS)
def test_endpoint_is_used_unless_it_has_left_or_rests(steps):
    """Entries expire and return in any order with what endpoints say."""
    fleet, clock = make_fleet()
    born = dict.fromkeys(NAMES, 0)
    leaving, rests_until = set(), dict.fromkeys(NAMES, 0.0)
    for name, step, duration_ms in steps:
        entry = make_entry(name, born[name])
        match step:
            case "rest":
                respond(fleet, entry, rest_ms=duration_ms)
                until_ms = clock.now + duration_ms
                rests_until[name] = max(rests_until[name], until_ms)
            case "leave":
                respond(fleet, entry, leaving=True)
                leaving.add(name)
            case "late" if born[name]:
                earlier = make_entry(name, born[name] - 1)
                respond(fleet, earlier, leaving=True, rest_ms=duration_ms)
            case "expire":
                unlist_endpoint(fleet, name)
            case "list":
                list_endpoint(fleet, entry)
            case "start":
                born[name] += 1
                list_endpoint(fleet, make_entry(name, born[name]))
                leaving.discard(name)
                rests_until[name] = 0.0
        clock.advance(duration_ms)
        assert list_usable(fleet) == {
            each
            for each in fleet.board.endpoints
            if each not in leaving and clock.now >= rests_until[each]
        }
