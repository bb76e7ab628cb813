"""Entry VM processes, and the faults that hit them from outside."""

import json
import math
import os
import pathlib
import signal
import subprocess
import sys

import attrs
import trio

from tests.common import loopback
from tests.soak import partitioned
from tests.soak import records
from tests.standins import link as link_module

START_S = 30.0
PARTITIONED = pathlib.Path(partitioned.__file__)
SETTINGS = """\
name: {name}
failure_domain: {zone}
listen:
  callers: 127.0.0.1:{callers}
  readiness: 127.0.0.1:{readiness}
  peers: {ip}:{peers}
  metrics: 127.0.0.1:{metrics}
store:
  address: 127.0.0.1:{store}
heartbeat_ms: 1200
plain_room: true
bounds:
  key_lease_ms: 5000
  drain_ms: 2000
  apply_ms: {apply}
  retry_ratio: {ratio}
  retry_slack: {slack}
  grace_ms: {grace}
  session_ms: {session}
"""
SESSION_MS = 5_000.0


@attrs.define(eq=False, kw_only=True)
class EntryVm:
    """One entry VM; a new process starts soon after the last one has ended.

    Callers reach it through ``caller_link``, it reaches the store through
    ``store_link``. Its connections come from ``ip``, its own address. It gets
    ``core_share`` of a core.
    """

    name: str
    zone: str
    source: pathlib.Path
    folder: pathlib.Path
    store_port: int
    bounds: records.Bounds
    history: records.History
    ip: str
    core_share: float = 1.0
    restart_ms: float = 600.0
    ports: list[int] = attrs.field(factory=lambda: loopback.find_free_ports(6))
    caller_link: link_module.Link = attrs.field(init=False)
    store_link: link_module.Link = attrs.field(init=False)
    process: trio.Process | None = None
    starts: int = 0
    ends_unasked: int = 0
    session_ms: float = SESSION_MS

    def __attrs_post_init__(self) -> None:
        self.caller_link = link_module.Link(self.ports[0], passes_resets=True)
        self.store_link = link_module.Link(self.store_port)

    @property
    def caller_port(self) -> int:
        """Where callers connect."""
        return self.ports[4]

    async def run(self) -> None:
        """Run processes until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(
                link_module.serve_link, self.caller_link, self.caller_port
            )
            await nursery.start(
                link_module.serve_link, self.store_link, self.ports[5]
            )
            try:
                while True:
                    await self._run_process()
                    await trio.sleep(self.restart_ms / 1000)
            finally:
                if self.process is not None:
                    self._signal(signal.SIGKILL)

    async def _run_process(self) -> None:
        last = self.record
        self.starts += 1
        path = self.write_settings()
        disruption = self.disrupt("start")
        disruption.planned = last is not None and last.stop_ms < math.inf
        record = records.VmProcess(
            vm=self.name, start=self.starts, from_ms=disruption.from_ms
        )
        self.history.processes.append(record)
        with self.log_path.open("wb") as output:
            self.process = await trio.lowlevel.open_process(
                [
                    sys.executable,
                    "-B",
                    str(PARTITIONED),
                    str(self.source / "entry_vm.py"),
                ],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={
                    **os.environ,
                    "PYTHONPATH": str(self.source),
                    "CARAWAYWARD_CONFIG": str(path),
                    partitioned.IP_VARIABLE: self.ip,
                    partitioned.FILE_VARIABLE: str(self._partition_path),
                    partitioned.CORE_VARIABLE: f"{self.core_share:g}",
                },
                # Signals reach the process that bounds its processor time too.
                process_group=0,
            )
        disruption.until_ms = trio.current_time() * 1000
        record.exit_code = await self.process.wait()
        record.until_ms = trio.current_time() * 1000
        asked = {-signal.SIGKILL}
        if record.stop_ms < math.inf:
            # SIGTERM ends a process that has no handler for it yet.
            asked |= {0, -signal.SIGTERM}
        if record.exit_code not in asked:
            self.ends_unasked += 1

    @property
    def record(self) -> records.VmProcess | None:
        """The record of the last process."""
        own = [p for p in self.history.processes if p.vm == self.name]
        return own[-1] if own else None

    @property
    def log_path(self) -> pathlib.Path:
        """The log of the last process."""
        return self.folder / f"{self.name}.{self.starts}.log"

    def write_settings(self) -> pathlib.Path:
        """Write the settings file."""
        path = self.folder / f"{self.name}.yaml"
        callers, readiness, peers, metrics, _, store = self.ports
        # A process that reads it meanwhile finds a complete one.
        fresh = path.with_suffix(".new")
        fresh.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self.zone,
                ip=self.ip,
                callers=callers,
                readiness=readiness,
                peers=peers,
                metrics=metrics,
                store=store,
                apply=f"{self.bounds.apply_ms:g}",
                ratio=f"{self.bounds.retry_ratio:g}",
                slack=f"{self.bounds.retry_slack:g}",
                grace=f"{self.bounds.grace_ms:g}",
                session=f"{self.session_ms:g}",
            ),
            encoding="utf-8",
        )
        fresh.replace(path)
        return path

    async def wait_until_ready(self) -> None:
        """Wait until the process answers the balancer's probes with 200."""
        with trio.fail_after(START_S):
            while not await self.is_ready():
                await trio.sleep(0.05)

    async def is_ready(self) -> bool:
        """Whether the process answers a probe with 200."""
        try:
            stream = await trio.open_tcp_stream("127.0.0.1", self.ports[1])
            async with stream:
                await stream.send_all(
                    b"GET /ready HTTP/1.1\r\nhost: a\r\n\r\n"
                )
                head = await stream.receive_some(100)
        except (OSError, trio.BrokenResourceError):
            return False
        return head.startswith(b"HTTP/1.1 200")

    def disrupt(self, kind: str) -> records.Disruption:
        """Record a disruption that begins now."""
        disruption = records.Disruption(
            name=self.name, kind=kind, from_ms=trio.current_time() * 1000
        )
        self.history.vm_disruptions.append(disruption)
        return disruption

    def kill(self) -> None:
        """End the process at once; it is started again."""
        if self.process is not None and self.process.returncode is None:
            disruption = self.disrupt("kill")
            disruption.until_ms = disruption.from_ms
            self._signal(signal.SIGKILL)

    async def stop(self) -> None:
        """Ask the process to end, and end it after the grace.

        It is started again. Only the process itself gets SIGTERM: what bounds
        its processor time has to outlive it.
        """
        process, record = self.process, self.record
        if (
            process is None
            or record is None
            or process.returncode is not None
            or record.stop_ms < math.inf
        ):
            return
        disruption = self.disrupt("stop")
        disruption.planned = True
        record.stop_ms = disruption.from_ms
        process.send_signal(signal.SIGTERM)
        with trio.move_on_after(self.bounds.grace_ms / 1000):
            await process.wait()
        if process is self.process:
            self._signal(signal.SIGKILL)
        disruption.until_ms = trio.current_time() * 1000

    def reload(self) -> None:
        """Have the process read its settings again."""
        # One that has logged nothing yet would be ended by SIGHUP.
        if (
            self.process is not None
            and self.process.returncode is None
            and self.log_path.stat().st_size > 0
        ):
            now_ms = trio.current_time() * 1000
            self.history.reloads_ms.setdefault(self.name, []).append(now_ms)
            self.process.send_signal(signal.SIGHUP)

    def _signal(self, number: signal.Signals) -> None:
        """Send a signal to the process and what bounds its processor time."""
        if self.process is not None and self.process.returncode is None:
            os.killpg(self.process.pid, number)

    @property
    def _partition_path(self) -> pathlib.Path:
        return self.folder / f"{self.name}.partition"

    def partition(self, mode: str, addresses: list[str]) -> None:
        """Refuse new connections to addresses, or have them hang."""
        text = json.dumps({"mode": mode, "addresses": addresses})
        fresh = self._partition_path.with_suffix(".new")
        fresh.write_text(text, encoding="utf-8")
        fresh.replace(self._partition_path)

    def end_partition(self) -> None:
        """Let new connections through again."""
        self._partition_path.unlink(missing_ok=True)

    async def pause(self, for_ms: float) -> None:
        """Freeze the process for a time."""
        process = self.process
        if process is None or process.returncode is not None:
            return
        disruption = self.disrupt("pause")
        self._signal(signal.SIGSTOP)
        await trio.sleep(for_ms / 1000)
        if process is self.process:
            self._signal(signal.SIGCONT)
        disruption.until_ms = trio.current_time() * 1000

    async def apply_link_mode(
        self, link: link_module.Link, mode: str, for_ms: float
    ) -> None:
        """Set a link to a mode for a time, then open it."""
        disruption = self.disrupt(mode)
        link.set_mode(mode, 0.0)
        await trio.sleep(for_ms / 1000)
        link.set_mode("open", 0.0)
        disruption.until_ms = trio.current_time() * 1000
