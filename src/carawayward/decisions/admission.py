"""Whether a request may wait at all, and when to come back if not.

A request that cannot be answered in time is refused at once: a caller that
is held until its deadline and then refused has lost that time, and work
that ends too late has taken a slot from work that would have been in time.
"""

import collections
import enum

import attrs

from carawayward.decisions import queueing

# The weight of a new observation. A quarter follows a change of the mix
# within ten answers without jumping at a single long one.
EWMA_GAIN = 0.25
DEVIATIONS = 2.0
MAX_RESERVED_PART = 0.7
# What a request is expected to take before anything is known of its kind.
DEFAULT_SERVICE_MS = 500.0
# Nobody is told to come back later than this. A longer promise would rest
# on a forecast of the load that nothing supports.
MAX_RETRY_AFTER_MS = 60_000.0
MIN_RETRY_AFTER_MS = 50.0
MAX_KINDS = 4_096


class Cause(enum.Enum):
    """Why a request is refused."""

    FULL = "full"
    LATE = "late"
    HOPELESS = "hopeless"


@attrs.frozen
class Refusal:
    """A refusal and when to come back; None if coming back cannot help."""

    cause: Cause
    retry_after_ms: float | None


@attrs.define
class ServiceTime:
    """Learned time on a slot: its mean and its mean deviation, in ms."""

    mean_ms: float = DEFAULT_SERVICE_MS
    spread_ms: float = 0.0
    samples: int = 0


@attrs.define
class ServiceTimes:
    """Learned times on a slot, by kind of request and over all."""

    overall: ServiceTime = attrs.field(factory=ServiceTime)
    by_kind: dict[str, ServiceTime] = attrs.field(factory=dict)


@attrs.define
class RetrySchedule:
    """When each customer's last refused request was told to come back."""

    last_ms: dict[str, float] = attrs.field(
        factory=lambda: collections.defaultdict(float)
    )


def estimate_service_ms(times: ServiceTimes, kind: str) -> float:
    """How long a request of ``kind`` will hold a slot on average, in ms."""
    return times.by_kind.get(kind, times.overall).mean_ms


def estimate_longest_ms(times: ServiceTimes, kind: str) -> float:
    """How long nearly all requests of ``kind`` take, in ms.

    Mean and two deviations, as a retransmission timeout is set: with the
    mean alone, half of what starts at the last moment ends too late.
    """
    known = times.by_kind.get(kind, times.overall)
    return known.mean_ms + DEVIATIONS * known.spread_ms


def find_latest_start(
    times: ServiceTimes, kind: str, now_ms: float, deadline_ms: float
) -> float:
    """The last moment at which a start is likely to end in time.

    Load: saturation, where every slot given to a request that ends too late
    is taken from one that would not. At most a part of the time that is
    left is set aside for the run: a few slow runs on one bad endpoint must not
    make the whole pool look hopeless, or nothing would run to correct it.
    """
    longest = estimate_longest_ms(times, kind)
    return deadline_ms - min(
        longest, MAX_RESERVED_PART * (deadline_ms - now_ms)
    )


def record_service_time(
    times: ServiceTimes, kind: str, took_ms: float
) -> None:
    """Learn from a run, also from one that was cut off at its deadline.

    Learning from answers alone would make a pool look fast just because
    its slow runs never end.
    """
    if len(times.by_kind) >= MAX_KINDS and kind not in times.by_kind:
        times.by_kind.clear()
    for known in (
        times.overall,
        times.by_kind.setdefault(kind, ServiceTime()),
    ):
        if not known.samples:
            known.mean_ms = took_ms
        off = took_ms - known.mean_ms
        known.mean_ms += EWMA_GAIN * off
        known.spread_ms += EWMA_GAIN * (abs(off) - known.spread_ms)
        known.samples += 1


def predict_wait(
    queue: queueing.FairQueue, item: queueing.WaitingRequest, slots: float
) -> float:
    """How long ``item`` would wait for its start, in ms.

    Work is counted in ms of one slot, so that ``slots`` slots do that many
    ms of it each ms: the service rate follows from the learned limits and
    the learned times on a slot. A rate measured from starts was tried and
    taken out: it lagged behind bursts and refused what could be served.

    Its turn comes at the virtual time at which the customer's own backlog
    is served; until then each other customer gets what its weight allows
    and no more. So the burst of a large customer adds no more to a small
    one's wait than its share.
    """
    own = queue.flows.get(item.customer)
    ahead = own.work if own is not None else 0.0
    start = queueing.find_tag(queue, item) + ahead / item.weight
    others = sum(
        min(flow.work, max(0.0, start - flow.tag) * flow.weight)
        for name, flow in queue.flows.items()
        if flow.count and name != item.customer
    )
    return (ahead + others) / slots


def compute_queue_limit(
    most_waiting: int, weight: float, weights: float
) -> int:
    """How many requests one customer may have waiting.

    The places are split by weight among all declared customers, so that a
    burst fills its own customer's places and nobody else's.
    """
    return max(1, int(most_waiting * weight / max(weights, weight)))


def check_admission(
    queue: queueing.FairQueue,
    item: queueing.WaitingRequest,
    now_ms: float,
    slots: float,
    places: int,
    promises: RetrySchedule,
) -> Refusal | None:
    """Refuse a request that cannot be served in time, or return None.

    Load: demand of two and five times the capacity. Harm prevented: queues
    that grow until everything in them is late, and callers that wait only
    to be refused. The time to come back is what the customer's own backlog
    needs to drain at its own share; each further refusal of the same
    customer is told a later time, one turn apart, or all would come back
    at the same moment and be refused again.
    """
    if item.latest_start_ms < now_ms:
        return Refusal(Cause.HOPELESS, None)
    wait = predict_wait(queue, item, slots)
    turn = _find_turn(queue, item, slots)
    flow = queue.flows.get(item.customer)
    waiting = flow.count if flow is not None else 0
    late_by = now_ms + wait - item.latest_start_ms
    if waiting < places and (late_by <= 0.0 or not waiting):
        return None
    if waiting >= places:
        cause = Cause.FULL
        drain = wait / waiting * (waiting - places + 1) if waiting else turn
        late_by = max(late_by, drain)
    else:
        cause = Cause.LATE
    due = max(now_ms + late_by + turn, promises.last_ms[item.customer] + turn)
    due = min(due, now_ms + MAX_RETRY_AFTER_MS)
    promises.last_ms[item.customer] = due
    return Refusal(cause, max(MIN_RETRY_AFTER_MS, due - now_ms))


def _find_turn(
    queue: queueing.FairQueue, item: queueing.WaitingRequest, slots: float
) -> float:
    """The time between two starts of a customer that is always waiting."""
    weights = item.weight + sum(
        flow.weight
        for name, flow in queue.flows.items()
        if flow.count and name != item.customer
    )
    return item.work * weights / item.weight / slots
