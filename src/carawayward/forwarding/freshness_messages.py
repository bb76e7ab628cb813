"""The datagrams of delegated reads: queries, reports and chunks."""

import functools
import math
import typing
import zlib

import attrs
import cbor2

from carawayward.forwarding import change_log
from carawayward import plain_cbor

# First element of each datagram; distinct from the versions of load reports.
QUERY = 20
REPORT = 21
CHUNK = 22
CHUNK_REQUEST = 23

# Space for the changes of a report, or for a chunk, within an Ethernet frame.
MAX_CHANGES_BYTES = 1_100
MAX_CHUNKS = 512
# Long changes whose compressed form is kept for further clients.
COMPRESSED_CACHE_SIZE = 4
# Changes are packed if that makes them fit into the same space. Those of
# endpoints that renew their entries are much alike.
MAX_UNPACKED_BYTES = 4 * MAX_CHANGES_BYTES
# Larger than the encoding of as many bytes of changes.
MAX_DECODED_BYTES = 4 * MAX_UNPACKED_BYTES
PACKED_CACHE_SIZE = 16
# A record that decompresses to more than this is rejected.
MAX_RECORD_BYTES = 4_194_304


class UnreadableRecord(ValueError):
    """The chunks of a record do not form a valid value."""


@attrs.frozen
class TopicReport:
    """The state of a topic as known to a delegate.

    The delegate has read all records before ``position``, and ``age_ms``
    before the datagram was written there were no further ones. The call that
    shows whether that still holds ends ``due_in_ms`` after the datagram was
    written, or ended before if negative. ``changes`` bring a client from
    ``start`` to ``end``. If ``served`` is false the delegate cannot send
    further changes, and a client that is behind has to read the store.
    """

    position: int
    age_ms: float
    due_in_ms: float
    start: int
    end: int
    changes: tuple[change_log.Change, ...] = ()
    served: bool = True

    def to_fields(self) -> list:
        """Return the fields as encoded in a datagram."""
        return [
            self.position,
            round(self.age_ms) + 1,
            math.floor(self.due_in_ms),
            self.start,
            self.end,
            encode_changes(self.changes),
            self.served,
        ]

    @classmethod
    def from_fields(cls, fields: list) -> "TopicReport":
        """Parse decoded fields; raises ValueError or TypeError."""
        position, age_ms, due_in_ms, start, end, changed, served = fields
        return cls(
            validate_count(position),
            validate_count(age_ms),
            validate_number(due_in_ms),
            validate_count(start),
            validate_count(end),
            tuple(validate_change(*each) for each in decode_changes(changed)),
            bool(served),
        )


@attrs.frozen
class Query:
    """Requests a report; ``positions`` are the client's own, by topic."""

    number: int
    positions: typing.Mapping[str, int] = attrs.field(factory=dict)

    def to_bytes(self) -> bytes:
        """Encode the datagram."""
        return cbor2.dumps([QUERY, self.number, dict(self.positions)])

    @classmethod
    def from_fields(cls, fields: list) -> "Query":
        """Parse decoded fields; raises ValueError or TypeError."""
        _, number, positions = fields
        return cls(
            validate_count(number),
            {str(n): validate_count(p) for n, p in dict(positions).items()},
        )


@attrs.frozen
class FreshnessReport:
    """The answer to the query ``number``, with the state of each topic."""

    number: int
    topics: typing.Mapping[str, TopicReport]

    def to_bytes(self) -> bytes:
        """Encode the datagram."""
        topics = {name: each.to_fields() for name, each in self.topics.items()}
        return cbor2.dumps([REPORT, self.number, topics])

    @classmethod
    def from_fields(cls, fields: list) -> "FreshnessReport":
        """Parse decoded fields; raises ValueError or TypeError."""
        _, number, topics = fields
        return cls(
            validate_count(number),
            {
                str(name): TopicReport.from_fields(each)
                for name, each in dict(topics).items()
            },
        )


@attrs.frozen
class Chunk:
    """Part ``index`` of the ``count`` parts of a long change.

    The concatenated parts are the compressed value of the change; the
    checksum of the compressed data shows whether they belong together. The
    change brings a client from ``start`` to the position after ``offset``.
    """

    number: int
    topic: str
    start: int
    offset: int
    key: str
    index: int
    count: int
    data: bytes

    def to_bytes(self) -> bytes:
        """Encode the datagram."""
        return cbor2.dumps([CHUNK, *attrs.astuple(self)])

    @classmethod
    def from_fields(cls, fields: list) -> "Chunk":
        """Parse decoded fields; raises ValueError or TypeError."""
        _, number, topic, start, offset, key, index, count, data = fields
        if not isinstance(data, bytes):
            raise ValueError("the data of a chunk must be bytes")
        if not validate_count(index) < validate_count(count) <= MAX_CHUNKS:
            raise ValueError(
                f"chunk index {index} or count {count} out of range"
            )
        return cls(
            validate_count(number),
            str(topic),
            validate_count(start),
            validate_count(offset),
            str(key),
            index,
            count,
            data,
        )


@attrs.frozen
class ChunkRequest:
    """Requests chunks of the change that follows position ``start``.

    ``offset`` is that of the change whose ``indices`` are missing; None before
    any of its chunks has come.
    """

    number: int
    topic: str
    start: int
    offset: int | None
    indices: tuple[int, ...]

    def to_bytes(self) -> bytes:
        """Encode the datagram."""
        return cbor2.dumps([CHUNK_REQUEST, *attrs.astuple(self)])

    @classmethod
    def from_fields(cls, fields: list) -> "ChunkRequest":
        """Parse decoded fields; raises ValueError or TypeError."""
        _, number, topic, start, offset, indices = fields
        if len(indices) > MAX_CHUNKS:
            raise ValueError(f"{len(indices)} chunks requested at once")
        return cls(
            validate_count(number),
            str(topic),
            validate_count(start),
            None if offset is None else validate_count(offset),
            tuple(validate_count(index) for index in indices),
        )


def select_fitting(
    listed: typing.Iterable[change_log.Change],
) -> tuple[change_log.Change, ...]:
    """Return as many of the first changes as fit into a datagram."""
    chosen: list[change_log.Change] = []
    unpacked = 0
    size = 0
    for each in listed:
        size += len(each.key) + len(each.value or b"")
        if size > MAX_UNPACKED_BYTES:
            break
        chosen.append(each)
        if size <= MAX_CHANGES_BYTES:
            unpacked = len(chosen)
    if len(chosen) > unpacked and not _pack_changes(tuple(chosen)):
        del chosen[unpacked:]
    return tuple(chosen)


def encode_changes(
    changes: tuple[change_log.Change, ...],
) -> bytes | list[list]:
    """Return the changes as sent: packed if that is needed to fit."""
    size = sum(len(each.key) + len(each.value or b"") for each in changes)
    packed = _pack_changes(changes) if size > MAX_CHANGES_BYTES else b""
    return packed or _list_fields(changes)


def decode_changes(changed: typing.Any) -> typing.Any:
    """Return the fields of the changes that were sent.

    Raises ValueError if they are packed and cannot be read.
    """
    if not isinstance(changed, bytes):
        return changed
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(changed, MAX_DECODED_BYTES)
    except zlib.error as cause:
        raise ValueError(f"packed changes are unreadable: {cause}") from cause
    if not decompressor.eof:
        raise ValueError("packed changes are incomplete or too long")
    return plain_cbor.loads(data)


@functools.lru_cache(PACKED_CACHE_SIZE)
def _pack_changes(changes: tuple[change_log.Change, ...]) -> bytes:
    """Compress changes; empty if they do not fit into a datagram then.

    Cached, as most clients of a delegate are sent the same changes.
    """
    packed = zlib.compress(cbor2.dumps(_list_fields(changes)), 1)
    return packed if len(packed) <= MAX_CHANGES_BYTES else b""


def _list_fields(changes: typing.Iterable[change_log.Change]) -> list[list]:
    return [[each.offset, each.key, each.value] for each in changes]


@functools.lru_cache(COMPRESSED_CACHE_SIZE)
def _compress(change: change_log.Change) -> tuple[bytes, ...]:
    """Compress a long change; return its chunks' data, all clients' alike."""
    compressed = zlib.compress(change.value or b"")
    return tuple(
        compressed[begin : begin + MAX_CHANGES_BYTES]
        for begin in range(0, len(compressed), MAX_CHANGES_BYTES)
    )


def may_split(change: change_log.Change) -> bool:
    """Whether a change can be sent in chunks."""
    return len(_compress(change)) <= MAX_CHUNKS


def split_change(
    number: int,
    topic: str,
    start: int,
    change: change_log.Change,
    indices: typing.Iterable[int],
) -> list[Chunk]:
    """Make the chunks of a long change that have the given indices."""
    parts = _compress(change)
    return [
        Chunk(
            number,
            topic,
            start,
            change.offset,
            change.key,
            index,
            len(parts),
            parts[index],
        )
        for index in indices
        if index < len(parts)
    ]


def join_chunks(parts: typing.Sequence[bytes]) -> bytes:
    """Return the value of a change that was received in chunks."""
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(b"".join(parts), MAX_RECORD_BYTES)
    except zlib.error as cause:
        raise UnreadableRecord(f"chunks do not match: {cause}") from cause
    if not decompressor.eof:
        raise UnreadableRecord("chunks are incomplete or too long")
    return value


def validate_change(
    offset: object, key: object, value: object
) -> change_log.Change:
    """Return the fields as a change, or raise ValueError."""
    if not isinstance(key, str):
        raise ValueError(f"key must be a string, not {key!r}")
    if value is not None and not isinstance(value, bytes):
        raise ValueError("value must be bytes or None")
    return change_log.Change(validate_count(offset), key, value)


def validate_number(value: object) -> int:
    """Return the value if it is an integer, or raise ValueError."""
    if type(value) is not int:
        raise ValueError(f"expected an integer, not {value!r}")
    return value


def validate_count(value: object) -> int:
    """Return a non-negative integer, or raise ValueError."""
    number = validate_number(value)
    if number < 0:
        raise ValueError(f"expected a non-negative integer, not {value!r}")
    return number
