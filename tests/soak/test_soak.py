"""A short run of the soak keeps the retry rules."""

from tests.soak import run
from tests.soak import schedule

SEED = 10
SECONDS = 20.0
MIN_ANSWERED = 200


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
