"""Sessions: opened here, honoured by every entry VM.

The signed token is the session's state, so restarts and partitions cannot
lose it. A caller that keeps only a bare id is looked up at the id's home
nodes, which pin it in memory; that pin lasts as long as one of them does,
and the reply's token is the way to make it last longer.
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
TOKEN_MOST_CHARS = 8_000
NO_VERSION = ""
BARE_ID_MOST_CHARS = 100
HOMES = 2
HOME_TIMEOUT_MS = 400.0
# Some 200 bytes each: 20,000 sessions with bare ids stay under 4 MB.
PINNED_MOST = 20_000

Key = tuple[str, str]


@attrs.define
class Sessions:
    """Opens sessions and finds what a session is pinned to."""

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    hub: hub_module.PeerHub
    signer: tokens.Signer
    pinned: dict[Key, dict[str, str]] = attrs.field(factory=dict)

    def listen(self) -> None:
        """Be a home node for peers."""
        self.hub.handle("session.find", self._answer_find)
        self.hub.handle("session.pin", self._answer_pin)

    def open(self, customer: declaration.Customer) -> tokens.Session:
        """Pin each of the customer's models to the version it has now."""
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
        """The pins of a token, or of a bare session id."""
        if len(text) > TOKEN_MOST_CHARS:
            raise errors.InvalidToken(
                f"the session token has {len(text)} characters; send the "
                "one that the opening answer gave"
            )
        if "." not in text:
            return mark_unpinned(
                customer, await self._read_bare(text, customer)
            )
        session = self.signer.read_session(text)
        if session.customer != customer.name:
            raise errors.InvalidToken("the session is another customer's")
        if self.clock.wall_ms() > session.expires_ms:
            raise errors.InvalidToken("the session has ended; open a new one")
        return mark_unpinned(customer, session.pins)

    def _choose_pins(
        self, customer: declaration.Customer, session_id: str
    ) -> dict[str, str]:
        """Versions for a new session; none that may not start one here.

        A canary gets its share of the ids; see gateway/planning.
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

    async def _read_bare(
        self, text: str, customer: declaration.Customer
    ) -> dict[str, str]:
        if len(text) > BARE_ID_MOST_CHARS or not text.isprintable():
            raise errors.InvalidToken(
                "the session id is not printable or too long; send at most "
                f"{BARE_ID_MOST_CHARS} characters"
            )
        key = (customer.name, text)
        homes = self._find_homes(key)
        for home in homes:
            pins = await self._ask(home, "session.find", key, {})
            if pins is not None:
                return pins
        # The first home that answers decides, so that two callers which
        # open the same id through two nodes get the same versions.
        proposed = self._choose_pins(customer, text)
        for index, home in enumerate(homes):
            pins = await self._ask(home, "session.pin", key, proposed)
            if pins is not None:
                for copy in homes[index + 1 :]:
                    await self._ask(copy, "session.pin", key, pins)
                return pins
        return self._pin(key, proposed)

    def _find_homes(self, key: Key) -> list[str]:
        """Homes of all entry VMs, then those of this failure domain.

        The first ones make an id that is used in two domains one session;
        the others are for when this domain is cut off.
        """
        here = self.board.failure_domain
        staying = [v for v in self.board.entry_vms.values() if not v.leaving]
        near = [vm.name for vm in staying if vm.failure_domain == here]
        text = "|".join(key)
        own = self.board.name
        homes = membership.choose_highest(
            [*(vm.name for vm in staying), own], text, HOMES
        )
        homes += membership.choose_highest([*near, own], text, HOMES)
        return list(dict.fromkeys(homes))

    async def _ask(
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
        if key not in self.pinned and len(self.pinned) >= PINNED_MOST:
            self.pinned.pop(next(iter(self.pinned)))
        return self.pinned.setdefault(key, pins)

    async def _answer_find(
        self, peer: str, body: typing.Any
    ) -> dict[str, str] | None:
        customer, session_id = body["key"]
        return self.pinned.get((customer, session_id))

    async def _answer_pin(self, peer: str, body: typing.Any) -> dict[str, str]:
        customer, session_id = body["key"]
        pins = {str(m): str(v) for m, v in body["pins"].items()}
        return self._pin((str(customer), str(session_id)), pins)


def mark_unpinned(
    customer: declaration.Customer, pins: dict[str, str]
) -> dict[str, str]:
    """Pins with "no version" for each model that the session has none of.

    Such a model had no version to start a session when this one opened. If
    it were left out, the session would be served by whichever version is
    current at each request, and so change versions on the way.
    """
    return {**dict.fromkeys(customer.models, NO_VERSION), **pins}
