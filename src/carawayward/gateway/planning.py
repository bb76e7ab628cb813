"""Chooses versions and plans from what this entry VM has learned.

Reads and writes the blackboard's part on quality; asks nobody, so that a
request waits for no one, in a partition neither.
"""

import typing

import attrs

from carawayward import blackboard as blackboard_module
from carawayward.decisions import cascade
from carawayward.decisions import evidence
from carawayward.decisions import exposure
from carawayward import declaration
from carawayward import quality

# A task that goes to the strong version alone shows nothing of the cheap
# one. This share still takes the declared plan, whose check is safe.
EXPLORED_SHARE = 0.02
# The usual time of a version's answers: a running 95th percentile, moved
# by a share of itself with each answer.
USUAL_STEP = 0.05
USUAL_QUANTILE = 0.95


@attrs.frozen(kw_only=True)
class Plan:
    """The steps to run, and the unproven versions that they spend for."""

    steps: list[cascade.Step]
    spending: frozenset[str] = frozenset()


def choose_pins(
    board: blackboard_module.Blackboard,
    customer: declaration.Customer,
    subject: str,
    answers: int | None = None,
) -> dict[str, str]:
    """Versions by model for a session, or for one request without one.

    ``subject`` is the session's id or the request's key. ``answers`` is
    what the pins will be used for; by default a session's usual number.
    An unproven version spends that much of its budget here.
    """
    config = board.config
    assert config is not None
    pins = {}
    for name in customer.models:
        model = config.models[name]
        version = cascade.choose_version(model, {})
        trial = board.quality.trials.get(name)
        if trial is not None:
            picked = config.versions[_pick(board, trial, subject, answers)]
            if picked.state is not declaration.VersionState.WITHDRAWN:
                version = picked
        if version is not None:
            pins[name] = version.name
    return pins


def _pick(
    board: blackboard_module.Blackboard,
    trial: quality.Trial,
    subject: str,
    answers: int | None,
) -> str:
    declared = trial.declared
    if trial.progress.halted or trial.progress.stage < 0:
        return declared.from_version
    if trial.done:
        return declared.to_version if trial.open else declared.from_version
    if not trial.open or board.name not in trial.holders:
        return declared.from_version
    wanted = declared.session_answers if answers is None else answers
    if find_room(board, trial) < wanted:
        return declared.from_version
    if not exposure.is_assigned_to_canary(
        subject,
        declared.to_version,
        trial.share,
        trial.members,
        len(trial.holders),
    ):
        return declared.from_version
    spend(board, trial, wanted)
    return declared.to_version


def find_room(
    board: blackboard_module.Blackboard, trial: quality.Trial
) -> float:
    """Answers that this entry VM may still give by a trial's version."""
    accounts = board.quality.accounts.get(trial.account, {})
    return exposure.compute_remaining_budget(
        trial.budget,
        accounts,
        board.incarnation,
        len(trial.holders),
        trial.holders.index(board.name),
    )


def spend(
    board: blackboard_module.Blackboard, trial: quality.Trial, answers: int
) -> None:
    """Note answers of an unproven version before they are given."""
    accounts = board.quality.accounts.setdefault(trial.account, {})
    own = accounts.get(board.incarnation, exposure.ExposureAccount())
    accounts[board.incarnation] = exposure.spend(own, answers)


def choose_plan(
    board: blackboard_module.Blackboard,
    customer: declaration.Customer,
    task: declaration.Task,
    request_key: str,
    pins: dict[str, str],
    left_ms: float,
) -> Plan:
    """The plan of one request; no steps when no version may run."""
    config = board.config
    assert config is not None
    allowed = frozenset(customer.models)
    part = board.quality
    if not pins:
        mine = attrs.evolve(
            customer, models=[m for m in task.cascade if m in allowed]
        )
        pins = choose_pins(board, mine, request_key, 1)
        spending = _list_unproven(part, pins.values())
    else:
        used = [pins[name] for name in task.cascade if name in pins]
        spending = _list_unproven(part, used)
        for version in spending:
            trial = part.find_trial(version)
            if trial is not None:
                spend(board, trial, 1)
    declared = cascade.make_plan(task, config.models, allowed, pins)
    steps = _choose_steps(board, customer, task, request_key, declared)
    steps = cascade.fit_deadline(steps, part.usual_ms, left_ms)
    return Plan(steps=steps, spending=spending)


def _list_unproven(
    part: quality.QualityPart, versions: typing.Iterable[str]
) -> frozenset[str]:
    return frozenset(v for v in versions if part.find_trial(v) is not None)


def _choose_steps(
    board: blackboard_module.Blackboard,
    customer: declaration.Customer,
    task: declaration.Task,
    request_key: str,
    declared: list[cascade.Step],
) -> list[cascade.Step]:
    part = board.quality
    if len(declared) < 2 or not part.ratings_usable:
        return declared
    versions = (declared[0].version, declared[-1].version)
    cache_key = (customer.name, task.name, *versions)
    chosen = part.plans.get(cache_key)
    if chosen is None:
        parts = read_parts(board, customer.name, task.name, versions)
        chosen = cascade.choose_plan(declared, parts, task.target)
        part.plans[cache_key] = chosen
    alone = chosen == [declared[-1]]
    if alone and exposure.rank(request_key, "explore") < (
        EXPLORED_SHARE * 2.0**64
    ):
        return declared
    return chosen


def read_parts(
    board: blackboard_module.Blackboard,
    customer: str,
    task: str,
    versions: tuple[str, str],
) -> cascade.CascadeRatings:
    """What ratings say of a customer's cascade, decayed to now."""
    config = board.config
    assert config is not None
    known = board.quality.evidence

    def count(version: str, band: int, escalated: bool) -> evidence.Count:
        generation = board.quality.find_generation(version)
        key = evidence.Key(
            customer, task, version, band, escalated, generation
        )
        return evidence.decay(known.totals.get(key, {}), known.newest)

    bands = range(evidence.BANDS)
    sent_on = [count(versions[1], band, True) for band in bands]
    return cascade.CascadeRatings(
        cheap=config.versions[versions[0]],
        strong=config.versions[versions[1]],
        bands=tuple(count(versions[0], band, False) for band in bands),
        strong_count=sum(sent_on, evidence.Count()),
    )


def record_answer(
    board: blackboard_module.Blackboard,
    sample: quality.SampledAnswer,
    rated_share: float,
    took_ms: float,
) -> None:
    """Learn from one step's answer, and send it to be rated if sampled.

    Every answer of an unproven version is; a cheap answer that the check
    sent on is sampled like any other, so that what its threshold keeps
    back is known at no extra run.
    """
    part = board.quality
    version = sample.key.version
    usual = part.usual_ms.get(version, took_ms)
    above = took_ms > usual
    pull = USUAL_QUANTILE if above else USUAL_QUANTILE - 1
    part.usual_ms[version] = max(1.0, usual * (1 + USUAL_STEP * pull))
    unproven = part.find_trial(version) is not None
    drawn = exposure.rank(sample.answer_id, "rate") < rated_share * 2.0**64
    if unproven or drawn:
        generation = part.find_generation(version)
        key = attrs.evolve(sample.key, generation=generation)
        part.put(attrs.evolve(sample, key=key))


def release(
    board: blackboard_module.Blackboard, plan: Plan, ran: typing.Iterable[str]
) -> None:
    """Give back what was spent for unproven versions that did not run."""
    for version in plan.spending - set(ran):
        trial = board.quality.find_trial(version)
        if trial is None:
            continue
        accounts = board.quality.accounts.get(trial.account, {})
        own = accounts.get(board.incarnation, exposure.ExposureAccount())
        accounts[board.incarnation] = exposure.earn(own, 1)
