"""Requests that crash the endpoints that run them.

Load: a request that crashes each endpoint that runs it, whose caller sends
it again, perhaps through another entry VM. Harm prevented: every retry and
every resend takes one more endpoint, until the pool is gone.

What was in flight on a crashed endpoint becomes a suspect. A suspect runs
as the only suspect of its endpoint, on the first endpoint of its ring that
it has not yet crashed: the ring is the same on every entry VM, so that
entry VMs which try it at the same time hit the same endpoint. Suspects of
one endpoint go in an order that every entry VM works out alike from the
merged facts, or an innocent one would be there when the guilty one strikes
a second time. An answer clears it. A second crash convicts it.

All of it is facts that only grow (crashes seen, latest clearance) and whose
merge is a union and a maximum, so that entry VMs need not agree on an
order. Facts expire.
"""

import hashlib
import json
import typing

import attrs

# Two crashes: the first takes the innocent along with the guilty, so one
# cannot convict; a third would cost an endpoint more for little.
CONVICTING_CRASHES = 2
# Long enough to outlast a caller's resends, short enough that a convicted
# request gets a new trial after the engine may have been repaired.
RECORD_TTL_MS = 600_000
# Several entry VMs notice the same crash within this time. An endpoint
# that loads its weights anew is not back sooner.
SAME_CRASH_MS = 3_000
# A trial waits until peers' facts of the same crash have come, then for the
# suspects before it, each of which gets one turn. Whoever runs longer is
# overtaken: it may belong to a caller that has left, which nobody is told.
SETTLE_MS = 250
TURN_MS = 1_000
# Bound of the book: a crash makes at most a batch of suspects, some tens.
MAX_SUSPECTS = 5_000


@attrs.frozen(order=True)
class Crash:
    """A request was in flight on an endpoint when it crashed.

    ``request`` is a digest of the caller's request key: of that very
    request it may no longer be said that it was not run.
    """

    fingerprint: str
    endpoint: str
    seen_ms: int
    request: str


@attrs.define
class SuspectRecords:
    """What one entry VM knows of suspects, its own and its peers' facts."""

    crashes: dict[str, list[Crash]] = attrs.field(factory=dict)
    cleared: dict[str, int] = attrs.field(factory=dict)
    changes: int = 0


@attrs.frozen
class Trial:
    """Where a suspect may run, and from when (wall clock, ms)."""

    endpoint: str
    from_ms: int


def make_fingerprint(customer: str, messages: list[dict]) -> str:
    """A request's identity, whatever key or entry VM it comes with.

    The customer is part of it: one customer's resends must not take the
    same words away from another.
    """
    text = json.dumps([customer, messages], sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def digest_request(request_key: str) -> str:
    """The form in which a caller's key stands in a crash."""
    return hashlib.sha256(request_key.encode()).hexdigest()[:12]


def record_crash(book: SuspectRecords, crash: Crash) -> bool:
    """Add a crash; return False if it tells nothing new."""
    known = book.crashes.setdefault(crash.fingerprint, [])
    if crash in known:
        return False
    if len(book.crashes) > MAX_SUSPECTS:
        oldest = next(iter(book.crashes))
        del book.crashes[oldest]
        book.cleared.pop(oldest, None)
    known.append(crash)
    book.changes += 1
    return True


def record_answer(
    book: SuspectRecords, fingerprint: str, wall_ms: int
) -> bool:
    """Clear a suspect that was answered; return False if it was none."""
    if fingerprint not in book.crashes:
        return False
    if book.cleared.get(fingerprint, -1) >= wall_ms:
        return False
    book.cleared[fingerprint] = wall_ms
    book.changes += 1
    return True


def list_distinct_crashes(
    book: SuspectRecords, fingerprint: str, wall_ms: int
) -> list[Crash]:
    """Distinct crashes that still count against a request."""
    known = book.crashes.get(fingerprint)
    if not known:
        return []
    cleared_ms = book.cleared.get(fingerprint, -1)
    distinct: list[Crash] = []
    for crash in sorted(known, key=lambda c: (c.seen_ms, c)):
        if crash.seen_ms <= max(cleared_ms, wall_ms - RECORD_TTL_MS):
            continue
        same = any(
            other.endpoint == crash.endpoint
            and crash.seen_ms - other.seen_ms < SAME_CRASH_MS
            for other in distinct
        )
        if not same:
            distinct.append(crash)
    return distinct


def is_convicted(book: SuspectRecords, fingerprint: str, wall_ms: int) -> bool:
    """Whether the request is refused without a run."""
    crashes = list_distinct_crashes(book, fingerprint, wall_ms)
    return len(crashes) >= CONVICTING_CRASHES


def is_suspect(book: SuspectRecords, fingerprint: str, wall_ms: int) -> bool:
    """Whether a crash counts against the request."""
    return bool(list_distinct_crashes(book, fingerprint, wall_ms))


def may_have_run(book: SuspectRecords, fingerprint: str, request: str) -> bool:
    """Whether a request of this key was in flight at a crash."""
    known = book.crashes.get(fingerprint, [])
    return any(crash.request == request for crash in known)


def plan_trials(
    book: SuspectRecords,
    walk: typing.Callable[[str], typing.Iterable[str]],
    wall_ms: int,
) -> dict[str, Trial]:
    """Where and when each suspect may run.

    ``walk`` gives a fingerprint's endpoints in the order of its ring. All
    entry VMs that know the same facts and endpoints make the same plan, so
    one suspect at a time runs on an endpoint without anyone being asked.
    """
    suspects = []
    for fingerprint in book.crashes:
        crashes = list_distinct_crashes(book, fingerprint, wall_ms)
        if 0 < len(crashes) < CONVICTING_CRASHES:
            suspects.append((crashes[0].seen_ms, fingerprint, crashes[0]))
    suspects.sort(key=lambda suspect: suspect[:2])
    busy: dict[str, int] = {}
    plan = {}
    for seen_ms, fingerprint, crash in suspects:
        names = list(walk(fingerprint))
        others = [name for name in names if name != crash.endpoint]
        endpoint = next(iter(others or names), None)
        if endpoint is None:
            continue
        rank = busy.get(endpoint, 0)
        busy[endpoint] = rank + 1
        # Where there is no other endpoint, the crashed one is tried once it
        # is back, late enough to tell a second crash from the first.
        settle_ms = SETTLE_MS if others else SAME_CRASH_MS
        from_ms = seen_ms + settle_ms + rank * TURN_MS
        plan[fingerprint] = Trial(endpoint, from_ms)
    return plan


def drop_expired(book: SuspectRecords, wall_ms: int) -> None:
    """Drop facts that have expired."""
    oldest = wall_ms - RECORD_TTL_MS
    for fingerprint, known in list(book.crashes.items()):
        if all(crash.seen_ms < oldest for crash in known):
            del book.crashes[fingerprint]
            book.cleared.pop(fingerprint, None)
