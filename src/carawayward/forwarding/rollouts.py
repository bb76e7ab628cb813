"""Which version of a service a request goes to, and how its answers count.

Every entry VM counts the answers of the new and of the old version and reports
its counts to the others; each judges the sum by the same rules.
"""

import typing

import attrs

from carawayward import clock as clock_module
from carawayward.decisions import canary
from carawayward.decisions import placement
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import message_types
from carawayward.forwarding import rollout_state
from carawayward.forwarding import session_versions
from carawayward.forwarding import work_items

# Statuses by which an endpoint says that it failed, and that the time which
# it was given is over.
FAILURES_FROM = 500
TIME_OVER = 504


@attrs.define(eq=False)
class Rollouts:
    """Chooses versions by the roll-outs that operators order."""

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    rollouts: dict[str, rollout_state.Rollout] = attrs.field(factory=dict)
    sessions: session_versions.SessionVersions = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.sessions = session_versions.SessionVersions(
            self.clock, lambda: self.board.bounds.session_ms
        )

    def choose_version(
        self, work: work_items.Work
    ) -> rollout_state.VersionChoice | None:
        """The version for a request; None where no roll-out was ordered."""
        self.apply_orders()
        service, session = work.service, work.metadata.session
        rollout = self.rollouts.get(service)
        if rollout is None:
            self.sessions.record(service, session, "")
            return None
        if rollout.state is message_types.RolloutState.COMPLETED:
            return rollout_state.VersionChoice(rollout, new=True, strict=False)
        if rollout.state is message_types.RolloutState.ROLLED_BACK:
            return rollout_state.VersionChoice(rollout, new=False, strict=True)
        new = self._takes_new(rollout, session, work.metadata.request_id)
        version = rollout.order.version if new else ""
        self.sessions.record(service, session, version)
        bad = rollout.verdict is canary.Verdict.BAD
        return rollout_state.VersionChoice(
            rollout, new=new, strict=bad or not rollout.known
        )

    def _takes_new(
        self, rollout: rollout_state.Rollout, session: str, request_id: str
    ) -> bool:
        now_ms = self.clock.now_ms()
        share = self.find_share(rollout, now_ms)
        if not share:
            return False
        version = rollout.order.version
        known = self.sessions.find(rollout.order.service, session)
        if known is not None:
            new = known == version
            early = rollout.find_part(now_ms) < canary.TRIAL_PART
            if new or early:
                return new
        if rollout.opened and not canary.may_start_session(
            rollout.find_part(now_ms),
            rollout.order.duration_ms,
            rollout.sum_exposure(self.board.bounds),
        ):
            return False
        draw = placement.hash_key(f"{version}/{session or request_id}")
        return draw < share * 2.0**64

    def find_share(
        self, rollout: rollout_state.Rollout, now_ms: float
    ) -> float:
        """The share of sessions for the new version just now."""
        if not rollout.known:
            return 0.0
        if (
            now_ms - rollout.read_ms > rollout_state.MAX_STATUS_AGE_MS
            and not rollout.opened
        ):
            return 0.0
        part = rollout.find_part(now_ms)
        exposure = rollout.sum_exposure(self.board.bounds)
        share = canary.compute_share(part, rollout.verdict, exposure)
        # Once everything has gone over nothing goes back but by a halt: a
        # session would change its version a second time.
        if rollout.opened and rollout.verdict is not canary.Verdict.BAD:
            return 1.0
        if share >= 1.0 and not rollout.opened:
            rollout.opening = rollout.sum_routes()
        rollout.opened = share >= 1.0
        return share

    def limit_endpoints(
        self, choice: rollout_state.VersionChoice, endpoints: int
    ) -> int:
        """On how many of the chosen version's endpoints the work goes."""
        if not choice.new or not choice.rollout.running:
            return endpoints
        share = self.find_share(choice.rollout, self.clock.now_ms())
        return canary.count_trial_endpoints(endpoints, share)

    def is_on_trial(self, service: str, version: str) -> bool:
        """Whether a roll-out under way brings in this version."""
        rollout = self.rollouts.get(service)
        return (
            rollout is not None
            and rollout.running
            and rollout.order.version == version
        )

    def begin(
        self,
        choice: rollout_state.VersionChoice | None,
        work: work_items.Work,
        version: str,
    ) -> rollout_state.Run | None:
        """A run begins on an endpoint of ``version``.

        None where no roll-out was ordered. Where the wanted version had no
        endpoint the other one serves, so ``version`` decides what it is.
        """
        if choice is None:
            return None
        rollout = choice.rollout
        new = version == rollout.order.version
        rollout.sent += 1
        rollout.sent_new += new
        if not new:
            rollout.old_in_flight += 1
        kind = (work.route.name, work.model_name)
        run = rollout_state.Run(rollout, new, kind, work.progress)
        if rollout.running:
            rollout.runs.add(run)
        return run

    def end(
        self, run: rollout_state.Run | None, work: work_items.Work
    ) -> None:
        """A run is over, however it ended and whether its caller has left."""
        self.sessions.touch(work.service, work.metadata.session)
        if run is None:
            return
        rollout = run.rollout
        rollout.runs.discard(run)
        if not run.new:
            rollout.old_in_flight -= 1
        # Without a status the connection broke, which says nothing of the
        # version.
        status = run.progress.status
        if status is not None and not run.counted:
            self._count_answer(run, status)

    def _count_answer(self, run: rollout_state.Run, status: int) -> None:
        answer_ms = run.progress.ttft_ms
        if answer_ms is None:
            answer_ms = self.clock.now_ms() - run.progress.began_ms
        if status == TIME_OVER:
            # The endpoint ran out of the time that it was given, which is
            # the caller's own doing unless it used to be enough.
            if run.is_slow(answer_ms):
                self._count(run, bad=True)
            return
        if status >= FAILURES_FROM:
            self._count(run, bad=True)
            return
        self._count_success(run, answer_ms)

    def _count_success(self, run: rollout_state.Run, answer_ms: float) -> None:
        """Count an answer that is no failure; it may still be too slow."""
        slow = run.is_slow(answer_ms)
        if not slow:
            run.learn(answer_ms)
        self._count(run, bad=slow)

    def count_streams(self, rollout: rollout_state.Rollout) -> None:
        """Count streams by their first tokens, before they end.

        Long streams outlive the trial: a version that is several times slower
        would be found out only by its few short answers, and little would be
        known of a good one when its time is up. A first token that has not
        come counts for nothing: its endpoint may have died.
        """
        for run in list(rollout.runs):
            ttft_ms = run.progress.ttft_ms
            if not run.counted and ttft_ms is not None:
                self._count_success(run, ttft_ms)

    def _count(self, run: rollout_state.Run, bad: bool) -> None:
        run.counted = True
        rollout, route = run.rollout, run.kind[0]
        one = (
            canary.Tally(new=1, new_bad=int(bad))
            if run.new
            else canary.Tally(old=1, old_bad=int(bad))
        )
        known = rollout.tallies.get(route, canary.Tally())
        rollout.tallies[route] = known + one
        if bad and run.new:
            self.judge(rollout)

    def _halt(self, rollout: rollout_state.Rollout) -> None:
        """Take another entry VM's finding that the version is bad."""
        if rollout.verdict is not canary.Verdict.BAD:
            self._take_verdict(rollout, canary.Verdict.BAD)

    def _take_verdict(
        self, rollout: rollout_state.Rollout, verdict: canary.Verdict
    ) -> None:
        rollout.verdict = verdict
        events.log_event(
            events.Event.ROLLOUT_JUDGED,
            service=rollout.order.service,
            version=rollout.order.version,
            verdict=verdict.value,
            tallies={
                name: attrs.astuple(tally)
                for name, tally in rollout.sum_tallies().items()
            },
        )

    def judge(self, rollout: rollout_state.Rollout) -> None:
        """Judge by all counts that are known; a halt is never taken back."""
        if rollout.verdict is canary.Verdict.BAD or not rollout.running:
            return
        verdict = canary.judge(rollout.sum_tallies())
        if verdict is not rollout.verdict:
            self._take_verdict(rollout, verdict)

    def apply_orders(self) -> None:
        """Begin what operators have ordered since the last call."""
        for service, order in self.board.orders.items():
            known = self.rollouts.get(service)
            if known is None or known.order != order:
                self.rollouts[service] = rollout_state.Rollout(
                    order, self.clock.now_ms()
                )

    def take_state(
        self, rollout: rollout_state.Rollout, state: message_types.RolloutState
    ) -> None:
        """Take what has been decided."""
        rollout.reported = state.value
        if state is rollout.state:
            return
        rollout.state = state
        events.log_event(
            events.Event.ROLLOUT_ENDED,
            service=rollout.order.service,
            version=rollout.order.version,
            state=state.value,
        )

    def describe(self) -> list:
        """What reports to other entry VMs say of the roll-outs under way."""
        now_ms = self.clock.now_ms()
        return [
            [
                service,
                rollout.order.version,
                round(now_ms - rollout.began_ms),
                rollout.old_in_flight,
                rollout.verdict is canary.Verdict.BAD,
                [rollout.sent, rollout.sent_new],
                {
                    route: list(attrs.astuple(tally))
                    for route, tally in rollout.tallies.items()
                },
            ]
            for service, rollout in self.rollouts.items()
            if rollout.running
        ]

    def merge(self, peer: str, value: typing.Any, ttl_ms: float) -> None:
        """Take what another entry VM reports of its roll-outs.

        Raises ValueError or TypeError for what cannot be read.
        """
        for (
            service,
            version,
            age_ms,
            in_flight,
            halted,
            sent,
            tallies,
        ) in value:
            rollout = self.rollouts.get(service)
            if rollout is None or rollout.order.version != version:
                continue
            rollout.others[peer] = rollout_state.PeerCounts(
                expires_ms=self.clock.now_ms() + ttl_ms,
                old_in_flight=int(in_flight),
                sent=int(sent[0]),
                sent_new=int(sent[1]),
                tallies={
                    str(route): canary.Tally(*(int(n) for n in counts))
                    for route, counts in tallies.items()
                },
            )
            # An entry VM that started amid a roll-out would begin it anew.
            began_ms = self.clock.now_ms() - float(age_ms)
            rollout.began_ms = min(rollout.began_ms, began_ms)
            # Judging goes through the counts of all entry VMs: at hundreds
            # of them, doing so for each report would take a tenth of a core.
            # The next round judges.
            if halted:
                self._halt(rollout)
