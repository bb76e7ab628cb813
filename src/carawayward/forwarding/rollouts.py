"""Chooses a service version for each request, and counts the answers.

Every entry VM counts the answers of the new and the old version and reports
its counts to its peers; each judges the sum by the same rules.
"""

import typing

import attrs

from carawayward import clock as clock_module
from carawayward.decisions import canary
from carawayward.decisions import version_history
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import kept_sessions
from carawayward.forwarding import message_types
from carawayward.forwarding import report_values
from carawayward.forwarding import rollout_state
from carawayward.forwarding import session_versions
from carawayward.forwarding import work_items

# Statuses of endpoint failures, and the one of an exceeded deadline.
SERVER_ERRORS_FROM = 500
GATEWAY_TIMEOUT = 504
# How long after an order no session begins on the new version: the time in
# which peers report the sessions that they keep on the old one.
SESSION_EXCHANGE_MS = 500.0


@attrs.define(eq=False)
class Rollouts:
    """Chooses versions according to the roll-outs ordered by operators.

    ``rollouts`` holds the latest roll-out of each service, and ``histories``
    what those before it left. ``statuses_read`` is set once the stored
    statuses have been read since this process started.
    """

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    rollouts: dict[str, rollout_state.Rollout] = attrs.field(factory=dict)
    histories: dict[str, version_history.History] = attrs.field(factory=dict)
    statuses_read: bool = False
    report_soon: typing.Callable[[], None] = lambda: None
    sessions: session_versions.SessionVersions = attrs.field(init=False)
    kept: kept_sessions.KeptSessions = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.sessions = session_versions.SessionVersions(
            self.clock, lambda: self.board.bounds.session_ms
        )
        self.kept = kept_sessions.KeptSessions(self.sessions)

    def choose_version(
        self, work: work_items.Work
    ) -> rollout_state.VersionChoice | None:
        """Choose a request's version; None if no roll-out was ordered."""
        self.apply_orders()
        rollout = self.rollouts.get(work.service)
        if rollout is None:
            return None
        if not rollout.running:
            completed = rollout.state is message_types.RolloutState.COMPLETED
            return rollout_state.VersionChoice(
                rollout,
                new=completed,
                strict=not completed,
                reason=rollout_state.Reason.ENDED,
            )
        if self.is_return(rollout):
            return rollout_state.VersionChoice(
                rollout,
                new=True,
                strict=False,
                reason=rollout_state.Reason.RETURN,
            )
        new, reason = self._chooses_new(
            rollout, work.metadata.session, work.metadata.request_id
        )
        bad = rollout.verdict is canary.Verdict.BAD
        # Which sessions agree with their draw is not known here, so that any
        # may have begun elsewhere.
        may_have_begun = bool(work.metadata.session) and (
            new or rollout.is_early(self.clock.now_ms())
        )
        return rollout_state.VersionChoice(
            rollout,
            new=new,
            strict=bad or not rollout.status_known,
            reason=reason,
            keeps_session=may_have_begun,
        )

    def _chooses_new(
        self, rollout: rollout_state.Rollout, session: str, request_id: str
    ) -> tuple[bool, rollout_state.Reason]:
        """Whether a request goes to the new version, and why.

        A session keeps its version while the new version has any share, except
        that one on the old version may move after the trial's minimum time.
        """
        now_ms = self.clock.now_ms()
        share = self.compute_share(rollout, now_ms)
        if not share:
            return False, rollout_state.Reason.NOT_SHARED
        new, reason = self._find_session(rollout, session)
        if new or (new is False and rollout.is_early(now_ms)):
            return new, reason
        # Peers may keep it on the old version and have had no time to say so.
        known_ms = now_ms - rollout.known_since_ms
        if session and new is None and known_ms < SESSION_EXCHANGE_MS:
            return False, rollout_state.Reason.NOT_SHARED
        # Runs on the old version do not count: those of a session that is kept
        # there would be sent to the new one on completion as well.
        if rollout.at_full_traffic and not self.fits_exposure(rollout, now_ms):
            return False, rollout_state.Reason.EXPOSURE
        drawn = kept_sessions.draw(
            rollout.order.version, session or request_id
        )
        return drawn < share, rollout_state.Reason.DRAW

    def _find_session(
        self, rollout: rollout_state.Rollout, session: str
    ) -> tuple[bool | None, rollout_state.Reason]:
        """Whether a session is on the new version; None if it is unknown."""
        order = rollout.order
        current = self.sessions.find(order.service, session)
        if current is not None:
            return current == order.version, rollout_state.Reason.SESSION
        new = self.kept.find(order, session) if session else None
        return new, rollout_state.Reason.PEER_SESSION

    def fits_exposure(
        self,
        rollout: rollout_state.Rollout,
        now_ms: float,
        old_in_flight: int = 0,
    ) -> bool:
        """Whether the new version may meet all requests until the end."""
        return canary.fits_exposure(
            rollout.compute_elapsed_part(now_ms),
            rollout.order.duration_ms,
            rollout.sum_exposure(self.board.bounds, old_in_flight),
        )

    def compute_share(
        self, rollout: rollout_state.Rollout, now_ms: float
    ) -> float:
        """The share of sessions that currently go to the new version."""
        if not rollout.status_known:
            return 0.0
        if (
            now_ms - rollout.status_read_ms > rollout_state.MAX_STATUS_AGE_MS
            and not rollout.at_full_traffic
        ):
            return 0.0
        part = rollout.compute_elapsed_part(now_ms)
        exposure = rollout.sum_exposure(
            self.board.bounds, rollout.count_old_in_flight(now_ms)
        )
        share = canary.compute_share(part, rollout.verdict, exposure)
        # After the switch to full traffic only a halt moves traffic back:
        # otherwise sessions would change their version a second time.
        if (
            rollout.at_full_traffic
            and rollout.verdict is not canary.Verdict.BAD
        ):
            return 1.0
        if share >= 1.0 and not rollout.at_full_traffic:
            rollout.tally_before_full_traffic = rollout.sum_all_routes()
        rollout.at_full_traffic = share >= 1.0
        return share

    def limit_endpoints(
        self, choice: rollout_state.VersionChoice, endpoints: int
    ) -> int:
        """The number of the chosen version's endpoints to use."""
        rollout = choice.rollout
        if not choice.new or not self.is_on_trial(
            rollout.order.service, rollout.order.version
        ):
            return endpoints
        share = self.compute_share(choice.rollout, self.clock.now_ms())
        return canary.count_trial_endpoints(endpoints, share)

    def is_on_trial(self, service: str, version: str) -> bool:
        """Whether a version is introduced, or was and has not been completed.

        False for one that is stable.
        """
        rollout = self.rollouts.get(service)
        if rollout is None:
            return False
        if rollout.order.version == version:
            return rollout.running and not self.is_return(rollout)
        return version in self.list_unusable(rollout)

    def is_return(self, rollout: rollout_state.Rollout) -> bool:
        """Whether a roll-out returns to a version that is known to be good."""
        history = self.histories.get(rollout.order.service)
        return history is not None and rollout.order.version in history.stable

    def list_unusable(self, rollout: rollout_state.Rollout) -> frozenset[str]:
        """The versions that earlier roll-outs have not completed."""
        history = self.histories.get(rollout.order.service)
        if history is None:
            return frozenset()
        return history.list_unusable(rollout.order.version)

    def list_undecided(self, service: str) -> tuple[str, ...]:
        """The versions whose roll-outs were superseded, undecided."""
        history = self.histories.get(service)
        return history.undecided if history is not None else ()

    def is_history_known(self, service: str) -> bool:
        """Whether this process knows how the earlier roll-outs ended.

        One that starts reads that from the store, after the newest order.
        """
        return self.statuses_read or service not in self.board.orders_at_start

    def begin(
        self,
        choice: rollout_state.VersionChoice | None,
        work: work_items.Work,
        version: str,
    ) -> rollout_state.Run | None:
        """Record the start of a run on an endpoint of ``version``.

        Returns None if no roll-out was ordered. ``version`` decides for which
        version the run counts, because without an endpoint of the chosen
        version the other one serves.
        """
        self.sessions.begin(work.service, work.metadata.session, version)
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
        """Record the end of a run, whatever its outcome.

        This includes runs whose callers have left.
        """
        self.sessions.end(
            work.service, work.metadata.session, work.progress.version
        )
        if run is None:
            return
        rollout = run.rollout
        rollout.runs.discard(run)
        if not run.new:
            rollout.old_in_flight -= 1
        # Without a status the connection broke, which says nothing about the
        # version.
        status = run.progress.status
        if status is not None and not run.counted:
            self._count_answer(run, status)

    def _count_answer(self, run: rollout_state.Run, status: int) -> None:
        answer_ms = run.progress.ttft_ms
        if answer_ms is None:
            answer_ms = self.clock.now_ms() - run.progress.began_ms
        if status == GATEWAY_TIMEOUT:
            # The endpoint exceeded the deadline that the caller set. That
            # counts against the version only if the time taken is unusual.
            if run.is_slow(answer_ms):
                self._count(run, bad=True)
            return
        if status >= SERVER_ERRORS_FROM:
            self._count(run, bad=True)
            return
        self._count_success(run, answer_ms)

    def _count_success(self, run: rollout_state.Run, answer_ms: float) -> None:
        """Count a successful answer, as a bad one if it was too slow."""
        slow = run.is_slow(answer_ms)
        if not slow:
            run.record_latency(answer_ms)
        self._count(run, bad=slow)

    def count_started_streams(self, rollout: rollout_state.Rollout) -> None:
        """Count running streams by the time to their first token.

        Long streams outlive the trial: a version that is several times slower
        would be detected only by its few short answers, and there would be
        little evidence for a good one at the end of the roll-out. Streams
        without a first token are not counted: their endpoint may have died.
        """
        for run in list(rollout.runs):
            ttft_ms = run.progress.ttft_ms
            if not run.counted and ttft_ms is not None:
                self._count_success(run, ttft_ms)

    def _count(self, run: rollout_state.Run, bad: bool) -> None:
        run.counted = True
        rollout, route = run.rollout, run.kind[0]
        answer = (
            canary.Tally(new=1, new_bad=int(bad))
            if run.new
            else canary.Tally(old=1, old_bad=int(bad))
        )
        total = rollout.tallies.get(route, canary.Tally())
        rollout.tallies[route] = total + answer
        if bad and run.new:
            self.judge(rollout)

    def _halt(self, rollout: rollout_state.Rollout) -> None:
        """Adopt a peer's verdict that the version is bad."""
        if rollout.verdict is not canary.Verdict.BAD and not self.is_return(
            rollout
        ):
            self._set_verdict(rollout, canary.Verdict.BAD)

    def _set_verdict(
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
        """Judge by all known counts; a bad verdict is never revoked."""
        if rollout.verdict is canary.Verdict.BAD or not rollout.running:
            return
        if self.is_return(rollout):
            return
        verdict = canary.judge(rollout.sum_tallies())
        if verdict is not rollout.verdict:
            self._set_verdict(rollout, verdict)

    def apply_orders(self) -> None:
        """Start the roll-outs ordered since the last call."""
        for service, order in self.board.orders.items():
            known = self.rollouts.get(service)
            if known is None or known.order != order:
                if known is not None:
                    self._supersede(known)
                self.rollouts[service] = rollout_state.Rollout(
                    order, self.clock.now_ms()
                )
                self.report_soon()

    def _supersede(self, rollout: rollout_state.Rollout) -> None:
        """Record how a roll-out ended that another order has replaced."""
        service, version = rollout.order.service, rollout.order.version
        history = self.histories.get(service, version_history.History())
        if rollout.state is message_types.RolloutState.COMPLETED:
            history = version_history.complete(history, version)
        elif (
            rollout.state is message_types.RolloutState.ROLLED_BACK
            or rollout.verdict is canary.Verdict.BAD
        ):
            history = version_history.reject(history, version)
        else:
            history = version_history.suspend(history, version)
        self._set_history(service, history)

    def merge_history(
        self,
        service: str,
        stored: message_types.ServiceHistory | None,
        status: message_types.RolloutStatus | None,
    ) -> None:
        """Merge the stored history and the latest status of a service."""
        rollout = self.rollouts.get(service)
        if rollout is None:
            return
        target = rollout.order.version
        history = self.histories.get(service, version_history.History())
        if stored is not None:
            is_current = stored.version == target
            earlier = stored.history
            if not is_current:
                earlier = version_history.suspend(earlier, stored.version)
            history = version_history.merge(history, earlier, is_current)
        if status is not None and status.version != target:
            if status.state is message_types.RolloutState.COMPLETED:
                history = version_history.complete(history, status.version)
            elif status.state is message_types.RolloutState.ROLLED_BACK:
                history = version_history.reject(history, status.version)
            else:
                history = version_history.suspend(history, status.version)
        self._set_history(service, history)

    def make_history(
        self, rollout: rollout_state.Rollout
    ) -> message_types.ServiceHistory:
        """The history to store together with a roll-out's status."""
        service, target = rollout.order.service, rollout.order.version
        history = self.histories.get(service, version_history.History())
        listed = frozenset(
            entry.version
            for entry in self.board.endpoints.values()
            if entry.service == service
        )
        stable = version_history.find_stable(history, target, listed)
        return message_types.ServiceHistory(
            service, target, attrs.evolve(history, stable=stable)
        )

    def _set_history(
        self, service: str, history: version_history.History
    ) -> None:
        if history == self.histories.get(service, version_history.History()):
            return
        self.histories[service] = history
        events.log_event(
            events.Event.VERSIONS_KNOWN,
            service=service,
            **attrs.asdict(history),
        )

    def apply_state(
        self, rollout: rollout_state.Rollout, state: message_types.RolloutState
    ) -> None:
        """Adopt a state that is in the store."""
        rollout.stored_state = state.value
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
        """The running roll-outs, as load reports carry them."""
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

    def describe_sessions(self) -> list:
        """The sessions that are kept against their draw."""
        now_ms = self.clock.now_ms()
        described = [
            self.kept.describe(
                rollout.order,
                rollout.is_early(now_ms),
            )
            for rollout in self.rollouts.values()
            if rollout.running
        ]
        return [each for each in described if each]

    def merge_sessions(
        self, peer: str, value: typing.Any, ttl_ms: float
    ) -> None:
        """Merge the sessions that a peer keeps against their draw.

        Raises ValueError or TypeError if they are malformed.
        """
        for each in value:
            self.kept.merge(each)

    def merge(self, peer: str, value: typing.Any, ttl_ms: float) -> None:
        """Merge what a peer reports about its roll-outs.

        Raises ValueError or TypeError if it is malformed.
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
            age_ms = report_values.check_age(age_ms)
            rollout.peer_counts[peer] = rollout_state.PeerCounts(
                expires_ms=self.clock.now_ms() + ttl_ms,
                old_in_flight=report_values.check_count(in_flight),
                sent=report_values.check_count(sent[0]),
                sent_new=report_values.check_count(sent[1]),
                tallies={
                    str(route): canary.Tally(
                        *map(report_values.check_count, counts)
                    )
                    for route, counts in tallies.items()
                },
            )
            # An entry VM that started during a roll-out would otherwise
            # count its duration from its own start.
            began_ms = self.clock.now_ms() - age_ms
            rollout.began_ms = min(rollout.began_ms, began_ms)
            # The next round judges, not each report: judging iterates over
            # the counts of all entry VMs, which at hundreds of them would
            # take a tenth of a core if done for every report.
            if halted is True:
                self._halt(rollout)
