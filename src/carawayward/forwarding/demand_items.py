"""What requests ask for, who competes, and how reports carry the demand."""

import math
import typing

import attrs

from carawayward.decisions import demand as demand_module
from carawayward.decisions import returning
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import message_types
from carawayward.forwarding import table as table_module
from carawayward.forwarding import work_items

# A report holds this many services, and for each as many customers and sums
# of the others.
MAX_SERVICES = 4
MAX_RATES = demand_module.MAX_KEYS_REPORTED + table_module.LEAST_URGENT + 1


@attrs.frozen
class DemandReport:
    """An entry VM's demand by the service's hash, and its refused callers.

    ``refusals`` are digests of callers, and the time until each may come back.
    """

    rates: typing.Mapping[int, typing.Mapping[demand_module.Key, float]]
    refusals: typing.Sequence[tuple[int, float]]

    def to_value(self) -> list | None:
        """Encode it for a load report; None if there is nothing to say."""
        services = [
            [
                service,
                [
                    [rank, customer, round(rate)]
                    for (rank, customer), rate in rates.items()
                ],
            ]
            for service, rates in self.rates.items()
            if rates
        ]
        refusals = [
            [digest, round(wait_ms)] for digest, wait_ms in self.refusals
        ]
        if not services and not refusals:
            return None
        return [services[:MAX_SERVICES], refusals]

    @classmethod
    def from_value(cls, value: typing.Any) -> "DemandReport":
        """Decode a peer's; raise ValueError or TypeError if malformed."""
        services, refusals = value
        if (
            len(services) > MAX_SERVICES
            or len(refusals) > returning.MAX_REPORTED
        ):
            raise ValueError("too many services or refusals")
        return cls(
            {int(service): _read_rates(rates) for service, rates in services},
            [
                (int(digest), _read_number(wait_ms))
                for digest, wait_ms in refusals
            ],
        )


def hash_service(name: str) -> int:
    """The number that a report carries in place of a service's name."""
    return load_report_messages.hash_name(name)


def list_contended(table: table_module.RoutingTable) -> frozenset[str]:
    """The services with engines whose callers differ in rank or customer."""
    found = set()
    for name, service in table.services.items():
        routes = [
            route
            for route in table.routes
            if any(target.service == name for target in route.targets)
        ]
        if service.engine is None or not routes:
            continue
        ranks = {table.find_rank(route, None) for route in routes}
        customers = {}
        if any(table.needs_key(route) for route in routes):
            customers = {
                customer.name: customer.priority
                for customer in table.customers_by_key.values()
            }
        ranks |= {rank for rank in customers.values() if rank is not None}
        if len(ranks) > 1 or len(customers) > 1:
            found.add(name)
    return frozenset(found)


def make_key(work: work_items.Work) -> demand_module.Key:
    """The rank and customer that a request's work counts for."""
    rank = max(table_module.MOST_URGENT, work.rank)
    number = load_report_messages.hash_name(work.customer)
    return min(rank, table_module.LEAST_URGENT), max(1, number)


def compute_weight(work: work_items.Work, unread_part: float) -> float:
    """The work that a request asks for, in weighted tokens."""
    own, shared = count_tokens(work)
    return find_model_weight(work) * (own + unread_part * shared)


def digest_caller(work: work_items.Work) -> int:
    """Recognises a caller that comes back; few others have the same."""
    parts = work.metadata.prompt
    shared = parts[-2].name if len(parts) > 1 else ""
    tokens = sum(part.tokens for part in parts)
    return load_report_messages.hash_name(
        f"{work.customer}/{work.route.name}/{shared}/{tokens}"
    )


def count_tokens(work: work_items.Work) -> tuple[int, int]:
    """The tokens of a prompt's own part, and those of the shared ones."""
    *shared, own = work.metadata.prompt
    return own.tokens, sum(part.tokens for part in shared)


def find_model_weight(work: work_items.Work) -> float:
    """The weight of the model that is asked, relative to the largest."""
    if not work.model_name:
        return _weigh_first_model(work)
    return _weigh_model(work, work.model_name)


def compute_extra_weight(work: work_items.Work, weight: float) -> float:
    """The part of an attempt's work that was not asked for on arrival.

    An escalation or a repeat is all of that; the first attempt is part of it
    if a larger model than the first was chosen.
    """
    if work.runs:
        return weight
    expected = _weigh_first_model(work) / find_model_weight(work)
    return weight * max(0.0, 1.0 - expected)


def _weigh_first_model(work: work_items.Work) -> float:
    model = work.metadata.model
    if model == message_types.ANY_MODEL and work.route.models:
        model = work.route.models[0]
    return _weigh_model(work, model)


def _weigh_model(work: work_items.Work, model: str) -> float:
    engine = work.table.services[work.service].engine
    assert engine is not None
    largest = max(engine.costs.values(), default=1.0) or 1.0
    return engine.costs.get(model, 1.0) / largest


def _read_rates(value: typing.Any) -> dict[demand_module.Key, float]:
    if len(value) > MAX_RATES:
        raise ValueError("too many customers")
    rates: dict[demand_module.Key, float] = {}
    for rank, customer, rate in value:
        rank = int(rank)
        if not table_module.MOST_URGENT <= rank <= table_module.LEAST_URGENT:
            raise ValueError("no such rank")
        rates[(rank, int(customer))] = _read_number(rate)
    return rates


def _read_number(value: typing.Any) -> float:
    number = float(value)
    if not 0.0 <= number < math.inf:
        raise ValueError("not a finite positive number")
    return number
