"""Sends a completion to its caller and cancels it on disconnect.

A run occupies an accelerator. When its caller has disconnected, whether the
answer is streamed or not, the run is cancelled at the engine instead of
producing an answer that nobody reads.
"""

import typing

import attrs
from starlette import responses
from starlette import types
import trio

from carawayward import declaration
from carawayward.gateway import lifecycle as lifecycle_module
from carawayward.gateway import replies
from carawayward.gateway import requests
from carawayward import outcomes

RecordOutcome = typing.Callable[[str, str, outcomes.Outcome], None]


@attrs.define(eq=False)
class CompletionReply(responses.Response):
    """A response that runs the completion while it is being sent.

    The status and headers of a stream are sent with the first chunk of text,
    so that a refusal before that still gets its own status.
    """

    lifecycle: lifecycle_module.Lifecycle
    record_outcome: RecordOutcome
    customer: declaration.Customer
    completion: requests.Completion
    pins: dict[str, str]
    started: bool = False
    outcome: outcomes.Outcome | None = None

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Run the completion and send its text as it is produced."""
        fault: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_disconnect, receive, nursery)
            try:
                await self._run(scope, receive, send)
            except Exception as caught:
                # The nursery would wrap it in an exception group, which the
                # application's exception handlers do not match.
                fault = caught
            finally:
                self._report_outcome()
            nursery.cancel_scope.cancel()
        if fault is not None:
            raise fault

    def _report_outcome(self) -> None:
        outcome = self.outcome or outcomes.Unknown(
            outcomes.Reason.CALLER_LEFT,
            "the caller left while it ran; it may be sent again",
        )
        key = self.completion.request_key
        self.record_outcome(self.customer.name, key, outcome)

    async def _cancel_on_disconnect(
        self, receive: types.Receive, nursery: trio.Nursery
    ) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        nursery.cancel_scope.cancel()

    async def _run(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        key = self.completion.request_key

        encode = replies.make_chunk_encoder(key)

        async def write(text: str) -> None:
            await self._start_response(send)
            await _send_body(send, encode(text), True)

        outcome = await self.lifecycle.complete(
            self.customer,
            self.completion,
            self.pins,
            write if self.completion.stream else _discard,
        )
        self.outcome = outcome
        if not isinstance(outcome, outcomes.Answered):
            if self.started:
                end = replies.encode_failure(key, outcome)
                await _send_body(send, end, False)
            else:
                failure = replies.make_failure(outcome, key)
                await failure(scope, receive, send)
        elif self.completion.stream:
            await self._start_response(send)
            await _send_body(send, replies.encode_end(key, outcome), False)
        else:
            reply = replies.make_completion(outcome, key)
            await reply(scope, receive, send)

    async def _start_response(self, send: types.Send) -> None:
        if self.started:
            return
        self.started = True
        key = self.completion.request_key.encode()
        headers = [*replies.SSE_HEADERS, (b"carawayward-request", key)]
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )


async def _discard(text: str) -> None:
    """Ignore a chunk; the whole answer is sent from the outcome."""


async def _send_body(send: types.Send, body: bytes, more: bool) -> None:
    await send({"type": "http.response.body", "body": body, "more_body": more})
