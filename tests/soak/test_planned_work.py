"""Stops, reloads and changes of the configuration lose no request."""

from tests.soak import lost
from tests.soak import run
from tests.soak import schedule

# Its stops, in series, meet requests that wait in the queues of engines.
SEED = 51
SECONDS = 25.0
KINDS = (
    schedule.Fault.VM_STOPPED,
    schedule.Fault.ROLLING_STOP,
    schedule.Fault.VM_RELOADED,
    schedule.Fault.CONFIG_CHANGED,
    schedule.Fault.CONFIG_STORM,
    schedule.Fault.CONFIG_IDLE_LIMIT,
    schedule.Fault.ENGINES_QUEUE,
)
MIN_STOPS = 9


def test_each_request_gets_an_answer_or_a_refusal_under_planned_work():
    """Entry VMs stop and reload while callers use their open connections."""
    soak, result = run.run_seed(SEED, SECONDS, kinds=KINDS)
    assert result.stops >= MIN_STOPS, "too few stops for a valid check"
    assert result.reloads, "no reload for a valid check"
    for clause in lost.CHECKERS:
        found = result.violations[clause]
        assert not found, (clause, found, str(soak.folder))
    assert result.ends_unasked == 0, "an entry VM ended by itself"
