"""Which entry VM reads the store on behalf of which others.

Each entry VM needs regular proof that its data is the newest, whether or not
anything changes. If each obtained it by calls of its own, the calls would grow
with the number of entry VMs until the store rejected them. If delegates make
the calls, their clients have to notice when a delegate dies, freezes or is cut
off.

A few entry VMs of each failure domain read the store, and the others query one
of them. All choose by the same hash over the entry VMs that they know, so
there is no election; where two know different sets, a few more read than
necessary. The queries are also the failure detector: a delegate that leaves
several in a row unanswered is skipped until it answers again. Detection takes
as long among a hundred entry VMs as among eight.

A delegate sends long changes to all of its clients, over a link that it shares
with callers. Entry VMs with a wide link are preferred.
"""

import typing

import attrs

from carawayward.decisions import placement

# A delegate sends each client all changes of the endpoints, in a few datagrams
# a second, and queries of all of its clients are answered by one process.
MAX_CLIENTS_PER_DELEGATE = 32
# Consecutive unanswered queries after which a delegate is skipped. A process
# that was itself paused has sent fewer by the time it resumes.
MAX_UNANSWERED = 3
# Interval at which a skipped entry VM is queried again. The first probes go
# out sooner: one that works may have been skipped for a few lost datagrams,
# and a client that reads the store meanwhile gets changes late.
PROBE_MS = 2_000.0
EARLY_PROBE_MS = 800.0
EARLY_PROBES = 3
# The rate from which a link is wide.
WIDE_LINK_MBPS = 50.0


def list_delegates(
    names: typing.Collection[str], wide: typing.Collection[str] = ()
) -> list[str]:
    """The delegates among the entry VMs of a failure domain.

    Those that are ``wide``, that is have a wide link, go first.
    """
    count = -(-len(names) // MAX_CLIENTS_PER_DELEGATE)
    return sorted(
        names, key=lambda name: (name not in wide, placement.hash_key(name))
    )[:count]


def choose_delegate(
    own: str,
    names: typing.Collection[str],
    wide: typing.Collection[str] = (),
) -> str:
    """The delegate of ``own`` among ``names``, which may be ``own`` itself."""
    listed = list_delegates(names, wide)
    if own in listed:
        return own
    return max(listed, key=lambda name: placement.hash_key(f"{own} by {name}"))


def compute_probe_ms(unanswered: int) -> float:
    """How long after its last query a skipped entry VM is queried again."""
    early = unanswered < MAX_UNANSWERED + EARLY_PROBES
    return EARLY_PROBE_MS if early else PROBE_MS


@attrs.define(eq=False)
class DelegateChoice:
    """Which entry VMs one entry VM queries; times in ms on its own clock.

    ``delegate`` is the preferred one, which may be ``own``. ``answering`` is
    the one that answered last: it is queried along with a newly preferred one
    until that has answered, so that a change of delegate leaves no gap.
    """

    own: str
    delegate: str = ""
    answering: str = ""
    unanswered: dict[str, int] = attrs.field(factory=dict)
    probed_ms: dict[str, float] = attrs.field(factory=dict)

    def choose(
        self,
        names: typing.Collection[str],
        wide: typing.Collection[str] = (),
    ) -> str:
        """Choose among the entry VMs of the failure domain.

        Those in ``wide`` have a wide link.
        """
        known = {self.own, *names}
        for by_name in (self.unanswered, self.probed_ms):
            for name in by_name.keys() - known:
                del by_name[name]
        self.delegate = choose_delegate(
            self.own, known - self._list_failed(), wide
        )
        return self.delegate

    def list_targets(self, now_ms: float) -> list[str]:
        """The entry VMs to query now; records a query to each."""
        failed = self._list_failed()
        if self.answering in failed or self.delegate == self.own:
            self.answering = ""
        due = [
            name
            for name in failed
            if now_ms - self.probed_ms.get(name, 0.0)
            >= compute_probe_ms(self.unanswered[name])
        ]
        targets = {self.delegate, self.answering, *due} - {"", self.own}
        for name in targets:
            self.unanswered[name] = self.unanswered.get(name, 0) + 1
            self.probed_ms[name] = now_ms
        return sorted(targets)

    def record_answer(self, name: str) -> None:
        """Record that ``name`` has answered a query."""
        self.unanswered.pop(name, None)
        if name == self.delegate or not self.answering:
            self.answering = name

    def _list_failed(self) -> set[str]:
        return {
            name
            for name, count in self.unanswered.items()
            if count >= MAX_UNANSWERED
        }
