"""Knows the other entry VMs: each tells about itself, all pass it on."""

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

KIND = "member.records"
ROUND_MS = 2_000.0
WATCH_MS = 250.0
# Records a round to one peer, in turn. A record takes some 110 bytes, so
# this is 0.7 KB a second whatever happens, of the 6 KB that a node may spend
# at 410 nodes, where each record comes round in about a minute. What has
# changed goes first. Fewer, longer messages: each costs some 0.3 ms of
# processor time at either end, however short it is.
RECORDS = 12
# Told once to each new link; 5 KB, a few times a minute at the most.
GREETING_RECORDS = 64
# A node's record rises at least this often, more slowly with many nodes, so
# that the sum of risen records fits into what a round can carry.
BEAT_MS = 5_000.0
BEAT_NODE_MS = 150.0
# Forgotten after so many beats: a record may miss a few rounds, a silent
# node's own links show its loss much sooner.
SILENT_BEATS = 12
UNTOLD_KEPT_MS = 60_000.0
HEIRS_KEPT = 2_000


@attrs.define
class MembershipController:
    """Keeps ``board.entry_vms`` and ``board.heirs``."""

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    hub: hub_module.PeerHub
    address: str
    known: dict[str, membership.Heard] = attrs.field(factory=dict)
    changed: dict[str, int] = attrs.field(factory=dict)
    _started_ms: int = 0
    _sequence: int = 0
    _beaten_ms: float = float("-inf")
    _told: tuple = ()
    _cursor: int = 0
    _turn: int = 0

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to tell peers and to hear from them."""
        self._started_ms = self.clock.wall_ms()
        self.hub.handle(KIND, self._take_members)
        self.hub.greet_with(self._greet)
        nursery.start_soon(self._gossip)
        nursery.start_soon(self._watch_self)

    async def close(self) -> None:
        """Tell every linked peer of this node's last state."""
        self._rise()
        await self._push_self()

    def _describe_self(self) -> tuple:
        leaving = self.board.state is blackboard_module.NodeState.LEAVING
        revision = self.board.config.revision if self.board.config else 0
        return leaving, revision, self.board.heir_of

    def _rise(self) -> None:
        """Write a new record about this node."""
        self._sequence += 1
        self._beaten_ms = self.clock.now_ms()
        self._told = self._describe_self()
        leaving, revision, heir_of = self._told
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
        self._take(member)

    def _take(self, member: membership.Member) -> bool:
        now = self.clock.now_ms()
        if not membership.merge_member(self.known, member, now):
            return False
        rounds = 1 + int(math.log2(1 + len(self.known)))
        self.changed[member.name] = rounds
        holder = (member.name, member.incarnation)
        for issuer in member.heir_of:
            if issuer != holder:
                self.board.heirs[issuer] = holder
        while len(self.board.heirs) > HEIRS_KEPT:
            self.board.heirs.pop(next(iter(self.board.heirs)))
        return True

    def _beat_ms(self) -> float:
        return max(BEAT_MS, len(self.known) * BEAT_NODE_MS)

    async def _watch_self(self) -> None:
        """Tell all links at once when this node leaves or becomes an heir.

        Both are rare, and a caller's resend or a new request would go the
        wrong way until it is known. A new revision waits for its turn.
        """
        while True:
            told = self._describe_self()
            due = self.clock.now_ms() - self._beaten_ms > self._beat_ms()
            if told != self._told or due:
                urgent = self._told and (
                    told[0] != self._told[0] or told[2] != self._told[2]
                )
                self._rise()
                if urgent:
                    await self._push_self()
            await self.clock.sleep(WATCH_MS)

    async def _greet(self, peer: str) -> None:
        """Tell a newly linked peer at once whom it can choose from.

        A newcomer that waited for the rounds would know few others for a
        minute, and could reach no ticket's issuer among the rest. Whoever
        is known already has been told: links come and go as members are
        chosen anew, and a greeting for each would cost more than the rounds.
        """
        if not self._told:
            self._rise()
        heard = self.known.get(peer)
        link = self.hub.links.get(peer)
        if heard is not None and link is not None:
            if heard.member.incarnation == link.incarnation:
                return
        records, _ = membership.choose_records(
            self.known,
            {},
            random.randrange(max(1, len(self.known))),
            GREETING_RECORDS,
            self.clock.now_ms(),
            SILENT_BEATS * self._beat_ms(),
        )
        rows = [membership.encode_member(record) for record in records]
        await self.hub.tell(peer, KIND, rows)

    async def _push_self(self) -> None:
        row = membership.encode_member(self.known[self.board.name].member)
        await self.hub.tell_all(KIND, [row])

    async def _gossip(self) -> None:
        while True:
            await self.clock.sleep(ROUND_MS)
            now = self.clock.now_ms()
            silence_ms = SILENT_BEATS * self._beat_ms()
            for name in membership.forget_silent(self.known, now, silence_ms):
                events.log_event(events.Event.MEMBER_FORGOTTEN, node=name)
            self._write_board()
            peers = sorted(self.hub.links)
            if not peers:
                continue
            self._turn += 1
            records, self._cursor = membership.choose_records(
                self.known,
                self.changed,
                self._cursor,
                RECORDS,
                now,
                silence_ms,
            )
            rows = [membership.encode_member(record) for record in records]
            peer = peers[self._turn % len(peers)]
            await self.hub.tell(peer, KIND, rows)

    async def _take_members(self, peer: str, body: typing.Any) -> None:
        for row in body:
            member = membership.decode_member(row)
            if member is None or member.name == self.board.name:
                continue
            self._take(member)
        self._write_board()

    def _write_board(self) -> None:
        """Show members, and linked peers that no record tells of yet.

        A live link is the best proof that a peer is there; everything else
        about it is taken from its own newest record.
        """
        now = self.clock.now_ms()
        before = self.board.entry_vms
        shown = {}
        for name, heard in self.known.items():
            if name == self.board.name:
                continue
            member = heard.member
            link = self.hub.links.get(name)
            linked = (
                link is not None and link.incarnation == member.incarnation
            )
            shown[name] = blackboard_module.EntryVm(
                name=name,
                incarnation=member.incarnation,
                failure_domain=member.failure_domain,
                address=member.address,
                leaving=member.leaving,
                revision=member.revision,
                last_heard_ms=now if linked else heard.risen_ms,
            )
        for vm in before.values():
            self._keep_untold(shown, vm, now)
        self.board.entry_vms = shown

    def _keep_untold(
        self,
        shown: dict[str, blackboard_module.EntryVm],
        vm: blackboard_module.EntryVm,
        now: float,
    ) -> None:
        """Keep a peer that a link has shown before its own record came."""
        link = self.hub.links.get(vm.name)
        linked = link is not None and link.incarnation == vm.incarnation
        current = shown.get(vm.name)
        if linked and (
            current is None or current.incarnation != vm.incarnation
        ):
            shown[vm.name] = attrs.evolve(vm, last_heard_ms=now)
        elif current is None and now - vm.last_heard_ms < UNTOLD_KEPT_MS:
            shown[vm.name] = vm
