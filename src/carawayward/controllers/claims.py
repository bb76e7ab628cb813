"""Reads the claims stream and appends this node's claims, many at a time."""

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

# The log takes several hundred appends a second for all entry VMs together.
# Claims get a share of it; a node's share sets how often it may append, and
# everything that comes in between goes into one record.
APPENDS_A_SECOND = 100.0
GROUP_MS = 20.0
GROUP_MOST = 500
# While no request here waits for a claim, the stream is read in this pace:
# a node that answered every append with a read of its own would make the
# reads grow with the square of the number of nodes.
IDLE_READ_MS = 500.0
READ_WAIT_MS = 4_000
RETRY_MS = 500.0
APPEND_TIMEOUT_MS = 2_000.0
# A claim that is not settled by then is answered at once as unknown; the
# caller comes back under the same key.
CLAIM_WAIT_MS = 4_000.0
RETRY_AFTER_MS = 2_000
WAITING_MOST = 2_000
# Some 0.6 KB each (./build.sh bench capacity): 30 of the 64 MB that a node
# may use. An hour's window fits 14 claims a second; beyond that the oldest
# keys are no longer judged, and answered as unknown.
WINNERS_MOST = 50_000


@dataclasses.dataclass(frozen=True, slots=True)
class Won:
    """This node may run the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldBy:
    """Another incarnation won; only it may run the request."""

    holder: tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """The key may not be run any more, or not yet."""

    verdict: claims.Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class NoClaim:
    """The log gave no decision in time; the claim may be in it."""


Result = Won | HeldBy | Expired | NoClaim


@attrs.define
class ClaimsController:
    """Settles who may run a request under a caller's own key."""

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    log: log_module.LogClient
    rules: claims.Rules
    table: claims.ClaimTable = attrs.field(factory=claims.ClaimTable)
    reachable: bool = True
    appended: int = 0
    _waiting: dict[str, claims.Claim] = attrs.field(factory=dict)
    _begun: bool = False
    _changed: trio.Event = attrs.field(factory=trio.Event)
    _wanted: trio.Event = attrs.field(factory=trio.Event)

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
        """Begin to read the stream and to append."""
        nursery.start_soon(self._follow)
        nursery.start_soon(self._append_groups)

    async def close(self) -> None:
        """Nothing to release; the nursery ends the tasks."""

    async def acquire(
        self, key: tuple[str, str], made_ms: int, timeout_ms: float
    ) -> Result:
        """Settle a key's claim within ``timeout_ms``, or say what is known.

        While the log is known not to answer, a claim fails at once: the
        caller learns more from an early answer than from a held one.
        """
        verdict = self._decide(key, made_ms)
        if verdict is not claims.Verdict.CLAIM:
            return self._conclude(key, verdict)
        if not self.reachable or len(self._waiting) >= WAITING_MOST:
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
        self._wanted.set()
        try:
            with trio.move_on_after(min(timeout_ms, CLAIM_WAIT_MS) / 1000):
                while key not in self.table.winners and self.reachable:
                    await self._changed.wait()
        finally:
            self._waiting.pop(claim.claim_id, None)
        if key not in self.table.winners:
            return NoClaim()
        return self._conclude(key, self._decide(key, made_ms))

    def _decide(self, key: tuple[str, str], made_ms: int) -> claims.Verdict:
        return claims.decide(
            self.table,
            key,
            made_ms,
            self.clock.wall_ms(),
            (self.board.name, self.board.incarnation),
            self.rules,
        )

    def _conclude(
        self, key: tuple[str, str], verdict: claims.Verdict
    ) -> Result:
        if verdict is claims.Verdict.RUN_HERE:
            return Won()
        if verdict is claims.Verdict.ASK_WINNER:
            claim = self.table.winners[key].claim
            return HeldBy((claim.node, claim.incarnation))
        return Expired(verdict)

    def find_holder(self, key: tuple[str, str]) -> tuple[str, str] | None:
        """The incarnation whose claim of a key is known here to have won."""
        winner = self.table.winners.get(key)
        if winner is None:
            return None
        return winner.claim.node, winner.claim.incarnation

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def _follow(self) -> None:
        while True:
            try:
                await self._read_once()
            except errors.PlatformUnavailable as fault:
                self._record_reachable(False, str(fault))
                await self.clock.sleep(RETRY_MS)
                continue
            self._record_reachable(True, "")
            if not self._waiting:
                with trio.move_on_after(IDLE_READ_MS / 1000):
                    await self._wanted.wait()
                    # Replaced only once it was set: the appender may be
                    # waiting on the same one.
                    self._wanted = trio.Event()

    def _record_reachable(self, reachable: bool, detail: str) -> None:
        if reachable != self.reachable:
            event = events.Event.CLAIMS_BACK
            if not reachable:
                event = events.Event.CLAIMS_DOWN
            events.log_event(event, detail=detail)
        self.reachable = reachable
        self._wake()

    async def _read_once(self) -> None:
        offset = self.table.read_to + 1 if self._begun else 1
        wait_ms = READ_WAIT_MS if self._begun else 0
        batch = await self.log.read(STREAM, offset, wait_ms)
        if not self._begun or batch.oldest > offset:
            self._begin(batch)
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
        claims.limit_winners(self.table, WINNERS_MOST)

    def _begin(self, batch: log_module.Batch) -> None:
        """Begin at the oldest record, and again if the log ran away.

        With nothing to read, what was forgotten may have been of any age up
        to now.
        """
        covered_from = float(self.clock.wall_ms() + self.rules.skew_ms)
        if batch.records:
            covered_from = float(batch.records[0].at_ms)
        claims.start_reading(self.table, batch.oldest, covered_from)
        self._begun = True

    def _interval_ms(self) -> float:
        nodes = 1 + len(self.board.entry_vms)
        return max(GROUP_MS, nodes * 1000 / APPENDS_A_SECOND)

    async def _append_groups(self) -> None:
        """Append what waits; an unanswered append is not repeated blindly.

        Its claims stay in ``_waiting`` while their callers wait, and are
        appended again only if reading on has not shown them: twice in the
        log is harmless, the first stands and both are this node's own.
        """
        last_ms = float("-inf")
        while True:
            if not self._list_group():
                await self._wanted.wait()
                if not self._list_group():
                    # The event stays set until the reader has seen it.
                    await self.clock.sleep(GROUP_MS)
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
        ][:GROUP_MOST]

    async def _append(self, group: list[claims.Claim]) -> None:
        read_to = self.table.read_to
        try:
            await self.log.append(
                STREAM, [claims.encode(group)], APPEND_TIMEOUT_MS
            )
            self.appended += 1
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
