"""How long a prompt waits at an engine before the engine reads it.

Engines hold a limited number of requests. When a burst of long streams takes
all places, an engine that has read all its prompts looks idle by its tokens
alone, and prompts wait there while places elsewhere are free.
"""

import attrs


@attrs.frozen(kw_only=True)
class Room:
    """The places of an engine, and times at pace 1 in weighted tokens.

    ``slots`` is how many requests it holds at once, 0 for no limit.
    ``base_weight`` is what an idle engine takes to the first token,
    ``held_weight`` how long a request holds its place.
    """

    slots: int = 0
    base_weight: float = 0.0
    held_weight: float = 0.0


NO_ROOM = Room()


def is_full(room: Room, streams: int) -> bool:
    """Whether a further request has to wait for a place."""
    return 0 < room.slots <= streams


def count_ahead(
    room: Room,
    weight: float,
    streams: int,
    levels: tuple[float, ...],
    level: int | None,
) -> float:
    """Weighted tokens until an engine reads the next prompt of ``level``.

    ``weight``, ``streams`` and ``levels`` are the engine's load. It reads what
    it has admitted in order; of what waits for a place, less urgent requests
    are not ahead.
    """
    if not is_full(room, streams):
        return weight
    ahead, waiting = weight, float(streams - room.slots)
    if level is not None and weight > 0.0:
        ahead = min(weight, sum(levels[: level + 1]))
        waiting *= ahead / weight
    return max(ahead, (waiting + 1.0) * room.held_weight / room.slots)
