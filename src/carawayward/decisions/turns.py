"""Staggers writes that many entry VMs find necessary at the same time.

Several hundred entry VMs notice within a moment that a roll-out's status has
to be written. Without turns, all of them would read and write at once although
only one write can succeed, or, while the store is down, retry in step.
"""

import math
import typing

from carawayward.decisions import placement

# Time for a write, and for its record to reach the others.
TURN_MS = 200.0
# Turns that fit into the remaining time: those of several hundred entry VMs,
# and as long again for the writes.
TURNS_LEFT = 16.0
# Back-off after failed writes, doubled up to the maximum.
INITIAL_BACKOFF_MS = 800.0
MAX_BACKOFF_MS = 6_400.0
# Enough for the maximum; a thousand more would be too large for a float.
MAX_DOUBLINGS = 16


def compute_turn_ms(
    own: str,
    names: typing.Iterable[str],
    subject: str,
    left_ms: float = math.inf,
) -> float:
    """How long ``own`` waits for others among ``names`` to write, in ms.

    Each turn has twice as many writers as the one before. Few therefore write
    when all are healthy, and if many of them are gone the delay does not grow
    with their number. Turns are shorter if the write has to be done within
    ``left_ms``; once that time is over they have their full length again.
    """
    turn_ms = TURN_MS
    if left_ms > 0.0:
        turn_ms = min(TURN_MS, left_ms / TURNS_LEFT)
    own_hash = placement.hash_key(f"{own}/{subject}")
    rank = sum(
        placement.hash_key(f"{name}/{subject}") < own_hash
        for name in names
        if name != own
    )
    return turn_ms * ((rank + 1).bit_length() - 1)


def compute_backoff_ms(failures: int, own: str) -> float:
    """The pause after ``failures`` consecutive failed writes, in ms."""
    doublings = min(failures - 1, MAX_DOUBLINGS)
    pause_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2**doublings)
    jitter = placement.hash_key(f"{own}/{failures}") / 2.0**64
    return pause_ms * (0.5 + 0.5 * jitter)
