"""Measures the time of one decision, at current and at planned sizes."""

import gc
import random
import time

import attrs

from carawayward.decisions import admission
from carawayward.decisions import placement
from carawayward.decisions import queueing

DECISIONS = 20_000
CUSTOMERS = 10
RING_KEYS = 500


@attrs.frozen(kw_only=True)
class Timing:
    """Time of one decision in microseconds, and of building the index.

    ``serving`` is the number of endpoints that serve the version.
    """

    name: str
    endpoints: int
    serving: int
    p50: float
    p99: float
    index_ms: float


def make_fleet(endpoints: int, versions: int, held: int) -> dict[str, list]:
    """Make endpoint views by version; each endpoint has ``held`` versions."""
    by_version: dict[str, list] = {f"v{n}": [] for n in range(versions)}
    draw = random.Random(endpoints)
    for number in range(endpoints):
        view = placement.EndpointView(
            name=f"e{number}", failure_domain=f"d{number % 5}"
        )
        view.limit.value = 8.0
        for step in range(held):
            by_version[f"v{(number + step) % versions}"].append(view)
        placement.record_report(view, draw.uniform(0, 8))
        view.health.unit_ms = draw.uniform(9.0, 11.0)
    return by_version


def time_decisions(
    name: str, endpoints: int, versions: int, held: int
) -> Timing:
    """Time admission, queueing and placement of single requests."""
    fleet = make_fleet(endpoints, versions, held)
    views = fleet["v0"]
    began = time.perf_counter()
    candidates = placement.Candidates.from_views(views)
    index_ms = (time.perf_counter() - began) * 1000
    queue, retry_schedule = queueing.FairQueue(), admission.RetrySchedule()
    draw = random.Random(7)
    keys = [placement.hash_key(f"p{n}") for n in range(RING_KEYS)]
    taken: list[int] = []
    running: list[placement.EndpointView] = []
    gc.disable()
    for number in range(DECISIONS):
        item = queueing.WaitingRequest(
            customer=f"c{number % CUSTOMERS}",
            weight=1.0,
            work=500.0,
            latest_start_ms=3_000.0,
        )
        key = keys[draw.randrange(RING_KEYS)]
        start = time.perf_counter_ns()
        admission.check_admission(queue, item, 0.0, 100.0, 200, retry_schedule)
        queueing.push(queue, item)
        head = queueing.list_heads(queue)[0]
        view = placement.choose(candidates, key, "d0", 0.0, draw.randrange)
        queueing.take(queue, head)
        taken.append(time.perf_counter_ns() - start)
        if view is not None:
            view.in_flight += 1
            running.append(view)
        if len(running) > 3 * len(views):
            running.pop(draw.randrange(len(running))).in_flight -= 1
    gc.enable()
    taken.sort()
    return Timing(
        name=name,
        endpoints=endpoints,
        serving=len(views),
        p50=taken[len(taken) // 2] / 1000,
        p99=taken[int(len(taken) * 0.99)] / 1000,
        index_ms=index_ms,
    )


def time_all() -> list[Timing]:
    """Time the current sizes, the planned ones and two variants of these.

    One variant has four times as many endpoints and versions, with equally
    many endpoints for each version; in the other all serve all versions.
    """
    return [
        time_decisions("today: 10 endpoints, 3 versions", 10, 3, 3),
        time_decisions("790 endpoints, 28 versions", 790, 28, 2),
        time_decisions("3,160 endpoints, 112 versions", 3_160, 112, 2),
        time_decisions("790 endpoints, all serve", 790, 28, 28),
    ]
