"""Counts of ratings, merged across entry VMs, and confidence bounds on them.

Each entry VM counts the ratings of the answers that it gave, under its own
incarnation. A counter only grows and has one writer, so copies merge by taking
the maximum: in any order, any number of times, with the same result. Entry VMs
therefore do not have to track which messages were lost.
"""

import math
import typing

import attrs

# Number of equal bands into which confidences are divided.
BANDS = 20
# Older ratings say little about current traffic; dropping them also bounds
# memory, whatever the number of entry VMs.
KEPT_EPOCHS = 96
HALF_LIFE_EPOCHS = 12.0
# Cells over all origins; the oldest epochs are dropped first. A cell takes
# about 180 bytes, so three such tables stay under 17 of the 64 MB of an entry
# VM.
MAX_CELLS = 30_000

# Bisection steps when computing a bound. The error is below a millionth, finer
# than any number of ratings requires.
BISECTIONS = 20


@attrs.frozen(slots=True)
class Key:
    """What a rating refers to.

    ``band`` is the band of the answer's own confidence among ``BANDS`` equal
    ones; ``escalated`` says that a check sent the request on to this version.
    ``generation`` is that of the roll-out in which an unproven version gave
    the answer: ratings that halted it once must not count again after it is
    resumed.
    """

    customer: str
    task: str
    version: str
    band: int = BANDS - 1
    escalated: bool = False
    generation: int = 0


@attrs.frozen(slots=True)
class Count:
    """Numbers of good and bad ratings; fractional after decay."""

    good: float = 0
    bad: float = 0

    @property
    def total(self) -> float:
        """Number of all ratings."""
        return self.good + self.bad

    def __add__(self, other: "Count") -> "Count":
        return Count(self.good + other.good, self.bad + other.bad)


@attrs.frozen(slots=True)
class Cell:
    """Identity of one counter: its only writer, the epoch, the key."""

    origin: str
    epoch: int
    key: Key


@attrs.define
class Evidence:
    """All counters that this entry VM knows, with totals by key."""

    kept_epochs: int = KEPT_EPOCHS
    cells: dict[Cell, Count] = attrs.field(factory=dict)
    totals: dict[Key, dict[int, Count]] = attrs.field(factory=dict)
    newest: int = 0

    def add(self, origin: str, epoch: int, key: Key, good: bool) -> Cell:
        """Count one rating; called only by the origin itself."""
        cell = Cell(origin, epoch, key)
        known = self.cells.get(cell, Count())
        one = Count(1, 0) if good else Count(0, 1)
        self.merge(cell, known + one)
        return cell

    def merge(self, cell: Cell, count: Count) -> bool:
        """Take the maximum of two copies; return whether anything changed."""
        known = self.cells.get(cell, Count())
        merged = Count(max(known.good, count.good), max(known.bad, count.bad))
        if merged == known:
            return False
        self.cells[cell] = merged
        self.newest = max(self.newest, cell.epoch)
        epochs = self.totals.setdefault(cell.key, {})
        before = epochs.get(cell.epoch, Count())
        epochs[cell.epoch] = Count(
            before.good + merged.good - known.good,
            before.bad + merged.bad - known.bad,
        )
        return True

    def forget(self, now_epoch: int) -> None:
        """Drop expired epochs, and the oldest ones beyond the memory bound."""
        oldest = now_epoch - self.kept_epochs
        if len(self.cells) > MAX_CELLS:
            newest = sorted((c.epoch for c in self.cells), reverse=True)
            oldest = max(oldest, newest[MAX_CELLS] + 1)
        dropped = [cell for cell in self.cells if cell.epoch < oldest]
        for cell in dropped:
            del self.cells[cell]
        for key, epochs in list(self.totals.items()):
            kept = {e: c for e, c in epochs.items() if e >= oldest}
            if kept:
                self.totals[key] = kept
            else:
                del self.totals[key]


def sum_epochs(
    evidence: Evidence, wanted: typing.Callable[[Key], bool]
) -> dict[int, Count]:
    """Sum the counts by epoch over all keys for which ``wanted`` is true."""
    summed: dict[int, Count] = {}
    for key, epochs in evidence.totals.items():
        if wanted(key):
            for epoch, count in epochs.items():
                summed[epoch] = summed.get(epoch, Count()) + count
    return summed


def decay(epochs: dict[int, Count], now_epoch: int) -> Count:
    """Sum the epochs, weighting each by its age."""
    good = bad = 0.0
    for epoch, count in epochs.items():
        weight = 0.5 ** (max(0, now_epoch - epoch) / HALF_LIFE_EPOCHS)
        good += count.good * weight
        bad += count.bad * weight
    return Count(good, bad)


def find_band(confidence: float) -> int:
    """The band of a confidence between 0 and 1."""
    return min(BANDS - 1, max(0, int(confidence * BANDS)))


def compute_lower_bound(share: float, total: float, delta: float) -> float:
    """Lower confidence bound of a share; fails with probability ``delta``.

    The Chernoff bound in its divergence form holds for every sample size and
    for answers of unequal difficulty (Hoeffding 1963, theorem 1). The usual
    normal interval treats three good ratings out of three as certain; this
    bound gives 0.37 at 5%, so a few good ratings by chance prove nothing.
    """
    if total <= 0 or share <= 0:
        return 0.0
    limit = math.log(1 / delta) / total
    # Sums of decayed counts may exceed 1 by a rounding error.
    share = min(share, 1.0)
    other = 1 - share
    # Divergence from ``middle``, without its constant part.
    fixed = share * math.log(share) + (other * math.log(other) if other else 0)
    low, high = 0.0, share
    for _ in range(BISECTIONS):
        middle = (low + high) / 2
        divergence = fixed - share * math.log(middle)
        if other:
            divergence -= other * math.log(1 - middle)
        if divergence > limit:
            low = middle
        else:
            high = middle
    return low


def compute_upper_bound(share: float, total: float, delta: float) -> float:
    """Upper confidence bound of a share; fails with probability ``delta``."""
    return 1.0 - compute_lower_bound(1.0 - share, total, delta)
