"""Bodies and answers at the callers' API without room."""

import json

from nose2.tools import params
import trio

from carawayward import blackboard
from carawayward import buffers
from carawayward import caller_links
from carawayward import errors
from carawayward.gateway import app as app_module
from carawayward.gateway import endpoints
from carawayward.gateway import requests
from carawayward.gateway import streams
from carawayward import http_client as http
from tests.common import asgi
from tests.standins import raw_http

TEXT = b'{"text": "' + b"x" * buffers.SMALL_BYTES + b'"}'
PATH = "/v1/services/swap-desk/look-up-parcel"


@params(((), 429, True), (((b"carawayward-ticket", b"t"),), 504, False))
def test_body_without_room_is_refused_truthfully(headers, status, not_run):
    """Guards against a process that is killed for its memory.

    A call that may be a retry is not said to have never run.
    """
    account = buffers.BufferAccount(requests.COPIES * len(TEXT) - 1)
    link = caller_links.CallerLink(buffers.BufferShare(account))
    app = asgi.make_daemon().api.build()
    reply = asgi.call(
        app,
        "POST",
        PATH,
        (asgi.AUTH, asgi.JSON, *headers),
        (TEXT[:100], TEXT[100:]),
        state={caller_links.LINK: link},
    )
    assert reply.status == status
    assert reply.json()["not_run"] == not_run
    assert account.held_bytes == 0


def call_service(room):
    """Call a service with a long answer; return what was read, or why not."""
    held = []

    def hold(count):
        held.append(count)
        return count <= room

    async def answer(exchange):
        await exchange.answer(200, {}, TEXT)

    async def main():
        async with trio.open_nursery() as nursery:
            port = await nursery.start(raw_http.serve, answer)
            client = endpoints.EndpointClient(
                streams.SilenceLimits(connection_ms=5_000, engine_ms=5_000),
                5_000.0,
            )
            endpoint = blackboard.Endpoint(
                name="desk",
                address=f"127.0.0.1:{port}",
                pool="swap-desk",
                failure_domain="ikeja",
            )
            try:
                return await client.call_service(
                    endpoint, "look-up", {}, repeatable=True, hold=hold
                )
            except errors.EndpointError as fault:
                return fault
            finally:
                await client.close()
                nursery.cancel_scope.cancel()

    return trio.run(main), held


def test_answer_of_a_service_without_room_is_given_up():
    """Guards against answers that are read whatever they take."""
    body, held = call_service(len(TEXT))
    assert body == json.loads(TEXT)
    assert held == sorted(held) and held[-1] == len(TEXT)
    fault, held = call_service(len(TEXT) // 2)
    assert fault.sent and isinstance(fault.__cause__, http.NoRoom)
    assert held[-1] < len(TEXT)


def test_answer_is_read_after_its_caller_has_left():
    """Guards against an outcome that nobody can look up."""
    account = buffers.BufferAccount(0, read_clock=lambda: 0.0)
    share = buffers.BufferShare(account)
    assert not app_module.hold_answer(share, len(TEXT))
    share.end()
    assert app_module.hold_answer(share, len(TEXT))
    assert account.held_bytes == 0
