"""Advances roll-outs through their stages by the log, and halts them.

Every entry VM runs this; none is in charge. The progress of a roll-out is
computed from the log's records. Peers pass it on as well, so an entry VM that
cannot reach the log follows through any peer that can. Halts take effect here
at once, and are sent to peers before they are in the log.
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
# A read shows what was in the log when it was sent. Two of them must fit into
# the lease, or the lease would expire while the stream is quiet.
READ_WAIT_MS = 4_000
# Any entry VM may append an advance or a halt. Each waits for its rank times
# this delay, so that normally one of them appends, and the next one follows
# soon if it does not.
RANK_DELAY_MS = 1_500.0
MAX_RANK = 20
# Entry VMs' views of who is alive differ for as long as gossip takes to
# spread. With a shorter limit each entry VM of a large failure domain would
# choose other holders.
ALIVE_WITHIN_MS = 60_000.0
# A new entry VM does not know the others yet, and would take itself for the
# holder of every version.
MEMBERSHIP_WAIT_MS = 10_000.0
# Unchanged state is sent to peers this often; changes are sent at once.
REBROADCAST_MS = 5_000.0
# Well under any retention; a snapshot is appended only if no other entry VM
# has appended one.
SNAPSHOT_INTERVAL_MS = 600_000
# Ratings for an entry VM that is gone cannot arrive; after this time what it
# spent no longer counts against its failure domain's budget.
ACCOUNT_TTL_MS = 900_000.0
EXHAUSTED_REPORT_MS = 300_000.0


@attrs.define
class RolloutsController:
    """Keeps ``board.quality.trials`` and ``board.quality.halted``.

    ``halts`` are all known halts by roll-out and generation, whether they are
    in the log yet or not.
    """

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    hub: hub_module.PeerHub
    reader: rollout_reader.RolloutReader
    halts: dict[tuple[str, int], decisions.Halt] = attrs.field(factory=dict)
    begun_ms: float = float("-inf")
    _last_sent: str = ""
    _last_sent_ms: float = float("-inf")
    _append_due_ms: dict[str, float] = attrs.field(factory=dict)
    _bad_counts: dict[str, float] = attrs.field(factory=dict)
    _last_alive_ms: dict[str, float] = attrs.field(factory=dict)
    _exhausted_since_ms: dict[str, float] = attrs.field(factory=dict)

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
        """Start reading the stream and evaluating roll-outs."""
        self.begun_ms = self.clock.now_ms()
        self.hub.handle("rollouts", self.merge_peer_state)
        nursery.start_soon(self._read_forever)
        nursery.start_soon(self._evaluate_forever)

    async def close(self) -> None:
        """Nothing to release; the nursery ends the tasks."""

    async def _read_forever(self) -> None:
        while True:
            try:
                await self.reader.read_once(READ_WAIT_MS)
                self.refresh()
            except errors.PlatformUnavailable:
                await self.clock.sleep(RETRY_MS)

    async def _evaluate_forever(self) -> None:
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
        """Write the current trials and halted versions to the blackboard."""
        quality_state, config = self.board.quality, self.board.config
        if config is None or not self.reader.state.known:
            return
        trials = {}
        for declared in config.declaration.rollouts:
            version = config.versions[declared.to_version]
            if version.state is declaration_module.VersionState.CANARY:
                trials[declared.model] = self._make_trial(declared, version)
        quality_state.trials = trials
        halted = [t for t in trials.values() if t.progress.halted]
        withdraw = rollout_declaration.OnHalt.WITHDRAW
        quality_state.halted = frozenset(
            t.declared.to_version
            for t in halted
            if t.declared.on_halt is withdraw
        )
        self._evict_accounts()

    def _make_trial(
        self,
        declared: rollout_declaration.Rollout,
        version: declaration_module.Version,
    ) -> quality.Trial:
        own_domain = self.board.failure_domain
        progress = self.find_progress(declared.name)
        index = min(max(progress.stage, 0), len(declared.stages) - 1)
        stage = declared.stages[index]
        names = [*self.list_peers(own_domain), self.board.name]
        budget = stage.exposure_budget.get(own_domain, 0)
        holders = exposure.choose_holders(
            names, declared.to_version, stage.share, budget
        )
        return quality.Trial(
            declared=declared,
            progress=progress,
            budget_key=quality.BudgetKey(
                declared.to_version, progress.base, own_domain
            ),
            share=stage.share,
            budget=budget,
            holders=tuple(holders),
            members=len(names),
            open=freshness.may_start(version, self.is_fresh()),
        )

    def find_progress(self, name: str) -> decisions.Progress:
        """A roll-out's progress, including halts that the log lacks so far."""
        progress = self.reader.state.progress.get(name, decisions.Progress())
        halt = self.halts.get((name, progress.generation))
        if halt is not None and not progress.halted:
            return attrs.evolve(progress, halted=halt.reason)
        return progress

    def is_fresh(self) -> bool:
        """Whether this entry VM would know by now of any halt in the log."""
        now = self.clock.now_ms()
        read = now - self.reader.current_as_of_ms < self.board.lease_ms
        is_membership_known = now - self.begun_ms > MEMBERSHIP_WAIT_MS
        return read and is_membership_known and self.board.is_fresh(now)

    def list_peers(self, failure_domain: str = "") -> list[str]:
        """Live entry VMs other than this one."""
        now = self.clock.now_ms()
        return [
            vm.name
            for vm in self.board.entry_vms.values()
            if failure_domain in ("", vm.failure_domain)
            and vm.name != self.board.name
            and not vm.leaving
            and now - vm.last_heard_ms < ALIVE_WITHIN_MS
        ]

    def _evict_accounts(self) -> None:
        """Drop accounts of past stages and of entry VMs that are gone."""
        quality_state, now = self.board.quality, self.clock.now_ms()
        current = {trial.budget_key for trial in quality_state.trials.values()}
        for budget_key in set(quality_state.accounts) - current:
            del quality_state.accounts[budget_key]
        live = {vm.incarnation for vm in self.board.entry_vms.values()}
        for origin in live | {self.board.incarnation}:
            self._last_alive_ms[origin] = now
        for accounts in quality_state.accounts.values():
            for origin in list(accounts):
                seen = self._last_alive_ms.setdefault(origin, now)
                if now - seen > ACCOUNT_TTL_MS:
                    del accounts[origin]

    def evaluate_all(self) -> list[decisions.Halt]:
        """Halt roll-outs where due; return the halts missing in the log."""
        for trial in self.board.quality.trials.values():
            if not trial.progress.halted and trial.progress.stage >= 0:
                self._evaluate(trial)
                self._report_exhaustion(trial)
        progress = self.reader.state.progress
        no_progress = decisions.Progress()
        return [
            halt
            for (name, generation), halt in self.halts.items()
            if progress.get(name, no_progress).generation == generation
            and not progress.get(name, no_progress).halted
        ]

    def _evaluate(self, trial: quality.Trial) -> None:
        config, quality_state = self.board.config, self.board.quality
        assert config is not None
        name = trial.declared.name
        bad = trial_groups.count(quality_state.trial_evidence, trial).bad
        # Only a further bad rating can strengthen the evidence.
        if bad == self._bad_counts.get(name):
            return
        self._bad_counts[name] = bad
        group_name = trial_groups.find_worse_group(
            quality_state, trial, config.declaration
        )
        if group_name:
            self.halt(trial, f"worse than its baseline in {group_name}")

    def halt(self, trial: quality.Trial, reason: str) -> None:
        """Halt a roll-out on this entry VM at once."""
        halt = decisions.Halt(
            rollout=trial.declared.name,
            generation=trial.progress.generation,
            node=self.board.name,
            reason=reason,
        )
        self.record_halt(halt)

    def record_halt(self, halt: decisions.Halt) -> None:
        """Record a halt from any source; a halt is never revoked."""
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

    def _report_exhaustion(self, trial: quality.Trial) -> None:
        """Log when a roll-out's budget has been used up for long."""
        name, now = trial.declared.name, self.clock.now_ms()
        accounts = self.board.quality.accounts.get(trial.budget_key, {})
        spent = sum(each.outstanding for each in accounts.values())
        if spent < trial.budget or trial.done:
            self._exhausted_since_ms.pop(name, None)
            return
        since = self._exhausted_since_ms.setdefault(name, now)
        if now - since > EXHAUSTED_REPORT_MS:
            self._exhausted_since_ms[name] = now
            events.log_event(
                events.Event.ROLLOUT_STARVED, rollout=name, of=trial.budget
            )

    def is_append_turn(self, subject: str) -> bool:
        """Whether it is this entry VM's turn to append for ``subject``."""
        names = [*self.list_peers(), self.board.name]
        names.sort(key=lambda name: exposure.rank(name, subject))
        position = min(names.index(self.board.name), MAX_RANK)
        now = self.clock.now_ms()
        due = self._append_due_ms.setdefault(
            subject, now + position * RANK_DELAY_MS
        )
        if now < due:
            return False
        self._append_due_ms[subject] = (
            now + (MAX_RANK + position) * RANK_DELAY_MS
        )
        return True

    async def append_due(self, halts: list[decisions.Halt]) -> None:
        """Append the halts, advances and snapshots whose turn has come."""
        state = self.reader.state
        if not state.known:
            return
        records: list[decisions.Record] = [
            halt
            for halt in halts
            if self.is_append_turn(f"halt {halt.rollout} {halt.generation}")
        ]
        for trial in self.board.quality.trials.values():
            advance = self.find_due_advance(trial)
            subject = f"advance {trial.declared.name} {trial.progress.base}"
            if advance is None:
                self._append_due_ms.pop(subject, None)
            elif self.is_append_turn(subject):
                records.append(advance)
        age = self.clock.wall_ms() - self.reader.snapshot_ms
        if state.progress and age > SNAPSHOT_INTERVAL_MS:
            snapshot = decisions.make_snapshot(state)
            if snapshot is not None and self.is_append_turn("snapshot"):
                records.append(snapshot)
        if records:
            encoded = [decisions.encode(record) for record in records]
            await self.reader.log.append(rollout_reader.STREAM, encoded)

    def find_due_advance(
        self, trial: quality.Trial
    ) -> decisions.Advance | None:
        """The advance to a roll-out's next stage, if it is allowed now."""
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
            self.has_enough_endpoints(declared, progress.stage + 1),
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

    def has_enough_endpoints(
        self, declared: rollout_declaration.Rollout, stage: int
    ) -> bool:
        """Whether enough endpoints have the new version for a stage.

        Required is half of the stage's share of the endpoints that have the
        old version. With fewer, requests would queue that the old version's
        endpoints could answer at once.
        """
        if stage >= len(declared.stages):
            stage = len(declared.stages) - 1
        endpoints = self.board.endpoints.values()
        old = [e for e in endpoints if declared.from_version in e.versions]
        new = [e for e in endpoints if declared.to_version in e.versions]
        required = len(old) * declared.stages[stage].share / 2
        return len(new) >= max(1.0, required)

    async def notify_peers(self) -> None:
        """Send peers the progress, halts and accounts that they may lack."""
        if not self.reader.state.known:
            return
        body, now = self.encode_state(), self.clock.now_ms()
        text = repr(body)
        if (
            text == self._last_sent
            and now - self._last_sent_ms < REBROADCAST_MS
        ):
            return
        self._last_sent, self._last_sent_ms = text, now
        await self.hub.notify_all("rollouts", body)

    def encode_state(self) -> dict[str, typing.Any]:
        """Encode this entry VM's state for peers."""
        state = self.reader.state
        progress = {
            name: attrs.asdict(each) for name, each in state.progress.items()
        }
        return {
            "read_to": state.read_to,
            "progress": progress,
            "halts": [attrs.asdict(halt) for halt in self.halts.values()],
            "accounts": budgets.encode_accounts(self.board.quality.accounts),
        }

    def _accepts_account(
        self, budget_key: quality.BudgetKey, origin: str
    ) -> bool:
        """Whether to merge a peer's copy of an account."""
        if budget_key.failure_domain != self.board.failure_domain:
            return False
        now = self.clock.now_ms()
        silence = now - self._last_alive_ms.get(origin, now)
        return origin != self.board.incarnation and silence <= ACCOUNT_TTL_MS

    async def merge_peer_state(self, peer: str, body: typing.Any) -> None:
        """Merge the state that a peer has sent."""
        for data in body["halts"]:
            self.record_halt(decisions.Halt(**data))
        self.reader.adopt_peer_state(
            int(body["read_to"]),
            {
                str(name): decisions.Progress(**data)
                for name, data in body["progress"].items()
            },
        )
        budgets.merge_accounts(
            self.board.quality.accounts,
            body["accounts"],
            self._accepts_account,
        )
        self.refresh()
