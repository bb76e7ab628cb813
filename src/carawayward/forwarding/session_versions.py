"""On which version each session goes on.

A session that changes its version amid a roll-out mixes the answers of two.
"""

import collections
import typing

import attrs

from carawayward import clock as clock_module

# Bound of the sessions that are remembered: some 4 MB.
MOST_SESSIONS = 20_000
# A session whose last request is older than its time limit by this part may
# still be counted as going on by another clock.
SESSION_SLACK = 1.2


@attrs.define(eq=False)
class SessionVersions:
    """The version that each session's last request went to.

    Versions are named as roll-outs name them; an empty one is whatever was
    there before. They are remembered while no roll-out is ordered too: a
    session that begins just before the order is held to the old version.
    """

    clock: clock_module.Clock
    find_session_ms: typing.Callable[[], float]
    last: collections.OrderedDict[tuple[str, str], tuple[str, float]] = (
        attrs.field(factory=collections.OrderedDict)
    )

    def record(self, service: str, session: str, version: str) -> None:
        """A request of a session goes to a version; "" is no session."""
        if not session:
            return
        self.last[service, session] = (version, self.clock.now_ms())
        self.last.move_to_end((service, session))
        self._drop_old()

    def touch(self, service: str, session: str) -> None:
        """A request of a session has ended; its time runs from here."""
        known = self.last.get((service, session))
        if known is not None:
            self.record(service, session, known[0])

    def find(self, service: str, session: str) -> str | None:
        """The version of a session that still goes on, else None."""
        known = self.last.get((service, session))
        if known is None or self._is_over(known[1]):
            return None
        return known[0]

    def _is_over(self, last_ms: float) -> bool:
        age_ms = self.clock.now_ms() - last_ms
        return age_ms >= SESSION_SLACK * self.find_session_ms()

    def _drop_old(self) -> None:
        while self.last:
            oldest = next(iter(self.last))
            if len(self.last) <= MOST_SESSIONS and not self._is_over(
                self.last[oldest][1]
            ):
                return
            del self.last[oldest]
