"""Stand-in for the platform's eventually consistent list of VMs.

``PUT /vms`` sets the list; readers see it ``lag_ms`` later. A reader of
``/for/VIEWER/vms`` gets the addresses that ``seen_by`` maps for it, since
each viewer reaches the others through relay links of its own.

Faults, set through ``/control``: ``down`` (503) and ``lag_ms``.
"""

import json
import time

import fire
from starlette import requests
from starlette import responses
from starlette import routing

from tests.standins import serving


class VmList:
    """All versions of the list, with the times at which they were set."""

    def __init__(self) -> None:
        self.faults: serving.Faults = {"lag_ms": 0}
        self.versions: list[tuple[float, list[dict]]] = [(0.0, [])]
        self.seen_by: dict[str, dict[str, str]] = {}

    async def put(self, request: requests.Request) -> responses.Response:
        """Set a new version of the list."""
        body = json.loads(await request.body())
        self.versions.append((time.monotonic(), body["vms"]))
        self.seen_by.update(body.get("seen_by", {}))
        return responses.JSONResponse({})

    async def get(self, request: requests.Request) -> responses.Response:
        """Return the list as of ``lag_ms`` ago."""
        if self.faults.get("down"):
            return responses.Response("", 503)
        seen_at = time.monotonic() - self.faults["lag_ms"] / 1000
        vms = [vms for at, vms in self.versions if at <= seen_at][-1]
        addresses = self.seen_by.get(request.path_params.get("viewer", ""), {})
        vms = [
            {**vm, "address": addresses.get(vm["name"], vm["address"])}
            for vm in vms
        ]
        return responses.JSONResponse({"vms": vms})


def main(port: int) -> None:
    """Serve the list on a loopback port."""
    vms = VmList()
    routes = [
        routing.Route("/vms", vms.put, methods=["PUT"]),
        routing.Route("/vms", vms.get, methods=["GET"]),
        routing.Route("/for/{viewer}/vms", vms.get, methods=["GET"]),
    ]
    serving.serve(routes, vms.faults, port)


if __name__ == "__main__":
    fire.Fire(main)
