"""Remembers which version each session uses.

A session that changed its version during a roll-out would mix the answers of
two versions.
"""

import collections
import typing

import attrs

from carawayward import clock as clock_module

# Limits memory to some 4 MB.
MAX_SESSIONS = 20_000
# Sessions are kept for longer than their timeout by this factor: on another
# clock a session may not have expired yet.
SESSION_TIMEOUT_FACTOR = 1.2


@attrs.define(eq=False)
class SessionVersions:
    """The version that each session's last request went to.

    Versions have the names that roll-out orders give; the empty one is the
    version before the roll-out. Sessions are recorded also while there is no
    roll-out, so that one that began right before an order stays on the old
    version.
    """

    clock: clock_module.Clock
    get_session_timeout_ms: typing.Callable[[], float]
    last: collections.OrderedDict[tuple[str, str], tuple[str, float]] = (
        attrs.field(factory=collections.OrderedDict)
    )

    def record(self, service: str, session: str, version: str) -> None:
        """Record a session's version; an empty session is ignored."""
        if not session:
            return
        self.last[service, session] = (version, self.clock.now_ms())
        self.last.move_to_end((service, session))
        self._evict()

    def touch(self, service: str, session: str) -> None:
        """Restart a session's timeout, at the end of a request."""
        known = self.last.get((service, session))
        if known is not None:
            self.record(service, session, known[0])

    def find(self, service: str, session: str) -> str | None:
        """Return the version of a session; None if unknown or expired."""
        known = self.last.get((service, session))
        if known is None or self._is_expired(known[1]):
            return None
        return known[0]

    def _is_expired(self, last_ms: float) -> bool:
        age_ms = self.clock.now_ms() - last_ms
        return age_ms >= SESSION_TIMEOUT_FACTOR * self.get_session_timeout_ms()

    def _evict(self) -> None:
        while self.last:
            oldest = next(iter(self.last))
            if len(self.last) <= MAX_SESSIONS and not self._is_expired(
                self.last[oldest][1]
            ):
                return
            del self.last[oldest]
