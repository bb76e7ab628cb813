"""Stand-in for a plain service; it records every run that it makes.

Faults: ``down``, ``silent_before`` and ``silent_after`` (no answer, without
or after the run), ``slow_ms``, ``late_ms`` (between the run and its
answer), ``leaving``.
"""

import json
import time

import fire
from starlette import requests
from starlette import responses
from starlette import routing
import trio

from tests.standins import serving


class Service:
    """One endpoint of a plain service."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.faults: serving.Faults = {}
        self.runs: list[dict] = []
        self.busy = 0

    async def run(self, request: requests.Request) -> responses.Response:
        """Run an operation once for each call."""
        body = json.loads(await request.body())
        if self.faults.get("down"):
            return responses.Response("", 503)
        if self.faults.get("silent_before"):
            await serving.hang()
        self.busy += 1
        try:
            await trio.sleep(self.faults.get("slow_ms", 2) / 1000)
        finally:
            self.busy -= 1
        operation = request.path_params["operation"]
        self.runs.append(
            {
                "operation": operation,
                "body": body,
                "seen_ms": time.monotonic_ns() // 1_000_000,
            }
        )
        await trio.sleep(self.faults.get("late_ms", 0) / 1000)
        if self.faults.get("silent_after"):
            await serving.hang()
        return responses.JSONResponse(
            {
                "done": operation,
                "by": self.name,
                "number": len(self.runs),
                "text": body.get("text", ""),
            }
        )

    async def report(self, request: requests.Request) -> responses.Response:
        """Report the load."""
        return responses.JSONResponse(
            {
                "versions": [],
                "load": self.busy,
                "leaving": bool(self.faults.get("leaving")),
            }
        )

    async def list_runs(self, request: requests.Request) -> responses.Response:
        """Return every run, for the tests."""
        return responses.JSONResponse(self.runs)


def main(port: int, name: str) -> None:
    """Serve one endpoint on a loopback port."""
    service = Service(name)
    routes = [
        routing.Route(
            "/operations/{operation}", service.run, methods=["POST"]
        ),
        routing.Route("/report", service.report),
        routing.Route("/runs", service.list_runs),
    ]
    serving.serve(routes, service.faults, port)


if __name__ == "__main__":
    fire.Fire(main)
