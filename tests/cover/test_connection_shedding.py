"""When an entry VM turns away connections that it has not accepted."""

import typing
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from carawayward import clock as clock_module
from carawayward.decisions import overload
from carawayward.forwarding import board as board_module
from carawayward.forwarding import connection_shedding
from carawayward.forwarding import load_reports
from carawayward.forwarding import metrics as metrics_module
from carawayward.forwarding import report_channels

TURN_MS = 10.0
PEERS = [f"vm-{number}" for number in range(8)]


def make_shedding(peers: typing.Sequence[str] = PEERS) -> typing.Any:
    """A policy whose peers have all just reported."""
    board = board_module.ForwardingBoard(name="vm", failure_domain="a")
    clock: typing.Any = clock_module.ManualClock(now=1_000_000.0)
    reporter = load_reports.LoadReporter(
        board, clock, mock.Mock(), "127.0.0.1:1", mock.Mock(), mock.Mock()
    )
    for name in peers:
        reporter.peers[name] = report_channels.Peer(
            name, ("127.0.0.1", 1), "1", clock.now_ms(), interval_ms=400.0
        )
    return connection_shedding.ConnectionShedding(
        board, clock, reporter, metrics_module.Metrics()
    )


def wait_in_queue(shedding, for_ms, turn_ms=TURN_MS, waiting=100):
    """Connections wait in each turn; return whether any are turned away."""
    turned_away = False
    end_ms = shedding.clock.now_ms() + for_ms
    while shedding.clock.now_ms() < end_ms:
        if shedding.should_count() and shedding.should_turn_away(waiting):
            shedding.record_turned_away(waiting)
            turned_away = True
        shedding.clock.advance(turn_ms)
    return turned_away


def report_overload(shedding, peers):
    for name in peers:
        shedding.merge(f"{name}/1", 1, 3_000.0)


def test_queue_that_stays_is_turned_away_while_others_have_room():
    """One entry VM gets most new connections and others idle."""
    assert wait_in_queue(make_shedding(), 400.0)


def test_bursts_that_are_accepted_soon_are_not_turned_away():
    """Many connections at once wait for some turns, again and again."""
    shedding = make_shedding()
    for _ in range(50):
        assert not wait_in_queue(shedding, 200.0)
        shedding.record_empty()
        shedding.clock.advance(50.0)
    assert shedding.describe() is None
    assert not shedding.should_redirect_callers()


def test_burst_that_is_nearly_accepted_is_not_turned_away():
    """It has taken its time, and the last ones would not wait much longer."""
    assert not wait_in_queue(make_shedding(), 400.0, waiting=2)
    assert not wait_in_queue(make_shedding(), 5_000.0, waiting=20)
    assert wait_in_queue(make_shedding(), 400.0, waiting=30)


def test_connections_that_wait_while_the_process_was_stopped_are_accepted():
    """The time of one long turn does not count as a standing queue."""
    shedding = make_shedding()
    shedding.record_empty()
    shedding.clock.advance(5_000.0)
    assert not wait_in_queue(shedding, 200.0, turn_ms=1.0)


@params(0, 3, 4, 8)
def test_nobody_is_turned_away_where_half_of_the_others_are_overloaded(count):
    """Load rose everywhere: another try would meet a queue as well."""
    shedding = make_shedding()
    report_overload(shedding, PEERS[:count])
    assert wait_in_queue(shedding, 400.0) == (count < 4)


def test_an_entry_vm_that_knows_no_other_turns_nobody_away():
    """It is the only one, or has lost its peers."""
    assert not wait_in_queue(make_shedding(peers=()), 5_000.0)


def test_reported_overload_expires():
    """Peers that recovered do not report that they are well."""
    shedding = make_shedding()
    report_overload(shedding, PEERS)
    assert not wait_in_queue(shedding, 1_000.0)
    assert wait_in_queue(shedding, 400.0)


def test_peers_that_have_gone_silent_are_not_counted_on():
    """Those left may all be overloaded."""
    shedding = make_shedding()
    report_overload(shedding, PEERS[:2])
    for name in PEERS[2:]:
        shedding.reporter.peers[name].last_seen_ms -= 10_000.0
    assert not wait_in_queue(shedding, 400.0)


def test_peers_get_reports_of_overload_even_if_nobody_is_turned_away():
    """Otherwise no entry VM would know that all are overloaded."""
    shedding = make_shedding()
    report_overload(shedding, PEERS)
    with mock.patch.object(
        load_reports.LoadReporter, "report_soon"
    ) as report_soon:
        wait_in_queue(shedding, 400.0)
    assert shedding.describe() == 1
    assert report_soon.call_count == 1


def test_open_connections_are_redirected_only_while_turning_away():
    """After the surge clients keep their connections as before."""
    shedding = make_shedding()
    assert not shedding.should_redirect_callers()
    wait_in_queue(shedding, 400.0)
    assert shedding.should_redirect_callers()
    shedding.clock.advance(overload.OVERLOADED_MS)
    assert not shedding.should_redirect_callers()
    assert shedding.describe() is None
    assert shedding.count_turns() == overload.TURNS


def test_queue_is_shorter_while_connections_are_turned_away():
    """A queue does not build up again after each time it was cleared."""
    shedding = make_shedding()
    wait_in_queue(shedding, 400.0)
    shedding.record_empty()
    assert wait_in_queue(shedding, 100.0)


def test_connections_turned_away_are_counted_and_logged_once_a_second():
    """Operators see that an entry VM gets more than it accepts."""
    shedding = make_shedding()
    with mock.patch.object(connection_shedding.events, "log_event") as log:
        for _ in range(4):
            shedding.record_turned_away(5)
            shedding.clock.advance(300.0)
        shedding.record_turned_away(5)
    assert [call.kwargs["connections"] for call in log.mock_calls] == [5, 20]
    series = ("connections_turned_away", ())
    assert shedding.metrics.counters[series] == 25.0


@given(st.lists(st.tuples(st.booleans(), st.floats(0.0, 500.0)), max_size=60))
def test_nobody_is_turned_away_before_the_queue_has_stood_for_its_time(steps):
    """Whatever the load, no connection waits less than the least limit."""
    shedding = make_shedding()
    waiting_since_ms = None
    for waits, pause_ms in steps:
        now_ms = shedding.clock.now_ms()
        if not waits:
            shedding.record_empty()
            waiting_since_ms = None
        else:
            if waiting_since_ms is None:
                waiting_since_ms = now_ms
            if shedding.should_count() and shedding.should_turn_away(100):
                waited_ms = now_ms - waiting_since_ms
                assert waited_ms >= overload.MAX_STANDING_OVERLOADED_MS
        shedding.clock.advance(pause_ms)
