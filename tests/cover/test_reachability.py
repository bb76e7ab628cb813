"""When an entry VM takes its own path to a service for lost."""

from hypothesis import given
from hypothesis import strategies

from carawayward.decisions import reachability

ENDPOINTS = ("a", "b", "c")


def make_lost(endpoints=3):
    state = reachability.Reachability()
    for name in ENDPOINTS[:endpoints]:
        reachability.record_unreached(state, name, 10.0, endpoints)
    return state


def test_one_unreached_endpoint_is_no_lost_path():
    """However often its connections fail."""
    state = reachability.Reachability()
    for began_ms in (10.0, 20.0, 30.0):
        assert not reachability.record_unreached(state, "a", began_ms, 3)
    assert not state.lost


def test_second_unreached_endpoint_loses_the_path_once():
    """The change is reported for the log, further failures are not."""
    state = reachability.Reachability()
    reachability.record_unreached(state, "a", 10.0, 3)
    assert reachability.record_unreached(state, "b", 20.0, 3)
    assert not reachability.record_unreached(state, "c", 30.0, 3)
    assert state.lost


def test_only_endpoint_of_a_service_loses_the_path_alone():
    """There is no second one that could tell a lost path from a crash."""
    assert make_lost(endpoints=1).lost


def test_connection_in_between_keeps_the_path():
    """Endpoints that fail one after the other are not all unreachable."""
    state = reachability.Reachability()
    reachability.record_unreached(state, "a", 10.0, 3)
    reachability.record_connected(state, 15.0)
    assert not reachability.record_unreached(state, "b", 20.0, 3)
    assert not state.lost


def test_attempt_from_before_the_last_connection_does_not_count():
    """Connection attempts that hang fail half a second late."""
    state = reachability.Reachability()
    reachability.record_connected(state, 15.0)
    reachability.record_unreached(state, "a", 10.0, 3)
    reachability.record_unreached(state, "b", 14.0, 3)
    assert not state.lost


def test_connection_restores_a_lost_path():
    """It takes two failures again to lose it."""
    state = make_lost()
    assert reachability.record_connected(state, 50.0)
    assert not state.lost
    assert not reachability.record_unreached(state, "a", 60.0, 3)
    assert not state.lost


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(ENDPOINTS), strategies.booleans()
        )
    )
)
def test_path_is_lost_if_the_last_two_endpoints_tried_failed(steps):
    """By the failures since the last connection, in any order."""
    state = reachability.Reachability()
    failed: set[str] = set()
    for index, (name, connected) in enumerate(steps):
        now_ms = float(index)
        if connected:
            reachability.record_connected(state, now_ms)
            failed.clear()
        else:
            reachability.record_unreached(state, name, now_ms, len(ENDPOINTS))
            failed.add(name)
        assert state.lost == (len(failed) >= 2)
