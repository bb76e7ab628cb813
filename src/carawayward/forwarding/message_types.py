"""Contents of headers and store records, independent of their encoding.

Deployments use different header names for the same values. A ``Dialect`` reads
and writes them; only standard HTTP headers are named anywhere else.
"""

import enum
import typing

import attrs

from carawayward.decisions import version_history

Headers = list[tuple[bytes, bytes]]


@attrs.frozen
class PromptPart:
    """A part of a prompt that requests may share, and its token count."""

    name: str
    tokens: int


@attrs.frozen(kw_only=True)
class RequestMetadata:
    """The values of a caller's headers.

    ``deadline_ms`` is relative to the arrival of the request. ``model`` is
    empty if none is named, ``ANY_MODEL`` if the router is to choose one.
    Requests of one ``session`` stay on one version. A resumed stream starts
    after ``last_event``.
    """

    request_id: str
    deadline_ms: float | None = None
    key: str = ""
    session: str = ""
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    prompt: tuple[PromptPart, ...] = ()
    last_event: int | None = None


ANY_MODEL = "*"


@attrs.frozen(kw_only=True)
class DispatchMetadata:
    """The values that the router adds to a request to an endpoint.

    ``remaining_ms`` is the endpoint's deadline, relative to the sending.
    ``instance`` names the endpoint's process, so that another process at a
    reused address declines the request.
    """

    instance: str
    remaining_ms: float
    customer: str = ""
    model: str = ""
    last_event: int | None = None
    urgency: int | None = None


@attrs.frozen(kw_only=True)
class ResponseMetadata:
    """The values of an endpoint's response headers.

    ``declined`` says that the endpoint did not and will not run the request.
    ``confidence`` is the model's own rating of its answer, 0 to 100. A success
    that is not ``signed`` does not come from the endpoint. ``request_limit``
    is how many requests a second the endpoint accepts from all entry VMs
    together, None if it names no limit. ``limit_malformed`` says that the
    response names one that cannot be read. ``leaving`` says that the endpoint
    is about to stop, ``rest_ms`` for how long it wants no further request from
    this entry VM. ``instance`` is the endpoint that has declined a misdirected
    request, empty if the response does not name it.
    """

    request_id: str = ""
    declined: bool = False
    signed: bool = False
    confidence: float | None = None
    request_limit: float | None = None
    limit_malformed: bool = False
    leaving: bool = False
    rest_ms: float = 0.0
    instance: str = ""


@attrs.frozen(kw_only=True)
class Dialect:
    """Reads and writes the headers of one deployment.

    ``read_request`` raises BadRequest for invalid headers. ``find_id`` returns
    the request's id for log lines, empty if it has none. Callers do not get
    the ``internal_headers`` of a response, which are addressed to the router.
    Endpoints need the ``end_to_end_headers`` of a request as the caller sent
    them.
    """

    find_id: typing.Callable[[Headers], str]

    read_request: typing.Callable[[Headers], RequestMetadata]
    write_request: typing.Callable[[Headers, DispatchMetadata], Headers]
    read_response: typing.Callable[[int, Headers], ResponseMetadata]
    internal_headers: frozenset[bytes] = frozenset()
    end_to_end_headers: frozenset[bytes] = frozenset()


# An endpoint's name, address and ``born``.
Process = tuple[str, str, int | None]


@attrs.frozen(kw_only=True)
class EndpointEntry:
    """An endpoint's entry in the registry.

    ``born`` distinguishes the starts of an endpoint under the same name; None
    if the registry does not give it. ``cold_ms`` is the remaining cold-start
    time when the endpoint wrote its entry, None if it does not give one.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    version: str = ""
    slots: int = 1
    leaving: bool = False
    born: int | None = None
    cold_ms: float | None = attrs.field(default=None, eq=False)

    @property
    def process(self) -> "Process":
        """What tells its process from others under the same name."""
        return self.name, self.address, self.born


@attrs.frozen
class Evacuation:
    """An operator's order to evacuate a failure domain.

    Its endpoints get no new requests until the order is ``lifted``.
    """

    failure_domain: str
    lifted: bool = False


@attrs.frozen(kw_only=True)
class RolloutOrder:
    """An operator's order to move a service to another version.

    ``duration_ms`` counts from when the order was written.
    """

    service: str
    version: str
    duration_ms: float


class RolloutState(enum.Enum):
    """The state of a roll-out; the last two are final."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled back"


@attrs.frozen
class RolloutStatus:
    """The status of a roll-out as published for operators."""

    service: str
    version: str
    state: RolloutState


@attrs.frozen
class ServiceHistory:
    """A service's history before the order of ``version``."""

    service: str
    version: str
    history: version_history.History

    def says_anything(self) -> bool:
        """Whether any version is known."""
        return self.history != version_history.History()
