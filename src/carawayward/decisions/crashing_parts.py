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

Records only grow (crashes, latest answers) and merge by union and maximum, so
entry VMs need not agree on an order. Records expire.
"""

import collections
import heapq
import typing

import attrs

from carawayward.decisions import suspicion

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
# The digests of a service's parts begin with the same digits.
SERVICE_DIGITS = 4
RECORD_TTL_MS = 600_000
MAX_PROMPTS = 1_000
MAX_PARTS = 8_000
MAX_ANSWERED_PARTS = 4_000
# Bounds the time of a verdict: what these crashes cannot tell apart is told
# apart by the next ones.
MAX_CRASHES_JUDGED = 8
MAX_SUSPECTS_PER_CRASH = 256
MAX_OTHERS_JUDGED = 64

# Within this time only new records change a verdict.
EXPLANATION_MS = 500

# Times before this VM was started are negative.
NEVER = float("-inf")

Endpoints = frozenset[str]


@attrs.frozen
class Explanation:
    """What else explains the crashes of a part.

    Each of ``alone`` does. ``together`` has parts that only some of its
    requests have, and which of the ``judged`` crashes each explains. It holds
    at ``as_of_ms``, after so many ``changes`` of the records.
    """

    judged: Endpoints
    alone: frozenset[str]
    together: tuple[tuple[str, Endpoints], ...]
    as_of_ms: int
    changes: int


@attrs.define
class CrashedPrompt:
    """The shared parts of a request, and when endpoints crashed under it."""

    parts: set[str] = attrs.field(factory=set)
    crashes: dict[str, int] = attrs.field(factory=dict)


@attrs.define
class CrashedPart:
    """The requests with a part, by content, and when endpoints crashed.

    ``most_by_request`` is the largest number of crashes under one of them.
    """

    contents: set[str] = attrs.field(factory=set)
    crashes: dict[str, int] = attrs.field(factory=dict)
    most_by_request: int = 0


@attrs.define
class PartRecords:
    """What one entry VM knows of prompts: its own and its peers' records.

    ``prompts`` are by the request's content. ``by_endpoint`` has the suspects
    of each crash: contents and parts. ``answered_ms`` is when the latest
    answer to a request with the part began, ``served_ms`` by service that of
    any. ``explanations`` are cached.
    """

    prompts: dict[str, CrashedPrompt] = attrs.field(factory=dict)
    by_part: dict[str, CrashedPart] = attrs.field(factory=dict)
    by_endpoint: dict[str, set[str]] = attrs.field(factory=dict)
    answered_ms: collections.OrderedDict[str, int] = attrs.field(
        factory=collections.OrderedDict
    )
    served_ms: dict[str, int] = attrs.field(factory=dict)
    changes: int = 0
    explanations: dict[str, Explanation] = attrs.field(factory=dict)


def record_crash(
    records: PartRecords,
    content: str,
    parts: typing.Iterable[str],
    endpoint: str,
    seen_ms: int,
) -> bool:
    """Add a crash under a request; return whether it is new.

    Of several reports of the same crash the earliest counts, so that all entry
    VMs agree whether an answer began after it.
    """
    prompt = records.prompts.setdefault(content, CrashedPrompt())
    prompt.parts.update(parts)
    known_ms = prompt.crashes.get(endpoint, seen_ms + 1)
    prompt.crashes[endpoint] = min(seen_ms, known_ms)
    for name in prompt.parts:
        part = records.by_part.setdefault(name, CrashedPart())
        part.contents.add(content)
        for each, at_ms in prompt.crashes.items():
            part.crashes[each] = min(at_ms, part.crashes.get(each, at_ms))
        part.most_by_request = max(part.most_by_request, len(prompt.crashes))
    suspects = records.by_endpoint.setdefault(endpoint, set())
    if len(suspects) < MAX_SUSPECTS_PER_CRASH:
        suspects.update(prompt.parts, (content,))
    if known_ms <= seen_ms:
        return False
    records.changes += 1
    while (
        len(records.prompts) > MAX_PROMPTS or len(records.by_part) > MAX_PARTS
    ):
        _drop_prompt(records, _choose_dropped(records))
    return True


def record_answer(records: PartRecords, part: str, began_ms: int) -> bool:
    """Record that an answer to a request with the part began and went on.

    Returns whether the part was a suspect until then.
    """
    if records.answered_ms.get(part, began_ms - 1) >= began_ms:
        return False
    service = part[:SERVICE_DIGITS]
    served_ms = records.served_ms.get(service, began_ms)
    records.served_ms[service] = max(served_ms, began_ms)
    suspect = bool(find_crash_times(records, part, began_ms))
    records.changes += suspect
    records.answered_ms[part] = began_ms
    records.answered_ms.move_to_end(part)
    if len(records.answered_ms) > MAX_ANSWERED_PARTS:
        records.answered_ms.popitem(last=False)
    return suspect


def add_conviction(
    records: PartRecords,
    parts: typing.Collection[str],
    crashes: typing.Mapping[str, int],
) -> bool:
    """Add crashes for which requests with all these parts are refused.

    The requests are not known, but that no single one explains the crashes.
    Returns whether any crash was new.
    """
    known: set[str] = set()
    for part in parts:
        if part in records.by_part:
            known.update(records.by_part[part].crashes)
    added = [each for each in crashes if each not in known]
    name = "".join(sorted(parts)).encode()
    for endpoint in added:
        content = suspicion.digest_content(name, endpoint.encode())
        record_crash(records, content, parts, endpoint, crashes[endpoint])
    return bool(added)


def _get_answered_ms(records: PartRecords, part: str) -> float:
    return records.answered_ms.get(part, NEVER)


def find_crash_times(
    records: PartRecords, part: str, now_ms: int
) -> dict[str, int]:
    """Find the crashes that count against a part, by endpoint.

    A crash counts until an answer to a request with the part has begun later.
    """
    known = records.by_part.get(part)
    if known is None:
        return {}
    since_ms = max(now_ms - RECORD_TTL_MS, _get_answered_ms(records, part))
    return {
        endpoint: seen_ms
        for endpoint, seen_ms in known.crashes.items()
        if seen_ms > since_ms
    }


def list_crashes(records: PartRecords, part: str, now_ms: int) -> list[str]:
    """List the crashes that count against a part, the newest first."""
    seen_ms = find_crash_times(records, part, now_ms)
    return sorted(seen_ms, key=lambda each: -seen_ms[each])


def is_refused(
    records: PartRecords,
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
    records: PartRecords,
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
    records: PartRecords, parts: typing.Iterable[str], now_ms: int
) -> float:
    """Return for how long a request with these parts is refused."""
    left_ms = 0
    for part in parts:
        crashes = find_crash_times(records, part, now_ms)
        newest = sorted(crashes.values(), reverse=True)[:MIN_CRASHES]
        if len(newest) == MIN_CRASHES:
            left_ms = max(left_ms, newest[-1] + RECORD_TTL_MS - now_ms)
    return float(left_ms)


def _is_to_blame(
    records: PartRecords,
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
        served_ms = records.served_ms[part[:SERVICE_DIGITS]]
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
    records: PartRecords, part: str, now_ms: int
) -> Explanation:
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


def _explain(records: PartRecords, part: str, now_ms: int) -> Explanation:
    """Find the requests and parts that explain the crashes of a part."""
    seen_ms = find_crash_times(records, part, now_ms)
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
            preferred = _get_contents(records, other) <= own or (
                was_answered and other not in records.answered_ms
            )
            found = _find_crash_times_of(records, other, now_ms)
            if not preferred and len(found) < len(crashes):
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
    return Explanation(
        judged, frozenset(alone), tuple(together), now_ms, records.changes
    )


def _list_crashes_during(
    seen_ms: typing.Mapping[str, int],
    judged: Endpoints,
    found: typing.Mapping[str, int],
) -> Endpoints:
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


def _list_others(records: PartRecords, judged: Endpoints) -> list[str]:
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


def _get_contents(records: PartRecords, suspect: str) -> set[str]:
    """The requests with a part, or the one request of a content."""
    part = records.by_part.get(suspect)
    return {suspect} if part is None else part.contents


def _find_crash_times_of(
    records: PartRecords, feature: str, now_ms: int
) -> dict[str, int]:
    """Find the crashes that count against a part or a single request."""
    if feature in records.by_part:
        return find_crash_times(records, feature, now_ms)
    return _find_request_crash_times(records, feature, now_ms)


def _find_request_crash_times(
    records: PartRecords, content: str, now_ms: int
) -> dict[str, int]:
    """Find the crashes that count against a single request, by endpoint.

    They no longer count once all of its parts have been answered.
    """
    prompt = records.prompts.get(content, CrashedPrompt())
    answered_ms = min(
        (_get_answered_ms(records, part) for part in prompt.parts),
        default=NEVER,
    )
    since_ms = max(now_ms - RECORD_TTL_MS, answered_ms)
    return {
        endpoint: seen_ms
        for endpoint, seen_ms in prompt.crashes.items()
        if seen_ms > since_ms
    }


def _has_several_requests(
    records: PartRecords, suspect: str, crashes: int
) -> bool:
    """Whether a part was at crashes that no single request explains."""
    part = records.by_part.get(suspect)
    return (
        part is not None
        and crashes >= MIN_CRASHES
        and crashes - part.most_by_request > MAX_UNEXPLAINED
    )


def _choose_dropped(records: PartRecords) -> str:
    """Choose the prompt to forget: the oldest one with a single crash."""
    for content, prompt in records.prompts.items():
        if len(prompt.crashes) < 2:
            return content
    return next(iter(records.prompts))


def _drop_prompt(records: PartRecords, content: str) -> None:
    prompt = records.prompts.pop(content)
    _remove_suspect(records, content, prompt.crashes)
    for name in prompt.parts:
        part = records.by_part[name]
        part.contents.discard(content)
        if not part.contents:
            del records.by_part[name]
            _remove_suspect(records, name, part.crashes)


def _remove_suspect(
    records: PartRecords, suspect: str, endpoints: typing.Iterable[str]
) -> None:
    for endpoint in endpoints:
        suspects = records.by_endpoint.get(endpoint, set())
        suspects.discard(suspect)
        if not suspects:
            records.by_endpoint.pop(endpoint, None)


def drop_expired(records: PartRecords, now_ms: int) -> None:
    """Drop prompts whose crashes have expired or all parts are answered."""
    records.changes += 1
    records.explanations.clear()
    for content in list(records.prompts):
        if not _find_request_crash_times(records, content, now_ms):
            _drop_prompt(records, content)
    for part, answered_ms in list(records.answered_ms.items()):
        if now_ms - answered_ms >= RECORD_TTL_MS:
            del records.answered_ms[part]
