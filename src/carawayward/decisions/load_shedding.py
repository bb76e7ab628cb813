"""Who gets the engines' room when there is too little.

When callers ask for more than the engines read, every queue grows until all
answers are late, the urgent ones too, and a customer who sends several times
its usual takes the room of all others. From a backlog on that callers of the
shortest target notice, requests are let in by rank, and within the rank in
which room ends by max-min shares of the customers' work.

All entry VMs compute the same share of requests to let in from nearly the same
demand and backlog, so none coordinates. One that knows only some of its peers
compares the demand that it knows with the same part of the room.
"""

import collections
import statistics
import typing

import attrs

from carawayward.decisions import demand as demand_module

# Mean backlog of the engines, as parts of the shortest latency target among
# the routes that they serve: refusals begin above the first, and end below the
# second. In between, the room is what the engines read in a second at the
# third.
BEGIN_BACKLOG = 0.4
END_BACKLOG = 0.15
GOAL_BACKLOG = 0.3
# How late reports show the backlog that a demand leads to.
REPORT_LAG_MS = 500.0
# A backlog beyond the goal is to be read within this many targets. Reports of
# it are up to a second old: a shorter time would make it oscillate.
DRAIN_TARGETS = 1.0
# Bounds of the room, as parts of what the engines read.
MIN_ROOM = 0.1
MAX_ROOM = 1.5
# Part of the room that a rank gets before more urgent ones get the rest.
RANK_FLOOR = 0.03
# An entry VM that knows less than this part of all refuses fewer requests.
FULL_KNOWLEDGE = 0.5
# Requests by which those of returning callers may exceed the share let in
# until later requests make up for it.
RETURN_CREDIT = 1.0
# Own requests whose waits are considered, and how long; fewer say nothing.
MAX_WAITS = 5
MIN_WAITS = 3
WAIT_TTL_MS = 2_000.0
# The backlog may be up to this many times the reported one.
MAX_UNDERSTATED = 4.0
# How long refused callers are told to stay away, in ms.
MIN_RETRY_AFTER_MS = 1_000.0
MAX_RETRY_AFTER_MS = 5_000.0
# A caller comes back as told from this part of the time on, since the time is
# spread at random when it is sent.
EARLIEST_RETURN = 0.75


@attrs.frozen
class Engines:
    """The engines of a service as one entry VM sees them.

    ``rate`` is what they read, in weighted tokens a second, ``backlog_ms``
    their mean backlog, and ``target_ms`` the shortest latency target of the
    routes. ``known`` is the part of the entry VMs whose reports are current,
    with this one.
    """

    rate: float
    backlog_ms: float
    target_ms: float
    known: float = 1.0


@attrs.define
class Waits:
    """How long this entry VM's last requests waited for their first token.

    A wait is what is beyond the time at an idle engine. ``recent`` are pairs
    of the time of the first token and the wait, in ms.
    """

    recent: collections.deque[tuple[float, float]] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_WAITS)
    )


def record_wait(waits: Waits, wait_ms: float, now_ms: float) -> None:
    """Record the wait of a request whose first token has come."""
    waits.recent.append((now_ms, max(0.0, wait_ms)))


def estimate_backlog_ms(
    waits: Waits, reported_ms: float, now_ms: float
) -> float:
    """The engines' mean backlog, from the reports and from own waits.

    Where reports are late, own requests already wait longer than these say.
    Waits alone say nothing: a slow machine or link makes them long as well.
    """
    wait_ms = _find_wait_ms(waits, now_ms)
    return max(reported_ms, min(wait_ms, MAX_UNDERSTATED * reported_ms))


def _find_wait_ms(waits: Waits, now_ms: float) -> float:
    """The median of the recent waits; 0 if there are too few of them."""
    recent = [
        wait_ms
        for at_ms, wait_ms in waits.recent
        if now_ms - at_ms < WAIT_TTL_MS
    ]
    return statistics.median(recent) if len(recent) >= MIN_WAITS else 0.0


@attrs.frozen
class Shares:
    """The part of the requests to let in, 0 to 1.

    ``by_key`` is by rank and customer, ``by_rank`` the mean of a rank.
    ``full_rank`` is the most urgent rank that does not get in whole, and
    ``level`` what each of its customers gets at most, in weighted tokens a
    second.
    """

    by_key: typing.Mapping[demand_module.Key, float]
    by_rank: typing.Mapping[int, float]
    full_rank: int | None = None
    level: float = float("inf")

    def get(self, key: demand_module.Key) -> float:
        """The part of the requests of a rank and customer to let in."""
        return self.by_key.get(key, self.by_rank.get(key[0], 1.0))


EVERYTHING = Shares({}, {})


@attrs.define
class Gate:
    """Whether room is short, and the part of the requests to let in.

    ``engines`` is what that rests on, None before the first update.
    """

    short: bool = False
    shares: Shares = EVERYTHING
    engines: Engines | None = None


def update(
    gate: Gate,
    totals: typing.Mapping[demand_module.Key, float],
    engines: Engines,
) -> None:
    """Decide anew from the demand and the engines' backlog."""
    gate.engines = engines
    if gate.short:
        gate.short = engines.backlog_ms > END_BACKLOG * engines.target_ms
    else:
        gate.short = (
            _predict_backlog_ms(totals, engines)
            > BEGIN_BACKLOG * engines.target_ms
        )
    gate.shares = compute_shares(totals, engines) if gate.short else EVERYTHING


def _predict_backlog_ms(
    totals: typing.Mapping[demand_module.Key, float], engines: Engines
) -> float:
    """The backlog once reports show what the demand has come to."""
    readable = engines.rate * engines.known
    if engines.backlog_ms <= END_BACKLOG * engines.target_ms or not readable:
        return engines.backlog_ms
    excess = max(0.0, sum(totals.values()) / readable - 1.0)
    return engines.backlog_ms + excess * REPORT_LAG_MS


def compute_room(engines: Engines) -> float:
    """The work to let in, in weighted tokens a second.

    ``rate`` is learned and may be wrong. Then the backlog settles above or
    below the goal, where the room is what the engines do read.
    """
    excess_ms = engines.backlog_ms - GOAL_BACKLOG * engines.target_ms
    part = 1.0 - excess_ms / (DRAIN_TARGETS * engines.target_ms)
    return engines.rate * min(MAX_ROOM, max(MIN_ROOM, part)) * engines.known


def compute_shares(
    totals: typing.Mapping[demand_module.Key, float], engines: Engines
) -> Shares:
    """Divide the room between the ranks and customers that ask for it.

    Fewer requests are refused while only few entry VMs are known.
    """
    certainty = min(1.0, engines.known / FULL_KNOWLEDGE)
    by_rank: dict[int, dict[int, float]] = {}
    for (rank, customer), rate in totals.items():
        if rate > 0.0:
            by_rank.setdefault(rank, {})[customer] = rate
    room = compute_room(engines)
    wanted = {rank: sum(rates.values()) for rank, rates in by_rank.items()}
    floors = {
        rank: min(rate, RANK_FLOOR * room) for rank, rate in wanted.items()
    }
    left = room - sum(floors.values())
    by_key: dict[demand_module.Key, float] = {}
    means: dict[int, float] = {}
    full_rank, level = None, float("inf")
    for rank in sorted(by_rank):
        given = min(wanted[rank], floors[rank] + max(0.0, left))
        left -= given - floors[rank]
        parts, rank_level = _divide(by_rank[rank], given)
        means[rank] = 1.0 - (1.0 - given / wanted[rank]) * certainty
        by_key |= {
            (rank, customer): 1.0 - (1.0 - part) * certainty
            for customer, part in parts.items()
        }
        if full_rank is None and given < wanted[rank]:
            full_rank, level = rank, rank_level
    return Shares(by_key, means, full_rank, level)


def _divide(
    rates: typing.Mapping[int, float], room: float
) -> tuple[dict[int, float], float]:
    """Divide a rank's room by max-min shares; also return the highest share.

    Customers that no report names get the rank's mean.
    """
    wanted = sum(rates.values())
    if room >= wanted:
        return dict.fromkeys(rates, 1.0), float("inf")
    mean = room / wanted
    parts = dict.fromkeys(rates, mean)
    named = sorted(
        (rate, customer)
        for customer, rate in rates.items()
        if customer != demand_module.OTHERS
    )
    left = room - mean * rates.get(demand_module.OTHERS, 0.0)
    level = float("inf")
    for index, (rate, _) in enumerate(named):
        level = max(0.0, left) / (len(named) - index)
        if rate > level:
            break
        left -= rate
    for rate, customer in named:
        parts[customer] = 1.0 if rate <= level else level / rate
    return parts, level


@attrs.define
class Credits:
    """Carries over, by kind of request, what rounding has let in too little.

    A share of two fifths lets in two of five requests. Kinds are apart, so
    that the large requests of one are not the ones that are always refused.
    Each begins at a random part of a request, since an entry VM may see only
    one of a kind.
    """

    draw: typing.Callable[[], float]
    by_kind: dict[str, float] = attrs.field(factory=dict)


def claim(credits: Credits, kind: str, share: float, returning: bool) -> bool:
    """Whether to let a request in, and count it.

    A returning caller goes first, and the next new ones make up for it.
    """
    if share >= 1.0:
        return True
    credit = credits.by_kind.get(kind)
    if credit is None:
        credit = credits.draw()
    credit += share
    let_in = credit >= (1.0 - RETURN_CREDIT if returning else 1.0)
    credits.by_kind[kind] = credit - 1.0 if let_in else credit
    return let_in


def compute_retry_after_ms(
    engines: Engines, share: float, place: float, draw: float
) -> float:
    """The time until room is expected, in ms.

    Until then the backlog is read. Callers are spread over as many times that
    as it takes to let them all in. ``place`` is the rank among those that ask,
    0 for the most urgent and 1 for the least; ``draw`` is 0 to 1.
    """
    base_ms = max(MIN_RETRY_AFTER_MS, engines.backlog_ms)
    rounds = min(3.0, 1.0 / max(share, 0.1) - 1.0)
    wait_ms = base_ms * (1.0 + place + rounds * draw)
    return min(MAX_RETRY_AFTER_MS, wait_ms)


def find_place(shares: Shares, rank: int) -> float:
    """A rank's place among those that ask, 0 the most urgent, 1 the least."""
    ranks = sorted(shares.by_rank)
    if rank not in ranks or len(ranks) == 1:
        return 0.0
    return ranks.index(rank) / (len(ranks) - 1)


def explain_ahead(shares: Shares, key: demand_module.Key) -> str:
    """Say to whom the room went that a request did not get."""
    full_rank = shares.full_rank
    if full_rank is not None and key[0] > full_rank:
        return f"ranks up to {full_rank}"
    return "the same rank, by the customers' shares"
