"""Which endpoints may change the versions they have loaded, and who orders it.

For a roll-out over pools of a few to hundreds of engines, ordered by many
entry VMs that do not consult each other. Prevents a pool from reloading
everywhere at once and serving nothing, and concurrent loads from overloading
the weight store. All entry VMs see the same reports, a second or two old, and
compute the same small set of endpoints; one with an older view lets fewer
change.
"""

import hashlib
import typing

import attrs

from carawayward import rollout_declaration


@attrs.frozen(kw_only=True)
class Order:
    """The state that an endpoint should be in.

    ``fencing`` is the log offset of the document that requires it: it
    increases with every publish and is the same for every sender of the order.
    """

    fencing: int
    versions: tuple[str, ...]
    role: str


@attrs.frozen(kw_only=True)
class EndpointStatus:
    """What is known of an endpoint; ``silent`` if it sends no reports."""

    name: str
    versions: frozenset[str]
    silent: bool = False


def make_order(
    revision: int,
    pool: rollout_declaration.Pool,
    withdrawn: typing.Container[str],
) -> Order:
    """The order for every endpoint of a pool under the document in force."""
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
    """Endpoints that may change now, and silent ones that block a change.

    ``loads_left`` is the number of loads that the weight store still allows.
    A silent endpoint serves nothing either, so it counts as changing: a change
    must not continue through a pool that is failing. Outdated endpoints are
    taken in a fixed order, so those that are changing stay in the set until
    their reports show the change complete.
    """
    silent = sorted(each.name for each in members if each.silent)
    available = min(
        compute_change_limit(pool, len(members)) - len(silent), loads_left
    )
    behind = [
        each.name
        for each in members
        if not each.silent and each.versions != frozenset(order.versions)
    ]
    behind.sort(key=lambda name: _hash_rank(name, pool.name))
    held_by = silent if behind and available <= 0 and silent else []
    return behind[: max(0, available)], held_by


def choose_sender(endpoint: str, names: typing.Iterable[str]) -> str:
    """The entry VM that sends orders to an endpoint, by rendezvous hashing.

    Two entry VMs that disagree on which ones are alive may both send. That is
    safe, since both send the same state under the same fencing number.
    """
    return max(names, key=lambda name: _hash_rank(name, endpoint), default="")


def is_due(order: Order, current: Order | None, may_change: bool) -> bool:
    """Whether an order should be sent, given the endpoint's current one.

    If the endpoint holds a newer fencing number, an entry VM with a newer
    document has sent it, and nothing may be sent. If it holds an older number,
    or another state under this one, the order is sent again: this undoes an
    old order accepted by an endpoint that does not check fencing numbers.
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
