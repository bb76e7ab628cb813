"""Each check around planned work fails on a history that breaks it."""

import pathlib
import tempfile

import attrs

from tests.soak import lost
from tests.soak import records
from tests.soak import test_checkers as base

STOP_MS = base.FAR_MS - 1_000.0
CUT_MS = 7_600.0
LATE_MS = 6_700.0


def make_history(stop_ms=STOP_MS, exit_code=0):
    """A history of one process, which ended by itself after SIGTERM."""
    process = records.VmProcess(
        vm="edge-0",
        start=1,
        from_ms=0.0,
        until_ms=stop_ms + 7_700.0,
        stop_ms=stop_ms,
        exit_code=exit_code,
    )
    return records.History(processes=[process])


def add_try(
    history, number=0, ended_ms=STOP_MS + CUT_MS, at_ms=base.FAR_MS, **changes
):
    """Add a request of 25 s whose connection has ended without an answer."""
    request_id = base.add_request(
        history, number, at_ms=at_ms, deadline_ms=25_000.0
    )
    seen = records.Try(sent_ms=at_ms, ended_ms=ended_ms)
    history.tries[request_id] = attrs.evolve(seen, **changes)
    return request_id


def is_lost(passed_on=True, stop_ms=STOP_MS, ran_until_ms=None, **changes):
    """Whether one try is found; its endpoint runs it for a while."""
    history = make_history(stop_ms)
    request_id = add_try(history, **changes)
    if passed_on:
        arrival = base.add_arrival(history, request_id)
        arrival.ran = ran_until_ms is not None
        arrival.ended_ms = ran_until_ms or arrival.at_ms
    return bool(base.check(lost.check_lost, history))


def test_request_that_a_stop_ends_without_an_answer_is_found():
    """It was passed on, or read long before; with and without a head."""
    assert is_lost()
    assert is_lost(begun=True)
    assert is_lost(kept=False)
    assert is_lost(passed_on=False)
    assert is_lost(at_ms=STOP_MS - 4_000.0)
    assert is_lost(ended_ms=STOP_MS + 8_900.0)


def test_request_that_was_answered_or_given_up_is_not_lost():
    """A complete refusal is an answer."""
    assert not is_lost(complete=True)
    assert not is_lost(gave_up=True)


def test_request_that_crosses_a_close_is_not_lost():
    """Nothing of it was passed on within 0.2 s, or it was reset unread."""
    soon_ms = base.FAR_MS + 190.0
    assert not is_lost(passed_on=False, ended_ms=soon_ms)
    assert is_lost(passed_on=True, ended_ms=soon_ms)
    assert is_lost(passed_on=False, ended_ms=soon_ms + 20.0)
    assert not is_lost(passed_on=False, unread=True)
    assert not is_lost(passed_on=False, sent_ms=float("inf"))


def stall(history, until_ms, for_ms):
    history.stalls.append(
        records.Disruption(
            name="",
            kind="stall",
            from_ms=until_ms - for_ms,
            until_ms=until_ms,
        )
    )


def test_request_whose_end_was_seen_late_is_lost_only_if_it_was_read():
    """The callers ran late while they waited for the end; the log tells."""
    for lines, is_found in (({}, False), ({f"{0:016x}": 0}, True)):
        history = make_history()
        add_try(history, ended_ms=base.FAR_MS + 600.0)
        assert base.check(lost.check_lost, history)
        stall(history, base.FAR_MS + 500.0, 150.0)
        history.processes[0].lines = lines
        assert bool(base.check(lost.check_lost, history)) is is_found


def test_request_that_ends_on_a_machine_that_is_held_up_is_not_lost():
    """Shorter stalls, and those long before its end, excuse nothing."""
    for before_ms, for_ms, is_found in (
        (900.0, 210.0, False),
        (900.0, 190.0, True),
        (1_100.0, 210.0, True),
    ):
        history = make_history()
        base.add_arrival(history, add_try(history))
        stall(history, STOP_MS + CUT_MS - before_ms, for_ms)
        assert bool(base.check(lost.check_lost, history)) is is_found


def test_cut_outside_the_time_of_a_stop_is_not_its_own():
    """It comes before the signal, or later than 1 s after the grace."""
    assert not is_lost(ended_ms=STOP_MS + 9_100.0)
    assert not is_lost(stop_ms=base.FAR_MS + 9_000.0)


def test_request_at_work_in_the_last_sixth_of_the_grace_is_not_lost():
    """Unless it was sent late, was cut sooner, or only waited there."""
    at_work_ms = STOP_MS + LATE_MS
    assert not is_lost(ran_until_ms=at_work_ms)
    assert is_lost(ran_until_ms=at_work_ms - 100.0)
    late = {"stop_ms": STOP_MS - 2_100.0, "ran_until_ms": at_work_ms}
    assert is_lost(**late, ended_ms=STOP_MS + 6_000.0)
    late["stop_ms"] += 200.0
    assert not is_lost(**late, ended_ms=STOP_MS + 6_000.0)
    assert is_lost(
        ran_until_ms=STOP_MS + 9_000.0, ended_ms=STOP_MS + LATE_MS - 100.0
    )


def test_request_at_its_deadline_is_not_lost():
    """Its connection ends as its caller would give up."""
    at_ms = STOP_MS + CUT_MS - 25_000.0
    assert not is_lost(at_ms=at_ms + 100.0)
    assert is_lost(at_ms=at_ms + 300.0)


def test_request_that_an_endpoint_broke_off_is_not_lost():
    """The endpoint crashed; the crash of another one excuses nothing."""
    for name, excuses in (("desk-0", True), ("desk-1", False)):
        history = make_history()
        base.add_arrival(history, add_try(history))
        history.endpoint_disruptions.append(
            records.Disruption(
                name=name, kind="crash", from_ms=base.FAR_MS + 10.0
            )
        )
        assert bool(base.check(lost.check_lost, history)) is not excuses


def test_request_beside_an_unplanned_disruption_is_not_lost():
    """From 3 s before it was sent; planned ones excuse nothing."""
    for after_ms, planned, excuses in (
        (-2_900.0, False, True),
        (-3_100.0, False, False),
        (100.0, True, False),
    ):
        history = make_history()
        base.add_arrival(history, add_try(history))
        base.disrupt(history, at_ms=base.FAR_MS + after_ms)
        history.vm_disruptions[0].planned = planned
        assert bool(base.check(lost.check_lost, history)) is not excuses


def test_request_that_is_cut_around_a_reload_is_found():
    """It was sent up to 2 s after SIGHUP, and was cut after it."""
    for at_ms, is_found in (
        (base.FAR_MS + 100.0, True),
        (base.FAR_MS - 1_900.0, True),
        (base.FAR_MS - 2_100.0, False),
        (base.FAR_MS + 500.0, False),
    ):
        history = records.History(reloads_ms={"edge-0": [at_ms]})
        add_try(history, ended_ms=base.FAR_MS + 400.0)
        assert bool(base.check(lost.check_lost, history)) is is_found


def test_requests_that_are_cut_beside_a_configuration_are_found():
    """Unless as many are cut at other times, or most time was used."""

    def count(took_ms, cut_before):
        history = records.History()
        for acked_ms in (0.0, base.FAR_MS):
            history.versions.append(
                records.Version(
                    paths=frozenset(), keys=frozenset(), acked_ms=acked_ms
                )
            )
        for number in range(4):
            at_ms = base.FAR_MS - 10_000.0
            add_try(
                history,
                10 + number,
                at_ms=at_ms,
                ended_ms=at_ms + 1_000.0,
                complete=number >= cut_before,
            )
        at_ms = base.FAR_MS + 1_000.0 - took_ms
        add_try(history, at_ms=at_ms, ended_ms=base.FAR_MS + 1_000.0)
        return len(base.check(lost.check_lost, history))

    assert count(500.0, 0) == count(500.0, 1) == 1
    assert count(500.0, 2) == 0
    assert count(0.71 * 25_000.0, 0) == 0


def test_four_requests_lost_on_kept_connections_are_found():
    """At any time, by an entry VM in touch, at sound endpoints."""

    def is_found(count, **changes):
        history = records.History()
        for number in range(count):
            request_id = add_try(history, number, **changes)
            base.add_arrival(history, request_id)
        found = bool(base.check(lost.check_lost_on_kept, history))
        base.disrupt(history)
        assert not base.check(lost.check_lost_on_kept, history)
        return found

    assert is_found(4)
    assert not is_found(3)
    assert not is_found(9, kept=False)
    assert not is_found(9, begun=True)


def test_read_request_without_exactly_one_final_line_is_found():
    """None or two, by the log of a process that ended by itself."""
    final = '{"name": "request_forwarded", "request": "%016x"}\n'
    other = '{"name": "attempt_ended", "request": "%016x"}\n'
    fault = '{"name": "fault", "task": "%s", "request": "%016x"}\n'

    def is_found(text, exit_code=0, passed_on=False):
        history = make_history(exit_code=exit_code)
        request_id = base.add_request(history, 1)
        if passed_on:
            base.add_arrival(history, request_id)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "edge-0.1.log"
            path.write_text(text, encoding="utf-8")
            lost.read_log(history.processes[0], path)
        return bool(base.check(lost.check_final_lines, history))

    assert not is_found(final % 1)
    assert is_found(final % 1 * 2)
    assert is_found(other % 1)
    assert not is_found(other % 1, exit_code=-9)
    assert not is_found(other % 2)
    assert is_found("", passed_on=True)
    assert not is_found("")
    assert not is_found(other % 1 + fault % ("request", 1))
    assert is_found(fault % ("relay", 1))


def test_unsafe_request_that_ran_and_was_refused_or_ran_twice_is_found():
    """Safe ones may be refused after a run, and may run again."""
    for unsafe in (True, False):
        for status, runs, is_found in (
            (503, 0, False),
            (503, 1, unsafe),
            (500, 1, False),
            (500, 2, unsafe),
        ):
            history = records.History()
            request_id = base.add_request(history, 1, unsafe=unsafe)
            history.statuses[request_id] = status
            base.add_arrival(history, request_id)
            for _ in range(runs):
                base.add_arrival(history, request_id, ran=True)
            found = base.check(lost.check_unsafe_runs, history)
            assert bool(found) is is_found


def is_never_begun(passed_on=False, lines=None, **changes):
    """Whether a request that its caller has given up is found."""
    history = make_history(stop_ms=base.FAR_MS + 30_000.0)
    end_ms = base.FAR_MS + 25_000.0
    changes = {"gave_up": True, "ended_ms": end_ms, **changes}
    request_id = add_try(history, **changes)
    if passed_on:
        base.add_arrival(history, request_id)
    history.processes[0].lines.update({request_id: 1} if lines else {})
    return bool(base.check(lost.check_never_begun, history))


def test_request_that_is_read_and_never_begun_is_found():
    """It waits behind a reply that has ended, with or without a stop."""
    assert is_never_begun()
    assert is_never_begun(gave_up=False)
    assert not is_never_begun(lines=True)
    assert not is_never_begun(passed_on=True)
    assert not is_never_begun(complete=True)
    assert not is_never_begun(kept=False)
    assert not is_never_begun(ended_ms=base.FAR_MS + 900.0)
