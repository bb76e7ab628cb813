"""Sends requests through peers while this entry VM reaches no endpoint."""

import collections
import contextlib
import random
import typing

import attrs
import httpcore
import trio

from carawayward import clock as clock_module
from carawayward.decisions import placement
from carawayward.decisions import quarantine as quarantine_module
from carawayward.decisions import relay_choice
from carawayward import events
from carawayward.forwarding import attempt as attempt_module
from carawayward.forwarding import attempt_timeouts
from carawayward.forwarding import board as board_module
from carawayward.forwarding import hops
from carawayward.forwarding import load_reports
from carawayward.forwarding import message_types
from carawayward.forwarding import metrics as metrics_module
from carawayward.forwarding import relay_messages
from carawayward.forwarding import report_channels
from carawayward.forwarding import service_paths
from carawayward.forwarding import work_items
from carawayward import http_client as http

# A process that runs answers within a round trip and what its event loop is
# late by.
PREFLIGHT_TIMEOUT_MS = 200.0
# A connection is accepted or refused within a round trip.
PROBE_TIMEOUT_MS = 250.0
MAX_PROBING_PEERS = 2

Outcome = relay_messages.RelayOutcome


class NoPeer(attempt_module.AttemptFailed):
    """No peer was found that sends the request; it has not run."""

    def __init__(self) -> None:
        super().__init__("no peer relays", sent=False)


class PeerDeclined(Exception):
    """A peer did not relay a request, which has not run."""


class PeerUnavailable(PeerDeclined):
    """A peer did not relay it, nor would it relay others now."""


class EndpointUnusable(Exception):
    """A peer knows that the endpoint must not get the request."""


@attrs.define(eq=False)
class RelayClient:
    """Chooses the peers that relay this entry VM's requests.

    ``open_relays`` are those of this entry VM by peer. Peers that recently
    did not answer or relayed nothing are in ``quarantine``.
    """

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    reporter: load_reports.LoadReporter
    paths: service_paths.ServicePaths
    metrics: metrics_module.Metrics
    draw: placement.Draw = random.randrange
    open_relays: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    quarantine: quarantine_module.Quarantine = attrs.field(
        factory=quarantine_module.Quarantine
    )

    def is_needed(self, service: str) -> bool:
        """Whether a peer has to send the requests to a service, and can."""
        return self.paths.is_lost(service) and bool(self._list_peers(service))

    def _list_quarantined(self) -> frozenset[str]:
        return quarantine_module.list_quarantined(
            self.quarantine, self.clock.now_ms()
        )

    def _list_peers(self, service: str) -> list[relay_choice.RelayPeer]:
        """The peers that are up and may reach a service."""
        now_ms = self.clock.now_ms()
        return [
            relay_choice.RelayPeer(
                peer.name, peer.failure_domain, self.open_relays[peer.name]
            )
            for peer in self.reporter.peers.values()
            if now_ms - peer.last_seen_ms
            < peer.compute_ttl_ms(load_reports.PEER_TIMEOUT_MS)
            and not self.paths.is_lost_by(peer.name, service)
        ]

    @contextlib.asynccontextmanager
    async def open_attempt(
        self,
        work: work_items.Work,
        entry: message_types.EndpointEntry,
        forwarded: attempt_module.ForwardedRequest,
        read_response: attempt_module.ReadResponse,
        mark: http.SentMark,
    ) -> typing.AsyncIterator[attempt_module.ResponseReader]:
        """Send a request through the first peer that relays it.

        Raises AttemptFailed, AttemptWithheld, or EndpointUnusable.
        """
        relayed = self._make_relayed(work, entry, forwarded)
        async with contextlib.AsyncExitStack() as stack:
            asked: set[str] = set()
            while True:
                peer = self._choose_peer(entry, asked)
                if peer is None:
                    raise NoPeer()
                asked.add(peer.name)
                try:
                    answer = await stack.enter_async_context(
                        self._ask(peer, relayed, read_response, mark)
                    )
                    break
                except PeerDeclined as fault:
                    mark.sent = False
                    self._record_answer(relayed, peer, str(fault))
            self._record_answer(relayed, peer, "")
            yield answer

    def _make_relayed(
        self,
        work: work_items.Work,
        entry: message_types.EndpointEntry,
        forwarded: attempt_module.ForwardedRequest,
    ) -> relay_messages.RelayedRequest:
        return relay_messages.RelayedRequest(
            endpoint=entry.name,
            born=entry.born,
            service=work.service,
            request_id=work.metadata.request_id,
            customer=work.customer,
            key=work.metadata.key,
            remaining_ms=max(0.0, work.deadline_ms - self.clock.now_ms()),
            silence_ms=attempt_timeouts.get_silence_timeout_ms(work.route),
            forwarded=forwarded,
        )

    def _choose_peer(
        self, entry: message_types.EndpointEntry, asked: typing.Collection[str]
    ) -> report_channels.Peer | None:
        """Choose a peer that was not asked yet.

        One in quarantine is chosen only if there is no other.
        """
        quarantined = self._list_quarantined()
        peers = [
            peer
            for peer in self._list_peers(entry.service)
            if peer.name not in asked
        ]
        chosen = relay_choice.choose_peer(
            self.board.name,
            (self.board.failure_domain, entry.failure_domain),
            [peer for peer in peers if peer.name not in quarantined] or peers,
            self.draw,
        )
        return self.reporter.peers.get(chosen.name) if chosen else None

    @contextlib.asynccontextmanager
    async def _ask(
        self,
        peer: report_channels.Peer,
        relayed: relay_messages.RelayedRequest,
        read_response: attempt_module.ReadResponse,
        mark: http.SentMark,
    ) -> typing.AsyncIterator[attempt_module.ResponseReader]:
        """Ask one peer; raise PeerDeclined if it has not sent the request."""
        address = f"{peer.address[0]}:{peer.address[1]}"
        body = relayed.to_bytes()
        self.open_relays[peer.name] += 1
        quarantine_module.begin_try(
            self.quarantine, peer.name, self.clock.now_ms()
        )
        try:
            async with attempt_module.open_attempt(
                address,
                attempt_module.ForwardedRequest(
                    method=b"POST",
                    target=relay_messages.PATH,
                    headers=[
                        (b"host", address.encode()),
                        (b"content-length", str(len(body)).encode()),
                    ],
                    body=body,
                ),
                relayed.request_id,
                make_reader(read_response),
                mark,
                relayed.silence_ms,
                connect=_connect_to_live_peer,
            ) as answer:
                quarantine_module.record_accepted(self.quarantine, peer.name)
                yield answer
        except PeerUnavailable:
            quarantine_module.record_declined(
                self.quarantine, peer.name, self.clock.now_ms()
            )
            raise
        except attempt_module.AttemptFailed as fault:
            if fault.sent or isinstance(fault, EndpointUnreached):
                raise
            quarantine_module.record_unreachable(
                self.quarantine, peer.name, self.clock.now_ms()
            )
            raise PeerUnavailable(fault.detail) from fault
        finally:
            self.open_relays[peer.name] -= 1

    async def judge_probe(
        self, entry: message_types.EndpointEntry, refused: bool
    ) -> bool:
        """Whether an endpoint refuses connections, by peers if one can tell.

        This entry VM's own probe was ``refused`` or not. If a peer can
        connect, a refusal shows a lost path. While the path is lost, no
        refusal shows nothing.
        """
        if not refused and not self.paths.is_lost(entry.service):
            return False
        began_ms = self.clock.now_ms()
        quarantined = self._list_quarantined()
        peers = [
            peer
            for peer in self._list_peers(entry.service)
            if peer.name not in quarantined
        ]
        for peer in peers[:MAX_PROBING_PEERS]:
            address = self.reporter.peers[peer.name].address
            connects = await _ask_probe(address, entry)
            if connects and refused:
                self.paths.record_unreached(entry, began_ms)
            if connects is not None:
                return not connects
        return refused

    def _record_answer(
        self,
        relayed: relay_messages.RelayedRequest,
        peer: report_channels.Peer,
        declined: str,
    ) -> None:
        """Record whether a peer took a request; ``declined`` is why not."""
        outcome = "declined" if declined else "accepted"
        self.metrics.count("handovers", outcome=outcome)
        events.log_event(
            events.Event.REQUEST_HANDED_OVER,
            request=relayed.request_id,
            endpoint=relayed.endpoint,
            peer=peer.name,
            declined=declined or None,
        )


class EndpointUnreached(attempt_module.AttemptFailed):
    """The peer could not connect to the endpoint."""


def make_reader(
    read_response: attempt_module.ReadResponse,
) -> attempt_module.ReadResponse:
    """Make a function that reads an endpoint's response from a peer's reply.

    It raises an exception if the reply is the peer's own.
    """

    def read(
        status: int, headers: message_types.Headers
    ) -> message_types.ResponseMetadata:
        cause = _find_cause(headers)
        match relay_messages.read_outcome(headers):
            case Outcome.RELAYED:
                return read_response(status, headers)
            case Outcome.UNAVAILABLE:
                raise PeerUnavailable(cause)
            case Outcome.DECLINED:
                raise PeerDeclined(cause)
            case Outcome.UNUSABLE:
                raise EndpointUnusable(cause)
            case Outcome.UNREACHED:
                raise EndpointUnreached(cause, sent=False)
            case _:
                raise attempt_module.AttemptFailed(cause, sent=True)

    return read


def _find_cause(headers: message_types.Headers) -> str:
    for name, value in headers:
        if name.lower() == hops.RELAY_CAUSE_HEADER:
            return value.decode("latin-1")
    return "peer's reply is none of an endpoint"


async def _connect_to_live_peer(
    address: str, silence_timeout_ms: int | None
) -> attempt_module.AttemptConnection:
    """Connect to a peer; raise AttemptFailed unless its process answers.

    The kernel accepts connections for a frozen process, which would run the
    request when it wakes.
    """
    with trio.move_on_after(PREFLIGHT_TIMEOUT_MS / 1000):
        connection = await attempt_module.open_connection(
            address, silence_timeout_ms
        )
        try:
            await _check_alive(address, connection)
        except BaseException:
            await connection.aclose()
            raise
        return connection
    raise attempt_module.AttemptFailed("no answer", sent=False)


async def _check_alive(
    address: str, connection: httpcore.AsyncHTTP11Connection
) -> None:
    """Raise AttemptFailed unless the peer's process answers."""
    try:
        response = await http.request(
            connection,
            "GET",
            f"http://{address}{relay_messages.PATH.decode()}",
        )
    except http.CALL_FAILURES as cause:
        raise attempt_module.AttemptFailed(
            type(cause).__name__, sent=False
        ) from cause
    if response.status != 204:
        raise attempt_module.AttemptFailed(
            f"status {response.status}", sent=False
        )


async def _ask_probe(
    address: report_channels.Address, entry: message_types.EndpointEntry
) -> bool | None:
    """Ask a peer whether an endpoint accepts or refuses its connections.

    None if it is neither, or if the peer does not answer in time.
    """
    host, port = address
    asked = relay_messages.ProbeRequest(endpoint=entry.name, born=entry.born)
    url = f"http://{host}:{port}{relay_messages.PROBE_PATH.decode()}"
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            with trio.fail_after(PROBE_TIMEOUT_MS / 1000):
                response = await http.request(
                    pool, "POST", url, content=asked.to_bytes()
                )
            return relay_messages.decode_probe_reply(response.content)
        except (*http.CALL_FAILURES, *relay_messages.DECODE_ERRORS):
            return None
