"""The events of a history; all times are monotonic milliseconds."""

import enum
import typing

import attrs


class Kind(enum.Enum):
    """How a call ended, from its caller's point of view."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    INTERRUPTED = "interrupted"
    NO_ANSWER = "no-answer"
    NO_CONNECTION = "no-connection"


@attrs.frozen(kw_only=True)
class Call:
    """One attempt of a request and its result.

    ``key`` is the caller's request key; ``ticket`` is the id of its ticket,
    if any, and ``issuer`` the entry VM that issued it. ``once`` marks
    requests that must not be repeated. ``expected`` maps each version to
    the text that it answers to this request; ``complete`` says that the
    end marker matches the text.
    """

    key: str
    customer: str
    vm: str
    began_ms: float
    ended_ms: float
    kind: Kind
    target: str = "quick"
    once: bool = False
    ticket: str = ""
    issuer: str = ""
    session: str = ""
    pins: dict[str, str] = attrs.field(factory=dict)
    text: str = ""
    expected: dict[str, str] = attrs.field(factory=dict)
    version: str = ""
    complete: bool = True
    cost: float | None = None
    reason: str = ""


@attrs.frozen(kw_only=True)
class Run:
    """One run at an endpoint; ``version`` is empty at a plain service."""

    key: str
    endpoint: str
    at_ms: float
    version: str = ""


@attrs.frozen(kw_only=True)
class Record:
    """One record of the log."""

    stream: str
    offset: int
    at_ms: float
    data: dict


@attrs.frozen(kw_only=True)
class PublishOutcome:
    """The result of a publish that was reported to its operator."""

    base: int
    accepted: bool
    revision: int
    ended_ms: float


@attrs.frozen(kw_only=True)
class ObservedRevision:
    """The revision that an entry VM served at a time.

    ``process`` is the process id, which differs between incarnations.
    """

    vm: str
    process: int
    revision: int
    at_ms: float


@attrs.frozen(kw_only=True)
class EndpointLeaving:
    """An endpoint was marked as leaving."""

    endpoint: str
    at_ms: float


@attrs.frozen(kw_only=True)
class EntryVmStop:
    """A planned stop of an entry VM."""

    vm: str
    asked_ms: float
    ended_ms: float
    exit_code: int


@attrs.frozen(kw_only=True)
class Outage:
    """A period in which entry VMs could reach neither the log nor a peer.

    Suspended entry VMs count too. Outages extend the time within which a
    change of the configuration must be in force, and excuse the calls that
    they overlap from the check of planned stops. The checks of answers,
    bills, sessions, refusals and "at most once" ignore them.
    """

    vms: tuple[str, ...]
    from_ms: float
    to_ms: float


@attrs.frozen(kw_only=True)
class Crash:
    """An entry VM or endpoint was killed or crashed during its work."""

    name: str
    at_ms: float


@attrs.define
class History:
    """All events of one run."""

    calls: list[Call] = attrs.field(factory=list)
    runs: list[Run] = attrs.field(factory=list)
    records: list[Record] = attrs.field(factory=list)
    publishes: list[PublishOutcome] = attrs.field(factory=list)
    observed_revisions: list[ObservedRevision] = attrs.field(factory=list)
    left: list[EndpointLeaving] = attrs.field(factory=list)
    stops: list[EntryVmStop] = attrs.field(factory=list)
    outages: list[Outage] = attrs.field(factory=list)
    crashes: list[Crash] = attrs.field(factory=list)

    def stream(self, name: str) -> typing.Iterator[Record]:
        """The records of one stream of the log, in order."""
        return (record for record in self.records if record.stream == name)
