"""TLS on each listener where the settings name certificates."""

import pathlib
import ssl
import tempfile

import attrs
import httpcore
import trio

from tests.common import certificates
from tests.common import deployment
from tests.common import loopback
from tests.common import peering
from tests.common import streaming


@attrs.define
class TlsDeployment(deployment.Deployment):
    """A deployment whose callers' and operators' ports speak TLS."""

    plan: deployment.Plan = streaming.make_plan()
    authority: str = ""
    client: dict = attrs.field(factory=dict)

    def wait_until_ready(self, vm: deployment.EntryProcess) -> None:
        """Wait until readiness is shown over TLS."""
        assert streaming.wait_for(
            lambda: self.get(vm.callers, "/readyz", self.client) == 200, 30.0
        )

    def get(self, address: str, path: str, client: dict) -> int:
        """Status of a GET over TLS; 0 when there is no connection."""
        context = ssl.create_default_context(cafile=self.authority)
        if client:
            context.load_cert_chain(client["certificate"], client["key"])
        with httpcore.ConnectionPool(ssl_context=context) as pool:
            try:
                reply = pool.request(
                    "GET",
                    f"https://{address}{path}",
                    extensions={
                        "timeout": dict.fromkeys(
                            ("connect", "read", "write", "pool"), 10.0
                        )
                    },
                )
            except (httpcore.NetworkError, httpcore.ProtocolError):
                return 0
        return reply.status


def test_callers_and_operators_are_served_over_tls():
    """Callers' keys can be read on the way.

    The callers' port asks for a certificate of the callers' own authority,
    the operators' port for none. Cause: a key in a header is as secret as
    the connection that carries it.
    """
    with tempfile.TemporaryDirectory() as folder:
        own = certificates.Authority(pathlib.Path(folder), "own")
        foreign = certificates.Authority(pathlib.Path(folder), "foreign")
        server = own.issue("server")
        client, stranger = own.issue("client"), foreign.issue("stranger")
        tls = {
            "callers": {**server, "client_ca": own.certificate},
            "operators": server,
        }
        plan = streaming.make_plan(tls=tls)
        with TlsDeployment(
            plan=plan, authority=own.certificate, client=client
        ) as running:
            vm = running.entry_vms[0]
            assert running.get(vm.callers, "/readyz", client) == 200
            assert running.get(vm.callers, "/readyz", {}) == 0
            assert running.get(vm.callers, "/readyz", stranger) == 0
            assert running.get(vm.operators, "/v1/status", {}) == 401
            assert running.get(vm.callers, "/readyz", client) == 200


def test_peers_link_over_tls_under_a_common_authority_only():
    """Bills and tickets between entry VMs can be read on the way.

    Two entry VMs have certificates of one authority; a third has the key
    of the deployment and a certificate of another. Cause: the handshake on
    a link proves who is there, and hides nothing.
    """

    async def scenario(folder: str) -> None:
        own = certificates.Authority(pathlib.Path(folder), "own")
        foreign = certificates.Authority(pathlib.Path(folder), "foreign")
        ports = sorted(loopback.find_free_ports(3))
        hubs = [
            peering.make_hub(
                name,
                port,
                ports[:1],
                tls={**issuer.issue(name), "client_ca": issuer.certificate},
            )
            for name, port, issuer in zip(
                ("one", "two", "three"),
                ports,
                (own, own, foreign),
                strict=True,
            )
        ]
        with trio.fail_after(30):
            async with trio.open_nursery() as nursery:
                for hub in hubs:
                    await hub.start(nursery)
                one, two, three = hubs
                await peering.wait_until(lambda: "one" in two.links)
                await trio.sleep(1.0)
                assert set(one.links) == {"two"} and not three.links
                nursery.cancel_scope.cancel()

    with tempfile.TemporaryDirectory() as folder:
        trio.run(scenario, folder)
