"""Decisions about new versions and unreachable endpoints, without I/O."""

import random
import types
import typing

import attrs

from carawayward import clock as clock_module
from carawayward.decisions import canary
from carawayward.decisions import engine_load
from carawayward.decisions import engine_pace
from carawayward.decisions import quarantine
from carawayward.decisions import turns
from carawayward.forwarding import board as board_module
from carawayward.forwarding import message_types
from carawayward.forwarding import placing
from carawayward.forwarding import rollout_state
from carawayward.forwarding import rollouts as rollouts_module
from carawayward.forwarding import work_items

# Doubled so often, a pause is too large for a float.
MANY_FAILURES = 3_000


def judge(**routes):
    return canary.judge({n: canary.Tally(*t) for n, t in routes.items()})


def test_version_bad_on_one_route_is_found_among_good_ones():
    """Half of the answers of one small route fail, none of the others."""
    found = judge(a=(60, 0, 600, 3), b=(30, 0, 300, 1), c=(6, 3, 60, 0))
    assert found is canary.Verdict.BAD


def test_version_as_bad_as_the_old_one_is_not_halted():
    """A seventh of one route's answers fail on both versions."""
    found = judge(a=(70, 10, 700, 100), b=(30, 0, 300, 0))
    assert found is canary.Verdict.GOOD


def test_version_with_few_answers_is_not_called_good():
    """With little traffic, three answers are no evidence."""
    assert judge(a=(3, 0, 400, 0)) is canary.Verdict.UNKNOWN


def simulate_rollout(a_second, duration_s, verdict_at):
    """Simulate a roll-out whose version is judged good after some requests.

    Returns the requests sent, those of them sent to the new version, and the
    elapsed part at which it got full traffic.
    """
    sent = new = 0.0
    full_traffic_at = 1.0
    ticks = int(duration_s * 20)
    for tick in range(ticks):
        part = tick / ticks
        known = new >= verdict_at
        share = canary.compute_share(
            part,
            canary.Verdict.GOOD if known else canary.Verdict.UNKNOWN,
            canary.Exposure(
                share=0.15, slack=30, sent=int(sent), sent_new=int(new)
            ),
        )
        if share >= 1.0:
            full_traffic_at = min(full_traffic_at, part)
        sent += a_second / 20
        new += share * a_second / 20
    return sent, new, full_traffic_at


def test_version_that_is_bad_only_under_full_load_meets_few():
    """A version passes its trial and fails under full traffic.

    When the switch came after three quarters of the time, 215 of 843 requests
    met the bad version, where 156 may. The switch has to come so late that the
    remaining requests fit into that bound, and early enough to complete.
    """
    for a_second in (2.0, 9.0, 30.0, 200.0):
        for duration_s in (12.0, 16.0, 24.0):
            sent, new, full_traffic_at = simulate_rollout(
                a_second, duration_s, 8
            )
            assert new <= 0.15 * sent + 30
            assert (1.0 - full_traffic_at) * duration_s >= 1.0


def test_share_follows_the_verdict():
    """Up to half of the time only the trial; after a halt nothing."""
    exposure = canary.Exposure(share=0.9, slack=999, sent=500, sent_new=20)
    good = canary.Verdict.GOOD
    assert canary.compute_share(0.4, good, exposure) <= canary.MAX_SHARE
    assert canary.compute_share(0.6, good, exposure) == 1.0
    unknown, bad = canary.Verdict.UNKNOWN, canary.Verdict.BAD
    assert canary.compute_share(0.9, unknown, exposure) <= canary.MAX_SHARE
    assert canary.compute_share(0.9, bad, exposure) == 0.0


def test_completion_waits_for_what_runs_on_the_old_version():
    """The old endpoints stop on completion, which would cut off streams."""
    good = canary.Verdict.GOOD
    assert not canary.may_complete(3_000.0, good, 1.0, 100, 2)
    assert not canary.may_complete(3_000.0, good, 0.1, 100, 0)
    assert canary.may_complete(3_000.0, good, 1.0, 100, 0)
    assert canary.may_complete(900.0, good, 1.0, 100, 2)
    unknown = canary.Verdict.UNKNOWN
    assert not canary.may_complete(900.0, unknown, 1.0, 100, 0)


def test_time_is_slow_by_what_is_usual_and_by_what_callers_notice():
    """At a usual 10 ms, 45 ms is slow; at a usual 2 ms, 15 ms is not."""
    typical = canary.LatencyBaseline()
    assert not typical.is_slow(500.0)
    for _ in range(canary.MIN_BASELINE_ANSWERS):
        typical.record_answer(10.0)
    assert not typical.is_slow(35.0) and typical.is_slow(45.0)
    quick = canary.LatencyBaseline(mean_ms=2.0, answers=10)
    assert not quick.is_slow(15.0)


def test_head_is_slow_by_what_its_engine_had_to_read():
    """A long queue does not count as slow, nor does a small delay."""
    assert not canary.is_ttft_slow(2_400.0, 1_000.0)
    assert canary.is_ttft_slow(2_600.0, 1_000.0)
    assert not canary.is_ttft_slow(450.0, 100.0)


def test_endpoint_out_of_reach_is_passed_over_by_all_but_one():
    """An unreachable server looks idle, since it gets no requests.

    It is excluded for longer each time, up to a bound. While one request
    probes it the others avoid it, and a request that it accepts readmits it.
    """
    book = quarantine.Quarantine()
    quarantine.record_unreachable(book, "a", 0.0)
    assert quarantine.list_quarantined(book, 100.0) == {"a"}
    again_ms = quarantine.UNREACHABLE_MS
    assert not quarantine.list_quarantined(book, again_ms)
    quarantine.begin_try(book, "a", again_ms)
    assert quarantine.list_quarantined(book, again_ms) == {"a"}
    for _ in range(10):
        quarantine.record_unreachable(book, "a", 1_000.0)
    late_ms = 1_000.0 + quarantine.MAX_PAUSE_MS
    assert quarantine.list_quarantined(book, late_ms - 1.0) == {"a"}
    assert not quarantine.list_quarantined(book, late_ms)
    quarantine.record_accepted(book, "a")
    quarantine.begin_try(book, "a", 2_000.0)
    assert not quarantine.list_quarantined(book, 2_000.0)


def test_pauses_stay_bounded_however_often_a_try_fails():
    """Guards against an overflow that ends requests or a roll-out's writes."""
    book = quarantine.Quarantine()
    for _ in range(MANY_FAILURES):
        quarantine.record_declined(book, "a", 0.0)
    late_ms = quarantine.MAX_PAUSE_MS
    assert quarantine.list_quarantined(book, late_ms - 1.0) == {"a"}
    assert not quarantine.list_quarantined(book, late_ms)
    pause_ms = turns.compute_backoff_ms(MANY_FAILURES, "vm")
    assert turns.MAX_BACKOFF_MS / 2 <= pause_ms <= turns.MAX_BACKOFF_MS


def test_full_endpoint_is_soon_tried_again_and_one_that_stays_full_seldom():
    """A server that was full for a moment must not stay idle afterwards."""
    book = quarantine.Quarantine()
    quarantine.record_declined(book, "a", 0.0)
    assert not quarantine.list_quarantined(book, quarantine.DECLINED_MS)
    quarantine.begin_try(book, "a", 60.0)
    tried_ms = 60.0 + quarantine.DECLINED_TRY_MS
    assert quarantine.list_quarantined(book, tried_ms - 1.0) == {"a"}
    assert not quarantine.list_quarantined(book, tried_ms)
    for _ in range(5):
        quarantine.record_declined(book, "a", 100.0)
    assert quarantine.list_quarantined(book, 1_000.0) == {"a"}


def test_completion_waits_for_answers_under_full_load():
    """A version turned bad a second before it was reported as completed.

    It had passed its trial, and no answer had arrived since the switch to full
    traffic. Without the old version a rollback was impossible: the bad one got
    requests for as long as operators took to notice.
    """
    good = canary.Verdict.GOOD
    enough = canary.COMPLETION_ANSWERS
    assert not canary.may_complete(3_000.0, good, 1.0, enough - 1, 0)
    assert canary.may_complete(3_000.0, good, 1.0, enough, 0)
    assert canary.may_complete(1_500.0, good, 1.0, 5, 0)


def test_version_is_not_completed_by_one_answer_under_full_load():
    """A bad version was completed at the last moment on a single answer."""
    good = canary.Verdict.GOOD
    assert not canary.may_complete(
        canary.FORCED_COMPLETION_MS, good, 1.0, 1, 0
    )


def test_version_is_not_proven_on_a_route_that_it_hardly_served():
    """A completed version was bad on the one route it was not tried on."""

    def prove(**routes):
        return canary.is_proven(
            {name: canary.Tally(*counts) for name, counts in routes.items()},
            canary.Tally(new=20, old=100),
        )

    assert prove(a=(8, 0, 40, 4), b=(8, 0, 43, 2), c=(6, 0, 38, 2))
    assert not prove(a=(8, 0, 40, 4), b=(1, 0, 43, 2), c=(6, 0, 38, 2))
    assert not prove(a=(8, 0, 40, 4), b=(8, 0, 43, 2), c=(6, 2, 38, 2))
    assert prove(a=(8, 0, 40, 4), b=(8, 0, 43, 2), c=(0, 0, 3, 0))
    assert prove(a=(20, 6, 80, 24))
    assert not prove(a=(20, 0, 80, 80))


def test_version_is_not_proven_by_answers_from_before_the_full_load():
    """A version was completed that had turned bad under full traffic."""
    by_route = {"a": canary.Tally(new=30, new_bad=2, old=200)}
    for new_bad, proven in ((0, True), (2, False)):
        under_load = canary.Tally(new=5, new_bad=new_bad, old=200)
        assert canary.is_proven(by_route, under_load) is proven


def simulate_late_version(seed, requests, duration_s):
    """Simulate random arrivals for a version that is never judged bad.

    Returns by how many the requests sent to the new version exceed the bound,
    how long before the end the switch to full traffic came, and the share of
    later requests that were kept on the old version.
    """
    draw = random.Random(seed)
    times_s = sorted(draw.random() * duration_s for _ in range(requests))
    sent = sent_new = held_back = after = 0
    full_traffic_s = None
    for at_s in times_s:
        part = at_s / duration_s
        exposure = canary.Exposure(
            share=0.15, slack=30.0, sent=sent, sent_new=sent_new
        )
        known = sent_new >= canary.MIN_ANSWERS
        verdict = canary.Verdict.GOOD if known else canary.Verdict.UNKNOWN
        share = canary.compute_share(part, verdict, exposure)
        if share >= 1.0 and full_traffic_s is None:
            full_traffic_s = at_s
        sent += 1
        if full_traffic_s is None:
            sent_new += draw.random() < share
            continue
        room = canary.fits_exposure(part, duration_s * 1000.0, exposure)
        after += 1
        held_back += not room
        sent_new += room
    assert full_traffic_s is not None
    over = sent_new - (0.15 * sent + 30.0)
    return over, duration_s - full_traffic_s, held_back / after


def test_runs_that_completion_moves_count_towards_the_exposure():
    """149 requests met a bad version in its last second, 80 were expected.

    The old version's endpoints stopped, and what ran there was sent again.
    """
    exposure = canary.Exposure(
        share=0.15, slack=30.0, sent=1_425, sent_new=136, old_in_flight=69
    )
    duration_ms = 18_440.0
    assert not canary.fits_exposure(0.946, duration_ms, exposure)
    alone = attrs.evolve(exposure, old_in_flight=0)
    assert canary.fits_exposure(0.946, duration_ms, alone)
    good = canary.Verdict.GOOD
    assert not canary.may_complete(900.0, good, 1.0, 100, 69, fits=False)
    assert canary.may_complete(900.0, good, 1.0, 100, 69, fits=True)
    rollouts, rollout = make_rollouts(duration_ms)
    now_ms = rollouts.clock.now_ms()
    rollout.began_ms = now_ms - 0.946 * duration_ms
    rollout.sent, rollout.sent_new, rollout.old_in_flight = 1_425, 136, 69
    assert not rollouts.fits_exposure(rollout, now_ms, 69)
    assert rollouts.fits_exposure(rollout, now_ms)


def test_version_that_turns_bad_late_is_met_by_no_more_than_may():
    """A random surge: 98 requests met a bad version where 93 of 419 may."""
    for requests, duration_s in ((120, 16.0), (420, 18.5), (1_500, 16.0)):
        held_back = []
        for seed in range(300):
            over, left_s, share = simulate_late_version(
                seed, requests, duration_s
            )
            assert over <= 0.0, (requests, seed, over)
            assert left_s > 0.3, (requests, seed, left_s)
            held_back.append(share)
        assert sum(held_back) / len(held_back) < 0.1


def make_rollouts(duration_ms=20_000.0):
    """The roll-outs of an entry VM, with one that was just ordered."""
    clock = clock_module.Clock()
    board = board_module.ForwardingBoard(name="vm", failure_domain="north")
    rollouts = rollouts_module.Rollouts(board, clock)
    board.orders["desk"] = message_types.RolloutOrder(
        service="desk", version="v2", duration_ms=duration_ms
    )
    rollouts.apply_orders()
    return rollouts, rollouts.rollouts["desk"]


def test_stream_counts_from_its_first_token_on():
    """Long streams outlive the roll-out, which was judged by short ones."""
    rollouts, rollout = make_rollouts()
    for ttft_ms in (None, 300.0, 9_000.0):
        progress = work_items.Progress(0.0, ttft_ms, predicted_ms=300.0)
        kind = ("review", "large")
        rollout.runs.add(rollout_state.Run(rollout, True, kind, progress))
    for _ in range(2):
        rollouts.count_started_streams(rollout)
        assert rollout.tallies == {"review": canary.Tally(new=2, new_bad=1)}


def test_session_on_the_new_version_stays_there_when_room_runs_out():
    """Otherwise the session would change its version a second time."""
    rollouts, rollout = make_rollouts()
    rollout.began_ms = rollouts.clock.now_ms() - 17_000.0
    rollout.status_known = rollout.at_full_traffic = True
    rollout.status_read_ms = rollouts.clock.now_ms()
    rollout.verdict = canary.Verdict.GOOD
    rollout.sent, rollout.sent_new = 400, 91
    rollouts.sessions.record("desk", "begun", "v2")
    assert rollouts._chooses_new(rollout, "begun", "one")[0]
    assert not rollouts._chooses_new(rollout, "", "two")[0]


def test_turns_of_many_writers_fit_into_the_time_left():
    """Otherwise a roll-out would be completed too late.

    After its end the turns are of full length again.
    """
    names = [f"vm-{number}" for number in range(410)]
    for left_ms in (100.0, 400.0, 1_000.0):
        waits = [
            turns.compute_turn_ms(name, names, "done", left_ms)
            for name in names
        ]
        assert max(waits) <= 0.5 * left_ms
        assert waits.count(0.0) == 1
    over = [turns.compute_turn_ms(name, names, "done", -5.0) for name in names]
    assert max(over) == turns.compute_turn_ms(
        names[over.index(max(over))], names, "done"
    )


def observe_first_token(rollouts, model, version, paces):
    """Observe the first token of a stream that no roll-out counts."""
    nothing: typing.Any = types.SimpleNamespace(
        get_latency_model=lambda service: model,
        observe=lambda *args, **labels: None,
        observe_ttft=lambda: None,
        request_id="one",
        paces=paces,
        get_engine_names=dict,
    )
    began_ms = rollouts.clock.now_ms() - 1_500.0
    work: typing.Any = types.SimpleNamespace(
        progress=work_items.Progress(began_ms, version=version),
        reading=nothing,
        metadata=nothing,
        service="desk",
        endpoint="engine",
        model_name="large",
        backlog=100.0,
        pace=1.0,
        is_engine_full=False,
        backlog_ms=0.0,
        confidence=None,
    )
    placing.Placer(
        rollouts.clock, nothing, rollouts, nothing, nothing, 0.0
    ).observe_ttft(work)


def test_slow_version_does_not_teach_the_prediction_it_is_judged_by():
    """Otherwise a version eight times slower would be judged good."""
    rollouts, rollout = make_rollouts()
    for version, learns in (("v2", False), ("v1", True)):
        model = engine_load.LatencyModel()
        before_ms = model.base_ms
        paces = engine_pace.Paces()
        for _ in range(20):
            observe_first_token(rollouts, model, version, paces)
        assert (model.base_ms > before_ms) is learns
        assert bool(paces.usuals) is learns
    rollout.state = message_types.RolloutState.COMPLETED
    model = engine_load.LatencyModel()
    observe_first_token(rollouts, model, "v2", engine_pace.Paces())
    assert model.base_ms > engine_load.INITIAL_BASE_MS
