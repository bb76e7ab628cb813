"""Measures the memory that large bodies take in an entry VM.

``./build.sh bench body_memory`` starts one process and sends it bodies of
``maxBodyBytes`` from increasing numbers of callers at once, beside callers of
small requests.
"""

import contextlib
import os
import pathlib
import signal
import sys
import tempfile
import typing

import attrs
import httpcore
import trio

from tests.common import forwarding
from tests.common import loopback
from tests.standins import backend as backend_module
from tests.standins import raw_http
from tests.standins import store as store_module

BODY_BYTES = 4_194_304
CALLERS = (1, 12, 24, 48)
SMALL_CALLS = 40
HELD_S = 0.5
ENTRY_VM = pathlib.Path("src/entry_vm.py")
RESULTS = pathlib.Path("bench/results/body_memory.md")
SETTINGS = """\
name: vm
failure_domain: north
listen:
  callers: 127.0.0.1:{0}
  readiness: 127.0.0.1:{1}
  peers: 127.0.0.1:{2}
  metrics: 127.0.0.1:{3}
store:
  address: 127.0.0.1:{4}
"""


def read_memory_mb(pid: int, field: str) -> float:
    """Read the resident memory of a process, now or at its peak, in MB."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(status.partition(f"{field}:")[2].split()[0]) / 1024


async def call(port: int, body: bytes, number: int) -> int:
    """Make a call; return its status, 0 if the connection broke."""
    headers = [
        ("host", forwarding.HOST),
        ("carawayward-attempt-id", f"{number:x}"),
        ("carawayward-deadline-ms", "8000"),
        ("carawayward-key", forwarding.KEY),
    ]
    try:
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                "POST",
                f"http://127.0.0.1:{port}/look/",
                headers=headers,
                content=body,
            )
            return response.status
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return 0


@attrs.define
class Round:
    """What one number of callers showed."""

    callers: int
    statuses: list[int] = attrs.field(factory=list)
    small: list[float] = attrs.field(factory=list)
    peak_mb: float = 0.0

    def format(self) -> str:
        """A line of the table."""
        served = self.statuses.count(200)
        refused = self.statuses.count(503)
        return (
            f"| {self.callers} | {served} | {refused} |"
            f" {len(self.statuses) - served - refused} | {self.peak_mb:.0f} |"
            f" {len(self.small)} | {1000 * max(self.small):.0f} |"
        )


async def play_round(port: int, pid: int, callers: int) -> Round:
    """Send large bodies at once, and small requests beside them."""
    found = Round(callers)
    body = b"x" * BODY_BYTES

    async def call_large(number: int) -> None:
        found.statuses.append(await call(port, body, number))

    async def watch() -> None:
        while True:
            memory_mb = read_memory_mb(pid, "VmRSS")
            found.peak_mb = max(found.peak_mb, memory_mb)
            await trio.sleep(0.005)

    async with trio.open_nursery() as watching:
        watching.start_soon(watch)
        async with trio.open_nursery() as nursery:
            for number in range(callers):
                nursery.start_soon(call_large, number)
            for number in range(SMALL_CALLS):
                began_s = trio.current_time()
                if await call(port, b"x", callers + number) == 200:
                    found.small.append(trio.current_time() - began_s)
                await trio.sleep(0.02)
        watching.cancel_scope.cancel()
    return found


async def hold(
    server: backend_module.Backend, exchange: raw_http.Exchange
) -> None:
    """Answer large requests late."""
    if len(exchange.request.body) > 1:
        await trio.sleep(HELD_S)
    await backend_module.answer_normally(server, exchange)


@contextlib.asynccontextmanager
async def run_process(
    nursery: trio.Nursery, folder: str
) -> typing.AsyncIterator[tuple[int, int]]:
    """Run an entry VM; yields its callers' port and its process id."""
    store = store_module.Store()
    store_port = await nursery.start(raw_http.serve, store.handle)
    desk = backend_module.Backend("desk-0", always=hold)
    desk.port = await nursery.start(desk.serve)
    config = forwarding.make_config()
    config["limits"]["maxBodyBytes"] = BODY_BYTES
    for route in config["routes"]:
        route["timeoutMs"] = 8_000
    store.put("keyed.servers", desk.name, desk.describe(slots=100))
    store.put("keyed.op", "config", config)
    ports = loopback.find_free_ports(4)
    path = pathlib.Path(folder) / "settings.yaml"
    path.write_text(SETTINGS.format(*ports, store_port))
    process = await trio.lowlevel.open_process(
        [sys.executable, str(ENTRY_VM)],
        env={**os.environ, "CARAWAYWARD_CONFIG": str(path)},
        stdout=-3,
    )
    try:
        while await call(ports[0], b"x", 0) != 200:
            await trio.sleep(0.1)
        yield ports[0], process.pid
    finally:
        process.send_signal(signal.SIGKILL)
        await process.wait()


async def measure() -> list[str]:
    """Play all rounds, each with a new process."""
    lines = []
    for callers in CALLERS:
        async with trio.open_nursery() as nursery:
            with tempfile.TemporaryDirectory() as folder:
                async with run_process(nursery, folder) as (port, pid):
                    found = await play_round(port, pid, callers)
            nursery.cancel_scope.cancel()
        lines.append(found.format())
        print(lines[-1], flush=True)
    return lines


def main() -> None:
    """Measure and write the table."""
    head = [
        "| callers at once | served | 503 | broken | most resident, MB |"
        " small served | slowest small, ms |",
        "|---|---|---|---|---|---|---|",
    ]
    print(*head, sep="\n")
    lines = head + trio.run(measure)
    text = (__doc__ or "").split("\n", 2)[2].strip()
    RESULTS.write_text(
        f"# The memory of large bodies\n\n{text}\n\n" + "\n".join(lines) + "\n"
    )


if __name__ == "__main__":
    main()
