"""What cold endpoints get, and evacuated failure domains, without I/O."""

import json

from nose2.tools import params

from carawayward import clock as clock_module
from carawayward.decisions import cold_starts as decisions
from carawayward.decisions import engine_load
from carawayward.forwarding import board as board_module
from carawayward.forwarding import cold_starts
from carawayward.forwarding import declarations
from carawayward.forwarding import facts
from carawayward.forwarding import fleet as fleet_module
from carawayward.forwarding import keyed_log
from carawayward.forwarding import registry
from carawayward.forwarding import settings
from carawayward.forwarding import store_contact
from carawayward.forwarding import table
from carawayward.platform import records
from tests.common import forwarding

MEMBERS = tuple(f"vm-{number}" for number in range(18))
BOUNDS = settings.Bounds(cold_overshoot=1.5, cold_slack=5.0)
BOUND = 5.3 * 1.5 + 5.0


def make_table(**changes):
    """A table with engines that are cold for three seconds."""
    config = forwarding.make_config()
    engines = config["services"][1]
    engines |= {"coldStartS": 3.0, "coldPerS": 5.3, **changes}
    return records.read_table(config)


def make_entry(name="e-1", domain="north", cold_ms=2_000.0, born=1):
    return facts.EndpointEntry(
        name=name,
        service="engines",
        address="10.0.0.1:80",
        failure_domain=domain,
        born=born,
        cold_ms=cold_ms,
    )


def make_board(*entries, name=MEMBERS[0], known=None):
    """A board that has just read these entries."""
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
        contact=store_contact.StoreContact(clock),
        decode=lambda record: known.get(record.key),
        heartbeat_ms=1_200.0,
        find_poll_ms=lambda: 1_000.0,
    )


def make_cold_starts(board, clock, members=MEMBERS, age_ms=5_000.0):
    made = cold_starts.ColdStarts(board, clock, lambda domain: members)
    made.started_ms = clock.now - age_ms
    return made


def test_cold_endpoint_gets_its_bound_from_all_entry_vms_together():
    """Each entry VM keeps to a bound of its own, and the sum is a herd."""
    sent = 0
    for name in MEMBERS:
        board, clock, _ = make_board(make_entry(), name=name)
        made = make_cold_starts(board, clock)
        while "e-1" not in made.list_closed():
            made.record_sent(made.take(board.endpoints["e-1"]))
            sent += 1
    assert 1 <= sent <= decisions.ASSIGNED_PART * BOUND


def test_entry_vm_of_another_failure_domain_holds_no_permit():
    """Each of them counts itself among the holders, and some are."""
    for number in range(60):
        board, clock, _ = make_board(make_entry(), name=f"other-{number}")
        assert make_cold_starts(board, clock).list_closed() == {"e-1"}


def find_holder(members=MEMBERS, endpoint="e-1"):
    return next(
        name
        for name in members
        if decisions.share_permits(name, members, endpoint, 6)
    )


def test_permit_counts_until_a_window_after_its_request_was_sent():
    """A connection takes long; its request goes out beside later ones."""
    board, clock, _ = make_board(
        make_entry(cold_ms=50_000.0), name=find_holder()
    )
    made = make_cold_starts(board, clock)
    permits = []
    while "e-1" not in made.list_closed():
        permits.append(made.take(board.endpoints["e-1"]))
    clock.now += 5_000.0
    assert "e-1" in made.list_closed()
    for permit in permits:
        made.record_sent(permit)
        made.give_back(permit)
    clock.now += 1_000.0
    assert "e-1" in made.list_closed()
    clock.now += 100.0
    assert not made.list_closed()


def test_permit_of_a_request_that_was_not_sent_is_free_at_once():
    """Connections that fail use up what a cold endpoint may get."""
    board, clock, _ = make_board(make_entry(), name=find_holder())
    made = make_cold_starts(board, clock)
    permits = []
    while "e-1" not in made.list_closed():
        permits.append(made.take(board.endpoints["e-1"]))
    made.give_back(permits[0])
    assert not made.list_closed()


def test_process_that_has_just_started_sends_nothing_to_cold_endpoints():
    """It does not know what its predecessor sent a moment ago."""
    board, clock, _ = make_board(make_entry(), name=find_holder())
    assert make_cold_starts(board, clock, age_ms=900.0).list_closed()
    assert not make_cold_starts(board, clock, age_ms=1_100.0).list_closed()


def test_entry_vm_that_does_not_know_the_others_sends_nothing():
    """All of them would believe that they are alone."""
    board, clock, _ = make_board(make_entry(), name=find_holder())
    made = make_cold_starts(board, clock, members=None)
    assert made.list_closed() == {"e-1"}


@params(
    (0.0, False),
    (2_000.0, True),
    (None, True),
    (1e12, True),
)
def test_endpoint_is_cold_by_what_its_entry_says(cold_ms, cold):
    """Its entry gives no time, a common one or one of years."""
    board, clock, _ = make_board(make_entry(cold_ms=cold_ms))
    made = make_cold_starts(board, clock, members=())
    made.board.name = "alone"
    most = dict(made._list_cold())
    assert bool(most) is cold
    clock.now += decisions.MAX_COLD_MS
    assert not made.list_closed()
    assert not board.cold_reports


def test_endpoint_that_says_nothing_is_cold_once_for_each_start():
    """Each heartbeat begins its cold time anew, and it never gets work."""
    board, clock, reader = make_board(make_entry(cold_ms=None))
    clock.now += 2_950.0
    reader.apply(keyed_log.Record("e-1", b"", 1))
    made = make_cold_starts(board, clock)
    assert not made.list_closed()


def test_endpoint_that_turns_cold_again_is_spared_again():
    """It is taken for warm since it was warm once."""
    board, clock, _ = make_board(make_entry(cold_ms=0.0))
    reader = make_reader(board, clock, [make_entry(cold_ms=2_500.0)])
    reader.apply(keyed_log.Record("e-1", b"", 1))
    made = make_cold_starts(board, clock, members=None)
    assert made.list_closed() == {"e-1"}
    clock.now += 2_500.0
    assert not made.list_closed()


def test_deployment_without_cold_endpoints_behaves_as_before():
    """Bounds and services say nothing of cold endpoints."""
    board, clock, _ = make_board(
        make_entry(), known=records.read_table(forwarding.make_config())
    )
    made = make_cold_starts(board, clock, members=None)
    assert not made.list_closed()


@params("soon", None, -1, float("nan"), float("inf"), True, [])
def test_cold_times_that_cannot_be_read_count_as_unknown(value):
    """One server's entry, or a service, gives a time of another kind."""
    entry = {
        "service": "engines",
        "address": "10.0.0.1:80",
        "state": "ready",
        "coldRemainingMs": value,
    }
    found = records.decode_endpoint(
        keyed_log.Record("e-1", json.dumps(entry).encode())
    )
    assert found is not None and found.cold_ms is None
    service = make_table(coldStartS=value, coldPerS=value).services["engines"]
    assert (service.cold_start_ms, service.cold_per_s) == (0.0, None)


def read_evacuation(zone, value=b"{}"):
    return keyed_log.Record(f"evacuate/{zone}", value)


def make_declarations(board, clock):
    return declarations.DeclarationReader(
        board, records.decode_declaration, clock
    )


def list_pool(fleet):
    pool = fleet.find_pool(fleet_module.Want("engines"))
    return {view.name for view in pool.views}


@params(b"{}", b"", b"\xff no json")
def test_evacuated_failure_domain_gets_nothing_until_it_is_lifted(value):
    """An operator empties a failure domain and takes it back."""
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
    # Its endpoints may have turned cold while they had nothing to do.
    made = make_cold_starts(board, clock, members=None)
    assert made.list_closed() == {"e-2"}
    reader.replace([read_evacuation("south", value)])
    assert list_pool(fleet) == {"e-1"}


def test_evacuation_that_a_copy_of_the_store_lacks_goes_on_for_a_while():
    """The copy is older than the order, which is written again."""
    board, clock, _ = make_board(make_entry(cold_ms=0.0))
    reader = make_declarations(board, clock)
    reader.apply(read_evacuation("north"))
    reader.begin_era()
    reader.replace([])
    reader.prove(clock.now + 1_000.0)
    assert board.evacuated == {"north"}
    reader.apply(read_evacuation("north"))
    reader.prove(clock.now + 9_000.0)
    assert board.evacuated == {"north"}
    reader.begin_era()
    reader.replace([])
    reader.prove(clock.now + 2_000.0)
    assert not board.evacuated


def test_prompts_leave_an_evacuated_failure_domain():
    """Its engine keeps the prompt, and would be chosen for that."""
    entries = (
        make_entry("e-1", cold_ms=0.0),
        make_entry("e-2", "south", cold_ms=0.0),
    )
    board, clock, _ = make_board(*entries)
    fleet = fleet_module.Fleet(board, clock)
    prompt = engine_load.Prompt(parts=((1, 900), (2, 100)))
    engine_load.record_cached(fleet.loads, "e-1", prompt.parts, 100_000)
    make_declarations(board, clock).apply(read_evacuation("north"))
    pool = fleet.find_pool(fleet_module.Want("engines"))
    choice = fleet.choose_engine(pool, prompt, frozenset())
    assert choice is not None and choice.name == "e-2"


def test_table_reads_cold_starts():
    """Operators say how long engines are cold and what they bear."""
    service = make_table().services["engines"]
    assert isinstance(service, table.Service)
    assert (service.cold_start_ms, service.cold_per_s) == (3_000.0, 5.3)
