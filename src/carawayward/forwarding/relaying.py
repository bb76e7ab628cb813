"""Passes an endpoint's answer on to the caller, as far as it can be used."""

import contextlib

import attrs
import trio

from carawayward.forwarding import attempt as attempt_module
from carawayward.forwarding import event_stream
from carawayward.forwarding import hops
from carawayward.forwarding import placing
from carawayward.forwarding import replies
from carawayward.forwarding import table
from carawayward.forwarding import work_items

# Plain answers are passed on once they are whole, so that one that breaks
# off can be asked for again; this bounds the memory of one.
MOST_BODY_BYTES = 4_194_304
# Statuses by which callers are told that a request has not run and will not.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# A stream that pauses for so many of the longest pauses that still count as
# in time is read on from another endpoint.
GAP_TARGETS = 2.0


@attrs.define(eq=False)
class Relay:
    """Judges answers and passes on those that are the caller's."""

    placer: placing.Placer

    async def pass_on(
        self,
        work: work_items.Work,
        answer: attempt_module.Attempt,
        reply: replies.Reply,
    ) -> work_items.Outcome:
        """Pass an answer on, or say why it cannot be."""
        head = answer.head
        if head.metadata.declined:
            return work_items.Declined(f"declined with {head.status}")
        if head.succeeded and not head.metadata.signed:
            return work_items.Failed("answer without its signature")
        if head.succeeded and work.route.kind is table.RouteKind.STREAM:
            return await self._relay_events(work, answer, reply)
        if head.status in NOT_RUN_STATUSES:
            # The caller reads these as "not run, come back", which only the
            # endpoint's word could prove.
            return work_items.Failed(f"status {head.status} without proof")
        body = await answer.read_body(MOST_BODY_BYTES)
        work.progress.status = head.status
        if head.status >= 500 and work.route.repeatable:
            return work_items.Failed(f"status {head.status}", head, body)
        if reply.begun:
            return work_items.Failed(f"status {head.status} amid a stream")
        await replies.send_response(
            reply, head.status, hops.keep_headers(head.headers), body
        )
        return work_items.Delivered(head.status)

    async def _relay_events(
        self,
        work: work_items.Work,
        answer: attempt_module.Attempt,
        reply: replies.Reply,
    ) -> work_items.Outcome:
        """Pass whole events on as they come."""
        work.confidence = answer.head.metadata.confidence
        self.placer.observe_ttft(work)
        larger = None if reply.begun else self.placer.find_larger(work)
        if larger is not None:
            work.progress.status = answer.head.status
            return work_items.Unsure(f"confidence {work.confidence}", larger)
        splitter = event_stream.EventSplitter()
        gap_ms = work.route.gap_target_ms
        gap_s = GAP_TARGETS * gap_ms / 1000 if gap_ms else float("inf")
        async with contextlib.aclosing(answer.read_pieces()) as pieces:
            while True:
                piece = b""
                with trio.move_on_after(gap_s) as pause:
                    piece = await anext(pieces, b"")
                if pause.cancelled_caught:
                    return work_items.Failed("stream went silent")
                if not piece:
                    break
                try:
                    found = splitter.feed(piece)
                except event_stream.MalformedStream as fault:
                    return work_items.Failed(str(fault))
                for event in found:
                    broken = await self._relay(work, answer, event, reply)
                    if broken is not None:
                        return broken
        if splitter.pending or not reply.begun:
            return work_items.Failed("stream broke off")
        work.progress.status = answer.head.status
        await reply.finish()
        return work_items.Delivered(answer.head.status)

    async def _relay(
        self,
        work: work_items.Work,
        answer: attempt_module.Attempt,
        event: event_stream.ServerEvent,
        reply: replies.Reply,
    ) -> work_items.Failed | None:
        """Pass one event on, unless it does not follow the last one."""
        if event.number is not None:
            last = work.last_event
            if last is not None and event.number != last + 1:
                return work_items.Failed(f"event {event.number} after {last}")
            work.last_event = event.number
        if not reply.begun:
            await reply.begin(
                answer.head.status, hops.keep_headers(answer.head.headers)
            )
        await reply.send(event.raw)
        return None
