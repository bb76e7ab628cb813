"""Each checker accepts a valid history and rejects an invalid one."""

import typing

import attrs
from nose2.tools import params

from carawayward import declaration
from carawayward.protocol import billing
from carawayward.protocol import config_log
from tests.common import linked
from tests.history import checkers
from tests.history import events

Change = typing.Callable[[events.History], None]


def make_record(offset: int, base: int, **states: str) -> events.Record:
    """Make a publish record, appended at ``offset`` seconds."""
    document = linked.make_document(**states)
    publish = config_log.Publish(
        publish_id=f"p{offset}",
        base_revision=base,
        document=document,
        digest=declaration.digest_document(document),
        operator="op",
    )
    return events.Record(
        stream="configuration",
        offset=offset,
        at_ms=offset * 1000,
        data=config_log.encode(publish),
    )


def make_bill(key: str) -> events.Record:
    """Make a log record of a bill."""
    bill = billing.Bill(
        customer="alpha",
        request_key=key,
        version="cheap-1",
        input_tokens=1,
        output_tokens=1,
        cost=0.5,
        made_ms=0,
    )
    data = billing.encode(bill)
    return events.Record(stream="billing", offset=1, at_ms=9e3, data=data)


VALID_CALL = events.Call(
    key="k",
    customer="alpha",
    vm="vm-0",
    began_ms=5_000,
    ended_ms=6_000,
    kind=events.Kind.ANSWERED,
    session="s",
    pins={"cheap": "cheap-1"},
    text="yes",
    expected={"cheap-1": "yes", "strong-1": "no"},
    version="cheap-1",
    cost=0.5,
)
VALID_RUN = events.Run(
    key="k", endpoint="engines-0", at_ms=5_500, version="cheap-1"
)


def make_valid_history() -> events.History:
    """Make a history that violates no property, with all kinds of events.

    The configuration of 20 s withdraws cheap-1. vm-1 is partitioned from
    15 s to 40 s and may use the old configuration until it has recovered.
    """
    refused = attrs.evolve(VALID_CALL, key="n", kind=events.Kind.NOT_RUN)
    once = attrs.evolve(
        VALID_CALL, key="o", once=True, ticket="t", issuer="vm-0", session=""
    )
    refused_by_leaving = attrs.evolve(
        once,
        began_ms=5_600,
        ended_ms=5_610,
        kind=events.Kind.UNKNOWN,
        reason="leaving",
    )
    cut_off = attrs.evolve(
        VALID_CALL, key="c", vm="vm-1", began_ms=45_000, ended_ms=46_000
    )
    return events.History(
        calls=[VALID_CALL, refused, once, refused_by_leaving, cut_off],
        runs=[
            VALID_RUN,
            events.Run(key="o", endpoint="desk-0", at_ms=5_500),
            attrs.evolve(VALID_RUN, key="c", at_ms=45_500),
        ],
        records=[
            make_record(1, 0),
            make_record(20, 1, cheap_1="withdrawn"),
            make_bill("k"),
            make_bill("k"),
            make_bill("t"),
            make_bill("c"),
        ],
        publishes=[
            events.PublishOutcome(
                base=1, accepted=True, revision=20, ended_ms=20_000
            ),
            events.PublishOutcome(
                base=1, accepted=False, revision=0, ended_ms=20_000
            ),
        ],
        observed_revisions=[
            events.ObservedRevision(
                vm="vm-0", process=1, revision=1, at_ms=25_000
            ),
            events.ObservedRevision(
                vm="vm-0", process=1, revision=20, at_ms=27_000
            ),
            events.ObservedRevision(
                vm="vm-1", process=1, revision=1, at_ms=45_000
            ),
        ],
        left=[events.EndpointLeaving(endpoint="engines-0", at_ms=44_000)],
        stops=[
            events.EntryVmStop(
                vm="vm-0", asked_ms=5_500, ended_ms=7_000, exit_code=0
            )
        ],
        outages=[events.Outage(vms=("vm-1",), from_ms=15_000, to_ms=40_000)],
    )


def change_call(**changes: typing.Any) -> Change:
    """Change fields of the first call."""

    def change(history: events.History) -> None:
        history.calls[0] = attrs.evolve(VALID_CALL, **changes)

    return change


def add_run(**changes: typing.Any) -> Change:
    """Add a run."""
    return lambda history: history.runs.append(
        attrs.evolve(VALID_RUN, **changes)
    )


def add_seen(vm: str, revision: int, at_ms: float) -> Change:
    """Add an observation of a served revision."""
    return lambda history: history.observed_revisions.append(
        events.ObservedRevision(
            vm=vm, process=1, revision=revision, at_ms=at_ms
        )
    )


def add_stop(**changes: typing.Any) -> Change:
    """Add a planned stop."""
    return lambda history: history.stops.append(
        attrs.evolve(history.stops[0], **changes)
    )


def accept_both(history: events.History) -> None:
    """Both publishes on one base were reported as accepted."""
    history.publishes[1] = attrs.evolve(
        history.publishes[1], accepted=True, revision=21
    )


def run_strong_for_beta(history: events.History) -> None:
    """A customer that may only use the cheap model got the strong one."""
    history.calls[0] = attrs.evolve(VALID_CALL, customer="beta")
    history.runs[0] = attrs.evolve(VALID_RUN, version="strong-1")


def drop_bill(history: events.History) -> None:
    """The only bill of an answer is missing from the log."""
    del history.records[-1]


INVALID: list[tuple[str, Change]] = [
    ("allowed versions", run_strong_for_beta),
    ("allowed versions", add_run(key="nobody")),
    ("withdrawn versions", add_run(at_ms=29_000)),
    ("withdrawn versions", add_run(key="c", at_ms=61_000)),
    ("sessions", change_call(version="strong-1", text="no")),
    ("bills", drop_bill),
    ("bills", lambda history: history.records.append(make_bill("n"))),
    ("bills", lambda history: history.records.append(make_bill("o"))),
    ("bills", lambda history: history.records.append(make_bill("x"))),
    ("bills", change_call(cost=0.4)),
    ("complete answers", change_call(text="no")),
    ("complete answers", change_call(complete=False)),
    ("correct refusals", add_run(key="n", at_ms=5_500)),
    ("correct refusals", add_run(key="n", at_ms=90_000)),
    ("at most once", add_run(key="o", endpoint="desk-1", version="")),
    ("leaving endpoints", add_run(at_ms=50_000)),
    ("planned stops", add_stop(exit_code=1)),
    ("planned stops", change_call(kind=events.Kind.NO_ANSWER)),
    (
        "planned stops",
        change_call(kind=events.Kind.UNKNOWN, reason="leaving"),
    ),
    ("configuration", accept_both),
    ("configuration", add_seen("vm-0", 1, 28_000)),
    ("configuration", add_seen("vm-2", 1, 29_000)),
    ("configuration", add_seen("vm-1", 1, 61_000)),
    ("configuration", add_seen("vm-0", 21, 29_000)),
]


def test_sound_history_is_accepted_by_every_checker():
    """Duplicate records, retries and partitioned VMs are no violations."""
    assert checkers.check_all(make_valid_history()) == []


def test_every_property_has_a_broken_history():
    """Each checker has at least one history that it must reject."""
    assert {name for name, _ in INVALID} == set(checkers.CHECKERS)


@params(*range(len(INVALID)))
def test_broken_history_is_rejected(index):
    """Each invalid history is rejected by the checker of its property."""
    name, change = INVALID[index]
    history = make_valid_history()
    change(history)
    assert checkers.CHECKERS[name](history) != []
