"""Model checks of the configuration log, with and without its guards.

Each test without a guard must find a counterexample, which shows that the
specification would detect the fault.
"""

from unittest import mock

import attrs

from carawayward.protocol import config_log
from tests.model import configuration
from tests.model import kripke


def find_with(name: str, substitute: object) -> list[str]:
    """Find a counterexample with one shipped function replaced."""
    with mock.patch.object(config_log, name, substitute):
        trace, _ = kripke.find_counterexample(configuration.make_spec())
    return trace


def test_readers_are_never_wrong_and_can_always_recover():
    """Checks all interleavings within the specification's bounds.

    No reader differs from a reader of the whole log, no base has two
    winners, and every reader can still reach a configuration.
    """
    trace, states = kripke.find_counterexample(configuration.make_spec())
    assert trace == []
    assert states > 7_000


def test_without_replay_past_as_of_a_new_reader_reverts():
    """A new reader serves a configuration that was replaced.

    A slow node appends a snapshot after a publish that it had not read. The
    reader read the publish before it and could not validate it.
    """

    def adopt_without_replay(state, record):
        if state.known or not config_log.is_usable(state, record):
            return state
        return attrs.evolve(
            state,
            known=True,
            revision=record.revision,
            document=record.document,
            pending=(),
        )

    assert find_with("_apply_snapshot", adopt_without_replay)


def test_without_the_age_check_a_new_reader_skips_dropped_publishes():
    """A new reader serves a configuration that was replaced.

    The snapshot is older than the oldest record of the log, and a publish
    between the two has been dropped.
    """
    assert find_with("is_usable", lambda state, snapshot: True)


def test_without_compare_and_swap_both_concurrent_publishes_win():
    """Two documents based on the same revision both take effect."""
    assert find_with("is_valid", lambda revision, record: True)
