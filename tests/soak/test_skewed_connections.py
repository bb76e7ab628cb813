"""Most new connections go to few entry VMs, on real processes."""

from tests.soak import run
from tests.soak import schedule

SEED = 4
SECONDS = 22.0
ENTRY_VMS = 6
# One entry VM has to get more than it can serve.
CORE_SHARE = 0.3
LOAD = 3.5


def test_calls_are_served_while_most_new_connections_go_to_one_entry_vm():
    """It reads what it can serve; callers soon meet the others."""
    soak, result = run.run_seed(
        SEED,
        SECONDS,
        kinds=(schedule.Fault.SKEWED_CONNECTIONS,),
        entry_vms=ENTRY_VMS,
        core_share=CORE_SHARE,
        load=LOAD,
    )
    assert result.skews, "no skew for a valid check"
    assert not result.broken, (result.violations, str(soak.folder))
    assert result.ends_unasked == 0, "an entry VM ended by itself"
