"""Shared state on versions' quality: ratings, roll-outs, budgets, plans."""

import collections

import attrs

from carawayward.decisions import cascade
from carawayward.decisions import evidence as evidence_module
from carawayward.decisions import exposure
from carawayward.decisions import rollout as rollout_decisions
from carawayward import rollout_declaration

EPOCH_MS = 300_000
# Roll-outs are evaluated over two windows: in epochs of a minute over the last
# four hours, which finds a slow decline, and in epochs of ten seconds over the
# last ten minutes, so that good answers just before a sudden fault do not mask
# it.
TRIAL_EPOCH_MS = 60_000
TRIAL_EPOCHS_KEPT = 240
RECENT_EPOCH_MS = 10_000
RECENT_EPOCHS_KEPT = 60
# Limits on the answers waiting for the ratings service, by number and by total
# characters; while the service is down, the oldest are dropped. A long
# conversation is a megabyte: a thousand of those would take the memory of
# sixteen entry VMs.
OUTBOX_MAX = 1_000
OUTBOX_CHARS = 4_000_000


@attrs.frozen(kw_only=True)
class SampledAnswer:
    """An answer to be rated, and the key under which its rating is counted."""

    answer_id: str
    key: evidence_module.Key
    answered_at_ms: int
    messages: list[dict]
    text: str

    @property
    def size(self) -> int:
        """Number of characters in the messages and the answer."""
        asked = sum(len(each["content"]) for each in self.messages)
        return asked + len(self.text)


@attrs.frozen
class BudgetKey:
    """Identifies an exposure budget: a roll-out's stage in a failure domain.

    ``base`` is the log offset of the record that began the stage, so each
    stage, and each resumption, starts with a new budget.
    """

    version: str
    base: int
    failure_domain: str


@attrs.frozen(kw_only=True)
class Trial:
    """A roll-out's current state as seen by this entry VM.

    ``holders`` are the entry VMs of this failure domain that may start
    sessions on the new version; ``members`` is the number of entry VMs in the
    failure domain. ``open`` is False while this entry VM is cut off and so may
    not know of a halt.
    """

    declared: rollout_declaration.Rollout
    progress: rollout_decisions.Progress
    budget_key: BudgetKey
    share: float
    budget: int
    holders: tuple[str, ...]
    members: int
    open: bool

    @property
    def done(self) -> bool:
        """Whether every stage has been passed."""
        return rollout_decisions.is_done(self.declared, self.progress)


@attrs.define
class QualityState:
    """What this entry VM knows about the quality of versions.

    ``estimated_ms`` estimates how long each version takes to answer.
    ``accounts`` holds, for each budget, the account of each entry VM by its
    incarnation.
    """

    evidence: evidence_module.Evidence = attrs.field(
        factory=evidence_module.Evidence
    )
    trial_evidence: evidence_module.Evidence = attrs.field(
        factory=lambda: evidence_module.Evidence(TRIAL_EPOCHS_KEPT)
    )
    recent_evidence: evidence_module.Evidence = attrs.field(
        factory=lambda: evidence_module.Evidence(RECENT_EPOCHS_KEPT)
    )
    outbox: collections.deque[SampledAnswer] = attrs.field(
        factory=lambda: collections.deque(maxlen=OUTBOX_MAX)
    )
    ratings_usable: bool = False
    estimated_ms: dict[str, float] = attrs.field(factory=dict)
    plans: dict[tuple[str, ...], list[cascade.Step]] = attrs.field(
        factory=dict
    )
    accounts: dict[BudgetKey, dict[str, exposure.ExposureAccount]] = (
        attrs.field(factory=dict)
    )
    trials: dict[str, Trial] = attrs.field(factory=dict)
    halted: frozenset[str] = frozenset()
    halted_settled: frozenset[str] = frozenset()

    def queue_sample(self, sample: SampledAnswer) -> None:
        """Queue an answer for the ratings service; drop the oldest if full."""
        self.outbox.append(sample)
        held = sum(each.size for each in self.outbox)
        while held > OUTBOX_CHARS and len(self.outbox) > 1:
            held -= self.outbox.popleft().size

    def find_trial(self, version: str) -> Trial | None:
        """The unfinished roll-out that introduces this version, if any."""
        for trial in self.trials.values():
            if trial.declared.to_version == version and not trial.done:
                return trial
        return None

    def find_generation(self, version: str) -> int:
        """The generation of the roll-out of this version; 0 if it has none."""
        for trial in self.trials.values():
            if trial.declared.to_version == version:
                return trial.progress.generation
        return 0
