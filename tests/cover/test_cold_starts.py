"""Tests of cold-start limits and of evacuated failure domains, no I/O."""

import json

from nose2.tools import params

from carawayward import clock as clock_module
from carawayward.decisions import cold_starts as decisions
from carawayward.decisions import engine_load
from carawayward.forwarding import board as board_module
from carawayward.forwarding import cold_starts
from carawayward.forwarding import declarations
from carawayward.forwarding import fleet as fleet_module
from carawayward.forwarding import keyed_log
from carawayward.forwarding import message_types
from carawayward.forwarding import registry
from carawayward.forwarding import settings
from carawayward.forwarding import store_outages
from carawayward.forwarding import table
from carawayward.platform import records
from tests.common import forwarding

MEMBERS = tuple(f"vm-{number}" for number in range(18))
BOUNDS = settings.Bounds(cold_overshoot=1.5, cold_slack=5.0)
BOUND = 5.3 * 1.5 + 5.0


def make_table(**changes):
    """Make a table with engines that are cold for three seconds."""
    config = forwarding.make_config()
    engines = config["services"][1]
    engines |= {"coldStartS": 3.0, "coldPerS": 5.3, **changes}
    return records.read_table(config)


def make_entry(name="e-1", domain="north", cold_ms=2_000.0, born=1):
    return message_types.EndpointEntry(
        name=name,
        service="engines",
        address=f"{name}:80",
        failure_domain=domain,
        born=born,
        cold_ms=cold_ms,
    )


def make_board(*entries, name=MEMBERS[0], known=None):
    """Make a board that has just read these entries."""
    clock = clock_module.ManualClock(10_000.0)
    board = board_module.ForwardingBoard(
        name=name, failure_domain="north", bounds=BOUNDS
    )
    board.table = known or make_table()
    reader = make_reader(board, clock, entries)
    reader.replace([keyed_log.Record(e.name, b"") for e in entries])
    clock.now += 100.0
    return board, clock, reader


def make_reader(board, clock, entries):
    known = {entry.name: entry for entry in entries}
    return registry.RegistryReader(
        board=board,
        outages=store_outages.OutageTracker(clock),
        decode=lambda record: known.get(record.key),
        heartbeat_ms=1_200.0,
        get_poll_wait_ms=lambda: 1_000.0,
    )


def make_limiter(board, clock, members=MEMBERS, age_ms=5_000.0):
    limiter = cold_starts.ColdStartLimiter(
        board, clock, lambda domain: members
    )
    limiter.started_ms = clock.now - age_ms
    return limiter


def test_all_entry_vms_together_stay_within_a_cold_endpoints_bound():
    """Each entry VM alone keeps to the bound; together they exceed it."""
    sent = 0
    for name in MEMBERS:
        board, clock, _ = make_board(make_entry(), name=name)
        limiter = make_limiter(board, clock)
        while "e-1" not in limiter.list_exhausted():
            limiter.record_sent(limiter.acquire(board.endpoints["e-1"]))
            sent += 1
    assert 1 <= sent <= decisions.ASSIGNED_PART * BOUND


def test_entry_vm_of_another_failure_domain_holds_no_permit():
    """An entry VM ranks itself among the holders though it is not listed."""
    for number in range(60):
        board, clock, _ = make_board(make_entry(), name=f"other-{number}")
        assert make_limiter(board, clock).list_exhausted() == {"e-1"}


def find_holder(members=MEMBERS, endpoint="e-1"):
    return next(
        name
        for name in members
        if decisions.share_permits(name, members, endpoint, 6)
    )


def test_permit_counts_until_a_window_after_its_request_was_sent():
    """A slow connection sends its request together with later ones."""
    board, clock, _ = make_board(
        make_entry(cold_ms=50_000.0), name=find_holder()
    )
    limiter = make_limiter(board, clock)
    permits = []
    while "e-1" not in limiter.list_exhausted():
        permits.append(limiter.acquire(board.endpoints["e-1"]))
    clock.now += 5_000.0
    assert "e-1" in limiter.list_exhausted()
    for permit in permits:
        limiter.record_sent(permit)
        limiter.release(permit)
    clock.now += 1_000.0
    assert "e-1" in limiter.list_exhausted()
    clock.now += 100.0
    assert not limiter.list_exhausted()


def test_permit_of_a_request_that_was_not_sent_is_free_at_once():
    """Failed connections use up the permits of a cold endpoint."""
    board, clock, _ = make_board(make_entry(), name=find_holder())
    limiter = make_limiter(board, clock)
    permits = []
    while "e-1" not in limiter.list_exhausted():
        permits.append(limiter.acquire(board.endpoints["e-1"]))
    limiter.release(permits[0])
    assert not limiter.list_exhausted()


def test_process_that_has_just_started_sends_nothing_to_cold_endpoints():
    """It does not know what the previous process sent within the window."""
    board, clock, _ = make_board(make_entry(), name=find_holder())
    assert make_limiter(board, clock, age_ms=900.0).list_exhausted()
    assert not make_limiter(board, clock, age_ms=1_100.0).list_exhausted()


def test_entry_vm_that_does_not_know_the_others_sends_nothing():
    """Each would act as if it were the only one, and use the whole bound."""
    board, clock, _ = make_board(make_entry(), name=find_holder())
    limiter = make_limiter(board, clock, members=None)
    assert limiter.list_exhausted() == {"e-1"}


@params(
    (0.0, False),
    (2_000.0, True),
    (None, True),
    (1e12, True),
)
def test_endpoint_is_cold_for_the_time_in_its_entry(cold_ms, cold):
    """Its entry gives zero, seconds, no time, or years."""
    board, clock, _ = make_board(make_entry(cold_ms=cold_ms))
    limiter = make_limiter(board, clock, members=())
    limiter.board.name = "alone"
    max_permits = dict(limiter._list_cold())
    assert bool(max_permits) is cold
    clock.now += decisions.MAX_COLD_MS
    assert not limiter.list_exhausted()
    assert not board.cold_reports


def test_endpoint_without_cold_time_is_cold_once_per_start():
    """Each heartbeat restarts its cold time, so it never gets requests."""
    board, clock, reader = make_board(make_entry(cold_ms=None))
    clock.now += 2_950.0
    reader.apply(keyed_log.Record("e-1", b"", 1))
    limiter = make_limiter(board, clock)
    assert not limiter.list_exhausted()


def test_endpoint_that_becomes_cold_again_is_limited_again():
    """An endpoint that was warm once is assumed to stay warm."""
    board, clock, _ = make_board(make_entry(cold_ms=0.0))
    reader = make_reader(board, clock, [make_entry(cold_ms=2_500.0)])
    reader.apply(keyed_log.Record("e-1", b"", 1))
    limiter = make_limiter(board, clock, members=None)
    assert limiter.list_exhausted() == {"e-1"}
    clock.now += 2_500.0
    assert not limiter.list_exhausted()


def test_services_without_cold_start_settings_are_not_limited():
    """The settings and the services do not mention cold endpoints."""
    board, clock, _ = make_board(
        make_entry(), known=records.read_table(forwarding.make_config())
    )
    limiter = make_limiter(board, clock, members=None)
    assert not limiter.list_exhausted()


@params("soon", None, -1, float("nan"), float("inf"), True, [])
def test_invalid_cold_times_are_not_used(value):
    """An entry or a service gives a cold time of the wrong type or range.

    The entry is another writer's and names no endpoint. Without the cold time
    of a service its endpoints count as warm.
    """
    entry = {
        "service": "engines",
        "address": "10.0.0.1:80",
        "zone": "north",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
    }

    def decode(**changes):
        raw = json.dumps({**entry, **changes}).encode()
        return records.decode_endpoint(keyed_log.Record("e-1", raw))

    assert decode() is not None
    assert decode(coldRemainingMs=value) is None
    service = make_table(coldStartS=value, coldPerS=value).services["engines"]
    assert (service.cold_start_ms, service.cold_per_s) == (0.0, None)


def read_evacuation(zone, value=b"{}"):
    return keyed_log.Record(f"evacuate/{zone}", value)


def make_declarations(board, clock):
    return declarations.DeclarationReader(
        board, records.decode_declaration, clock
    )


def list_pool(fleet):
    pool = fleet.find_pool(fleet_module.EndpointFilter("engines"))
    return {view.name for view in pool.views}


@params(b"{}", b"", b"\xff no json")
def test_evacuated_failure_domain_gets_nothing_until_it_is_lifted(value):
    """An operator evacuates a failure domain and lifts the order later."""
    entries = (
        make_entry("e-1", cold_ms=0.0),
        make_entry("e-2", "south", cold_ms=0.0),
    )
    board, clock, _ = make_board(*entries)
    fleet, reader = (
        fleet_module.Fleet(board, clock),
        make_declarations(board, clock),
    )
    assert list_pool(fleet) == {"e-1", "e-2"}
    reader.apply(read_evacuation("south", value))
    reader.apply(read_evacuation("nowhere", value))
    reader.apply(read_evacuation("", value))
    assert list_pool(fleet) == {"e-1"}
    reader.apply(read_evacuation("north", value))
    assert list_pool(fleet) == set()
    reader.apply(read_evacuation("south", None))
    assert list_pool(fleet) == {"e-2"}
    # Its endpoints may have become cold while they were idle.
    limiter = make_limiter(board, clock, members=None)
    assert limiter.list_exhausted() == {"e-2"}
    reader.replace([read_evacuation("south", value)])
    assert list_pool(fleet) == {"e-1"}


def test_evacuation_missing_from_a_restored_store_stays_for_a_while():
    """The store's copy is older than the order, which is written again."""
    board, clock, _ = make_board(make_entry(cold_ms=0.0))
    reader = make_declarations(board, clock)
    reader.apply(read_evacuation("north"))
    reader.begin_era()
    reader.replace([])
    reader.mark_current(clock.now + 1_000.0)
    assert board.evacuated == {"north"}
    reader.apply(read_evacuation("north"))
    reader.mark_current(clock.now + 9_000.0)
    assert board.evacuated == {"north"}
    reader.begin_era()
    reader.replace([])
    reader.mark_current(clock.now + 2_000.0)
    assert not board.evacuated


def test_prompts_leave_an_evacuated_failure_domain():
    """Its engine has the prompt cached, and would be preferred for that."""
    entries = (
        make_entry("e-1", cold_ms=0.0),
        make_entry("e-2", "south", cold_ms=0.0),
    )
    board, clock, _ = make_board(*entries)
    fleet = fleet_module.Fleet(board, clock)
    prompt = engine_load.Prompt(parts=((1, 900), (2, 100)))
    engine_load.record_cached(fleet.loads, "e-1", prompt.parts, 100_000)
    make_declarations(board, clock).apply(read_evacuation("north"))
    pool = fleet.find_pool(fleet_module.EndpointFilter("engines"))
    choice = fleet.choose_engine(pool, prompt, frozenset())
    assert choice is not None and choice.name == "e-2"


def test_table_reads_cold_starts():
    """Operators configure the cold-start time and the rate limit."""
    service = make_table().services["engines"]
    assert isinstance(service, table.Service)
    assert (service.cold_start_ms, service.cold_per_s) == (3_000.0, 5.3)
