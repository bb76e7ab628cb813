"""Placement and admission at the endpoints of a plain service.

Answers a burst, uneven over failure domains, on a few endpoints with short
queues that many entry VMs share, where each has a request in flight only now
and then. Prevents queues in one failure domain beside free places in another,
and requests that wait for a place until their caller has given up.
"""

import bisect
import itertools
import math
import statistics
import typing

import attrs

from carawayward.decisions import placement

# Time constant of the mean number of requests in flight that peers are told.
# A plain request takes a fraction of a report interval, so that momentary
# numbers of many entry VMs are mostly noise.
MEAN_MS = 500.0
# Share of the latency target within which the least urgent requests are not
# accepted any more, so that more urgent ones find room.
RESERVED_SHARE = 0.5
# An endpoint whose work takes this many times the median is slow.
SLOW_RATIO = 2.0
# Requests leave a failure domain whose endpoints would be used more than this.
UTILISATION = 0.7
# Time constant of the rates that peers are told.
RATE_MS = 2_000.0
# Requests are not refused for others before an answer takes this many times
# the work.
MIN_QUEUE_FACTOR = 3.0
# A customer is above its share with this many times the mean of the customers
# that have requests in flight.
SHARE_FACTOR = 1.5
# The work time tracks the median of what is observed, in relative steps of
# this size: a mean would follow the few requests that have waited unnoticed.
WORK_STEP = 0.15
# Number of endpoints looked at before a request is refused, which bounds the
# cost of a decision.
MAX_ROOMS = 32
DRAWS = 1 << 24

T = typing.TypeVar("T")


@attrs.define
class InFlight:
    """Requests in flight of one entry VM, and their mean over time."""

    count: int = 0
    mean: float = 0.0
    as_of_ms: float = 0.0


def update_mean(in_flight: InFlight, now_ms: float, change: int = 0) -> float:
    """Update the mean, then the count by ``change``; return the mean."""
    elapsed_ms = max(0.0, now_ms - in_flight.as_of_ms)
    gain = -math.expm1(-elapsed_ms / MEAN_MS)
    in_flight.mean += gain * (in_flight.count - in_flight.mean)
    in_flight.as_of_ms = now_ms
    # A request may have begun before its service was covered.
    in_flight.count = max(0, in_flight.count + change)
    return in_flight.mean


@attrs.define
class Rate:
    """Requests per second of one entry VM, as a mean over time."""

    per_s: float = 0.0
    as_of_ms: float = 0.0


def update_rate(rate: Rate, now_ms: float, requests: int = 0) -> float:
    """Add requests to the rate and return it."""
    elapsed_ms = max(0.0, now_ms - rate.as_of_ms)
    rate.per_s *= math.exp(-elapsed_ms / RATE_MS)
    rate.per_s += requests * 1000.0 / RATE_MS
    rate.as_of_ms = now_ms
    return rate.per_s


@attrs.frozen(kw_only=True)
class Room:
    """What is known of an endpoint's places.

    ``in_flight`` counts the requests of all entry VMs, ``work_ms`` is the time
    that a request takes in a place.
    """

    name: str
    failure_domain: str
    slots: int
    in_flight: float
    work_ms: float

    @property
    def queued(self) -> float:
        """The number of requests that one more would wait for."""
        return max(0.0, self.in_flight + 1.0 - self.slots)

    @property
    def answer_ms(self) -> float:
        """The predicted time until one more request is answered."""
        return self.work_ms * (1.0 + self.queued / self.slots)

    @property
    def per_s(self) -> float:
        """The number of requests that it answers in a second."""
        return 1000.0 * self.slots / self.work_ms


def learn_work_ms(known_ms: float | None, room: Room, took_ms: float) -> float:
    """Return the work time after a request that took ``took_ms`` in all.

    One that has waited only teaches that the work is shorter: how long it
    waited is known too roughly.
    """
    work_ms = took_ms / (1.0 + room.queued / room.slots)
    if known_ms is None:
        return work_ms
    if work_ms < known_ms:
        return max(work_ms, known_ms * (1.0 - WORK_STEP))
    if room.queued:
        return known_ms
    return min(work_ms, known_ms * (1.0 + WORK_STEP))


def draw_some(
    endpoints: typing.Sequence[T], draw: placement.Draw
) -> typing.Sequence[T]:
    """Return the endpoints to compare: all, or a part of a large pool."""
    if len(endpoints) <= MAX_ROOMS:
        return endpoints
    first = draw(len(endpoints))
    return [*endpoints[first:], *endpoints[:first]][:MAX_ROOMS]


@attrs.frozen(kw_only=True)
class Spread:
    """Which requests of a failure domain go elsewhere.

    ``leaving`` is the share that goes to endpoints of other failure domains,
    whose names and cumulative weights are in ``names`` and ``sums``.
    ``kept`` is, for each slow endpoint, the share of the requests placed there
    that stay.
    """

    leaving: float = 0.0
    names: typing.Sequence[str] = ()
    sums: typing.Sequence[float] = ()
    kept: typing.Mapping[str, float] = attrs.field(factory=dict)


def compute_spread(
    rooms: typing.Sequence[Room],
    demand: typing.Mapping[str, float],
    failure_domain: str,
) -> Spread:
    """Compute which requests leave a failure domain or slow endpoints.

    ``demand`` is in requests per second, by failure domain. It changes slowly,
    so that all entry VMs come to nearly the same shares and draw by them. If
    they chose by the queues in late reports, all would leave an endpoint at
    once and come back at once.
    """
    if not rooms:
        return Spread()
    capacity: dict[str, float] = dict.fromkeys((*demand, failure_domain), 0.0)
    for room in rooms:
        known = capacity.get(room.failure_domain, 0.0)
        capacity[room.failure_domain] = known + room.per_s
    usual_ms = statistics.median(room.work_ms for room in rooms)
    kept = {
        room.name: usual_ms / room.work_ms
        for room in rooms
        if room.work_ms > SLOW_RATIO * usual_ms
    }
    level = sum(demand.values()) / sum(capacity.values())
    level = max(UTILISATION, level)
    own = demand.get(failure_domain, 0.0)
    leaving = 1.0 - level * capacity[failure_domain] / own if own else 0.0
    if leaving <= 0.0:
        return Spread(kept=kept)
    others = [room for room in rooms if room.failure_domain != failure_domain]
    weights = [
        room.per_s
        * max(
            0.0,
            level
            - demand.get(room.failure_domain, 0.0)
            / capacity[room.failure_domain],
        )
        for room in others
    ]
    return Spread(
        leaving=leaving,
        names=[room.name for room in others],
        sums=list(itertools.accumulate(weights)),
        kept=kept,
    )


def choose_remote(spread: Spread, draw: placement.Draw) -> str | None:
    """Return an endpoint of another failure domain, or None to stay."""
    if not spread.sums or not spread.sums[-1]:
        return None
    if draw(DRAWS) >= spread.leaving * DRAWS:
        return None
    point = spread.sums[-1] * draw(DRAWS) / DRAWS
    return spread.names[bisect.bisect_right(spread.sums, point)]


def leaves_slow(spread: Spread, name: str, draw: placement.Draw) -> bool:
    """Whether a request leaves the endpoint that was chosen first."""
    kept = spread.kept.get(name)
    return kept is not None and draw(DRAWS) >= kept * DRAWS


@attrs.frozen(kw_only=True)
class Claim:
    """What a request's wait is weighed by.

    ``left_ms`` is how long its caller still waits, ``target_ms`` its latency
    target. ``ranks`` are those of the requests that compete for the service's
    endpoints. ``age_ms`` is how old the reports of what is in flight are,
    ``seen_ms`` how long this entry VM's last answer took, 0 without any
    lately.
    """

    left_ms: float
    target_ms: float
    rank: int
    ranks: typing.Sequence[int]
    above_share: bool = False
    age_ms: float = 0.0
    seen_ms: float = float("inf")


def compute_refused_share(claim: Claim, room: Room) -> float:
    """Return the share of such requests to refuse if ``room`` is the best.

    The most urgent are refused only past the caller's time. Others must not be
    late, and leave room to the more urgent ones: by rank first, then customers
    above their share. What this entry VM has seen itself must agree, since the
    reports may be late. The share rises gradually: entry VMs would otherwise
    refuse all and none by turns.
    """
    ranks = sorted({*claim.ranks, claim.rank})
    step = 2 * ranks.index(claim.rank) + claim.above_share
    if room.answer_ms > claim.left_ms:
        return 1.0
    if not step:
        return 0.0
    reserved = RESERVED_SHARE * step / (2 * len(ranks) - 1)
    # Where the work takes most of the target, a short queue has to do.
    end_ms = max(claim.target_ms, room.work_ms * MIN_QUEUE_FACTOR)
    begin_ms = end_ms * (1.0 - reserved)
    answer_ms = min(room.answer_ms, claim.seen_ms)
    share = (answer_ms - begin_ms) / (end_ms - begin_ms)
    return min(1.0, max(0.0, share))


def compute_refusal_ms(
    rooms: typing.Sequence[Room], claim: Claim, draw: placement.Draw
) -> float | None:
    """Return when to come back if no endpoint would answer in time.

    None if the request is to be sent. It always is while any place is free,
    and while the reports are older than the caller waits: what was in flight
    then has ended.
    """
    if not rooms or any(not room.queued for room in rooms):
        return None
    if claim.age_ms >= claim.left_ms:
        return None
    best = min(rooms, key=lambda room: room.answer_ms)
    share = compute_refused_share(claim, best)
    if draw(DRAWS) >= share * DRAWS:
        return None
    # By then what waits now has a place.
    return max(best.work_ms, best.answer_ms - best.work_ms)


def is_above_share(
    in_flight: typing.Mapping[int, float], customer: int
) -> bool:
    """Whether a customer has clearly more in flight than the mean.

    ``in_flight`` is by customer, of those with requests in flight.
    """
    if len(in_flight) < 2:
        return False
    mean = sum(in_flight.values()) / len(in_flight)
    return in_flight.get(customer, 0.0) > SHARE_FACTOR * mean
