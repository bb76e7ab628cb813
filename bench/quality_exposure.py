"""Answers given by a bad version before every entry VM has halted it."""

import random

import trio

from tests.common import platform_fakes
from tests.common import quality_rig

REQUESTS_PER_S = 20
CANARY_SHARE = 0.05
# The budget of the first stage in Wayfarer's document, over all failure
# domains.
BUDGET = 12
BASELINE_SAMPLES = 20
BASELINE_LIMIT = 0.15
BAD_SHARES = {"broken": 0.0, "half bad": 0.5}


def measure_exposure(count: int, delay_s: int, kind: str, seed: int) -> dict:
    """Count a bad version's answers until every entry VM has halted it."""
    domains = ["hall-a", "hall-b", "hall-c"][:count]
    stage = {
        "share": CANARY_SHARE,
        "dwell_ms": 86_400_000,
        "evidence": 10_000,
        "exposure_budget": dict.fromkeys(domains, BUDGET // len(domains)),
    }
    good = BAD_SHARES[kind]

    def rate_answer(answer: dict) -> bool:
        share = good if answer["version"] == "scribe-8" else 0.96
        return platform_fakes.hash_fraction(answer["id"], seed) < share

    rig = quality_rig.Rig.from_config(
        quality_rig.make_document([stage]), domains, count, rate_answer
    )
    rig.service.delay_ms = delay_s * 1_000
    rig.request_count = seed * 1_000_000
    seconds = trio.run(run_until_halted, rig, 4 * delay_s + 1_200)
    return {
        "count": count,
        "delay_s": delay_s,
        "kind": kind,
        "exposed": rig.answers_by_version.get("scribe-8", 0),
        "seconds": seconds,
        "baseline": simulate_baseline(count, delay_s, good, seed),
    }


async def run_until_halted(rig: quality_rig.Rig, limit: int) -> int:
    """Send requests until all have halted; return the seconds, or -1."""
    rng = random.Random(rig.request_count)
    for second in range(limit):
        for _ in range(REQUESTS_PER_S):
            node = rig.nodes[rng.randrange(len(rig.nodes))]
            rig.send_request(node, "delta-hosts", "stage-note")
        await rig.tick()
        if all(node.board.quality.halted for node in rig.nodes):
            return second + 1
    return -1


def simulate_baseline(count: int, delay_s: int, good: float, seed: int) -> int:
    """Count a bad version's answers under a fixed share and threshold.

    Each entry VM halts by its own ratings alone. In the baseline's favour, the
    first entry VM to halt halts them all.
    """
    rng = random.Random(seed)
    rated = [[0, 0] for _ in range(count)]
    late: list[tuple[int, int, bool]] = []
    exposed = 0
    for second in range(40_000):
        for _ in range(REQUESTS_PER_S):
            if rng.random() < CANARY_SHARE:
                exposed += 1
                vm = rng.randrange(count)
                late.append((second + delay_s, vm, rng.random() < good))
        while late and late[0][0] <= second:
            _, vm, is_good = late.pop(0)
            rated[vm][0 if is_good else 1] += 1
            total = sum(rated[vm])
            over = rated[vm][1] > BASELINE_LIMIT * total
            if total >= BASELINE_SAMPLES and over:
                return exposed
    return exposed
