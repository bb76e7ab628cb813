"""A caller's own key: claims on the log, and what the winner does.

One key, which its caller sends to either node at any time, as often as it
likes. Claims may arrive at any later time or never; nodes read the log as
late as they like, and restart once each. Nothing bounds how long a node's
next step takes, so each is frozen anywhere and woken. The log may forget its
oldest record at any time, as one that keeps a number of records would; nodes
may forget the winner once the key is past its window. The second node's
clock is SKEW ahead. Bounds: one key, two nodes, one restart each, each claim
once in the log.
"""

import typing

import attrs

from carawayward.protocol import claims
from carawayward.protocol import tickets
from tests.model import kripke

SKEW = 1
YOUNG, OLD = 1, 9
RULES = claims.Rules(window_ms=4, skew_ms=SKEW)
BOOK_RULES = tickets.Rules(skew_ms=SKEW)
KEY = ("alpha", "k")
RIGHT = "key alpha k"
NEVER = float("-inf")


@attrs.frozen
class Node:
    """One node: its table, its book's mark, and what it is about to do."""

    incarnation: int = 1
    covered_from: float = NEVER
    read_to: int = 0
    winner: int = 0
    winner_covered_from: float = NEVER
    waits: bool = False
    used: bool = False
    sends: bool = False


@attrs.frozen
class World:
    """Everything; ``log`` and ``on_the_way`` hold (node, incarnation)."""

    now: int = YOUNG
    log: tuple[tuple[int, int], ...] = ()
    oldest: int = 1
    on_the_way: frozenset[tuple[int, int]] = frozenset()
    nodes: tuple[Node, Node] = (Node(), Node())
    runs: int = 0


def make_claim(node: int, incarnation: int) -> claims.Claim:
    """The claim of one incarnation."""
    return claims.Claim(
        claim_id=f"{node}-{incarnation}",
        customer=KEY[0],
        request_key=KEY[1],
        node=str(node),
        incarnation=str(incarnation),
        made_ms=0,
    )


def make_group(world: World, offset: int) -> claims.ClaimGroup:
    """A record of the log."""
    claim = make_claim(*world.log[offset - 1])
    return claims.ClaimGroup(offset=offset, at_ms=YOUNG, claims=(claim,))


def restore(world: World, node: Node) -> claims.ClaimTable:
    """A node's table."""
    table = claims.ClaimTable(
        covered_from_ms=node.covered_from, read_to=node.read_to
    )
    if node.winner:
        group = make_group(world, node.winner)
        table.winners[KEY] = claims.Winner(
            claim=group.claims[0],
            offset=group.offset,
            at_ms=group.at_ms,
            covered_from_ms=node.winner_covered_from,
        )
    return table


def write(node: Node, table: claims.ClaimTable) -> Node:
    """A node with another table."""
    winner = table.winners.get(KEY)
    return attrs.evolve(
        node,
        covered_from=table.covered_from_ms,
        read_to=table.read_to,
        winner=winner.offset if winner else 0,
        winner_covered_from=winner.covered_from_ms if winner else NEVER,
    )


def list_steps(
    world: World, restarting: int, ages: bool
) -> typing.Iterator[kripke.Step]:
    """Everything that may happen next."""
    if world.now == YOUNG and ages:
        yield "the key grows old", attrs.evolve(world, now=OLD)
    if world.oldest <= len(world.log):
        forgetful = attrs.evolve(world, oldest=world.oldest + 1)
        yield "the log forgets a record", forgetful
    for claim in sorted(world.on_the_way):
        arrived = attrs.evolve(
            world,
            log=(*world.log, claim),
            on_the_way=world.on_the_way - {claim},
        )
        yield f"the claim of {claim} arrives", arrived
    for index, node in enumerate(world.nodes):
        yield f"{index} is called", take_call(world, index)
        if node.read_to < len(world.log):
            yield f"{index} reads a record", read_record(world, index)
        if node.winner and world.now == OLD:
            table = restore(world, node)
            claims.drop_expired(table, world.now + index * SKEW, RULES)
            lighter = replace(world, index, write(node, table))
            yield f"{index} forgets", lighter
        if node.sends:
            rested = replace(world, index, attrs.evolve(node, sends=False))
            sent = attrs.evolve(rested, runs=world.runs + 1)
            yield f"{index} wakes and sends", sent
        if node.incarnation == 1 and index < restarting:
            fresh = begin(world, Node(incarnation=2), index)
            yield f"{index} restarts", replace(world, index, fresh)


def replace(world: World, index: int, node: Node) -> World:
    """The world with another node in a place."""
    one, other = world.nodes
    nodes = (one, node) if index else (node, other)
    return attrs.evolve(world, nodes=nodes)


def begin(world: World, node: Node, index: int) -> Node:
    """Start to read at the oldest record."""
    covered_from = float(world.now + index * SKEW + SKEW)
    if world.oldest <= len(world.log):
        covered_from = float(YOUNG)
    table = restore(world, node)
    claims.start_reading(table, world.oldest, covered_from)
    return write(node, table)


def decide(world: World, index: int) -> claims.Verdict:
    """The shipped decision about the key."""
    node = world.nodes[index]
    return claims.decide(
        restore(world, node),
        KEY,
        0,
        world.now + index * SKEW,
        (str(index), str(node.incarnation)),
        RULES,
    )


def take_call(world: World, index: int) -> World:
    """The caller sends its key to a node."""
    node = world.nodes[index]
    verdict = decide(world, index)
    if verdict is claims.Verdict.RUN_HERE:
        return present(world, index)
    if verdict is not claims.Verdict.CLAIM:
        return world
    claim = (index, node.incarnation)
    world = replace(world, index, attrs.evolve(node, waits=True))
    if claim in world.log:
        return world
    return attrs.evolve(world, on_the_way=world.on_the_way | {claim})


def read_record(world: World, index: int) -> World:
    """A node folds the next record; a call that waits goes on."""
    node = world.nodes[index]
    if node.read_to + 1 < world.oldest:
        return replace(world, index, begin(world, node, index))
    table = restore(world, node)
    claims.fold_claims(table, [make_group(world, node.read_to + 1)])
    waits = node.waits
    node = attrs.evolve(write(node, table), waits=False)
    world = replace(world, index, node)
    if waits and decide(world, index) is claims.Verdict.RUN_HERE:
        return present(world, index)
    return world


def present(world: World, index: int) -> World:
    """The book decides; the mark is set before anything is sent."""
    node = world.nodes[index]
    book = tickets.RightsTable()
    if node.used:
        tickets.mark_used(book, RIGHT, RULES.window_ms)
    wall = world.now + index * SKEW
    found = tickets.decide(book, RIGHT, RULES.window_ms, wall, BOOK_RULES)
    if not isinstance(found, tickets.Run):
        return world
    tickets.mark_used(book, RIGHT, RULES.window_ms)
    marked = attrs.evolve(node, used=RIGHT in book.uses, sends=True)
    return replace(world, index, marked)


def is_bad(world: World) -> bool:
    """It ran twice."""
    return world.runs > 1


def make_spec(restarting: int, ages: bool) -> kripke.Spec:
    """The specification, with the first nodes restarting, and the key aging.

    With ``restarting`` 2 it has 242,600 states: too many for the engine.
    """

    def list_bound_steps(world: World) -> typing.Iterator[kripke.Step]:
        return list_steps(world, restarting, ages)

    return kripke.Spec(World(), list_bound_steps, is_bad)
