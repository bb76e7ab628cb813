"""What one entry VM lets in while engines are behind, without sockets."""

import functools
import math
import typing
from unittest import mock

import cbor2
from nose2.tools import params
import trio

from bench import load_shedding as bench
from carawayward.commands import explain
from carawayward.decisions import demand as demand_module
from carawayward.decisions import returning
from carawayward import events
from carawayward.forwarding import admission as admission_module
from carawayward.forwarding import demand_items
from carawayward.forwarding import exchange
from carawayward.forwarding import message_types
from carawayward.forwarding import table as table_module
from carawayward.forwarding import work_items

BEHIND_MS = 1_500.0


def make_behind(vms=1, backlog_ms=BEHIND_MS, **changes):
    admission = bench.make_admission(
        4, vms, bench.make_table(**changes) if changes else None
    )
    bench.set_backlog(admission, backlog_ms)
    clock: typing.Any = admission.clock
    clock.advance(1_000.0)
    for peer in admission.reporter.peers.values():
        peer.last_seen_ms = admission.clock.now_ms()
    return admission


def offer(admission, count=60, pause_ms=20.0, **request):
    """Offer requests one after the other; return the refusals."""
    found = []
    for _ in range(count):
        work = bench.make_work(admission.board.table, **request)
        found.append(admission.check(work))
        admission.clock.advance(pause_ms)
    return [refusal for refusal in found if refusal is not None]


def report_demand(admission, rate, rank=0, customer=77, peer="vm-1/1"):
    service = demand_items.hash_service(bench.SERVICE)
    value = [[[service, [[rank, customer, rate]]]], []]
    admission.merge(peer, value, 60_000.0)


def test_nothing_is_refused_while_engines_are_not_behind():
    admission = make_behind(backlog_ms=100.0)
    assert not offer(admission, count=200)


def test_least_urgent_is_refused_with_a_time_while_the_urgent_gets_in():
    """The engines are behind and the peers ask for all of their room."""
    admission = make_behind(vms=2, backlog_ms=450.0)
    refusals = []
    for _ in range(30):
        report_demand(admission, 5e5, rank=1)
        assert not offer(admission, count=1, route=0)
        refusals += offer(admission, count=1, route=1)
    assert len(refusals) > 20
    assert refusals[0].cause == "room went to others"
    assert 1_000.0 <= refusals[0].retry_after_ms <= 5_000.0


def test_process_that_has_seen_no_first_token_refuses_nothing():
    """Its pace of the engines may be wrong by a factor of ten."""
    admission = make_behind()
    admission.rooms[bench.SERVICE].waits_seen = 0
    assert not offer(admission, count=100, route=1)


def test_process_that_knows_no_peers_yet_refuses_nothing():
    admission = make_behind(vms=2)
    admission.reporter.joined = False
    assert not offer(admission, count=100, route=1)


@params(
    {"last_event": 4},
    {"runs": 1},
    {"earlier_may_have_run": True},
    {"deadline_ms": 11_500.0},
    {"metadata": message_types.RequestMetadata(request_id="r")},
)
def test_request_that_would_lose_by_waiting_is_not_refused(changes):
    """It has run, is the rest of a stream, or its deadline is near."""
    admission = make_behind()
    assert offer(admission, count=100, route=1)
    assert not offer(admission, count=100, route=1, pause_ms=1.0, **changes)


@params(
    ({}, True),
    ({"customers_by_key": {}}, True),
    ({"routes": (bench.make_route("one"),)}, True),
    ({"routes": (bench.make_route("one"),), "keyed": False}, False),
    (
        {
            "routes": (bench.make_route("one"),),
            "customers_by_key": {
                key: table_module.Customer("alone") for key in "abc"
            },
        },
        False,
    ),
    ({"services": {"engines": table_module.Service(name="engines")}}, False),
    ({"routes": ()}, False),
)
def test_it_is_on_only_where_callers_differ_and_engines_serve(changes, on):
    """One customer with three keys and one rank is nobody's competitor."""
    table = bench.make_table(**changes)
    assert bool(demand_items.list_contended(table)) is on


def test_customer_without_a_key_and_odd_ranks_are_counted():
    admission = make_behind()
    for rank in (-3, 0, 9, 700):
        offer(admission, count=1, customer="", rank=rank)
    keys = admission.rooms[bench.SERVICE].demand.own
    assert {rank for rank, _ in keys} <= {0, 9}
    assert all(customer != demand_module.OTHERS for _, customer in keys)


def test_service_without_usable_engines_refuses_nothing_here():
    """What endpoints say of themselves is refused with its own cause."""
    admission = make_behind()
    for name, entry in list(admission.board.endpoints.items()):
        admission.board.endpoints[name] = message_types.EndpointEntry(
            name=name,
            service=entry.service,
            address=entry.address,
            failure_domain="north",
            slots=0,
        )
    admission.board.generation += 1
    assert not offer(admission, route=1)


def test_reports_carry_demand_only_while_engines_are_behind():
    """The own demand reaches a peer, and refused callers are recognised."""
    quiet = make_behind(backlog_ms=50.0)
    offer(quiet, count=5)
    assert quiet.describe() is None
    sender, receiver = make_behind(), make_behind(vms=2)
    refused = offer(sender, route=1)
    value = cbor2.loads(cbor2.dumps(sender.describe()))
    assert len(cbor2.dumps(value)) < 250
    receiver.merge("vm-1/1", value, 3_000.0)
    room = receiver.rooms[bench.SERVICE]
    work = bench.make_work(sender.board.table, route=1)
    assert refused
    assert room.demand.peer_totals[demand_items.make_key(work)] > 0.0
    assert receiver.refusals.expected
    receiver.merge("vm-1/2", value, 3_000.0)
    assert len(room.demand.peers) == 1


@params(
    None,
    [],
    [[], [], []],
    [[[1, [[0, 1]]]], []],
    [[[1, [[0, 1, "much"]]]], []],
    [[[1, [[0, 1, -1.0]]]], []],
    [[[1, [[0, 1, math.inf]]]], []],
    [[[1, [[0, 1, math.nan]]]], []],
    [[[1, [[10, 1, 1.0]]]], []],
    [[[1, [[0, 1, 1.0]] * 100]], []],
    [[[1, []]] * 100, []],
    [[], [[1, -1.0]]],
    [[], [[1, 1.0]] * 100],
)
def test_malformed_reports_are_refused_whole(value):
    """A broken peer's report changes nothing, and the caller logs it."""
    admission = make_behind(vms=2)
    try:
        admission.merge("vm-1/1", value, 3_000.0)
    except (TypeError, ValueError):
        assert not admission.rooms[bench.SERVICE].demand.peers
        return
    raise AssertionError("accepted")


def test_peer_that_claims_any_demand_takes_no_more_than_the_room():
    admission = make_behind(vms=2)
    offer(admission, count=1)
    report_demand(admission, 1e15)
    room = admission.rooms[bench.SERVICE]
    total = sum(room.demand.peer_totals.values())
    assert total <= room.gate.engines.rate


def test_refused_caller_is_told_when_and_goes_first_then():
    """At any entry VM that has had the report of its refusal."""
    admission = make_behind()
    digests = []
    with mock.patch.object(returning, "record") as record:
        offer(admission, route=1, count=30)
        digests = [call.args[1] for call in record.call_args_list]
    work = bench.make_work(admission.board.table, route=1)
    assert digests
    assert set(digests) == {demand_items.digest_caller(work)}
    now_ms = admission.clock.now_ms()
    returning.record(admission.refusals, digests[0], now_ms, now_ms)
    assert admission.check(work) is None


@params(0.0, 15_000.0)
def test_wrong_pace_of_engines_is_corrected_by_own_prompts(ahead):
    """The model takes them for ten times as slow as they are.

    So it does when a process has just started. The engines that its prompts
    go to may have nothing else to read.
    """
    admission = make_behind(backlog_ms=1_000.0)
    model = admission.fleet.get_latency_model(bench.SERVICE)
    work = bench.make_work(admission.board.table)
    for _ in range(20):
        work.backlog = ahead + 3_000.0
        took_ms = 0.1 * work.backlog * model.token_ms
        work.progress.ttft_ms = model.base_ms + took_ms
        admission.record_first_token(work, 3_000.0)
    admission.clock.advance(1_000.0)
    assert not offer(admission, count=100, route=1)


def test_shared_parts_count_as_far_as_engines_read_them():
    admission = make_behind()
    work = bench.make_work(admission.board.table)
    compute = functools.partial(demand_items.compute_weight, work)
    assert compute(0.0) == 1_500.0
    assert compute(1.0) == 4_500.0
    for _ in range(100):
        admission.record_reading(work, 0.5 * (3_000.0 + 1_500.0))
    part = admission.rooms[bench.SERVICE].unread_part
    assert abs(part - 0.25) < 0.01


def test_escalations_count_as_demand():
    """Else engines fill with work that the shares know nothing of."""
    admission = make_behind()
    demand = admission.rooms[bench.SERVICE].demand
    demand.own.clear()
    work = bench.make_work(admission.board.table, model=0)
    admission.record_reading(work, 100.0)
    assert not demand.own
    cases: list[tuple[dict[str, typing.Any], float]] = [
        ({"model": 1}, 50.0),
        ({"runs": 1}, 100.0),
    ]
    for changes, weight in cases:
        demand.own.clear()
        work = bench.make_work(admission.board.table, **changes)
        admission.record_reading(work, 100.0)
        assert demand.own == {demand_items.make_key(work): weight}


def test_refusals_are_explained_and_counted():
    """The event says who was ahead; counters have rank and customer class."""
    admission = make_behind(vms=2)
    report_demand(admission, 1e9, rank=1)
    with mock.patch.object(events, "log_event") as log_event:
        offer(admission, count=20, route=1)
    fields = log_event.call_args.kwargs
    assert log_event.call_args.args == (events.Event.REQUEST_SHED,)
    assert fields["ahead"] == "ranks up to 1"
    assert fields["share"] < 0.2
    assert fields["age_ms"] <= admission_module.UPDATE_INTERVAL_MS
    line = '{"name": "request_shed", "request": "r-1", "ahead": "%s"}'
    rows = explain.format_request_log("r-1", [line % fields["ahead"]])
    assert "ahead=ranks up to 1" in rows[0]
    labels = {
        name: dict(series).keys()
        for name, series in admission.metrics.counters
    }
    assert labels["shed"] == {"service", "rank", "customer"}


def test_refused_request_reaches_no_endpoint():
    """The caller gets 503 with the time at once; no engine has cost."""
    placer, reply = mock.Mock(), mock.AsyncMock(started=False)
    admission, suspects = mock.Mock(), mock.Mock()
    admission.check.return_value = admission_module.Refusal("room", 2_000.0)
    suspects.is_convicted.return_value = False
    forwarder = exchange.Forwarder(
        mock.Mock(now_ms=lambda: 0.0),
        mock.Mock(internal_headers=frozenset()),
        placer,
        mock.Mock(),
        mock.Mock(),
        mock.Mock(),
        suspects,
        admission,
    )
    work = bench.make_work(bench.make_table())
    trio.run(forwarder.serve, work, reply)
    status, headers = reply.start.call_args.args
    assert status == 503
    assert 1.5 <= float(dict(headers)[b"retry-after"]) <= 2.5
    assert not placer.method_calls


def test_first_token_is_recorded_once_with_the_prompts_weight():
    seen: list[float] = []
    reading = work_items.Reading(
        mock.Mock(), "e", 7.0, on_first_token=seen.append
    )
    reading.observe_ttft()
    reading.observe_ttft()
    assert seen == [7.0]
