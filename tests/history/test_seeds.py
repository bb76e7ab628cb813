"""Concurrent requests under the faults of fixed seeds violate no property.

The set covers all kinds of faults, alone, combined and repeated. Seeds that
have revealed a defect of the product stay in it.
"""

from nose2.tools import params

from tests.history import events
from tests.history import schedule
from tests.history import search

# Defects found: with 1 and 825450 a request that had crashed two engines was
# refused as "not run". With 118937 a session that was opened while its model
# had no current version was pinned to one later.
FAULT_SEEDS = (1, 825_450, 118_937)
CHOSEN_SEEDS = (0, 41, 48, 83, 148, 676)
MIN_ANSWERED = 40


def test_the_set_has_every_kind_of_fault():
    """The seeds cover every kind of fault."""
    kinds = {
        scheduled.fault
        for seed in (*FAULT_SEEDS, *CHOSEN_SEEDS)
        for scheduled in schedule.draw_faults(seed)
    }
    assert kinds == set(schedule.Fault)


@params(*FAULT_SEEDS, *CHOSEN_SEEDS)
def test_seed_breaks_no_property(seed):
    """Callers send while the seed's faults are injected."""
    check_seed(seed)


def test_killed_nodes_restart_while_the_log_keeps_few_records():
    """Restarted entry VMs recover though the log dropped its first records.

    The log keeps six records per stream, so that neither the first claims
    nor the first documents can be read; seed 0 kills two entry VMs.
    """
    check_seed(0, retain=6)


def check_seed(seed: int, retain: int = 0) -> None:
    """Run a seed; fail with its violations and its trace, if any.

    A run with few answers fails too, since it checks too little.
    """
    run, violations = search.run_seed(seed, retain=retain)
    assert not violations, "\n".join([*violations, *run.trace])
    answered = [
        call for call in run.history.calls if call.kind is events.Kind.ANSWERED
    ]
    assert len(answered) > MIN_ANSWERED, "too few answers for a valid check"
