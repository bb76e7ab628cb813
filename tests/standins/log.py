"""Stand-in for the platform's append-only log.

Faults: ``down`` (503), ``silent`` (no answer), ``lose_answers`` (that many
appends take effect and their answers are lost), ``slow_ms``, ``cut`` (names
of callers that get no answer), ``retain`` (records kept per stream).
``lose_in`` narrows ``lose_answers`` to one stream. ``/all/STREAM`` shows a
test every record ever appended, those that readers can no longer get too.
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

APPENDS_A_SECOND = 500


class Stream:
    """One stream's records; offsets begin at 1."""

    def __init__(self) -> None:
        self.records: collections.deque[dict] = collections.deque()
        self.ever: list[dict] = []
        self.end = 1
        self.grown = trio.Event()

    @property
    def oldest(self) -> int:
        """Offset of the oldest record kept, or the next one to come."""
        return self.records[0]["offset"] if self.records else self.end

    def append(self, records: list) -> int:
        """Add records and wake the readers."""
        first = self.end
        for data in records:
            at_ms = time.time_ns() // 1_000_000
            record = {"offset": self.end, "at_ms": at_ms, "data": data}
            self.records.append(record)
            self.ever.append(
                {**record, "seen_ms": time.monotonic_ns() // 1_000_000}
            )
            self.end += 1
        self.grown.set()
        self.grown = trio.Event()
        return first

    def forget(self, kept: int | None) -> None:
        """Drop all but the newest ``kept`` records."""
        while kept is not None and len(self.records) > kept:
            self.records.popleft()

    def read(self, offset: int, limit: int) -> list[dict]:
        """Return up to ``limit`` records from ``offset``."""
        skipped = max(0, offset - self.oldest)
        return list(itertools.islice(self.records, skipped, skipped + limit))


class Log:
    """All streams, the rate limit and the faults."""

    def __init__(self) -> None:
        self.streams: dict[str, Stream] = {}
        self.faults: serving.Faults = {"appends": 0}
        self.allowance = float(APPENDS_A_SECOND)
        self.refilled = time.monotonic()

    def stream(self, request: requests.Request) -> Stream:
        """The stream a request names."""
        return self.streams.setdefault(request.path_params["stream"], Stream())

    def take_allowance(self) -> bool:
        """Whether one more append fits into this second."""
        now = time.monotonic()
        grown = (now - self.refilled) * APPENDS_A_SECOND
        self.allowance = min(self.allowance + grown, APPENDS_A_SECOND)
        self.refilled = now
        if self.allowance < 1:
            return False
        self.allowance -= 1
        return True

    async def suffer(self, request: requests.Request) -> bool:
        """Apply the faults that hold for any call; True if it is down."""
        if self.faults.get("silent"):
            await serving.hang()
        caller = request.headers.get("X-Caller", "")
        if caller in self.faults.get("cut", ()):
            await serving.hang()
        await trio.sleep(self.faults.get("slow_ms", 0) / 1000)
        return bool(self.faults.get("down"))

    async def append(self, request: requests.Request) -> responses.Response:
        """Append a group of records; one call counts as one append."""
        if await self.suffer(request):
            return responses.Response("", 503, {"Retry-After": "1"})
        if not self.take_allowance():
            return responses.Response("", 429, {"Retry-After": "1"})
        records = json.loads(await request.body())["records"]
        stream = self.stream(request)
        first = stream.append(records)
        stream.forget(self.faults.get("retain"))
        self.faults["appends"] += 1
        lossy = self.faults.get("lose_in") or request.path_params["stream"]
        if (
            self.faults.get("lose_answers", 0) > 0
            and lossy == request.path_params["stream"]
        ):
            self.faults["lose_answers"] -= 1
            await serving.hang()
        return responses.JSONResponse({"first": first})

    async def read(self, request: requests.Request) -> responses.Response:
        """Read from an offset, waiting for records if asked to."""
        if await self.suffer(request):
            return responses.Response("", 503, {"Retry-After": "1"})
        stream = self.stream(request)
        offset = int(request.query_params["from"])
        limit = int(request.query_params.get("limit", "500"))
        wait_ms = int(request.query_params.get("wait_ms", "0"))
        with trio.move_on_after(wait_ms / 1000):
            while stream.end <= offset:
                await stream.grown.wait()
        if await self.suffer(request):
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
        """Return every record of a stream, for the tests."""
        return responses.JSONResponse(self.stream(request).ever)


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
