"""A roll-out is decided once, whoever fails at whichever step."""

import itertools

from carawayward.forwarding import message_types
from tests.model import rollout_steps


def test_nothing_is_written_over_what_was_decided():
    """Entry VMs that differ decide at once, and the store loses answers.

    A final status stays, and nobody believes another one.
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
    """One entry VM has read the status before the other wrote it.

    Its append goes through; operators see "completed" for a version that was
    halted, and its old servers stop.
    """
    found = rollout_steps.explore(("good", "bad"), checks=False)
    assert "was written over" in found.fault
    assert found.steps
