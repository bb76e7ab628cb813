"""Admission control: whether a request may queue, and when to retry if not.

A request that cannot be answered in time is refused at once. Holding a caller
until its deadline and then refusing it wastes the caller's time, and a run
that ends too late occupies a slot that a run in time could have used.
"""

import collections
import enum
import math

import attrs

from carawayward.decisions import queueing

# Weight of a new observation. A quarter follows a change in the request mix
# within ten answers without reacting strongly to a single long one.
EWMA_GAIN = 0.25
# Mean deviations added to the mean to bound the service time of nearly all
# requests.
DEVIATIONS = 2.0
# Part of the time left until the deadline that may be reserved for the run
# itself.
MAX_RESERVED_PART = 0.7
# Expected service time before any request of a kind has been observed.
DEFAULT_SERVICE_MS = 500.0
# Upper bound of retry-after. A longer one would rest on a load forecast that
# nothing supports.
MAX_RETRY_AFTER_MS = 60_000.0
MIN_RETRY_AFTER_MS = 50.0
# Bound on the number of kinds with an estimate of their own.
MAX_KINDS = 4_096


class Cause(enum.Enum):
    """Why a request was refused."""

    FULL = "full"
    LATE = "late"
    HOPELESS = "hopeless"


@attrs.frozen
class Refusal:
    """A refusal, and when to retry; ``None`` if a retry cannot succeed."""

    cause: Cause
    retry_after_ms: float | None


@attrs.define
class ServiceTime:
    """Estimated slot time: moving averages of value and deviation, in ms."""

    mean_ms: float = DEFAULT_SERVICE_MS
    spread_ms: float = 0.0
    samples: int = 0


@attrs.define
class ServiceTimes:
    """Estimated slot times, for each kind of request and overall."""

    overall: ServiceTime = attrs.field(factory=ServiceTime)
    by_kind: dict[str, ServiceTime] = attrs.field(factory=dict)


@attrs.define
class RetrySchedule:
    """The retry time given to each customer's last refused request."""

    last_ms: dict[str, float] = attrs.field(
        factory=lambda: collections.defaultdict(float)
    )


def estimate_service_ms(times: ServiceTimes, kind: str) -> float:
    """Expected slot time of a request of ``kind``, in ms."""
    return times.by_kind.get(kind, times.overall).mean_ms


def estimate_longest_ms(times: ServiceTimes, kind: str) -> float:
    """Slot time that nearly all requests of ``kind`` stay under, in ms.

    The mean plus two mean deviations, as for a TCP retransmission timeout.
    With the mean alone, half of the requests started at the last moment would
    end too late.
    """
    known = times.by_kind.get(kind, times.overall)
    return known.mean_ms + DEVIATIONS * known.spread_ms


def find_latest_start(
    times: ServiceTimes,
    kind: str,
    now_ms: float,
    deadline_ms: float,
    stop_ms: float = math.inf,
) -> float:
    """The latest time at which a run can start and still likely end in time.

    Under saturation, every slot used by a run that ends too late is taken from
    one that would have ended in time. Only a part of the remaining time is
    reserved for the run: a few slow runs on one bad endpoint must not make the
    whole pool look too slow, since then nothing would run that could correct
    the estimate.

    Before ``stop_ms``, the end of a planned stop, the whole run is reserved:
    another entry VM has the time for it that this one lacks.
    """
    longest = estimate_longest_ms(times, kind)
    latest = deadline_ms
    if math.isfinite(deadline_ms):
        latest -= min(longest, MAX_RESERVED_PART * (deadline_ms - now_ms))
    return min(latest, stop_ms - longest)


def record_service_time(
    times: ServiceTimes, kind: str, took_ms: float
) -> None:
    """Update the estimates from a run, including one cut off at its deadline.

    Learning from completed answers alone would make a pool look fast just
    because its slow runs never complete.
    """
    if len(times.by_kind) >= MAX_KINDS and kind not in times.by_kind:
        times.by_kind.clear()
    for known in (
        times.overall,
        times.by_kind.setdefault(kind, ServiceTime()),
    ):
        if not known.samples:
            known.mean_ms = took_ms
        deviation = took_ms - known.mean_ms
        known.mean_ms += EWMA_GAIN * deviation
        known.spread_ms += EWMA_GAIN * (abs(deviation) - known.spread_ms)
        known.samples += 1


def predict_wait(
    queue: queueing.FairQueue, item: queueing.WaitingRequest, slots: float
) -> float:
    """How long ``item`` would wait before it starts, in ms.

    Work is measured in ms of slot time, so ``slots`` slots do ``slots`` ms of
    work per ms: the service rate follows from the learned concurrency limits
    and slot times. Measuring the rate from starts was tried and removed: it
    lagged behind bursts and refused requests that could be served.

    The request starts at the virtual time at which its customer's own backlog
    has been served. Until then every other customer gets at most what its
    weight allows, so the burst of a large customer adds no more than that
    customer's share to a small one's wait.
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
    max_waiting: int, weight: float, weights: float
) -> int:
    """How many requests one customer may have waiting.

    The queue's capacity is split by weight among all declared customers, so
    that a burst uses up only its own customer's part.
    """
    return max(1, int(max_waiting * weight / max(weights, weight)))


def check_admission(
    queue: queueing.FairQueue,
    item: queueing.WaitingRequest,
    now_ms: float,
    slots: float,
    queue_limit: int,
    retries: RetrySchedule,
) -> Refusal | None:
    """Refuse a request that is over its queue limit or would start too late.

    Returns ``None`` if the request is admitted. A customer with no waiting
    requests is admitted even if its predicted wait is too long.

    Without this, demand of two to five times the capacity makes queues grow
    until everything in them is late, and callers wait only to be refused. The
    retry time is when enough of the customer's own backlog will have drained
    at its share of the capacity. Each further refusal of the same customer is
    given a retry time one turn later; otherwise all of them would retry at the
    same moment and be refused again.
    """
    if item.latest_start_ms < now_ms:
        return Refusal(Cause.HOPELESS, None)
    wait = predict_wait(queue, item, slots)
    turn = _compute_turn_ms(queue, item, slots)
    flow = queue.flows.get(item.customer)
    waiting = flow.count if flow is not None else 0
    late_by = now_ms + wait - item.latest_start_ms
    if waiting < queue_limit and (late_by <= 0.0 or not waiting):
        return None
    if waiting >= queue_limit:
        cause = Cause.FULL
        drain = (
            wait / waiting * (waiting - queue_limit + 1) if waiting else turn
        )
        late_by = max(late_by, drain)
    else:
        cause = Cause.LATE
    due = max(now_ms + late_by + turn, retries.last_ms[item.customer] + turn)
    due = min(due, now_ms + MAX_RETRY_AFTER_MS)
    retries.last_ms[item.customer] = due
    return Refusal(cause, max(MIN_RETRY_AFTER_MS, due - now_ms))


def _compute_turn_ms(
    queue: queueing.FairQueue, item: queueing.WaitingRequest, slots: float
) -> float:
    """Time between two starts of a continuously backlogged customer, in ms."""
    weights = item.weight + sum(
        flow.weight
        for name, flow in queue.flows.items()
        if flow.count and name != item.customer
    )
    return item.work * weights / item.weight / slots
