"""How long calls to the store may wait, and how old their results may get.

Often nothing changes for seconds, and entry VMs need proof of that; and the
store, or the delegate that reads it, may stop answering just before a change.
Polls that are too short are wasted; polls that are too long let keys and
endpoints be trusted for longer than the bounds allow.

When a poll ends, it shows that nothing had followed up to the time it was
sent. All times are in ms.
"""

import typing

from carawayward.decisions import delegates

# A poll ends after this time at the latest, even if nothing has changed.
MAX_POLL_MS = 1_500.0
# Polls that fit into a lease: the result of a poll is as old as the poll
# itself when it arrives and has to last until the next one ends, and one may
# fail.
POLLS_PER_LEASE = 3.0
MIN_POLL_MS = 100.0
# Longest poll on the endpoints, as a part of the time for which a leaving
# endpoint may still get work. While the store drops its history, polls may
# miss a change until they end.
DRAIN_PART = 0.55
# Minimum poll on the endpoints, however often they renew their entries.
MIN_REGISTRY_POLL_MS = 500.0
# Interval between the start of a call that returned records and the next call.
# Each record of a burst would otherwise cost a separate call.
MIN_CALL_GAP_MS = 200.0
# The same for the endpoints while they renew their entries, as a part of their
# heartbeat: some crashes are known only by the entry of the next process.
HEARTBEAT_PART = 0.5
# Interval between two calls of an entry VM in an outage, whichever feeds make
# them. Short compared to the leases, so that the end of an outage is
# noticed promptly; long enough that a store that rejects calls gets few.
RETRY_MS = 300.0
# The same for those that a delegate reads for: they learn from it as well that
# the store is back.
CLIENT_RETRY_MS = 900.0
# Longest poll on the routing table, as a part of the time within which a
# configuration has to be in force. A client whose delegate lost the store just
# before a change finds the report too old one poll and half a second after the
# change.
APPLY_PART = 0.5
# Interval at which a delegate is queried. Changes are pushed at once; queries
# show that nothing changed, and deliver changes whose datagrams were lost.
QUERY_MS = 400.0
# Allowance for a query that is sent late and for the time its answer takes.
REPORT_SLACK_MS = 100.0
# A report shows at most this late that a delegate's call has ended in time.
OVERDUE_MS = QUERY_MS + REPORT_SLACK_MS
# Part of the lease on keys after which an entry VM reads the store itself
# although it has a delegate; the rest is time for a slow store to answer.
OWN_READ_PART = 0.8


def compute_poll_ms(lease_ms: float) -> float:
    """How long a poll may wait so that its proof keeps a lease alive."""
    return max(MIN_POLL_MS, min(MAX_POLL_MS, lease_ms / POLLS_PER_LEASE))


def compute_table_poll_ms(lease_ms: float, apply_ms: float) -> float:
    """How long a poll on the routing table may wait.

    ``lease_ms`` is how long keys are valid without a proof, ``apply_ms`` the
    time within which a configuration has to be in force. If a delegate polled
    for longer than this, its clients would now and then find its reports too
    old for the lease, and reject callers if they cannot read the store
    themselves.
    """
    for_reports_ms = (
        OWN_READ_PART * lease_ms - QUERY_MS - REPORT_SLACK_MS
    ) / 2.0
    wanted_ms = min(
        APPLY_PART * apply_ms, compute_poll_ms(lease_ms), for_reports_ms
    )
    return max(MIN_POLL_MS, wanted_ms)


def compute_registry_poll_ms(drain_ms: float, longest_gap_ms: float) -> float:
    """How long a poll on the endpoints may wait.

    ``drain_ms`` is how long a leaving endpoint still takes work. An entry VM
    whose delegate has gone reads for itself at most half a second after one of
    the delegate's polls should have ended. If that gap were longer than
    ``longest_gap_ms``, it would look like an outage in which entries expire:
    endpoints that left in the meantime would be kept and sent work.
    """
    unlike_outage_ms = longest_gap_ms - QUERY_MS - 3.0 * REPORT_SLACK_MS
    wanted_ms = min(
        DRAIN_PART * drain_ms, max(MIN_REGISTRY_POLL_MS, unlike_outage_ms)
    )
    return max(MIN_POLL_MS, wanted_ms)


def compute_retry_ms(
    own: str,
    domain: typing.Collection[str],
    wide: typing.Collection[str] = (),
) -> float:
    """Interval between calls of ``own`` during an outage of the store.

    ``domain`` are the entry VMs of its failure domain, whether or not they
    reach the store, and ``wide`` those with a wide link. When it is down all
    of them call it, which grows with their number.
    """
    reads = own in delegates.list_delegates({own, *domain}, wide)
    return RETRY_MS if reads else CLIENT_RETRY_MS


def compute_registry_gap_ms(poll_ms: float, heartbeat_ms: float) -> float:
    """Interval between calls on the endpoints that return records.

    Many endpoints renew their entries one after the other, and each renewal
    would end a poll. ``poll_ms`` is how long a poll may wait; the one after
    the gap still waits for the minimum.
    """
    wanted_ms = min(
        HEARTBEAT_PART * heartbeat_ms,
        MIN_CALL_GAP_MS + poll_ms - MIN_REGISTRY_POLL_MS,
    )
    return max(MIN_CALL_GAP_MS, wanted_ms)


def compute_wait_after_gap_ms(poll_ms: float, gap_ms: float) -> float:
    """How long a poll may wait that begins after a gap.

    It ends as it would after the least gap, so that a store that is lost in
    the gap is noticed as soon.
    """
    return max(0.0, poll_ms - max(0.0, gap_ms - MIN_CALL_GAP_MS))


def compute_max_report_age(poll_ms: float) -> float:
    """Maximum age of the report of a delegate that reaches the store.

    It reflects the store when the poll before the last was sent, and ages
    until the next query is answered.
    """
    return 2.0 * poll_ms + OVERDUE_MS


def compute_max_table_age(lease_ms: float, apply_ms: float) -> float:
    """Maximum age of a delegate's report on the routing table."""
    poll_ms = compute_table_poll_ms(lease_ms, apply_ms)
    return min(OWN_READ_PART * lease_ms, compute_max_report_age(poll_ms))
