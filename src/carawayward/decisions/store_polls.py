"""How long calls to the store may wait for news, and how old proofs may be.

Load: nothing changes for seconds, and an entry VM has to know that it does;
then the store, or the neighbour that reads it, falls silent just before a
change. Harm prevented: calls in short turns that bring nothing; or keys and
endpoints that are trusted for longer than the bounds allow.

A poll proves something when it ends: that nothing followed up to when it was
sent. All times are in ms.
"""

# A poll ends after this at the latest even if nothing came.
POLL_MS = 1_500.0
# So many polls fit into a lease that rests on their proof: a proof is as
# old as its poll when it comes, and has to last until the next one comes, and
# a poll may fail and be made again.
POLLS_A_LEASE = 3.0
LEAST_POLL_MS = 100.0
# Part of the time for which a leaving endpoint may still get work that a poll
# on the endpoints may wait. The store may leave polls in the dark while it
# drops its history; then only the end of a poll brings the news.
DRAIN_PART = 0.55
# However often endpoints renew their entries, polls wait for so long.
LEAST_REGISTRY_POLL_MS = 500.0
# Part of the time within which a configuration has to be in force that a poll
# on the table may wait. Who has_delegate on a reader that lost the store just before
# a change finds the reader's proof too old a poll and half a second after it,
# and reads the change.
APPLY_PART = 0.5
# How often a reader is asked. News is told at once; this is for the proofs of
# its absence, and for news whose datagram was lost.
QUERY_MS = 400.0
# A question later than usual, and the way of its answer.
REPORT_SLACK_MS = 100.0
# Part of the lease on keys from which on an entry VM reads the store itself,
# though another reads it for this one: time for an answer of a slow store.
OWN_PART = 0.8


def find_poll(lease_ms: float) -> float:
    """How long a poll may wait, so that its proof keeps a lease alive."""
    return max(LEAST_POLL_MS, min(POLL_MS, lease_ms / POLLS_A_LEASE))


def find_table_poll(lease_ms: float, apply_ms: float) -> float:
    """How long a poll on the routing table may wait.

    ``lease_ms`` is how long keys last without a proof, ``apply_ms`` within
    what a configuration has to be in force.
    """
    return min(APPLY_PART * apply_ms, find_poll(lease_ms))


def find_registry_poll(drain_ms: float, longest_gap_ms: float) -> float:
    """How long a poll on the endpoints may wait.

    ``drain_ms`` is how long an endpoint that leaves still takes work. An
    entry VM whose reader has gone reads for itself half a second after a poll
    of the reader's at the latest. If that gap were longer than
    ``longest_gap_ms`` it would look like an outage in which entries run out:
    endpoints that left meanwhile would be waited for, and sent work.
    """
    unlike_outage_ms = longest_gap_ms - QUERY_MS - 3.0 * REPORT_SLACK_MS
    return min(
        DRAIN_PART * drain_ms, max(LEAST_REGISTRY_POLL_MS, unlike_outage_ms)
    )


def compute_max_report_age(poll_ms: float) -> float:
    """How old a proof may be that comes from a reader with the store.

    It is as of the sending of a poll: one before the last when it is told,
    and as old as until the next question when that is answered. A reader
    that has lost the store goes on telling what it had proved, until the poll
    under way counts as failed; its proof then is older than this.
    """
    return 2.0 * poll_ms + QUERY_MS + REPORT_SLACK_MS


def compute_max_table_age(lease_ms: float, apply_ms: float) -> float:
    """How old a neighbour's proof of the routing table may be."""
    poll_ms = find_table_poll(lease_ms, apply_ms)
    return min(OWN_PART * lease_ms, compute_max_report_age(poll_ms))
