"""Tells the other entry VMs what this one has outstanding at the engines.

Datagrams, since a word that comes late is worth nothing: on a connection it
would wait behind a lost one. A lost datagram is made good by the next.
Entry VMs find each other in a topic of the store; each that starts adds
itself and greets those that it finds there.

Entry VMs of the same failure domain mostly share its engines and are told at
once; those of others are told as often as a budget of bytes allows.
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
from carawayward.forwarding import hint_channels
from carawayward.forwarding import hint_messages
from carawayward.forwarding import keyed_log
from carawayward import settings as settings_module
from carawayward import supervision

# While anything is outstanding it is told anew this often, well within the
# life of a word; with nothing outstanding only that one is alive.
REPEAT_MS = 400.0
ALIVE_MS = 1_500.0
# What a peer said of itself counts no more when it was unheard for this long.
SILENT_MS = 2 * ALIVE_MS
# Unheard for this long a peer is no longer told of.
FORGET_MS = 30_000.0
# So many engines fit into an Ethernet frame beside the parts.
MOST_ENGINES = 30
MOST_BYTES = 8_192
FIND_RETRY_MS = 500.0


@attrs.frozen
class Topic:
    """What another controller has told with each datagram.

    ``describe`` gives a value that CBOR can carry, None for nothing;
    ``take`` gets a peer's name with its incarnation, and the value.
    """

    describe: typing.Callable[[], typing.Any]
    take: typing.Callable[[str, typing.Any], None]


# Takes a peer's name and the decoded fields of its datagram; raises one of
# ``hint_messages.UNREADABLE`` for what cannot be read.
Handler = typing.Callable[[str, list], None]


@attrs.define(eq=False)
class HintsController:
    """Exchanges hints with the other entry VMs."""

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    members: keyed_log.KeyedLog
    address: str
    loads: engine_load.EngineLoads
    memory_tokens: typing.Callable[[str], int]
    peers: dict[str, hint_channels.Peer] = attrs.field(factory=dict)
    peer_names: dict[int, str] = attrs.field(factory=dict)
    engine_names: dict[int, str] = attrs.field(factory=dict)
    generation: int = -1
    topics: dict[str, Topic] = attrs.field(factory=dict)
    handlers: dict[int, Handler] = attrs.field(factory=dict)
    addresses: dict[hint_channels.Address, str] = attrs.field(factory=dict)
    sequence: int = 0
    channels: list[hint_channels.Channel] = attrs.field(
        factory=hint_channels.make_channels
    )
    _socket: typing.Any = None
    _sender: socket.socket | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to listen and to tell."""
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sender.setblocking(False)
        sender.bind(settings_module.split_address(self.address))
        self._sender = sender
        self._socket = trio.socket.from_stdlib_socket(sender)
        for task in (self._listen, self._find_peers):
            nursery.start_soon(supervision.keep_running, task, ())
        for channel in self.channels:
            nursery.start_soon(
                supervision.keep_running, self._tell_forever, (channel,)
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

    def list_near(self) -> list[str]:
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

    def add_load(self, engine: str, change: engine_load.Load) -> None:
        """Note a change of the own outstanding work, and tell it."""
        engine_load.add_own(self.loads, engine, change)
        self._wake()

    def _wake(self) -> None:
        for channel in self.channels:
            channel.news.set()

    def add_cached(
        self, engine: str, parts: typing.Iterable[tuple[int, int]]
    ) -> None:
        """Note what an engine will have read, and tell it."""
        parts = list(parts)
        engine_load.note_cached(
            self.loads, engine, parts, self.memory_tokens(engine)
        )
        number = hint_messages.shorten(engine)
        told = [
            hint_messages.CachedPart(number, key, tokens)
            for key, tokens in parts
        ]
        for channel in self.channels:
            channel.add_parts(told)
        self._wake()

    def count_known(self) -> int:
        """Entry VMs that were heard of some time ago, this one among them."""
        return 1 + len(self.peers)

    def count_stale(self) -> tuple[int, int]:
        """Other entry VMs known, and those that said lately they are stale."""
        now_ms = self.clock.now_ms()
        stale = sum(
            peer.stale
            and now_ms - peer.heard_ms < peer.compute_ttl_ms(SILENT_MS)
            for peer in self.peers.values()
        )
        return len(self.peers), stale

    async def _find_peers(self) -> None:
        """Add this entry VM to the topic and greet those in it.

        First add, then read: of two that start at the same moment at least
        one then finds the other. The other way round, entry VMs that were
        started together read an empty topic and never met.
        """
        sender = self._describe_self()
        record = keyed_log.Record(self.board.name, sender.to_bytes())
        while True:
            try:
                await self.members.append([record])
                batch = await self.members.read_newest()
                break
            except errors.PlatformUnavailable:
                await self.clock.sleep(FIND_RETRY_MS)
        for found in batch.records:
            self._take_member(found)
        self._wake()

    def _describe_self(self) -> hint_messages.Sender:
        return hint_messages.Sender(
            self.board.name,
            self.board.incarnation,
            self.address,
            self.board.failure_domain,
        )

    def _take_member(self, record: keyed_log.Record) -> None:
        try:
            self._take_peer(
                hint_messages.Sender.from_bytes(record.value or b"")
            )
        except hint_messages.UNREADABLE as fault:
            events.log_event(
                events.Event.ENTRY_UNREADABLE,
                key=record.key,
                offset=record.offset,
                fault=type(fault).__name__,
            )

    def _take_peer(
        self, sender: hint_messages.Sender
    ) -> hint_channels.Peer | None:
        if sender.name == self.board.name:
            return None
        peer = self.peers.get(sender.name)
        if peer is None or peer.incarnation != sender.incarnation:
            peer = hint_channels.Peer(
                sender.name,
                settings_module.split_address(sender.address),
                sender.incarnation,
                self.clock.now_ms(),
                sender.failure_domain == self.board.failure_domain,
            )
            self._forget_number(sender.name)
            self.peers[sender.name] = peer
            self.peer_names[sender.number] = sender.name
            self.addresses[peer.address] = sender.name
            for channel in self.channels:
                channel.introduced_ms = board_module.NEVER
        return peer

    def _forget_number(self, name: str) -> None:
        """Take no more datagrams by a former start's number for this name.

        One that comes late would raise the sequence number past those of the
        present start, whose datagrams would then count as overtaken.
        """
        self.peer_names = {
            number: known
            for number, known in self.peer_names.items()
            if known != name
        }

    def _find_sender(
        self, sender: hint_messages.Sender | int
    ) -> hint_channels.Peer | None:
        """The peer that a datagram is from; None until it says its name."""
        if isinstance(sender, hint_messages.Sender):
            return self._take_peer(sender)
        return self.peers.get(self.peer_names.get(sender, ""))

    async def _tell_forever(self, channel: hint_channels.Channel) -> None:
        while True:
            pause_ms = REPEAT_MS if self.loads.own else ALIVE_MS
            with trio.move_on_after(pause_ms / 1000):
                await channel.news.wait()
            channel.news = trio.Event()
            sent_bytes = await self._tell(channel)
            await self.clock.sleep(channel.find_pause_ms(sent_bytes))

    async def _tell(self, channel: hint_channels.Channel) -> int:
        """Send one datagram to the peers whose turn it is; return bytes."""
        now_ms = self.clock.now_ms()
        for name, peer in list(self.peers.items()):
            if now_ms - peer.heard_ms > FORGET_MS:
                del self.peers[name]
                self._forget_number(name)
        peers = channel.choose_peers(self.peers.values())
        if not peers:
            return 0
        data = self._write(channel)
        for peer in peers:
            try:
                await self._socket.sendto(data, peer.address)
            except OSError:
                # A peer that is gone or cut off; it is forgotten when it
                # stays silent.
                continue
        return len(data) * len(peers)

    def _write(self, channel: hint_channels.Channel) -> bytes:
        self.sequence += 1
        heaviest = sorted(
            self.loads.own.items(), key=lambda item: -item[1].weight
        )
        sender = self._describe_self()
        introduces = channel.introduces(self.clock.now_ms())
        message = hint_messages.Message(
            sender=sender if introduces else sender.number,
            sequence=self.sequence,
            stale=self.board.store_failing
            or not self.board.is_fresh(self.clock.boot_ms()),
            loads={
                hint_messages.shorten(engine): load
                for engine, load in heaviest[:MOST_ENGINES]
            },
            parts=channel.take_parts(),
            topics=self._describe_topics(),
        )
        return message.to_bytes()

    def _describe_topics(self) -> dict[str, typing.Any]:
        told = {name: topic.describe() for name, topic in self.topics.items()}
        return {name: value for name, value in told.items() if value}

    async def _listen(self) -> None:
        while True:
            try:
                data, address = await self._socket.recvfrom(MOST_BYTES)
            except ConnectionError:
                continue
            self._take(data, address)

    def _take(
        self, data: bytes, address: hint_channels.Address | None = None
    ) -> None:
        """Take a peer's datagram; one that cannot be read is dropped.

        Hints say whom they are from; other kinds are known by ``address``.
        """
        try:
            fields = hint_messages.decode(data)
            handler = self.handlers.get(fields[0])
            if handler is None:
                self._take_hint(fields)
                return
            peer = self.addresses.get(address) if address else None
            if peer is not None:
                handler(peer, fields)
        except hint_messages.UNREADABLE as fault:
            events.log_event(
                events.Event.PEER_REFUSED, fault=type(fault).__name__
            )

    def _take_hint(self, fields: list) -> None:
        message = hint_messages.Message.from_fields(fields)
        if message is None:
            return
        peer = self._find_sender(message.sender)
        if peer is None or message.sequence <= peer.sequence:
            return
        self._take_topics(peer, message)
        self._take_message(peer, message)

    def _take_topics(
        self, peer: hint_channels.Peer, message: hint_messages.Message
    ) -> None:
        teller = f"{peer.name}/{peer.incarnation}"
        for topic in message.topics.keys() & self.topics.keys():
            self.topics[topic].take(teller, message.topics[topic])

    def _take_message(
        self, peer: hint_channels.Peer, message: hint_messages.Message
    ) -> None:
        now_ms = self.clock.now_ms()
        peer.record_report(message.sequence, now_ms)
        peer.stale = message.stale
        names = self._name_engines()
        told = {
            names[number]: load
            for number, load in message.loads.items()
            if number in names
        }
        ttl_ms = peer.compute_ttl_ms(engine_load.PEER_REPORT_TTL_MS)
        engine_load.merge_peer_report(
            self.loads, peer.name, told, now_ms, ttl_ms
        )
        for part in message.parts:
            engine = names.get(part.engine)
            if engine is not None:
                kept = [(part.key, part.tokens)]
                memory = self.memory_tokens(engine)
                engine_load.note_cached(self.loads, engine, kept, memory)

    def _name_engines(self) -> dict[int, str]:
        """The listed endpoints by what stands for their names."""
        if self.generation != self.board.generation:
            self.generation = self.board.generation
            self.engine_names = {
                hint_messages.shorten(name): name
                for name in self.board.endpoints
            }
        return self.engine_names
