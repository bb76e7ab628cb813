"""Specification of claims: a caller's own key, the log and the winner.

The caller sends one key to either node at any time and any number of times.
Claims may reach the log at any later time or never; nodes may read the log
arbitrarily late, and restart once each. The time until a node's next step is
unbounded, so each may be paused at any point and resume. The log may drop
its oldest record at any time, as one that retains a number of records would;
nodes may drop the winner once the key is past its window. The second node's
clock is SKEW ahead. Bounds: one key, two nodes, one restart each, each claim
once in the log.
"""

import typing

import attrs

from carawayward.protocol import claims
from carawayward.protocol import tickets
from tests.model import kripke

SKEW = 1
# Times within and past the window of a key made at 0.
IN_WINDOW, PAST_WINDOW = 1, 9
RULES = claims.Rules(window_ms=4, skew_ms=SKEW)
TICKET_RULES = tickets.Rules(skew_ms=SKEW)
KEY = ("alpha", "k")
RIGHT = "key alpha k"
NEVER = float("-inf")


@attrs.frozen
class Node:
    """State of a node: its claim table, its mark and its next steps.

    ``winner`` is the offset of the winning claim, or 0; ``waits`` means that
    a call waits for the claim, ``sends`` that a run was marked and is still
    to be sent.
    """

    incarnation: int = 1
    covered_from: float = NEVER
    read_to: int = 0
    winner: int = 0
    winner_covered_from: float = NEVER
    waits: bool = False
    used: bool = False
    sends: bool = False


@attrs.frozen
class System:
    """State of the system; a claim is written as (node, incarnation)."""

    now: int = IN_WINDOW
    log: tuple[tuple[int, int], ...] = ()
    oldest: int = 1
    in_transit: frozenset[tuple[int, int]] = frozenset()
    nodes: tuple[Node, Node] = (Node(), Node())
    runs: int = 0


def make_claim(node: int, incarnation: int) -> claims.Claim:
    """Make the claim of one incarnation."""
    return claims.Claim(
        claim_id=f"{node}-{incarnation}",
        customer=KEY[0],
        request_key=KEY[1],
        node=str(node),
        incarnation=str(incarnation),
        made_ms=0,
    )


def make_group(system: System, offset: int) -> claims.ClaimGroup:
    """Make the record at an offset of the log."""
    claim = make_claim(*system.log[offset - 1])
    return claims.ClaimGroup(offset=offset, at_ms=IN_WINDOW, claims=(claim,))


def restore(system: System, node: Node) -> claims.ClaimTable:
    """Restore a node's claim table."""
    table = claims.ClaimTable(
        covered_from_ms=node.covered_from, read_to=node.read_to
    )
    if node.winner:
        group = make_group(system, node.winner)
        table.winners[KEY] = claims.Winner(
            claim=group.claims[0],
            offset=group.offset,
            at_ms=group.at_ms,
            covered_from_ms=node.winner_covered_from,
        )
    return table


def write(node: Node, table: claims.ClaimTable) -> Node:
    """Return the node with the state of ``table``."""
    winner = table.winners.get(KEY)
    return attrs.evolve(
        node,
        covered_from=table.covered_from_ms,
        read_to=table.read_to,
        winner=winner.offset if winner else 0,
        winner_covered_from=winner.covered_from_ms if winner else NEVER,
    )


def list_steps(
    system: System, restarting: int, ages: bool
) -> typing.Iterator[kripke.Step]:
    """List all steps that may happen next."""
    if system.now == IN_WINDOW and ages:
        yield (
            "the key leaves its window",
            attrs.evolve(system, now=PAST_WINDOW),
        )
    if system.oldest <= len(system.log):
        truncated = attrs.evolve(system, oldest=system.oldest + 1)
        yield "the log drops a record", truncated
    for claim in sorted(system.in_transit):
        appended = attrs.evolve(
            system,
            log=(*system.log, claim),
            in_transit=system.in_transit - {claim},
        )
        yield f"the claim of {claim} is appended", appended
    for index, node in enumerate(system.nodes):
        yield f"{index} is called", receive_call(system, index)
        if node.read_to < len(system.log):
            yield f"{index} reads a record", read_record(system, index)
        if node.winner and system.now == PAST_WINDOW:
            table = restore(system, node)
            claims.drop_expired(table, system.now + index * SKEW, RULES)
            trimmed = replace(system, index, write(node, table))
            yield f"{index} drops expired winners", trimmed
        if node.sends:
            idle = replace(system, index, attrs.evolve(node, sends=False))
            sent = attrs.evolve(idle, runs=system.runs + 1)
            yield f"{index} resumes and sends", sent
        if node.incarnation == 1 and index < restarting:
            fresh = start_reading(system, Node(incarnation=2), index)
            yield f"{index} restarts", replace(system, index, fresh)


def replace(system: System, index: int, node: Node) -> System:
    """Return the system with a node replaced."""
    one, other = system.nodes
    nodes = (one, node) if index else (node, other)
    return attrs.evolve(system, nodes=nodes)


def start_reading(system: System, node: Node, index: int) -> Node:
    """Start to read at the oldest record of the log."""
    covered_from = float(system.now + index * SKEW + SKEW)
    if system.oldest <= len(system.log):
        covered_from = float(IN_WINDOW)
    table = restore(system, node)
    claims.start_reading(table, system.oldest, covered_from)
    return write(node, table)


def decide(system: System, index: int) -> claims.Verdict:
    """Decide on the key with the shipped function."""
    node = system.nodes[index]
    return claims.decide(
        restore(system, node),
        KEY,
        0,
        system.now + index * SKEW,
        (str(index), str(node.incarnation)),
        RULES,
    )


def receive_call(system: System, index: int) -> System:
    """A node receives a call with the key."""
    node = system.nodes[index]
    verdict = decide(system, index)
    if verdict is claims.Verdict.RUN_HERE:
        return decide_right(system, index)
    if verdict is not claims.Verdict.CLAIM:
        return system
    claim = (index, node.incarnation)
    system = replace(system, index, attrs.evolve(node, waits=True))
    if claim in system.log:
        return system
    return attrs.evolve(system, in_transit=system.in_transit | {claim})


def read_record(system: System, index: int) -> System:
    """A node folds the next record; a waiting call continues."""
    node = system.nodes[index]
    if node.read_to + 1 < system.oldest:
        return replace(system, index, start_reading(system, node, index))
    table = restore(system, node)
    claims.fold_claims(table, [make_group(system, node.read_to + 1)])
    waits = node.waits
    node = attrs.evolve(write(node, table), waits=False)
    system = replace(system, index, node)
    if waits and decide(system, index) is claims.Verdict.RUN_HERE:
        return decide_right(system, index)
    return system


def decide_right(system: System, index: int) -> System:
    """Decide on the right, and mark it used before anything is sent."""
    node = system.nodes[index]
    rights = tickets.RightsTable()
    if node.used:
        tickets.mark_used(rights, RIGHT, RULES.window_ms)
    wall_ms = system.now + index * SKEW
    decision = tickets.decide(
        rights, RIGHT, RULES.window_ms, wall_ms, TICKET_RULES
    )
    if not isinstance(decision, tickets.Run):
        return system
    tickets.mark_used(rights, RIGHT, RULES.window_ms)
    marked = attrs.evolve(node, used=RIGHT in rights.uses, sends=True)
    return replace(system, index, marked)


def is_bad(system: System) -> bool:
    """Whether the request ran twice."""
    return system.runs > 1


def make_spec(restarting: int, ages: bool) -> kripke.Spec:
    """Make the specification.

    The first ``restarting`` nodes may restart; with ``ages``, the key may
    leave its window. With ``restarting`` 2, there are 242,600 states, which
    are too many for the engine.
    """

    def list_spec_steps(system: System) -> typing.Iterator[kripke.Step]:
        return list_steps(system, restarting, ages)

    return kripke.Spec(System(), list_spec_steps, is_bad)
