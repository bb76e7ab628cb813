"""The state of one forwarded request, and the outcomes of its attempts."""

import dataclasses
import itertools
import typing

import attrs

from carawayward.decisions import engine_load
from carawayward.decisions import engine_order
from carawayward.decisions import prompt_crashes
from carawayward.decisions import suspicion
from carawayward.forwarding import attempt as attempt_module
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import load_reports
from carawayward.forwarding import message_types
from carawayward.forwarding import replies
from carawayward.forwarding import table as table_module
from carawayward import http_client as http

MAX_SHARED_PARTS = 64
MAX_ANSWER_PAUSE_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The whole response has been read; the caller has none of it yet."""

    status: int
    headers: message_types.Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """The caller has been sent the whole response."""

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unreached:
    """No byte of the request has been sent.

    ``no_peer`` is set if no peer was found to send it either, which says
    nothing of the endpoint.
    """

    cause: str
    no_peer: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Withheld:
    """The endpoint was reached, but the request may no longer be sent."""

    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class Diverted:
    """The endpoint wants no request any more; another one may get it."""

    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class Declined:
    """The endpoint reported that it did not and will not run the request."""

    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unsure:
    """The model's confidence is low.

    ``model`` is the index of the one to ask next in the route's ``models``.
    """

    cause: str
    model: int


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The request may have run; ``head`` and ``body`` are its response.

    ``head`` is None if there was no response that may be relayed.
    ``broke_off`` is set if the connection ended before the response,
    ``timed_out`` if it was given up.
    """

    cause: str
    head: attempt_module.ResponseHead | None = None
    body: bytes = b""
    broke_off: bool = False
    timed_out: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Dropped:
    """The response was dropped to make room, which says nothing of it."""

    cause: str


Undelivered = (
    Unreached | Withheld | Diverted | Declined | Unsure | Failed | Dropped
)
Outcome = Answered | Delivered | Undelivered
# Outcomes after which the request is certain not to have run; after any other
# it may have.
NOT_RUN_OUTCOMES = (Unreached, Withheld, Diverted, Declined)


@attrs.define(eq=False)
class Reading:
    """A prompt at an engine, outstanding until its first token.

    ``weight`` is what remains to be read, in weighted tokens. ``model`` learns
    for how long the request holds its place: from when the engine began to
    read it, by the prediction of ``read_ms``, to its end. ``on_first_token``
    is called with the weight before it is removed.
    """

    reporter: load_reports.LoadReporter
    engine: str
    weight: float
    urgency_class: int | None = None
    model: engine_load.LatencyModel | None = None
    pace: float = 1.0
    read_ms: float = 0.0
    ttft_at_ms: float | None = None
    on_first_token: typing.Callable[[float], None] | None = None

    def begin(self) -> None:
        """Add the prompt to the engine's outstanding load."""
        load = engine_load.Load.of_class(self.weight, 1, self.urgency_class)
        self.reporter.record_load(self.engine, load)

    def observe_ttft(self) -> None:
        """Remove the prompt's tokens: the engine has read them."""
        self.ttft_at_ms = self.reporter.clock.now_ms()
        if self.on_first_token is not None:
            self.on_first_token(self.weight)
            self.on_first_token = None
        if self.weight:
            load = engine_load.Load.of_class(
                -self.weight, 0, self.urgency_class
            )
            self.reporter.record_load(self.engine, load)
            self.weight = 0.0

    def end(self) -> None:
        """Remove the stream, and the prompt's tokens if still outstanding."""
        if self.model is not None and self.ttft_at_ms is not None:
            wrote_ms = self.reporter.clock.now_ms() - self.ttft_at_ms
            held_ms = wrote_ms / self.pace + self.read_ms
            engine_load.observe_held(self.model, held_ms)
        load = engine_load.Load.of_class(-self.weight, -1, self.urgency_class)
        self.reporter.record_load(self.engine, load)
        self.weight = 0.0
        self.on_first_token = None


@attrs.define(eq=False)
class AnswerProgress:
    """How long a response has gone on; times in ms.

    After a long pause it counts as if it had begun anew: a suspended entry VM
    may read what an endpoint sent before it crashed. ``recorded`` is set once
    the response is known to be sound.
    """

    began_ms: float
    last_ms: float
    recorded: bool = False

    @property
    def duration_ms(self) -> float:
        """How long it has gone on without such a pause."""
        return self.last_ms - self.began_ms

    def record_event(self, now_ms: float) -> None:
        """Record that a part of it has arrived."""
        if now_ms - self.last_ms >= MAX_ANSWER_PAUSE_MS:
            self.began_ms = now_ms
        self.last_ms = now_ms


@attrs.define(eq=False)
class Progress:
    """The progress of one attempt; times in ms.

    ``ttft_ms`` is the time to the first token of a stream, ``predicted_ms``
    the prediction of it from the engine's backlog. ``status`` is set once the
    endpoint's response can be judged, which may be before the caller has it.
    ``version`` is that of the endpoint, ``relayed`` says whether a peer sends
    the request. ``answer`` is set once the endpoint has begun a response.
    """

    began_ms: float
    ttft_ms: float | None = None
    predicted_ms: float | None = None
    status: int | None = None
    version: str = ""
    relayed: bool = False
    answer: AnswerProgress | None = None


@attrs.define(eq=False, kw_only=True)
class Work:
    """The state of one request while it is served; times in ms.

    ``model`` is an index into the route's ``models``, None if the router does
    not choose. ``mark`` is that of the current attempt, None if that is
    certain not to have run; ``withheld`` says why it was not sent. ``rank`` is
    that of the customer or the route, 0 the most urgent.
    ``earlier_may_have_run`` says whether an earlier attempt may have run.
    Endpoints in ``failed_endpoints`` are tried again only if there is no
    other, those in ``unusable`` never; those that this entry VM could not
    connect to are also in ``unconnected``. ``no_peer`` is set once no peer was
    found to send the request.
    ``backlog`` is what the chosen engine reads until the first token, in
    weighted tokens, and ``is_queued`` whether that includes other prompts;
    ``pace`` is that of the engine, ``is_engine_full`` whether its places are
    taken. ``urgency_class`` is None where the service has only one rank.
    ``backlog_ms`` is the mean backlog of the engines, for the log.
    ``waited_ms`` is how long the request waited to be read. ``is_logged`` is
    set once its end is logged, ``is_partly_sent`` once its caller has the
    beginning of a plain response that is not kept. ``is_retry_claimed`` is set
    once the current run is given up for another one. ``version_reason`` is why
    its version was chosen, for the log; empty without a roll-out.
    """

    request: replies.CallerRequest
    metadata: message_types.RequestMetadata
    route: table_module.Route
    service: str
    table: table_module.RoutingTable
    customer: str
    began_ms: float
    deadline_ms: float
    rank: int = table_module.DEFAULT_RANK
    model: int | None = None
    confidence: float | None = None
    runs: int = 0
    progress: Progress = attrs.field(factory=lambda: Progress(0.0))
    unreached_ms: float = 0.0
    earlier_may_have_run: bool = False
    mark: http.SentMark | None = None
    withheld: Withheld | Diverted | None = None
    failed_endpoints: frozenset[str] = frozenset()
    unusable: frozenset[str] = frozenset()
    unconnected: frozenset[str] = frozenset()
    no_peer: bool = False
    last_event: int | None = None
    failure: Failed | None = None
    endpoint: str = ""
    reading: "Reading | None" = None
    backlog: float = 0.0
    is_queued: bool = False
    pace: float = 1.0
    is_engine_full: bool = False
    urgency_class: int | None = None
    backlog_ms: float = 0.0
    waited_ms: float = 0.0
    is_logged: bool = False
    is_partly_sent: bool = False
    is_retry_claimed: bool = False
    version_reason: str = ""
    _fingerprint: str = attrs.field(default="", init=False)
    _shared_parts: tuple[str, ...] | None = attrs.field(
        default=None, init=False
    )

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run or may still run."""
        return self.earlier_may_have_run or (
            self.mark is not None and self.mark.sent
        )

    def count_kept_bytes(self) -> int:
        """How long the kept response of a failed attempt is."""
        return len(self.failure.body) if self.failure else 0

    @property
    def fingerprint(self) -> str:
        """Identifies the request's customer, method, target and body."""
        if not self._fingerprint:
            self._fingerprint = suspicion.digest_content(
                self.customer.encode(),
                self.request.method,
                self.request.target,
                self.request.body,
            )
        return self._fingerprint

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Digests of the parts of its prompt that others may share.

        All but the last, which is the request's own, up to a limit. The same
        part has another digest at another service; all of one service begin
        with the same digits.
        """
        if self._shared_parts is None:
            names = {part.name: None for part in self.metadata.prompt[:-1]}
            service = self.service.encode()
            digits = prompt_crashes.SERVICE_DIGITS
            prefix = suspicion.digest_content(service)[:digits]
            self._shared_parts = tuple(
                prefix
                + suspicion.digest_content(service, name.encode())[digits:]
                for name in itertools.islice(names, MAX_SHARED_PARTS)
            )
        return self._shared_parts

    @property
    def session_digest(self) -> str:
        """Identifies the session in logs; empty if there is none."""
        session = self.metadata.session.encode()
        return suspicion.digest_content(session)[:8] if session else ""

    @property
    def model_name(self) -> str:
        """The model that the router chose; empty if it was not to choose."""
        return "" if self.model is None else self.route.models[self.model]


def make_prompt(work: Work, model: str = "") -> engine_load.Prompt | None:
    """Make the prompt to place; None if the service has no engines.

    ``model`` defaults to the one that the router or the caller has chosen.
    """
    service = work.table.services.get(work.service)
    if service is None or service.engine is None or not work.metadata.prompt:
        return None
    model = model or work.model_name or work.metadata.model
    costs = service.engine.costs
    weight = costs.get(model, 1.0) / max(costs.values(), default=1.0)
    return engine_load.Prompt(
        parts=tuple(
            (
                load_report_messages.hash_name(f"{model}/{part.name}"),
                part.tokens,
            )
            for part in work.metadata.prompt
        ),
        model_weight=weight,
        urgency_class=None
        if find_level(work) is None
        else engine_order.IN_TIME_CLASS,
    )


def find_level(work: Work) -> int | None:
    """The level of its rank; None if its service has no order of ranks."""
    service = work.table.services.get(work.service)
    engine = service.engine if service is not None else None
    if engine is None or not engine_order.holds_full_batch(
        engine.slots, engine.cache_tokens
    ):
        return None
    ranks = work.table.list_ranks(work.service)
    return engine_order.find_level(ranks, work.rank)
