"""Data shown on the console's overview page."""

import typing

from carawayward import blackboard as blackboard_module
from carawayward.controllers import trial_groups
from carawayward import quality


def describe(
    board: blackboard_module.Blackboard, now_ms: float
) -> dict[str, typing.Any]:
    """Return the values that the overview template reads as ``view``."""
    config = board.config
    revision = config.revision if config else 0
    return {
        "revision": revision,
        "fresh": board.is_fresh(now_ms),
        "confirmations": list_confirmations(board, now_ms),
        "models": config.declaration.models if config else [],
        "tasks": config.declaration.tasks if config else [],
        "customers": config.declaration.customers if config else [],
        "rollouts": [
            describe_trial(board, trial)
            for trial in board.quality.trials.values()
        ],
        "ratings_usable": board.quality.ratings_usable,
        "waiting": [
            rollout.name
            for rollout in (config.declaration.rollouts if config else [])
            if rollout.model not in board.quality.trials
        ],
    }


def list_confirmations(
    board: blackboard_module.Blackboard, now_ms: float
) -> list[dict[str, typing.Any]]:
    """Return a row per entry VM with its revision and confirmation."""
    vms = {vm.name: vm for vm in board.entry_vms.values()}
    rows = []
    for name, state in sorted(board.list_confirmations(now_ms).items()):
        vm = vms.get(name)
        own = board.config.revision if board.config else 0
        rows.append(
            {
                "name": name,
                "failure_domain": vm.failure_domain
                if vm
                else board.failure_domain,
                "revision": vm.revision if vm else own,
                "state": str(state),
            }
        )
    return rows


def describe_trial(
    board: blackboard_module.Blackboard, trial: quality.Trial
) -> dict[str, typing.Any]:
    """Return a roll-out's stage, ratings and exposure budget."""
    counts = trial_groups.count(board.quality.trial_evidence, trial)
    accounts = board.quality.accounts.get(trial.budget_key, {})
    outstanding = sum(each.outstanding for each in accounts.values())
    stage = trial.progress.stage
    state = f"stage {stage + 1} of {len(trial.declared.stages)}"
    if trial.progress.halted:
        state = "halted"
    elif trial.done:
        state = "done"
    elif stage < 0:
        state = "waits for endpoints to load it"
    return {
        "name": trial.declared.name,
        "model": trial.declared.model,
        "from_version": trial.declared.from_version,
        "to_version": trial.declared.to_version,
        "state": state,
        "halted": trial.progress.halted,
        "base": trial.progress.base,
        "stage": max(0, stage),
        "share": 0.0 if trial.progress.halted else trial.share,
        "good": round(counts.good),
        "bad": round(counts.bad),
        "outstanding": round(outstanding),
        "budget": trial.budget,
        "open": trial.open,
    }
