"""Draws the faults of a seed: series of them, which overlap."""

import enum
import random

import attrs

SERIES_EVERY_MS = 3_000.0
MAX_REPETITIONS = 4
GAP_MS = (200.0, 3_000.0)
LENGTH_MS = (500.0, 5_000.0)


class Fault(enum.Enum):
    """A kind of fault, by what it hits."""

    VM_KILLED = "vm killed"
    ALL_VMS_KILLED = "all vms killed"
    VM_PAUSED = "vm paused"
    ALL_VMS_PAUSED = "all vms paused"
    CALLERS_CUT = "callers cut off from a vm"
    CALLERS_RESET = "connections of callers reset"
    STORE_CUT = "vm cut off from the store"
    STORE_RESET = "connections to the store reset"
    STORE_DOWN = "store down"
    STORE_SILENT = "store silent"
    STORE_LOSES_ANSWERS = "store does not answer writes"
    ENDPOINT_CRASHED = "endpoint crashed"
    ENDPOINT_CUT = "endpoint cut off"
    ENDPOINT_RESET = "connections to an endpoint reset"
    ENDPOINT_FAILS = "endpoint fails requests"
    ENDPOINT_DECLINES = "endpoint declines requests"
    SERVICE_DECLINES = "all endpoints of a service decline requests"
    SERVICE_FAILS = "all endpoints of a service fail requests"
    ENDPOINT_RESTS = "endpoint asks for rest"
    SERVICE_RESTS = "most endpoints of a service ask for rest"
    ENDPOINT_MUTE = "endpoint does not answer"
    ENDPOINT_SLOW = "endpoint slow"
    BURST = "more requests"
    ABUSE = "callers repeat at once"
    CRASHING_REQUEST = "request that crashes endpoints"
    PARTITION = "vms cut off from all endpoints"
    CRASHING_PART = "prompt part that crashes endpoints"
    CUSTOMER_FLOOD = "one customer sends many times its usual"
    RANK_BURST = "more of the less urgent requests"
    UNEVEN_ENGINES = "some engines slow, and stalled at times"
    HOT_PART = "many prompts share a part"
    IMPATIENT_CALLERS = "callers come back before they are told to"
    SKEWED_CONNECTIONS = "most new connections go to few vms"
    CONFIG_CHANGED = "configuration changed"
    CONFIG_STORM = "configurations in quick succession"
    CONFIG_GROWN = "configuration with many more routes"
    CONFIG_INVALID = "configuration that is not valid"
    STORE_SLOW = "store slow"
    CONFIG_IDLE_LIMIT = "configuration with another idle limit"
    VM_STOPPED = "vm stopped"
    ROLLING_STOP = "all vms stopped in turn"
    VM_RELOADED = "settings of a vm reloaded"
    ENGINES_QUEUE = "requests wait in the queues of engines"
    CROWD = "crowd of clients that misbehave"


# Faults that take room; callers then have ranks and several customers.
HARD_LOAD_FAULTS = (
    Fault.CUSTOMER_FLOOD,
    Fault.RANK_BURST,
    Fault.UNEVEN_ENGINES,
    Fault.HOT_PART,
    Fault.IMPATIENT_CALLERS,
)


# Changes by operators, which entry VMs are then probed for.
CONFIG_FAULTS = (
    Fault.CONFIG_CHANGED,
    Fault.CONFIG_STORM,
    Fault.CONFIG_GROWN,
    Fault.CONFIG_INVALID,
)

# All changes by operators; the seeds in use rest on those above.
OPERATOR_FAULTS = (*CONFIG_FAULTS, Fault.CONFIG_IDLE_LIMIT)


# Planned work, during which no request may be lost.
PLANNED_FAULTS = (
    Fault.CONFIG_IDLE_LIMIT,
    Fault.VM_STOPPED,
    Fault.ROLLING_STOP,
    Fault.VM_RELOADED,
)


# Drawn unless others are named; the seeds in use rest on this choice.
USUAL_FAULTS = tuple(
    each
    for each in Fault
    if each
    not in (
        Fault.PARTITION,
        Fault.CRASHING_PART,
        Fault.SKEWED_CONNECTIONS,
        Fault.STORE_SLOW,
        Fault.ENGINES_QUEUE,
        Fault.CROWD,
        *CONFIG_FAULTS,
        *HARD_LOAD_FAULTS,
        *PLANNED_FAULTS,
    )
)


class PartitionKind(enum.Enum):
    """What becomes of new connections to endpoints, and of open ones."""

    REFUSED_AND_RESET = "refused, reset"
    REFUSED_AND_OPEN = "refused, open"
    REFUSED_AND_HELD = "refused, held"
    HANGING_AND_RESET = "hanging, reset"
    HANGING_AND_OPEN = "hanging, open"
    HANGING_AND_HELD = "hanging, held"

    @property
    def new(self) -> str:
        """What becomes of new connections."""
        return self.value.partition(", ")[0]

    @property
    def open(self) -> str:
        """What becomes of open connections."""
        return self.value.partition(", ")[2]


@attrs.frozen(kw_only=True)
class ScheduledFault:
    """A fault; ``at_ms`` is from the start of traffic.

    ``target`` selects what it hits, ``strength`` is between 0 and 1.
    """

    at_ms: float
    fault: Fault
    for_ms: float
    target: int
    strength: float


def draw_faults(
    seed: int, duration_ms: float, kinds: tuple[Fault, ...] = USUAL_FAULTS
) -> list[ScheduledFault]:
    """Draw the faults of a seed in the order of their times."""
    draw = random.Random(seed)
    faults = []
    for _ in range(max(1, round(duration_ms / SERIES_EVERY_MS))):
        fault = draw.choice(kinds)
        at_ms = draw.uniform(0.0, duration_ms)
        target = draw.randrange(1_000)
        for _ in range(draw.randint(1, MAX_REPETITIONS)):
            faults.append(
                ScheduledFault(
                    at_ms=at_ms,
                    fault=fault,
                    for_ms=draw.uniform(*LENGTH_MS),
                    target=target,
                    strength=draw.random(),
                )
            )
            at_ms += draw.uniform(*GAP_MS)
            if draw.random() < 0.5:
                target = draw.randrange(1_000)
    return sorted(faults, key=lambda each: each.at_ms)
