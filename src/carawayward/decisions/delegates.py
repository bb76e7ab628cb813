"""Which entry VM reads the store for which others.

Load: each entry VM proves by calls of its own that what it knows is the
newest, whether anything changes or not. Failure prevented: calls grow with
the entry VMs until the store turns them away, or their delegates die, freeze
or are cut off and nobody notices.

A few entry VMs of each failure domain read, and the others query one of them.
All choose by the same hash over those that they know, so that nobody is
elected; where two know different ones, a few more read than need to. The
queries are the failure detector: whoever leaves several of them in a row
unanswered is passed over until it answers again, which takes as long to find
out among a hundred entry VMs as among eight.
"""

import typing

import attrs

from carawayward.decisions import placement

# A delegate sends each client some three reports a second.
MAX_CLIENTS_PER_DELEGATE = 16
# Queries in a row without an answer after which a delegate is passed over. A
# process that was paused itself has sent fewer when it goes on.
MAX_UNANSWERED = 3
# How often an entry VM that is passed over is queried again.
PROBE_MS = 2_000.0


def list_delegates(names: typing.Collection[str]) -> list[str]:
    """The delegates among the entry VMs of a failure domain."""
    count = -(-len(names) // MAX_CLIENTS_PER_DELEGATE)
    return sorted(names, key=placement.hash_key)[:count]


def choose_delegate(own: str, names: typing.Collection[str]) -> str:
    """Who reads for ``own``, among ``names`` with itself; maybe itself."""
    listed = list_delegates(names)
    if own in listed:
        return own
    return max(listed, key=lambda name: placement.hash_key(f"{own} by {name}"))


@attrs.define(eq=False)
class DelegateChoice:
    """Whom one entry VM queries; times in ms on its own clock.

    ``delegate`` is the one preferred, itself where ``own``. ``answering`` is
    who answered last: it is queried along with a newly preferred one until
    that has answered, so that a change of delegate leaves no gap.
    """

    own: str
    delegate: str = ""
    answering: str = ""
    unanswered: dict[str, int] = attrs.field(factory=dict)
    probed_ms: dict[str, float] = attrs.field(factory=dict)

    def choose(self, names: typing.Collection[str]) -> str:
        """Choose among the entry VMs of the failure domain."""
        known = {self.own, *names}
        for kept in (self.unanswered, self.probed_ms):
            for name in kept.keys() - known:
                del kept[name]
        self.delegate = choose_delegate(self.own, known - self._list_failed())
        return self.delegate

    def list_targets(self, now_ms: float) -> list[str]:
        """Whom to query now; each counts as queried."""
        failed = self._list_failed()
        if self.answering in failed or self.delegate == self.own:
            self.answering = ""
        due = [
            name
            for name in failed
            if now_ms - self.probed_ms.get(name, 0.0) >= PROBE_MS
        ]
        targets = {self.delegate, self.answering, *due} - {"", self.own}
        for name in targets:
            self.unanswered[name] = self.unanswered.get(name, 0) + 1
            self.probed_ms[name] = now_ms
        return sorted(targets)

    def record_answer(self, name: str) -> None:
        """``name`` has answered a query."""
        self.unanswered.pop(name, None)
        if name == self.delegate or not self.answering:
            self.answering = name

    def _list_failed(self) -> set[str]:
        return {
            name
            for name, count in self.unanswered.items()
            if count >= MAX_UNANSWERED
        }
