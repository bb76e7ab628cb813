"""The configuration log's rules."""

import attrs

from carawayward import declaration
from carawayward.protocol import config_log


def make_document(cost: float) -> dict:
    """The smallest valid document, told apart by a version's cost."""
    version = {"name": "v1", "cost": cost, "state": "active"}
    return {
        "format": 1,
        "models": [{"name": "m", "versions": [version]}],
        "tasks": [{"name": "t", "cascade": ["m"]}],
        "customers": [],
    }


def make_publish(base: int, cost: float) -> config_log.Publish:
    """A publish with a valid digest."""
    document = make_document(cost)
    return config_log.Publish(
        publish_id=f"{base}-{cost}",
        base_revision=base,
        document=document,
        digest=declaration.digest_document(document),
        operator="op",
    )


def test_of_two_racing_publishes_the_first_in_the_log_wins():
    """Two operators publish at once.

    Both drew their document from revision 0. Both see "accepted" by the
    log, but only the first may take effect, on every node.
    """
    state = config_log.start_reading(1)
    state = config_log.apply_record(state, 1, make_publish(0, 1.0))
    state = config_log.apply_record(state, 2, make_publish(0, 2.0))
    assert state.revision == 1
    assert state.document == make_document(1.0)


def test_newcomer_replays_publishes_past_a_slow_snapshot():
    """A slow node appends a snapshot that is older than a publish.

    A newcomer that adopts the snapshot as it stands would serve the old
    configuration, and a withdrawn version with it.
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


def test_newcomer_without_snapshot_knows_nothing():
    """A reader that starts late must not judge what it sees."""
    state = config_log.start_reading(6)
    state = config_log.apply_record(state, 6, make_publish(5, 2.0))
    assert not state.known
    assert config_log.make_snapshot(state) is None


def test_record_of_another_digest_is_refused():
    """A damaged document must not come into force."""
    state = config_log.start_reading(1)
    damaged = attrs.evolve(make_publish(0, 1.0), digest="0" * 64)
    assert config_log.apply_record(state, 1, damaged).revision == 0


def test_records_survive_their_encoding():
    """What a node appends is what the others read."""
    publish = make_publish(0, 1.0)
    assert config_log.decode(config_log.encode(publish)) == publish
    assert config_log.decode({"kind": "publish", "junk": 1}) is None


def test_snapshot_older_than_the_readers_first_record_is_not_taken():
    """A frozen node wakes up and appends a snapshot from long ago.

    A publish that came after that snapshot's reading has left the log. A
    newcomer that takes the snapshot would serve what was withdrawn.
    """
    old = make_publish(0, 1.0)
    stale = config_log.Snapshot(
        revision=2, document=old.document, digest=old.digest, as_of=4
    )
    state = config_log.start_reading(6)
    state = config_log.apply_record(state, 6, stale)
    assert not state.known
    young = attrs.evolve(stale, as_of=5)
    assert config_log.apply_peer_copy(state, young).revision == 2


def test_what_a_newcomer_keeps_unjudged_is_bounded():
    """A flood of publishes reaches a newcomer before a snapshot does.

    What it drops counts as unread, so a snapshot from before is useless.
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


def test_peer_cannot_bring_a_refused_document_into_force():
    state = config_log.start_reading(1)
    state = config_log.apply_record(state, 1, make_publish(0, 1.0))
    state = config_log.apply_record(state, 2, make_publish(0, 2.0))
    assert config_log.contradicts(state, 2)
    assert not config_log.contradicts(state, 1)
    assert not config_log.contradicts(state, 3)


def follow(*records: config_log.Record) -> config_log.PublishResult:
    """The fate of the publish "mine" after these records."""
    state, fate = config_log.start_reading(1), config_log.PublishResult()
    for offset, record in enumerate(records, 1):
        state, fate = config_log.track_publish(
            state, offset, record, "mine", fate
        )
    return fate


def test_publish_that_is_in_the_log_twice_took_effect_once():
    """The answer to an append is lost and the tool appends again.

    Both copies are in the log. The second is not valid any more, which must
    not be reported to the operator as "another was first".
    """
    mine = attrs.evolve(make_publish(0, 1.0), publish_id="mine")
    other = make_publish(0, 2.0)
    assert follow(mine, mine) == config_log.PublishResult(revision=1)
    assert follow(other, mine) == config_log.PublishResult(refused=True)
    assert follow(other) == config_log.PublishResult()


def test_snapshot_comes_due_well_before_the_log_forgets_it():
    def is_due(age: float, oldest: int, spread: float = 1.0) -> bool:
        return config_log.is_snapshot_due(100, oldest, 50, age, 12.0, spread)

    assert not is_due(2.9, 1)
    assert is_due(3.1, 1)
    assert is_due(2.1, 1, spread=0.0)
    assert not is_due(0.0, 1)
    assert is_due(0.0, 10)
