"""Membership: facts about entry VMs and endpoints, and how they merge.

Each entry VM writes one record about itself; all others only carry it. A
merge keeps the newer record by (start of the incarnation, sequence), so the
order and number of deliveries make no difference, and a restarted name
replaces what was known of it before.

Work per node is constant: a node sends a fixed number of records a second
whatever happens, first those that changed lately, then the rest in turn.
The bound is the control budget of 6 KB a second a node at 410 nodes.
"""

import hashlib
import typing

import attrs


@attrs.frozen(kw_only=True)
class Member:
    """What an entry VM says about itself.

    ``heir_of`` lists incarnations whose tickets it took over; ``started_ms``
    is the wall clock at its start.
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
        """Order in which records of one name replace each other."""
        return self.started_ms, self.incarnation, self.sequence


@attrs.frozen(kw_only=True)
class KnownMember:
    """A member's record and when this node last saw it rise (own clock)."""

    member: Member
    updated_ms: float


def merge_member(
    known: dict[str, KnownMember], member: Member, now_ms: float
) -> bool:
    """Take a record; whether it was newer than what was known."""
    current = known.get(member.name)
    if current is not None and current.member.rank >= member.rank:
        return False
    known[member.name] = KnownMember(member=member, updated_ms=now_ms)
    return True


def drop_silent(
    known: dict[str, KnownMember], now_ms: float, silence_ms: float
) -> list[str]:
    """Drop and return members whose records have not risen for long.

    Old records must not go round for ever between nodes that each forget
    and relearn them: ``choose_records`` passes on no record that is past
    half of the silence, so that it dies out within the other half.
    """
    silent = [
        name
        for name, heard in known.items()
        if now_ms - heard.updated_ms > silence_ms
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
    silence_ms: float,
) -> tuple[list[Member], int]:
    """Records to send in one round, and the cursor for the next.

    ``changed`` holds names and in how many more rounds they go first; it
    is brought up to date. The rest of ``count`` is filled in turn.
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
    picked = list(urgent)
    for step in range(len(names)):
        if len(picked) >= count:
            break
        name = names[(cursor + step) % len(names)]
        young = now_ms - known[name].updated_ms <= silence_ms / 2
        if name not in urgent and young:
            picked.append(name)
    advance = len(picked) - len(urgent)
    following = (cursor + max(advance, 1)) % max(1, len(names))
    return [known[name].member for name in picked], following


@attrs.frozen(kw_only=True)
class EndpointObservation:
    """What one probe of an endpoint showed.

    ``age_ms`` is how long ago, at the sender; ages add up on the way, so no
    clocks are compared.
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
    """The ``count`` names with the highest scores, best first.

    All who know the same names choose alike; when a name goes, only its
    own keys move.
    """
    return sorted(names, key=lambda name: score(name, key), reverse=True)[
        :count
    ]


def choose_probe_targets(
    endpoints: typing.Iterable[tuple[str, str]],
    members: typing.Iterable[tuple[str, str]],
    self_id: tuple[str, str],
    probers: int,
    all_most: int,
) -> list[str]:
    """Endpoints that this node probes itself.

    ``endpoints``, ``members`` and ``self_id`` are (name, failure domain).
    Up to ``all_most`` endpoints, every node probes all. Beyond that, every
    node probing all would be 410 x 790 probes a second at the target size,
    so each endpoint is probed by ``probers`` nodes of its own domain, and
    by nodes of any domain where its own has none. Three probers, so that
    one frozen and one replaced at once leave one.
    """
    endpoints = list(endpoints)
    if len(endpoints) <= all_most:
        return [name for name, _ in endpoints]
    nodes = {*members, self_id}
    by_domain: dict[str, list[str]] = {}
    for name, domain in nodes:
        by_domain.setdefault(domain, []).append(name)
    everyone = [name for name, _ in nodes]
    return [
        name
        for name, domain in endpoints
        if self_id[0]
        in choose_highest(by_domain.get(domain, everyone), name, probers)
    ]


def encode_member(member: Member) -> list:
    """Short form of a record between peers."""
    row = list(attrs.astuple(member, recurse=False))
    row[-1] = [list(pair) for pair in member.heir_of]
    return row


def decode_member(row: object) -> Member | None:
    """Read a record; None for one that makes no sense."""
    kinds = (str, str, int, int, str, str, bool, int, list)
    if not isinstance(row, list) or len(row) != len(kinds):
        return None
    for value, kind in zip(row, kinds, strict=True):
        if type(value) is not kind:
            return None
    heirs = []
    for pair in row[-1]:
        match pair:
            case [str() as name, str() as incarnation]:
                heirs.append((name, incarnation))
            case _:
                return None
    fields = [field.name for field in attrs.fields(Member)]
    values = dict(zip(fields, row, strict=True))
    values["heir_of"] = tuple(heirs)
    return Member(**values)


def encode_observation(fact: EndpointObservation) -> list:
    """Short form of an endpoint's fact between peers."""
    return [
        *attrs.astuple(fact)[:4],
        list(fact.versions),
        *attrs.astuple(fact)[5:],
    ]


def decode_observation(row: object) -> EndpointObservation | None:
    """Read an endpoint's fact; None for one that makes no sense."""
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
