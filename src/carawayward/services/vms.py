"""Client of the platform's list of VMs, which lags behind."""

import attrs

from carawayward import errors
from carawayward import http_client as http


@attrs.frozen(kw_only=True)
class ListedVm:
    """One entry of the list; ``role`` is "entry" or "endpoint"."""

    name: str
    role: str
    failure_domain: str
    address: str
    pool: str = ""
    leaving: bool = False


@attrs.define
class VmList:
    """Reads the list; it lags, so presence and absence are only hints."""

    client: http.PlatformClient

    @classmethod
    def from_config(cls, base_url: str) -> "VmList":
        """Create a client of the list at ``base_url``."""
        return cls(http.PlatformClient("vm list", base_url))

    async def fetch(self) -> list[ListedVm]:
        """Return all listed VMs."""
        reply = await self.client.call("GET", "/vms")
        if reply.status != 200 or not isinstance(reply.body, dict):
            raise errors.PlatformUnavailable(
                "vm list", f"status {reply.status}"
            )
        try:
            return [ListedVm(**item) for item in reply.body["vms"]]
        except (KeyError, TypeError) as cause:
            raise errors.PlatformUnavailable(
                "vm list", f"malformed: {cause}"
            ) from cause

    async def close(self) -> None:
        """Close all connections."""
        await self.client.close()
