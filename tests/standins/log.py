"""Stand-in for the platform's append-only log.

Faults, set through ``/control``:

- ``down``: every call is answered with 503.
- ``silent``: no call is answered.
- ``cut``: names of callers whose calls are not answered.
- ``lose_answers``: this many appends take effect but are not answered;
  ``lose_in`` restricts this to one stream.
- ``slow_ms``: delay of every call.
- ``retain``: the number of records that each stream keeps for readers.

``/all/STREAM`` returns every record ever appended, including those that
readers can no longer get.
"""

import collections
import itertools
import json
import time

import fire
from starlette import requests
from starlette import responses
from starlette import routing
import trio

from tests.standins import serving

APPENDS_PER_S = 500


class Stream:
    """The records of one stream; offsets start at 1."""

    def __init__(self) -> None:
        self.records: collections.deque[dict] = collections.deque()
        self.all_records: list[dict] = []
        self.end = 1
        self.appended = trio.Event()

    @property
    def oldest(self) -> int:
        """Offset of the oldest retained record, or else of the next one."""
        return self.records[0]["offset"] if self.records else self.end

    def append(self, records: list) -> int:
        """Append records, wake waiting readers, return the first offset."""
        first = self.end
        for data in records:
            at_ms = time.time_ns() // 1_000_000
            record = {"offset": self.end, "at_ms": at_ms, "data": data}
            self.records.append(record)
            self.all_records.append(
                {**record, "seen_ms": time.monotonic_ns() // 1_000_000}
            )
            self.end += 1
        self.appended.set()
        self.appended = trio.Event()
        return first

    def trim(self, kept: int | None) -> None:
        """Drop all but the newest ``kept`` records."""
        while kept is not None and len(self.records) > kept:
            self.records.popleft()

    def read(self, offset: int, limit: int) -> list[dict]:
        """Return up to ``limit`` records from ``offset``."""
        skipped = max(0, offset - self.oldest)
        return list(itertools.islice(self.records, skipped, skipped + limit))


class Log:
    """All streams, the append rate limit and the faults."""

    def __init__(self) -> None:
        self.streams: dict[str, Stream] = {}
        self.faults: serving.Faults = {"appends": 0}
        self.permits = float(APPENDS_PER_S)
        self.refilled = time.monotonic()

    def stream(self, request: requests.Request) -> Stream:
        """The stream that a request names; created on first use."""
        return self.streams.setdefault(request.path_params["stream"], Stream())

    def acquire_permit(self) -> bool:
        """Take a permit from the token bucket; False if it is empty."""
        now = time.monotonic()
        refill = (now - self.refilled) * APPENDS_PER_S
        self.permits = min(self.permits + refill, APPENDS_PER_S)
        self.refilled = now
        if self.permits < 1:
            return False
        self.permits -= 1
        return True

    async def apply_faults(self, request: requests.Request) -> bool:
        """Apply the faults that affect every call; True if down."""
        if self.faults.get("silent"):
            await serving.hang()
        caller = request.headers.get("X-Caller", "")
        if caller in self.faults.get("cut", ()):
            await serving.hang()
        await trio.sleep(self.faults.get("slow_ms", 0) / 1000)
        return bool(self.faults.get("down"))

    async def append(self, request: requests.Request) -> responses.Response:
        """Append a batch of records; it counts as one append."""
        if await self.apply_faults(request):
            return responses.Response("", 503, {"Retry-After": "1"})
        if not self.acquire_permit():
            return responses.Response("", 429, {"Retry-After": "1"})
        records = json.loads(await request.body())["records"]
        stream = self.stream(request)
        first = stream.append(records)
        stream.trim(self.faults.get("retain"))
        self.faults["appends"] += 1
        lossy_stream = (
            self.faults.get("lose_in") or request.path_params["stream"]
        )
        if (
            self.faults.get("lose_answers", 0) > 0
            and lossy_stream == request.path_params["stream"]
        ):
            self.faults["lose_answers"] -= 1
            await serving.hang()
        return responses.JSONResponse({"first": first})

    async def read(self, request: requests.Request) -> responses.Response:
        """Read from an offset, waiting up to ``wait_ms`` for a record."""
        if await self.apply_faults(request):
            return responses.Response("", 503, {"Retry-After": "1"})
        stream = self.stream(request)
        offset = int(request.query_params["from"])
        limit = int(request.query_params.get("limit", "500"))
        wait_ms = int(request.query_params.get("wait_ms", "0"))
        with trio.move_on_after(wait_ms / 1000):
            while stream.end <= offset:
                await stream.appended.wait()
        if await self.apply_faults(request):
            return responses.Response("", 503, {"Retry-After": "1"})
        records = stream.read(offset, limit)
        following = records[-1]["offset"] + 1 if records else offset
        return responses.JSONResponse(
            {
                "records": records,
                "next": max(following, stream.oldest),
                "oldest": stream.oldest,
            }
        )

    async def show_all(self, request: requests.Request) -> responses.Response:
        """Return every record ever appended, for the tests."""
        return responses.JSONResponse(self.stream(request).all_records)


def main(port: int) -> None:
    """Serve the log on a loopback port."""
    log = Log()
    path = "/streams/{stream}/records"
    routes = [
        routing.Route(path, log.append, methods=["POST"]),
        routing.Route(path, log.read, methods=["GET"]),
        routing.Route("/all/{stream}", log.show_all),
    ]
    serving.serve(routes, log.faults, port)


if __name__ == "__main__":
    fire.Fire(main)
