"""Tests that only the first claim of a key in the log lets a node run it."""

import hypothesis
from hypothesis import strategies

from carawayward.protocol import claims

RULES = claims.Rules(window_ms=1_000, skew_ms=10, dispatch_within_ms=100)
KEY = ("families", "swap-1")


def make_claim(node: str, made_ms: int = 5_000) -> claims.Claim:
    """Make a node's claim of the test's key."""
    return claims.Claim(
        claim_id=f"{node}-claim",
        customer=KEY[0],
        request_key=KEY[1],
        node=node,
        incarnation="1",
        made_ms=made_ms,
    )


def make_group(offset: int, *nodes: str) -> claims.ClaimGroup:
    """Make a record with one claim of each node."""
    return claims.ClaimGroup(
        offset=offset,
        at_ms=5_000 + offset,
        claims=tuple(make_claim(node) for node in nodes),
    )


def make_table(
    oldest: int = 1, covered_from_ms: float = 0
) -> claims.ClaimTable:
    """Make a table whose reader starts at ``oldest``."""
    table = claims.ClaimTable()
    claims.start_reading(table, oldest, covered_from_ms)
    return table


def decide(
    table: claims.ClaimTable,
    node: str = "a",
    made_ms: int = 5_000,
    wall_ms: int = 5_100,
) -> claims.Verdict:
    """Call ``claims.decide`` for a node and the test's key."""
    return claims.decide(table, KEY, made_ms, wall_ms, (node, "1"), RULES)


def test_first_claim_in_the_log_wins_on_every_reader():
    table = make_table()
    claims.fold_claims(table, [make_group(1, "b", "a"), make_group(2, "a")])
    assert decide(table, "a") is claims.Verdict.ASK_WINNER
    assert decide(table, "b") is claims.Verdict.RUN_HERE


def test_restarted_winner_does_not_run_its_earlier_claim():
    """The winner crashes after its run and restarts under its name.

    Its rights table is lost with its incarnation, so it must not treat the
    earlier claim as a right that it still holds.
    """
    table = make_table()
    claims.fold_claims(table, [make_group(1, "a")])
    verdict = claims.decide(table, KEY, 5_000, 5_100, ("a", "2"), RULES)
    assert verdict is claims.Verdict.ASK_WINNER


def test_key_outside_its_window_is_never_run():
    table = make_table()
    assert decide(table, wall_ms=6_001) is claims.Verdict.TOO_OLD
    assert decide(table, wall_ms=4_989) is claims.Verdict.FROM_FUTURE
    assert decide(table) is claims.Verdict.CLAIM


def test_late_reader_refuses_keys_from_before_its_start():
    """A new node starts after the log has dropped a key's claim.

    A caller resends the key to it. The node must not take "no claim read"
    for "no claim made", since the request ran long ago.
    """
    table = make_table(oldest=40, covered_from_ms=4_990)
    assert decide(table) is claims.Verdict.NOT_COVERED
    assert decide(make_table(40, 4_989)) is claims.Verdict.CLAIM
    assert decide(claims.ClaimTable()) is claims.Verdict.NOT_COVERED


def test_full_table_no_longer_covers_the_keys_it_drops():
    table = make_table()
    claims.fold_claims(table, [make_group(1, "a")])
    claims.limit_winners(table, 0)
    assert decide(table, made_ms=5_001) is claims.Verdict.NOT_COVERED
    assert decide(table, made_ms=5_012) is claims.Verdict.CLAIM


def test_holder_that_resumes_late_may_not_send():
    assert claims.may_dispatch(1_000, 1_100, 100)
    assert not claims.may_dispatch(1_000, 1_101, 100)
    assert not claims.may_dispatch(1_000, 999, 100)


def test_claims_are_unchanged_by_encoding_and_decoding():
    group = (make_claim("a"), make_claim("b"))
    assert claims.decode(claims.encode(group)) == group
    assert claims.decode({"claims": [["x"], None]}) == ()
    assert claims.decode("junk") == ()


@hypothesis.settings(derandomize=True, max_examples=300)
@hypothesis.given(
    strategies.lists(strategies.sampled_from("abc"), min_size=1, max_size=12),
    strategies.lists(strategies.integers(0, 12), min_size=3, max_size=3),
    strategies.integers(1, 12),
    strategies.integers(5_000, 6_400),
)
def test_at_most_one_node_runs_a_key_for_any_read_positions(
    order, read_to, oldest, wall_ms
):
    """Three nodes claim a key in any order and have read to any offset.

    One of them started after the log had dropped the records before
    ``oldest``. A node runs the key only if its own claim is the first that
    it read.
    """
    groups = [make_group(offset, node) for offset, node in enumerate(order, 1)]
    running = set()
    for node, last in zip("abc", read_to, strict=True):
        late = node == "c"
        start = oldest if late else 1
        in_log = [g for g in groups if start <= g.offset <= last]
        covered = in_log[0].at_ms if in_log else wall_ms + RULES.skew_ms
        table = make_table(start, covered)
        first = claims.decide(table, KEY, 5_000, wall_ms, (node, "1"), RULES)
        if first is not claims.Verdict.CLAIM:
            continue
        claims.fold_claims(table, in_log)
        if decide(table, node, wall_ms=wall_ms) is claims.Verdict.RUN_HERE:
            running.add(node)
    assert len(running) <= 1
