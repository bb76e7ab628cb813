"""Client of the platform's append-only log."""

import typing

import attrs

from carawayward import errors
from carawayward import http_client as http

# Ends well before a middlebox would drop an idle connection.
LONG_POLL_MS = 10_000


@attrs.frozen
class LogRecord:
    """One record of a stream, with its offset and time."""

    offset: int
    at_ms: int
    data: typing.Any


@attrs.frozen
class Batch:
    """Records read, the offset to continue from and the oldest one kept."""

    records: list[LogRecord]
    next_offset: int
    oldest: int


@attrs.define
class LogClient:
    """Appends to and reads from named streams; offsets start at 1."""

    client: http.PlatformClient

    @classmethod
    def from_config(cls, base_url: str, caller: str = "") -> "LogClient":
        """Create a client of the log at ``base_url``."""
        return cls(http.PlatformClient("log", base_url, caller=caller))

    async def append(
        self, stream: str, records: list, timeout_ms: float = 5_000
    ) -> int:
        """Append records in order; return the offset of the first.

        On PlatformUnavailable with ``sent`` True the append may have
        taken effect.
        """
        reply = await self.client.call(
            "POST",
            f"/streams/{stream}/records",
            {"records": records},
            timeout_ms,
        )
        if reply.status != 200 or not isinstance(reply.body, dict):
            raise errors.PlatformUnavailable("log", f"status {reply.status}")
        return int(reply.body["first"])

    async def read(
        self, stream: str, offset: int, wait_ms: int = 0, limit: int = 500
    ) -> Batch:
        """Read records from ``offset``; wait up to ``wait_ms`` for one."""
        path = (
            f"/streams/{stream}/records?from={offset}"
            f"&limit={limit}&wait_ms={wait_ms}"
        )
        reply = await self.client.call("GET", path, timeout_ms=wait_ms + 5_000)
        if reply.status != 200 or not isinstance(reply.body, dict):
            raise errors.PlatformUnavailable("log", f"status {reply.status}")
        try:
            records = [
                LogRecord(
                    int(item["offset"]), int(item["at_ms"]), item["data"]
                )
                for item in reply.body["records"]
            ]
            return Batch(
                records, int(reply.body["next"]), int(reply.body["oldest"])
            )
        except (LookupError, TypeError, ValueError) as cause:
            raise errors.PlatformUnavailable(
                "log", f"unreadable body ({type(cause).__name__})"
            ) from cause

    async def close(self) -> None:
        """Close all connections."""
        await self.client.close()
