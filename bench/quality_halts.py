"""How often good roll-outs are halted."""

import random

import attrs

from carawayward.controllers import trial_groups
from carawayward.decisions import evidence
from carawayward.decisions import rollout
from carawayward import declaration
from carawayward import quality
from tests.common import quality_rig

RATINGS_PER_ROLLOUT = 300
CUSTOMERS = ("delta-hosts", "oak-stage", "gulf-parishes")


@attrs.frozen(kw_only=True)
class RatingsScenario:
    """How ratings behave; the new version is as good as its baseline.

    ``name`` also seeds the random numbers.
    """

    name: str
    bad: float = 0.05
    harsher_from: float = 1.0
    added_bad: float = 0.0
    bad_first: bool = False


RATINGS_SCENARIOS = (
    RatingsScenario(name="5% bad, as the baseline"),
    RatingsScenario(name="15% bad, as the baseline", bad=0.15),
    RatingsScenario(
        name="half way all ratings turn harsher (20% more bad)",
        harsher_from=0.5,
        added_bad=0.2,
    ),
    RatingsScenario(
        name="bad ratings arrive first, good ones a minute later",
        bad_first=True,
    ),
)


def count_false_halts(
    scenario: RatingsScenario, first: int, count: int
) -> int:
    """Number of good roll-outs, of ``count``, that were halted."""
    document = declaration.Declaration.from_config(
        quality_rig.make_document(
            [
                {
                    "share": 1.0,
                    "dwell_ms": 1,
                    "evidence": 1,
                    "exposure_budget": {"hall-a": 1},
                }
            ],
            CUSTOMERS,
        )
    )
    return sum(
        is_halted(document, scenario, seed)
        for seed in range(first, first + count)
    )


def is_halted(
    document: declaration.Declaration, scenario: RatingsScenario, seed: int
) -> bool:
    """Simulate one good roll-out, testing at every bad rating."""
    rng = random.Random(f"{scenario.name} {seed}")
    state = quality.QualityState()
    trial = quality.Trial(
        declared=document.rollouts[0],
        progress=rollout.Progress(base=1, stage=0),
        budget_key=quality.BudgetKey("scribe-8", 1, "hall-a"),
        share=1.0,
        budget=1,
        holders=("vm-0",),
        members=1,
        open=True,
    )
    events = make_ratings(scenario, rng)
    for _, at_ms, version, customer, task, good in events:
        key = evidence.Key(customer, task, version)
        for table, epoch_ms in (
            (state.trial_evidence, quality.TRIAL_EPOCH_MS),
            (state.recent_evidence, quality.RECENT_EPOCH_MS),
        ):
            table.add("vm-0", at_ms // epoch_ms, key, good)
        if version == "scribe-8" and not good:
            state.recent_evidence.forget(at_ms // quality.RECENT_EPOCH_MS)
            if trial_groups.find_worse_group(state, trial, document):
                return True
    return False


def make_ratings(
    scenario: RatingsScenario, rng: random.Random
) -> list[tuple[int, int, str, str, str, bool]]:
    """Ratings in order of arrival: five of the baseline to each new one."""
    events = []
    total = 6 * RATINGS_PER_ROLLOUT
    for number in range(total):
        at_ms = number * 1_500
        bad = scenario.bad
        if number >= scenario.harsher_from * total:
            bad = 1 - (1 - bad) * (1 - scenario.added_bad)
        good = rng.random() >= bad
        late = 60_000 if scenario.bad_first and good else 0
        events.append(
            (
                at_ms + late,
                at_ms,
                "scribe-8" if rng.random() < 1 / 6 else "scribe-7",
                rng.choice(CUSTOMERS),
                rng.choice(("stage-note", "route-narrative")),
                good,
            )
        )
    return sorted(events)
