"""Operator login: signed cookies, and form tokens against CSRF."""

import hmac
import secrets
import typing

import attrs
import itsdangerous
from starlette import requests as http_requests
from starlette import responses
import trio

from carawayward import errors

COOKIE = "carawayward-operator"
LOGIN_TTL_S = 8 * 3_600
# Failed logins wait for this one after the other, so that opening many
# connections does not let anyone try more keys per second.
FAILED_LOGIN_DELAY_S = 1.0
MAX_NAME_CHARS = 60


@attrs.frozen
class Operator:
    """A logged-in operator and the token that the login's forms must send."""

    name: str
    form_token: str


@attrs.define
class Authenticator:
    """Checks logins against the operators' keys of the settings.

    The cookie is signed with those keys and holds the operator's name and
    form token, so any entry VM with the same keys accepts it. Requests from
    other sites do not carry it (SameSite); the form token protects browsers
    that ignore SameSite.
    """

    keys: tuple[str, ...]
    _failed_login_lock: trio.Lock = attrs.field(factory=trio.Lock)

    def _signers(self) -> list[itsdangerous.URLSafeTimedSerializer]:
        return [
            itsdangerous.URLSafeTimedSerializer(key, salt="carawayward.login")
            for key in self.keys
        ]

    async def log_in(self, name: str, key: str) -> str | None:
        """Return a cookie, or None after a delay for a wrong key or name."""
        good = any(
            hmac.compare_digest(key.encode(), each.encode())
            for each in self.keys
        )
        if not good or not name or not name.isprintable():
            async with self._failed_login_lock:
                await trio.sleep(FAILED_LOGIN_DELAY_S)
            return None
        identity = [name[:MAX_NAME_CHARS], secrets.token_hex(16)]
        token = self._signers()[0].dumps(identity)
        return token if isinstance(token, str) else token.decode()

    def set_cookie(self, response: responses.Response, token: str) -> None:
        """Set the login cookie on a response."""
        response.set_cookie(
            COOKIE,
            token,
            max_age=LOGIN_TTL_S,
            path="/console",
            httponly=True,
            samesite="strict",
        )

    def get_operator(self, request: http_requests.Request) -> Operator | None:
        """Return the operator who sent a request; None if not logged in."""
        token = request.cookies.get(COOKIE, "")
        for signer in self._signers():
            try:
                found = signer.loads(token, max_age=LOGIN_TTL_S)
            except itsdangerous.BadData:
                continue
            match found:
                case [str() as name, str() as form_token]:
                    return Operator(name, form_token)
        return None


def check_form_token(
    operator: Operator, values: typing.Mapping[str, list[str]]
) -> None:
    """Raise NotAuthenticated unless the form has this login's token."""
    given = values.get("form_token", [""])[0]
    if not hmac.compare_digest(given.encode(), operator.form_token.encode()):
        raise errors.NotAuthenticated(
            "the form belongs to another login; open the page again"
        )
