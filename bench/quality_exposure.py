"""Answers of a bad version before every entry VM has halted it."""

import random

import trio

from tests.common import platform_fakes
from tests.common import quality_rig

RATE = 20
SHARE = 0.05
# That of Wayfarer's first stage, over all failure domains.
BUDGET = 12
BASELINE_SAMPLES = 20
BASELINE_LIMIT = 0.15
BAD_SHARES = {"broken": 0.0, "half bad": 0.5}


def measure_exposure(count: int, delay_s: int, kind: str, seed: int) -> dict:
    """Answers of a bad version before every entry VM has halted it."""
    domains = ["hall-a", "hall-b", "hall-c"][:count]
    stage = {
        "share": SHARE,
        "dwell_ms": 86_400_000,
        "evidence": 10_000,
        "exposure_budget": dict.fromkeys(domains, BUDGET // len(domains)),
    }
    good = BAD_SHARES[kind]

    def judge(answer: dict) -> bool:
        share = good if answer["version"] == "scribe-8" else 0.96
        return platform_fakes.hash_fraction(answer["id"], seed) < share

    rig = quality_rig.Rig.from_config(
        quality_rig.make_document([stage]), domains, count, judge
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
        "baseline": run_baseline(count, delay_s, good, seed),
    }


async def run_until_halted(rig: quality_rig.Rig, limit: int) -> int:
    """Serve until the halt is known everywhere; seconds it took, or -1."""
    draw = random.Random(rig.request_count)
    for second in range(limit):
        for _ in range(RATE):
            node = rig.nodes[draw.randrange(len(rig.nodes))]
            rig.send_request(node, "delta-hosts", "stage-note")
        await rig.tick()
        if all(node.board.quality.halted for node in rig.nodes):
            return second + 1
    return -1


def run_baseline(count: int, delay_s: int, good: float, seed: int) -> int:
    """A fixed share on every entry VM, halted by a threshold of its own.

    To the baseline's favour the first entry VM that halts halts them all.
    """
    draw = random.Random(seed)
    rated = [[0, 0] for _ in range(count)]
    late: list[tuple[int, int, bool]] = []
    exposed = 0
    for second in range(40_000):
        for _ in range(RATE):
            if draw.random() < SHARE:
                exposed += 1
                vm = draw.randrange(count)
                late.append((second + delay_s, vm, draw.random() < good))
        while late and late[0][0] <= second:
            _, vm, is_good = late.pop(0)
            rated[vm][0 if is_good else 1] += 1
            total = sum(rated[vm])
            over = rated[vm][1] > BASELINE_LIMIT * total
            if total >= BASELINE_SAMPLES and over:
                return exposed
    return exposed
