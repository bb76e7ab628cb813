"""Roll-outs and pools, the parts of a declaration that change versions."""

import enum
import typing

import attrs

from carawayward import errors
from carawayward import naming


class OnHalt(enum.StrEnum):
    """What happens to the existing sessions of a halted version.

    ``withdraw`` refuses them, so that no more bad answers go out;
    ``drain`` lets them finish.
    """

    WITHDRAW = "withdraw"
    DRAIN = "drain"


@attrs.frozen(kw_only=True)
class Stage:
    """One stage of a roll-out.

    ``share`` of new sessions go to the new version. The stage lasts at
    least ``dwell_ms`` and until ``evidence`` good ratings have arrived since
    the start of the roll-out, but at most in the last four hours.
    ``exposure_budget`` is the number of answers, for each failure domain,
    that may be outstanding without a good rating.
    """

    share: float
    dwell_ms: int
    evidence: int
    exposure_budget: dict[str, int]


@attrs.frozen(kw_only=True)
class Rollout:
    """The replacement of one version of a model by another.

    ``tolerated_drop`` is how much worse than ``baseline`` (by default
    ``from_version``) the new version's share of good answers may be.
    """

    name: str
    model: str
    from_version: str
    to_version: str
    stages: list[Stage]
    baseline: str = ""
    tolerated_drop: float = 0.02
    session_answers: int = 3
    on_halt: OnHalt = OnHalt.WITHDRAW


@attrs.frozen(kw_only=True)
class Pool:
    """A pool of engines and the versions that they should have loaded.

    ``checks_fencing`` says whether its endpoints refuse orders with an
    outdated fencing number. ``change_at_once`` is the largest share of the
    pool's endpoints that may change versions at the same time.
    """

    name: str
    versions: list[str]
    checks_fencing: bool = True
    change_at_once: float = 0.25
    role: str = "mixed"


def check_rollouts(
    rollouts: list[Rollout],
    states: typing.Mapping[str, typing.Mapping[str, str]],
) -> None:
    """Check all roll-outs; ``states`` are version states by model."""
    naming.check_unique_names(
        "rollouts", [rollout.name for rollout in rollouts]
    )
    for rollout in rollouts:
        check_rollout(rollout, states)
    check_one_rollout_per_model(rollouts)


def check_one_rollout_per_model(rollouts: list[Rollout]) -> None:
    """Check that each model and version has at most one roll-out."""
    for field in ("model", "to_version"):
        seen: set[str] = set()
        for rollout in rollouts:
            value = getattr(rollout, field)
            if value in seen:
                raise errors.DeclarationError(
                    f"rollouts.{rollout.name}.{field}",
                    value,
                    "finish or remove the model's other roll-out first",
                )
            seen.add(value)


def check_rollout(
    rollout: Rollout, states: typing.Mapping[str, typing.Mapping[str, str]]
) -> None:
    """Check one roll-out against the model that it names."""
    prefix = f"rollouts.{rollout.name}"
    naming.check_references(f"{prefix}.model", [rollout.model], set(states))
    versions = states[rollout.model]
    for field in ("from_version", "to_version"):
        naming.check_references(
            f"{prefix}.{field}", [getattr(rollout, field)], set(versions)
        )
    if rollout.baseline:
        naming.check_references(
            f"{prefix}.baseline", [rollout.baseline], set(versions)
        )
    if rollout.from_version == rollout.to_version:
        raise errors.DeclarationError(
            f"{prefix}.to_version",
            rollout.to_version,
            "name a different version",
        )
    if versions[rollout.to_version] == "active":
        raise errors.DeclarationError(
            f"{prefix}.to_version",
            "an active version",
            "set its state to canary until the roll-out is done",
        )
    if not 0 <= rollout.tolerated_drop < 0.5:
        raise errors.DeclarationError(
            f"{prefix}.tolerated_drop",
            rollout.tolerated_drop,
            "write a share from 0 to 0.5",
        )
    if rollout.session_answers < 1:
        raise errors.DeclarationError(
            f"{prefix}.session_answers",
            rollout.session_answers,
            "write how many answers a session usually takes, 1 or more",
        )
    check_stages(prefix, rollout.stages)


def check_stages(prefix: str, stages: list[Stage]) -> None:
    """Check that shares increase and that each stage can complete."""
    if not stages:
        raise errors.DeclarationError(
            f"{prefix}.stages", [], "declare at least one stage"
        )
    share = 0.0
    domains = set(stages[0].exposure_budget)
    for index, stage in enumerate(stages):
        field = f"{prefix}.stages[{index}]"
        if not share < stage.share <= 1:
            raise errors.DeclarationError(
                f"{field}.share",
                stage.share,
                f"write a share above {share} and up to 1",
            )
        share = stage.share
        if stage.dwell_ms < 0 or stage.evidence < 1:
            raise errors.DeclarationError(
                f"{field}.dwell_ms, evidence",
                (stage.dwell_ms, stage.evidence),
                "write a dwell of 0 or more and 1 or more good ratings",
            )
        if set(stage.exposure_budget) != domains or not domains:
            raise errors.DeclarationError(
                f"{field}.exposure_budget",
                sorted(stage.exposure_budget),
                "give every stage a budget for the same failure domains",
            )
        for domain, budget in stage.exposure_budget.items():
            if budget < 0:
                raise errors.DeclarationError(
                    f"{field}.exposure_budget.{domain}",
                    budget,
                    "write 0 or more answers",
                )


def check_pool(pool: Pool, versions: set[str]) -> None:
    """Check one pool of engines."""
    prefix = f"pools.{pool.name}"
    naming.check_references(f"{prefix}.versions", pool.versions, versions)
    if not 0 < pool.change_at_once <= 0.5:
        raise errors.DeclarationError(
            f"{prefix}.change_at_once",
            pool.change_at_once,
            "write a share above 0 and up to 0.5, so that a change cannot "
            "empty the pool",
        )
