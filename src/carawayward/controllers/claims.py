"""Reads the claims stream, and appends this node's claims in groups."""

import dataclasses
import secrets

import attrs
import trio

from carawayward import blackboard as blackboard_module
from carawayward import clock as clock_module
from carawayward import errors
from carawayward import events
from carawayward.protocol import claims
from carawayward.services import log as log_module
from carawayward import settings as settings_module

STREAM = "claims"

# Group commit: the log accepts several hundred appends a second from all entry
# VMs together, of which claims get this share. It is divided among the nodes;
# claims that arrive between two appends of a node go into one record.
APPENDS_PER_S = 100.0
GROUP_INTERVAL_MS = 20.0
MAX_GROUP_CLAIMS = 500
# Pause between reads while no request here waits for a claim. If every append
# woke every node for a read of its own, the reads would grow with the square
# of the number of nodes.
IDLE_READ_MS = 500.0
READ_WAIT_MS = 4_000
RETRY_MS = 500.0
APPEND_TIMEOUT_MS = 2_000.0
# A claim that is undecided after this time is answered as unknown; the caller
# retries with the same key.
CLAIM_TIMEOUT_MS = 4_000.0
RETRY_AFTER_MS = 2_000
MAX_WAITING = 2_000
# Some 0.6 KB each (./build.sh bench capacity): 30 of the 64 MB that a node may
# use. A window of an hour then has room for 14 claims a second; beyond that
# the oldest keys can no longer be decided, and are answered as unknown.
MAX_WINNERS = 50_000


@dataclasses.dataclass(frozen=True, slots=True)
class Won:
    """This node may run the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldBy:
    """Another incarnation won the claim; only that one may run the request."""

    holder: tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """The key is too old, or not valid yet; its request may not be run."""

    verdict: claims.Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class NoClaim:
    """The log gave no decision in time; the claim may still be in it."""


Result = Won | HeldBy | Expired | NoClaim


@attrs.define
class ClaimsController:
    """Decides which node may run a request that has a caller's own key."""

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    log: log_module.LogClient
    rules: claims.Rules
    table: claims.ClaimTable = attrs.field(factory=claims.ClaimTable)
    reachable: bool = True
    append_count: int = 0
    _waiting: dict[str, claims.Claim] = attrs.field(factory=dict)
    _started: bool = False
    _changed: trio.Event = attrs.field(factory=trio.Event)
    _claim_pending: trio.Event = attrs.field(factory=trio.Event)

    @classmethod
    def from_config(
        cls,
        settings: settings_module.Settings,
        board: blackboard_module.Blackboard,
        clock: clock_module.Clock,
        log: log_module.LogClient,
    ) -> "ClaimsController":
        """Make the controller with the times that all nodes share."""
        rules = claims.Rules(
            window_ms=settings.agreed.key_window_ms,
            skew_ms=settings.agreed.clock_skew_ms,
        )
        return cls(board, clock, log, rules)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start reading the stream and appending claims."""
        nursery.start_soon(self._read_forever)
        nursery.start_soon(self._append_groups)

    async def close(self) -> None:
        """Nothing to release; the nursery ends the tasks."""

    async def acquire(
        self, key: tuple[str, str], made_ms: int, timeout_ms: float
    ) -> Result:
        """Claim a key within ``timeout_ms`` and return the outcome.

        While the log is known not to answer, a claim fails at once: an early
        answer is more use to the caller than a delayed one.
        """
        verdict = self._decide(key, made_ms)
        if verdict is not claims.Verdict.CLAIM:
            return self._make_result(key, verdict)
        if not self.reachable or len(self._waiting) >= MAX_WAITING:
            return NoClaim()
        claim = claims.Claim(
            claim_id=secrets.token_hex(8),
            customer=key[0],
            request_key=key[1],
            node=self.board.name,
            incarnation=self.board.incarnation,
            made_ms=made_ms,
        )
        self._waiting[claim.claim_id] = claim
        self._claim_pending.set()
        try:
            with trio.move_on_after(min(timeout_ms, CLAIM_TIMEOUT_MS) / 1000):
                while key not in self.table.winners and self.reachable:
                    await self._changed.wait()
        finally:
            self._waiting.pop(claim.claim_id, None)
        if key not in self.table.winners:
            return NoClaim()
        return self._make_result(key, self._decide(key, made_ms))

    def _decide(self, key: tuple[str, str], made_ms: int) -> claims.Verdict:
        return claims.decide(
            self.table,
            key,
            made_ms,
            self.clock.wall_ms(),
            (self.board.name, self.board.incarnation),
            self.rules,
        )

    def _make_result(
        self, key: tuple[str, str], verdict: claims.Verdict
    ) -> Result:
        if verdict is claims.Verdict.RUN_HERE:
            return Won()
        if verdict is claims.Verdict.ASK_WINNER:
            claim = self.table.winners[key].claim
            return HeldBy((claim.node, claim.incarnation))
        return Expired(verdict)

    def find_holder(self, key: tuple[str, str]) -> tuple[str, str] | None:
        """The incarnation known to have won the claim of a key, if any."""
        winner = self.table.winners.get(key)
        if winner is None:
            return None
        return winner.claim.node, winner.claim.incarnation

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def _read_forever(self) -> None:
        while True:
            try:
                await self._read_once()
            except errors.PlatformUnavailable as fault:
                self._set_reachable(False, str(fault))
                await self.clock.sleep(RETRY_MS)
                continue
            self._set_reachable(True, "")
            if not self._waiting:
                with trio.move_on_after(IDLE_READ_MS / 1000):
                    await self._claim_pending.wait()
                    # Replaced only after it was set: the appending task may be
                    # waiting for the same event.
                    self._claim_pending = trio.Event()

    def _set_reachable(self, reachable: bool, detail: str) -> None:
        if reachable != self.reachable:
            event = events.Event.CLAIMS_BACK
            if not reachable:
                event = events.Event.CLAIMS_DOWN
            events.log_event(event, detail=detail)
        self.reachable = reachable
        self._notify_waiters()

    async def _read_once(self) -> None:
        offset = self.table.read_to + 1 if self._started else 1
        wait_ms = READ_WAIT_MS if self._started else 0
        batch = await self.log.read(STREAM, offset, wait_ms)
        if not self._started or batch.oldest > offset:
            self._restart(batch)
        claims.fold_claims(
            self.table,
            [
                claims.ClaimGroup(
                    offset=item.offset,
                    at_ms=item.at_ms,
                    claims=claims.decode(item.data),
                )
                for item in batch.records
            ],
        )
        claims.drop_expired(self.table, self.clock.wall_ms(), self.rules)
        claims.limit_winners(self.table, MAX_WINNERS)

    def _restart(self, batch: log_module.Batch) -> None:
        """Start from the oldest record, at first or after falling behind.

        If there is nothing to read, the records that were dropped may have
        been of any age up to now.
        """
        covered_from = float(self.clock.wall_ms() + self.rules.skew_ms)
        if batch.records:
            covered_from = float(batch.records[0].at_ms)
        claims.start_reading(self.table, batch.oldest, covered_from)
        self._started = True

    def _interval_ms(self) -> float:
        nodes = 1 + len(self.board.entry_vms)
        return max(GROUP_INTERVAL_MS, nodes * 1000 / APPENDS_PER_S)

    async def _append_groups(self) -> None:
        """Append waiting claims in groups, never repeating an append blindly.

        If an append gets no answer, its claims stay in ``_waiting`` while
        their callers wait, and are appended again only if reading on has not
        shown them. A duplicate in the log is harmless: the first one counts,
        and both are this node's own.
        """
        last_ms = float("-inf")
        while True:
            if not self._list_group():
                await self._claim_pending.wait()
                if not self._list_group():
                    # The event stays set until the reading task has seen it.
                    await self.clock.sleep(GROUP_INTERVAL_MS)
                    continue
            due_ms = last_ms + self._interval_ms()
            await self.clock.sleep(max(0.0, due_ms - self.clock.now_ms()))
            last_ms = self.clock.now_ms()
            group = self._list_group()
            if group:
                await self._append(group)

    def _list_group(self) -> list[claims.Claim]:
        return [
            claim
            for claim in self._waiting.values()
            if claim.key not in self.table.winners
        ][:MAX_GROUP_CLAIMS]

    async def _append(self, group: list[claims.Claim]) -> None:
        read_to = self.table.read_to
        try:
            await self.log.append(
                STREAM, [claims.encode(group)], APPEND_TIMEOUT_MS
            )
            self.append_count += 1
        except errors.PlatformUnavailable as fault:
            events.log_event(
                events.Event.CLAIMS_WAITING,
                claims=len(group),
                detail=str(fault),
            )
            await self.clock.sleep(RETRY_MS)
            return
        with trio.move_on_after(READ_WAIT_MS / 1000):
            while self.table.read_to <= read_to:
                await self._changed.wait()
