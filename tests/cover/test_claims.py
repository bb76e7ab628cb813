"""The rules of claims: the first in the log runs, and nobody else."""

import hypothesis
from hypothesis import strategies

from carawayward.protocol import claims

RULES = claims.Rules(window_ms=1_000, skew_ms=10, dispatch_within_ms=100)
KEY = ("families", "swap-1")


def make_claim(node: str, made_ms: int = 5_000) -> claims.Claim:
    """A node's claim of the one key."""
    return claims.Claim(
        claim_id=f"{node}-claim",
        customer=KEY[0],
        request_key=KEY[1],
        node=node,
        incarnation="1",
        made_ms=made_ms,
    )


def make_group(offset: int, *nodes: str) -> claims.ClaimGroup:
    """A record with these nodes' claims."""
    return claims.ClaimGroup(
        offset=offset,
        at_ms=5_000 + offset,
        claims=tuple(make_claim(node) for node in nodes),
    )


def make_table(
    oldest: int = 1, covered_from_ms: float = 0
) -> claims.ClaimTable:
    """A table whose reader begins at ``oldest``."""
    table = claims.ClaimTable()
    claims.start_reading(table, oldest, covered_from_ms)
    return table


def decide(
    table: claims.ClaimTable,
    node: str = "a",
    made_ms: int = 5_000,
    wall_ms: int = 5_100,
) -> claims.Verdict:
    """Decide for a node on the one key."""
    return claims.decide(table, KEY, made_ms, wall_ms, (node, "1"), RULES)


def test_first_claim_in_the_log_wins_on_every_reader():
    table = make_table()
    claims.fold_claims(table, [make_group(1, "b", "a"), make_group(2, "a")])
    assert decide(table, "a") is claims.Verdict.ASK_WINNER
    assert decide(table, "b") is claims.Verdict.RUN_HERE


def test_restarted_winner_may_not_run_its_old_claim():
    """The winner crashes after its run and comes back under its name.

    Its book is gone with its incarnation, so it must not take the claim of
    before for a right that it still holds.
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


def test_late_reader_does_not_judge_keys_of_before_its_start():
    """A new node starts after the log forgot a key's claim.

    A caller resends the key to it. "No claim read" is not "no claim made":
    the swap was logged long ago.
    """
    table = make_table(oldest=40, covered_from_ms=4_990)
    assert decide(table) is claims.Verdict.NOT_COVERED
    assert decide(make_table(40, 4_989)) is claims.Verdict.CLAIM
    assert decide(claims.ClaimTable()) is claims.Verdict.NOT_COVERED


def test_full_table_gives_up_the_right_to_judge_what_it_drops():
    table = make_table()
    claims.fold_claims(table, [make_group(1, "a")])
    claims.limit_winners(table, 0)
    assert decide(table, made_ms=5_001) is claims.Verdict.NOT_COVERED
    assert decide(table, made_ms=5_012) is claims.Verdict.CLAIM


def test_woken_holder_may_not_send():
    assert claims.may_dispatch(1_000, 1_100, 100)
    assert not claims.may_dispatch(1_000, 1_101, 100)
    assert not claims.may_dispatch(1_000, 999, 100)


def test_groups_survive_their_encoding():
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
def test_no_two_nodes_run_one_key_whatever_they_have_read(
    order, read_to, oldest, wall_ms
):
    """Three nodes claim in any order and have read to any place.

    One of them began after the log had forgotten what came before
    ``oldest``. A node runs only with its own claim first in what it read.
    """
    groups = [make_group(at, node) for at, node in enumerate(order, 1)]
    running = set()
    for node, upto in zip("abc", read_to, strict=True):
        late = node == "c"
        start = oldest if late else 1
        kept = [g for g in groups if start <= g.offset <= upto]
        covered = kept[0].at_ms if kept else wall_ms + RULES.skew_ms
        table = make_table(start, covered)
        first = claims.decide(table, KEY, 5_000, wall_ms, (node, "1"), RULES)
        if first is not claims.Verdict.CLAIM:
            continue
        claims.fold_claims(table, kept)
        if decide(table, node, wall_ms=wall_ms) is claims.Verdict.RUN_HERE:
            running.add(node)
    assert len(running) <= 1
