"""Freshness: how long a node may trust the configuration it has.

A node proves that its configuration is current by reading the tail of the
log, or by a peer's attestation that derives from such a read. It keeps only
the time, on its own clock, as of which its configuration is known to be
current. Every step below errs towards "older":

- a read counts from when it was sent, since the response may have been
  delayed on the way for any time;
- an attestation is requested, never pushed, and counts from when the query
  was sent, less the age that the peer reports. An attestation that was
  pushed and then waited in a buffer would look newer than it is.

Ages therefore add up along a chain of attestations, and only a read of the
log resets them. No synchronised clocks are needed.

Once the lease has passed since a publish was appended, each node that is
still fresh has read past it, and the lease of each other node has expired.
That is why a publish can be reported as in force without hearing from every
node.
"""

import enum
import typing

import attrs

from carawayward import declaration

NEVER = float("-inf")


@attrs.frozen(kw_only=True)
class Attestation:
    """A peer's statement: ``revision`` was current ``age_ms`` ago.

    All records appended up to then are accounted for in ``revision``.
    """

    revision: int
    age_ms: float


# A poll of the log may wait for a third of the lease. When a peer is queried,
# its last read may thus be up to two polls old: one poll when the response
# arrives, and one more just before the next response.
POLLS_PER_LEASE = 3
# Queries to peers per lease. After an attestation that is two polls old, the
# rest of the lease then covers one query that gets no response.
QUERIES_PER_LEASE = 7
# Upper bound of the interval, so that it does not grow with a long lease; each
# query costs 0.3 ms of processor time at either end.
MAX_QUERY_INTERVAL_MS = 2_000.0


def compute_poll_wait_ms(lease_ms: float) -> float:
    """How long a poll of the log may wait for new records."""
    return lease_ms / POLLS_PER_LEASE


def compute_query_interval_ms(lease_ms: float) -> float:
    """Interval between queries to peers for an attestation."""
    return min(MAX_QUERY_INTERVAL_MS, lease_ms / QUERIES_PER_LEASE)


def apply_read(current_as_of_ms: float, sent_ms: float) -> float:
    """``current_as_of_ms`` after a read of the log's tail."""
    return max(current_as_of_ms, sent_ms)


def apply_attestation(
    current_as_of_ms: float,
    queried_ms: float,
    own_revision: int,
    attestation: Attestation,
) -> float:
    """``current_as_of_ms`` after a peer's attestation.

    An attestation of a revision that this node does not have yet proves
    nothing about the revision it has.
    """
    if attestation.age_ms < 0 or own_revision < attestation.revision:
        return current_as_of_ms
    return max(current_as_of_ms, queried_ms - attestation.age_ms)


def is_fresh(current_as_of_ms: float, now_ms: float, lease_ms: float) -> bool:
    """Whether the configuration was current within the lease."""
    return now_ms - current_as_of_ms < lease_ms


class Confirmation(enum.StrEnum):
    """Whether a node serves a published revision yet."""

    IN_FORCE = "in force"
    WAITING = "waiting"
    LAPSED = "lapsed"


def report_confirmations(
    revisions: typing.Mapping[str, int],
    revision: int,
    age_ms: float,
    lease_ms: float,
) -> dict[str, Confirmation]:
    """Status of a revision at each node, ``age_ms`` after it was first seen.

    A node that has not confirmed the revision within the lease either has it
    by now, and its confirmation is in transit, or its lease has expired and
    it has frozen its roll-outs. No node still treats an older revision as
    current.
    """

    def get_status(known: int) -> Confirmation:
        if known >= revision:
            return Confirmation.IN_FORCE
        if age_ms < lease_ms:
            return Confirmation.WAITING
        return Confirmation.LAPSED

    return {name: get_status(known) for name, known in revisions.items()}


def may_start(version: declaration.Version, fresh: bool) -> bool:
    """Whether a version may take work that has no session on it yet.

    A node that is cut off cannot learn that a roll-out was halted. Exposure
    would grow for as long as the partition lasts, so a canary gets no new
    work there unless its declaration allows it; an active version continues.
    """
    state = declaration.VersionState
    if version.state in (state.DRAINING, state.WITHDRAWN):
        return False
    if fresh:
        return True
    match version.when_cut_off:
        case declaration.CutOff.SERVE:
            return True
        case declaration.CutOff.DEFAULT:
            return version.state is state.ACTIVE
    return False


def may_continue(version: declaration.Version, fresh: bool) -> bool:
    """Whether a version may serve a session that is pinned to it."""
    if version.state is declaration.VersionState.WITHDRAWN:
        return False
    return fresh or version.when_cut_off is not declaration.CutOff.STOP
