"""Sessions, which any entry VM can open and serve.

The signed session token holds the whole state of a session, so restarts and
partitions cannot lose it. If a caller sends only a session id, its pins are
kept in memory at the id's home nodes. Those pins are lost when all of the
home nodes are; a caller that needs more durable pins sends the token.
"""

import secrets
import typing

import attrs

from carawayward import blackboard as blackboard_module
from carawayward import clock as clock_module
from carawayward import declaration
from carawayward import errors
from carawayward.gateway import planning
from carawayward.peers import hub as hub_module
from carawayward.protocol import freshness
from carawayward.protocol import membership
from carawayward.protocol import tokens

SESSION_TTL_MS = 86_400_000
MAX_TOKEN_CHARS = 8_000
NO_VERSION = ""
MAX_BARE_ID_CHARS = 100
HOME_COUNT = 2
HOME_TIMEOUT_MS = 400.0
# At some 200 bytes each, 20,000 sessions with bare ids stay under 4 MB.
MAX_PINNED = 20_000

Key = tuple[str, str]


@attrs.define
class Sessions:
    """Opens sessions and finds the versions that a session is pinned to."""

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    hub: hub_module.PeerHub
    signer: tokens.Signer
    pinned: dict[Key, dict[str, str]] = attrs.field(factory=dict)

    def listen(self) -> None:
        """Register the handlers that make this node a home for peers' ids."""
        self.hub.handle("session.find", self._handle_find)
        self.hub.handle("session.pin", self._handle_pin)

    def open(self, customer: declaration.Customer) -> tokens.Session:
        """Pin each of the customer's models to its current version."""
        config = self.board.config
        assert config is not None
        session_id = secrets.token_hex(12)
        return tokens.Session(
            session_id=session_id,
            customer=customer.name,
            pins=self._choose_pins(customer, session_id),
            revision=config.revision,
            expires_ms=self.clock.wall_ms() + SESSION_TTL_MS,
        )

    async def read_pins(
        self, text: str, customer: declaration.Customer
    ) -> dict[str, str]:
        """Return the pins of a session token or of a bare session id."""
        if len(text) > MAX_TOKEN_CHARS:
            raise errors.InvalidToken(
                f"the session token has {len(text)} characters; send the "
                "one that the opening answer gave"
            )
        if "." not in text:
            return fill_unpinned(
                customer, await self._read_bare_id(text, customer)
            )
        session = self.signer.read_session(text)
        if session.customer != customer.name:
            raise errors.InvalidToken("the session is another customer's")
        if self.clock.wall_ms() > session.expires_ms:
            raise errors.InvalidToken("the session has ended; open a new one")
        return fill_unpinned(customer, session.pins)

    def _choose_pins(
        self, customer: declaration.Customer, session_id: str
    ) -> dict[str, str]:
        """Choose versions for a new session.

        Versions that may not start sessions on this node now are left out.
        Canaries get their share of the ids; see ``planning.choose_pins``.
        """
        config = self.board.config
        assert config is not None
        fresh = self.board.is_fresh(self.clock.now_ms())
        pins = planning.choose_pins(self.board, customer, session_id)
        return {
            model: version
            for model, version in pins.items()
            if freshness.may_start(config.versions[version], fresh)
        }

    async def _read_bare_id(
        self, text: str, customer: declaration.Customer
    ) -> dict[str, str]:
        if len(text) > MAX_BARE_ID_CHARS or not text.isprintable():
            raise errors.InvalidToken(
                "the session id is not printable or too long; send at most "
                f"{MAX_BARE_ID_CHARS} characters"
            )
        key = (customer.name, text)
        homes = self._choose_homes(key)
        for home in homes:
            pins = await self._call_home(home, "session.find", key, {})
            if pins is not None:
                return pins
        # The first home that answers decides, so that two callers that use
        # a new id through different nodes at once get the same versions.
        proposed = self._choose_pins(customer, text)
        for index, home in enumerate(homes):
            pins = await self._call_home(home, "session.pin", key, proposed)
            if pins is not None:
                for copy in homes[index + 1 :]:
                    await self._call_home(copy, "session.pin", key, pins)
                return pins
        return self._pin(key, proposed)

    def _choose_homes(self, key: Key) -> list[str]:
        """Choose homes among all entry VMs, then within this failure domain.

        The first ones are the same in every domain, so that an id used in
        two domains is one session. The others serve while this domain is cut
        off.
        """
        own_domain = self.board.failure_domain
        staying = [v for v in self.board.entry_vms.values() if not v.leaving]
        in_domain = [
            vm.name for vm in staying if vm.failure_domain == own_domain
        ]
        text = "|".join(key)
        own = self.board.name
        homes = membership.choose_highest(
            [*(vm.name for vm in staying), own], text, HOME_COUNT
        )
        homes += membership.choose_highest([*in_domain, own], text, HOME_COUNT)
        return list(dict.fromkeys(homes))

    async def _call_home(
        self, home: str, kind: str, key: Key, pins: dict[str, str]
    ) -> dict[str, str] | None:
        if home == self.board.name:
            if kind == "session.pin":
                return self._pin(key, pins)
            return self.pinned.get(key)
        body = {"key": list(key), "pins": pins}
        try:
            return await self.hub.call(home, kind, body, HOME_TIMEOUT_MS)
        except errors.PeerUnavailable:
            return None

    def _pin(self, key: Key, pins: dict[str, str]) -> dict[str, str]:
        if key not in self.pinned and len(self.pinned) >= MAX_PINNED:
            self.pinned.pop(next(iter(self.pinned)))
        return self.pinned.setdefault(key, pins)

    async def _handle_find(
        self, peer: str, body: typing.Any
    ) -> dict[str, str] | None:
        customer, session_id = body["key"]
        return self.pinned.get((customer, session_id))

    async def _handle_pin(self, peer: str, body: typing.Any) -> dict[str, str]:
        customer, session_id = body["key"]
        pins = {str(m): str(v) for m, v in body["pins"].items()}
        return self._pin((str(customer), str(session_id)), pins)


def fill_unpinned(
    customer: declaration.Customer, pins: dict[str, str]
) -> dict[str, str]:
    """Add ``NO_VERSION`` for each model that the session has no pin for.

    Such a model had no version that could start a session when this one was
    opened. Without an entry, each request would be served by the version
    current at the time, so the session could change versions midway.
    """
    return {**dict.fromkeys(customer.models, NO_VERSION), **pins}
