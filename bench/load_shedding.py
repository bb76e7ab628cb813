"""Measures who gets the room: ``./build.sh bench load_shedding``.

Replays of too much load, with shares, without, and with perfect knowledge; and
the time that one entry VM takes for a decision in the largest deployment.
"""

import pathlib
import random
import time
import typing

import attrs
import numpy

from bench import shedding_replay
from carawayward import clock as clock_module
from carawayward.decisions import engine_load
from carawayward.forwarding import admission as admission_module
from carawayward.forwarding import board as board_module
from carawayward.forwarding import demand_items
from carawayward.forwarding import fleet as fleet_module
from carawayward.forwarding import message_types
from carawayward.forwarding import metrics as metrics_module
from carawayward.forwarding import replies
from carawayward.forwarding import report_channels
from carawayward.forwarding import table as table_module
from carawayward.forwarding import work_items

RESULTS = pathlib.Path("bench/results/load_shedding.md")
SERVICE = "engines"
TARGET_MS = 1_000.0
CUSTOMERS = 24
DECISIONS = 4_000
INTERVAL_MS = 300.0
SEEDS = (1, 2, 3)
BURST: dict[str, typing.Any] = {"kinds": {"urgent": 2.2}}
LATE = {"begin_ms": 12_000.0, "end_ms": 17_000.0, "total_ms": 22_000.0}
LOADS: dict[str, dict[str, typing.Any]] = {
    "burst of the urgent kind by 2.2": BURST,
    "burst of the patient kind by 2.2": {"kinds": {"patient": 2.2}},
    "largest customer at 7 times its usual": {"customers": {0: 7.0}},
    "burst, a third of it at one entry VM": BURST | {"flood": 0.3},
    "burst, all entry VMs restarted in it": BURST | {"restart_ms": 6_500.0},
    "burst, half of the reports lost": BURST | {"lost": 0.5},
    "burst, reports 2 s old": BURST | {"delay_ms": 2e3, "lag_ms": 2e3},
    "burst, halves cut": BURST | {"cut_ms": 5_000.0},
    "burst, engines learned as twice as fast": BURST | {"rate_error": 2.0},
    "burst, engines learned as half as fast": BURST | {"rate_error": 0.5},
    "burst, 2 entry VMs": BURST | {"vms": 2},
    "burst, 410 entry VMs": BURST | {"vms": 410} | LATE,
}


@attrs.define
class Reporter:
    """Stands in for the load reporter: only who the peers are."""

    peers: dict[str, report_channels.Peer] = attrs.field(factory=dict)
    joined: bool = True

    def count_possible_members(self) -> int | None:
        """The number of entry VMs; None before joining."""
        return 1 + len(self.peers) if self.joined else None


def make_route(name: str, **changes: typing.Any) -> table_module.Route:
    """Make a route to the engines."""
    values = {
        "host": "h",
        "path_prefix": f"/{name}/",
        "kind": table_module.RouteKind.STREAM,
        "targets": (table_module.Target(SERVICE),),
        "timeout_ms": 10_000.0,
        "target_ms": TARGET_MS,
        "resumable": True,
        "models": ("small", "large"),
    }
    return table_module.Route(name=name, **{**values, **changes})


def make_table(**changes: typing.Any) -> table_module.RoutingTable:
    """Make a table with two ranks and many customers."""
    engine = table_module.Engine(
        slots=12, cache_tokens=500_000, costs={"small": 0.5, "large": 1.0}
    )
    values = {
        "revision": 1,
        "routes": (
            make_route("brief", priority=0),
            make_route("digest", priority=2),
        ),
        "services": {
            SERVICE: table_module.Service(name=SERVICE, engine=engine)
        },
        "customers_by_key": {
            f"key-{number}": table_module.Customer(f"customer-{number}")
            for number in range(CUSTOMERS)
        },
        "limits": table_module.CallerLimits(),
        "keyed": True,
    }
    return table_module.RoutingTable(**{**values, **changes})


def make_admission(
    engines: int, vms: int, table: table_module.RoutingTable | None = None
) -> admission_module.Admission:
    """Make one entry VM's admission that has seen enough first tokens."""
    clock: typing.Any = clock_module.ManualClock(10_000.0)
    board = board_module.ForwardingBoard(name="vm-0", failure_domain="north")
    board.table = table or make_table()
    for number in range(engines):
        name = f"engine-{number}"
        board.endpoints[name] = message_types.EndpointEntry(
            name=name,
            service=SERVICE,
            address="10.0.0.1:80",
            failure_domain="north",
            slots=12,
        )
    board.generation += 1
    reporter: typing.Any = Reporter(
        {
            f"vm-{number}": report_channels.Peer(
                f"vm-{number}", ("10.0.1.1", 1), "1", 10_000.0
            )
            for number in range(1, vms)
        }
    )
    admission = admission_module.Admission(
        board,
        clock,
        fleet_module.Fleet(board, clock),
        reporter,
        metrics_module.Metrics(),
        draw=random.Random(1).random,
    )
    admission.check(make_work(board.table))
    admission.rooms[SERVICE].waits_seen = 10
    return admission


def make_work(
    table: table_module.RoutingTable,
    route: int = 0,
    customer: str = "customer-1",
    **changes: typing.Any,
) -> work_items.Work:
    """Make a request on one of a table's routes."""
    values = {
        "metadata": message_types.RequestMetadata(
            request_id="r-1",
            model=message_types.ANY_MODEL,
            prompt=(
                message_types.PromptPart("shared", 6_000),
                message_types.PromptPart("own", 3_000),
            ),
        ),
        "route": table.routes[route],
        "service": SERVICE,
        "table": table,
        "customer": customer,
        "rank": table.find_rank(table.routes[route], None),
        "began_ms": 10_000.0,
        "deadline_ms": 1e12,
        "request": replies.CallerRequest(
            method=b"POST",
            target=b"/",
            host="h",
            path="/",
            headers=[],
            body=b"",
        ),
    }
    return work_items.Work(**{**values, **changes})


def set_backlog(
    admission: admission_module.Admission, backlog_ms: float
) -> None:
    """Have a peer report that each engine is behind by a time."""
    model = admission.fleet.get_latency_model(SERVICE)
    load = engine_load.Load(backlog_ms / model.token_ms, 1)
    loads = {name: load for name in admission.board.endpoints}
    now_ms = admission.clock.now_ms()
    engine_load.merge_peer_report(
        admission.fleet.loads, "vm-1", loads, now_ms, 1e9
    )


def time_decisions(engines: int, vms: int, backlog_ms: float) -> list[float]:
    """The processor times of decisions, every second with an update, in ms."""
    admission = make_admission(engines, vms)
    table = admission.board.table
    assert table is not None
    set_backlog(admission, backlog_ms)
    source = random.Random(3)
    for number in range(1, vms):
        sample = source.sample(range(CUSTOMERS), 6)
        rates = [[0, 1 + customer, 5_000] for customer in sample]
        service = demand_items.hash_service(SERVICE)
        admission.merge(f"vm-{number}/1", [[[service, rates]], []], 1e9)
    clock: typing.Any = admission.clock
    took_ms = []
    for number in range(DECISIONS):
        clock.advance(INTERVAL_MS if number % 2 else 1.0)
        for peer in admission.reporter.peers.values():
            peer.last_seen_ms = clock.now_ms()
        customer = f"customer-{source.randrange(CUSTOMERS)}"
        work = make_work(table, number % 2, customer)
        began = time.thread_time()
        admission.check(work)
        took_ms.append((time.thread_time() - began) * 1_000.0)
    return took_ms


def play_all(load: dict[str, typing.Any], policy: str) -> dict[str, float]:
    """Play a load with several seeds; return means of parts of callers."""
    results = [
        shedding_replay.play(policy=policy, seed=seed, **load)
        for seed in SEEDS
    ]
    return {
        label: float(numpy.mean([each.find_part(label) for each in results]))
        for label in ("all", "urgent", "patient", "small")
    }


def main() -> None:
    """Play all loads, time the decision, and write the page."""
    rows = []
    for name, load in LOADS.items():
        cells = [name]
        for policy in ("none", "shares", "bound"):
            found = play_all(load, policy)
            cells.append(" / ".join(f"{part:.2f}" for part in found.values()))
        rows.append("| " + " | ".join(cells) + " |")
    timings = []
    for label, backlog_ms in (("idle", 0.0), ("behind", 700.0)):
        took = time_decisions(790, 410, backlog_ms)
        for kind, times in (("update", took[1::2]), ("other", took[::2])):
            timings.append(
                f"| {label}, {kind} | {numpy.median(times):.3f} "
                f"| {numpy.percentile(times, 99):.3f} |"
            )
    RESULTS.write_text(
        "# Who gets the engines' room\n\nMade by `./build.sh bench "
        "load_shedding`. Callers answered in time: all / the urgent rank / "
        f"the least urgent / small customers; seeds {SEEDS}.\n\n"
        "| load | no admission | shares | perfect knowledge |\n"
        "|---|---|---|---|\n"
        + "\n".join(rows)
        + "\n\nProcessor time of a decision "
        "at 410 entry VMs and 790 engines, in ms. An update computes the "
        "shares anew, at most every 250 ms.\n\n"
        "| decision | median | p99 |\n|---|---|---|\n"
        + "\n".join(timings)
        + "\n"
    )


if __name__ == "__main__":
    main()
