"""Bodies at the callers' API for which there is no room."""

from nose2.tools import params

from carawayward import buffers
from carawayward import caller_links
from carawayward.gateway import requests
from tests.common import asgi

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
