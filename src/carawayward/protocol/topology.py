"""Choice of the links between entry VMs.

Designed for a few hundred entry VMs: in a full mesh of 410, each would keep
409 connections with as many heartbeats, and every restart would need 409
handshakes. With a few links per node, chosen by rendezvous hashing, the cost
per node does not depend on the size of the deployment, and a node that joins
or leaves changes only its own links.
"""

import hashlib
import typing

import attrs

# Up to this many entry VMs form a full mesh. Today's deployments have 8 or
# 9, and one hop is the fastest path for bills, tickets and configuration.
MAX_FULL_MESH_SIZE = 12
# Links to other VMs of the node's own failure domain, in addition to the
# ring: enough to keep a domain connected when a few of its VMs fail at once.
OWN_DOMAIN_LINKS = 2
# Links to each other domain. With tens of VMs per domain, two domains are
# joined by tens of links, so one per VM is enough.
OTHER_DOMAIN_LINKS = 1


@attrs.frozen
class Member:
    """An entry VM, reduced to what the choice of links needs."""

    name: str
    failure_domain: str


def choose_peers(
    me: Member, others: typing.Iterable[Member]
) -> frozenset[str]:
    """The peers that ``me`` chooses to link to.

    The other nodes choose as well. A link is bidirectional, whichever side
    chose it.
    """
    members = [other for other in others if other.name != me.name]
    if len(members) < MAX_FULL_MESH_SIZE:
        return frozenset(member.name for member in members)
    domains: dict[str, list[str]] = {}
    for member in members:
        domains.setdefault(member.failure_domain, []).append(member.name)
    chosen: set[str] = set()
    for domain, names in domains.items():
        if domain == me.failure_domain:
            chosen.add(find_successor(me.name, names))
            chosen.update(rank(me.name, names)[:OWN_DOMAIN_LINKS])
        else:
            chosen.update(rank(me.name, names)[:OTHER_DOMAIN_LINKS])
    return frozenset(chosen)


def rank(name: str, candidates: typing.Iterable[str]) -> list[str]:
    """Candidates in the order of preference of the node ``name``."""
    return sorted(candidates, key=lambda other: hash_text(f"{name}>{other}"))


def find_successor(name: str, others: typing.Iterable[str]) -> str:
    """The next node on the ring of hashed names.

    Hashed choices alone leave some node unchosen now and then. The ring
    passes through every node, so a domain whose VMs know one another is
    connected.
    """
    position = hash_text(name)
    size = 1 << 64
    return min(others, key=lambda other: (hash_text(other) - position) % size)


def hash_text(text: str) -> int:
    """64-bit hash that is the same on every node."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
