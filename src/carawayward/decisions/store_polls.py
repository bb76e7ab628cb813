"""How long calls to the store may wait, and how old their results may get.

Load: nothing changes for seconds, and an entry VM has to know that it does;
then the store, or the delegate that reads it, stops answering just before a
change. Failure prevented: short polls that bring nothing; or keys and
endpoints that are trusted for longer than the bounds allow.

A poll shows, when it ends, that nothing followed up to when it was sent. All
times are in ms.
"""

# A poll ends after this at the latest even if nothing came.
MAX_POLL_MS = 1_500.0
# Polls that fit into a lease: what a poll shows is as old as the poll when it
# comes and has to last until the next one ends, and one may fail.
POLLS_PER_LEASE = 3.0
MIN_POLL_MS = 100.0
# Part of the time for which a leaving endpoint may still get work that a poll
# on the endpoints may wait. While the store drops its history, polls may miss
# a change until they end.
DRAIN_PART = 0.55
# However often endpoints renew their entries, polls wait for so long.
MIN_REGISTRY_POLL_MS = 500.0
# Part of the time within which a configuration has to be in force that a poll
# on the table may wait. A client whose delegate lost the store just before a
# change finds the report too old a poll and half a second after the change.
APPLY_PART = 0.5
# How often a delegate is queried. Changes are pushed at once; queries show
# that nothing changed, and bring changes whose datagrams were lost.
QUERY_MS = 400.0
# A query that is sent late, and the time its answer takes.
REPORT_SLACK_MS = 100.0
# A report shows at most this late that a delegate's call has ended in time.
OVERDUE_MS = QUERY_MS + REPORT_SLACK_MS
# Part of the lease on keys from which on an entry VM reads the store itself
# though it has a delegate: time for an answer of a slow store.
OWN_READ_PART = 0.8


def compute_poll_ms(lease_ms: float) -> float:
    """How long a poll may wait, so that its proof keeps a lease alive."""
    return max(MIN_POLL_MS, min(MAX_POLL_MS, lease_ms / POLLS_PER_LEASE))


def compute_table_poll_ms(lease_ms: float, apply_ms: float) -> float:
    """How long a poll on the routing table may wait.

    ``lease_ms`` is how long keys last without a proof, ``apply_ms`` within
    what a configuration has to be in force. A client whose delegate polls for
    longer than this finds its reports too old for the lease now and then, and
    turns callers away if it cannot read the store itself.
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

    ``drain_ms`` is how long an endpoint that leaves still takes work. An
    entry VM whose reader has gone reads for itself half a second after a poll
    of the reader's at the latest. If that gap were longer than
    ``longest_gap_ms`` it would look like an outage in which entries run out:
    endpoints that left meanwhile would be waited for, and sent work.
    """
    unlike_outage_ms = longest_gap_ms - QUERY_MS - 3.0 * REPORT_SLACK_MS
    return min(
        DRAIN_PART * drain_ms, max(MIN_REGISTRY_POLL_MS, unlike_outage_ms)
    )


def compute_max_report_age(poll_ms: float) -> float:
    """How old the report of a delegate that reaches the store may be.

    It is as of the sending of the poll before the last, and gets older until
    the next query is answered.
    """
    return 2.0 * poll_ms + OVERDUE_MS


def compute_max_table_age(lease_ms: float, apply_ms: float) -> float:
    """How old a delegate's report on the routing table may be."""
    poll_ms = compute_table_poll_ms(lease_ms, apply_ms)
    return min(OWN_READ_PART * lease_ms, compute_max_report_age(poll_ms))
