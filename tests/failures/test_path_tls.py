"""TLS on the listeners for which the settings name certificates."""

import pathlib
import tempfile

import trio

from tests.common import certificates
from tests.common import loopback
from tests.common import peering
from tests.common import streaming
from tests.common import tls_deployment


def test_callers_and_operators_are_served_over_tls():
    """Callers' keys could be read on the network.

    A key in a header is only as secret as the connection. The callers' port
    requires a certificate of the callers' authority, the operators' port
    requires none.
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
        with tls_deployment.TlsDeployment(
            plan=plan, authority=own.certificate, client=client
        ) as running:
            vm = running.entry_vms[0]
            assert running.get(vm.callers, "/readyz", client) == 200
            assert running.get(vm.callers, "/readyz", {}) == 0
            assert running.get(vm.callers, "/readyz", stranger) == 0
            assert running.get(vm.operators, "/v1/status", {}) == 401
            assert running.get(vm.callers, "/readyz", client) == 200


def test_peers_link_over_tls_under_a_common_authority_only():
    """Bills and tickets between entry VMs could be read on the network.

    The handshake on a link authenticates the peers but does not encrypt.
    Two entry VMs have certificates of one authority; a third has the key of
    the deployment but a certificate of another authority.
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
