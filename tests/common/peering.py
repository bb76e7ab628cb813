"""Peer links in one process, and a proxy that can stall them."""

import contextlib
import typing

import attrs
import trio
import yaml

from carawayward import blackboard
from carawayward import clock
from carawayward.controllers import membership
from carawayward.peers import dialling
from carawayward.peers import hub as hub_module
from carawayward.protocol import topology
from carawayward import settings as settings_module
from tests.common import deployment

OLD_KEY = "peer-key-of-last-year"
NEW_KEY = "peer-key-of-this-year"


def make_hub(
    name: str,
    port: int,
    seeds: typing.Sequence[int] = (),
    keys: typing.Sequence[str] = (NEW_KEY,),
    tls: dict | None = None,
    choose: dialling.Choose = topology.choose_peers,
) -> hub_module.PeerHub:
    """Make a hub without starting it."""
    address = f"127.0.0.1:{port}"
    settings = settings_module.Settings.from_config(
        yaml.safe_dump(
            {
                "name": name,
                "failure_domain": "ikeja",
                "listen": dict.fromkeys(
                    ("callers", "peers", "operators"), address
                ),
                "platform": {"log": "http://x", "vms": "http://x"},
                "keys": {**deployment.KEYS, "peers": list(keys)},
                "peers": [f"127.0.0.1:{seed}" for seed in seeds],
                "tls": {"peers": tls} if tls else {},
            }
        )
    )
    board = blackboard.Blackboard(name=name, failure_domain="ikeja")
    return hub_module.PeerHub(settings, board, clock.Clock(), choose)


async def start_member(hub: hub_module.PeerHub, nursery: trio.Nursery) -> None:
    """Start a hub and the controller that exchanges membership records."""
    await hub.start(nursery)
    controller = membership.MembershipController(
        hub.board, hub.clock, hub, hub.settings.listen.peers
    )
    await controller.start(nursery)


async def wait_until(
    condition: typing.Callable[[], bool], timeout_s: float = 20.0
) -> None:
    """Wait until a condition holds; raise TooSlowError on a time-out."""
    with trio.fail_after(timeout_s):
        while not condition():
            await trio.sleep(0.01)


@attrs.define(eq=False)
class TcpProxy:
    """Forwards connections to a port, and can stall those that are open.

    Connections that are opened after ``stall`` work as usual.
    """

    target: int
    port: int
    generation: int = 0
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    async def run(self) -> None:
        """Forward until the scope is cancelled."""
        with self.scope:
            await trio.serve_tcp(self._forward, self.port, host="127.0.0.1")

    def stall(self) -> None:
        """Stop forwarding on all open connections without closing them."""
        self.generation += 1

    async def _forward(self, client: trio.SocketStream) -> None:
        born = self.generation
        server = await trio.open_tcp_stream("127.0.0.1", self.target)
        async with client, server, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, client, server, born)
            nursery.start_soon(self._copy, server, client, born)

    async def _copy(
        self, source: trio.SocketStream, sink: trio.SocketStream, born: int
    ) -> None:
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            async for data in source:
                if born != self.generation:
                    await trio.sleep_forever()
                await sink.send_all(data)
            if born != self.generation:
                await trio.sleep_forever()
            await sink.aclose()
