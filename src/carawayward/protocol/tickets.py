"""Tickets: the right of one incarnation to run one request at most once.

The rights table of an incarnation records the state of each right that it
holds: the tickets that it issued, and the keys whose claims it won. A right
is marked as used before the first byte is sent, in memory that only this
incarnation has. A pause of any length cannot lead to a second run, since the
decision is made where the mark is; a crash loses the table and with it the
rights.

Rights and marks both expire. An expired ticket is never run, and its mark is
retained for ``retention_ms`` beyond that. A mark is dropped only when the
ticket can no longer be mistaken for an unused one.
"""

import dataclasses

import attrs

from carawayward import outcomes


@attrs.frozen(kw_only=True)
class Rules:
    """Times in ms, and limits to the size of a rights table.

    The limits bound memory. A mark takes some 300 bytes and an answer more,
    so answers beyond ``max_answers`` are dropped, while marks are never
    dropped early: at ``max_marks``, new rights are refused.
    """

    skew_ms: int = 2_000
    retention_ms: int = 600_000
    max_marks: int = 50_000
    max_answers: int = 5_000


@attrs.frozen(kw_only=True)
class Use:
    """Mark of a used right.

    Its run is in progress, or has ended; after the end, ``outcome`` is None
    if the answer is no longer stored. ``expires_ms`` is the wall-clock time
    after which the right is never run.
    """

    expires_ms: int
    ended: bool = False
    outcome: outcomes.Outcome | None = None


@attrs.define
class RightsTable:
    """State of the rights that one incarnation holds.

    ``uses`` are the marks by right. ``adopted`` are the incarnations whose
    rights were handed over to this one, and ``heir`` is the incarnation
    (name, incarnation) to which this one handed over all its rights.
    ``left_ms`` is when an adopted incarnation left (wall clock), if known.
    """

    uses: dict[str, Use] = attrs.field(factory=dict)
    adopted: set[tuple[str, str]] = attrs.field(factory=set)
    heir: tuple[str, str] | None = None
    left_ms: dict[tuple[str, str], int] = attrs.field(factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Run it now; the caller of ``decide`` must first mark it used."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The first run is in progress; its outcome answers this call too."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The first run has ended; return its outcome."""

    outcome: outcomes.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Another incarnation holds the right now; forward the call to it."""

    to: tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Do not run it; ``outcome`` says what is known about earlier runs."""

    outcome: outcomes.Outcome


Decision = Run | Wait | Replay | Relay | Refuse


def holds(
    table: RightsTable, issuer: tuple[str, str], self_id: tuple[str, str]
) -> bool:
    """Whether this incarnation holds the rights of an issuer."""
    return issuer == self_id or issuer in table.adopted


def decide(
    table: RightsTable, right: str, expires_ms: int, wall_ms: int, rules: Rules
) -> Decision:
    """Decide on a call with a right that this incarnation holds."""
    if table.heir is not None:
        return Relay(table.heir)
    use = table.uses.get(right)
    if use is not None:
        return _decide_used(use)
    if wall_ms > expires_ms + rules.retention_ms:
        return Refuse(
            outcomes.Unknown(
                outcomes.Reason.TICKET_LOST,
                "the ticket ended long ago and what became of it is no "
                "longer kept; look before you take a new one",
            )
        )
    if wall_ms > expires_ms:
        return Refuse(
            outcomes.NotRun(
                outcomes.Reason.KEY_EXPIRED,
                "the ticket ended unused; take a new one",
            )
        )
    if len(table.uses) >= rules.max_marks:
        return Refuse(
            outcomes.NotRun(
                outcomes.Reason.OVERLOADED,
                "too many requests that may not be repeated; come back",
                5_000,
            )
        )
    return Run()


def _decide_used(use: Use) -> Decision:
    if not use.ended:
        return Wait()
    if use.outcome is None:
        return Refuse(
            outcomes.Unknown(
                outcomes.Reason.TICKET_LOST,
                "it was run, and its answer is no longer kept; look before "
                "you send it anew",
            )
        )
    return Replay(use.outcome)


def mark_used(table: RightsTable, right: str, expires_ms: int) -> None:
    """Mark the right as used, before the first byte is sent."""
    table.uses[right] = Use(expires_ms=expires_ms)


def record_outcome(
    table: RightsTable, right: str, outcome: outcomes.Outcome
) -> None:
    """Store the outcome of a run, or release a right that was not run.

    Only ``NotRun`` releases it: the dispatcher returns that only if no byte
    was sent, so that the same right may be tried again.
    """
    use = table.uses.get(right)
    if use is None:
        return
    if isinstance(outcome, outcomes.NotRun):
        del table.uses[right]
        return
    table.uses[right] = attrs.evolve(use, ended=True, outcome=outcome)


def drop_expired(table: RightsTable, wall_ms: int, rules: Rules) -> None:
    """Drop expired marks of ended runs, and the oldest answers over the limit.

    A mark is dropped only when ``decide`` would refuse its right as lost
    anyway; dropped earlier, it would make a used ticket look unused.
    """
    horizon = wall_ms - rules.retention_ms - rules.skew_ms
    table.uses = {
        right: use
        for right, use in table.uses.items()
        if use.expires_ms >= horizon or not use.ended
    }
    answered = [r for r, use in table.uses.items() if use.outcome is not None]
    for right in answered[: max(0, len(answered) - rules.max_answers)]:
        table.uses[right] = attrs.evolve(table.uses[right], outcome=None)


def drop_expired_issuers(
    table: RightsTable, wall_ms: int, max_ttl_ms: int, rules: Rules
) -> None:
    """Drop adopted incarnations whose last rights expired long ago.

    Where VMs are replaced continuously, the list would otherwise grow with
    every hand-over from heir to heir. ``max_ttl_ms`` is the longest
    validity of a right; after it and ``retention_ms``, a resend is answered
    as lost in any case.
    """
    horizon = wall_ms - max_ttl_ms - rules.retention_ms - 2 * rules.skew_ms
    for issuer, left_ms in list(table.left_ms.items()):
        if left_ms < horizon:
            table.adopted.discard(issuer)
            del table.left_ms[issuer]


@attrs.frozen(kw_only=True)
class HandOver:
    """The rights that a leaving incarnation passes to its heir."""

    issuers: frozenset[tuple[str, str]]
    uses: dict[str, Use]


def assign_heir(
    table: RightsTable, self_id: tuple[str, str], heir: tuple[str, str]
) -> HandOver | None:
    """Hand over all rights to an heir, once; None if that was done before.

    From here on, ``decide`` only relays. The heir is set before anything is
    sent, so safety does not depend on the delivery of the hand-over: at most
    one incarnation holds a right at any time. A run that is still in
    progress is handed over as ended without an answer.
    """
    if table.heir is not None:
        return None
    table.heir = heir
    uses = {
        right: attrs.evolve(use, ended=True)
        for right, use in table.uses.items()
    }
    return HandOver(issuers=frozenset(table.adopted | {self_id}), uses=uses)


def adopt(table: RightsTable, handed_over: HandOver) -> bool:
    """Take over a leaving node's rights; False if this one has an heir itself.

    Marks are adopted before the issuers, and existing marks are kept.
    """
    if table.heir is not None:
        return False
    for right, use in handed_over.uses.items():
        table.uses.setdefault(right, use)
    table.adopted |= handed_over.issuers
    return True
