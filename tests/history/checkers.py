"""One checker for each property that must hold in every history.

A checker is a pure function that returns the violations as sentences. The
time windows are those that the product promises to its users, not tighter.
"""

import collections
import typing

from carawayward import outcomes
from carawayward.protocol import billing
from carawayward.protocol import claims
from carawayward.protocol import config_log
from tests.history import events

# "Within seconds": the time from the "accepted" that the operator receives
# until every entry VM that can reach the log or a peer serves the revision.
IN_FORCE_WINDOW_MS = 8_000
# After an outage an entry VM must first detect its dead connections: a silent
# peer link after 2 s, a silent long poll after about 9 s.
RECOVERY_WINDOW_MS = 10_000
# "A few seconds" for a leaving endpoint: probes and reads of the VM list are
# 1 s apart, a report may take 2 s, and the list lags by 1 s.
LEAVING_WINDOW_MS = 5_000

Checker = typing.Callable[[events.History], list[str]]


def list_configurations(
    history: events.History,
) -> list[tuple[int, float, dict]]:
    """List (revision, time, document) of each configuration in force."""
    state = config_log.start_reading(1)
    in_force: list[tuple[int, float, dict]] = []
    for item in history.stream("configuration"):
        record = config_log.decode(item.data)
        if record is None:
            continue
        before = state.revision
        state = config_log.apply_record(state, item.offset, record)
        if state.revision != before and state.document is not None:
            in_force.append((state.revision, item.at_ms, state.document))
    return in_force


def group_calls(history: events.History) -> dict[str, list[events.Call]]:
    """Group the calls by request key."""
    calls: dict[str, list[events.Call]] = collections.defaultdict(list)
    for call in history.calls:
        calls[call.key].append(call)
    return calls


def find_responsible_vm(history: events.History, call: events.Call) -> str:
    """Find the only entry VM that may run a call; "" if none was decided.

    It is the ticket's issuer, or the one whose claim of the key came first.
    """
    if call.ticket:
        return call.issuer
    for record in history.stream("claims"):
        for claim in claims.decode(record.data):
            if claim.key == (call.customer, call.key):
                return claim.node
    return ""


def is_affected_by_outage(
    history: events.History, vm: str, at_ms: float
) -> bool:
    """Whether an entry VM is in an outage or still recovering from one."""
    return any(
        vm in outage.vms
        and outage.from_ms <= at_ms <= outage.to_ms + RECOVERY_WINDOW_MS
        for outage in history.outages
    )


def list_permitted_documents(
    history: events.History, calls: list[events.Call], at_ms: float
) -> list[dict]:
    """List the documents that the calls' entry VMs may act on at a time.

    These are the one in force and those replaced within the last window.
    During an outage and the recovery from it, an entry VM may also act on
    what was in force when the outage began.
    """
    oldest = at_ms - IN_FORCE_WINDOW_MS
    for outage in history.outages:
        for call in calls:
            if call.vm in outage.vms and is_affected_by_outage(
                history, call.vm, at_ms
            ):
                began = outage.from_ms - IN_FORCE_WINDOW_MS
                oldest = min(oldest, began)
    folded = list_configurations(history)
    ends = [when for _, when, _ in folded[1:]] + [float("inf")]
    return [
        document
        for (_, when, document), end in zip(folded, ends, strict=True)
        if when <= at_ms and end >= oldest
    ]


def check_allowed(history: events.History) -> list[str]:
    """A request runs only on versions that its customer may use."""
    calls = group_calls(history)
    violations = []
    for run in history.runs:
        mine = calls.get(run.key, [])
        if not mine:
            violations.append(f"a run of {run.key!r}, which nobody sent")
        if not mine or not run.version:
            continue
        documents = list_permitted_documents(history, mine, run.at_ms)
        if not any(_allows(d, mine[0].customer, run) for d in documents):
            violations.append(
                f"{run.key} of {mine[0].customer} ran on {run.version}"
            )
    return violations


def _allows(document: dict, customer: str, run: events.Run) -> bool:
    allowed = [
        name
        for each in document["customers"]
        if each["name"] == customer
        for name in each["models"]
    ]
    return any(
        version["name"] == run.version
        for model in document["models"]
        if model["name"] in allowed
        for version in model["versions"]
    )


def check_withdrawn(history: events.History) -> list[str]:
    """A withdrawn version receives no new work."""
    calls = group_calls(history)
    violations = []
    for run in history.runs:
        if not run.version:
            continue
        documents = list_permitted_documents(
            history, calls.get(run.key, []), run.at_ms
        )
        states = {
            version["state"]
            for document in documents
            for model in document["models"]
            for version in model["versions"]
            if version["name"] == run.version
        }
        if not states - {"withdrawn"}:
            violations.append(
                f"{run.key} ran on {run.version}, withdrawn, at "
                f"{run.at_ms:.0f}"
            )
    return violations


def check_sessions(history: events.History) -> list[str]:
    """A session is served by the versions that it was opened with."""
    return [
        f"{call.key}: session pinned to {sorted(call.pins.values())} "
        f"answered by {call.version}"
        for call in history.calls
        if call.session
        and call.kind is events.Kind.ANSWERED
        and call.version not in call.pins.values()
    ]


def check_bills(history: events.History) -> list[str]:
    """Each answer has exactly one bill with its cost; no other bills exist.

    A request that ran without an answered call may have one bill too.
    """
    found = (billing.decode(r.data) for r in history.stream("billing"))
    ledger = billing.fold_bills(bill for bill in found if bill is not None)
    calls = group_calls(history)
    names = {(c.customer, c.key): c.key for c in history.calls}
    names |= {(c.customer, c.ticket): c.key for c in history.calls if c.ticket}
    bills: dict[str, list[billing.Bill]] = collections.defaultdict(list)
    violations = []
    for pair, bill in ledger.items():
        if pair in names:
            bills[names[pair]].append(bill)
        else:
            violations.append(f"a bill for {pair}, which nobody sent")
    ran = {run.key for run in history.runs}
    for key, mine in calls.items():
        answered = [c for c in mine if c.kind is events.Kind.ANSWERED]
        count = len(bills[key])
        if answered and count != 1:
            violations.append(f"{key} was answered and has {count} bills")
        if count > 1 or (count and key not in ran):
            violations.append(f"{key} has {count} bills, ran: {key in ran}")
        violations += [
            f"{key} was reported at {call.cost} and billed at "
            f"{bills[key][0].cost}"
            for call in answered
            if count and call.cost not in (None, bills[key][0].cost)
        ]
    return violations


def check_answers(history: events.History) -> list[str]:
    """A caller gets the complete answer to its own request."""
    violations = []
    for call in history.calls:
        if call.kind is not events.Kind.ANSWERED:
            continue
        if not call.complete:
            violations.append(f"{call.key}: the end marker does not fit")
        elif call.expected.get(call.version) != call.text:
            violations.append(f"{call.key}: not the answer of {call.version}")
    return violations


def check_refusals(history: events.History) -> list[str]:
    """A request that was refused as "not run" did not run.

    For a request that must not be repeated, the refusal applies to the key:
    a run must stem from another call that was not itself refused as "not
    run" and that overlapped the refused call or came after it. For other
    requests the refusal applies to the call, so that an earlier call with
    the same key may have run.
    """
    runs: dict[str, list[events.Run]] = collections.defaultdict(list)
    for run in history.runs:
        runs[run.key].append(run)
    violations = []
    for call in history.calls:
        if call.kind is not events.Kind.NOT_RUN:
            continue
        others = [
            other
            for other in group_calls(history)[call.key]
            if other is not call
            and other.kind is not events.Kind.NOT_RUN
            and (not call.once or other.ended_ms > call.began_ms)
        ]
        for run in runs[call.key]:
            if not any(other.began_ms <= run.at_ms for other in others):
                violations.append(
                    f'{call.key}: "not run" at {call.ended_ms:.0f}, run at '
                    f"{run.endpoint} at {run.at_ms:.0f}"
                )
    return violations


def check_once(history: events.History) -> list[str]:
    """A request that must not be repeated runs at most once."""
    once = {call.key for call in history.calls if call.once}
    counts = collections.Counter(
        run.key for run in history.runs if run.key in once
    )
    return [f"{key} ran {n} times" for key, n in counts.items() if n > 1]


def check_leaving(history: events.History) -> list[str]:
    """A leaving endpoint starts no run after ``LEAVING_WINDOW_MS``."""
    return [
        f"{run.key} ran at {run.endpoint}, "
        f"{run.at_ms - left.at_ms:.0f} ms after it began to leave"
        for left in history.left
        for run in history.runs
        if run.endpoint == left.endpoint
        and run.at_ms > left.at_ms + LEAVING_WINDOW_MS
    ]


def check_stops(history: events.History) -> list[str]:
    """A planned stop exits with code 0 and interrupts no request.

    Calls that overlap a crash or an outage are excused, since that may be
    what interrupted them.
    """
    cut = (
        events.Kind.NO_ANSWER,
        events.Kind.INTERRUPTED,
        events.Kind.UNKNOWN,
    )
    violations = [
        f"{stop.vm} stopped with code {stop.exit_code}"
        for stop in history.stops
        if stop.exit_code != 0
    ]
    for stop in history.stops:
        violations += [
            f"{call.key} ({call.target}, sent to {call.vm}, held by "
            f"{find_responsible_vm(history, call)}, {call.began_ms:.0f} to "
            f"{call.ended_ms:.0f}) was cut off by the stop of {stop.vm} at "
            f"{stop.asked_ms:.0f}: {call.kind.value}, {call.reason}"
            for call in history.calls
            if stop.vm in (call.vm, find_responsible_vm(history, call))
            and call.kind in cut
            and not _is_refused_by_leaving_vm(stop, call)
            and not _is_disturbed(history, call)
            and call.began_ms <= stop.ended_ms
            and call.ended_ms >= stop.asked_ms
        ]
    return violations


def _is_refused_by_leaving_vm(
    stop: events.EntryVmStop, call: events.Call
) -> bool:
    """Whether a stopping entry VM refused a call that began after the stop.

    A retry is refused as unknown, since an earlier attempt may have run.
    """
    late = call.began_ms >= stop.asked_ms
    return late and call.reason == str(outcomes.Reason.LEAVING)


def _is_disturbed(history: events.History, call: events.Call) -> bool:
    return any(
        call.began_ms <= crash.at_ms <= call.ended_ms
        for crash in history.crashes
    ) or any(
        outage.from_ms <= call.ended_ms and outage.to_ms >= call.began_ms
        for outage in history.outages
    )


def check_configuration(history: events.History) -> list[str]:
    """Accepted revisions come into force in time and are never reverted.

    At most one publish on the same base is accepted.
    """
    took_effect = {revision for revision, _, _ in list_configurations(history)}
    violations = []
    for published in history.publishes:
        if published.accepted and published.revision not in took_effect:
            violations.append(
                f"{published.revision} was accepted without effect"
            )
    accepted_by_base = collections.Counter(
        published.base for published in history.publishes if published.accepted
    )
    violations += [
        f"{count} publishes on base {base} were accepted"
        for base, count in accepted_by_base.items()
        if count > 1
    ]
    highest_by_process: dict[tuple[str, int], int] = {}
    for observed in sorted(
        history.observed_revisions, key=lambda observed: observed.at_ms
    ):
        if observed.revision not in took_effect:
            violations.append(
                f"{observed.vm} serves {observed.revision}, never in force"
            )
        before = highest_by_process.get((observed.vm, observed.process), 0)
        highest_by_process[observed.vm, observed.process] = max(
            before, observed.revision
        )
        if observed.revision < before:
            violations.append(
                f"{observed.vm} went back from {before} to {observed.revision}"
            )
        required_revision = max(
            (
                published.revision
                for published in history.publishes
                if published.accepted
                and published.ended_ms + IN_FORCE_WINDOW_MS < observed.at_ms
            ),
            default=0,
        )
        if observed.revision < required_revision and not is_affected_by_outage(
            history, observed.vm, observed.at_ms
        ):
            violations.append(
                f"{observed.vm} serves {observed.revision} at "
                f"{observed.at_ms:.0f}, {required_revision} is due"
            )
    return violations


CHECKERS: dict[str, Checker] = {
    "allowed versions": check_allowed,
    "withdrawn versions": check_withdrawn,
    "sessions": check_sessions,
    "bills": check_bills,
    "complete answers": check_answers,
    "correct refusals": check_refusals,
    "at most once": check_once,
    "leaving endpoints": check_leaving,
    "planned stops": check_stops,
    "configuration": check_configuration,
}


def check_all(history: events.History) -> list[str]:
    """Run all checkers; each violation begins with its property's name."""
    return [
        f"{name}: {violation}"
        for name, check in CHECKERS.items()
        for violation in check(history)
    ]
