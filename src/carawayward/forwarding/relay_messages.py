"""The messages with which entry VMs relay requests for each other.

A relayed request is a POST whose body holds its fields as CBOR, so that the
caller's headers cannot be mistaken for those of the hop, and its own body. The
reply is the endpoint's own, with one header that says whether it is one.
"""

import enum
import struct
import typing

import attrs
import cbor2

from carawayward.forwarding import attempt as attempt_module
from carawayward.forwarding import hops
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import message_types

PATH = b"/relay"
PROBE_PATH = b"/probe"
DECODE_ERRORS = (*load_report_messages.DECODE_ERRORS, struct.error)
FIELDS_LENGTH = struct.Struct(">I")
# What a relayed request has besides its body: headers and a few fields.
MAX_FIELDS_BYTES = 131_072
# More than any request may take.
MAX_TIME_MS = 1e12


class RelayOutcome(enum.Enum):
    """What became of a relayed request.

    The request has not run and will not in the case of ``UNAVAILABLE`` (the
    peer relays nothing to this service now), ``DECLINED`` (it does not relay
    this request), ``UNUSABLE`` (the endpoint must not get it) and
    ``UNREACHED`` (the peer cannot connect to the endpoint). It may have run in
    the case of ``BROKEN``. ``RELAYED`` marks the endpoint's reply.
    """

    UNAVAILABLE = b"unavailable"
    DECLINED = b"declined"
    UNUSABLE = b"unusable"
    UNREACHED = b"unreached"
    BROKEN = b"broken"
    RELAYED = b"relayed"


def read_outcome(headers: message_types.Headers) -> RelayOutcome | None:
    """Read what became of a relayed request; None if the reply lacks it."""
    for name, value in headers:
        if name.lower() == hops.RELAY_OUTCOME_HEADER:
            try:
                return RelayOutcome(value)
            except ValueError:
                return None
    return None


@attrs.frozen(kw_only=True)
class RelayedRequest:
    """A request that a peer is asked to send to one endpoint.

    ``endpoint`` and ``born`` identify the endpoint's process. A ``customer``
    has a ``key``, which the peer verifies itself. Times are in ms;
    ``remaining_ms`` is counted from the sending, ``silence_ms`` is how long
    the endpoint's connection may be dead.
    """

    endpoint: str
    born: int | None
    service: str
    request_id: str
    customer: str
    key: str
    remaining_ms: float
    silence_ms: int | None
    forwarded: attempt_module.ForwardedRequest

    def to_bytes(self) -> bytes:
        """Encode it: its fields' length, the fields, and the body."""
        fields = cbor2.dumps(
            [
                self.endpoint,
                self.born,
                self.service,
                self.request_id,
                self.customer,
                self.key,
                self.remaining_ms,
                self.silence_ms,
                self.forwarded.method,
                self.forwarded.target,
                self.forwarded.headers,
            ]
        )
        return FIELDS_LENGTH.pack(len(fields)) + fields + self.forwarded.body

    @classmethod
    def from_bytes(cls, data: bytes) -> "RelayedRequest":
        """Decode it; raises one of DECODE_ERRORS."""
        (length,) = FIELDS_LENGTH.unpack_from(data)
        begin = FIELDS_LENGTH.size
        if length > min(MAX_FIELDS_BYTES, len(data) - begin):
            raise ValueError("fields are too long")
        fields: list[typing.Any] = load_report_messages.decode(
            data[begin : begin + length]
        )
        (
            endpoint,
            born,
            service,
            request_id,
            customer,
            key,
            remaining_ms,
            silence_ms,
            method,
            target,
            headers,
        ) = fields
        return cls(
            endpoint=_require(endpoint, str),
            born=_read_born(born),
            service=_require(service, str),
            request_id=_require(request_id, str),
            customer=_require(customer, str),
            key=_require(key, str),
            remaining_ms=_require_ms(remaining_ms),
            silence_ms=(
                None if silence_ms is None else int(_require_ms(silence_ms))
            ),
            forwarded=attempt_module.ForwardedRequest(
                method=_require(method, bytes),
                target=_require(target, bytes),
                headers=[
                    (_require(name, bytes), _require(value, bytes))
                    for name, value in headers
                ],
                body=data[begin + length :],
            ),
        )


@attrs.frozen(kw_only=True)
class ProbeRequest:
    """Asks a peer whether an endpoint's process accepts connections."""

    endpoint: str
    born: int | None

    def to_bytes(self) -> bytes:
        """Encode it."""
        return cbor2.dumps([self.endpoint, self.born])

    @classmethod
    def from_bytes(cls, data: bytes) -> "ProbeRequest":
        """Decode it; raises one of DECODE_ERRORS."""
        endpoint, born = load_report_messages.decode(data)
        return cls(endpoint=_require(endpoint, str), born=_read_born(born))


def _require(value: typing.Any, kind: type) -> typing.Any:
    if type(value) is not kind:
        raise TypeError(f"{kind.__name__} expected")
    return value


def _require_ms(value: typing.Any) -> float:
    """A time that a request may take, in ms."""
    if type(value) not in (int, float) or not 0 <= value <= MAX_TIME_MS:
        raise ValueError("time expected")
    return float(value)


def _read_born(value: typing.Any) -> int | None:
    return None if value is None else _require(value, int)


def encode_probe_reply(connects: bool | None) -> bytes:
    """Encode whether connections are accepted; None if unknown."""
    return cbor2.dumps([connects])


def decode_probe_reply(data: bytes) -> bool | None:
    """Decode a reply; None if unknown. Raises one of DECODE_ERRORS."""
    (connects,) = load_report_messages.decode(data)
    return connects if isinstance(connects, bool) else None
