"""Client of the rate-limited weight store."""

import attrs

from carawayward import errors
from carawayward import http_client as http


@attrs.define
class WeightStore:
    """Asks how many loads may run at once; endpoints load by themselves."""

    client: http.PlatformClient

    @classmethod
    def from_config(cls, base_url: str) -> "WeightStore":
        """Make a client for the store at ``base_url``."""
        return cls(http.PlatformClient("weights", base_url))

    async def fetch_limit(self) -> int:
        """Loads that the store serves at a time."""
        reply = await self.client.call("GET", "/limit")
        try:
            return int(reply.body["loads_at_once"])
        except (KeyError, TypeError, ValueError) as cause:
            raise errors.PlatformUnavailable(
                "weights", f"malformed: {cause!r}"
            ) from cause

    async def close(self) -> None:
        """Close all connections."""
        await self.client.close()
