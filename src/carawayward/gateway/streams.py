"""One run on one engine, followed to its end mark.

A run outlives the connection that it is read from: when a connection breaks
or goes silent, the same run is read on from its offset over a new one. Only
a run that the engine no longer has is lost.
"""

import hashlib
import json
import typing
import urllib.parse

import attrs
import httpcore
import trio

from carawayward import blackboard
from carawayward import errors
from carawayward import events
from carawayward.gateway import connections
from carawayward.gateway import replies
from carawayward import http_client as http

# What may wait between the engine and the caller of one stream. A caller
# that reads slowly fills this, then its engine connection, then the engine
# stops: memory does not grow with the length of the answer.
MAX_PENDING = 32_768
WATCH_INTERVAL_S = 0.1
DRAIN_S = 0.02
MAX_LINE_BYTES = 1_000_000
MAX_RESUMES = 20
CONNECT_S = 2.0

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
    """An engine's closing report of a run."""

    length: int
    input_tokens: int
    output_tokens: int
    confidence: float


@attrs.frozen(kw_only=True)
class SilenceLimits:
    """How long a run may be silent, in milliseconds.

    ``link_ms`` without a byte casts doubt on the connection: the run is
    looked for over a new one. ``engine_ms`` without a token, over however
    many connections, ends the attempt.
    """

    connection_ms: float
    engine_ms: float


class RunGone(Exception):
    """The engine does not have the run."""


class StreamCut(Exception):
    """A stream ended before the run's end mark."""


@attrs.define(eq=False)
class SilenceWatch:
    """Ends the waits of all runs whose connection has gone silent."""

    silence_limits: SilenceLimits
    readings: set[connections.Reading] = attrs.field(factory=set)

    async def run(self) -> None:
        """Look at all waiting runs, again and again."""
        link_s = self.silence_limits.connection_ms / 1000
        while True:
            oldest = trio.current_time() - link_s
            for reading in self.readings:
                since = reading.waiting_since
                if since is not None and since < oldest:
                    reading.scope.cancel()
            await trio.sleep(WATCH_INTERVAL_S)


@attrs.define(eq=False)
class RunReader:
    """Reads one run; ``offset`` counts the tokens that have arrived.

    ``sent`` says whether the engine may have seen the run.
    """

    endpoint: blackboard.Endpoint
    run: Run
    pools: connections.EndpointPools
    watch: SilenceWatch
    on_text: OnText
    offset: int = 0
    length: int = 0
    sent: bool = False
    starts: int = 0
    heard: float = 0.0
    end: RunEnd | None = None
    _parts: list[str] = attrs.field(factory=list)
    _pending: int = 0
    _digest: typing.Any = attrs.field(factory=hashlib.sha256)

    async def follow(self) -> RunEnd:
        """Read the run to its end mark, over new connections if need be.

        Raises EndpointError when the engine does not have the run or has
        been silent for too long.
        """
        self.heard = trio.current_time()
        resume = False
        for _ in range(MAX_RESUMES):
            before = self.offset
            try:
                return await self._read_once(resume)
            except RunGone:
                # It never arrived: the request went out on a connection
                # that had gone silent while idle. It starts once more, on
                # a new connection and under the same run id.
                if self.offset or self.starts > 1:
                    raise self._fail("it lost the run") from None
                resume = False
                continue
            except http.CALL_FAILURES as cause:
                await self._doubt_link(cause, resume, before)
            except StreamCut:
                if resume and self.offset == before:
                    break
            if self.offset > before:
                self.heard = trio.current_time()
            self._record_resume()
            resume = True
        raise self._fail("the stream ended before its end mark")

    async def _doubt_link(
        self, cause: Exception, resume: bool, before: int
    ) -> None:
        """Decide whether to look for the run over a new connection."""
        silent = isinstance(cause, httpcore.TimeoutException)
        name = type(cause).__name__
        unreachable = isinstance(
            cause, (httpcore.ConnectError, httpcore.ConnectTimeout)
        )
        if not self.sent or unreachable:
            raise self._fail(name, silent) from cause
        if not silent and resume and self.offset == before:
            raise self._fail(name) from cause
        if silent:
            await self.pools.drop_idle(self.endpoint.address)
            quiet_ms = (trio.current_time() - self.heard) * 1000
            if (
                self.offset == before
                and quiet_ms >= self.watch.silence_limits.engine_ms
            ):
                raise self._fail(name, silent) from cause

    def _record_resume(self) -> None:
        events.log_event(
            events.Event.RUN_RESUMED,
            endpoint=self.endpoint.name,
            offset=self.offset,
        )

    def _fail(self, detail: str, silent: bool = False) -> errors.EndpointError:
        return errors.EndpointError(
            self.endpoint.name, detail, sent=self.sent, silent=silent
        )

    async def _read_once(self, resume: bool) -> RunEnd:
        """Read over one connection.

        The first start may use an idle connection; all later ones are made
        anew, since the idle ones are in doubt.
        """
        if self.starts == 0:
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
            self.starts += 1
            path, content = "/v1/runs", encode_run(self.run)
        link_s = self.watch.silence_limits.connection_ms / 1000
        timeouts = {"connect": CONNECT_S, "read": link_s, "write": link_s}
        try:
            async with pool.stream(
                "GET" if resume else "POST",
                f"http://{self.endpoint.address}{path}",
                headers={"Content-Type": "application/json"},
                content=content,
                extensions={
                    "trace": mark.trace,
                    "timeout": {**timeouts, "pool": CONNECT_S},
                },
            ) as response:
                if response.status != 200:
                    await response.aread()
                    self._judge_status(response.status, resume)
                return await self._read_body(response)
        finally:
            self.sent = self.sent or mark.sent

    def _judge_status(self, status: int, resume: bool) -> None:
        if resume and status == 404:
            raise RunGone
        # An engine that answers 503 to a start has not begun it.
        sent = resume or self.starts > 1 or status != 503
        raise errors.EndpointError(
            self.endpoint.name, f"status {status}", sent=sent, status=status
        )

    async def _read_body(self, response: httpcore.Response) -> RunEnd:
        """Read one response to the run's end mark.

        Text that has arrived and was not handed on when the connection
        fails stays, and goes out with what a later connection brings.
        """
        stream = response.extensions["network_stream"]
        with trio.CancelScope() as scope:
            reading = connections.Reading(self._flush, scope)
            stream.reading = reading
            self.watch.readings.add(reading)
            try:
                await self._relay(response, scope)
            finally:
                stream.reading = None
                self.watch.readings.discard(reading)
        if self.end is None:
            raise httpcore.ReadTimeout()
        return self.end

    async def _relay(
        self, response: httpcore.Response, scope: trio.CancelScope
    ) -> None:
        async for event in read_events(response):
            text = event.get("text")
            if text is None:
                if event.get("end"):
                    await self._flush()
                    self.end = self._close(event)
                    # The rest of the body keeps the connection in use for
                    # the next run; an engine that is slow to end it is not
                    # waited for.
                    scope.deadline = trio.current_time() + DRAIN_S
            elif event["offset"] == self.offset:
                self.offset += 1
                self._parts.append(text)
                self._pending += len(text)
                if self._pending >= MAX_PENDING:
                    await self._flush()
            elif event["offset"] > self.offset:
                raise StreamCut
        if self.end is None:
            raise StreamCut

    async def _flush(self) -> None:
        """Hand on what has arrived, in one piece."""
        if not self._parts:
            return
        text = "".join(self._parts)
        self._parts.clear()
        self._pending = 0
        self._digest.update(replies.encode_text(text))
        self.length += len(text)
        await self.on_text(text)

    def _close(self, event: dict) -> RunEnd:
        """Check the whole answer against the engine's own count."""
        digest = event.get("digest", self._digest.hexdigest())
        if event["length"] != self.length:
            raise self._fail("the answer has not the length it should")
        if digest != self._digest.hexdigest():
            raise self._fail("the answer has not the digest it should")
        return RunEnd(
            length=event["length"],
            input_tokens=event["input_tokens"],
            output_tokens=event["output_tokens"],
            confidence=event["confidence"],
        )


def encode_run(run: Run) -> bytes:
    """The body of a request to start a run."""
    return json.dumps({**attrs.asdict(run), "stream": True}).encode()


def run_path(run: Run) -> str:
    """Where an engine has a run."""
    return f"/v1/runs/{urllib.parse.quote(run.run_id, safe='')}"


async def read_events(
    response: httpcore.Response,
) -> typing.AsyncIterator[dict]:
    """Parse server-sent events whose data are JSON objects.

    Raises StreamCut for bytes that are no such stream.
    """
    rest = b""
    assert isinstance(response.stream, typing.AsyncIterable)
    async for chunk in response.stream:
        *lines, rest = (rest + chunk).split(b"\n")
        if len(rest) > MAX_LINE_BYTES:
            raise StreamCut
        for line in lines:
            if line.startswith(b"data: {"):
                try:
                    yield json.loads(line[6:])
                except ValueError:
                    raise StreamCut from None
