"""Tests of the gossip of member records and endpoint observations."""

import attrs
import hypothesis
from hypothesis import strategies

from carawayward.protocol import membership
from carawayward.protocol import sightings

MEMBERS = strategies.builds(
    membership.Member,
    name=strategies.sampled_from(["a", "b"]),
    incarnation=strategies.sampled_from(["x", "y"]),
    started_ms=strategies.integers(0, 3),
    sequence=strategies.integers(0, 3),
    failure_domain=strategies.just("d"),
    address=strategies.just("10.0.0.1:1"),
)
LISTED = sightings.merge_listed(
    None, "e", "pool", "d", "10.0.0.9:1", False, 0.0
)


@hypothesis.settings(derandomize=True, max_examples=200)
@hypothesis.given(strategies.lists(MEMBERS, max_size=8), strategies.randoms())
def test_merge_of_member_records_is_independent_of_order(members, shuffler):
    shuffled = list(members)
    shuffler.shuffle(shuffled)
    one: dict[str, membership.KnownMember] = {}
    two: dict[str, membership.KnownMember] = {}
    for member in members:
        membership.merge_member(one, member, 0.0)
    for member in shuffled + members:
        membership.merge_member(two, member, 0.0)
    assert {n: h.member.rank for n, h in one.items()} == {
        n: h.member.rank for n, h in two.items()
    }


def make_known(count: int) -> dict[str, membership.KnownMember]:
    """Make ``count`` known members, all last updated at 0."""
    known: dict[str, membership.KnownMember] = {}
    for number in range(count):
        member = membership.Member(
            name=f"n{number:03}",
            incarnation="x",
            started_ms=0,
            sequence=1,
            failure_domain=f"d{number % 5}",
            address="10.0.0.1:1",
        )
        membership.merge_member(known, member, 0.0)
    return known


def test_each_round_sends_the_same_number_of_records():
    """A failure domain is lost, and half of all records change at once.

    Rounds must not grow because of it, and every record must still be sent.
    """
    known = make_known(100)
    changed = {name: 2 for name in sorted(known)[:50]}
    cursor, sent = 0, set()
    for _ in range(40):
        records, cursor = membership.choose_records(
            known, changed, cursor, 8, 10.0, 1_000.0
        )
        assert len(records) == 8
        sent |= {record.name for record in records}
    assert sent == set(known)
    assert not changed


def test_silent_members_are_not_forwarded_and_then_dropped():
    known = make_known(3)
    records, _ = membership.choose_records(known, {}, 0, 8, 501.0, 1_000.0)
    assert records == []
    assert len(membership.drop_silent(known, 1_001.0, 1_000.0)) == 3


def test_each_endpoint_is_probed_by_three_nodes_of_its_domain():
    nodes = [(n, h.member.failure_domain) for n, h in make_known(60).items()]
    endpoints = [(f"e{number}", f"d{number % 5}") for number in range(100)]
    probed: dict[str, set[str]] = {name: set() for name, _ in endpoints}
    for node in nodes:
        chosen = membership.choose_probe_targets(endpoints, nodes, node, 3, 40)
        assert len(chosen) < 20
        for name in chosen:
            probed[name].add(node[1])
    assert all(len(domains) == 1 for domains in probed.values())
    all_probed = membership.choose_probe_targets(
        endpoints[:40], nodes, nodes[0], 3, 40
    )
    assert len(all_probed) == 40


def test_records_are_unchanged_by_encoding_and_malformed_ones_refused():
    member = attrs.evolve(
        make_known(1)["n000"].member, heir_of=(("a", "1"), ("b", "2"))
    )
    row = membership.encode_member(member)
    assert membership.decode_member(row) == member
    assert membership.decode_member(row[:-1]) is None
    assert membership.decode_member([*row[:-1], [["a"]]]) is None
    observation = sightings.make_observation(
        attrs.evolve(LISTED, answered_ms=1.0), 4.0
    )
    assert observation is not None and observation.age_ms == 3.0
    encoded = membership.encode_observation(observation)
    assert membership.decode_observation(encoded) == observation
    assert membership.decode_observation([*encoded[:-1], -1.0]) is None


def test_leaving_is_not_cleared_by_sources_that_do_not_know_of_it():
    """The platform marks an endpoint as leaving before the endpoint knows.

    Its own report, the next list from a lagging replica and an observation
    of a peer all lack the mark. Work sent to the endpoint would be cut off.
    """
    seen = sightings.merge_listed(
        LISTED, "e", "pool", "d", LISTED.address, True, 5
    )
    seen = sightings.merge_report(seen, frozenset(["v"]), 1.0, False, 6.0)
    seen = sightings.merge_listed(
        seen, "e", "pool", "d", LISTED.address, False, 7
    )
    not_leaving = sightings.make_observation(
        attrs.evolve(LISTED, answered_ms=7.0), 8.0
    )
    assert not_leaving is not None
    assert sightings.merge_observation(seen, not_leaving, 8.0).leaving


def test_restarted_endpoint_gets_work_again():
    """An endpoint leaves and is then restarted at its old address.

    A peer that has not probed it since still sends the old leaving mark.
    """
    seen = sightings.merge_report(LISTED, frozenset(), 0.0, True, 1.0)
    old = sightings.make_observation(seen, 1.0)
    assert old is not None
    for _ in range(sightings.MIN_FAILED_PROBES):
        seen = sightings.record_failed_probe(seen)
    seen = sightings.merge_report(seen, frozenset(["v"]), 0.0, False, 50.0)
    assert not seen.leaving
    late = attrs.evolve(old, age_ms=59.0)
    assert not sightings.merge_observation(seen, late, 60.0).leaving
    again = attrs.evolve(old, age_ms=1.0)
    assert sightings.merge_observation(seen, again, 60.0).leaving


def test_unlisted_endpoint_is_retained_while_it_answers():
    seen = sightings.mark_unlisted(LISTED)
    assert not sightings.is_retained(seen, 1.0)
    seen = sightings.merge_report(seen, frozenset(["v"]), 0.0, False, 1.0)
    assert sightings.is_retained(seen, sightings.UNLISTED_RETENTION_MS)
    assert not sightings.is_retained(seen, 2 + sightings.UNLISTED_RETENTION_MS)


def test_endpoint_is_learned_from_peers_alone():
    observation = sightings.make_observation(
        attrs.evolve(LISTED, answered_ms=1.0), 2.0
    )
    assert observation is not None
    learned = sightings.merge_observation(None, observation, 100.0)
    assert learned.address == LISTED.address
    assert sightings.is_retained(learned, 100.0)
