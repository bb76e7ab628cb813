"""Stages of a roll-out: a fold over the log that every entry VM shares.

A roll-out can be interrupted at any point: the entry VM that advanced it is
replaced, the response to its append is lost, or two append at once. Each
advance therefore names as its base the record of the last step that took
effect; if two name the same base, the first in the log counts. Any remaining
entry VM continues from the state of the log, and no step is taken twice.
"""

import typing

import attrs

from carawayward import checked_fields
from carawayward import rollout_declaration


@attrs.frozen(kw_only=True)
class Advance:
    """A request to enter ``stage``; stage 0 begins the roll-out."""

    rollout: str
    base: int
    stage: int
    node: str
    evidence: str = ""


@attrs.frozen(kw_only=True)
class Halt:
    """A roll-out was found bad.

    It names no base, so it takes effect wherever it stands in the log.
    """

    rollout: str
    generation: int
    node: str
    reason: str


@attrs.frozen(kw_only=True)
class Resume:
    """An operator lets a halted roll-out continue at ``stage``."""

    rollout: str
    base: int
    stage: int
    operator: str


@attrs.frozen(kw_only=True)
class Progress:
    """State of one roll-out; ``stage`` is -1 until it begins.

    ``base`` is the offset of the record that led to this state, ``begun_ms``
    the log time of the record that began this generation, ``since_ms`` that of
    the stage. ``generation`` counts the resumptions; a halt applies to its own
    generation and all earlier ones.
    """

    base: int = 0
    stage: int = -1
    generation: int = 0
    begun_ms: int = 0
    since_ms: int = 0
    halted: str = ""


@attrs.frozen(kw_only=True)
class Snapshot:
    """A copy of a reader's state, used when old records are gone."""

    as_of: int
    progress: dict[str, Progress]


Record = Advance | Halt | Resume | Snapshot


@attrs.frozen(kw_only=True)
class RolloutLog:
    """State of the fold over the records up to ``read_to``.

    ``known`` is false for a reader that began after the oldest record, until
    it has read a snapshot. Until then, records are kept in ``pending``.
    """

    known: bool
    read_to: int = 0
    progress: dict[str, Progress] = attrs.field(factory=dict)
    pending: tuple[tuple[int, int, Record], ...] = ()


def start_reading(oldest: int) -> RolloutLog:
    """State of a reader that begins at offset ``oldest``."""
    return RolloutLog(known=oldest <= 1, read_to=oldest - 1)


def apply_record(
    state: RolloutLog, offset: int, at_ms: int, record: Record
) -> RolloutLog:
    """Apply one record; offsets must increase."""
    if offset <= state.read_to:
        return state
    state = attrs.evolve(state, read_to=offset)
    if isinstance(record, Snapshot):
        return _apply_snapshot(state, record)
    if not state.known:
        pending = (*state.pending, (offset, at_ms, record))
        return attrs.evolve(state, pending=pending)
    return _apply_known(state, offset, at_ms, record)


def skip_record(state: RolloutLog, offset: int) -> RolloutLog:
    """Go on after a record that cannot be used."""
    return attrs.evolve(state, read_to=max(state.read_to, offset))


def _apply_snapshot(state: RolloutLog, snapshot: Snapshot) -> RolloutLog:
    """Take over a snapshot if this reader has no state yet.

    Records read before the snapshot but past its ``as_of`` are applied on top;
    without that, the snapshot of a slow writer would undo a halt.
    """
    if state.known:
        return state
    adopted = attrs.evolve(
        state, known=True, progress=dict(snapshot.progress), pending=()
    )
    for offset, at_ms, record in state.pending:
        if offset > snapshot.as_of:
            adopted = _apply_known(adopted, offset, at_ms, record)
    return adopted


def _apply_known(
    state: RolloutLog, offset: int, at_ms: int, record: Record
) -> RolloutLog:
    assert not isinstance(record, Snapshot)
    known = state.progress.get(record.rollout, Progress())
    match record:
        case Halt():
            if record.generation < known.generation or known.halted:
                return state
            changed = attrs.evolve(known, base=offset, halted=record.reason)
        case Advance():
            is_next = record.stage == known.stage + 1
            if known.halted or record.base != known.base or not is_next:
                return state
            begun = at_ms if record.stage == 0 else known.begun_ms
            changed = attrs.evolve(
                known,
                base=offset,
                stage=record.stage,
                begun_ms=begun,
                since_ms=at_ms,
            )
        case Resume():
            if not known.halted or record.base != known.base:
                return state
            changed = Progress(
                base=offset,
                stage=record.stage,
                generation=known.generation + 1,
                begun_ms=at_ms,
                since_ms=at_ms,
            )
    progress = {**state.progress, record.rollout: changed}
    return attrs.evolve(state, progress=progress)


def make_snapshot(state: RolloutLog) -> Snapshot | None:
    """A snapshot of a reader's state; ``None`` if it has none."""
    if not state.known:
        return None
    return Snapshot(as_of=state.read_to, progress=state.progress)


def may_advance(
    declared: rollout_declaration.Rollout,
    progress: Progress,
    now_ms: int,
    good_ratings: float,
    stage_ready: bool,
) -> bool:
    """Whether the next stage may begin.

    ``good_ratings`` counts those of the unproven version since the roll-out
    began; ``stage_ready`` says that enough endpoints have it loaded. Dwell
    time alone proves nothing if there were no calls, and ratings alone may all
    come from one quiet minute, so both are required.
    """
    if progress.halted or progress.stage >= len(declared.stages):
        return False
    if progress.stage < 0:
        return stage_ready
    stage = declared.stages[progress.stage]
    dwelt = now_ms - progress.since_ms >= stage.dwell_ms
    return dwelt and good_ratings >= stage.evidence and stage_ready


def is_done(declared: rollout_declaration.Rollout, progress: Progress) -> bool:
    """Whether the last stage has been passed."""
    return progress.stage >= len(declared.stages) and not progress.halted


def encode(record: Record) -> dict:
    """A record as it is written to the log and sent between peers."""
    return {"kind": type(record).__name__.lower(), **attrs.asdict(record)}


def decode(data: object) -> Record | None:
    """Decode a record of the log; ``None`` if it is invalid."""
    if not isinstance(data, dict):
        return None
    kinds: dict[str, typing.Callable[..., Record]] = {
        "advance": Advance,
        "halt": Halt,
        "resume": Resume,
        "snapshot": _make_snapshot,
    }
    kind = kinds.get(str(data.get("kind")))
    fields = {key: value for key, value in data.items() if key != "kind"}
    if kind is None:
        return None
    try:
        return checked_fields.make_checked(kind, fields)
    except (TypeError, AttributeError):
        return None


def _make_snapshot(as_of: int, progress: dict) -> Snapshot:
    return Snapshot(
        as_of=as_of,
        progress={
            str(name): checked_fields.make_checked(Progress, data)
            for name, data in progress.items()
        },
    )
