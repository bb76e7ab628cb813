"""Which endpoints to skip for now since they recently did not take work.

When a failure domain is cut off, endpoints are unreachable or some decline
requests, requests keep arriving for all of them. Such endpoints look idle, so
every request would try them first.

Separate from health: a try is cheap and never starts a run, and inside a
network partition most of a pool may be unreachable at once, whereas outlier
ejection stops at half. A quarantined endpoint is skipped, not excluded: it is
tried if there is no other.
"""

import typing

import attrs

# How long an endpoint is skipped, doubled with each consecutive try up to the
# maximum. Short after a failed connection, since a lost packet looks the same,
# and shorter after a declined request, as a full endpoint soon has room.
UNREACHABLE_MS = 300.0
DECLINED_MS = 50.0
MAX_PAUSE_MS = 3_000.0
# Enough for the maximum; a thousand more would be too large for a float.
MAX_DOUBLINGS = 16
# While one request tries an endpoint, the others skip it for this long: the
# time that a connection may take, or a refusal.
CONNECT_TRY_MS = 500.0
DECLINED_TRY_MS = 50.0


@attrs.define
class QuarantinedEndpoint:
    """When an endpoint may be tried again, and its consecutive failed tries.

    ``try_ms`` is how long a request that tries it keeps the others away.
    """

    until_ms: float
    tries: int
    try_ms: float


@attrs.define
class Quarantine:
    """Endpoints that did not take work from one entry VM, by name."""

    endpoints: dict[str, QuarantinedEndpoint] = attrs.field(factory=dict)


def record_unreachable(
    quarantine: Quarantine, name: str, now_ms: float
) -> None:
    """Record that no connection could be established."""
    _quarantine(quarantine, name, now_ms, UNREACHABLE_MS, CONNECT_TRY_MS)


def record_domain_silent(
    quarantine: Quarantine, names: typing.Iterable[str], now_ms: float
) -> None:
    """Quarantine endpoints of a failure domain where no entry VM answers.

    When a failure domain is cut off without notice, a third of the endpoints
    goes with it. Requests would try them one after the other, each for as long
    as a connection may take.
    """
    for name in names:
        if name not in quarantine.endpoints:
            until_ms = now_ms + UNREACHABLE_MS
            quarantine.endpoints[name] = QuarantinedEndpoint(
                until_ms, 0, CONNECT_TRY_MS
            )


def record_declined(quarantine: Quarantine, name: str, now_ms: float) -> None:
    """Record that the endpoint reported it did not run a request."""
    _quarantine(quarantine, name, now_ms, DECLINED_MS, DECLINED_TRY_MS)


def _quarantine(
    quarantine: Quarantine,
    name: str,
    now_ms: float,
    first_ms: float,
    try_ms: float,
) -> None:
    previous = quarantine.endpoints.get(name)
    tries = previous.tries if previous else 0
    pause_ms = min(MAX_PAUSE_MS, first_ms * 2.0 ** min(tries, MAX_DOUBLINGS))
    quarantine.endpoints[name] = QuarantinedEndpoint(
        now_ms + pause_ms, tries + 1, try_ms
    )


def record_accepted(quarantine: Quarantine, name: str) -> None:
    """End the quarantine: the endpoint took a request or was replaced."""
    quarantine.endpoints.pop(name, None)


def begin_try(quarantine: Quarantine, name: str, now_ms: float) -> None:
    """Record that a request tries an endpoint, so that the others skip it.

    Otherwise all requests that arrive when the quarantine ends would try it.
    """
    previous = quarantine.endpoints.get(name)
    if previous is not None:
        previous.until_ms = max(previous.until_ms, now_ms + previous.try_ms)


def list_quarantined(quarantine: Quarantine, now_ms: float) -> frozenset[str]:
    """Endpoints to skip as long as there are others."""
    if not quarantine.endpoints:
        return frozenset()
    return frozenset(
        name
        for name, each in quarantine.endpoints.items()
        if now_ms < each.until_ms
    )


def is_unreachable(quarantine: Quarantine, name: str) -> bool:
    """Whether the last connection to an endpoint could not be established."""
    found = quarantine.endpoints.get(name)
    return found is not None and found.try_ms == CONNECT_TRY_MS
