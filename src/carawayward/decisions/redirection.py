"""Whether callers should go to another entry VM instead of waiting here.

Some entry VMs may be unable to prove that their keys are the newest, because
they cannot reach the store or it rejects them, while callers keep arriving at
all of them. Callers would then wait for the store to return although any other
entry VM would serve them at once.

If the store itself is down, the others cannot serve either, and a caller that
is redirected at once has used up its retry for nothing.
"""

# Part of the other entry VMs that must report that they cannot serve before
# all of them are assumed unable to. Those that report nothing may be healthy:
# a network partition hides them, and one failure domain of three has less than
# half of them.
STALE_EVERYWHERE = 0.5


def others_may_serve(known: int, stale: int) -> bool:
    """Whether other entry VMs can probably serve what this one cannot.

    ``known`` is the number of other entry VMs, ``stale`` the number of those
    whose last report says that they cannot prove their keys.
    """
    return stale < STALE_EVERYWHERE * known
