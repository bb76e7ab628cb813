"""Which endpoints are passed over since no connection to them came about.

Load: a failure domain is cut off, or endpoints went dark without a word;
requests go on to arrive for all of them. Harm prevented: each request tries
the same endpoints again, which look idle since nothing gets there, and is
refused after a few tries while others have room. Played with 14 of 18
endpoints out of reach, 40 of 120 requests were.

Kept apart from health: a connection that fails costs a try and never a run,
and from inside a cut most of a pool may be out of reach at once, where the
ejection of outliers stops at half. An endpoint is passed over, not left out:
where there is no other it is tried.
"""

import attrs

# How long an endpoint is passed over, doubled with each try in a row up to
# the longest. The first is short, since a lost packet looks the same; outages
# last seconds. Who tries too often makes callers wait, who tries too seldom
# leaves an endpoint idle that is back.
FIRST_MS = 300.0
LONGEST_MS = 3_000.0
# While one request tries an endpoint the others pass it over for this long,
# the time that a connection may take.
TRY_MS = 500.0


@attrs.define
class Passed:
    """Until when an endpoint is passed over, after so many tries in a row."""

    until_ms: float
    tries: int


@attrs.define
class Reachability:
    """What one entry VM could not reach lately, by endpoint."""

    passed: dict[str, Passed] = attrs.field(factory=dict)


def note_unreached(reach: Reachability, name: str, now_ms: float) -> None:
    """No connection came about."""
    known = reach.passed.get(name)
    tries = known.tries if known else 0
    pass_ms = min(LONGEST_MS, FIRST_MS * 2.0**tries)
    reach.passed[name] = Passed(now_ms + pass_ms, tries + 1)


def note_reached(reach: Reachability, name: str) -> None:
    """A connection came about, or the endpoint is another one now."""
    reach.passed.pop(name, None)


def begin_try(reach: Reachability, name: str, now_ms: float) -> None:
    """A request tries an endpoint; until it is over the others pass it over.

    Otherwise all that arrive in the moment when its time is up try it.
    """
    known = reach.passed.get(name)
    if known is not None:
        known.until_ms = max(known.until_ms, now_ms + TRY_MS)


def list_passed(reach: Reachability, now_ms: float) -> frozenset[str]:
    """Endpoints to pass over as long as there are others."""
    if not reach.passed:
        return frozenset()
    return frozenset(
        name for name, each in reach.passed.items() if now_ms < each.until_ms
    )
