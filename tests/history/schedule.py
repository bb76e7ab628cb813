"""Deterministic fault schedules: a seed always gives the same schedule."""

import enum
import random

import attrs

# Callers send for WORKLOAD_MS. Faults start after a fault-free period, so
# that each run also has undisturbed requests, and end before the workload.
WORKLOAD_MS = 9_000
EARLIEST_START_MS = 1_000
LATEST_START_MS = 5_000
MAX_DURATION_MS = 3_500


class Fault(enum.Enum):
    """Kinds of faults; the schedule's ``target`` selects where."""

    KILL = "kill and restart an entry VM"
    SUSPEND = "suspend an entry VM and resume it"
    CUT = "partition a failure domain from everything"
    CUT_PLATFORM = "partition a failure domain from the platform"
    LOG_DOWN = "the log is down"
    LOG_SLOW = "the log is slow"
    LOSE_ANSWERS = "appends take effect and their answers are lost"
    RACE = "two operators publish a draining version on the same base"
    WITHDRAW = "an operator withdraws the cheap version in use"
    LEAVE = "an engine leaves"
    STOP = "an entry VM is stopped as planned and restarted"
    STALE = "an entry VM's connections stop carrying data for good"
    CRASH = "a marked request crashes an engine, and is retried"
    LATE = "an engine and a service answer late"


@attrs.frozen(kw_only=True)
class ScheduledFault:
    """A fault with its start time and duration."""

    at_ms: int
    duration_ms: int
    fault: Fault
    target: int


def draw_faults(seed: int) -> tuple[ScheduledFault, ...]:
    """Draw two to four faults; some schedules repeat one of them.

    In some schedules all faults start at the same time.
    """
    draw = random.Random(seed)
    kinds = draw.sample(list(Fault), draw.randint(2, 3))
    if draw.random() < 0.5:
        kinds.append(draw.choice(kinds))
    together = draw.random() < 0.3
    at_ms = draw.randint(EARLIEST_START_MS, LATEST_START_MS)
    faults = []
    for kind in kinds:
        if not together:
            at_ms = draw.randint(EARLIEST_START_MS, LATEST_START_MS)
        faults.append(
            ScheduledFault(
                at_ms=at_ms,
                duration_ms=draw.randint(500, MAX_DURATION_MS),
                fault=kind,
                target=draw.randrange(12),
            )
        )
    return tuple(sorted(faults, key=lambda scheduled: scheduled.at_ms))
