"""Claims: which node may run a request that has a caller's own key.

A claim is appended to the stream "claims" of the log. On every reader, the
first claim of a (customer, key) in log order wins, so two nodes that receive
the same request concurrently agree without contacting each other. The winner
treats the key like a ticket that it issued (see ``tickets``); all others ask
the winner.

The log drops old records. Each key therefore carries the time at which its
caller made it; no claim of it can be older than that, up to clock skew. Two
guards follow:

- a key older than the window (well under the log's retention) is never run,
  since its first claim may have been dropped from the log;
- a reader decides only on keys made after the oldest record that it has
  read. A reader that started late, or fell behind the oldest record of the
  log, refuses instead of taking "no claim read" for "no claim made". This
  also holds for a log that retains a number of records rather than a time.
"""

import enum
import typing

import attrs


@attrs.frozen(kw_only=True)
class Claim:
    """A node's request to run a call; ``made_ms`` is when the key was made."""

    claim_id: str
    customer: str
    request_key: str
    node: str
    incarnation: str
    made_ms: int

    @property
    def key(self) -> tuple[str, str]:
        """Claims of one key compete; the first in the log wins."""
        return self.customer, self.request_key


@attrs.frozen(kw_only=True)
class Rules:
    """Times in ms; ``skew_ms`` bounds the difference of any two clocks."""

    window_ms: int = 3_600_000
    skew_ms: int = 2_000
    dispatch_within_ms: int = 10_000


@attrs.frozen(kw_only=True)
class Winner:
    """The winning claim of a key and its position in the log.

    ``at_ms`` is the log's timestamp of the record, ``covered_from_ms`` that
    of the reader's table when it read the claim.
    """

    claim: Claim
    offset: int
    at_ms: int
    covered_from_ms: float = float("-inf")


@attrs.frozen(kw_only=True)
class ClaimGroup:
    """One record of the stream: a batch of claims in order."""

    offset: int
    at_ms: int
    claims: tuple[Claim, ...]


@attrs.define(kw_only=True)
class ClaimTable:
    """State of a reader of the stream.

    It has read all claims that were appended after ``covered_from_ms`` (wall
    clock of the log), up to offset ``read_to``.
    """

    covered_from_ms: float = float("inf")
    read_to: int = 0
    winners: dict[tuple[str, str], Winner] = attrs.field(factory=dict)


class Verdict(enum.Enum):
    """How a node handles a request with a caller's key."""

    CLAIM = "claim"
    RUN_HERE = "run-here"
    ASK_WINNER = "ask-winner"
    TOO_OLD = "too-old"
    FROM_FUTURE = "from-future"
    NOT_COVERED = "not-covered"


def start_reading(
    table: ClaimTable, oldest: int, covered_from_ms: float
) -> None:
    """Start to read at ``oldest``, initially or after a gap.

    ``covered_from_ms`` is the time of the oldest record in the log, or the
    wall clock if all its records have been dropped. A reader that starts at
    offset 1 has missed nothing.
    """
    table.covered_from_ms = float("-inf") if oldest <= 1 else covered_from_ms
    table.read_to = oldest - 1


def fold_claims(
    table: ClaimTable, groups: typing.Iterable[ClaimGroup]
) -> None:
    """Fold records in offset order; the first claim of a key wins."""
    for group in groups:
        if group.offset <= table.read_to:
            continue
        table.read_to = group.offset
        for claim in group.claims:
            if claim.key not in table.winners:
                table.winners[claim.key] = Winner(
                    claim=claim,
                    offset=group.offset,
                    at_ms=group.at_ms,
                    covered_from_ms=table.covered_from_ms,
                )


def drop_expired(table: ClaimTable, wall_ms: int, rules: Rules) -> None:
    """Drop winners whose keys are too old for any node to run."""
    horizon = wall_ms - rules.window_ms - 2 * rules.skew_ms
    old = [
        key
        for key, winner in table.winners.items()
        if winner.claim.made_ms < horizon
    ]
    for key in old:
        del table.winners[key]


def limit_winners(table: ClaimTable, max_winners: int) -> None:
    """Keep at most ``max_winners``, so that a flood cannot exhaust memory.

    The oldest winners are dropped. The table then covers only the time after
    them, so that older keys are refused as not covered.
    """
    surplus = len(table.winners) - max_winners
    if surplus <= 0:
        return
    for key in list(table.winners)[:surplus]:
        winner = table.winners.pop(key)
        table.covered_from_ms = max(table.covered_from_ms, winner.at_ms)


def is_too_old(made_ms: int, wall_ms: int, rules: Rules) -> bool:
    """Whether a key's first claim may have been dropped from the log."""
    return made_ms < wall_ms - rules.window_ms


def is_from_future(made_ms: int, wall_ms: int, rules: Rules) -> bool:
    """Whether a key's time is later than clock skew can explain.

    Such a key would be accepted for longer than its window allows.
    """
    return made_ms > wall_ms + rules.skew_ms


def is_covered(covered_from_ms: float, made_ms: int, rules: Rules) -> bool:
    """Whether every possible claim of a key would have been read."""
    return covered_from_ms < made_ms - rules.skew_ms


def decide(
    table: ClaimTable,
    key: tuple[str, str],
    made_ms: int,
    wall_ms: int,
    self_id: tuple[str, str],
    rules: Rules,
) -> Verdict:
    """Decide how to handle a request with ``key``.

    ``self_id`` is this node's name and incarnation. A known claim is
    followed whatever the age of the key, since its winner may still have the
    answer.

    A node that fell behind the oldest record of the log while its own claim
    was in transit finds that claim first among the remaining records. The
    request is not run unless the table covered the key when the claim was
    read, since an earlier claim may have been dropped from the log.
    """
    winner = table.winners.get(key)
    if winner is not None:
        claim = winner.claim
        if (claim.node, claim.incarnation) != self_id:
            return Verdict.ASK_WINNER
        if is_covered(winner.covered_from_ms, claim.made_ms, rules):
            return Verdict.RUN_HERE
        return Verdict.NOT_COVERED
    if is_too_old(made_ms, wall_ms, rules):
        return Verdict.TOO_OLD
    if is_from_future(made_ms, wall_ms, rules):
        return Verdict.FROM_FUTURE
    if not is_covered(table.covered_from_ms, made_ms, rules):
        return Verdict.NOT_COVERED
    return Verdict.CLAIM


def may_dispatch(received_ms: float, now_ms: float, limit_ms: float) -> bool:
    """Whether the holder of a request may still send its first byte.

    A holder that resumes after a pause still believes that the request is
    its to run. Meanwhile its caller was told "unknown", may have found no
    effect of the request, and may have sent it again under another key; a
    run now would apply it twice. The node checks this on both of its clocks,
    since the monotonic clock stops while a VM is suspended and a corrected
    wall clock may jump.
    """
    return 0 <= now_ms - received_ms <= limit_ms


def encode(claims: typing.Sequence[Claim]) -> dict:
    """Encode a group of claims as one record of the log."""
    return {"claims": [list(attrs.astuple(claim)) for claim in claims]}


def decode(data: object) -> tuple[Claim, ...]:
    """Decode a record's claims; malformed claims are left out."""
    if not isinstance(data, dict) or not isinstance(data.get("claims"), list):
        return ()
    names = [field.name for field in attrs.fields(Claim)]
    decoded = []
    for row in data["claims"]:
        match row:
            case [str(), str(), str(), str(), str(), int()]:
                decoded.append(Claim(**dict(zip(names, row, strict=True))))
    return tuple(decoded)
