"""Which endpoints are passed over since they would not take work just now.

Load: a failure domain is cut off, endpoints went dark without a word, or some
turn away what they are sent; requests go on to arrive for all of them. Harm
prevented: such endpoints look idle, so that each request tries them first.
Played with 14 of 18 endpoints out of reach for 4 s, entry VMs tried them 219
times in one second, and 29 requests were refused though others had room; with
one of three that declines everything, 18 of 20 requests needed a second run
and used the extra runs up.

Kept apart from health: a try costs little and never a run, and from inside a
cut most of a pool may be out of reach at once, where the ejection of outliers
stops at half. An endpoint is passed over, not left out: where there is no
other it is tried.
"""

import typing

import attrs

# How long an endpoint is passed over, doubled with each try in a row up to
# the longest. The first after a connection that failed is short, since a lost
# packet looks the same; outages last seconds. The first after a word that it
# takes nothing is about the time in which one that is full has room again.
# Who tries too often makes callers wait, who tries too seldom leaves an
# endpoint idle that is back.
UNREACHED_MS = 300.0
DECLINED_MS = 50.0
LONGEST_MS = 3_000.0
# While one request tries an endpoint the others pass it over for this long:
# the time that a connection may take, or a word that it takes nothing. One
# that has said nothing by then has the request; kept out for longer, engines
# that decline half of their prompts stood idle and the others' rows grew.
REACHING_MS = 500.0
DECLINING_MS = 50.0


@attrs.define
class Avoided:
    """Until when an endpoint is passed over, after so many tries in a row.

    ``try_ms`` is how long one request's try keeps the others away.
    """

    until_ms: float
    tries: int
    try_ms: float


@attrs.define
class Avoidance:
    """Endpoints that would not take work from one entry VM, by name."""

    endpoints: dict[str, Avoided] = attrs.field(factory=dict)


def note_unreached(avoidance: Avoidance, name: str, now_ms: float) -> None:
    """No connection came about."""
    _avoid(avoidance, name, now_ms, UNREACHED_MS, REACHING_MS)


def note_domain_silent(
    avoidance: Avoidance, names: typing.Iterable[str], now_ms: float
) -> None:
    """Nobody in another failure domain answers; these are in it.

    Load: a failure domain is cut off without a word, and with it a third of
    the endpoints. Harm prevented: requests try them one after the other, each
    for as long as a connection may take.
    """
    for name in names:
        if name not in avoidance.endpoints:
            until_ms = now_ms + UNREACHED_MS
            avoidance.endpoints[name] = Avoided(until_ms, 0, REACHING_MS)


def note_declined(avoidance: Avoidance, name: str, now_ms: float) -> None:
    """The endpoint says that it did not run a request."""
    _avoid(avoidance, name, now_ms, DECLINED_MS, DECLINING_MS)


def _avoid(
    avoidance: Avoidance,
    name: str,
    now_ms: float,
    first_ms: float,
    try_ms: float,
) -> None:
    known = avoidance.endpoints.get(name)
    tries = known.tries if known else 0
    pause_ms = min(LONGEST_MS, first_ms * 2.0**tries)
    avoidance.endpoints[name] = Avoided(now_ms + pause_ms, tries + 1, try_ms)


def note_taken(avoidance: Avoidance, name: str) -> None:
    """The endpoint took a request, or is another one now."""
    avoidance.endpoints.pop(name, None)


def begin_try(avoidance: Avoidance, name: str, now_ms: float) -> None:
    """A request tries an endpoint; until it is over the others pass it over.

    Otherwise all that arrive in the moment when its time is up try it.
    """
    known = avoidance.endpoints.get(name)
    if known is not None:
        known.until_ms = max(known.until_ms, now_ms + known.try_ms)


def list_avoided(avoidance: Avoidance, now_ms: float) -> frozenset[str]:
    """Endpoints to pass over as long as there are others."""
    if not avoidance.endpoints:
        return frozenset()
    return frozenset(
        name
        for name, each in avoidance.endpoints.items()
        if now_ms < each.until_ms
    )
