"""Which endpoints are passed over since they would not take work just now.

Load: a failure domain is cut off, endpoints are out of reach, or some decline
what they are sent, while requests go on to arrive for all of them. Failure
prevented: such endpoints look idle, so that each request tries them first.

Kept apart from health: a try costs little and never a run, and from inside a
cut most of a pool may be out of reach at once, where the ejection of outliers
stops at half. An endpoint is passed over, not left out: where there is no
other it is tried.
"""

import typing

import attrs

# How long an endpoint is passed over, doubled with each try in a row up to
# the longest. Short after a connection that failed, since a lost packet looks
# the same, and shorter after it declined, as one that is full soon has room.
UNREACHABLE_MS = 300.0
DECLINED_MS = 50.0
MAX_PAUSE_MS = 3_000.0
# While one request tries an endpoint the others pass it over for this long:
# the time that a connection may take, or a refusal.
CONNECT_TRY_MS = 500.0
DECLINED_TRY_MS = 50.0


@attrs.define
class QuarantinedEndpoint:
    """Until when an endpoint is passed over, after so many tries in a row.

    ``try_ms`` is how long one request's try keeps the others away.
    """

    until_ms: float
    tries: int
    try_ms: float


@attrs.define
class Quarantine:
    """Endpoints that would not take work from one entry VM, by name."""

    endpoints: dict[str, QuarantinedEndpoint] = attrs.field(factory=dict)


def record_unreachable(
    quarantine: Quarantine, name: str, now_ms: float
) -> None:
    """No connection came about."""
    _quarantine(quarantine, name, now_ms, UNREACHABLE_MS, CONNECT_TRY_MS)


def record_domain_silent(
    quarantine: Quarantine, names: typing.Iterable[str], now_ms: float
) -> None:
    """Nobody in another failure domain answers; these are in it.

    Load: a failure domain is cut off without a word, and with it a third of
    the endpoints. Harm prevented: requests try them one after the other, each
    for as long as a connection may take.
    """
    for name in names:
        if name not in quarantine.endpoints:
            until_ms = now_ms + UNREACHABLE_MS
            quarantine.endpoints[name] = QuarantinedEndpoint(
                until_ms, 0, CONNECT_TRY_MS
            )


def record_declined(quarantine: Quarantine, name: str, now_ms: float) -> None:
    """The endpoint says that it did not run a request."""
    _quarantine(quarantine, name, now_ms, DECLINED_MS, DECLINED_TRY_MS)


def _quarantine(
    quarantine: Quarantine,
    name: str,
    now_ms: float,
    first_ms: float,
    try_ms: float,
) -> None:
    known = quarantine.endpoints.get(name)
    tries = known.tries if known else 0
    pause_ms = min(MAX_PAUSE_MS, first_ms * 2.0**tries)
    quarantine.endpoints[name] = QuarantinedEndpoint(
        now_ms + pause_ms, tries + 1, try_ms
    )


def record_accepted(quarantine: Quarantine, name: str) -> None:
    """The endpoint took a request, or is another one now."""
    quarantine.endpoints.pop(name, None)


def begin_try(quarantine: Quarantine, name: str, now_ms: float) -> None:
    """A request tries an endpoint; until it is over the others pass it over.

    Otherwise all that arrive in the moment when its time is up try it.
    """
    known = quarantine.endpoints.get(name)
    if known is not None:
        known.until_ms = max(known.until_ms, now_ms + known.try_ms)


def list_quarantined(quarantine: Quarantine, now_ms: float) -> frozenset[str]:
    """Endpoints to pass over as long as there are others."""
    if not quarantine.endpoints:
        return frozenset()
    return frozenset(
        name
        for name, each in quarantine.endpoints.items()
        if now_ms < each.until_ms
    )
