"""Callers that send requests, repeat them as told, and give up in time."""

import itertools
import random

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
CALL_FAILURES = (
    httpcore.TimeoutException,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


@attrs.define(eq=False, kw_only=True)
class Callers:
    """All callers of the deployment.

    ``load`` multiplies the usual rates, ``loads`` those of some kinds.
    ``customers`` are the shares of the customers. The share ``impatient``
    comes back before it is told to. The share ``abusive`` of the callers
    repeats a failed request ``abuse`` times at once.
    """

    vms: list[processes.EntryVm]
    history: records.History
    draw: random.Random
    load: float = 1.0
    abusive: float = 0.0
    abuse: int = 8
    impatient: float = 0.0
    loads: dict[str, float] = attrs.field(factory=dict)
    customers: dict[str, float] = attrs.field(factory=lambda: {"ikeja": 1.0})
    ids: itertools.count = attrs.field(factory=lambda: itertools.count(1))
    pools: dict[str, httpcore.AsyncConnectionPool] = attrs.field(factory=dict)

    async def run(self, nursery: trio.Nursery) -> None:
        """Send requests of all kinds until cancelled."""
        for kind in traffic.KINDS:
            nursery.start_soon(self._send_kind, nursery, kind)

    async def _send_kind(
        self, nursery: trio.Nursery, kind: traffic.Kind
    ) -> None:
        while True:
            rate = kind.rate * self.load * self.loads.get(kind.name, 1.0)
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
        times = 1
        if self.draw.random() < self.abusive:
            times = self.abuse
        for number in range(1 + times):
            left_ms = began_ms + kind.deadline_ms - trio.current_time() * 1000
            if left_ms <= 1.0:
                return
            status, wait_ms = await self._send(
                kind, content, left_ms, number == 0, parts, customer
            )
            if status in FINAL or 200 <= status < 300:
                return
            if kind.route_kind == "unsafe" and status not in PROMISES:
                return
            if (
                times == 1
                and is_patient
                and wait_ms <= MAX_WAIT_SHARE * left_ms
            ):
                await trio.sleep(wait_ms / 1000)

    async def _send(
        self,
        kind: traffic.Kind,
        content: str | int,
        left_ms: float,
        first_try: bool,
        parts: tuple[str, ...],
        customer: str,
    ) -> tuple[int, float]:
        """Return the status, 0 without one, and the Retry-After in ms."""
        vm = self.draw.choice(self.vms)
        request_id = f"{next(self.ids):016x}"
        headers = {
            "host": traffic.HOST,
            "carawayward-attempt-id": request_id,
            "carawayward-deadline-ms": str(int(left_ms)),
            "carawayward-key": traffic.get_key(customer),
        }
        if kind.stream:
            prefix, prompt = kind.prompt.split(",")
            parts = parts or (f"{self.draw.randrange(200):x}",)
            prompt_parts = [f"{each}:{prefix}" for each in parts]
            prompt_parts.append(f"{self.draw.randrange(16**8):x}:{prompt}")
            headers["carawayward-model"] = "*"
            headers["carawayward-token-count"] = f"{prompt},120"
            headers["carawayward-prefix-hash"] = ",".join(prompt_parts)
        self.history.sent[request_id] = records.Sent(
            request_id=request_id,
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
        )
        status, wait_ms = 0, 0.0
        with trio.move_on_after(left_ms / 1000):
            try:
                async with self._get_pool(vm).stream(
                    "GET" if kind.route_kind == "safe" else "POST",
                    f"http://127.0.0.1:{vm.caller_port}/{kind.name}/{content}",
                    headers=list(headers.items()),
                    content=b"" if kind.route_kind == "safe" else b"body",
                    extensions={"timeout": {"connect": CONNECT_S}},
                ) as response:
                    async for _ in response.aiter_stream():
                        if 200 <= response.status < 300:
                            self.history.begun.add(request_id)
            except CALL_FAILURES:
                self.history.statuses[request_id] = 0
                return 0, 0.0
            status = response.status
            for name, value in response.headers:
                if name.lower() == b"retry-after":
                    wait_ms = float(value) * 1000
        self.history.statuses[request_id] = status
        self.history.answered_ms[request_id] = trio.current_time() * 1000
        return status, wait_ms

    def _get_pool(self, vm: processes.EntryVm) -> httpcore.AsyncConnectionPool:
        if vm.name not in self.pools:
            self.pools[vm.name] = httpcore.AsyncConnectionPool(
                max_connections=300, keepalive_expiry=10.0
            )
        return self.pools[vm.name]
