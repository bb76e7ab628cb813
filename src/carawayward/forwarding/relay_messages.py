"""The messages with which entry VMs relay requests for each other.

A relayed request is a POST whose body is CBOR, so that the caller's headers
cannot be mistaken for those of the hop. The reply is the endpoint's own, with
one header that says whether it is one.
"""

import enum
import typing

import attrs
import cbor2

from carawayward.forwarding import attempt as attempt_module
from carawayward.forwarding import hops
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import message_types

PATH = b"/relay"
PROBE_PATH = b"/probe"
DECODE_ERRORS = load_report_messages.DECODE_ERRORS


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
        """Encode it."""
        return cbor2.dumps(
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
                self.forwarded.body,
            ]
        )

    @classmethod
    def from_bytes(cls, data: bytes) -> "RelayedRequest":
        """Decode it; raises one of DECODE_ERRORS."""
        fields: list[typing.Any] = load_report_messages.decode(data)
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
            body,
        ) = fields
        return cls(
            endpoint=str(endpoint),
            born=None if born is None else int(born),
            service=str(service),
            request_id=str(request_id),
            customer=str(customer),
            key=str(key),
            remaining_ms=float(remaining_ms),
            silence_ms=None if silence_ms is None else int(silence_ms),
            forwarded=attempt_module.ForwardedRequest(
                method=bytes(method),
                target=bytes(target),
                headers=[
                    (bytes(name), bytes(value)) for name, value in headers
                ],
                body=bytes(body),
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
        return cls(
            endpoint=str(endpoint), born=None if born is None else int(born)
        )


def encode_probe_reply(connects: bool | None) -> bytes:
    """Encode whether connections are accepted; None if unknown."""
    return cbor2.dumps([connects])


def decode_probe_reply(data: bytes) -> bool | None:
    """Decode a reply; None if unknown. Raises one of DECODE_ERRORS."""
    (connects,) = load_report_messages.decode(data)
    return connects if isinstance(connects, bool) else None
