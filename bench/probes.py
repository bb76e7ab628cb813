"""Measures what probing endpoints costs an entry VM.

``./build.sh bench probes`` runs one idle entry VM with increasing numbers
of endpoints and reads its CPU time over a fixed period from /proc.
"""

import os
import pathlib
import time

import attrs

from bench import fitting
from tests.common import deployment

SIZES = (4, 16, 40)
SETTLE_S = 4.0
MEASURED_S = 10.0
RESULTS = pathlib.Path("bench/results/probes.md")


def read_cpu_ms(pid: int) -> float:
    """Read the CPU time of a process, in ms."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) * 1000 / os.sysconf("SC_CLK_TCK")


def measure_share(endpoints: int) -> float:
    """Measure the percentage of a core that an idle entry VM uses."""
    pool = deployment.Pool(
        name="matchers", count=endpoints, versions=("sorter-3",)
    )
    plan = attrs.evolve(deployment.ODUYA, entry_vms=1, pools=(pool,))
    with deployment.Deployment(plan) as running:
        process = running.entry_vms[0].process
        assert process is not None
        time.sleep(SETTLE_S)
        before = read_cpu_ms(process.pid)
        time.sleep(MEASURED_S)
        used_ms = read_cpu_ms(process.pid) - before
    return used_ms / (MEASURED_S * 1000) * 100


def main() -> None:
    """Measure at each size and write the fitted line."""
    line = fitting.measure(
        "idle node: share of a core",
        "%",
        "endpoint probed",
        SIZES,
        measure_share,
    )
    table = fitting.format_lines([line])
    points = ", ".join(f"{x:g}: {y:.2f}%" for x, y in line.points)
    print(table, points, sep="\n")
    RESULTS.write_text(
        "# What watching endpoints costs\n\n`./build.sh bench probes`, one "
        f"entry VM, no load, {MEASURED_S:g} s each.\n\n{table}\n\n{points}\n"
    )


if __name__ == "__main__":
    main()
