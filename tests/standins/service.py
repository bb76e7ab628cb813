"""Stand-in for a plain service; it records every run.

Faults, set through ``/control``:

- ``down``: calls are refused with 503.
- ``silent_before``: calls are neither run nor answered.
- ``silent_after``: calls are run but not answered.
- ``slow_ms``: the duration of a run.
- ``late_ms``: delay between the run and its answer.
- ``leaving``: reports that the endpoint is leaving.
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
        self.active_runs = 0

    async def run(self, request: requests.Request) -> responses.Response:
        """Run an operation and record it."""
        body = json.loads(await request.body())
        if self.faults.get("down"):
            return responses.Response("", 503)
        if self.faults.get("silent_before"):
            await serving.hang()
        self.active_runs += 1
        try:
            await trio.sleep(self.faults.get("slow_ms", 2) / 1000)
        finally:
            self.active_runs -= 1
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
        """Report the load and whether the endpoint is leaving."""
        return responses.JSONResponse(
            {
                "versions": [],
                "load": self.active_runs,
                "leaving": bool(self.faults.get("leaving")),
            }
        )

    async def list_runs(self, request: requests.Request) -> responses.Response:
        """Return every recorded run, for the tests."""
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
