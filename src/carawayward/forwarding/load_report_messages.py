"""The datagram of a load report.

Names go out as numbers of 32 bits, since most datagrams cross between
failure domains, where bytes are paid for: with six engines and the parts of
two prompts one has 131 bytes, and 276 with names and each part sent twice.
"""

import typing

import attrs
import cbor2

from carawayward.decisions import engine_load
from carawayward.decisions import placement

VERSION = 4
# What bytes of another program raise while they are taken apart.
DECODE_ERRORS = (
    AttributeError,
    EOFError,
    LookupError,
    TypeError,
    ValueError,
    cbor2.CBORDecodeError,
)


def decode(data: bytes) -> list:
    """A datagram's fields; raises one of DECODE_ERRORS."""
    fields = cbor2.loads(data)
    if not isinstance(fields, list) or not fields:
        raise ValueError("no fields")
    return fields


def hash_name(name: str) -> int:
    """A number of 32 bits that stands for a name."""
    return placement.hash_key(name) >> 32


@attrs.frozen
class Sender:
    """An entry VM as others are to address it; ``address`` is ip:port."""

    name: str
    incarnation: str
    address: str
    failure_domain: str

    @property
    def number(self) -> int:
        """What stands for it once it has introduced itself."""
        return hash_name(f"{self.name}/{self.incarnation}")

    def to_bytes(self) -> bytes:
        """As a record of the topic of members."""
        return cbor2.dumps(list(attrs.astuple(self)))

    @classmethod
    def from_fields(cls, fields: typing.Iterable[object]) -> "Sender":
        """Read the fields in their order; raises one of DECODE_ERRORS."""
        return cls(*(str(each) for each in fields))

    @classmethod
    def from_bytes(cls, data: bytes) -> "Sender":
        """Read a record; raises one of DECODE_ERRORS."""
        return cls.from_fields(cbor2.loads(data))


@attrs.frozen
class CachedPart:
    """A part of a prompt that an engine, given by number, will have read."""

    engine: int
    key: int
    tokens: int


@attrs.frozen(kw_only=True)
class Message:
    """One datagram.

    ``sender`` is its number in all but those in which it introduces itself.
    ``stale`` says that the sender cannot prove its keys, or soon will not be
    able to. ``loads`` is what it has outstanding, by the engine's number.
    ``topics`` are values of other controllers.
    """

    sender: Sender | int
    sequence: int
    stale: bool
    loads: typing.Mapping[int, engine_load.Load]
    parts: typing.Sequence[CachedPart]
    topics: typing.Mapping[str, typing.Any]

    def to_bytes(self) -> bytes:
        """The bytes that go out."""
        sender: list | int
        if isinstance(self.sender, Sender):
            sender = list(attrs.astuple(self.sender))
        else:
            sender = self.sender
        loads = {
            engine: [round(load.weight), load.streams]
            for engine, load in self.loads.items()
        }
        parts = [list(attrs.astuple(part)) for part in self.parts]
        return cbor2.dumps(
            [
                VERSION,
                sender,
                self.sequence,
                self.stale,
                loads,
                parts,
                dict(self.topics),
            ]
        )

    @classmethod
    def from_bytes(cls, data: bytes) -> "Message | None":
        """Read a datagram; None for another version's.

        Raises one of DECODE_ERRORS for bytes that are no message.
        """
        return cls.from_fields(decode(data))

    @classmethod
    def from_fields(cls, fields: list) -> "Message | None":
        """Read a datagram's decoded fields; None for another version's.

        Raises one of DECODE_ERRORS for what is no message.
        """
        if fields[0] != VERSION:
            return None
        sender, sequence, stale, loads, parts, topics = fields[1:]
        if not isinstance(sender, int):
            sender = Sender.from_fields(sender)
        return cls(
            sender=sender,
            sequence=int(sequence),
            stale=bool(stale),
            loads={
                int(engine): engine_load.Load(float(weight), int(streams))
                for engine, (weight, streams) in loads.items()
            },
            parts=[
                CachedPart(int(engine), int(key), int(tokens))
                for engine, key, tokens in parts
            ],
            topics=dict(topics),
        )
