"""How many requests this entry VM may have in flight on one endpoint.

Several entry VMs share an endpoint and do not know of each other, and load
reports come late. What all of them see at once is latency: each learns its
own limit from it, and together they settle where the endpoint slows down.

Additive increase, proportional decrease. A window of answers is compared
with the best latency known (per unit of work: a token for an engine, a call
for a plain service). In bounds and in use: the limit rises. Above them: it
falls in proportion to the excess. Additive rises and proportional falls let
entry VMs that began unequal become equal.

Load: saturation, one endpoint that slows down, an endpoint that has just
started with cold caches. Harm prevented: a batch so full that every answer
in it is late, and a new endpoint that is sent a full share at once.
"""

import attrs

# All entry VMs together begin with about so many on an endpoint, and each
# with one at least: a small batch for any engine. The limit doubles in each
# good window until the first sign of overload. Entry VMs that all start into
# saturation with two each would learn the strained latency as the best.
INITIAL_TOTAL = 8.0
MIN_LIMIT = 1.0
MAX_LIMIT = 512.0
# A batch that is full runs slower for everyone in it. Half as slow again
# still pays in throughput; beyond it latency grows faster than throughput.
TOLERANCE = 1.5
# Who has more than an equal part of an endpoint's load is less tolerant,
# who has less is more so.
TOLERANCE_RANGE = (0.8, 1.25)
# A window needs this many answers, so that one odd answer decides nothing.
WINDOW_ANSWERS = 4
# One window never cuts more than this, so that one bad second (a pause of
# the endpoint) does not throw away what took a minute to learn.
MIN_CUT_FACTOR = 0.7
# Nor less than this: what makes entry VMs equal is that the larger limit
# loses more at each cut.
MAX_CUT_FACTOR = 0.85
# A limit that is not used teaches nothing and so must not rise.
USED_SHARE = 0.7
# At the least limit this entry VM's load cannot be the cause of the
# latency: the endpoint has become slower, and the base follows.
BASE_RISE_FACTOR = 1.1


@attrs.define
class Limit:
    """The learned limit of one endpoint, as one entry VM sees it."""

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
    """Learn from a whole answer that took ``unit_ms`` per unit of work."""
    limit.window_sum += unit_ms
    limit.window_count += 1
    limit.window_peak = max(limit.window_peak, in_flight)
    if limit.window_count >= WINDOW_ANSWERS:
        _close_window(limit)


def record_load_part(
    limit: Limit, in_flight: int, others: float, entry_vms: int
) -> None:
    """Note how this entry VM's part of the load compares to an equal one.

    Load: saturation, with several entry VMs before one endpoint. Harm
    prevented: who learned a slightly higher base pushes the others out, and
    the customers that the balancer sends to those are refused. ``others``
    comes from late reports and is only a hint: it moves the tolerance
    within ``TOLERANCE_RANGE`` and nothing else.
    """
    total = in_flight + others
    if total > 0.0 and in_flight:
        equal = total / max(1, entry_vms)
        low, high = TOLERANCE_RANGE
        limit.part = min(high, max(low, equal / in_flight))


def record_overload(limit: Limit) -> None:
    """Learn from a refusal by the endpoint or from its silence."""
    limit.starting = False
    limit.value = max(MIN_LIMIT, limit.value * MIN_CUT_FACTOR)
    _clear_window(limit)


def compute_initial_limit(entry_vms: int) -> float:
    """What each of so many entry VMs begins with on an endpoint."""
    return max(MIN_LIMIT, INITIAL_TOTAL / max(1, entry_vms))


def restart(limit: Limit, entry_vms: int) -> None:
    """Begin anew: the endpoint has come back with cold caches."""
    limit.value = compute_initial_limit(entry_vms)
    limit.starting = True
    _clear_window(limit)


def _close_window(limit: Limit) -> None:
    mean = limit.window_sum / limit.window_count
    used = limit.window_peak >= USED_SHARE * limit.value
    if limit.base_ms is None or mean < limit.base_ms:
        limit.base_ms = mean
    most = TOLERANCE * limit.part * limit.base_ms
    if mean > most:
        limit.starting = False
        if limit.value <= MIN_LIMIT:
            limit.base_ms = min(mean, limit.base_ms * BASE_RISE_FACTOR)
        cut = most / mean
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
