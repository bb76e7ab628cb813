"""Moves a service's traffic to a new version, or back.

Every entry VM counts the answers of the new and of the old version, and
tells its counts through a topic of the store; each judges the sum by the
same rules. What has been decided stands in the status that operators read.
It is written on condition that nothing was written since it was read, so
that of two entry VMs that decide at once one sees the other's decision.
"""

import collections
import json
import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.decisions import canary
from carawayward.decisions import placement
from carawayward import errors
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import facts
from carawayward.forwarding import keyed_log
from carawayward import supervision

# How often new orders are looked for.
TICK_MS = 200.0
# How often counts are told and read while a roll-out runs. A step of the
# roll-out lasts at least this long at the shortest time that operators give,
# 16 s; each call costs, so not more often.
ROUND_MS = 1_000.0
# Without news for this long an entry VM may have missed a halt: it lets no
# session try the new version until it reads the store again.
STALE_MS = 3_500.0
# Entry VMs act on a decision one after the other, so that mostly one does.
TURN_MS = 150.0
MOST_TURNS = 6
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
    others_old_in_flight: int = 0
    tallies: dict[str, canary.Tally] = attrs.field(factory=dict)
    others: dict[str, canary.Tally] = attrs.field(factory=dict)
    units: dict[tuple[str, str], tuple[float, int]] = attrs.field(factory=dict)

    @property
    def running(self) -> bool:
        """Whether nothing has been decided yet."""
        return self.state is facts.RolloutState.RUNNING

    def find_part(self, now_ms: float) -> float:
        """The part of the time given that has passed."""
        return (now_ms - self.began_ms) / max(1.0, self.order.duration_ms)


@attrs.define(eq=False)
class RolloutsController:
    """Runs the roll-outs that operators order."""

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    evidence: keyed_log.KeyedLog
    statuses: keyed_log.KeyedLog
    decode_status: typing.Callable[
        [keyed_log.Record], facts.RolloutStatus | None
    ]
    encode_status: typing.Callable[[facts.RolloutStatus], keyed_log.Record]
    rollouts: dict[str, Rollout] = attrs.field(factory=dict)
    sessions: collections.OrderedDict[tuple[str, str], tuple[bool, float]] = (
        attrs.field(factory=collections.OrderedDict)
    )

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to look for orders."""
        nursery.start_soon(supervision.keep_running, self._watch, ())

    async def close(self) -> None:
        """Nothing to release; the nursery ends the task."""

    def choose(self, service: str, session: str) -> Choice | None:
        """The version for a request; None where no roll-out was ordered."""
        self._take_orders()
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
        share = self._find_share(rollout, now_ms)
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

    def _find_share(self, rollout: Rollout, now_ms: float) -> float:
        if not rollout.known:
            return 0.0
        part = rollout.find_part(now_ms)
        share = canary.find_share(part, rollout.verdict)
        if now_ms - rollout.read_ms > STALE_MS and share < 1.0:
            return 0.0
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
        return version, self._find_share(rollout, self.clock.now_ms())

    def count_endpoints(self, choice: Choice, endpoints: int) -> int:
        """On how many of the chosen version's endpoints the work goes."""
        if not choice.new or not choice.rollout.running:
            return endpoints
        share = self._find_share(choice.rollout, self.clock.now_ms())
        return canary.count_trial_endpoints(endpoints, share)

    def begin(self, choice: Choice, version: str) -> Choice:
        """A run begins on an endpoint of ``version``.

        Returns the choice as it came out: where the wanted version had no
        endpoint, the other one serves.
        """
        new = version == choice.rollout.order.version
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
            self._judge(rollout)

    def _judge(self, rollout: Rollout) -> None:
        """Judge by all counts that are known; a halt is never taken back."""
        if rollout.verdict is canary.Verdict.BAD:
            return
        names = {*rollout.tallies, *rollout.others}
        none = canary.Tally()
        merged = {
            name: rollout.tallies.get(name, none)
            + rollout.others.get(name, none)
            for name in names
        }
        verdict = canary.judge(merged)
        if verdict is rollout.verdict:
            return
        rollout.verdict = verdict
        events.log_event(
            events.Event.ROLLOUT_JUDGED,
            service=rollout.order.service,
            version=rollout.order.version,
            verdict=verdict.value,
            tallies={n: attrs.astuple(t) for n, t in merged.items()},
        )

    def _take_orders(self) -> None:
        for service, order in self.board.orders.items():
            known = self.rollouts.get(service)
            if known is None or known.order != order:
                self.rollouts[service] = Rollout(order, self.clock.now_ms())

    async def _watch(self) -> None:
        while True:
            self._take_orders()
            for rollout in list(self.rollouts.values()):
                if rollout.running:
                    await self._step(rollout)
            running = any(each.running for each in self.rollouts.values())
            await self.clock.sleep(ROUND_MS if running else TICK_MS)

    async def _step(self, rollout: Rollout) -> None:
        """One round: tell, read, judge, and write what is decided."""
        try:
            await self._read_evidence(rollout)
            end = await self._read_status(rollout)
            rollout.known = True
            rollout.read_ms = self.clock.now_ms()
            rollout.rounds += 1
            self._judge(rollout)
            await self._decide(rollout, end)
            await self._tell(rollout)
        except errors.PlatformUnavailable:
            # The feeds log outages; the next round tries again.
            return
        except keyed_log.Conflict:
            # Somebody else wrote in between; the next round reads it.
            return

    async def _decide(self, rollout: Rollout, end: int) -> None:
        """Write the status that the counts ask for, if it is not there."""
        wanted = self._find_wanted(rollout)
        if wanted is None:
            return
        turn = placement.hash_key(f"{self.board.name}/{rollout.order}")
        await self.clock.sleep(TURN_MS * (turn % MOST_TURNS))
        end = await self._read_status(rollout)
        wanted = self._find_wanted(rollout)
        if wanted is None:
            return
        status = facts.RolloutStatus(
            rollout.order.service, rollout.order.version, wanted
        )
        await self.statuses.append([self.encode_status(status)], end)
        self._take_state(rollout, wanted)

    def _find_wanted(self, rollout: Rollout) -> facts.RolloutState | None:
        """The state to write, None if nothing is to be written."""
        if not rollout.running:
            return None
        part = rollout.find_part(self.clock.now_ms())
        in_flight = rollout.old_in_flight + rollout.others_old_in_flight
        if rollout.verdict is canary.Verdict.BAD:
            return facts.RolloutState.ROLLED_BACK
        if canary.may_complete(part, rollout.verdict, in_flight):
            return facts.RolloutState.COMPLETED
        if part > 1.0:
            return facts.RolloutState.ROLLED_BACK
        if rollout.told:
            return None
        return facts.RolloutState.RUNNING

    def _take_state(self, rollout: Rollout, state: facts.RolloutState) -> None:
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

    async def _read_status(self, rollout: Rollout) -> int:
        """Take the status that stands in the store; return the log's end."""
        batch = await self.statuses.read_newest()
        for record in batch.records:
            status = self.decode_status(record)
            if (
                status is not None
                and status.service == rollout.order.service
                and status.version == rollout.order.version
                and rollout.running
            ):
                self._take_state(rollout, status.state)
        return batch.end

    async def _read_evidence(self, rollout: Rollout) -> None:
        batch = await self.evidence.read_newest()
        others: dict[str, canary.Tally] = {}
        in_flight = 0
        for record in batch.records:
            told = read_evidence(record, rollout.order)
            if told is None or told.teller == self._teller:
                continue
            in_flight += told.old_in_flight
            self._take_age(rollout, told.age_ms)
            for route, tally in told.tallies.items():
                others[route] = others.get(route, canary.Tally()) + tally
        rollout.others = others
        rollout.others_old_in_flight = in_flight

    def _take_age(self, rollout: Rollout, age_ms: float) -> None:
        """Learn from others how long ago the order came.

        An entry VM that started amid a roll-out would begin it anew.
        """
        began_ms = self.clock.now_ms() - age_ms
        rollout.began_ms = min(rollout.began_ms, began_ms)

    @property
    def _teller(self) -> str:
        return f"{self.board.name}/{self.board.incarnation}"

    async def _tell(self, rollout: Rollout) -> None:
        record = write_evidence(
            Evidence(
                teller=self._teller,
                age_ms=self.clock.now_ms() - rollout.began_ms,
                old_in_flight=rollout.old_in_flight,
                tallies=rollout.tallies,
            ),
            rollout.order,
        )
        await self.evidence.append([record])


@attrs.frozen(kw_only=True)
class Evidence:
    """What one entry VM tells of one roll-out."""

    teller: str
    age_ms: float
    old_in_flight: int
    tallies: typing.Mapping[str, canary.Tally]


def write_evidence(
    evidence: Evidence, order: facts.RolloutOrder
) -> keyed_log.Record:
    """A record of the evidence topic."""
    value = {
        "service": order.service,
        "version": order.version,
        "age_ms": round(evidence.age_ms),
        "old_in_flight": evidence.old_in_flight,
        "tallies": {
            route: attrs.astuple(tally)
            for route, tally in evidence.tallies.items()
        },
    }
    return keyed_log.Record(evidence.teller, json.dumps(value).encode())


def read_evidence(
    record: keyed_log.Record, order: facts.RolloutOrder
) -> Evidence | None:
    """Evidence of an order's roll-out; None if it is none or unreadable."""
    try:
        value = json.loads(record.value or b"")
        if (value["service"], value["version"]) != (
            order.service,
            order.version,
        ):
            return None
        return Evidence(
            teller=record.key,
            age_ms=float(value["age_ms"]),
            old_in_flight=int(value["old_in_flight"]),
            tallies={
                route: canary.Tally(*(int(count) for count in counts))
                for route, counts in value["tallies"].items()
            },
        )
    except (KeyError, TypeError, ValueError, AttributeError) as fault:
        events.log_event(
            events.Event.ENTRY_UNREADABLE,
            key=record.key,
            offset=record.offset,
            fault=type(fault).__name__,
        )
        return None
