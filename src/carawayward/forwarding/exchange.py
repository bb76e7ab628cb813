"""The life of one forwarded request, from the caller's to its last byte."""

import contextlib
import dataclasses
import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.decisions import engine_load
from carawayward.decisions import extra_runs
from carawayward.decisions import ladder
from carawayward.decisions import placement
from carawayward import events
from carawayward.forwarding import attempt as attempt_module
from carawayward.forwarding import event_stream
from carawayward.forwarding import facts
from carawayward.forwarding import fleet as fleet_module
from carawayward.forwarding import hints as hints_module
from carawayward.forwarding import measures as measures_module
from carawayward.forwarding import replies
from carawayward.forwarding import rollouts as rollouts_module
from carawayward.forwarding import table
from carawayward import http_client as http

# A reply goes out this long before the time is up, so that it is with the
# caller when the time is up.
REPLY_MARGIN_MS = 20.0
# An endpoint is given less than the caller's own time by this much, so that
# what it still does in time can be passed on in time.
RELAY_MARGIN_MS = 30.0
# Plain answers are passed on once they are whole, so that one that breaks
# off can be asked for again; this bounds the memory of one.
MOST_BODY_BYTES = 4_194_304
# Endpoints that could not be reached are tried besides a route's own bound,
# which counts runs; each costs at most the time to connect.
MOST_UNREACHED = 3
# A repeatable request waits for the head of an answer no longer than this
# part of the route's target times two before another endpoint is asked.
HEAD_TARGETS = 2.0
# Engines queue: under load the first event takes seconds, and to give it up
# has the whole prompt read again elsewhere, which makes the load worse. So
# only what would otherwise fail is given up, and only while there is time
# for another engine to meet the target.
STREAM_HEAD_PART = 0.6
# A stream that pauses for so many of the longest pauses that still count as
# in time is read on from another endpoint.
GAP_TARGETS = 2.0
# Climbs to a larger model leave this part of the extra runs to requests whose
# endpoint failed.
CLIMB_RESERVE = 0.3
# When to come back while nothing is known of when an endpoint will be free:
# registries tell of a new endpoint within about a second.
COME_BACK_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """The caller has the whole answer."""

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unreached:
    """No byte of the request has left this entry VM."""

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


Outcome = Delivered | Unreached | Declined | Unsure | Failed


@attrs.define(eq=False, kw_only=True)
class Work:
    """What is known of one request while it is served; times in ms.

    ``mark`` is that of the attempt under way; ``ran`` tells whether an
    earlier one may have run. Endpoints in ``failed_at`` are asked again only
    when there is no other, those in ``useless`` not at all.
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
    events: int = 0
    unreached: int = 0
    ran: bool = False
    mark: http.SentMark | None = None
    failed_at: frozenset[str] = frozenset()
    useless: frozenset[str] = frozenset()
    last_event: int | None = None
    failure: Failed | None = None
    endpoint: str = ""
    reading: "Reading | None" = None
    row: float = 0.0
    sent_ms: float = 0.0

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run or may still run."""
        return self.ran or (self.mark is not None and self.mark.sent)

    @property
    def session(self) -> str:
        """By what a request stays on a version; its own without session."""
        return self.facts.session or self.facts.request_id

    @property
    def model_name(self) -> str:
        """The model chosen for the caller; empty if it is not ours to."""
        return "" if self.model is None else self.route.models[self.model]


@attrs.define(eq=False)
class Forwarder:
    """Serves forwarded requests.

    ``may_send`` is asked at the instant before a request's first byte goes
    to an endpoint, with the request's route.
    """

    clock: clock_module.Clock
    dialect: facts.Dialect
    fleet: fleet_module.Fleet
    may_send: typing.Callable[[Work], bool]
    rollouts: rollouts_module.Rollouts
    hints: hints_module.HintsController
    measures: measures_module.Measures
    make_budget: typing.Callable[[], extra_runs.ExtraRuns]
    budgets: dict[str, extra_runs.ExtraRuns] = attrs.field(factory=dict)

    async def serve(self, work: Work, reply: replies.Reply) -> None:
        """Answer one request; the caller's leaving cancels this call."""
        now_ms = self.clock.now_ms()
        extra_runs.note_request(self._find_budget(work), now_ms)
        self._choose_model(work)
        left_ms = work.deadline_ms - now_ms - REPLY_MARGIN_MS
        with trio.move_on_after(max(0.0, left_ms) / 1000) as scope:
            await self._run(work, reply)
        if scope.cancelled_caught:
            await self._give_up(work, reply, "deadline")

    def _find_budget(self, work: Work) -> extra_runs.ExtraRuns:
        budget = self.budgets.get(work.service)
        if budget is None:
            budget = self.budgets[work.service] = self.make_budget()
        return budget

    def _choose_model(self, work: Work) -> None:
        """Choose the model to begin with, where that is left to us."""
        if work.facts.model != facts.ANY_MODEL or not work.route.models:
            return
        may_climb = (
            work.route.repeatable
            and work.route.max_attempts > 1
            and work.last_event is None
            and extra_runs.may_spend(
                self._find_budget(work), self.clock.now_ms(), CLIMB_RESERVE
            )
        )
        work.model = ladder.choose_first(len(work.route.models), may_climb)

    async def _run(self, work: Work, reply: replies.Reply) -> None:
        while True:
            choice = self.rollouts.choose(work.service, work.session)
            place = self._place(work, choice)
            if place is None:
                await self._give_up(work, reply, "no endpoint")
                return
            outcome = await self._attempt(work, place, choice, reply)
            if isinstance(outcome, Delivered):
                self._log_end(work, outcome.status, "delivered")
                return
            self._note(work, place, outcome)
            if not self._may_try_again(work, outcome):
                await self._give_up(work, reply, outcome.cause)
                return

    def _place(
        self, work: Work, choice: rollouts_module.Choice | None
    ) -> fleet_module.Place | None:
        """Choose an endpoint: of the version wanted, else of the other."""
        wants = self._list_wants(work, choice)
        for excluded in (work.useless | work.failed_at, work.useless):
            for want in wants:
                place = self._place_among(work, want, excluded)
                if place is not None:
                    return place
        return None

    def _place_among(
        self, work: Work, want: fleet_module.Want, excluded: frozenset[str]
    ) -> fleet_module.Place | None:
        pool = self.fleet.find_pool(want)
        prompt = make_prompt(work)
        if prompt is None:
            return self.fleet.choose(pool, None, excluded)
        engine = self.fleet.choose_engine(pool, prompt, excluded)
        if engine is None:
            return None
        work.row = engine.weight
        return self.fleet.places.get(engine.name)

    def _list_wants(
        self, work: Work, choice: rollouts_module.Choice | None
    ) -> list[fleet_module.Want]:
        if choice is None:
            return [fleet_module.Want(work.service)]
        version = choice.rollout.order.version
        new = fleet_module.Want(work.service, version)
        old = fleet_module.Want(work.service, version, other=True)
        if not choice.new:
            return [old] if choice.strict else [old, new]
        count = len(self.fleet.find_pool(new).views)
        most = self.rollouts.count_endpoints(choice, count)
        return [attrs.evolve(new, most=most), old]

    async def _attempt(
        self,
        work: Work,
        place: fleet_module.Place,
        choice: rollouts_module.Choice | None,
        reply: replies.Reply,
    ) -> Outcome:
        """Send the request to one endpoint and pass its answer on."""
        mark = http.SentMark(may_send=lambda: self.may_send(work))
        work.mark = mark
        work.endpoint = place.entry.name
        work.events = 0
        began_ms = work.sent_ms = self.clock.now_ms()
        if choice is not None:
            choice = self.rollouts.begin(choice, place.entry.version)
        self.fleet.occupy(place)
        reading = self._begin_reading(work, place)
        try:
            outcome = await self._send(work, place, mark, reply)
        except attempt_module.AttemptFailed as fault:
            if fault.sent:
                outcome = Failed(fault.detail)
            else:
                outcome = Unreached(fault.detail)
        finally:
            self.fleet.vacate(place)
            reading.end()
            if choice is not None:
                self.rollouts.end(choice)
        if isinstance(outcome, (Declined, Unreached)):
            work.mark = None
        took_ms = self.clock.now_ms() - began_ms
        if isinstance(outcome, Delivered):
            self.fleet.note_success(place, took_ms)
        if choice is not None:
            self._note_version(work, choice, outcome, took_ms)
        return outcome

    def _begin_reading(
        self, work: Work, place: fleet_module.Place
    ) -> "Reading":
        """Count a prompt as outstanding at its engine."""
        prompt = make_prompt(work)
        reading = Reading(self.hints, place.entry.name, 0.0)
        if prompt is not None:
            unread = engine_load.count_unread(
                self.hints.loads, place.entry.name, prompt
            )
            reading.weight = unread * prompt.model_weight
            self.hints.add_sent(work.service, reading.weight)
            self.hints.add_kept(place.entry.name, prompt.parts[:-1])
        work.reading = reading if prompt is not None else None
        reading.begin()
        return reading

    def _note_version(
        self,
        work: Work,
        choice: rollouts_module.Choice,
        outcome: Outcome,
        took_ms: float,
    ) -> None:
        """Count an answer for the roll-out under way."""
        if isinstance(outcome, Delivered) and outcome.status < 500:
            kind = (work.route.name, work.model_name)
            unit_ms = took_ms / max(1, work.events)
            self.rollouts.note_answer(choice, kind, unit_ms)
        elif isinstance(outcome, (Delivered, Failed)):
            # A connection that broke says nothing of the version; a status
            # that says so does.
            if isinstance(outcome, Delivered) or outcome.head is not None:
                self.rollouts.note_failure(choice, work.route.name)

    async def _send(
        self,
        work: Work,
        place: fleet_module.Place,
        mark: http.SentMark,
        reply: replies.Reply,
    ) -> Outcome:
        async with contextlib.AsyncExitStack() as stack:
            with trio.move_on_after(self._find_patience_s(work)) as waiting:
                answer = await stack.enter_async_context(
                    attempt_module.open_attempt(
                        place.entry.address,
                        self._make_forward(work, place),
                        work.facts.request_id,
                        self.dialect.read_answer,
                        mark,
                    )
                )
            if waiting.cancelled_caught:
                if not mark.sent:
                    return Unreached("no connection in time")
                return Failed("no answer in time")
            return await self._judge(work, answer, reply)

    async def _judge(
        self,
        work: Work,
        answer: attempt_module.Attempt,
        reply: replies.Reply,
    ) -> Outcome:
        head = answer.head
        if head.facts.declined:
            return Declined(f"declined with {head.status}")
        if head.succeeded and not head.facts.sealed:
            return Failed("answer without its seal")
        if head.succeeded and work.route.kind is table.RouteKind.STREAM:
            return await self._relay_events(work, answer, reply)
        body = await answer.read_body(MOST_BODY_BYTES)
        if head.status >= 500 and work.route.repeatable:
            return Failed(f"status {head.status}", head, body)
        if reply.begun:
            return Failed(f"status {head.status} amid a stream")
        await replies.send_whole(
            reply, head.status, keep_headers(head.headers), body
        )
        return Delivered(head.status)

    async def _relay_events(
        self,
        work: Work,
        answer: attempt_module.Attempt,
        reply: replies.Reply,
    ) -> Outcome:
        """Pass whole events on as they come."""
        work.confidence = answer.head.facts.confidence
        if work.reading is not None:
            work.reading.note_head()
            pace = self.fleet.find_pace(work.service)
            took_ms = self.clock.now_ms() - work.sent_ms
            events.log_event(
                events.Event.HEAD_READ,
                request=work.facts.request_id,
                endpoint=work.endpoint,
                model=work.model_name,
                predicted_ms=round(engine_load.predict_head(pace, work.row)),
                took_ms=round(took_ms),
                row=round(work.row),
                strain_ms=round(self.fleet.find_strain(work.service)),
                confidence=work.confidence,
            )
            engine_load.note_head(pace, work.row, took_ms)
            self.measures.observe("head", took_ms, model=work.model_name)
        larger = self._find_larger(work, reply)
        if larger is not None:
            return Unsure(f"confidence {work.confidence}", larger)
        splitter = event_stream.EventSplitter()
        gap_ms = work.route.gap_target_ms
        gap_s = GAP_TARGETS * gap_ms / 1000 if gap_ms else float("inf")
        async with contextlib.aclosing(answer.read_pieces()) as pieces:
            while True:
                piece = b""
                with trio.move_on_after(gap_s) as pause:
                    piece = await anext(pieces, b"")
                if pause.cancelled_caught:
                    return Failed("stream went silent")
                if not piece:
                    break
                for event in splitter.feed(piece):
                    broken = await self._relay(work, answer, event, reply)
                    if broken is not None:
                        return broken
        if splitter.pending or not reply.begun:
            return Failed("stream broke off")
        await reply.finish()
        return Delivered(answer.head.status)

    async def _relay(
        self,
        work: Work,
        answer: attempt_module.Attempt,
        event: event_stream.ServerEvent,
        reply: replies.Reply,
    ) -> Failed | None:
        """Pass one event on, unless it does not follow the last one."""
        if event.number is not None:
            last = work.last_event
            if last is not None and event.number != last + 1:
                return Failed(f"event {event.number} after {last}")
            work.last_event = event.number
        if not reply.begun:
            await reply.begin(
                answer.head.status, keep_headers(answer.head.headers)
            )
        work.events += 1
        await reply.send(event.raw)
        return None

    def _find_larger(self, work: Work, reply: replies.Reply) -> int | None:
        """The model to ask instead, before anything reached the caller."""
        if work.model is None or reply.begun:
            return None
        if work.runs + 1 >= work.route.max_attempts:
            return None
        if not extra_runs.may_spend(
            self._find_budget(work), self.clock.now_ms()
        ):
            return None
        models = work.route.models
        prompt = make_prompt(work, models[-1])
        if prompt is None:
            return None
        choice = self.rollouts.choose(work.service, work.session)
        engine = None
        for want in self._list_wants(work, choice):
            engine = engine or self.fleet.choose_engine(
                self.fleet.find_pool(want), prompt, work.useless
            )
        if engine is None:
            return None
        head_ms = engine_load.predict_head(
            self.fleet.find_pace(work.service), engine.weight
        )
        return ladder.find_next(
            work.model,
            len(models),
            work.confidence,
            self.fleet.find_strain(work.service),
            head_ms / work.route.target_ms,
        )

    def _find_patience_s(self, work: Work) -> float:
        """How long to wait for the head of an answer."""
        if not work.route.repeatable:
            return float("inf")
        if work.route.kind is table.RouteKind.STREAM:
            left_ms = work.deadline_ms - self.clock.now_ms()
            if STREAM_HEAD_PART * left_ms < work.route.target_ms:
                return float("inf")
            return STREAM_HEAD_PART * left_ms / 1000
        return HEAD_TARGETS * work.route.target_ms / 1000

    def _make_forward(
        self, work: Work, place: fleet_module.Place
    ) -> attempt_module.Forward:
        left_ms = work.deadline_ms - self.clock.now_ms() - RELAY_MARGIN_MS
        dispatch = facts.Dispatch(
            instance=place.entry.name,
            remaining_ms=max(1.0, left_ms),
            customer=work.customer,
            model=work.model_name,
            last_event=work.last_event,
        )
        headers = self.dialect.write_request(work.request.headers, dispatch)
        return attempt_module.Forward(
            method=work.request.method,
            target=work.request.target,
            headers=drop_connection_headers(headers),
            body=work.request.body,
        )

    def _note(
        self,
        work: Work,
        place: fleet_module.Place,
        outcome: Unreached | Declined | Unsure | Failed,
    ) -> None:
        """Learn from an attempt that brought no answer."""
        name = place.entry.name
        match outcome:
            case Unsure():
                work.runs += 1
                work.ran = True
                work.model = outcome.model
            case Unreached():
                work.useless |= {name}
                work.unreached += 1
                self.fleet.note_failure(place, outcome.cause)
            case Declined():
                work.useless |= {name}
                work.runs += 1
            case Failed():
                work.failed_at |= {name}
                work.runs += 1
                work.ran = True
                work.failure = outcome
                self.fleet.note_failure(place, outcome.cause)
        self.measures.count("attempts", outcome=type(outcome).__name__.lower())
        events.log_event(
            events.Event.ATTEMPT_ENDED,
            request=work.facts.request_id,
            endpoint=name,
            outcome=type(outcome).__name__,
            cause=outcome.cause,
            runs=work.runs,
            last_event=work.last_event,
        )

    def _may_try_again(self, work: Work, outcome: Outcome) -> bool:
        if isinstance(outcome, Unreached):
            return work.unreached <= MOST_UNREACHED
        if work.runs >= work.route.max_attempts:
            return False
        if isinstance(outcome, Failed) and not work.route.repeatable:
            return False
        budget, now_ms = self._find_budget(work), self.clock.now_ms()
        if not extra_runs.may_spend(budget, now_ms):
            return False
        extra_runs.spend(budget, now_ms)
        return True

    async def _give_up(
        self, work: Work, reply: replies.Reply, cause: str
    ) -> None:
        """Give the final answer of a request that has none of its own."""
        if reply.begun:
            # Not finishing the body shows the caller that it is broken off.
            self._log_end(work, 0, cause)
            return
        failure = work.failure
        if failure is not None and failure.head is not None:
            status = failure.head.status
            headers = keep_headers(failure.head.headers)
            await replies.send_whole(reply, status, headers, failure.body)
        elif work.may_have_run:
            status = 504 if cause == "deadline" else 502
            await replies.send_whole(reply, status, [], b"")
        else:
            status = 503
            await refuse(reply, status, COME_BACK_MS)
        self._log_end(work, status, cause)

    def _log_end(self, work: Work, status: int, cause: str) -> None:
        took_ms = self.clock.now_ms() - work.began_ms
        self.measures.count(
            "requests", route=work.route.name, status=str(status)
        )
        if 200 <= status < 300:
            self.measures.observe("answer", took_ms, route=work.route.name)
        events.log_event(
            events.Event.REQUEST_FORWARDED,
            request=work.facts.request_id,
            route=work.route.name,
            status=status,
            cause=cause,
            endpoint=work.endpoint,
            model=work.model_name,
            confidence=work.confidence,
            runs=work.runs,
            took_ms=round(took_ms),
            revision=work.table.revision,
        )


async def refuse(
    reply: replies.Reply, status: int, come_back_ms: float | None
) -> None:
    """Refuse a request that has not run."""
    headers: facts.Headers = []
    if come_back_ms is not None:
        headers.append((b"retry-after", b"%.3f" % (come_back_ms / 1000)))
    await replies.send_whole(reply, status, headers, b"")


@attrs.define(eq=False)
class Reading:
    """A prompt at an engine: outstanding until the head of its answer."""

    hints: hints_module.HintsController
    engine: str
    weight: float

    def begin(self) -> None:
        """The prompt goes to its engine."""
        load = engine_load.Load(self.weight, 1)
        self.hints.add_load(self.engine, load)

    def note_head(self) -> None:
        """The prompt has been read; the answer comes."""
        if self.weight:
            load = engine_load.Load(-self.weight, 0)
            self.hints.add_load(self.engine, load)
            self.weight = 0.0

    def end(self) -> None:
        """The run is over."""
        load = engine_load.Load(-self.weight, -1)
        self.hints.add_load(self.engine, load)
        self.weight = 0.0


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
            (placement.hash_key(f"{model}/{part.name}"), part.tokens)
            for part in work.facts.prompt
        ),
        model_weight=weight,
    )


# Headers that concern one connection only (RFC 9110, 7.6.1).
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)


def drop_connection_headers(headers: facts.Headers) -> facts.Headers:
    """Headers without those that concern one connection only."""
    named = set(CONNECTION_HEADERS)
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(each.strip().lower() for each in value.split(b","))
    return [pair for pair in headers if pair[0].lower() not in named]


def keep_headers(headers: facts.Headers) -> facts.Headers:
    """An endpoint's headers as they go to the caller."""
    return [
        pair
        for pair in drop_connection_headers(headers)
        if pair[0].lower() != b"content-length"
    ]
