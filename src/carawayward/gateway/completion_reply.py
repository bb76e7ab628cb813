"""Sends a completion to its caller, and notices when the caller leaves.

A run is work on an accelerator. When its caller has gone, streamed or not,
the run is cancelled at the engine instead of running to an end that nobody
reads.
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

Note = typing.Callable[[str, str, outcomes.Outcome], None]


@attrs.define(eq=False)
class CompletionReply(responses.Response):
    """A completion that runs while it is sent.

    Status and headers of a stream wait for the first piece of text, so that
    a refusal still gets its own status.
    """

    lifecycle: lifecycle_module.Lifecycle
    note: Note
    customer: declaration.Customer
    completion: requests.Completion
    pins: dict[str, str]
    started: bool = False
    outcome: outcomes.Outcome | None = None

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Run the completion and send it as it comes."""
        fault: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_caller, receive, nursery)
            try:
                await self._run(scope, receive, send)
            except Exception as caught:
                # Raised here it would come out wrapped in a group, which
                # the handlers of typed errors do not know.
                fault = caught
            finally:
                self._record_outcome()
            nursery.cancel_scope.cancel()
        if fault is not None:
            raise fault

    def _record_outcome(self) -> None:
        outcome = self.outcome or outcomes.Unknown(
            outcomes.Reason.CALLER_LEFT,
            "the caller left while it ran; it may be sent again",
        )
        key = self.completion.request_key
        self.note(self.customer.name, key, outcome)

    async def _watch_caller(
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
            await self._begin(send)
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
                end = replies.encode_broken(key, outcome)
                await _send_body(send, end, False)
            else:
                failure = replies.make_failure(outcome, key)
                await failure(scope, receive, send)
        elif self.completion.stream:
            await self._begin(send)
            await _send_body(send, replies.encode_end(key, outcome), False)
        else:
            whole = replies.make_completion(outcome, key)
            await whole(scope, receive, send)

    async def _begin(self, send: types.Send) -> None:
        if self.started:
            return
        self.started = True
        key = self.completion.request_key.encode()
        headers = [*replies.SSE_HEADERS, (b"carawayward-request", key)]
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )


async def _discard(text: str) -> None:
    """The whole answer is sent from the outcome."""


async def _send_body(send: types.Send, body: bytes, more: bool) -> None:
    await send({"type": "http.response.body", "body": body, "more_body": more})
