"""Tracks the other entry VMs by gossip.

Each entry VM publishes a record about itself, and all pass the records on.
"""

import math
import random
import typing

import attrs
import trio

from carawayward import blackboard as blackboard_module
from carawayward import clock as clock_module
from carawayward import events
from carawayward.peers import hub as hub_module
from carawayward.protocol import membership

MESSAGE_KIND = "member.records"
GOSSIP_INTERVAL_MS = 2_000.0
SELF_CHECK_MS = 250.0
# Records sent to one peer per round, peers taking turns. A record takes some
# 110 bytes, so this is 0.7 KB a second under all conditions, of the 6 KB that
# a node may use at 410 nodes, where each record is repeated about once a
# minute. Changed records go first. Fewer, longer messages are cheaper: each
# message costs some 0.3 ms of processor time at either end, however short it
# is.
RECORDS_PER_ROUND = 12
# Sent once on each new link: 5 KB, a few times a minute at most.
RECORDS_PER_NEW_LINK = 64
# A node renews its record at least this often, and less often when there are
# many nodes, so that all renewed records fit into the gossip rounds.
HEARTBEAT_MS = 5_000.0
HEARTBEAT_PER_NODE_MS = 150.0
# A member is dropped after missing this many heartbeats. Its record may miss a
# few gossip rounds; the nodes linked to it detect its loss much sooner.
MAX_MISSED_HEARTBEATS = 12
LINK_ONLY_TTL_MS = 60_000.0
MAX_HEIRS = 2_000


@attrs.define
class MembershipController:
    """Keeps ``board.entry_vms`` and ``board.heirs``.

    ``known`` are the newest records by name; ``changed`` counts the rounds in
    which a changed record is still sent first.
    """

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    hub: hub_module.PeerHub
    address: str
    known: dict[str, membership.KnownMember] = attrs.field(factory=dict)
    changed: dict[str, int] = attrs.field(factory=dict)
    _started_ms: int = 0
    _sequence: int = 0
    _last_heartbeat_ms: float = float("-inf")
    _announced: tuple = ()
    _cursor: int = 0
    _round: int = 0

    async def start(self, nursery: trio.Nursery) -> None:
        """Start exchanging records with peers."""
        self._started_ms = self.clock.wall_ms()
        self.hub.handle(MESSAGE_KIND, self._handle_records)
        self.hub.add_link_callback(self._greet)
        nursery.start_soon(self._gossip)
        nursery.start_soon(self._watch_self)

    async def close(self) -> None:
        """Send this node's final state to every linked peer."""
        self._renew_record()
        await self._broadcast_self()

    def _describe_self(self) -> tuple:
        """The parts of this node's record that change while it runs."""
        leaving = self.board.state is blackboard_module.NodeState.LEAVING
        revision = self.board.config.revision if self.board.config else 0
        return leaving, revision, self.board.heir_of

    def _renew_record(self) -> None:
        """Write a new record about this node."""
        self._sequence += 1
        self._last_heartbeat_ms = self.clock.now_ms()
        self._announced = self._describe_self()
        leaving, revision, heir_of = self._announced
        member = membership.Member(
            name=self.board.name,
            incarnation=self.board.incarnation,
            started_ms=self._started_ms,
            sequence=self._sequence,
            failure_domain=self.board.failure_domain,
            address=self.address,
            leaving=leaving,
            revision=revision,
            heir_of=heir_of,
        )
        self._merge(member)

    def _merge(self, member: membership.Member) -> bool:
        now = self.clock.now_ms()
        if not membership.merge_member(self.known, member, now):
            return False
        rounds = 1 + int(math.log2(1 + len(self.known)))
        self.changed[member.name] = rounds
        holder = (member.name, member.incarnation)
        for issuer in member.heir_of:
            if issuer != holder:
                self.board.heirs[issuer] = holder
        while len(self.board.heirs) > MAX_HEIRS:
            self.board.heirs.pop(next(iter(self.board.heirs)))
        return True

    def _heartbeat_ms(self) -> float:
        return max(HEARTBEAT_MS, len(self.known) * HEARTBEAT_PER_NODE_MS)

    async def _watch_self(self) -> None:
        """Renew this node's record, and send it at once if that is urgent.

        It is urgent when this node leaves or takes over another's tickets.
        Both are rare, and until peers know, resent and new requests go to the
        wrong node. A new revision waits for the gossip rounds.
        """
        while True:
            current_state = self._describe_self()
            due = (
                self.clock.now_ms() - self._last_heartbeat_ms
                > self._heartbeat_ms()
            )
            if current_state != self._announced or due:
                is_urgent = self._announced and (
                    current_state[0] != self._announced[0]
                    or current_state[2] != self._announced[2]
                )
                self._renew_record()
                if is_urgent:
                    await self._broadcast_self()
            await self.clock.sleep(SELF_CHECK_MS)

    async def _greet(self, peer: str) -> None:
        """Send members' records to a newly linked peer at once.

        A new node that waited for the gossip rounds would know few others for
        a minute, and could reach no ticket's issuer among the rest. A peer
        whose incarnation is known has been sent them before and is skipped:
        links come and go as peers are chosen anew, and records for each would
        cost more than the rounds.
        """
        if not self._announced:
            self._renew_record()
        heard = self.known.get(peer)
        link = self.hub.links.get(peer)
        if heard is not None and link is not None:
            if heard.member.incarnation == link.incarnation:
                return
        records, _ = membership.choose_records(
            self.known,
            {},
            random.randrange(max(1, len(self.known))),
            RECORDS_PER_NEW_LINK,
            self.clock.now_ms(),
            MAX_MISSED_HEARTBEATS * self._heartbeat_ms(),
        )
        rows = [membership.encode_member(record) for record in records]
        await self.hub.notify(peer, MESSAGE_KIND, rows)

    async def _broadcast_self(self) -> None:
        row = membership.encode_member(self.known[self.board.name].member)
        await self.hub.notify_all(MESSAGE_KIND, [row])

    async def _gossip(self) -> None:
        while True:
            await self.clock.sleep(GOSSIP_INTERVAL_MS)
            now = self.clock.now_ms()
            silence_ms = MAX_MISSED_HEARTBEATS * self._heartbeat_ms()
            for name in membership.drop_silent(self.known, now, silence_ms):
                events.log_event(events.Event.MEMBER_FORGOTTEN, node=name)
            self._update_board()
            peers = sorted(self.hub.links)
            if not peers:
                continue
            self._round += 1
            records, self._cursor = membership.choose_records(
                self.known,
                self.changed,
                self._cursor,
                RECORDS_PER_ROUND,
                now,
                silence_ms,
            )
            rows = [membership.encode_member(record) for record in records]
            peer = peers[self._round % len(peers)]
            await self.hub.notify(peer, MESSAGE_KIND, rows)

    async def _handle_records(self, peer: str, body: typing.Any) -> None:
        for row in body:
            member = membership.decode_member(row)
            if member is None or member.name == self.board.name:
                continue
            self._merge(member)
        self._update_board()

    def _update_board(self) -> None:
        """Write the members to the blackboard, and peers known by link only.

        A live link is the best evidence that a peer is alive; everything else
        about a peer comes from its own newest record.
        """
        now = self.clock.now_ms()
        before = self.board.entry_vms
        entry_vms = {}
        for name, heard in self.known.items():
            if name == self.board.name:
                continue
            member = heard.member
            link = self.hub.links.get(name)
            linked = (
                link is not None and link.incarnation == member.incarnation
            )
            entry_vms[name] = blackboard_module.EntryVm(
                name=name,
                incarnation=member.incarnation,
                failure_domain=member.failure_domain,
                address=member.address,
                leaving=member.leaving,
                revision=member.revision,
                last_heard_ms=now if linked else heard.updated_ms,
            )
        for vm in before.values():
            self._keep_link_only(entry_vms, vm, now)
        self.board.entry_vms = entry_vms

    def _keep_link_only(
        self,
        entry_vms: dict[str, blackboard_module.EntryVm],
        vm: blackboard_module.EntryVm,
        now: float,
    ) -> None:
        """Keep a peer that has linked before its own record arrived."""
        link = self.hub.links.get(vm.name)
        linked = link is not None and link.incarnation == vm.incarnation
        current = entry_vms.get(vm.name)
        if linked and (
            current is None or current.incarnation != vm.incarnation
        ):
            entry_vms[vm.name] = attrs.evolve(vm, last_heard_ms=now)
        elif current is None and now - vm.last_heard_ms < LINK_ONLY_TTL_MS:
            entry_vms[vm.name] = vm
