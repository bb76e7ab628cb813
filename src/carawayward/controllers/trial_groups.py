"""Sums a roll-out's ratings by the groups in which it is evaluated."""

from carawayward.decisions import evidence as evidence_module
from carawayward.decisions import exposure
from carawayward import declaration as declaration_module
from carawayward import quality


def count(
    known: evidence_module.Evidence, trial: quality.Trial
) -> evidence_module.Count:
    """Count the ratings of the new version since the roll-out began."""
    first_epoch = trial.progress.begun_ms // quality.TRIAL_EPOCH_MS
    counts = (
        counted
        for key, epochs in known.totals.items()
        if is_trial_rating(key, trial)
        for epoch, counted in epochs.items()
        if epoch >= first_epoch
    )
    return sum(counts, evidence_module.Count())


def is_trial_rating(key: evidence_module.Key, trial: quality.Trial) -> bool:
    """Whether a rating is of the new version, in the current generation."""
    return (
        key.version == trial.declared.to_version
        and key.generation == trial.progress.generation
    )


def find_worse_group(
    state: quality.QualityState,
    trial: quality.Trial,
    declared: declaration_module.Declaration,
) -> str:
    """The group in which the new version is proven worse; empty if none.

    The tests over minutes and over ten seconds are averaged into a single test
    with the same probability of a false alarm.
    """
    tables = (
        (state.trial_evidence, quality.TRIAL_EPOCH_MS),
        (state.recent_evidence, quality.RECENT_EPOCH_MS),
    )
    tasks = [t for t in declared.tasks if trial.declared.model in t.cascade]
    assumed = 1 - min((task.target for task in tasks), default=0.9)
    total, highest, worst_group = 0.0, 0.0, ""
    for known, epoch_ms in tables:
        value, group = exposure.compute_version_evidence(
            make_groups(known, epoch_ms, trial, declared),
            trial.declared.tolerated_drop,
            assumed,
        )
        total += value / len(tables)
        if value > highest:
            highest, worst_group = value, group
    return worst_group if exposure.is_halt_due(total) else ""


def make_groups(
    known: evidence_module.Evidence,
    epoch_ms: int,
    trial: quality.Trial,
    document: declaration_module.Declaration,
) -> list[exposure.Group]:
    """Groups for all traffic, each task, and each customer's task."""
    declared = trial.declared
    first_epoch = trial.progress.begun_ms // epoch_ms
    tasks = [t.name for t in document.tasks if declared.model in t.cascade]
    group_names = [("", ""), *(("", task) for task in tasks)]
    group_names += [
        (customer.name, task)
        for customer in document.customers
        if declared.model in customer.models
        for task in tasks
    ]
    groups = {
        name: exposure.Group(
            " ".join(name).strip() or "all", first_epoch, {}, {}
        )
        for name in group_names
    }
    baseline = declared.baseline or declared.from_version
    no_ratings = evidence_module.Count()
    for key, epochs in known.totals.items():
        is_trial = is_trial_rating(key, trial)
        if not is_trial and key.version != baseline:
            continue
        for name in (("", ""), ("", key.task), (key.customer, key.task)):
            group = groups.get(name)
            if group is None:
                continue
            table = group.canary if is_trial else group.baseline
            for epoch, counted in epochs.items():
                table[epoch] = table.get(epoch, no_ratings) + counted
    return list(groups.values())
