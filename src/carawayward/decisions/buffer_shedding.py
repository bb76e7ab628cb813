"""Chooses the connections to close when the room for buffered bytes ends.

Load: clients that accept answers slowly or not at all, or send requests that
do not end. Prevented failure: the process runs out of memory, or refuses the
clients that behave.
"""

import typing

import attrs

# A connection that has just begun to hold bytes is taken to move them at this
# rate, which its own replaces with time.
ASSUMED_BYTES = 1_000_000
ASSUMED_S = 1.0
# Closing a connection that holds less would make no room.
MIN_SHED_BYTES = 16_384


@attrs.frozen
class Holding:
    """What a connection holds.

    ``moved_bytes`` have been received from or accepted by its client in the
    ``age_s`` since it began to hold any.
    """

    held_bytes: int
    moved_bytes: int
    age_s: float


def compute_cost(holding: Holding) -> float:
    """What a connection holds, times how long it needs to move as much.

    It is the largest for those that hold the most and move the least.
    """
    rate = (holding.moved_bytes + ASSUMED_BYTES) / (holding.age_s + ASSUMED_S)
    return holding.held_bytes**2 / rate


def choose_to_close(
    holdings: typing.Sequence[Holding], requester: Holding, wanted_bytes: int
) -> list[int] | None:
    """Choose connections by their index that make room for a requester.

    Only those are closed that cost more than the requester, the most costly
    first. None if they do not make enough room.
    """
    limit = compute_cost(requester)
    costs = [
        (compute_cost(holding), index)
        for index, holding in enumerate(holdings)
        if holding.held_bytes >= MIN_SHED_BYTES
    ]
    chosen: list[int] = []
    freed = 0
    for cost, index in sorted(costs, reverse=True):
        if freed >= wanted_bytes or cost <= limit:
            break
        chosen.append(index)
        freed += holdings[index].held_bytes
    return chosen if freed >= wanted_bytes else None
