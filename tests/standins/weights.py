"""Stand-in for the rate-limited weight store.

It serves up to ``loads_at_once`` concurrent loads of ``load_ms`` each and
refuses more with 429. ``GET /loads`` returns how many were served and
refused. Faults, set through ``/control``: ``down``, ``loads_at_once`` and
``load_ms``.
"""

import time

import fire
from starlette import requests
from starlette import responses
from starlette import routing

from tests.standins import serving


class WeightStore:
    """The loads in progress, and the counts of served and refused ones."""

    def __init__(self) -> None:
        self.faults: serving.Faults = {"loads_at_once": 2, "load_ms": 300}
        self.end_times: list[float] = []
        self.served = 0
        self.refused = 0

    async def show_limit(
        self, request: requests.Request
    ) -> responses.Response:
        """Return the limit on concurrent loads."""
        if self.faults.get("down"):
            return responses.Response("", 503)
        return responses.JSONResponse(
            {"loads_at_once": self.faults["loads_at_once"]}
        )

    async def start_load(
        self, request: requests.Request
    ) -> responses.Response:
        """Start a load, or refuse it at the limit."""
        now = time.monotonic()
        self.end_times = [end for end in self.end_times if end > now]
        if len(self.end_times) >= self.faults["loads_at_once"]:
            self.refused += 1
            return responses.Response("", 429, {"Retry-After": "1"})
        self.served += 1
        self.end_times.append(now + self.faults["load_ms"] / 1000)
        return responses.JSONResponse({"load_ms": self.faults["load_ms"]})

    async def count(self, request: requests.Request) -> responses.Response:
        """Return the counts of loads, for the tests."""
        return responses.JSONResponse(
            {"served": self.served, "refused": self.refused}
        )


def main(port: int) -> None:
    """Serve the store on a loopback port."""
    store = WeightStore()
    routes = [
        routing.Route("/limit", store.show_limit),
        routing.Route("/loads", store.start_load, methods=["POST"]),
        routing.Route("/loads", store.count, methods=["GET"]),
    ]
    serving.serve(routes, store.faults, port)


if __name__ == "__main__":
    fire.Fire(main)
