"""What earlier roll-outs of a service left, without I/O."""

import json

import hypothesis
from hypothesis import strategies

from carawayward.decisions import version_history
from carawayward.forwarding import keyed_log
from carawayward.forwarding import message_types
from carawayward.platform import records
from tests.common import odd_json

VERSIONS = strategies.sampled_from(["v1", "v2", "v3", "v4"])
ENDS = strategies.sampled_from(
    [version_history.complete, version_history.reject, version_history.suspend]
)


@strategies.composite
def histories(draw):
    """A history after any roll-outs."""
    history = version_history.History(stable=("v1",))
    for version, end in draw(
        strategies.lists(strategies.tuples(VERSIONS, ENDS), max_size=6)
    ):
        history = end(history, version)
    return history


@hypothesis.given(histories(), VERSIONS)
def test_stable_version_always_serves(history, target):
    """Guards against a service without any version to return to."""
    assert history.stable
    assert not history.list_unusable(target) & {*history.stable}
    assert target not in history.list_unusable(target)
    assert not {*history.rejected} & {*history.undecided}


@hypothesis.given(histories(), histories(), strategies.booleans())
def test_history_that_is_read_again_changes_nothing(known, stored, current):
    """Guards against versions that serve by turns, with each round."""
    merged = version_history.merge(known, stored, current)
    assert version_history.merge(merged, stored, current) == merged
    assert not {*merged.stable} & merged.list_unusable("")


def test_end_that_becomes_known_late_settles_the_version():
    """A version was completed, and the next one ordered before that was read.

    The endpoints of the version before have stopped by then.
    """
    known = version_history.suspend(
        version_history.History(stable=("v1",)), "v2"
    )
    stored = version_history.History(stable=("v2",))
    merged = version_history.merge(known, stored, is_current=True)
    assert merged == stored


def test_process_that_starts_learns_which_version_was_rolled_back():
    """Only the newest order and the newest status can be read by then."""
    before = version_history.History(stable=("v1",))
    suspended = version_history.suspend(before, "v2")
    merged = version_history.merge(
        version_history.History(), suspended, is_current=False
    )
    assert merged.list_unusable("v3") == {"v2"}
    rejected = version_history.reject(merged, "v2")
    assert rejected.rejected == ("v2",) and not rejected.undecided
    assert version_history.merge(rejected, suspended, False) == rejected


def test_version_without_endpoints_is_not_the_one_to_return_to():
    """Endpoints may be replaced by those of another version unordered."""
    history = version_history.History(stable=("v1",), rejected=("v2",))
    listed = frozenset(("v2", "v3", "v5"))
    assert version_history.find_stable(history, "v3", listed) == ("v5",)
    listed |= {"v1"}
    assert version_history.find_stable(history, "v3", listed) == ("v1",)
    assert version_history.find_stable(history, "v3", frozenset()) == ("v1",)


def test_history_stays_small():
    """Guards against a record that grows with each roll-out."""
    history = version_history.History(stable=("v0",))
    for number in range(1, 100):
        history = version_history.reject(history, f"v{number}")
    assert len(history.rejected) == version_history.MAX_VERSIONS
    assert "v99" in history.rejected


@hypothesis.given(histories())
def test_stored_history_is_read_as_it_was_written(history):
    """Guards against a version that is rejected by its writer alone."""
    stored = message_types.ServiceHistory("desk", "v3", history)
    assert records.decode_status(records.encode_status(stored)) == stored


@hypothesis.given(
    strategies.sampled_from(["target", "stable", "rejected", "undecided"]),
    odd_json.ANY_JSON,
)
@hypothesis.settings(deadline=None)
def test_malformed_history_is_ignored(field, value):
    """Guards against a value that only raises where it is used."""
    body = {"target": "v3", "stable": [], "rejected": [], "undecided": []}
    raw = json.dumps({**body, field: value}).encode()
    found = records.decode_status(keyed_log.Record("versions/desk", raw, 7))
    if found is not None:
        assert isinstance(found, message_types.ServiceHistory)
        assert isinstance(found.version, str)
        kinds = (found.history.stable, found.history.rejected)
        for each in (*kinds, found.history.undecided):
            assert all(isinstance(version, str) for version in each)
