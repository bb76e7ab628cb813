"""Knows the endpoints: from the list, by probing, and from peers."""

import typing

import attrs
import httpcore
import trio

from carawayward import blackboard as blackboard_module
from carawayward import clock as clock_module
from carawayward import errors
from carawayward import events
from carawayward.gateway import endpoints as endpoints_module
from carawayward.peers import hub as hub_module
from carawayward.protocol import membership
from carawayward.protocol import sightings
from carawayward.services import vms as vms_module

# The list is read less often by each of many nodes, so that the platform
# sees about 40 reads a second; the first reader of a leaving mark tells all.
LIST_INTERVAL_MS = 2_000.0
LIST_NODE_MS = 25.0
PROBE_INTERVAL_MS = 1_000.0
FIRST_LOOK_MS = 50.0
ROUND_MS = 2_000.0
# See membership.choose_probed: today's users have 8 to 14 endpoints, and
# every node probes them all; at 790 a node probes some six of them.
PROBE_ALL_MOST = 40
PROBERS = 3
# Facts a round to one peer, some 90 bytes each.
FACTS = 12
# Older facts are no reason to believe in an unlisted endpoint.
LEARN_AGE_MS = 10_000.0
TABLE_TIMEOUT_MS = 2_000.0


@attrs.define
class SightingsController:
    """Keeps ``board.endpoints``."""

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    vms: vms_module.VmList
    hub: hub_module.PeerHub
    endpoints: endpoints_module.EndpointClient
    known: dict[str, sightings.Sighting] = attrs.field(factory=dict)
    _probing: set[str] = attrs.field(factory=set)
    _share: list[str] = attrs.field(factory=list)
    _share_of: tuple[frozenset, frozenset] | None = None
    _cursor: int = 0
    _turn: int = 0

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to read the list, probe, and exchange facts with peers."""
        self.hub.handle("endpoints", self._take_facts)
        self.hub.handle("endpoints.table", self._answer_table)
        nursery.start_soon(self._follow_list)
        nursery.start_soon(self._probe_rounds)
        nursery.start_soon(self._gossip)

    async def close(self) -> None:
        """Nothing to release; the nursery ends the tasks."""

    async def _follow_list(self) -> None:
        reachable = True
        while True:
            try:
                await self._take_list(await self.vms.fetch())
                reachable = True
            except errors.PlatformUnavailable as fault:
                if reachable:
                    events.log_event(
                        events.Event.PLATFORM_DOWN, detail=str(fault)
                    )
                reachable = False
            nodes = 1 + len(self.board.entry_vms)
            await self.clock.sleep(max(LIST_INTERVAL_MS, nodes * LIST_NODE_MS))

    async def _take_list(self, listed: list[vms_module.ListedVm]) -> None:
        now = self.clock.now_ms()
        names = set()
        for vm in listed:
            if vm.role != "endpoint":
                continue
            names.add(vm.name)
            seen = sightings.see_listed(
                self.known.get(vm.name),
                vm.name,
                vm.pool,
                vm.failure_domain,
                vm.address,
                vm.leaving,
                now,
            )
            await self._put(seen)
        for name in self.known.keys() - names:
            await self._put(sightings.see_unlisted(self.known[name]))
        self._write_board()

    async def _put(self, seen: sightings.Sighting) -> None:
        """Keep a sighting; tell all links when an endpoint leaves.

        Each node passes a leaving mark on once, when it first learns it, so
        all have it within a few link delays, with the platform or without.
        """
        before = self.known.get(seen.name)
        self.known[seen.name] = seen
        if seen.leaving and not (before is not None and before.leaving):
            self._write_board()
            fact = sightings.make_fact(seen, self.clock.now_ms())
            if fact is not None:
                row = membership.encode_fact(fact)
                await self.hub.tell_all("endpoints", [row])

    def _write_board(self) -> None:
        now = self.clock.now_ms()
        self.known = {
            name: seen
            for name, seen in self.known.items()
            if sightings.is_kept(seen, now)
        }
        # Whether this node reaches an endpoint that it probes itself is not
        # for a peer to say: the two may stand on two sides of a cut.
        own = set(self._share)
        self.board.endpoints = {
            name: blackboard_module.Endpoint(
                name=name,
                pool=seen.pool,
                failure_domain=seen.failure_domain,
                address=seen.address,
                leaving=seen.leaving,
                versions=seen.versions,
                reported_load=seen.load,
                reported_ms=max(
                    0.0, seen.probed_ms if name in own else seen.answered_ms
                ),
            )
            for name, seen in self.known.items()
        }

    def _choose_probed(self) -> list[str]:
        """This node's share of the probes; scored anew only on a change.

        At the target size a scoring is some 65,000 hashes.
        """
        members = frozenset(
            (vm.name, vm.failure_domain)
            for vm in self.board.entry_vms.values()
            if not vm.leaving
        )
        seen = frozenset(
            (seen.name, seen.failure_domain) for seen in self.known.values()
        )
        if self._share_of != (seen, members):
            self._share_of = (seen, members)
            self._share = membership.choose_probed(
                sorted(seen),
                members,
                (self.board.name, self.board.failure_domain),
                PROBERS,
                PROBE_ALL_MOST,
            )
        return self._share

    async def _probe_rounds(self) -> None:
        """Probe every second; a slow endpoint holds up only its own probe."""
        while not self.known:
            await self.clock.sleep(FIRST_LOOK_MS)
        async with trio.open_nursery() as nursery:
            async with trio.open_nursery() as first:
                for name in self._choose_probed():
                    first.start_soon(self._probe, name)
            self.board.endpoints_probed = True
            while True:
                await self.clock.sleep(PROBE_INTERVAL_MS)
                for name in self._choose_probed():
                    if name not in self._probing:
                        nursery.start_soon(self._probe, name)

    async def _probe(self, name: str) -> None:
        endpoint = self.board.endpoints.get(name)
        if endpoint is None:
            return
        self._probing.add(name)
        report = None
        try:
            report = await self.endpoints.fetch_report(endpoint)
        except (errors.EndpointError, httpcore.ProtocolError):
            pass
        finally:
            self._probing.discard(name)
        seen = self.known.get(name)
        if seen is None or seen.address != endpoint.address:
            return
        if report is None:
            await self._put(sightings.see_silence(seen))
            return
        await self._put(
            sightings.see_report(
                seen,
                frozenset(report.versions),
                report.load,
                report.leaving,
                self.clock.now_ms(),
            )
        )
        self._write_board()

    async def _gossip(self) -> None:
        while True:
            await self.clock.sleep(ROUND_MS)
            self._write_board()
            peers = sorted(self.hub.links)
            if not peers:
                continue
            self._turn += 1
            peer = peers[self._turn % len(peers)]
            if not self.known:
                await self._ask_table(peer)
            rows = self._list_facts(FACTS)
            if rows:
                await self.hub.tell(peer, "endpoints", rows)

    def _list_facts(self, count: int) -> list[list]:
        """The next facts in turn."""
        now = self.clock.now_ms()
        names = sorted(self.known)
        rows = []
        for step in range(min(count, len(names))):
            name = names[(self._cursor + step) % len(names)]
            fact = sightings.make_fact(self.known[name], now)
            if fact is not None:
                rows.append(membership.encode_fact(fact))
        self._cursor += count
        return rows

    async def _ask_table(self, peer: str) -> None:
        """Learn all endpoints at once when there is no list at the start."""
        try:
            rows = await self.hub.call(
                peer, "endpoints.table", None, TABLE_TIMEOUT_MS
            )
        except errors.PeerUnavailable:
            return
        if isinstance(rows, list):
            await self._take_facts(peer, rows)

    async def _answer_table(self, peer: str, body: typing.Any) -> list:
        return self._list_facts(len(self.known))

    async def _take_facts(self, peer: str, body: typing.Any) -> None:
        now = self.clock.now_ms()
        for row in body:
            fact = membership.decode_fact(row)
            if fact is None:
                continue
            known = self.known.get(fact.name)
            if known is None and fact.age_ms > LEARN_AGE_MS:
                continue
            await self._put(sightings.see_fact(known, fact, now))
        self._write_board()
