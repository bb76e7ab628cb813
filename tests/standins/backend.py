"""Stand-in for a server behind forwarded routes, and its faults.

It is a plain server or, with ``engine``, one that streams events.
"""

import itertools
import typing

import attrs
import trio

from tests.standins import raw_http

ATTEMPT_ID_HEADER = "carawayward-attempt-id"
SEAL_HEADER = "carawayward-server-seal"


@attrs.define(eq=False)
class Run:
    """One request that the server started to process, and how it ended."""

    request: raw_http.Request
    ended: str = "running"


Behaviour = typing.Callable[
    ["Backend", raw_http.Exchange], typing.Awaitable[None]
]


@attrs.define(eq=False)
class Backend:
    """A server with configurable faults.

    Each request takes the next of ``behaviours``; once they are used up,
    ``always`` handles the rest, or a normal answer if that is None. Streams
    have ``events`` events, ``pause_ms`` apart, and begin after ``head_ms``.
    ``notices`` are headers that it adds to each of its answers.
    """

    name: str
    service: str = "desk"
    zone: str = "north"
    version: str = "v1"
    engine: bool = False
    events: int = 4
    head_ms: float = 0.0
    pause_ms: float = 1.0
    confidence: dict[str, float] = attrs.field(factory=dict)
    notices: dict[str, str] = attrs.field(factory=dict)
    behaviours: list[Behaviour] = attrs.field(factory=list)
    always: Behaviour | None = None
    runs: list[Run] = attrs.field(factory=list)
    arrivals: int = 0
    arrived_s: list[float] = attrs.field(factory=list)
    port: int = 0
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    @property
    def address(self) -> str:
        """The address that it listens on."""
        return f"127.0.0.1:{self.port}"

    async def serve(
        self, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen until it crashes."""
        with self.scope:
            await raw_http.serve(self.handle, task_status=task_status)

    def describe(self, **changes: object) -> dict[str, object]:
        """Its entry in the server registry, with ``changes`` applied."""
        entry: dict[str, object] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }
        return {**entry, **changes}

    async def handle(self, exchange: raw_http.Exchange) -> None:
        """Answer one request.

        A request that expects another instance is refused with 421.
        """
        self.arrivals += 1
        self.arrived_s.append(trio.current_time())
        expected = exchange.request.headers.get("carawayward-expect-instance")
        if expected != self.name:
            await exchange.answer(421, {"carawayward-instance-id": self.name})
            return
        if self.behaviours:
            await self.behaviours.pop(0)(self, exchange)
        elif self.always is not None:
            await self.always(self, exchange)
        else:
            await answer_normally(self, exchange)

    def begin(self, exchange: raw_http.Exchange) -> Run:
        """Record that a request is being processed."""
        run = Run(exchange.request)
        self.runs.append(run)
        return run

    def seal(self, exchange: raw_http.Exchange) -> dict[str, str]:
        """The headers that mark an answer as this server's own.

        They repeat the attempt's id and carry the server's seal.
        """
        return {
            ATTEMPT_ID_HEADER: exchange.request.headers.get(
                ATTEMPT_ID_HEADER, ""
            ),
            SEAL_HEADER: f"{self.name}.seal",
            **self.notices,
        }


def make_event(number: int) -> bytes:
    """One event of a stream."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


async def answer_normally(
    backend: Backend, exchange: raw_http.Exchange
) -> None:
    """Answer without a fault."""
    run = backend.begin(exchange)
    if backend.engine:
        await stream_events(backend, exchange, backend.events)
    else:
        body = b"done by " + backend.name.encode()
        await exchange.answer(200, backend.seal(exchange), body)
    run.ended = "ok"


async def stream_events(
    backend: Backend,
    exchange: raw_http.Exchange,
    max_events: int,
    last: bool = True,
) -> None:
    """Stream at most ``max_events`` events after ``Last-Event-ID``.

    With ``last`` the final chunk, which ends the body, is sent too.
    """
    headers = backend.seal(exchange)
    model = exchange.request.headers.get("carawayward-model", "")
    if model in backend.confidence:
        confidence = backend.confidence[model]
        headers["carawayward-confidence"] = str(confidence)
    await trio.sleep(backend.head_ms / 1000)
    await exchange.begin_stream(
        {**headers, "content-type": "text/event-stream"}
    )
    start = int(exchange.request.headers.get("last-event-id", 0)) + 1
    for number in itertools.count(start):
        if number > backend.events or number - start >= max_events:
            break
        await exchange.send_chunk(make_event(number))
        await trio.sleep(backend.pause_ms / 1000)
    if last:
        await exchange.send_chunk(b"")


async def answer_not_executed(
    backend: Backend, exchange: raw_http.Exchange
) -> None:
    """Refuse the request with 503, marked as not executed."""
    await exchange.answer(503, {"carawayward-not-executed": "1"})


async def fail(backend: Backend, exchange: raw_http.Exchange) -> None:
    """Execute the request, then answer with 500."""
    backend.begin(exchange).ended = "failed"
    await exchange.answer(500, backend.seal(exchange), b"sorry")


async def answer_unmarked_503(
    backend: Backend, exchange: raw_http.Exchange
) -> None:
    """Execute the request, then answer with 503.

    The header that says "not executed" is missing, so the status alone
    must not be taken for a refusal.
    """
    backend.begin(exchange).ended = "failed"
    await exchange.answer(503, backend.seal(exchange))


async def reset_after_run(
    backend: Backend, exchange: raw_http.Exchange
) -> None:
    """Execute the request, then reset the connection without an answer."""
    backend.begin(exchange).ended = "lost"
    await exchange.reset()


async def crash(backend: Backend, exchange: raw_http.Exchange) -> None:
    """End the server while it executes the request."""
    backend.begin(exchange).ended = "crashed"
    backend.scope.cancel()
    await trio.sleep_forever()


def crash_late(delay_s: float) -> Behaviour:
    """End the server some time after it began to execute a request."""

    async def behave(backend: Backend, exchange: raw_http.Exchange) -> None:
        backend.begin(exchange).ended = "crashed"
        await trio.sleep(delay_s)
        backend.scope.cancel()

    return behave


def crash_on(mark: bytes) -> Behaviour:
    """Crash on requests whose body has the mark, answer all others."""

    async def behave(backend: Backend, exchange: raw_http.Exchange) -> None:
        crashes = mark in exchange.request.body
        await (crash if crashes else answer_normally)(backend, exchange)

    return behave


async def answer_other_request(
    backend: Backend, exchange: raw_http.Exchange
) -> None:
    """Send an answer that carries another attempt's id."""
    backend.begin(exchange).ended = "foreign"
    headers = {**backend.seal(exchange), ATTEMPT_ID_HEADER: "0123456789abcdef"}
    await exchange.answer(200, headers, b"not yours")


async def answer_twice(backend: Backend, exchange: raw_http.Exchange) -> None:
    """Send a complete answer, then a second one on the same connection."""
    backend.begin(exchange).ended = "twice"
    await exchange.answer(200, backend.seal(exchange), b"first")
    await exchange.answer(200, backend.seal(exchange), b"second")


async def answer_unframed(
    backend: Backend, exchange: raw_http.Exchange
) -> None:
    """Send an answer without a length; closing the connection ends it."""
    backend.begin(exchange).ended = "unframed"
    head = raw_http.make_head(200, backend.seal(exchange))
    await exchange.stream.send_all(head + b"all of it")
    await exchange.stream.aclose()


async def answer_malformed(
    backend: Backend, exchange: raw_http.Exchange
) -> None:
    """Send bytes that are not HTTP."""
    backend.begin(exchange).ended = "junk"
    await exchange.stream.send_all(b"\x00\x01 this is no HTTP\r\n\r\n")
    await exchange.stream.aclose()


async def answer_truncated(
    backend: Backend, exchange: raw_http.Exchange
) -> None:
    """Send less than the announced content length, then close."""
    backend.begin(exchange).ended = "short"
    headers = {**backend.seal(exchange), "content-length": "100"}
    await exchange.stream.send_all(raw_http.make_head(200, headers) + b"half")
    await exchange.stream.aclose()


async def answer_unsealed(
    backend: Backend, exchange: raw_http.Exchange
) -> None:
    """Send a 200 without the headers that mark a server's own answer."""
    backend.begin(exchange).ended = "unsealed"
    await exchange.answer(200, {}, b"who knows")


async def stay_silent(backend: Backend, exchange: raw_http.Exchange) -> None:
    """Never answer; record whether the caller disconnects first."""
    run = backend.begin(exchange)
    data = await exchange.stream.receive_some(1)
    run.ended = "left" if not data else "more"


def break_after(count: int, cut_within_event: bool = False) -> Behaviour:
    """Stream ``count`` events, then reset the connection.

    With ``cut_within_event`` a part of the next event is sent first.
    """

    async def behave(backend: Backend, exchange: raw_http.Exchange) -> None:
        backend.begin(exchange).ended = "broken"
        await stream_events(backend, exchange, count, last=False)
        if cut_within_event:
            await exchange.stream.send_all(b"10\r\nid: 99\ndata: ha")
        await exchange.reset()

    return behave


def pause_after(count: int, pause_s: float) -> Behaviour:
    """Stream ``count`` events, and the others after a pause."""

    async def behave(backend: Backend, exchange: raw_http.Exchange) -> None:
        run = backend.begin(exchange)
        await stream_events(backend, exchange, count, last=False)
        await trio.sleep(pause_s)
        start = int(exchange.request.headers.get("last-event-id", 0)) + 1
        for number in range(start + count, backend.events + 1):
            await exchange.send_chunk(make_event(number))
        await exchange.send_chunk(b"")
        run.ended = "ok"

    return behave


def stream_unframed(count: int, ending: str = "close") -> Behaviour:
    """Stream ``count`` events with neither a length nor chunks.

    The connection ends by ``close``, ``reset``, or with ``within event`` in
    the middle of one more event.
    """

    async def behave(backend: Backend, exchange: raw_http.Exchange) -> None:
        backend.begin(exchange).ended = ending
        headers = {
            **backend.seal(exchange),
            "content-type": "text/event-stream",
        }
        await exchange.stream.send_all(raw_http.make_head(200, headers))
        start = int(exchange.request.headers.get("last-event-id", 0)) + 1
        for number in range(start, start + count):
            await exchange.stream.send_all(make_event(number))
        if ending == "within event":
            await exchange.stream.send_all(b"id: 99\ndata: ha")
        if ending == "reset":
            await exchange.reset()
        else:
            await exchange.stream.aclose()

    return behave
