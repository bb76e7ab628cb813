"""Whether callers do better at another entry VM than to wait for this one.

Load: some entry VMs cannot prove that their keys are the newest, since the
store is out of their reach or turns them away, while callers go on to arrive
at all of them. Failure prevented: callers wait for the store's return, though
any other entry VM would serve them at once.

If it is the store that has gone, the others cannot serve either, and a caller
that goes on at once has used up its repeat for nothing.
"""

# What part of the other entry VMs has to say that it cannot serve before it
# is taken to be so everywhere. Those that say nothing may be well: a cut hides
# them, and one failure domain of three is under half of them.
STALE_EVERYWHERE = 0.5


def others_may_serve(known: int, stale: int) -> bool:
    """Whether other entry VMs are likely to serve what this one cannot.

    ``known`` counts the others, ``stale``
    those of them whose last report says that they cannot prove their keys.
    """
    return stale < STALE_EVERYWHERE * known
