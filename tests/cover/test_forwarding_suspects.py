"""What one entry VM remembers and reports of requests that crash endpoints."""

import types
import typing

import attrs
import cbor2
from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from nose2.tools import params
import trio
import trio.testing

from carawayward import clock as clock_module
from carawayward.decisions import suspicion
from carawayward.forwarding import board as board_module
from carawayward.forwarding import crashing_parts
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import message_types
from carawayward.forwarding import notices
from carawayward.forwarding import suspects
from carawayward.forwarding import work_items

MAX_REPORT_BYTES = 700
STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("crash"),
            strategies.integers(0, 2),
            strategies.integers(0, 4),
        ),
        strategies.tuples(
            strategies.just("answer"),
            strategies.integers(0, 2),
            strategies.just(0),
        ),
        strategies.tuples(
            strategies.just("report"),
            strategies.integers(0, 2),
            strategies.integers(0, 2),
        ),
    ),
    max_size=30,
)


def make_work(body=b"body"):
    fingerprint = suspicion.digest_content(b"ikeja", b"POST", b"/1", body)
    work: typing.Any = types.SimpleNamespace(
        fingerprint=fingerprint,
        shared_parts=(),
        progress=work_items.Progress(0.0),
    )
    return work


def make_entry(name, born=1, **changes):
    return message_types.EndpointEntry(
        name=name,
        service="desk",
        address=f"{name}:80",
        failure_domain="north",
        born=born,
        **changes,
    )


def make_suspects(
    clock: typing.Any = None,
    refuses=True,
    find_state=lambda entry: notices.ProcessState.RUNNING,
):
    probed = []

    async def probe(address):
        probed.append(address)
        return refuses

    used = clock or typing.cast(
        typing.Any, clock_module.ManualClock(10_000_000.0)
    )
    parts = crashing_parts.CrashingParts(used, lambda: None)
    made = suspects.SuspectRequests(
        used, parts, lambda: None, find_state, probe
    )
    return made, probed


def crash(made, *names, work=None, took_ms=5.0):
    for name in names:
        trio.run(
            made.record_broken_run,
            work or make_work(),
            make_entry(name),
            took_ms,
        )


def test_third_crash_convicts_a_request():
    """A harmless request may share two crashes with another by chance."""
    made, _ = make_suspects()
    crash(made, "e-1", "e-2")
    assert not made.is_convicted(make_work())
    crash(made, "e-3")
    assert made.is_convicted(make_work())
    assert not made.is_convicted(make_work(b"other"))


def test_request_that_shares_all_its_crashes_with_another_is_served():
    """Both were retried on the same endpoints, and one of them crashes all."""
    made, _ = make_suspects()
    bad, harmless = make_work(b"bad"), make_work(b"harmless")
    for work in (bad, harmless):
        crash(made, "e-1", "e-2", "e-3", work=work)
    assert not made.is_convicted(harmless)
    crash(made, "e-4", work=bad)
    assert made.is_convicted(bad)
    assert not made.is_convicted(harmless)


def test_run_that_began_after_its_endpoint_crashed_is_no_suspect():
    """Something else accepts connections while the endpoint is down."""
    clock = clock_module.ManualClock(10_000_000.0)
    made, _ = make_suspects(clock)
    names = ("e-1", "e-2", "e-3")
    crash(made, *names, work=make_work(b"bad"))
    clock.advance(10.0)
    crash(made, *names)
    assert not made.is_convicted(make_work())
    assert made.is_convicted(make_work(b"bad"))


def test_endpoint_that_answers_after_a_broken_run_can_crash_later():
    """A connection was reset before the request came that crashes it."""
    clock = clock_module.ManualClock(10_000_000.0)
    made, _ = make_suspects(clock)
    for name in ("e-1", "e-2", "e-3"):
        crash(made, name, work=make_work(name.encode()))
        clock.advance(10.0)
        made.record_response(make_entry(name))
        crash(made, name)
    assert made.is_convicted(make_work())


def test_two_requests_that_crash_endpoints_are_both_refused():
    """Both were in flight at the first crashes, and go on."""
    made, _ = make_suspects()
    works = make_work(b"bad"), make_work(b"worse")
    for work in works:
        crash(made, "e-1", "e-2", "e-3", work=work)
    crash(made, "e-4", work=works[0])
    crash(made, "e-5", work=works[1])
    assert all(made.is_convicted(work) for work in works)


def test_fourth_crash_convicts_though_another_request_shares_them_all():
    """Several requests that crash endpoints excused each other by turns."""
    made, _ = make_suspects()
    names = ("e-1", "e-2", "e-3", "e-4")
    crash(made, *names)
    crash(made, *names, "e-5", work=make_work(b"worse"))
    assert made.is_convicted(make_work())


def test_requests_that_share_four_crashes_are_both_refused():
    """Nothing tells them apart, and each further run may cost an endpoint."""
    made, _ = make_suspects()
    works = make_work(b"bad"), make_work(b"harmless")
    for work in works:
        crash(made, "e-1", "e-2", "e-3", "e-4", work=work)
    assert all(made.is_convicted(work) for work in works)


def test_several_runs_on_one_crashed_endpoint_count_once():
    """All of an entry VM's identical requests break off together."""
    made, probed = make_suspects()
    crash(made, "e-1", "e-1", "e-1", "e-1")
    assert not made.is_convicted(make_work())
    assert len(probed) == 1


def test_broken_run_on_an_endpoint_that_listens_is_no_crash():
    """A reset of connections would make suspects by the hundred."""
    made, _ = make_suspects(refuses=False)
    crash(made, "e-1", "e-2", "e-3", "e-4")
    assert not made.is_convicted(make_work())
    assert not made.describe()


@attrs.define
class Registry:
    """Suspects whose endpoints are listed, and never refuse a connection."""

    clock: clock_module.ManualClock
    board: board_module.ForwardingBoard
    notices: notices.EndpointNotices
    suspects: suspects.SuspectRequests

    @classmethod
    def with_endpoints(cls, *names):
        """List endpoints on which a run of the same request broke off."""
        clock = clock_module.ManualClock(10_000_000.0)
        board = board_module.ForwardingBoard(
            name="edge-1", failure_domain="north"
        )
        found = notices.EndpointNotices(board, typing.cast(typing.Any, clock))
        made, _ = make_suspects(clock, False, found.find_state)
        for name in names:
            board.endpoints[name] = make_entry(name)
            crash(made, name)
        return cls(clock, board, found, made)

    def is_convicted(self):
        """Whether the request is refused after the next review."""
        self.clock.advance(suspects.REVIEW_INTERVAL_MS)
        return self.suspects.is_convicted(make_work())


def restart(registry, name):
    registry.board.endpoints[name] = make_entry(name, born=2)


def remove(registry, name):
    del registry.board.endpoints[name]


def answer_as_another(registry, name):
    response = message_types.ResponseMetadata(instance="e-9")
    registry.notices.record_response(make_entry(name), response)


@params(restart, remove, answer_as_another)
def test_endpoint_that_ends_soon_after_a_broken_run_has_crashed(end):
    """Something else accepts connections at its address."""
    registry = Registry.with_endpoints("e-1", "e-2", "e-3")
    end(registry, "e-1")
    end(registry, "e-2")
    assert not registry.is_convicted()
    end(registry, "e-3")
    assert registry.is_convicted()


def test_endpoint_that_ends_soon_after_an_abandoned_run_has_crashed():
    """It crashed later, or its host fell silent."""
    registry = Registry.with_endpoints()
    for name in ("e-1", "e-2", "e-3"):
        entry = make_entry(name)
        registry.board.endpoints[name] = entry
        registry.suspects.record_abandoned_run(make_work(), entry, 600.0)
    assert not registry.is_convicted()
    for name in ("e-1", "e-2", "e-3"):
        remove(registry, name)
    assert registry.is_convicted()


def test_endpoint_that_ends_long_after_a_broken_run_has_not_crashed():
    """Connections were reset, and later the endpoints are replaced."""
    registry = Registry.with_endpoints("e-1", "e-2", "e-3")
    registry.clock.advance(suspects.ENDED_WITHIN_MS)
    assert not registry.is_convicted()
    for name in ("e-1", "e-2", "e-3"):
        restart(registry, name)
    assert not registry.is_convicted()


def test_endpoint_that_leaves_after_a_broken_run_has_not_crashed():
    """Connections were reset while the endpoints were being drained."""
    names = ("e-1", "e-2", "e-3")
    registry = Registry.with_endpoints(*names)
    for name in names:
        entry = make_entry(name, leaving=True)
        registry.board.endpoints[name] = entry
    assert not registry.is_convicted()
    for name in names:
        remove(registry, name)
    assert not registry.is_convicted()


@params([], ["e-1"])
def test_answer_clears_crashes_that_become_known_after_it(known):
    """The endpoints' ends are noticed seconds after the answer."""
    names = ("e-1", "e-2", "e-3")
    registry = Registry.with_endpoints(*names)
    for name in known:
        restart(registry, name)
    assert not registry.is_convicted()
    registry.suspects.record_answer(make_work())
    for name in names:
        restart(registry, name)
    assert not registry.is_convicted()


def test_answer_during_the_probes_clears_the_runs_that_broke_off():
    """The same request is answered for another caller meanwhile."""
    made, _ = make_suspects()
    answered = trio.Event()

    async def wait_for_answer(address):
        await answered.wait()
        return True

    async def main():
        async with trio.open_nursery() as nursery:
            for name in ("e-1", "e-2", "e-3"):
                entry = make_entry(name)
                nursery.start_soon(
                    made.record_broken_run, make_work(), entry, 5.0
                )
            await trio.testing.wait_all_tasks_blocked()
            made.record_answer(make_work())
            answered.set()

    made.probe = wait_for_answer
    trio.run(main)
    assert not made.is_convicted(make_work())


def test_crash_counts_though_the_caller_left_during_the_probe():
    """Callers give up while the entry VM waits for the probe."""

    async def leave(made, name):
        with trio.move_on_after(0.01):
            await made.record_broken_run(make_work(), make_entry(name), 5.0)

    registry = Registry.with_endpoints()
    registry.suspects.probe = lambda address: trio.sleep_forever()
    for name in ("e-1", "e-2", "e-3"):
        trio.run(leave, registry.suspects, name)
    assert registry.is_convicted()


def test_conviction_by_crashes_of_several_entry_vms_is_passed_on():
    """Each has seen a part of them, and all may be restarted next."""
    made = [make_suspects()[0] for _ in range(3)]
    convicted = []
    for number, each in enumerate(made):
        each.on_convicted = lambda _, number=number: convicted.append(number)
    crash(made[0], "e-1", "e-2")
    crash(made[1], "e-3")
    for sender in made:
        for receiver in made:
            receiver.merge("edge/a", sender.describe(), 3_000.0)
    assert all(each.is_convicted(make_work()) for each in made)
    assert sorted(convicted) == [0, 1]


def test_repeated_reports_of_a_crash_count_once():
    """Each report of a peer has the same crashes with other ages."""
    clock = clock_module.ManualClock(10_000_000.0)
    sender, _ = make_suspects(clock)
    receiver, _ = make_suspects(clock)
    crash(sender, "e-1")
    for _ in range(20):
        clock.advance(400.0)
        receiver.merge("edge-1/a", sender.describe(), 3_000.0)
    assert not receiver.is_convicted(make_work())


def test_request_is_refused_until_its_crashes_expire():
    """The endpoint may have been repaired meanwhile."""
    clock = clock_module.ManualClock(10_000_000.0)
    made, _ = make_suspects(clock)
    crash(made, "e-1", "e-2", "e-3")
    wait_ms = made.compute_retry_after_ms(make_work())
    clock.advance(wait_ms - 1.0)
    assert made.is_convicted(make_work())
    clock.advance(2.0)
    assert not made.is_convicted(make_work())


def test_reports_stay_small_when_many_requests_are_suspects():
    """Endpoints with hundreds of requests in flight crash."""
    clock = clock_module.ManualClock(10_000_000.0)
    made, _ = make_suspects(clock)
    bad = make_work(b"bad")
    crash(made, "e-1", "e-2", "e-3", work=bad)
    clock.advance(1_000.0)
    for number in range(500):
        work = make_work(b"%d" % number)
        crash(made, "e-4", "e-5", work=work)
        if number % 2:
            made.record_answer(work)
    assert len(cbor2.dumps(made.describe())) < MAX_REPORT_BYTES
    clock.advance(suspects.REPORTED_MS)
    (reported,) = made.describe()
    assert reported[0] == bytes.fromhex(bad.fingerprint)


def test_newest_suspect_with_several_crashes_is_in_each_report():
    """Other failure domains get few reports, and crash more endpoints."""
    clock = clock_module.ManualClock(10_000_000.0)
    made, _ = make_suspects(clock)
    for number in range(10):
        crash(made, "e-1", "e-2", work=make_work(b"earlier %d" % number))
    clock.advance(10.0)
    bad = make_work(b"bad")
    crash(made, "e-3", "e-4", work=bad)
    clock.advance(10.0)
    for number in range(60):
        crash(made, "e-5", work=make_work(b"%d" % number))
    for _ in range(8):
        reported = {row[0].hex() for row in made.describe()}
        assert bad.fingerprint in reported


def test_all_suspects_are_reported_in_turn():
    """Many are in flight when an endpoint crashes, one of them crashed it."""
    made, _ = make_suspects()
    works = [make_work(b"%d" % number) for number in range(60)]
    for work in works:
        crash(made, "e-1", work=work)
    reported = {row[0].hex() for _ in range(8) for row in made.describe()}
    assert reported == {work.fingerprint for work in works}
    crash(made, "e-2", "e-3", work=make_work(b"bad"))
    reported = {row[0].hex() for _ in range(9) for row in made.describe()}
    assert reported > {work.fingerprint for work in works}


def test_suspects_that_were_dropped_are_not_reported():
    """More requests are suspects than are remembered."""
    made, _ = make_suspects()
    for number in range(suspicion.MAX_SUSPECTS + 5):
        made.add_crash(f"{number:016x}", "1", 0)
    for _ in range(20):
        assert len(made.describe()) == suspects.MAX_SUSPECTS_PER_REPORT


@params(
    5,
    [5],
    [[b"\x00"]],
    [["text", [], None]],
    [[b"\x00", [[1]], None]],
    [[b"\x00", [["x", 1]], None]],
    [[b"\x00", [[1, 2]], "x"]],
)
def test_malformed_reports_raise_an_error_of_decoding(value):
    """A datagram of another version is logged and dropped."""
    made, _ = make_suspects()
    try:
        made.merge("edge-1/a", value, 3_000.0)
    except load_report_messages.DECODE_ERRORS:
        return
    raise AssertionError("accepted")


# An entry VM notices a crash after another one has had an answer.
LATE_NOTICE = [
    ("crash", 1, 0),
    ("answer", 1, 0),
    ("crash", 0, 0),
    ("crash", 0, 1),
    ("crash", 0, 2),
]
# The last crash is seen by another entry VM, and one before the answer.
CRASH_BEFORE_ANSWER = [
    ("crash", 0, 1),
    ("answer", 0, 0),
    ("crash", 0, 2),
    ("crash", 0, 3),
    ("crash", 1, 0),
]


@example(LATE_NOTICE)
@example(CRASH_BEFORE_ANSWER)
@settings(derandomize=True, max_examples=300, deadline=None)
@given(STEPS)
def test_entry_vms_that_exchange_reports_agree_in_any_order(steps):
    """Crashes, answers and reports reach entry VMs in different orders."""
    clock = clock_module.ManualClock(10_000_000.0)
    made = [make_suspects(clock)[0] for _ in range(3)]
    for kind, vm, other in steps:
        clock.advance(10.0)
        match kind:
            case "crash":
                crash(made[vm], f"e-{other}")
            case "answer":
                made[vm].record_answer(make_work())
            case "report":
                made[other].merge("edge/a", made[vm].describe(), 3_000.0)
    for _ in range(2):
        for sender in made:
            for receiver in made:
                receiver.merge("edge/a", sender.describe(), 3_000.0)
    assert len({each.is_convicted(make_work()) for each in made}) == 1
