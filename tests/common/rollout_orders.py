"""Orders of roll-outs, and servers of several versions."""

import json

import trio

from tests.standins import backend

ORDER_S = 4.0


def make_servers(always=None):
    """Two servers of the old and two of the new version."""
    return [
        backend.Backend(
            f"desk-{version}-{number}",
            version=version,
            always=always if version == "v2" else None,
        )
        for version in ("v1", "v2")
        for number in range(2)
    ]


def read_status(deployment):
    """The status of the roll-out, as operators read it."""
    newest = deployment.store.topic("keyed.status").newest
    if "rollout/desk" not in newest:
        return None
    return json.loads(newest["rollout/desk"][1])


def order_rollout(deployment, seconds=ORDER_S, version="v2"):
    """Order a version of the service as operators do."""
    order = {"service": "desk", "target": version, "durationS": seconds}
    deployment.store.put("keyed.op", "rollout/desk", order)


async def send_until_decided(deployment, seconds=ORDER_S):
    """Send requests until the status is final; return their sessions."""
    sent: list[str] = []
    with trio.move_on_after(1.5 * seconds):
        while True:
            status = read_status(deployment)
            if status and status["state"] != "in_progress":
                break
            sessions = [f"s-{len(sent) + n}" for n in range(12)]
            async with trio.open_nursery() as nursery:
                for number, session in enumerate(sessions):

                    async def send(daemon, name):
                        await deployment.call(
                            "GET", "/look/", daemon=daemon, session=name
                        )

                    nursery.start_soon(
                        send, number % len(deployment.daemons), session
                    )
            sent += sessions
            await trio.sleep(0.02)
    return sent


def is_decided(deployment):
    """Whether the status is final."""
    status = read_status(deployment)
    return status is not None and status["state"] != "in_progress"


def count_runs(desks, version):
    """How many requests have reached a version."""
    return sum(len(d.runs) for d in desks if d.version == version)
