"""Copies of bills at other entry VMs, until the log has them.

A bill goes to one buddy in this failure domain and to one in another, so
that neither the loss of this VM and a neighbour nor the loss of the whole
domain loses it. A buddy appends what it holds once the owner's incarnation
has gone; a copy too many in the log is harmless.
"""

import typing

import attrs
import trio

from carawayward import blackboard as blackboard_module
from carawayward import clock as clock_module
from carawayward import errors
from carawayward.peers import hub as hub_module
from carawayward.protocol import billing
from carawayward.protocol import membership

BUDDY_TIMEOUT_MS = 300.0
CHECK_INTERVAL_MS = 2_000.0
# An owner without a link for this long counts as gone. Being wrong costs a
# second append, so this is short against the chance that the buddy goes too.
ADOPT_AFTER_MS = 10_000.0
# A release that was lost on the way is made good by asking the owner.
ASK_AFTER_MS = 30_000.0
BILLS_IN_MESSAGE = 500

Key = tuple[str, str]
Owner = tuple[str, str]


@attrs.define
class BillReplicas:
    """What peers hold for this node, and what it holds for them.

    ``held`` is keyed by owner, a name and an incarnation: a restarted node
    knows nothing of the bills of the incarnation before.
    """

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    hub: hub_module.PeerHub
    limit: int
    held: dict[Owner, dict[Key, billing.Bill]] = attrs.field(factory=dict)
    placed: dict[Key, set[Owner]] = attrs.field(factory=dict)
    _seen_ms: dict[Owner, float] = attrs.field(factory=dict)
    _asked_ms: dict[Owner, float] = attrs.field(factory=dict)
    _given_up: set[Owner] = attrs.field(factory=set)
    _is_waiting: typing.Callable[[Key], bool] = lambda key: False

    def listen(self, is_waiting: typing.Callable[[Key], bool]) -> None:
        """Hold copies for peers and answer what still waits here."""
        self._is_waiting = is_waiting
        self.hub.handle("bill.hold", self._hold)
        self.hub.handle("bill.release", self._release)
        self.hub.handle("bill.waiting", self._answer_waiting)
        self.hub.handle("bill.adopt", self._adopt_now)

    def count_held(self) -> int:
        """Copies held here for peers."""
        return sum(len(bills) for bills in self.held.values())

    def choose(self) -> list[Owner]:
        """One peer of this failure domain and one of another."""
        here = self.board.failure_domain
        near: dict[str, str] = {}
        far: dict[str, str] = {}
        for vm in self.board.entry_vms.values():
            link = self.hub.links.get(vm.name)
            if link is None or vm.leaving or link.closed:
                continue
            found = near if vm.failure_domain == here else far
            found[vm.name] = link.incarnation
        picked = [
            *membership.choose_highest(near, self.board.name, 2),
            *membership.choose_highest(far, self.board.name, 2),
        ]
        if near and far:
            picked = [picked[0], picked[min(len(near), 2)]]
        return [(name, (near | far)[name]) for name in picked[:2]]

    async def place(self, bill: billing.Bill, nursery: trio.Nursery) -> bool:
        """Copy a bill to its buddies; True as soon as one has it.

        The other copy goes on in the background: waiting for the far
        domain would add its latency to every answer.
        """
        chosen = self.choose()
        if not chosen:
            return False
        send, receive = trio.open_memory_channel[bool](len(chosen))

        async def put(buddy: Owner) -> None:
            send.send_nowait(await self._put(buddy, [bill]))

        for buddy in chosen:
            nursery.start_soon(put, buddy)
        for _ in chosen:
            if await receive.receive():
                return True
        return False

    async def place_many(self, bills: list[billing.Bill]) -> None:
        """Copy many bills to the present buddies."""
        for buddy in self.choose():
            for first in range(0, len(bills), BILLS_IN_MESSAGE):
                part = bills[first : first + BILLS_IN_MESSAGE]
                await self._put(buddy, part)

    async def _put(self, buddy: Owner, bills: list[billing.Bill]) -> bool:
        body = {"bills": [billing.encode(bill) for bill in bills]}
        try:
            taken = await self.hub.call(
                buddy[0], "bill.hold", body, BUDDY_TIMEOUT_MS
            )
        except errors.PeerUnavailable:
            return False
        if taken is not True:
            return False
        for bill in bills:
            if self._is_waiting(bill.key):
                self.placed.setdefault(bill.key, set()).add(buddy)
        return True

    def is_safe(self, key: Key) -> bool:
        """Whether a peer that is there now holds a copy."""
        return any(self._is_linked(b) for b in self.placed.get(key, ()))

    def list_unsafe(
        self, waiting: typing.Mapping[Key, billing.Bill]
    ) -> list[billing.Bill]:
        """Bills that only this node has."""
        return [b for key, b in waiting.items() if not self.is_safe(key)]

    def _is_linked(self, peer: Owner) -> bool:
        link = self.hub.links.get(peer[0])
        return link is not None and link.incarnation == peer[1]

    async def release(self, keys: list[Key]) -> None:
        """Tell the buddies of these bills that the log has them."""
        by_buddy: dict[Owner, list[list[str]]] = {}
        for key in keys:
            for buddy in self.placed.pop(key, ()):
                by_buddy.setdefault(buddy, []).append(list(key))
        for buddy, rows in by_buddy.items():
            await self.hub.tell(buddy[0], "bill.release", {"keys": rows})

    async def ask_to_adopt(self) -> None:
        """Tell the buddies that this node goes and appends no more."""
        for buddy in set().union(*self.placed.values()):
            await self.hub.tell(buddy[0], "bill.adopt", {})

    def _find_owner(self, peer: str) -> Owner:
        link = self.hub.links.get(peer)
        return peer, link.incarnation if link is not None else ""

    async def _hold(self, peer: str, body: typing.Any) -> bool:
        bills = [billing.decode(row) for row in body["bills"]]
        if self.count_held() + len(bills) > self.limit:
            return False
        owner = self._find_owner(peer)
        for bill in bills:
            if bill is None:
                return False
            self.held.setdefault(owner, {})[bill.key] = bill
        self._seen_ms[owner] = self.clock.now_ms()
        self._asked_ms.setdefault(owner, self.clock.now_ms())
        return True

    async def _release(self, peer: str, body: typing.Any) -> None:
        self._drop(self._find_owner(peer), body["keys"])

    def _drop(self, owner: Owner, keys: typing.Iterable) -> None:
        bills = self.held.get(owner, {})
        for customer, request_key in keys:
            bills.pop((customer, request_key), None)
        if not bills:
            self.held.pop(owner, None)

    async def _adopt_now(self, peer: str, body: typing.Any) -> None:
        self._given_up.add(self._find_owner(peer))

    async def _answer_waiting(self, peer: str, body: typing.Any) -> list:
        return [
            [customer, request_key]
            for customer, request_key in body["keys"]
            if self._is_waiting((customer, request_key))
        ]

    async def drop_settled(self) -> None:
        """Ask owners about copies held for long; a release may be lost."""
        now = self.clock.now_ms()
        for owner in list(self.held):
            if now - self._asked_ms.get(owner, now) < ASK_AFTER_MS:
                continue
            self._asked_ms[owner] = now
            keys = [list(k) for k in self.held[owner]][:BILLS_IN_MESSAGE]
            if not self._is_linked(owner):
                continue
            try:
                waiting = await self.hub.call(
                    owner[0], "bill.waiting", {"keys": keys}, BUDDY_TIMEOUT_MS
                )
            except errors.PeerUnavailable:
                continue
            if isinstance(waiting, list):
                self._drop(owner, [k for k in keys if k not in waiting])

    def take_orphans(self) -> list[billing.Bill]:
        """Bills whose owner's incarnation has gone; now this node's own."""
        now = self.clock.now_ms()
        adopted: list[billing.Bill] = []
        for owner in list(self.held):
            link = self.hub.links.get(owner[0])
            if link is not None and link.incarnation == owner[1]:
                self._seen_ms[owner] = now
            replaced = link is not None and link.incarnation != owner[1]
            silent = now - self._seen_ms.get(owner, now) > ADOPT_AFTER_MS
            if replaced or silent or owner in self._given_up:
                adopted += self.held.pop(owner).values()
                self._seen_ms.pop(owner, None)
                self._asked_ms.pop(owner, None)
        self._given_up.clear()
        return adopted
