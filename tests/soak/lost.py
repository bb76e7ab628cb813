"""Checks of requests that end without an answer around planned work.

Each returns its violations as text; see the users' rules, LOST, REFUSED and
TWICE.
"""

import collections
import enum
import json
import math
import pathlib
import signal

import attrs

from tests.soak import hard_load
from tests.soak import records

AFTER_GRACE_MS = AFTER_CONFIG_MS = 1_000.0
# Of the grace; what an endpoint still works on then may be cut, if it was sent
# soon after the signal.
LAST_PART = 1.0 / 6.0
SENT_SOON_MS = 3_000.0
# Before the end of a try, in which a machine that is held up excuses it.
HELD_UP_MS = 1_000.0
MIN_CONFIG_RATIO = 3.0
MAX_USED_SHARE = 0.7
MAX_LOST_ON_KEPT = 3
# An entry VM has read what it got this long before.
READ_WITHIN_MS = 1_000.0
FINAL_LINES = (
    ("request_forwarded", None),
    ("request_refused", None),
    ("request_bad", None),
    ("request_incomplete", None),
    ("fault", "request"),
)


class Ending(enum.Enum):
    """How a try ended for its caller."""

    ANSWERED = "answered"
    GAVE_UP = "caller gave up"
    UNREAD = "refused unread"
    CROSSED = "crossed a close"
    CUT = "cut in the answer"
    NOTHING = "no answer at all"


@attrs.frozen(kw_only=True)
class Ended:
    """A try that has ended, and its arrivals at endpoints until then."""

    sent: records.Sent
    seen: records.Try
    arrivals: list[records.Arrival]
    ending: Ending

    @property
    def vm(self) -> str:
        """The entry VM that it was sent to."""
        return self.sent.vm

    @property
    def took_ms(self) -> float:
        """The time until its connection ended."""
        return self.seen.ended_ms - self.sent.at_ms

    def is_beside(self, from_ms: float, until_ms: float) -> bool:
        """Whether its connection ended in the given time."""
        return from_ms <= self.seen.ended_ms <= until_ms

    def describe(self, cause: str) -> str:
        """Say what became of it."""
        where = [each.endpoint for each in self.arrivals]
        return (
            f"{self.sent.request_id} ({self.sent.route}) at {self.vm}: "
            f"{self.ending.value} after {self.took_ms:.0f} of "
            f"{self.sent.deadline_ms:.0f} ms, sent to {where}; {cause}"
        )


def list_ended(
    history: records.History, bounds: records.Bounds
) -> list[Ended]:
    """List all tries that have ended, and how."""
    arrivals = collections.defaultdict(list)
    for arrival in history.arrivals:
        arrivals[arrival.request_id].append(arrival)
    logged = {each for p in history.processes for each in p.lines}
    found = []
    for request_id, seen in history.tries.items():
        known = [a for a in arrivals[request_id] if a.at_ms <= seen.ended_ms]
        if seen.ended_ms < math.inf:
            found.append(
                Ended(
                    sent=history.sent[request_id],
                    seen=seen,
                    arrivals=known,
                    ending=_find_ending(
                        history,
                        bounds,
                        seen,
                        passed_on=bool(known),
                        is_logged=request_id in logged,
                    ),
                )
            )
    return found


def _find_ending(
    history: records.History,
    bounds: records.Bounds,
    seen: records.Try,
    passed_on: bool,
    is_logged: bool,
) -> Ending:
    if seen.complete:
        return Ending.ANSWERED
    if seen.gave_up:
        return Ending.GAVE_UP
    if seen.begun:
        return Ending.CUT
    if passed_on:
        return Ending.NOTHING
    if seen.unread or seen.sent_ms == math.inf:
        return Ending.UNREAD
    is_late = seen.ended_ms - seen.sent_ms > bounds.loss_slack_ms
    # A caller that runs late sees the end late, too; then the log decides.
    if any(e.overlaps(seen.sent_ms, seen.ended_ms) for e in history.stalls):
        is_late = is_late and is_logged
    return Ending.NOTHING if is_late else Ending.CROSSED


def _list_cuts(
    history: records.History, bounds: records.Bounds
) -> list[Ended]:
    """List read tries without a complete answer that nothing excuses.

    Excuses are the deadline, an endpoint that broke off, and an unplanned
    disruption of the entry VM. What holds up this process for longer than the
    slack holds up entry VMs, too.
    """

    def is_excused(each: Ended) -> bool:
        at_ms, ended_ms = each.sent.at_ms, each.seen.ended_ms
        endpoints = [arrival.endpoint for arrival in each.arrivals]
        return (
            ended_ms >= each.sent.ends_ms - bounds.loss_slack_ms
            or any(
                not other.planned
                and other.name == each.vm
                and other.overlaps(at_ms - bounds.contact_ms, ended_ms)
                for other in history.vm_disruptions
            )
            or any(
                other.overlaps(at_ms, ended_ms)
                and (other.name in endpoints or not endpoints)
                for other in history.endpoint_disruptions
            )
            or any(
                other.until_ms - other.from_ms > bounds.loss_slack_ms
                and other.overlaps(ended_ms - HELD_UP_MS, ended_ms)
                for other in history.stalls
            )
        )

    return [
        each
        for each in list_ended(history, bounds)
        if each.ending in (Ending.CUT, Ending.NOTHING) and not is_excused(each)
    ]


def _find_stop_ms(
    history: records.History, bounds: records.Bounds, cut: Ended
) -> float | None:
    """When the entry VM got the SIGTERM that may have ended a try."""
    for process in history.processes:
        if (
            process.vm == cut.vm
            and process.from_ms <= cut.sent.at_ms <= process.until_ms
            and cut.is_beside(
                process.stop_ms,
                process.stop_ms + bounds.grace_ms + AFTER_GRACE_MS,
            )
        ):
            return process.stop_ms
    return None


def _is_at_work_late(
    bounds: records.Bounds, cut: Ended, stop_ms: float
) -> bool:
    """Whether an endpoint was at work on it in the last part of the grace.

    An endpoint of what was cut sooner was not: it could have gone on.
    """
    end_ms = stop_ms + bounds.grace_ms
    return cut.sent.at_ms <= stop_ms + SENT_SOON_MS and any(
        each.ran
        and each.at_ms <= end_ms
        and min(each.ended_ms, cut.seen.ended_ms)
        >= end_ms - LAST_PART * bounds.grace_ms
        for each in cut.arrivals
    )


def check_lost(history: records.History, bounds: records.Bounds) -> list[str]:
    """Find read requests that end without an answer around planned work."""
    found, others = [], []
    for cut in _list_cuts(history, bounds):
        stop_ms = _find_stop_ms(history, bounds, cut)
        if stop_ms is not None:
            if not _is_at_work_late(bounds, cut, stop_ms):
                times = (cut.sent.at_ms - stop_ms, cut.seen.ended_ms - stop_ms)
                found.append(
                    cut.describe("sent %.0f, ended %.0f ms after SIGTERM")
                    % times
                )
        elif any(
            cut.is_beside(at_ms, math.inf)
            and cut.sent.at_ms <= at_ms + bounds.apply_ms
            for at_ms in history.reloads_ms.get(cut.vm, [])
        ):
            found.append(cut.describe("around SIGHUP"))
        else:
            others.append(cut)
    return found + _list_lost_beside_configs(history, bounds, others)


def _list_lost_beside_configs(
    history: records.History, bounds: records.Bounds, cuts: list[Ended]
) -> list[str]:
    """List cuts beside configurations, at entry VMs that cut more then.

    The store acknowledges a configuration as soon as it is sent.
    """
    settling_ms = bounds.apply_ms + AFTER_CONFIG_MS

    def find_side(each: Ended) -> tuple[str, bool]:
        return each.vm, any(
            each.is_beside(version.acked_ms, version.acked_ms + settling_ms)
            for version in history.versions[1:]
        )

    total = collections.Counter(map(find_side, list_ended(history, bounds)))
    cut = collections.Counter(map(find_side, cuts))
    shares = {side: cut[side] / count for side, count in total.items()}
    return [
        each.describe("beside a configuration")
        for each in cuts
        if find_side(each)[1]
        and shares[each.vm, True]
        > MIN_CONFIG_RATIO * shares.get((each.vm, False), 0.0)
        and each.took_ms < MAX_USED_SHARE * each.sent.deadline_ms
    ]


def check_lost_on_kept(
    history: records.History, bounds: records.Bounds
) -> list[str]:
    """Find requests on kept connections that end unanswered at any time.

    They were passed on to sound endpoints by entry VMs in touch.
    """
    found = [
        each.describe("on a kept connection")
        for each in _list_cuts(history, bounds)
        if each.seen.kept
        and each.arrivals
        and each.ending is Ending.NOTHING
        and not history.is_vm_disrupted(
            each.vm, each.sent.at_ms - bounds.contact_ms, each.seen.ended_ms
        )
    ]
    return found if len(found) > MAX_LOST_ON_KEPT else []


def read_log(process: records.VmProcess, path: pathlib.Path) -> None:
    """Record which requests the log of a process has lines and ends of."""
    for line in path.read_text(errors="replace").splitlines():
        # A process that is killed leaves a part of its last line.
        if not (line.startswith("{") and line.endswith("}")):
            continue
        event = json.loads(line)
        request_id = event.get("request")
        if request_id:
            is_final = (event["name"], event.get("task")) in FINAL_LINES
            process.lines.setdefault(request_id, 0)
            process.lines[request_id] += is_final


def check_final_lines(
    history: records.History, bounds: records.Bounds
) -> list[str]:
    """Find read requests without exactly one final line in the logs.

    Counted are those of processes that ended by themselves.
    """
    passed_on: dict[str, float] = {}
    for each in history.arrivals:
        passed_on.setdefault(each.request_id, each.at_ms)
    return [
        f"{request_id} ({sent.route}) has {process.lines.get(request_id, 0)} "
        f"final lines in the log of {process.vm}.{process.start}"
        for process in history.processes
        if process.exit_code not in (None, -signal.SIGKILL)
        for request_id, sent in history.sent.items()
        if sent.vm == process.vm
        and process.from_ms <= sent.at_ms <= process.until_ms
        and (
            request_id in process.lines
            or passed_on.get(request_id, math.inf) <= process.until_ms
        )
        and process.lines.get(request_id) != 1
    ]


def check_never_begun(
    history: records.History, bounds: records.Bounds
) -> list[str]:
    """Find whole requests on kept connections that wait and are never begun.

    Their entry VM neither passed them on nor has a line of them. Counted are
    those of processes that ended by themselves, undisrupted.
    """
    processes = [
        process
        for process in history.processes
        if process.exit_code not in (None, -signal.SIGKILL)
    ]
    return [
        each.describe("read, and never begun")
        for each in list_ended(history, bounds)
        if each.seen.kept
        and not (each.arrivals or each.seen.begun or each.seen.complete)
        and each.seen.ended_ms - each.seen.sent_ms >= READ_WITHIN_MS
        and any(
            process.vm == each.vm
            and process.from_ms <= each.sent.at_ms <= process.until_ms
            and each.sent.request_id not in process.lines
            for process in processes
        )
        and not any(
            not other.planned
            and other.name == each.vm
            and other.overlaps(
                each.sent.at_ms - bounds.contact_ms, each.seen.ended_ms
            )
            for other in history.vm_disruptions
        )
    ]


def check_unsafe_runs(
    history: records.History, bounds: records.Bounds
) -> list[str]:
    """Find unsafe requests that ran twice, or were refused and ran."""
    runs = collections.Counter(
        each.request_id
        for each in history.arrivals
        if each.ran and history.sent[each.request_id].unsafe
    )
    statuses = history.statuses
    return [
        f"{each} got {statuses.get(each)} and ran {count} times"
        for each, count in runs.items()
        if count > 1 or statuses.get(each) in hard_load.NOT_RUN
    ]


CHECKERS = {
    "lost": check_lost,
    "lost on kept connections": check_lost_on_kept,
    "final lines": check_final_lines,
    "never begun": check_never_begun,
    "unsafe runs": check_unsafe_runs,
}


def count_endings(
    history: records.History, bounds: records.Bounds
) -> dict[str, int]:
    """How many tries ended which way, on fresh and on kept connections."""
    return collections.Counter(
        f"{each.ending.value}, {'kept' if each.seen.kept else 'fresh'}"
        for each in list_ended(history, bounds)
    )
