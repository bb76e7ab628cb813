"""A deployment with TLS on the callers' and operators' ports."""

import ssl

import attrs
import httpcore

from tests.common import deployment
from tests.common import streaming


@attrs.define
class TlsDeployment(deployment.Deployment):
    """A deployment that uses TLS on the callers' and operators' ports."""

    plan: deployment.Plan = streaming.make_plan()
    authority: str = ""
    client: dict = attrs.field(factory=dict)

    def wait_until_ready(self, vm: deployment.EntryProcess) -> None:
        """Wait until the entry VM reports ready over TLS."""
        assert streaming.wait_for(
            lambda: self.get(vm.callers, "/readyz", self.client) == 200, 30.0
        )

    def get(self, address: str, path: str, client: dict) -> int:
        """Return the status of a GET over TLS; 0 if the connection fails."""
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
