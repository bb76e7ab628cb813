"""Exchanges load reports between entry VMs.

A load report says how much work its sender has outstanding at the engines.
Reports are UDP datagrams because a late report is worthless: on a TCP
connection it would wait behind a lost segment. The next report makes up for a
lost one. Entry VMs discover each other through a topic of the store: each adds
its own record when it starts and sends a report to those that it finds there.

Entry VMs of the same failure domain mostly share its engines and are sent
reports at once; those of other domains as often as a byte budget allows.
"""

import socket
import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.decisions import engine_load
from carawayward import errors
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import call_causes
from carawayward.forwarding import keyed_log
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import peer_directory
from carawayward.forwarding import registration as registration_module
from carawayward.forwarding import report_channels
from carawayward import record_isolation
from carawayward import settings as settings_module
from carawayward import supervision

# How often reports are sent while work is outstanding, well within the TTL of
# a report, and how often while none is, as a heartbeat.
REPORT_INTERVAL_MS = 400.0
HEARTBEAT_MS = 1_500.0
# Minimum time for which a peer's ``stale`` flag and topics are valid.
PEER_TIMEOUT_MS = 2 * HEARTBEAT_MS
# The same for its report of overload, which is not followed by one that the
# overload is over.
MIN_OVERLOAD_TTL_MS = 2.5 * REPORT_INTERVAL_MS
# This many engines fit into an Ethernet frame together with the prompt parts.
MAX_ENGINES_PER_REPORT = 30
MAX_DATAGRAM_BYTES = 8_192
# Datagrams that are handled before other tasks have their turn. A busy process
# would otherwise handle one in each turn, and take what its delegate has sent
# for late.
MAX_DATAGRAMS_PER_TURN = 16


@attrs.frozen
class Topic:
    """A value that another controller adds to each report.

    ``describe`` returns a value that CBOR can encode, None for nothing.
    ``merge`` is called with a peer's ``name/incarnation``, its value, and the
    time for which the value is valid, in ms.
    """

    describe: typing.Callable[[], typing.Any]
    merge: typing.Callable[[str, typing.Any, float], None]


# Called with a peer's name and the decoded fields of its datagram; raises one
# of ``load_report_messages.DECODE_ERRORS`` if they are malformed.
Handler = typing.Callable[[str, list], None]


@attrs.define(eq=False)
class LoadReporter:
    """Exchanges load reports with the other entry VMs."""

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    members: keyed_log.KeyedLog
    address: str
    loads: engine_load.EngineLoads
    get_memory_tokens: typing.Callable[[str], int]
    directory: peer_directory.PeerDirectory = attrs.field(init=False)
    registration: registration_module.Registration = attrs.field(init=False)
    engine_names: dict[int, str] = attrs.field(factory=dict)
    generation: int = -1
    topics: dict[str, Topic] = attrs.field(factory=dict)
    handlers: dict[int, Handler] = attrs.field(factory=dict)
    sequence: int = 0
    channels: list[report_channels.Channel] = attrs.field(
        factory=report_channels.make_channels
    )
    joined: trio.Event = attrs.field(factory=trio.Event)
    _socket: typing.Any = None
    _send_socket: socket.socket | None = None

    def __attrs_post_init__(self) -> None:
        self.directory = peer_directory.PeerDirectory(
            load_report_messages.Sender(
                self.board.name,
                self.board.incarnation,
                self.address,
                self.board.failure_domain,
            )
        )
        self.registration = registration_module.Registration(
            self.members,
            self.clock,
            keyed_log.Record(self.board.name, self.directory.own.to_bytes()),
        )

    @property
    def peers(self) -> dict[str, report_channels.Peer]:
        """The other known entry VMs, by name."""
        return self.directory.peers

    async def start(self, nursery: trio.Nursery) -> None:
        """Start listening and sending reports."""
        udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        udp_socket.setblocking(False)
        udp_socket.bind(settings_module.split_address(self.address))
        self._send_socket = udp_socket
        self._socket = trio.socket.from_stdlib_socket(udp_socket)
        await self.registration.start(nursery)
        for task in (self._listen, self._join):
            nursery.start_soon(supervision.run_with_restarts, task, ())
        for channel in self.channels:
            nursery.start_soon(
                supervision.run_with_restarts, self._send_reports, (channel,)
            )

    async def close(self) -> None:
        """Stop listening."""
        if self._socket is not None:
            self._socket.close()

    def add_topic(self, name: str, topic: Topic) -> None:
        """Send a further value with each report, and merge those of peers."""
        self.topics[name] = topic

    def add_handler(self, kind: int, handler: Handler) -> None:
        """Handle datagrams of known peers whose first element is ``kind``."""
        self.handlers[kind] = handler

    def send(self, name: str, data: bytes) -> None:
        """Send a peer a datagram; it is dropped if sending would block."""
        peer = self.peers.get(name)
        if peer is None or self._send_socket is None:
            return
        try:
            self._send_socket.sendto(data, peer.address)
        except OSError:
            # The send buffer is full or the peer is gone. Both are handled
            # like a datagram lost in the network: the next one makes up for
            # it.
            return

    def list_delegate_candidates(self) -> list[str]:
        """Peers of this failure domain that last reported access to the store.

        The age of that report does not matter: with many peers reports are
        infrequent, and a client detects a failed delegate by itself.
        """
        return [
            peer.name
            for peer in self.peers.values()
            if peer.local and not peer.stale
        ]

    def list_members(self) -> list[str]:
        """The names of all known entry VMs, including this one."""
        return [self.board.name, *self.peers]

    def list_joined_members(self) -> typing.Collection[str] | None:
        """The names of all known entry VMs; None before joining."""
        return self.list_members() if self.joined.is_set() else None

    def list_domain_members(
        self, failure_domain: str
    ) -> typing.Collection[str] | None:
        """The entry VMs of a failure domain; None before joining.

        All known entry VMs if none is known in the failure domain.
        """
        if not self.joined.is_set():
            return None
        return (
            self.directory.list_domain(failure_domain) or self.list_members()
        )

    def find_domain(self, name: str) -> str:
        """The failure domain of a known peer, else ""."""
        peer = self.peers.get(name)
        return peer.failure_domain if peer is not None else ""

    def record_load(self, engine: str, change: engine_load.Load) -> None:
        """Record a change of this entry VM's outstanding work, and report it.

        The end of a stream alone matters little to peers, and is sent with
        the next scheduled report.
        """
        engine_load.add_own_load(self.loads, engine, change)
        if change.weight:
            self.report_soon()

    def report_soon(self) -> None:
        """Send a report as soon as the budgets allow."""
        for channel in self.channels:
            channel.changed.set()

    def record_cached(
        self, engine: str, parts: typing.Iterable[tuple[int, int]]
    ) -> None:
        """Record prompt parts an engine will have cached, and report them."""
        parts = list(parts)
        engine_load.record_cached(
            self.loads, engine, parts, self.get_memory_tokens(engine)
        )
        number = load_report_messages.hash_name(engine)
        cached = [
            load_report_messages.CachedPart(number, key, tokens)
            for key, tokens in parts
        ]
        for channel in self.channels:
            channel.add_parts(cached)
        self.report_soon()

    def count_possible_members(self) -> int | None:
        """The number of entry VMs that may be alive; None before joining."""
        if not self.joined.is_set():
            return None
        return self.directory.count_possible_members(self.clock.now_ms())

    def record_overload(self, name: str) -> None:
        """Record that a known peer has reported overload."""
        peer = self.peers[name]
        ttl_ms = peer.compute_ttl_ms(MIN_OVERLOAD_TTL_MS)
        peer.overloaded_until_ms = self.clock.now_ms() + ttl_ms

    def count_overloaded_peers(self) -> tuple[int, int]:
        """The numbers of peers heard of lately, and of those overloaded."""
        now_ms = self.clock.now_ms()
        recent = [
            peer
            for peer in self.peers.values()
            if now_ms - peer.last_seen_ms
            < peer.compute_ttl_ms(PEER_TIMEOUT_MS)
        ]
        return len(recent), sum(
            now_ms < peer.overloaded_until_ms for peer in recent
        )

    def count_stale_peers(self) -> tuple[int, int]:
        """The numbers of known peers, and of those recently reported stale."""
        now_ms = self.clock.now_ms()
        stale = sum(
            peer.stale
            and now_ms - peer.last_seen_ms
            < peer.compute_ttl_ms(PEER_TIMEOUT_MS)
            for peer in self.peers.values()
        )
        return len(self.peers), stale

    async def _join(self) -> None:
        """Add this entry VM to the topic and announce it to the members.

        The record is added before the topic is read, so that of two entry VMs
        that start at the same moment at least one finds the other. In the
        reverse order, entry VMs that were started together read an empty
        topic and never discovered each other.
        """
        await self.registration.add()
        while True:
            self.registration.count_call(call_causes.Cause.START)
            try:
                batch = await self.members.read_newest()
                break
            except errors.PlatformUnavailable:
                await self.clock.sleep(registration_module.RETRY_MS)
        for record in batch.records:
            self._add_peer_from_record(record)
        self._announce_to_domain()
        self.joined.set()
        self.report_soon()

    def _announce_to_domain(self) -> None:
        """Send a report to all peers of this failure domain.

        Peers drop datagrams of unknown senders. With many peers reports are
        sent in rotation, so queries to a delegate would stay unanswered until
        the rotation has reached it.
        """
        (channel,) = (each for each in self.channels if each.local)
        channel.introduced_at_ms = board_module.NEVER
        data = self._encode_report(channel)
        for peer in list(self.peers.values()):
            if peer.local:
                self.send(peer.name, data)

    def _add_peer_from_record(self, record: keyed_log.Record) -> None:
        def decode_and_add() -> None:
            self._add_peer(
                load_report_messages.Sender.from_bytes(record.value or b"")
            )

        record_isolation.isolate(
            decode_and_add, None, key=record.key, offset=record.offset
        )

    def _add_peer(self, sender: load_report_messages.Sender) -> None:
        if self.directory.add(sender, self.clock.now_ms()):
            for channel in self.channels:
                channel.introduced_at_ms = board_module.NEVER

    def _resolve_sender(
        self, sender: load_report_messages.Sender | int
    ) -> report_channels.Peer | None:
        """Return the peer that sent a report; None before its introduction.

        A report that introduces its sender adds it to the directory.
        """
        if isinstance(sender, int):
            return self.directory.get_by_number(sender)
        self._add_peer(sender)
        return self.peers.get(sender.name)

    async def _send_reports(self, channel: report_channels.Channel) -> None:
        while True:
            pause_ms = REPORT_INTERVAL_MS if self.loads.own else HEARTBEAT_MS
            with trio.move_on_after(pause_ms / 1000):
                await channel.changed.wait()
            channel.changed = trio.Event()
            sent_bytes = self._send_report(channel)
            await self.clock.sleep(channel.compute_pause_ms(sent_bytes))

    def _send_report(self, channel: report_channels.Channel) -> int:
        """Send a report to the next peers of a channel; return its bytes."""
        self.directory.remove_silent(self.clock.now_ms())
        peers = channel.choose_peers(self.peers.values())
        if not peers:
            return 0
        data = self._encode_report(channel)
        for peer in peers:
            self.send(peer.name, data)
        return len(data) * len(peers)

    def _encode_report(self, channel: report_channels.Channel) -> bytes:
        self.sequence += 1
        most_loaded = sorted(
            self.loads.own.items(), key=lambda item: -item[1].weight
        )
        sender = self.directory.own
        introduces = channel.claim_introduction(self.clock.now_ms())
        message = load_report_messages.Message(
            sender=sender if introduces else sender.number,
            sequence=self.sequence,
            stale=self.board.store_failing
            or not self.board.is_key_lease_valid(self.clock.boot_ms()),
            loads={
                load_report_messages.hash_name(engine): load
                for engine, load in most_loaded[:MAX_ENGINES_PER_REPORT]
            },
            parts=channel.take_parts(),
            topics=self._collect_topics(),
        )
        return message.to_bytes()

    def _collect_topics(self) -> dict[str, typing.Any]:
        values = {
            name: topic.describe() for name, topic in self.topics.items()
        }
        return {name: value for name, value in values.items() if value}

    async def _listen(self) -> None:
        while True:
            try:
                data, address = await self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except ConnectionError:
                continue
            self._handle_datagram(data, address)
            self._handle_waiting()

    def _handle_waiting(self) -> None:
        """Handle further datagrams that have arrived already."""
        assert self._send_socket is not None
        for _ in range(MAX_DATAGRAMS_PER_TURN - 1):
            try:
                data, address = self._send_socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except ConnectionError:
                # A peer to which a datagram was sent is gone.
                continue
            self._handle_datagram(data, address)

    def _handle_datagram(
        self, data: bytes, address: report_channels.Address | None = None
    ) -> None:
        """Handle a peer's datagram; one that cannot be handled is dropped.

        Load reports name their sender; datagrams of other kinds are
        attributed by their source ``address``. Whatever one of them makes a
        handler raise, the task goes on with the next.
        """
        try:
            self._dispatch(load_report_messages.decode(data), address)
        except Exception as fault:
            events.log_event(
                events.Event.PEER_REFUSED,
                detail=supervision.describe_fault(fault),
            )

    def _dispatch(
        self, fields: list, address: report_channels.Address | None
    ) -> None:
        handler = self.handlers.get(fields[0])
        if handler is None:
            self._handle_report(fields)
            return
        peer = (
            self.directory.names_by_address.get(address) if address else None
        )
        if peer is not None:
            handler(peer, fields)

    def _handle_report(self, fields: list) -> None:
        message = load_report_messages.Message.from_fields(fields)
        if message is None:
            return
        peer = self._resolve_sender(message.sender)
        if peer is None or message.sequence <= peer.sequence:
            return
        self._merge_topics(peer, message)
        self._merge_loads(peer, message)

    def _merge_topics(
        self, peer: report_channels.Peer, message: load_report_messages.Message
    ) -> None:
        sender = f"{peer.name}/{peer.incarnation}"
        ttl_ms = peer.compute_ttl_ms(PEER_TIMEOUT_MS)
        for topic in message.topics.keys() & self.topics.keys():
            try:
                self.topics[topic].merge(sender, message.topics[topic], ttl_ms)
            except Exception as fault:
                # A peer whose reports were dropped as a whole would be taken
                # for gone.
                events.log_event(
                    events.Event.PEER_REFUSED,
                    peer=sender,
                    topic=topic,
                    detail=supervision.describe_fault(fault),
                )

    def _merge_loads(
        self, peer: report_channels.Peer, message: load_report_messages.Message
    ) -> None:
        now_ms = self.clock.now_ms()
        peer.record_report(message.sequence, now_ms)
        peer.stale = message.stale
        names = self.get_engine_names()
        reported = {
            names[number]: load
            for number, load in message.loads.items()
            if number in names
        }
        ttl_ms = peer.compute_ttl_ms(engine_load.PEER_REPORT_TTL_MS)
        engine_load.merge_peer_report(
            self.loads, peer.name, reported, now_ms, ttl_ms
        )
        for part in message.parts:
            engine = names.get(part.engine)
            if engine is not None:
                cached = [(part.key, part.tokens)]
                cache_tokens = self.get_memory_tokens(engine)
                engine_load.record_cached(
                    self.loads, engine, cached, cache_tokens
                )

    def get_engine_names(self) -> dict[int, str]:
        """The names of the listed endpoints, by their hashes."""
        if self.generation != self.board.generation:
            self.generation = self.board.generation
            self.engine_names = {
                load_report_messages.hash_name(name): name
                for name in self.board.endpoints
            }
        return self.engine_names
