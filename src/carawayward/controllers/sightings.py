"""Tracks the endpoints: by the platform's list, by probing, and by peers."""

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

# With many nodes, each reads the list less often, so that the platform gets
# about 40 reads a second. The first node to read that an endpoint is leaving
# tells all others.
LIST_INTERVAL_MS = 2_000.0
LIST_PER_NODE_MS = 25.0
PROBE_INTERVAL_MS = 1_000.0
INITIAL_POLL_MS = 50.0
GOSSIP_INTERVAL_MS = 2_000.0
# See membership.choose_probe_targets: today's users have 8 to 14 endpoints,
# and every node probes them all; with 790 endpoints a node probes about six.
PROBE_ALL_UP_TO = 40
PROBERS_PER_ENDPOINT = 3
# Observations sent to one peer per round, some 90 bytes each.
OBSERVATIONS_PER_ROUND = 12
# An observation older than this is no evidence that an unlisted endpoint
# exists.
MAX_NEW_OBSERVATION_AGE_MS = 10_000.0
TABLE_TIMEOUT_MS = 2_000.0


@attrs.define
class SightingsController:
    """Keeps ``board.endpoints``."""

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    vms: vms_module.VmList
    hub: hub_module.PeerHub
    endpoints: endpoints_module.EndpointClient
    known: dict[str, sightings.ObservedEndpoint] = attrs.field(factory=dict)
    _probing: set[str] = attrs.field(factory=set)
    _probed_names: list[str] = attrs.field(factory=list)
    _probed_inputs: tuple[frozenset, frozenset] | None = None
    _cursor: int = 0
    _round: int = 0

    async def start(self, nursery: trio.Nursery) -> None:
        """Start reading the list, probing, and exchanging observations."""
        self.hub.handle("endpoints", self._handle_observations)
        self.hub.handle("endpoints.table", self._handle_table)
        nursery.start_soon(self._poll_list)
        nursery.start_soon(self._probe_rounds)
        nursery.start_soon(self._gossip)

    async def close(self) -> None:
        """Nothing to release; the nursery ends the tasks."""

    async def _poll_list(self) -> None:
        reachable = True
        while True:
            try:
                await self._apply_list(await self.vms.fetch())
                reachable = True
            except errors.PlatformUnavailable as fault:
                if reachable:
                    events.log_event(
                        events.Event.PLATFORM_DOWN, detail=str(fault)
                    )
                reachable = False
            nodes = 1 + len(self.board.entry_vms)
            await self.clock.sleep(
                max(LIST_INTERVAL_MS, nodes * LIST_PER_NODE_MS)
            )

    async def _apply_list(self, listed: list[vms_module.ListedVm]) -> None:
        now = self.clock.now_ms()
        names = set()
        for vm in listed:
            if vm.role != "endpoint":
                continue
            names.add(vm.name)
            seen = sightings.merge_listed(
                self.known.get(vm.name),
                vm.name,
                vm.pool,
                vm.failure_domain,
                vm.address,
                vm.leaving,
                now,
            )
            await self._store(seen)
        for name in self.known.keys() - names:
            await self._store(sightings.mark_unlisted(self.known[name]))
        self._update_board()

    async def _store(self, seen: sightings.ObservedEndpoint) -> None:
        """Store an observation; notify peers if the endpoint starts to leave.

        Each node passes this on once, when it first learns it, so all nodes
        know within a few link delays, with or without the platform.
        """
        before = self.known.get(seen.name)
        self.known[seen.name] = seen
        if seen.leaving and not (before is not None and before.leaving):
            self._update_board()
            observation = sightings.make_observation(seen, self.clock.now_ms())
            if observation is not None:
                row = membership.encode_observation(observation)
                await self.hub.notify_all("endpoints", [row])

    def _update_board(self) -> None:
        now = self.clock.now_ms()
        self.known = {
            name: seen
            for name, seen in self.known.items()
            if sightings.is_retained(seen, now)
        }
        # Whether this node reaches an endpoint that it probes itself is not
        # decided by peers: they may be on the other side of a network
        # partition.
        own = set(self._probed_names)
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
        """The endpoints that this node probes; recomputed only on a change.

        At the target size, computing them takes some 65,000 hashes.
        """
        members = frozenset(
            (vm.name, vm.failure_domain)
            for vm in self.board.entry_vms.values()
            if not vm.leaving
        )
        seen = frozenset(
            (seen.name, seen.failure_domain) for seen in self.known.values()
        )
        if self._probed_inputs != (seen, members):
            self._probed_inputs = (seen, members)
            self._probed_names = membership.choose_probe_targets(
                sorted(seen),
                members,
                (self.board.name, self.board.failure_domain),
                PROBERS_PER_ENDPOINT,
                PROBE_ALL_UP_TO,
            )
        return self._probed_names

    async def _probe_rounds(self) -> None:
        """Probe every second; a slow endpoint delays only its own probe."""
        while not self.known:
            await self.clock.sleep(INITIAL_POLL_MS)
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
            await self._store(sightings.record_failed_probe(seen))
            return
        await self._store(
            sightings.merge_report(
                seen,
                frozenset(report.versions),
                report.load,
                report.leaving,
                self.clock.now_ms(),
            )
        )
        self._update_board()

    async def _gossip(self) -> None:
        while True:
            await self.clock.sleep(GOSSIP_INTERVAL_MS)
            self._update_board()
            peers = sorted(self.hub.links)
            if not peers:
                continue
            self._round += 1
            peer = peers[self._round % len(peers)]
            if not self.known:
                await self._fetch_table(peer)
            rows = self._encode_next_observations(OBSERVATIONS_PER_ROUND)
            if rows:
                await self.hub.notify(peer, "endpoints", rows)

    def _encode_next_observations(self, count: int) -> list[list]:
        """Encode the next ``count`` observations, in rotation."""
        now = self.clock.now_ms()
        names = sorted(self.known)
        rows = []
        for step in range(min(count, len(names))):
            name = names[(self._cursor + step) % len(names)]
            observation = sightings.make_observation(self.known[name], now)
            if observation is not None:
                rows.append(membership.encode_observation(observation))
        self._cursor += count
        return rows

    async def _fetch_table(self, peer: str) -> None:
        """Fetch all endpoints from a peer, for want of a list at the start."""
        try:
            rows = await self.hub.call(
                peer, "endpoints.table", None, TABLE_TIMEOUT_MS
            )
        except errors.PeerUnavailable:
            return
        if isinstance(rows, list):
            await self._handle_observations(peer, rows)

    async def _handle_table(self, peer: str, body: typing.Any) -> list:
        return self._encode_next_observations(len(self.known))

    async def _handle_observations(self, peer: str, body: typing.Any) -> None:
        now = self.clock.now_ms()
        for row in body:
            observation = membership.decode_observation(row)
            if observation is None:
                continue
            known = self.known.get(observation.name)
            if (
                known is None
                and observation.age_ms > MAX_NEW_OBSERVATION_AGE_MS
            ):
                continue
            await self._store(
                sightings.merge_observation(known, observation, now)
            )
        self._update_board()
