"""Which endpoints to leave out for a while: outlier ejection with a floor.

Load: one endpoint of a pool that fails fast, hangs or runs slowly while the
others are well. Harm prevented: one that fails fast is always idle, so that
every policy that looks for the least load sends it everything.
"""

import enum
import statistics
import typing

import attrs

# Three failures in a row are rare by chance and quickly reached by an
# endpoint that fails everything.
FAILURES_IN_A_ROW = 3
# Below this share of answers, given enough of them, an endpoint that fails
# now and then is left out too.
MIN_SUCCESS = 0.5
MIN_SAMPLES = 10
# Three times the pool's median per unit of work, averaged over several
# answers, is more than batching or a cold cache explains.
SLOW_RATIO = 3.0
# At most this share of a pool is left out: if most of it looks ill, the
# cause lies elsewhere (this entry VM, the network, a version) and taking
# the pool away would make an outage out of it.
MAX_EJECTED_PART = 0.5
# A probe costs a caller a slow answer, so the first pause is not short.
INITIAL_EJECTION_MS = 10_000.0
MAX_EJECTION_MS = 60_000.0
# After so many answers in good health earlier ejections are forgotten.
RESET_SAMPLES = 100
EWMA_GAIN = 0.2
# One answer that took several times the usual moves the mean half way: the
# floor and the short first pause keep a wrong ejection cheap.
SLOW_SAMPLE_GAIN = 0.5


class State(enum.Enum):
    """Whether an endpoint takes work."""

    ACTIVE = "in"
    EJECTED = "ejected"
    PROBING = "probing"


@attrs.define
class Health:
    """What one entry VM has seen of one endpoint."""

    state: State = State.ACTIVE
    failures: int = 0
    samples: int = 0
    success: float = 1.0
    unit_ms: float | None = None
    until_ms: float = 0.0
    ejections: int = 0
    probes: int = 0


def record_success(health: Health, unit_ms: float) -> bool:
    """Learn from an answer; return True if it brings the endpoint back."""
    health.failures = 0
    health.samples += 1
    health.success += EWMA_GAIN * (1.0 - health.success)
    _learn_unit(health, unit_ms)
    if health.state is not State.PROBING:
        if health.samples > RESET_SAMPLES and health.success > 0.9:
            health.ejections = 0
        return False
    health.state = State.ACTIVE
    health.success = 1.0
    health.samples = 0
    health.unit_ms = unit_ms
    return True


def _learn_unit(health: Health, unit_ms: float) -> None:
    old = health.unit_ms
    if old is None:
        health.unit_ms = unit_ms
        return
    gain = SLOW_SAMPLE_GAIN if unit_ms > SLOW_RATIO * old else EWMA_GAIN
    health.unit_ms = old + gain * (unit_ms - old)


def record_failure(health: Health) -> None:
    """Learn from a failure that the endpoint is to blame for."""
    health.failures += 1
    health.samples += 1
    health.success -= EWMA_GAIN * health.success


def is_outlier(health: Health, pool_unit_ms: float | None) -> bool:
    """Whether the endpoint stands out badly from its pool."""
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
    """The median time per unit of work of a pool's endpoints."""
    known = [h.unit_ms for h in pool if h.unit_ms is not None]
    return statistics.median(known) if len(known) > 2 else None


def eject_if_outlier(
    health: Health, pool: typing.Sequence[Health], now_ms: float
) -> bool:
    """Eject the endpoint if it is an outlier and the floor allows it.

    A probe that failed ejects again, for twice as long; an endpoint that
    keeps failing so costs one request a minute.
    """
    if health.state is State.PROBING and health.failures:
        _eject(health, now_ms)
        return True
    if health.state is not State.ACTIVE:
        return False
    if not is_outlier(health, compute_pool_unit_ms(pool)):
        return False
    out = sum(h.state is not State.ACTIVE for h in pool)
    if out + 1 > MAX_EJECTED_PART * len(pool):
        return False
    _eject(health, now_ms)
    return True


def accepts_request(health: Health, now_ms: float, in_flight: int) -> bool:
    """Whether work may be sent; a probe is one request at a time."""
    if health.state is State.ACTIVE:
        return True
    if health.state is State.EJECTED and now_ms < health.until_ms:
        return False
    return in_flight == 0


def begin_probe(health: Health) -> None:
    """Note that a request is sent to see if the endpoint is well again."""
    if health.state is State.EJECTED:
        health.state = State.PROBING
        health.failures = 0
        health.probes += 1


def _eject(health: Health, now_ms: float) -> None:
    health.state = State.EJECTED
    pause = INITIAL_EJECTION_MS * 2**health.ejections
    health.until_ms = now_ms + min(pause, MAX_EJECTION_MS)
    health.ejections = min(health.ejections + 1, 10)
    health.failures = 0
