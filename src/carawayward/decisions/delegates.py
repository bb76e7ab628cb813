"""Which entry VM reads the store for which others.

Load: each entry VM proves by calls of its own that what it knows is the
newest, some 1.3 of them a second, whether anything changes or not. Harm
prevented: calls grow with the entry VMs until the store turns them away; at
several hundred they are half of what one store takes.

A few entry VMs of each failure domain read, and the others ask them. All
choose alike from those that they hear, so that nobody is elected; where two
see different ones, a few more read than need to.
"""

import typing

from carawayward.decisions import placement

# So many ask one reader. It answers each some three times a second, with 70
# bytes, within what an entry VM may spend on control.
MAX_CLIENTS_PER_DELEGATE = 16


def list_delegates(names: typing.Collection[str]) -> list[str]:
    """The readers among the entry VMs of a failure domain."""
    count = -(-len(names) // MAX_CLIENTS_PER_DELEGATE)
    return sorted(names, key=placement.hash_key)[:count]


def choose_delegate(own: str, names: typing.Collection[str]) -> str:
    """Who reads for ``own``, among ``names`` with itself; maybe itself."""
    readers = list_delegates(names)
    if own in readers:
        return own
    return max(
        readers, key=lambda name: placement.hash_key(f"{own} by {name}")
    )
