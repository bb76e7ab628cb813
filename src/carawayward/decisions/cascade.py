"""Which models of a cascade a request goes through.

Made for traffic of mixed difficulty whose cheap answers mostly suffice.
The harm of a plan too cheap is answers below the task's target; of one too
strong, cost that donations pay. A plan is chosen for what it costs only
once ratings prove that it meets the target; until then, and whenever the
ratings service is silent, the declared plan stands.
"""

import typing

import attrs

from carawayward.decisions import evidence as evidence_module
from carawayward import declaration

# Chance that a chosen plan misses the target although its bound meets it.
MISS_PROBABILITY = 0.05
# Under this many ratings of a cascade's parts nothing is learned from them.
MIN_RATINGS = 30.0
# Share of a deadline that the usual (95th percentile) time of a plan's
# steps may take; the rest is for queueing and for one more attempt.
DEADLINE_SHARE = 0.8


@attrs.frozen
class Step:
    """Run ``version``; accept its answer if it is confident enough.

    ``accept_at`` is None for the last step, whose answer always stands.
    """

    model: str
    version: str
    accept_at: float | None


@attrs.frozen(kw_only=True)
class Candidate:
    """A plan and what is known of it; ``cost`` is that of one request."""

    steps: tuple[Step, ...]
    cost: float
    lower: float
    upper: float
    latency_ms: float = 0.0


@attrs.frozen(kw_only=True)
class CascadeRatings:
    """What ratings say of a cheap and a strong version of one cascade.

    ``bands`` are the cheap version's ratings by its own confidence,
    whether its answer was used or not. ``strong`` are those of requests
    that a check sent on, or of all where none were.
    """

    cheap: declaration.Version
    strong: declaration.Version
    bands: tuple[evidence_module.Count, ...]
    strong_count: evidence_module.Count


def choose_version(
    model: declaration.Model, pins: typing.Mapping[str, str]
) -> declaration.Version | None:
    """The session's version of a model, or the current one.

    A pinned version that is withdrawn gives None: a session keeps its
    version or ends, it is never moved to another.
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
    """The declared plan of a task: cheap, checked, then strong.

    Models that the customer may not use, or that have no version to run,
    are left out; an empty plan means that nothing may run.
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
    """Cheap alone, the check at every threshold, and strong alone."""
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
    """Cost and quality when answers from ``first_band`` on are accepted.

    Both parts' ratings are taken in the proportion in which requests meet
    them: as many as the scarcer part allows. The bound then holds for the
    mixture, and a well rated cheap part cannot hide an unrated strong one.
    """
    none = evidence_module.Count()
    accepted = sum(parts.bands[first_band:], none)
    total = sum(parts.bands, none).total
    if total < MIN_RATINGS:
        return Candidate(steps=steps, cost=0.0, lower=0.0, upper=1.0)
    passed = accepted.total / total
    sent_on = 1 - passed
    quality, samples = 0.0, total
    if passed:
        quality += passed * accepted.good / accepted.total
    if sent_on > 0:
        count = parts.strong_count
        if not count.total:
            return Candidate(steps=steps, cost=0.0, lower=0.0, upper=1.0)
        quality += sent_on * count.good / count.total
        samples = min(total, count.total / sent_on)
    lower = evidence_module.compute_lower_bound(
        quality, samples, MISS_PROBABILITY
    )
    upper = evidence_module.compute_upper_bound(
        quality, samples, MISS_PROBABILITY
    )
    cost = parts.cheap.cost + sent_on * parts.strong.cost
    return Candidate(steps=steps, cost=cost, lower=lower, upper=upper)


def estimate_strong(
    parts: CascadeRatings, steps: tuple[Step, ...]
) -> Candidate:
    """Strong alone, judged by what checks sent on to it.

    Those requests are no easier than the mix, so the bound is not too high.
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
    """The cheapest plan that ratings prove, else the declared one.

    ``parts`` is None while ratings are missing. If they prove that the
    declared plan misses the target and prove no other, the strongest
    version answers: quality first, for as long as the doubt lasts.
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
    """Leave out the check when there is no time for both answers.

    A cascade that escalates takes the time of two answers. When the usual
    time of both does not fit what is left of the deadline, the strong
    version answers alone; when that does not fit either, the cheap one: a
    late answer helps nobody.
    """
    times = [usual_ms.get(step.version, 0.0) for step in steps]
    allowed = left_ms * DEADLINE_SHARE
    if len(steps) < 2 or sum(times) <= allowed:
        return steps
    if times[-1] <= allowed or times[-1] <= times[0]:
        return [steps[-1]]
    return [attrs.evolve(steps[0], accept_at=None)]
