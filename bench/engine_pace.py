"""Compares ways to choose engines: ``./build.sh bench engine_pace``.

Replays loads on engines of uneven pace and prints, by what entry VMs know, the
share of first tokens that come late, and in brackets that after ten seconds.
"""

import typing

from tests.common import engine_replay

THIRD_SLOW = (1.0, 1.0, 2.4) * 10
EVEN = (1.0,) * 30
MIXED = (1.0, 1.0, 1.3) * 10
STALLS = tuple(
    (
        engine,
        5_000.0 + 3_000 * engine % 25_000,
        5_500.0 + 3_000 * engine % 25_000,
    )
    for engine in range(30)
)
SEEDS = (1, 2, 3)
WARM_MS = 10_000.0
SCENARIOS: tuple[tuple[str, dict[str, typing.Any]], ...] = (
    (
        "a third 2.4 times as slow, 65 a second, 2 entry VMs",
        {"vms": 2, "paces": THIRD_SLOW, "per_s": 65.0},
    ),
    ("the same, 9", {"vms": 9, "paces": THIRD_SLOW, "per_s": 65.0}),
    ("the same, 76", {"vms": 76, "paces": THIRD_SLOW, "per_s": 65.0}),
    ("the same, 88", {"paces": THIRD_SLOW, "per_s": 65.0}),
    (
        "the same, 88, reports 0.3 s late",
        {"paces": THIRD_SLOW, "per_s": 65.0, "lag_ms": 300.0},
    ),
    (
        "120 engines, a third slow, 263 a second, 410 entry VMs",
        {"vms": 410, "paces": THIRD_SLOW * 4, "per_s": 263.0},
    ),
    ("30 equal engines, 80 a second", {"paces": EVEN, "per_s": 80.0}),
    (
        "the same, reports 0.3 s late",
        {"paces": EVEN, "per_s": 80.0, "lag_ms": 300.0},
    ),
    (
        "the same, 30 ms late, engines stall for 0.5 s",
        {"paces": EVEN, "per_s": 80.0, "stalls": STALLS},
    ),
    (
        "equal engines, 65 a second, 15 of 100 prompts 2.5 times as slow",
        {"paces": EVEN, "per_s": 65.0, "noise": 0.15},
    ),
    (
        "12 places, a burst of twice 45 a second, paces 1, 1, 1.3",
        {"paces": MIXED, "per_s": 45.0, "slots": 12, "burst": 2.0},
    ),
    (
        "the same, streams of 5 s",
        {
            "paces": MIXED,
            "per_s": 45.0,
            "slots": 12,
            "burst": 2.0,
            "stream_ms": 5_000.0,
        },
    ),
)


def make_row(label: str, load: dict[str, typing.Any]) -> str:
    """One load's late shares, by what entry VMs know."""
    cells = [label]
    for knowledge in ("none", "drawn", "learned", "perfect"):
        replays = [
            engine_replay.Replay(
                engine_replay.Scenario(
                    seconds=30.0, shared_parts=300, seed=seed, **load
                ),
                knowledge,
            ).run()
            for seed in SEEDS
        ]
        late = sum(each.compute_late_share() for each in replays)
        warm = sum(each.compute_late_share(WARM_MS) for each in replays)
        cells.append(f"{late / len(SEEDS):.3f} ({warm / len(SEEDS):.3f})")
    return f"| {' | '.join(cells)} |"


def main() -> None:
    """Print the table."""
    for label, load in SCENARIOS:
        print(make_row(label, load), flush=True)


if __name__ == "__main__":
    main()
