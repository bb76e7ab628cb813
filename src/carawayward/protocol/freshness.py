"""Freshness: how long a node may trust the configuration it has.

A proof of freshness is a read of the log's tail, or a peer's vouch that
traces back to one. A node keeps only the instant, on its own clock, at
which its newest proof held. Every step below errs towards "older":

- a read counts from the moment it was sent, since its answer may have been
  held up on the way for any time;
- a vouch is asked for, never pushed, and counts from the moment the
  question was sent, less the age that the peer gives. A vouch that was
  pushed and then lay in a buffer would look newer than it is.

So ages add up along a chain of vouches and only a real read brings one down,
with no synchronised clocks.

When the lease has passed since a publish was appended, each node that is
still fresh has read past it, and each other node has lapsed: that is why a
publish can be reported as in force without hearing from every node.
"""

import enum
import typing

import attrs

from carawayward import declaration

NEVER = float("-inf")


@attrs.frozen(kw_only=True)
class Attestation:
    """A peer's word: "all records up to ``age_ms`` ago are in this"."""

    revision: int
    age_ms: float


# A poll of the log may wait for this part of the lease, so that a peer's
# proof is up to two of them old when it is asked for: as old as the poll at
# its answer, and one poll more just before the next answer.
POLLS_PER_LEASE = 3
# Peers are asked this often in a lease: the rest of the lease, after a proof
# that is two polls old, then covers one question that gets no answer.
QUERIES_PER_LEASE = 7
# No more often than with the usual lease; each question costs 0.3 ms of
# processor time at either end.
MAX_QUERY_INTERVAL_MS = 2_000.0


def compute_poll_wait_ms(lease_ms: float) -> float:
    """How long a poll of the log may wait, in ms."""
    return lease_ms / POLLS_PER_LEASE


def compute_query_interval_ms(lease_ms: float) -> float:
    """How often a peer is asked for its vouch, in ms."""
    return min(MAX_QUERY_INTERVAL_MS, lease_ms / QUERIES_PER_LEASE)


def apply_read(proof_ms: float, sent_ms: float) -> float:
    """The proof's instant after a read of the tail sent at ``sent_ms``."""
    return max(proof_ms, sent_ms)


def apply_attestation(
    proof_ms: float, asked_ms: float, own_revision: int, vouch: Attestation
) -> float:
    """The proof's instant after a peer's vouch.

    A vouch for a revision that this node does not have yet proves nothing
    about what it has.
    """
    if vouch.age_ms < 0 or own_revision < vouch.revision:
        return proof_ms
    return max(proof_ms, asked_ms - vouch.age_ms)


def is_fresh(proof_ms: float, now_ms: float, lease_ms: float) -> bool:
    """Whether the newest proof is within the lease."""
    return now_ms - proof_ms < lease_ms


class Confirmation(enum.StrEnum):
    """Where a node stands with the revision in force."""

    IN_FORCE = "in force"
    WAITING = "waiting"
    LAPSED = "lapsed"


def report_confirmations(
    revisions: typing.Mapping[str, int],
    revision: int,
    age_ms: float,
    lease_ms: float,
) -> dict[str, Confirmation]:
    """Who has a revision in force, ``age_ms`` after it was first seen.

    A node that has not confirmed within the lease either has it by now, and
    its word is on the way, or its lease has lapsed and it has frozen its
    roll-outs: no node goes on believing that an older revision is current.
    """

    def judge(known: int) -> Confirmation:
        if known >= revision:
            return Confirmation.IN_FORCE
        if age_ms < lease_ms:
            return Confirmation.WAITING
        return Confirmation.LAPSED

    return {name: judge(known) for name, known in revisions.items()}


def may_start(version: declaration.Version, fresh: bool) -> bool:
    """Whether a version may take work that has no session with it yet.

    A cut-off node cannot hear that a roll-out was halted. Exposure would
    grow for as long as the cut lasts, so a canary gets nothing new there
    unless its declaration says so; an active version goes on.
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
    """Whether a version may serve a session that is settled on it."""
    if version.state is declaration.VersionState.WITHDRAWN:
        return False
    return fresh or version.when_cut_off is not declaration.CutOff.STOP
