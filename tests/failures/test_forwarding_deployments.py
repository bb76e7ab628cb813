"""Deployments that each differ from the usual one in one point.

Operators run the product in configurations that no other test covers. Each
deployment starts an entry VM with its own configuration, servers and bounds,
and checks that every kind of request of that deployment is served.
"""

import copy
import typing

import attrs
import trio

from tests.common import forwarding
from tests.standins import backend

Change = typing.Callable[[dict], object]


def make_desk(name="desk-0", **changes):
    return backend.Backend(name, **changes)


def make_engine(name="engine-0", **changes):
    return backend.Backend(name, service="engines", engine=True, **changes)


def make_both():
    return [make_desk(), make_engine()]


@attrs.frozen(kw_only=True)
class Row:
    """A deployment's configuration, servers, bounds and requests."""

    change: Change = lambda config: None
    servers: typing.Callable[[], list] = make_both
    bounds: dict[str, typing.Any] = attrs.field(factory=dict)
    calls: tuple[str, ...] = ("/look/", "/log/", "/tip/1")
    headers: dict[str, str] = attrs.field(factory=dict)
    entry: dict[str, typing.Any] = attrs.field(factory=dict)


def keep_routes(*names):
    """Keep only some of the routes."""

    def change(config):
        config["routes"] = [r for r in config["routes"] if r["name"] in names]

    return change


def change_route(name, **values):
    """Change fields of a route; None removes one."""

    def change(config):
        for route in config["routes"]:
            if route["name"] == name:
                route.update(values)
                for field in [f for f, v in values.items() if v is None]:
                    del route[field]

    return change


def drop(*names):
    """Remove sections of the configuration."""

    def change(config):
        for name in names:
            del config[name]

    return change


def drop_engine(config):
    """Leave the streaming service undeclared."""
    config["services"] = config["services"][:1]


def open_to_all(config):
    """Declare no customers and no keys."""
    del config["tenants"]
    for route in config["routes"]:
        route["anonymous"] = True


DEPLOYMENTS = {
    "one plain service alone": Row(
        change=keep_routes("look"),
        servers=lambda: [make_desk()],
        calls=("/look/",),
    ),
    "engines alone": Row(
        change=keep_routes("tip"),
        servers=lambda: [make_engine()],
        calls=("/tip/1",),
    ),
    "no customers": Row(change=open_to_all, headers={"carawayward_key": ""}),
    "no limits": Row(change=drop("limits")),
    "streams without models to choose from": Row(
        change=change_route("tip", sizes=None)
    ),
    "streams from servers that are no engines": Row(change=drop_engine),
    "streams that cannot be resumed": Row(
        change=change_route("tip", resumable=False, gapTargetMs=None)
    ),
    "one attempt for everything": Row(
        change=change_route("tip", maxAttempts=1)
    ),
    "no target times": Row(change=change_route("look", targetLatencyMs=None)),
    "work split over two services": Row(
        change=change_route(
            "look",
            split=[
                {"service": "desk", "weight": 50},
                {"service": "till", "weight": 50},
            ],
        ),
        servers=lambda: [
            *make_both(),
            make_desk("till-0", service="till"),
        ],
    ),
    "servers in another zone only": Row(
        servers=lambda: [
            make_desk(zone="far"),
            make_engine(zone="far"),
        ]
    ),
    "servers that tell no zone, version or slots": Row(
        entry={"zone": "", "version": "", "slots": 0}
    ),
    "no extra runs allowed": Row(
        bounds={"retry_ratio": 0.0, "retry_slack": 0}
    ),
    "no sessions, nothing may meet a bad version": Row(
        bounds={
            "session_ms": 0,
            "exposure_share": 0.0,
            "exposure_slack": 0,
            "rollback_ms": 0,
        }
    ),
    "keys that never lapse": Row(bounds={"keys_fail_closed": False}),
    "a lease of a second": Row(bounds={"key_lease_ms": 1_000}),
    "half a second for leaving servers": Row(bounds={"drain_ms": 500}),
    "a window of a second for extra runs": Row(
        bounds={"retry_window_ms": 1_000}
    ),
}


async def check_deployment(row):
    """Start an entry VM, send each kind of request, order a roll-out."""
    config = copy.deepcopy(forwarding.make_config())
    row.change(config)
    servers = row.servers()
    async with forwarding.open_forwarding(
        *servers, config=config, **row.bounds
    ) as running:
        for server in servers:
            if row.entry:
                running.register(server, **row.entry, sequence=2)
        for number in range(3):
            for path in row.calls:
                headers = {"session": f"s-{number}", **row.headers}
                if path.startswith("/tip"):
                    answer = await running.request_stream(**headers)
                else:
                    answer = await running.call("GET", path, **headers)
                assert answer.status == 200, (path, answer)
        order = {"service": "desk", "target": "v9", "durationS": 1.0}
        running.store.put("keyed.op", "rollout/desk", order)
        await trio.sleep(0.3)
        for path in row.calls:
            if path.startswith("/tip"):
                continue
            answer = await running.call("GET", path, **row.headers)
            assert answer.status == 200, (path, answer)
        await running.wait_for(
            lambda: (
                "rollout/desk" in running.store.topic("keyed.status").newest
            )
        )


def test_requests_are_served_on_each_deployment():
    """Requests are served whatever a deployment omits or changes.

    An order for a version without servers changes nothing for callers.
    """
    for name, row in DEPLOYMENTS.items():
        try:
            trio.run(check_deployment, row)
        except BaseException as fault:
            fault.add_note(f"on the deployment: {name}")
            raise
