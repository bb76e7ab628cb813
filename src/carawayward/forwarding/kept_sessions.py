"""Exchanges which sessions are kept on a version against their draw.

Entry VMs draw alike, so a session whose draw and version agree stays on its
version wherever its requests arrive. One that began before the order, or when
the share was another, is known to its own entry VM only. If that stops or the
platform sends the client to another one, the session would change its version.
"""

import collections
import typing

import attrs

from carawayward.decisions import canary
from carawayward.decisions import placement
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import message_types
from carawayward.forwarding import report_values
from carawayward.forwarding import session_versions

# Maximum number of sessions in a report, for each roll-out and version. Those
# whose draw is the furthest from their version come first.
MAX_REPORTED = 64
# Limits memory to some 3 MB.
MAX_KNOWN = 20_000
# How often the reported sessions are selected anew.
SELECTION_INTERVAL_MS = 200.0

# Service, new version and number of a session.
Key = tuple[str, str, int]


def draw(version: str, name: str) -> float:
    """Draw a number from 0 to 1, the same on every entry VM.

    ``name`` identifies a session, or a request that belongs to none.
    """
    return placement.hash_key(f"{version}/{name}") / 2.0**64


@attrs.frozen
class Selection:
    """The sessions last selected for a roll-out, and when that was."""

    at_ms: float
    on_old: list[int]
    on_new: list[int]


@attrs.define(eq=False)
class KeptSessions:
    """The sessions that this entry VM and its peers keep on their versions.

    ``known`` says of the peers' sessions whether they are on the new version,
    and until when that is valid.
    """

    sessions: session_versions.SessionVersions
    known: collections.OrderedDict[Key, tuple[bool, float]] = attrs.field(
        factory=collections.OrderedDict
    )
    selections: dict[message_types.RolloutOrder, Selection] = attrs.field(
        factory=dict
    )

    def find(
        self, order: message_types.RolloutOrder, session: str
    ) -> bool | None:
        """Whether a peer keeps a session on the new version; None if none."""
        number = load_report_messages.hash_name(session)
        new, expires_ms = self.known.get(
            (order.service, order.version, number), (False, 0.0)
        )
        return new if self._now_ms() < expires_ms else None

    def describe(
        self, order: message_types.RolloutOrder, early: bool
    ) -> list | None:
        """The sessions to report; None if there are none.

        ``early`` is set while sessions stay on the old version; later on they
        may move to the new one.
        """
        selection = self.selections.get(order)
        now_ms = self._now_ms()
        if (
            selection is None
            or now_ms - selection.at_ms >= SELECTION_INTERVAL_MS
        ):
            selection = self._select(order, early)
            self.selections = {
                other: each
                for other, each in self.selections.items()
                if other.service != order.service
            }
            self.selections[order] = selection
        if not selection.on_old and not selection.on_new:
            return None
        return [
            order.service,
            order.version,
            selection.on_old,
            selection.on_new,
        ]

    def merge(self, value: typing.Any) -> None:
        """Merge the sessions that a peer keeps.

        Raises ValueError or TypeError if they are malformed.
        """
        service, version, on_old, on_new = value
        expires_ms = self._now_ms() + self.sessions.compute_timeout_ms()
        for new, numbers in ((False, on_old), (True, on_new)):
            for number in numbers[:MAX_REPORTED]:
                key = (
                    str(service),
                    str(version),
                    report_values.check_count(number),
                )
                self.known[key] = (new, expires_ms)
                self.known.move_to_end(key)
        while self.known:
            _, oldest_ms = next(iter(self.known.values()))
            if len(self.known) <= MAX_KNOWN and self._now_ms() < oldest_ms:
                return
            self.known.popitem(last=False)

    def _select(
        self, order: message_types.RolloutOrder, early: bool
    ) -> Selection:
        on_old, on_new = [], []
        for session, use in self.sessions.list_current(order.service):
            new = use.version == order.version
            if not new and not early:
                continue
            drawn = draw(order.version, session)
            if new:
                on_new.append((-drawn, session))
            elif drawn < canary.MAX_SHARE:
                on_old.append((drawn, session))
        return Selection(
            self._now_ms(), _number_first(on_old), _number_first(on_new)
        )

    def _now_ms(self) -> float:
        return self.sessions.clock.now_ms()


def _number_first(sessions: list[tuple[float, str]]) -> list[int]:
    """The numbers of the first sessions in their order."""
    return [
        load_report_messages.hash_name(session)
        for _, session in sorted(sessions)[:MAX_REPORTED]
    ]
