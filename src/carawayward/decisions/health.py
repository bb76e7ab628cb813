"""Outlier ejection: which endpoints of a pool to skip for a while.

Covers one endpoint of a pool that fails fast, hangs or runs slowly while the
others are healthy. An endpoint that fails fast is always idle, so every policy
that prefers the lowest load would send it all the requests.
"""

import enum
import statistics
import typing

import attrs

# Three consecutive failures rarely happen by chance, and an endpoint that
# fails every request reaches them quickly.
FAILURES_IN_A_ROW = 3
# An endpoint that fails intermittently is ejected below this success rate,
# given this many samples.
MIN_SUCCESS = 0.5
MIN_SAMPLES = 10
# Three times the pool's median per unit of work, averaged over several
# answers, is more than batching or a cold cache explains.
SLOW_RATIO = 3.0
# At most this part of a pool is ejected. If most of it looks unhealthy, the
# cause lies elsewhere (this entry VM, the network, a version), and ejecting
# the pool would turn that into an outage.
MAX_EJECTED_PART = 0.5
# A probe gives a caller a slow answer, so the first ejection is not short.
INITIAL_EJECTION_MS = 10_000.0
MAX_EJECTION_MS = 60_000.0
# After this many samples in good health, earlier ejections are forgotten.
RESET_SAMPLES = 100
EWMA_GAIN = 0.2
# One answer that took several times the mean moves the mean half way to it.
# MAX_EJECTED_PART, and a first ejection that is shorter than the later ones,
# keep a wrong ejection cheap.
SLOW_SAMPLE_GAIN = 0.5


class State(enum.Enum):
    """Whether an endpoint takes work."""

    ACTIVE = "in"
    EJECTED = "ejected"
    PROBING = "probing"


@attrs.define
class Health:
    """What one entry VM has observed of one endpoint."""

    state: State = State.ACTIVE
    failures: int = 0
    samples: int = 0
    success: float = 1.0
    unit_ms: float | None = None
    until_ms: float = 0.0
    ejections: int = 0
    probes: int = 0


def record_success(health: Health, unit_ms: float) -> bool:
    """Record an answer; return ``True`` if it ends the endpoint's ejection."""
    health.failures = 0
    health.samples += 1
    health.success += EWMA_GAIN * (1.0 - health.success)
    _update_unit_ms(health, unit_ms)
    if health.state is not State.PROBING:
        if health.samples > RESET_SAMPLES and health.success > 0.9:
            health.ejections = 0
        return False
    health.state = State.ACTIVE
    health.success = 1.0
    health.samples = 0
    health.unit_ms = unit_ms
    return True


def _update_unit_ms(health: Health, unit_ms: float) -> None:
    old = health.unit_ms
    if old is None:
        health.unit_ms = unit_ms
        return
    gain = SLOW_SAMPLE_GAIN if unit_ms > SLOW_RATIO * old else EWMA_GAIN
    health.unit_ms = old + gain * (unit_ms - old)


def record_failure(health: Health) -> None:
    """Record a failure caused by the endpoint."""
    health.failures += 1
    health.samples += 1
    health.success -= EWMA_GAIN * health.success


def is_outlier(health: Health, pool_unit_ms: float | None) -> bool:
    """Whether the endpoint is much worse than its pool."""
    if health.failures >= FAILURES_IN_A_ROW:
        return True
    if health.samples < MIN_SAMPLES:
        return False
    if health.success < MIN_SUCCESS:
        return True
    if health.unit_ms is None or pool_unit_ms is None:
        return False
    return health.unit_ms > SLOW_RATIO * pool_unit_ms


def compute_pool_unit_ms(pool: typing.Iterable[Health]) -> float | None:
    """The median time per unit of work over a pool's endpoints.

    Returns ``None`` if it is known of fewer than three endpoints.
    """
    known = [h.unit_ms for h in pool if h.unit_ms is not None]
    return statistics.median(known) if len(known) > 2 else None


def eject_if_outlier(
    health: Health, pool: typing.Sequence[Health], now_ms: float
) -> bool:
    """Eject an outlier unless too much of its pool would be ejected.

    Returns whether it was ejected. A failed probe ejects it again for twice as
    long, so an endpoint that keeps failing costs one request a minute.
    """
    if health.state is State.PROBING and health.failures:
        _eject(health, now_ms)
        return True
    if health.state is not State.ACTIVE:
        return False
    if not is_outlier(health, compute_pool_unit_ms(pool)):
        return False
    ejected = sum(h.state is not State.ACTIVE for h in pool)
    if ejected + 1 > MAX_EJECTED_PART * len(pool):
        return False
    _eject(health, now_ms)
    return True


def accepts_request(health: Health, now_ms: float, in_flight: int) -> bool:
    """Whether a request may be sent; probes are sent one at a time."""
    if health.state is State.ACTIVE:
        return True
    if health.state is State.EJECTED and now_ms < health.until_ms:
        return False
    return in_flight == 0


def begin_probe(health: Health) -> None:
    """Record that a request is sent to probe an ejected endpoint."""
    if health.state is State.EJECTED:
        health.state = State.PROBING
        health.failures = 0
        health.probes += 1


def _eject(health: Health, now_ms: float) -> None:
    health.state = State.EJECTED
    duration_ms = INITIAL_EJECTION_MS * 2**health.ejections
    health.until_ms = now_ms + min(duration_ms, MAX_EJECTION_MS)
    health.ejections = min(health.ejections + 1, 10)
    health.failures = 0
