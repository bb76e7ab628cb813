"""Mutual authentication of entry VMs by challenge and response.

Each side picks a nonce, and the other signs it together with its own
identity under a shared key. A recorded handshake cannot be replayed, since
the next challenge differs, and a response cannot be reflected to its
sender, since each role signs under its own label.

To rotate keys without an interruption, add the new key as the second one on
every entry VM (it is accepted), then make it the first (it is used), then
remove the old one.
"""

import hashlib
import hmac
import typing

import attrs
import cbor2

from carawayward import errors
from carawayward import plain_cbor

NONCE_BYTES = 16
MAX_NAME_LENGTH = 200
MAX_MESSAGE_BYTES = 4_096
DIALLER = b"carawayward dialler"
LISTENER = b"carawayward listener"
REMEDY = "configure a shared key in keys.peers on both entry VMs"


@attrs.frozen
class Identity:
    """The identity that an entry VM claims."""

    name: str
    incarnation: str
    failure_domain: str
    address: str


@attrs.frozen
class Proof:
    """An identity, the sender's own challenge and the signature."""

    identity: Identity
    nonce: bytes
    signature: bytes


def sign(
    key: str, role: bytes, challenge: bytes, nonce: bytes, identity: Identity
) -> bytes:
    """Sign both nonces and the identity in one role."""
    text = cbor2.dumps([role, challenge, nonce, *attrs.astuple(identity)])
    return hmac.digest(key.encode(), text, hashlib.sha256)


def prove(
    keys: typing.Sequence[str],
    role: bytes,
    challenge: bytes,
    nonce: bytes,
    identity: Identity,
) -> bytes:
    """Return an encoded proof, signed with the newest key."""
    signature = sign(keys[0], role, challenge, nonce, identity)
    return cbor2.dumps([*attrs.astuple(identity), nonce, signature])


def verify_proof(
    keys: typing.Sequence[str], role: bytes, challenge: bytes, data: object
) -> Proof:
    """Decode a proof and verify it; raise NotAuthenticated if no key fits."""
    proof = decode_proof(data)
    for key in keys:
        expected = sign(key, role, challenge, proof.nonce, proof.identity)
        if hmac.compare_digest(expected, proof.signature):
            return proof
    raise errors.NotAuthenticated(
        f"the peer's signature fits none of the keys; {REMEDY}"
    )


def decode_proof(data: object) -> Proof:
    """Decode a proof; raise NotAuthenticated if it is malformed."""
    fault = errors.NotAuthenticated(
        f"the peer sent a malformed proof; {REMEDY}"
    )
    if not isinstance(data, bytes) or len(data) > MAX_MESSAGE_BYTES:
        raise fault
    try:
        parts = plain_cbor.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError):
        raise fault from None
    match parts:
        case [
            str() as name,
            str() as incarnation,
            str() as failure_domain,
            str() as address,
            bytes() as nonce,
            bytes() as signature,
        ]:
            names = (name, incarnation, failure_domain, address)
            fits = all(0 < len(each) <= MAX_NAME_LENGTH for each in names)
            if fits and len(nonce) == NONCE_BYTES:
                return Proof(Identity(*names), nonce, signature)
    raise fault
