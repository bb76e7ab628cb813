"""Calls of the callers' API beside a stop have an answer or are unread."""

import collections
import contextlib
import itertools
import json
import math
import pathlib
import signal
import ssl
import subprocess
import tempfile
import time

import attrs
import httpcore
from nose2.tools import params
import trio

from tests.common import certificates
from tests.common import deployment
from tests.common import streaming
from tests.common import tls_deployment
from tests.failures import test_stop_answers

STOP = {"unready_ms": 800, "deadline_ms": 4_000}
BEFORE_S = 1.0
GAP_S = 0.03
# The first bytes of a head, or of a TLS handshake, that never goes on.
UNFINISHED = {"http": b"POST /v1/", "https": b"\x16\x03\x01\x02\x00\x01"}
REPLIES = (200, 503, 504)


@attrs.define
class Calls:
    """Calls to one entry VM, and how each ended, by request key.

    ``sent_s`` and ``waited_s`` have when each was sent, from the first signal
    on, and for how long it waited on a connection that was accepted. The
    process has ended ``took_s`` after that signal.
    """

    vm: deployment.EntryProcess
    process: subprocess.Popen
    pools: list[httpcore.AsyncConnectionPool]
    scheme: str
    gap_s: float = GAP_S
    signalled_s: float = math.inf
    took_s: float = math.inf
    ended: dict[str, httpcore.Response | None] = attrs.field(factory=dict)
    sent_s: dict[str, float] = attrs.field(factory=dict)
    waited_s: dict[str, float] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Call on kept and new connections until the process has ended."""
        async with trio.open_nursery() as nursery:
            for number in itertools.count():
                if self.process.poll() is not None:
                    self.took_s = trio.current_time() - self.signalled_s
                    break
                nursery.start_soon(self._call, number)
                nursery.start_soon(self._leave_unfinished)
                await trio.sleep(self.gap_s)

    async def _call(self, number: int) -> None:
        key = f"key-{number}"
        headers = {**streaming.HEADERS, "Idempotency-Key": key}
        path, body = "/v1/chat/completions", streaming.make_body(key)
        body["stream"] = number % 4 == 0
        if number % 4 > 1:
            operation = ("look-up-parcel", "log-swap")[number % 2]
            path, body = f"/v1/services/swap-desk/{operation}", {"text": key}
            headers["Carawayward-Key-Made-At"] = str(int(time.time() * 1000))
            headers["Carawayward-Attempt"] = "1"
        self.ended[key] = None
        sent_s = trio.current_time()
        self.sent_s[key] = sent_s - self.signalled_s
        try:
            self.ended[key] = await self.pools[number // 4 % 2].request(
                "POST",
                f"{self.scheme}://{self.vm.callers}{path}",
                headers=list(headers.items()),
                content=json.dumps(body).encode(),
                extensions={"timeout": {"connect": 10.0, "read": 20.0}},
            )
        except httpcore.ConnectError:
            # With a full accept queue the kernel refuses it after 1 s, when
            # the caller tries to connect again.
            sent_s = trio.current_time()
        except (httpcore.NetworkError, httpcore.RemoteProtocolError):
            pass
        self.waited_s[key] = trio.current_time() - sent_s

    async def _leave_unfinished(self) -> None:
        host, _, port = self.vm.callers.partition(":")
        with contextlib.suppress(OSError, trio.BrokenResourceError):
            stream = await trio.open_tcp_stream(host, int(port))
            await stream.send_all(UNFINISHED[self.scheme])
            await stream.receive_some()

    def list_problems(self, events: list[dict]) -> list[str]:
        """What is wrong with the calls and their lines in the log.

        A call that is refused at once has a line without its key.
        """
        names = (*test_stop_answers.FINAL_EVENTS, "request_bad")
        lines = collections.Counter(
            event.get("request", "")
            for event in events
            if event["name"] in names
        )
        problems = []
        expected: collections.Counter[str] = collections.Counter()
        for key, reply in self.ended.items():
            if reply is None:
                if lines[key]:
                    problems.append(f"{key}: read, but not answered")
                continue
            if reply.status not in REPLIES:
                problems.append(f"{key}: {reply.status} {reply.content!r}")
            if reply.status != 200:
                expected[json.loads(reply.content)["request"]] += 1
            elif b"event: error" in reply.content:
                expected[key] += 1
        if lines != expected:
            problems.append(f"lines: {lines - expected} {expected - lines}")
        return problems


def make_deployment(folder: pathlib.Path, tls: bool):
    """A deployment, and the context of its callers' connections."""
    if not tls:
        plan = streaming.make_plan(engines=2, stop=STOP)
        return deployment.Deployment(plan), None
    own = certificates.Authority(folder, "own")
    server, client = own.issue("server"), own.issue("client")
    context = ssl.create_default_context(cafile=own.certificate)
    context.load_cert_chain(client["certificate"], client["key"])
    plan = streaming.make_plan(
        engines=2,
        stop=STOP,
        tls={"callers": {**server, "client_ca": own.certificate}},
    )
    return (
        tls_deployment.TlsDeployment(
            plan=plan, authority=own.certificate, client=client
        ),
        context,
    )


async def stop_beside_calls(vm, context, pauses_s, gap_s=GAP_S) -> Calls:
    """Stop an entry VM with signals, each after a pause."""
    async with contextlib.AsyncExitStack() as stack:
        pools = [
            await stack.enter_async_context(
                httpcore.AsyncConnectionPool(
                    ssl_context=context,
                    max_connections=1_000,
                    max_keepalive_connections=kept,
                )
            )
            for kept in (1_000, 0)
        ]
        scheme = "https" if context else "http"
        calls = Calls(vm, vm.process, pools, scheme, gap_s)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(calls.run)
            for pause_s in (BEFORE_S, *pauses_s):
                await trio.sleep(pause_s)
                vm.process.send_signal(signal.SIGTERM)
                calls.signalled_s = min(calls.signalled_s, trio.current_time())
        return calls


@params(
    (False, (), 100),
    (True, (), 100),
    (False, (), 2_500),
    (True, (), 2_500),
    (False, (0.05,), 2_500),
    (True, (1.5,), 2_500),
)
def test_calls_beside_a_stop_are_answered(tls, pauses_s, late_ms):
    """Guards against calls lost as listeners close, over TCP and TLS.

    Engines answer late, so that calls wait in queues; some callers never
    finish a head or a handshake.
    """
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        made, context = make_deployment(pathlib.Path(folder), tls)
        running = stack.enter_context(made)
        vm = running.entry_vms[0]
        for name in (*running.pools["matchers"], "swap-desk-0"):
            running.set_faults(name, late_ms=late_ms)
        began_s = time.monotonic()
        calls = trio.run(stop_beside_calls, vm, context, pauses_s)
        took_s = time.monotonic() - began_s - BEFORE_S
        events = test_stop_answers.read_events(running, vm.name)
    assert not (problems := calls.list_problems(events)), problems
    cut = any(event["name"] == "work_cut" for event in events)
    assert vm.process.returncode == int(cut), events[-1]
    assert events[-1]["name"] == "node_stopped"
    assert took_s < STOP["deadline_ms"] / 1000, took_s
    statuses = {reply.status for reply in calls.ended.values() if reply}
    assert statuses >= {504 if cut else 200, 503}, statuses
