"""A leaving node hands its rights to one heir, once.

The heir is named in the leaving node's book before anything is sent, and
that book only relays from then on; so a hand-over that is lost leaves the
rights with nobody, whose callers get "unknown", and never with two. Marks
go first and the right to speak for them last: an heir that got only some of
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

MARKS_IN_MESSAGE = 500
ANSWER_MOST_CHARS = 4_000
HAND_OVER_TIMEOUT_MS = 2_000.0
# A node that was heir often names only the newest in its member record, some
# 30 bytes each; whoever has heard of older ones earlier still finds it.
HEIR_OF_MOST = 24
HEIRS_FOLLOWED = 8

NodeId = tuple[str, str]


def listen(
    hub: hub_module.PeerHub,
    board: blackboard_module.Blackboard,
    book: tickets.Book,
) -> None:
    """Take over what leaving peers hand to this node."""

    async def take_marks(peer: str, body: typing.Any) -> bool:
        given = tickets.HandOver(
            issuers=frozenset(),
            uses={right: read_use(row) for right, *row in body["marks"]},
        )
        return tickets.adopt(book, given)

    async def take_issuers(peer: str, body: typing.Any) -> bool:
        left = {(str(n), str(i)): int(ms) for n, i, ms in body["issuers"]}
        given = tickets.HandOver(issuers=frozenset(left), uses={})
        if not tickets.adopt(book, given):
            return False
        book.left_ms |= left
        newest = sorted(book.left_ms, key=lambda each: book.left_ms[each])
        board.heir_of = tuple(newest[-HEIR_OF_MOST:])
        events.log_event(events.Event.TICKETS_ADOPTED, of=peer)
        return True

    hub.handle("tickets.marks", take_marks)
    hub.handle("tickets.issuers", take_issuers)


async def hand_over(
    hub: hub_module.PeerHub,
    board: blackboard_module.Blackboard,
    book: tickets.Book,
    self_id: NodeId,
    wall_ms: int,
) -> bool:
    """Name an heir and send it all; whether it took everything."""
    heir = choose_heir(hub, board)
    given = tickets.name_heir(book, self_id, heir) if heir else None
    if heir is None or given is None:
        return False
    try:
        marks = [[right, *write_use(u)] for right, u in given.uses.items()]
        for first in range(0, len(marks), MARKS_IN_MESSAGE):
            part = marks[first : first + MARKS_IN_MESSAGE]
            await send(hub, heir, "tickets.marks", {"marks": part})
        issuers = [
            [*issuer, book.left_ms.get(issuer, wall_ms)]
            for issuer in given.issuers
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
    """Send one part; raise PeerUnavailable unless the heir took it."""
    link = await hub.get_link(heir[0])
    if link.incarnation != heir[1]:
        raise errors.PeerUnavailable(f"peer {heir[0]}: restarted")
    if not await hub.call(heir[0], kind, body, HAND_OVER_TIMEOUT_MS):
        raise errors.PeerUnavailable(f"peer {heir[0]}: leaving as well")


def choose_heir(
    hub: hub_module.PeerHub, board: blackboard_module.Blackboard
) -> NodeId | None:
    """A linked peer that stays, of this failure domain if there is one."""
    staying = [
        vm
        for vm in board.entry_vms.values()
        if vm.name in hub.links
        and not vm.leaving
        and hub.links[vm.name].incarnation == vm.incarnation
    ]
    here = board.failure_domain
    staying.sort(key=lambda vm: (vm.failure_domain != here, vm.name))
    if not staying:
        return None
    return staying[0].name, staying[0].incarnation


def write_use(use: tickets.Use) -> list:
    """Form of a mark between peers; a long answer is left out."""
    outcome = None
    if use.outcome is not None:
        described = replies.describe(use.outcome)
        if len(str(described)) <= ANSWER_MOST_CHARS:
            outcome = described
    return [use.expires_ms, outcome]


def read_use(row: list) -> tickets.Use:
    """Read what ``write_use`` wrote; a run cannot be under way here."""
    expires_ms, outcome = row
    return attrs.evolve(
        tickets.Use(expires_ms=int(expires_ms), ended=True),
        outcome=None if outcome is None else replies.restore(outcome),
    )


def follow_heirs(
    heirs: dict[tuple[str, str], tuple[str, str]], holder: tuple[str, str]
) -> tuple[str, str]:
    """Who holds a leaving node's rights now, as far as is known here."""
    for _ in range(HEIRS_FOLLOWED):
        if holder not in heirs:
            break
        holder = heirs[holder]
    return holder
