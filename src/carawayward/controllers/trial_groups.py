"""Sums the evidence of a roll-out by the groups it is tested in."""

from carawayward.decisions import evidence as evidence_module
from carawayward.decisions import exposure
from carawayward import declaration as declaration_module
from carawayward import quality


def count(
    known: evidence_module.Evidence, trial: quality.Trial
) -> evidence_module.Count:
    """Ratings of a new version since its roll-out began."""
    begun = trial.progress.begun_ms // quality.TRIAL_EPOCH_MS
    counts = (
        counted
        for key, epochs in known.totals.items()
        if is_new(key, trial)
        for epoch, counted in epochs.items()
        if epoch >= begun
    )
    return sum(counts, evidence_module.Count())


def is_new(key: evidence_module.Key, trial: quality.Trial) -> bool:
    """Whether a rating is of the new version, in this generation."""
    return (
        key.version == trial.declared.to_version
        and key.generation == trial.progress.generation
    )


def find_worse_group(
    part: quality.QualityState,
    trial: quality.Trial,
    declared: declaration_module.Declaration,
) -> str:
    """The group in which a version is proven worse; empty if in none.

    The mean of the tests by minutes and by ten seconds is one test, with
    the same chance of a false alarm.
    """
    tables = (
        (part.trial_evidence, quality.TRIAL_EPOCH_MS),
        (part.recent_evidence, quality.RECENT_EPOCH_MS),
    )
    tasks = [t for t in declared.tasks if trial.declared.model in t.cascade]
    assumed = 1 - min((task.target for task in tasks), default=0.9)
    total, most, worst = 0.0, 0.0, ""
    for known, epoch_ms in tables:
        value, group = exposure.compute_version_evidence(
            make_groups(known, epoch_ms, trial, declared),
            trial.declared.tolerated_drop,
            assumed,
        )
        total += value / len(tables)
        if value > most:
            most, worst = value, group
    return worst if exposure.is_halt_due(total) else ""


def make_groups(
    known: evidence_module.Evidence,
    epoch_ms: int,
    trial: quality.Trial,
    document: declaration_module.Declaration,
) -> list[exposure.Group]:
    """All traffic, each task, and each customer's part of each task."""
    declared = trial.declared
    begun = trial.progress.begun_ms // epoch_ms
    tasks = [t.name for t in document.tasks if declared.model in t.cascade]
    names = [("", ""), *(("", task) for task in tasks)]
    names += [
        (customer.name, task)
        for customer in document.customers
        if declared.model in customer.models
        for task in tasks
    ]
    groups = {
        name: exposure.Group(" ".join(name).strip() or "all", begun, {}, {})
        for name in names
    }
    baseline = declared.baseline or declared.from_version
    none = evidence_module.Count()
    for key, epochs in known.totals.items():
        unproven = is_new(key, trial)
        if not unproven and key.version != baseline:
            continue
        for name in (("", ""), ("", key.task), (key.customer, key.task)):
            group = groups.get(name)
            if group is None:
                continue
            table = group.canary if unproven else group.baseline
            for epoch, counted in epochs.items():
                table[epoch] = table.get(epoch, none) + counted
    return list(groups.values())
