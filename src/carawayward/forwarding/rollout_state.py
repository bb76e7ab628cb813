"""What an entry VM knows of one roll-out, and of the runs that it judges by.

Its own counts and those that the others last reported stand side by side: a
peer's report replaces its former one.
"""

import typing

import attrs

from carawayward.decisions import canary
from carawayward.forwarding import board as board_module
from carawayward.forwarding import message_types
from carawayward.forwarding import settings
from carawayward.forwarding import work_items

# Without reports for this long an entry VM may have missed a halt: it lets no
# session try the new version until it reads the store again.
MAX_STATUS_AGE_MS = 3_500.0


@attrs.frozen
class VersionChoice:
    """The version that a request goes to.

    ``new`` says whether it is the one that the roll-out brings in; with
    ``strict`` unset the other one serves where this has no endpoint.
    """

    rollout: "Rollout"
    new: bool
    strict: bool


@attrs.define(eq=False)
class Run:
    """One attempt on a version, and whether its answer has been counted.

    ``kind`` is its route and model, which decide what is usual.
    """

    rollout: "Rollout"
    new: bool
    kind: tuple[str, str]
    progress: work_items.Progress
    counted: bool = False

    def is_slow(self, answer_ms: float) -> bool:
        """Whether its answer, or the first token of its stream, took too long.

        A first token is held against what was predicted for it: an engine
        that is new reads whole prompts of which others keep the shared parts.
        """
        progress = self.progress
        if progress.predicted_ms is not None:
            return canary.is_ttft_slow(answer_ms, progress.predicted_ms)
        return self._find_usual().is_slow(answer_ms)

    def learn(self, answer_ms: float) -> None:
        """Take a good answer of the old version for usual."""
        if not self.new and self.progress.predicted_ms is None:
            self._find_usual().record_answer(answer_ms)

    def _find_usual(self) -> canary.LatencyBaseline:
        return self.rollout.usual.setdefault(
            self.kind, canary.LatencyBaseline()
        )


@attrs.frozen(kw_only=True)
class PeerCounts:
    """What another entry VM last reported of a roll-out.

    It goes on to count but for ``old_in_flight``: after ``expires_ms`` its
    sender may have failed, and what it ran has ended.
    """

    expires_ms: float
    old_in_flight: int
    sent: int
    sent_new: int
    tallies: typing.Mapping[str, canary.Tally]


@attrs.define(eq=False)
class Rollout:
    """What this entry VM knows of one order.

    ``opening`` is what was counted when everything went to the new version.
    """

    order: message_types.RolloutOrder
    began_ms: float
    state: message_types.RolloutState = message_types.RolloutState.RUNNING
    known: bool = False
    verdict: canary.Verdict = canary.Verdict.UNKNOWN
    read_ms: float = board_module.NEVER
    reported: str = ""
    old_in_flight: int = 0
    sent: int = 0
    sent_new: int = 0
    opened: bool = False
    opening: canary.Tally = canary.Tally()
    tallies: dict[str, canary.Tally] = attrs.field(factory=dict)
    others: dict[str, PeerCounts] = attrs.field(factory=dict)
    usual: dict[tuple[str, str], canary.LatencyBaseline] = attrs.field(
        factory=dict
    )
    runs: set[Run] = attrs.field(factory=set)

    @property
    def running(self) -> bool:
        """Whether nothing has been decided yet."""
        return self.state is message_types.RolloutState.RUNNING

    def find_part(self, now_ms: float) -> float:
        """The part of the time given that has passed."""
        return (now_ms - self.began_ms) / max(1.0, self.order.duration_ms)

    def count_old_in_flight(self, now_ms: float) -> int:
        """Runs on the old version, at all entry VMs that are alive."""
        return self.old_in_flight + sum(
            each.old_in_flight
            for each in self.others.values()
            if now_ms < each.expires_ms
        )

    def sum_exposure(self, bounds: settings.Bounds) -> canary.Exposure:
        """What has been sent so far, against what may meet a bad version."""
        others = self.others.values()
        return canary.Exposure(
            share=bounds.exposure_share,
            slack=bounds.exposure_slack,
            sent=self.sent + sum(each.sent for each in others),
            sent_new=self.sent_new + sum(each.sent_new for each in others),
        )

    def sum_routes(self) -> canary.Tally:
        """All counts that are known, of all routes together."""
        return sum(self.sum_tallies().values(), canary.Tally())

    def sum_under_load(self) -> canary.Tally:
        """Answers of the new version since everything goes there."""
        total = self.sum_routes()
        return attrs.evolve(
            total,
            new=total.new - self.opening.new,
            new_bad=total.new_bad - self.opening.new_bad,
        )

    def sum_tallies(self) -> dict[str, canary.Tally]:
        """All counts that are known, by route."""
        merged = dict(self.tallies)
        for each in self.others.values():
            for route, tally in each.tallies.items():
                merged[route] = merged.get(route, canary.Tally()) + tally
        return merged
