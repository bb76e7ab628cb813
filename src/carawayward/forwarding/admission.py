"""Decides whether a request is let in while a service's engines are behind.

Asked once for each request, before the model and the endpoint are chosen: what
does not get in is refused before it has cost an engine anything. The state is
this entry VM's own and is rebuilt from requests and load reports.
"""

import math
import operator
import random
import typing

import attrs

from carawayward import clock as clock_module
from carawayward.decisions import demand as demand_module
from carawayward.decisions import engine_load
from carawayward.decisions import load_shedding
from carawayward.decisions import placement
from carawayward.decisions import returning
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import demand_items
from carawayward.forwarding import fleet as fleet_module
from carawayward.forwarding import load_reports
from carawayward.forwarding import metrics as metrics_module
from carawayward.forwarding import table as table_module
from carawayward.forwarding import work_items

CAUSE = "room went to others"
# How often the backlog is looked at and the shares are computed anew.
UPDATE_INTERVAL_MS = 250.0
# How often the peers whose reports are current are counted.
KNOWN_INTERVAL_MS = 2_000.0
# Demand is reported from this mean backlog on, as a part of the shortest
# latency target, so that it is known when room gets short.
REPORTED_BACKLOG = 0.1
# Weight of a new observation in what is learned from own requests.
LEARNING_GAIN = 0.1
# Prompts that take this part of the shortest latency target to read tell
# whether the latency model's pace is right; it may take an engine for slower
# than it is by at most the second factor.
MIN_PREDICTED_READING = 0.1
MIN_PACE_FACTOR = 0.05

_get_weight = operator.attrgetter("weight")


@attrs.frozen
class Refusal:
    """Why a request is not let in, and when its caller may come back."""

    cause: str
    retry_after_ms: float


@attrs.define(eq=False)
class ServiceRoom:
    """What this entry VM knows of the demand and room of one service.

    ``unread_part`` is the part of the shared prompt tokens that engines have
    to read, since they have not cached it. ``pace_factor`` is the time that
    prompts take over the time that the latency model expects. ``engines`` are
    those of ``pool`` that have places.
    """

    credits: load_shedding.Credits
    demand: demand_module.Demand = attrs.field(factory=demand_module.Demand)
    gate: load_shedding.Gate = attrs.field(factory=load_shedding.Gate)
    waits: load_shedding.Waits = attrs.field(factory=load_shedding.Waits)
    waits_seen: int = 0
    paces_seen: int = 0
    unread_part: float = 0.0
    pace_factor: float = 1.0
    updated_ms: float = board_module.NEVER
    backlog_part: float = 0.0
    largest: int = demand_module.OTHERS
    pool: placement.Candidates | None = None
    engines: frozenset[str] = frozenset()


@attrs.define(eq=False)
class Admission:
    """Lets requests in by rank and customer while room is short.

    Unless ``enabled``, all get in. ``table`` is the routing table that
    ``contended`` was computed from.
    """

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    fleet: fleet_module.Fleet
    reporter: load_reports.LoadReporter
    metrics: metrics_module.Metrics
    enabled: bool = True
    draw: typing.Callable[[], float] = random.random
    rooms: dict[str, ServiceRoom] = attrs.field(factory=dict)
    refusals: returning.Refusals = attrs.field(factory=returning.Refusals)
    table: table_module.RoutingTable | None = None
    contended: frozenset[str] = frozenset()
    known: float = 0.0
    known_ms: float = board_module.NEVER

    def check(self, work: work_items.Work) -> Refusal | None:
        """Return why a request is not let in; None if it is."""
        if not self.enabled or not work.metadata.prompt:
            return None
        if work.service not in self._find_contended(work.table):
            return None
        now_ms = self.clock.now_ms()
        room = self._get_room(work.service)
        key = demand_items.make_key(work)
        weight = demand_items.compute_weight(work, room.unread_part)
        demand_module.record_request(room.demand, key, weight, now_ms)
        self._update(work.service, room, now_ms)
        if not room.gate.short or not _gains_from_waiting(work, now_ms):
            return None
        return self._decide(work, room, key, now_ms)

    def _decide(
        self,
        work: work_items.Work,
        room: ServiceRoom,
        key: demand_module.Key,
        now_ms: float,
    ) -> Refusal | None:
        share = room.gate.shares.get(key)
        digest = demand_items.digest_caller(work)
        returned = returning.claim(self.refusals, digest, now_ms)
        let_in = load_shedding.claim(
            room.credits, work.route.name, share, returned
        )
        self.metrics.count(
            "let_in" if let_in else "shed",
            service=work.service,
            rank=str(key[0]),
            customer="largest" if key[1] == room.largest else "other",
        )
        if let_in:
            return None
        assert room.gate.engines is not None
        retry_after_ms = load_shedding.compute_retry_after_ms(
            room.gate.engines,
            share,
            load_shedding.find_place(room.gate.shares, key[0]),
            self.draw(),
        )
        earliest_ms = now_ms + load_shedding.EARLIEST_RETURN * retry_after_ms
        returning.record(self.refusals, digest, earliest_ms, now_ms)
        self._log_refusal(work, room, key, retry_after_ms, returned)
        return Refusal(CAUSE, retry_after_ms)

    def _log_refusal(
        self,
        work: work_items.Work,
        room: ServiceRoom,
        key: demand_module.Key,
        retry_after_ms: float,
        returned: bool,
    ) -> None:
        shares, engines = room.gate.shares, room.gate.engines
        assert engines is not None
        events.log_event(
            events.Event.REQUEST_SHED,
            request=work.metadata.request_id,
            service=work.service,
            rank=key[0],
            customer=work.customer,
            ahead=load_shedding.explain_ahead(shares, key),
            full_rank=shares.full_rank,
            level=round(shares.level) if shares.level < math.inf else None,
            share=round(shares.get(key), 3),
            behind_ms=round(engines.backlog_ms),
            known=round(engines.known, 2),
            age_ms=round(self.clock.now_ms() - room.updated_ms),
            returned=returned or None,
            retry_after_ms=round(retry_after_ms),
        )

    def record_reading(self, work: work_items.Work, weight: float) -> None:
        """Record what an engine has to read for an attempt."""
        room = self.rooms.get(work.service)
        if room is None or not weight:
            return
        extra = demand_items.compute_extra_weight(work, weight)
        if extra:
            key, now_ms = demand_items.make_key(work), self.clock.now_ms()
            demand_module.record_request(room.demand, key, extra, now_ms)
        own, shared = demand_items.count_tokens(work)
        if shared:
            unread = weight / demand_items.find_model_weight(work) - own
            part = min(1.0, max(0.0, unread / shared))
            room.unread_part += LEARNING_GAIN * (part - room.unread_part)

    def record_first_token(
        self, work: work_items.Work, own_weight: float
    ) -> None:
        """Learn how long a request waited; ``own_weight`` is its prompt's."""
        room = self.rooms.get(work.service)
        ttft_ms = work.progress.ttft_ms
        if room is None or ttft_ms is None:
            return
        model = self.fleet.get_latency_model(work.service)
        wait_ms = ttft_ms - model.base_ms - own_weight * model.token_ms
        now_ms = self.clock.now_ms()
        load_shedding.record_wait(room.waits, wait_ms, now_ms)
        room.waits_seen += 1
        # The own prompt counts here: the engine chosen may have no other, and
        # the pace of a process that has just started may be wrong by much.
        predicted_ms = work.backlog * model.token_ms
        target_ms = work.table.find_shortest_target(work.service)
        if predicted_ms < MIN_PREDICTED_READING * target_ms:
            return
        room.paces_seen += 1
        gain = max(LEARNING_GAIN, 1.0 / room.paces_seen)
        factor = (ttft_ms - model.base_ms) / predicted_ms
        factor = min(2.0, max(MIN_PACE_FACTOR, factor))
        room.pace_factor += gain * (factor - room.pace_factor)

    def describe(self) -> list | None:
        """The own demand and refusals, for load reports."""
        now_ms = self.clock.now_ms()
        rates = {}
        for name, room in self.rooms.items():
            self._update(name, room, now_ms)
            if room.backlog_part >= REPORTED_BACKLOG:
                number = demand_items.hash_service(name)
                rates[number] = demand_module.describe(room.demand, now_ms)
        refusals = returning.describe(self.refusals, now_ms)
        return demand_items.DemandReport(rates, refusals).to_value()

    def merge(self, peer: str, value: typing.Any, ttl_ms: float) -> None:
        """Merge a peer's demand and refusals.

        Raises ValueError or TypeError if they are malformed.
        """
        report = demand_items.DemandReport.from_value(value)
        now_ms = self.clock.now_ms()
        for name in self._find_contended(self.board.table):
            rates = report.rates.get(demand_items.hash_service(name))
            if rates is None:
                continue
            room = self._get_room(name)
            engines = room.gate.engines
            # A process that has restarted replaces its former one.
            demand_module.merge_report(
                room.demand,
                peer.rpartition("/")[0],
                rates,
                engines.rate if engines is not None else math.inf,
                now_ms + ttl_ms,
            )
        for digest, wait_ms in report.refusals:
            due_ms = now_ms + min(wait_ms, load_shedding.MAX_RETRY_AFTER_MS)
            returning.record(self.refusals, digest, due_ms, now_ms, own=False)

    def _find_contended(
        self, table: table_module.RoutingTable | None
    ) -> frozenset[str]:
        if table is not self.table:
            self.table = table
            self.contended = (
                demand_items.list_contended(table) if table else frozenset()
            )
            for name in self.rooms.keys() - self.contended:
                del self.rooms[name]
        return self.contended

    def _get_room(self, service: str) -> ServiceRoom:
        room = self.rooms.get(service)
        if room is None:
            room = ServiceRoom(load_shedding.Credits(self.draw))
            self.rooms[service] = room
        return room

    def _update(self, service: str, room: ServiceRoom, now_ms: float) -> None:
        """Compute anew who is let in, unless that was done just now."""
        if now_ms - room.updated_ms < UPDATE_INTERVAL_MS or not self.table:
            return
        room.updated_ms = now_ms
        engines = self._observe_engines(service, room, now_ms)
        room.backlog_part = engines.backlog_ms / engines.target_ms
        totals: dict[demand_module.Key, float] = {}
        if room.backlog_part > load_shedding.END_BACKLOG:
            engines = attrs.evolve(engines, known=self._find_known(now_ms))
            totals = demand_module.compute_totals(room.demand, now_ms)
            room.largest = demand_module.find_largest(totals)
        load_shedding.update(room.gate, totals, engines)

    def _observe_engines(
        self, service: str, room: ServiceRoom, now_ms: float
    ) -> load_shedding.Engines:
        """Estimate what the engines read, and how far they are behind.

        Before this process has seen enough first tokens, the latency model's
        pace may be wrong by much, and engines do not count as behind.
        """
        assert self.table is not None
        pool = self.fleet.find_pool(fleet_module.EndpointFilter(service))
        if pool is not room.pool:
            room.pool = pool
            room.engines = frozenset(
                view.name
                for view in pool.views
                if self.fleet.tracked[view.name].entry.slots > 0
            )
        unusable = (
            self.fleet.list_unavailable() | self.fleet.list_quarantined()
        )
        unusable &= room.engines
        engines = room.engines - unusable if unusable else room.engines
        usable = len(engines)
        factor = min(1.0, max(MIN_PACE_FACTOR, room.pace_factor))
        token_ms = self.fleet.get_latency_model(service).token_ms * factor
        backlog_ms = 0.0
        if usable and room.waits_seen >= load_shedding.MIN_WAITS:
            backlog_ms = load_shedding.estimate_backlog_ms(
                room.waits,
                self._sum_weight(engines) * token_ms / usable,
                now_ms,
            )
        # Engines read by rank, so that a backlog delays the least urgent.
        return load_shedding.Engines(
            usable * 1000.0 / token_ms,
            backlog_ms,
            self.table.find_patient_target(service),
        )

    def _sum_weight(self, engines: frozenset[str]) -> float:
        """The work outstanding at engines, in weighted tokens."""
        loads = self.fleet.loads
        engine_load.expire_reports(loads, self.clock.now_ms())
        weight = 0.0
        for known in (loads.own, loads.peer_totals):
            weight += sum(map(_get_weight, known.values()))
            weight -= sum(
                known[name].weight for name in known.keys() - engines
            )
        return weight

    def _find_known(self, now_ms: float) -> float:
        """The part of the entry VMs whose reports are current."""
        if now_ms - self.known_ms >= KNOWN_INTERVAL_MS:
            self.known_ms = now_ms
            self.known = self._compute_known(now_ms)
        return self.known

    def _compute_known(self, now_ms: float) -> float:
        members = self.reporter.count_possible_members()
        if members is None:
            return 0.0
        heard = sum(
            now_ms - peer.last_seen_ms
            < peer.compute_ttl_ms(load_reports.PEER_TIMEOUT_MS)
            for peer in self.reporter.peers.values()
        )
        return min(1.0, (1 + heard) / members)


def _gains_from_waiting(work: work_items.Work, now_ms: float) -> bool:
    """Whether a caller may be told to come back later.

    What has run, or is the rest of a stream, would lose what it has, and a
    caller whose deadline is near would come back too late.
    """
    if work.last_event is not None or work.runs or work.may_have_run:
        return False
    return work.deadline_ms - now_ms > load_shedding.MIN_RETRY_AFTER_MS
