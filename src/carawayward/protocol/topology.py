"""Which entry VMs link to which.

Made for a few hundred entry VMs: a full mesh of 410 would cost each of them
409 connections and as many heartbeats, and every restart 409 handshakes.
With a few links each, chosen by rendezvous hashing, a node's cost does not
depend on the size of the deployment, and one that comes or goes changes
only links of its own.
"""

import hashlib
import typing

import attrs

# Up to this many entry VMs all link to all: today's deployments have 8 or 9,
# and one hop is the fastest way for bills, tickets and configuration.
MAX_FULL_MESH_SIZE = 12
# Chosen links in the own failure domain, besides the ring's: enough that a
# domain stays in one piece when a few of its VMs vanish together.
OWN_DOMAIN_LINKS = 2
# Chosen links to each other domain: with tens of VMs to a domain there are
# tens of bridges, so one each is plenty.
OTHER_DOMAIN_LINKS = 1


@attrs.frozen
class Member:
    """An entry VM as far as links are concerned."""

    name: str
    failure_domain: str


def choose_peers(
    me: Member, others: typing.Iterable[Member]
) -> frozenset[str]:
    """The peers that ``me`` keeps a link to, by its own choice.

    Others choose too; a link serves both ways, whoever chose it.
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
    """Candidates in this node's own order of preference."""
    return sorted(candidates, key=lambda other: hash_text(f"{name}>{other}"))


def find_successor(name: str, others: typing.Iterable[str]) -> str:
    """The next node on the ring of hashed names.

    Random choices alone leave some node unchosen now and then; the ring
    runs through all, so a domain whose VMs know one another is connected.
    """
    here = hash_text(name)
    size = 1 << 64
    return min(others, key=lambda other: (hash_text(other) - here) % size)


def hash_text(text: str) -> int:
    """64 bits that are the same on every node."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
