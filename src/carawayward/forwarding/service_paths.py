"""Tracks whether this entry VM itself reaches the endpoints of each service.

While it does not, it probes them, so that it notices when its path is back
although its requests go another way, and says so in its load reports.
"""

import itertools
import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.decisions import reachability
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import message_types
from carawayward import settings as settings_module
from carawayward import supervision

PROBE_INTERVAL_MS = 1_000.0
PROBE_TIMEOUT_MS = 500.0
# More than one, since some endpoints may be down when the path is back.
ENDPOINTS_PER_PROBE = 2


async def try_to_connect(address: str) -> bool | None:
    """Whether a connection is accepted or refused; None for neither."""
    host, port = settings_module.split_address(address)
    with trio.move_on_after(PROBE_TIMEOUT_MS / 1000):
        try:
            stream = await trio.open_tcp_stream(host, port)
        except OSError as fault:
            return False if _is_refusal(fault) else None
        await trio.aclose_forcefully(stream)
        return True
    return None


def _is_refusal(fault: OSError) -> bool:
    """Whether a connection was refused by a host that is up.

    trio raises an OSError from what each address of the host has raised.
    """
    causes: list[BaseException | None] = [fault, fault.__cause__]
    if isinstance(fault.__cause__, BaseExceptionGroup):
        causes += fault.__cause__.exceptions
    return any(isinstance(each, ConnectionRefusedError) for each in causes)


@attrs.define(eq=False)
class ServicePaths:
    """What is known of this entry VM's path to each service.

    ``lost_by_peer`` has the services, by hash, whose endpoints a peer does not
    reach, and until when its report is valid, in ms on the monotonic clock.
    ``report_soon`` is called when there is something new to report.
    """

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    report_soon: typing.Callable[[], None]
    probe: typing.Callable[[str], typing.Awaitable[bool | None]] = (
        try_to_connect
    )
    states: dict[str, reachability.Reachability] = attrs.field(factory=dict)
    lost_by_peer: dict[str, tuple[frozenset[int], float]] = attrs.field(
        factory=dict
    )
    rotation: typing.Iterator[int] = attrs.field(factory=itertools.count)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start probing the endpoints of services whose path is lost."""
        nursery.start_soon(
            supervision.run_with_restarts, self._probe_regularly, ()
        )

    async def close(self) -> None:
        """Do nothing; the nursery ends the probes."""

    def is_lost(self, service: str) -> bool:
        """Whether this entry VM reaches no endpoint of a service."""
        state = self.states.get(service)
        return state is not None and state.lost

    def list_lost(self) -> list[str]:
        """The services of which this entry VM reaches no endpoint."""
        return [name for name, state in self.states.items() if state.lost]

    def record_connected(self, service: str) -> None:
        """Record a connection to an endpoint of a service."""
        state = self._get_state(service)
        if reachability.record_connected(state, self.clock.now_ms()):
            events.log_event(events.Event.SERVICE_REACHABLE, service=service)

    def record_unreached(
        self, entry: message_types.EndpointEntry, began_ms: float
    ) -> None:
        """Record a failed connection attempt that began at ``began_ms``."""
        state = self._get_state(entry.service)
        count = len(self._list_endpoints(entry.service))
        if reachability.record_unreached(state, entry.name, began_ms, count):
            events.log_event(
                events.Event.SERVICE_UNREACHABLE,
                service=entry.service,
                tried=sorted(state.unreached),
            )
            self.report_soon()

    def describe(self) -> list[int]:
        """The lost services by hash, for load reports."""
        return [
            load_report_messages.hash_name(name) for name in self.list_lost()
        ]

    def merge(self, peer: str, value: typing.Any, ttl_ms: float) -> None:
        """Merge a peer's report; raises TypeError or ValueError."""
        lost = frozenset(int(each) for each in value)
        name = peer.partition("/")[0]
        self.lost_by_peer[name] = lost, self.clock.now_ms() + ttl_ms

    def is_lost_by(self, peer: str, service: str) -> bool:
        """Whether a peer has reported that it does not reach a service."""
        lost, until_ms = self.lost_by_peer.get(
            peer, (frozenset(), board_module.NEVER)
        )
        if self.clock.now_ms() >= until_ms:
            self.lost_by_peer.pop(peer, None)
            return False
        return load_report_messages.hash_name(service) in lost

    def _get_state(self, service: str) -> reachability.Reachability:
        return self.states.setdefault(service, reachability.Reachability())

    def _list_endpoints(
        self, service: str
    ) -> list[message_types.EndpointEntry]:
        return [
            entry
            for entry in self.board.endpoints.values()
            if entry.service == service and not entry.leaving
        ]

    async def _probe_regularly(self) -> None:
        while True:
            await self.clock.sleep(PROBE_INTERVAL_MS)
            async with trio.open_nursery() as nursery:
                for service in self.list_lost():
                    entries = self._choose_probed(service)
                    if not entries:
                        # All endpoints have left: there is no path to lose.
                        del self.states[service]
                    for entry in entries:
                        nursery.start_soon(self._probe, entry)

    def _choose_probed(
        self, service: str
    ) -> list[message_types.EndpointEntry]:
        """Choose the endpoints to probe, others each time."""
        entries = self._list_endpoints(service)
        count = min(len(entries), ENDPOINTS_PER_PROBE)
        return [
            entries[next(self.rotation) % len(entries)] for _ in range(count)
        ]

    async def _probe(self, entry: message_types.EndpointEntry) -> None:
        if await self.probe(entry.address):
            self.record_connected(entry.service)
