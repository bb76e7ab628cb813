"""Checks of who gets the room while there is too little of it.

Each returns its violations as text. Counted are requests sent during a
shortage at entry VMs in touch.
"""

import collections
import typing

from tests.soak import records

NOT_RUN = (408, 421, 429, 503)
MIN_REQUESTS = 20
MAX_RANK_ADVANTAGE = 0.05
MIN_CUSTOMER_RATIO = 0.25
MAX_WAIT_SHARE = 0.25
MIN_TAKEN = 0.5
# Single requests that a busy machine delays or that cross a change of load.
MAX_EXCEPTIONS = 3

Outcomes = dict[typing.Any, list[bool]]


def _list_short(
    history: records.History, bounds: records.Bounds
) -> list[records.Sent]:
    """The requests with a known outcome that were sent in a shortage."""
    return [
        sent
        for sent in history.sent.values()
        if sent.request_id in history.answered_ms
        and any(
            each.overlaps(sent.at_ms, sent.at_ms) for each in history.shortages
        )
        and not history.is_vm_disrupted(
            sent.vm, sent.at_ms - bounds.contact_ms, sent.at_ms
        )
    ]


def _list_refused(
    history: records.History, bounds: records.Bounds
) -> list[records.Sent]:
    return [
        sent
        for sent in _list_short(history, bounds)
        if history.statuses[sent.request_id] in NOT_RUN
    ]


def _count_served(
    history: records.History,
    bounds: records.Bounds,
    get_key: typing.Callable[[records.Sent], typing.Any],
) -> dict[str, Outcomes]:
    """Whether first tries were served, by service and key.

    Only of services that refused a request meanwhile: others have room.
    """
    short = {sent.service for sent in _list_refused(history, bounds)}
    found: dict[str, Outcomes] = {
        service: collections.defaultdict(list) for service in short
    }
    for sent in _list_short(history, bounds):
        if sent.first_try and sent.service in short:
            status = history.statuses[sent.request_id]
            found[sent.service][get_key(sent)].append(200 <= status < 300)
    return found


def check_ranks(history: records.History, bounds: records.Bounds) -> list[str]:
    """Find less urgent requests that are served better than more urgent."""
    found = []
    for service, outcomes in _count_served(
        history, bounds, lambda sent: sent.rank
    ).items():
        shares = {
            rank: sum(served) / len(served)
            for rank, served in outcomes.items()
            if len(served) >= MIN_REQUESTS
        }
        found += [
            f"{service}: rank {low} served {shares[low]:.2f}, rank {high} "
            f"{shares[high]:.2f}"
            for high in shares
            for low in shares
            if high < low and shares[low] > shares[high] + MAX_RANK_ADVANTAGE
        ]
    return found


def check_customers(
    history: records.History, bounds: records.Bounds
) -> list[str]:
    """Find small customers that are served far less often than the rest."""
    found = []
    for service, outcomes in _count_served(
        history, bounds, lambda sent: sent.customer
    ).items():
        total = sum(len(served) for served in outcomes.values())
        for customer, served in outcomes.items():
            rest = [
                each
                for name, other in outcomes.items()
                if name != customer
                for each in other
            ]
            is_small = len(served) <= total / len(outcomes)
            if not is_small or min(len(served), len(rest)) < MIN_REQUESTS:
                continue
            share, usual = sum(served) / len(served), sum(rest) / len(rest)
            if share < MIN_CUSTOMER_RATIO * usual:
                found.append(
                    f"{service}: {customer} served {share:.2f}, the rest "
                    f"{usual:.2f}"
                )
    return found


def check_waits(history: records.History, bounds: records.Bounds) -> list[str]:
    """Find refusals after a quarter of the target was spent waiting."""
    refused = _list_refused(history, bounds)
    late = [
        sent
        for sent in refused
        if history.answered_ms[sent.request_id] - sent.at_ms
        > MAX_WAIT_SHARE * sent.target_ms
    ]
    if len(late) <= MAX_EXCEPTIONS:
        return []
    return [f"{len(late)} of {len(refused)} refusals came late"]


def check_refused_runs(
    history: records.History, bounds: records.Bounds
) -> list[str]:
    """Find requests that were refused as not run, and ran."""
    ran = {each.request_id for each in history.arrivals if each.ran}
    return [
        f"{sent.request_id} got {history.statuses[sent.request_id]} and ran"
        for sent in _list_refused(history, bounds)
        if sent.request_id in ran
    ]


def check_idle_room(
    history: records.History, bounds: records.Bounds
) -> list[str]:
    """Find refusals while most places were free and nothing waited."""
    runs: dict[str, list[records.Arrival]] = collections.defaultdict(list)
    for arrival in history.arrivals:
        if arrival.ran:
            service = history.sent[arrival.request_id].service
            runs[service].append(arrival)
    found: collections.Counter[str] = collections.Counter()
    for sent in _list_refused(history, bounds):
        places = history.places[sent.service]
        answered_ms = history.answered_ms[sent.request_id]
        if all(
            _is_idle(runs[sent.service], places, at_ms)
            for at_ms in (sent.at_ms, answered_ms)
        ):
            found[sent.service] += 1
    return [
        f"{service}: {count} refusals while most places were free"
        for service, count in found.items()
        if count > MAX_EXCEPTIONS
    ]


def _is_idle(
    runs: list[records.Arrival], places: list[int], at_ms: float
) -> bool:
    running = collections.Counter(
        each.endpoint for each in runs if each.at_ms <= at_ms <= each.ended_ms
    )
    waits = any(count > min(places) for count in running.values())
    return not waits and running.total() < MIN_TAKEN * sum(places)
