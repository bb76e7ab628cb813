"""What one entry VM reports of parts of prompts that crash endpoints."""

import types
import typing

import cbor2
from nose2.tools import params

from carawayward import clock as clock_module
from carawayward.decisions import prompt_crashes
from carawayward.forwarding import crashing_parts
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import work_items

MAX_REPORT_BYTES = 900
BAD, FIRST, OTHER = (f"0000{each * 6}" for each in ("0b", "0f", "0e"))


def make_content(number):
    return f"{number:016x}"


def make_parts(clock: typing.Any = None):
    used = clock or typing.cast(
        typing.Any, clock_module.ManualClock(10_000_000.0)
    )
    return crashing_parts.CrashingParts(used, lambda: None)


def make_work(number, *parts, began_ms=None):
    answer = began_ms and work_items.AnswerProgress(began_ms, began_ms)
    work: typing.Any = types.SimpleNamespace(
        fingerprint=make_content(number),
        shared_parts=parts,
        progress=work_items.Progress(0.0, answer=answer),
    )
    return work


def crash(made, *parts, requests=5, first=0):
    """Crash an endpoint under each of several requests with these parts."""
    for number in range(first, first + requests):
        made.record_crash(make_content(number), parts, str(number), 0)


def exchange_reports(*made, rounds=3):
    for _ in range(rounds):
        for sender in made:
            value = cbor2.loads(cbor2.dumps(sender.describe()))
            for receiver in made:
                if value and receiver is not sender:
                    receiver.merge("edge/a", value, 3_000.0)


def test_crashes_seen_by_one_entry_vm_each_convict_a_part_on_all():
    """Five endpoints crash; no entry VM has seen two of the crashes."""
    made = [make_parts() for _ in range(5)]
    for number, each in enumerate(made):
        crash(each, FIRST, BAD, requests=1, first=number)
        assert not each.is_refused(make_work(99, FIRST, BAD))
    exchange_reports(*made)
    for each in made:
        assert each.is_refused(make_work(99, FIRST, BAD))
        assert not each.is_refused(make_work(99, FIRST, OTHER))


def test_answer_known_to_a_peer_clears_a_part():
    """The entry VM that saw the crashes was started a moment before."""
    clock = clock_module.ManualClock(10_000_000.0)
    old, new = make_parts(clock), make_parts(clock)
    old.record_answer(make_work(1, FIRST, began_ms=clock.now_ms()))
    clock.advance(60_000.0)
    crash(new, FIRST, BAD)
    exchange_reports(old, new)
    assert new.records.answered_ms.keys() == {FIRST}
    assert new.is_refused(make_work(99, BAD))
    assert not new.is_refused(make_work(99, FIRST))


def test_answer_that_has_not_gone_on_clears_nothing():
    """The endpoint crashes once the answer begins."""
    made = make_parts()
    crash(made, BAD)
    made.record_answer(make_work(99, BAD))
    assert made.is_refused(make_work(100, BAD))


def test_answer_read_late_by_a_suspended_entry_vm_is_no_proof():
    """Its endpoint has crashed; what it had sent waits in the kernel."""
    answer = work_items.AnswerProgress(0.0, 0.0)
    answer.record_event(20.0)
    for now_ms in (5_000.0, 5_000.1, 5_000.2):
        answer.record_event(now_ms)
    assert answer.duration_ms < crashing_parts.ANSWER_SOUND_MS
    for step in range(20):
        answer.record_event(5_001.0 + 100.0 * step)
    assert answer.duration_ms > crashing_parts.ANSWER_SOUND_MS


def test_conviction_is_passed_on_by_those_that_saw_a_crash():
    """All write it to the store otherwise."""
    made = [make_parts() for _ in range(3)]
    written = []
    for number, each in enumerate(made):
        each.on_convicted = lambda part, number=number: written.append(number)
    crash(made[0], BAD, requests=3)
    crash(made[1], BAD, requests=2, first=3)
    exchange_reports(*made)
    assert sorted(written) == [0, 1]


def test_refused_part_is_reported_as_long_as_it_is_refused():
    """An entry VM that starts later learns of it."""
    clock = clock_module.ManualClock(10_000_000.0)
    made, late = make_parts(clock), make_parts(clock)
    crash(made, BAD)
    clock.advance(prompt_crashes.RECORD_TTL_MS - 2_000.0)
    exchange_reports(made, late)
    assert late.is_refused(make_work(99, BAD))
    clock.advance(2_000.0 + crashing_parts.FORGET_INTERVAL_MS)
    assert not made.describe()
    assert not made.convicted


def test_part_that_is_answered_after_all_is_cleared():
    """Its records in the store are removed."""
    clock = clock_module.ManualClock(10_000_000.0)
    made = make_parts(clock)
    cleared: list[frozenset[str]] = []
    made.on_cleared = cleared.append
    crash(made, BAD)
    clock.advance(10.0)
    made.record_answer(make_work(99, BAD, began_ms=clock.now_ms()))
    assert cleared == [{BAD}]
    assert not made.is_refused(make_work(100, BAD))


def test_reports_stay_small_when_many_prompts_were_in_flight():
    """Endpoints with hundreds of requests in flight crash."""
    made = make_parts()
    for number in range(300):
        parts = [f"{number:08x}{each:08x}" for each in range(20)]
        for endpoint in ("1", "2", "3", "4", "5", "6", "7"):
            made.record_crash(make_content(number), parts, endpoint, 0)
    assert len(cbor2.dumps(made.describe())) < 2 * MAX_REPORT_BYTES
    crash(made, BAD, first=1_000)
    reported = {row[0].hex() for row in made.describe()[0]}
    assert reported >= {make_content(1_000 + each) for each in range(5)}


def test_all_prompts_are_reported_in_turn():
    """Many were in flight when an endpoint crashed."""
    made = make_parts()
    for number in range(60):
        made.record_crash(make_content(number), (BAD, FIRST), "1", 0)
    reported = {row[0].hex() for _ in range(20) for row in made.describe()[0]}
    assert reported == {make_content(number) for number in range(60)}


@params(
    5,
    [5, 5, 5],
    [[], []],
    [[[b"\x00", [b"\x00"]]], [], []],
    [[[b"\x00", [b"\x00"], [[1]]]], [], []],
    [[], [[[b"\x00"], [["x", 1]]]], []],
    [[], [], [[b"\x00", "x"]]],
)
def test_malformed_reports_raise_an_error_of_decoding(value):
    """A datagram of another version is logged and dropped."""
    made = make_parts()
    try:
        made.merge("edge-1/a", value, 3_000.0)
    except load_report_messages.DECODE_ERRORS:
        return
    raise AssertionError("accepted")
