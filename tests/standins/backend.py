"""A server behind forwarded routes, plain or an engine, and its faults."""

import itertools
import typing

import attrs
import trio

from tests.standins import raw_http

ID = "carawayward-attempt-id"
SEAL = "carawayward-server-seal"


@attrs.define(eq=False)
class Run:
    """One request that the server began to work on."""

    request: raw_http.Request
    ended: str = "running"


Behaviour = typing.Callable[
    ["Backend", raw_http.Exchange], typing.Awaitable[None]
]


@attrs.define(eq=False)
class Backend:
    """A server; ``behaviours`` says how its next requests go."""

    name: str
    service: str = "desk"
    zone: str = "north"
    version: str = "v1"
    engine: bool = False
    events: int = 4
    head_ms: float = 0.0
    pause_ms: float = 1.0
    confidence: dict[str, float] = attrs.field(factory=dict)
    behaviours: list[Behaviour] = attrs.field(factory=list)
    always: Behaviour | None = None
    runs: list[Run] = attrs.field(factory=list)
    arrivals: int = 0
    port: int = 0

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self.port}"

    def describe(self, **changes: object) -> dict[str, object]:
        """Its entry in the registry."""
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
        """Answer one request."""
        self.arrivals += 1
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
        """Note that a request runs."""
        run = Run(exchange.request)
        self.runs.append(run)
        return run

    def seal(self, exchange: raw_http.Exchange) -> dict[str, str]:
        """The headers of an answer of its own."""
        return {
            ID: exchange.request.headers.get(ID, ""),
            SEAL: f"{self.name}.seal",
        }


def make_event(number: int) -> bytes:
    """One event of a stream."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


async def answer_normally(
    backend: Backend, exchange: raw_http.Exchange
) -> None:
    """Answer as a sound server does."""
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
    most: int,
    last: bool = True,
) -> None:
    """Stream events after the last one that the caller has."""
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
        if number > backend.events or number - start >= most:
            break
        await exchange.send_chunk(make_event(number))
        await trio.sleep(backend.pause_ms / 1000)
    if last:
        await exchange.send_chunk(b"")


async def answer_not_executed(
    backend: Backend, exchange: raw_http.Exchange
) -> None:
    """Say that the request is not run."""
    await exchange.answer(503, {"carawayward-not-executed": "1"})


async def fail(backend: Backend, exchange: raw_http.Exchange) -> None:
    """Run and answer with a failure of its own."""
    backend.begin(exchange).ended = "failed"
    await exchange.answer(500, backend.seal(exchange), b"sorry")


async def answer_unmarked_503(
    backend: Backend, exchange: raw_http.Exchange
) -> None:
    """Run, then answer with the status of a full server, without its word."""
    backend.begin(exchange).ended = "failed"
    await exchange.answer(503, backend.seal(exchange))


async def reset_after_run(
    backend: Backend, exchange: raw_http.Exchange
) -> None:
    """Run, then reset the connection."""
    backend.begin(exchange).ended = "lost"
    await exchange.reset()


async def answer_other_request(
    backend: Backend, exchange: raw_http.Exchange
) -> None:
    """Send another request's answer."""
    backend.begin(exchange).ended = "foreign"
    headers = {**backend.seal(exchange), ID: "0123456789abcdef"}
    await exchange.answer(200, headers, b"not yours")


async def answer_twice(backend: Backend, exchange: raw_http.Exchange) -> None:
    """Send a whole answer and another one behind it."""
    backend.begin(exchange).ended = "twice"
    await exchange.answer(200, backend.seal(exchange), b"first")
    await exchange.answer(200, backend.seal(exchange), b"second")


async def answer_unframed(
    backend: Backend, exchange: raw_http.Exchange
) -> None:
    """Send an answer without a length, which ends with its connection."""
    backend.begin(exchange).ended = "unframed"
    head = raw_http.make_head(200, backend.seal(exchange))
    await exchange.stream.send_all(head + b"all of it")
    await exchange.stream.aclose()


async def answer_malformed(
    backend: Backend, exchange: raw_http.Exchange
) -> None:
    """Send bytes that are no answer."""
    backend.begin(exchange).ended = "junk"
    await exchange.stream.send_all(b"\x00\x01 this is no HTTP\r\n\r\n")
    await exchange.stream.aclose()


async def answer_truncated(
    backend: Backend, exchange: raw_http.Exchange
) -> None:
    """Announce more than is sent, then close."""
    backend.begin(exchange).ended = "short"
    headers = {**backend.seal(exchange), "content-length": "100"}
    await exchange.stream.send_all(raw_http.make_head(200, headers) + b"half")
    await exchange.stream.aclose()


async def answer_unsealed(
    backend: Backend, exchange: raw_http.Exchange
) -> None:
    """Send a success without the mark of a server's own answer."""
    backend.begin(exchange).ended = "unsealed"
    await exchange.answer(200, {}, b"who knows")


async def stay_silent(backend: Backend, exchange: raw_http.Exchange) -> None:
    """Run and never answer; notes when the caller leaves."""
    run = backend.begin(exchange)
    data = await exchange.stream.receive_some(1)
    run.ended = "left" if not data else "more"


def break_after(count: int, cut_within_event: bool = False) -> Behaviour:
    """Stream ``count`` events and reset, perhaps amid the next one."""

    async def behave(backend: Backend, exchange: raw_http.Exchange) -> None:
        backend.begin(exchange).ended = "broken"
        await stream_events(backend, exchange, count, last=False)
        if cut_within_event:
            await exchange.stream.send_all(b"10\r\nid: 99\ndata: ha")
        await exchange.reset()

    return behave
