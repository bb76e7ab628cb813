"""Hand-over of a leaving node's rights to run requests to one peer, its heir.

A node hands over once. It records the heir in its rights table (see
``protocol.tickets``) before it sends anything, and from then on only relays
calls to the heir. If the hand-over is lost, nobody holds the rights and
callers get "unknown"; two nodes never hold them. The marks of used rights
are sent first and the list of issuers last: an heir that got only some of
the marks must not take a used ticket for an unused one.
"""

import typing

import attrs

from carawayward import blackboard as blackboard_module
from carawayward import errors
from carawayward import events
from carawayward.gateway import replies
from carawayward.peers import hub as hub_module
from carawayward.protocol import tickets

MARKS_PER_MESSAGE = 500
MAX_ANSWER_CHARS = 4_000
HAND_OVER_TIMEOUT_MS = 2_000.0
# A member record lists only the newest incarnations that its node took over,
# at some 30 bytes each. Peers that learned of older ones before still relay
# to the heir.
MAX_HEIR_OF = 24
MAX_HEIRS_FOLLOWED = 8

NodeId = tuple[str, str]


def listen(
    hub: hub_module.PeerHub,
    board: blackboard_module.Blackboard,
    rights: tickets.RightsTable,
) -> None:
    """Register handlers that adopt the rights of leaving peers."""

    async def adopt_marks(peer: str, body: typing.Any) -> bool:
        handed_over = tickets.HandOver(
            issuers=frozenset(),
            uses={right: decode_use(row) for right, *row in body["marks"]},
        )
        return tickets.adopt(rights, handed_over)

    async def adopt_issuers(peer: str, body: typing.Any) -> bool:
        left = {(str(n), str(i)): int(ms) for n, i, ms in body["issuers"]}
        handed_over = tickets.HandOver(issuers=frozenset(left), uses={})
        if not tickets.adopt(rights, handed_over):
            return False
        rights.left_ms |= left
        newest = sorted(rights.left_ms, key=lambda each: rights.left_ms[each])
        board.heir_of = tuple(newest[-MAX_HEIR_OF:])
        events.log_event(events.Event.TICKETS_ADOPTED, of=peer)
        return True

    hub.handle("tickets.marks", adopt_marks)
    hub.handle("tickets.issuers", adopt_issuers)


async def hand_over(
    hub: hub_module.PeerHub,
    board: blackboard_module.Blackboard,
    rights: tickets.RightsTable,
    self_id: NodeId,
    wall_ms: int,
) -> bool:
    """Choose an heir and send it all rights; return whether it took all."""
    heir = choose_heir(hub, board)
    handed_over = tickets.assign_heir(rights, self_id, heir) if heir else None
    if heir is None or handed_over is None:
        return False
    try:
        marks = [
            [right, *encode_use(u)] for right, u in handed_over.uses.items()
        ]
        for first in range(0, len(marks), MARKS_PER_MESSAGE):
            part = marks[first : first + MARKS_PER_MESSAGE]
            await send(hub, heir, "tickets.marks", {"marks": part})
        issuers = [
            [*issuer, rights.left_ms.get(issuer, wall_ms)]
            for issuer in handed_over.issuers
        ]
        await send(hub, heir, "tickets.issuers", {"issuers": issuers})
    except errors.PeerUnavailable as fault:
        events.log_event(events.Event.TICKETS_LOST, detail=str(fault))
        return False
    events.log_event(events.Event.TICKETS_HANDED_OVER, heir=heir[0])
    return True


async def send(
    hub: hub_module.PeerHub, heir: NodeId, kind: str, body: dict
) -> None:
    """Send one message; raise PeerUnavailable unless the heir accepts it."""
    link = await hub.get_link(heir[0])
    if link.incarnation != heir[1]:
        raise errors.PeerUnavailable(f"peer {heir[0]}: restarted")
    if not await hub.call(heir[0], kind, body, HAND_OVER_TIMEOUT_MS):
        raise errors.PeerUnavailable(f"peer {heir[0]}: leaving as well")


def choose_heir(
    hub: hub_module.PeerHub, board: blackboard_module.Blackboard
) -> NodeId | None:
    """Choose a linked peer that is not leaving, if there is one.

    Peers of this failure domain are preferred.
    """
    staying = [
        vm
        for vm in board.entry_vms.values()
        if vm.name in hub.links
        and not vm.leaving
        and hub.links[vm.name].incarnation == vm.incarnation
    ]
    own_domain = board.failure_domain
    staying.sort(key=lambda vm: (vm.failure_domain != own_domain, vm.name))
    if not staying:
        return None
    return staying[0].name, staying[0].incarnation


def encode_use(use: tickets.Use) -> list:
    """Encode a mark for a peer, without its answer if that is long."""
    outcome = None
    if use.outcome is not None:
        described = replies.describe(use.outcome)
        if len(str(described)) <= MAX_ANSWER_CHARS:
            outcome = described
    return [use.expires_ms, outcome]


def decode_use(row: list) -> tickets.Use:
    """Decode a mark from ``encode_use``.

    It is marked ended, since its run cannot be under way on this node.
    """
    expires_ms, outcome = row
    return attrs.evolve(
        tickets.Use(expires_ms=int(expires_ms), ended=True),
        outcome=None if outcome is None else replies.restore(outcome),
    )


def follow_heirs(
    heirs: dict[tuple[str, str], tuple[str, str]], holder: tuple[str, str]
) -> tuple[str, str]:
    """Return who holds a node's rights now, as far as is known here."""
    for _ in range(MAX_HEIRS_FOLLOWED):
        if holder not in heirs:
            break
        holder = heirs[holder]
    return holder
