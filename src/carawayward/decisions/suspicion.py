"""Requests that crash the endpoints that run them.

A request may crash every endpoint that runs it, and its caller sends it again,
perhaps through another entry VM. Without protection every retry and every
resend takes down one more endpoint, until the pool is gone.

Requests in flight on a crashed endpoint become suspects. A suspect runs as the
only suspect of its endpoint, on the first endpoint of its ring that it has not
yet crashed: the ring is the same on every entry VM, so entry VMs that try it
at the same time use the same endpoint. The suspects of one endpoint run in an
order that every entry VM computes alike from the merged records; otherwise a
harmless one could be running when the harmful one crashes the endpoint again.
An answer clears a suspect, a second crash convicts it. Forwarded requests have
no trials, as harmless ones would wait for their turn; a third crash convicts,
unless another request was in flight at the same ones.

All records only grow (crashes seen, latest clearance) and merge by union and
maximum, so entry VMs need not agree on an order. Records expire.
"""

import hashlib
import json
import typing

import attrs

# Two crashes: the first also involves harmless requests, so one cannot
# convict; waiting for a third would cost another endpoint for little gain.
CONVICTING_CRASHES = 2
# Where suspects run beside others, a harmless one may share two crashes by
# chance.
CRASHES_WITHOUT_TRIALS = 3
# Long enough to outlast a caller's resends, short enough that a convicted
# request gets a new trial after the engine may have been repaired.
RECORD_TTL_MS = 600_000
# Several entry VMs notice the same crash within this time. An endpoint that
# has to reload its weights is not back sooner.
SAME_CRASH_MS = 3_000
# A trial waits until peers' records of the same crash have arrived, then for
# the suspects before it, each of which gets one turn. A suspect that takes
# longer does not hold up the next: its caller may have left without notice.
SETTLE_MS = 250
TURN_MS = 1_000
# Bound on the suspects kept: a crash makes at most a batch of suspects, some
# tens.
MAX_SUSPECTS = 5_000


@attrs.frozen(order=True)
class Crash:
    """A request was in flight on an endpoint when it crashed.

    ``request`` is a digest of the caller's request key: that request may no
    longer be reported as not run.
    """

    fingerprint: str
    endpoint: str
    seen_ms: int
    request: str


@attrs.define
class SuspectRecords:
    """What one entry VM knows of suspects: its own and its peers' records."""

    crashes: dict[str, list[Crash]] = attrs.field(factory=dict)
    cleared: dict[str, int] = attrs.field(factory=dict)
    changes: int = 0


@attrs.frozen
class Trial:
    """Where a suspect may run, and from when (wall clock, ms)."""

    endpoint: str
    from_ms: int


def make_fingerprint(customer: str, messages: list[dict]) -> str:
    """A request's identity, whatever its key and entry VM.

    It includes the customer: one customer's resends must not block the same
    messages for another.
    """
    text = json.dumps([customer, messages], sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def digest_content(*parts: bytes) -> str:
    """A forwarded request's identity, from what repeats of it share."""
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()[:16]


def digest_request(request_key: str) -> str:
    """The form in which a caller's request key is stored in a crash."""
    return hashlib.sha256(request_key.encode()).hexdigest()[:12]


def record_crash(records: SuspectRecords, crash: Crash) -> bool:
    """Add a crash; return ``False`` if it is already known."""
    known = records.crashes.setdefault(crash.fingerprint, [])
    if crash in known:
        return False
    if len(records.crashes) > MAX_SUSPECTS:
        oldest = next(iter(records.crashes))
        del records.crashes[oldest]
        records.cleared.pop(oldest, None)
    known.append(crash)
    records.changes += 1
    return True


def record_answer(
    records: SuspectRecords, fingerprint: str, wall_ms: int
) -> bool:
    """Clear a suspect that was answered; return whether anything changed."""
    if fingerprint not in records.crashes:
        return False
    if records.cleared.get(fingerprint, wall_ms - 1) >= wall_ms:
        return False
    records.cleared[fingerprint] = wall_ms
    records.changes += 1
    return True


def list_distinct_crashes(
    records: SuspectRecords, fingerprint: str, wall_ms: int
) -> list[Crash]:
    """Distinct crashes that still count against a request."""
    known = records.crashes.get(fingerprint)
    if not known:
        return []
    expired_ms = wall_ms - RECORD_TTL_MS
    ignored_ms = max(expired_ms, records.cleared.get(fingerprint, expired_ms))
    distinct: list[Crash] = []
    for crash in sorted(known, key=lambda c: (c.seen_ms, c)):
        if crash.seen_ms <= ignored_ms:
            continue
        same = any(
            other.endpoint == crash.endpoint
            and crash.seen_ms - other.seen_ms < SAME_CRASH_MS
            for other in distinct
        )
        if not same:
            distinct.append(crash)
    return distinct


def is_convicted(
    records: SuspectRecords, fingerprint: str, wall_ms: int
) -> bool:
    """Whether the request is refused without a run."""
    crashes = list_distinct_crashes(records, fingerprint, wall_ms)
    return len(crashes) >= CONVICTING_CRASHES


def is_convicted_without_trials(
    records: SuspectRecords, fingerprint: str, wall_ms: int
) -> bool:
    """Whether a request that has no trials is refused without a run.

    A harmless request may share three crashes with the one that caused them,
    so that a fourth has to tell them apart.
    """
    crashed = _list_crashed_endpoints(records, fingerprint, wall_ms)
    if len(crashed) != CRASHES_WITHOUT_TRIALS:
        return len(crashed) > CRASHES_WITHOUT_TRIALS
    return not any(
        crashed <= _list_crashed_endpoints(records, other, wall_ms)
        for other, known in records.crashes.items()
        if other != fingerprint and len(known) >= CRASHES_WITHOUT_TRIALS
    )


def _list_crashed_endpoints(
    records: SuspectRecords, fingerprint: str, wall_ms: int
) -> set[str]:
    crashes = list_distinct_crashes(records, fingerprint, wall_ms)
    return {crash.endpoint for crash in crashes}


def is_suspect(
    records: SuspectRecords, fingerprint: str, wall_ms: int
) -> bool:
    """Whether a crash counts against the request."""
    return bool(list_distinct_crashes(records, fingerprint, wall_ms))


def may_have_run(
    records: SuspectRecords, fingerprint: str, request: str
) -> bool:
    """Whether a request with this key was in flight at a crash."""
    known = records.crashes.get(fingerprint, [])
    return any(crash.request == request for crash in known)


def plan_trials(
    records: SuspectRecords,
    walk: typing.Callable[[str], typing.Iterable[str]],
    wall_ms: int,
) -> dict[str, Trial]:
    """Where and when each suspect may run.

    ``walk`` returns a fingerprint's endpoints in ring order. All entry VMs
    that know the same records and endpoints compute the same plan, so one
    suspect at a time runs on an endpoint without coordination.
    """
    suspects = []
    for fingerprint in records.crashes:
        crashes = list_distinct_crashes(records, fingerprint, wall_ms)
        if 0 < len(crashes) < CONVICTING_CRASHES:
            suspects.append((crashes[0].seen_ms, fingerprint, crashes[0]))
    suspects.sort(key=lambda suspect: suspect[:2])
    planned_counts: dict[str, int] = {}
    plan = {}
    for seen_ms, fingerprint, crash in suspects:
        names = list(walk(fingerprint))
        others = [name for name in names if name != crash.endpoint]
        endpoint = next(iter(others or names), None)
        if endpoint is None:
            continue
        rank = planned_counts.get(endpoint, 0)
        planned_counts[endpoint] = rank + 1
        # If there is no other endpoint, the crashed one is tried after it is
        # back, late enough to tell a second crash from the first.
        settle_ms = SETTLE_MS if others else SAME_CRASH_MS
        from_ms = seen_ms + settle_ms + rank * TURN_MS
        plan[fingerprint] = Trial(endpoint, from_ms)
    return plan


def drop_expired(records: SuspectRecords, wall_ms: int) -> None:
    """Drop records that have expired."""
    oldest = wall_ms - RECORD_TTL_MS
    for fingerprint, known in list(records.crashes.items()):
        if all(crash.seen_ms < oldest for crash in known):
            del records.crashes[fingerprint]
            records.cleared.pop(fingerprint, None)
