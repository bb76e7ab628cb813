"""Tests of the fold of the configuration log."""

import attrs

from carawayward import declaration
from carawayward.protocol import config_log


def make_document(cost: float) -> dict:
    """Make a minimal valid document, distinguished by a version's cost."""
    version = {"name": "v1", "cost": cost, "state": "active"}
    return {
        "format": 1,
        "models": [{"name": "m", "versions": [version]}],
        "tasks": [{"name": "t", "cascade": ["m"]}],
        "customers": [],
    }


def make_publish(base: int, cost: float) -> config_log.Publish:
    """Make a publish with a valid digest."""
    document = make_document(cost)
    return config_log.Publish(
        publish_id=f"{base}-{cost}",
        base_revision=base,
        document=document,
        digest=declaration.digest_document(document),
        operator="op",
    )


def test_first_of_two_concurrent_publishes_in_the_log_wins():
    """Two operators publish concurrently.

    Both documents are based on revision 0, and the log accepts both appends.
    Only the first may take effect, on every node.
    """
    state = config_log.start_reading(1)
    state = config_log.apply_record(state, 1, make_publish(0, 1.0))
    state = config_log.apply_record(state, 2, make_publish(0, 2.0))
    assert state.revision == 1
    assert state.document == make_document(1.0)


def test_new_reader_replays_publishes_past_a_slow_snapshot():
    """A slow node appends a snapshot after a publish that it had not read.

    A new reader that adopted the snapshot without replaying the publish
    would serve the old configuration, and with it a withdrawn version.
    """
    old = make_publish(0, 1.0)
    snapshot = config_log.Snapshot(
        revision=5, document=old.document, digest=old.digest, as_of=5
    )
    state = config_log.start_reading(6)
    state = config_log.apply_record(state, 6, make_publish(5, 2.0))
    state = config_log.apply_record(state, 7, snapshot)
    assert state.revision == 6
    assert state.document == make_document(2.0)


def test_new_reader_without_a_snapshot_has_no_configuration():
    """A reader that starts late cannot validate the publishes it reads."""
    state = config_log.start_reading(6)
    state = config_log.apply_record(state, 6, make_publish(5, 2.0))
    assert not state.known
    assert config_log.make_snapshot(state) is None


def test_publish_with_a_wrong_digest_is_refused():
    """A damaged document must not come into force."""
    state = config_log.start_reading(1)
    damaged = attrs.evolve(make_publish(0, 1.0), digest="0" * 64)
    assert config_log.apply_record(state, 1, damaged).revision == 0


def test_records_are_unchanged_by_encoding_and_decoding():
    """Nodes read the records that another node appended."""
    publish = make_publish(0, 1.0)
    assert config_log.decode(config_log.encode(publish)) == publish
    assert config_log.decode({"kind": "publish", "junk": 1}) is None


def test_snapshot_older_than_the_readers_first_record_is_ignored():
    """A node resumes after a long pause and appends an outdated snapshot.

    A publish after the snapshot's ``as_of`` has been dropped from the log. A
    new reader that used the snapshot would serve a withdrawn version.
    """
    old = make_publish(0, 1.0)
    stale = config_log.Snapshot(
        revision=2, document=old.document, digest=old.digest, as_of=4
    )
    state = config_log.start_reading(6)
    state = config_log.apply_record(state, 6, stale)
    assert not state.known
    recent = attrs.evolve(stale, as_of=5)
    assert config_log.apply_peer_copy(state, recent).revision == 2


def test_pending_publishes_of_a_new_reader_are_bounded():
    """A new reader reads a flood of publishes before a snapshot.

    Dropped publishes count as unread, so that an earlier snapshot is not
    usable.
    """
    state = config_log.start_reading(2)
    last = config_log.MAX_PENDING_PUBLISHES + 4
    for offset in range(2, last):
        publish = make_publish(offset - 1, float(offset))
        state = config_log.apply_record(state, offset, publish)
    assert len(state.pending) == config_log.MAX_PENDING_PUBLISHES
    old = make_publish(0, 1.0)
    early = config_log.Snapshot(
        revision=1, document=old.document, digest=old.digest, as_of=2
    )
    assert not config_log.apply_record(state, last, early).known
    later = attrs.evolve(early, revision=3, as_of=3)
    assert config_log.apply_record(state, last, later).revision == last - 1


def test_peer_cannot_put_a_refused_document_into_force():
    state = config_log.start_reading(1)
    state = config_log.apply_record(state, 1, make_publish(0, 1.0))
    state = config_log.apply_record(state, 2, make_publish(0, 2.0))
    assert config_log.contradicts(state, 2)
    assert not config_log.contradicts(state, 1)
    assert not config_log.contradicts(state, 3)


def track(*records: config_log.Record) -> config_log.PublishResult:
    """Return the result of the publish "mine" after these records."""
    state, result = config_log.start_reading(1), config_log.PublishResult()
    for offset, record in enumerate(records, 1):
        state, result = config_log.track_publish(
            state, offset, record, "mine", result
        )
    return result


def test_publish_that_is_in_the_log_twice_takes_effect_once():
    """The response to an append is lost and the tool appends again.

    Both copies are in the log. The second one is no longer valid, which must
    not be reported to the operator as "another was first".
    """
    mine = attrs.evolve(make_publish(0, 1.0), publish_id="mine")
    other = make_publish(0, 2.0)
    assert track(mine, mine) == config_log.PublishResult(revision=1)
    assert track(other, mine) == config_log.PublishResult(refused=True)
    assert track(other) == config_log.PublishResult()


def test_snapshot_is_due_well_before_the_log_drops_the_last_one():
    def is_due(age: float, oldest: int, jitter: float = 1.0) -> bool:
        return config_log.is_snapshot_due(100, oldest, 50, age, 12.0, jitter)

    assert not is_due(2.9, 1)
    assert is_due(3.1, 1)
    assert is_due(2.1, 1, jitter=0.0)
    assert not is_due(0.0, 1)
    assert is_due(0.0, 10)
