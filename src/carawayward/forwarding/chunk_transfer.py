"""Fetches a change that is longer than a datagram, a few chunks at a time.

A delegate that sent all chunks to each client at once would overrun its own
link, and lost chunks would be followed by all of them again. The client asks
for the chunks that it lacks when those it asked for last have come, so that
clients together take what the link carries.
"""

import typing

import attrs

from carawayward.forwarding import board as board_module
from carawayward.forwarding import change_log
from carawayward.forwarding import freshness_messages

# Chunks requested at once.
WINDOW = 4
# Further ones are requested when no more than this many are on their way, so
# that the loss of the last one does not stop the transfer.
MAX_OUTSTANDING_AT_REQUEST = 1
# Chunks sent before the client asks; all clients are sent these at once.
FIRST_CHUNKS = 2
# Chunks that have not come after this time count as lost. A delegate may have
# to send a window to each of its clients first.
RETRY_MS = 200.0
# A transfer that nothing has come of for this long goes on with the queries,
# which are less frequent.
MAX_STALL_MS = 800.0


@attrs.define(eq=False)
class Transfer:
    """The change of a topic that is being fetched from ``peer``.

    It brings this entry VM from ``start`` to the position after ``offset``,
    which is None before the first chunk. ``outstanding`` are the indices of
    chunks that were requested last and may still come, in the order in which
    they are sent. ``active_ms`` is when anything was requested or received
    last, and ``progress_ms`` when a chunk was received last or the
    transfer began, in ms on the boot clock.
    """

    peer: str
    start: int
    progress_ms: float
    offset: int | None = None
    count: int = 0
    parts: dict[int, bytes] = attrs.field(factory=dict)
    outstanding: list[int] = attrs.field(factory=list)
    active_ms: float = board_module.NEVER

    def is_active(self, now_ms: float) -> bool:
        """Whether chunks have come lately."""
        return now_ms - self.progress_ms < MAX_STALL_MS

    def accepts(self, chunk: freshness_messages.Chunk) -> bool:
        """Whether a chunk is of this change, or of one that superseded it."""
        return chunk.start == self.start and (
            self.offset is None or chunk.offset >= self.offset
        )

    def add(self, chunk: freshness_messages.Chunk) -> None:
        """Add a chunk; forget those of a change that has been superseded."""
        if (chunk.offset, chunk.count) != (self.offset, self.count):
            self.parts.clear()
            self.offset, self.count = chunk.offset, chunk.count
            self.outstanding = list(range(min(FIRST_CHUNKS, chunk.count)))
        self.parts[chunk.index] = chunk.data
        if chunk.index in self.outstanding:
            # Those sent before it that have not come are most likely lost.
            position = self.outstanding.index(chunk.index)
            del self.outstanding[: position + 1]

    def take_missing(self) -> tuple[int, ...]:
        """The chunks to request next, which are then outstanding.

        Empty before the first chunk has come.
        """
        missing = [
            index
            for index in range(self.count)
            if index not in self.parts and index not in self.outstanding
        ][:WINDOW]
        self.outstanding += missing
        return tuple(missing)


@attrs.define(eq=False)
class ChunkFetcher:
    """The transfers of one entry VM, by topic."""

    transfers: dict[str, Transfer] = attrs.field(factory=dict)

    def is_active(self, now_ms: float) -> bool:
        """Whether lost chunks have to be requested again."""
        return any(each.is_active(now_ms) for each in self.transfers.values())

    def request(
        self, peer: str, topic: str, start: int, now_ms: float
    ) -> freshness_messages.ChunkRequest | None:
        """Begin or go on to fetch the change at ``start``.

        None while chunks of it are on their way.
        """
        transfer = self._find_transfer(peer, topic, start, now_ms)
        if now_ms - transfer.active_ms < RETRY_MS:
            return None
        transfer.outstanding.clear()
        return _request_missing(topic, transfer, now_ms)

    def list_retries(
        self, positions: typing.Mapping[str, int | None], now_ms: float
    ) -> list[tuple[str, freshness_messages.ChunkRequest]]:
        """The requests to send again, each with the peer that it goes to.

        Ends transfers whose topic has reached another position.
        """
        retries = []
        for topic, transfer in list(self.transfers.items()):
            if positions.get(topic) != transfer.start:
                del self.transfers[topic]
            elif now_ms - transfer.active_ms >= RETRY_MS:
                transfer.outstanding.clear()
                request = _request_missing(topic, transfer, now_ms)
                if request is not None:
                    retries.append((transfer.peer, request))
        return retries

    def receive(
        self, peer: str, chunk: freshness_messages.Chunk, now_ms: float
    ) -> change_log.Change | freshness_messages.ChunkRequest | None:
        """Take a chunk; return the change if it is whole.

        Else returns the request for further chunks if it is due. Raises
        UnreadableRecord if the chunks do not form a value.
        """
        transfer = self._find_transfer(peer, chunk.topic, chunk.start, now_ms)
        if not transfer.accepts(chunk):
            if transfer.is_active(now_ms):
                return None
            # What it was begun with was not of this topic.
            del self.transfers[chunk.topic]
            transfer = self._find_transfer(
                peer, chunk.topic, chunk.start, now_ms
            )
        transfer.add(chunk)
        transfer.active_ms = transfer.progress_ms = now_ms
        if len(transfer.parts) == transfer.count:
            del self.transfers[chunk.topic]
            value = freshness_messages.join_chunks(
                [transfer.parts[index] for index in range(transfer.count)]
            )
            return change_log.Change(chunk.offset, chunk.key, value)
        if len(transfer.outstanding) > MAX_OUTSTANDING_AT_REQUEST:
            return None
        return _request_missing(chunk.topic, transfer, now_ms)

    def _find_transfer(
        self, peer: str, topic: str, start: int, now_ms: float
    ) -> Transfer:
        """The transfer of the change at ``start``, which may be a new one.

        Another delegate goes on where the former one ended.
        """
        transfer = self.transfers.get(topic)
        if transfer is None or transfer.start != start:
            transfer = self.transfers[topic] = Transfer(peer, start, now_ms)
        transfer.peer = peer
        return transfer


def _request_missing(
    topic: str, transfer: Transfer, now_ms: float
) -> freshness_messages.ChunkRequest | None:
    """Request further chunks; None if all others are on their way."""
    missing = transfer.take_missing()
    if transfer.count and not missing:
        return None
    transfer.active_ms = now_ms
    return freshness_messages.ChunkRequest(
        0, topic, transfer.start, transfer.offset, missing
    )


def select_chunks(
    request: freshness_messages.ChunkRequest,
    listed: typing.Sequence[change_log.Change] | None,
) -> list[freshness_messages.Chunk]:
    """The chunks that a delegate sends in answer to a request.

    ``listed`` are the changes since the client's position. Without an offset,
    or with that of a change that has been superseded, the first chunks of the
    next change are sent.
    """
    if not listed:
        return []
    wanted: typing.Iterable[int] = range(FIRST_CHUNKS)
    if request.offset == listed[0].offset and request.indices:
        wanted = request.indices
    return freshness_messages.split_change(
        request.number, request.topic, request.start, listed[0], wanted
    )
