"""Client of the service that rates answers, with minutes of delay."""

import attrs

from carawayward import errors
from carawayward import http_client as http


@attrs.frozen
class Rating:
    """Whether an answer met the quality standard."""

    answer_id: str
    good: bool


@attrs.define
class RatingsClient:
    """Sends answers, and reads their ratings from a mailbox by offset."""

    client: http.PlatformClient

    @classmethod
    def from_config(cls, base_url: str) -> "RatingsClient":
        """Create a client of the service at ``base_url``."""
        return cls(http.PlatformClient("ratings", base_url))

    async def send(self, mailbox: str, answers: list[dict]) -> None:
        """Send answers to be rated; sending one again has no effect."""
        body = {"mailbox": mailbox, "answers": answers}
        reply = await self.client.call("POST", "/answers", body)
        if reply.status != 200:
            raise errors.PlatformUnavailable(
                "ratings", f"status {reply.status}"
            )

    async def collect(
        self, mailbox: str, offset: int
    ) -> tuple[list[Rating], int]:
        """Read ratings from ``offset`` on; return the next offset too."""
        path = f"/ratings?mailbox={mailbox}&from={offset}"
        reply = await self.client.call("GET", path)
        try:
            ratings = [
                Rating(str(item["id"]), bool(item["good"]))
                for item in reply.body["ratings"]
            ]
            return ratings, int(reply.body["next"])
        except (KeyError, TypeError, ValueError) as cause:
            raise errors.PlatformUnavailable(
                "ratings", f"malformed: {cause!r}"
            ) from cause

    async def close(self) -> None:
        """Close all connections."""
        await self.client.close()
