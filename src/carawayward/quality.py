"""The blackboard's part on versions: ratings, roll-outs, budgets, plans."""

import collections

import attrs

from carawayward.decisions import cascade
from carawayward.decisions import evidence as evidence_module
from carawayward.decisions import exposure
from carawayward.decisions import rollout as rollout_decisions
from carawayward import rollout_declaration

EPOCH_MS = 300_000
# Roll-outs are judged twice: by minutes over their last four hours, which
# finds a slow decline, and by ten seconds over the last ten minutes, so
# that good answers just before a sudden fault do not hide it.
TRIAL_EPOCH_MS = 60_000
TRIAL_EPOCHS_KEPT = 240
RECENT_EPOCH_MS = 10_000
RECENT_EPOCHS_KEPT = 60
# Answers that wait for the ratings service, and all their characters; in its
# outage the oldest go. A long conversation is a megabyte: a thousand of
# those would be the memory of sixteen entry VMs.
OUTBOX_MAX = 1_000
OUTBOX_CHARS = 4_000_000


@attrs.frozen(kw_only=True)
class SampledAnswer:
    """An answer to be rated, and what its rating will count for."""

    answer_id: str
    key: evidence_module.Key
    answered_at_ms: int
    messages: list[dict]
    text: str

    @property
    def size(self) -> int:
        """Characters that it holds."""
        asked = sum(len(each["content"]) for each in self.messages)
        return asked + len(self.text)


@attrs.frozen
class BudgetKey:
    """Whose budget: one roll-out's stage in one failure domain.

    ``base`` is the log offset of the record that began the stage, so each
    stage, and each resumption, starts with a budget of its own.
    """

    version: str
    base: int
    failure_domain: str


@attrs.frozen(kw_only=True)
class Trial:
    """A roll-out as this entry VM stands to it just now.

    ``holders`` are the entry VMs of this failure domain that may start the
    new version, ``members`` the number of all of them. ``open`` is False
    when this one is cut off, and so may not know of a halt.
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
    """What this entry VM knows of versions' quality; plain state."""

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
        """Queue an answer for the ratings service, within the bounds."""
        self.outbox.append(sample)
        held = sum(each.size for each in self.outbox)
        while held > OUTBOX_CHARS and len(self.outbox) > 1:
            held -= self.outbox.popleft().size

    def find_trial(self, version: str) -> Trial | None:
        """The roll-out under way whose new version this is."""
        for trial in self.trials.values():
            if trial.declared.to_version == version and not trial.done:
                return trial
        return None

    def find_generation(self, version: str) -> int:
        """The generation of a version's roll-out; 0 if it has none."""
        for trial in self.trials.values():
            if trial.declared.to_version == version:
                return trial.progress.generation
        return 0
