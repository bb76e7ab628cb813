"""Status of an entry VM as JSON, for operators and their tools."""

import hmac
import typing

import attrs
from starlette import requests as http_requests
from starlette import responses
from starlette import routing

from carawayward import __version__
from carawayward import blackboard as blackboard_module
from carawayward import clock as clock_module
from carawayward.console import overview
from carawayward import errors
from carawayward import metrics as metrics_module


@attrs.frozen
class StatusPages:
    """Serves the status of an entry VM to holders of an operators' key."""

    board: blackboard_module.Blackboard
    metrics: metrics_module.Metrics
    clock: clock_module.Clock
    keys: tuple[str, ...]
    collect_gauges: typing.Callable[[], dict[str, float]]

    def make_routes(self) -> list[routing.Route]:
        """Create the routes for the operators' listener."""
        return [
            routing.Route("/v1/status", self.show_status),
            routing.Route("/v1/histograms", self.show_histograms),
        ]

    async def show_status(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Respond with the state of this entry VM and its view of others."""
        check_operator(request, self.keys)
        return responses.JSONResponse(
            {
                **describe_board(self.board, self.clock.now_ms()),
                "counters": self.metrics.counters,
                "gauges": self.collect_gauges(),
            }
        )

    async def show_histograms(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Respond with all histograms; tools merge their encoded form."""
        check_operator(request, self.keys)
        return responses.JSONResponse(metrics_module.summarize(self.metrics))


def check_operator(
    request: http_requests.Request, keys: tuple[str, ...]
) -> None:
    """Raise NotAuthenticated unless the request has an operators' key."""
    given = request.headers.get("Authorization", "")
    for key in keys:
        if hmac.compare_digest(given.encode(), f"Bearer {key}".encode()):
            return
    raise errors.NotAuthenticated(
        'send "Authorization: Bearer KEY" with a key of keys.operators'
    )


def describe_board(
    board: blackboard_module.Blackboard, now_ms: float
) -> dict[str, typing.Any]:
    """Convert the blackboard to plain values; ages are in ms."""
    config = board.config
    return {
        "name": board.name,
        "release": __version__,
        "failure_domain": board.failure_domain,
        "incarnation": board.incarnation,
        "state": str(board.state),
        "revision": config.revision if config else 0,
        "fresh": board.is_fresh(now_ms),
        "confirmations": {
            name: str(state)
            for name, state in board.list_confirmations(now_ms).items()
        },
        "running": board.running,
        "ratings_usable": board.quality.ratings_usable,
        "rollouts": [
            overview.describe_trial(board, trial)
            for trial in board.quality.trials.values()
        ],
        "entry_vms": [
            {
                "name": vm.name,
                "failure_domain": vm.failure_domain,
                "leaving": vm.leaving,
                "revision": vm.revision,
                "heard_age_ms": round(now_ms - vm.last_heard_ms),
            }
            for vm in sorted(board.entry_vms.values(), key=lambda v: v.name)
        ],
        "endpoints": [
            {
                "name": endpoint.name,
                "pool": endpoint.pool,
                "failure_domain": endpoint.failure_domain,
                "leaving": endpoint.leaving,
                "versions": sorted(endpoint.versions),
                "in_flight": board.in_flight.get(endpoint.name, 0),
                "reported_load": endpoint.reported_load,
            }
            for endpoint in sorted(
                board.endpoints.values(), key=lambda e: e.name
            )
        ],
    }
