"""The part of the engine stand-in that accepts orders for versions.

An engine serves no version while it loads another set. Faults, set through
the engine's ``/control``:

- ``ignore_fencing``: orders with a stale fencing number are accepted too.
- ``lose_order_answers``: this many orders take effect but are not answered.
- ``weights``: the address of the weight store to load from.
- ``load_ms``: the duration of a load if there is no weight store.
"""

import json
import time

import httpcore
from starlette import requests
from starlette import responses
from starlette import routing

from tests.standins import serving


class Orders:
    """The order in force at an engine; updates ``versions`` in place."""

    def __init__(self, versions: list[str], faults: serving.Faults) -> None:
        self.versions = versions
        self.faults = faults
        self.current: dict = {
            "fencing": 0,
            "versions": sorted(versions),
            "role": "mixed",
        }
        self.ready_at = 0.0
        self.history: list[dict] = []

    def make_routes(self) -> list[routing.Route]:
        """The engine's routes for orders."""
        return [
            routing.Route("/order", self.show, methods=["GET"]),
            routing.Route("/order", self.accept, methods=["PUT"]),
            routing.Route("/orders", self.list_accepted),
        ]

    def finish_due_load(self) -> None:
        """Make the ordered versions available once their load is due."""
        if self.ready_at and time.monotonic() >= self.ready_at:
            self.versions[:] = self.current["versions"]
            self.ready_at = 0.0

    async def show(self, request: requests.Request) -> responses.Response:
        """Return the order in force."""
        self.finish_due_load()
        return responses.JSONResponse(self.current)

    async def accept(self, request: requests.Request) -> responses.Response:
        """Accept an order, or refuse one with a stale fencing number."""
        self.finish_due_load()
        order = json.loads(await request.body())
        old = order["fencing"] < self.current["fencing"]
        if old and not self.faults.get("ignore_fencing"):
            return responses.JSONResponse(self.current, 409)
        load_ms = 0.0
        if set(order["versions"]) != set(self.versions):
            load_ms = await self.start_load()
            if load_ms < 0:
                return responses.Response("", 503)
            self.versions[:] = []
            self.ready_at = time.monotonic() + load_ms / 1000
        self.current = order
        began = time.time()
        self.history.append(
            {**order, "began": began, "ended": began + load_ms / 1000}
        )
        if self.faults.get("lose_order_answers", 0) > 0:
            self.faults["lose_order_answers"] -= 1
            await serving.hang()
        return responses.JSONResponse(self.current)

    async def start_load(self) -> float:
        """Start a load; return its duration in ms, or -1 if refused."""
        store = self.faults.get("weights")
        if not store:
            return self.faults.get("load_ms", 300)
        async with httpcore.AsyncConnectionPool() as pool:
            reply = await pool.request("POST", f"http://{store}/loads")
        if reply.status != 200:
            return -1
        return json.loads(reply.content)["load_ms"]

    async def list_accepted(
        self, request: requests.Request
    ) -> responses.Response:
        """Return every accepted order, for the tests."""
        return responses.JSONResponse(self.history)
