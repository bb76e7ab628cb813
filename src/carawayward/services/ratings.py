"""Client of the service that rates answers; ratings come minutes late."""

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
    """Sends answers and collects their ratings by mailbox and offset."""

    client: http.PlatformClient

    @classmethod
    def from_config(cls, base_url: str) -> "RatingsClient":
        """Make a client for the service at ``base_url``."""
        return cls(http.PlatformClient("ratings", base_url))

    async def send(self, mailbox: str, answers: list[dict]) -> None:
        """Hand over answers; sending one twice has no further effect."""
        body = {"mailbox": mailbox, "answers": answers}
        reply = await self.client.call("POST", "/answers", body)
        if reply.status != 200:
            raise errors.PlatformUnavailable(
                "ratings", f"status {reply.status}"
            )

    async def collect(
        self, mailbox: str, offset: int
    ) -> tuple[list[Rating], int]:
        """Ratings from ``offset`` on, and where to go on."""
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
