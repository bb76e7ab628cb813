"""When one of many entry VMs that all see the same thing to do should do it.

Load: several hundred entry VMs find within a moment that a roll-out's status
has to be written. Failure prevented: all of them read and write at once, of
which one write succeeds; or, while the store is away, all of them try again
in step.
"""

import math
import typing

from carawayward.decisions import placement

# Time for a write, and for its record to reach the others.
TURN_MS = 200.0
# Turns that fit into the time left: those of several hundred entry VMs, and as
# long again for the writes.
TURNS_LEFT = 16.0
# Pauses after failed writes double up to the longest.
INITIAL_BACKOFF_MS = 800.0
MAX_BACKOFF_MS = 6_400.0


def compute_turn_ms(
    own: str,
    names: typing.Iterable[str],
    subject: str,
    left_ms: float = math.inf,
) -> float:
    """How long ``own`` leaves a write to others among ``names``, in ms.

    Each turn has twice as many writers as the one before, so that few write
    where all is well, and a large part of them may be gone without a delay
    that grows with their number. Turns are shorter where the write has to be
    done within ``left_ms``; once that is over they are as long as ever.
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
    """The pause after so many failed writes in a row, in ms."""
    pause_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (failures - 1))
    jitter = placement.hash_key(f"{own}/{failures}") / 2.0**64
    return pause_ms * (0.5 + 0.5 * jitter)
