"""Stand-ins of the store, servers and clients, and entry VM processes.

It uses the standard library only. Everything listens on loopback addresses.
"""

import asyncio
import base64
import contextlib
import fcntl
import json
import logging
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
READ_BYTES = 65_536
HOST = "ficu95.example"
START_S = 30.0
FIRST_PORT, LAST_PORT, BLOCK = 20_000, 32_000, 200
_locks, _ports = [], []


def is_troubled():
    """Whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt: one line for each thing sent, answered or run."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = (pathlib.Path(folder) / "record.txt").open("w")

    def write(self, text):
        """Write a line with the time since the start in seconds."""
        now = time.monotonic() - self.began
        self.file.write(f"{now:8.3f} {text}\n")
        self.file.flush()


def lock_ports():
    """Lock a block of ports for this process; return an iterator of them.

    The port of a process that is down could be taken by another script that
    runs at the same time. The blocks lie below the range from which outgoing
    connections get theirs.
    """
    for first in range(LAST_PORT - BLOCK, FIRST_PORT, -BLOCK):
        name = f"review-ports-{os.getuid()}-{first}"
        lock = (pathlib.Path(tempfile.gettempdir()) / name).open("w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        _locks.append(lock)
        return iter(range(first, first + BLOCK))
    raise NotRun("all blocks of ports are locked")


def find_free_ports(count):
    """Return TCP and UDP ports that are free at the moment."""
    if not _ports:
        _ports.append(lock_ports())
    found = []
    while len(found) < count:
        port = next(_ports[0])
        with (
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
            contextlib.suppress(OSError),
        ):
            tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
            found.append(port)
    return found


class Message:
    """A parsed request or response; header names are in lower case."""

    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=""):
        """The last value of a header."""
        values = [v for n, v in self.headers if n == name]
        return values[-1] if values else default


async def read_head(reader):
    """Read a first line and headers; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return Message(lines[0], headers, b"")


async def read_chunks(reader):
    """Yield the chunks of a chunked body."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_body(reader, message, to_end=False):
    """Read the body; raise IncompleteReadError if it is cut off."""
    if "chunked" in message.get("transfer-encoding"):
        return b"".join([each async for each in read_chunks(reader)])
    length = message.get("content-length")
    if length:
        return await reader.readexactly(int(length))
    return await reader.read() if to_end else b""


def encode(first, headers, body=b""):
    """Encode a message; Content-Length is added."""
    lines = [first, *(f"{n}: {v}" for n, v in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def serve_http(handle, port=0, host="127.0.0.1"):
    """Serve requests with ``handle(message, reader, writer)``."""

    async def serve_connection(reader, writer):
        try:
            while (message := await read_head(reader)) is not None:
                message.body = await read_body(reader, message)
                if await handle(message, reader, writer) is False:
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The case is over.
            pass
        finally:
            writer.close()

    return await asyncio.start_server(
        serve_connection, host, port, limit=2**20, backlog=1024
    )


class Topic:
    """The records of one topic, and the newest of each key."""

    def __init__(self):
        self.records, self.newest = [], {}
        self.appended = asyncio.Event()

    def append(self, raw):
        """Append a record: length of the key, key, value."""
        key, value = raw[1 : 1 + raw[0]].decode(), raw[1 + raw[0] :]
        if value:
            self.newest[key] = (len(self.records), value)
        else:
            self.newest.pop(key, None)
        self.records.append(raw)
        self.appended.set()
        self.appended = asyncio.Event()


class Store:
    """The platform's store: a log with keyed topics.

    It loses nothing but by ``restore``. ``filter`` is called with the name
    of a call before it is answered; it may wait, or return False to reset the
    connection. While it is ``away`` it resets all connections.
    """

    def __init__(self, record):
        self.record, self.topics, self.port = record, {}, 0
        self.filter, self.away, self.era = None, False, 1
        self.copy = {}

    def save_copy(self):
        """Save a copy of all data, for ``restore``."""
        self.copy = {}
        for name, topic in self.topics.items():
            self.copy[name] = Topic()
            for raw in topic.records:
                self.copy[name].append(raw)

    def go_away(self):
        """Reset the connections of calls that wait, and of all others."""
        self.away = True
        for topic in self.topics.values():
            topic.appended.set()

    def restore(self):
        """Come back from the copy, in a new era."""
        self.topics, self.copy = self.copy, {}
        self.era += 1
        self.away = False

    def topic(self, name):
        """A topic; created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Write as operators and servers do; None removes the key."""
        raw = b"" if value is None else json.dumps(value).encode()
        self.topic(topic).append(bytes((len(key),)) + key.encode() + raw)

    async def start(self):
        """Start to listen."""
        self.server = await serve_http(self.handle)
        self.port = self.server.sockets[0].getsockname()[1]

    async def handle(self, message, reader, writer):
        """Answer one call."""
        target = urllib.parse.urlsplit(message.first.split(" ")[1])
        query = dict(urllib.parse.parse_qsl(target.query))
        name = target.path.rpartition("/")[2]
        era = self.era
        if self.filter and await self.filter(name, query) is False:
            writer.transport.abort()
            return False
        topic = self.topic(query.get("topic", ""))
        if name == "log-newest":
            status, body = 200, self.list_newest(topic)
        elif name == "log-read":
            status, body = await self.read(topic, query)
        elif name == "log-append":
            status, body = self.append(topic, query, message.body)
        else:
            status, body = 404, b""
        if self.away or era != self.era:
            writer.transport.abort()
            return False
        headers = [("Store-Era", str(era))]
        writer.write(encode(f"HTTP/1.1 {status} X", headers, body))
        return True

    def list_newest(self, topic):
        """The newest record of each key."""
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in sorted(topic.newest.items())
        ]
        body = {"items": items, "hasMore": False, "end": len(topic.records)}
        return json.dumps(body).encode()

    async def read(self, topic, query):
        """The records from an offset on; waits for one."""
        start = int(query["from"])
        if start == len(topic.records):
            wait_s = int(query.get("waitMs", 0)) / 1000
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(topic.appended.wait(), wait_s)
        if start > len(topic.records):
            return 410, json.dumps({"first": 0}).encode()
        body = struct.pack(">QQ", len(topic.records), 0)
        for raw in topic.records[start:]:
            body += struct.pack(">I", len(raw)) + raw
        return 200, body

    def append(self, topic, query, content):
        """Append records, if the topic ends where the caller expects."""
        if self.away:
            return 503, b""
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return 403, b""
        end = len(topic.records)
        if "at" in query and int(query["at"]) != end:
            return 412, json.dumps({"end": end}).encode()
        while content:
            (length,) = struct.unpack_from(">I", content)
            topic.append(content[4 : 4 + length])
            content = content[4 + length :]
        body = {"offset": end, "end": len(topic.records)}
        return 200, json.dumps(body).encode()


class Server:
    """A sound server: it runs a request that names it, else answers 421.

    ``runs`` holds the requests that it began to run. ``behave`` may replace
    the normal answer.
    """

    def __init__(self, rig, name, service, zone="ikeja", **entry):
        self.rig, self.name, self.service, self.zone = rig, name, service, zone
        self.runs, self.behave, self.port = [], None, 0
        self.entry, self.notices = entry, []
        self.sequence, self.born = 0, int(time.time() * 1000)
        self.beating = None

    async def start(self, port=0):
        """Listen, and register in the store."""
        self.server = await serve_http(self.handle, port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.register()
        self.beating = asyncio.create_task(self.beat())

    async def beat(self):
        """Renew the entry with each heartbeat."""
        while True:
            await asyncio.sleep(1.2)
            self.register()

    def register(self, **changes):
        """Write the entry of the server, unless the store is away."""
        if self.rig.store.away:
            return
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
            **self.entry,
            **changes,
        }
        self.rig.store.put("keyed.servers", self.name, entry)

    def seal(self, message):
        """The headers of the server's own answers."""
        return [
            (
                "Carawayward-Attempt-Id",
                message.get("carawayward-attempt-id"),
            ),
            ("Carawayward-Server-Seal", f"{self.name}.seal"),
            *self.notices,
        ]

    async def handle(self, message, reader, writer):
        """Answer one request."""
        path = message.first.split(" ")[1]
        if path == "/healthz":
            headers = [("Carawayward-Instance-Id", self.name)]
            writer.write(encode("HTTP/1.1 200 OK", headers))
            return True
        attempt = message.get("carawayward-attempt-id")
        expected = message.get("carawayward-expect-instance", self.name)
        if expected != self.name:
            self.rig.record.write(f"421 {attempt} at {self.name}")
            headers = [("Carawayward-Instance-Id", self.name)]
            writer.write(encode("HTTP/1.1 421 X", headers))
            return True
        if not attempt:
            headers = [("Carawayward-Not-Executed", "1")]
            writer.write(encode("HTTP/1.1 400 X", headers))
            return True
        self.runs.append(message)
        self.rig.record.write(
            f"run {attempt} at {self.name} {message.first}"
            f" tenant={message.get('carawayward-tenant', '(none)')}"
        )
        if self.behave is not None:
            return await self.behave(self, message, reader, writer)
        body = b"done by " + self.name.encode()
        writer.write(encode("HTTP/1.1 200 OK", self.seal(message), body))
        return True


async def stream(server, message, writer, numbers, pause_s=0.01):
    """Answer with a stream of one event for each of the numbers."""
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
    lines += [f"{name}: {value}" for name, value in server.seal(message)]
    lines += ["Transfer-Encoding: chunked", "", ""]
    writer.write("\r\n".join(lines).encode())
    for number in numbers:
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(pause_s)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


SETTINGS = """\
name: {name}
failure_domain: {zone}
listen:
  callers: "127.0.0.1:{callers}"
  readiness: "127.0.0.1:{readiness}"
  peers: "127.0.0.1:{peers}"
  metrics: "127.0.0.1:{metrics}"
store:
  address: "127.0.0.1:{store}"
heartbeat_ms: 1200
link_mbps: 1000.0
resources:
  memory_mb: {memory_mb}
  descriptors: 4100
bounds:
  key_lease_ms: 5000
  keys_fail_closed: true
  drain_ms: 2000
  apply_ms: 2000
  rollback_ms: 5000
  retry_ratio: 0.9
  retry_slack: 58
  exposure_share: 0.15
  exposure_slack: 30
  session_ms: "5 s"
  grace_ms: "8 s"
  retry_window_ms: "10 s"
"""


class EntryVm:
    """A process of the deploy file's command."""

    def __init__(self, rig, name, zone="ikeja", memory_mb=300, more_bounds=""):
        self.rig, self.name, self.zone = rig, name, zone
        self.memory_mb, self.process = memory_mb, None
        self.more_bounds = more_bounds
        self.callers, self.readiness, self.peers, self.metrics = (
            find_free_ports(4)
        )

    def start(self):
        """Start the process."""
        path = self.rig.folder / f"{self.name}.yaml"
        path.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self.zone,
                callers=self.callers,
                readiness=self.readiness,
                peers=self.peers,
                metrics=self.metrics,
                store=self.rig.store.port,
                memory_mb=self.memory_mb,
            )
            + self.more_bounds
        )
        log = (self.rig.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            ["python3", "src/entry_vm.py"],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
            env={
                **{
                    name: os.environ[name]
                    for name in ("PATH", "HOME", "LANG")
                    if name in os.environ
                },
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "CARAWAYWARD_CONFIG": str(path),
            },
        )
        log.close()
        self.rig.record.write(f"start of {self.name}")

    def send_signal(self, number):
        """Send a signal to the process."""
        self.rig.record.write(f"{signal.Signals(number).name} {self.name}")
        self.process.send_signal(number)

    async def is_ready(self):
        """Whether it answers the platform's probe with 200."""
        with contextlib.suppress(OSError):
            answer = await call(
                self.readiness, "GET", "/api/readyz", [("Host", "a")]
            )
            return answer.status == 200
        return False

    async def wait_until_ready(self):
        """Wait until it is ready."""
        end = time.monotonic() + START_S
        while not await self.is_ready():
            if time.monotonic() > end or self.process.poll() is not None:
                raise NotRun(f"{self.name} did not become ready")
            await asyncio.sleep(0.05)

    def read_peak_mb(self):
        """The most memory that the process has had, in MB."""
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(x for x in text.splitlines() if x.startswith("VmHWM"))
        return int(line.split()[1]) / 1000


class NotRun(Exception):
    """The case could not run."""


class Answer:
    """What a client got; ``status`` is 0 without a whole answer."""

    def __init__(self, status, headers, body, detail=""):
        self.status, self.headers, self.body = status, headers, body
        self.detail = detail


async def exchange(reader, writer, method, path, headers, body=b""):
    """Send a request on a connection and read its answer."""
    sent = list(headers)
    lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in sent)]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
    try:
        await writer.drain()
        message = await read_head(reader)
        if message is None:
            return Answer(0, [], b"", "closed")
        status = int(message.first.split(" ")[1])
        content = await read_body(reader, message, to_end=True)
    except (ConnectionError, asyncio.IncompleteReadError) as fault:
        return Answer(0, [], b"", type(fault).__name__)
    return Answer(status, message.headers, content)


async def call(port, method, path, headers, body=b"", timeout_s=30.0):
    """Send a request on a connection of its own."""
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", port, limit=2**20
    )
    try:
        return await asyncio.wait_for(
            exchange(reader, writer, method, path, headers, body), timeout_s
        )
    except TimeoutError:
        return Answer(0, [], b"", "no answer")
    finally:
        writer.close()


KEY = "n2ctnfzs989anu6wsjnb"
OTHER_KEY = "anfqasnmgkcuyj8pjbvk"
ENGINE = {
    "slots": 64,
    "kvCapacityTokens": 628_077,
    "models": [{"name": "m0", "cost": 0.0082}, {"name": "m1", "cost": 0.062}],
}


def make_config(version=7, **changes):
    """A configuration like that of a small deployment."""
    shared = {
        "host": HOST,
        "timeoutMs": 2500,
        "targetLatencyMs": 200,
        "priority": 2,
        "anonymous": False,
        "affinity": False,
        "service": "desk",
    }
    routes = [
        {
            "name": "log",
            "pathPrefix": "/log/",
            "routeKind": "unsafe",
            "maxAttempts": 1,
        },
        {
            "name": "look",
            "pathPrefix": "/look/",
            "routeKind": "safe",
            "maxAttempts": 2,
        },
        {
            "name": "tip",
            "pathPrefix": "/tip/",
            "routeKind": "streaming",
            "maxAttempts": 3,
            "service": "matcher",
            "affinity": True,
            "resumable": True,
            "gapTargetMs": 1000,
            "timeoutMs": 25000,
            "targetLatencyMs": 2000,
        },
    ]
    return {
        "version": version,
        "routes": [{**shared, **each} for each in routes],
        "services": [
            {"name": "desk", "healthPath": "/healthz", "maxConnections": 110},
            {
                "name": "matcher",
                "healthPath": "/healthz",
                "maxConnections": 370,
                "engine": ENGINE,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": "hule930", "apiKeys": [KEY], "priority": 1},
            {"name": "wuno96b", "apiKeys": [OTHER_KEY], "priority": 1},
        ],
        **changes,
    }


class Rig:
    """A small deployment: store, servers and entry VMs."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.store = Store(self.record)
        self.servers, self.vms, self.ids = [], [], 0

    async def start(self, servers, vms=1, config=None, **options):
        """Start everything and wait until the entry VMs are ready.

        ``servers`` are pairs of a name and a service.
        """
        await self.store.start()
        self.store.put("keyed.op", "config", config or make_config())
        for name, service in servers:
            server = Server(self, name, service)
            await server.start()
            self.servers.append(server)
        for number in range(vms):
            vm = EntryVm(self, f"edge-ikeja-{number + 1}", **options)
            vm.start()
            self.vms.append(vm)
        for vm in self.vms:
            await vm.wait_until_ready()

    def make_headers(self, deadline_ms=2500, key=KEY, **more):
        """The headers of a request; returns its id too."""
        self.ids += 1
        attempt = f"{self.ids:016x}"
        headers = [
            ("Host", HOST),
            ("Carawayward-Attempt-Id", attempt),
            ("Carawayward-Deadline-Ms", str(deadline_ms)),
            ("Carawayward-Key", key),
        ]
        headers += [(n.replace("_", "-"), str(v)) for n, v in more.items()]
        return attempt, headers

    async def send(self, method, path, body=b"", vm=0, timeout_s=30.0, **head):
        """Send a request as a client; record it and its answer."""
        attempt, headers = self.make_headers(**head)
        self.record.write(f"send {attempt} {method} {path} {head or ''}")
        port = self.vms[vm].callers
        try:
            answer = await call(port, method, path, headers, body, timeout_s)
        except OSError as fault:
            answer = Answer(0, [], b"", type(fault).__name__)
        self.record.write(
            f"answer {attempt} {answer.status} {answer.detail}"
            f" {answer.body[:40]!r}"
        )
        return attempt, answer

    def stop(self):
        """End all processes that were started."""
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
            if vm.process is not None:
                vm.process.wait()
        self.temporary.cleanup()


def main(folder, run):
    """Run ``run(rig)``, which returns whether the rule held, and exit."""

    async def play():
        rig = Rig(folder)
        try:
            return await asyncio.wait_for(run(rig), 115.0)
        finally:
            if os.environ.get("KEEP_LOGS"):
                for vm in rig.vms:
                    log = rig.folder / f"{vm.name}.log"
                    print(log.read_text()[-6000:], file=sys.stderr)
            rig.stop()

    # Connections that are still open at the end are of no interest.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    try:
        held = asyncio.run(play())
    except Exception as fault:
        print(f"could not run: {fault!r}")
        sys.exit(2)
    print("held" if held else "broken")
    sys.exit(0 if held else 1)
