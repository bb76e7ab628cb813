"""Who may use the console: login, a signed cookie, and form tokens."""

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
# Guesses at a key wait in one line, so that many connections try no more
# keys a second than one does.
FAILED_LOGIN_DELAY_S = 1.0
MAX_NAME_CHARS = 60


@attrs.frozen
class Operator:
    """Who is logged in, and the token that this login's forms must bear."""

    name: str
    form_token: str


@attrs.define
class Authenticator:
    """Checks logins against the operators' keys of the settings.

    The cookie is signed with those keys and holds all there is to know, so
    that any entry VM honours it. It is not sent along from other sites
    (SameSite), and forms bear a token besides, for browsers that ignore
    that.
    """

    keys: tuple[str, ...]
    _failed_login_lock: trio.Lock = attrs.field(factory=trio.Lock)

    def _signers(self) -> list[itsdangerous.URLSafeTimedSerializer]:
        return [
            itsdangerous.URLSafeTimedSerializer(key, salt="carawayward.login")
            for key in self.keys
        ]

    async def log_in(self, name: str, key: str) -> str | None:
        """A cookie for a good key; None, after a while, for a bad one."""
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
        """Give the browser its cookie."""
        response.set_cookie(
            COOKIE,
            token,
            max_age=LOGIN_TTL_S,
            path="/console",
            httponly=True,
            samesite="strict",
        )

    def get_operator(self, request: http_requests.Request) -> Operator | None:
        """Who sent a request, if logged in."""
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
    """Raise NotAuthenticated for a form that this login was not given."""
    given = values.get("form_token", [""])[0]
    if not hmac.compare_digest(given.encode(), operator.form_token.encode()):
        raise errors.NotAuthenticated(
            "the form is from another login; open the page again"
        )
