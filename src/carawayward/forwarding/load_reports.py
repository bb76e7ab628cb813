"""Load reports: what this entry VM has outstanding at the engines.

Datagrams, since a report that comes late is worth nothing: on a connection it
would wait behind a lost one. A lost datagram is made good by the next.
Entry VMs find each other in a topic of the store; each that starts adds
itself and sends a report to those that it finds there.

Entry VMs of the same failure domain mostly share its engines and get reports
at once; those of others get them as often as a budget of bytes allows.
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
from carawayward.forwarding import keyed_log
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import peer_directory
from carawayward.forwarding import registration as registration_module
from carawayward.forwarding import report_channels
from carawayward import settings as settings_module
from carawayward import supervision

# While anything is outstanding it is reported this often, well within the
# TTL of a report; with nothing outstanding a heartbeat goes out.
REPEAT_MS = 400.0
HEARTBEAT_MS = 1_500.0
# What a peer reported of itself counts for this long at the least.
PEER_TIMEOUT_MS = 2 * HEARTBEAT_MS
# So many engines fit into an Ethernet frame beside the parts.
MAX_ENGINES = 30
MAX_DATAGRAM_BYTES = 8_192


@attrs.frozen
class Topic:
    """What another controller adds to each report.

    ``describe`` gives a value that CBOR can carry, None for nothing;
    ``merge`` gets a peer's name with its incarnation, the value, and for how
    long it counts, in ms.
    """

    describe: typing.Callable[[], typing.Any]
    merge: typing.Callable[[str, typing.Any, float], None]


# Takes a peer's name and the decoded fields of its datagram; raises one of
# ``load_report_messages.DECODE_ERRORS`` for what cannot be read.
Handler = typing.Callable[[str, list], None]


@attrs.define(eq=False)
class LoadReporter:
    """Exchanges load reports with the other entry VMs."""

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    members: keyed_log.KeyedLog
    address: str
    loads: engine_load.EngineLoads
    memory_tokens: typing.Callable[[str], int]
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
    _sender: socket.socket | None = None

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
        """The other entry VMs that are known, by name."""
        return self.directory.peers

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to listen and to report."""
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sender.setblocking(False)
        sender.bind(settings_module.split_address(self.address))
        self._sender = sender
        self._socket = trio.socket.from_stdlib_socket(sender)
        await self.registration.start(nursery)
        for task in (self._listen, self._join):
            nursery.start_soon(supervision.keep_running, task, ())
        for channel in self.channels:
            nursery.start_soon(
                supervision.keep_running, self._send_forever, (channel,)
            )

    async def close(self) -> None:
        """Stop listening."""
        if self._socket is not None:
            self._socket.close()

    def add_topic(self, name: str, topic: Topic) -> None:
        """Tell and take a further value with each datagram."""
        self.topics[name] = topic

    def add_handler(self, kind: int, handler: Handler) -> None:
        """Take datagrams of known peers whose first element is ``kind``."""
        self.handlers[kind] = handler

    def send(self, name: str, data: bytes) -> None:
        """Send a peer a datagram; lost if it cannot go out at once."""
        peer = self.peers.get(name)
        if peer is None or self._sender is None:
            return
        try:
            self._sender.sendto(data, peer.address)
        except OSError:
            # A full buffer, or a peer that is gone; both are as a datagram
            # that was lost on its way, which the sender makes good.
            return

    def list_delegate_candidates(self) -> list[str]:
        """Peers of this failure domain that say that they reach the store.

        However long ago they said so: with many peers their reports come
        seldom, and whoever relies on one finds out itself if it has gone.
        """
        return [
            peer.name
            for peer in self.peers.values()
            if peer.near and not peer.stale
        ]

    def list_members(self) -> list[str]:
        """All entry VMs that are known, with this one."""
        return [self.board.name, *self.peers]

    def list_domain_members(
        self, failure_domain: str
    ) -> typing.Collection[str] | None:
        """The entry VMs of a failure domain, or all; None before joining."""
        if not self.joined.is_set():
            return None
        return (
            self.directory.list_domain(failure_domain) or self.list_members()
        )

    def record_load(self, engine: str, change: engine_load.Load) -> None:
        """Record a change of the own outstanding work, and report it.

        The end of a stream alone changes little for others, and goes out with
        the next report.
        """
        engine_load.add_own_load(self.loads, engine, change)
        if change.weight:
            self._wake()

    def _wake(self) -> None:
        for channel in self.channels:
            channel.changed.set()

    def record_cached(
        self, engine: str, parts: typing.Iterable[tuple[int, int]]
    ) -> None:
        """Record what an engine will have read, and report it."""
        parts = list(parts)
        engine_load.record_cached(
            self.loads, engine, parts, self.memory_tokens(engine)
        )
        number = load_report_messages.hash_name(engine)
        cached = [
            load_report_messages.CachedPart(number, key, tokens)
            for key, tokens in parts
        ]
        for channel in self.channels:
            channel.add_parts(cached)
        self._wake()

    def count_members(self) -> int:
        """Entry VMs that are known, this one among them."""
        return 1 + len(self.peers)

    def count_stale_peers(self) -> tuple[int, int]:
        """Other entry VMs known, and those that said lately they are stale."""
        now_ms = self.clock.now_ms()
        stale = sum(
            peer.stale
            and now_ms - peer.last_seen_ms
            < peer.compute_ttl_ms(PEER_TIMEOUT_MS)
            for peer in self.peers.values()
        )
        return len(self.peers), stale

    async def _join(self) -> None:
        """Add this entry VM to the topic and greet those in it.

        First add, then read: of two that start at the same moment at least
        one then finds the other. The other way round, entry VMs that were
        started together read an empty topic and never met.
        """
        await self.registration.add()
        while True:
            try:
                batch = await self.members.read_newest()
                break
            except errors.PlatformUnavailable:
                await self.clock.sleep(registration_module.RETRY_MS)
        for found in batch.records:
            self._add_member(found)
        self._introduce()
        self.joined.set()
        self._wake()

    def _introduce(self) -> None:
        """Send a report to all peers of this failure domain.

        They drop datagrams of whom they do not know. With many peers reports
        go out in turn, and queries to a delegate would stay unanswered until
        its turn has come.
        """
        (near,) = (each for each in self.channels if each.near)
        near.introduced_ms = board_module.NEVER
        data = self._write(near)
        for peer in list(self.peers.values()):
            if peer.near:
                self.send(peer.name, data)

    def _add_member(self, record: keyed_log.Record) -> None:
        try:
            self._add_peer(
                load_report_messages.Sender.from_bytes(record.value or b"")
            )
        except load_report_messages.DECODE_ERRORS as fault:
            events.log_event(
                events.Event.ENTRY_UNREADABLE,
                key=record.key,
                offset=record.offset,
                fault=type(fault).__name__,
            )

    def _add_peer(self, sender: load_report_messages.Sender) -> None:
        if self.directory.add(sender, self.clock.now_ms()):
            for channel in self.channels:
                channel.introduced_ms = board_module.NEVER

    def _find_sender(
        self, sender: load_report_messages.Sender | int
    ) -> report_channels.Peer | None:
        """The peer that a datagram is from; None until it says its name."""
        if isinstance(sender, int):
            return self.directory.get_by_number(sender)
        self._add_peer(sender)
        return self.peers.get(sender.name)

    async def _send_forever(self, channel: report_channels.Channel) -> None:
        while True:
            pause_ms = REPEAT_MS if self.loads.own else HEARTBEAT_MS
            with trio.move_on_after(pause_ms / 1000):
                await channel.changed.wait()
            channel.changed = trio.Event()
            sent_bytes = self._send_next(channel)
            await self.clock.sleep(channel.find_pause_ms(sent_bytes))

    def _send_next(self, channel: report_channels.Channel) -> int:
        """Send one datagram to the peers whose turn it is; return bytes."""
        self.directory.remove_silent(self.clock.now_ms())
        peers = channel.choose_peers(self.peers.values())
        if not peers:
            return 0
        data = self._write(channel)
        for peer in peers:
            self.send(peer.name, data)
        return len(data) * len(peers)

    def _write(self, channel: report_channels.Channel) -> bytes:
        self.sequence += 1
        heaviest = sorted(
            self.loads.own.items(), key=lambda item: -item[1].weight
        )
        sender = self.directory.own
        introduces = channel.introduces(self.clock.now_ms())
        message = load_report_messages.Message(
            sender=sender if introduces else sender.number,
            sequence=self.sequence,
            stale=self.board.store_failing
            or not self.board.is_key_lease_valid(self.clock.boot_ms()),
            loads={
                load_report_messages.hash_name(engine): load
                for engine, load in heaviest[:MAX_ENGINES]
            },
            parts=channel.take_parts(),
            topics=self._describe_topics(),
        )
        return message.to_bytes()

    def _describe_topics(self) -> dict[str, typing.Any]:
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
            self._take(data, address)

    def _take(
        self, data: bytes, address: report_channels.Address | None = None
    ) -> None:
        """Take a peer's datagram; one that cannot be read is dropped.

        Hints say whom they are from; other kinds are known by ``address``.
        """
        try:
            fields = load_report_messages.decode(data)
            handler = self.handlers.get(fields[0])
            if handler is None:
                self._on_report(fields)
                return
            peer = self.directory.addresses.get(address) if address else None
            if peer is not None:
                handler(peer, fields)
        except load_report_messages.DECODE_ERRORS as fault:
            events.log_event(
                events.Event.PEER_REFUSED, fault=type(fault).__name__
            )

    def _on_report(self, fields: list) -> None:
        message = load_report_messages.Message.from_fields(fields)
        if message is None:
            return
        peer = self._find_sender(message.sender)
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
            self.topics[topic].merge(sender, message.topics[topic], ttl_ms)

    def _merge_loads(
        self, peer: report_channels.Peer, message: load_report_messages.Message
    ) -> None:
        now_ms = self.clock.now_ms()
        peer.record_report(message.sequence, now_ms)
        peer.stale = message.stale
        names = self._name_engines()
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
                kept = [(part.key, part.tokens)]
                memory = self.memory_tokens(engine)
                engine_load.record_cached(self.loads, engine, kept, memory)

    def _name_engines(self) -> dict[int, str]:
        """The listed endpoints by what stands for their names."""
        if self.generation != self.board.generation:
            self.generation = self.board.generation
            self.engine_names = {
                load_report_messages.hash_name(name): name
                for name in self.board.endpoints
            }
        return self.engine_names
