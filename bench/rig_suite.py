"""The simulated scenarios, and the parts to switch off in each."""

import statistics

import attrs

from bench import rig_node
from bench import rig_scenarios

SEEDS = (1, 2, 3)
BASELINES = ("round robin", "random", "two choices", "least in flight")
FROM_6_S = (6_000.0, 10_000.0)


def make_suite() -> list[tuple[rig_scenarios.Scenario, tuple[str, ...]]]:
    """Make the scenarios, each with the parts whose effect it shows."""
    scenario = rig_scenarios.Scenario
    broken = {number: ("breaks", 1.0) for number in range(10)}
    return [
        (scenario(name="calm (0.7x)"), ("limits", "two choices", "hedging")),
        (
            scenario(name="bursts", load=0.8, burst=3.0),
            ("limits", "reports", "local"),
        ),
        (
            scenario(name="skewed customers", load=1.2, skew=True),
            ("fairness", "credit"),
        ),
        (
            scenario(name="uneven entry VMs", load=0.8, uneven=True),
            ("reports", "local"),
        ),
        (
            scenario(name="short and long, 2x", load=2.0, mixed=True),
            ("hopeless", "deadlines"),
        ),
        (
            scenario(name="near and far deadlines", load=1.3, urgent=True),
            ("deadlines", "hopeless"),
        ),
        (
            scenario(name="saturation 1x", load=1.0, comebacks=1.0),
            ("fairness", "refusal", "limits"),
        ),
        (
            scenario(name="saturation 2x", load=2.0, comebacks=1.0),
            (
                *("fairness", "refusal", "limits", "hopeless"),
                *("part", "promises", "credit"),
            ),
        ),
        (
            scenario(name="saturation 5x", load=5.0),
            ("fairness", "refusal", "limits"),
        ),
        (
            scenario(
                name="bursts past capacity",
                load=1.3,
                burst=4.0,
                comebacks=1.0,
            ),
            ("promises",),
        ),
        (
            scenario(name="one slow endpoint", faults={3: ("slow", 6.0)}),
            ("ejection", "hedging"),
        ),
        (
            scenario(name="one fails fast", faults={3: ("fails", 1.0)}),
            ("ejection", "budget"),
        ),
        (
            scenario(name="one hangs", faults={3: ("hung", 1.0)}),
            ("ejection", "hedging"),
        ),
        (
            scenario(name="retry storm", faults=broken, fault_ms=FROM_6_S),
            ("budget", "ejection"),
        ),
        (
            scenario(name="domain cut off", load=0.5, cut=True),
            ("local", "ejection", "hedging"),
        ),
        (
            scenario(name="crashing request", crash_interval_ms=500.0),
            ("suspects",),
        ),
        (
            scenario(name="200 prefixes", prefixes=200),
            ("affinity", "bound", "reports"),
        ),
        (
            scenario(
                name="40 entry VMs, 2 s late",
                load=0.9,
                nodes=40,
                lag_ms=2_000.0,
            ),
            ("two choices", "reports"),
        ),
    ]


def make_lag_suite() -> list[rig_scenarios.Scenario]:
    """Make scenarios with load reports that are 0 to 5 s late."""
    return [
        rig_scenarios.Scenario(
            name=f"{lag / 1000:g} s late",
            load=0.8,
            burst=2.0,
            nodes=16,
            lag_ms=float(lag),
        )
        for lag in (0, 500, 1_000, 2_000, 5_000)
    ]


def make_load_suite() -> list[rig_scenarios.Scenario]:
    """Make scenarios with demand of 0.5 to 5 times capacity, for the plot."""
    return [
        rig_scenarios.Scenario(name=f"{load}x", load=load)
        for load in (0.5, 0.8, 1.0, 1.3, 2.0, 3.0, 5.0)
    ]


def make_policies(parts: tuple[str, ...]) -> list[rig_node.Policy]:
    """Make the baselines, the product's policy, and it without each part."""
    policies = [rig_node.Policy(name, name) for name in BASELINES]
    policies.append(rig_node.Policy("own"))
    for part in parts:
        name = f"own without {part}"
        policies.append(rig_node.Policy(name, "own", frozenset([part])))
    return policies


def make_pairs() -> list[tuple[rig_scenarios.Scenario, rig_node.Policy]]:
    """Make every pair of scenario and policy, with every seed."""
    single = [
        (scenario, policy)
        for scenario, parts in make_suite()
        for policy in make_policies(parts)
    ]
    single += [
        (scenario, policy)
        for scenario in make_lag_suite()
        for policy in make_policies(("two choices", "reports"))
    ]
    single += [
        (scenario, policy)
        for scenario in make_load_suite()
        for policy in make_policies(())
    ]
    return [
        (attrs.evolve(scenario, seed=seed), policy)
        for scenario, policy in single
        for seed in SEEDS
    ]


def average(
    results: list[rig_scenarios.Result],
) -> dict[tuple[str, str], rig_scenarios.Result]:
    """Average over seeds, by scenario and policy; ``kills``: the maximum."""
    groups: dict[tuple[str, str], list[rig_scenarios.Result]] = {}
    for result in results:
        key = (result.scenario, result.policy)
        groups.setdefault(key, []).append(result)
    means = {}
    for key, group in groups.items():
        mean = rig_scenarios.Result(scenario=key[0], policy=key[1])
        for field in attrs.fields(rig_scenarios.Result)[2:]:
            values = [getattr(result, field.name) for result in group]
            known = [value for value in values if value is not None]
            if field.name == "kills":
                mean.kills = max(known)
            elif known:
                setattr(mean, field.name, statistics.fmean(known))
        means[key] = mean
    return means
