"""Configuration as a total order: compare-and-swap by place in the log.

Every entry VM folds the same records in the same order with ``apply_record``
and so reaches the same configuration without electing anyone. Two operators
who race get one winner, since the second record's base is no longer in
force at its own place.

The log forgets old records. Snapshots keep the configuration alive; a
snapshot names in ``as_of`` how far its writer had read. A newcomer that
began after the first record cannot judge the publishes that it read before
a snapshot, so it keeps them and replays those past ``as_of``: without that,
a snapshot by a slow writer would take the newcomer back to an older
configuration.

A snapshot also proves nothing to a reader that began after its ``as_of``:
publishes between the two are gone from the log unread, and one of them may
have taken effect. Such a reader waits for a younger snapshot, or for a
peer's copy, which is judged by the same rule.
"""

import attrs

from carawayward import declaration
from carawayward import errors


@attrs.frozen(kw_only=True)
class Publish:
    """An operator's wish to replace ``base_revision`` by ``document``."""

    publish_id: str
    base_revision: int
    document: dict
    digest: str
    operator: str


@attrs.frozen(kw_only=True)
class Snapshot:
    """A copy of what was in force when its writer had read to ``as_of``."""

    revision: int
    document: dict
    digest: str
    as_of: int


Record = Publish | Snapshot

STREAM = "configuration"
MAX_PENDING_PUBLISHES = 256


@attrs.frozen(kw_only=True)
class ConfigState:
    """What a reader knows after folding the log up to ``read_to``.

    ``known`` is False while the reader has seen neither the beginning of
    the log nor a snapshot; such a reader serves nothing from the log.
    ``first_offset`` is the first offset whose record the reader has, in
    effect or in ``pending``.
    """

    known: bool
    revision: int = 0
    document: dict | None = None
    read_to: int = 0
    first_offset: int = 1
    pending: tuple[tuple[int, Publish], ...] = ()


def start_reading(oldest: int) -> ConfigState:
    """State of a reader that begins at offset ``oldest``.

    Offsets begin at 1; whoever reads from there has missed nothing.
    """
    return ConfigState(
        known=oldest <= 1, read_to=oldest - 1, first_offset=oldest
    )


def apply_record(
    state: ConfigState, offset: int, record: Record
) -> ConfigState:
    """Fold one record; offsets must rise."""
    if offset <= state.read_to:
        return state
    state = attrs.evolve(state, read_to=offset)
    if isinstance(record, Snapshot):
        return _apply_snapshot(state, record)
    if not state.known:
        return _keep_pending(state, offset, record)
    return _apply_publish(state, offset, record)


def _keep_pending(
    state: ConfigState, offset: int, record: Publish
) -> ConfigState:
    """Keep a publish that cannot be judged yet, within a bound.

    Whoever can append could otherwise fill a newcomer's memory. What is
    dropped counts as never read: only a snapshot past it is taken.
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
    """Whether a reader misses nothing between a snapshot and its own start.

    A slow writer's snapshot may be older than the oldest record kept; the
    publishes between the two would be skipped and the reader would revert.
    """
    if snapshot.as_of < state.first_offset - 1:
        return False
    return declaration.digest_document(snapshot.document) == snapshot.digest


def apply_peer_copy(state: ConfigState, copy: Snapshot) -> ConfigState:
    """Use a peer's copy as a snapshot that did not come through the log.

    It counts only for a reader that knows nothing yet; one that knows folds
    the records itself and reaches the same state.
    """
    return _apply_snapshot(state, copy)


def contradicts(state: ConfigState, revision: int) -> bool:
    """Whether a peer's revision cannot be, by what this reader has folded.

    A revision that this reader has read past and that is above the one it
    found in force is no revision; taking it would put a refused document
    into force.
    """
    return state.known and state.revision < revision <= state.read_to


def is_valid(revision: int, record: Publish) -> bool:
    """Whether a publish takes effect where ``revision`` is in force."""
    if record.base_revision != revision:
        return False
    if declaration.digest_document(record.document) != record.digest:
        return False
    try:
        declaration.Declaration.from_config(record.document)
    except errors.DeclarationError:
        return False
    return True


def make_snapshot(state: ConfigState) -> Snapshot | None:
    """A snapshot of what a reader knows; None if it knows nothing."""
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
    """What reading on has shown of one publish.

    ``revision`` is its offset once it took effect; ``refused`` says that it
    was read and was not valid at its place.
    """

    revision: int | None = None
    refused: bool = False


def track_publish(
    state: ConfigState,
    offset: int,
    record: Record,
    publish_id: str,
    fate: PublishResult,
) -> tuple[ConfigState, PublishResult]:
    """Fold one record and note what it means for a publish.

    An append whose answer was lost may be in the log, may come into it late,
    and may be in it twice after a retry. The base makes a second copy
    invalid once the first has taken effect, so "took effect" is final and
    "refused" holds only until then.
    """
    after = apply_record(state, offset, record)
    mine = isinstance(record, Publish) and record.publish_id == publish_id
    if not mine or fate.revision is not None:
        return after, fate
    if after.revision == offset:
        return after, PublishResult(revision=offset)
    return after, PublishResult(refused=True)


def is_snapshot_due(
    read_to: int,
    oldest: int,
    snapshot_offset: int,
    snapshot_age_ms: float,
    retention_ms: float,
    spread: float,
) -> bool:
    """Whether the configuration should be appended again.

    By age: between a sixth and a quarter of the retention, spread over the
    nodes by ``spread`` (0 to 1), so that one appends and the others see it.
    By count, for a log that keeps a number of records: once more than half
    of what is kept is younger than the newest snapshot.
    """
    if snapshot_age_ms > retention_ms * (2 + spread) / 12:
        return True
    return oldest > 1 and snapshot_offset < oldest + (read_to - oldest) / 2


def encode(record: Record) -> dict:
    """Form of a record in the log."""
    kind = "publish" if isinstance(record, Publish) else "snapshot"
    return {"kind": kind, **attrs.asdict(record, recurse=False)}


def decode(data: object) -> Record | None:
    """Read a record of the log; None for one that makes no sense."""
    if not isinstance(data, dict):
        return None
    fields = {key: value for key, value in data.items() if key != "kind"}
    kinds = {"publish": Publish, "snapshot": Snapshot}
    kind = kinds.get(str(data.get("kind")))
    if kind is None or not isinstance(fields.get("document"), dict):
        return None
    try:
        return kind(**fields)
    except TypeError:
        return None
