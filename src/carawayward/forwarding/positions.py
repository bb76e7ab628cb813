"""Positions in a topic of the store, unique across the store's eras.

A store that is restored from a backup begins a new era and gives out offsets
again. If positions were plain offsets, an entry VM at offset 50 of the former
history would take "no records from offset 50 on" in the new history as
confirmation that it is up to date.

A position therefore combines the era and the offset in one integer, with the
era in the high digits. Every position of a later era is greater than all
positions of earlier eras, and positions of different eras are never equal,
wherever positions are compared, stored or sent to other entry VMs.
"""

# More records than a partition receives in one era.
OFFSETS_PER_ERA = 2**40


def make_position(era: int, offset: int) -> int:
    """Return the position of an offset within an era."""
    return era * OFFSETS_PER_ERA + offset


def get_era(position: int) -> int:
    """Return the era of a position."""
    return position // OFFSETS_PER_ERA


def get_offset(position: int) -> int:
    """Return the store's own offset of a position."""
    return position % OFFSETS_PER_ERA


def is_same_era(one: int, other: int) -> bool:
    """Whether two positions belong to the same history of the store."""
    return get_era(one) == get_era(other)
