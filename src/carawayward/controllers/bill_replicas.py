"""Replicas of bills at other entry VMs, kept until the log has them.

A bill is replicated to one peer in this failure domain and to one in another,
so that it survives both the loss of this VM together with a neighbour and the
loss of the whole domain. A peer appends the bills that it holds once their
owner's incarnation has gone; a duplicate in the log is harmless.
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

REPLICATION_TIMEOUT_MS = 300.0
CHECK_INTERVAL_MS = 2_000.0
# An owner that has had no link for this long counts as gone. A false detection
# only costs a second append, so the time is short compared with the risk that
# the holder is lost too.
ADOPT_AFTER_MS = 10_000.0
# Release messages can be lost; after this time the holder asks the owner which
# bills are still waiting.
RELEASE_CHECK_AFTER_MS = 30_000.0
MAX_BILLS_PER_MESSAGE = 500

Key = tuple[str, str]
PeerIncarnation = tuple[str, str]


@attrs.define
class BillReplicas:
    """Bills that peers hold for this node, and that it holds for them.

    ``held`` is keyed by the owner's name and incarnation: a restarted node
    knows nothing of the bills of its previous incarnation. ``holders`` lists
    the peers that hold each of this node's bills.
    """

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    hub: hub_module.PeerHub
    limit: int
    held: dict[PeerIncarnation, dict[Key, billing.Bill]] = attrs.field(
        factory=dict
    )
    holders: dict[Key, set[PeerIncarnation]] = attrs.field(factory=dict)
    _last_linked_ms: dict[PeerIncarnation, float] = attrs.field(factory=dict)
    _last_checked_ms: dict[PeerIncarnation, float] = attrs.field(factory=dict)
    _departed_owners: set[PeerIncarnation] = attrs.field(factory=set)
    _is_waiting: typing.Callable[[Key], bool] = lambda key: False

    def listen(self, is_waiting: typing.Callable[[Key], bool]) -> None:
        """Handle peers' messages; ``is_waiting`` says if a bill waits here."""
        self._is_waiting = is_waiting
        self.hub.handle("bill.hold", self._handle_hold)
        self.hub.handle("bill.release", self._handle_release)
        self.hub.handle("bill.waiting", self._handle_waiting)
        self.hub.handle("bill.adopt", self._handle_adopt)

    def count_held(self) -> int:
        """Number of replicas held here for peers."""
        return sum(len(bills) for bills in self.held.values())

    def choose_holders(self) -> list[PeerIncarnation]:
        """Choose one peer in this failure domain and one in another.

        If all linked peers are on one side, both come from there.
        """
        here = self.board.failure_domain
        local_links: dict[str, str] = {}
        remote_links: dict[str, str] = {}
        for vm in self.board.entry_vms.values():
            link = self.hub.links.get(vm.name)
            if link is None or vm.leaving or link.closed:
                continue
            found = local_links if vm.failure_domain == here else remote_links
            found[vm.name] = link.incarnation
        selected = [
            *membership.choose_highest(local_links, self.board.name, 2),
            *membership.choose_highest(remote_links, self.board.name, 2),
        ]
        if local_links and remote_links:
            selected = [selected[0], selected[min(len(local_links), 2)]]
        return [
            (name, (local_links | remote_links)[name]) for name in selected[:2]
        ]

    async def replicate(
        self, bill: billing.Bill, nursery: trio.Nursery
    ) -> bool:
        """Copy a bill to the chosen peers; return True once one has it.

        The other copy continues in the background: waiting for another domain
        would add its latency to every answer.
        """
        chosen = self.choose_holders()
        if not chosen:
            return False
        send, receive = trio.open_memory_channel[bool](len(chosen))

        async def send_copy(holder: PeerIncarnation) -> None:
            send.send_nowait(await self._send_copies(holder, [bill]))

        for holder in chosen:
            nursery.start_soon(send_copy, holder)
        for _ in chosen:
            if await receive.receive():
                return True
        return False

    async def replicate_many(self, bills: list[billing.Bill]) -> None:
        """Copy many bills to the currently chosen peers."""
        for holder in self.choose_holders():
            for first in range(0, len(bills), MAX_BILLS_PER_MESSAGE):
                part = bills[first : first + MAX_BILLS_PER_MESSAGE]
                await self._send_copies(holder, part)

    async def _send_copies(
        self, holder: PeerIncarnation, bills: list[billing.Bill]
    ) -> bool:
        body = {"bills": [billing.encode(bill) for bill in bills]}
        try:
            accepted = await self.hub.call(
                holder[0], "bill.hold", body, REPLICATION_TIMEOUT_MS
            )
        except errors.PeerUnavailable:
            return False
        if accepted is not True:
            return False
        for bill in bills:
            if self._is_waiting(bill.key):
                self.holders.setdefault(bill.key, set()).add(holder)
        return True

    def has_live_replica(self, key: Key) -> bool:
        """Whether a peer that is linked now holds a replica."""
        return any(self._is_linked(b) for b in self.holders.get(key, ()))

    def list_unreplicated(
        self, waiting: typing.Mapping[Key, billing.Bill]
    ) -> list[billing.Bill]:
        """Bills that only this node has."""
        return [
            b for key, b in waiting.items() if not self.has_live_replica(key)
        ]

    def _is_linked(self, peer: PeerIncarnation) -> bool:
        link = self.hub.links.get(peer[0])
        return link is not None and link.incarnation == peer[1]

    async def release(self, keys: list[Key]) -> None:
        """Tell the holders of these bills that the log has them."""
        by_holder: dict[PeerIncarnation, list[list[str]]] = {}
        for key in keys:
            for holder in self.holders.pop(key, ()):
                by_holder.setdefault(holder, []).append(list(key))
        for holder, rows in by_holder.items():
            await self.hub.notify(holder[0], "bill.release", {"keys": rows})

    async def request_adoption(self) -> None:
        """Tell holders that this node is stopping and will append no more."""
        for holder in set().union(*self.holders.values()):
            await self.hub.notify(holder[0], "bill.adopt", {})

    def _get_owner(self, peer: str) -> PeerIncarnation:
        link = self.hub.links.get(peer)
        return peer, link.incarnation if link is not None else ""

    async def _handle_hold(self, peer: str, body: typing.Any) -> bool:
        bills = [billing.decode(row) for row in body["bills"]]
        if self.count_held() + len(bills) > self.limit:
            return False
        owner = self._get_owner(peer)
        for bill in bills:
            if bill is None:
                return False
            self.held.setdefault(owner, {})[bill.key] = bill
        self._last_linked_ms[owner] = self.clock.now_ms()
        self._last_checked_ms.setdefault(owner, self.clock.now_ms())
        return True

    async def _handle_release(self, peer: str, body: typing.Any) -> None:
        self._drop(self._get_owner(peer), body["keys"])

    def _drop(self, owner: PeerIncarnation, keys: typing.Iterable) -> None:
        bills = self.held.get(owner, {})
        for customer, request_key in keys:
            bills.pop((customer, request_key), None)
        if not bills:
            self.held.pop(owner, None)

    async def _handle_adopt(self, peer: str, body: typing.Any) -> None:
        self._departed_owners.add(self._get_owner(peer))

    async def _handle_waiting(self, peer: str, body: typing.Any) -> list:
        return [
            [customer, request_key]
            for customer, request_key in body["keys"]
            if self._is_waiting((customer, request_key))
        ]

    async def drop_appended(self) -> None:
        """Ask owners about replicas held for long: a release may be lost."""
        now = self.clock.now_ms()
        for owner in list(self.held):
            if (
                now - self._last_checked_ms.get(owner, now)
                < RELEASE_CHECK_AFTER_MS
            ):
                continue
            self._last_checked_ms[owner] = now
            keys = [list(k) for k in self.held[owner]][:MAX_BILLS_PER_MESSAGE]
            if not self._is_linked(owner):
                continue
            try:
                waiting = await self.hub.call(
                    owner[0],
                    "bill.waiting",
                    {"keys": keys},
                    REPLICATION_TIMEOUT_MS,
                )
            except errors.PeerUnavailable:
                continue
            if isinstance(waiting, list):
                self._drop(owner, [k for k in keys if k not in waiting])

    def adopt_orphans(self) -> list[billing.Bill]:
        """Take over the bills whose owner's incarnation has gone."""
        now = self.clock.now_ms()
        adopted: list[billing.Bill] = []
        for owner in list(self.held):
            link = self.hub.links.get(owner[0])
            if link is not None and link.incarnation == owner[1]:
                self._last_linked_ms[owner] = now
            replaced = link is not None and link.incarnation != owner[1]
            silent = (
                now - self._last_linked_ms.get(owner, now) > ADOPT_AFTER_MS
            )
            if replaced or silent or owner in self._departed_owners:
                adopted += self.held.pop(owner).values()
                self._last_linked_ms.pop(owner, None)
                self._last_checked_ms.pop(owner, None)
        self._departed_owners.clear()
        return adopted
