"""Ranks that compete for the places of full engines."""

import heapq
import random
import statistics
import types
import typing

from carawayward.decisions import engine_load
from carawayward.decisions import engine_order
from carawayward.decisions import engine_room
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import sending
from carawayward.forwarding import table

TOKEN_MS = 0.03
ENGINES = 30
# By level: share of the requests, mean tokens, latency target in ms.
KINDS = (
    (0.17, 7_000, 3_000.0),
    (0.42, 17_000, 4_000.0),
    (0.41, 1_500, 2_000.0),
)
MEAN_TOKENS = sum(share * tokens for share, tokens, _ in KINDS)


def replay(utilization, order, seconds=30.0):
    """Requests of three ranks at engines that read the most urgent first.

    ``order`` returns a request's class, its urgency and the tokens to read.
    Returns (level, predicted, took) in ms.
    """
    draw = random.Random(1)
    loads = engine_load.EngineLoads()
    queues: dict[str, list] = {str(n): [] for n in range(ENGINES)}
    reading = dict.fromkeys(queues, False)
    events: list[tuple] = []
    found: list[tuple[int, float, float]] = []
    now_ms = 0.0
    while now_ms < seconds * 1_000.0:
        gap_ms = MEAN_TOKENS * TOKEN_MS / utilization / ENGINES
        now_ms += draw.expovariate(1.0 / gap_ms)
        level = draw.choices((0, 1, 2), [kind[0] for kind in KINDS])[0]
        tokens = KINDS[level][1] * draw.lognormvariate(-0.32, 0.8)
        load = engine_load.Load(tokens, 1)
        heapq.heappush(events, (now_ms, draw.random(), level, load, ""))

    def read_next(name):
        if queues[name] and not reading[name]:
            reading[name] = True
            _, sent_ms, level, load, predicted_ms = heapq.heappop(queues[name])
            end_ms = now_ms + load.weight * TOKEN_MS
            found.append((level, predicted_ms, end_ms - sent_ms))
            heapq.heappush(events, (end_ms, draw.random(), level, load, name))

    while events:
        now_ms, _, level, load, ended = heapq.heappop(events)
        if ended:
            engine_load.add_own_load(loads, ended, -load)
            reading[ended] = False
            read_next(ended)
            continue
        choice = engine_load.choose(
            loads,
            [
                engine_load.Candidate(name, True)
                for name in draw.sample(list(queues), 3)
            ],
            engine_load.Prompt(
                parts=((1, load.weight),),
                urgency_class=order(level, engine_load.Choice("", 0.0))[0],
            ),
            now_ms,
            draw.randrange,
        )
        assert choice is not None
        found_class, urgency, weight = order(level, choice)
        load = engine_load.Load.of_class(load.weight, 1, found_class)
        heapq.heappush(
            queues[choice.name],
            (urgency, now_ms, level, load, weight * TOKEN_MS),
        )
        engine_load.add_own_load(loads, choice.name, load)
        read_next(choice.name)
    return found


def order_by_arrival(level, choice):
    return None, 5, choice.weight


def order_by_rank(level, choice):
    return None, level, choice.weight


def order_by_class(level, choice):
    in_time = choice.weight * TOKEN_MS <= KINDS[level][2]
    found = engine_order.choose_class(level, in_time)
    weight = engine_order.count_weight(choice, engine_room.UNLIMITED, found)
    return found, engine_order.choose_urgency(found, False), weight


def compute_late_shares(found):
    return [
        statistics.fmean(
            took_ms > target_ms for each, _, took_ms in found if each == level
        )
        for level, (_, _, target_ms) in enumerate(KINDS)
    ]


def test_more_requests_of_each_rank_are_in_time_at_overload():
    """Prompts at 1.3 times of what the engines can read."""
    by_arrival = compute_late_shares(replay(1.3, order_by_arrival))
    by_class = compute_late_shares(replay(1.3, order_by_class))
    assert by_class[0] < 0.1 * by_arrival[0]
    assert by_class[1] < 0.5 * by_arrival[1]
    assert by_class[2] < by_arrival[2]


def test_least_urgent_requests_do_not_starve_while_there_is_room():
    """Prompts at 0.95 of what the engines can read: all can be in time.

    In strict order of rank, the least urgent would be late for nothing.
    """
    by_rank = compute_late_shares(replay(0.95, order_by_rank))
    by_class = compute_late_shares(replay(0.95, order_by_class))
    assert by_rank[2] > 0.1
    assert max(by_class) < 0.03


def test_prediction_counts_what_is_ahead_of_a_class():
    """Urgent requests would be refused as hopeless at overload."""
    errors = [
        predicted_ms - took_ms
        for level, predicted_ms, took_ms in replay(1.3, order_by_class)
        if level == 0
    ]
    assert abs(statistics.median(errors)) < 300.0


def test_less_urgent_work_is_not_ahead():
    """Except for the prompt that the engine is reading."""
    load = engine_load.Load(90_000.0, 20, (10_000.0, 0.0, 80_000.0))
    left = engine_load.LEFT_OF_PROMPT
    counted = [
        engine_load.count_before(load, each) for each in (0, 1, 2, None)
    ]
    assert counted == [10_000.0 + left, 10_000.0 + left, 90_000.0, 90_000.0]
    choice = engine_load.Choice("engine", 91_000.0, 90_000.0, load=load)
    room = engine_room.Room(slots=12, held_weight=600_000.0)
    counted = [
        engine_order.count_weight(choice, room, each) for each in (0, 2)
    ]
    # Of eight that wait for a place, one is as urgent as the first class.
    assert counted == [101_000.0, 451_000.0]


def test_interrupted_requests_go_before_new_ones_of_their_class_only():
    """Their prompts have been read for nothing, their callers have waited."""
    shown = [
        engine_order.choose_urgency(each, run_before)
        for each in range(engine_order.MAX_CLASSES)
        for run_before in (True, False)
    ]
    assert shown == list(range(table.LEAST_URGENT + 1))
    late = [engine_order.choose_class(level, False) for level in range(4)]
    assert late == [0, 2, 3, 4]


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
    level = engine_order.find_level(ranks, rank)
    work: typing.Any = types.SimpleNamespace(
        reading=types.SimpleNamespace(
            urgency_class=None
            if level is None
            else engine_order.choose_class(level, False)
        ),
        runs=0,
        last_event=None,
    )
    sender: typing.Any = None
    return sending.Sender._choose_urgency(sender, work)


def test_urgency_is_sent_only_where_ranks_are_declared():
    """A deployment without ranks is served as before."""
    assert choose_urgency((make_route("a"), make_route("b")), 5) is None
    both = (make_route("a"), make_route("b", 2))
    assert choose_urgency(both, 2) < choose_urgency(both, 5)


def test_report_carries_the_classes_and_refuses_too_many():
    """Other entry VMs have to know what is ahead of a rank."""
    load = engine_load.Load.of_class(300.0, 2, 1) + engine_load.Load(50.0, 1)
    message = load_report_messages.Message(
        sender=1, sequence=1, stale=False, loads={7: load}, parts=[], topics={}
    )
    decoded = load_report_messages.Message.from_bytes(message.to_bytes())
    assert decoded is not None and decoded.loads == {7: load}
    broken = engine_load.Load(1.0, 1, (1.0,) * 6)
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
    raise AssertionError("a load of six classes was accepted")


def test_dropped_report_leaves_nothing_behind():
    """The sum over the reports is updated with each one."""
    loads = engine_load.EngineLoads()
    other = {"engine": engine_load.Load.of_class(100.0, 1, 0)}
    engine_load.merge_peer_report(loads, "other", other, 0.0)
    for level in (0, 2, 1):
        load = engine_load.Load.of_class(700.0, 3, level)
        engine_load.merge_peer_report(loads, "peer", {"engine": load}, 0.0)
    assert engine_load.get_load(loads, "engine") == engine_load.Load(
        800.0, 4, (100.0, 700.0, 0.0)
    )
    for peer in ("peer", "other"):
        engine_load.merge_peer_report(loads, peer, {}, 0.0)
    assert not loads.peer_totals
