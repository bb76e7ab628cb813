"""Room at the endpoints of a plain service that many entry VMs share.

Answers a burst on a few endpoints with short queues, at which each entry VM
has a request in flight only now and then. Prevents requests that wait in one
endpoint's queue beside free places of another, and requests that wait for a
place until their caller has given up.
"""

import math
import typing

import attrs

from carawayward.decisions import placement

# Time constant of the mean number of requests in flight that peers are told.
# A plain request takes a fraction of a report interval, so that momentary
# numbers of many entry VMs are mostly noise.
MEAN_MS = 500.0
# The least urgent requests are refused when the wait would take this much less
# of their time than that of the most urgent, which so find room.
RESERVED_SHARE = 0.5
# A customer is above its share with this many times the mean of the customers
# that have requests in flight.
SHARE_FACTOR = 1.5
# Gain of the observed work time.
WORK_GAIN = 0.2
# Number of endpoints compared in one decision, which bounds its cost.
MAX_ROOMS = 32

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
    in_flight.count += change
    return in_flight.mean


@attrs.frozen(kw_only=True)
class Room:
    """What is known of an endpoint's places.

    ``in_flight`` counts the requests of all entry VMs, ``work_ms`` is the time
    that a request takes in a place.
    """

    name: str
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


def learn_work_ms(known_ms: float | None, room: Room, took_ms: float) -> float:
    """Return the work time after a request that took ``took_ms`` in all."""
    work_ms = took_ms / (1.0 + room.queued / room.slots)
    if known_ms is None:
        return work_ms
    return known_ms + WORK_GAIN * (work_ms - known_ms)


def draw_some(
    endpoints: typing.Sequence[T], draw: placement.Draw
) -> typing.Sequence[T]:
    """Return the endpoints to compare: all, or a part of a large pool."""
    if len(endpoints) <= MAX_ROOMS:
        return endpoints
    first = draw(len(endpoints))
    return [*endpoints[first:], *endpoints[:first]][:MAX_ROOMS]


def choose(
    rooms: typing.Sequence[Room], left_ms: float, draw: placement.Draw
) -> Room:
    """Choose the better of two endpoints, drawn among those in time.

    All are drawn from if none would answer in ``left_ms``. Two choices rather
    than the best: entry VMs decide on nearly the same reports, and would all
    move to the same endpoint.
    """
    in_time = [room for room in rooms if room.answer_ms <= left_ms] or rooms
    first = in_time[draw(len(in_time))]
    second = in_time[draw(len(in_time))]
    return second if second.answer_ms < first.answer_ms else first


@attrs.frozen(kw_only=True)
class Claim:
    """What a request's wait is weighed by.

    ``left_ms`` is how long its caller still waits, ``ranks`` are those of the
    requests that compete for the service's endpoints.
    """

    left_ms: float
    rank: int
    ranks: typing.Sequence[int]
    above_share: bool = False


def compute_allowed_ms(claim: Claim) -> float:
    """Return the longest predicted time to the answer that is accepted.

    All of the caller's time for the most urgent requests, less for others: by
    rank first, then for customers above their share.
    """
    less_urgent = len(set(claim.ranks) | {claim.rank}) - 1
    below = len({rank for rank in claim.ranks if rank < claim.rank})
    step = 2 * below + claim.above_share
    return claim.left_ms * (
        1.0 - RESERVED_SHARE * step / (2 * less_urgent + 1)
    )


def compute_refusal_ms(
    rooms: typing.Sequence[Room], claim: Claim
) -> float | None:
    """Return when to come back if no endpoint would answer in time.

    None if the request is to be sent, which it always is while any place is
    free.
    """
    if not rooms or any(not room.queued for room in rooms):
        return None
    best = min(rooms, key=lambda room: room.answer_ms)
    late_ms = best.answer_ms - compute_allowed_ms(claim)
    if late_ms <= 0.0:
        return None
    return max(late_ms, best.work_ms)


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
