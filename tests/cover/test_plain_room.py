"""Single decisions and reports on the room at plain services."""

import math
import time
import typing

import attrs

from carawayward import clock as clock_module
from carawayward.decisions import plain_room
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import plain_choice
from carawayward.forwarding import plain_room as plain_room_module
from tests.cover import test_plain_room_load as load_module

FULL = 6.0 + 24.0
TTL_MS = 3_000.0


def always(count):
    return 0


def make_room(name="desk-0", in_flight=FULL, work_ms=60.0, domain="north"):
    return plain_room.Room(
        name=name,
        failure_domain=domain,
        slots=6,
        in_flight=in_flight,
        work_ms=work_ms,
    )


def make_claim(**changes):
    values = {"left_ms": 800.0, "target_ms": 350.0, "rank": 5, "ranks": (1, 5)}
    return plain_room.Claim(**{**values, **changes})


def refuse(room, **changes):
    claim = make_claim(**changes)
    return plain_room.compute_refusal_ms([room], claim, always)


def test_wait_past_the_callers_time_is_refused_at_once():
    """Even the most urgent request would wait for nothing."""
    room = make_room(work_ms=200.0)
    wait_ms = refuse(room, rank=1)
    assert math.isclose(wait_ms, room.answer_ms - room.work_ms)
    assert refuse(make_room(), rank=1) is None


def test_less_urgent_requests_are_refused_before_more_urgent_ones():
    """A full queue: by rank first, then a customer above its share."""
    shares = [
        plain_room.compute_refused_share(
            make_claim(rank=rank, above_share=above), make_room()
        )
        for rank, above in ((1, False), (1, True), (5, False), (5, True))
    ]
    assert shares == sorted(shares)
    assert shares[0] == 0.0 < shares[2] < shares[3] < 1.0


def test_requests_are_sent_while_a_place_is_free_or_reports_are_old():
    """What was in flight before the caller came has ended."""
    assert refuse(make_room(in_flight=5.0, work_ms=900.0)) is None
    assert refuse(make_room(work_ms=900.0), age_ms=801.0) is None
    assert refuse(make_room(), seen_ms=0.0) is None
    assert refuse(make_room()) is not None


def test_ranks_that_are_all_alike_refuse_nobody_for_the_others():
    """One rank alone: only what comes too late is refused."""
    assert refuse(make_room(), rank=9, ranks=(9,)) is None


def test_customer_alone_is_not_above_its_share():
    """Shares are of those that have requests in flight."""
    assert not plain_room.is_above_share({1: 50.0}, 1)
    assert plain_room.is_above_share({1: 50.0, 2: 1.0}, 1)
    assert not plain_room.is_above_share({1: 50.0, 2: 1.0}, 2)


def test_nothing_leaves_a_failure_domain_with_enough_room():
    """Requests go on to the nearest endpoints, as without peers' reports."""
    rooms = [make_room(domain="north"), make_room("desk-1", domain="east")]
    calm = plain_room.compute_spread(rooms, {"north": 60.0}, "north")
    assert not calm.leaving and not calm.kept
    busy = plain_room.compute_spread(rooms, {"north": 140.0}, "north")
    assert math.isclose(busy.leaving, 0.5)
    assert plain_room.choose_remote(busy, always) == "desk-1"


def make_state(number=0):
    clock = clock_module.ManualClock()
    fleet = load_module.make_fleet(number, load_module.Load(), clock)
    fleet.find_pool(load_module.POOL)
    return fleet, clock


def test_own_requests_are_told_and_forgotten_by_peers():
    """A peer must not believe for ever that an endpoint is full."""
    (sender, clock), (receiver, other) = make_state(1), make_state(2)
    endpoint = sender.tracked["desk-0"]
    assert sender.room.describe() is None
    for _ in range(9):
        sender.begin_request(endpoint, "lekki")
    clock.advance(5_000.0)
    value = sender.room.describe()
    receiver.room.merge("vm-1/a", value, TTL_MS)
    receiver.room.merge("vm-1/b", value, TTL_MS)
    entry = receiver.tracked["desk-0"].entry
    assert math.isclose(sum(receiver.room.totals.values()), 9.0)
    assert receiver.room.is_full(entry)
    other.advance(TTL_MS)
    assert not receiver.room.is_full(entry)
    for _ in range(9):
        sender.end_request(endpoint, "lekki")
    clock.advance(5_000.0)
    assert not sender.room.describe()[0]
    clock.advance(plain_room_module.CLOSING_MS)
    assert sender.room.describe() is None


def test_malformed_reports_are_refused_and_change_nothing():
    """Another writer's value, or one that claims an impossible load."""
    fleet, _ = make_state()
    value: typing.Any
    for value in (
        None,
        7,
        [],
        [{}, {}, {}],
        [{1: "x"}, {}, {}, {}],
        [{"x": 1}, {}, {}, {}],
        [{1: -1}, {}, {}, {}],
        [{1: 10**9}, {}, {}, {}],
        [{1: float("nan")}, {}, {}, {}],
        [{number: 1 for number in range(99)}, {}, {}, {}],
        [[1], {}, {}, {}],
    ):
        try:
            fleet.room.merge("vm-1/a", value, TTL_MS)
        except (TypeError, ValueError):
            pass
        else:
            raise AssertionError(value)
    assert not fleet.room.peers and not fleet.room.totals


def test_report_claims_no_more_than_an_endpoint_has_connections():
    """One wrong report must not hold an endpoint off for good."""
    fleet, _ = make_state()
    entry = fleet.tracked["desk-0"].entry
    number = load_report_messages.hash_name("desk-0")
    fleet.room.merge("vm-1/a", [{number: 65_535}, {}, {}, {}], TTL_MS)
    fleet.room.record_answer(entry, 60.0)
    (room,) = fleet.room.find_rooms([entry])
    assert room.in_flight <= load_module.MAX_CONNECTIONS


def test_endpoint_without_places_counts_as_one_place():
    """A registry entry may say 0 slots."""
    fleet, _ = make_state()
    entry = attrs.evolve(fleet.tracked["desk-0"].entry, slots=0)
    number = load_report_messages.hash_name("desk-0")
    fleet.room.merge("vm-1/a", [{number: 100}, {}, {}, {}], TTL_MS)
    assert fleet.room.is_full(entry)


def test_decision_stays_cheap_with_reports_of_409_entry_vms():
    """Each of them has requests in flight at all endpoints."""
    fleet, clock = make_state()
    chooser = plain_choice.PlainChooser(fleet)
    names = [load_report_messages.hash_name(name) for name in fleet.tracked]
    service = load_report_messages.hash_name(load_module.SERVICE)
    for number in range(409):
        value = [
            dict.fromkeys(names, 10),
            {number: 40},
            {service: 70},
            dict.fromkeys(names, 60),
        ]
        fleet.room.merge(f"vm-{number}/a", value, 1e6)
    pool = fleet.find_pool(load_module.POOL)
    began_s = time.process_time()
    for _ in range(500):
        clock.advance(20.0)
        chooser.choose(pool, frozenset())
    assert (time.process_time() - began_s) / 500 < 0.001
