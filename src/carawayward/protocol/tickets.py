"""Tickets: the right of one incarnation to run one request, once.

The book of an incarnation says what became of each right that it holds: its
own tickets, and keys whose claims it won. A right is marked used before the
first byte goes out, in memory that only this incarnation has. A pause of any
length cannot make a second run, since the mark is where the decision is;
a crash loses book and right together.

Both end. A ticket that has expired is never run, and its mark is kept past
that by ``retention_ms``; a mark is dropped only when the ticket can no longer
be taken for an unused one.
"""

import dataclasses

import attrs

from carawayward import outcomes


@attrs.frozen(kw_only=True)
class Rules:
    """Times in ms and the most marks that a book holds.

    The limit bounds memory: a mark takes some 300 bytes, an answer more,
    so answers are dropped first (``max_answers``), marks never early.
    """

    skew_ms: int = 2_000
    retention_ms: int = 600_000
    max_marks: int = 50_000
    max_answers: int = 5_000


@attrs.frozen(kw_only=True)
class Use:
    """A used right: running, ended with ``outcome``, or its answer dropped.

    ``expires_ms`` is the wall time after which the right is never run.
    """

    expires_ms: int
    ended: bool = False
    outcome: outcomes.Outcome | None = None


@attrs.define
class RightsTable:
    """The rights that one incarnation holds.

    ``adopted`` are incarnations whose rights were handed to this one, and
    ``heir`` is to whom this one handed its own: (name, incarnation).
    ``left_ms`` says when an adopted incarnation left (wall clock), as far as
    that is known.
    """

    uses: dict[str, Use] = attrs.field(factory=dict)
    adopted: set[tuple[str, str]] = attrs.field(factory=set)
    heir: tuple[str, str] | None = None
    left_ms: dict[tuple[str, str], int] = attrs.field(factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Run it now; the caller of ``decide`` has to mark it used first."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The first run is under way; its answer is this call's answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The first run has ended; give its outcome."""

    outcome: outcomes.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Another incarnation holds the right now; only it may say more."""

    to: tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Not run by this call; the outcome says what is known."""

    outcome: outcomes.Outcome


Decision = Run | Wait | Replay | Relay | Refuse


def holds(
    book: RightsTable, issuer: tuple[str, str], self_id: tuple[str, str]
) -> bool:
    """Whether this incarnation's book speaks for an issuer's rights."""
    return issuer == self_id or issuer in book.adopted


def decide(
    book: RightsTable, right: str, expires_ms: int, wall_ms: int, rules: Rules
) -> Decision:
    """What to do with a right that this book speaks for."""
    if book.heir is not None:
        return Relay(book.heir)
    use = book.uses.get(right)
    if use is not None:
        return _present_used(use)
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
    if len(book.uses) >= rules.max_marks:
        return Refuse(
            outcomes.NotRun(
                outcomes.Reason.OVERLOADED,
                "too many requests that may not be repeated; come back",
                5_000,
            )
        )
    return Run()


def _present_used(use: Use) -> Decision:
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


def mark_used(book: RightsTable, right: str, expires_ms: int) -> None:
    """Note that the right is spent, before the first byte goes out."""
    book.uses[right] = Use(expires_ms=expires_ms)


def record_outcome(
    book: RightsTable, right: str, outcome: outcomes.Outcome
) -> None:
    """Keep the outcome of a run, or free a right that was surely not run.

    Only ``NotRun`` frees it: the dispatcher says that only when no byte
    has left, so the same right may be tried again.
    """
    use = book.uses.get(right)
    if use is None:
        return
    if isinstance(outcome, outcomes.NotRun):
        del book.uses[right]
        return
    book.uses[right] = attrs.evolve(use, ended=True, outcome=outcome)


def drop_expired(book: RightsTable, wall_ms: int, rules: Rules) -> None:
    """Drop ended marks past their time, and the oldest answers over the bound.

    A mark goes only when ``decide`` would refuse its right as lost: one
    dropped earlier would make a used ticket look unused.
    """
    horizon = wall_ms - rules.retention_ms - rules.skew_ms
    book.uses = {
        right: use
        for right, use in book.uses.items()
        if use.expires_ms >= horizon or not use.ended
    }
    answered = [r for r, use in book.uses.items() if use.outcome is not None]
    for right in answered[: max(0, len(answered) - rules.max_answers)]:
        book.uses[right] = attrs.evolve(book.uses[right], outcome=None)


def drop_expired_issuers(
    book: RightsTable, wall_ms: int, longest_ms: int, rules: Rules
) -> None:
    """Stop speaking for incarnations whose last rights ended long ago.

    Made for VMs that are replaced all day: without it the list would grow
    with every hand-over down the line. ``longest_ms`` is how long any right
    lasts; past it and ``retention_ms`` a resend is answered as lost either
    way.
    """
    horizon = wall_ms - longest_ms - rules.retention_ms - 2 * rules.skew_ms
    for issuer, left_ms in list(book.left_ms.items()):
        if left_ms < horizon:
            book.adopted.discard(issuer)
            del book.left_ms[issuer]


@attrs.frozen(kw_only=True)
class HandOver:
    """What a leaving incarnation gives to its heir."""

    issuers: frozenset[tuple[str, str]]
    uses: dict[str, Use]


def assign_heir(
    book: RightsTable, self_id: tuple[str, str], heir: tuple[str, str]
) -> HandOver | None:
    """Give all rights away, once; None if that was done before.

    From here on ``decide`` only relays. The heir is set before anything
    is sent, so whether the message arrives makes no difference to safety:
    at most one book ever speaks for a right. A run that is still under way
    goes over as spent with no answer.
    """
    if book.heir is not None:
        return None
    book.heir = heir
    uses = {
        right: attrs.evolve(use, ended=True)
        for right, use in book.uses.items()
    }
    return HandOver(issuers=frozenset(book.adopted | {self_id}), uses=uses)


def adopt(book: RightsTable, given: HandOver) -> bool:
    """Take over a leaving node's rights; False if this one gave up its own.

    Marks are taken before the issuers, and none that is here is replaced.
    """
    if book.heir is not None:
        return False
    for right, use in given.uses.items():
        book.uses.setdefault(right, use)
    book.adopted |= given.issuers
    return True
