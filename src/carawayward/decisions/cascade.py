"""Which models of a cascade a request goes through.

For traffic of mixed difficulty, most of which the cheap model answers well
enough. Too cheap a plan gives answers below the task's target; too strong a
one costs more than needed, and donations pay for it. A plan is chosen for its
cost only once ratings prove that it meets the target. Until then, and whenever
the ratings service does not answer, the declared plan applies.
"""

import typing

import attrs

from carawayward.decisions import evidence as evidence_module
from carawayward import declaration

# Probability that a chosen plan misses the target although its lower bound
# meets it.
MISS_PROBABILITY = 0.05
# With fewer ratings of the cheap version, plans are not estimated.
MIN_RATINGS = 30.0
# Share of the deadline that the 95th percentile time of a plan's steps may
# take; the rest is for queueing and for one more attempt.
DEADLINE_SHARE = 0.8


@attrs.frozen
class Step:
    """Run ``version``; accept its answer if it is confident enough.

    ``accept_at`` is ``None`` for the last step, whose answer is always
    accepted.
    """

    model: str
    version: str
    accept_at: float | None


@attrs.frozen(kw_only=True)
class Candidate:
    """A plan with its estimated cost for one request and quality bounds."""

    steps: tuple[Step, ...]
    cost: float
    lower: float
    upper: float
    latency_ms: float = 0.0


@attrs.frozen(kw_only=True)
class CascadeRatings:
    """Ratings of the cheap and the strong version of one cascade.

    ``bands`` holds the cheap version's ratings by its own confidence, whether
    or not its answer was used. ``strong_count`` holds the strong version's
    ratings for requests that the check escalated.
    """

    cheap: declaration.Version
    strong: declaration.Version
    bands: tuple[evidence_module.Count, ...]
    strong_count: evidence_module.Count


def choose_version(
    model: declaration.Model, pins: typing.Mapping[str, str]
) -> declaration.Version | None:
    """The session's pinned version of a model, or else the active one.

    Returns ``None`` if the pinned version is withdrawn: a session keeps its
    version or ends, and is never moved to another.
    """
    pinned = pins.get(model.name)
    if pinned is not None:
        for version in model.versions:
            if version.name == pinned:
                withdrawn = declaration.VersionState.WITHDRAWN
                return None if version.state is withdrawn else version
        return None
    for version in model.versions:
        if version.state is declaration.VersionState.ACTIVE:
            return version
    return None


def make_plan(
    task: declaration.Task,
    models: dict[str, declaration.Model],
    allowed: frozenset[str],
    pins: typing.Mapping[str, str],
) -> list[Step]:
    """The declared plan of a task: cheap version, check, strong version.

    Models that the customer may not use, or that have no version to run, are
    left out. An empty plan means that nothing may run.
    """
    usable = []
    for name in task.cascade:
        version = choose_version(models[name], pins)
        if name in allowed and version is not None:
            usable.append((name, version.name))
    if task.check is None:
        usable = usable[:1]
    accept_at = task.check.confidence if task.check else None
    last = len(usable) - 1
    return [
        Step(model, version, None if index == last else accept_at)
        for index, (model, version) in enumerate(usable)
    ]


def list_candidates(
    declared: list[Step], parts: CascadeRatings
) -> list[Candidate]:
    """Cheap version alone, the check at each threshold, strong alone."""
    cheap, strong = declared[0], declared[-1]
    alone = attrs.evolve(cheap, accept_at=None)
    found = [estimate(parts, 0, (alone,)), estimate_strong(parts, (strong,))]
    for band in range(1, evidence_module.BANDS):
        accept_at = band / evidence_module.BANDS
        checked = attrs.evolve(cheap, accept_at=accept_at)
        found.append(estimate(parts, band, (checked, strong)))
    return found


def estimate(
    parts: CascadeRatings, first_band: int, steps: tuple[Step, ...]
) -> Candidate:
    """Cost and quality when answers from ``first_band`` upwards are accepted.

    The ratings of both versions are combined in the proportion in which
    requests reach them. The sample size of the bound is that of the version
    with the fewest ratings for its part, so the bound holds for the mixture: a
    well-rated cheap version cannot make up for an unrated strong one.
    """
    none = evidence_module.Count()
    accepted = sum(parts.bands[first_band:], none)
    total = sum(parts.bands, none).total
    if total < MIN_RATINGS:
        return Candidate(steps=steps, cost=0.0, lower=0.0, upper=1.0)
    accepted_part = accepted.total / total
    escalated_part = 1 - accepted_part
    quality, samples = 0.0, total
    if accepted_part:
        quality += accepted_part * accepted.good / accepted.total
    if escalated_part > 0:
        count = parts.strong_count
        if not count.total:
            return Candidate(steps=steps, cost=0.0, lower=0.0, upper=1.0)
        quality += escalated_part * count.good / count.total
        samples = min(total, count.total / escalated_part)
    lower = evidence_module.compute_lower_bound(
        quality, samples, MISS_PROBABILITY
    )
    upper = evidence_module.compute_upper_bound(
        quality, samples, MISS_PROBABILITY
    )
    cost = parts.cheap.cost + escalated_part * parts.strong.cost
    return Candidate(steps=steps, cost=cost, lower=lower, upper=upper)


def estimate_strong(
    parts: CascadeRatings, steps: tuple[Step, ...]
) -> Candidate:
    """The strong version alone, estimated from escalated requests.

    Escalated requests are no easier than the overall mix, so the lower bound
    is not too high.
    """
    count = parts.strong_count
    quality = count.good / count.total if count.total else 0.0
    return Candidate(
        steps=steps,
        cost=parts.strong.cost,
        lower=evidence_module.compute_lower_bound(
            quality, count.total, MISS_PROBABILITY
        ),
        upper=evidence_module.compute_upper_bound(
            quality, count.total, MISS_PROBABILITY
        ),
    )


def choose_plan(
    declared: list[Step], parts: CascadeRatings | None, target: float
) -> list[Step]:
    """The cheapest plan proven to meet the target, or the declared one.

    ``parts`` is ``None`` while ratings are missing. If the ratings prove that
    the declared plan misses the target, and no plan is proven to meet it, the
    strong version answers alone: quality takes precedence over cost while this
    is uncertain.
    """
    if parts is None or len(declared) < 2:
        return declared
    candidates = list_candidates(declared, parts)
    proven = [c for c in candidates if c.lower >= target]
    if proven:
        return list(min(proven, key=lambda c: (c.cost, -c.lower)).steps)
    accept_at = declared[0].accept_at or 0.0
    band = evidence_module.find_band(accept_at)
    current = estimate(parts, band, tuple(declared))
    if current.upper < target:
        return [declared[-1]]
    return declared


def fit_deadline(
    steps: list[Step],
    usual_ms: typing.Mapping[str, float],
    left_ms: float,
) -> list[Step]:
    """Drop the check when there is not enough time for both answers.

    A request that escalates takes the time of two answers. If the 95th
    percentile times of both do not fit into the remaining time, the strong
    version answers alone; if that does not fit either and the cheap one is
    faster, the cheap one does, since a late answer is useless.
    """
    times = [usual_ms.get(step.version, 0.0) for step in steps]
    allowed = left_ms * DEADLINE_SHARE
    if len(steps) < 2 or sum(times) <= allowed:
        return steps
    if times[-1] <= allowed or times[-1] <= times[0]:
        return [steps[-1]]
    return [attrs.evolve(steps[0], accept_at=None)]
