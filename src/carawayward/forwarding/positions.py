"""Positions in a topic of the store, across the store's eras.

Failure prevented: a store that came back from a copy gives offsets out again,
and an entry VM at offset 50 of the former history takes "nothing followed 50"
of the new one as a proof that it knows the newest.

A position is an era and an offset in one whole number, the era first. Any
position of a later era is therefore after all positions of earlier ones, and
none of one era equals one of another, wherever positions are compared, kept or
sent to other entry VMs.
"""

# More records than a partition is given in one era.
OFFSETS_PER_ERA = 2**40


def make_position(era: int, offset: int) -> int:
    """The position of an offset in an era."""
    return era * OFFSETS_PER_ERA + offset


def get_era(position: int) -> int:
    """The era of a position."""
    return position // OFFSETS_PER_ERA


def get_offset(position: int) -> int:
    """The offset that the store gave out for a position."""
    return position % OFFSETS_PER_ERA


def is_same_era(one: int, other: int) -> bool:
    """Whether two positions are of the same history."""
    return get_era(one) == get_era(other)
