"""Demo of forwarded routes on loopback: ``./build.sh forwarded``.

Runs three entry VMs in one process, plain servers, engines and a stand-in for
the store. One engine breaks off every stream, one server declines requests,
and meanwhile a new version of the plain service is rolled out. The outcome of
the requests is printed as a table.
"""

import collections
import json
import random

import attrs
import fire
import trio

from tests.common import forwarding
from tests.standins import backend

ENTRY_VMS = 3
ROLLOUT_S = 6.0
PAUSE_S = 0.02
EVENTS = 12


@attrs.frozen(kw_only=True)
class Result:
    """The outcome of a request; ``whole`` if its answer was complete."""

    kind: str
    status: int
    whole: bool


def make_servers() -> list[backend.Backend]:
    """Servers of two versions and three engines; one of each is faulty."""
    desks = [
        backend.Backend(f"desk-{version}-{number}", version=version)
        for version in ("v1", "v2")
        for number in range(2)
    ]
    desks[0].always = backend.decline
    engines = [
        backend.Backend(
            f"engine-{number}",
            service="engines",
            engine=True,
            events=EVENTS,
            confidence={"small": 95.0 if number else 20.0, "large": 99.0},
        )
        for number in range(3)
    ]
    engines[2].always = backend.break_after(EVENTS // 2)
    return [*desks, *engines]


async def send(
    deployment: forwarding.Forwarding, draw: random.Random
) -> Result:
    """Send a request of a random kind to a random entry VM."""
    daemon = draw.randrange(ENTRY_VMS)
    kind = draw.choice(["look-up", "log", "stream"])
    if kind == "stream":
        answer = await deployment.request_stream(daemon)
        numbers = forwarding.read_numbers(answer.body)
        whole = numbers == list(range(1, EVENTS + 1))
    else:
        path = "/look/1" if kind == "look-up" else "/log/1"
        answer = await deployment.call("POST", path, b"P-17", daemon)
        whole = answer.body.startswith(b"done by")
    return Result(kind=kind, status=answer.status, whole=whole)


def read_state(deployment: forwarding.Forwarding) -> str:
    """The state of the roll-out, as operators see it."""
    newest = deployment.store.topic("keyed.status").newest
    if "rollout/desk" not in newest:
        return "ordered"
    return json.loads(newest["rollout/desk"][1])["state"]


async def play(requests: int, seed: int = 1) -> list[Result]:
    """Roll out a version while requests are sent; return their outcomes."""
    draw = random.Random(seed)
    results: list[Result] = []
    async with forwarding.open_forwarding(
        *make_servers(), daemons=ENTRY_VMS
    ) as deployment:
        order = {"service": "desk", "target": "v2", "durationS": ROLLOUT_S}
        deployment.store.put("keyed.op", "rollout/desk", order)

        async def send_one() -> None:
            results.append(await send(deployment, draw))

        async with trio.open_nursery() as nursery:
            while len(results) < requests or read_state(deployment) not in (
                "completed",
                "rolled_back",
            ):
                nursery.start_soon(send_one)
                await trio.sleep(PAUSE_S)
        print_table(results, read_state(deployment))
        for daemon in deployment.daemons:
            address = daemon.settings.listen.callers
            print(f"{daemon.board.name} served callers at {address}")
    return results


def print_table(results: list[Result], state: str) -> None:
    """Print the outcomes by kind of request."""
    rows = collections.Counter((r.kind, r.status, r.whole) for r in results)
    print("\n| request | status | whole | count |\n|---|---|---|---|")
    for (kind, status, whole), count in sorted(rows.items()):
        print(f"| {kind} | {status} | {'yes' if whole else 'no'} | {count} |")
    print(f"\nroll-out of desk to v2: {state}")


def main(requests: int = 200) -> int:
    """Run the demo; the exit code is 0 if all requests were served."""
    results = trio.run(play, requests)
    return int(any(r.status != 200 or not r.whole for r in results))


if __name__ == "__main__":
    raise SystemExit(fire.Fire(main))
