"""Streams one run from an engine until its end event.

A run outlives the connection that it is read from. When a connection breaks
or goes silent, reading of the same run resumes at its offset over a new
connection. A run is lost only if the engine no longer has it.
"""

import hashlib
import json
import typing
import urllib.parse

import attrs
import httpcore
import trio

from carawayward import blackboard
from carawayward import checked_fields
from carawayward import errors
from carawayward import events
from carawayward.gateway import connections
from carawayward.gateway import replies
from carawayward import http_client as http

# Characters buffered between the engine and the caller of one stream. A
# slow caller fills this buffer, then the engine connection, and then the
# engine stops, so memory does not grow with the length of the answer.
MAX_PENDING_CHARS = 32_768
WATCH_INTERVAL_S = 0.1
BODY_END_TIMEOUT_S = 0.02
MAX_LINE_BYTES = 1_000_000
# What may come of a run between two tokens.
MAX_IDLE_BYTES = MAX_LINE_BYTES
MAX_RESUMES = 20
CONNECT_TIMEOUT_S = 2.0

# What decoding an event raises if it is malformed; RecursionError if it is
# nested too deeply.
MALFORMED = (
    LookupError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)

OnText = typing.Callable[[str], typing.Awaitable[None]]


@attrs.frozen(kw_only=True)
class Run:
    """One run of one version on an engine."""

    run_id: str
    version: str
    messages: list[dict]
    max_tokens: int
    priority: int = 0


@attrs.frozen(kw_only=True)
class RunEnd:
    """The engine's end event: its own totals for the whole run."""

    length: int
    input_tokens: int
    output_tokens: int
    confidence: float


@attrs.frozen(kw_only=True)
class SilenceLimits:
    """How long a run may be silent, in milliseconds.

    After ``connection_ms`` without a byte the connection is presumed dead
    and the run is resumed over a new one. After ``engine_ms`` without a
    token, over any number of connections, the attempt fails.
    """

    connection_ms: float
    engine_ms: float


class RunGone(Exception):
    """The engine does not have the run."""


class StreamCut(Exception):
    """A stream ended before the run's end event."""


@attrs.define(eq=False)
class SilenceWatch:
    """Cancels reads from connections that have been silent for too long."""

    silence_limits: SilenceLimits
    readings: set[connections.Reading] = attrs.field(factory=set)

    async def run(self) -> None:
        """Check all waiting reads periodically."""
        connection_s = self.silence_limits.connection_ms / 1000
        while True:
            oldest = trio.current_time() - connection_s
            for reading in self.readings:
                since = reading.waiting_since
                if since is not None and since < oldest:
                    reading.scope.cancel()
            await trio.sleep(WATCH_INTERVAL_S)


@attrs.define(eq=False)
class RunReader:
    """Reads one run from its engine.

    ``offset`` counts the tokens received and ``length`` the characters
    passed on. ``sent`` tells whether the engine may have seen the run.
    ``start_count`` counts the requests to start it, and ``heard`` is when
    the last progress was seen.
    """

    endpoint: blackboard.Endpoint
    run: Run
    pools: connections.EndpointPools
    watch: SilenceWatch
    on_text: OnText
    offset: int = 0
    length: int = 0
    sent: bool = False
    start_count: int = 0
    heard: float = 0.0
    end: RunEnd | None = None
    _parts: list[str] = attrs.field(factory=list)
    _pending_chars: int = 0
    _idle_bytes: int = 0
    _digest: typing.Any = attrs.field(factory=hashlib.sha256)

    async def read_to_end(self) -> RunEnd:
        """Read the run to its end event, resuming over new connections.

        Raises EndpointError when the engine cannot be reached, no longer
        has the run or has been silent for too long, when the stream cannot
        be resumed, or when the answer does not match the engine's totals.
        """
        self.heard = trio.current_time()
        resume = False
        for _ in range(MAX_RESUMES):
            before = self.offset
            try:
                return await self._read_once(resume)
            except RunGone:
                # The start request never arrived: it was sent on a
                # connection that had gone silent while idle. Start the run
                # once more, on a new connection and under the same run id.
                if self.offset or self.start_count > 1:
                    raise self._make_error(
                        "engine no longer has the run"
                    ) from None
                resume = False
                continue
            except http.CALL_FAILURES as cause:
                await self._check_resumable(cause, resume, before)
            except StreamCut:
                if resume and self.offset == before:
                    break
            if self.offset > before:
                self.heard = trio.current_time()
            self._record_resume()
            resume = True
        raise self._make_error("stream ended before the end event")

    async def _check_resumable(
        self, cause: Exception, resume: bool, before: int
    ) -> None:
        """Raise EndpointError unless the run may be resumed."""
        silent = isinstance(cause, httpcore.TimeoutException)
        name = type(cause).__name__
        unreachable = isinstance(
            cause, (httpcore.ConnectError, httpcore.ConnectTimeout)
        )
        if not self.sent or unreachable:
            raise self._make_error(name, silent) from cause
        if not silent and resume and self.offset == before:
            raise self._make_error(name) from cause
        if silent:
            await self.pools.drop_idle(self.endpoint.address)
            silent_ms = (trio.current_time() - self.heard) * 1000
            if (
                self.offset == before
                and silent_ms >= self.watch.silence_limits.engine_ms
            ):
                raise self._make_error(name, silent) from cause

    def _record_resume(self) -> None:
        events.log_event(
            events.Event.RUN_RESUMED,
            endpoint=self.endpoint.name,
            offset=self.offset,
        )

    def _make_error(
        self, detail: str, silent: bool = False
    ) -> errors.EndpointError:
        return errors.EndpointError(
            self.endpoint.name, detail, sent=self.sent, silent=silent
        )

    async def _read_once(self, resume: bool) -> RunEnd:
        """Read over one connection.

        Only the first start may use an idle connection from the pool. Later
        requests open a new one, since the idle ones may be dead as well.
        """
        if self.start_count == 0:
            pool = await self.pools.get(self.endpoint.address)
            return await self._exchange(pool, resume)
        async with connections.make_single_use_pool() as pool:
            return await self._exchange(pool, resume)

    async def _exchange(
        self, pool: httpcore.AsyncConnectionPool, resume: bool
    ) -> RunEnd:
        mark = http.SentMark()
        path, content = f"{run_path(self.run)}?offset={self.offset}", None
        if not resume:
            self.start_count += 1
            path, content = "/v1/runs", encode_run(self.run)
        connection_s = self.watch.silence_limits.connection_ms / 1000
        timeouts = {
            "connect": CONNECT_TIMEOUT_S,
            "read": connection_s,
            "write": connection_s,
        }
        try:
            async with pool.stream(
                "GET" if resume else "POST",
                f"http://{self.endpoint.address}{path}",
                headers={"Content-Type": "application/json"},
                content=content,
                extensions={
                    "trace": mark.trace,
                    "timeout": {**timeouts, "pool": CONNECT_TIMEOUT_S},
                },
            ) as response:
                if response.status != 200:
                    await self._skip_body(response)
                    self._raise_for_status(response.status, resume)
                return await self._read_body(response)
        finally:
            self.sent = self.sent or mark.sent

    async def _skip_body(self, response: httpcore.Response) -> None:
        """Read a body to its end, within the limits of a single call."""
        timeout_ms = self.watch.silence_limits.connection_ms
        with trio.fail_after(timeout_ms / 1000) as timeout:
            await http.read_body(response, bytearray(), timeout, timeout_ms)

    def _raise_for_status(self, status: int, resume: bool) -> None:
        if resume and status == 404:
            raise RunGone
        # An engine that answers 503 to a start has not begun the run.
        sent = resume or self.start_count > 1 or status != 503
        raise errors.EndpointError(
            self.endpoint.name, f"status {status}", sent=sent, status=status
        )

    async def _read_body(self, response: httpcore.Response) -> RunEnd:
        """Read one response to the run's end event.

        Text that was received but not yet passed on when the connection
        fails stays buffered and is passed on with the text that a later
        connection brings.
        """
        stream = response.extensions["network_stream"]
        with trio.CancelScope() as scope:
            reading = connections.Reading(self._flush, scope)
            stream.reading = reading
            self.watch.readings.add(reading)
            try:
                await self._process_events(response, scope)
            finally:
                stream.reading = None
                self.watch.readings.discard(reading)
        if self.end is None:
            raise httpcore.ReadTimeout()
        return self.end

    async def _process_events(
        self, response: httpcore.Response, scope: trio.CancelScope
    ) -> None:
        """Process the events of one response.

        Raises StreamCut if it ends before the run, or is malformed.
        """
        splitter = LineSplitter()
        time_slice = connections.get_time_slice(response)
        stream = typing.cast(typing.AsyncIterable, response.stream)
        async for chunk in stream:
            self._idle_bytes += len(chunk) + http.CHUNK_OVERHEAD_BYTES
            for line in splitter.feed(chunk):
                event = parse_event(line)
                if event is not None:
                    await self._process_event(event, scope)
                await time_slice.yield_if_over()
            if self._idle_bytes > MAX_IDLE_BYTES:
                raise self._make_error("bytes without a token")
        if self.end is None:
            raise StreamCut

    async def _process_event(
        self, event: "Token | EndEvent", scope: trio.CancelScope
    ) -> None:
        if isinstance(event, EndEvent):
            await self._flush()
            self.end = self._verify_end(event)
            # Reading the body to its end lets the connection be reused for
            # the next run. Wait only briefly for an engine that is slow to
            # end it.
            scope.deadline = trio.current_time() + BODY_END_TIMEOUT_S
        elif event.offset == self.offset:
            self.offset += 1
            self._idle_bytes = 0
            self._parts.append(event.text)
            self._pending_chars += len(event.text)
            if self._pending_chars >= MAX_PENDING_CHARS:
                await self._flush()
        elif event.offset > self.offset:
            raise StreamCut

    async def _flush(self) -> None:
        """Pass on the buffered text in one piece."""
        if not self._parts:
            return
        text = "".join(self._parts)
        self._parts.clear()
        self._pending_chars = 0
        self._digest.update(replies.encode_text(text))
        self.length += len(text)
        await self.on_text(text)

    def _verify_end(self, event: "EndEvent") -> RunEnd:
        """Check the answer against the engine's length and digest."""
        digest = self._digest.hexdigest()
        if event.end.length != self.length:
            raise self._make_error("answer length differs from the engine's")
        if event.digest not in (None, digest):
            raise self._make_error("answer digest differs from the engine's")
        return event.end


def encode_run(run: Run) -> bytes:
    """The body of the request that starts a run."""
    return json.dumps({**attrs.asdict(run), "stream": True}).encode()


def run_path(run: Run) -> str:
    """The path of a run on its engine."""
    return f"/v1/runs/{urllib.parse.quote(run.run_id, safe='')}"


@attrs.frozen
class Token:
    """A piece of text, and its number in the run."""

    offset: int
    text: str


@attrs.frozen
class EndEvent:
    """The engine's end event, and its digest of the text if it gave one."""

    end: RunEnd
    digest: str | None = None


@attrs.define
class LineSplitter:
    """Buffers bytes until a line is complete.

    ``searched`` bytes of ``pending`` hold no end of a line.
    """

    pending: bytearray = attrs.field(factory=bytearray)
    searched: int = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes; return the lines that they complete.

        Raises StreamCut if the next line is too long.
        """
        self.pending += data
        lines = []
        begin = 0
        while (
            end := self.pending.find(b"\n", max(begin, self.searched))
        ) >= 0:
            if end > begin:
                lines.append(bytes(self.pending[begin:end]))
            begin = end + 1
        del self.pending[:begin]
        self.searched = len(self.pending)
        if len(self.pending) > MAX_LINE_BYTES:
            raise StreamCut
        return lines


def parse_event(line: bytes) -> Token | EndEvent | None:
    """Parse a server-sent event whose data are a JSON object.

    None for any other line. Raises StreamCut if the object is malformed.
    """
    if not line.startswith(b"data: {"):
        return None
    try:
        event = json.loads(line[6:])
        if event.get("text") is not None:
            token = {name: event[name] for name in ("offset", "text")}
            return checked_fields.make_checked(Token, token)
        if not event.get("end"):
            return None
        end = RunEnd(
            length=int(event["length"]),
            input_tokens=int(event["input_tokens"]),
            output_tokens=int(event["output_tokens"]),
            confidence=float(event["confidence"]),
        )
        return EndEvent(end, event.get("digest"))
    except MALFORMED as cause:
        raise StreamCut from cause
