"""The datagrams of delegated reads: queries, reports and chunks."""

import math
import typing
import zlib

import attrs
import cbor2

from carawayward.forwarding import change_log

# The first element of each, apart from the versions of load reports.
QUERY = 20
REPORT = 21
CHUNK = 22

# What the changes of a report, or a chunk, may take of an Ethernet frame.
MAX_CHANGES_BYTES = 1_100
MAX_CHUNKS = 48
# A record that unpacks to more than this is refused.
MAX_RECORD_BYTES = 4_194_304


class UnreadableRecord(ValueError):
    """A record's chunks do not fit together."""


@attrs.frozen
class TopicReport:
    """A topic as its delegate knows it.

    All records before ``position`` have been read, and nothing followed them
    ``age_ms`` before the datagram was written. The delegate's call that shows
    it anew ends ``due_in_ms`` after that, or before if negative. ``changes``
    bring a client from ``start`` to ``reach``. With ``served`` unset the
    delegate cannot bring it any further; a client that is behind has to read
    the store.
    """

    position: int
    age_ms: float
    due_in_ms: float
    start: int
    reach: int
    changes: tuple[change_log.Change, ...] = ()
    served: bool = True

    def to_fields(self) -> list:
        """As it goes into a datagram."""
        return [
            self.position,
            round(self.age_ms) + 1,
            math.floor(self.due_in_ms),
            self.start,
            self.reach,
            [list(attrs.astuple(each)) for each in self.changes],
            self.served,
        ]

    @classmethod
    def from_fields(cls, fields: list) -> "TopicReport":
        """Read the decoded fields; raises ValueError or TypeError."""
        position, age_ms, due_in_ms, start, reach, changed, served = fields
        return cls(
            check_count(position),
            check_count(age_ms),
            check_number(due_in_ms),
            check_count(start),
            check_count(reach),
            tuple(check_change(*each) for each in changed),
            bool(served),
        )


@attrs.frozen
class Query:
    """Asks a delegate for a report; ``positions`` are the client's own."""

    number: int
    positions: typing.Mapping[str, int] = attrs.field(factory=dict)

    def to_bytes(self) -> bytes:
        """The bytes that go out."""
        return cbor2.dumps([QUERY, self.number, dict(self.positions)])

    @classmethod
    def from_fields(cls, fields: list) -> "Query":
        """Read the decoded fields; raises ValueError or TypeError."""
        _, number, positions = fields
        return cls(
            check_count(number),
            {str(n): check_count(p) for n, p in dict(positions).items()},
        )


@attrs.frozen
class FreshnessReport:
    """Answers a query, with what is known of each topic."""

    number: int
    topics: typing.Mapping[str, TopicReport]

    def to_bytes(self) -> bytes:
        """The bytes that go out."""
        topics = {name: each.to_fields() for name, each in self.topics.items()}
        return cbor2.dumps([REPORT, self.number, topics])

    @classmethod
    def from_fields(cls, fields: list) -> "FreshnessReport":
        """Read the decoded fields; raises ValueError or TypeError."""
        _, number, topics = fields
        return cls(
            check_count(number),
            {
                str(name): TopicReport.from_fields(each)
                for name, each in dict(topics).items()
            },
        )


@attrs.frozen
class Chunk:
    """Part ``index`` of the ``count`` parts of a long change.

    The parts joined are the change's value, compressed; the compression's
    checksum shows whether they fit together. The change brings a client from
    ``start`` to the position after ``offset``.
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
        """The bytes that go out."""
        return cbor2.dumps([CHUNK, *attrs.astuple(self)])

    @classmethod
    def from_fields(cls, fields: list) -> "Chunk":
        """Read the decoded fields; raises ValueError or TypeError."""
        _, number, topic, start, offset, key, index, count, data = fields
        if not isinstance(data, bytes):
            raise ValueError("bytes expected for a part")
        if not check_count(index) < check_count(count) <= MAX_CHUNKS:
            raise ValueError(f"part {index} of {count}")
        return cls(
            check_count(number),
            str(topic),
            check_count(start),
            check_count(offset),
            str(key),
            index,
            count,
            data,
        )


def choose_first(
    listed: typing.Iterable[change_log.Change],
) -> tuple[change_log.Change, ...]:
    """The first changes, as many as fit into a datagram."""
    chosen: list[change_log.Change] = []
    room = MAX_CHANGES_BYTES
    for each in listed:
        room -= len(each.key) + len(each.value or b"")
        if room < 0:
            break
        chosen.append(each)
    return tuple(chosen)


def split_change(
    number: int, topic: str, start: int, change: change_log.Change
) -> list[Chunk]:
    """The chunks of a change that fits into no datagram; none if too long."""
    packed = zlib.compress(change.value or b"")
    count = -(-len(packed) // MAX_CHANGES_BYTES)
    if count > MAX_CHUNKS:
        return []
    return [
        Chunk(
            number,
            topic,
            start,
            change.offset,
            change.key,
            index,
            count,
            packed[
                index * MAX_CHANGES_BYTES : (index + 1) * MAX_CHANGES_BYTES
            ],
        )
        for index in range(count)
    ]


def join_chunks(parts: typing.Sequence[bytes]) -> bytes:
    """The value of a change that came in chunks."""
    unpacking = zlib.decompressobj()
    try:
        value = unpacking.decompress(b"".join(parts), MAX_RECORD_BYTES)
    except zlib.error as cause:
        raise UnreadableRecord(f"chunks do not fit: {cause}") from cause
    if not unpacking.eof:
        raise UnreadableRecord("chunks are incomplete or too long")
    return value


def check_change(
    offset: object, key: object, value: object
) -> change_log.Change:
    """A change, or ValueError."""
    if not isinstance(key, str):
        raise ValueError(f"a key expected, not {key!r}")
    if value is not None and not isinstance(value, bytes):
        raise ValueError("bytes expected for a value")
    return change_log.Change(check_count(offset), key, value)


def check_number(value: object) -> int:
    """A whole number, or ValueError."""
    if type(value) is not int:
        raise ValueError(f"a whole number expected, not {value!r}")
    return value


def check_count(value: object) -> int:
    """A whole number that is not negative, or ValueError."""
    number = check_number(value)
    if number < 0:
        raise ValueError(f"a count expected, not {value!r}")
    return number
