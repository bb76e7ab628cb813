"""Which version a session's requests go to, without I/O."""

import types
import typing

import hypothesis

from carawayward import clock as clock_module
from carawayward.decisions import canary
from carawayward.decisions import quarantine
from carawayward.forwarding import board as board_module
from carawayward.forwarding import fleet as fleet_module
from carawayward.forwarding import kept_sessions
from carawayward.forwarding import message_types
from carawayward.forwarding import placing
from carawayward.forwarding import rollouts as rollouts_module
from carawayward.forwarding import work_items
from tests.common import odd_json

SESSION_MS = 5_000.0
DURATION_MS = 40_000.0


def make_vm(clock, version="v2"):
    """The roll-outs of an entry VM that has read an order."""
    board = board_module.ForwardingBoard(name="vm", failure_domain="north")
    assert board.bounds.session_ms == SESSION_MS
    vm = rollouts_module.Rollouts(board, clock)
    if version:
        order_version(vm, version)
    return vm


def order_version(vm, version):
    """Order a version whose trial has begun at this entry VM."""
    vm.board.orders["desk"] = message_types.RolloutOrder(
        service="desk", version=version, duration_ms=DURATION_MS
    )
    vm.apply_orders()
    rollout = vm.rollouts["desk"]
    rollout.status_known = True
    rollout.status_read_ms = vm.clock.now_ms()
    return rollout


def make_work(session, version=""):
    """A request, which last ran on ``version``."""
    metadata = types.SimpleNamespace(session=session, request_id="one")
    work = types.SimpleNamespace(
        service="desk",
        metadata=metadata,
        progress=work_items.Progress(0.0, version=version),
        route=types.SimpleNamespace(name="look"),
        model_name="",
    )
    return typing.cast(work_items.Work, work)


def find_session(version, in_trial=True):
    """A session whose draw is in the trial's share, or in none."""
    names = (f"s-{number}" for number in range(10_000))
    for name in names:
        drawn = kept_sessions.draw(version, name)
        if in_trial and drawn < canary.MIN_SHARE:
            return name
        if not in_trial and drawn > canary.MAX_SHARE:
            return name
    raise AssertionError("no such session")


def choose(vm, session):
    """Whether a session's request goes to the new version."""
    choice = vm.choose_version(make_work(session))
    assert choice is not None
    return choice.new


def exchange(source, target):
    """Send a report of the kept sessions."""
    target.merge_sessions("p/i", source.describe_sessions(), 1_000.0)


def test_session_stays_on_the_old_version_while_a_run_outlasts_its_timeout():
    """A session was forgotten while its stream lasted, and drawn anew."""
    clock: typing.Any = clock_module.ManualClock()
    vm = make_vm(clock, version="")
    session = find_session("v2")
    vm.begin(None, make_work(session, "v1"), "v1")
    clock.advance(2 * SESSION_MS)
    vm.begin(None, make_work("other", "v1"), "v1")
    order_version(vm, "v2")
    assert not choose(vm, session)
    vm.end(None, make_work(session, "v1"))
    clock.advance(0.9 * SESSION_MS)
    vm.rollouts["desk"].status_read_ms = clock.now_ms()
    assert not choose(vm, session)


def test_session_that_began_after_a_rollout_stays_when_the_next_is_ordered():
    """Sessions were not recorded once a roll-out had ended."""
    clock: typing.Any = clock_module.ManualClock()
    vm = make_vm(clock)
    vm.rollouts["desk"].state = message_types.RolloutState.COMPLETED
    session = find_session("v3")
    choice = vm.choose_version(make_work(session))
    run = vm.begin(choice, make_work(session, "v2"), "v2")
    vm.end(run, make_work(session, "v2"))
    order_version(vm, "v3")
    clock.advance(rollouts_module.SESSION_EXCHANGE_MS)
    assert not choose(vm, session)


def test_session_is_on_the_version_that_ran_and_not_on_the_chosen_one():
    """Without a free endpoint of the chosen version the other one serves."""
    clock: typing.Any = clock_module.ManualClock()
    vm = make_vm(clock)
    clock.advance(rollouts_module.SESSION_EXCHANGE_MS)
    session = find_session("v2")
    choice = vm.choose_version(make_work(session))
    assert choice is not None and choice.new
    vm.begin(choice, make_work(session), "v1")
    assert not choose(vm, session)


def test_sessions_kept_against_their_draw_are_kept_by_peers_too():
    """A session changed its version when another entry VM got its requests.

    Those that agree with their draw need no report.
    """
    clock: typing.Any = clock_module.ManualClock()
    first, second = make_vm(clock), make_vm(clock)
    on_old, on_new = find_session("v2"), find_session("v2", in_trial=False)
    first.sessions.record("desk", on_old, "v1")
    first.sessions.record("desk", on_new, "v2")
    first.sessions.record("desk", on_new + "-x", "v1")
    clock.advance(rollouts_module.SESSION_EXCHANGE_MS)
    assert choose(second, on_old) and not choose(second, on_new)
    exchange(first, second)
    assert not choose(second, on_old) and choose(second, on_new)
    assert len(second.kept.known) <= 3


def test_entry_vm_begins_no_session_before_its_peers_have_reported():
    """One that has just started would move the sessions of all others."""
    clock: typing.Any = clock_module.ManualClock()
    vm = make_vm(clock)
    session = find_session("v2")
    assert not choose(vm, session)
    clock.advance(rollouts_module.SESSION_EXCHANGE_MS)
    assert choose(vm, session)


def test_reports_of_sessions_are_small_and_forgotten_in_time():
    """Guards against datagrams and memory that grow with the sessions."""
    clock: typing.Any = clock_module.ManualClock()
    first, second = make_vm(clock), make_vm(clock)
    for number in range(3_000):
        first.sessions.record("desk", f"s-{number}", "v1")
        first.sessions.record("desk", f"t-{number}", "v2")
    exchange(first, second)
    assert len(second.kept.known) == 2 * kept_sessions.MAX_REPORTED
    clock.advance(2 * SESSION_MS)
    assert not first.describe_sessions()
    second.kept.merge(["desk", "v2", [1], []])
    assert len(second.kept.known) == 1


@hypothesis.given(odd_json.ANY_JSON)
@hypothesis.settings(deadline=None)
def test_malformed_report_of_sessions_is_refused(value):
    """Guards against a value that only raises where it is used."""
    vm = make_vm(clock_module.ManualClock())
    try:
        vm.merge_sessions("p/i", value, 1_000.0)
    except (TypeError, ValueError, LookupError, AttributeError):
        pass
    assert not choose(vm, "s")


def make_placer(vm, clock):
    """A placer with one endpoint of each version."""
    for version in ("v1", "v2"):
        vm.board.endpoints[version] = message_types.EndpointEntry(
            name=version,
            service="desk",
            address="127.0.0.1:5",
            failure_domain="north",
            version=version,
        )
    vm.board.generation += 1
    fleet = fleet_module.Fleet(vm.board, clock)
    nothing: typing.Any = types.SimpleNamespace(get_engine_names=dict)
    placer = placing.Placer(clock, fleet, vm, nothing, nothing, 0.0)
    return placer


def list_versions(vm, placer, session):
    """The versions that a session's request may go to, in order."""
    work = make_work(session)
    choice = vm.choose_version(work)
    filters = placer._list_filters(work, choice)
    pools = [placer.fleet.find_pool(each) for each in filters]
    return list(
        dict.fromkeys(view.name for pool in pools for view in pool.views)
    )


def test_session_waits_for_its_version_where_that_is_full():
    """Sessions changed to the other version while theirs had no room.

    One that has no record here may have begun elsewhere. Once no endpoint of
    its version can be reached, the other one serves it.
    """
    clock: typing.Any = clock_module.ManualClock()
    vm = make_vm(clock)
    placer = make_placer(vm, clock)
    clock.advance(rollouts_module.SESSION_EXCHANGE_MS)
    unknown = find_session("v2", in_trial=False)
    kept = find_session("v2")
    assert list_versions(vm, placer, kept) == ["v2", "v1"]
    vm.sessions.record("desk", kept, "v1")
    assert list_versions(vm, placer, kept) == ["v1"]
    assert list_versions(vm, placer, unknown) == ["v1"]
    fleet = placer.fleet
    quarantine.record_declined(fleet.quarantine, "v1", clock.now)
    assert list_versions(vm, placer, kept) == ["v1"]
    quarantine.record_unreachable(fleet.quarantine, "v1", clock.now)
    assert list_versions(vm, placer, kept) == ["v1", "v2"]
    quarantine.record_accepted(fleet.quarantine, "v1")
    clock.advance(0.6 * DURATION_MS)
    vm.rollouts["desk"].status_read_ms = clock.now_ms()
    assert list_versions(vm, placer, unknown) == ["v1", "v2"]
    clock.now = vm.rollouts["desk"].status_read_ms = 1_000.0
    del vm.board.endpoints["v1"]
    vm.board.generation += 1
    assert list_versions(vm, placer, unknown) == ["v2"]
