"""Claims: who may run a request that its caller named with its own key.

A claim is a record of the log's stream "claims". The first claim of a
(customer, key) in log order wins, on every reader, so two nodes that got the
same request at once agree without talking to each other. The winner treats
the key as a ticket of its own (see ``tickets``); all others ask the winner.

The log forgets. A key therefore states when its caller made it, and no claim
of it can be older than that, up to clock skew. Two guards follow:

- a key older than the window (well under the log's retention) is never run:
  its first claim may have left the log;
- a reader judges only keys made after the oldest record that it has read,
  so one that started late, or fell behind the log's tail, refuses instead of
  taking "no claim read" for "no claim made". This also holds for a log that
  keeps a number of records rather than a time.
"""

import enum
import typing

import attrs


@attrs.frozen(kw_only=True)
class Claim:
    """A node's wish to run one request; ``made_ms`` is the key's own time."""

    claim_id: str
    customer: str
    request_key: str
    node: str
    incarnation: str
    made_ms: int

    @property
    def key(self) -> tuple[str, str]:
        """What makes two claims compete."""
        return self.customer, self.request_key


@attrs.frozen(kw_only=True)
class Rules:
    """Times in ms; ``skew_ms`` bounds any two clocks' difference."""

    window_ms: int = 3_600_000
    skew_ms: int = 2_000
    dispatch_within_ms: int = 10_000


@attrs.frozen(kw_only=True)
class Winner:
    """The claim in force for a key, and where it stands in the log.

    ``at_ms`` is the log's time of the record, ``covered_from_ms`` what the
    reader's table covered when it took the claim.
    """

    claim: Claim
    offset: int
    at_ms: int
    covered_from_ms: float = float("-inf")


@attrs.frozen(kw_only=True)
class ClaimGroup:
    """One record of the stream: claims in order, and its place and time."""

    offset: int
    at_ms: int
    claims: tuple[Claim, ...]


@attrs.define(kw_only=True)
class ClaimTable:
    """What a reader of the stream knows.

    All claims appended after ``covered_from_ms`` (wall clock, log's time)
    and up to offset ``read_to`` have been read.
    """

    covered_from_ms: float = float("inf")
    read_to: int = 0
    winners: dict[tuple[str, str], Winner] = attrs.field(factory=dict)


class Verdict(enum.Enum):
    """What a node does with a request under a caller's key."""

    CLAIM = "claim"
    RUN_HERE = "run-here"
    ASK_WINNER = "ask-winner"
    TOO_OLD = "too-old"
    FROM_FUTURE = "from-future"
    NOT_COVERED = "not-covered"


def start_reading(
    table: ClaimTable, oldest: int, covered_from_ms: float
) -> None:
    """Start to read at ``oldest``, at first or after a gap.

    ``covered_from_ms`` is the time of the oldest record kept, or the wall
    clock if the stream is empty but once held records; whoever reads from
    offset 1 has missed nothing.
    """
    table.covered_from_ms = float("-inf") if oldest <= 1 else covered_from_ms
    table.read_to = oldest - 1


def fold_claims(
    table: ClaimTable, groups: typing.Iterable[ClaimGroup]
) -> None:
    """Fold groups in offset order; the first claim of a key wins."""
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
    """Drop winners whose keys no node would run any more."""
    horizon = wall_ms - rules.window_ms - 2 * rules.skew_ms
    old = [
        key
        for key, winner in table.winners.items()
        if winner.claim.made_ms < horizon
    ]
    for key in old:
        del table.winners[key]


def limit_winners(table: ClaimTable, most: int) -> None:
    """Keep at most ``most`` winners, so that a flood cannot fill memory.

    The oldest go, and with them the right to judge keys of their time: the
    table then covers only what came after them.
    """
    surplus = len(table.winners) - most
    if surplus <= 0:
        return
    for key in list(table.winners)[:surplus]:
        winner = table.winners.pop(key)
        table.covered_from_ms = max(table.covered_from_ms, winner.at_ms)


def is_too_old(made_ms: int, wall_ms: int, rules: Rules) -> bool:
    """Whether a key's first claim may have left the log."""
    return made_ms < wall_ms - rules.window_ms


def is_from_future(made_ms: int, wall_ms: int, rules: Rules) -> bool:
    """Whether a key was made later than any honest clock can say.

    Such a key would stay runnable past the window of its real age.
    """
    return made_ms > wall_ms + rules.skew_ms


def is_covered(covered_from_ms: float, made_ms: int, rules: Rules) -> bool:
    """Whether every claim that a key can have would have been read."""
    return covered_from_ms < made_ms - rules.skew_ms


def decide(
    table: ClaimTable,
    key: tuple[str, str],
    made_ms: int,
    wall_ms: int,
    self_id: tuple[str, str],
    rules: Rules,
) -> Verdict:
    """What to do with a request under ``key``.

    ``self_id`` is this node's name and incarnation. A claim that is known
    is followed whatever the key's age: its winner may still have the answer.

    A node that fell behind the log's tail while its own claim was on the way
    finds that claim first in what is left. It is not run unless the table
    covered the key when the claim was read, since the one before it may
    have left the log.
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


def may_dispatch(claimed_ms: float, now_ms: float, limit_ms: float) -> bool:
    """Whether a winner may still send the first byte.

    A winner that was paused wakes up believing that it is in charge. Its
    caller was told "unknown" long ago, has looked, and may have sent the
    request anew under another key; a run now would double the record. The
    node asks on both its clocks, since a suspended VM stops the monotonic
    one and a corrected wall clock may jump.
    """
    return 0 <= now_ms - claimed_ms <= limit_ms


def encode(claims: typing.Sequence[Claim]) -> dict:
    """Form of a group of claims as one record of the log."""
    return {"claims": [list(attrs.astuple(claim)) for claim in claims]}


def decode(data: object) -> tuple[Claim, ...]:
    """Read a record's claims; none for a record that makes no sense."""
    if not isinstance(data, dict) or not isinstance(data.get("claims"), list):
        return ()
    names = [field.name for field in attrs.fields(Claim)]
    found = []
    for row in data["claims"]:
        match row:
            case [str(), str(), str(), str(), str(), int()]:
                found.append(Claim(**dict(zip(names, row, strict=True))))
    return tuple(found)
