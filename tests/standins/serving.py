"""Serves a stand-in over HTTP, with faults that tests can switch on.

``POST /control`` merges a JSON object of fault names and values into the
current faults; ``GET /control`` returns them. Each stand-in reads its
faults where they take effect.
"""

import contextlib
import json
import signal
import typing

from hypercorn import config as hypercorn_config
from hypercorn import trio as hypercorn_trio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import trio

Faults = dict[str, typing.Any]


def make_control_routes(faults: Faults) -> list[routing.Route]:
    """Make the route with which tests read and set faults."""

    async def control(request: requests.Request) -> responses.Response:
        if request.method == "POST":
            faults.update(json.loads(await request.body()))
        return responses.JSONResponse(faults)

    return [routing.Route("/control", control, methods=["GET", "POST"])]


async def hang() -> typing.NoReturn:
    """Never answer, like a host whose packets are dropped."""
    await trio.sleep_forever()


def serve(routes: list[routing.Route], faults: Faults, port: int) -> None:
    """Serve on loopback until SIGTERM or SIGINT."""
    app = applications.Starlette(
        routes=[*routes, *make_control_routes(faults)]
    )
    config = hypercorn_config.Config()
    config.bind = [f"127.0.0.1:{port}"]
    config.graceful_timeout = 0.1
    config.loglevel = "CRITICAL"

    async def run() -> None:
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            serve_app: typing.Any = hypercorn_trio.serve

            async def serve_until_stopped() -> None:
                await serve_app(app, config, shutdown_trigger=stop.wait)

            nursery.start_soon(serve_until_stopped)
            with trio.open_signal_receiver(
                signal.SIGTERM, signal.SIGINT
            ) as signals:
                async for _ in signals:
                    break
            nursery.cancel_scope.cancel()

    with contextlib.suppress(KeyboardInterrupt):
        trio.run(run)
