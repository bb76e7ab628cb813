"""Specification of a ticket, its issuer, the issuer's heir and the caller.

The caller sends the ticket to either node at any time and any number of
times. A call to the wrong node is relayed, which is equivalent to a call to
the right one, or lost. The caller gives up CALLER_WAIT ticks after its last
call. If the request has not run by then, it takes a new ticket, so a later
run of the first ticket applies the request twice. The issuer may assign its
heir at any time; the hand-over arrives late or never. Nodes may drop expired
marks at any time. A node that marked the ticket used may pause for any time
before it sends, and a run may end with or without an answer. The heir's
clock is SKEW ahead. Assumption: a call reaches its node at once or never.
Bound: LAST tick.
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
NOT_SENT = outcomes.NotRun(outcomes.Reason.DEADLINE, "paused too long")
NODES = (ISSUER, HEIR)


@attrs.frozen
class Node:
    """State of a node: its rights table, and a run that is to be sent.

    ``received`` is when the call of that run was received.
    """

    use: tickets.Use | None = None
    is_holder: bool = False
    has_heir: bool = False
    received: int | None = None


@attrs.frozen
class System:
    """State of both nodes, the hand-over in transit, and the caller."""

    now: int = 0
    nodes: tuple[Node, Node] = (Node(is_holder=True), Node())
    handed_over: tuple[tickets.Use | None] | None = None
    runs: int = 0
    last_call: int = 0
    took_new_ticket: bool = False
    ran_late: bool = False
    false_not_run: bool = False


def restore(node: Node, index: int) -> tickets.RightsTable:
    """Restore a node's rights table."""
    rights = tickets.RightsTable(heir=HEIR if node.has_heir else None)
    if node.use is not None:
        rights.uses[RIGHT] = node.use
    if node.is_holder and index == 1:
        rights.adopted.add(ISSUER)
    return rights


def write(node: Node, index: int, rights: tickets.RightsTable) -> Node:
    """Return the node with the state of its rights table."""
    return attrs.evolve(
        node,
        use=rights.uses.get(RIGHT),
        is_holder=tickets.holds(rights, ISSUER, NODES[index]),
        has_heir=rights.heir is not None,
    )


def replace(system: System, index: int, node: Node) -> System:
    """Return the system with a node replaced."""
    one, other = system.nodes
    nodes = (one, node) if index else (node, other)
    return attrs.evolve(system, nodes=nodes)


def list_steps(system: System) -> typing.Iterator[kripke.Step]:
    """List all steps that may happen next."""
    if system.now < LAST:
        yield "a tick", attrs.evolve(system, now=system.now + 1)
    is_waiting = system.now < system.last_call + CALLER_WAIT
    if not is_waiting and system.runs == 0 and not system.took_new_ticket:
        renewed = attrs.evolve(system, took_new_ticket=True)
        yield "the caller takes a new ticket", renewed
    issuer = system.nodes[0]
    if not issuer.has_heir:
        rights = restore(issuer, 0)
        handed_over = tickets.assign_heir(rights, ISSUER, HEIR)
        assert handed_over is not None
        left = replace(system, 0, write(issuer, 0, rights))
        marks = (handed_over.uses.get(RIGHT),)
        yield (
            "the issuer assigns its heir",
            attrs.evolve(left, handed_over=marks),
        )
    if system.handed_over is not None:
        yield "the hand-over arrives", receive_hand_over(system)
    for index, node in enumerate(system.nodes):
        if not system.took_new_ticket:
            yield (
                f"{NODES[index][0]} is called",
                receive_call(system, index),
            )
        rights = restore(node, index)
        tickets.drop_expired(rights, system.now + index * SKEW, RULES)
        trimmed = replace(system, index, write(node, index, rights))
        yield f"{NODES[index][0]} drops expired marks", trimmed
        if node.received is not None:
            yield f"{NODES[index][0]} resumes", dispatch(system, index)
        elif node.use is not None and not node.use.ended:
            for outcome in (ANSWER, make_unknown()):
                rights = restore(node, index)
                tickets.record_outcome(rights, RIGHT, outcome)
                ended = replace(system, index, write(node, index, rights))
                yield f"{NODES[index][0]} ends its run", ended


def make_unknown() -> outcomes.Unknown:
    """Make the outcome of a run without an answer."""
    return outcomes.Unknown(outcomes.Reason.ENDPOINT_SILENT, "look")


def receive_hand_over(system: System) -> System:
    """The heir adopts the marks and the issuer's rights."""
    assert system.handed_over is not None
    (use,) = system.handed_over
    uses = {} if use is None else {RIGHT: use}
    rights = restore(system.nodes[1], 1)
    handed_over = tickets.HandOver(issuers=frozenset({ISSUER}), uses=uses)
    tickets.adopt(rights, handed_over)
    system = replace(system, 1, write(system.nodes[1], 1, rights))
    return attrs.evolve(system, handed_over=None)


def receive_call(system: System, index: int) -> System:
    """A node receives a call with the ticket."""
    node = system.nodes[index]
    rights = restore(node, index)
    system = attrs.evolve(system, last_call=system.now)
    if not tickets.holds(rights, ISSUER, NODES[index]):
        return system
    wall_ms = system.now + index * SKEW
    match tickets.decide(rights, RIGHT, EXPIRES, wall_ms, RULES):
        case tickets.Run():
            tickets.mark_used(rights, RIGHT, EXPIRES)
            node = write(node, index, rights)
            marked = attrs.evolve(node, received=system.now)
            return replace(system, index, marked)
        case tickets.Refuse(outcomes.NotRun()):
            return attrs.evolve(system, false_not_run=system.runs > 0)
    return system


def dispatch(system: System, index: int) -> System:
    """The holder sends, unless it was paused for too long."""
    node = system.nodes[index]
    assert node.received is not None
    idle = attrs.evolve(node, received=None)
    if not claims.may_dispatch(node.received, system.now, DISPATCH_WITHIN):
        rights = restore(idle, index)
        tickets.record_outcome(rights, RIGHT, NOT_SENT)
        return replace(system, index, write(idle, index, rights))
    late = system.ran_late or system.took_new_ticket
    system = replace(system, index, idle)
    return attrs.evolve(system, runs=system.runs + 1, ran_late=late)


def is_bad(system: System) -> bool:
    """Whether the request ran twice or late, or "not run" was false.

    A run is late if the caller has already taken a new ticket.
    """
    return system.runs > 1 or system.ran_late or system.false_not_run


SPEC = kripke.Spec(System(), list_steps, is_bad)
