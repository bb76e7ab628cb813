"""Client of the store of model weights, which limits parallel loads."""

import attrs

from carawayward import errors
from carawayward import http_client as http


@attrs.define
class WeightStore:
    """Reads the limit on parallel loads; the endpoints do the loading."""

    client: http.PlatformClient

    @classmethod
    def from_config(cls, base_url: str) -> "WeightStore":
        """Create a client of the store at ``base_url``."""
        return cls(http.PlatformClient("weights", base_url))

    async def fetch_limit(self) -> int:
        """Return how many loads the store serves at the same time."""
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
