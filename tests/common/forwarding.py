"""Entry VMs with forwarded routes on loopback, a store and servers."""

import contextlib
import json
import typing

import attrs
import httpcore
import trio

from carawayward.forwarding import daemon as daemon_module
from carawayward.forwarding import keyed_log
from carawayward.forwarding import load_reports
from carawayward.forwarding import message_types
from carawayward.forwarding import ports as ports_module
from carawayward.forwarding import settings as settings_module
from carawayward.forwarding import table
from carawayward.platform import entry
from tests.common import loopback
from tests.standins import backend as backend_module
from tests.standins import link as link_module
from tests.standins import raw_http
from tests.standins import store as store_module

HOST = "swap.example"
KEY = "key-of-ikeja"
OTHER_KEY = "key-of-lekki"
START_S = 5.0
CALL_S = 10.0

SAFE = {
    "name": "look",
    "pathPrefix": "/look/",
    "routeKind": "safe",
    "service": "desk",
    "maxAttempts": 2,
}
UNSAFE = {
    "name": "log",
    "pathPrefix": "/log/",
    "routeKind": "unsafe",
    "service": "desk",
    "maxAttempts": 3,
}
STREAM = {
    "name": "tip",
    "pathPrefix": "/tip/",
    "routeKind": "streaming",
    "service": "engines",
    "maxAttempts": 3,
    "resumable": True,
    "affinity": True,
    "gapTargetMs": 1000,
    "sizes": ["small", "large"],
    "timeoutMs": 5000,
}
OPEN = {
    "name": "open",
    "pathPrefix": "/open/",
    "routeKind": "safe",
    "service": "desk",
    "maxAttempts": 2,
    "anonymous": True,
}
ENGINE = {
    "slots": 8,
    "kvCapacityTokens": 100_000,
    "models": [
        {"name": "small", "cost": 0.01},
        {"name": "large", "cost": 0.1},
    ],
}


def make_config(version: int = 1, **changes: typing.Any) -> dict:
    """A configuration as operators write it."""
    shared = {
        "host": HOST,
        "timeoutMs": 2000,
        "targetLatencyMs": 300,
        "priority": 1,
        "anonymous": False,
        "affinity": False,
    }
    config = {
        "version": version,
        "routes": [{**shared, **r} for r in (SAFE, UNSAFE, STREAM, OPEN)],
        "services": [
            {"name": "desk", "healthPath": "/healthz", "maxConnections": 50},
            {
                "name": "engines",
                "healthPath": "/healthz",
                "maxConnections": 50,
                "engine": ENGINE,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 100_000,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [
            {"name": "ikeja", "apiKeys": [KEY], "priority": 1},
            {"name": "lekki", "apiKeys": [OTHER_KEY]},
        ],
    }
    return {**config, **changes}


@attrs.frozen
class Answer:
    """The answer that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes


@attrs.define(eq=False)
class Path:
    """One entry VM's own way to one server, which can be cut."""

    link: link_module.Link
    port: int
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    restored: trio.Event = attrs.field(factory=trio.Event)

    @property
    def address(self) -> str:
        """Where the entry VM finds the server."""
        return f"127.0.0.1:{self.port}"

    async def serve(self) -> None:
        """Relay connections, except while it is cut."""
        while True:
            with self.scope:
                await link_module.serve_link(self.link, self.port)
            await self.restored.wait()
            self.scope, self.restored = trio.CancelScope(), trio.Event()


@attrs.define(eq=False)
class Forwarding:
    """A running deployment: store, servers and entry VMs.

    With ``separate`` each entry VM has its own paths to the servers.
    """

    store: store_module.Store
    backends: dict[str, backend_module.Backend]
    daemons: list[daemon_module.ForwardingDaemon]
    stops: list[trio.Event]
    nursery: trio.Nursery
    store_port: int
    heartbeat_ms: int = 1_200
    ids: int = 0
    separate: bool = False
    paths: dict[tuple[int, str], Path] = attrs.field(factory=dict)

    @property
    def daemon(self) -> daemon_module.ForwardingDaemon:
        """The first entry VM."""
        return self.daemons[0]

    def find_controller(self, index: int, daemon: int = 0) -> typing.Any:
        """A controller of an entry VM, by its index in the order of start."""
        return self.daemons[daemon].controllers[index]

    def get_reporter(self) -> load_reports.LoadReporter:
        """The load reporter of the first entry VM."""
        return self.daemon.app.readiness.reporter

    def find_table(self) -> table.RoutingTable:
        """The first entry VM's routing table."""
        found = self.daemon.board.table
        assert found is not None
        return found

    def cut_off(self, daemon: int, names: typing.Iterable[str] = ()) -> None:
        """Reset an entry VM's connections to servers and refuse new ones.

        All servers unless ``names`` are given.
        """
        for name in names or self.backends:
            self.paths[daemon, name].scope.cancel()

    def restore(self, daemon: int) -> None:
        """Let an entry VM reach the servers again."""
        for name in self.backends:
            self.paths[daemon, name].restored.set()

    def _separate_paths(
        self, number: int, ports: ports_module.Ports
    ) -> ports_module.Ports:
        """Replace the servers' addresses by those of an entry VM's paths."""
        for name, backend in self.backends.items():
            (port,) = loopback.find_free_ports(1)
            path = Path(link_module.Link(backend.port), port)
            self.paths[number, name] = path
            self.nursery.start_soon(path.serve)

        def decode(
            record: keyed_log.Record,
        ) -> message_types.EndpointEntry | None:
            found = ports.decode_endpoint(record)
            path = self.paths.get((number, record.key))
            if found is None or path is None:
                return found
            return attrs.evolve(found, address=path.address)

        return attrs.evolve(ports, decode_endpoint=decode)

    def register(
        self, backend: backend_module.Backend, **changes: object
    ) -> None:
        """Write a server's entry to the registry topic."""
        entry_value = backend.describe(**changes)
        self.store.put("keyed.servers", backend.name, entry_value)

    def make_headers(self, **changes: str) -> list[tuple[str, str]]:
        """Headers of a valid request; an empty value omits one."""
        self.ids += 1
        headers = {
            "host": HOST,
            "carawayward-attempt-id": f"{self.ids:016x}",
            "carawayward-deadline-ms": "4000",
            "carawayward-key": KEY,
        }
        named = {name.replace("_", "-"): v for name, v in changes.items()}
        return [(n, v) for n, v in {**headers, **named}.items() if v]

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        daemon: int = 0,
        **headers: str,
    ) -> Answer:
        """Make a call as a client, on a connection of its own."""
        address = self.daemons[daemon].settings.listen.callers
        async with httpcore.AsyncConnectionPool() as pool:
            with trio.fail_after(CALL_S):
                response = await pool.request(
                    method,
                    f"http://{address}{path}",
                    headers=self.make_headers(**headers),
                    content=body,
                )
        return Answer(
            response.status,
            {n.decode().lower(): v.decode() for n, v in response.headers},
            response.content,
        )

    async def request_stream(self, daemon: int = 0, **headers: str) -> Answer:
        """Request a stream, and let the system choose the model."""
        defaults = {
            "carawayward_model": "*",
            "carawayward_token_count": "1000,50",
            "carawayward_prefix_hash": "aa:800,bb:200",
        }
        return await self.call(
            "POST", "/tip/1", b"prompt", daemon, **(defaults | headers)
        )

    async def wait_for(self, condition: typing.Callable[[], bool]) -> None:
        """Wait until ``condition`` holds."""
        with trio.fail_after(START_S):
            while not condition():
                await trio.sleep(0.005)

    async def check_readiness(self, daemon: int) -> int:
        """Probe an entry VM as the load balancer does; returns the status."""
        address = self.daemons[daemon].settings.listen.readiness
        async with httpcore.AsyncConnectionPool() as pool:
            with trio.fail_after(CALL_S):
                response = await pool.request("GET", f"http://{address}/ready")
        return response.status

    async def start_daemon(self, **bounds: float | bool) -> None:
        """Start one more entry VM and wait until it is ready."""
        daemon = await self.start_daemon_unready(**bounds)
        await self.wait_for(lambda: daemon.board.state.value == "ready")
        await self.wait_for(
            lambda: len(daemon.board.endpoints) == len(self.backends)
        )

    async def start_daemon_unready(
        self, **bounds: float | bool
    ) -> daemon_module.ForwardingDaemon:
        """Start one more entry VM."""
        number = len(self.daemons)
        ports = loopback.find_free_ports(3)
        settings = settings_module.ForwardingSettings(
            name=f"edge-{number}",
            failure_domain="north",
            listen=settings_module.Listen(
                callers=f"127.0.0.1:{ports[0]}",
                readiness=f"127.0.0.1:{ports[1]}",
                peers=f"127.0.0.1:{ports[2]}",
            ),
            store=settings_module.Store(
                address=f"127.0.0.1:{self.store_port}"
            ),
            bounds=settings_module.Bounds(**typing.cast(dict, bounds)),
            heartbeat_ms=self.heartbeat_ms,
            plain_room=True,
        )
        platform_ports = entry.make_ports(settings)
        if self.separate:
            platform_ports = self._separate_paths(number, platform_ports)
        daemon = daemon_module.ForwardingDaemon.from_config(
            settings, platform_ports
        )
        # As if it had run for long, so that tests need not wait for the slack.
        daemon.app.forwarder.placer.started_ms = float("-inf")
        stop = trio.Event()
        self.daemons.append(daemon)
        self.stops.append(stop)
        self.nursery.start_soon(daemon.serve, stop)
        deadline = trio.current_time() + START_S
        while trio.current_time() < deadline:
            with contextlib.suppress(OSError):
                stream = await trio.open_tcp_stream("127.0.0.1", ports[1])
                await stream.aclose()
                break
            await trio.sleep(0.01)
        return daemon


@contextlib.asynccontextmanager
async def open_forwarding(
    *backends: backend_module.Backend,
    config: dict | None = None,
    daemons: int = 1,
    heartbeat_ms: int = 1_200,
    era: int | None = None,
    proxied: bool = False,
    separate: bool = False,
    **bounds: float | bool,
) -> typing.AsyncIterator[Forwarding]:
    """Run a store, servers and entry VMs until the test ends.

    The servers' entries are not renewed; ``heartbeat_ms`` is the renewal
    interval that the entry VMs assume. With ``proxied`` the addresses of
    servers that have crashed accept connections, and close them. With
    ``separate`` the way of each entry VM to each server can be cut.
    """
    store = store_module.Store(era=era)
    async with trio.open_nursery() as nursery:
        port = await nursery.start(raw_http.serve, store.handle)
        deployment = Forwarding(
            store,
            {b.name: b for b in backends},
            [],
            [],
            nursery,
            port,
            heartbeat_ms,
            separate=separate,
        )
        for each in backends:
            each.port = await nursery.start(each.serve)
            if proxied:
                each.port = await nursery.start(
                    link_module.serve_link, link_module.Link(each.port)
                )
            deployment.register(each)
        store.put("keyed.op", "config", config or make_config())
        for _ in range(daemons):
            await deployment.start_daemon(**bounds)
        yield deployment
        nursery.cancel_scope.cancel()


def read_numbers(body: bytes) -> list[int]:
    """The ids of the events in a stream's body."""
    return [
        int(line.partition(b":")[2])
        for line in body.splitlines()
        if line.startswith(b"id:")
    ]


def dump(value: object) -> bytes:
    """JSON as servers and operators write it."""
    return json.dumps(value).encode()
