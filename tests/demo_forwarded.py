"""``./build.sh forwarded``: forwarded routes on loopback, and a table.

Three entry VMs in one process, plain servers, engines and a stand-in for the
store. One engine breaks each stream off, one server declines, and a new
version of the plain service is brought in meanwhile.
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
    """What became of a request."""

    kind: str
    status: int
    whole: bool


def make_servers() -> list[backend.Backend]:
    """Two versions of a plain service, and three engines; two misbehave."""
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


async def send(made: forwarding.Forwarding, draw: random.Random) -> Result:
    """Send one request of some kind to some entry VM."""
    daemon = draw.randrange(ENTRY_VMS)
    kind = draw.choice(["look-up", "log", "stream"])
    if kind == "stream":
        answer = await made.request_stream(daemon)
        numbers = forwarding.read_numbers(answer.body)
        whole = numbers == list(range(1, EVENTS + 1))
    else:
        path = "/look/1" if kind == "look-up" else "/log/1"
        answer = await made.call("POST", path, b"P-17", daemon)
        whole = answer.body.startswith(b"done by")
    return Result(kind=kind, status=answer.status, whole=whole)


def read_state(made: forwarding.Forwarding) -> str:
    """What operators read of the roll-out."""
    newest = made.store.topic("keyed.status").newest
    if "rollout/desk" not in newest:
        return "ordered"
    return json.loads(newest["rollout/desk"][1])["state"]


async def play(requests: int, seed: int = 1) -> list[Result]:
    """Bring a version in while requests are sent; return what became."""
    draw = random.Random(seed)
    results: list[Result] = []
    async with forwarding.open_forwarding(
        *make_servers(), daemons=ENTRY_VMS
    ) as made:
        order = {"service": "desk", "target": "v2", "durationS": ROLLOUT_S}
        made.store.put("keyed.op", "rollout/desk", order)

        async def send_one() -> None:
            results.append(await send(made, draw))

        async with trio.open_nursery() as nursery:
            while len(results) < requests or read_state(made) not in (
                "completed",
                "rolled_back",
            ):
                nursery.start_soon(send_one)
                await trio.sleep(PAUSE_S)
        print_table(results, read_state(made))
        for daemon in made.daemons:
            address = daemon.settings.listen.callers
            print(f"{daemon.board.name} served callers at {address}")
    return results


def print_table(results: list[Result], state: str) -> None:
    """Print what became of each kind of request."""
    rows = collections.Counter((r.kind, r.status, r.whole) for r in results)
    print("\n| request | status | whole | count |\n|---|---|---|---|")
    for (kind, status, whole), count in sorted(rows.items()):
        print(f"| {kind} | {status} | {'yes' if whole else 'no'} | {count} |")
    print(f"\nroll-out of desk to v2: {state}")


def main(requests: int = 200) -> int:
    """Play, print, and say by the exit code whether all were served."""
    results = trio.run(play, requests)
    return int(any(r.status != 200 or not r.whole for r in results))


if __name__ == "__main__":
    raise SystemExit(fire.Fire(main))
