"""Which requests run again, after every outcome and on every kind of route."""

import types
import typing
from unittest import mock

import attrs
import hypothesis
from hypothesis import strategies
import trio

from carawayward import clock as clock_module
from carawayward.forwarding import attempt
from carawayward.forwarding import exchange
from carawayward.forwarding import relay_client
from carawayward.forwarding import replies
from carawayward.forwarding import retries
from carawayward.forwarding import sending
from carawayward.forwarding import table
from carawayward.forwarding import work_items
from carawayward import http_client

STREAM = table.RouteKind.STREAM
# Kinds of route, whether resumable, and whether a request may run repeatedly.
ROUTES = (
    (table.RouteKind.IDEMPOTENT, False, True),
    (table.RouteKind.ONCE, False, False),
    (table.RouteKind.ONCE, True, False),
    (STREAM, False, False),
    (STREAM, True, True),
)
OUTCOMES = [
    kind("x", 1) if kind is work_items.Unsure else kind("x")
    for kind in typing.get_args(work_items.Undelivered)
]
EXCEPTIONS = [
    attempt.AttemptFailed("x", sent=True),
    attempt.AttemptFailed("x", sent=False),
    relay_client.EndpointUnreached("x", sent=False),
    relay_client.EndpointUnusable("x"),
    relay_client.NoPeer(),
]
MAX_ATTEMPTS = 4


@attrs.define
class Script:
    """The ends of attempts, and how many peers decline before each.

    ``runs`` counts the times that the request ran.
    """

    ends: list[tuple[typing.Any, int]]
    runs: int = 0

    async def send(self, work, endpoint, mark, reply):
        """Make an attempt that ends as the script says."""
        await trio.lowlevel.checkpoint()
        end, declines = self.ends.pop(0)
        try:
            for _ in range(declines):
                mark.begin_sending()
                mark.sent = False
            if not isinstance(
                end, (work_items.Unreached, relay_client.NoPeer)
            ):
                mark.begin_sending()
        except http_client.TooLate as cause:
            raise attempt.AttemptWithheld() from cause
        if isinstance(end, Exception):
            mark.sent = bool(getattr(end, "sent", False))
            self.runs += mark.sent
            raise end
        self.runs += not isinstance(end, work_items.NOT_RUN_OUTCOMES)
        return end


def make_route(kind, resumable):
    return table.Route(
        name="r",
        host="h",
        path_prefix="/",
        kind=kind,
        targets=(),
        timeout_ms=1_000.0,
        target_ms=100.0,
        max_attempts=MAX_ATTEMPTS,
        resumable=resumable,
        models=("small", "large"),
    )


def make_forwarder(script):
    """A forwarder that has room, budget and endpoints for any attempt."""
    placer = mock.MagicMock()
    placer.predict_ttft.return_value = 0.0
    placer.plain.find_wait_ms.return_value = None
    placer.spend_budget.return_value = True
    placer.fleet.compute_wait_ms.return_value = None
    placer.fleet.notices.is_resting.return_value = False
    sender = mock.MagicMock()
    sender.placer = placer
    sender.relays.is_needed.return_value = False
    sender.make_sent_mark = types.MethodType(
        sending.Sender.make_sent_mark, sender
    )
    sender.send = script.send
    suspects = mock.MagicMock()
    suspects.is_convicted.return_value = False
    suspects.record_broken_run = mock.AsyncMock(return_value=False)
    dialect = mock.MagicMock()
    dialect.internal_headers = frozenset()
    return exchange.Forwarder(
        clock_module.Clock(),
        dialect,
        placer,
        sender,
        lambda: 500.0,
        mock.MagicMock(),
        suspects,
        mock.MagicMock(),
    )


@attrs.define
class FakeReply:
    """Records the status."""

    started: bool = False
    status: int = 0

    def hold(self, count):
        """Ignore what is kept of a response."""
        return True

    def set_drop(self, drop):
        """Never drop it."""

    async def start(self, status, headers):
        self.started, self.status = True, status

    async def send(self, chunk):
        """Ignore the body."""

    async def finish(self):
        """Ignore the end."""


def make_work(route):
    request = replies.CallerRequest(
        method=b"POST", target=b"/", host="h", path="/", headers=[], body=b""
    )
    metadata: typing.Any = mock.MagicMock()
    metadata.session = ""
    return work_items.Work(
        request=request,
        metadata=metadata,
        route=route,
        service="s",
        table=typing.cast(typing.Any, mock.MagicMock()),
        customer="",
        began_ms=0.0,
        deadline_ms=float("inf"),
    )


@hypothesis.settings(max_examples=100, deadline=None)
@hypothesis.given(
    strategies.sampled_from(ROUTES),
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from([*OUTCOMES, *EXCEPTIONS]),
            strategies.integers(0, 2),
        ),
        max_size=8,
    ),
)
def test_request_that_may_not_be_repeated_runs_once_after_any_outcome(
    route, ends
):
    """Guards against a request that runs twice, and against a false 503."""
    kind, resumable, repeatable = route
    script = Script([*ends, (work_items.Delivered(200), 0)])
    reply = FakeReply()
    work = make_work(make_route(kind, resumable))
    forwarder = make_forwarder(script)
    trio.run(forwarder._run_attempts, work, reply)
    if not repeatable:
        assert script.runs <= 1
    assert script.runs <= MAX_ATTEMPTS
    if reply.status == 503:
        assert script.runs == 0
    elif reply.status:
        assert script.runs


@hypothesis.given(
    strategies.sampled_from(ROUTES), strategies.sampled_from(OUTCOMES)
)
def test_no_answer_is_dropped_if_the_request_may_not_run_again(route, end):
    """Guards against an outcome that only makes sense with another run."""
    kind, resumable, repeatable = route
    work = make_work(make_route(kind, resumable))
    work.earlier_may_have_run = not isinstance(
        end, work_items.NOT_RUN_OUTCOMES
    )
    refused = retries.claim_retry(work, end, lambda: True)
    if work.earlier_may_have_run and not repeatable:
        assert refused == "not repeatable"
    assert retries.may_repeat(work.route) is repeatable
