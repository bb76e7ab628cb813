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

    @classmethod
    def from_times(
        cls, slots: int, base_ms: float, held_ms: float, token_ms: float
    ) -> "Room":
        """From times in ms, by the time for a weighted token."""
        return cls(
            slots=slots,
            base_weight=base_ms / token_ms,
            held_weight=held_ms / token_ms,
        )


UNLIMITED = Room()


def is_full(room: Room, streams: int) -> bool:
    """Whether a further request has to wait for a place."""
    return 0 < room.slots <= streams


def count_ahead(room: Room, weight: float, streams: int) -> float:
    """Weighted tokens until an engine reads the next prompt.

    Of ``weight`` tokens to read and ``streams`` requests; while a prompt waits
    for a place, the engine reads those ahead of it.
    """
    if not is_full(room, streams):
        return weight
    leaving = streams - room.slots + 1
    return max(weight, leaving * room.held_weight / room.slots)
