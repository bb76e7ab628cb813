"""Good roll-outs that are halted."""

import random

import attrs

from carawayward.controllers import trial_groups
from carawayward.decisions import evidence
from carawayward.decisions import rollout
from carawayward import declaration
from carawayward import quality
from tests.common import quality_rig

RATED = 300
CUSTOMERS = ("delta-hosts", "oak-stage", "gulf-parishes")


@attrs.frozen(kw_only=True)
class RatingsScenario:
    """What the ratings are like; the version is as good as its baseline."""

    name: str
    bad: float = 0.05
    harsh_from: float = 1.0
    harsh: float = 0.0
    bad_first: bool = False


RATINGS_SCENARIOS = (
    RatingsScenario(name="5% bad, as the baseline"),
    RatingsScenario(name="15% bad, as the baseline", bad=0.15),
    RatingsScenario(
        name="half way all ratings turn harsher (20% more bad)",
        harsh_from=0.5,
        harsh=0.2,
    ),
    RatingsScenario(
        name="bad ratings arrive first, good ones a minute later",
        bad_first=True,
    ),
)


def count_false_halts(weather: RatingsScenario, first: int, count: int) -> int:
    """Good roll-outs that were halted, of ``count``."""
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
        is_halted(document, weather, seed)
        for seed in range(first, first + count)
    )


def is_halted(
    document: declaration.Declaration, weather: RatingsScenario, seed: int
) -> bool:
    """Play one good roll-out, testing at every bad rating."""
    draw = random.Random(f"{weather.name} {seed}")
    part = quality.QualityState()
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
    events = make_ratings(weather, draw)
    for _, at_ms, version, customer, task, good in events:
        key = evidence.Key(customer, task, version)
        for table, epoch_ms in (
            (part.trial_evidence, quality.TRIAL_EPOCH_MS),
            (part.recent_evidence, quality.RECENT_EPOCH_MS),
        ):
            table.add("vm-0", at_ms // epoch_ms, key, good)
        if version == "scribe-8" and not good:
            part.recent_evidence.forget(at_ms // quality.RECENT_EPOCH_MS)
            if trial_groups.find_worse_group(part, trial, document):
                return True
    return False


def make_ratings(
    weather: RatingsScenario, draw: random.Random
) -> list[tuple[int, int, str, str, str, bool]]:
    """Ratings in order of arrival: five of the baseline's to each one."""
    events = []
    total = 6 * RATED
    for number in range(total):
        at_ms = number * 1_500
        bad = weather.bad
        if number >= weather.harsh_from * total:
            bad = 1 - (1 - bad) * (1 - weather.harsh)
        good = draw.random() >= bad
        late = 60_000 if weather.bad_first and good else 0
        events.append(
            (
                at_ms + late,
                at_ms,
                "scribe-8" if draw.random() < 1 / 6 else "scribe-7",
                draw.choice(CUSTOMERS),
                draw.choice(("stage-note", "route-narrative")),
                good,
            )
        )
    return sorted(events)
