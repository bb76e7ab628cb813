"""Has answers rated, counts the ratings, and merges counts with peers."""

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
SEND_MAX = 100
# A service that has not answered for this long is taken for silent: what is
# learned grows stale, and the declared plans stand.
SILENT_AFTER_MS = 30_000.0
# A rating that takes so many times the usual delay, from a service that
# answers, is lost; not before the least and surely after the most.
LOST_DELAYS = 3.0
LOST_LEAST_MS = 60_000.0
LOST_MOST_MS = 900_000.0
DELAY_STEP = 0.05
DELAY_QUANTILE = 0.95
WAITING_MAX = 5_000
FORGET_MS = 10_000.0
# What peers are sent each second: news first, then a slice of all counters
# in turn, which heals what was lost. The numbers are fixed, so that a fault
# makes no traffic. A row takes about 80 bytes: with four links that is under
# 4 KB a second at the most, and a counter that grows meanwhile goes out once.
FRESH_MAX = 10
SLICE_MAX = 2

MergeKind = typing.Literal["plan", "trial", "recent"]
KINDS = typing.get_args(MergeKind)
KEYS_SHARED = 4_096
CellRow = list[typing.Any]


@attrs.define
class RatingsController:
    """Keeps the evidence and the earnings of the budgets."""

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    hub: hub_module.PeerHub
    ratings: ratings_module.RatingsClient | None
    waiting: dict[str, quality.SampledAnswer] = attrs.field(factory=dict)
    offset: int = 1
    last_answered_ms: float = float("-inf")
    usual_delay_ms: float = LOST_MOST_MS / LOST_DELAYS
    _fresh: dict[tuple[MergeKind, evidence_module.Cell], None] = attrs.field(
        factory=dict
    )
    _cursor: int = 0
    _forgot_ms: float = float("-inf")

    @classmethod
    def from_config(
        cls,
        settings: settings_module.Settings,
        board: blackboard_module.Blackboard,
        clock: clock_module.Clock,
        hub: hub_module.PeerHub,
    ) -> "RatingsController":
        """Without a ratings service, only peers' counts are kept."""
        url = settings.platform.ratings
        client = ratings_module.RatingsClient.from_config(url) if url else None
        return cls(board, clock, hub, client)

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to send answers, collect ratings and exchange counts."""
        self.hub.handle("evidence", self.merge_cells)
        nursery.start_soon(self._exchange)
        if self.ratings is not None:
            nursery.start_soon(self._follow_service, self.ratings)

    async def close(self) -> None:
        """Close connections; ratings that still come are not counted."""
        if self.ratings is not None:
            await self.ratings.close()

    async def _follow_service(
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
        """Hand over what was sampled; the service knows doubles by id."""
        outbox = self.board.quality.outbox
        batch = list(outbox)[:SEND_MAX]
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
        """Count the ratings that have come."""
        found, following = await ratings.collect(
            self.board.incarnation, self.offset
        )
        self.offset = following
        for rating in found:
            answer = self.waiting.pop(rating.answer_id, None)
            if answer is not None:
                self._learn_delay(answer)
                self.count(answer, rating.good)
        self.write_off_lost()

    def _learn_delay(self, answer: quality.SampledAnswer) -> None:
        """Follow the 95th percentile of how late ratings come."""
        delay_ms = self.clock.wall_ms() - answer.answered_at_ms
        late = delay_ms > self.usual_delay_ms
        pull = DELAY_QUANTILE if late else DELAY_QUANTILE - 1
        moved = self.usual_delay_ms * (1 + DELAY_STEP * pull)
        self.usual_delay_ms = max(1_000.0, moved)

    def count(self, answer: quality.SampledAnswer, good: bool) -> None:
        """Count one rating wherever it says something."""
        part = self.board.quality
        epoch = answer.answered_at_ms // quality.EPOCH_MS
        origin = self.board.incarnation
        cell = part.evidence.add(origin, epoch, answer.key, good)
        self._fresh["plan", cell] = None
        trial_key = evidence_module.Key(
            answer.key.customer,
            answer.key.task,
            answer.key.version,
            generation=answer.key.generation,
        )
        if trial_key.version not in self.list_tried():
            return
        epoch = answer.answered_at_ms // quality.TRIAL_EPOCH_MS
        cell = part.trial_evidence.add(origin, epoch, trial_key, good)
        self._fresh["trial", cell] = None
        epoch = answer.answered_at_ms // quality.RECENT_EPOCH_MS
        cell = part.recent_evidence.add(origin, epoch, trial_key, good)
        self._fresh["recent", cell] = None
        if good:
            self._earn(trial_key.version, exposure.EARNED_PER_GOOD_RATING)

    def list_tried(self) -> set[str]:
        """Versions of roll-outs under way, and their baselines."""
        tried = set()
        for trial in self._list_trials():
            declared = trial.declared
            tried |= {
                declared.from_version,
                declared.to_version,
                declared.baseline,
            }
        return tried

    def _earn(self, version: str, answers: float) -> None:
        part = self.board.quality
        trial = part.find_trial(version)
        if trial is None:
            return
        accounts = part.accounts.get(trial.budget_key, {})
        own = accounts.get(self.board.incarnation)
        if own is not None:
            accounts[self.board.incarnation] = exposure.earn(own, answers)

    def write_off_lost(self) -> None:
        """Give up ratings that will not come; the service is alive.

        Lost ratings would otherwise hold their budget for good, and a good
        version would starve on what the service loses. While the service
        is silent nothing is written off: then nobody sees what the version
        does, and a roll-out must wait.
        """
        now = self.clock.wall_ms()
        patience_ms = max(LOST_LEAST_MS, LOST_DELAYS * self.usual_delay_ms)
        patience_ms = min(patience_ms, LOST_MOST_MS)
        lost = [
            answer
            for answer in self.waiting.values()
            if now - answer.answered_at_ms > patience_ms
        ]
        for answer in lost:
            del self.waiting[answer.answer_id]
            self._earn(answer.key.version, 1)
        while len(self.waiting) > WAITING_MAX:
            del self.waiting[next(iter(self.waiting))]

    def update_service_status(self) -> None:
        """Say when the service falls silent and when it is back."""
        part = self.board.quality
        silence = self.clock.now_ms() - self.last_answered_ms
        usable = silence < SILENT_AFTER_MS
        if usable != part.ratings_usable:
            kind = events.Event
            events.log_event(
                kind.RATINGS_BACK if usable else kind.RATINGS_SILENT,
                waiting=len(self.waiting),
            )
        part.ratings_usable = usable

    async def _exchange(self) -> None:
        while True:
            await self.clock.sleep(INTERVAL_MS)
            self.evict_expired()
            rows = self.choose_rows()
            if rows:
                await self.hub.tell_all("evidence", rows)

    def evict_expired(self) -> None:
        """Drop old counters and the plans that were made from them.

        Choosing a plan takes about a millisecond; made anew for each
        customer's task every second it would use up the node's share.
        """
        part = self.board.quality
        if self.clock.now_ms() - self._forgot_ms < FORGET_MS:
            return
        self._forgot_ms = self.clock.now_ms()
        now = self.clock.wall_ms()
        part.evidence.forget(now // quality.EPOCH_MS)
        part.trial_evidence.forget(now // quality.TRIAL_EPOCH_MS)
        part.recent_evidence.forget(now // quality.RECENT_EPOCH_MS)
        part.plans = {}

    def choose_rows(self) -> list[CellRow]:
        """What to send now: news by weight, then the next of all."""
        new = {t.declared.to_version for t in self._list_trials()}
        ranked = sorted(
            self._fresh,
            key=lambda item: (
                item[0] == "plan",
                item[1].key.version not in new,
            ),
        )
        chosen = ranked[:FRESH_MAX]
        for item in chosen:
            del self._fresh[item]
        chosen += self._choose_slice()
        rows = []
        for kind, cell in dict.fromkeys(chosen):
            count = self._table(kind).cells.get(cell)
            if count is not None:
                rows.append(encode_row(kind, cell, count))
        return rows

    def _list_trials(self) -> list[quality.Trial]:
        return list(self.board.quality.trials.values())

    def _choose_slice(self) -> list[tuple[MergeKind, evidence_module.Cell]]:
        """The next few counters of all tables, round and round."""
        kinds: tuple[MergeKind, ...] = ("trial", "plan")
        total = sum(len(self._table(kind).cells) for kind in kinds)
        chosen: list[tuple[MergeKind, evidence_module.Cell]] = []
        for step in range(min(SLICE_MAX, total)):
            place = (self._cursor + step) % total
            for kind in kinds:
                cells = self._table(kind).cells
                if place < len(cells):
                    cell = next(itertools.islice(cells, place, None))
                    chosen.append((kind, cell))
                    break
                place -= len(cells)
        self._cursor += SLICE_MAX
        return chosen

    def _table(self, kind: MergeKind) -> evidence_module.Evidence:
        part = self.board.quality
        match kind:
            case "trial":
                return part.trial_evidence
            case "recent":
                return part.recent_evidence
        return part.evidence

    async def merge_cells(self, peer: str, body: typing.Any) -> None:
        """Merge a peer's counters; what was news here goes on to others."""
        for row in body:
            kind, cell, count = decode_row(row)
            if self._table(kind).merge(cell, count):
                self._fresh[kind, cell] = None


@functools.lru_cache(KEYS_SHARED)
def make_key(*parts: typing.Any) -> evidence_module.Key:
    """A key, the same object for the same parts: peers send it often."""
    return evidence_module.Key(*parts)


def encode_row(
    kind: MergeKind, cell: evidence_module.Cell, count: evidence_module.Count
) -> CellRow:
    """Form of one counter between peers."""
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
) -> tuple[MergeKind, evidence_module.Cell, evidence_module.Count]:
    """Read a counter; raise ValueError or TypeError for junk."""
    kind, origin, epoch, customer, task, version, *rest = row
    band, sent_on, generation, good, bad = rest
    if kind not in KINDS or int(good) < 0 or int(bad) < 0:
        raise ValueError("not a counter")
    key = make_key(
        str(customer),
        str(task),
        str(version),
        int(band),
        bool(sent_on),
        int(generation),
    )
    cell = evidence_module.Cell(sys.intern(str(origin)), int(epoch), key)
    return kind, cell, evidence_module.Count(int(good), int(bad))
