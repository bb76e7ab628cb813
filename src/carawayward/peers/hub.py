"""The links of this entry VM to its peers, and the message handlers."""

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

HANDSHAKE_TIMEOUT_S = 3.0
DIAL_TIMEOUT_MS = 3_000.0
CLOSE_TIMEOUT_S = 0.5
# The longest messages carry a whole configuration document.
MAX_MESSAGE_BYTES = 4_000_000
# Connections that are not authenticated yet. Strangers who connect to the port
# can occupy no more than these, each for at most HANDSHAKE_TIMEOUT_S.
MAX_UNAUTHENTICATED = 32
# How long a replaced link stays open, since it may still carry answers.
REPLACED_LINK_GRACE_S = 2.0
UNKNOWN_PEER_POLL_S = 0.05

Handler = typing.Callable[[str, typing.Any], typing.Awaitable[typing.Any]]
LinkCallback = typing.Callable[[str], typing.Awaitable[None]]


@attrs.define(eq=False)
class PeerHub:
    """All links of this entry VM, and a handler for each message kind.

    ``links`` holds open links only. A link is removed at the moment when it
    closes: its task may take CLOSE_TIMEOUT_S to end, and a call during that
    time would fail with "link lost" instead of dialling anew.
    """

    settings: settings_module.Settings
    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    choose_peers: dialling.Choose = topology.choose_peers
    links: dict[str, link_module.Link] = attrs.field(factory=dict)
    handlers: dict[str, Handler] = attrs.field(factory=dict)
    _unauthenticated: int = 0
    _nursery: trio.Nursery | None = None
    _dialler: dialling.Dialler = attrs.field(init=False)
    _link_callbacks: list[LinkCallback] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self._dialler = dialling.Dialler(self, self.choose_peers)

    def handle(self, kind: str, handler: Handler) -> None:
        """Register the handler of messages of ``kind``."""
        self.handlers[kind] = handler

    def add_link_callback(self, callback: LinkCallback) -> None:
        """Register a callback that gets the peer's name of each new link."""
        self._link_callbacks.append(callback)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start listening for peers and maintaining links to them."""
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
                open_timeout=HANDSHAKE_TIMEOUT_S,
                create_connection=PeerConnection,
                logger=make_logger(),
                **SOCKET_LIMITS,
            )
        )
        self._dialler.start(nursery)

    async def close(self) -> None:
        """Close all links after a short time for sending queued messages."""
        if self.links:
            await trio.sleep(CLOSE_TIMEOUT_S)
        for link in list(self.links.values()):
            link.close()

    async def call(
        self, peer: str, kind: str, body: object, timeout_ms: float
    ) -> typing.Any:
        """Call a peer and return its answer; dial it if necessary.

        Raises PeerUnavailable if there is no link or no answer in time; the
        peer may then still have processed the call.
        """
        began_ms = self.clock.now_ms()
        link = self.links.get(peer)
        if link is None:
            link = await self.get_link(peer, timeout_ms)
        spent_ms = self.clock.now_ms() - began_ms
        return await link.call(kind, body, max(timeout_ms - spent_ms, 1.0))

    async def get_link(
        self, peer: str, timeout_ms: float = DIAL_TIMEOUT_MS
    ) -> link_module.Link:
        """Return the link to a peer; dial it if there is none.

        Raises PeerUnavailable if the peer's address does not become known
        in time or the peer cannot be dialled.
        """
        with trio.move_on_after(min(timeout_ms, DIAL_TIMEOUT_MS) / 1000):
            # A claim or a ticket may name a peer that has just started, so
            # that only the log or the caller has mentioned it so far.
            while peer not in self.links:
                known = self.board.entry_vms.get(peer)
                if known is not None:
                    await self._dialler.dial_now(known.address, peer)
                    break
                await trio.sleep(UNKNOWN_PEER_POLL_S)
        link = self.links.get(peer)
        if link is None:
            raise errors.PeerUnavailable(f"peer {peer}: no link could be made")
        return link

    def has_tried_seeds(self) -> bool:
        """Whether each seed is linked or has just failed to respond."""
        return self._dialler.has_tried_seeds()

    def choose_link_targets(self) -> frozenset[str]:
        """Choose the names of the peers to keep links to."""
        return self._dialler.choose()

    async def notify(self, peer: str, kind: str, body: object) -> None:
        """Send a message without an answer; its loss is not noticed."""
        link = self.links.get(peer)
        if link is not None:
            try:
                link.send(messages.Message(kind, body))
            except errors.PeerUnavailable:
                return

    async def notify_all(self, kind: str, body: object) -> None:
        """Notify every linked peer."""
        for peer in list(self.links):
            await self.notify(peer, kind, body)

    async def _accept(self, socket: ws_server.ServerConnection) -> None:
        if self._unauthenticated >= MAX_UNAUTHENTICATED:
            self._log_refusal("too many unauthenticated connections")
            return
        self._unauthenticated += 1
        try:
            with trio.fail_after(HANDSHAKE_TIMEOUT_S):
                identity = await self._authenticate_dialler(socket)
        except errors.NotAuthenticated as fault:
            self._log_refusal(str(fault))
            return
        except (trio.TooSlowError, websockets.ConnectionClosed, OSError):
            self._log_refusal("not authenticated in time")
            return
        finally:
            self._unauthenticated -= 1
        await self._run_link(identity, socket, dialled=False)

    async def _authenticate_dialler(
        self, socket: typing.Any
    ) -> handshake.Identity:
        """Authenticate the dialler, then prove our own identity."""
        keys = self.settings.keys.peers
        challenge = secrets.token_bytes(handshake.NONCE_BYTES)
        await socket.send(challenge)
        proof = handshake.verify_proof(
            keys, handshake.DIALLER, challenge, await socket.recv()
        )
        reply = handshake.prove(
            keys, handshake.LISTENER, proof.nonce, challenge, self.identity
        )
        await socket.send(reply)
        return proof.identity

    async def dial(self, address: str) -> None:
        """Connect to an address and run the link until it ends.

        Raises one of dialling.DIAL_FAILURES, alone or in a group, if no
        link is made.
        """
        tls = self.settings.tls.peers
        scheme = "wss" if tls else "ws"
        async with ws_client.connect(
            f"{scheme}://{address}/",
            ssl=listening.make_client_context(tls) if tls else None,
            proxy=None,
            open_timeout=HANDSHAKE_TIMEOUT_S,
            **SOCKET_LIMITS,
        ) as socket:
            with trio.fail_after(HANDSHAKE_TIMEOUT_S):
                identity = await self._authenticate_listener(socket)
            self._dialler.record_link_up(address, identity.address)
            await self._run_link(identity, socket, dialled=True)

    async def _authenticate_listener(
        self, socket: typing.Any
    ) -> handshake.Identity:
        """Prove our own identity, then authenticate the listener."""
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
        proof = handshake.verify_proof(
            keys, handshake.LISTENER, nonce, await socket.recv()
        )
        if proof.nonce != challenge:
            raise errors.NotAuthenticated(
                "the peer responded to a different challenge"
            )
        return proof.identity

    @property
    def identity(self) -> handshake.Identity:
        """The identity that this entry VM presents to peers."""
        return handshake.Identity(
            self.board.name,
            self.board.incarnation,
            self.board.failure_domain,
            self.settings.listen.peers,
        )

    def _log_refusal(self, detail: str) -> None:
        events.log_event(events.Event.PEER_REFUSED, detail=detail)

    async def _run_link(
        self, identity: handshake.Identity, socket: typing.Any, dialled: bool
    ) -> None:
        if identity.name == self.board.name:
            return
        link = link_module.Link(
            identity, socket, dialled, on_close=self._remove_link
        )
        older = self.links.get(link.peer)
        self.links[link.peer] = link
        if older is not None and self._nursery is not None:
            self._nursery.start_soon(close_after_grace, older)
        self._record_member(identity)
        events.log_event(events.Event.PEER_UP, peer=link.peer)
        for notify_link in self._link_callbacks:
            await notify_link(link.peer)
        await link.run(self._serve)

    def _remove_link(self, link: link_module.Link) -> None:
        if self.links.get(link.peer) is link:
            del self.links[link.peer]
            events.log_event(events.Event.PEER_DOWN, peer=link.peer)

    def _record_member(self, identity: handshake.Identity) -> None:
        """Record a linked peer as a member by its authenticated identity."""
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
    "close_timeout": CLOSE_TIMEOUT_S,
}


async def close_after_grace(link: link_module.Link) -> None:
    """Close a replaced link after leaving time for its last answers."""
    await trio.sleep(REPLACED_LINK_GRACE_S)
    link.close()


class PeerConnection(ws_server.ServerConnection):
    """An accepted connection that logs a failed opening handshake.

    The hub is called only after the WebSocket handshake.
    """

    async def handshake(self, *arguments: typing.Any) -> None:
        """Run the opening handshake."""
        try:
            await super().handshake(*arguments)
        finally:
            if self.protocol.state is not websockets.State.OPEN:
                events.log_event(
                    events.Event.PEER_REFUSED,
                    detail="WebSocket handshake failed",
                )


def make_logger() -> logging.Logger:
    """Create a silent logger; the library would log received data."""
    logger = logging.getLogger("carawayward.peers.listener")
    logger.propagate = False
    logger.setLevel(logging.CRITICAL)
    return logger
