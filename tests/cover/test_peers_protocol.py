"""Proofs of identity and the choice of links, without sockets."""

import collections

import cbor2
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from carawayward import errors
from carawayward.protocol import handshake
from carawayward.protocol import topology

KEYS = ("new-key-0123456789", "old-key-0123456789")
ME = handshake.Identity("oduya-1", "abc", "ikeja", "127.0.0.1:7001")
CHALLENGE, NONCE = b"c" * 16, b"n" * 16


def is_accepted(
    data: object,
    keys: tuple[str, ...] = KEYS,
    role: bytes = handshake.DIALLER,
    challenge: bytes = CHALLENGE,
) -> bool:
    """Whether a proof is taken."""
    try:
        handshake.verify_proof(keys, role, challenge, data)
    except errors.NotAuthenticated:
        return False
    return True


def make_proof(keys: tuple[str, ...] = KEYS) -> bytes:
    """A dialler's good answer to CHALLENGE."""
    return handshake.prove(keys, handshake.DIALLER, CHALLENGE, NONCE, ME)


def test_proof_is_accepted_once_under_its_role_and_challenge_only():
    """A recorded or reflected proof is worthless."""
    proof = make_proof()
    assert is_accepted(proof)
    assert not is_accepted(proof, challenge=b"d" * 16)
    assert not is_accepted(proof, role=handshake.LISTENER)


def test_keys_rotate_without_a_gap():
    """Added as second, made first, then alone: each step links to the last."""
    new, old = KEYS
    steps = [(old,), (old, new), (new, old), (new,)]
    for one, other in zip(steps, steps[1:], strict=False):
        assert is_accepted(make_proof(one), other)
        assert is_accepted(make_proof(other), one)
    assert not is_accepted(make_proof((new,)), (old,))


def test_proof_of_another_identity_is_refused():
    """The name is signed, so it cannot be exchanged."""
    parts = cbor2.loads(make_proof())
    parts[0] = "oduya-2"
    assert not is_accepted(cbor2.dumps(parts))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    strategies.one_of(
        strategies.binary(max_size=200),
        strategies.text(max_size=50),
        strategies.builds(
            cbor2.dumps,
            strategies.lists(
                strategies.one_of(
                    strategies.none(),
                    strategies.integers(),
                    strategies.text(max_size=9),
                    strategies.binary(max_size=40),
                ),
                max_size=8,
            ),
        ),
    )
)
def test_junk_is_refused_with_the_typed_error(data):
    """Whatever comes instead of a proof, it is no crash."""
    assert not is_accepted(data)


def make_members(count: int, domains: int = 5) -> list[topology.Member]:
    """Entry VMs spread over failure domains."""
    return [
        topology.Member(f"vm-{n}", f"domain-{n % domains}")
        for n in range(count)
    ]


def make_graph(members: list[topology.Member]) -> dict[str, set[str]]:
    """Who is linked to whom when everyone has chosen."""
    graph: dict[str, set[str]] = collections.defaultdict(set)
    for member in members:
        for peer in topology.choose_peers(member, members):
            graph[member.name].add(peer)
            graph[peer].add(member.name)
    return graph


def count_reached(graph: dict[str, set[str]], start: str) -> int:
    """How many nodes a message from ``start`` reaches."""
    reached, edge = {start}, [start]
    while edge:
        fresh = graph[edge.pop()] - reached
        reached |= fresh
        edge += fresh
    return len(reached)


def test_small_deployment_is_a_full_mesh():
    """Today's nine entry VMs are one hop apart."""
    graph = make_graph(make_members(9, 3))
    assert {len(peers) for peers in graph.values()} == {8}


def test_410_entry_vms_are_connected_over_few_links_each():
    """The cost of a node does not depend on the size of the deployment."""
    members = make_members(410)
    graph = make_graph(members)
    degrees = [len(peers) for peers in graph.values()]
    assert count_reached(graph, "vm-0") == 410
    assert sum(degrees) / 410 <= 15
    assert max(degrees) <= 30


def test_links_stay_in_one_piece_when_a_tenth_vanishes():
    """A rack goes; the rest still hear of configurations from each other."""
    members = [m for n, m in enumerate(make_members(410)) if n % 10]
    graph = make_graph(make_members(410))
    left = {m.name for m in members}
    kept = {name: graph[name] & left for name in left}
    assert count_reached(kept, members[0].name) >= 0.99 * len(left)


def test_newcomer_changes_few_links_of_the_others():
    """A VM that is replaced does not make hundreds dial anew."""
    before = make_members(410)
    after = [*before, topology.Member("vm-new", "domain-0")]
    changed = sum(
        topology.choose_peers(member, before)
        != topology.choose_peers(member, after)
        for member in before
    )
    assert changed <= 30
