"""Whether registry entries that are missing after an outage have expired.

Endpoints renew their entries with each heartbeat, and an entry that has not
been renewed for three heartbeats is removed. During an outage of the store no
endpoint can renew, so entries of live endpoints are missing when it ends and
reappear a heartbeat later. But the outage may affect only this entry VM: if
the store kept serving the endpoints, a missing entry was removed on purpose.

Treating removed entries as expired would keep sending requests to endpoints
that left long ago and may stop at any moment. Treating expired entries as
removed would empty whole pools at each outage of the store.
"""

# Entries expire after three heartbeats without renewal, and the last renewal
# is at most one heartbeat before the outage, so none has expired after an
# outage of two. Reduced by a quarter of a heartbeat, since endpoints are not
# punctual.
SAFE_HEARTBEATS = 1.75
# No entry outlives three heartbeats without renewal; one more allows for a
# store that removes it late.
LEASE_HEARTBEATS = 4.0


def is_too_short(longest_ms: float, heartbeat_ms: float) -> bool:
    """Whether an outage of at most ``longest_ms`` expires no entries."""
    return longest_ms < SAFE_HEARTBEATS * heartbeat_ms


def were_renewed(
    shortest_ms: float, heartbeat_ms: float, untouched: int, missing: int
) -> bool:
    """Whether endpoints could renew their entries during an outage.

    ``shortest_ms`` is the minimum duration of the outage, ``untouched`` the
    number of entries that are the same as before it. An entry that outlived an
    outage longer than any lease was renewed, so the store was serving the
    endpoints, and missing entries were removed on purpose. More entries must
    be untouched than ``missing``, since a few may have been written without a
    lease.
    """
    outlived = shortest_ms >= LEASE_HEARTBEATS * heartbeat_ms
    return outlived and untouched > missing
