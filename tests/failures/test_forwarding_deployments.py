"""Entry VMs on deployments that differ from the usual one in one point.

Operators run the product where nobody here has looked: each row starts an
entry VM on such a declaration, with such servers and bounds, and each kind
of request that the deployment has is served.
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
    """A deployment: its declaration, servers and bounds, and its requests."""

    change: Change = lambda config: None
    servers: typing.Callable[[], list] = make_both
    bounds: dict[str, typing.Any] = attrs.field(factory=dict)
    calls: tuple[str, ...] = ("/look/", "/log/", "/tip/1")
    headers: dict[str, str] = attrs.field(factory=dict)
    entry: dict[str, typing.Any] = attrs.field(factory=dict)


def keep_routes(*names):
    """Only some of the routes."""

    def change(config):
        config["routes"] = [r for r in config["routes"] if r["name"] in names]

    return change


def change_route(name, **values):
    """Some fields of a route; None takes one away."""

    def change(config):
        for route in config["routes"]:
            if route["name"] == name:
                route.update(values)
                for field in [f for f, v in values.items() if v is None]:
                    del route[field]

    return change


def drop(*names):
    """Without some of the declaration's parts."""

    def change(config):
        for name in names:
            del config[name]

    return change


def forget_engine(config):
    """A streaming service of which nothing is known."""
    config["services"] = config["services"][:1]


def open_to_all(config):
    """No customers, no keys."""
    del config["tenants"]
    for route in config["routes"]:
        route["anonymous"] = True


ROWS = {
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
    "streams from servers that are no engines": Row(change=forget_engine),
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


async def play(row):
    """Start an entry VM, send each kind of request, move a version."""
    config = copy.deepcopy(forwarding.make_config())
    row.change(config)
    servers = row.servers()
    async with forwarding.open_forwarding(
        *servers, config=config, **row.bounds
    ) as made:
        for server in servers:
            if row.entry:
                made.register(server, **row.entry, sequence=2)
        for number in range(3):
            for path in row.calls:
                headers = {"session": f"s-{number}", **row.headers}
                if path.startswith("/tip"):
                    answer = await made.request_stream(**headers)
                else:
                    answer = await made.call("GET", path, **headers)
                assert answer.status == 200, (path, answer)
        order = {"service": "desk", "target": "v9", "durationS": 1.0}
        made.store.put("keyed.op", "rollout/desk", order)
        await trio.sleep(0.3)
        for path in row.calls:
            if path.startswith("/tip"):
                continue
            answer = await made.call("GET", path, **row.headers)
            assert answer.status == 200, (path, answer)
        await made.wait_for(
            lambda: "rollout/desk" in made.store.topic("keyed.status").newest
        )


def test_requests_are_served_on_each_deployment():
    """Whatever a deployment leaves out or sets otherwise, its work is done.

    An order for a version that has no server changes nothing for callers.
    """
    for name, row in ROWS.items():
        try:
            trio.run(play, row)
        except BaseException as fault:
            fault.add_note(f"on the deployment: {name}")
            raise
