"""Which versions of a service may serve while another one is introduced.

A roll-out may be ordered while the endpoints of earlier targets are still
there. A version that was rolled back, or whose roll-out was never decided, is
not the one to return to, although it is not the newest target either.
"""

import attrs

# Number of versions that are remembered of each kind.
MAX_VERSIONS = 20


@attrs.frozen(kw_only=True)
class History:
    """What the roll-outs before the newest order of a service left.

    ``stable`` versions were completed, or in use before any order.
    ``rejected`` ones were rolled back. Those in ``undecided`` were superseded
    by another order before anything was decided. The newest stand last.
    """

    stable: tuple[str, ...] = ()
    rejected: tuple[str, ...] = ()
    undecided: tuple[str, ...] = ()

    def list_unusable(self, target: str) -> frozenset[str]:
        """The versions that do not serve besides ``target``."""
        return frozenset((*self.rejected, *self.undecided)) - {target}


def complete(history: History, version: str) -> History:
    """The history after the roll-out of ``version`` was completed."""
    return History(
        stable=(version,),
        rejected=_remove(history.rejected, (version,)),
        undecided=_remove(history.undecided, (version,)),
    )


def reject(history: History, version: str) -> History:
    """The history after ``version`` was rolled back.

    A stable version stays stable: there is no better one to return to.
    """
    if version in history.stable:
        return history
    return attrs.evolve(
        history,
        rejected=_join(_remove(history.rejected, (version,)), (version,)),
        undecided=_remove(history.undecided, (version,)),
    )


def suspend(history: History, version: str) -> History:
    """The history after the roll-out of ``version`` was superseded."""
    if version in history.stable or version in history.rejected:
        return history
    return attrs.evolve(
        history,
        undecided=_join(_remove(history.undecided, (version,)), (version,)),
    )


def merge(known: History, stored: History, is_current: bool) -> History:
    """Merge the stored history of a service with the one known here.

    ``is_current`` is set if it was stored for the newest order. It then says
    how roll-outs ended whose end is not known here.
    """
    if is_current:
        stable = stored.stable or known.stable
    else:
        stable = known.stable or stored.stable
    rejected = _remove(_join(stored.rejected, known.rejected), stable)
    undecided = _join(stored.undecided, known.undecided)
    return History(
        stable=stable,
        rejected=rejected,
        undecided=_remove(undecided, (*stable, *rejected)),
    )


def find_stable(
    history: History, target: str, listed: frozenset[str]
) -> tuple[str, ...]:
    """The versions to return to from ``target``; ``listed`` have endpoints.

    Endpoints may be replaced by those of another version without an order.
    """
    if listed & frozenset(history.stable):
        return history.stable
    others = listed - {target} - history.list_unusable(target)
    return tuple(sorted(others)[:MAX_VERSIONS]) or history.stable


def _join(versions: tuple[str, ...], more: tuple[str, ...]) -> tuple[str, ...]:
    joined = dict.fromkeys((*versions, *more))
    return tuple(joined)[-MAX_VERSIONS:]


def _remove(
    versions: tuple[str, ...], removed: tuple[str, ...]
) -> tuple[str, ...]:
    return tuple(each for each in versions if each not in removed)
