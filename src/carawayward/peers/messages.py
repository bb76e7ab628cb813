"""Messages between entry VMs, encoded as CBOR arrays."""

import typing

import attrs
import cbor2

from carawayward import plain_cbor


class JunkMessage(ValueError):
    """Data on a peer link that is not a message of this protocol."""


@attrs.frozen
class Message:
    """One message.

    ``call`` is the number of a call that expects an answer; ``answer`` is
    the number of the call that this message answers. Both are 0 for a
    notification.
    """

    kind: str
    body: typing.Any
    call: int = 0
    answer: int = 0


def encode(message: Message) -> bytes:
    """Encode a message."""
    return cbor2.dumps(
        [message.kind, message.body, message.call, message.answer]
    )


def decode(data: bytes | str) -> Message:
    """Decode a message; raise JunkMessage if it is malformed."""
    if isinstance(data, str):
        raise JunkMessage("unexpected text frame")
    try:
        parts = plain_cbor.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as cause:
        raise JunkMessage(type(cause).__name__) from None
    match parts:
        case [str() as kind, body, int() as call, int() as answer]:
            return Message(kind, body, call, answer)
    raise JunkMessage("not an array of kind, body, call and answer")
