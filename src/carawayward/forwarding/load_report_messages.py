"""Encodes and decodes the datagrams of load reports.

Names are sent as 32-bit hashes, since most datagrams cross between failure
domains, where traffic is billed: a datagram with six engines and the parts of
two prompts has 131 bytes, against 276 with names and each part sent twice.
"""

import ipaddress
import typing

import attrs
import cbor2

from carawayward.decisions import engine_load
from carawayward.decisions import engine_order
from carawayward.decisions import placement
from carawayward.forwarding import report_values
from carawayward import plain_cbor
from carawayward import settings as settings_module

VERSION = 5
# Errors raised while decoding a malformed datagram.
DECODE_ERRORS = (
    AttributeError,
    EOFError,
    LookupError,
    TypeError,
    ValueError,
    cbor2.CBORDecodeError,
)


def decode(data: bytes) -> list:
    """Decode the fields of a datagram; raises one of DECODE_ERRORS."""
    fields = plain_cbor.loads(data)
    if not isinstance(fields, list) or not fields:
        raise ValueError("datagram has no fields")
    return fields


def hash_name(name: str) -> int:
    """The 32-bit hash that is sent in place of a name."""
    return placement.hash_key(name) >> 32


@attrs.frozen
class Sender:
    """The identity of an entry VM; ``address`` is the ip:port to send to."""

    name: str
    incarnation: str
    address: str
    failure_domain: str

    @property
    def number(self) -> int:
        """The number sent in its place once it has introduced itself."""
        return hash_name(f"{self.name}/{self.incarnation}")

    def to_bytes(self) -> bytes:
        """Encode it as a record of the members topic."""
        return cbor2.dumps(list(attrs.astuple(self)))

    @classmethod
    def from_fields(cls, fields: typing.Iterable[object]) -> "Sender":
        """Build from the fields in order; raises one of DECODE_ERRORS."""
        sender = cls(*(_require_text(each) for each in fields))
        if not sender.name:
            raise ValueError("an entry VM has a name")
        host, _ = settings_module.split_address(sender.address)
        # Sending to a name would block for as long as it takes to resolve.
        ipaddress.ip_address(host)
        return sender

    @classmethod
    def from_bytes(cls, data: bytes) -> "Sender":
        """Decode a record; raises one of DECODE_ERRORS."""
        return cls.from_fields(plain_cbor.loads(data))


@attrs.frozen
class CachedPart:
    """A prompt part that an engine, given by its hash, will have cached."""

    engine: int
    key: int
    tokens: int


@attrs.frozen(kw_only=True)
class Message:
    """One load report.

    ``sender`` is the sender's number except in reports that introduce it.
    ``stale`` means that the sender can no longer rely on its keys, or soon
    will not be able to. ``loads`` is its outstanding work, by the engine's
    hash. ``topics`` are values of other controllers.
    """

    sender: Sender | int
    sequence: int
    stale: bool
    loads: typing.Mapping[int, engine_load.Load]
    parts: typing.Sequence[CachedPart]
    topics: typing.Mapping[str, typing.Any]

    def to_bytes(self) -> bytes:
        """Encode the datagram."""
        sender: list | int
        if isinstance(self.sender, Sender):
            sender = list(attrs.astuple(self.sender))
        else:
            sender = self.sender
        loads = {
            engine: [round(load.weight), load.streams]
            + [round(weight) for weight in load.classes]
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
        """Decode a datagram; None if it is of another version.

        Raises one of DECODE_ERRORS if it is malformed.
        """
        return cls.from_fields(decode(data))

    @classmethod
    def from_fields(cls, fields: list) -> "Message | None":
        """Build from decoded fields; None if they are of another version.

        Raises one of DECODE_ERRORS if they are malformed.
        """
        if fields[0] != VERSION:
            return None
        sender, sequence, stale, loads, parts, topics = fields[1:]
        if not isinstance(sender, int):
            sender = Sender.from_fields(sender)
        return cls(
            sender=sender,
            sequence=report_values.check_count(sequence),
            stale=bool(stale),
            loads={
                int(engine): _read_load(*load)
                for engine, load in loads.items()
            },
            parts=[
                CachedPart(int(engine), int(key), int(tokens))
                for engine, key, tokens in parts
            ],
            topics=dict(topics),
        )


def _require_text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError("text expected")
    return value


def _read_load(weight: int, streams: int, *classes: int) -> engine_load.Load:
    if len(classes) > engine_order.MAX_CLASSES:
        raise ValueError("too many classes")
    return engine_load.Load(
        float(report_values.check_count(weight)),
        report_values.check_count(streams),
        tuple(float(report_values.check_count(each)) for each in classes),
    )
