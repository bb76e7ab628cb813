"""Seeded drills: restores of the store while entry VMs serve callers."""

import random

import trio

from tests.common import store_drill

SEEDS = 5


def draw_plan(seed):
    """Draw a drill in which the store recovers before the keys' lease ends."""
    rng = random.Random(seed)
    return store_drill.Plan(
        backup_age_s=rng.uniform(0.0, 4.0),
        outage_s=rng.choice((0.0, 0.3, 1.0, 1.5)) * rng.random(),
        rewrite_delay_s=rng.uniform(0.0, 2.0),
        restores=rng.choice((1, 1, 2)),
    )


def find_violations(outcome):
    """List the guarantees to callers that were violated."""
    found = []
    if set(outcome.revoked_statuses) - {401, 503}:
        found.append(
            f"unexpected statuses, revoked key: {outcome.revoked_statuses}"
        )
    if outcome.removed_server_runs:
        found.append(f"{outcome.removed_server_runs} runs on a removed server")
    if set(outcome.statuses) - {200}:
        found.append(f"unexpected statuses, valid key: {outcome.statuses}")
    return found


def find_drill_violations(seed):
    return find_violations(trio.run(store_drill.run_drill, draw_plan(seed)))


def test_restore_of_the_store_keeps_guarantees_to_callers():
    """Guards against faults after the store was restored from a backup.

    These are revoked keys that work again, requests to removed servers, and
    failed requests.
    """
    for seed in range(SEEDS):
        assert not find_drill_violations(seed), seed
