"""What headers say, in the product's own terms, and the port to read them.

Deployments name the same facts by different headers. A ``Dialect`` reads and
writes them; nothing else in the product knows a header's name, but for the
standard ones of HTTP.
"""

import enum
import typing

import attrs

Headers = list[tuple[bytes, bytes]]


@attrs.frozen
class PromptPart:
    """A part of a prompt that requests may share, with its tokens."""

    name: str
    tokens: int


@attrs.frozen(kw_only=True)
class RequestMetadata:
    """What a caller's headers say.

    ``deadline_ms`` is how long the caller waits from now on. ``model`` is
    empty if none is named, ``ANY_MODEL`` if the system is to choose.
    Requests of one ``session`` stay on one version. A resumed stream goes on
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
    """What the system adds to a request that goes to an endpoint.

    ``remaining_ms`` is how long the endpoint may take; ``instance`` is the
    endpoint's incarnation, so that another process at a reused address
    turns the request away.
    """

    instance: str
    remaining_ms: float
    customer: str = ""
    model: str = ""
    last_event: int | None = None
    urgency: int | None = None


@attrs.frozen(kw_only=True)
class ResponseMetadata:
    """What an endpoint's headers say.

    ``declined`` is the endpoint's word that it did not and will not run the
    request. ``confidence`` is the model's own opinion of its answer, 0 to
    100. Without ``signed`` a success is not the endpoint's own.
    """

    request_id: str = ""
    declined: bool = False
    signed: bool = False
    confidence: float | None = None


@attrs.frozen(kw_only=True)
class Dialect:
    """How a deployment's headers are read and written.

    ``read_request`` raises BadRequest for headers that cannot be read;
    ``find_id`` gives the request's id for log lines, empty if it has none.
    """

    find_id: typing.Callable[[Headers], str]

    read_request: typing.Callable[[Headers], RequestMetadata]
    write_request: typing.Callable[[Headers, DispatchMetadata], Headers]
    read_response: typing.Callable[[int, Headers], ResponseMetadata]


@attrs.frozen(kw_only=True)
class EndpointEntry:
    """What the registry says of one endpoint.

    ``born`` tells one start of an endpoint from the next under the same
    name; None where the registry does not say. ``cold_ms`` is how much
    longer it was to be cold when it wrote this, None if it does not say.
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


@attrs.frozen
class Evacuation:
    """An operator's wish about a failure domain's endpoints.

    They get no new requests until it is ``lifted``.
    """

    failure_domain: str
    lifted: bool = False


@attrs.frozen(kw_only=True)
class RolloutOrder:
    """An operator's wish to move a service to another version.

    ``duration_ms`` counts from when the order was written.
    """

    service: str
    version: str
    duration_ms: float


class RolloutState(enum.Enum):
    """How far a roll-out is; the last two are final."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled back"


@attrs.frozen
class RolloutStatus:
    """What operators are told of a roll-out."""

    service: str
    version: str
    state: RolloutState
