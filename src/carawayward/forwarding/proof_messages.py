"""The datagrams by which an entry VM asks another what the store holds."""

import typing

import attrs
import cbor2

# The first element of each, apart from the versions of hints.
ASK = 20
PROOF = 21


@attrs.frozen
class Told:
    """A topic as of a proof.

    All records before ``position`` have been read, and nothing followed them
    ``age_ms`` before the datagram was written.
    """

    position: int
    age_ms: float


@attrs.frozen
class Ask:
    """Asks for proofs; ``number`` tells the answer from others."""

    number: int

    def to_bytes(self) -> bytes:
        """The bytes that go out."""
        return cbor2.dumps([ASK, self.number])

    @classmethod
    def from_fields(cls, fields: list) -> "Ask":
        """Read the decoded fields; raises ValueError or TypeError."""
        _, number = fields
        return cls(check_count(number))


@attrs.frozen
class Proof:
    """Answers an ask, with what is known of each topic."""

    number: int
    topics: typing.Mapping[str, Told]

    def to_bytes(self) -> bytes:
        """The bytes that go out."""
        topics = {
            name: [told.position, round(told.age_ms) + 1]
            for name, told in self.topics.items()
        }
        return cbor2.dumps([PROOF, self.number, topics])

    @classmethod
    def from_fields(cls, fields: list) -> "Proof":
        """Read the decoded fields; raises ValueError or TypeError."""
        _, number, topics = fields
        return cls(
            check_count(number),
            {
                str(name): Told(check_count(position), check_count(age_ms))
                for name, (position, age_ms) in dict(topics).items()
            },
        )


def check_count(value: object) -> int:
    """A whole number that is not negative, or ValueError."""
    if type(value) is not int or value < 0:
        raise ValueError(f"a count expected, not {value!r}")
    return value
