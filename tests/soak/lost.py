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
import typing

import attrs

from tests.soak import records

NOT_RUN = (408, 421, 429, 503)
AFTER_GRACE_MS = 1_000.0
# A stop does not count for what an endpoint still works on in this last part
# of the grace, if it was sent soon after the signal.
LAST_PART_OF_GRACE = 1.0 / 6.0
SENT_SOON_MS = 3_000.0
AFTER_CONFIG_MS = 1_000.0
MIN_CONFIG_RATIO = 3.0
MAX_USED_SHARE = 0.7
MAX_LOST_ON_KEPT = 3
REQUEST_TASK = "request"
FINAL_NAMES = (
    "request_forwarded",
    "request_refused",
    "request_bad",
    "request_incomplete",
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
    arrivals: tuple[records.Arrival, ...]
    ending: Ending

    @property
    def from_ms(self) -> float:
        """When it was sent."""
        return self.sent.at_ms

    @property
    def until_ms(self) -> float:
        """When its connection ended."""
        return self.seen.ended_ms

    @property
    def is_cut(self) -> bool:
        """Whether it was read and then got no complete answer."""
        return self.ending in (Ending.CUT, Ending.NOTHING)

    def describe(self, cause: str) -> str:
        """Say what became of it."""
        where = [each.endpoint for each in self.arrivals]
        return (
            f"{self.sent.request_id} ({self.sent.route}) at {self.sent.vm}: "
            f"{self.ending.value} after {self.until_ms - self.from_ms:.0f} of "
            f"{self.sent.deadline_ms:.0f} ms, sent to {where}; {cause}"
        )


def list_ended(
    history: records.History, bounds: records.Bounds
) -> list[Ended]:
    """List all tries that have ended, and how."""
    arrivals = collections.defaultdict(list)
    for arrival in history.arrivals:
        arrivals[arrival.request_id].append(arrival)
    found = []
    for request_id, seen in history.tries.items():
        if seen.ended_ms == math.inf:
            continue
        until_end = tuple(
            each
            for each in arrivals[request_id]
            if each.at_ms <= seen.ended_ms
        )
        found.append(
            Ended(
                sent=history.sent[request_id],
                seen=seen,
                arrivals=until_end,
                ending=_find_ending(history, bounds, seen, bool(until_end)),
            )
        )
    return found


def _find_ending(
    history: records.History,
    bounds: records.Bounds,
    seen: records.Try,
    passed_on: bool,
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
    # The caller sees an end late if its own process is held up.
    slack_ms = bounds.loss_slack_ms + sum(
        each.until_ms - each.from_ms
        for each in history.stalls
        if each.overlaps(seen.sent_ms, seen.ended_ms)
    )
    if seen.ended_ms - seen.sent_ms > slack_ms:
        return Ending.NOTHING
    return Ending.CROSSED


def _is_excused(
    history: records.History, bounds: records.Bounds, ended: Ended
) -> bool:
    """Whether its deadline, its endpoint or a disruption may have ended it."""
    if ended.until_ms >= ended.sent.ends_ms - bounds.loss_slack_ms:
        return True
    if any(
        each.name == ended.sent.vm
        and not each.planned
        and each.overlaps(ended.from_ms - bounds.contact_ms, ended.until_ms)
        for each in history.vm_disruptions
    ):
        return True
    return any(
        each.overlaps(ended.from_ms, ended.until_ms)
        and (
            not ended.arrivals
            or each.name in [arrival.endpoint for arrival in ended.arrivals]
        )
        for each in history.endpoint_disruptions
    )


def _find_stop_ms(
    history: records.History, bounds: records.Bounds, ended: Ended
) -> float | None:
    """When the entry VM got the SIGTERM that may have ended a try."""
    stops = [
        each.stop_ms
        for each in history.processes
        if each.vm == ended.sent.vm
        and each.from_ms <= ended.from_ms <= each.until_ms
        and 0.0
        <= ended.until_ms - each.stop_ms
        <= bounds.grace_ms + AFTER_GRACE_MS
    ]
    return stops[-1] if stops else None


def _is_at_work_late(
    bounds: records.Bounds, ended: Ended, stop_ms: float
) -> bool:
    """Whether an endpoint was at work on it in the last part of the grace.

    What was cut sooner was not: its endpoint could have gone on.
    """
    end_ms = stop_ms + bounds.grace_ms
    late_ms = end_ms - LAST_PART_OF_GRACE * bounds.grace_ms
    return ended.from_ms <= stop_ms + SENT_SOON_MS and any(
        each.ran
        and each.at_ms <= end_ms
        and min(each.ended_ms, ended.until_ms) >= late_ms
        for each in ended.arrivals
    )


def check_lost(history: records.History, bounds: records.Bounds) -> list[str]:
    """Find read requests that end without an answer around planned work."""
    found = []
    ended = list_ended(history, bounds)
    near_configs: list[Ended] = []
    for each in ended:
        if not each.is_cut or _is_excused(history, bounds, each):
            continue
        stop_ms = _find_stop_ms(history, bounds, each)
        if stop_ms is not None:
            if not _is_at_work_late(bounds, each, stop_ms):
                sent_ms, cut_ms = each.from_ms, each.until_ms
                found.append(
                    each.describe(
                        f"sent {sent_ms - stop_ms:.0f}, ended "
                        f"{cut_ms - stop_ms:.0f} ms after SIGTERM"
                    )
                )
        elif any(
            at_ms <= each.until_ms and each.from_ms <= at_ms + bounds.apply_ms
            for at_ms in history.reloads_ms.get(each.sent.vm, [])
        ):
            found.append(each.describe("around SIGHUP"))
        else:
            near_configs.append(each)
    return found + _list_lost_beside_configs(
        history, bounds, ended, near_configs
    )


def _list_lost_beside_configs(
    history: records.History,
    bounds: records.Bounds,
    ended: typing.Sequence[Ended],
    cuts: typing.Sequence[Ended],
) -> list[str]:
    """List cuts beside configurations, at entry VMs that cut more then.

    The store acknowledges a configuration as soon as it is sent.
    """

    def is_beside(each: Ended) -> bool:
        return any(
            version.acked_ms
            <= each.until_ms
            <= version.acked_ms + bounds.apply_ms + AFTER_CONFIG_MS
            for version in history.versions[1:]
        )

    counts: collections.Counter[tuple[str, bool]] = collections.Counter()
    for each in ended:
        counts[each.sent.vm, is_beside(each)] += 1
    cut = collections.Counter((c.sent.vm, is_beside(c)) for c in cuts)
    found = []
    for each in cuts:
        vm = each.sent.vm
        beside, other = (
            cut[vm, side] / max(1, counts[vm, side]) for side in (True, False)
        )
        used_ms = each.until_ms - each.from_ms
        if (
            is_beside(each)
            and beside > MIN_CONFIG_RATIO * other
            and used_ms < MAX_USED_SHARE * each.sent.deadline_ms
        ):
            found.append(each.describe("beside a configuration"))
    return found


def check_lost_on_kept(
    history: records.History, bounds: records.Bounds
) -> list[str]:
    """Find requests on kept connections that end unanswered at any time.

    They were passed on to sound endpoints by entry VMs in touch.
    """
    found = [
        each.describe("on a kept connection")
        for each in list_ended(history, bounds)
        if each.seen.kept
        and each.arrivals
        and each.ending is Ending.NOTHING
        and not _is_excused(history, bounds, each)
        and not history.is_vm_disrupted(
            each.sent.vm, each.from_ms - bounds.contact_ms, each.until_ms
        )
    ]
    return found if len(found) > MAX_LOST_ON_KEPT else []


def read_log(process: records.VmProcess, path: pathlib.Path) -> None:
    """Record which requests the log of a process has lines and ends of."""
    for line in path.read_text(errors="replace").splitlines():
        if not line.startswith("{"):
            continue
        try:
            event = json.loads(line)
        except ValueError:
            # A process that is killed leaves a part of its last line.
            continue
        request_id = event.get("request")
        if not request_id:
            continue
        process.logged.add(request_id)
        if event["name"] in FINAL_NAMES or (
            event["name"] == "fault" and event["task"] == REQUEST_TASK
        ):
            process.finals[request_id] = 1 + process.finals.get(request_id, 0)


def check_final_lines(
    history: records.History, bounds: records.Bounds
) -> list[str]:
    """Find read requests without exactly one final line in the logs.

    Counted are those of processes that ended by themselves.
    """
    found = []
    passed_on: dict[str, float] = {}
    for each in history.arrivals:
        passed_on.setdefault(each.request_id, each.at_ms)
    for process in history.processes:
        if process.exit_code in (None, -signal.SIGKILL):
            continue
        for sent in history.sent.values():
            if (
                sent.vm != process.vm
                or not process.from_ms <= sent.at_ms <= process.until_ms
            ):
                continue
            is_read = (
                sent.request_id in process.logged
                or passed_on.get(sent.request_id, math.inf) <= process.until_ms
            )
            count = process.finals.get(sent.request_id, 0)
            if is_read and count != 1:
                found.append(
                    f"{sent.request_id} ({sent.route}) has {count} final "
                    f"lines in the log of {process.vm}.{process.start}"
                )
    return found


def check_refused_unsafe(
    history: records.History, bounds: records.Bounds
) -> list[str]:
    """Find unsafe requests that were refused as not run, and ran."""
    ran = {each.request_id for each in history.arrivals if each.ran}
    return [
        f"{request_id} got {status} and ran"
        for request_id, status in history.statuses.items()
        if status in NOT_RUN
        and request_id in ran
        and history.sent[request_id].unsafe
    ]


def check_unsafe_once(
    history: records.History, bounds: records.Bounds
) -> list[str]:
    """Find unsafe requests that ran more than once."""
    runs = collections.Counter(
        each.request_id
        for each in history.arrivals
        if each.ran and history.sent[each.request_id].unsafe
    )
    return [
        f"{request_id} ran {count} times"
        for request_id, count in runs.items()
        if count > 1
    ]


CHECKERS = {
    "lost": check_lost,
    "lost on kept connections": check_lost_on_kept,
    "final lines": check_final_lines,
    "refused unsafe": check_refused_unsafe,
    "unsafe once": check_unsafe_once,
}


def describe_tries(
    history: records.History, bounds: records.Bounds
) -> dict[str, int]:
    """How many tries ended which way, on fresh and on kept connections."""
    counts = collections.Counter(
        f"{each.ending.value}, {'kept' if each.seen.kept else 'fresh'}"
        for each in list_ended(history, bounds)
    )
    return dict(sorted(counts.items()))
