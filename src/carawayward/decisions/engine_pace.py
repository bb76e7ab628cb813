"""How fast each engine is, relative to its service's latency model.

Under uneven hardware, part of the engines read prompts and write tokens at a
fraction of the others' speed. Placed by outstanding tokens alone, the slow
ones get as much work as the others, and their callers' answers come late.

A sample is the logarithm of the time to first token over the predicted one.
Samples of one engine that are close in time form a moment: a stall delays all
that is on the engine at once. The pace is the median over the last moments of
each moment's median, and with few moments the one closest to the usual. So
neither a wrong sample nor a stall changes it.
"""

import bisect
import collections
import math
import typing

import attrs

# Samples within this time of a moment's first belong to it. A shorter stall
# touches at most two moments.
MOMENT_MS = 1_000.0
MAX_MOMENTS = 7
STALL_MOMENTS = 2
MAX_SAMPLES = 15
MAX_LOG_RATIO = 2.5
# A smaller logarithm counts as none: engines of one speed differ by chance.
MIN_LOG_PACE = 0.18
# The age of the newest moment from which a pace fades; twice as old, it is
# gone. An engine that got no work may have recovered.
FADE_MS = 30_000.0
EXPIRY_CHECK_MS = 1_000.0
# Relative steps by which the usual ratio follows the samples, and how many
# samples it needs before others are compared with it.
FIRST_USUAL_STEP = 0.5
MIN_USUAL_STEP = 0.03
MIN_USUAL_SAMPLES = 3


@attrs.define
class Usual:
    """The median logarithm of one entry VM's samples at a service."""

    value: float = 0.0
    samples: int = 0


@attrs.define
class Moment:
    """An engine's samples of one short time, in ascending order."""

    began_ms: float
    samples: list[float]


@attrs.define
class Paces:
    """The last moments of each engine, and the paces other than 1."""

    moments: dict[str, collections.deque[Moment]] = attrs.field(factory=dict)
    known: dict[str, float] = attrs.field(factory=dict)
    usuals: dict[str, Usual] = attrs.field(factory=dict)
    checked_ms: float = float("-inf")


def compute_log_ratio(
    paces: Paces, service: str, took_ms: float, predicted_ms: float
) -> float | None:
    """Compare a time to first token with the prediction, as a logarithm.

    It is relative to the usual one of this entry VM at the service, so that
    samples of entry VMs with different latency models are comparable. None
    until the usual one is known.
    """
    ratio = max(1.0, took_ms) / max(1.0, predicted_ms)
    value = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, math.log(ratio)))
    usual = paces.usuals.setdefault(service, Usual())
    relative = value - usual.value
    usual.samples += 1
    step = max(MIN_USUAL_STEP, FIRST_USUAL_STEP / usual.samples)
    usual.value += max(-step, min(step, relative))
    return relative if usual.samples > MIN_USUAL_SAMPLES else None


def record_sample(
    paces: Paces, engine: str, log_ratio: float, now_ms: float
) -> None:
    """Add a sample and update the engine's pace."""
    value = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, log_ratio))
    moments = paces.moments.get(engine)
    if moments is None:
        moments = paces.moments[engine] = collections.deque(maxlen=MAX_MOMENTS)
    if not moments or now_ms - moments[-1].began_ms >= MOMENT_MS:
        moments.append(Moment(now_ms, [value]))
    elif len(moments[-1].samples) < MAX_SAMPLES:
        bisect.insort(moments[-1].samples, value)
    _update(paces, engine, now_ms)


def _find_median(values: typing.Sequence[float]) -> float:
    """The median of ascending values; of two, the one closer to 0."""
    low, high = values[(len(values) - 1) // 2], values[len(values) // 2]
    return low if abs(low) < abs(high) else high


def _estimate(values: list[float]) -> float:
    """The median, but one that ``STALL_MOMENTS`` values cannot determine."""
    if len(values) <= STALL_MOMENTS:
        return 0.0
    values = sorted(values)
    index = min((len(values) - 1) // 2, len(values) - 1 - STALL_MOMENTS)
    return max(0.0, values[index]) + min(0.0, values[-1 - index])


def _update(paces: Paces, engine: str, now_ms: float) -> None:
    moments = paces.moments[engine]
    log_pace = _estimate([_find_median(each.samples) for each in moments])
    age_ms = now_ms - moments[-1].began_ms
    log_pace *= max(0.0, min(1.0, 2.0 - age_ms / FADE_MS))
    if abs(log_pace) < MIN_LOG_PACE:
        paces.known.pop(engine, None)
    else:
        paces.known[engine] = math.exp(log_pace)


def expire(paces: Paces, now_ms: float) -> None:
    """Let paces without new samples fade."""
    if now_ms - paces.checked_ms < EXPIRY_CHECK_MS:
        return
    paces.checked_ms = now_ms
    for engine, moments in list(paces.moments.items()):
        if now_ms - moments[-1].began_ms >= 2.0 * FADE_MS:
            forget(paces, engine)
        elif engine in paces.known:
            _update(paces, engine, now_ms)


def forget(paces: Paces, engine: str) -> None:
    """Forget an engine, as when another process has taken its name."""
    paces.moments.pop(engine, None)
    paces.known.pop(engine, None)


def forget_engines(paces: Paces, known: typing.Container[str]) -> None:
    """Forget engines that no longer exist."""
    for engine in [each for each in paces.moments if each not in known]:
        forget(paces, engine)
