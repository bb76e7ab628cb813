"""Tests of the peer handshake and the choice of links, without sockets."""

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
    """Whether a proof is accepted."""
    try:
        handshake.verify_proof(keys, role, challenge, data)
    except errors.NotAuthenticated:
        return False
    return True


def make_proof(keys: tuple[str, ...] = KEYS) -> bytes:
    """Make a dialler's valid response to CHALLENGE."""
    return handshake.prove(keys, handshake.DIALLER, CHALLENGE, NONCE, ME)


def test_proof_is_valid_only_for_its_role_and_challenge():
    """Replayed and reflected proofs are refused."""
    proof = make_proof()
    assert is_accepted(proof)
    assert not is_accepted(proof, challenge=b"d" * 16)
    assert not is_accepted(proof, role=handshake.LISTENER)


def test_keys_rotate_without_an_interruption():
    """Entry VMs at adjacent steps of a rotation accept each other."""
    new, old = KEYS
    steps = [(old,), (old, new), (new, old), (new,)]
    for one, other in zip(steps, steps[1:], strict=False):
        assert is_accepted(make_proof(one), other)
        assert is_accepted(make_proof(other), one)
    assert not is_accepted(make_proof((new,)), (old,))


def test_proof_of_another_identity_is_refused():
    """The signature covers the name, so it cannot be replaced."""
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
def test_malformed_proof_raises_not_authenticated(data):
    """Any other data raises NotAuthenticated and no other exception."""
    assert not is_accepted(data)


def make_members(count: int, domains: int = 5) -> list[topology.Member]:
    """Make entry VMs, evenly spread over failure domains."""
    return [
        topology.Member(f"vm-{n}", f"domain-{n % domains}")
        for n in range(count)
    ]


def make_graph(members: list[topology.Member]) -> dict[str, set[str]]:
    """Build the graph of links after every member has chosen."""
    graph: dict[str, set[str]] = collections.defaultdict(set)
    for member in members:
        for peer in topology.choose_peers(member, members):
            graph[member.name].add(peer)
            graph[peer].add(member.name)
    return graph


def count_reached(graph: dict[str, set[str]], start: str) -> int:
    """Count the nodes that a message from ``start`` reaches."""
    reached, frontier = {start}, [start]
    while frontier:
        fresh = graph[frontier.pop()] - reached
        reached |= fresh
        frontier += fresh
    return len(reached)


def test_small_deployment_is_a_full_mesh():
    """Nine entry VMs, as deployments have today, are one hop apart."""
    graph = make_graph(make_members(9, 3))
    assert {len(peers) for peers in graph.values()} == {8}


def test_410_entry_vms_are_connected_by_few_links_each():
    """The cost per node does not depend on the size of the deployment."""
    members = make_members(410)
    graph = make_graph(members)
    degrees = [len(peers) for peers in graph.values()]
    assert count_reached(graph, "vm-0") == 410
    assert sum(degrees) / 410 <= 15
    assert max(degrees) <= 30


def test_links_stay_connected_when_a_tenth_of_the_nodes_fails():
    """A rack fails; the other nodes still exchange configurations."""
    members = [m for n, m in enumerate(make_members(410)) if n % 10]
    graph = make_graph(make_members(410))
    left = {m.name for m in members}
    links = {name: graph[name] & left for name in left}
    assert count_reached(links, members[0].name) >= 0.99 * len(left)


def test_new_entry_vm_changes_few_links_of_the_others():
    """Replacing a VM does not make hundreds of others reconnect."""
    before = make_members(410)
    after = [*before, topology.Member("vm-new", "domain-0")]
    changed = sum(
        topology.choose_peers(member, before)
        != topology.choose_peers(member, after)
        for member in before
    )
    assert changed <= 30
