"""Maintains links to the peers that the topology chooses, and to seeds."""

import random
import typing

import attrs
import trio
from websockets import exceptions as ws_errors

from carawayward import errors
from carawayward import events
from carawayward.protocol import topology
from carawayward import supervision

if typing.TYPE_CHECKING:
    from carawayward.peers import hub as hub_module

LINK_CHECK_INTERVAL_S = 0.5
# How long a peer that could not be dialled is excluded from the choice, so
# that another one takes its place and a dead address costs little.
FAILED_DIAL_BACKOFF_S = 10.0
# Of two peers that choose each other, the one with the smaller address dials
# at once and the other after this delay, so that they make only one link.
LARGER_ADDRESS_DELAY_S = 1.0
# How long a link that this side has dialled and no longer chooses stays open
# without a call.
UNUSED_LINK_TIMEOUT_S = 20.0
# How often a seed is dialled although it is not chosen. After a long partition
# the two parts of a deployment no longer know each other's members; a common
# seed reconnects them.
SEED_LINK_INTERVAL_S = 30.0
MAX_DIALS = 8

Choose = typing.Callable[
    [topology.Member, typing.Iterable[topology.Member]], frozenset[str]
]

DIAL_FAILURES = (
    OSError,
    EOFError,
    trio.TooSlowError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    ws_errors.WebSocketException,
    errors.NotAuthenticated,
)


@attrs.define(eq=False)
class Dialler:
    """Dials peers and closes links that are no longer needed.

    ``backing_off`` says until when an address is not dialled again.
    ``pending_dials`` holds only dials that have not made a link yet: a new
    dial must not wait for the task of a link that has closed since.
    ``routes`` maps the address that a peer announces to the address to
    dial, if they differ: the settings say so, or the peer was reached
    through the address of a seed.
    """

    hub: "hub_module.PeerHub"
    choose_peers: Choose
    pending_dials: dict[str, trio.Event] = attrs.field(factory=dict)
    backing_off: dict[str, float] = attrs.field(factory=dict)
    wanted_since: dict[str, float] = attrs.field(factory=dict)
    routes: dict[str, str] = attrs.field(factory=dict)
    _last_seed_link_s: float = float("-inf")
    _nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Start maintaining links."""
        self._nursery = nursery
        self.routes.update(self.hub.settings.peer_routes)
        nursery.start_soon(self._keep_links)

    def record_link_up(self, dialled: str, announced: str) -> None:
        """Record that a dial has made a link, and the announced address."""
        if dialled in self.hub.settings.peers:
            self.routes[announced] = dialled
        self.pending_dials.pop(dialled).set()

    def has_tried_seeds(self) -> bool:
        """Whether each seed is linked or has just failed to respond.

        In a large deployment any one link is enough.
        """
        seeds = set(self.hub.settings.peers)
        seeds.discard(self.hub.settings.listen.peers)
        linked = self._list_linked_addresses()
        if len(seeds) > topology.MAX_FULL_MESH_SIZE:
            return bool(linked)
        return seeds <= linked | set(self.backing_off)

    async def dial_now(self, address: str, peer: str) -> None:
        """Dial an address, or wait for the dial in progress.

        Returns when the peer is linked or the dial has failed.
        """
        address = self.routes.get(address, address)
        if address not in self.pending_dials:
            self._start_dial(address)
        done = self.pending_dials[address]
        while peer not in self.hub.links and not done.is_set():
            await trio.sleep(0.005)

    def _start_dial(self, address: str) -> None:
        assert self._nursery is not None
        done = self.pending_dials[address] = trio.Event()
        self._nursery.start_soon(self._dial, address, done)

    async def _dial(self, address: str, done: trio.Event) -> None:
        try:
            await self.hub.dial(address)
        except (Exception, BaseExceptionGroup) as fault:
            _, rest = supervision.split_cancelled(fault)
            if rest is None:
                raise
            self.backing_off[address] = (
                trio.current_time() + FAILED_DIAL_BACKOFF_S
            )
            if not is_dial_failure(rest):
                detail = supervision.describe_fault(rest)
                events.log_event(events.Event.FAULT, detail=detail)
        finally:
            if self.pending_dials.get(address) is done:
                self.pending_dials.pop(address).set()

    async def _keep_links(self) -> None:
        while True:
            now = trio.current_time()
            self._drop_expired_backoffs(now)
            self._close_unneeded_links(now)
            for address in self._list_addresses_to_dial(now):
                if len(self.pending_dials) >= MAX_DIALS:
                    break
                self._start_dial(address)
            await trio.sleep(LINK_CHECK_INTERVAL_S * random.uniform(0.8, 1.2))

    def _drop_expired_backoffs(self, now: float) -> None:
        self.backing_off = {
            a: t for a, t in self.backing_off.items() if t > now
        }

    def choose(self) -> frozenset[str]:
        """Choose the names of the peers to keep links to."""
        board = self.hub.board
        return self.choose_peers(
            topology.Member(board.name, board.failure_domain),
            [
                topology.Member(vm.name, vm.failure_domain)
                for vm in board.entry_vms.values()
                if not vm.leaving
                and self.routes.get(vm.address, vm.address)
                not in self.backing_off
            ],
        )

    def _list_linked_addresses(self) -> set[str]:
        """Addresses at which linked peers are dialled."""
        announced = [link.identity.address for link in self.hub.links.values()]
        return {self.routes.get(each, each) for each in announced}

    def _list_addresses_to_dial(self, now: float) -> list[str]:
        """List the addresses to dial now."""
        hub = self.hub
        known = hub.board.entry_vms
        announced = [known[name].address for name in self.choose()]
        addresses = {self.routes.get(each, each) for each in announced}
        addresses.update(self._list_seeds_to_link(now))
        linked = self._list_linked_addresses()
        own_address = hub.settings.listen.peers
        candidates = {
            address
            for address in addresses - linked - {own_address}
            if address not in self.pending_dials
            and address not in self.backing_off
        }
        self.wanted_since = {
            address: self.wanted_since.get(address, now)
            for address in candidates
        }
        return sorted(
            address
            for address, since in self.wanted_since.items()
            if own_address < address or now - since >= LARGER_ADDRESS_DELAY_S
        )

    def _list_seeds_to_link(self, now: float) -> list[str]:
        """List the seeds to link to, whose names may not be known yet."""
        hub = self.hub
        seeds = hub.settings.peers
        members = max(len(hub.board.entry_vms) + 1, len(seeds))
        if members <= topology.MAX_FULL_MESH_SIZE:
            return list(seeds)
        own_address = hub.settings.listen.peers
        others = [seed for seed in seeds if seed != own_address]
        if others and (
            not hub.links
            or now - self._last_seed_link_s > SEED_LINK_INTERVAL_S
        ):
            self._last_seed_link_s = now
            return [random.choice(others)]
        return []

    def _close_unneeded_links(self, now: float) -> None:
        """Close dialled links that are neither chosen nor used."""
        chosen = self.choose()
        seeds = set(self.hub.settings.peers)
        is_small = len(seeds) <= topology.MAX_FULL_MESH_SIZE
        for name, link in list(self.hub.links.items()):
            announced = link.identity.address
            is_seed = (
                is_small and self.routes.get(announced, announced) in seeds
            )
            kept = name in chosen or is_seed
            idle = now - link.last_call_s > UNUSED_LINK_TIMEOUT_S
            if link.dialled and not kept and idle:
                link.close()


def is_dial_failure(fault: BaseException) -> bool:
    """Whether the exception is expected of an unreachable peer."""
    if isinstance(fault, BaseExceptionGroup):
        return all(is_dial_failure(each) for each in fault.exceptions)
    return isinstance(fault, DIAL_FAILURES)
