"""Formats the page that ``bench/quality.py`` writes."""

import statistics

HEADER = """# Cost at the quality target, exposure, false halts

`./build.sh bench quality`: fixed seeds, virtual time, the daemon's own
decisions and controllers; made-up difficulties and ratings. The same run
gives the baselines.
"""


def make_report(
    costs: list[dict],
    exposures: list[dict],
    halts: list[tuple[str, int, int]],
) -> str:
    """Format all three tables, with the goals that were met."""
    return "\n".join(
        [
            HEADER,
            *format_costs(costs),
            "",
            *format_exposures(exposures),
            "",
            *format_halts(halts),
            "",
        ]
    )


def format_costs(rows: list[dict]) -> list[str]:
    """Format the mean cost per request, with the quality in brackets."""
    lines = [
        "## Cost of a request at a target of 0.90",
        "",
        "After a warm-up of a third of 24,000 requests; a tenth is rated.",
        "The oracle knows each request's difficulty, runs one version, and",
        "is held to the quality that the learned plans reached. Hindsight",
        "is the best single plan for that quality, chosen afterwards.",
        "",
        "| requests | learned | fixed cascade | always cheap |"
        " always strong | hindsight | oracle | over oracle | goal 10% |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    for row in rows:
        marks = [
            f"{row[name][0]:.3f} ({row[name][1]:.3f})"
            for name in ("learned", "fixed", "cheap", "strong")
        ]
        met = "met" if row["over"] <= 0.10 else "missed"
        lines.append(
            f"| {row['workload']} | {' | '.join(marks)}"
            f" | {row['hindsight']:.3f} | {row['oracle']:.3f}"
            f" | {row['over']:+.1%} | {met} |"
        )
    return lines


def format_exposures(rows: list[dict]) -> list[str]:
    """Format answers exposed, by entry VMs and delay, next to the baseline."""
    lines = [
        "## Answers of a bad version before the halt is known everywhere",
        "",
        "20 requests a second over all, first stage of 5%, a budget of 12",
        "over all failure domains. The baseline gives 5% on every entry VM",
        "and halts at 15% bad of 20 ratings of one entry VM; its halt is",
        "then everywhere at once. Means over the seeds run.",
        "",
        "| version | entry VMs | ratings late by | seeds | exposed |"
        " seconds | baseline | share | goal 1/5 |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    groups: dict[tuple, list[dict]] = {}
    for row in rows:
        key = (row["kind"], row["delay_s"], row["count"])
        groups.setdefault(key, []).append(row)
    for (kind, delay_s, count), group in sorted(groups.items()):
        exposed = statistics.fmean(r["exposed"] for r in group)
        baseline = statistics.fmean(r["baseline"] for r in group)
        unhalted = any(r["seconds"] < 0 for r in group)
        seconds = statistics.fmean(r["seconds"] for r in group)
        met = "met" if exposed <= baseline / 5 and not unhalted else "missed"
        lines.append(
            f"| {kind} | {count} | {delay_s} s | {len(group)} |"
            f" {exposed:.0f} | {'never' if unhalted else f'{seconds:.0f}'} |"
            f" {baseline:.0f} | {exposed / baseline:.2f} | {met} |"
        )
    return lines


def format_halts(rows: list[tuple[str, int, int]]) -> list[str]:
    """Format false halts per 1,000 good roll-outs."""
    lines = [
        "## False halts of good roll-outs",
        "",
        "300 ratings of the new version each, tested at every bad one.",
        "",
        "| ratings | halted | of | per 1,000 | goal under 10 |",
        "|---|---|---|---|---|",
    ]
    for name, halted, total in rows:
        share = 1_000 * halted / total
        met = "met" if share < 10 else "missed"
        lines.append(f"| {name} | {halted} | {total} | {share:.1f} | {met} |")
    return lines
