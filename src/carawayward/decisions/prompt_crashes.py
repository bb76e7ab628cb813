"""Requests in flight at crashes of endpoints, by the parts of their prompts.

Records only grow (crashes, latest answers) and merge by union and maximum, so
entry VMs need not agree on an order. Records expire.
"""

import collections
import typing

import attrs

from carawayward.decisions import suspicion

RECORD_TTL_MS = 600_000
MAX_PROMPTS = 1_000
MAX_PARTS = 8_000
MAX_ANSWERED_PARTS = 4_000
MAX_SUSPECTS_PER_CRASH = 256
# The digests of a service's parts begin with the same digits.
SERVICE_DIGITS = 4
# Reports of one crash differ by the rounding of their ages, to either side.
AGE_ROUNDING_MS = 2
# Reports of one answer differ by the time they take.
SAME_ANSWER_MS = 200
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


def is_known(
    records: PartRecords,
    content: str,
    parts: typing.Collection[str],
    crashes: typing.Mapping[str, int],
) -> bool:
    """Whether a report of crashes under a request changes nothing.

    A crash that seems earlier by no more than the rounding of ages is the same
    one: taken for new, entry VMs would go on reporting it to each other.
    """
    prompt = records.prompts.get(content)
    if prompt is None or not prompt.parts.issuperset(parts):
        return False
    known_ms = prompt.crashes
    return all(
        endpoint in known_ms
        and known_ms[endpoint] - seen_ms <= AGE_ROUNDING_MS
        for endpoint, seen_ms in crashes.items()
    )


def is_answer_known(records: PartRecords, part: str, began_ms: int) -> bool:
    """Whether a report of an answer to a part changes nothing.

    Each report makes the answer seem later by the time that it takes. Taken
    for new, it would go round among the entry VMs for ever, and at last seem
    to have begun after crashes that it began before.
    """
    known_ms = records.answered_ms.get(part)
    if known_ms is None or part not in records.by_part:
        crashes: typing.Iterable[int] = ()
    else:
        crashes = records.by_part[part].crashes.values()
    return is_same_answer(known_ms, began_ms, crashes)


def is_same_answer(
    known_ms: int | None, began_ms: int, crashes: typing.Iterable[int]
) -> bool:
    """Whether a report of an answer adds nothing to the known one.

    It does if one of the ``crashes`` was seen between the two.
    """
    if known_ms is None or began_ms - known_ms > SAME_ANSWER_MS:
        return False
    return not any(known_ms < seen_ms <= began_ms for seen_ms in crashes)


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
    known = [
        records.by_part[part].crashes
        for part in parts
        if part in records.by_part
    ]
    added = [
        endpoint
        for endpoint in crashes
        if not any(endpoint in each for each in known)
    ]
    if not added:
        return False
    name = "".join(sorted(parts)).encode()
    for endpoint in added:
        content = suspicion.digest_content(name, endpoint.encode())
        record_crash(records, content, parts, endpoint, crashes[endpoint])
    return True


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


def find_suspect_crash_times(
    records: PartRecords, suspect: str, now_ms: int
) -> dict[str, int]:
    """Find the crashes that count against a part or a single request."""
    if suspect in records.by_part:
        return find_crash_times(records, suspect, now_ms)
    return _find_request_crash_times(records, suspect, now_ms)


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
