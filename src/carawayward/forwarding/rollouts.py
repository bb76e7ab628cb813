"""Which version of a service a request goes to, and how its answers count.

Every entry VM counts the answers of the new and of the old version and tells
its counts to the others; each judges the sum by the same rules.
"""

import collections
import typing

import attrs

from carawayward import clock as clock_module
from carawayward.decisions import canary
from carawayward.decisions import placement
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import facts
from carawayward.forwarding import settings

# Without news for this long an entry VM may have missed a halt: it lets no
# session try the new version until it reads the store again.
STALE_MS = 3_500.0
# Bound of the sessions whose version is remembered.
MOST_SESSIONS = 20_000
# A session whose last request is older than its time limit by this part may
# still be counted as going on by another clock.
SESSION_SLACK = 1.2
UNIT_GAIN = 0.1
LEAST_UNITS = 3


@attrs.frozen
class Choice:
    """The version that a request goes to.

    ``new`` tells whether it is the one that the roll-out brings in; with
    ``strict`` unset the other one serves where this has no endpoint.
    """

    rollout: "Rollout"
    new: bool
    strict: bool


@attrs.frozen(kw_only=True)
class Told:
    """What another entry VM last told of a roll-out."""

    heard_ms: float
    old_in_flight: int
    sent: int
    sent_new: int
    tallies: typing.Mapping[str, canary.Tally]


@attrs.define(eq=False)
class Rollout:
    """What this entry VM knows of one order."""

    order: facts.RolloutOrder
    began_ms: float
    state: facts.RolloutState = facts.RolloutState.RUNNING
    known: bool = False
    verdict: canary.Verdict = canary.Verdict.UNKNOWN
    read_ms: float = board_module.NEVER
    rounds: int = 0
    told: str = ""
    old_in_flight: int = 0
    sent: int = 0
    sent_new: int = 0
    opened: bool = False
    tallies: dict[str, canary.Tally] = attrs.field(factory=dict)
    others: dict[str, Told] = attrs.field(factory=dict)
    units: dict[tuple[str, str], tuple[float, int]] = attrs.field(factory=dict)

    @property
    def running(self) -> bool:
        """Whether nothing has been decided yet."""
        return self.state is facts.RolloutState.RUNNING

    def find_part(self, now_ms: float) -> float:
        """The part of the time given that has passed."""
        return (now_ms - self.began_ms) / max(1.0, self.order.duration_ms)

    def count_old_in_flight(self, now_ms: float) -> int:
        """Runs on the old version, at all entry VMs that are alive."""
        return self.old_in_flight + sum(
            told.old_in_flight
            for told in self.others.values()
            if now_ms - told.heard_ms < STALE_MS
        )

    def sum_exposure(self, bounds: settings.Bounds) -> canary.Exposure:
        """What has been sent so far, against what may meet a bad version."""
        told = self.others.values()
        return canary.Exposure(
            share=bounds.exposure_share,
            slack=bounds.exposure_slack,
            sent=self.sent + sum(each.sent for each in told),
            sent_new=self.sent_new + sum(each.sent_new for each in told),
        )

    def sum_tallies(self) -> dict[str, canary.Tally]:
        """All counts that are known, by route."""
        merged = dict(self.tallies)
        for told in self.others.values():
            for route, tally in told.tallies.items():
                merged[route] = merged.get(route, canary.Tally()) + tally
        return merged


@attrs.define(eq=False)
class Rollouts:
    """Chooses versions by the roll-outs that operators order."""

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    rollouts: dict[str, Rollout] = attrs.field(factory=dict)
    sessions: collections.OrderedDict[tuple[str, str], tuple[bool, float]] = (
        attrs.field(factory=collections.OrderedDict)
    )

    def choose(self, service: str, session: str) -> Choice | None:
        """The version for a request; None where no roll-out was ordered."""
        self.take_orders()
        rollout = self.rollouts.get(service)
        if rollout is None:
            return None
        if rollout.state is facts.RolloutState.COMPLETED:
            return Choice(rollout, new=True, strict=False)
        if rollout.state is facts.RolloutState.ROLLED_BACK:
            return Choice(rollout, new=False, strict=True)
        now_ms = self.clock.now_ms()
        new = self._takes_new(rollout, session, now_ms)
        self._remember(service, session, new, now_ms)
        bad = rollout.verdict is canary.Verdict.BAD
        return Choice(rollout, new=new, strict=bad or not rollout.known)

    def _takes_new(
        self, rollout: Rollout, session: str, now_ms: float
    ) -> bool:
        share = self.find_share(rollout, now_ms)
        if not share:
            return False
        known = self.sessions.get((rollout.order.service, session))
        if known is not None:
            new, last_ms = known
            lasting = (
                now_ms - last_ms < SESSION_SLACK * self.board.bounds.session_ms
            )
            early = rollout.find_part(now_ms) < canary.TRIAL_PART
            if lasting and (new or early):
                return new
        draw = placement.hash_key(f"{rollout.order.version}/{session}")
        return draw < share * 2.0**64

    def find_share(self, rollout: Rollout, now_ms: float) -> float:
        """The share of sessions for the new version just now."""
        if not rollout.known:
            return 0.0
        if now_ms - rollout.read_ms > STALE_MS and not rollout.opened:
            return 0.0
        part = rollout.find_part(now_ms)
        exposure = rollout.sum_exposure(self.board.bounds)
        share = canary.find_share(part, rollout.verdict, exposure)
        # Once everything has gone over nothing goes back but by a halt: a
        # session would change its version a second time.
        if rollout.opened and rollout.verdict is not canary.Verdict.BAD:
            return 1.0
        rollout.opened = share >= 1.0
        return share

    def _remember(
        self, service: str, session: str, new: bool, now_ms: float
    ) -> None:
        self.sessions[service, session] = (new, now_ms)
        self.sessions.move_to_end((service, session))
        while len(self.sessions) > MOST_SESSIONS:
            self.sessions.popitem(last=False)

    def find_split(self, service: str) -> tuple[str, float] | None:
        """The version being brought in and its share; None without order."""
        rollout = self.rollouts.get(service)
        if rollout is None:
            return None
        version = rollout.order.version
        if rollout.state is facts.RolloutState.COMPLETED:
            return version, 1.0
        if rollout.state is facts.RolloutState.ROLLED_BACK:
            return version, 0.0
        return version, self.find_share(rollout, self.clock.now_ms())

    def count_endpoints(self, choice: Choice, endpoints: int) -> int:
        """On how many of the chosen version's endpoints the work goes."""
        if not choice.new or not choice.rollout.running:
            return endpoints
        share = self.find_share(choice.rollout, self.clock.now_ms())
        return canary.count_trial_endpoints(endpoints, share)

    def begin(self, choice: Choice, version: str) -> Choice:
        """A run begins on an endpoint of ``version``.

        Returns the choice as it came out: where the wanted version had no
        endpoint, the other one serves.
        """
        new = version == choice.rollout.order.version
        choice.rollout.sent += 1
        choice.rollout.sent_new += new
        if not new:
            choice.rollout.old_in_flight += 1
        return attrs.evolve(choice, new=new)

    def end(self, choice: Choice) -> None:
        """A run is over."""
        if not choice.new:
            choice.rollout.old_in_flight -= 1

    def note_answer(
        self, choice: Choice, kind: tuple[str, str], unit_ms: float
    ) -> None:
        """Count a good answer; ``unit_ms`` is its time by unit of work.

        ``kind`` is its route and model, which decide what is usual.
        """
        rollout = choice.rollout
        usual_ms, count = rollout.units.get(kind, (unit_ms, 0))
        slow = count >= LEAST_UNITS and unit_ms > canary.SLOW_FACTOR * usual_ms
        if not choice.new and not slow:
            usual_ms += UNIT_GAIN * (unit_ms - usual_ms)
            rollout.units[kind] = (usual_ms, count + 1)
        self._count(choice, kind[0], bad=slow)

    def note_failure(self, choice: Choice, route: str) -> None:
        """Count an answer that says that the endpoint failed."""
        self._count(choice, route, bad=True)

    def _count(self, choice: Choice, route: str, bad: bool) -> None:
        rollout = choice.rollout
        one = (
            canary.Tally(new=1, new_bad=int(bad))
            if choice.new
            else canary.Tally(old=1, old_bad=int(bad))
        )
        known = rollout.tallies.get(route, canary.Tally())
        rollout.tallies[route] = known + one
        if bad and choice.new:
            self.judge(rollout)

    def _halt(self, rollout: Rollout) -> None:
        """Take another entry VM's finding that the version is bad."""
        if rollout.verdict is not canary.Verdict.BAD:
            self._take_verdict(rollout, canary.Verdict.BAD)

    def _take_verdict(self, rollout: Rollout, verdict: canary.Verdict) -> None:
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

    def judge(self, rollout: Rollout) -> None:
        """Judge by all counts that are known; a halt is never taken back."""
        if rollout.verdict is canary.Verdict.BAD:
            return
        verdict = canary.judge(rollout.sum_tallies())
        if verdict is not rollout.verdict:
            self._take_verdict(rollout, verdict)

    def take_orders(self) -> None:
        """Begin what operators have ordered since the last call."""
        for service, order in self.board.orders.items():
            known = self.rollouts.get(service)
            if known is None or known.order != order:
                self.rollouts[service] = Rollout(order, self.clock.now_ms())

    def take_state(self, rollout: Rollout, state: facts.RolloutState) -> None:
        """Take what has been decided."""
        rollout.told = state.value
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
        """What the other entry VMs are told of the roll-outs under way."""
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

    def take(self, teller: str, value: typing.Any) -> None:
        """Take what another entry VM tells of its roll-outs.

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
            rollout.others[teller] = Told(
                heard_ms=self.clock.now_ms(),
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
            if halted:
                self._halt(rollout)
            self.judge(rollout)
