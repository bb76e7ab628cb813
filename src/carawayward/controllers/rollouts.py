"""Moves roll-outs through their stages by the log, and halts them.

Every entry VM runs this; none is in charge. What a roll-out has reached is
a fold of the stream, passed on by peers as well, so an entry VM without the
log follows through any that has it. Halts act here at once and are told to
peers before they are in the log.
"""

import typing

import attrs
import trio

from carawayward import blackboard as blackboard_module
from carawayward import clock as clock_module
from carawayward.controllers import budgets
from carawayward.controllers import rollout_reader
from carawayward.controllers import trial_groups
from carawayward.decisions import exposure
from carawayward.decisions import rollout as decisions
from carawayward import declaration as declaration_module
from carawayward import errors
from carawayward import events
from carawayward.peers import hub as hub_module
from carawayward.protocol import freshness
from carawayward import quality
from carawayward import rollout_declaration
from carawayward.services import log as log_module

INTERVAL_MS = 1_000.0
RETRY_MS = 1_000.0
# A read vouches for what was in the log when it was asked for. Two of them
# must fit into the lease, or an entry VM would lapse on a quiet stream.
READ_WAIT_MS = 4_000
# Any entry VM may append an advance or a halt. They take turns by rank, so
# that one append is enough as a rule, and the next one follows soon.
TURN_MS = 1_500.0
LAST_TURN = 20
# Views of who is alive differ by the time that gossip takes; a short wait
# would give each entry VM of a large domain holders of its own.
HEARD_WITHIN_MS = 60_000.0
# A new entry VM does not yet know the others, and would take itself for the
# holder of every version.
SETTLE_MS = 10_000.0
# Peers are told at once of what changed, else now and then.
RETELL_MS = 5_000.0
# Well under any retention, and re-appended only if nobody else has.
SNAPSHOT_MS = 600_000
# Ratings of an entry VM that has vanished cannot come; after this time what
# it spent no longer weighs on its failure domain's budget.
WRITE_OFF_MS = 900_000.0
STARVED_MS = 300_000.0


@attrs.define
class RolloutsController:
    """Keeps ``board.quality.trials`` and ``board.quality.halted``."""

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    hub: hub_module.PeerHub
    reader: rollout_reader.RolloutReader
    halts: dict[tuple[str, int], decisions.Halt] = attrs.field(factory=dict)
    begun_ms: float = float("-inf")
    _told: str = ""
    _told_ms: float = float("-inf")
    _due: dict[str, float] = attrs.field(factory=dict)
    _bad_seen: dict[str, float] = attrs.field(factory=dict)
    _alive: dict[str, float] = attrs.field(factory=dict)
    _starved: dict[str, float] = attrs.field(factory=dict)

    @classmethod
    def from_config(
        cls,
        board: blackboard_module.Blackboard,
        clock: clock_module.Clock,
        hub: hub_module.PeerHub,
        log: log_module.LogClient,
    ) -> "RolloutsController":
        """Make a controller that has read nothing yet."""
        reader = rollout_reader.RolloutReader(clock, log)
        return cls(board, clock, hub, reader)

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to follow the stream and to judge roll-outs."""
        self.begun_ms = self.clock.now_ms()
        self.hub.handle("rollouts", self.merge_peer_state)
        nursery.start_soon(self._follow_log)
        nursery.start_soon(self._keep_judging)

    async def close(self) -> None:
        """Nothing to release; the nursery ends the tasks."""

    async def _follow_log(self) -> None:
        while True:
            try:
                await self.reader.read_once(READ_WAIT_MS)
                self.refresh()
            except errors.PlatformUnavailable:
                await self.clock.sleep(RETRY_MS)

    async def _keep_judging(self) -> None:
        while True:
            await self.clock.sleep(INTERVAL_MS)
            self.refresh()
            halted = self.evaluate_all()
            await self.notify_peers()
            try:
                await self.append_due(halted)
            except errors.PlatformUnavailable:
                continue

    def refresh(self) -> None:
        """Write the trials as they stand to the blackboard."""
        part, config = self.board.quality, self.board.config
        if config is None or not self.reader.state.known:
            return
        trials = {}
        for declared in config.declaration.rollouts:
            version = config.versions[declared.to_version]
            if version.state is declaration_module.VersionState.CANARY:
                trials[declared.model] = self._make_trial(declared, version)
        part.trials = trials
        halted = [t for t in trials.values() if t.progress.halted]
        withdraw = rollout_declaration.OnHalt.WITHDRAW
        part.halted = frozenset(
            t.declared.to_version
            for t in halted
            if t.declared.on_halt is withdraw
        )
        self._forget_accounts()

    def _make_trial(
        self,
        declared: rollout_declaration.Rollout,
        version: declaration_module.Version,
    ) -> quality.Trial:
        here = self.board.failure_domain
        progress = self.find_progress(declared.name)
        index = min(max(progress.stage, 0), len(declared.stages) - 1)
        stage = declared.stages[index]
        names = [*self.list_peers(here), self.board.name]
        budget = stage.exposure_budget.get(here, 0)
        holders = exposure.choose_holders(
            names, declared.to_version, stage.share, budget
        )
        return quality.Trial(
            declared=declared,
            progress=progress,
            budget_key=quality.BudgetKey(
                declared.to_version, progress.base, here
            ),
            share=stage.share,
            budget=budget,
            holders=tuple(holders),
            members=len(names),
            open=freshness.may_start(version, self.is_fresh()),
        )

    def find_progress(self, name: str) -> decisions.Progress:
        """Where a roll-out stands, halts that are not in the log included."""
        progress = self.reader.state.progress.get(name, decisions.Progress())
        halt = self.halts.get((name, progress.generation))
        if halt is not None and not progress.halted:
            return attrs.evolve(progress, halted=halt.reason)
        return progress

    def is_fresh(self) -> bool:
        """Whether a halt in the log would be known here by now."""
        now = self.clock.now_ms()
        read = now - self.reader.proof_ms < self.board.lease_ms
        settled = now - self.begun_ms > SETTLE_MS
        return read and settled and self.board.is_fresh(now)

    def list_peers(self, failure_domain: str = "") -> list[str]:
        """Live entry VMs besides this one."""
        now = self.clock.now_ms()
        return [
            vm.name
            for vm in self.board.entry_vms.values()
            if failure_domain in ("", vm.failure_domain)
            and vm.name != self.board.name
            and not vm.leaving
            and now - vm.last_heard_ms < HEARD_WITHIN_MS
        ]

    def _forget_accounts(self) -> None:
        """Drop accounts of past stages and of vanished entry VMs."""
        part, now = self.board.quality, self.clock.now_ms()
        current = {trial.budget_key for trial in part.trials.values()}
        for account in set(part.accounts) - current:
            del part.accounts[account]
        live = {vm.incarnation for vm in self.board.entry_vms.values()}
        for origin in live | {self.board.incarnation}:
            self._alive[origin] = now
        for accounts in part.accounts.values():
            for origin in list(accounts):
                seen = self._alive.setdefault(origin, now)
                if now - seen > WRITE_OFF_MS:
                    del accounts[origin]

    def evaluate_all(self) -> list[decisions.Halt]:
        """Halt what must be halted; return halts that need the log."""
        for trial in self.board.quality.trials.values():
            if not trial.progress.halted and trial.progress.stage >= 0:
                self._judge(trial)
                self._watch_room(trial)
        progress = self.reader.state.progress
        none = decisions.Progress()
        return [
            halt
            for (name, generation), halt in self.halts.items()
            if progress.get(name, none).generation == generation
            and not progress.get(name, none).halted
        ]

    def _judge(self, trial: quality.Trial) -> None:
        config, part = self.board.config, self.board.quality
        assert config is not None
        name = trial.declared.name
        bad = trial_groups.count(part.trial_evidence, trial).bad
        # Only another bad rating can raise the evidence.
        if bad == self._bad_seen.get(name):
            return
        self._bad_seen[name] = bad
        worst = trial_groups.find_worse_group(part, trial, config.declaration)
        if worst:
            self.halt(trial, f"worse than its baseline in {worst}")

    def halt(self, trial: quality.Trial, reason: str) -> None:
        """Halt a roll-out here and now."""
        halt = decisions.Halt(
            rollout=trial.declared.name,
            generation=trial.progress.generation,
            node=self.board.name,
            reason=reason,
        )
        self.record_halt(halt)

    def record_halt(self, halt: decisions.Halt) -> None:
        """Take note of a halt from anywhere; a halt is never taken back."""
        key = (halt.rollout, halt.generation)
        if key in self.halts:
            return
        self.halts[key] = halt
        events.log_event(
            events.Event.ROLLOUT_HALTED,
            rollout=halt.rollout,
            by=halt.node,
            reason=halt.reason,
        )
        self.refresh()

    def _watch_room(self, trial: quality.Trial) -> None:
        """Say when a budget has been spent for long."""
        name, now = trial.declared.name, self.clock.now_ms()
        accounts = self.board.quality.accounts.get(trial.budget_key, {})
        spent = sum(each.outstanding for each in accounts.values())
        if spent < trial.budget or trial.done:
            self._starved.pop(name, None)
            return
        since = self._starved.setdefault(name, now)
        if now - since > STARVED_MS:
            self._starved[name] = now
            events.log_event(
                events.Event.ROLLOUT_STARVED, rollout=name, of=trial.budget
            )

    def is_turn(self, subject: str) -> bool:
        """Whether it is this entry VM's turn to append for ``subject``."""
        names = [*self.list_peers(), self.board.name]
        names.sort(key=lambda name: exposure.rank(name, subject))
        position = min(names.index(self.board.name), LAST_TURN)
        now = self.clock.now_ms()
        due = self._due.setdefault(subject, now + position * TURN_MS)
        if now < due:
            return False
        self._due[subject] = now + (LAST_TURN + position) * TURN_MS
        return True

    async def append_due(self, halts: list[decisions.Halt]) -> None:
        """Append halts, advances and snapshots whose turn has come."""
        state = self.reader.state
        if not state.known:
            return
        records: list[decisions.Record] = [
            halt
            for halt in halts
            if self.is_turn(f"halt {halt.rollout} {halt.generation}")
        ]
        for trial in self.board.quality.trials.values():
            advance = self.find_advance(trial)
            subject = f"advance {trial.declared.name} {trial.progress.base}"
            if advance is None:
                self._due.pop(subject, None)
            elif self.is_turn(subject):
                records.append(advance)
        age = self.clock.wall_ms() - self.reader.snapshot_ms
        if state.progress and age > SNAPSHOT_MS:
            snapshot = decisions.make_snapshot(state)
            if snapshot is not None and self.is_turn("snapshot"):
                records.append(snapshot)
        if records:
            encoded = [decisions.encode(record) for record in records]
            await self.reader.log.append(rollout_reader.STREAM, encoded)

    def find_advance(self, trial: quality.Trial) -> decisions.Advance | None:
        """The next step of a roll-out, if it may be taken."""
        if not trial.open:
            return None
        declared, progress = trial.declared, trial.progress
        good = trial_groups.count(
            self.board.quality.trial_evidence, trial
        ).good
        if not decisions.may_advance(
            declared,
            progress,
            self.clock.wall_ms(),
            good,
            self.is_loaded(declared, progress.stage + 1),
        ):
            return None
        stage = progress.stage + 1
        events.log_event(
            events.Event.ROLLOUT_STAGE, rollout=declared.name, stage=stage
        )
        return decisions.Advance(
            rollout=declared.name,
            base=progress.base,
            stage=stage,
            node=self.board.name,
            evidence=f"{good:.0f} good ratings",
        )

    def is_loaded(
        self, declared: rollout_declaration.Rollout, stage: int
    ) -> bool:
        """Whether enough endpoints have the new version for a stage.

        Half of the stage's share of what serves the old one: fewer would
        queue what the old version's endpoints could answer at once.
        """
        if stage >= len(declared.stages):
            stage = len(declared.stages) - 1
        endpoints = self.board.endpoints.values()
        old = [e for e in endpoints if declared.from_version in e.versions]
        new = [e for e in endpoints if declared.to_version in e.versions]
        wanted = len(old) * declared.stages[stage].share / 2
        return len(new) >= max(1.0, wanted)

    async def notify_peers(self) -> None:
        """Tell all that peers may miss: the fold, halts, accounts."""
        if not self.reader.state.known:
            return
        body, now = self.describe(), self.clock.now_ms()
        news = repr(body)
        if news == self._told and now - self._told_ms < RETELL_MS:
            return
        self._told, self._told_ms = news, now
        await self.hub.tell_all("rollouts", body)

    def describe(self) -> dict[str, typing.Any]:
        """This entry VM's knowledge, for peers."""
        state = self.reader.state
        progress = {
            name: attrs.asdict(each) for name, each in state.progress.items()
        }
        return {
            "read_to": state.read_to,
            "progress": progress,
            "halts": [attrs.asdict(halt) for halt in self.halts.values()],
            "accounts": budgets.list_rows(self.board.quality.accounts),
        }

    def _may_take(self, account: quality.BudgetKey, origin: str) -> bool:
        """Whether a peer's copy of an account concerns this entry VM."""
        if account.failure_domain != self.board.failure_domain:
            return False
        now = self.clock.now_ms()
        silence = now - self._alive.get(origin, now)
        return origin != self.board.incarnation and silence <= WRITE_OFF_MS

    async def merge_peer_state(self, peer: str, body: typing.Any) -> None:
        """Merge what a peer knows."""
        for data in body["halts"]:
            self.record_halt(decisions.Halt(**data))
        self.reader.take_fold(
            int(body["read_to"]),
            {
                str(name): decisions.Progress(**data)
                for name, data in body["progress"].items()
            },
        )
        budgets.merge_rows(
            self.board.quality.accounts, body["accounts"], self._may_take
        )
        self.refresh()
