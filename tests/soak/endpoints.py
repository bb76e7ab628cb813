"""Endpoints that fail, decline, crash or ask for rest as they are told."""

import enum
import random

import attrs
import trio

from tests.soak import crowds
from tests.soak import records
from tests.standins import backend
from tests.standins import link as link_module
from tests.standins import raw_http
from tests.standins import store as store_module

HEARTBEAT_MS = 1_200.0
# The registry drops an entry after this many heartbeats without a word.
HEARTBEATS_TO_EXPIRY = 3
REPORT_PATHS = ("/healthz", "/api/")
# Requests that wait for a slot, for each slot.
MAX_QUEUE_PER_SLOT = 0.5
STREAM_EVENTS = 10
EVENT_PAUSE_S = 0.03
# From the beginning of an answer to the crash that it causes.
CRASH_DELAY_S = 0.05
STALL_CHECK_S = 0.02


@attrs.define
class Conduct:
    """How an endpoint treats requests until it is told otherwise.

    ``failing``, ``declining`` and ``mute`` are shares of the requests;
    ``rest_s`` is the Retry-After of those declined, 0 for none. They wait for
    ``queue_s`` before they run. While it is ``stalled``, nothing that runs
    goes on.
    """

    failing: float = 0.0
    declining: float = 0.0
    mute: float = 0.0
    rest_s: float = 0.0
    queue_s: float = 0.0
    slowness: float = 1.0
    stalled: bool = False


class CrashStage(enum.Enum):
    """What of an answer has been sent when it crashes the endpoint."""

    NOTHING = "nothing"
    HEAD = "its head"
    EVENT = "one event"


@attrs.define(eq=False, kw_only=True)
class SoakEndpoint:
    """One endpoint address; each start is a new incarnation with a new id.

    A request whose path contains ``crash_mark`` ends each incarnation that
    begins to run it, one with one of the ``crash_parts`` in its prompt each
    that begins an answer, at the ``crash_stage`` of that. ``down_ms`` is how
    long it then stays down. With
    ``proxied`` its address accepts connections meanwhile, and closes them.
    """

    name: str
    service: str
    zone: str
    slots: int
    engine: bool
    work_ms: float
    ports: tuple[int, int]
    store: store_module.Store
    history: records.History
    draw: random.Random
    crash_mark: str = "/crash-"
    crash_parts: frozenset[str] = frozenset()
    crash_stage: CrashStage = CrashStage.HEAD
    down_ms: float = 1_500.0
    proxied: bool = False
    conduct: Conduct = attrs.field(factory=Conduct)
    incarnation: int = 0
    running: int = 0
    sequence: int = 0
    link: link_module.Link = attrs.field(init=False)
    _scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    def __attrs_post_init__(self) -> None:
        self.link = link_module.Link(self.ports[1])

    @property
    def instance(self) -> str:
        """The id of the running incarnation."""
        return f"i-{self.name}-{self.incarnation}"

    async def run(self) -> None:
        """Serve, and start again after each crash."""
        async with trio.open_nursery() as nursery:
            if self.proxied:
                await nursery.start(
                    link_module.serve_link, self.link, self.ports[0]
                )
            while True:
                self.incarnation += 1
                self.running = 0
                with trio.CancelScope() as self._scope:
                    await self._serve()
                nursery.start_soon(self._expire, self.instance)
                await trio.sleep(self.down_ms / 1000)

    def crash(self) -> None:
        """End this incarnation with all that runs on it."""
        now_ms = trio.current_time() * 1000
        self.history.endpoint_disruptions.append(
            records.Disruption(
                name=self.instance,
                kind="crash",
                from_ms=now_ms,
            )
        )
        self._scope.cancel()

    async def _serve(self) -> None:
        link_port, port = self.ports
        async with trio.open_nursery() as nursery:
            await nursery.start(raw_http.serve, self.handle, port)
            if not self.proxied:
                await nursery.start(
                    link_module.serve_link, self.link, link_port
                )
            while True:
                self._register()
                await trio.sleep(HEARTBEAT_MS / 1000)

    def _register(self) -> None:
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.ports[0]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self.sequence,
        }
        self.store.put("keyed.servers", self.instance, entry)

    async def _expire(self, instance: str) -> None:
        await trio.sleep(HEARTBEATS_TO_EXPIRY * HEARTBEAT_MS / 1000)
        self.store.put("keyed.servers", instance, None)

    async def handle(self, exchange: raw_http.Exchange) -> None:
        """Answer one request."""
        request = exchange.request
        request_id = request.headers.get(backend.ATTEMPT_ID_HEADER, "")
        if request.target.startswith(REPORT_PATHS):
            await exchange.answer(
                200, {"carawayward-instance-id": self.instance}
            )
            return
        if crowds.MARK in request.target:
            await self._answer_crowd(exchange, request_id)
            return
        arrival = self._record(request, request_id)
        expected = request.headers.get("carawayward-expect-instance")
        if expected != self.instance:
            await exchange.answer(
                421, {"carawayward-instance-id": self.instance}
            )
            return
        if self.draw.random() < self.conduct.declining or self.running >= (
            self.slots * (1.0 + MAX_QUEUE_PER_SLOT)
        ):
            await self._decline(exchange, arrival)
            return
        self.running += 1
        incarnation = self.incarnation
        try:
            await self._process(exchange, arrival)
        finally:
            arrival.ended_ms = trio.current_time() * 1000
            if incarnation == self.incarnation:
                self.running -= 1

    async def _answer_crowd(
        self, exchange: raw_http.Exchange, request_id: str
    ) -> None:
        headers = {
            backend.ATTEMPT_ID_HEADER: request_id,
            backend.SEAL_HEADER: f"{self.instance}.seal",
        }
        await crowds.answer(exchange, headers)

    def _record(
        self, request: raw_http.Request, request_id: str
    ) -> records.Arrival:
        remaining = request.headers.get("carawayward-deadline-ms")
        arrival = records.Arrival(
            request_id=request_id,
            endpoint=self.instance,
            at_ms=trio.current_time() * 1000,
            remaining_ms=float(remaining) if remaining else None,
        )
        self.history.arrivals.append(arrival)
        return arrival

    async def _decline(
        self, exchange: raw_http.Exchange, arrival: records.Arrival
    ) -> None:
        headers = {
            backend.ATTEMPT_ID_HEADER: arrival.request_id,
            "carawayward-not-executed": "1",
        }
        if self.conduct.rest_s:
            headers["retry-after"] = f"{self.conduct.rest_s:g}"
        await exchange.answer(503, headers)
        arrival.answered_ms = trio.current_time() * 1000
        arrival.rest_ms = self.conduct.rest_s * 1000

    async def _process(
        self, exchange: raw_http.Exchange, arrival: records.Arrival
    ) -> None:
        if self.conduct.queue_s:
            with trio.move_on_after(self.conduct.queue_s):
                # Ends as soon as its entry VM has left.
                await exchange.stream.receive_some(1)
                return
        arrival.ran = True
        if self.crash_mark in exchange.request.target:
            arrival.crashed = True
            self.crash()
            await trio.sleep_forever()
        if self.draw.random() < self.conduct.mute:
            await exchange.stream.receive_some(1)
            return
        load = max(1.0, self.running / self.slots)
        pause_ms = self.work_ms * self.conduct.slowness * load
        await trio.sleep(self.draw.uniform(0.5, 1.5) * pause_ms / 1000)
        await self._wait_while_stalled()
        headers = {
            backend.ATTEMPT_ID_HEADER: arrival.request_id,
            backend.SEAL_HEADER: f"{self.instance}.seal",
        }
        if self.draw.random() < self.conduct.failing:
            await exchange.answer(500, headers, b"failed")
        elif self.engine:
            await self._stream(exchange, headers, arrival)
        else:
            await exchange.answer(200, headers, b"done")
        arrival.answered_ms = trio.current_time() * 1000

    async def _wait_while_stalled(self) -> None:
        while self.conduct.stalled:
            await trio.sleep(STALL_CHECK_S)

    def _crashes(self, request: raw_http.Request) -> bool:
        """Whether a part of the prompt, other than its last, crashes it."""
        prompt = request.headers.get("carawayward-prefix-hash", "")
        parts = [each.partition(":")[0] for each in prompt.split(",")]
        return not self.crash_parts.isdisjoint(parts[:-1])

    async def _crash_by(self, arrival: records.Arrival) -> None:
        """Crash soon, also if the caller has left."""
        with trio.CancelScope(shield=True):
            await trio.sleep(CRASH_DELAY_S)
        # Ends here if another request has crashed it meanwhile.
        await trio.lowlevel.checkpoint()
        arrival.crashed = True
        arrival.crashed_ms = trio.current_time() * 1000
        self.crash()
        await trio.sleep_forever()

    async def _stream(
        self,
        exchange: raw_http.Exchange,
        headers: dict[str, str],
        arrival: records.Arrival,
    ) -> None:
        crashes = self._crashes(exchange.request)
        if crashes and self.crash_stage is CrashStage.NOTHING:
            await self._crash_by(arrival)
        small = exchange.request.headers.get("carawayward-model") == "small"
        confidence = self.draw.randrange(30, 100) if small else 95
        await exchange.begin_stream(
            {
                **headers,
                "content-type": "text/event-stream",
                "carawayward-confidence": str(confidence),
            }
        )
        start = int(exchange.request.headers.get("last-event-id", 0)) + 1
        if crashes:
            try:
                if self.crash_stage is CrashStage.EVENT:
                    await exchange.send_chunk(backend.make_event(start))
            finally:
                await self._crash_by(arrival)
        for number in range(start, STREAM_EVENTS + 1):
            await exchange.send_chunk(backend.make_event(number))
            await trio.sleep(EVENT_PAUSE_S * self.conduct.slowness)
            await self._wait_while_stalled()
        await exchange.send_chunk(b"")
