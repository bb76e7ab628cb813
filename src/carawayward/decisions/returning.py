"""Recognises callers who come back at the time that they were told.

While room is short, a caller who was refused and has waited would compete with
those who have just come, and be refused again and again by chance. Its request
goes first. It may reach any entry VM, so refusals are reported to the others;
if a report is lost, the caller counts as a new one there.
"""

import collections

import attrs

# Callers come back up to this much after the earliest time that they were
# told: Retry-After is spread at random, and a new connection takes time.
GRACE_MS = 4_000.0
# How long a refusal is in the reports; and how many of them, the newest first.
REPORTED_MS = 2_000.0
MAX_REPORTED = 8
# Bounds the memory for refusals.
MAX_REFUSALS = 4_096


@attrs.frozen
class Refusal:
    """When a refused caller may come back, and when that was decided."""

    due_ms: float
    at_ms: float
    own: bool = True


@attrs.define
class Refusals:
    """The refused callers that are expected, by the digest of the request."""

    expected: collections.OrderedDict[int, Refusal] = attrs.field(
        factory=collections.OrderedDict
    )


def record(
    refusals: Refusals,
    digest: int,
    due_ms: float,
    now_ms: float,
    own: bool = True,
) -> None:
    """Expect a refused caller; the oldest is forgotten if there are many."""
    refusals.expected.pop(digest, None)
    refusals.expected[digest] = Refusal(due_ms, now_ms, own)
    if len(refusals.expected) > MAX_REFUSALS:
        refusals.expected.popitem(last=False)


def claim(refusals: Refusals, digest: int, now_ms: float) -> bool:
    """Whether a caller comes back as told; it is not expected any more.

    One that comes too early is a new caller, and is still expected.
    """
    refusal = refusals.expected.get(digest)
    if refusal is None or now_ms < refusal.due_ms:
        return False
    del refusals.expected[digest]
    return now_ms <= refusal.due_ms + GRACE_MS


def describe(refusals: Refusals, now_ms: float) -> list[tuple[int, float]]:
    """The last own refusals, and the time until each may come back, in ms."""
    found: list[tuple[int, float]] = []
    for digest, refusal in reversed(refusals.expected.items()):
        if len(found) == MAX_REPORTED:
            break
        if not refusal.own:
            continue
        if now_ms - refusal.at_ms > REPORTED_MS:
            break
        found.append((digest, max(0.0, refusal.due_ms - now_ms)))
    return found
