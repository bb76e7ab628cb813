"""Sends answers to be rated, counts ratings, and merges counts with peers."""

import functools
import itertools
import sys
import typing

import attrs
import trio

from carawayward import blackboard as blackboard_module
from carawayward import clock as clock_module
from carawayward.decisions import evidence as evidence_module
from carawayward.decisions import exposure
from carawayward import errors
from carawayward import events
from carawayward.peers import hub as hub_module
from carawayward import quality
from carawayward.services import ratings as ratings_module
from carawayward import settings as settings_module

INTERVAL_MS = 1_000.0
MAX_BATCH_ANSWERS = 100
# A service that has not answered for this long counts as silent: what was
# learned becomes outdated, and the declared plans are used.
SILENT_AFTER_MS = 30_000.0
# While the service answers, a rating counts as lost after this many times the
# 95th percentile of the delay, but not before the minimum and in any case
# after the maximum.
LOST_DELAY_FACTOR = 3.0
MIN_LOST_AFTER_MS = 60_000.0
MAX_LOST_AFTER_MS = 900_000.0
DELAY_STEP = 0.05
DELAY_QUANTILE = 0.95
MAX_WAITING = 5_000
EVICTION_INTERVAL_MS = 10_000.0
# Rows sent to peers each second: changed counters first, then a few of all
# counters in turn, which repairs lost messages. The numbers are fixed, so that
# faults cause no extra traffic. A row takes about 80 bytes: with four links
# that is under 4 KB a second at most. A counter that changes several times
# before it is sent goes out once.
MAX_CHANGED_ROWS = 10
MAX_RESYNC_ROWS = 2

TableKind = typing.Literal["plan", "trial", "recent"]
TABLE_KINDS = typing.get_args(TableKind)
KEY_CACHE_SIZE = 4_096
CellRow = list[typing.Any]


@attrs.define
class RatingsController:
    """Keeps the rating counters, and credits good ratings to budgets.

    ``waiting`` are the answers sent to the service and not rated yet;
    ``offset`` is the next rating to collect.
    """

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    hub: hub_module.PeerHub
    ratings: ratings_module.RatingsClient | None
    waiting: dict[str, quality.SampledAnswer] = attrs.field(factory=dict)
    offset: int = 1
    last_answered_ms: float = float("-inf")
    p95_delay_ms: float = MAX_LOST_AFTER_MS / LOST_DELAY_FACTOR
    _changed_cells: dict[tuple[TableKind, evidence_module.Cell], None] = (
        attrs.field(factory=dict)
    )
    _cursor: int = 0
    _last_eviction_ms: float = float("-inf")

    @classmethod
    def from_config(
        cls,
        settings: settings_module.Settings,
        board: blackboard_module.Blackboard,
        clock: clock_module.Clock,
        hub: hub_module.PeerHub,
    ) -> "RatingsController":
        """Make the controller; without a ratings service it only merges."""
        url = settings.platform.ratings
        client = ratings_module.RatingsClient.from_config(url) if url else None
        return cls(board, clock, hub, client)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start sending answers, collecting ratings and exchanging counts."""
        self.hub.handle("evidence", self.merge_cells)
        nursery.start_soon(self._gossip)
        if self.ratings is not None:
            nursery.start_soon(self._poll_service, self.ratings)

    async def close(self) -> None:
        """Close connections; ratings that arrive later are not counted."""
        if self.ratings is not None:
            await self.ratings.close()

    async def _poll_service(
        self, ratings: ratings_module.RatingsClient
    ) -> None:
        while True:
            try:
                await self.send_answers(ratings)
                await self.collect(ratings)
                self.last_answered_ms = self.clock.now_ms()
            except errors.PlatformUnavailable:
                pass
            self.update_service_status()
            await self.clock.sleep(INTERVAL_MS)

    async def send_answers(
        self, ratings: ratings_module.RatingsClient
    ) -> None:
        """Send sampled answers; the service recognises duplicates by id."""
        outbox = self.board.quality.outbox
        batch = list(outbox)[:MAX_BATCH_ANSWERS]
        if not batch:
            return
        await ratings.send(
            self.board.incarnation,
            [
                {
                    "id": answer.answer_id,
                    "customer": answer.key.customer,
                    "task": answer.key.task,
                    "version": answer.key.version,
                    "messages": answer.messages,
                    "text": answer.text,
                }
                for answer in batch
            ],
        )
        for answer in batch:
            kept = attrs.evolve(answer, messages=[], text="")
            self.waiting[answer.answer_id] = kept
            if outbox and outbox[0] is answer:
                outbox.popleft()

    async def collect(self, ratings: ratings_module.RatingsClient) -> None:
        """Collect and count the ratings that have arrived."""
        received, next_offset = await ratings.collect(
            self.board.incarnation, self.offset
        )
        self.offset = next_offset
        for rating in received:
            answer = self.waiting.pop(rating.answer_id, None)
            if answer is not None:
                self._update_delay(answer)
                self.count(answer, rating.good)
        self.expire_lost()

    def _update_delay(self, answer: quality.SampledAnswer) -> None:
        """Track the 95th percentile of the ratings' delay."""
        delay_ms = self.clock.wall_ms() - answer.answered_at_ms
        late = delay_ms > self.p95_delay_ms
        direction = DELAY_QUANTILE if late else DELAY_QUANTILE - 1
        adjusted_ms = self.p95_delay_ms * (1 + DELAY_STEP * direction)
        self.p95_delay_ms = max(1_000.0, adjusted_ms)

    def count(self, answer: quality.SampledAnswer, good: bool) -> None:
        """Count a rating in every table that it applies to."""
        state = self.board.quality
        epoch = answer.answered_at_ms // quality.EPOCH_MS
        origin = self.board.incarnation
        cell = state.evidence.add(origin, epoch, answer.key, good)
        self._changed_cells["plan", cell] = None
        trial_key = evidence_module.Key(
            answer.key.customer,
            answer.key.task,
            answer.key.version,
            generation=answer.key.generation,
        )
        if trial_key.version not in self.list_trial_versions():
            return
        epoch = answer.answered_at_ms // quality.TRIAL_EPOCH_MS
        cell = state.trial_evidence.add(origin, epoch, trial_key, good)
        self._changed_cells["trial", cell] = None
        epoch = answer.answered_at_ms // quality.RECENT_EPOCH_MS
        cell = state.recent_evidence.add(origin, epoch, trial_key, good)
        self._changed_cells["recent", cell] = None
        if good:
            self._credit(trial_key.version, exposure.EARNED_PER_GOOD_RATING)

    def list_trial_versions(self) -> set[str]:
        """The new, old and baseline versions of the current roll-outs."""
        versions = set()
        for trial in self._list_trials():
            declared = trial.declared
            versions |= {
                declared.from_version,
                declared.to_version,
                declared.baseline,
            }
        return versions

    def _credit(self, version: str, answers: float) -> None:
        state = self.board.quality
        trial = state.find_trial(version)
        if trial is None:
            return
        accounts = state.accounts.get(trial.budget_key, {})
        own = accounts.get(self.board.incarnation)
        if own is not None:
            accounts[self.board.incarnation] = exposure.earn(own, answers)

    def expire_lost(self) -> None:
        """Drop answers whose ratings will not arrive, and credit their budget.

        Lost ratings would otherwise hold their budget for good, and a good
        version would run out of budget because of what the service loses.
        While the service is silent this is not called: nobody can then see how
        the version does, and the roll-out must wait.
        """
        now = self.clock.wall_ms()
        lost_after_ms = max(
            MIN_LOST_AFTER_MS, LOST_DELAY_FACTOR * self.p95_delay_ms
        )
        lost_after_ms = min(lost_after_ms, MAX_LOST_AFTER_MS)
        lost = [
            answer
            for answer in self.waiting.values()
            if now - answer.answered_at_ms > lost_after_ms
        ]
        for answer in lost:
            del self.waiting[answer.answer_id]
            self._credit(answer.key.version, 1)
        while len(self.waiting) > MAX_WAITING:
            del self.waiting[next(iter(self.waiting))]

    def update_service_status(self) -> None:
        """Record and log when the service falls silent or is back."""
        state = self.board.quality
        silence = self.clock.now_ms() - self.last_answered_ms
        usable = silence < SILENT_AFTER_MS
        if usable != state.ratings_usable:
            kind = events.Event
            events.log_event(
                kind.RATINGS_BACK if usable else kind.RATINGS_SILENT,
                waiting=len(self.waiting),
            )
        state.ratings_usable = usable

    async def _gossip(self) -> None:
        while True:
            await self.clock.sleep(INTERVAL_MS)
            self.evict_expired()
            rows = self.choose_rows()
            if rows:
                await self.hub.notify_all("evidence", rows)

    def evict_expired(self) -> None:
        """Drop old counters, and the plans that were made from them.

        Choosing a plan takes about a millisecond; making one for every task of
        every customer each second would use up the node's processor share.
        """
        state = self.board.quality
        if self.clock.now_ms() - self._last_eviction_ms < EVICTION_INTERVAL_MS:
            return
        self._last_eviction_ms = self.clock.now_ms()
        now = self.clock.wall_ms()
        state.evidence.forget(now // quality.EPOCH_MS)
        state.trial_evidence.forget(now // quality.TRIAL_EPOCH_MS)
        state.recent_evidence.forget(now // quality.RECENT_EPOCH_MS)
        state.plans = {}

    def choose_rows(self) -> list[CellRow]:
        """Rows to send now: changed counters by priority, then some of all."""
        new = {t.declared.to_version for t in self._list_trials()}
        ranked = sorted(
            self._changed_cells,
            key=lambda item: (
                item[0] == "plan",
                item[1].key.version not in new,
            ),
        )
        chosen = ranked[:MAX_CHANGED_ROWS]
        for item in chosen:
            del self._changed_cells[item]
        chosen += self._choose_resync_cells()
        rows = []
        for kind, cell in dict.fromkeys(chosen):
            count = self._get_table(kind).cells.get(cell)
            if count is not None:
                rows.append(encode_row(kind, cell, count))
        return rows

    def _list_trials(self) -> list[quality.Trial]:
        return list(self.board.quality.trials.values())

    def _choose_resync_cells(
        self,
    ) -> list[tuple[TableKind, evidence_module.Cell]]:
        """The next few counters of all tables, in rotation."""
        kinds: tuple[TableKind, ...] = ("trial", "plan")
        total = sum(len(self._get_table(kind).cells) for kind in kinds)
        chosen: list[tuple[TableKind, evidence_module.Cell]] = []
        for step in range(min(MAX_RESYNC_ROWS, total)):
            position = (self._cursor + step) % total
            for kind in kinds:
                cells = self._get_table(kind).cells
                if position < len(cells):
                    cell = next(itertools.islice(cells, position, None))
                    chosen.append((kind, cell))
                    break
                position -= len(cells)
        self._cursor += MAX_RESYNC_ROWS
        return chosen

    def _get_table(self, kind: TableKind) -> evidence_module.Evidence:
        state = self.board.quality
        match kind:
            case "trial":
                return state.trial_evidence
            case "recent":
                return state.recent_evidence
        return state.evidence

    async def merge_cells(self, peer: str, body: typing.Any) -> None:
        """Merge a peer's counters; pass on those that changed here."""
        for row in body:
            kind, cell, count = decode_row(row)
            if self._get_table(kind).merge(cell, count):
                self._changed_cells[kind, cell] = None


@functools.lru_cache(KEY_CACHE_SIZE)
def make_key(*parts: typing.Any) -> evidence_module.Key:
    """Make a key, reusing equal ones, since peers send the same keys often."""
    return evidence_module.Key(*parts)


def encode_row(
    kind: TableKind, cell: evidence_module.Cell, count: evidence_module.Count
) -> CellRow:
    """Encode a counter for peers."""
    key = cell.key
    return [
        kind,
        cell.origin,
        cell.epoch,
        *attrs.astuple(key),
        int(count.good),
        int(count.bad),
    ]


def decode_row(
    row: CellRow,
) -> tuple[TableKind, evidence_module.Cell, evidence_module.Count]:
    """Decode a counter; raise ValueError or TypeError if it is malformed."""
    kind, origin, epoch, customer, task, version, *rest = row
    band, escalated, generation, good, bad = rest
    if kind not in TABLE_KINDS or int(good) < 0 or int(bad) < 0:
        raise ValueError("unknown table or negative count")
    key = make_key(
        str(customer),
        str(task),
        str(version),
        int(band),
        bool(escalated),
        int(generation),
    )
    cell = evidence_module.Cell(sys.intern(str(origin)), int(epoch), key)
    return kind, cell, evidence_module.Count(int(good), int(bad))
