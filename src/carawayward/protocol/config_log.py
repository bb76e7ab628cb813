"""Configuration as a replicated log with compare-and-swap by offset.

Every entry VM folds the same records in the same order with ``apply_record``
and so reaches the same configuration without electing a leader. Of two
operators who publish concurrently, one wins: at the offset of the second
record, its base is no longer in force.

The log drops old records. Snapshots preserve the configuration; ``as_of``
of a snapshot is the offset up to which its writer had read. A reader that
started after the first record cannot validate the publishes that it reads
before a snapshot, so it keeps them and replays those past ``as_of``. Without
that, a snapshot by a slow writer would revert the reader to an older
configuration.

A snapshot is also unusable for a reader that started after its ``as_of``:
the publishes between the two have been dropped unread, and one of them may
have taken effect. Such a reader waits for a newer snapshot, or for a peer's
copy, which has to pass the same check.
"""

import attrs

from carawayward import checked_fields
from carawayward import declaration


@attrs.frozen(kw_only=True)
class Publish:
    """An operator's request to replace ``base_revision`` by ``document``."""

    publish_id: str
    base_revision: int
    document: dict
    digest: str
    operator: str


@attrs.frozen(kw_only=True)
class Snapshot:
    """The configuration in force after its writer had read to ``as_of``."""

    revision: int
    document: dict
    digest: str
    as_of: int


Record = Publish | Snapshot

STREAM = "configuration"
# Bounds the memory that a reader without a snapshot can be made to use.
MAX_PENDING_PUBLISHES = 256


@attrs.frozen(kw_only=True)
class ConfigState:
    """State of a reader that has folded the log up to ``read_to``.

    ``known`` is False while the reader has seen neither the beginning of
    the log nor a usable snapshot; it then has no configuration from the log.
    ``first_offset`` is the first offset whose record the reader has
    accounted for, in its configuration or in ``pending``.
    """

    known: bool
    revision: int = 0
    document: dict | None = None
    read_to: int = 0
    first_offset: int = 1
    pending: tuple[tuple[int, Publish], ...] = ()


def start_reading(oldest: int) -> ConfigState:
    """Initial state of a reader that starts at offset ``oldest``.

    Offsets start at 1; a reader that starts there has missed nothing.
    """
    return ConfigState(
        known=oldest <= 1, read_to=oldest - 1, first_offset=oldest
    )


def apply_record(
    state: ConfigState, offset: int, record: Record
) -> ConfigState:
    """Fold one record; records up to ``read_to`` are ignored."""
    if offset <= state.read_to:
        return state
    state = attrs.evolve(state, read_to=offset)
    if isinstance(record, Snapshot):
        return _apply_snapshot(state, record)
    if not state.known:
        return _add_pending(state, offset, record)
    return _apply_publish(state, offset, record)


def skip_record(state: ConfigState, offset: int) -> ConfigState:
    """Go on after a record that cannot be used."""
    return attrs.evolve(state, read_to=max(state.read_to, offset))


def _add_pending(
    state: ConfigState, offset: int, record: Publish
) -> ConfigState:
    """Keep a publish that cannot be validated yet, within a bound.

    Without the bound, a client that can append to the log could exhaust the
    memory of a new reader. A dropped publish counts as never read: after
    that, only a snapshot whose ``as_of`` covers it is usable.
    """
    pending = (*state.pending, (offset, record))
    if len(pending) <= MAX_PENDING_PUBLISHES:
        return attrs.evolve(state, pending=pending)
    dropped = pending[0][0]
    return attrs.evolve(state, pending=pending[1:], first_offset=dropped + 1)


def _apply_publish(
    state: ConfigState, offset: int, record: Publish
) -> ConfigState:
    if not is_valid(state.revision, record):
        return state
    return attrs.evolve(state, revision=offset, document=record.document)


def _apply_snapshot(state: ConfigState, record: Snapshot) -> ConfigState:
    if state.known or not is_usable(state, record):
        return state
    adopted = attrs.evolve(
        state,
        known=True,
        revision=record.revision,
        document=record.document,
        pending=(),
    )
    for offset, publish in state.pending:
        if offset > record.as_of:
            adopted = _apply_publish(adopted, offset, publish)
    return adopted


def is_usable(state: ConfigState, snapshot: Snapshot) -> bool:
    """Whether a snapshot is intact and leaves no gap to the reader's start.

    A slow writer's snapshot may be older than the oldest record in the log;
    the publishes between the two would be skipped and the reader would
    revert to an older configuration.
    """
    if snapshot.as_of < state.first_offset - 1:
        return False
    return _is_declarable(snapshot)


def apply_peer_copy(state: ConfigState, copy: Snapshot) -> ConfigState:
    """Apply a peer's copy like a snapshot that did not come from the log.

    It has an effect only for a reader without a configuration; any other
    folds the records itself and reaches the same state.
    """
    return _apply_snapshot(state, copy)


def contradicts(state: ConfigState, revision: int) -> bool:
    """Whether a peer's revision conflicts with the records folded here.

    A publish at an offset that this reader has read, above the revision that
    it found in force, was rejected; accepting it from a peer would put a
    rejected document into force.
    """
    return state.known and state.revision < revision <= state.read_to


def is_valid(revision: int, record: Publish) -> bool:
    """Whether a publish takes effect while ``revision`` is in force."""
    return record.base_revision == revision and _is_declarable(record)


def _is_declarable(record: Record) -> bool:
    """Whether a record's document is intact and can be put into force.

    It has not been checked by anyone if a program other than ours wrote it,
    and may make any of the checks raise.
    """
    try:
        declaration.Declaration.from_config(record.document)
        digest = declaration.digest_document(record.document)
    except Exception:
        return False
    return digest == record.digest


def make_snapshot(state: ConfigState) -> Snapshot | None:
    """Make a snapshot of a reader's state; None if it has none."""
    if not state.known or state.document is None:
        return None
    return Snapshot(
        revision=state.revision,
        document=state.document,
        digest=declaration.digest_document(state.document),
        as_of=state.read_to,
    )


@attrs.frozen(kw_only=True)
class PublishResult:
    """What the records read so far show about one publish.

    ``revision`` is its offset once it has taken effect; ``refused`` means
    that it was read and was not valid at its offset.
    """

    revision: int | None = None
    refused: bool = False


def track_publish(
    state: ConfigState,
    offset: int,
    record: Record,
    publish_id: str,
    result: PublishResult,
) -> tuple[ConfigState, PublishResult]:
    """Fold one record and update the result of a publish.

    After an append whose response was lost, the publish may be in the log,
    may reach it late, and may be in it twice after a retry. Its base makes a
    second copy invalid once the first has taken effect, so "took effect" is
    final, while "refused" may still be replaced by it.
    """
    after = apply_record(state, offset, record)
    mine = isinstance(record, Publish) and record.publish_id == publish_id
    if not mine or result.revision is not None:
        return after, result
    if after.revision == offset:
        return after, PublishResult(revision=offset)
    return after, PublishResult(refused=True)


def is_snapshot_due(
    read_to: int,
    oldest: int,
    snapshot_offset: int,
    snapshot_age_ms: float,
    retention_ms: float,
    jitter: float,
) -> bool:
    """Whether a new snapshot should be appended.

    By age, after a sixth to a quarter of the log's retention time; ``jitter``
    (0 to 1) differs between the nodes, so that one appends and the others see
    its snapshot. By count, for a log that retains a number of records, once
    more than half of the retained records are newer than the last snapshot.
    """
    if snapshot_age_ms > retention_ms * (2 + jitter) / 12:
        return True
    return oldest > 1 and snapshot_offset < oldest + (read_to - oldest) / 2


def encode(record: Record) -> dict:
    """Encode a record for the log."""
    kind = "publish" if isinstance(record, Publish) else "snapshot"
    return {"kind": kind, **attrs.asdict(record, recurse=False)}


def decode(data: object) -> Record | None:
    """Decode a record of the log; None for a malformed one."""
    if not isinstance(data, dict):
        return None
    fields = {key: value for key, value in data.items() if key != "kind"}
    types = {"publish": Publish, "snapshot": Snapshot}
    kind = types.get(str(data.get("kind")))
    if kind is None or not isinstance(fields.get("document"), dict):
        return None
    try:
        return checked_fields.make_checked(kind, fields)
    except TypeError:
        return None
