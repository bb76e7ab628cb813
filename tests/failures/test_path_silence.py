"""Connections that go silent for good are noticed on every kind of link."""

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
    """Answers whatever it is asked, and counts it."""

    def __init__(self) -> None:
        self.calls = 0

    async def answer(self, request: requests.Request) -> responses.Response:
        """Answer after a moment."""
        self.calls += 1
        if request.url.path == "/streams/mute/records":
            await trio.sleep_forever()
        await trio.sleep(0.02)
        return responses.JSONResponse({"calls": self.calls})


def run_behind_wire(
    scenario: typing.Callable[[Service, peering.Wire], typing.Awaitable[None]],
) -> None:
    """Run a scenario against a service that is reached over a wire."""

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
        wire = peering.Wire(port, wire_port)
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


def check_second_call(operation: str, repeatable: bool) -> None:
    """A second call reaches the desk though its connection went silent."""

    async def scenario(service: Service, wire: peering.Wire) -> None:
        client = endpoints.EndpointClient(SILENCE_LIMITS, 10_000)
        desk = blackboard.Endpoint(
            name="desk",
            pool="desk",
            failure_domain="ikeja",
            address=f"127.0.0.1:{wire.port}",
        )
        await client.call_service(desk, "look-up", {}, True)
        wire.silence()
        with trio.fail_after(5):
            await client.call_service(desk, operation, {}, repeatable)
        assert service.calls == 2
        await client.close()

    run_behind_wire(scenario)


def test_repeatable_call_does_not_wait_out_a_silent_idle_connection():
    """A parcel look-up takes ten seconds, then says it does not know.

    It goes out on an idle connection that has gone silent; the desk never
    sees it. Cause: the connection is dead, the desk is not, and the call
    may be sent again.
    """
    check_second_call("look-up", repeatable=True)


def test_call_that_may_not_be_repeated_uses_no_idle_connection():
    """A swap log is answered "unknown" though the desk is well.

    All idle connections to the desk have gone silent. Cause: what may run
    once only can't be sent again, so it must not go out on a connection
    that may be dead.
    """
    check_second_call("log-swap", repeatable=False)


def test_platform_client_makes_new_connections_after_one_went_silent():
    """The platform is back, and an entry VM goes on calling it down.

    Four idle connections have gone silent together. Cause: each call that
    fails frees itself of one dead connection only to pick the next.
    """

    async def scenario(service: Service, wire: peering.Wire) -> None:
        client = http.PlatformClient("log", f"http://127.0.0.1:{wire.port}")
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(client.call, "GET", "/")
        wire.silence()
        failures = 0
        for _ in range(2):
            try:
                await client.call("GET", "/", timeout_ms=500)
            except errors.PlatformUnavailable:
                failures += 1
        assert failures == 1
        await client.close()

    run_behind_wire(scenario)


def test_long_poll_that_never_returns_ends_in_a_typed_error():
    """A withdrawn version goes on running at one entry VM all day.

    Its long poll for configurations hangs in a silent connection. Cause: a
    poll that waits for something to happen looks like one that is dead.
    """

    async def scenario(service: Service, wire: peering.Wire) -> None:
        log = log_module.LogClient.from_config(f"http://127.0.0.1:{wire.port}")
        with trio.fail_after(20):
            try:
                await log.read("mute", 1, wait_ms=100)
            except errors.PlatformUnavailable:
                return
        raise AssertionError("answered")

    run_behind_wire(scenario)


def test_caller_that_takes_no_data_frees_the_engine_within_a_bound():
    """Engines fill up with answers to phones that have left the network.

    A caller's connection stands, and nothing that is sent on it is taken.
    Cause: nobody tells the sender, and a write waits for ever.
    """
    limits = {"caller_silence_ms": 1_500}
    plan = streaming.make_plan(limits=limits)
    with deployment.Deployment(plan) as running:
        for name in running.pools["matchers"]:
            running.switch(name, token_ms=0)
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


def test_listeners_probe_callers_that_send_and_take_nothing():
    """Connections of vanished callers pile up until none is left.

    The caller's side is gone without a word while an answer is awaited.
    Cause: nothing is sent, so that nothing can fail.
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
