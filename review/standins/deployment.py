"""A small deployment on loopback for the review's scripts.

The entry VMs are the project's own program, started as separate processes
with the command of the deploy file. The store, the servers and the clients
are stand-ins in this process, after the users' pages. Needs no packages.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import typing
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
BROKEN, HELD, NOT_RUN = 1, 0, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAX_S = 115.0
SETTINGS = """\
name: {name}
failure_domain: {zone}
listen:
  callers: 127.0.0.1:{callers}
  readiness: 127.0.0.1:{readiness}
  peers: 127.0.0.1:{peers}
  metrics: 127.0.0.1:{metrics}
store:
  address: 127.0.0.1:{store}
heartbeat_ms: 1200
link_mbps: 100.0
bounds:
  key_lease_ms: 5000
  keys_fail_closed: true
  drain_ms: 3000
  apply_ms: 3000
  rollback_ms: 5000
  retry_ratio: 0.9
  retry_slack: 216
  exposure_share: 0.0975
  exposure_slack: 30
  session_ms: "8.5 s"
  grace_ms: "8 s"
  retry_window_ms: "10 s"
"""


def free_ports(count):
    """Ports that are free now on loopback."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self, folder):
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()
        self.note(f"TROUBLE={int(TROUBLE)}")

    def now(self):
        return time.monotonic() - self.began

    def note(self, text, show=True):
        line = f"{self.now():8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        if show:
            print(line, flush=True)


async def read_head(reader):
    """Start line and headers (lower case) of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """A body with a length, in chunks, or none."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


def make_head(status, headers):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def make_answer(status, headers, body=b""):
    return make_head(status, {**headers, "Content-Length": len(body)}) + body


async def serve_http(handle, port=0, host="127.0.0.1"):
    """Serve requests in sequence on each connection."""

    async def serve(reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                if not await handle(
                    method, target, headers, body, reader, writer
                ):
                    break
                await writer.drain()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, host, port)
    return server, server.sockets[0].getsockname()[1]


class Store:
    """The platform's store: keyed topics of one partition."""

    def __init__(self):
        self.topics = {}
        self.appended = asyncio.Condition()

    async def start(self):
        self.server, self.port = await serve_http(self.handle)

    def topic(self, name):
        return self.topics.setdefault(name, [])

    async def put_raw(self, topic, key, value):
        """Append one record; its return is the acknowledgement."""
        key = key.encode()
        self.topic(topic).append(bytes((len(key),)) + key + value)
        async with self.appended:
            self.appended.notify_all()

    async def put(self, topic, key, value):
        raw = b"" if value is None else json.dumps(value).encode()
        await self.put_raw(topic, key, raw)

    async def handle(self, method, target, headers, body, reader, writer):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        status, content = 404, b""
        records = self.topic(query.get("topic", ""))
        if url.path == "/api/log-read":
            status, content = await self.read(records, query)
        elif url.path == "/api/log-newest":
            newest = {}
            for offset, raw in enumerate(records):
                key, value = raw[1 : 1 + raw[0]], raw[1 + raw[0] :]
                newest.pop(key, None)
                if value:
                    newest[key] = (offset, value)
            items = [
                {
                    "key": key.decode(),
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (offset, value) in newest.items()
            ]
            page = {"items": items, "hasMore": False, "end": len(records)}
            status, content = 200, json.dumps(page).encode()
        elif url.path == "/api/log-append":
            status, content = await self.append(records, query, body)
        await asyncio.sleep(0.004)
        writer.write(make_answer(status, {}, content))
        return True

    async def read(self, records, query):
        start = int(query["from"])
        if start > len(records):
            return 410, b'{"first":0}'
        if start == len(records):
            wait_s = int(query.get("waitMs", 0)) / 1000
            with contextlib.suppress(asyncio.TimeoutError):
                async with self.appended:
                    await asyncio.wait_for(
                        self.appended.wait_for(lambda: len(records) > start),
                        wait_s,
                    )
        content = struct.pack(">QQ", len(records), 0)
        for raw in records[start:]:
            content += struct.pack(">I", len(raw)) + raw
        return 200, content

    async def append(self, records, query, body):
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return 403, b""
        if "at" in query and int(query["at"]) != len(records):
            return 412, json.dumps({"end": len(records)}).encode()
        offset = len(records)
        while body:
            (length,) = struct.unpack_from(">I", body)
            records.append(body[4 : 4 + length])
            body = body[4 + length :]
        async with self.appended:
            self.appended.notify_all()
        page = {"offset": offset, "end": len(records)}
        return 200, json.dumps(page).encode()


class Server:
    """A sound server of one service; ``runs`` has what began to run."""

    ids = itertools.count(1)

    def __init__(self, store, record, service, zone, slots=6, work_ms=22.5):
        self.store, self.record = store, record
        self.service, self.zone, self.slots = service, zone, slots
        self.name = f"i-{service}-{next(self.ids)}"
        self.work_s = work_ms / 1000
        self.state = "ready"
        self.silent_until = 0.0
        self.sequence = 0
        self.drained_at = None
        self.runs = []

    async def start(self):
        self.server, self.port = await serve_http(self.handle)
        await self.write_entry()
        self.beats = asyncio.create_task(self.beat())

    async def write_entry(self):
        self.sequence += 1
        await self.store.put("keyed.servers", self.name, self.entry())

    def entry(self):
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
        }

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            await self.write_entry()

    async def drain(self, serving_s):
        """Leave as planned; return when the store has accepted the report.

        The server goes on serving for ``serving_s`` and then ends.
        """
        self.state = "draining"
        self.beats.cancel()
        await self.write_entry()
        self.drained_at = self.record.now()
        self.record.note(f"store acknowledged that {self.name} is draining")
        self.ending = asyncio.create_task(self.end(serving_s))

    async def end(self, serving_s):
        await asyncio.sleep(serving_s)
        self.server.close()
        await self.store.put("keyed.servers", self.name, None)
        self.record.note(f"{self.name} has ended")

    async def handle(self, method, target, headers, body, reader, writer):
        if target == "/healthz":
            status = 200 if self.state == "ready" else 503
            writer.write(
                make_answer(status, {"Carawayward-Instance-Id": self.name})
            )
            return True
        if headers.get("carawayward-expect-instance") != self.name:
            writer.write(
                make_answer(421, {"Carawayward-Instance-Id": self.name})
            )
            return True
        attempt = headers.get("carawayward-attempt-id", "")
        self.runs.append((self.record.now(), attempt))
        self.record.note(f"run {attempt} at {self.name}", show=False)
        return await self.run(attempt, target, headers, reader, writer)

    async def run(self, attempt, target, headers, reader, writer):
        await asyncio.sleep(self.work_s)
        await asyncio.sleep(max(0.0, self.silent_until - time.monotonic()))
        sealed = {
            "Carawayward-Attempt-Id": attempt,
            "Carawayward-Server-Seal": f"seal.{self.name}",
        }
        writer.write(make_answer(200, sealed, b"x" * 800))
        return True


class EntryVm:
    """One process of the deploy file's role."""

    def __init__(self, name, zone, store, folder):
        self.name, self.zone, self.folder = name, zone, folder
        self.callers, self.readiness, self.peers, self.metrics = free_ports(4)
        self.store = store
        self.process = None
        self.log = folder / f"{name}.log"

    def start(self):
        path = self.folder / f"{self.name}.yaml"
        path.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self.zone,
                callers=self.callers,
                readiness=self.readiness,
                peers=self.peers,
                metrics=self.metrics,
                store=self.store.port,
            ),
            encoding="utf-8",
        )
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry-vm"]["run"])
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["CARAWAYWARD_CONFIG"] = str(path)
        return self._spawn(command, environment)

    async def _spawn(self, command, environment):
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=asyncio.subprocess.STDOUT,
            )

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.readiness
            )
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: a\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return head is not None and " 200 " in head[0]

    def kill(self, number=signal.SIGKILL):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


class Result(typing.NamedTuple):
    """What became of a request: a status, "closed", or "late" for none.

    ``kept`` says whether its connection had carried others; times are in s.
    """

    sent: float
    attempt: str
    status: str
    kept: bool
    took: float


class Client:
    """Sends requests one after the other on a kept connection."""

    def __init__(
        self,
        vm,
        record,
        route,
        kind,
        pause_s=0.05,
        deadline_ms=1500,
        headers=(),
        body=b"",
        chunked=False,
    ):
        self.vm, self.record = vm, record
        self.route, self.kind, self.pause_s = route, kind, pause_s
        self.deadline_ms, self.headers = deadline_ms, headers
        self.framing = f"Content-Length: {len(body)}"
        self.body = body
        if chunked:
            self.framing = "Transfer-Encoding: chunked"
            self.body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        self.results = []

    async def run(self):
        numbers = itertools.count()
        reader = writer = None
        while True:
            attempt = f"{self.kind}-{id(self):x}-{next(numbers)}"
            kept = writer is not None
            if writer is None:
                try:
                    reader, writer = await asyncio.open_connection(
                        "127.0.0.1", self.vm.callers
                    )
                except OSError:
                    await asyncio.sleep(0.2)
                    continue
            sent = self.record.now()
            result = await self.send(reader, writer, attempt)
            self.record.note(
                f"{attempt} by {self.vm.name} sent {sent:.3f}: {result}",
                show=False,
            )
            took = self.record.now() - sent
            self.results.append(Result(sent, attempt, result, kept, took))
            if result in ("closed", "late") or result.endswith("close"):
                writer.close()
                reader = writer = None
            await asyncio.sleep(self.pause_s)

    async def send(self, reader, writer, attempt):
        lines = [
            f"{'GET' if self.kind == 'safe' else 'POST'} {self.route}x"
            " HTTP/1.1",
            "Host: trips.example",
            f"Carawayward-Attempt-Id: {attempt}",
            f"Carawayward-Deadline-Ms: {self.deadline_ms}",
            "Carawayward-Key: key-of-tenant-a",
            *self.headers,
            self.framing,
        ]
        wait_s = self.deadline_ms / 1000
        try:
            head = "\r\n".join(lines).encode() + b"\r\n\r\n"
            writer.write(head + self.body)
            await writer.drain()
            head = await asyncio.wait_for(read_head(reader), wait_s)
            if head is None:
                return "closed"
            first, headers = head
            await asyncio.wait_for(read_body(reader, headers), wait_s)
        except asyncio.TimeoutError:
            return "late"
        except (ConnectionError, asyncio.IncompleteReadError):
            return "closed"
        close = " close" if headers.get("connection") == "close" else ""
        return first.split(" ")[1] + close


def make_config():
    """A configuration of one plain service with a safe and an unsafe route."""
    route = {
        "host": "trips.example",
        "timeoutMs": 1500,
        "targetLatencyMs": 168,
        "priority": 0,
        "service": "dispatch-core",
        "maxAttempts": 3,
        "anonymous": False,
        "affinity": False,
    }
    plain = [
        {**route, "name": "r-look", "pathPrefix": "/look/"}
        | {"routeKind": "safe"},
        {**route, "name": "r-post", "pathPrefix": "/post/"}
        | {"routeKind": "unsafe", "maxAttempts": 2},
    ]
    return {
        "version": 7,
        "routes": plain,
        "services": [
            {
                "name": "dispatch-core",
                "healthPath": "/healthz",
                "maxConnections": 590,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": "tenant-a", "apiKeys": ["key-of-tenant-a"], "priority": 1}
        ],
    }


async def start_vms(store, record, folder, started, count=3):
    """Start entry VMs in two zones and wait until they are ready.

    They are added to ``started`` first, so that they are ended in any case.
    """
    vms = [
        EntryVm(f"edge-{n}", f"zone-{n % 2}", store, folder)
        for n in range(count)
    ]
    started += vms
    for vm in vms:
        await vm.start()
    for vm in vms:
        until = time.monotonic() + 30
        while not await vm.is_ready():
            if time.monotonic() > until:
                raise RuntimeError(f"{vm.name} does not get ready")
            await asyncio.sleep(0.1)
    record.note(f"{count} entry VMs ready")
    return vms


def main(case, folder):
    """Run ``case(record, temporary, started)``, true if the rule is broken."""
    record = Record(pathlib.Path(folder))

    async def run():
        started = []
        with tempfile.TemporaryDirectory() as temporary:
            try:
                async with asyncio.timeout(MAX_S):
                    return await case(
                        record, pathlib.Path(temporary), started
                    )
            finally:
                for vm in started:
                    vm.kill()
                for vm in started:
                    if vm.process is not None:
                        await vm.process.wait()
                for vm in started:
                    lines = vm.log.read_text(errors="replace").splitlines()
                    faults = [each for each in lines if '"fault"' in each]
                    for line in faults[:2]:
                        record.note(f"log {vm.name}: {line}", show=False)

    try:
        broken = asyncio.run(run())
    except Exception as fault:
        record.note(f"not run: {fault!r}")
        sys.exit(NOT_RUN)
    record.note("rule broken" if broken else "rule held")
    sys.exit(BROKEN if broken else HELD)
