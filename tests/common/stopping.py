"""Entry VM processes that are stopped, and callers that wait meanwhile."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import typing

import attrs
import h11
import trio

from carawayward.decisions import planned_stop
from tests.common import forwarding
from tests.common import loopback
from tests.soak import partitioned
from tests.standins import backend as backend_module

SOURCE = pathlib.Path("src")
# The waits end before this; the process has to end within it.
GRACE_S = 4.5
# From here on a stopping entry VM refuses new requests.
REFUSING_S = 2.2
# When the waits for open requests end, as replies that are not read do.
DUE_S = GRACE_S - planned_stop.REPLIES_DUE_MS / 1000
LEFT_S = GRACE_S - planned_stop.CUTOFF_MS / 1000
START_S = 30.0
# The test fails if nothing has happened by then.
GIVE_UP_S = 20.0
SETTINGS = """\
name: {name}
failure_domain: north
listen:
  callers: 127.0.0.1:{ports[0]}
  readiness: 127.0.0.1:{ports[1]}
  peers: 127.0.0.1:{ports[2]}
store:
  address: 127.0.0.1:{store}
heartbeat_ms: 1200
plain_room: true
bounds:
  grace_ms: {grace}
  retry_ratio: 1000
"""
# Requests may wait for longer than a stop takes.
TIMEOUT_MS = 30_000
# An attempt that is begun early in a stop is not given up before it ends.
TARGET_MS = 2_000
FINAL_EVENTS = (
    "request_forwarded",
    "request_refused",
    "request_bad",
    "request_incomplete",
    "fault",
)


def make_config(
    target_ms: int = TARGET_MS, gap_target_ms: int | None = None
) -> dict:
    """A configuration whose routes wait for longer than a stop takes.

    ``/say/`` is a streaming route whose requests may not be repeated. The
    routes have a target for the time between events only if one is given.
    """
    config = forwarding.make_config()
    (tip,) = (r for r in config["routes"] if r["name"] == "tip")
    once = {"name": "say", "pathPrefix": "/say/", "resumable": False}
    config["routes"].append({**tip, **once})
    for route in config["routes"]:
        route.update(timeoutMs=TIMEOUT_MS, targetLatencyMs=target_ms)
        route.pop("gapTargetMs", None)
        if gap_target_ms is not None:
            route["gapTargetMs"] = gap_target_ms
    config["limits"]["maxBodyBytes"] = 8_000_000
    return config


@attrs.define
class Received:
    """What a caller has received, and when its answer ended.

    ``status`` is 0 if no head came; the answer is ``complete`` if its end
    came too.
    """

    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    complete: bool = False
    after_s: float = 0.0

    def __str__(self) -> str:
        ending = "complete" if self.complete else "unfinished"
        return f"{self.status} {ending} {self.after_s:.2f} s after the signal"


@attrs.define(eq=False)
class Caller:
    """A caller with one connection, and the id of its last request."""

    vm: "EntryVm"
    stream: trio.SocketStream
    request_id: str = ""
    trailing: bytes = b""

    async def send_bytes(self, data: bytes) -> None:
        """Send some bytes; those that an entry VM no longer takes are lost."""
        with contextlib.suppress(trio.BrokenResourceError):
            await self.stream.send_all(data)

    async def send(self, method: str, path: str, body: bytes = b"") -> None:
        """Send a whole request."""
        length = ("content-length", str(len(body)))
        await self.send_bytes(self.make_head(method, path, length) + body)

    def make_head(
        self, method: str, path: str, *headers: tuple[str, str]
    ) -> bytes:
        """The head of a new request."""
        made = self.vm.running.make_headers(
            carawayward_deadline_ms="30000",
            carawayward_model="*" if path.startswith(("/tip", "/say")) else "",
            carawayward_token_count="1000,50",
            carawayward_prefix_hash="aa:800,bb:200",
        )
        self.request_id = dict(made)["carawayward-attempt-id"]
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in [*made, *headers]]
        return "\r\n".join([*lines, "", ""]).encode()

    async def read(self, most: int = 65_536, pause_s: float = 0.0) -> Received:
        """Read an answer until its end or that of the connection.

        Reads ``most`` bytes at a time and pauses before each.
        """
        received = Received()
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method="GET", target="/", headers=HOST))
        parser.send(h11.EndOfMessage())
        with trio.move_on_after(GIVE_UP_S):
            while not received.complete:
                await trio.sleep(pause_s)
                data = await self._receive(most)
                with contextlib.suppress(h11.RemoteProtocolError):
                    parser.receive_data(data)
                    self._take_events(parser, received)
                if not data:
                    break
        received.after_s = trio.current_time() - self.vm.signalled_s
        return received

    async def _receive(self, most: int) -> bytes:
        try:
            return bytes(await self.stream.receive_some(most))
        except trio.BrokenResourceError:
            return b""

    def _take_events(self, parser: h11.Connection, received: Received) -> None:
        while True:
            event = parser.next_event()
            if isinstance(event, h11.Response):
                received.status = event.status_code
                received.headers = {
                    name.decode(): value.decode()
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                received.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                received.complete = True
            else:
                return


HOST = [("host", forwarding.HOST)]


@attrs.define(eq=False)
class EntryVm:
    """The process of an entry VM, with its log.

    ``signalled_s`` is when it got its first signal to stop. ``descriptors``
    limits how many it may have open, unless it is 0. It gets ``core_share`` of
    a core, once in each ``core_period_s``.
    """

    running: forwarding.Forwarding
    name: str
    folder: pathlib.Path
    ports: list[int] = attrs.field(factory=lambda: loopback.find_free_ports(3))
    process: trio.Process = attrs.field(init=False)
    signalled_s: float = float("inf")
    signalled: trio.Event = attrs.field(factory=trio.Event)
    descriptors: int = 0
    core_share: float = 1.0
    core_period_s: float = partitioned.CORE_PERIOD_S

    @property
    def _partition_path(self) -> pathlib.Path:
        return self.folder / f"{self.name}.partition"

    async def start(self) -> None:
        """Start the process."""
        path = self.folder / f"{self.name}.yaml"
        path.write_text(
            SETTINGS.format(
                name=self.name,
                ports=self.ports,
                store=self.running.store_port,
                grace=f"{GRACE_S * 1000:g}",
            ),
            encoding="utf-8",
        )
        with self.log_path.open("ab") as output:
            self.process = await trio.lowlevel.open_process(
                [
                    sys.executable,
                    partitioned.__file__,
                    str(SOURCE / "entry_vm.py"),
                ],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={
                    **os.environ,
                    "PYTHONPATH": str(SOURCE),
                    "CARAWAYWARD_CONFIG": str(path),
                    partitioned.IP_VARIABLE: "127.0.0.1",
                    partitioned.FILE_VARIABLE: str(self._partition_path),
                    partitioned.CORE_VARIABLE: f"{self.core_share}",
                    partitioned.CORE_PERIOD_VARIABLE: f"{self.core_period_s}",
                    partitioned.DESCRIPTORS_VARIABLE: f"{self.descriptors}",
                },
            )

    @property
    def log_path(self) -> pathlib.Path:
        """Where the process writes its log."""
        return self.folder / f"{self.name}.log"

    async def wait_until_ready(self) -> None:
        """Wait until the process has said that it accepts requests."""
        with trio.fail_after(START_S):
            while not self.list_events("node_ready"):
                await trio.sleep(0.02)

    def cut_off(self) -> None:
        """Refuse its new connections to all endpoints."""
        addresses = [each.address for each in self.running.backends.values()]
        text = json.dumps({"mode": "refusing", "addresses": addresses})
        self._partition_path.write_text(text, encoding="utf-8")

    def signal(self, number: signal.Signals = signal.SIGTERM) -> None:
        """Send a signal; one to a process that has ended goes nowhere."""
        if self.signalled_s == float("inf"):
            self.signalled_s = trio.current_time()
            self.signalled.set()
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def sleep_until(self, after_s: float) -> None:
        """Sleep until a time after the first signal."""
        await self.signalled.wait()
        await trio.sleep_until(self.signalled_s + after_s)

    async def open_caller(self, receive_buffer: int | None = None) -> Caller:
        """Connect a caller, with a small buffer for what it receives."""
        connection = trio.socket.socket()
        if receive_buffer is not None:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
            )
        await connection.connect(("127.0.0.1", self.ports[0]))
        return Caller(self, trio.SocketStream(connection))

    async def send(self, method: str, path: str, body: bytes = b"") -> Caller:
        """Send a whole request on a new connection."""
        caller = await self.open_caller()
        await caller.send(method, path, body)
        return caller

    async def end(self) -> tuple[int, float]:
        """Wait until the process ends; its exit code, s after the signal."""
        with trio.move_on_after(GIVE_UP_S):
            await self.process.wait()
        after_s = trio.current_time() - self.signalled_s
        return typing.cast(int, self.process.returncode), after_s

    def list_events(self, name: str | None = None) -> list[dict]:
        """The events in its log, of one name or all."""
        found = []
        for line in self.log_path.read_bytes().splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return [each for each in found if name in (None, each.get("name"))]

    async def wait_for_ends(self, *request_ids: str) -> None:
        """Wait until the ends of requests are logged, after their replies."""
        missing = set(request_ids)
        with trio.move_on_after(START_S):
            while missing := missing - {
                each.get("request")
                for each in self.list_events()
                if each["name"] in FINAL_EVENTS
            }:
                await trio.sleep(0.02)

    def list_ends(self, request_id: str) -> list[dict]:
        """The lines that end a request of a caller."""
        return [
            each
            for each in self.list_events()
            if each.get("request") == request_id
            and each["name"] in FINAL_EVENTS
        ]


@contextlib.asynccontextmanager
async def open_vms(
    *backends: backend_module.Backend,
    vms: int = 1,
    ready: bool = True,
    failing_store: bool = False,
    target_ms: int = TARGET_MS,
    gap_target_ms: int | None = None,
    core_share: float = 1.0,
    core_period_s: float = partitioned.CORE_PERIOD_S,
) -> typing.AsyncIterator[list[EntryVm]]:
    """Run a store and endpoints, and entry VMs as processes.

    They are ready unless that is not waited for or the store fails.
    """
    async with forwarding.open_forwarding(
        *backends, config=make_config(target_ms, gap_target_ms), daemons=0
    ) as running:
        running.store.error_status = 503 if failing_store else 0
        with tempfile.TemporaryDirectory() as folder:
            made = [
                EntryVm(
                    running,
                    f"edge-{number}",
                    pathlib.Path(folder),
                    core_share=core_share,
                    core_period_s=core_period_s,
                )
                for number in range(vms)
            ]
            try:
                for each in made:
                    await each.start()
                for each in made:
                    if ready and not failing_store:
                        await each.wait_until_ready()
                yield made
            finally:
                for each in made:
                    if each.process.returncode is None:
                        each.process.kill()
