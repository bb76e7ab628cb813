"""Which part of their prompts makes requests crash endpoints.

Load: requests that have one part of their prompts in common crash each
endpoint that begins an answer on it. No two are alike, they come to any entry
VM, and each is retried on other endpoints, while sound requests with all other
parts of these prompts are in flight there. Without protection the pool stays
down for as long as such requests come; refusing every part that was in flight
would refuse the sound requests as well.

Each request in flight at a crash may have caused it. A part is to blame for
the crashes of all requests that have it, unless something else explains them:
a single request that was repeated, parts that only some of these requests
have, or parts that were there at more crashes. Beside a part that was never
answered, one that was answered before explains nothing. A request that lacks
what explains its crashes runs: its answer clears its parts, or its crash tells
them apart. So a part that always comes with the one to blame is not refused
without it.
"""

import collections
import heapq
import typing

from carawayward.decisions import prompt_crashes

# A request has this many attempts on most routes, all of which may crash
# their endpoints by chance.
MIN_CRASHES = 3
# One crash may be unexplained because the report of it is still on its way.
MAX_UNEXPLAINED = 1
# A crash is seen by different entry VMs within this time.
SAME_TIME_MS = 1_000
# A failure of many endpoints hits all that is in flight there. Parts that are
# in flight on several are answered elsewhere within this time, as long as the
# service answers anything.
SOUND_MS = 3_000
# Bounds the time of a verdict: what these crashes cannot tell apart is told
# apart by the next ones.
MAX_CRASHES_JUDGED = 8
# So many requests with a part are at the crashes of another by no chance.
MANY_REQUESTS = 5
MAX_OTHERS_JUDGED = 64

# Within this time only new records change a verdict.
EXPLANATION_MS = 500


def is_refused(
    records: prompt_crashes.PartRecords,
    parts: typing.Collection[str],
    content: str,
    now_ms: int,
) -> bool:
    """Whether a request with these parts is refused without a run."""
    return any(
        part in records.by_part
        and _is_to_blame(records, part, parts, content, now_ms)
        for part in parts
    )


def find_verdict(
    records: prompt_crashes.PartRecords,
    part: str,
    parts: typing.Collection[str],
    now_ms: int,
) -> frozenset[str]:
    """Find the parts with all of which any request is refused.

    Empty if ``part`` is not to blame beside ``parts``, which hold it. Else it
    is in the result, with those of ``parts`` that explain its crashes as well.
    """
    if part not in records.by_part or not _is_to_blame(
        records, part, parts, "", now_ms
    ):
        return frozenset()
    return _get_explanation(records, part, now_ms).alone | {part}


def compute_retry_after_ms(
    records: prompt_crashes.PartRecords,
    parts: typing.Iterable[str],
    now_ms: int,
) -> float:
    """Return for how long a request with these parts is refused."""
    left_ms = 0
    for part in parts:
        crashes = prompt_crashes.find_crash_times(records, part, now_ms)
        newest = sorted(crashes.values(), reverse=True)[:MIN_CRASHES]
        if len(newest) == MIN_CRASHES:
            left_ms = max(
                left_ms, newest[-1] + prompt_crashes.RECORD_TTL_MS - now_ms
            )
    return float(left_ms)


def _is_to_blame(
    records: prompt_crashes.PartRecords,
    part: str,
    parts: typing.Collection[str],
    content: str,
    now_ms: int,
) -> bool:
    """Whether a part of the request is to blame for its crashes.

    It is not if they are explained by something that the request lacks.
    """
    answered_ms = records.answered_ms.get(part)
    if answered_ms is not None:
        served_ms = records.served_ms[part[: prompt_crashes.SERVICE_DIGITS]]
        if served_ms - answered_ms < SOUND_MS:
            return False
    found = _get_explanation(records, part, now_ms)
    if len(found.judged) < MIN_CRASHES:
        return False
    if not found.alone <= {*parts, content}:
        return False
    explained = (
        there for other, there in found.together if other not in parts
    )
    unexplained = found.judged.difference(*explained)
    return len(unexplained) > MAX_UNEXPLAINED


def _get_explanation(
    records: prompt_crashes.PartRecords, part: str, now_ms: int
) -> prompt_crashes.Explanation:
    """Return what else explains a part's crashes, computed once a change."""
    found = records.explanations.get(part)
    if (
        found is None
        or found.changes != records.changes
        or now_ms - found.as_of_ms >= EXPLANATION_MS
    ):
        found = _explain(records, part, now_ms)
        records.explanations[part] = found
    return found


def _explain(
    records: prompt_crashes.PartRecords, part: str, now_ms: int
) -> prompt_crashes.Explanation:
    """Find the requests and parts that explain the crashes of a part."""
    seen_ms = prompt_crashes.find_crash_times(records, part, now_ms)
    crashes = sorted(seen_ms, key=lambda each: -seen_ms[each])
    judged = frozenset(crashes[:MAX_CRASHES_JUDGED])
    alone, together = set(), []
    if len(judged) >= MIN_CRASHES:
        own = records.by_part[part].contents
        was_answered = part in records.answered_ms
        for other in _list_others(records, judged):
            if other == part:
                continue
            if not was_answered and other in records.answered_ms:
                # Of the two, the part that was never answered is to blame.
                continue
            requests = _get_contents(records, other)
            preferred = requests <= own or (
                was_answered and other not in records.answered_ms
            )
            found = prompt_crashes.find_suspect_crash_times(
                records, other, now_ms
            )
            if not preferred and (
                len(found) < len(crashes)
                or len(requests) <= len(own) >= MANY_REQUESTS
            ):
                continue
            several = _has_several_requests(records, other, len(found))
            there = judged.intersection(found)
            if several and preferred:
                there = _list_crashes_during(seen_ms, judged, found)
            if len(judged - there) <= MAX_UNEXPLAINED and (
                preferred or len(found) > len(crashes)
            ):
                alone.add(other)
            elif several:
                together.append((other, there))
    return prompt_crashes.Explanation(
        judged, frozenset(alone), tuple(together), now_ms, records.changes
    )


def _list_crashes_during(
    seen_ms: typing.Mapping[str, int],
    judged: prompt_crashes.Endpoints,
    found: typing.Mapping[str, int],
) -> prompt_crashes.Endpoints:
    """List the judged crashes that were seen while others went on.

    Reports of some of the others may be lost.
    """
    first_ms, last_ms = min(found.values()), max(found.values())
    return frozenset(
        endpoint
        for endpoint in judged
        if first_ms - SAME_TIME_MS
        <= seen_ms[endpoint]
        <= last_ms + SAME_TIME_MS
    )


def _list_others(
    records: prompt_crashes.PartRecords, judged: prompt_crashes.Endpoints
) -> list[str]:
    """List the requests, by content, and parts at most of the crashes."""
    counts: collections.Counter[str] = collections.Counter()
    for endpoint in judged:
        counts.update(records.by_endpoint.get(endpoint, ()))
    several = (
        item
        for item in counts.items()
        if item[1] >= MIN_CRASHES - MAX_UNEXPLAINED
    )
    most = heapq.nsmallest(
        MAX_OTHERS_JUDGED, several, key=lambda item: (-item[1], item[0])
    )
    return [other for other, _ in most]


def _get_contents(
    records: prompt_crashes.PartRecords, suspect: str
) -> set[str]:
    """The requests with a part, or the one request of a content."""
    part = records.by_part.get(suspect)
    return {suspect} if part is None else part.contents


def _has_several_requests(
    records: prompt_crashes.PartRecords, suspect: str, crashes: int
) -> bool:
    """Whether a part was at crashes that no single request explains."""
    part = records.by_part.get(suspect)
    return (
        part is not None
        and crashes >= MIN_CRASHES
        and crashes - part.most_by_request > MAX_UNEXPLAINED
    )
