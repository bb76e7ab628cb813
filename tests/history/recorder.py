"""Runs concurrent callers against a deployment and records the history."""

import concurrent.futures
import hashlib
import itertools
import json
import random
import threading
import time
import typing

import attrs
import httpcore

from carawayward.protocol import tokens
from tests.common import deployment
from tests.common import linked
from tests.history import events
from tests.standins import engine

CALL_TIMEOUT_S = 10.0
MAX_SENDS = 3
WATCH_INTERVAL_S = 0.2
CALLER_PAUSE_S = 0.05
KINDS = ("quick", "deep", "session", "ticket", "keyed", "look")
CRASH_MARK = "crash-here"

_CONNECTION_ERRORS = (
    httpcore.TimeoutException,
    httpcore.NetworkError,
    httpcore.ProtocolError,
)


def now_ms() -> float:
    """The clock of all times in a history."""
    return time.monotonic() * 1000


@attrs.define
class Recorder:
    """Runs callers and a watcher, and records what they observe.

    ``sessions`` has the open session of each caller and customer.
    """

    running: linked.LinkedDeployment
    history: events.History = attrs.field(factory=events.History)
    ended: threading.Event = attrs.field(factory=threading.Event)
    sessions: dict[str, dict] = attrs.field(factory=dict)

    def work(self, seed: int, callers: int = 6) -> "Work":
        """Start the callers and the watcher; ``Work.stop`` joins them."""
        pool = concurrent.futures.ThreadPoolExecutor(callers + 1)
        tasks = [
            pool.submit(self.run_caller, number, seed)
            for number in range(callers)
        ]
        tasks.append(pool.submit(self.watch))
        return Work(self, pool, tasks)

    def run_caller(self, number: int, seed: int) -> None:
        """Send requests in sequence until the run ends."""
        draw = random.Random(f"{seed}-{number}")
        for count in itertools.count():
            if self.ended.wait(CALLER_PAUSE_S):
                return
            kind = draw.choice(KINDS)
            customer = draw.choice(("alpha", "alpha", "beta"))
            self.send(f"c{number}-{count}", kind, customer, draw)

    def pick_vm(self, draw: random.Random) -> deployment.EntryProcess:
        """Pick a random entry VM, like a load balancer."""
        return draw.choice(list(self.running.entry_vms))

    def send(
        self,
        key: str,
        kind: str,
        customer: str,
        draw: random.Random,
        text: str = "",
    ) -> list[events.Call]:
        """Send a request; retry it while its outcome is not known.

        Each attempt goes through a random entry VM. Returns the attempts.
        """
        call = events.Call(
            key=key,
            customer=customer,
            vm="",
            began_ms=0,
            ended_ms=0,
            kind=events.Kind.NO_CONNECTION,
            target=kind,
            once=kind in ("ticket", "keyed"),
        )
        headers = {
            "Authorization": f"Bearer demo-{customer}",
            "Idempotency-Key": key,
        }
        if kind == "keyed":
            headers["Carawayward-Key-Made-At"] = str(time.time_ns() // 10**6)
        try:
            call = self.prepare(call, headers, self.pick_vm(draw))
        except _CONNECTION_ERRORS:
            return []
        sent = []
        for attempt in range(MAX_SENDS):
            if call.once:
                headers["Carawayward-Attempt"] = str(attempt + 1)
            vm = self.pick_vm(draw)
            sent.append(self.send_once(call, vm, headers, text))
            self.history.calls.append(sent[-1])
            if sent[-1].kind is events.Kind.NOT_RUN:
                session = f"{key.partition('-')[0]} {customer}"
                self.sessions.pop(session, None)
            if sent[-1].kind in (events.Kind.ANSWERED, events.Kind.NOT_RUN):
                break
        return sent

    def prepare(
        self,
        call: events.Call,
        headers: dict[str, str],
        vm: deployment.EntryProcess,
    ) -> events.Call:
        """Open the session or get the ticket that a call needs.

        A caller reuses a customer's session until a request is refused.
        """
        if call.target == "session":
            name = f"{call.key.partition('-')[0]} {call.customer}"
            opened = self.sessions.get(name)
            if opened is None:
                reply = self.post(vm, "/v1/sessions", headers)
                if reply.status != 201:
                    return call
                opened = self.sessions[name] = reply.json()
            headers["Carawayward-Session"] = opened["token"]
            return attrs.evolve(
                call, session=opened["session"], pins=opened["versions"]
            )
        if call.target == "ticket":
            reply = self.post(vm, "/v1/tickets", headers)
            if reply.status == 201:
                headers["Carawayward-Ticket"] = reply.json()["ticket"]
                signer = tokens.Signer(tuple(deployment.KEYS["tokens"]))
                ticket = signer.read_ticket(reply.json()["ticket"])
                return attrs.evolve(
                    call, ticket=ticket.ticket_id, issuer=ticket.issuer
                )
        return call

    def post(
        self, vm: deployment.EntryProcess, path: str, headers: dict[str, str]
    ) -> deployment.Response:
        """Send a request for a session or a ticket, with a short timeout."""
        return deployment.call("POST", vm.callers, path, {}, headers, 3.0)

    def send_once(
        self,
        call: events.Call,
        vm: deployment.EntryProcess,
        headers: dict[str, str],
        text: str,
    ) -> events.Call:
        """Send one attempt of a request; return its result."""
        path = "/v1/services/desk/log"
        body: dict[str, typing.Any] = {"text": call.key}
        if call.target == "look":
            path = "/v1/services/desk/look"
        expected = {}
        stream = False
        if call.target in ("quick", "deep", "session"):
            messages = [{"role": "user", "content": f"{call.key} {text}"}]
            stream = sum(call.key.encode()) % 2 == 1
            path = "/v1/chat/completions"
            task = "quick" if call.target == "session" else call.target
            body = {"model": task, "messages": messages}
            body["stream"] = stream
            expected = {
                version: engine.make_answer(version, messages, 24)
                for version in linked.VERSIONS
            }
        began_ms = now_ms()
        try:
            reply = deployment.call(
                "POST", vm.callers, path, body, headers, CALL_TIMEOUT_S
            )
            seen = read_reply(reply, bool(expected), stream)
        except httpcore.ConnectError:
            seen = {"kind": events.Kind.NO_CONNECTION}
        except _CONNECTION_ERRORS:
            seen = {"kind": events.Kind.NO_ANSWER}
        return attrs.evolve(
            call,
            vm=vm.name,
            began_ms=began_ms,
            ended_ms=now_ms(),
            expected=expected or {"": call.key},
            **seen,
        )

    def watch(self) -> None:
        """Record periodically which revision each entry VM serves."""
        while not self.ended.wait(WATCH_INTERVAL_S):
            for vm in list(self.running.entry_vms):
                process = vm.process
                if process is None:
                    continue
                try:
                    reply = deployment.call(
                        "GET", vm.callers, "/readyz", None, None, 0.5
                    )
                except _CONNECTION_ERRORS:
                    continue
                if reply.status == 200 and vm.process is process:
                    self.history.observed_revisions.append(
                        events.ObservedRevision(
                            vm=vm.name,
                            process=process.pid,
                            revision=reply.json()["revision"],
                            at_ms=now_ms(),
                        )
                    )

    def publish(self, document: dict, base: int) -> linked.PublishResult:
        """Publish a document and record the operator's result."""
        result = self.running.publish_document(document, base)
        self.history.publishes.append(
            events.PublishOutcome(
                base=base,
                accepted=result.accepted,
                revision=result.revision,
                ended_ms=result.ended_ms,
            )
        )
        return result

    def collect(self) -> events.History:
        """Fetch runs and log records; return the history so far."""
        self.history.records = [
            events.Record(
                stream=stream,
                offset=record["offset"],
                at_ms=record["seen_ms"],
                data=record["data"],
            )
            for stream in ("configuration", "billing", "claims")
            for record in self.running.fetch_all_records(stream)
        ]
        self.history.runs = [
            make_run(name, run)
            for names in self.running.pools.values()
            for name in names
            for run in self.list_runs(name)
        ]
        return self.history

    def list_runs(self, name: str) -> list[dict]:
        """List an endpoint's runs, including those from before crashes."""
        left = []
        output = (self.running.folder / f"{name}.out").read_text()
        for line in output.splitlines():
            if line.startswith(engine.CRASHED_RUNS_PREFIX):
                left += json.loads(line[len(engine.CRASHED_RUNS_PREFIX) :])
        return left + self.running.fetch_runs(name)


@attrs.define
class Work:
    """The running callers and the watcher."""

    recorder: Recorder
    pool: concurrent.futures.ThreadPoolExecutor
    tasks: list[concurrent.futures.Future]

    def stop(self) -> None:
        """Wait for the callers' last requests; raise their exceptions."""
        self.recorder.ended.set()
        self.pool.shutdown()
        for task in self.tasks:
            task.result()


def make_run(endpoint: str, run: dict) -> events.Run:
    """Make a run from a stand-in's record of it."""
    if "run_id" in run:
        key = run["run_id"].partition(".")[0]
    else:
        key = run["body"]["text"]
    return events.Run(
        key=key,
        endpoint=endpoint,
        at_ms=run["seen_ms"],
        version=run.get("version", ""),
    )


def read_reply(
    reply: deployment.Response, completion: bool, stream: bool
) -> dict[str, typing.Any]:
    """Parse a response into fields of a call."""
    if reply.status != 200:
        return read_failure(reply)
    if not completion:
        text = reply.json()["text"]
        return {"kind": events.Kind.ANSWERED, "text": text}
    if not stream:
        body = reply.json()
        extra = body["carawayward"]
        text = body["choices"][0]["message"]["content"]
        complete = extra["digest"] == hashlib.sha256(text.encode()).hexdigest()
        return make_answer(text, complete, body["model"], extra["cost"])
    return read_stream(reply)


def read_failure(reply: deployment.Response) -> dict[str, typing.Any]:
    """Parse a refusal or failure into kind and reason.

    A body that is not valid counts as no answer.
    """
    try:
        body = reply.json()
    except ValueError:
        return {"kind": events.Kind.NO_ANSWER}
    kinds = {kind.value: kind for kind in events.Kind}
    kind = kinds.get(body.get("title"), events.Kind.NO_ANSWER)
    if body.get("not_run"):
        kind = events.Kind.NOT_RUN
    return {"kind": kind, "reason": body.get("reason", "")}


def read_stream(reply: deployment.Response) -> dict[str, typing.Any]:
    """Parse a streamed answer; without an end marker it is no answer."""
    chunks = [
        json.loads(line[6:])
        for line in reply.content.decode().splitlines()
        if line.startswith("data: {")
    ]
    text = "".join(
        chunk["choices"][0]["delta"].get("content", "")
        for chunk in chunks
        if "choices" in chunk
    )
    last = chunks[-1] if chunks else {}
    if "error" in last:
        return {"kind": events.Kind(last["error"]["outcome"]), "text": text}
    end = last.get("carawayward", {})
    if not end.get("end"):
        return {"kind": events.Kind.NO_ANSWER, "text": text}
    digest = hashlib.sha256(text.encode()).hexdigest()
    complete = (end["length"], end["digest"]) == (len(text), digest)
    return make_answer(text, complete, last["model"], end["cost"])


def make_answer(
    text: str, complete: bool, version: str, cost: float
) -> dict[str, typing.Any]:
    """Make the fields of an answered call."""
    return {
        "kind": events.Kind.ANSWERED,
        "text": text,
        "complete": complete,
        "version": version,
        "cost": cost,
    }
