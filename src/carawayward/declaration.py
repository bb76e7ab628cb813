"""The declaration: the desired state that operators publish as one document.

It is validated as a whole.
"""

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
    """Which requests a version may serve.

    ``active`` serves all requests, ``canary`` those that its roll-out
    assigns to it, ``draining`` its existing sessions, ``withdrawn`` none.
    """

    ACTIVE = "active"
    CANARY = "canary"
    DRAINING = "draining"
    WITHDRAWN = "withdrawn"


class CutOff(enum.StrEnum):
    """What a version serves on an entry VM that is cut off."""

    DEFAULT = "default"
    SERVE = "serve"
    SETTLED_ONLY = "settled-only"
    STOP = "stop"


@attrs.frozen(kw_only=True)
class Version:
    """A version of a model.

    ``cost`` is the price of 1,000 generated tokens, in any one currency.
    """

    name: str
    cost: float
    state: VersionState = VersionState.ACTIVE
    when_cut_off: CutOff = CutOff.DEFAULT


@attrs.frozen(kw_only=True)
class Model:
    """A model; its first active version is the current one."""

    name: str
    versions: list[Version]


@attrs.frozen(kw_only=True)
class Check:
    """The confidence above which a cheap answer needs no stronger model."""

    confidence: float


@attrs.frozen(kw_only=True)
class Task:
    """A type of request and the cascade of models that may answer it.

    ``cascade`` lists models from cheap to strong; ``target`` is the share
    of answers that must meet the quality standard. ``rated_share`` is the
    share of answers sent to the ratings service; for a version that is
    being rolled out, all answers are sent.
    """

    name: str
    cascade: list[str]
    target: float = 0.9
    check: Check | None = None
    deadline_ms: int = 60_000
    rated_share: float = 0.1


@attrs.frozen(kw_only=True)
class Operation:
    """One operation of a plain service."""

    name: str
    repeatable: bool = True


@attrs.frozen(kw_only=True)
class Service:
    """A plain service, served by the endpoints of ``pool``."""

    name: str
    pool: str
    operations: list[Operation]


@attrs.frozen(kw_only=True)
class Customer:
    """A customer: its keys, what it may use and its weight in the queues.

    ``key_digests`` are the SHA-256 digests of the keys, in hex.
    """

    name: str
    key_digests: list[str]
    tasks: list[str]
    models: list[str]
    services: list[str] = attrs.field(factory=list)
    weight: float = 1.0


@attrs.frozen(kw_only=True)
class Declaration:
    """The whole document."""

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
    """Convert the document to plain mappings and lists."""
    return documents.unstructure(declaration)


def digest_document(document: object) -> str:
    """Return the SHA-256 of the canonical JSON form, in hex."""
    canonical = json.dumps(document, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(canonical.encode()).hexdigest()


def digest_key(key: str) -> str:
    """Return a customer's key as the declaration stores it."""
    return hashlib.sha256(key.encode()).hexdigest()


def check_declaration(declaration: Declaration) -> None:
    """Check the document, including references between its parts."""
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
    """Check that version names are unique across all models."""
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
