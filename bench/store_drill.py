"""What a store that comes back from a copy costs callers.

``./build.sh bench store_drill`` plays drills on loopback with three entry VMs,
and prints the answers to a key in force, the slowest of them, and the calls to
the store by cause, for stores that are away for different times.
"""

import fire
import trio

from tests.common import store_drill

AWAY_S = (0.0, 1.0, 2.5, 4.0, 6.0)


def main() -> None:
    """Print a row for each time away."""
    print("away s  answers  slowest ms  calls")
    for away_s in AWAY_S:
        outcome = trio.run(store_drill.play, store_drill.Plan(away_s=away_s))
        print(
            f"{away_s:6}  {dict(outcome.statuses)}"
            f"  {outcome.slowest_ms:.0f}  {dict(outcome.calls)}"
        )


if __name__ == "__main__":
    fire.Fire(main)
