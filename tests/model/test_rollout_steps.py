"""A roll-out is decided once, whichever entry VM fails at whichever step."""

import itertools

from carawayward.forwarding import message_types
from tests.model import rollout_steps


def test_nothing_is_written_over_what_was_decided():
    """Entry VMs with different verdicts decide while the store loses answers.

    A final status is kept, and no entry VM adopts another one.
    """
    for pair in itertools.combinations(rollout_steps.BELIEFS, 2):
        found = rollout_steps.explore(pair)
        assert not found.fault, (pair, found.fault, found.steps)
        assert found.states > 1_500
        finals = {
            "good": message_types.RolloutState.COMPLETED,
            "bad": message_types.RolloutState.ROLLED_BACK,
            "unsure": message_types.RolloutState.RUNNING,
        }
        assert {finals[belief] for belief in pair} <= found.written


def test_without_the_condition_a_halted_version_is_completed():
    """One entry VM read the status before the other wrote it.

    Without the condition its append succeeds: operators see "completed" for a
    version that was halted, and the servers of the old version stop.
    """
    found = rollout_steps.explore(("good", "bad"), checks=False)
    assert "was written over" in found.fault
    assert found.steps
