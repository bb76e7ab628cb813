"""Stand-in for the platform's service that rates answers.

An answer's rating depends only on its id, version, customer and the faults
below, so that two runs agree. Faults, set through ``/control``:

- ``down``: every call is answered with 503.
- ``silent``: no call is answered.
- ``slow_ms``: delay of every call.
- ``delay_ms``: time after which a rating can be collected.
- ``good``: share of good answers, by version.
- ``good_for``: share of good answers, by "version customer".
- ``lose``: share of answers that are never rated.
- ``harsh``: share of good answers that are rated bad, for all versions.
"""

import hashlib
import json
import time

import fire
from starlette import requests
from starlette import responses
from starlette import routing
import trio

from tests.standins import serving

DEFAULT_GOOD = 0.97


def hash_to_share(answer_id: str, purpose: str) -> float:
    """Map the arguments to a fixed number between 0 and 1."""
    digest = hashlib.sha256(f"{purpose} {answer_id}".encode()).digest()
    return int.from_bytes(digest[:7]) / 2.0**56


class Ratings:
    """All mailboxes; each rating is stored with the time it is due."""

    def __init__(self) -> None:
        self.faults: serving.Faults = {"delay_ms": 0}
        self.seen_ids: set[str] = set()
        self.mailboxes: dict[str, list[tuple[float, dict]]] = {}

    async def apply_faults(self) -> bool:
        """Apply the faults that affect every call; True if down."""
        if self.faults.get("silent"):
            await serving.hang()
        await trio.sleep(self.faults.get("slow_ms", 0) / 1000)
        return bool(self.faults.get("down"))

    async def submit(self, request: requests.Request) -> responses.Response:
        """Accept answers for rating; an id already known is ignored."""
        if await self.apply_faults():
            return responses.Response("", 503)
        body = json.loads(await request.body())
        entries = self.mailboxes.setdefault(body["mailbox"], [])
        for answer in body["answers"]:
            if answer["id"] in self.seen_ids:
                continue
            self.seen_ids.add(answer["id"])
            if hash_to_share(answer["id"], "lose") >= self.faults.get(
                "lose", 0.0
            ):
                due = time.monotonic() + self.faults["delay_ms"] / 1000
                rating = {"id": answer["id"], "good": self.rate(answer)}
                entries.append((due, rating))
        return responses.JSONResponse({})

    def rate(self, answer: dict) -> bool:
        """Whether an answer is rated good."""
        version = answer["version"]
        share = self.faults.get("good", {}).get(version, DEFAULT_GOOD)
        version_and_customer = f"{version} {answer['customer']}"
        share = self.faults.get("good_for", {}).get(
            version_and_customer, share
        )
        share *= 1 - self.faults.get("harsh", 0.0)
        return hash_to_share(answer["id"], "good") < share

    async def collect(self, request: requests.Request) -> responses.Response:
        """Return the due ratings of a mailbox from an offset, in order."""
        if await self.apply_faults():
            return responses.Response("", 503)
        offset = int(request.query_params["from"])
        entries = self.mailboxes.get(request.query_params["mailbox"], [])
        due = []
        for at, rating in entries[offset - 1 :]:
            if at > time.monotonic():
                break
            due.append(rating)
        return responses.JSONResponse(
            {"ratings": due, "next": offset + len(due)}
        )


def main(port: int) -> None:
    """Serve the rating service on a loopback port."""
    ratings = Ratings()
    routes = [
        routing.Route("/answers", ratings.submit, methods=["POST"]),
        routing.Route("/ratings", ratings.collect),
    ]
    serving.serve(routes, ratings.faults, port)


if __name__ == "__main__":
    fire.Fire(main)
