"""Each check of who gets the room fails on a history that breaks it."""

from tests.soak import hard_load
from tests.soak import records
from tests.soak import schedule
from tests.soak import test_checkers as base

SERVED, REFUSED = 200, 503
TARGET_MS = 400.0


def make_history(places=(2, 2)):
    history = records.History(places={"desk": list(places)})
    history.shortages.append(
        records.Disruption(name="", kind="burst", from_ms=0.0)
    )
    return history


def send(history, status, count=1, took_ms=10.0, **changes):
    """Add requests that were answered; return the last one's id."""
    request_id = ""
    for _ in range(count):
        request_id = base.add_request(
            history, len(history.sent), target_ms=TARGET_MS, **changes
        )
        history.statuses[request_id] = status
        sent = history.sent[request_id]
        history.answered_ms[request_id] = sent.at_ms + took_ms
    return request_id


def check(checker, history):
    return checker(history, base.BOUNDS)


def serve(history, served, refused, **changes):
    send(history, SERVED, served, **changes)
    send(history, REFUSED, refused, **changes)
    return history


def test_less_urgent_requests_that_are_served_better_are_found():
    """Rank 4 gets the room that rank 1 lacks."""
    history = serve(make_history(), 60, 40, rank=1)
    serve(history, 64, 36, rank=4)
    assert not check(hard_load.check_ranks, history)
    serve(history, 40, 0, rank=4)
    assert check(hard_load.check_ranks, history)
    history.shortages.clear()
    assert not check(hard_load.check_ranks, history)


def test_small_customer_that_is_starved_is_found():
    """Its requests are served under a quarter as often as the rest."""
    history = serve(make_history(), 80, 20, customer="yaba")
    serve(history, 30, 0, customer="lekki")
    serve(history, 9, 21, customer="ikeja")
    assert not check(hard_load.check_customers, history)
    serve(history, 0, 20, customer="ikeja")
    assert check(hard_load.check_customers, history)


def test_refusals_after_a_wait_are_found():
    """More than three come after a quarter of the target."""
    history = make_history()
    send(history, REFUSED, 3, took_ms=150.0)
    send(history, REFUSED, 9, took_ms=90.0)
    assert not check(hard_load.check_waits, history)
    send(history, REFUSED, 1, took_ms=150.0)
    assert check(hard_load.check_waits, history)


def test_refused_request_that_ran_is_found():
    """503 says that it has not run; the caller repeats it."""
    history = make_history()
    refused = send(history, REFUSED)
    base.add_arrival(history, refused)
    base.add_arrival(history, send(history, 502), ran=True)
    assert not check(hard_load.check_refused_runs, history)
    base.add_arrival(history, refused, ran=True)
    assert check(hard_load.check_refused_runs, history)


def test_refusals_beside_free_places_are_found():
    """One of four places is taken; two, or a queue, would excuse it."""

    def refuse_beside(*endpoints):
        history = make_history()
        for endpoint in endpoints:
            request_id = send(history, SERVED, took_ms=900.0)
            base.add_arrival(
                history,
                request_id,
                after_ms=-1.0,
                endpoint=endpoint,
                ran=True,
                ended_ms=base.FAR_MS + 900.0,
            )
        send(history, REFUSED, 4)
        return check(hard_load.check_idle_room, history)

    assert refuse_beside("desk-0")
    assert not refuse_beside("desk-0", "desk-1")
    history = make_history((2, 2, 2, 2))
    assert not check(hard_load.check_idle_room, history)


def test_no_seed_draws_the_faults_of_hard_load_unless_they_are_named():
    """The seeds in use must play what they played before."""
    usual = set(schedule.USUAL_FAULTS)
    assert not usual & set(schedule.HARD_LOAD_FAULTS)
    kinds = schedule.HARD_LOAD_FAULTS
    drawn = schedule.draw_faults(1, 60_000.0, kinds)
    assert {each.fault for each in drawn} <= set(kinds)
