"""Remembers which version each session uses.

A session that changed its version during a roll-out would mix the answers of
two versions.
"""

import collections
import itertools
import typing

import attrs

from carawayward import clock as clock_module

# Limits memory to some 4 MB.
MAX_SESSIONS = 20_000
# Listing more would take a slow machine several ms.
MAX_LISTED = 2_000
# Sessions are kept for longer than their timeout by this factor: on another
# clock a session may not have expired yet.
SESSION_TIMEOUT_FACTOR = 1.2

# Service and session.
Key = tuple[str, str]


@attrs.define
class SessionUse:
    """The version that a session's last run used, and when that was.

    A session does not expire while any of its runs is ``in_flight``.
    """

    version: str
    last_ms: float
    in_flight: int = 0


@attrs.define(eq=False)
class SessionVersions:
    """The version that each session's last request ran on.

    Sessions are recorded also while there is no roll-out, so that one that
    began right before an order stays on the old version.
    """

    clock: clock_module.Clock
    get_session_timeout_ms: typing.Callable[[], float]
    uses: collections.OrderedDict[Key, SessionUse] = attrs.field(
        factory=collections.OrderedDict
    )

    def record(self, service: str, session: str, version: str) -> None:
        """Record a session's version; an empty session is ignored."""
        self._record(service, session, version, 0)

    def begin(self, service: str, session: str, version: str) -> None:
        """Record the start of a run on an endpoint of ``version``."""
        self._record(service, session, version, 1)

    def end(self, service: str, session: str, version: str) -> None:
        """Record the end of a run, which restarts the session's timeout."""
        self._record(service, session, version, -1)

    def find(self, service: str, session: str) -> str | None:
        """Return the version of a session; None if unknown or expired."""
        use = self.uses.get((service, session))
        if use is None or self._is_expired(use):
            return None
        return use.version

    def list_current(
        self, service: str
    ) -> typing.Iterator[tuple[str, SessionUse]]:
        """List the sessions of a service that were used last."""
        newest = itertools.islice(reversed(self.uses.items()), MAX_LISTED)
        for (name, session), use in newest:
            if name == service and not self._is_expired(use):
                yield session, use

    def _record(
        self, service: str, session: str, version: str, begun: int
    ) -> None:
        if not session:
            return
        key = (service, session)
        use = self.uses.setdefault(key, SessionUse(version, 0.0))
        use.version, use.last_ms = version, self.clock.now_ms()
        use.in_flight = max(0, use.in_flight + begun)
        self.uses.move_to_end(key)
        self._evict()

    def compute_timeout_ms(self) -> float:
        """How long a session is kept after its last request."""
        return SESSION_TIMEOUT_FACTOR * self.get_session_timeout_ms()

    def _is_expired(self, use: SessionUse) -> bool:
        age_ms = self.clock.now_ms() - use.last_ms
        return not use.in_flight and age_ms >= self.compute_timeout_ms()

    def _evict(self) -> None:
        while self.uses:
            oldest = next(iter(self.uses.values()))
            if len(self.uses) <= MAX_SESSIONS and not self._is_expired(oldest):
                return
            self.uses.popitem(last=False)
