"""Who asks for how much of a service's engines, over all entry VMs.

An entry VM sees two to five requests a second, too few to tell which customer
or rank asks for more than its share. Each therefore adds its peers' reports to
what it was asked itself. Without the sum, a customer at several times its
usual would look like one among many to each entry VM, and take the room of all
others.

Work is measured in weighted tokens a second. A report of a peer that has
expired, or that is lost, leaves its demand out.
"""

import math
import typing

import attrs

# A rank and the hash of a customer's name.
Key = tuple[int, int]

# Demand counts for about this long.
WINDOW_MS = 1_000.0
# Customers that a report names, by rank; the others of a rank are summed.
MAX_KEYS_REPORTED = 8
# Stands for the customers that a report does not name.
OTHERS = 0
# Bounds the memory for customers' own demand.
MAX_KEYS = 512
# Rates below this are dropped.
MIN_RATE = 0.5


@attrs.define
class PeerDemand:
    """The demand that a peer has reported, and when the report expires."""

    expires_ms: float
    rates: dict[Key, float]


@attrs.define
class Demand:
    """The demand for one service, in weighted tokens a second.

    ``own`` holds this entry VM's rates as of ``decayed_ms``. ``peer_totals``
    is the sum of the reports in ``peers``, updated with each report. None of
    these expires before ``next_expiry_ms``.
    """

    own: dict[Key, float] = attrs.field(factory=dict)
    decayed_ms: float = 0.0
    peers: dict[str, PeerDemand] = attrs.field(factory=dict)
    peer_totals: dict[Key, float] = attrs.field(factory=dict)
    next_expiry_ms: float = math.inf


def record_request(
    demand: Demand, key: Key, weight: float, now_ms: float
) -> None:
    """Add a request of ``weight`` tokens to the own demand."""
    _decay(demand, now_ms)
    if key not in demand.own and len(demand.own) >= MAX_KEYS:
        key = (key[0], OTHERS)
    rate = weight * 1000.0 / WINDOW_MS
    demand.own[key] = demand.own.get(key, 0.0) + rate


def _decay(demand: Demand, now_ms: float) -> None:
    """Let the own rates decay until ``now_ms``."""
    factor = math.exp(min(0.0, demand.decayed_ms - now_ms) / WINDOW_MS)
    demand.decayed_ms = now_ms
    demand.own = {
        key: rate * factor
        for key, rate in demand.own.items()
        if rate * factor >= MIN_RATE
    }


def describe(demand: Demand, now_ms: float) -> dict[Key, float]:
    """The own demand to report: the largest customers, the rest by rank."""
    _decay(demand, now_ms)
    rates = sorted(demand.own.items(), key=lambda item: -item[1])
    reported = dict(rates[:MAX_KEYS_REPORTED])
    for (rank, _), rate in rates[MAX_KEYS_REPORTED:]:
        others = (rank, OTHERS)
        reported[others] = reported.get(others, 0.0) + rate
    return reported


def merge_report(
    demand: Demand,
    peer: str,
    rates: typing.Mapping[Key, float],
    max_rate: float,
    expires_ms: float,
) -> None:
    """Replace the last report of a peer.

    If it claims more than ``max_rate`` in sum, it is scaled down to that: a
    faulty entry VM must not leave the others without room.
    """
    drop_report(demand, peer)
    total = sum(rates.values())
    scale = min(1.0, max_rate / total) if total > 0.0 else 1.0
    kept = {key: rate * scale for key, rate in rates.items()}
    demand.peers[peer] = PeerDemand(expires_ms, kept)
    demand.next_expiry_ms = min(demand.next_expiry_ms, expires_ms)
    for key, rate in kept.items():
        demand.peer_totals[key] = demand.peer_totals.get(key, 0.0) + rate


def drop_report(demand: Demand, peer: str) -> None:
    """Forget the last report of a peer."""
    dropped = demand.peers.pop(peer, None)
    if dropped is None:
        return
    for key, rate in dropped.rates.items():
        left = demand.peer_totals.get(key, 0.0) - rate
        if left >= MIN_RATE:
            demand.peer_totals[key] = left
        else:
            demand.peer_totals.pop(key, None)


def _expire_reports(demand: Demand, now_ms: float) -> None:
    if now_ms <= demand.next_expiry_ms:
        return
    for peer, report in list(demand.peers.items()):
        if now_ms > report.expires_ms:
            drop_report(demand, peer)
    demand.next_expiry_ms = min(
        (report.expires_ms for report in demand.peers.values()),
        default=math.inf,
    )


def compute_totals(demand: Demand, now_ms: float) -> dict[Key, float]:
    """The demand of all entry VMs whose reports are valid."""
    _expire_reports(demand, now_ms)
    _decay(demand, now_ms)
    totals = dict(demand.own)
    for key, rate in demand.peer_totals.items():
        totals[key] = totals.get(key, 0.0) + rate
    return totals


def find_largest(totals: typing.Mapping[Key, float]) -> int:
    """The customer that asks for the most work; ``OTHERS`` if none does."""
    by_customer: dict[int, float] = {}
    for (_, customer), rate in totals.items():
        if customer != OTHERS:
            by_customer[customer] = by_customer.get(customer, 0.0) + rate
    return max(by_customer, key=by_customer.__getitem__, default=OTHERS)
