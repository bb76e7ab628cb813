"""Cost at the quality target, exposure before a halt, and false halts.

``./build.sh bench quality`` runs the daemon's own decisions and controllers in
virtual time, from fixed seeds, next to baselines, and writes
``bench/results/quality.md``. Requests, difficulties and ratings are synthetic,
so the results say nothing about real models.
"""

import concurrent.futures
import pathlib
import time

from absl import logging
import fire

from bench import quality_cost
from bench import quality_exposure
from bench import quality_halts
from bench import quality_report

RESULTS = pathlib.Path("bench/results/quality.md")
ROLLOUTS = 400
WORKERS = 4


def suppress_events() -> None:
    """Keep the daemon's log events out of the output."""
    logging.set_verbosity(logging.FATAL)


def main(rollouts: int = ROLLOUTS) -> None:
    """Run all three benchmarks and write the results.

    Args:
        rollouts: good roll-outs simulated for each ratings scenario.
    """
    started_at = time.monotonic()
    parameters = [
        (count, delay_s, kind, seed)
        for kind in quality_exposure.BAD_SHARES
        for count in (1, 9, 82)
        for delay_s in (0, 60, 300)
        for seed in (1, 2, 3)
        if seed == 1 or count < 82
    ]
    rollouts_per_task = rollouts // WORKERS
    starts = range(0, rollouts, rollouts_per_task)
    with concurrent.futures.ProcessPoolExecutor(
        WORKERS, initializer=suppress_events
    ) as pool:
        exposures = [
            pool.submit(quality_exposure.measure_exposure, *c)
            for c in parameters[::-1]
        ]
        costs = [
            pool.submit(quality_cost.measure_cost, workload)
            for workload in quality_cost.WORKLOADS
        ]
        halts = [
            [
                pool.submit(
                    quality_halts.count_false_halts, w, s, rollouts_per_task
                )
                for s in starts
            ]
            for w in quality_halts.RATINGS_SCENARIOS
        ]
        text = quality_report.make_report(
            costs=[each.result() for each in costs],
            exposures=[each.result() for each in exposures],
            halts=[
                (
                    w.name,
                    sum(f.result() for f in futures),
                    rollouts_per_task * len(starts),
                )
                for w, futures in zip(
                    quality_halts.RATINGS_SCENARIOS, halts, strict=True
                )
            ],
        )
    RESULTS.write_text(text, encoding="utf-8")
    print(text)
    print(f"took {time.monotonic() - started_at:.0f} s")


if __name__ == "__main__":
    fire.Fire(main)
