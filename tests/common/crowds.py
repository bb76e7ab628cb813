"""Crowds of misbehaving clients, and what they cost an entry VM's process."""

import collections
import contextlib
import itertools
import os
import pathlib
import tempfile
import typing

import attrs
import trio

from tests.common import forwarding
from tests.common import stopping
from tests.standins import backend as backend_module
from tests.standins import raw_http

# The memory of the smallest machines that run an entry VM.
MEMORY_BYTES = 150_000_000
LONG_BYTES = 3_000_000
LARGE_EVENT_BYTES = 900_000
SMALL_EVENT_BYTES = 60_000
DEADLINE_MS = 110_000
TIMEOUT_MS = 120_000
SAMPLE_S = 0.05
# Small windows, so that what a client does not read stays with the entry VM.
RECEIVE_BUFFER_BYTES = 16_384
# As often as a client tries before it gives up.
ORDINARY_TRIES = 3
ORDINARY_BYTES = 800
LONG_BODY = b"x" * LONG_BYTES
LONG, SHORT, ONCE_LONG = "/look/long", "/look/short", "/log/long"
LARGE_EVENTS, SMALL_EVENTS = "/say/large", "/say/small"


@attrs.define
class Usage:
    """The most that a process took; ``memory`` in bytes."""

    memory: int = 0
    descriptors: int = 0


def list_sockets(pid: int) -> tuple[int, set[str]]:
    """How many descriptors a process has, and its sockets' inodes."""
    count, sockets = 0, set()
    for each in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        count += 1
        with contextlib.suppress(OSError):
            target = os.readlink(each)
            if target.startswith("socket:["):
                sockets.add(target[len("socket:[") : -1])
    return count, sockets


def count_unread(sockets: set[str]) -> int:
    """How many received bytes the kernel holds for these sockets."""
    lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    unread = 0
    for fields in map(str.split, lines):
        state, queues, inode = fields[3], fields[4], fields[9]
        # A listener's queue counts connections.
        if inode in sockets and state != "0A":
            unread += int(queues.partition(":")[2], 16)
    return unread


def measure(pid: int, usage: Usage) -> None:
    """Record what a process takes now."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    resident_kb = status.partition("VmHWM:")[2].split()[0]
    count, sockets = list_sockets(pid)
    memory = int(resident_kb) * 1_024 + count_unread(sockets)
    usage.memory = max(usage.memory, memory)
    usage.descriptors = max(usage.descriptors, count)


async def keep_measuring(pid: int, usage: Usage) -> None:
    """Record what a process takes until it ends."""
    with contextlib.suppress(OSError, IndexError):
        while True:
            await trio.to_thread.run_sync(measure, pid, usage)
            await trio.sleep(SAMPLE_S)


async def answer(
    backend: backend_module.Backend, exchange: raw_http.Exchange
) -> None:
    """Answer with a body as long as the request's path says."""
    run = backend.begin(exchange)
    long = exchange.request.target.endswith("/long")
    body = LONG_BODY if long else b"x" * ORDINARY_BYTES
    try:
        await exchange.answer(200, backend.seal(exchange), body)
    finally:
        run.ended = "ended"


async def stream(
    backend: backend_module.Backend, exchange: raw_http.Exchange
) -> None:
    """Stream events of the size that the request's path says, for ever."""
    backend.begin(exchange)
    large = exchange.request.target.endswith("/large")
    size = LARGE_EVENT_BYTES if large else SMALL_EVENT_BYTES
    await exchange.begin_stream(
        {**backend.seal(exchange), "content-type": "text/event-stream"}
    )
    for number in itertools.count(1):
        event = b"id: %d\ndata: %s\n\n" % (number, b"x" * size)
        await exchange.send_chunk(event)


def make_config() -> dict:
    """A configuration whose routes and endpoints leave room for crowds."""
    config = stopping.make_config()
    for route in config["routes"]:
        route.update(timeoutMs=TIMEOUT_MS, maxAttempts=1)
    for service in config["services"]:
        service["maxConnections"] = 2_000
    return config


@attrs.define(eq=False)
class Client:
    """A client's connection, and how many bytes it has read."""

    stream: trio.abc.Stream
    received: int = 0

    async def send(self, data: bytes) -> None:
        """Send bytes; the entry VM may have closed the connection."""
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            await self.stream.send_all(data)

    async def read_first_line(self) -> str:
        """Read the first line of an answer; empty if there is none."""
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            data = await self.stream.receive_some(4_096)
            return bytes(data).partition(b"\r\n")[0].decode("latin-1")
        return ""

    async def read_slowly(self, bytes_per_s: int, pause_s: float) -> None:
        """Read at a steady rate until the connection ends."""
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            while True:
                most = max(1, int(bytes_per_s * pause_s))
                data = await self.stream.receive_some(most)
                if not data:
                    return
                self.received += len(data)
                await trio.sleep(pause_s)


@attrs.define(eq=False)
class Site:
    """Entry VMs with a crowd of clients; ``usage`` is each entry VM's."""

    running: forwarding.Forwarding
    vms: list[stopping.EntryVm]
    nursery: trio.Nursery
    usage: dict[str, Usage] = attrs.field(
        factory=lambda: collections.defaultdict(Usage)
    )
    clients: list[Client] = attrs.field(factory=list)

    @property
    def desk(self) -> backend_module.Backend:
        """The endpoint without streams."""
        return self.running.backends["desk-0"]

    def make_head(self, path: str, *lines: str) -> bytes:
        """The head of a new request."""
        headers = self.running.make_headers(
            carawayward_deadline_ms=f"{DEADLINE_MS}",
            carawayward_model="*" if path.startswith("/say") else "",
            carawayward_token_count="1000,50",
            carawayward_prefix_hash="aa:800,bb:200",
        )
        named = [f"{name}: {value}" for name, value in headers]
        text = [f"GET {path} HTTP/1.1", *named, *lines, "", ""]
        return "\r\n".join(text).encode()

    async def connect(self, vm: int = 0, small: bool = True) -> Client | None:
        """Connect a client, with a small window; None if that fails."""
        size = RECEIVE_BUFFER_BYTES if small else None
        with contextlib.suppress(OSError):
            caller = await self.vms[vm].open_caller(size)
            client = Client(caller.stream)
            self.clients.append(client)
            return client
        return None

    async def send_crowd(
        self, size: int, make_bytes: typing.Callable[[], bytes]
    ) -> list[Client]:
        """Connect clients that then all send some bytes."""
        found = []
        for _ in range(size):
            client = await self.connect()
            if client is not None:
                found.append(client)
        for client in found:
            self.nursery.start_soon(client.send, make_bytes())
        return found

    async def ask_ordinary(self, vm: int = 0, path: str = SHORT) -> int:
        """Ask for a short answer as other clients do; return its status."""
        status = 0
        for _ in range(ORDINARY_TRIES):
            caller = await self.vms[vm].open_caller()
            async with caller.stream:
                await caller.send_bytes(self.make_head(path))
                received = await caller.read()
            status = received.status if received.complete else 0
            if status not in (0, 503):
                break
            await trio.sleep(0.5)
        return status

    async def check(
        self,
        vm: int = 0,
        max_memory: int = MEMORY_BYTES,
        max_descriptors: int | None = None,
        path: str = SHORT,
    ) -> None:
        """Check that an entry VM lives, within bounds, and answers."""
        status = await self.ask_ordinary(vm, path)
        process, usage = self.vms[vm].process, self.usage[self.vms[vm].name]
        await trio.to_thread.run_sync(measure, process.pid, usage)
        print(f"{self.vms[vm].name}: {usage}, ordinary request: {status}")
        assert process.returncode is None
        assert usage.memory < max_memory
        if max_descriptors is not None:
            assert usage.descriptors <= max_descriptors
        assert status == 200

    def count_delivered(self) -> int:
        """How many answers the entry VMs have logged as delivered."""
        return sum(
            each["cause"] == "delivered"
            for vm in self.vms
            for each in vm.list_events("request_forwarded")
        )


@contextlib.asynccontextmanager
async def open_site(
    vms: int = 1, descriptors: int = 0
) -> typing.AsyncIterator[Site]:
    """Run a store, endpoints, and entry VMs as processes."""
    desk = backend_module.Backend("desk-0", always=answer)
    engine = backend_module.Backend(
        "engine-0", service="engines", engine=True, always=stream
    )
    async with forwarding.open_forwarding(
        desk, engine, config=make_config(), daemons=0
    ) as running:
        for backend in (desk, engine):
            running.register(backend, slots=1_000, sequence=2)
        with tempfile.TemporaryDirectory() as folder:
            made = [
                stopping.EntryVm(
                    running,
                    f"edge-{number}",
                    pathlib.Path(folder),
                    descriptors=descriptors,
                )
                for number in range(vms)
            ]
            try:
                for each in made:
                    await each.start()
                for each in made:
                    await each.wait_until_ready()
                async with trio.open_nursery() as nursery:
                    site = Site(running, made, nursery)
                    for each in made:
                        nursery.start_soon(
                            keep_measuring,
                            each.process.pid,
                            site.usage[each.name],
                        )
                    yield site
                    nursery.cancel_scope.cancel()
            finally:
                for each in made:
                    if each.process.returncode is None:
                        each.process.kill()
