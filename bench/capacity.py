"""Slopes for docs/CAPACITY.md: ``./build.sh bench capacity``.

Each figure is measured at several sizes on the shipped functions; the fit
and its worst miss are printed. What needs processes or sockets (tokens
relayed, control traffic between entry VMs) is in ``bench path`` and
``bench agreed``.
"""

import json
import pathlib
import random
import typing

import cbor2

from bench import fitting
from carawayward import blackboard
from carawayward import clock
from carawayward.decisions import evidence
from carawayward.decisions import placement
from carawayward import declaration
from carawayward import metrics
from carawayward.protocol import billing
from carawayward.protocol import claims
from carawayward.protocol import membership
from carawayward.protocol import tokens

RESULTS = pathlib.Path("bench/results/capacity.md")
VERSIONS = 28


def make_document(customers: int) -> dict:
    """A declaration with all versions and this many customers."""
    models = [
        {
            "name": f"model-{number}",
            "versions": [{"name": f"model-{number}-v1", "cost": 1.0}],
        }
        for number in range(VERSIONS)
    ]
    names = [model["name"] for model in models]
    tasks = [
        {"name": f"task-{n}", "cascade": names[n : n + 2]} for n in range(20)
    ]
    return {
        "format": 1,
        "models": models,
        "tasks": tasks,
        "customers": [
            {
                "name": f"customer-{number}",
                "key_digests": [declaration.digest_key(str(number))],
                "tasks": [task["name"] for task in tasks[:6]],
                "models": names[:12],
            }
            for number in range(customers)
        ],
    }


def measure_configuration() -> typing.Iterator[fitting.Line]:
    """What one change of the configuration costs a node."""
    sizes = (10, 40, 160, 640)
    documents = {size: make_document(size) for size in sizes}
    yield fitting.measure(
        "configuration: bytes of the document (CBOR)",
        "kB",
        "customer",
        sizes,
        lambda n: len(cbor2.dumps(documents[n])) / 1000,
    )
    yield fitting.measure(
        "configuration: check, digest and index a document",
        "ms",
        "customer",
        sizes,
        lambda n: fitting.time_ms(lambda: index_document(documents[n])),
    )
    yield fitting.measure(
        "configuration: memory of a document in force",
        "kB",
        "customer",
        sizes,
        lambda n: fitting.weigh_kb(lambda: index_document(documents[n])),
    )


def index_document(document: dict) -> blackboard.ConfigInForce:
    """What a node does with a valid publish."""
    declaration.digest_document(document)
    return blackboard.ConfigInForce.from_config(1, document)


def make_members(count: int) -> list[membership.Member]:
    """Member records of entry VMs."""
    return [
        membership.Member(
            name=f"entry-{number:03}",
            incarnation=f"{number:016x}",
            started_ms=1_790_000_000_000 + number,
            sequence=number,
            failure_domain=f"domain-{number % 5}",
            address=f"10.0.{number // 250}.{number % 250}:7001",
            revision=123_456,
        )
        for number in range(count)
    ]


def measure_membership() -> typing.Iterator[fitting.Line]:
    """What member records cost to carry, merge and keep."""
    sizes = (8, 32, 128, 410)
    rows = {
        n: [membership.encode_member(m) for m in make_members(n)]
        for n in sizes
    }
    yield fitting.measure(
        "membership: bytes of records (CBOR)",
        "B",
        "record",
        sizes,
        lambda n: len(cbor2.dumps(rows[n])),
    )
    yield fitting.measure(
        "membership: decode and merge records",
        "ms",
        "record",
        sizes,
        lambda n: fitting.time_ms(lambda: merge_rows(rows[n])),
    )
    yield fitting.measure(
        "membership: memory of known members",
        "kB",
        "record",
        sizes,
        lambda n: fitting.weigh_kb(lambda: merge_rows(rows[n])),
    )


def merge_rows(rows: list[list]) -> dict[str, membership.KnownMember]:
    """What a node does with received records."""
    known: dict[str, membership.KnownMember] = {}
    for row in cbor2.loads(cbor2.dumps(rows)):
        member = membership.decode_member(row)
        assert member is not None
        membership.merge_member(known, member, 0.0)
    return known


def make_claims(count: int) -> list[claims.Claim]:
    """Claims of callers' keys."""
    return [
        claims.Claim(
            claim_id=f"{number:016x}",
            customer=f"customer-{number % 40}",
            request_key=f"key-{number:012x}",
            node=f"entry-{number % 410:03}",
            incarnation=f"{number % 410:016x}",
            made_ms=1_790_000_000_000 + number,
        )
        for number in range(count)
    ]


def measure_claims() -> typing.Iterator[fitting.Line]:
    """What reading and keeping claims costs every node."""
    sizes = (1_000, 4_000, 16_000)
    made = {n: make_claims(n) for n in sizes}
    yield fitting.measure(
        "claims: bytes in the log (JSON)",
        "B",
        "claim",
        sizes,
        lambda n: len(json.dumps(claims.encode(made[n]))),
    )
    yield fitting.measure(
        "claims: decode and fold",
        "ms",
        "claim",
        sizes,
        lambda n: fitting.time_ms(lambda: fold_group(made[n])),
    )
    yield fitting.measure(
        "claims: memory of the table",
        "kB",
        "claim",
        sizes,
        lambda n: fitting.weigh_kb(lambda: fold_group(made[n])),
    )


def fold_group(group: list[claims.Claim]) -> claims.ClaimTable:
    """What a reader does with one record of claims."""
    table = claims.ClaimTable()
    claims.start_reading(table, 1, 0.0)
    decoded = claims.decode(json.loads(json.dumps(claims.encode(group))))
    claims.fold_claims(
        table, [claims.ClaimGroup(offset=1, at_ms=0, claims=tuple(decoded))]
    )
    return table


def make_bills(count: int) -> list[billing.Bill]:
    """Bills of completions."""
    return [
        billing.Bill(
            customer=f"customer-{number % 40}",
            request_key=f"req-{number:024x}",
            version="matchmaker-2",
            input_tokens=1200,
            output_tokens=412,
            cost=0.824,
            made_ms=1_790_000_000_000 + number,
        )
        for number in range(count)
    ]


def measure_bills() -> typing.Iterator[fitting.Line]:
    """What bills cost their node and the reader of the ledger."""
    sizes = (1_000, 4_000, 16_000)
    made = {n: make_bills(n) for n in sizes}
    yield fitting.measure(
        "bills: bytes in the log (JSON)",
        "B",
        "bill",
        sizes,
        lambda n: len(json.dumps([billing.encode(b) for b in made[n]])),
    )
    yield fitting.measure(
        "bills: encode for log and buddy",
        "ms",
        "bill",
        sizes,
        lambda n: fitting.time_ms(lambda: encode_bills(made[n])),
    )
    yield fitting.measure(
        "bills: memory while they wait",
        "kB",
        "bill",
        sizes,
        lambda n: fitting.weigh_kb(lambda: {b.key: b for b in make_bills(n)}),
    )


def encode_bills(bills: list[billing.Bill]) -> None:
    """A copy to a buddy for each bill, and one append for all."""
    for bill in bills:
        cbor2.dumps(["bill.hold", billing.encode(bill), 1, 0])
    json.dumps([billing.encode(bill) for bill in bills])


def measure_placement() -> typing.Iterator[fitting.Line]:
    """What a decision and an index cost by number of endpoints."""
    sizes = (50, 200, 790)
    draw = random.Random(1).randrange
    yield fitting.measure(
        "placement: one decision with a prefix key",
        "ms",
        "endpoint that can serve",
        sizes,
        lambda n: fitting.time_ms(lambda: place_many(n, draw)) / 1000,
    )
    yield fitting.measure(
        "placement: memory of one version's index",
        "kB",
        "endpoint that can serve",
        sizes,
        lambda n: fitting.weigh_kb(lambda: make_candidates(n)),
    )


_CANDIDATES: dict[int, placement.Candidates] = {}


def make_candidates(count: int) -> placement.Candidates:
    """An index of endpoints that can all serve."""
    return placement.Candidates.from_views(
        placement.EndpointView(
            name=f"endpoint-{number}", failure_domain=f"domain-{number % 5}"
        )
        for number in range(count)
    )


def place_many(count: int, draw: typing.Callable[[int], int]) -> None:
    """A thousand decisions."""
    found = _CANDIDATES.setdefault(count, make_candidates(count))
    for number in range(1000):
        placement.choose(found, number * 7919, "domain-1", 0.0, draw)


def measure_evidence() -> typing.Iterator[fitting.Line]:
    """What merged counters cost."""
    sizes = (1_000, 4_000, 16_000)
    yield fitting.measure(
        "evidence: merge a cell",
        "ms",
        "cell",
        sizes,
        lambda n: fitting.time_ms(lambda: merge_cells(n)),
    )
    yield fitting.measure(
        "evidence: memory of cells",
        "kB",
        "cell",
        sizes,
        lambda n: fitting.weigh_kb(lambda: merge_cells(n)),
    )


def merge_cells(count: int) -> evidence.Evidence:
    """Cells of many origins about a few hundred keys."""
    known = evidence.Evidence()
    for number in range(count):
        key = evidence.Key(
            f"customer-{number % 40}", f"task-{number % 6}", "version-1"
        )
        cell = evidence.Cell(f"origin-{number % 410}", number // 410, key)
        known.merge(cell, evidence.Count(3, 1))
    return known


def measure_rest() -> typing.Iterator[fitting.Line]:
    """Histograms and signed tokens."""
    sizes = (50, 100, 200)
    yield fitting.measure(
        "metrics: memory of histograms",
        "kB",
        "histogram",
        sizes,
        lambda n: fitting.weigh_kb(lambda: make_histograms(n)),
    )
    signer = tokens.Signer(("a-key-of-32-characters-0123456789",))
    yield fitting.measure(
        "sessions: sign and read a token",
        "ms",
        "token",
        sizes,
        lambda n: fitting.time_ms(lambda: sign_many(signer, n)),
    )


def make_histograms(count: int) -> metrics.Metrics:
    """Histograms of so many customers."""
    kept = metrics.Metrics(clock.Clock())
    for number in range(count):
        kept.observe(metrics.Metric.LATENCY, f"c{number}", "t", 5)
    return kept


def sign_many(signer: tokens.Signer, count: int) -> None:
    """Sign and read session tokens."""
    session = tokens.Session(
        session_id="s" * 24,
        customer="customer-1",
        pins={f"model-{n}": f"model-{n}-v1" for n in range(12)},
        revision=1,
        expires_ms=1_790_000_000_000,
    )
    for _ in range(count):
        signer.read_session(signer.sign(session))


MEASUREMENTS: tuple[typing.Callable[[], typing.Iterator[fitting.Line]], ...]
MEASUREMENTS = (
    measure_configuration,
    measure_membership,
    measure_claims,
    measure_bills,
    measure_placement,
    measure_evidence,
    measure_rest,
)


def main() -> None:
    """Measure everything and write the table."""
    lines = [line for measured in MEASUREMENTS for line in measured()]
    table = fitting.format_lines(lines)
    print(table)
    RESULTS.parent.mkdir(parents=True, exist_ok=True)
    RESULTS.write_text(
        "# Slopes for capacity\n\n"
        "`./build.sh bench capacity`; processor time, one core, least of "
        f"{fitting.REPEATS} runs.\n\n{table}\n"
    )


if __name__ == "__main__":
    main()
