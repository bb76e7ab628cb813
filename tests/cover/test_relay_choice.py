"""Which peer relays the requests of an entry VM without endpoints."""

import collections
import random

from hypothesis import given
from hypothesis import strategies

from carawayward.decisions import relay_choice

DOMAINS = ("north", "south", "east")


def make_peers(*domains, open_relays=0):
    return [
        relay_choice.RelayPeer(f"edge-{number}", domain, open_relays)
        for number, domain in enumerate(domains)
    ]


def choose(peers, own="edge-own", domains=("north",), seed=1):
    draw = random.Random(seed).randrange
    return relay_choice.choose_peer(own, domains, peers, draw)


def test_no_peer_is_chosen_among_none():
    """All peers have lost their paths or are down."""
    assert choose([]) is None


def test_peers_of_the_own_domain_come_first():
    """Bytes between failure domains are billed."""
    peers = make_peers(*["south"] * 20, *["north"] * 3)
    for seed in range(50):
        assert choose(peers, seed=seed).failure_domain == "north"


def test_peers_of_other_domains_relay_if_a_whole_domain_is_cut_off():
    """None of the own domain is left."""
    assert choose(make_peers("south", "east")) is not None


def test_one_entry_vm_uses_few_peers():
    """With hundreds of them each would get a connection now and then."""
    peers = make_peers(*["north"] * 200)
    used = {choose(peers, seed=seed).name for seed in range(200)}
    assert len(used) == relay_choice.MAX_PEERS


def test_entry_vms_of_a_domain_spread_over_its_peers():
    """Twenty that are cut off do not all choose the same three of sixty."""
    peers = make_peers(*["north"] * 60)
    uses = collections.Counter(
        choose(peers, own=f"cut-{vm}", seed=vm).name for vm in range(200)
    )
    assert len(uses) > 40
    assert max(uses.values()) < 15


def test_less_used_of_two_peers_is_chosen():
    """One of them answers slowly, so that its relays pile up."""
    slow, fast = make_peers("north", "north")
    slow = relay_choice.RelayPeer(slow.name, "north", 9)
    for seed in range(20):
        assert choose([slow, fast], seed=seed) == fast


@given(
    strategies.lists(
        strategies.builds(
            relay_choice.RelayPeer,
            strategies.text(min_size=1, max_size=5),
            strategies.sampled_from(DOMAINS),
            strategies.integers(0, 50),
        ),
        min_size=1,
        unique_by=lambda peer: peer.name,
    ),
    strategies.integers(0, 1000),
)
def test_any_peer_is_better_than_none(peers, seed):
    """Whatever their domains and use."""
    assert choose(peers, seed=seed) in peers
