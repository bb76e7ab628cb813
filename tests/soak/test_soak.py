"""Short runs of the soak keep the rules on retries and partitions."""

from tests.soak import run
from tests.soak import schedule

SEED = 10
SECONDS = 20.0
MIN_ANSWERED = 200
MIN_REFUSED = 20
PARTITION_SEED = 2
PARTITION_SECONDS = 24.0
HARD_LOAD_SEED = 1
HARD_LOAD_SECONDS = 14.0
CROWD_SEED = 3
CROWD_SECONDS = 20.0
CROWD_FAULTS = (
    schedule.Fault.CROWD,
    schedule.Fault.CROWD,
    schedule.Fault.VM_STOPPED,
    schedule.Fault.VM_KILLED,
    schedule.Fault.VM_RELOADED,
)
REFUSAL_CLAUSES = ("customers", "refused runs", "idle room")


def test_the_seed_kills_and_cuts_entry_vms_and_crashes_endpoints():
    """Overlapping series of faults hit entry VMs and endpoints."""
    faults = {
        each.fault for each in schedule.draw_faults(SEED, SECONDS * 1000)
    }
    assert schedule.Fault.CRASHING_REQUEST in faults
    assert schedule.Fault.ALL_VMS_KILLED in faults


def test_entry_vm_processes_keep_the_retry_rules_under_faults():
    """Repeats pile up while entry VMs, links, store and endpoints fail."""
    soak, result = run.run_seed(SEED, SECONDS)
    assert not result.broken, (result.violations, str(soak.folder))
    assert result.ends_unasked == 0, "an entry VM ended by itself"
    assert result.answered > MIN_ANSWERED, "too few answers for a valid check"


def test_callers_of_entry_vms_without_endpoints_are_served():
    """The others reach the endpoints, and callers reach all entry VMs."""
    soak, result = run.run_seed(
        PARTITION_SEED, PARTITION_SECONDS, kinds=(schedule.Fault.PARTITION,)
    )
    assert len(result.partitions) > 1, "no partitions for a valid check"
    assert not result.broken, (result.violations, str(soak.folder))
    assert result.ends_unasked == 0, "an entry VM ended by itself"


def test_refusals_under_hard_load_are_true_and_beside_no_free_places():
    """A flood by a customer and a burst by rank take all places."""
    soak, result = run.run_seed(
        HARD_LOAD_SEED,
        HARD_LOAD_SECONDS,
        kinds=(schedule.Fault.CUSTOMER_FLOOD, schedule.Fault.RANK_BURST),
    )
    refused = [s for s in soak.history.statuses.values() if s == 503]
    assert len(refused) > MIN_REFUSED, "too few refusals for a valid check"
    for clause in REFUSAL_CLAUSES:
        found = result.violations[clause]
        assert not found, (clause, found, str(soak.folder))
    assert result.ends_unasked == 0, "an entry VM ended by itself"


def test_crowds_end_no_process_and_others_get_answers():
    """Clients that misbehave stay until their entry VM has ended."""
    soak, result = run.run_seed(CROWD_SEED, CROWD_SECONDS, kinds=CROWD_FAULTS)
    assert not result.broken, (result.violations, str(soak.folder))
    assert result.ends_unasked == 0, "an entry VM ended by itself"
    assert result.answered > MIN_ANSWERED, "too few answers for a valid check"
