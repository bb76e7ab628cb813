"""Which endpoints may change what they have loaded, and who orders it.

Made for a roll-out over pools of a few to hundreds of engines, ordered by
many entry VMs that do not ask each other. The harm it prevents: a pool that
reloads everywhere at once and serves nothing, and loads that overrun the
weight store. All entry VMs see the same reports, a second or two old, and
work out the same small set; one with an older view lets fewer change.
"""

import hashlib
import typing

import attrs

from carawayward import rollout_declaration


@attrs.frozen(kw_only=True)
class Order:
    """The state that an endpoint should be in.

    ``fencing`` is the log offset of the document that wants it: it rises
    with every publish and is the same whoever sends the order.
    """

    fencing: int
    versions: tuple[str, ...]
    role: str


@attrs.frozen(kw_only=True)
class EndpointStatus:
    """What is known of an endpoint; ``silent`` if it does not report."""

    name: str
    versions: frozenset[str]
    silent: bool = False


def make_order(
    revision: int,
    pool: rollout_declaration.Pool,
    withdrawn: typing.Container[str],
) -> Order:
    """The order for every endpoint of a pool, by the document in force."""
    wanted = sorted(v for v in pool.versions if v not in withdrawn)
    return Order(fencing=revision, versions=tuple(wanted), role=pool.role)


def compute_change_limit(pool: rollout_declaration.Pool, members: int) -> int:
    """How many endpoints of a pool may be out of service for a change."""
    return max(1, int(pool.change_at_once * members))


def choose_changing(
    pool: rollout_declaration.Pool,
    order: Order,
    members: typing.Sequence[EndpointStatus],
    loads_left: int,
) -> tuple[list[str], list[str]]:
    """Endpoints that may be changing now, and silent ones in the way.

    A silent endpoint serves nothing either, so it counts like one that is
    changing: a change must not go on through a pool that is failing.
    Endpoints that are behind are taken in a fixed order, so the ones that
    change now stay in the set until their reports show them done.
    """
    silent = sorted(each.name for each in members if each.silent)
    room = min(
        compute_change_limit(pool, len(members)) - len(silent), loads_left
    )
    behind = [
        each.name
        for each in members
        if not each.silent and each.versions != frozenset(order.versions)
    ]
    behind.sort(key=lambda name: _hash_rank(name, pool.name))
    held_by = silent if behind and room <= 0 and silent else []
    return behind[: max(0, room)], held_by


def choose_sender(endpoint: str, names: typing.Iterable[str]) -> str:
    """The entry VM that orders an endpoint, by rendezvous.

    Two that differ on who is alive may both order it. That is safe: both
    send the same state under the same number.
    """
    return max(names, key=lambda name: _hash_rank(name, endpoint), default="")


def is_due(order: Order, current: Order | None, may_change: bool) -> bool:
    """Whether an order should be sent, given what the endpoint has.

    An endpoint that holds a newer number has been ordered by an entry VM
    with a newer document; nothing may be sent then. One that holds an old
    number, or another state under this one, is ordered again: that is how
    an old order, taken by an endpoint that does not check numbers, is
    undone.
    """
    if current is None:
        return may_change
    if current.fencing > order.fencing:
        return False
    if (current.versions, current.role) == (order.versions, order.role):
        return False
    return may_change or current.versions == order.versions


def _hash_rank(name: str, subject: str) -> int:
    digest = hashlib.blake2b(f"{subject}\0{name}".encode(), digest_size=8)
    return int.from_bytes(digest.digest())
