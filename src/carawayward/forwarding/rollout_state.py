"""The state of a roll-out on one entry VM, and the runs it is judged by.

The entry VM's own counts and those last reported by each peer are kept
separately: a peer's report replaces its previous one.
"""

import enum
import typing

import attrs

from carawayward.decisions import canary
from carawayward.forwarding import board as board_module
from carawayward.forwarding import message_types
from carawayward.forwarding import settings
from carawayward.forwarding import work_items

# An entry VM whose statuses are older than this may have missed a halt: it
# sends no session to a version on trial until it reads the store again.
MAX_STATUS_AGE_MS = 3_500.0


class Reason(enum.Enum):
    """Why a request goes to the new version or the old one."""

    ENDED = "roll-out ended"
    RETURN = "return"
    NOT_SHARED = "no share"
    SESSION = "session"
    PEER_SESSION = "session of a peer"
    EXPOSURE = "exposure"
    DRAW = "draw"


@attrs.frozen
class VersionChoice:
    """The version that a request goes to.

    ``new`` is set for the version that the roll-out introduces. Unless
    ``strict`` is set, the other version serves if this one has no endpoint.
    With ``keeps_session`` it does so only once no endpoint of this one can be
    reached: one that is full for a moment does not make a session change its
    version.
    """

    rollout: "Rollout"
    new: bool
    strict: bool
    reason: Reason
    keeps_session: bool = False


@attrs.define(eq=False)
class Run:
    """One attempt on a version, and whether its answer has been counted.

    ``kind`` is its route and model, for which a latency baseline is kept.
    """

    rollout: "Rollout"
    new: bool
    kind: tuple[str, str]
    progress: work_items.Progress
    counted: bool = False

    def is_slow(self, answer_ms: float) -> bool:
        """Whether its answer, or the first token of its stream, was too slow.

        A first token is compared with its prediction: a new engine has to
        read whole prompts whose shared parts other engines have cached.
        """
        progress = self.progress
        if progress.predicted_ms is not None:
            return canary.is_ttft_slow(answer_ms, progress.predicted_ms)
        return self._get_baseline().is_slow(answer_ms)

    def record_latency(self, answer_ms: float) -> None:
        """Record the latency of a good answer of the old version."""
        if not self.new and self.progress.predicted_ms is None:
            self._get_baseline().record_answer(answer_ms)

    def _get_baseline(self) -> canary.LatencyBaseline:
        return self.rollout.latency_baselines.setdefault(
            self.kind, canary.LatencyBaseline()
        )


@attrs.frozen(kw_only=True)
class PeerCounts:
    """The counts that a peer last reported for a roll-out.

    They stay valid except for ``old_in_flight``: after ``expires_ms`` the
    peer may have failed, and its runs have ended.
    """

    expires_ms: float
    old_in_flight: int
    sent: int
    sent_new: int
    tallies: typing.Mapping[str, canary.Tally]


@attrs.define(eq=False)
class Rollout:
    """The state of one ordered roll-out on this entry VM.

    ``began_ms`` is when it was ordered, as far as known, and
    ``known_since_ms`` when this entry VM read the order.
    ``status_known`` is set once the stored statuses have been read, which were
    the newest at ``status_read_ms``. ``stored_state`` is the state in the
    store, empty if none was read. ``at_full_traffic`` is set while all
    sessions go to the new version; ``tally_before_full_traffic`` holds the
    counts at the switch.
    """

    order: message_types.RolloutOrder
    began_ms: float
    known_since_ms: float = attrs.field(
        default=attrs.Factory(lambda self: self.began_ms, takes_self=True)
    )
    state: message_types.RolloutState = message_types.RolloutState.RUNNING
    status_known: bool = False
    verdict: canary.Verdict = canary.Verdict.UNKNOWN
    status_read_ms: float = board_module.NEVER
    stored_state: str = ""
    old_in_flight: int = 0
    sent: int = 0
    sent_new: int = 0
    at_full_traffic: bool = False
    tally_before_full_traffic: canary.Tally = canary.Tally()
    tallies: dict[str, canary.Tally] = attrs.field(factory=dict)
    peer_counts: dict[str, PeerCounts] = attrs.field(factory=dict)
    latency_baselines: dict[tuple[str, str], canary.LatencyBaseline] = (
        attrs.field(factory=dict)
    )
    runs: set[Run] = attrs.field(factory=set)

    @property
    def running(self) -> bool:
        """Whether the roll-out is still undecided."""
        return self.state is message_types.RolloutState.RUNNING

    def compute_elapsed_part(self, now_ms: float) -> float:
        """The elapsed part of the roll-out's duration; above 1 when over."""
        return (now_ms - self.began_ms) / max(1.0, self.order.duration_ms)

    def is_early(self, now_ms: float) -> bool:
        """Whether sessions on the old version have to stay there."""
        return self.compute_elapsed_part(now_ms) < canary.TRIAL_PART

    def count_old_in_flight(self, now_ms: float) -> int:
        """The runs on the old version at all live entry VMs."""
        return self.old_in_flight + sum(
            each.old_in_flight
            for each in self.peer_counts.values()
            if now_ms < each.expires_ms
        )

    def sum_exposure(
        self, bounds: settings.Bounds, old_in_flight: int = 0
    ) -> canary.Exposure:
        """The requests sent so far, and how many may meet a bad version."""
        peer_counts = self.peer_counts.values()
        return canary.Exposure(
            share=bounds.exposure_share,
            slack=bounds.exposure_slack,
            sent=self.sent + sum(each.sent for each in peer_counts),
            sent_new=self.sent_new
            + sum(each.sent_new for each in peer_counts),
            old_in_flight=old_in_flight,
        )

    def sum_all_routes(self) -> canary.Tally:
        """The known counts of all entry VMs, summed over all routes."""
        return sum(self.sum_tallies().values(), canary.Tally())

    def sum_since_full_traffic(self) -> canary.Tally:
        """The known counts, with the new version's since full traffic only.

        The old version's counts include those before the switch.
        """
        total = self.sum_all_routes()
        return attrs.evolve(
            total,
            new=total.new - self.tally_before_full_traffic.new,
            new_bad=total.new_bad - self.tally_before_full_traffic.new_bad,
        )

    def sum_tallies(self) -> dict[str, canary.Tally]:
        """The known counts of all entry VMs, by route."""
        merged = dict(self.tallies)
        for each in self.peer_counts.values():
            for route, tally in each.tallies.items():
                merged[route] = merged.get(route, canary.Tally()) + tally
        return merged
