"""Tells the other entry VMs what this one has outstanding at the engines.

Datagrams, since a word that comes late is worth nothing: on a connection it
would wait behind a lost one. A lost datagram is made good by the next.
Entry VMs find each other in a topic of the store; each that starts adds
itself and greets those that it finds there.
"""

import typing

import attrs
import cbor2
import trio

from carawayward import clock as clock_module
from carawayward.decisions import engine_load
from carawayward import errors
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import keyed_log
from carawayward import settings as settings_module
from carawayward import supervision

# No more often than this: with the ten or so dispatches a second of one entry
# VM, most go out at once and bursts are grouped.
LEAST_PAUSE_MS = 30.0
# While anything is outstanding it is told anew this often, well within the
# life of a word; with nothing outstanding only that one is alive.
REPEAT_MS = 400.0
ALIVE_MS = 1_500.0
# What a peer said of itself counts no more when it was unheard for this long.
SILENT_MS = 2 * ALIVE_MS
# Unheard for this long a peer is no longer told of.
FORGET_MS = 30_000.0
# One datagram fits into an Ethernet frame with this many engines and parts.
MOST_ENGINES = 30
MOST_PARTS = 40
# Told to at most this many peers; beyond it, a part of the others each time.
MOST_PEERS = 16
MOST_BYTES = 8_192
FIND_RETRY_MS = 500.0
VERSION = 3
# What bytes of another program raise while they are taken apart.
UNREADABLE = (
    AttributeError,
    EOFError,
    LookupError,
    TypeError,
    ValueError,
    cbor2.CBORDecodeError,
)


@attrs.define
class Peer:
    """Another entry VM; ``stale`` if it cannot prove its keys."""

    address: tuple[str, int]
    incarnation: str
    heard_ms: float
    sequence: int = 0
    stale: bool = False


@attrs.frozen
class Topic:
    """What another controller has told with each datagram.

    ``describe`` gives a value that CBOR can carry, None for nothing;
    ``take`` gets a peer's name with its incarnation, and the value.
    """

    describe: typing.Callable[[], typing.Any]
    take: typing.Callable[[str, typing.Any], None]


@attrs.define(eq=False)
class HintsController:
    """Exchanges hints with the other entry VMs."""

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    members: keyed_log.KeyedLog
    address: str
    loads: engine_load.EngineLoads
    memory_tokens: typing.Callable[[str], int]
    peers: dict[str, Peer] = attrs.field(factory=dict)
    topics: dict[str, Topic] = attrs.field(factory=dict)
    sequence: int = 0
    new_parts: list[tuple[str, int, int]] = attrs.field(factory=list)
    last_parts: list[tuple[str, int, int]] = attrs.field(factory=list)
    news: trio.Event = attrs.field(factory=trio.Event)
    turn: int = 0
    _socket: typing.Any = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to listen and to tell."""
        host, port = settings_module.split_address(self.address)
        self._socket = trio.socket.socket(
            trio.socket.AF_INET, trio.socket.SOCK_DGRAM
        )
        await self._socket.bind((host, port))
        for task in (self._listen, self._tell_forever, self._find_peers):
            nursery.start_soon(supervision.keep_running, task, ())

    async def close(self) -> None:
        """Stop listening."""
        if self._socket is not None:
            self._socket.close()

    def add_topic(self, name: str, topic: Topic) -> None:
        """Tell and take a further value with each datagram."""
        self.topics[name] = topic

    def add_load(self, engine: str, change: engine_load.Load) -> None:
        """Note a change of the own outstanding work, and tell it."""
        engine_load.add_own(self.loads, engine, change)
        self.news.set()

    def add_cached(
        self, engine: str, parts: typing.Iterable[tuple[int, int]]
    ) -> None:
        """Note what an engine will have read, and tell it."""
        parts = list(parts)
        engine_load.note_cached(
            self.loads, engine, parts, self.memory_tokens(engine)
        )
        self.new_parts += [(engine, key, tokens) for key, tokens in parts]
        del self.new_parts[:-MOST_PARTS]
        self.news.set()

    def count_known(self) -> int:
        """Entry VMs that were heard of some time ago, this one among them."""
        return 1 + len(self.peers)

    def count_stale(self) -> tuple[int, int]:
        """Other entry VMs known, and those that said lately they are stale."""
        now_ms = self.clock.now_ms()
        stale = sum(
            peer.stale and now_ms - peer.heard_ms < SILENT_MS
            for peer in self.peers.values()
        )
        return len(self.peers), stale

    async def _find_peers(self) -> None:
        """Add this entry VM to the topic and greet those in it.

        First add, then read: of two that start at the same moment at least
        one then finds the other. The other way round, entry VMs that were
        started together read an empty topic and never met.
        """
        value = cbor2.dumps([self.address, self.board.incarnation])
        record = keyed_log.Record(self.board.name, value)
        while True:
            try:
                await self.members.append([record])
                batch = await self.members.read_newest()
                break
            except errors.PlatformUnavailable:
                await self.clock.sleep(FIND_RETRY_MS)
        for found in batch.records:
            self._take_member(found)
        self.news.set()

    def _take_member(self, record: keyed_log.Record) -> None:
        try:
            address, incarnation = cbor2.loads(record.value or b"")
            self._take_peer(record.key, address, incarnation)
        except UNREADABLE as fault:
            events.log_event(
                events.Event.ENTRY_UNREADABLE,
                key=record.key,
                offset=record.offset,
                fault=type(fault).__name__,
            )

    def _take_peer(
        self, name: str, address: str, incarnation: str
    ) -> Peer | None:
        if name == self.board.name:
            return None
        peer = self.peers.get(name)
        if peer is None or peer.incarnation != incarnation:
            where = settings_module.split_address(address)
            peer = Peer(where, incarnation, self.clock.now_ms())
            self.peers[name] = peer
        return peer

    async def _tell_forever(self) -> None:
        while True:
            pause_ms = REPEAT_MS if self.loads.own else ALIVE_MS
            with trio.move_on_after(pause_ms / 1000):
                await self.news.wait()
            self.news = trio.Event()
            await self._tell()
            await self.clock.sleep(LEAST_PAUSE_MS)

    async def _tell(self) -> None:
        """Send one datagram to the peers whose turn it is."""
        now_ms = self.clock.now_ms()
        for name, peer in list(self.peers.items()):
            if now_ms - peer.heard_ms > FORGET_MS:
                del self.peers[name]
        if not self.peers:
            return
        data = self._write()
        for peer in self._choose_peers():
            try:
                await self._socket.sendto(data, peer.address)
            except OSError:
                # A peer that is gone or cut off; it is forgotten when it
                # stays silent.
                continue

    def _choose_peers(self) -> list[Peer]:
        peers = list(self.peers.values())
        if len(peers) <= MOST_PEERS:
            return peers
        self.turn += MOST_PEERS
        start = self.turn % len(peers)
        return (peers + peers)[start : start + MOST_PEERS]

    def _write(self) -> bytes:
        self.sequence += 1
        heaviest = sorted(
            self.loads.own.items(), key=lambda item: -item[1].weight
        )
        loads = {
            engine: [round(load.weight), load.streams]
            for engine, load in heaviest[:MOST_ENGINES]
        }
        # Each part is told twice, so that one lost datagram loses none.
        parts = self.last_parts + self.new_parts
        self.last_parts, self.new_parts = self.new_parts, []
        return cbor2.dumps(
            [
                VERSION,
                self.board.name,
                self.board.incarnation,
                self.address,
                self.sequence,
                self.board.store_failing
                or not self.board.is_fresh(self.clock.boot_ms()),
                loads,
                [list(part) for part in parts],
                self._describe_topics(),
            ]
        )

    def _describe_topics(self) -> dict[str, typing.Any]:
        told = {name: topic.describe() for name, topic in self.topics.items()}
        return {name: value for name, value in told.items() if value}

    async def _listen(self) -> None:
        while True:
            try:
                data, _ = await self._socket.recvfrom(MOST_BYTES)
            except ConnectionError:
                continue
            self._take(data)

    def _take(self, data: bytes) -> None:
        """Take a peer's datagram; one that cannot be read is dropped."""
        try:
            if (fields := cbor2.loads(data))[0] != VERSION:
                return
            name, incarnation, address, sequence, stale = fields[1:6]
            loads, parts, topics = fields[6:]
            told = {
                str(engine): engine_load.Load(float(weight), int(streams))
                for engine, (weight, streams) in loads.items()
            }
            kept = [(str(e), int(k), int(t)) for e, k, t in parts]
            peer = self._take_peer(name, address, incarnation)
            if peer is None or sequence <= peer.sequence:
                return
            for topic in topics.keys() & self.topics.keys():
                teller = f"{name}/{incarnation}"
                self.topics[topic].take(teller, topics[topic])
        except UNREADABLE as fault:
            events.log_event(
                events.Event.PEER_REFUSED, fault=type(fault).__name__
            )
            return
        now_ms = self.clock.now_ms()
        peer.sequence, peer.heard_ms = sequence, now_ms
        peer.stale = bool(stale)
        engine_load.take_peer(self.loads, name, told, now_ms)
        for engine, key, tokens in kept:
            engine_load.note_cached(
                self.loads, engine, [(key, tokens)], self.memory_tokens(engine)
            )
