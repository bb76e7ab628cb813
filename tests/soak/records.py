"""What callers sent, what endpoints got, and what was disrupted when.

All times are in ms on the clock of the process that runs the soak, which is
both the callers and the endpoints.
"""

import math

import attrs


@attrs.frozen(kw_only=True)
class Bounds:
    """The figures of the rules; times in ms."""

    contact_ms: float = 3_000.0
    retry_ratio: float = 0.9
    retry_window_ms: float = 10_000.0
    retry_slack: float = 58.0
    apply_ms: float = 2_000.0
    back_ms: float = 250.0
    revoke_ms: float = 5_000.0
    grace_ms: float = 8_000.0
    loss_slack_ms: float = 200.0


@attrs.define(kw_only=True)
class Sent:
    """One request as a caller sent it, with an id of its own.

    Requests with the same ``content`` have the same path, caller and body.
    ``first_try`` is false if it repeats a request that was refused or failed.
    ``parts`` are those of its prompt that others may share, in order. A
    lower ``rank`` is more urgent. The tries of one ``call`` follow each other;
    its caller is in ``zone``. An ``unsafe`` one may run only once.
    """

    request_id: str
    vm: str
    service: str
    content: str
    at_ms: float
    deadline_ms: float
    max_attempts: int
    first_try: bool = True
    route: str = ""
    parts: tuple[str, ...] = ()
    customer: str = ""
    rank: int = 0
    target_ms: float = math.inf
    call: int = 0
    zone: str = ""
    unsafe: bool = False

    @property
    def ends_ms(self) -> float:
        """When the caller gives up."""
        return self.at_ms + self.deadline_ms


@attrs.define(kw_only=True)
class Try:
    """What a caller saw of one request on its connection.

    ``kept`` is whether the connection had carried a request before,
    ``sent_ms`` when the last byte was sent. The answer has ``begun`` and is
    ``complete``, or not. One that was ``unread`` got a reset or no connection.
    The connection ended, or the caller ``gave_up``, at ``ended_ms``.
    """

    kept: bool = True
    sent_ms: float = math.inf
    begun: bool = False
    complete: bool = False
    unread: bool = False
    gave_up: bool = False
    ended_ms: float = math.inf


@attrs.define(kw_only=True)
class VmProcess:
    """One process of an entry VM, and what its log has on requests.

    ``stop_ms`` is when it got SIGTERM. ``lines`` counts the final lines of
    each request that has any line. ``exit_code`` is None while it runs;
    ``peak_bytes`` is the most memory that it was seen to take.
    """

    vm: str
    start: int
    from_ms: float
    until_ms: float = math.inf
    stop_ms: float = math.inf
    exit_code: int | None = None
    peak_bytes: int = 0
    lines: dict[str, int] = attrs.field(factory=dict)


@attrs.define(kw_only=True, eq=False)
class Arrival:
    """A request at an endpoint.

    ``remaining_ms`` is the forwarded deadline, None without one. ``ran`` is
    set once the endpoint has begun to work on it, ``crashed`` if that ended
    the endpoint, at ``crashed_ms``. ``rest_ms`` is the Retry-After of a 503,
    sent at ``answered_ms``. It left the endpoint at ``ended_ms``.
    """

    request_id: str
    endpoint: str
    at_ms: float
    remaining_ms: float | None
    ran: bool = False
    crashed: bool = False
    crashed_ms: float = math.inf
    answered_ms: float | None = None
    rest_ms: float = 0.0
    ended_ms: float = math.inf


@attrs.define(kw_only=True, eq=False)
class Disruption:
    """A time in which an entry VM or an endpoint was disrupted.

    A stop and the start that follows it are ``planned``.
    """

    name: str
    kind: str
    from_ms: float
    until_ms: float = math.inf
    planned: bool = False

    def overlaps(self, from_ms: float, until_ms: float) -> bool:
        """Whether any of it lies in the given time."""
        return self.from_ms <= until_ms and self.until_ms >= from_ms


@attrs.define(kw_only=True, eq=False)
class Partition:
    """A time in which entry VMs were cut off from all endpoints."""

    vms: frozenset[str]
    kind: str
    from_ms: float
    until_ms: float = math.inf


@attrs.define(kw_only=True, eq=False)
class Skew:
    """A time in which most first tries were new connections to few VMs.

    ``zone`` is that of the callers concerned, empty for all; ``vms`` are the
    entry VMs that got them, one after the other or together.
    """

    zone: str
    vms: list[str]
    from_ms: float
    until_ms: float = math.inf


@attrs.define(kw_only=True, eq=False)
class CrashingPart:
    """A prompt part that crashes endpoints, and what is sent beside it.

    ``first_part`` is that of the requests with the part; ``companions`` are
    the other parts of these requests, in order.
    """

    part: str
    route: str
    first_part: str
    companions: tuple[str, ...]
    from_ms: float
    until_ms: float = math.inf


@attrs.frozen(kw_only=True)
class Version:
    """A version of the configuration: the paths and keys that it allows."""

    paths: frozenset[str]
    keys: frozenset[str]
    acked_ms: float


@attrs.define(kw_only=True)
class Probe:
    """A request whose answer shows which versions its entry VM may have.

    ``start`` counts the starts of its process.
    """

    vm: str
    start: int
    path: str
    key: str
    at_ms: float
    status: int = 0
    ended_ms: float = math.inf

    def describe(self) -> str:
        """Say what was answered."""
        return (
            f"{self.vm}: {self.status} on {self.path} with {self.key}, sent "
            f"at {self.at_ms:.0f}, answered at {self.ended_ms:.0f}"
        )


@attrs.define(eq=False)
class History:
    """The records of one run, in the order of their times.

    ``begun`` are the requests of which the caller got a first event.
    ``answered_ms`` is when the callers had their statuses, ``ended_tries_ms``
    when they had these or gave up. ``shortages`` are
    the times in which room may be short, ``places`` the slots of each endpoint
    by service. The connections of ``unread`` requests were refused, or closed
    before an entry VM had read them. ``versions`` are those of the
    configuration, the first one first. ``reloads_ms`` are the times of the
    SIGHUPs of each entry VM, ``stalls`` those in which callers and endpoints
    ran late.
    """

    sent: dict[str, Sent] = attrs.field(factory=dict)
    arrivals: list[Arrival] = attrs.field(factory=list)
    vm_disruptions: list[Disruption] = attrs.field(factory=list)
    endpoint_disruptions: list[Disruption] = attrs.field(factory=list)
    partitions: list[Partition] = attrs.field(factory=list)
    statuses: dict[str, int] = attrs.field(factory=dict)
    crashing_parts: list[CrashingPart] = attrs.field(factory=list)
    begun: set[str] = attrs.field(factory=set)
    answered_ms: dict[str, float] = attrs.field(factory=dict)
    shortages: list[Disruption] = attrs.field(factory=list)
    places: dict[str, list[int]] = attrs.field(factory=dict)
    ended_tries_ms: dict[str, float] = attrs.field(factory=dict)
    skews: list[Skew] = attrs.field(factory=list)
    unread: set[str] = attrs.field(factory=set)
    versions: list[Version] = attrs.field(factory=list)
    invalid_paths: list[str] = attrs.field(factory=list)
    probes: list[Probe] = attrs.field(factory=list)
    ended_ms: float = math.inf
    tries: dict[str, Try] = attrs.field(factory=dict)
    processes: list[VmProcess] = attrs.field(factory=list)
    reloads_ms: dict[str, list[float]] = attrs.field(factory=dict)
    stalls: list[Disruption] = attrs.field(factory=list)

    def find_vm(self, arrival: Arrival) -> str:
        """The entry VM that a request came from."""
        return self.sent[arrival.request_id].vm

    def is_vm_disrupted(
        self, vm: str, from_ms: float, until_ms: float
    ) -> bool:
        """Whether an entry VM was disrupted in the given time."""
        return any(
            each.name == vm and each.overlaps(from_ms, until_ms)
            for each in self.vm_disruptions
        )

    def is_vm_partitioned(self, vm: str, at_ms: float) -> bool:
        """Whether an entry VM was cut off from all endpoints at a time."""
        return any(
            vm in each.vms and each.from_ms <= at_ms <= each.until_ms
            for each in self.partitions
        )

    def is_calm(self, from_ms: float, until_ms: float) -> bool:
        """Whether nothing at all was disrupted in the given time."""
        return not any(
            each.overlaps(from_ms, until_ms)
            for each in (*self.vm_disruptions, *self.endpoint_disruptions)
        )

    def is_endpoint_disrupted(
        self, endpoint: str, from_ms: float, until_ms: float
    ) -> bool:
        """Whether an endpoint was disrupted in the given time."""
        return any(
            each.name == endpoint and each.overlaps(from_ms, until_ms)
            for each in self.endpoint_disruptions
        )
