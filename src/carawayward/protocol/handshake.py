"""How entry VMs prove to each other who they are: challenge and response.

Each side picks a nonce and the other signs it, together with what it says
of itself, under a common key. A recorded handshake is of no use later,
since the next challenge differs; and an answer cannot be sent back to its
maker, since each role signs under its own label.

Keys are rotated without a gap: add the new key as the second one on every
entry VM (it is accepted), then make it the first (it is used), then drop
the old one.
"""

import hashlib
import hmac
import typing

import attrs
import cbor2

from carawayward import errors

NONCE_BYTES = 16
MAX_NAME_LENGTH = 200
MAX_MESSAGE_BYTES = 4_096
DIALLER = b"carawayward dialler"
LISTENER = b"carawayward listener"
REMEDY = "give both entry VMs a common key in keys.peers"


@attrs.frozen
class Identity:
    """What an entry VM says of itself."""

    name: str
    incarnation: str
    failure_domain: str
    address: str


@attrs.frozen
class Proof:
    """An identity, its holder's own challenge and the signature."""

    identity: Identity
    nonce: bytes
    signature: bytes


def sign(
    key: str, role: bytes, challenge: bytes, nonce: bytes, identity: Identity
) -> bytes:
    """The signature of one role over both nonces and the identity."""
    text = cbor2.dumps([role, challenge, nonce, *attrs.astuple(identity)])
    return hmac.digest(key.encode(), text, hashlib.sha256)


def prove(
    keys: typing.Sequence[str],
    role: bytes,
    challenge: bytes,
    nonce: bytes,
    identity: Identity,
) -> bytes:
    """Encode a proof, signed with the newest key."""
    signature = sign(keys[0], role, challenge, nonce, identity)
    return cbor2.dumps([*attrs.astuple(identity), nonce, signature])


def verify_proof(
    keys: typing.Sequence[str], role: bytes, challenge: bytes, data: object
) -> Proof:
    """Read a proof and check it against all keys, or raise."""
    proof = decode_proof(data)
    for key in keys:
        expected = sign(key, role, challenge, proof.nonce, proof.identity)
        if hmac.compare_digest(expected, proof.signature):
            return proof
    raise errors.NotAuthenticated(
        f"the peer did not prove who it is; {REMEDY}"
    )


def decode_proof(data: object) -> Proof:
    """Decode a proof; raise NotAuthenticated for anything else."""
    fault = errors.NotAuthenticated(f"the peer sent no proof; {REMEDY}")
    if not isinstance(data, bytes) or len(data) > MAX_MESSAGE_BYTES:
        raise fault
    try:
        parts = cbor2.loads(data)
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
            words = (name, incarnation, failure_domain, address)
            fits = all(0 < len(word) <= MAX_NAME_LENGTH for word in words)
            if fits and len(nonce) == NONCE_BYTES:
                return Proof(Identity(*words), nonce, signature)
    raise fault
