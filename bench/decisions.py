"""Benchmark of the load-dependent decisions: ``./build.sh bench decisions``.

Runs every load of the suite with every policy, three seeds each, and writes
tables and plots to bench/results/. Apart from the times for one decision, the
results do not depend on the machine.
"""

import concurrent.futures
import pathlib
import time

import matplotlib
import matplotlib.pyplot as plt

from bench import rig_scenarios
from bench import rig_suite
from bench import rig_timing

COMMAND = "./build.sh bench decisions"
RESULTS = pathlib.Path("bench/results")
WORKERS = 4
Means = dict[tuple[str, str], rig_scenarios.Result]

HEADER = (
    "| policy | in time | small in time | p50 ms | p99 ms | goodput "
    "| equal shares | refused | told true | wasted | load | hits | kills |\n"
    "|---|---|---|---|---|---|---|---|---|---|---|---|---|\n"
)
LEGEND = """\
10 engines of 8 slots, 8 entry VMs in 4 failure domains, 10 customers of
whom two have weight 4; virtual time, 16 s measured after 4 s, mean of seeds
1 to 3. Small customers request 0.7 of their share, the large ones the rest.
In time: share answered before the deadline of 3 s; refused requests count
as not in time. p50 and p99: latency of all admitted requests, late ones
counted at their deadline. Goodput: tokens of complete answers over the
engines' capacity. Equal shares: the lower of the two large customers' work
over the higher. Told true: of callers that retried at the given time, the
share then answered in time. Wasted: runs whose answer reached nobody. Load:
the busiest engine's mean load over the mean of all. Hits: cache hits over
the best possible with one shared cache. Kills: engines crashed, the maximum
of the three seeds.
"""


def main() -> None:
    """Run all trials, write the tables and draw the plots."""
    began = time.monotonic()
    timings = rig_timing.time_all()
    pairs = rig_suite.make_pairs()
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        results = list(pool.map(rig_scenarios.run_trial, pairs, chunksize=8))
    means = rig_suite.average(results)
    parts = ["# Decisions under load\n", f"Made by `{COMMAND}`.\n", LEGEND]
    parts.append(make_goals(means, timings))
    for scenario, policies in rig_suite.make_suite():
        names = [p.name for p in rig_suite.make_policies(policies)]
        parts.append(make_table(means, scenario.name, names))
    for scenario in rig_suite.make_lag_suite():
        names = [
            policy.name
            for policy in rig_suite.make_policies(("two choices", "reports"))
        ]
        parts.append(make_table(means, f"{scenario.name}", names))
    parts.append(make_timing_table(timings))
    parts.append(
        "![goodput and small customers over demand](decisions-load.png)\n\n"
        "![p99 over the lag of load reports](decisions-lag.png)\n"
    )
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "decisions.md").write_text("\n".join(parts))
    draw_plots(means)
    taken = time.monotonic() - began
    print(f"{len(pairs)} trials in {taken:.0f} s: {RESULTS}/decisions.md")


def make_goals(means: Means, timings: list[rig_timing.Timing]) -> str:
    """The table of goals with measured values, met or missed."""
    twice = means["saturation 2x", "own"]
    calm = means["calm (0.7x)", "own"].p99
    slow = means["one slow endpoint", "own"].p99
    cache = means["200 prefixes", "own"]
    kills = means["crashing request", "own"].kills
    late = max(timing.p99 for timing in timings[:3])
    hits = cache.hits or 0.0
    rows = [
        ("goodput at 2x", twice.goodput, ">= 0.95", twice.goodput >= 0.95),
        (
            "small customers in time at 2x",
            twice.small_in_time,
            ">= 0.99",
            twice.small_in_time >= 0.99,
        ),
        ("p99, slow over calm", slow / calm, "<= 1.2", slow <= 1.2 * calm),
        ("endpoints crashed", float(kills), "<= 2", kills <= 2),
        ("cache hits over best", hits, ">= 0.9", hits >= 0.9),
        (
            "load, most over mean",
            cache.balance,
            "< 1.25",
            cache.balance < 1.25,
        ),
        ("one decision, p99 in us", late, "< 50", late < 50.0),
    ]
    lines = [
        "## Goals\n",
        "| goal | measured | wanted | |",
        "|---|---|---|---|",
    ]
    lines += [
        f"| {name} | {value:.3f} | {wanted} | {'met' if met else 'MISSED'} |"
        for name, value, wanted, met in rows
    ]
    return "\n".join(lines) + "\n"


def make_table(means: Means, scenario: str, policies: list[str]) -> str:
    """The table of one load."""
    rows = [f"## {scenario}\n", HEADER.rstrip()]
    for policy in policies:
        r = means[scenario, policy]
        told = "" if r.told_true is None else f"{r.told_true:.3f}"
        hits = "" if r.hits is None else f"{r.hits:.3f}"
        rows.append(
            f"| {policy} | {r.in_time:.3f} | {r.small_in_time:.3f} "
            f"| {r.p50:.0f} | {r.p99:.0f} | {r.goodput:.3f} "
            f"| {r.fairness:.2f} | {r.refused:.3f} | {told} "
            f"| {r.wasted:.3f} | {r.balance:.2f} | {hits} | {r.kills} |"
        )
    return "\n".join(rows) + "\n"


def make_timing_table(timings: list[rig_timing.Timing]) -> str:
    """The table of times for one decision."""
    rows = [
        "## Time for one decision\n",
        "Admission, queueing and placement of one request with a prefix key, "
        f"{rig_timing.DECISIONS:,} of them, on this machine.\n",
        "| fleet | can serve | p50 us | p99 us | making the index, ms |",
        "|---|---|---|---|---|",
    ]
    rows += [
        f"| {t.name} | {t.serving} | {t.p50:.1f} | {t.p99:.1f} "
        f"| {t.index_ms:.1f} |"
        for t in timings
    ]
    return "\n".join(rows) + "\n"


def draw_plots(means: Means) -> None:
    """Plot goodput over demand and p99 over the lag of load reports."""
    matplotlib.use("Agg")
    policies = [p.name for p in rig_suite.make_policies(())]
    figure, axes = plt.subplots(1, 2, figsize=(9, 3.2), sharex=True)
    loads = rig_suite.make_load_suite()
    for policy in policies:
        found = [means[scenario.name, policy] for scenario in loads]
        demand = [scenario.load for scenario in loads]
        axes[0].plot(demand, [r.goodput for r in found], label=policy)
        axes[1].plot(demand, [r.small_in_time for r in found])
    axes[0].set(xlabel="demand / capacity", ylabel="goodput / capacity")
    axes[1].set(xlabel="demand / capacity", ylabel="small, in time")
    axes[0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(RESULTS / "decisions-load.png", dpi=80)
    figure, axis = plt.subplots(figsize=(5, 3.2))
    lags = rig_suite.make_lag_suite()
    for policy in policies:
        found = [means[scenario.name, policy] for scenario in lags]
        lags_s = [scenario.lag_ms / 1000 for scenario in lags]
        axis.plot(lags_s, [r.p99 for r in found], label=policy)
    axis.set(xlabel="lag of load reports, s", ylabel="p99, ms")
    axis.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(RESULTS / "decisions-lag.png", dpi=80)


if __name__ == "__main__":
    main()
