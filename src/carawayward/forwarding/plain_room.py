"""Tracks the requests of all entry VMs at the endpoints of plain services.

This entry VM counts its own requests in flight; the others report the means of
theirs with their load reports.
"""

import heapq
import math
import statistics
import typing

import attrs

from carawayward import clock as clock_module
from carawayward.decisions import plain_room
from carawayward.forwarding import board as board_module
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import message_types
from carawayward.forwarding import table as table_module

# Bounds of one report, and the largest number that it may claim.
MAX_ENDPOINTS_PER_REPORT = 8
MAX_CUSTOMERS_PER_REPORT = 8
MAX_SERVICES_PER_REPORT = 8
MAX_REPORTED = 65_535
# Means are reported in hundredths of a request.
UNITS = 100
# How long a report that nothing is in flight any more is repeated: with many
# peers, each is sent a report only once in 10 s.
CLOSING_MS = 10_000.0
EXPIRY_CHECK_MS = 250.0

Reported = dict[int, float]


@attrs.define
class PeerInFlight:
    """What a peer has in flight, by the hashes of endpoints and customers.

    ``rates`` are its requests per second, by the hash of the service,
    ``work_ms`` is by the hash of the endpoint.
    """

    endpoints: Reported
    customers: Reported
    rates: Reported
    work_ms: Reported
    valid_until_ms: float
    received_ms: float


def find_no_domain(peer: str) -> str:
    """Return "": the failure domains of peers are unknown."""
    return ""


@attrs.define(eq=False)
class PlainRoom:
    """The requests in flight at the endpoints of plain services.

    Covers services without ``engine`` that declare ``max_connections``; none
    unless ``enabled``.
    ``totals`` and ``customer_totals`` are the sums of the reports in
    ``peers``. ``customers`` are counted over all such services. ``work_ms`` is
    by the endpoint's process, so that a new one starts from its kind.
    ``seen`` is when the last request of a service was answered, and how long
    it took.
    """

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    find_domain: typing.Callable[[str], str] = find_no_domain
    enabled: bool = True
    own: dict[str, plain_room.InFlight] = attrs.field(factory=dict)
    customers: dict[int, plain_room.InFlight] = attrs.field(factory=dict)
    rates: dict[str, plain_room.Rate] = attrs.field(factory=dict)
    peers: dict[str, PeerInFlight] = attrs.field(factory=dict)
    totals: Reported = attrs.field(factory=dict)
    customer_totals: Reported = attrs.field(factory=dict)
    shared_ms: dict[int, list[float]] = attrs.field(factory=dict)
    work_ms: dict[message_types.Process, float] = attrs.field(factory=dict)
    seen: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    short_until_ms: float = board_module.NEVER
    told_until_ms: float = board_module.NEVER
    checked_ms: float = board_module.NEVER
    ranks: dict[str, tuple[int, ...]] = attrs.field(factory=dict)
    ranks_of: table_module.RoutingTable | None = None

    def covers(self, service: str) -> bool:
        """Whether the places of a service are tracked."""
        if not self.enabled:
            return False
        table = self.board.table
        known = table.services.get(service) if table is not None else None
        return (
            known is not None
            and known.engine is None
            and known.max_connections is not None
        )

    def count(
        self, entry: message_types.EndpointEntry, customer: str, change: int
    ) -> None:
        """Add ``change`` to this entry VM's requests at an endpoint."""
        if change > 0 and not self.covers(entry.service):
            return
        now_ms = self.clock.now_ms()
        own = self.own.setdefault(entry.name, plain_room.InFlight())
        plain_room.update_mean(own, now_ms, change)
        number = load_report_messages.hash_name(customer)
        customer_own = self.customers.setdefault(number, plain_room.InFlight())
        plain_room.update_mean(customer_own, now_ms, change)
        rate = self.rates.setdefault(entry.service, plain_room.Rate())
        plain_room.update_rate(rate, now_ms, max(0, change))
        self.told_until_ms = now_ms + CLOSING_MS

    def record_answer(
        self, entry: message_types.EndpointEntry, took_ms: float
    ) -> None:
        """Learn the work time from a request that has just ended."""
        if not self.covers(entry.service):
            return
        self.seen[entry.service] = (self.clock.now_ms(), took_ms)
        if not self.totals:
            # How many requests were ahead of it is unknown.
            return
        known_ms = self.work_ms.get(entry.process)
        self.work_ms[entry.process] = plain_room.learn_work_ms(
            known_ms, self._make_room(entry, known_ms or took_ms), took_ms
        )

    def find_seen_ms(self, service: str, max_age_ms: float) -> float:
        """How long this entry VM's last answer took; 0 if it is too old."""
        at_ms, took_ms = self.seen.get(service, (board_module.NEVER, 0.0))
        return took_ms if self.clock.now_ms() - at_ms < max_age_ms else 0.0

    def is_full(self, entry: message_types.EndpointEntry) -> bool:
        """Whether all places of an endpoint are known to be taken."""
        self._expire()
        return bool(self.totals) and self._make_room(entry, 0.0).queued > 0.0

    def find_rooms(
        self, entries: typing.Sequence[message_types.EndpointEntry]
    ) -> list[plain_room.Room]:
        """Return the room at each endpoint; empty while it is unknown.

        It is unknown before any of them has answered, and while no peer has
        reported requests in flight.
        """
        self._expire()
        known = {entry.name: self._find_work_ms(entry) for entry in entries}
        work_ms = [each for each in known.values() if each is not None]
        if not work_ms or not self.totals:
            return []
        usual_ms = statistics.median(work_ms)
        rooms = [
            self._make_room(entry, known[entry.name] or usual_ms)
            for entry in entries
        ]
        if any(room.queued for room in rooms):
            self.short_until_ms = self.clock.now_ms() + CLOSING_MS
        return rooms

    def _find_work_ms(
        self, entry: message_types.EndpointEntry
    ) -> float | None:
        """Return the median of what this entry VM and its peers have seen."""
        number = load_report_messages.hash_name(entry.name)
        known = self.shared_ms.get(number, [])
        own_ms = self.work_ms.get(entry.process)
        known = known if own_ms is None else [*known, own_ms]
        return statistics.median(known) if known else None

    def _make_room(
        self, entry: message_types.EndpointEntry, work_ms: float
    ) -> plain_room.Room:
        table = self.board.table
        service = table.services.get(entry.service) if table else None
        most = (service and service.max_connections) or math.inf
        own = self.own.get(entry.name)
        others = self.totals.get(load_report_messages.hash_name(entry.name))
        return plain_room.Room(
            name=entry.name,
            failure_domain=entry.failure_domain,
            slots=max(1, entry.slots),
            in_flight=min(most, (own.count if own else 0) + (others or 0.0)),
            work_ms=work_ms,
        )

    def compute_age_ms(self) -> float:
        """The mean age of the peers' reports; infinite without any."""
        if not self.peers:
            return math.inf
        now_ms = self.clock.now_ms()
        received_ms = [each.received_ms for each in self.peers.values()]
        return now_ms - statistics.fmean(received_ms)

    def find_demand(self, service: str) -> dict[str, float]:
        """Return the requests sent per second, by failure domain."""
        number = load_report_messages.hash_name(service)
        demand: dict[str, float] = {}
        for name, report in self.peers.items():
            domain = self.find_domain(name)
            per_s = report.rates.get(number, 0.0)
            demand[domain] = demand.get(domain, 0.0) + per_s
        own = self.rates.get(service)
        if own is not None:
            domain = self.board.failure_domain
            per_s = plain_room.update_rate(own, self.clock.now_ms())
            demand[domain] = demand.get(domain, 0.0) + per_s
        return demand

    def is_above_share(self, customer: str) -> bool:
        """Whether a customer has clearly more in flight than the mean."""
        now_ms = self.clock.now_ms()
        totals = dict(self.customer_totals)
        for number, own in self.customers.items():
            mean = plain_room.update_mean(own, now_ms)
            totals[number] = totals.get(number, 0.0) + mean
        number = load_report_messages.hash_name(customer)
        return plain_room.is_above_share(totals, number)

    def list_ranks(self, service: str) -> tuple[int, ...]:
        """The declared ranks of a service's routes, and of customers."""
        table = self.board.table
        if table is None:
            return ()
        if self.ranks_of is not table:
            self.ranks_of = table
            self.ranks.clear()
        ranks = self.ranks.get(service)
        if ranks is None:
            found = {
                table.find_rank(route, customer)
                for route in table.routes
                if any(each.service == service for each in route.targets)
                for customer in (
                    table.customers_by_key.values()
                    if table.needs_key(route)
                    else (None,)
                )
            }
            ranks = self.ranks[service] = tuple(sorted(found))
        return ranks

    def describe(self) -> list | None:
        """Return what load reports say of this entry VM.

        Customers are reported only while endpoints are short of room. Once
        nothing is in flight, that is reported for as long as peers may have
        an earlier report.
        """
        now_ms = self.clock.now_ms()
        if now_ms >= self.told_until_ms:
            self.rates.clear()
            return None
        rates = {
            load_report_messages.hash_name(service): plain_room.update_rate(
                rate, now_ms
            )
            for service, rate in self.rates.items()
        }
        endpoints = {
            load_report_messages.hash_name(name): own
            for name, own in self.own.items()
        }
        customers = self.customers if now_ms < self.short_until_ms else {}
        work_ms = {
            load_report_messages.hash_name(process[0]): each
            for process, each in self.work_ms.items()
            if process[0] in self.own
        }
        return [
            _encode(_get_means(endpoints, now_ms), MAX_ENDPOINTS_PER_REPORT),
            _encode(_get_means(customers, now_ms), MAX_CUSTOMERS_PER_REPORT),
            _encode(rates, MAX_SERVICES_PER_REPORT),
            _encode(work_ms, MAX_ENDPOINTS_PER_REPORT, unit=1),
        ]

    def merge(self, peer: str, value: typing.Any, ttl_ms: float) -> None:
        """Replace what a peer has in flight.

        Raises ValueError or TypeError if it is malformed.
        """
        endpoints, customers, rates, work_ms = value
        report = PeerInFlight(
            _decode(endpoints, MAX_ENDPOINTS_PER_REPORT),
            _decode(customers, MAX_CUSTOMERS_PER_REPORT),
            _decode(rates, MAX_SERVICES_PER_REPORT),
            _decode(work_ms, MAX_ENDPOINTS_PER_REPORT, unit=1),
            self.clock.now_ms() + ttl_ms,
            self.clock.now_ms(),
        )
        name = peer.rpartition("/")[0]
        self._drop(name)
        self.peers[name] = report
        _add(self.totals, report.endpoints, 1.0)
        _add(self.customer_totals, report.customers, 1.0)

    def _drop(self, name: str) -> None:
        report = self.peers.pop(name, None)
        if report is not None:
            _add(self.totals, report.endpoints, -1.0)
            _add(self.customer_totals, report.customers, -1.0)

    def _expire(self) -> None:
        now_ms = self.clock.now_ms()
        if now_ms - self.checked_ms < EXPIRY_CHECK_MS:
            return
        self.checked_ms = now_ms
        self.shared_ms = {}
        for name, report in list(self.peers.items()):
            if report.valid_until_ms <= now_ms:
                self._drop(name)
                continue
            for number, work_ms in report.work_ms.items():
                self.shared_ms.setdefault(number, []).append(work_ms)
        self.own = _keep_busy(self.own, now_ms)
        self.customers = _keep_busy(self.customers, now_ms)
        for process in list(self.work_ms):
            if not self.board.is_listed(process):
                del self.work_ms[process]


def _keep_busy(
    known: dict[typing.Any, plain_room.InFlight], now_ms: float
) -> dict[typing.Any, plain_room.InFlight]:
    return {
        key: own
        for key, own in known.items()
        if own.count or plain_room.update_mean(own, now_ms) * UNITS >= 0.5
    }


def _get_means(
    known: typing.Mapping[int, plain_room.InFlight], now_ms: float
) -> Reported:
    return {
        number: plain_room.update_mean(own, now_ms)
        for number, own in known.items()
    }


def _encode(values: Reported, most: int, unit: int = UNITS) -> dict[int, int]:
    units = {number: round(unit * each) for number, each in values.items()}
    largest = heapq.nlargest(most, units.items(), key=lambda item: item[1])
    return {
        number: min(MAX_REPORTED, each) for number, each in largest if each
    }


def _decode(value: typing.Any, most: int, unit: int = UNITS) -> Reported:
    if not isinstance(value, dict) or len(value) > most:
        raise ValueError("requests in flight are not a short map")
    found = {}
    for number, mean in value.items():
        if not isinstance(number, int) or not isinstance(mean, int):
            raise TypeError("requests in flight are not whole numbers")
        if not 0 <= mean <= MAX_REPORTED:
            raise ValueError("requests in flight are out of range")
        found[number] = mean / unit
    return found


def _add(totals: Reported, values: Reported, sign: float) -> None:
    """Add values to totals; drops sums that are nearly zero."""
    for number, value in values.items():
        total = totals.get(number, 0.0) + sign * value
        if total * UNITS < 0.5:
            totals.pop(number, None)
        else:
            totals[number] = total
