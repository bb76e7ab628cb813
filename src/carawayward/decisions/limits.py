"""How many requests this entry VM may have in flight on one endpoint.

Several entry VMs share an endpoint without knowing of each other's requests,
and load reports arrive late. All of them observe latency at once, however:
each learns its own limit from it, and together they settle at the load at
which the endpoint slows down.

The limit follows additive increase and proportional decrease. The mean of a
window of answers is compared with the best known latency per unit of work (a
token for an engine, a call for a plain service). If it is within bounds and
the limit was in use, the limit rises; above the bounds it falls in proportion
to the excess. Additive increase with proportional decrease makes unequal
limits of several entry VMs converge.

This covers saturation, an endpoint that slows down, and one that has just
started with cold caches. Without it, batches become so full that every answer
in them is late, and a new endpoint is sent a full share at once.
"""

import attrs

# Initial limit of all entry VMs together on an endpoint, and the minimum of
# each: a small batch for any engine. The limit doubles in each good window
# until the first sign of overload. If all entry VMs started with two each
# under saturation, they would learn the overloaded latency as the best one.
INITIAL_TOTAL = 8.0
MIN_LIMIT = 1.0
MAX_LIMIT = 512.0
# A full batch runs slower for every request in it. Up to half as slow again,
# throughput still gains; beyond that, latency grows faster than throughput.
TOLERANCE = 1.5
# An entry VM with more than an equal share of an endpoint's load tolerates
# less latency, one with less tolerates more, by factors in this range.
TOLERANCE_RANGE = (0.8, 1.25)
# Answers in a window, so that a single outlier decides nothing.
WINDOW_ANSWERS = 4
# One window never cuts the limit by more than this, so that one bad second (a
# pause of the endpoint) does not discard what took a minute to learn.
MIN_CUT_FACTOR = 0.7
# Nor by less than this: limits converge because the larger one loses more with
# each cut.
MAX_CUT_FACTOR = 0.85
# A limit that is not used teaches nothing, so it must not rise.
USED_SHARE = 0.7
# At the minimum limit this entry VM's load cannot be the cause of the latency:
# the endpoint has become slower, and the base latency is raised.
BASE_RISE_FACTOR = 1.1


@attrs.define
class Limit:
    """The learned limit of one endpoint, as seen by one entry VM.

    ``starting`` is set while the limit still doubles. ``part`` is the factor
    on the tolerance that ``record_load_part`` computes.
    """

    value: float = MIN_LIMIT
    base_ms: float | None = None
    starting: bool = True
    window_sum: float = 0.0
    window_count: int = 0
    window_peak: int = 0
    part: float = 1.0


def has_room(limit: Limit, in_flight: int) -> bool:
    """Whether one more request may be sent."""
    return in_flight < int(limit.value)


def record_answer(limit: Limit, unit_ms: float, in_flight: int) -> None:
    """Record a complete answer that took ``unit_ms`` per unit of work."""
    limit.window_sum += unit_ms
    limit.window_count += 1
    limit.window_peak = max(limit.window_peak, in_flight)
    if limit.window_count >= WINDOW_ANSWERS:
        _close_window(limit)


def record_load_part(
    limit: Limit, in_flight: int, others: float, entry_vms: int
) -> None:
    """Record how this entry VM's part of the load compares to an equal one.

    When several entry VMs saturate one endpoint, one that learned a slightly
    higher base latency would crowd out the others, and the customers that the
    balancer sends to those would be refused. ``others`` comes from late
    reports and is only a hint: it changes the tolerance within
    ``TOLERANCE_RANGE`` and nothing else.
    """
    total = in_flight + others
    if total > 0.0 and in_flight:
        equal_part = total / max(1, entry_vms)
        low, high = TOLERANCE_RANGE
        limit.part = min(high, max(low, equal_part / in_flight))


def record_overload(limit: Limit) -> None:
    """Cut the limit after the endpoint refused a request or did not answer."""
    limit.starting = False
    limit.value = max(MIN_LIMIT, limit.value * MIN_CUT_FACTOR)
    _clear_window(limit)


def compute_initial_limit(entry_vms: int) -> float:
    """Initial limit of each of ``entry_vms`` entry VMs on an endpoint."""
    return max(MIN_LIMIT, INITIAL_TOTAL / max(1, entry_vms))


def restart(limit: Limit, entry_vms: int) -> None:
    """Start again: the endpoint has come back with cold caches."""
    limit.value = compute_initial_limit(entry_vms)
    limit.starting = True
    _clear_window(limit)


def _close_window(limit: Limit) -> None:
    mean = limit.window_sum / limit.window_count
    used = limit.window_peak >= USED_SHARE * limit.value
    if limit.base_ms is None or mean < limit.base_ms:
        limit.base_ms = mean
    max_ms = TOLERANCE * limit.part * limit.base_ms
    if mean > max_ms:
        limit.starting = False
        if limit.value <= MIN_LIMIT:
            limit.base_ms = min(mean, limit.base_ms * BASE_RISE_FACTOR)
        cut = max_ms / mean
        cut = min(MAX_CUT_FACTOR, max(MIN_CUT_FACTOR, cut))
        limit.value = max(MIN_LIMIT, limit.value * cut)
    elif used:
        step = limit.value if limit.starting else 1.0
        limit.value = min(MAX_LIMIT, limit.value + step)
    _clear_window(limit)


def _clear_window(limit: Limit) -> None:
    limit.window_sum = 0.0
    limit.window_count = 0
    limit.window_peak = 0
