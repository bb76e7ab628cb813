"""Chooses versions and plans from this entry VM's local state.

Reads and writes the blackboard's quality part. Nothing is asked over the
network, so planning never delays a request, not even in a partition.
"""

import typing

import attrs

from carawayward import blackboard as blackboard_module
from carawayward.decisions import cascade
from carawayward.decisions import evidence
from carawayward.decisions import exposure
from carawayward import declaration
from carawayward import quality

# While a task goes to the strong version alone, nothing is learned about
# the cheap one. This share of its requests still takes the declared plan,
# which is safe since it checks the cheap answer.
EXPLORATION_SHARE = 0.02
# The usual time of a version's answers is a running estimate of their 95th
# percentile. Each answer moves it by at most this share of itself.
PERCENTILE_STEP = 0.05
PERCENTILE = 0.95


@attrs.frozen(kw_only=True)
class Plan:
    """The steps to run.

    ``charged_versions`` are the versions under roll-out whose exposure
    budget has been charged for this request.
    """

    steps: list[cascade.Step]
    charged_versions: frozenset[str] = frozenset()


def choose_pins(
    board: blackboard_module.Blackboard,
    customer: declaration.Customer,
    subject: str,
    answers: int | None = None,
) -> dict[str, str]:
    """Choose a version of each model for a session or a single request.

    ``subject`` is the session's id or the request's key. ``answers`` is the
    number of answers that the pins will be used for, by default that of a
    usual session. A version under roll-out is charged for that many.
    """
    config = board.config
    assert config is not None
    pins = {}
    for name in customer.models:
        model = config.models[name]
        version = cascade.choose_version(model, {})
        trial = board.quality.trials.get(name)
        if trial is not None:
            candidate = config.versions[
                _choose_rollout_version(board, trial, subject, answers)
            ]
            if candidate.state is not declaration.VersionState.WITHDRAWN:
                version = candidate
        if version is not None:
            pins[name] = version.name
    return pins


def _choose_rollout_version(
    board: blackboard_module.Blackboard,
    trial: quality.Trial,
    subject: str,
    answers: int | None,
) -> str:
    """The old or new version of a roll-out; charges the new one's budget."""
    declared = trial.declared
    if trial.progress.halted or trial.progress.stage < 0:
        return declared.from_version
    if trial.done:
        return declared.to_version if trial.open else declared.from_version
    if not trial.open or board.name not in trial.holders:
        return declared.from_version
    needed = declared.session_answers if answers is None else answers
    if find_remaining_answers(board, trial) < needed:
        return declared.from_version
    if not exposure.is_assigned_to_canary(
        subject,
        declared.to_version,
        trial.share,
        trial.members,
        len(trial.holders),
    ):
        return declared.from_version
    spend(board, trial, needed)
    return declared.to_version


def find_remaining_answers(
    board: blackboard_module.Blackboard, trial: quality.Trial
) -> float:
    """How many answers of a roll-out's new version may still be given here."""
    accounts = board.quality.accounts.get(trial.budget_key, {})
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
    """Charge a roll-out's budget for answers before they are given."""
    accounts = board.quality.accounts.setdefault(trial.budget_key, {})
    own_account = accounts.get(board.incarnation, exposure.ExposureAccount())
    accounts[board.incarnation] = exposure.spend(own_account, answers)


def choose_plan(
    board: blackboard_module.Blackboard,
    customer: declaration.Customer,
    task: declaration.Task,
    request_key: str,
    pins: dict[str, str],
    left_ms: float,
) -> Plan:
    """Choose the plan of one request; it is empty if no version may run."""
    config = board.config
    assert config is not None
    allowed = frozenset(customer.models)
    part = board.quality
    if not pins:
        mine = attrs.evolve(
            customer, models=[m for m in task.cascade if m in allowed]
        )
        pins = choose_pins(board, mine, request_key, 1)
        charged_versions = _list_rollout_versions(part, pins.values())
    else:
        used = [pins[name] for name in task.cascade if name in pins]
        charged_versions = _list_rollout_versions(part, used)
        for version in charged_versions:
            trial = part.find_trial(version)
            if trial is not None:
                spend(board, trial, 1)
    declared = cascade.make_plan(task, config.models, allowed, pins)
    steps = _choose_steps(board, customer, task, request_key, declared)
    steps = cascade.fit_deadline(steps, part.estimated_ms, left_ms)
    return Plan(steps=steps, charged_versions=charged_versions)


def _list_rollout_versions(
    part: quality.QualityState, versions: typing.Iterable[str]
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
        parts = read_cascade_evidence(
            board, customer.name, task.name, versions
        )
        chosen = cascade.choose_plan(declared, parts, task.target)
        part.plans[cache_key] = chosen
    strong_only = chosen == [declared[-1]]
    if strong_only and exposure.rank(request_key, "explore") < (
        EXPLORATION_SHARE * 2.0**64
    ):
        return declared
    return chosen


def read_cascade_evidence(
    board: blackboard_module.Blackboard,
    customer: str,
    task: str,
    versions: tuple[str, str],
) -> cascade.CascadeRatings:
    """The ratings of a customer's cascade, with older ones decayed."""
    config = board.config
    assert config is not None
    ratings = board.quality.evidence

    def count(version: str, band: int, escalated: bool) -> evidence.Count:
        generation = board.quality.find_generation(version)
        key = evidence.Key(
            customer, task, version, band, escalated, generation
        )
        return evidence.decay(ratings.totals.get(key, {}), ratings.newest)

    bands = range(evidence.BANDS)
    escalated_counts = [count(versions[1], band, True) for band in bands]
    return cascade.CascadeRatings(
        cheap=config.versions[versions[0]],
        strong=config.versions[versions[1]],
        bands=tuple(count(versions[0], band, False) for band in bands),
        strong_count=sum(escalated_counts, evidence.Count()),
    )


def record_answer(
    board: blackboard_module.Blackboard,
    sample: quality.SampledAnswer,
    rated_share: float,
    took_ms: float,
) -> None:
    """Record the time of one step's answer, and queue it for rating.

    Every answer of a version under roll-out is queued, and a sample of the
    others. The sample includes cheap answers that the check escalated, so
    the quality of answers below the threshold is known without extra runs.
    """
    part = board.quality
    version = sample.key.version
    estimate_ms = part.estimated_ms.get(version, took_ms)
    above = took_ms > estimate_ms
    direction = PERCENTILE if above else PERCENTILE - 1
    part.estimated_ms[version] = max(
        1.0, estimate_ms * (1 + PERCENTILE_STEP * direction)
    )
    in_rollout = part.find_trial(version) is not None
    sampled = exposure.rank(sample.answer_id, "rate") < rated_share * 2.0**64
    if in_rollout or sampled:
        generation = part.find_generation(version)
        key = attrs.evolve(sample.key, generation=generation)
        part.queue_sample(attrs.evolve(sample, key=key))


def release(
    board: blackboard_module.Blackboard, plan: Plan, ran: typing.Iterable[str]
) -> None:
    """Refund the charges for versions under roll-out that did not run."""
    for version in plan.charged_versions - set(ran):
        trial = board.quality.find_trial(version)
        if trial is None:
            continue
        accounts = board.quality.accounts.get(trial.budget_key, {})
        own_account = accounts.get(
            board.incarnation, exposure.ExposureAccount()
        )
        accounts[board.incarnation] = exposure.earn(own_account, 1)
