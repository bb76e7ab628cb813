"""What is known of one forwarded request, and how its attempts end."""

import dataclasses

import attrs

from carawayward.decisions import engine_load
from carawayward.forwarding import attempt as attempt_module
from carawayward.forwarding import facts
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import load_reports
from carawayward.forwarding import replies
from carawayward.forwarding import table
from carawayward import http_client as http


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """The caller has the whole answer."""

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unreached:
    """No byte of the request has left this entry VM."""

    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class Withheld:
    """The endpoint was reached, but the request may no longer go out."""

    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class Declined:
    """The endpoint says that it did not and will not run the request."""

    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unsure:
    """The model thinks little of its answer; ``model`` is to be asked."""

    cause: str
    model: int


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The request may have run; ``head`` and ``body`` are its answer.

    Without a ``head`` there was no usable answer.
    """

    cause: str
    head: attempt_module.Head | None = None
    body: bytes = b""


Outcome = Delivered | Unreached | Withheld | Declined | Unsure | Failed


@attrs.define(eq=False)
class Reading:
    """A prompt at an engine: outstanding until the head of its answer."""

    reporter: load_reports.LoadReporter
    engine: str
    weight: float

    def begin(self) -> None:
        """The prompt goes to its engine."""
        load = engine_load.Load(self.weight, 1)
        self.reporter.record_load(self.engine, load)

    def observe_ttft(self) -> None:
        """The prompt has been read; the answer comes."""
        if self.weight:
            load = engine_load.Load(-self.weight, 0)
            self.reporter.record_load(self.engine, load)
            self.weight = 0.0

    def end(self) -> None:
        """The run is over."""
        load = engine_load.Load(-self.weight, -1)
        self.reporter.record_load(self.engine, load)
        self.weight = 0.0


@attrs.define(eq=False)
class Progress:
    """How far one attempt has come; times in ms.

    ``ttft_ms`` is the time to the first token of a stream, ``predicted_ms``
    what it should have been by what its engine had to read before. ``status``
    is set once it is known what the endpoint's answer is worth, though the
    caller may not have it yet. ``version`` is that of the endpoint.
    """

    began_ms: float
    ttft_ms: float | None = None
    predicted_ms: float | None = None
    status: int | None = None
    version: str = ""


@attrs.define(eq=False, kw_only=True)
class Work:
    """What is known of one request while it is served; times in ms.

    ``mark`` is that of the attempt under way; ``ran`` says whether an
    earlier one may have run. Endpoints in ``failed_at`` are asked again only
    when there is no other, those in ``useless`` not at all. ``backlog`` is
    what its engine reads up to its first text, in weighted tokens, and
    ``waits`` whether others' prompts are in that.
    """

    request: replies.CallerRequest
    facts: facts.RequestFacts
    route: table.Route
    service: str
    table: table.RoutingTable
    customer: str
    began_ms: float
    deadline_ms: float
    model: int | None = None
    confidence: float | None = None
    runs: int = 0
    progress: Progress = attrs.field(factory=lambda: Progress(0.0))
    unreached_ms: float = 0.0
    ran: bool = False
    mark: http.SentMark | None = None
    failed_at: frozenset[str] = frozenset()
    useless: frozenset[str] = frozenset()
    last_event: int | None = None
    failure: Failed | None = None
    endpoint: str = ""
    reading: "Reading | None" = None
    backlog: float = 0.0
    waits: bool = False
    backlog_ms: float = 0.0

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run or may still run."""
        return self.ran or (self.mark is not None and self.mark.sent)

    @property
    def model_name(self) -> str:
        """The model chosen for the caller; empty if it is not ours to."""
        return "" if self.model is None else self.route.models[self.model]


def make_prompt(work: Work, model: str = "") -> engine_load.Prompt | None:
    """The prompt to place; None where no engines are involved.

    It is for the model named, else for the one that is chosen for the work.
    """
    service = work.table.services.get(work.service)
    if service is None or service.engine is None or not work.facts.prompt:
        return None
    model = model or work.model_name or work.facts.model
    costs = service.engine.costs
    weight = costs.get(model, 1.0) / max(costs.values(), default=1.0)
    return engine_load.Prompt(
        parts=tuple(
            (
                load_report_messages.hash_name(f"{model}/{part.name}"),
                part.tokens,
            )
            for part in work.facts.prompt
        ),
        model_weight=weight,
    )
