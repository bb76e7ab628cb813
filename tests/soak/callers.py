"""Callers that send requests, repeat them as told, and give up in time."""

import itertools
import math
import random
import typing

import attrs
import httpcore
import trio

from tests.soak import processes
from tests.soak import records
from tests.soak import traffic

PROMISES = (408, 421, 429, 503)
FINAL = (400, 401, 404, 413, 431)
# A caller waits for at most this share of the time that it has left.
MAX_WAIT_SHARE = 1.0 / 3.0
CONNECT_S = 1.0
# The share of the callers' connections that go to the favoured entry VMs.
FAVOURED_SHARE = 0.9
CALL_FAILURES = (
    httpcore.TimeoutException,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)
UNREAD_FAILURES = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    ConnectionResetError,
)
Trace = typing.Callable[[str, dict[str, typing.Any]], typing.Awaitable[None]]


@attrs.define(eq=False, kw_only=True)
class Callers:
    """All callers of the deployment.

    ``load`` multiplies the usual rates, by at most ``max_load``; ``loads``
    those of some kinds.
    ``customers`` are the shares of the customers. The share ``impatient``
    comes back before it is told to. The share ``abusive`` of the callers
    repeats a failed request ``abuse`` times at once. First tries of the
    callers of a zone in ``favoured``, or of all if "" is, mostly go to its
    entry VMs, each on a new connection.
    """

    vms: list[processes.EntryVm]
    history: records.History
    draw: random.Random
    load: float = 1.0
    max_load: float = math.inf
    abusive: float = 0.0
    abuse: int = 8
    impatient: float = 0.0
    loads: dict[str, float] = attrs.field(factory=dict)
    customers: dict[str, float] = attrs.field(factory=lambda: {"ikeja": 1.0})
    ids: itertools.count = attrs.field(factory=lambda: itertools.count(1))
    pools: dict[str, httpcore.AsyncConnectionPool] = attrs.field(factory=dict)
    favoured: dict[str, list[processes.EntryVm]] = attrs.field(factory=dict)
    calls: itertools.count = attrs.field(factory=lambda: itertools.count(1))

    async def run(self, nursery: trio.Nursery) -> None:
        """Send requests of all kinds until cancelled."""
        for kind in traffic.KINDS:
            nursery.start_soon(self._send_kind, nursery, kind)

    async def _send_kind(
        self, nursery: trio.Nursery, kind: traffic.Kind
    ) -> None:
        while True:
            load = min(self.load, self.max_load)
            rate = kind.rate * load * self.loads.get(kind.name, 1.0)
            await trio.sleep(self.draw.expovariate(rate))
            nursery.start_soon(self.call, kind, self.draw.randrange(10**9))

    async def send_repeatedly(
        self, kind: traffic.Kind, content: str, count: int, pause_s: float
    ) -> None:
        """Send the same request several times, at any entry VM."""
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(self.call, kind, content)
                await trio.sleep(pause_s)

    async def send_prompts(
        self, kind: traffic.Kind, parts: tuple[str, ...], rate: float
    ) -> None:
        """Send requests that share the parts of a prompt until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self.draw.expovariate(rate))
                content = self.draw.randrange(10**9)
                nursery.start_soon(self.call, kind, content, parts)

    async def flood(self, customer: str, rate: float) -> None:
        """Send requests of one customer until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self.draw.expovariate(rate))
                kind = self.draw.choice(traffic.KINDS)
                content = self.draw.randrange(10**9)
                nursery.start_soon(self.call, kind, content, (), customer)

    def _draw_customer(self) -> str:
        names = list(self.customers)
        if len(names) == 1:
            return names[0]
        return self.draw.choices(names, list(self.customers.values()))[0]

    async def call(
        self,
        kind: traffic.Kind,
        content: str | int,
        parts: tuple[str, ...] = (),
        customer: str = "",
    ) -> None:
        """Send a request, and once more if it may be repeated.

        Without ``parts`` its prompt begins with one of many, without
        ``customer`` it is any.
        """
        customer = customer or self._draw_customer()
        is_patient = not self.impatient or (
            self.draw.random() >= self.impatient
        )
        began_ms = trio.current_time() * 1000
        call = next(self.calls)
        vm = None
        times = 1
        if self.draw.random() < self.abusive:
            times = self.abuse
        for number in range(1 + times):
            left_ms = began_ms + kind.deadline_ms - trio.current_time() * 1000
            if left_ms <= 1.0:
                return
            near = self.draw.choice(self.vms)
            vm, is_fresh = self._choose_vm(near, vm)
            sent = self._record_sent(
                kind, content, left_ms, number == 0, parts, customer, vm
            )
            sent.call, sent.zone = call, near.zone
            status, wait_ms = await self._send(kind, sent, vm, is_fresh)
            ended_ms = trio.current_time() * 1000
            self.history.ended_tries_ms[sent.request_id] = ended_ms
            if status in FINAL or 200 <= status < 300:
                return
            if (
                kind.route_kind == "unsafe"
                and status not in PROMISES
                and sent.request_id not in self.history.unread
            ):
                return
            if (
                times == 1
                and is_patient
                and wait_ms <= MAX_WAIT_SHARE * left_ms
            ):
                await trio.sleep(wait_ms / 1000)

    def _choose_vm(
        self, near: processes.EntryVm, tried: processes.EntryVm | None
    ) -> tuple[processes.EntryVm, bool]:
        """Choose an entry VM, and whether it needs a new connection.

        It is the one ``near`` the caller, unless some are favoured there. A
        repeat then meets another one than that which was ``tried``.
        """
        favoured = self.favoured.get("") or self.favoured.get(near.zone)
        if not favoured:
            return near, False
        if tried is not None:
            others = [each for each in self.vms if each is not tried]
            return self.draw.choice(others), True
        if self.draw.random() >= FAVOURED_SHARE:
            return near, False
        return self.draw.choice(favoured), True

    def _record_sent(
        self,
        kind: traffic.Kind,
        content: str | int,
        left_ms: float,
        first_try: bool,
        parts: tuple[str, ...],
        customer: str,
        vm: processes.EntryVm,
    ) -> records.Sent:
        if kind.stream and not parts:
            parts = (f"{self.draw.randrange(200):x}",)
        sent = records.Sent(
            request_id=f"{next(self.ids):016x}",
            vm=vm.name,
            service=kind.service,
            content=f"/{kind.name}/{content}",
            at_ms=trio.current_time() * 1000,
            deadline_ms=left_ms,
            max_attempts=kind.max_attempts,
            first_try=first_try,
            route=kind.name,
            parts=parts,
            customer=customer,
            rank=kind.rank,
            target_ms=kind.target_ms,
            unsafe=kind.route_kind == "unsafe",
        )
        self.history.sent[sent.request_id] = sent
        return sent

    def _make_headers(
        self, kind: traffic.Kind, sent: records.Sent
    ) -> dict[str, str]:
        headers = {
            "host": traffic.HOST,
            "carawayward-attempt-id": sent.request_id,
            "carawayward-deadline-ms": str(int(sent.deadline_ms)),
            "carawayward-key": traffic.get_key(sent.customer),
        }
        if kind.stream:
            prefix, prompt = kind.prompt.split(",")
            prompt_parts = [f"{each}:{prefix}" for each in sent.parts]
            prompt_parts.append(f"{self.draw.randrange(16**8):x}:{prompt}")
            headers["carawayward-model"] = "*"
            headers["carawayward-token-count"] = f"{prompt},120"
            headers["carawayward-prefix-hash"] = ",".join(prompt_parts)
        return headers

    async def _send(
        self,
        kind: traffic.Kind,
        sent: records.Sent,
        vm: processes.EntryVm,
        is_fresh: bool,
    ) -> tuple[int, float]:
        """Return the status, 0 without one, and the Retry-After in ms."""
        request_id, history = sent.request_id, self.history
        headers = self._make_headers(kind, sent)
        status, wait_ms = 0, 0.0
        record = history.tries[request_id] = records.Try()
        with trio.move_on_after(sent.deadline_ms / 1000) as scope:
            try:
                async with self.get_pool(vm, is_fresh).stream(
                    "GET" if kind.route_kind == "safe" else "POST",
                    f"http://127.0.0.1:{vm.caller_port}{sent.content}",
                    headers=list(headers.items()),
                    content=b"" if kind.route_kind == "safe" else b"body",
                    extensions={
                        "timeout": {"connect": CONNECT_S},
                        "trace": make_trace(record),
                    },
                ) as response:
                    async for _ in response.aiter_stream():
                        if 200 <= response.status < 300:
                            history.begun.add(request_id)
            except CALL_FAILURES as fault:
                record.ended_ms = trio.current_time() * 1000
                record.unread = is_unread(fault) and not record.begun
                history.statuses[request_id] = 0
                if is_unread(fault) and request_id not in history.begun:
                    history.unread.add(request_id)
                return 0, 0.0
            status = response.status
            record.complete = True
            for name, value in response.headers:
                if name.lower() == b"retry-after":
                    wait_ms = float(value) * 1000
        record.gave_up = scope.cancelled_caught
        record.ended_ms = trio.current_time() * 1000
        history.statuses[request_id] = status
        history.answered_ms[request_id] = record.ended_ms
        return status, wait_ms

    def get_pool(
        self, vm: processes.EntryVm, is_fresh: bool = False
    ) -> httpcore.AsyncConnectionPool:
        """The pool of open connections to an entry VM, or of single ones."""
        name = f"{vm.name}, fresh" if is_fresh else vm.name
        if name not in self.pools:
            self.pools[name] = httpcore.AsyncConnectionPool(
                max_connections=1_000 if is_fresh else 300,
                max_keepalive_connections=0 if is_fresh else None,
                keepalive_expiry=10.0,
            )
        return self.pools[name]


def make_trace(record: records.Try) -> Trace:
    """Make a trace of the client that records how far a request came."""

    async def trace(event: str, info: dict[str, typing.Any]) -> None:
        match event:
            case "connection.connect_tcp.started":
                record.kept = False
            case "http11.send_request_body.complete":
                record.sent_ms = trio.current_time() * 1000
            case "http11.receive_response_headers.complete":
                record.begun = True

    return trace


def is_unread(fault: BaseException | None) -> bool:
    """Whether a connection was not established, refused or reset.

    The kernel resets one that is closed while received bytes are unread.
    """
    while fault is not None:
        if isinstance(fault, UNREAD_FAILURES):
            return True
        fault = fault.__cause__ or fault.__context__
    return False
