"""Decides which peer relays a request to endpoints that it alone reaches.

When this entry VM is partitioned from the endpoints, all its requests go
through peers. Few peers for each entry VM keep the connections few; the less
used of two keeps one of them from getting all the work.
"""

import typing

import attrs

from carawayward.decisions import placement

# Peers that one entry VM uses, if all of them relay.
MAX_PEERS = 3


@attrs.frozen
class RelayPeer:
    """A peer that may relay; ``open_relays`` are this entry VM's there."""

    name: str
    failure_domain: str
    open_relays: int


def choose_peer(
    own: str,
    domains: typing.Sequence[str],
    peers: typing.Iterable[RelayPeer],
    draw: placement.Draw,
) -> RelayPeer | None:
    """Choose a peer, preferably of the first of ``domains``.

    Traffic between failure domains is billed: a peer in this entry VM's own
    domain or in the endpoint's adds none.
    """

    def rank(peer: RelayPeer) -> tuple[int, int]:
        preference = len(domains)
        if peer.failure_domain in domains:
            preference = domains.index(peer.failure_domain)
        return preference, placement.hash_key(f"{own}>{peer.name}")

    ranked = sorted(peers, key=rank)[:MAX_PEERS]
    if len(ranked) < 2:
        return ranked[0] if ranked else None
    first = draw(len(ranked))
    second = (first + 1 + draw(len(ranked) - 1)) % len(ranked)
    return min(
        (ranked[first], ranked[second]), key=lambda peer: peer.open_relays
    )
