"""The cost to callers when the store is restored from a backup.

``./build.sh bench store_drill`` runs drills on loopback with three entry VMs,
and prints the statuses of requests with a valid key, the slowest response to
them in ms, and the calls to the store by cause, for outages of different
length.
"""

import fire
import trio

from tests.common import store_drill

OUTAGES_S = (0.0, 1.0, 2.5, 4.0, 6.0)


def main() -> None:
    """Print a row for each length of the outage."""
    print("away s  answers  slowest ms  calls")
    for outage_s in OUTAGES_S:
        outcome = trio.run(
            store_drill.run_drill, store_drill.Plan(outage_s=outage_s)
        )
        print(
            f"{outage_s:6}  {dict(outcome.statuses)}"
            f"  {outcome.slowest_ms:.0f}  {dict(outcome.calls)}"
        )


if __name__ == "__main__":
    fire.Fire(main)
