"""Ranks that compete for the places of full engines."""

import heapq
import random
import types
import typing

from carawayward.decisions import engine_load
from carawayward.decisions import engine_order
from carawayward.decisions import engine_room
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import sending
from carawayward.forwarding import table

HELD_MS = 1_000.0
SLOTS = 12
ENGINES = 4
READ_MS = 20.0


def replay(ordered, per_s=58.0, seconds=30.0):
    """Requests of three ranks on full engines, admitted by their urgency.

    A millisecond is a weighted token. Returns (level, predicted, waited).
    """
    draw = random.Random(5)
    loads = engine_load.EngineLoads()
    free = {f"engine-{number}": SLOTS for number in range(ENGINES)}
    queues: dict[str, list] = {name: [] for name in free}
    room = engine_room.Room(slots=SLOTS, held_weight=HELD_MS)
    events: list[tuple] = []
    now_ms = 0.0
    while now_ms < seconds * 1_000.0:
        now_ms += draw.expovariate(per_s) * 1_000.0
        level = draw.choices((0, 1, 2), (3, 2, 5))[0]
        heapq.heappush(events, (now_ms, len(events), level, None))
    found: list[tuple[int, float, float]] = []
    count = len(events)

    def admit(name):
        nonlocal count
        while free[name] and queues[name]:
            _, sent_ms, _, level, predicted_ms = heapq.heappop(queues[name])
            free[name] -= 1
            read = engine_load.Load.at_level(-READ_MS, 0, level)
            engine_load.add_own_load(loads, name, read)
            found.append((level, predicted_ms, now_ms - sent_ms))
            count += 1
            held_ms = draw.expovariate(1.0 / HELD_MS)
            heapq.heappush(events, (now_ms + held_ms, count, level, name))

    while events:
        now_ms, _, level, ended = heapq.heappop(events)
        if ended is not None:
            free[ended] += 1
            engine_load.add_own_load(loads, ended, engine_load.Load(0.0, -1))
            admit(ended)
            continue
        choice = engine_load.choose(
            loads,
            [engine_load.Candidate(name, True) for name in free],
            engine_load.Prompt(
                parts=((1, 0),), level=level if ordered else None
            ),
            now_ms,
            draw.randrange,
            room=room,
        )
        assert choice is not None
        urgency = engine_order.choose_urgency(level, False, 0.0)
        entry = (
            urgency if ordered else 5,
            now_ms,
            draw.random(),
            level,
            choice.weight,
        )
        heapq.heappush(queues[choice.name], entry)
        load = engine_load.Load.at_level(READ_MS, 1, level)
        engine_load.add_own_load(loads, choice.name, load)
        admit(choice.name)
    return found


def compute_late_share(found, level, target_ms=1_000.0):
    waits = [waited_ms for each, _, waited_ms in found if each == level]
    return sum(waited_ms > target_ms for waited_ms in waits) / len(waits)


def test_urgent_requests_do_not_wait_behind_less_urgent_ones():
    """58 requests a second for 48 places that are held for a second."""
    ordered, unordered = replay(True), replay(False)
    assert compute_late_share(unordered, 0) > 0.5
    assert compute_late_share(ordered, 0) < 0.02
    assert compute_late_share(ordered, 1) < 0.1


def test_prediction_counts_what_is_ahead_of_a_rank_only():
    """The same load: urgent requests would be refused as hopeless."""
    urgent = [
        (predicted_ms, waited_ms)
        for level, predicted_ms, waited_ms in replay(True)
        if level == 0
    ]
    assert max(predicted_ms for predicted_ms, _ in urgent) < 1_000.0
    least = engine_load.Load(100.0, 20, (30.0, 0.0, 70.0))
    room = engine_room.Room(slots=12, held_weight=120.0)
    ahead = [
        engine_room.count_ahead(
            room, least.weight, least.streams, least.levels, level
        )
        for level in (0, 1, 2, None)
    ]
    assert ahead == [34.0, 34.0, 100.0, 100.0]


def test_engine_with_free_places_reads_in_order():
    """Less urgent prompts that it has admitted are ahead of urgent ones."""
    room = engine_room.Room(slots=12, held_weight=120.0)
    assert engine_room.count_ahead(room, 90.0, 11, (0.0, 90.0), 0) == 90.0


def test_interrupted_requests_go_before_new_ones_of_their_rank_only():
    """Their prompts have been read for nothing, their callers have waited."""
    choose = engine_order.choose_urgency
    for level in range(engine_order.MAX_LEVELS):
        fresh, again = choose(level, False, 0.0), choose(level, True, 0.5)
        assert 0 <= again < fresh <= table.LEAST_URGENT
        assert choose(level, True, 0.0) > (
            choose(level - 1, False, 0.0) if level else -1
        )
        # Nobody passes new requests of a more urgent rank, however long it
        # has waited.
        assert choose(level, True, 9.0) >= (
            choose(level - 1, False, 0.0) if level else 0
        )


def test_ranks_beyond_the_levels_share_the_last():
    """A table may declare ten ranks; a report carries four."""
    levels = [engine_order.find_level(range(10), rank) for rank in range(10)]
    assert levels == [0, 1, 2, 3, 3, 3, 3, 3, 3, 3]
    assert engine_order.find_level((5,), 5) is None


def make_route(name, priority=None):
    return table.Route(
        name=name,
        host="host",
        path_prefix=f"/{name}",
        kind=table.RouteKind.STREAM,
        targets=(table.Target("engines"),),
        timeout_ms=10_000.0,
        target_ms=1_000.0,
        priority=priority,
    )


def choose_urgency(routes, rank):
    routing_table = table.RoutingTable(
        revision=1,
        routes=routes,
        services={},
        customers_by_key={},
        limits=table.CallerLimits(),
        keyed=False,
    )
    ranks = routing_table.list_ranks("engines")
    work: typing.Any = types.SimpleNamespace(
        reading=types.SimpleNamespace(
            level=engine_order.find_level(ranks, rank)
        ),
        runs=0,
        last_event=None,
        began_ms=0.0,
        route=routes[0],
    )
    sender: typing.Any = types.SimpleNamespace(
        clock=types.SimpleNamespace(now_ms=lambda: 10.0)
    )
    return sending.Sender._choose_urgency(sender, work)


def test_urgency_is_sent_only_where_ranks_are_declared():
    """A deployment without ranks is served as before."""
    assert choose_urgency((make_route("a"), make_route("b")), 5) is None
    both = (make_route("a"), make_route("b", 2))
    assert choose_urgency(both, 2) < choose_urgency(both, 5)


def test_report_carries_the_levels_and_refuses_too_many():
    """Other entry VMs have to know what is ahead of a rank."""
    load = engine_load.Load.at_level(300.0, 2, 1) + engine_load.Load(50.0, 1)
    message = load_report_messages.Message(
        sender=1, sequence=1, stale=False, loads={7: load}, parts=[], topics={}
    )
    decoded = load_report_messages.Message.from_bytes(message.to_bytes())
    assert decoded is not None and decoded.loads == {7: load}
    broken = engine_load.Load(1.0, 1, (1.0,) * 5)
    message = load_report_messages.Message(
        sender=1,
        sequence=1,
        stale=False,
        loads={7: broken},
        parts=[],
        topics={},
    )
    try:
        load_report_messages.Message.from_bytes(message.to_bytes())
    except ValueError:
        return
    raise AssertionError("a load of five levels was accepted")


def test_dropped_report_leaves_nothing_behind():
    """The sum over the reports is updated with each one."""
    loads = engine_load.EngineLoads()
    other = {"engine": engine_load.Load.at_level(100.0, 1, 0)}
    engine_load.merge_peer_report(loads, "other", other, 0.0)
    for level in (0, 2, 1):
        load = engine_load.Load.at_level(700.0, 3, level)
        engine_load.merge_peer_report(loads, "peer", {"engine": load}, 0.0)
    assert engine_load.get_load(loads, "engine") == engine_load.Load(
        800.0, 4, (100.0, 700.0, 0.0)
    )
    for peer in ("peer", "other"):
        engine_load.merge_peer_report(loads, peer, {}, 0.0)
    assert not loads.peer_totals
