"""Checks of the rules on retries and partitions, one function a clause.

Each returns its violations as text. They use only what endpoints got, what
callers sent and got, and which faults were injected; see the users' rules,
BUDGET, LOST and RECOVER.
"""

import bisect
import collections
import math
import typing

import attrs

from tests.soak import configurations
from tests.soak import crowds
from tests.soak import hard_load
from tests.soak import lost
from tests.soak import records

MAX_REQUESTS_ON_TOO_MANY_ENDPOINTS = 3
DEADLINE_TOLERANCE_MS = 500.0
MAX_LATE_DEADLINES = 20
MAX_LATE_DEADLINE_SHARE = 0.2
CRASHES_THAT_CONVICT = 3
MAX_RETRIES_AFTER_CRASHES = 3
CRASHES_THAT_CONVICT_PART = 5
MAX_REQUESTS_AFTER_CRASHES = 3
MIN_BEGUN_RATIO = 0.5
MIN_REQUESTS_COMPARED = 20
REST_BEGINS_MS = 500.0
MAX_REQUESTS_IN_REST = 2
MIN_SERVED_RATIO = 2.0 / 3.0
MAX_FAILED_FIRST_TRIES = 10
MAX_FAILED_FIRST_TRY_SHARE = 1.0 / 50.0
MIN_SERVED_RATIO_IN_SKEW = 3.0 / 4.0
CALM_BEFORE_SKEW_MS = 6_000.0
# Calls sent later than this before the end of a run may be open still.
SETTLED_MS = 4_000.0

Checker = typing.Callable[[records.History, records.Bounds], list[str]]


def _is_in_touch(
    history: records.History,
    bounds: records.Bounds,
    vm: str,
    at_ms: float,
) -> bool:
    return not history.is_vm_disrupted(vm, at_ms - bounds.contact_ms, at_ms)


def check_endpoints_per_request(
    history: records.History, bounds: records.Bounds
) -> list[str]:
    """Find requests that ran on more endpoints than their route allows.

    Endpoints that were disrupted meanwhile do not count.
    """
    runs: dict[str, list[records.Arrival]] = collections.defaultdict(list)
    for arrival in history.arrivals:
        if arrival.ran:
            runs[arrival.request_id].append(arrival)
    beyond = []
    for request_id, arrivals in runs.items():
        first_ms, last_ms = arrivals[0].at_ms, arrivals[-1].at_ms
        endpoints = {
            each.endpoint
            for each in arrivals
            if not history.is_endpoint_disrupted(
                each.endpoint, first_ms, last_ms
            )
        }
        max_attempts = history.sent[request_id].max_attempts
        if len(endpoints) > max_attempts:
            beyond.append(f"{request_id}: {len(endpoints)} of {max_attempts}")
    if len(beyond) <= MAX_REQUESTS_ON_TOO_MANY_ENDPOINTS:
        return []
    return [f"endpoints beyond the route's attempts: {', '.join(beyond)}"]


def check_deadlines(
    history: records.History, bounds: records.Bounds
) -> list[str]:
    """Find more time handed to endpoints than callers have left.

    Requests to an endpoint whose link was disrupted shortly before may have
    been held up on the way, and are not counted.
    """
    first: dict[str, records.Arrival] = {}
    counted = late_again = 0
    wrong = []
    for arrival in history.arrivals:
        sent = history.sent[arrival.request_id]
        if not _is_in_touch(history, bounds, sent.vm, arrival.at_ms):
            continue
        if history.is_endpoint_disrupted(
            arrival.endpoint, arrival.at_ms - bounds.contact_ms, arrival.at_ms
        ):
            continue
        counted += 1
        earlier = first.setdefault(arrival.request_id, arrival)
        after_ms = arrival.at_ms - earlier.at_ms
        late_again += after_ms > DEADLINE_TOLERANCE_MS
        if _has_too_much_time(sent, earlier, arrival):
            wrong.append(arrival.request_id)
    if len(wrong) <= MAX_LATE_DEADLINES:
        return []
    if len(wrong) <= MAX_LATE_DEADLINE_SHARE * (late_again or counted):
        return []
    return [f"more time than is left: {len(wrong)} of {counted}, {wrong[:5]}"]


def _has_too_much_time(
    sent: records.Sent, first: records.Arrival, arrival: records.Arrival
) -> bool:
    if arrival.remaining_ms is None:
        return True
    if arrival.remaining_ms > sent.deadline_ms + DEADLINE_TOLERANCE_MS:
        return True
    if arrival.at_ms - first.at_ms <= DEADLINE_TOLERANCE_MS:
        return False
    first_ends_ms = first.at_ms + (first.remaining_ms or 0.0)
    ends_ms = arrival.at_ms + arrival.remaining_ms
    latest_ms = max(first_ends_ms, sent.ends_ms)
    return ends_ms > latest_ms + DEADLINE_TOLERANCE_MS


def check_crashing_requests(
    history: records.History, bounds: records.Bounds
) -> list[str]:
    """Find requests that are still retried after three crashes."""
    crashes: dict[str, list[float]] = collections.defaultdict(list)
    retries: dict[str, list[records.Arrival]] = collections.defaultdict(list)
    for arrival in history.arrivals:
        sent = history.sent[arrival.request_id]
        crash_times = crashes[sent.content]
        if arrival.crashed:
            crash_times.append(arrival.at_ms)
        if len(crash_times) < CRASHES_THAT_CONVICT:
            continue
        known_ms = crash_times[CRASHES_THAT_CONVICT - 1] + bounds.contact_ms
        if arrival.at_ms > known_ms and _is_in_touch(
            history, bounds, sent.vm, arrival.at_ms
        ):
            retries[sent.content].append(arrival)
    return [
        f"{content} crashed {len(crashes[content])} endpoints and reached "
        f"endpoints {len(arrivals)} times after the third crash was known"
        for content, arrivals in retries.items()
        if len(arrivals) > MAX_RETRIES_AFTER_CRASHES
    ]


def _list_part_crashes(
    history: records.History, part: records.CrashingPart
) -> list[float]:
    """When a part crashed endpoints, at most the crashes that convict it."""
    times = sorted(
        arrival.crashed_ms
        for arrival in history.arrivals
        if arrival.crashed
        and part.part in history.sent[arrival.request_id].parts
    )
    return times[:CRASHES_THAT_CONVICT_PART]


def check_crashing_parts(
    history: records.History, bounds: records.Bounds
) -> list[str]:
    """Find parts of prompts with which requests go on to crash endpoints.

    Counted are requests that reach endpoints, sent by entry VMs in touch later
    than ``contact_ms`` after the part's fifth crash.
    """
    found = []
    for part in history.crashing_parts:
        crashes = _list_part_crashes(history, part)
        if len(crashes) < CRASHES_THAT_CONVICT_PART:
            continue
        known_ms = crashes[-1] + bounds.contact_ms
        reached = [
            arrival
            for arrival in history.arrivals
            if arrival.at_ms > known_ms
            and part.part in history.sent[arrival.request_id].parts
            and _is_in_touch(
                history, bounds, history.find_vm(arrival), arrival.at_ms
            )
        ]
        if len(reached) > MAX_REQUESTS_AFTER_CRASHES:
            found.append(
                f"{len(reached)} requests with the part {part.part} reached "
                f"endpoints after its fifth crash was known"
            )
    return found


@attrs.frozen(kw_only=True)
class Begun:
    """Sound requests, and those of which the first attempt began."""

    sent: int
    begun: int

    @property
    def share(self) -> float:
        """The share that began."""
        return self.begun / self.sent if self.sent else 1.0


Selection = typing.Callable[[records.CrashingPart, records.Sent], bool]


def shares_first_part(part: records.CrashingPart, sent: records.Sent) -> bool:
    """Whether a request has the first part of those that crash endpoints."""
    return sent.parts[0] == part.first_part


def shares_key(part: records.CrashingPart, sent: records.Sent) -> bool:
    """Whether a request has their key; all have, there is one caller."""
    return True


def shares_all_other_parts(
    part: records.CrashingPart, sent: records.Sent
) -> bool:
    """Whether only the part that crashes endpoints tells a request apart."""
    return sent.parts == part.companions


SELECTIONS: tuple[Selection, ...] = (
    shares_key,
    shares_first_part,
    shares_all_other_parts,
)


def count_begun(
    history: records.History,
    bounds: records.Bounds,
    part: records.CrashingPart,
    shares: Selection,
) -> tuple[Begun, Begun]:
    """Count sound first tries that began, after crashes and in calm times.

    The former are sent from 2 * ``contact_ms`` after the fifth crash, or the
    last, while requests with the part still come. All are of the part's
    route, at entry VMs in touch, with a known outcome.
    """
    crashes = _list_part_crashes(history, part)
    bad = {each.part for each in history.crashing_parts}
    last_ms = max(
        (
            sent.at_ms
            for sent in history.sent.values()
            if part.part in sent.parts
        ),
        default=-math.inf,
    )
    outcomes: dict[bool, list[bool]] = {True: [], False: []}
    for sent in history.sent.values():
        begun = sent.request_id in history.begun
        if (
            not sent.first_try
            or sent.route != part.route
            or not bad.isdisjoint(sent.parts)
            or not shares(part, sent)
            or not (begun or sent.request_id in history.statuses)
            or not _is_in_touch(history, bounds, sent.vm, sent.at_ms)
        ):
            continue
        from_ms = crashes[-1] + 2 * bounds.contact_ms if crashes else math.inf
        if from_ms <= sent.at_ms <= last_ms:
            outcomes[True].append(begun)
        elif history.is_calm(sent.at_ms - bounds.contact_ms, sent.at_ms):
            outcomes[False].append(begun)
    after, calm = (
        Begun(sent=len(begun), begun=sum(begun))
        for begun in (outcomes[True], outcomes[False])
    )
    return after, calm


def check_sound_requests(
    history: records.History, bounds: records.Bounds
) -> list[str]:
    """Find sound requests that are held for those that crash endpoints.

    They share the key, the first part, or all parts but the one that crashes
    endpoints, and begin less than half as often as in calm times.
    """
    found = []
    for part in history.crashing_parts:
        for shares in SELECTIONS:
            after, calm = count_begun(history, bounds, part, shares)
            if min(after.sent, calm.sent) < MIN_REQUESTS_COMPARED:
                continue
            if after.share >= MIN_BEGUN_RATIO * calm.share:
                continue
            found.append(
                f"{after.begun} of {after.sent} sound requests beside the "
                f"part {part.part} began ({shares.__name__}), in calm times "
                f"{calm.begun} of {calm.sent}"
            )
    return found


@attrs.frozen(kw_only=True)
class Window:
    """What a service got in one window, and what the rule allows.

    ``first_ms`` is the time of its first repeat.
    """

    service: str
    first_ms: float
    until_ms: float
    repeats: int
    allowed: float


def list_windows(
    history: records.History, bounds: records.Bounds
) -> list[Window]:
    """List the windows that end with a repeat, for each service.

    A repeat is an arrival beyond the first of its request. The requests are
    those of the window, the one before or the one half a window before,
    whichever has most.
    """
    requests: dict[str, list[float]] = collections.defaultdict(list)
    for sent in history.sent.values():
        requests[sent.service].append(sent.at_ms)
    repeats: dict[str, list[float]] = collections.defaultdict(list)
    seen = set()
    for arrival in history.arrivals:
        if arrival.request_id in seen:
            service = history.sent[arrival.request_id].service
            repeats[service].append(arrival.at_ms)
        seen.add(arrival.request_id)
    windows = []
    for service, times in repeats.items():
        sent_ms = sorted(requests[service])
        for index, until_ms in enumerate(times):
            begin = bisect.bisect_left(
                times, until_ms - bounds.retry_window_ms
            )
            most = _count_requests(sent_ms, until_ms, bounds.retry_window_ms)
            windows.append(
                Window(
                    service=service,
                    first_ms=times[begin],
                    until_ms=until_ms,
                    repeats=index + 1 - begin,
                    allowed=bounds.retry_ratio * most + bounds.retry_slack,
                )
            )
    return windows


def _count_requests(
    sent_ms: list[float], until_ms: float, window_ms: float
) -> int:
    def count(end_ms: float) -> int:
        begin = bisect.bisect_left(sent_ms, end_ms - window_ms)
        return bisect.bisect_right(sent_ms, end_ms) - begin

    return max(count(until_ms - back * window_ms) for back in (0.0, 0.5, 1.0))


def check_repeats(
    history: records.History, bounds: records.Bounds
) -> list[str]:
    """Find windows in which a service got too many repeats.

    Of windows that overlap, the one with most beyond its bound is named.
    """
    worst: list[Window] = []
    for window in list_windows(history, bounds):
        if window.repeats <= window.allowed:
            continue
        last = worst[-1] if worst else None
        if (
            last is None
            or last.service != window.service
            or last.until_ms < window.first_ms
        ):
            worst.append(window)
        elif window.repeats - window.allowed > last.repeats - last.allowed:
            worst[-1] = window
    return [
        f"{each.service} got {each.repeats} repeats until "
        f"{each.until_ms:.0f}, {each.allowed:.0f} allowed"
        for each in worst
    ]


def check_rests(history: records.History, bounds: records.Bounds) -> list[str]:
    """Find requests to endpoints that had asked an entry VM for rest.

    A restart, freeze or cut of the entry VM excuses it.
    """
    arrivals: dict[tuple[str, str], list[records.Arrival]]
    arrivals = collections.defaultdict(list)
    for arrival in history.arrivals:
        key = (history.find_vm(arrival), arrival.endpoint)
        arrivals[key].append(arrival)
    found = []
    for (vm, endpoint), known in arrivals.items():
        for asked in known:
            if asked.answered_ms is None or asked.rest_ms <= 0.0:
                continue
            from_ms = asked.answered_ms + REST_BEGINS_MS
            until_ms = asked.answered_ms + asked.rest_ms
            reached = [
                each for each in known if from_ms < each.at_ms < until_ms
            ]
            if len(reached) <= MAX_REQUESTS_IN_REST:
                continue
            if history.is_vm_disrupted(
                vm, asked.answered_ms, reached[-1].at_ms
            ):
                continue
            found.append(
                f"{len(reached)} requests of {vm} reached {endpoint} in its "
                f"rest of {asked.rest_ms:.0f} ms from {asked.answered_ms:.0f}"
            )
    return found


@attrs.frozen(kw_only=True)
class FirstTries:
    """First tries during a partition: all, and those that were served."""

    sent: int
    served: int

    @property
    def share(self) -> float:
        """The share that was served."""
        return self.served / self.sent if self.sent else 1.0


def count_first_tries(
    history: records.History,
    bounds: records.Bounds,
    partition: records.Partition,
) -> tuple[FirstTries, FirstTries]:
    """Count first tries at partitioned entry VMs and at the others.

    Counted are those sent from ``contact_ms`` after the partition began, at
    entry VMs in touch, with a known outcome.
    """
    outcomes: dict[bool, list[bool]] = {True: [], False: []}
    for sent in history.sent.values():
        from_ms = partition.from_ms + bounds.contact_ms
        if not sent.first_try or not from_ms <= sent.at_ms:
            continue
        if sent.at_ms > partition.until_ms:
            continue
        status = history.statuses.get(sent.request_id)
        if status is None or not _is_in_touch(
            history, bounds, sent.vm, sent.at_ms
        ):
            continue
        inside = sent.vm in partition.vms
        if not inside and history.is_vm_partitioned(sent.vm, sent.at_ms):
            continue
        outcomes[inside].append(200 <= status < 300)
    inside_tries, outside_tries = (
        FirstTries(sent=len(served), served=sum(served))
        for served in (outcomes[True], outcomes[False])
    )
    return inside_tries, outside_tries


def check_partitions(
    history: records.History, bounds: records.Bounds
) -> list[str]:
    """Find partitions from all endpoints that callers notice.

    First tries at the partitioned entry VMs are served less than two thirds as
    often as those at the others, and too many fail there.
    """
    found = []
    for partition in history.partitions:
        inside, outside = count_first_tries(history, bounds, partition)
        allowed = MAX_FAILED_FIRST_TRIES + MAX_FAILED_FIRST_TRY_SHARE * (
            inside.sent + outside.sent
        )
        if not outside.sent or inside.sent - inside.served <= allowed:
            continue
        if inside.share >= MIN_SERVED_RATIO * outside.share:
            continue
        found.append(
            f"{len(partition.vms)} entry VMs without endpoints served "
            f"{inside.served} of {inside.sent} first tries, the others "
            f"{outside.served} of {outside.sent}"
        )
    return found


def _is_call_served(
    history: records.History,
    bounds: records.Bounds,
    tries: list[records.Sent],
) -> bool | None:
    """Whether a call's first try that was read is served; None if unknown.

    A connection that was refused, or closed with the request unread, counts
    as a failure only if no later try is read. All entry VMs that were tried
    until then have to be in touch.
    """
    for each in tries:
        end_ms = history.ended_tries_ms.get(each.request_id, each.at_ms)
        if history.is_vm_disrupted(
            each.vm, each.at_ms - bounds.contact_ms, end_ms
        ):
            return None
        if each.request_id not in history.unread:
            return 200 <= history.statuses.get(each.request_id, 0) < 300
    return False


def count_calls(
    history: records.History, bounds: records.Bounds, skew: records.Skew
) -> tuple[FirstTries, FirstTries, FirstTries]:
    """Count calls in the seconds before a skew, during it and after it.

    They are those of its failure domain, if it has one. Both of the latter
    times begin ``contact_ms`` late.
    """
    later_ms = [
        each.from_ms for each in history.skews if each.from_ms > skew.until_ms
    ]
    settled_ms = history.ended_ms - SETTLED_MS
    spans = (
        (skew.from_ms - CALM_BEFORE_SKEW_MS, skew.from_ms),
        (skew.from_ms + bounds.contact_ms, min(skew.until_ms, settled_ms)),
        (
            skew.until_ms + bounds.contact_ms,
            min([settled_ms, *later_ms]),
        ),
    )
    calls: dict[int, list[records.Sent]] = collections.defaultdict(list)
    for sent in history.sent.values():
        calls[sent.call].append(sent)
    outcomes: list[list[bool]] = [[], [], []]
    for tries in calls.values():
        if skew.zone not in ("", tries[0].zone):
            continue
        served = _is_call_served(history, bounds, tries)
        for (from_ms, until_ms), found in zip(spans, outcomes, strict=True):
            if served is not None and from_ms <= tries[0].at_ms <= until_ms:
                found.append(served)
    before, during, after = (
        FirstTries(sent=len(found), served=sum(found)) for found in outcomes
    )
    return before, during, after


def check_skews(history: records.History, bounds: records.Bounds) -> list[str]:
    """Find skews of new connections that callers notice.

    Calls are served at the first try that was read less than three quarters
    as often as in the seconds before, during a skew or after it.
    """
    found = []
    for skew in history.skews:
        before, during, after = count_calls(history, bounds, skew)
        for name, tries in (("during", during), ("after", after)):
            if min(before.sent, tries.sent) < MIN_REQUESTS_COMPARED:
                continue
            if tries.share >= MIN_SERVED_RATIO_IN_SKEW * before.share:
                continue
            found.append(
                f"{tries.served} of {tries.sent} calls were served {name} a "
                f"skew to {skew.vms}, {before.served} of {before.sent} before"
            )
    return found


CHECKERS: dict[str, Checker] = {
    "attempts": check_endpoints_per_request,
    "deadlines": check_deadlines,
    "crashes": check_crashing_requests,
    "crashing parts": check_crashing_parts,
    "sound requests": check_sound_requests,
    "repeats": check_repeats,
    "rests": check_rests,
    "partitions": check_partitions,
    "skews": check_skews,
    "ranks": hard_load.check_ranks,
    "customers": hard_load.check_customers,
    "waits": hard_load.check_waits,
    "refused runs": hard_load.check_refused_runs,
    "idle room": hard_load.check_idle_room,
    "memory": crowds.check_memory,
    **configurations.CHECKERS,
    **lost.CHECKERS,
}


def check_all(
    history: records.History, bounds: records.Bounds
) -> dict[str, list[str]]:
    """Run all checkers; the violations by clause."""
    return {
        clause: check(history, bounds) for clause, check in CHECKERS.items()
    }
