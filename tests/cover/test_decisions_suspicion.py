"""Suspects, clearances and convictions, on one entry VM and merged."""

import itertools

import hypothesis
from hypothesis import strategies

from carawayward.decisions import suspicion

NOW = 1_000_000


def make_crash(endpoint, seen_ms, fingerprint="f", request="r"):
    return suspicion.Crash(fingerprint, endpoint, seen_ms, request)


def test_second_crash_convicts_and_a_convicted_request_gets_a_new_trial():
    records = suspicion.SuspectRecords()
    suspicion.record_crash(records, make_crash("e1", NOW))
    assert not suspicion.is_convicted(records, "f", NOW)
    suspicion.record_crash(records, make_crash("e2", NOW + 10))
    assert suspicion.is_convicted(records, "f", NOW + 10)
    later = NOW + suspicion.RECORD_TTL_MS + 10
    assert not suspicion.is_convicted(records, "f", later)
    suspicion.drop_expired(records, later + 1)
    assert not records.crashes


def test_one_crash_seen_by_several_entry_vms_counts_once():
    records = suspicion.SuspectRecords()
    for shift in range(5):
        suspicion.record_crash(records, make_crash("e1", NOW + 100 * shift))
    assert not suspicion.is_convicted(records, "f", NOW + 500)


def test_answer_clears_a_suspect_but_not_a_later_crash():
    records = suspicion.SuspectRecords()
    suspicion.record_crash(records, make_crash("e1", NOW))
    assert suspicion.record_answer(records, "f", NOW + 5)
    assert not suspicion.is_suspect(records, "f", NOW + 5)
    suspicion.record_crash(records, make_crash("e2", NOW + 10))
    assert not suspicion.is_convicted(records, "f", NOW + 10)
    assert not suspicion.record_answer(records, "unsuspected", NOW)


def test_trials_run_in_turn_and_on_another_endpoint():
    records = suspicion.SuspectRecords()
    for name in ("f2", "f1", "f3"):
        suspicion.record_crash(records, make_crash("e1", NOW, name))
    rings = {"f1": ["e1", "e2"], "f2": ["e2", "e1"], "f3": ["e3"]}
    plan = suspicion.plan_trials(records, rings.__getitem__, NOW)
    first = NOW + suspicion.SETTLE_MS
    assert plan["f1"] == suspicion.Trial("e2", first)
    assert plan["f2"] == suspicion.Trial("e2", first + suspicion.TURN_MS)
    assert plan["f3"] == suspicion.Trial("e3", first)
    alone = suspicion.plan_trials(records, lambda fingerprint: ["e1"], NOW)
    later = NOW + suspicion.SAME_CRASH_MS
    assert alone["f1"] == suspicion.Trial("e1", later)
    suspicion.record_answer(records, "f1", NOW + 300)
    plan = suspicion.plan_trials(records, rings.__getitem__, NOW + 300)
    assert plan["f2"] == suspicion.Trial("e2", first)
    assert "f1" not in plan


def test_request_in_flight_at_a_crash_is_never_reported_as_not_run():
    records = suspicion.SuspectRecords()
    suspicion.record_crash(records, make_crash("e1", NOW, request="r1"))
    assert suspicion.may_have_run(records, "f", "r1")
    assert not suspicion.may_have_run(records, "f", "r2")


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(
    strategies.lists(
        strategies.one_of(
            strategies.builds(
                make_crash,
                strategies.sampled_from(["e1", "e2", "e3"]),
                strategies.integers(NOW, NOW + 20_000),
            ),
            strategies.integers(NOW, NOW + 20_000),
        ),
        max_size=4,
    )
)
def test_records_merge_to_the_same_verdict_in_any_order(entries):
    verdicts = set()
    for order in itertools.permutations(entries):
        records = suspicion.SuspectRecords()
        # A clearance counts on any entry VM that knows of a crash.
        suspicion.record_crash(records, make_crash("e0", NOW - 1))
        for entry in order:
            if isinstance(entry, suspicion.Crash):
                suspicion.record_crash(records, entry)
            else:
                suspicion.record_answer(records, "f", entry)
        crashes = suspicion.list_distinct_crashes(records, "f", NOW + 20_000)
        convicted = suspicion.is_convicted(records, "f", NOW + 20_000)
        verdicts.add((tuple(crashes), convicted))
    assert len(verdicts) == 1
