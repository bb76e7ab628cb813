"""Seeded drills: entry VMs, servers and callers while the store returns."""

import random

import trio

from tests.common import store_drill

SEEDS = 5


def draw_plan(seed):
    """A drill in which the store is back before the keys' lease is over."""
    draw = random.Random(seed)
    return store_drill.Plan(
        copied_s=draw.uniform(0.0, 4.0),
        away_s=draw.choice((0.0, 0.3, 1.0, 1.5)) * draw.random(),
        written_s=draw.uniform(0.0, 2.0),
        returns=draw.choice((1, 1, 2)),
    )


def find_violations(outcome):
    """What callers were promised and did not get."""
    found = []
    if set(outcome.revoked) - {401, 503}:
        found.append(f"key taken away: {outcome.revoked}")
    if outcome.left_runs:
        found.append(f"{outcome.left_runs} runs on a server that had left")
    if set(outcome.statuses) - {200}:
        found.append(f"key in force: {outcome.statuses}")
    return found


def play(seed):
    return find_violations(trio.run(store_drill.play, draw_plan(seed)))


def test_drill_of_the_store_keeps_what_callers_were_promised():
    """Keys taken away work again, servers that left get work, calls fail."""
    for seed in range(SEEDS):
        assert not play(seed), seed
