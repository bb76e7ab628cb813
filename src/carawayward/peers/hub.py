"""The links of this entry VM: who is linked, and what answers messages."""

import functools
import logging
import secrets
import typing

import attrs
import trio
import websockets
from websockets.trio import client as ws_client
from websockets.trio import server as ws_server

from carawayward import blackboard as blackboard_module
from carawayward import clock as clock_module
from carawayward import errors
from carawayward import events
from carawayward import listening
from carawayward.peers import dialling
from carawayward.peers import link as link_module
from carawayward.peers import messages
from carawayward.protocol import handshake
from carawayward.protocol import topology
from carawayward import settings as settings_module

HANDSHAKE_S = 3.0
DIAL_TIMEOUT_MS = 3_000.0
CLOSE_S = 0.5
# The longest message is a whole configuration document.
MAX_MESSAGE_BYTES = 4_000_000
# Connections whose other side has not proved who it is yet. Junk on the
# port can hold no more than these, and each for HANDSHAKE_S only.
MAX_UNPROVEN = 32
# A link that another one has replaced may still carry answers for a while.
LINGER_S = 2.0
UNKNOWN_POLL_S = 0.05

Handler = typing.Callable[[str, typing.Any], typing.Awaitable[typing.Any]]
Greeter = typing.Callable[[str], typing.Awaitable[None]]


@attrs.define(eq=False)
class PeerHub:
    """All links of this entry VM, and what handles each message kind.

    ``links`` holds open links only. One that closes leaves it at that
    moment; its task may take CLOSE_S to end, and a call meanwhile would
    get "link lost" instead of a new link.
    """

    settings: settings_module.Settings
    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    choose_peers: dialling.Choose = topology.choose_peers
    links: dict[str, link_module.Link] = attrs.field(factory=dict)
    handlers: dict[str, Handler] = attrs.field(factory=dict)
    _unproven: int = 0
    _nursery: trio.Nursery | None = None
    _dialler: dialling.Dialler = attrs.field(init=False)
    _greeters: list[Greeter] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self._dialler = dialling.Dialler(self, self.choose_peers)

    def handle(self, kind: str, handler: Handler) -> None:
        """Register what answers messages of ``kind``."""
        self.handlers[kind] = handler

    def greet_with(self, greeter: Greeter) -> None:
        """Register what is called with the name of each new link's peer."""
        self._greeters.append(greeter)

    async def start(self, nursery: trio.Nursery) -> None:
        """Listen for peers, and keep links to those that are chosen."""
        self._nursery = nursery
        tls = self.settings.tls.peers
        host, port = settings_module.split_address(self.settings.listen.peers)
        await nursery.start(
            functools.partial(
                ws_server.serve,
                self._accept,
                port,
                host=host,
                ssl=listening.make_server_context(tls) if tls else None,
                open_timeout=HANDSHAKE_S,
                create_connection=PeerConnection,
                logger=make_logger(),
                **SOCKET_LIMITS,
            )
        )
        self._dialler.start(nursery)

    async def close(self) -> None:
        """Close all links, after what is queued has had a moment to go."""
        if self.links:
            await trio.sleep(CLOSE_S)
        for link in list(self.links.values()):
            link.close()

    async def call(
        self, peer: str, kind: str, body: object, timeout_ms: float
    ) -> typing.Any:
        """Call a peer and return its answer; dial it if need be.

        Raises PeerUnavailable without a link or an answer in time; the
        call may then have been carried out.
        """
        began_ms = self.clock.now_ms()
        link = self.links.get(peer)
        if link is None:
            link = await self.reach(peer, timeout_ms)
        spent_ms = self.clock.now_ms() - began_ms
        return await link.call(kind, body, max(timeout_ms - spent_ms, 1.0))

    async def reach(
        self, peer: str, timeout_ms: float = DIAL_TIMEOUT_MS
    ) -> link_module.Link:
        """The link to a named peer, made now if there is none.

        Raises PeerUnavailable when the peer's address does not become
        known in time or it does not answer there.
        """
        with trio.move_on_after(min(timeout_ms, DIAL_TIMEOUT_MS) / 1000):
            # A claim or a ticket may name a peer that started a moment ago
            # and of which only the log or the caller has told so far.
            while peer not in self.links:
                known = self.board.entry_vms.get(peer)
                if known is not None:
                    await self._dialler.dial_now(known.address, peer)
                    break
                await trio.sleep(UNKNOWN_POLL_S)
        link = self.links.get(peer)
        if link is None:
            raise errors.PeerUnavailable(f"peer {peer}: no link")
        return link

    def has_tried(self) -> bool:
        """Whether each seed is linked or has just failed to answer."""
        return self._dialler.has_tried()

    def choose_linked(self) -> frozenset[str]:
        """Names of the peers that this entry VM keeps links to."""
        return self._dialler.choose()

    async def tell(self, peer: str, kind: str, body: object) -> None:
        """Send a message that wants no answer; a lost one is not noticed."""
        link = self.links.get(peer)
        if link is not None:
            try:
                link.send(messages.Message(kind, body))
            except errors.PeerUnavailable:
                return

    async def tell_all(self, kind: str, body: object) -> None:
        """Send a message to every linked peer."""
        for peer in list(self.links):
            await self.tell(peer, kind, body)

    async def _accept(self, socket: ws_server.ServerConnection) -> None:
        if self._unproven >= MAX_UNPROVEN:
            self._refuse("too many connections without proof")
            return
        self._unproven += 1
        try:
            with trio.fail_after(HANDSHAKE_S):
                identity = await self._admit(socket)
        except errors.NotAuthenticated as fault:
            self._refuse(str(fault))
            return
        except (trio.TooSlowError, websockets.ConnectionClosed, OSError):
            self._refuse("no proof in time")
            return
        finally:
            self._unproven -= 1
        await self._run_link(identity, socket, dialled=False)

    async def _admit(self, socket: typing.Any) -> handshake.Identity:
        """Challenge whoever connected, then prove who we are."""
        keys = self.settings.keys.peers
        challenge = secrets.token_bytes(handshake.NONCE_BYTES)
        await socket.send(challenge)
        proof = handshake.check_proof(
            keys, handshake.DIALLER, challenge, await socket.recv()
        )
        reply = handshake.prove(
            keys, handshake.LISTENER, proof.nonce, challenge, self.identity
        )
        await socket.send(reply)
        return proof.identity

    async def dial(self, address: str) -> None:
        """Connect to an address and carry messages until the link ends.

        Raises one of dialling.FAILURES, alone or in a group, when no link
        comes about.
        """
        tls = self.settings.tls.peers
        scheme = "wss" if tls else "ws"
        async with ws_client.connect(
            f"{scheme}://{address}/",
            ssl=listening.make_client_context(tls) if tls else None,
            proxy=None,
            open_timeout=HANDSHAKE_S,
            **SOCKET_LIMITS,
        ) as socket:
            with trio.fail_after(HANDSHAKE_S):
                identity = await self._introduce(socket)
            self._dialler.record_arrival(address, identity.address)
            await self._run_link(identity, socket, dialled=True)

    async def _introduce(self, socket: typing.Any) -> handshake.Identity:
        """Answer the challenge, then check who answered ours."""
        keys = self.settings.keys.peers
        challenge = await socket.recv()
        if not isinstance(challenge, bytes):
            raise errors.NotAuthenticated("the peer sent no challenge")
        nonce = secrets.token_bytes(handshake.NONCE_BYTES)
        await socket.send(
            handshake.prove(
                keys, handshake.DIALLER, challenge, nonce, self.identity
            )
        )
        proof = handshake.check_proof(
            keys, handshake.LISTENER, nonce, await socket.recv()
        )
        if proof.nonce != challenge:
            raise errors.NotAuthenticated(
                "the peer answered another challenge"
            )
        return proof.identity

    @property
    def identity(self) -> handshake.Identity:
        """What this entry VM says of itself."""
        return handshake.Identity(
            self.board.name,
            self.board.incarnation,
            self.board.failure_domain,
            self.settings.listen.peers,
        )

    def _refuse(self, detail: str) -> None:
        events.log_event(events.Event.PEER_REFUSED, detail=detail)

    async def _run_link(
        self, identity: handshake.Identity, socket: typing.Any, dialled: bool
    ) -> None:
        if identity.name == self.board.name:
            return
        link = link_module.Link(
            identity, socket, dialled, on_close=self._delist
        )
        older = self.links.get(link.peer)
        self.links[link.peer] = link
        if older is not None and self._nursery is not None:
            self._nursery.start_soon(linger, older)
        self._record_linked(identity)
        events.log_event(events.Event.PEER_UP, peer=link.peer)
        for greet in self._greeters:
            await greet(link.peer)
        await link.run(self._serve)

    def _delist(self, link: link_module.Link) -> None:
        if self.links.get(link.peer) is link:
            del self.links[link.peer]
            events.log_event(events.Event.PEER_DOWN, peer=link.peer)

    def _record_linked(self, identity: handshake.Identity) -> None:
        """Take what a peer has proved of itself."""
        members = self.board.entry_vms
        known = members.get(identity.name)
        same = known is not None and known.incarnation == identity.incarnation
        members[identity.name] = blackboard_module.EntryVm(
            **attrs.asdict(identity),
            leaving=known.leaving if known and same else False,
            revision=known.revision if known and same else 0,
            last_heard_ms=self.clock.now_ms(),
        )

    async def _serve(
        self, link: link_module.Link, message: messages.Message
    ) -> typing.Any:
        handler = self.handlers.get(message.kind)
        if handler is not None:
            return await handler(link.peer, message.body)
        return None


SOCKET_LIMITS: dict[str, typing.Any] = {
    "compression": None,
    "max_size": MAX_MESSAGE_BYTES,
    "ping_interval": None,
    "close_timeout": CLOSE_S,
}


async def linger(link: link_module.Link) -> None:
    """Close a replaced link once its last answers have had time to come."""
    await trio.sleep(LINGER_S)
    link.close()


class PeerConnection(ws_server.ServerConnection):
    """An accepted connection, which leaves an event if it is no peer's.

    Bytes that are no WebSocket handshake never reach the hub.
    """

    async def handshake(self, *arguments: typing.Any) -> None:
        """Take the opening handshake."""
        try:
            await super().handshake(*arguments)
        finally:
            if self.protocol.state is not websockets.State.OPEN:
                events.log_event(
                    events.Event.PEER_REFUSED, detail="no opening handshake"
                )


def make_logger() -> logging.Logger:
    """The library's logger, silenced: it would write down what it got."""
    logger = logging.getLogger("carawayward.peers.listener")
    logger.propagate = False
    logger.setLevel(logging.CRITICAL)
    return logger
