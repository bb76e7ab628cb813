"""Gossip membership: records of entry VMs and observations of endpoints.

Each entry VM writes one record about itself; all others only forward it. A
merge keeps the newer record by (start of the incarnation, incarnation,
sequence), so it does not depend on the order or number of deliveries, and
the record of a restarted entry VM replaces that of its earlier incarnation.

The work per node is constant: a node sends a fixed number of records per
second, first those that changed recently, then the others round-robin. The
budget for control traffic is 6 KB per second and node at 410 nodes.
"""

import hashlib
import typing

import attrs


@attrs.frozen(kw_only=True)
class Member:
    """Record that an entry VM writes about itself.

    ``heir_of`` lists the incarnations whose tickets it took over;
    ``started_ms`` is the wall-clock time of its start.
    """

    name: str
    incarnation: str
    started_ms: int
    sequence: int
    failure_domain: str
    address: str
    leaving: bool = False
    revision: int = 0
    heir_of: tuple[tuple[str, str], ...] = ()

    @property
    def rank(self) -> tuple[int, str, int]:
        """Sort key: of two records of one name, the higher one is newer."""
        return self.started_ms, self.incarnation, self.sequence


@attrs.frozen(kw_only=True)
class KnownMember:
    """A member's newest record, and when it arrived on this node's clock."""

    member: Member
    updated_ms: float


def merge_member(
    known: dict[str, KnownMember], member: Member, now_ms: float
) -> bool:
    """Merge a record; return whether it was newer than the known one."""
    current = known.get(member.name)
    if current is not None and current.member.rank >= member.rank:
        return False
    known[member.name] = KnownMember(member=member, updated_ms=now_ms)
    return True


def drop_silent(
    known: dict[str, KnownMember], now_ms: float, silence_timeout_ms: float
) -> list[str]:
    """Drop members without a newer record within the timeout; return them.

    Old records must not circulate for ever between nodes that each drop and
    relearn them. ``choose_records`` therefore forwards no record older than
    half of the timeout, so that it disappears within the other half.
    """
    silent = [
        name
        for name, heard in known.items()
        if now_ms - heard.updated_ms > silence_timeout_ms
    ]
    for name in silent:
        del known[name]
    return silent


def choose_records(
    known: dict[str, KnownMember],
    changed: dict[str, int],
    cursor: int,
    count: int,
    now_ms: float,
    silence_timeout_ms: float,
) -> tuple[list[Member], int]:
    """Choose the records to send in one round, and the next round's cursor.

    ``changed`` maps each name that takes precedence to the number of rounds
    in which it still does; it is updated in place. The rest of ``count`` is
    filled round-robin from ``cursor``.
    """
    urgent = [name for name in changed if name in known][:count]
    for name in list(changed):
        if name not in known:
            del changed[name]
        elif name in urgent:
            changed[name] -= 1
            if changed[name] <= 0:
                del changed[name]
    names = sorted(known)
    selected = list(urgent)
    for step in range(len(names)):
        if len(selected) >= count:
            break
        name = names[(cursor + step) % len(names)]
        recent = now_ms - known[name].updated_ms <= silence_timeout_ms / 2
        if name not in urgent and recent:
            selected.append(name)
    advance = len(selected) - len(urgent)
    next_cursor = (cursor + max(advance, 1)) % max(1, len(names))
    return [known[name].member for name in selected], next_cursor


@attrs.frozen(kw_only=True)
class EndpointObservation:
    """Result of one probe of an endpoint, as sent between peers.

    ``age_ms`` is its age when it was sent. Each forwarding node adds the
    time that it held it, so clocks of different nodes are never compared.
    """

    name: str
    address: str
    pool: str
    failure_domain: str
    versions: tuple[str, ...]
    load: float
    leaving: bool
    age_ms: float


def score(name: str, key: str) -> int:
    """Rendezvous score of ``name`` for ``key``; the highest is chosen."""
    digest = hashlib.blake2b(f"{name}|{key}".encode(), digest_size=8).digest()
    return int.from_bytes(digest)


def choose_highest(
    names: typing.Iterable[str], key: str, count: int
) -> list[str]:
    """The ``count`` names with the highest scores, highest first.

    All nodes that know the same names choose alike; when a name is removed,
    only its own keys move.
    """
    return sorted(names, key=lambda name: score(name, key), reverse=True)[
        :count
    ]


def choose_probe_targets(
    endpoints: typing.Iterable[tuple[str, str]],
    members: typing.Iterable[tuple[str, str]],
    self_id: tuple[str, str],
    probers: int,
    max_probed_by_all: int,
) -> list[str]:
    """Choose the endpoints that this node probes.

    ``endpoints``, ``members`` and ``self_id`` are (name, failure domain).
    Up to ``max_probed_by_all`` endpoints are all probed by every node. With
    more, that would be 410 x 790 probes per second at the target size, so
    each endpoint is probed by ``probers`` nodes of its own domain, or of any
    domain if its own has none. With three probers, one still probes while
    another is frozen and the third is being replaced.
    """
    endpoints = list(endpoints)
    if len(endpoints) <= max_probed_by_all:
        return [name for name, _ in endpoints]
    nodes = {*members, self_id}
    by_domain: dict[str, list[str]] = {}
    for name, domain in nodes:
        by_domain.setdefault(domain, []).append(name)
    all_names = [name for name, _ in nodes]
    return [
        name
        for name, domain in endpoints
        if self_id[0]
        in choose_highest(by_domain.get(domain, all_names), name, probers)
    ]


def encode_member(member: Member) -> list:
    """Encode a member record as a row for peers."""
    row = list(attrs.astuple(member, recurse=False))
    row[-1] = [list(pair) for pair in member.heir_of]
    return row


def decode_member(row: object) -> Member | None:
    """Decode a member record; None for a malformed row."""
    types = (str, str, int, int, str, str, bool, int, list)
    if not isinstance(row, list) or len(row) != len(types):
        return None
    for value, kind in zip(row, types, strict=True):
        if type(value) is not kind:
            return None
    issuers = []
    for pair in row[-1]:
        match pair:
            case [str() as name, str() as incarnation]:
                issuers.append((name, incarnation))
            case _:
                return None
    fields = [field.name for field in attrs.fields(Member)]
    values = dict(zip(fields, row, strict=True))
    values["heir_of"] = tuple(issuers)
    return Member(**values)


def encode_observation(observation: EndpointObservation) -> list:
    """Encode an observation as a row for peers."""
    return [
        *attrs.astuple(observation)[:4],
        list(observation.versions),
        *attrs.astuple(observation)[5:],
    ]


def decode_observation(row: object) -> EndpointObservation | None:
    """Decode an observation; None for a malformed row."""
    match row:
        case [
            str() as name,
            str() as address,
            str() as pool,
            str() as domain,
            list() as versions,
            int() | float() as load,
            bool() as leaving,
            int() | float() as age_ms,
        ] if all(type(version) is str for version in versions) and age_ms >= 0:
            return EndpointObservation(
                name=name,
                address=address,
                pool=pool,
                failure_domain=domain,
                versions=tuple(versions),
                load=float(load),
                leaving=leaving,
                age_ms=float(age_ms),
            )
    return None
