"""Relays an endpoint's response to the caller, or says why it cannot."""

import contextlib
import functools
import math
import typing

import attrs
import trio

from carawayward.forwarding import answer_bodies
from carawayward.forwarding import attempt as attempt_module
from carawayward.forwarding import attempt_timeouts
from carawayward.forwarding import crashing_parts
from carawayward.forwarding import event_stream
from carawayward.forwarding import hops
from carawayward.forwarding import placing
from carawayward.forwarding import replies
from carawayward.forwarding import retries
from carawayward.forwarding import stalls as stalls_module
from carawayward.forwarding import table
from carawayward.forwarding import work_items
from carawayward.gateway import connections
from carawayward import http_client as http

# Statuses that tell callers that a request has not run and will not.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# A stream without an event for this many times the route's gap target is
# resumed from another endpoint.
GAP_TIMEOUT_TARGETS = 2.0
# What of a stream is kept without being accounted for.
MAX_UNCOUNTED_BYTES = 16_384
# What may come of a stream between two events that show progress.
MAX_IDLE_BYTES = event_stream.MAX_EVENT_BYTES
# An event takes as long to parse as so many bytes of a long one, however short
# it is.
EVENT_OVERHEAD_BYTES = 128


@attrs.define(eq=False)
class StreamState:
    """What has been read of a stream; times in s on trio's clock.

    ``progressed_s`` is when the last event that shows progress came.
    ``idle_bytes`` were read since then, with what chunks and other events cost
    besides, the first of them at ``idle_since_s``.
    """

    splitter: event_stream.EventSplitter = attrs.field(
        factory=event_stream.EventSplitter
    )
    idle_bytes: int = 0
    idle_since_s: float = math.inf
    progressed_s: float = attrs.field(factory=trio.current_time)

    def record_progress(self) -> None:
        """Record whether what has been read last shows progress."""
        now_s = trio.current_time()
        if not self.idle_bytes:
            self.progressed_s, self.idle_since_s = now_s, math.inf
        elif self.idle_since_s == math.inf:
            self.idle_since_s = now_s


@attrs.define(eq=False)
class Relay:
    """Relays those responses that the caller may have.

    The caller does not get the ``internal_headers``. ``stalls`` has to run.
    """

    placer: placing.Placer
    parts: crashing_parts.CrashingParts
    internal_headers: frozenset[bytes]
    stalls: stalls_module.StallWatch = attrs.field(
        factory=stalls_module.StallWatch
    )

    def watch_begun(
        self, work: work_items.Work
    ) -> typing.ContextManager[stalls_module.Wait]:
        """Watch the waits for an endpoint of a stream that has begun."""
        return self.stalls.watch(lambda: self.placer.claim_retry(work))

    async def relay_response(
        self,
        work: work_items.Work,
        answer: attempt_module.ResponseReader,
        reply: replies.Reply,
    ) -> work_items.Outcome:
        """Relay a response, or return the reason why it cannot be relayed."""
        head = answer.head
        if head.metadata.declined:
            return work_items.Declined(f"declined with status {head.status}")
        if head.succeeded and not head.metadata.signed:
            return work_items.Failed(
                "success without the endpoint's signature"
            )
        if head.succeeded and work.route.kind is table.RouteKind.STREAM:
            return await self._relay_stream(work, answer, reply)
        if head.status in NOT_RUN_STATUSES:
            # The caller takes these to mean that the request has not run and
            # may be retried. Only a declined response proves that.
            return work_items.Failed(
                f"status {head.status} not marked as declined"
            )
        return await self._relay_plain(work, answer, reply)

    async def _relay_plain(
        self,
        work: work_items.Work,
        answer: attempt_module.ResponseReader,
        reply: replies.Reply,
    ) -> work_items.Outcome:
        """Read a plain response, and relay it if it cannot be kept whole."""
        head = answer.head
        timeout_ms = attempt_timeouts.compute_body_timeout_ms(work.route)
        async with contextlib.aclosing(answer.read_chunks()) as chunks:
            body = answer_bodies.AnswerBody.from_response(
                head, chunks, timeout_ms
            )
            begin = await read_droppable(work, body, reply)
            if begin is None:
                return work_items.Dropped("no room for the response")
            work.progress.status = head.status
            if head.status >= 500 and retries.may_repeat(work.route):
                cause = f"status {head.status}"
                if not body.complete:
                    return work_items.Failed(cause)
                return work_items.Failed(cause, head, begin)
            if reply.started:
                return work_items.Failed(
                    f"status {head.status} on resuming a stream"
                )
            headers = hops.select_response_headers(
                head.headers, self.internal_headers
            )
            if body.complete:
                reply.set_ready(True)
                return work_items.Answered(head.status, headers, begin)
            work.is_partly_sent = True
            answer.limit_unread()
            reply.expect_unread(connections.UNREAD_BYTES)
            await reply.start(head.status, headers)
            await reply.send(begin)
            async for chunk in body.read_rest():
                await reply.send(chunk)
            await reply.finish()
            return work_items.Delivered(head.status)

    async def _relay_stream(
        self,
        work: work_items.Work,
        answer: attempt_module.ResponseReader,
        reply: replies.Reply,
    ) -> work_items.Outcome:
        """Relay complete events as they arrive."""
        work.confidence = answer.head.metadata.confidence
        self.placer.observe_ttft(work)
        larger_model = (
            None if reply.started else self.placer.find_larger_model(work)
        )
        if larger_model is not None:
            work.progress.status = answer.head.status
            return work_items.Unsure(
                f"confidence {work.confidence}", larger_model
            )
        reply.set_drop(None)
        stream = StreamState()
        answer.limit_unread()
        reply.expect_unread(connections.UNREAD_BYTES)
        failure = await self._relay_chunks(work, answer, stream, reply)
        if failure is not None:
            return failure
        rest = stream.splitter.take_rest()
        if rest is None or not reply.started:
            return work_items.Failed("stream truncated")
        if rest:
            await reply.send(rest)
        work.progress.status = answer.head.status
        await reply.finish()
        return work_items.Delivered(answer.head.status)

    async def _relay_chunks(
        self,
        work: work_items.Work,
        answer: attempt_module.ResponseReader,
        stream: StreamState,
        reply: replies.Reply,
    ) -> work_items.Failed | None:
        """Relay the events of all chunks; return why it cannot.

        A silent endpoint is given up only for another run, but one that goes
        on without events shows that it will not answer.
        """
        gap_ms = work.route.gap_target_ms
        timeout_s = GAP_TIMEOUT_TARGETS * gap_ms / 1000 if gap_ms else math.inf
        async with contextlib.aclosing(answer.read_chunks()) as chunks:
            with self.watch_begun(work) as wait:
                while True:
                    wait.due_s = stream.progressed_s + timeout_s
                    chunk = await anext(chunks, b"")
                    wait.due_s = math.inf
                    if not chunk:
                        return None
                    if wait.scope.cancel_called:
                        # It was not in time, though it arrived after all.
                        break
                    failure = await self._relay_chunk(
                        work, answer, stream, chunk, reply
                    )
                    if failure is not None:
                        return failure
                    stream.record_progress()
                    if trio.current_time() > stream.idle_since_s + timeout_s:
                        return work_items.Failed(
                            "stream without events", timed_out=True
                        )
        return work_items.Failed("stream idle timeout", timed_out=True)

    async def _relay_chunk(
        self,
        work: work_items.Work,
        answer: attempt_module.ResponseReader,
        stream: StreamState,
        chunk: bytes,
        reply: replies.Reply,
    ) -> work_items.Failed | None:
        """Relay the events that a chunk completes; return why it cannot."""
        stream.idle_bytes += len(chunk) + http.CHUNK_OVERHEAD_BYTES
        complete: list[bytes] = []
        failure = None
        progressed = False
        try:
            for event in stream.splitter.feed(chunk):
                failure = record_event(work, event)
                if failure is not None:
                    break
                complete.append(event.raw)
                progressed = progressed or is_progress(work.route, event)
        except event_stream.MalformedStream as fault:
            failure = work_items.Failed(str(fault))
        stream.idle_bytes += len(complete) * EVENT_OVERHEAD_BYTES
        if progressed:
            stream.idle_bytes = 0
        self._hold_stream(stream, complete, reply)
        if complete:
            # A single event is not copied.
            await self._relay_events(work, answer, b"".join(complete), reply)
        if failure is None and stream.idle_bytes > MAX_IDLE_BYTES:
            failure = work_items.Failed("stream without events")
        return failure

    def _hold_stream(
        self, stream: StreamState, complete: list[bytes], reply: replies.Reply
    ) -> None:
        """Account for what is kept; raise ReplyLost if there is no room."""
        count = len(stream.splitter.pending) + sum(map(len, complete))
        if count <= MAX_UNCOUNTED_BYTES:
            count = 0
        if not reply.hold(count):
            reply.give_up()

    async def _relay_events(
        self,
        work: work_items.Work,
        response: attempt_module.ResponseReader,
        events: bytes,
        reply: replies.Reply,
    ) -> None:
        """Relay complete events."""
        if not reply.started:
            await reply.start(
                response.head.status,
                hops.select_response_headers(
                    response.head.headers, self.internal_headers
                ),
            )
        await reply.send(events)
        answer = work.progress.answer
        assert answer is not None
        answer.record_event(self.placer.clock.now_ms())
        if answer.duration_ms >= crashing_parts.ANSWER_SOUND_MS:
            self.parts.record_answer(work)


async def read_droppable(
    work: work_items.Work,
    body: answer_bodies.AnswerBody,
    reply: replies.Reply,
) -> bytes | None:
    """Read ahead; None if what was read is dropped to make room for others.

    The response of an earlier attempt is kept besides. Once a part of the
    reply has been sent, only the end of its connection shows that it is
    truncated.
    """
    held = work.count_kept_bytes()
    with trio.CancelScope() as reading:
        if not reply.started:
            reply.set_drop(reading.cancel)
        try:
            begin = await body.read_ahead(lambda n: reply.hold(held + n))
        except attempt_module.AttemptFailed:
            # The caller is told only after the endpoint has been checked.
            reply.hold(held)
            raise
        finally:
            make_failure_droppable(work, reply)
    if reading.cancel_called:
        # It may have been read whole meanwhile.
        reply.hold(0)
        return None
    return begin


def make_failure_droppable(
    work: work_items.Work, reply: replies.Reply
) -> None:
    """Let the response of an earlier attempt be dropped to make room."""
    forget = functools.partial(setattr, work, "failure", None)
    reply.set_drop(None if reply.started else forget)


def record_event(
    work: work_items.Work, event: event_stream.ServerEvent
) -> work_items.Failed | None:
    """Record an event's id; fail if it does not follow the last one."""
    if event.number is not None:
        last = work.last_event
        if last is not None and event.number != last + 1:
            return work_items.Failed(f"event {event.number} after {last}")
        work.last_event = event.number
    return None


def is_progress(route: table.Route, event: event_stream.ServerEvent) -> bool:
    """Whether an event shows that its stream goes on.

    Bytes alone, empty lines and comments do not, nor does what a resumed
    stream would not be continued after.
    """
    if event.number is not None:
        return True
    return event.has_data and not route.resumable
