"""The state shared by the tasks of one entry VM's daemon.

Each controller writes its own part and reads the others'; decision functions
only read. Trio switches tasks only at awaits, so a part that is replaced in
one assignment is never seen half updated.
"""

import enum
import secrets

import attrs

from carawayward import declaration as declaration_module
from carawayward.protocol import freshness
from carawayward import quality as quality_module


class NodeState(enum.StrEnum):
    """Life-cycle state of this entry VM."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class ConfigInForce:
    """A configuration and its revision, indexed for look-ups."""

    revision: int
    document: dict
    declaration: declaration_module.Declaration
    customers_by_digest: dict[str, declaration_module.Customer]
    customers: dict[str, declaration_module.Customer]
    tasks: dict[str, declaration_module.Task]
    models: dict[str, declaration_module.Model]
    services: dict[str, declaration_module.Service]
    versions: dict[str, declaration_module.Version]

    @classmethod
    def from_config(cls, revision: int, document: dict) -> "ConfigInForce":
        """Index a valid document for look-ups on the request path."""
        declared = declaration_module.Declaration.from_config(document)
        return cls(
            revision=revision,
            document=document,
            declaration=declared,
            customers_by_digest={
                digest: customer
                for customer in declared.customers
                for digest in customer.key_digests
            },
            customers={c.name: c for c in declared.customers},
            tasks={task.name: task for task in declared.tasks},
            models={model.name: model for model in declared.models},
            services={s.name: s for s in declared.services},
            versions={
                version.name: version
                for model in declared.models
                for version in model.versions
            },
        )


@attrs.frozen(kw_only=True)
class EntryVm:
    """What is known about another entry VM.

    ``last_heard_ms`` is the local monotonic time at which it was last known to
    be alive.
    """

    name: str
    incarnation: str
    failure_domain: str
    address: str
    leaving: bool = False
    revision: int = 0
    last_heard_ms: float = 0.0


@attrs.frozen(kw_only=True)
class Endpoint:
    """What is known about an endpoint: a model engine or a plain service."""

    name: str
    pool: str
    failure_domain: str
    address: str
    leaving: bool = False
    versions: frozenset[str] = frozenset()
    reported_load: float = 0.0
    reported_ms: float = 0.0


@attrs.define(kw_only=True)
class Blackboard:
    """The shared state of one daemon.

    ``current_as_of_ms`` is the local monotonic time up to which the
    configuration is known to be the newest. ``heirs`` maps a ticket issuer, a
    name and an incarnation, to the entry VM that has taken over its tickets;
    ``heir_of`` lists the issuers that this entry VM has taken over.
    ``endpoints_probed`` becomes True after the first round of probes.
    ``ended_by_stop`` counts the requests that a planned stop has ended
    although they may have run.
    """

    name: str
    failure_domain: str
    incarnation: str = attrs.field(factory=lambda: secrets.token_hex(8))
    state: NodeState = NodeState.STARTING
    config: ConfigInForce | None = None
    config_since_ms: float = freshness.NEVER
    current_as_of_ms: float = freshness.NEVER
    lease_ms: float = 12_000.0
    entry_vms: dict[str, EntryVm] = attrs.field(factory=dict)
    heir_of: tuple[tuple[str, str], ...] = ()
    heirs: dict[tuple[str, str], tuple[str, str]] = attrs.field(factory=dict)
    endpoints: dict[str, Endpoint] = attrs.field(factory=dict)
    endpoints_probed: bool = False
    in_flight: dict[str, int] = attrs.field(factory=dict)
    running: int = 0
    ended_by_stop: int = 0
    quality: quality_module.QualityState = attrs.field(
        factory=quality_module.QualityState
    )

    def is_fresh(self, now_ms: float) -> bool:
        """Whether the configuration is known to have been current recently.

        If not, roll-outs count as frozen; see protocol/freshness.
        """
        return freshness.is_fresh(self.current_as_of_ms, now_ms, self.lease_ms)

    def list_confirmations(
        self, now_ms: float
    ) -> dict[str, freshness.Confirmation]:
        """Whether each known entry VM has the revision in force."""
        if self.config is None:
            return {}
        revisions = {vm.name: vm.revision for vm in self.entry_vms.values()}
        return freshness.report_confirmations(
            revisions | {self.name: self.config.revision},
            self.config.revision,
            now_ms - self.config_since_ms,
            self.lease_ms,
        )
