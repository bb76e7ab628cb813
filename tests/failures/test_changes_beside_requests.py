"""Changed configurations and settings end no request that is in hand."""

import contextlib
import copy
import functools
import typing

import attrs
import trio
import trio.testing

from carawayward import errors
from carawayward.forwarding import settings as settings_module
from tests.common import forwarding
from tests.standins import backend as backend_module
from tests.standins import raw_http

IDLE_MS = (1_500, 300)
# Longer than the lower limit on idle connections.
RUN_S = 0.45
CALLERS = 8
CALLS_EACH = 6
BODY = b"done by desk-0"


@attrs.define(eq=False)
class HeldAnswers:
    """A server's behaviour: answers once the test allows it."""

    may_answer: trio.Event = attrs.field(factory=trio.Event)

    async def __call__(
        self, server: backend_module.Backend, exchange: raw_http.Exchange
    ) -> None:
        """Begin, wait, then answer."""
        run = server.begin(exchange)
        await self.may_answer.wait()
        await exchange.answer(200, server.seal(exchange), BODY)
        run.ended = "ok"


async def answer_slowly(
    server: backend_module.Backend, exchange: raw_http.Exchange
) -> None:
    """Answer after longer than the lower limit."""
    run = server.begin(exchange)
    await trio.sleep(RUN_S)
    await exchange.answer(200, server.seal(exchange), BODY)
    run.ended = "ok"


class KeptCaller:
    """Sends requests on one connection for as long as that is open."""

    def __init__(self, running: forwarding.Forwarding) -> None:
        self.running = running
        self.stream: trio.SocketStream | None = None
        self.answered: set[str] = set()
        self.reused = 0

    async def call(self) -> None:
        """Send requests until one is answered.

        A connection that is closed with a request unread is replaced.
        """
        while self.stream is not None and not await self._try_once():
            await self.stream.aclose()
            self.stream = None
        if self.stream is None:
            address = self.running.daemon.settings.listen.callers
            host, _, port = address.partition(":")
            self.stream = await trio.open_tcp_stream(host, int(port))
            assert await self._try_once()
            self.reused -= 1

    async def _try_once(self) -> bool:
        """Send one request; whether it was answered."""
        assert self.stream is not None
        headers = self.running.make_headers()
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
        received = b""
        with contextlib.suppress(trio.BrokenResourceError):
            await self.stream.send_all(
                f"GET /look/1 HTTP/1.1\r\n{lines}\r\n".encode()
            )
            while data := await self.stream.receive_some():
                received += data
                if received.endswith(BODY):
                    self.answered.add(dict(headers)["carawayward-attempt-id"])
                    self.reused += 1
                    return True
        return False


def find_runs(server: backend_module.Backend) -> set[str]:
    """The ids of the requests that reached a server."""
    name = backend_module.ATTEMPT_ID_HEADER
    return {each.request.headers[name] for each in server.runs}


async def call_repeatedly(caller: KeptCaller, number: int) -> None:
    """Call, idle for up to four fifths of the limits in between."""
    for call in range(CALLS_EACH):
        await caller.call()
        await trio.sleep(0.8 * IDLE_MS[(call + number) % 2] / 1000)


def make_idle_config(version: int, idle_ms: int) -> dict:
    """A configuration with another limit on idle connections."""
    config = forwarding.make_config(version)
    limits = {**config["limits"], "idleTimeoutMs": idle_ms}
    return {**config, "limits": limits}


def test_changed_idle_limits_end_no_request_on_kept_connections():
    """A new idle limit closes connections that carry a request.

    The requests take longer than the lower limit, and callers use their
    connections again after up to four fifths of either.
    """

    async def main() -> None:
        server = backend_module.Backend("desk-0", always=answer_slowly)
        async with forwarding.open_forwarding(server) as running:
            callers = [KeptCaller(running) for _ in range(CALLERS)]
            done = trio.Event()

            async def change() -> None:
                version = 1
                while not done.is_set():
                    version += 1
                    idle_ms = IDLE_MS[version % 2]
                    config = make_idle_config(version, idle_ms)
                    running.store.put("keyed.op", "config", config)
                    await trio.sleep(0.9 * idle_ms / 1000)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(change)
                async with trio.open_nursery() as calls:
                    for number, each in enumerate(callers):
                        calls.start_soon(call_repeatedly, each, number)
                done.set()
            assert running.find_table().revision > 2
        answered = set().union(*(each.answered for each in callers))
        assert all(each.reused for each in callers)
        assert find_runs(server) == answered

    trio.run(main)


def remove_route(config: dict) -> dict:
    """Take the route of the request away."""
    routes = [each for each in config["routes"] if each["name"] != "look"]
    return {**config, "routes": routes}


def remove_service(config: dict) -> dict:
    """Take the service of the request away, and the routes to it."""
    return {
        **config,
        "routes": [e for e in config["routes"] if e["service"] != "desk"],
        "services": [e for e in config["services"] if e["name"] != "desk"],
    }


def remove_key(config: dict) -> dict:
    """Take the customer's key away."""
    tenants = [{"name": "ikeja", "apiKeys": ["another"]}]
    return {**config, "tenants": tenants}


def check_request_is_answered(
    change: typing.Callable[[dict], dict] = dict,
    reload: typing.Callable[[forwarding.Forwarding], None] | None = None,
) -> None:
    """Apply a change while a request is in hand on a used connection."""
    held = HeldAnswers()
    server = backend_module.Backend(
        "desk-0", behaviours=[backend_module.answer_normally, held]
    )

    async def main() -> None:
        async with forwarding.open_forwarding(server) as running:
            caller = KeptCaller(running)
            await caller.call()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(caller.call)
                await running.wait_for(lambda: len(server.runs) == 2)
                config = change(forwarding.make_config(2))
                running.store.put("keyed.op", "config", config)
                await running.wait_for(
                    lambda: running.find_table().revision == 2
                )
                if reload is not None:
                    reload(running)
                await trio.testing.wait_all_tasks_blocked()
                held.may_answer.set()
            assert len(caller.answered) == 2
            assert caller.answered == find_runs(server)

    trio.run(main)


def test_request_is_answered_although_its_route_is_removed():
    """A new configuration ends requests of the routes that it lacks."""
    check_request_is_answered(remove_route)


def test_request_is_answered_although_its_service_is_removed():
    """A new configuration ends requests of the services that it lacks."""
    check_request_is_answered(remove_service)


def test_request_is_answered_although_its_key_is_removed():
    """A new configuration ends requests with the keys that it lacks."""
    check_request_is_answered(remove_key)


def test_request_is_answered_beside_reloads_of_changed_settings():
    """Settings that are reloaded end the requests in hand.

    Several reloads follow one another, and one of them is refused.
    """

    def reload(running: forwarding.Forwarding) -> None:
        def fail() -> settings_module.Bounds:
            raise errors.SettingsError("bounds", "-1", "not negative")

        daemon = running.daemon
        for each in (
            settings_module.Bounds(grace_ms=3_000.0, drain_ms=500.0),
            settings_module.Bounds(retry_ratio=0.1, retry_slack=0.0),
            settings_module.Bounds(key_lease_ms=500.0, apply_ms=100.0),
        ):
            daemon.read_bounds = functools.partial(copy.copy, each)
            daemon.reload()
            assert daemon.board.bounds == each
        daemon.read_bounds = fail
        daemon.reload()
        assert daemon.board.bounds == each

    check_request_is_answered(reload=reload)
