"""Signed session and ticket tokens that any entry VM can verify.

The token carries its whole state, so restarts and partitions cannot lose
it. Tokens are signed with itsdangerous; two keys are accepted at a time so
that operators can rotate them.
"""

import secrets

import attrs
import itsdangerous

from carawayward import errors


@attrs.frozen(kw_only=True)
class Session:
    """A session and the versions it is pinned to (model to version).

    ``expires_ms`` is wall-clock time; a token is valid no longer than the
    key that signed it.
    """

    session_id: str
    customer: str
    pins: dict[str, str]
    revision: int
    expires_ms: int


@attrs.frozen(kw_only=True)
class Ticket:
    """Permission to run one non-repeatable request.

    Only the incarnation that issued it may run it. That incarnation marks
    it used in memory before the first byte is sent, so a pause of any
    length cannot lead to a second run.
    """

    ticket_id: str
    customer: str
    issuer: str
    incarnation: str
    expires_ms: int


@attrs.frozen
class Signer:
    """Signs with the newest key; verifies with it and the previous one."""

    keys: tuple[str, ...]

    def sign(self, value: Session | Ticket) -> str:
        """Return a URL-safe token."""
        kind = type(value).__name__
        return self._serializer(kind).dumps(attrs.asdict(value))

    def read_session(self, token: str) -> Session:
        """Verify and decode a session token."""
        return Session(**self._load("Session", token))

    def read_ticket(self, token: str) -> Ticket:
        """Verify and decode a ticket; its issuer checks its expiry."""
        return Ticket(**self._load("Ticket", token))

    def _load(self, kind: str, token: str) -> dict:
        try:
            return self._serializer(kind).loads(token)
        except itsdangerous.BadData:
            raise errors.InvalidToken(
                f"the {kind.lower()} token is forged or damaged; open or "
                "take a new one"
            ) from None

    def _serializer(self, kind: str) -> itsdangerous.URLSafeSerializer:
        # itsdangerous signs with the last key and verifies against all.
        return itsdangerous.URLSafeSerializer(
            list(reversed(self.keys)), salt=f"carawayward.{kind}"
        )


def issue_ticket(
    customer: str, issuer: str, incarnation: str, expires_ms: int
) -> Ticket:
    """Create a ticket with a new random id."""
    return Ticket(
        ticket_id=secrets.token_hex(12),
        customer=customer,
        issuer=issuer,
        incarnation=incarnation,
        expires_ms=expires_ms,
    )
