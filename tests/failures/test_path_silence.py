"""Connections that go silent for good are detected everywhere."""

import socket
import typing

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import trio

from carawayward import blackboard
from carawayward import errors
from carawayward.gateway import endpoints
from carawayward.gateway import streams
from carawayward import http_client as http
from carawayward import http_server
from carawayward import listening
from carawayward.services import log as log_module
from carawayward import settings
from tests.common import deployment
from tests.common import loopback
from tests.common import peering
from tests.common import streaming

SILENCE_LIMITS = streams.SilenceLimits(connection_ms=300, engine_ms=2_000)


class Service:
    """Answers every request and counts the requests."""

    def __init__(self) -> None:
        self.calls = 0

    async def answer(self, request: requests.Request) -> responses.Response:
        """Answer after 20 ms; never answer on the topic ``mute``."""
        self.calls += 1
        if request.url.path == "/streams/mute/records":
            await trio.sleep_forever()
        await trio.sleep(0.02)
        return responses.JSONResponse({"calls": self.calls})


def run_over_wire(
    scenario: typing.Callable[
        [Service, peering.TcpProxy], typing.Awaitable[None]
    ],
) -> None:
    """Run a scenario against a service behind a proxy that can go silent."""

    async def run() -> None:
        service = Service()
        port, wire_port = loopback.find_free_ports(2)
        app = applications.Starlette(
            routes=[
                routing.Route(
                    "/{path:path}", service.answer, methods=["GET", "POST"]
                )
            ]
        )
        config = listening.make_config(
            f"127.0.0.1:{port}", settings.Limits(), None, 100
        )
        wire = peering.TcpProxy(port, wire_port)
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    http_server.serve, app, config, trio.Event()
                )
                nursery.start_soon(wire.run)
                address = f"127.0.0.1:{port}"
                await trio.to_thread.run_sync(
                    loopback.wait_until_listening, address
                )
                await scenario(service, wire)
                nursery.cancel_scope.cancel()

    trio.run(run)


def check_call_after_silence(operation: str, repeatable: bool) -> None:
    """Check that a call arrives although the idle connection is silent."""

    async def scenario(service: Service, wire: peering.TcpProxy) -> None:
        client = endpoints.EndpointClient(SILENCE_LIMITS, 10_000)
        service_endpoint = blackboard.Endpoint(
            name="desk",
            pool="desk",
            failure_domain="ikeja",
            address=f"127.0.0.1:{wire.port}",
        )
        await client.call_service(service_endpoint, "look-up", {}, True)
        wire.stall()
        with trio.fail_after(5):
            await client.call_service(
                service_endpoint, operation, {}, repeatable
            )
        assert service.calls == 2
        await client.close()

    run_over_wire(scenario)


def test_repeatable_call_does_not_wait_out_a_silent_idle_connection():
    """A repeatable call is sent again soon if its connection is dead.

    The call goes out on an idle connection that has gone silent, so the
    service never receives it. Waiting for the whole service timeout of 10 s
    would end in an unknown outcome although the service is healthy.
    """
    check_call_after_silence("look-up", repeatable=True)


def test_call_that_may_not_be_repeated_uses_no_idle_connection():
    """A call that may run only once is sent over a new connection.

    All idle connections to the service have gone silent. Such a call can't
    be sent again, so on a dead connection its outcome would be unknown
    although the service is healthy.
    """
    check_call_after_silence("log-swap", repeatable=False)


def test_platform_client_opens_new_connections_after_one_went_silent():
    """One failed call is enough to discard all dead connections.

    Four idle connections have gone silent together. If each failed call
    discarded only its own connection, the next would pick another dead one
    and the platform would appear down although it is back.
    """

    async def scenario(service: Service, wire: peering.TcpProxy) -> None:
        client = http.PlatformClient("log", f"http://127.0.0.1:{wire.port}")
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(client.call, "GET", "/")
        wire.stall()
        failures = 0
        for _ in range(2):
            try:
                await client.call("GET", "/", timeout_ms=500)
            except errors.PlatformUnavailable:
                failures += 1
        assert failures == 1
        await client.close()

    run_over_wire(scenario)


def test_long_poll_on_a_silent_connection_raises_platform_unavailable():
    """A long poll on a dead connection must fail within a bounded time.

    A poll that waits for news looks the same as one whose connection is
    dead. If it hung for good, an entry VM would get no new configurations
    and keep running a version that has been withdrawn.
    """

    async def scenario(service: Service, wire: peering.TcpProxy) -> None:
        log = log_module.LogClient.from_config(f"http://127.0.0.1:{wire.port}")
        with trio.fail_after(20):
            try:
                await log.read("mute", 1, wait_ms=100)
            except errors.PlatformUnavailable:
                return
        raise AssertionError("answered")

    run_over_wire(scenario)


def test_caller_that_reads_nothing_frees_the_engine_in_bounded_time():
    """A caller that stops reading must not occupy an engine for good.

    The caller's connection stays open but accepts no data, as with a phone
    that has left the network. The sender gets no error, and without a time
    limit its write would wait forever.
    """
    limits = {"caller_silence_ms": 1_500}
    plan = streaming.make_plan(limits=limits)
    with deployment.Deployment(plan) as running:
        for name in running.pools["matchers"]:
            running.set_faults(name, token_ms=0)
        address = running.entry_vms[0].callers
        text = "unread tokens=400000"
        with streaming.open_stream(address, text) as response:
            pieces = response.iter_stream()
            next(pieces)
            assert streaming.wait_for(
                lambda: streaming.count_states(running, "cancelled") == 1,
                40.0,
            )
            assert next(pieces)


def test_listeners_use_keepalive_probes_for_silent_callers():
    """Connections of callers that vanished must be closed.

    The caller disappears without closing its connection while it waits for
    an answer. Nothing is being sent, so only keep-alive probes can detect
    it; without them dead connections accumulate until none are available.
    """
    (port,) = loopback.find_free_ports(1)
    config = listening.make_config(
        f"127.0.0.1:{port}", settings.Limits(), None, 100
    )
    (listener,) = config.create_sockets().insecure_sockets
    with listener:
        listener.listen()
        with socket.create_connection(("127.0.0.1", port)):
            accepted, _ = listener.accept()
            with accepted:
                tcp = socket.IPPROTO_TCP
                idle_s = accepted.getsockopt(tcp, socket.TCP_KEEPIDLE)
                gap_s = accepted.getsockopt(tcp, socket.TCP_KEEPINTVL)
                count = accepted.getsockopt(tcp, socket.TCP_KEEPCNT)
                assert idle_s + gap_s * count <= 20
                assert accepted.getsockopt(
                    socket.SOL_SOCKET, socket.SO_KEEPALIVE
                )
