"""The published document: what operators want, validated as a whole."""

import enum
import hashlib
import json
import typing

import attrs

from carawayward import documents
from carawayward import errors
from carawayward import naming
from carawayward import rollout_declaration

FORMAT = 1
FIELDS_BY_NAME = (
    "models",
    "tasks",
    "customers",
    "services",
    "rollouts",
    "pools",
)


class VersionState(enum.StrEnum):
    """What a version may take.

    ``active`` takes all work, ``canary`` only what its roll-out gives it,
    ``draining`` only sessions that it already has, ``withdrawn`` nothing.
    """

    ACTIVE = "active"
    CANARY = "canary"
    DRAINING = "draining"
    WITHDRAWN = "withdrawn"


class CutOff(enum.StrEnum):
    """What a version does on an entry VM that is cut off."""

    DEFAULT = "default"
    SERVE = "serve"
    SETTLED_ONLY = "settled-only"
    STOP = "stop"


@attrs.frozen(kw_only=True)
class Version:
    """A version of a model.

    ``cost`` is the price of 1,000 generated tokens, in the currency of the
    users' choice.
    """

    name: str
    cost: float
    state: VersionState = VersionState.ACTIVE
    when_cut_off: CutOff = CutOff.DEFAULT


@attrs.frozen(kw_only=True)
class Model:
    """A model; the first active version is its current one."""

    name: str
    versions: list[Version]


@attrs.frozen(kw_only=True)
class Check:
    """When a cheap answer is good enough to skip the strong model."""

    confidence: float


@attrs.frozen(kw_only=True)
class Task:
    """A kind of request and the cascade of models that may answer it.

    ``cascade`` lists models from cheap to strong; ``target`` is the share
    of answers that must meet the quality standard. ``rated_share`` of the
    answers go to the ratings service; those of an unproven version all do.
    """

    name: str
    cascade: list[str]
    target: float = 0.9
    check: Check | None = None
    deadline_ms: int = 60_000
    rated_share: float = 0.1


@attrs.frozen(kw_only=True)
class Operation:
    """One call of a plain service."""

    name: str
    repeatable: bool = True


@attrs.frozen(kw_only=True)
class Service:
    """A plain service; its endpoints are those of the pool it names."""

    name: str
    pool: str
    operations: list[Operation]


@attrs.frozen(kw_only=True)
class Customer:
    """Who may call, with what, and how much weight in the queues.

    ``key_digests`` are SHA-256 digests, in hex, of the customer's keys.
    """

    name: str
    key_digests: list[str]
    tasks: list[str]
    models: list[str]
    services: list[str] = attrs.field(factory=list)
    weight: float = 1.0


@attrs.frozen(kw_only=True)
class Declaration:
    """The whole document in force."""

    format: int
    models: list[Model]
    tasks: list[Task]
    customers: list[Customer]
    services: list[Service] = attrs.field(factory=list)
    rollouts: list[rollout_declaration.Rollout] = attrs.field(factory=list)
    pools: list[rollout_declaration.Pool] = attrs.field(factory=list)

    @classmethod
    def from_config(cls, data: object) -> "Declaration":
        """Build and check a declaration from parsed YAML."""
        declaration = documents.structure(cls, data, errors.DeclarationError)
        check_declaration(declaration)
        return declaration

    @classmethod
    def from_text(cls, text: str) -> "Declaration":
        """Build and check a declaration from YAML text."""
        return cls.from_config(
            documents.parse_yaml(text, errors.DeclarationError)
        )


def unstructure(declaration: Declaration) -> dict[str, typing.Any]:
    """Return the document as plain maps and lists."""
    return documents.unstructure(declaration)


def digest_document(document: object) -> str:
    """SHA-256 of the canonical JSON form, in hex."""
    canonical = json.dumps(document, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(canonical.encode()).hexdigest()


def digest_key(key: str) -> str:
    """The form in which a customer's key stands in the declaration."""
    return hashlib.sha256(key.encode()).hexdigest()


def check_declaration(declaration: Declaration) -> None:
    """Check what has to agree between parts of the document."""
    if declaration.format != FORMAT:
        raise errors.DeclarationError(
            "format", declaration.format, f"write {FORMAT}"
        )
    for field in FIELDS_BY_NAME:
        naming.check_unique_names(
            field, [x.name for x in getattr(declaration, field)]
        )
    models = {model.name for model in declaration.models}
    tasks = {task.name for task in declaration.tasks}
    services = {service.name for service in declaration.services}
    check_versions(declaration.models)
    for task in declaration.tasks:
        check_task(task, models)
    for customer in declaration.customers:
        prefix = f"customers.{customer.name}"
        naming.check_references(f"{prefix}.tasks", customer.tasks, tasks)
        naming.check_references(f"{prefix}.models", customer.models, models)
        naming.check_references(
            f"{prefix}.services", customer.services, services
        )
        check_customer(customer)
    for service in declaration.services:
        names = [operation.name for operation in service.operations]
        naming.check_unique_names(f"services.{service.name}.operations", names)
    states = {
        model.name: {v.name: v.state.value for v in model.versions}
        for model in declaration.models
    }
    rollout_declaration.check_rollouts(declaration.rollouts, states)
    versions = {name for model in states.values() for name in model}
    for pool in declaration.pools:
        rollout_declaration.check_pool(pool, versions)
    digests = [d for c in declaration.customers for d in c.key_digests]
    if len(digests) != len(set(digests)):
        raise errors.DeclarationError(
            "customers", "a key digest twice", "give each customer its own key"
        )


def check_versions(models: list[Model]) -> None:
    """Check that version names are unique over all models."""
    names = [version.name for model in models for version in model.versions]
    naming.check_unique_names("models.versions", names)
    for model in models:
        if not model.versions:
            raise errors.DeclarationError(
                f"models.{model.name}.versions", [], "declare a version"
            )
        for version in model.versions:
            if version.cost < 0:
                raise errors.DeclarationError(
                    f"models.{model.name}.{version.name}.cost",
                    version.cost,
                    "write a cost of 0 or more",
                )


def check_task(task: Task, models: set[str]) -> None:
    """Check one task's cascade."""
    prefix = f"tasks.{task.name}"
    naming.check_references(f"{prefix}.cascade", task.cascade, models)
    naming.check_unique_names(f"{prefix}.cascade", task.cascade)
    if not task.cascade:
        raise errors.DeclarationError(
            f"{prefix}.cascade", [], "name at least one model"
        )
    if not 0 < task.target < 1:
        raise errors.DeclarationError(
            f"{prefix}.target", task.target, "write a share between 0 and 1"
        )
    if not 0 <= task.rated_share <= 1:
        raise errors.DeclarationError(
            f"{prefix}.rated_share",
            task.rated_share,
            "write a share from 0 to 1",
        )
    if task.deadline_ms <= 0:
        raise errors.DeclarationError(
            f"{prefix}.deadline_ms", task.deadline_ms, "write a time above 0"
        )


def check_customer(customer: Customer) -> None:
    """Check one customer's keys and weight."""
    prefix = f"customers.{customer.name}"
    if customer.weight <= 0:
        raise errors.DeclarationError(
            f"{prefix}.weight", customer.weight, "write a weight above 0"
        )
    for digest in customer.key_digests:
        if len(digest) != 64 or set(digest) - set("0123456789abcdef"):
            raise errors.DeclarationError(
                f"{prefix}.key_digests",
                digest,
                "write the SHA-256 of the key in lower-case hex "
                "(carawaywardctl digest KEY)",
            )
