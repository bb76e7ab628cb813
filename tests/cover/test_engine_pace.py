"""Engines of uneven speed, replayed without a network."""

import math
import typing

from carawayward import clock as clock_module
from carawayward.decisions import engine_load
from carawayward.decisions import engine_pace
from carawayward.decisions import engine_room
from carawayward.decisions import engine_sampling
from carawayward.forwarding import engine_paces
from carawayward.forwarding import load_report_messages
from tests.common import engine_replay

THIRD_SLOW = (1.0, 1.0, 2.4) * 10
SLOW = math.log(2.4)


def replay(knowledge, **load):
    scenario = engine_replay.Scenario(seconds=30.0, shared_parts=300, **load)
    return engine_replay.Replay(scenario, knowledge).run()


def record(paces, values, gap_ms=1_200.0, engine="engine"):
    for number, value in enumerate(values):
        engine_pace.record_sample(paces, engine, value, number * gap_ms)


def test_third_of_the_engines_is_2_4_times_as_slow():
    """70 prompts a second from 88 entry VMs on 30 engines, ten of them slow.

    Placed by tokens alone, slow engines get as much work as the others.
    """
    late = {
        knowledge: replay(
            knowledge, paces=THIRD_SLOW, per_s=70.0
        ).compute_late_share(10_000.0)
        for knowledge in ("none", "learned", "perfect")
    }
    assert late["learned"] < 0.2 * late["none"]
    assert late["learned"] <= late["perfect"] + 0.02


def test_few_entry_vms_learn_from_their_own_requests():
    """The same engines behind two entry VMs, which compare all of them."""
    load = {"paces": THIRD_SLOW, "per_s": 55.0, "vms": 2}
    learned = replay("learned", **load).compute_late_share(10_000.0)
    assert learned < 0.5 * replay("none", **load).compute_late_share(10_000.0)


def test_many_entry_vms_do_not_choose_the_same_engine():
    """80 prompts a second on 30 equal engines; reports come 0.3 s late.

    All entry VMs chose the engine that was the least loaded by the last
    reports, and prompts queued there next to idle engines.
    """
    load = {"paces": (1.0,) * 30, "per_s": 80.0, "lag_ms": 300.0}
    assert replay("none", **load).compute_late_share() > 0.4
    assert replay("learned", **load).compute_late_share() < 0.05


def test_burst_at_engines_of_12_places():
    """45 prompts a second, twice as many in a burst, streams of 2 s."""
    load = {
        "paces": (1.0, 1.0, 1.3) * 10,
        "per_s": 45.0,
        "slots": 12,
        "burst": 2.0,
    }
    learned = replay("learned", **load).compute_late_share()
    assert learned < 0.5 * replay("none", **load).compute_late_share()


def test_prompt_goes_where_a_place_is_free():
    """One of two engines has read all its prompts but has no place left."""
    loads = engine_load.EngineLoads()
    engine_load.add_own_load(loads, "full", engine_load.Load(0.0, 12))
    engine_load.add_own_load(loads, "free", engine_load.Load(4_000.0, 5))
    candidates = [engine_load.Candidate(name, True) for name in loads.own]
    chosen = [
        engine_load.choose(
            loads,
            candidates,
            engine_load.Prompt(parts=((1, 500),)),
            0.0,
            lambda n: 0,
            room=engine_room.Room(slots=slots, held_weight=90_000.0),
        )
        for slots in (0, 12, 13)
    ]
    assert [choice and choice.name for choice in chosen] == [
        "full",
        "free",
        "full",
    ]


def test_stall_and_wrong_samples_do_not_change_a_pace():
    """An engine stalls for half a second; an entry VM reports nonsense."""
    for start in range(5):
        for wrong in ([2.0], [-2.5], [2.0, 2.0]):
            values = [0.0] * 7
            values[start : start + len(wrong)] = wrong
            paces = engine_pace.Paces()
            for number in range(1, len(values) + 1):
                record(paces, values[:number])
                assert not paces.known
                engine_pace.forget(paces, "engine")
    paces = engine_pace.Paces()
    record(paces, [2.0] * 50, gap_ms=10.0)
    assert not paces.known


def test_slow_engine_is_known_after_three_moments_and_forgotten():
    """A pace without samples fades, as the engine may have recovered."""
    paces = engine_pace.Paces()
    record(paces, [SLOW] * 3)
    assert abs(paces.known["engine"] - 2.4) < 0.01
    engine_pace.expire(paces, 50_000.0)
    assert 1.0 < paces.known["engine"] < 2.4
    engine_pace.expire(paces, 70_000.0)
    assert not paces.known and not paces.moments


def test_samples_are_relative_to_the_entry_vm_that_took_them():
    """A slow entry VM, or one with a wrong model, makes no engine slow."""
    paces = engine_pace.Paces()
    found = [
        engine_pace.compute_log_ratio(paces, "service", 300.0, 100.0)
        for _ in range(40)
    ]
    assert found[0] is None
    assert found[-1] is not None and abs(found[-1]) < 0.1


def make_node():
    clock: typing.Any = clock_module.ManualClock()
    names = {load_report_messages.hash_name("engine"): "engine"}
    return engine_paces.EnginePaces(clock, engine_pace.Paces(), lambda: names)


def test_restarted_entry_vm_learns_from_its_peers():
    """It has no samples of its own and its peers send theirs only once."""
    peer, restarted = make_node(), make_node()
    for second in range(6):
        peer.clock.advance(1_200.0)
        restarted.clock.advance(1_200.0)
        took_ms = 100.0 if second < 3 else 240.0
        peer.observe("service", "engine", took_ms, 100.0)
        for _ in range(3):
            peer.observe("service", "other", 100.0, 100.0)
        value = peer.describe()
        for _ in range(3):
            if value is not None:
                restarted.merge("peer/1", value, 0.0)
    known = restarted.paces.known["engine"]
    assert 2.0 < known < 2.8
    (moments,) = restarted.paces.moments.values()
    # The first sample is of an engine that the restarted one does not list.
    assert sum(len(each.samples) for each in moments) == peer.number - 1


def test_malformed_samples_are_refused():
    """A peer of another release sends something else."""
    node = make_node()
    for value in (
        [1],
        [1, [[1]]],
        ["1", []],
        [1, [[1, 0.5]]],
        [1, [[1, 2]] * 9],
    ):
        try:
            node.merge("peer/1", value, 0.0)
        except (TypeError, ValueError):
            continue
        raise AssertionError(value)
    assert not node.seen
    node.merge("peer/1", [1, [[next(iter(node.get_names())), 10**400]]], 0.0)
    (moment,) = node.paces.moments["engine"]
    assert moment.samples == [engine_pace.MAX_LOG_RATIO]


def test_choice_looks_at_few_engines_and_those_that_have_the_prompt():
    """A choice among 790 engines costs as little as one among ten."""
    loads = engine_load.EngineLoads()
    engines = [engine_load.Candidate(str(n), n < 200) for n in range(790)]
    prompt = engine_load.Prompt(parts=((1, 9_000), (2, 4_000), (3, 100)))
    for name in ("300", "301"):
        engine_load.record_cached(loads, name, prompt.parts[:2], 100_000)
    engine_load.record_cached(loads, "5", prompt.parts[:1], 100_000)

    def choose():
        found = engine_sampling.choose_candidates(
            loads,
            (engines[:200], engines[200:]),
            prompt,
            lambda engine: engine.name != "301",
            lambda n: n - 1,
        )
        return {engine.name for engine in found}

    assert len(choose()) == 789
    for number in range(engine_sampling.MAX_INFORMED_PEERS + 1):
        engine_load.merge_peer_report(loads, str(number), {}, 0.0)
    assert choose() == {"5", "197", "198", "199", "300", "787", "788", "789"}
