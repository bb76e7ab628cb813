"""Whether registry entries that are missing after an outage have run out.

Endpoints renew their entries with each heartbeat, and an entry that was not
renewed for three heartbeats is removed. In an outage of the store no endpoint
can renew, so entries of living ones are missing at its end, and are back a
heartbeat later. But an outage may be one entry VM's own: the store has served
the endpoints all the while, and an entry that is missing was taken out.

Load: the store leaves some entry VMs without an answer while endpoints leave.
Harm prevented: requests go on to endpoints that left long ago and may end at
any moment. The other way round, taking lapsed entries as gone would empty
whole pools at each outage of the store.
"""

# Entries run out after three heartbeats of silence, and are renewed at most
# one before an outage begins, so that an outage of two has none run out. A
# quarter less, since endpoints are not punctual.
SAFE_HEARTBEATS = 1.75
# No entry outlives three heartbeats without being renewed; one more makes up
# for a store that removes it late.
LEASE_HEARTBEATS = 4.0


def is_too_short(longest_ms: float, heartbeat_ms: float) -> bool:
    """Whether no entry can have run out in an outage of at most so long."""
    return longest_ms < SAFE_HEARTBEATS * heartbeat_ms


def were_renewed(
    shortest_ms: float, heartbeat_ms: float, untouched: int, missing: int
) -> bool:
    """Whether endpoints could renew their entries during an outage.

    ``shortest_ms`` is how long it lasted at least, ``untouched`` how many
    entries are in the registry as they were before it. One that outlived
    an outage longer than any lease was renewed, so the store served the
    endpoints, and what is missing was taken out. That more are untouched than
    ``missing`` is asked for since a few may have been written without a lease.
    """
    outlived = shortest_ms >= LEASE_HEARTBEATS * heartbeat_ms
    return outlived and untouched > missing
