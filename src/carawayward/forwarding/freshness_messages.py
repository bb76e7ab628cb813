"""The datagrams by which an entry VM asks another what the store holds."""

import typing

import attrs
import cbor2

# The first element of each, apart from the versions of hints.
QUERY = 20
REPORT = 21


# What follows an asker's place fits into an Ethernet frame with the rest.
MOST_RECORD_BYTES = 1_100

# A record's key and value; without a value the key is dropped.
Entry = tuple[str, bytes | None]


@attrs.frozen
class TopicReport:
    """A topic as of a proof.

    All records before ``position`` have been read, and nothing followed them
    ``age_ms`` before the datagram was written. ``entries`` are the first of
    those from the asker's place on, where they are short.
    """

    position: int
    age_ms: float
    entries: tuple[Entry, ...] = ()

    def to_fields(self) -> list:
        """As it goes into a datagram."""
        entries = [list(entry) for entry in self.entries]
        return [self.position, round(self.age_ms) + 1, entries]

    @classmethod
    def from_fields(cls, fields: list) -> "TopicReport":
        """Read the decoded fields; raises ValueError or TypeError."""
        position, age_ms, entries = fields
        return cls(
            check_count(position),
            check_count(age_ms),
            tuple(check_entry(*entry) for entry in entries),
        )


@attrs.frozen
class Query:
    """Asks for proofs; ``number`` tells the answer from others.

    ``positions`` are the asker's places in topics whose records are told.
    """

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
    """Answers an ask, with what is known of each topic."""

    number: int
    topics: typing.Mapping[str, TopicReport]

    def to_bytes(self) -> bytes:
        """The bytes that go out."""
        topics = {name: told.to_fields() for name, told in self.topics.items()}
        return cbor2.dumps([REPORT, self.number, topics])

    @classmethod
    def from_fields(cls, fields: list) -> "FreshnessReport":
        """Read the decoded fields; raises ValueError or TypeError."""
        _, number, topics = fields
        return cls(
            check_count(number),
            {
                str(name): TopicReport.from_fields(told)
                for name, told in dict(topics).items()
            },
        )


def choose_first(entries: typing.Iterable[Entry]) -> tuple[Entry, ...]:
    """The first entries, as many as fit into a datagram."""
    chosen: list[Entry] = []
    room = MOST_RECORD_BYTES
    for key, value in entries:
        room -= len(key) + len(value or b"")
        if room < 0:
            break
        chosen.append((key, value))
    return tuple(chosen)


def check_entry(key: object, value: object) -> Entry:
    """A record's key and value, or ValueError."""
    if not isinstance(key, str):
        raise ValueError(f"a key expected, not {key!r}")
    if value is not None and not isinstance(value, bytes):
        raise ValueError("bytes expected for a value")
    return key, value


def check_count(value: object) -> int:
    """A whole number that is not negative, or ValueError."""
    if type(value) is not int or value < 0:
        raise ValueError(f"a count expected, not {value!r}")
    return value
