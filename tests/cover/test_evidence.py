"""Counters merge in any order, and their confidence bounds hold."""

import random

import hypothesis
from hypothesis import strategies

from carawayward.decisions import evidence

KEY = evidence.Key("lekki-club", "swap-suggestion", "sorter-3")

counts = strategies.builds(
    evidence.Count,
    strategies.integers(0, 9),
    strategies.integers(0, 9),
)
cells = strategies.builds(
    evidence.Cell,
    strategies.sampled_from(["a", "b"]),
    strategies.integers(0, 2),
    strategies.just(KEY),
)
deliveries = strategies.lists(strategies.tuples(cells, counts), max_size=12)


def merge_all(sent) -> evidence.Evidence:
    """Evidence after merging the sent counters in this order."""
    merged = evidence.Evidence()
    for cell, count in sent:
        merged.merge(cell, count)
    return merged


@hypothesis.settings(derandomize=True, max_examples=100)
@hypothesis.given(deliveries, strategies.randoms(use_true_random=False))
def test_any_order_and_repetition_of_messages_gives_equal_totals(sent, draw):
    """Peers lose, repeat and reorder messages; totals must agree."""
    again = [*sent, *sent]
    draw.shuffle(again)
    first, second = merge_all(sent), merge_all(again)
    assert first.cells == second.cells
    assert evidence.sum_epochs(first, lambda _: True) == evidence.sum_epochs(
        second, lambda _: True
    )


def test_old_epochs_are_dropped_and_memory_is_bounded():
    """A long-lived entry VM keeps no more than a day of small counters."""
    merged = evidence.Evidence()
    for epoch in range(3 * evidence.KEPT_EPOCHS):
        merged.add("a", epoch, KEY, good=True)
        merged.forget(epoch)
    assert len(merged.cells) <= evidence.KEPT_EPOCHS + 1
    assert len(merged.totals[KEY]) == len(merged.cells)


def test_three_good_ratings_prove_little():
    """A few good ratings must not send all traffic to the cheap model."""
    assert evidence.compute_lower_bound(1.0, 3, 0.05) < 0.4
    assert evidence.compute_lower_bound(0.0, 0, 0.05) == 0.0


def test_share_rounded_above_one_has_a_bound():
    """A plan whose parts were all rated good crashed in ``bench quality``."""
    assert evidence.compute_lower_bound(1.0000000000000002, 50, 0.05) > 0.9


def test_bounds_fail_no_more_often_than_stated():
    """2,000 seeded samples of 5 to 200 ratings; the bound may fail in 5%."""
    draw = random.Random(11)
    misses = 0
    for _ in range(2_000):
        rate, total = draw.uniform(0.5, 0.99), draw.randrange(5, 200)
        good = sum(draw.random() < rate for _ in range(total))
        misses += (
            evidence.compute_lower_bound(good / total, total, 0.05) > rate
        )
    assert misses <= 0.05 * 2_000


def test_recent_ratings_weigh_more():
    """A version that turned bad an hour ago is not saved by older ratings."""
    epochs = {0: evidence.Count(good=100), 24: evidence.Count(bad=100)}
    now = evidence.decay(epochs, 24)
    assert now.bad > 3 * now.good
