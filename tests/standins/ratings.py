"""Stand-in for the platform's service that rates answers.

An answer's rating is a function of its id, its version and its text, so
two runs agree. Faults: ``down``, ``silent``, ``slow_ms``, ``delay_ms``
(after which a rating can be collected), ``good`` (share of good answers by
version), ``good_for`` (the same by "version customer"), ``lose`` (share of
answers that are never rated), ``harsh`` (share of good answers called bad,
whatever the version).
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


def draw(answer_id: str, purpose: str) -> float:
    """A number between 0 and 1 that depends on the names alone."""
    digest = hashlib.sha256(f"{purpose} {answer_id}".encode()).digest()
    return int.from_bytes(digest[:7]) / 2.0**56


class Ratings:
    """All mailboxes, with the time at which each rating can be seen."""

    def __init__(self) -> None:
        self.faults: serving.Faults = {"delay_ms": 0}
        self.seen: set[str] = set()
        self.boxes: dict[str, list[tuple[float, dict]]] = {}

    async def suffer(self) -> bool:
        """Apply the faults that hold for any call; True if it is down."""
        if self.faults.get("silent"):
            await serving.hang()
        await trio.sleep(self.faults.get("slow_ms", 0) / 1000)
        return bool(self.faults.get("down"))

    async def take(self, request: requests.Request) -> responses.Response:
        """Take answers to be rated."""
        if await self.suffer():
            return responses.Response("", 503)
        body = json.loads(await request.body())
        box = self.boxes.setdefault(body["mailbox"], [])
        for answer in body["answers"]:
            if answer["id"] in self.seen:
                continue
            self.seen.add(answer["id"])
            if draw(answer["id"], "lose") >= self.faults.get("lose", 0.0):
                due = time.monotonic() + self.faults["delay_ms"] / 1000
                rating = {"id": answer["id"], "good": self.rate(answer)}
                box.append((due, rating))
        return responses.JSONResponse({})

    def rate(self, answer: dict) -> bool:
        """Whether an answer is good."""
        version = answer["version"]
        share = self.faults.get("good", {}).get(version, DEFAULT_GOOD)
        for_one = f"{version} {answer['customer']}"
        share = self.faults.get("good_for", {}).get(for_one, share)
        share *= 1 - self.faults.get("harsh", 0.0)
        return draw(answer["id"], "good") < share

    async def give(self, request: requests.Request) -> responses.Response:
        """Give the ratings of a mailbox that are due, in order."""
        if await self.suffer():
            return responses.Response("", 503)
        offset = int(request.query_params["from"])
        box = self.boxes.get(request.query_params["mailbox"], [])
        due = []
        for at, rating in box[offset - 1 :]:
            if at > time.monotonic():
                break
            due.append(rating)
        return responses.JSONResponse(
            {"ratings": due, "next": offset + len(due)}
        )


def main(port: int) -> None:
    """Serve the ratings on a loopback port."""
    ratings = Ratings()
    routes = [
        routing.Route("/answers", ratings.take, methods=["POST"]),
        routing.Route("/ratings", ratings.give),
    ]
    serving.serve(routes, ratings.faults, port)


if __name__ == "__main__":
    fire.Fire(main)
