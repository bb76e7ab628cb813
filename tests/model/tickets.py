"""A ticket, its issuer, the heir of a leaving issuer, and a caller's patience.

The caller presents the ticket to either node at any time, as often as it
likes; a call that reaches the wrong one is relayed, which is the same as a
call of the right one, or lost. It gives up CALLER_WAIT ticks after its last
call; if it then finds no run, it takes a new ticket, so a run of the first
one after that doubles the record. The issuer may name its heir at any time,
and the hand-over arrives late or never. Books forget what is old at any
time. A node that marked the ticket used may sleep for any time before it
sends, and a run may end with or without an answer. The heir's clock is SKEW
ahead. Assumed: a call reaches its node at once or never. Bound: LAST tick.
"""

import typing

import attrs

from carawayward import outcomes
from carawayward.protocol import claims
from carawayward.protocol import tickets
from tests.model import kripke

LAST = 6
EXPIRES = 2
CALLER_WAIT = 2
DISPATCH_WITHIN = 1
SKEW = 1
RULES = tickets.Rules(skew_ms=SKEW, retention_ms=2)
RIGHT = "ticket t"
ISSUER, HEIR = ("issuer", "1"), ("heir", "1")
ANSWER = outcomes.Answered(text="done", version="", endpoint="e")
NOT_SENT = outcomes.NotRun(outcomes.Reason.DEADLINE, "slept too long")
NODES = (ISSUER, HEIR)


@attrs.frozen
class Node:
    """A book's facts about the ticket, and a run that is to be sent."""

    use: tickets.Use | None = None
    speaks: bool = False
    gave_away: bool = False
    began: int | None = None


@attrs.frozen
class World:
    """Both nodes, the hand-over on its way, and what the caller knows."""

    now: int = 0
    nodes: tuple[Node, Node] = (Node(speaks=True), Node())
    given: tuple[tickets.Use | None] | None = None
    runs: int = 0
    called: int = 0
    sent_anew: bool = False
    ran_late: bool = False
    told_wrong: bool = False


def restore(node: Node, index: int) -> tickets.RightsTable:
    """A node's book."""
    book = tickets.RightsTable(heir=HEIR if node.gave_away else None)
    if node.use is not None:
        book.uses[RIGHT] = node.use
    if node.speaks and index == 1:
        book.adopted.add(ISSUER)
    return book


def write(node: Node, index: int, book: tickets.RightsTable) -> Node:
    """A node with another book."""
    return attrs.evolve(
        node,
        use=book.uses.get(RIGHT),
        speaks=tickets.holds(book, ISSUER, NODES[index]),
        gave_away=book.heir is not None,
    )


def replace(world: World, index: int, node: Node) -> World:
    """The world with another node in a place."""
    one, other = world.nodes
    nodes = (one, node) if index else (node, other)
    return attrs.evolve(world, nodes=nodes)


def list_steps(world: World) -> typing.Iterator[kripke.Step]:
    """Everything that may happen next."""
    if world.now < LAST:
        yield "a tick", attrs.evolve(world, now=world.now + 1)
    patient = world.now < world.called + CALLER_WAIT
    if not patient and world.runs == 0 and not world.sent_anew:
        anew = attrs.evolve(world, sent_anew=True)
        yield "the caller takes a new ticket", anew
    issuer = world.nodes[0]
    if not issuer.gave_away:
        book = restore(issuer, 0)
        given = tickets.assign_heir(book, ISSUER, HEIR)
        assert given is not None
        left = replace(world, 0, write(issuer, 0, book))
        parcel = (given.uses.get(RIGHT),)
        yield "the issuer names its heir", attrs.evolve(left, given=parcel)
    if world.given is not None:
        yield "the hand-over arrives", take_over(world)
    for index, node in enumerate(world.nodes):
        if not world.sent_anew:
            yield f"{NODES[index][0]} is called", take_call(world, index)
        book = restore(node, index)
        tickets.drop_expired(book, world.now + index * SKEW, RULES)
        lighter = replace(world, index, write(node, index, book))
        yield f"{NODES[index][0]} forgets", lighter
        if node.began is not None:
            yield f"{NODES[index][0]} goes on", dispatch(world, index)
        elif node.use is not None and not node.use.ended:
            for outcome in (ANSWER, tickets_unknown()):
                book = restore(node, index)
                tickets.record_outcome(book, RIGHT, outcome)
                ended = replace(world, index, write(node, index, book))
                yield f"{NODES[index][0]} ends", ended


def tickets_unknown() -> outcomes.Unknown:
    """The outcome of a run that gave no answer."""
    return outcomes.Unknown(outcomes.Reason.ENDPOINT_SILENT, "look")


def take_over(world: World) -> World:
    """The heir takes the marks and the right to speak."""
    assert world.given is not None
    (use,) = world.given
    uses = {} if use is None else {RIGHT: use}
    book = restore(world.nodes[1], 1)
    given = tickets.HandOver(issuers=frozenset({ISSUER}), uses=uses)
    tickets.adopt(book, given)
    world = replace(world, 1, write(world.nodes[1], 1, book))
    return attrs.evolve(world, given=None)


def take_call(world: World, index: int) -> World:
    """The caller presents its ticket to a node."""
    node = world.nodes[index]
    book = restore(node, index)
    world = attrs.evolve(world, called=world.now)
    if not tickets.holds(book, ISSUER, NODES[index]):
        return world
    wall = world.now + index * SKEW
    match tickets.decide(book, RIGHT, EXPIRES, wall, RULES):
        case tickets.Run():
            tickets.mark_used(book, RIGHT, EXPIRES)
            node = write(node, index, book)
            marked = attrs.evolve(node, began=world.now)
            return replace(world, index, marked)
        case tickets.Refuse(outcomes.NotRun()):
            return attrs.evolve(world, told_wrong=world.runs > 0)
    return world


def dispatch(world: World, index: int) -> World:
    """The holder sends, unless it has slept for too long."""
    node = world.nodes[index]
    assert node.began is not None
    rested = attrs.evolve(node, began=None)
    if not claims.may_dispatch(node.began, world.now, DISPATCH_WITHIN):
        book = restore(rested, index)
        tickets.record_outcome(book, RIGHT, NOT_SENT)
        return replace(world, index, write(rested, index, book))
    late = world.ran_late or world.sent_anew
    world = replace(world, index, rested)
    return attrs.evolve(world, runs=world.runs + 1, ran_late=late)


def is_bad(world: World) -> bool:
    """It ran twice, or too late, or "not run" was said of a run."""
    return world.runs > 1 or world.ran_late or world.told_wrong


SPEC = kripke.Spec(World(), list_steps, is_bad)
