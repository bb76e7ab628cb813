"""The part of an engine's stand-in that takes orders.

While an engine changes what it has loaded it serves nothing. Faults:
``ignore_fencing`` (an old number is taken too), ``lose_order_answers``
(that many orders take effect and their answers are lost), ``load_ms``
(a load's time when no weight store is set), ``weights`` (the store's
address).
"""

import json
import time

import httpcore
from starlette import requests
from starlette import responses
from starlette import routing

from tests.standins import serving


class Orders:
    """What an engine was ordered to have; changes ``versions`` in place."""

    def __init__(self, versions: list[str], faults: serving.Faults) -> None:
        self.versions = versions
        self.faults = faults
        self.wanted: dict = {
            "fencing": 0,
            "versions": sorted(versions),
            "role": "mixed",
        }
        self.ready_at = 0.0
        self.history: list[dict] = []

    def make_routes(self) -> list[routing.Route]:
        """Routes of an engine."""
        return [
            routing.Route("/order", self.show, methods=["GET"]),
            routing.Route("/order", self.take, methods=["PUT"]),
            routing.Route("/orders", self.list_taken),
        ]

    def settle(self) -> None:
        """Show what is loaded by now."""
        if self.ready_at and time.monotonic() >= self.ready_at:
            self.versions[:] = self.wanted["versions"]
            self.ready_at = 0.0

    async def show(self, request: requests.Request) -> responses.Response:
        """The order that is held."""
        self.settle()
        return responses.JSONResponse(self.wanted)

    async def take(self, request: requests.Request) -> responses.Response:
        """Take an order, or refuse one with an old number."""
        self.settle()
        order = json.loads(await request.body())
        old = order["fencing"] < self.wanted["fencing"]
        if old and not self.faults.get("ignore_fencing"):
            return responses.JSONResponse(self.wanted, 409)
        load_ms = 0.0
        if set(order["versions"]) != set(self.versions):
            load_ms = await self.begin_load()
            if load_ms < 0:
                return responses.Response("", 503)
            self.versions[:] = []
            self.ready_at = time.monotonic() + load_ms / 1000
        self.wanted = order
        began = time.time()
        self.history.append(
            {**order, "began": began, "ended": began + load_ms / 1000}
        )
        if self.faults.get("lose_order_answers", 0) > 0:
            self.faults["lose_order_answers"] -= 1
            await serving.hang()
        return responses.JSONResponse(self.wanted)

    async def begin_load(self) -> float:
        """Ask the weight store for a load; its time, or -1 if refused."""
        store = self.faults.get("weights")
        if not store:
            return self.faults.get("load_ms", 300)
        async with httpcore.AsyncConnectionPool() as pool:
            reply = await pool.request("POST", f"http://{store}/loads")
        if reply.status != 200:
            return -1
        return json.loads(reply.content)["load_ms"]

    async def list_taken(
        self, request: requests.Request
    ) -> responses.Response:
        """Return every order taken, for the tests."""
        return responses.JSONResponse(self.history)
